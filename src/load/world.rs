//! The modelled world in virtual time: callers, entries that drive the policy cores, workers with
//! slots, gossip with its delay, the loss of an entry and a worker that fails all it starts.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fleet::{MonoMs, Resources};
use crate::load::demand::{Arrival, QueueSpec, REQUEST_SIZE};
use crate::load::entry::{Entry, EntrySpec, Line};
use crate::load::measure::{ideal_running, ShareDistance, ShareMeter};
use crate::policy::health::{Attempt, Outcome, WorkKey};
use crate::policy::keys::{PeerKey, PoolKey, QueueKey, RequestKey, TeamKey, WorkerKey, ZoneKey};
use crate::policy::lane::Waiting;
use crate::policy::retry::{FailedAttempt, RetryDecision, RetryReason};
use crate::policy::settings::{QueueSettings, Sharing};
use crate::policy::share::ShareSettings;
use crate::policy::usage::{Load, UsageRow};
use crate::policy::worker::WorkerFacts;

/// How the entries decide.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
    serde::Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Way {
    /// Baseline: first in, first out at each entry, without shares.
    Fifo,
    /// Each entry starts the team with the lowest level by gossip.
    Levels,
    /// Each entry keeps to its part of a division computed from gossip.
    Divided,
    /// One entry decides for a pool, found by rendezvous hash; the others forward to it.
    Owner,
}

/// The modelled deployment.
#[derive(Clone, Debug)]
pub struct WorldSpec {
    /// Seed of all that is random but the demand.
    pub seed: u64,
    /// How the entries decide.
    pub way: Way,
    /// Entries.
    pub entries_count: usize,
    /// Workers of each pool.
    pub workers_of_pools: Vec<u32>,
    /// Slots of a worker.
    pub slots_count: u32,
    /// Queues.
    pub queues: Vec<QueueSpec>,
    /// Weight of each team.
    pub weights: Vec<u32>,
    /// Settings of the queue of each entry.
    pub queue: QueueSettings,
    /// Settings of the shares.
    pub share: ShareSettings,
    /// Time between two reports of an entry to its peers.
    pub gossip_period_ms: u64,
    /// One-way time of any message.
    pub hop_ms: u64,
    /// Times that a caller that was refused comes back.
    pub returns_max_count: u32,
    /// An entry that is lost, and when.
    pub lost_entry: Option<(usize, MonoMs)>,
    /// Time until another entry has taken over what the lost one decided.
    pub take_over_ms: u64,
    /// A worker that fails all it starts, and from when.
    pub bad_worker: Option<(u32, MonoMs)>,
    /// End of the experiment.
    pub duration_ms: MonoMs,
}

/// What came of it.
#[derive(Clone, Debug)]
pub struct WorldOutcome {
    /// Requests that first arrived.
    pub arrived_count: u64,
    /// Requests answered in time.
    pub on_time_count: u64,
    /// Runs that ended too late to count.
    pub late_count: u64,
    /// Requests whose caller was told to come back and did.
    pub returned_count: u64,
    /// Of these, answered in time after all.
    pub returned_served_count: u64,
    /// Callers that came back in each tenth of a second.
    pub returns_by_100_ms: Vec<u64>,
    /// Refusals by reason, over all entries.
    pub refused: IndexMap<String, u64>,
    /// Attempts tried again by reason, over all entries.
    pub retried: IndexMap<String, u64>,
    /// Messages to peers about a free slot.
    pub hints_count: u64,
    /// Distance from share, by window.
    pub distances: Vec<ShareDistance>,
    /// Misplaced capacity in each second, for a plot.
    pub misplaced_by_s: Vec<f64>,
    /// Part of the capacity that was idle while work for it waited.
    pub idle_while_waiting_permille: f64,
    /// Time from arrival to start of urgent work.
    pub urgent_start_ms: Histogram<u64>,
    /// Urgent requests that did not start within the target.
    pub urgent_missed_count: u64,
    /// Urgent requests that arrived.
    pub urgent_count: u64,
}

/// Time within which urgent work is to start.
pub const URGENT_START_TARGET_MS: u64 = 1_600;

/// Time between two samples of what runs and what is wanted.
const SAMPLE_MS: u64 = 20;

/// Time between two ticks of an entry.
const TICK_MS: u64 = 10;

/// Time after which a caller notices that its entry is gone.
const CALLER_NOTICES_MS: u64 = 200;

/// Attempts after a failure by an entry without a budget of retries.
const BASELINE_ATTEMPTS_COUNT: u32 = 4;

type JobKey = usize;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Ran,
    Failed,
    Busy,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Event {
    Arrive(JobKey, usize),
    Forwarded(JobKey, usize),
    Reach(JobKey, usize, WorkerKey),
    Finish(JobKey, usize, WorkerKey),
    Answered(JobKey, usize, WorkerKey, Answer, u32),
    PutBack(JobKey, usize),
    Gossip(usize),
    Report(usize, usize, Vec<UsageRow>),
    Hint(usize, WorkerKey, u32),
    Tick(usize),
    Lapse(JobKey, u32),
    Lose(usize),
    Sample,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Away,
    Waiting,
    Sent,
    Done,
}

struct Job {
    visits_count: u32,
    attempts_count: u32,
    deadline_ms: MonoMs,
    stage: Stage,
    holder: usize,
    pool: usize,
    is_running: bool,
    is_wanted: bool,
    has_started: bool,
    waiting: Option<Waiting>,
}

struct Worker {
    pool: usize,
    running_count: u32,
}

/// The world while it runs.
pub struct World<'a> {
    spec: &'a WorldSpec,
    arrivals: &'a [Arrival],
    now_ms: MonoMs,
    sequence: u64,
    events: BinaryHeap<Reverse<(MonoMs, u64, usize)>>,
    payloads: Vec<Option<Event>>,
    free_payloads: Vec<usize>,
    jobs: Vec<Job>,
    entries: Vec<Entry>,
    workers: Vec<Worker>,
    rng: ChaCha8Rng,
    taken_over_ms: MonoMs,
    wanted: Vec<Vec<u32>>,
    running: Vec<Vec<u32>>,
    waiting: Vec<u32>,
    meters: Vec<ShareMeter>,
    idle_slots: f64,
    all_slots: f64,
    outcome: WorldOutcome,
}

/// Runs the world to its end.
pub fn run(spec: &WorldSpec, arrivals: &[Arrival]) -> WorldOutcome {
    let mut world = World::new(spec, arrivals);
    while let Some(Reverse((at_ms, _, payload))) = world.events.pop() {
        if at_ms >= spec.duration_ms {
            break;
        }
        world.now_ms = at_ms;
        world.free_payloads.push(payload);
        if let Some(event) = world.payloads[payload].take() {
            world.handle(event);
        }
    }
    world.finish()
}

impl<'a> World<'a> {
    fn new(spec: &'a WorldSpec, arrivals: &'a [Arrival]) -> Self {
        let teams_count = spec.weights.len() + 1;
        let pools_count = spec.workers_of_pools.len();
        let mut world = Self {
            spec,
            arrivals,
            now_ms: 0,
            sequence: 0,
            events: BinaryHeap::new(),
            payloads: Vec::new(),
            free_payloads: Vec::new(),
            jobs: Vec::with_capacity(arrivals.len()),
            entries: Vec::new(),
            workers: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(spec.seed),
            taken_over_ms: 0,
            wanted: vec![vec![0; pools_count]; teams_count],
            running: vec![vec![0; pools_count]; teams_count],
            waiting: vec![0; pools_count],
            meters: [1_000, 10_000]
                .map(|window_ms| ShareMeter::new(window_ms, SAMPLE_MS, teams_count))
                .to_vec(),
            idle_slots: 0.0,
            all_slots: 0.0,
            outcome: WorldOutcome::empty(spec.duration_ms),
        };
        world.add_entries();
        world.add_events();
        world
    }

    fn add_entries(&mut self) {
        let spec = self.spec;
        let mut pools = Vec::new();
        for (pool, count) in spec.workers_of_pools.iter().enumerate() {
            let first = self.workers.len() as u32;
            let facts = |index: u32| worker_facts(pool, index, spec.slots_count);
            let keys: Vec<(WorkerKey, WorkerFacts)> = (0..*count)
                .map(|index| (WorkerKey(first + index), facts(index)))
                .collect();
            self.workers.extend(keys.iter().map(|_| Worker {
                pool,
                running_count: 0,
            }));
            pools.push(keys);
        }
        for index in 0..spec.entries_count {
            let mut entry = Entry::new(&entry_spec(spec, index));
            for (team, weight) in spec.weights.iter().enumerate() {
                entry.view.set_weight(TeamKey(team as u32), *weight);
            }
            for (pool, keys) in pools.iter().enumerate() {
                let capacity = keys.iter().fold(Load::default(), |sum, (_, facts)| {
                    sum.plus(&Load {
                        size: facts.capacity,
                        slots_count: u64::from(facts.slots_count),
                    })
                });
                entry.set_pool(PoolKey(pool as u16), capacity, keys);
            }
            self.entries.push(entry);
        }
    }

    fn add_events(&mut self) {
        let spec = self.spec;
        for (job, arrival) in self.arrivals.iter().enumerate() {
            self.jobs.push(Job {
                visits_count: 0,
                attempts_count: 0,
                deadline_ms: 0,
                stage: Stage::Away,
                holder: 0,
                pool: spec.queues[arrival.queue].pool,
                is_running: false,
                is_wanted: false,
                has_started: false,
                waiting: None,
            });
            self.at(arrival.at_ms, Event::Arrive(job, arrival.entry));
        }
        for entry in 0..spec.entries_count {
            let offset_ms = self.rng.random_range(0..spec.gossip_period_ms);
            self.at(offset_ms, Event::Gossip(entry));
            self.at(offset_ms % TICK_MS, Event::Tick(entry));
        }
        if let Some((entry, at_ms)) = spec.lost_entry {
            self.at(at_ms, Event::Lose(entry));
        }
        self.at(0, Event::Sample);
    }

    fn at(&mut self, at_ms: MonoMs, event: Event) {
        let payload = match self.free_payloads.pop() {
            Some(payload) => payload,
            None => {
                self.payloads.push(None);
                self.payloads.len() - 1
            }
        };
        self.payloads[payload] = Some(event);
        self.sequence += 1;
        self.events.push(Reverse((at_ms, self.sequence, payload)));
    }

    fn after(&mut self, delay_ms: u64, event: Event) {
        self.at(self.now_ms + delay_ms, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(job, entry) => self.arrive(job, entry),
            Event::Forwarded(job, entry) => self.push(job, entry),
            Event::Reach(job, entry, worker) => self.reach(job, entry, worker),
            Event::Finish(job, entry, worker) => self.worker_ended(job, entry, worker),
            Event::Answered(job, entry, worker, answer, running_count) => {
                self.answered(job, entry, worker, answer, running_count);
            }
            Event::PutBack(job, entry) => self.put_back(job, entry),
            Event::Gossip(entry) => self.gossip(entry),
            Event::Report(to, from, rows) => {
                let now_ms = self.now_ms;
                self.entries[to].take_report(now_ms, PeerKey(from as u32), rows);
                self.dispatch(to);
            }
            Event::Hint(entry, worker, running_count) => {
                self.entries[entry]
                    .placement
                    .report(self.now_ms, worker, running_count);
                self.dispatch(entry);
            }
            Event::Tick(entry) => self.tick(entry),
            Event::Lapse(job, visit) => {
                let job_state = &self.jobs[job];
                if job_state.visits_count == visit && !job_state.is_running {
                    self.set_wanted(job, false);
                }
            }
            Event::Lose(entry) => self.lose(entry),
            Event::Sample => self.sample(),
        }
    }

    /// A caller reaches an entry, for the first time or again.
    fn arrive(&mut self, job: JobKey, entry: usize) {
        let arrival = &self.arrivals[job];
        let queue = self.spec.queues[arrival.queue];
        let entry = match self.entries[entry].is_up {
            true => entry,
            false => (entry + 1) % self.spec.entries_count,
        };
        let state = &mut self.jobs[job];
        state.visits_count += 1;
        state.attempts_count = 0;
        state.deadline_ms = self.now_ms + queue.deadline_ms;
        let visit = state.visits_count;
        let lapse_ms = state.deadline_ms.saturating_sub(arrival.run_ms);
        self.outcome.arrived_count += u64::from(visit == 1);
        self.outcome.urgent_count += u64::from(visit == 1 && queue.is_urgent);
        self.set_wanted(job, true);
        self.at(lapse_ms, Event::Lapse(job, visit));
        match self.spec.way {
            Way::Owner => self.forward(job, entry, queue.pool),
            _ => self.push(job, entry),
        }
    }

    /// Sends a request on to the entry that decides for its pool.
    fn forward(&mut self, job: JobKey, entry: usize, pool: usize) {
        let owner = self.owner_of(pool);
        let hop_ms = match owner == entry {
            true => 0,
            false => self.spec.hop_ms,
        };
        self.jobs[job].holder = owner;
        let lost_owner = self.spec.lost_entry.map(|(lost, _)| lost);
        let wait_ms = match lost_owner {
            Some(lost) if self.owner_before_loss(pool) == lost => {
                self.taken_over_ms.saturating_sub(self.now_ms)
            }
            _ => 0,
        };
        self.after(hop_ms + wait_ms, Event::Forwarded(job, owner));
    }

    fn owner_of(&self, pool: usize) -> usize {
        (0..self.spec.entries_count)
            .filter(|entry| self.entries[*entry].is_up)
            .max_by_key(|entry| rendezvous_weight(pool, *entry))
            .unwrap_or(0)
    }

    fn owner_before_loss(&self, pool: usize) -> usize {
        (0..self.spec.entries_count)
            .max_by_key(|entry| rendezvous_weight(pool, *entry))
            .unwrap_or(0)
    }

    fn push(&mut self, job: JobKey, entry: usize) {
        if !self.entries[entry].is_up {
            return self.after(CALLER_NOTICES_MS, Event::Arrive(job, entry));
        }
        let waiting = self.waiting_of(job, entry);
        let (now_ms, pool) = (self.now_ms, self.jobs[job].pool);
        let size_max = Resources {
            cores_milli: u64::MAX,
            memory_mb: u64::MAX,
            accelerators_count: u64::MAX,
        };
        match self.entries[entry].push(now_ms, waiting, &size_max) {
            Ok(()) => {
                self.jobs[job].stage = Stage::Waiting;
                self.jobs[job].holder = entry;
                self.waiting[pool] += 1;
                self.dispatch(entry);
            }
            Err(refusal) => self.turned_away(job, refusal.retry_after_ms),
        }
    }

    fn waiting_of(&self, job: JobKey, entry: usize) -> Waiting {
        let (arrival, state) = (&self.arrivals[job], &self.jobs[job]);
        let team = arrival.team.map(|team| TeamKey(team as u32));
        let queue = QueueKey(arrival.queue as u16);
        let sizes = &self.entries[entry].sizes;
        let declared = clip(&arrival.declared_size);
        Waiting {
            key: RequestKey(job as u64),
            team,
            queue,
            pools: Arc::from([PoolKey(state.pool as u16)]),
            size: sizes.size_of(team, queue, &declared),
            enqueued_ms: self.now_ms,
            deadline_ms: state.deadline_ms,
            is_urgent: self.spec.queues[arrival.queue].is_urgent,
            declared_run_ms: arrival.declared_run_ms,
        }
    }

    /// The caller was refused or given up; it comes back when told, if it still wants to.
    fn turned_away(&mut self, job: JobKey, retry_after_ms: Option<u64>) {
        self.jobs[job].stage = Stage::Away;
        let Some(retry_after_ms) = retry_after_ms else {
            return;
        };
        if self.jobs[job].visits_count > self.spec.returns_max_count {
            return;
        }
        let at_ms = self.now_ms + retry_after_ms + self.spec.hop_ms;
        if self.jobs[job].visits_count == 1 {
            self.outcome.returned_count += 1;
        }
        if let Some(count) = self.outcome.returns_by_100_ms.get_mut(at_ms as usize / 100) {
            *count += 1;
        }
        let entry = self.rng.random_range(0..self.spec.entries_count);
        self.at(at_ms, Event::Arrive(job, entry));
    }

    fn dispatch(&mut self, entry: usize) {
        if !self.entries[entry].is_up {
            return;
        }
        for pool in 0..self.spec.workers_of_pools.len() {
            let key = PoolKey(pool as u16);
            while let Some((waiting, worker)) = self.entries[entry].dispatch(self.now_ms, key) {
                let job = waiting.key.0 as JobKey;
                let state = &mut self.jobs[job];
                state.stage = Stage::Sent;
                state.attempts_count += 1;
                state.waiting = Some(waiting);
                self.waiting[pool] -= 1;
                self.after(self.spec.hop_ms, Event::Reach(job, entry, worker));
            }
        }
    }

    /// An attempt reaches its worker.
    fn reach(&mut self, job: JobKey, entry: usize, worker: WorkerKey) {
        let now_ms = self.now_ms;
        let is_bad = self
            .spec
            .bad_worker
            .is_some_and(|(bad, from_ms)| bad == worker.0 && now_ms >= from_ms);
        let state = &mut self.workers[worker.0 as usize];
        let answer = match state.running_count >= self.spec.slots_count {
            true => Answer::Busy,
            false if is_bad => Answer::Failed,
            false => Answer::Ran,
        };
        if answer != Answer::Ran {
            let count = state.running_count;
            let answered = Event::Answered(job, entry, worker, answer, count);
            return self.after(self.spec.hop_ms, answered);
        }
        state.running_count += 1;
        let pool = state.pool;
        let team = self.team_index(job);
        self.running[team][pool] += 1;
        self.jobs[job].is_running = true;
        self.note_urgent_start(job);
        let run_ms = self.arrivals[job].run_ms;
        self.after(run_ms, Event::Finish(job, entry, worker));
    }

    fn note_urgent_start(&mut self, job: JobKey) {
        let arrival = &self.arrivals[job];
        let is_first = !std::mem::replace(&mut self.jobs[job].has_started, true);
        if is_first && self.spec.queues[arrival.queue].is_urgent {
            let start_ms = self.now_ms - arrival.at_ms;
            self.outcome.urgent_start_ms.saturating_record(start_ms);
        }
    }

    fn worker_ended(&mut self, job: JobKey, entry: usize, worker: WorkerKey) {
        let state = &mut self.workers[worker.0 as usize];
        state.running_count -= 1;
        let (count, pool) = (state.running_count, state.pool);
        let team = self.team_index(job);
        self.running[team][pool] -= 1;
        self.jobs[job].is_running = false;
        self.set_wanted(job, false);
        let answered = Event::Answered(job, entry, worker, Answer::Ran, count);
        self.after(self.spec.hop_ms, answered);
    }

    fn answered(
        &mut self,
        job: JobKey,
        entry: usize,
        worker: WorkerKey,
        answer: Answer,
        running_count: u32,
    ) {
        if !self.entries[entry].is_up {
            return;
        }
        let Some(waiting) = self.jobs[job].waiting.clone() else {
            return;
        };
        let (now_ms, pool) = (self.now_ms, PoolKey(self.jobs[job].pool as u16));
        self.entries[entry].ended(now_ms, &waiting, pool, worker, running_count);
        match answer {
            Answer::Busy => {
                self.entries[entry].placement.refused_busy(now_ms, worker);
                self.count_retry(RetryReason::WorkerBusy);
                self.put_back(job, entry);
            }
            Answer::Failed => self.failed(job, entry, worker),
            Answer::Ran => self.succeeded(job, entry, worker),
        }
        self.dispatch(entry);
        self.hint(entry, worker, running_count);
    }

    /// Tells peers of a slot that this entry saw free and does not use itself.
    fn hint(&mut self, entry: usize, worker: WorkerKey, running_count: u32) {
        let pool = PoolKey(self.workers[worker.0 as usize].pool as u16);
        let peer = self.entries[entry].whose_turn(self.now_ms, pool, worker);
        if let Some(PeerKey(to)) = peer {
            self.outcome.hints_count += 1;
            self.after(
                self.spec.hop_ms,
                Event::Hint(to as usize, worker, running_count),
            );
        }
    }

    fn succeeded(&mut self, job: JobKey, entry: usize, worker: WorkerKey) {
        let arrival = &self.arrivals[job];
        let team = arrival.team.map(|team| TeamKey(team as u32));
        let queue = QueueKey(arrival.queue as u16);
        let state = &mut self.entries[entry];
        state.sizes.observe(team, queue, &arrival.size);
        if let Line::Policy(line) = &mut state.line {
            line.observe_run(team, queue, arrival.run_ms);
        }
        if let Some(retries) = &mut state.retries {
            retries.succeeded();
        }
        self.observe_health(job, entry, worker, Outcome::Succeeded);
        let job = &mut self.jobs[job];
        job.stage = Stage::Done;
        let forward_ms = match self.spec.way {
            Way::Owner => self.spec.hop_ms,
            _ => 0,
        };
        let is_on_time = self.now_ms + forward_ms <= job.deadline_ms;
        self.outcome.on_time_count += u64::from(is_on_time);
        self.outcome.late_count += u64::from(!is_on_time);
        self.outcome.returned_served_count += u64::from(is_on_time && job.visits_count > 1);
    }

    fn failed(&mut self, job: JobKey, entry: usize, worker: WorkerKey) {
        self.observe_health(job, entry, worker, Outcome::Failed);
        let state = &self.jobs[job];
        let attempt = FailedAttempt {
            reason: RetryReason::TaskFailed,
            attempts_count: state.attempts_count,
            is_idempotent: true,
            latest_start_ms: state.deadline_ms,
        };
        let now_ms = self.now_ms;
        let Entry { retries, rng, .. } = &mut self.entries[entry];
        let decision = match retries {
            Some(retries) => retries.decide(now_ms, &attempt, rng),
            None if attempt.attempts_count < BASELINE_ATTEMPTS_COUNT => {
                RetryDecision::After { delay_ms: 0 }
            }
            None => RetryDecision::Stop(crate::policy::retry::StopReason::AttemptsSpent),
        };
        match decision {
            RetryDecision::After { delay_ms } => {
                self.count_retry(RetryReason::TaskFailed);
                self.after(delay_ms, Event::PutBack(job, entry));
            }
            RetryDecision::Stop(_) => {
                self.set_wanted(job, false);
                self.jobs[job].stage = Stage::Done;
            }
        }
    }

    fn observe_health(&mut self, job: JobKey, entry: usize, worker: WorkerKey, outcome: Outcome) {
        if self.spec.way == Way::Fifo {
            return;
        }
        let arrival = &self.arrivals[job];
        let attempt = Attempt {
            worker,
            work: WorkKey((arrival.queue * 1_000 + arrival.team.unwrap_or(999)) as u64),
            started_ms: self.now_ms,
            outcome,
        };
        let state = &mut self.entries[entry];
        if let Some(change) = state.health.observe(self.now_ms, &attempt) {
            state.set_access(change.worker, change.access);
        }
    }

    fn put_back(&mut self, job: JobKey, entry: usize) {
        let (now_ms, pool) = (self.now_ms, self.jobs[job].pool);
        let Some(waiting) = self.jobs[job].waiting.take() else {
            return;
        };
        if !self.entries[entry].is_up {
            return self.after(CALLER_NOTICES_MS, Event::Arrive(job, entry));
        }
        self.jobs[job].stage = Stage::Waiting;
        self.waiting[pool] += 1;
        self.entries[entry].line.put_back(now_ms, waiting);
    }

    fn gossip(&mut self, entry: usize) {
        self.after(self.spec.gossip_period_ms, Event::Gossip(entry));
        if !self.entries[entry].is_up {
            return;
        }
        let rows = self.entries[entry].report_rows();
        for to in (0..self.spec.entries_count).filter(|to| *to != entry) {
            self.after(self.spec.hop_ms, Event::Report(to, entry, rows.clone()));
        }
    }

    fn tick(&mut self, entry: usize) {
        if !self.entries[entry].is_up {
            return;
        }
        self.after(TICK_MS, Event::Tick(entry));
        for given_up in self.entries[entry].tick(self.now_ms) {
            let job = given_up.key.0 as JobKey;
            self.waiting[self.jobs[job].pool] -= 1;
            self.turned_away(job, Some(given_up.retry_after_ms));
        }
        self.dispatch(entry);
    }

    /// An entry is killed: its callers notice and go to another, what it runs is not answered.
    fn lose(&mut self, entry: usize) {
        self.entries[entry].is_up = false;
        self.taken_over_ms = self.now_ms + self.spec.take_over_ms;
        for job in 0..self.jobs.len() {
            if self.jobs[job].holder != entry || self.jobs[job].stage != Stage::Waiting {
                continue;
            }
            self.waiting[self.jobs[job].pool] -= 1;
            self.jobs[job].stage = Stage::Away;
            let delay_ms = CALLER_NOTICES_MS + self.entries[entry].draw_ms(CALLER_NOTICES_MS);
            let to = (entry + 1 + job) % self.spec.entries_count;
            self.after(delay_ms, Event::Arrive(job, to));
        }
    }

    fn sample(&mut self) {
        self.after(SAMPLE_MS, Event::Sample);
        let slots: Vec<u32> = self
            .spec
            .workers_of_pools
            .iter()
            .map(|count| count * self.spec.slots_count)
            .collect();
        let mut weights = self.spec.weights.clone();
        weights.push(self.spec.share.open_weight);
        let mut full_slots = 0.0;
        for (pool, slots) in slots.iter().enumerate() {
            let of_pool = |table: &[Vec<u32>]| table.iter().map(|of| of[pool]).sum::<u32>();
            let free = slots.saturating_sub(of_pool(&self.running));
            self.idle_slots += f64::from(free.min(self.waiting[pool]));
            self.all_slots += f64::from(*slots);
            if of_pool(&self.wanted) >= *slots {
                full_slots += f64::from(*slots);
            }
        }
        let ideal = ideal_running(&self.wanted, &weights, &slots);
        let actual: Vec<f64> = self
            .running
            .iter()
            .map(|of| f64::from(of.iter().sum::<u32>()))
            .collect();
        for meter in &mut self.meters {
            meter.sample(&actual, &ideal, full_slots);
        }
    }

    fn set_wanted(&mut self, job: JobKey, is_wanted: bool) {
        let team = self.team_index(job);
        let state = &mut self.jobs[job];
        let count = &mut self.wanted[team][state.pool];
        match (state.is_wanted, is_wanted) {
            (false, true) => *count += 1,
            (true, false) => *count -= 1,
            _ => {}
        }
        state.is_wanted = is_wanted;
    }

    fn team_index(&self, job: JobKey) -> usize {
        self.arrivals[job].team.unwrap_or(self.spec.weights.len())
    }

    fn count_retry(&mut self, reason: RetryReason) {
        *self.outcome.retried.entry(reason.to_string()).or_insert(0) += 1;
    }

    fn finish(mut self) -> WorldOutcome {
        for entry in &self.entries {
            for (reason, count) in entry.line.refused() {
                *self.outcome.refused.entry(reason.to_string()).or_insert(0) += count;
            }
        }
        let started_in_time = self
            .outcome
            .urgent_start_ms
            .count_between(0, URGENT_START_TARGET_MS);
        self.outcome.urgent_missed_count = self.outcome.urgent_count - started_in_time;
        self.outcome.distances = self.meters.iter().map(ShareMeter::distance).collect();
        self.outcome.misplaced_by_s = self.meters[0].misplaced_by_window().to_vec();
        self.outcome.idle_while_waiting_permille =
            self.idle_slots / self.all_slots.max(1.0) * 1_000.0;
        self.outcome
    }
}

impl WorldOutcome {
    fn empty(duration_ms: MonoMs) -> Self {
        Self {
            arrived_count: 0,
            on_time_count: 0,
            late_count: 0,
            returned_count: 0,
            returned_served_count: 0,
            returns_by_100_ms: vec![0; duration_ms as usize / 100 + 1],
            refused: IndexMap::new(),
            retried: IndexMap::new(),
            hints_count: 0,
            distances: Vec::new(),
            misplaced_by_s: Vec::new(),
            idle_while_waiting_permille: 0.0,
            urgent_start_ms: Histogram::new_with_bounds(1, 3_600_000, 3)
                .expect("the bounds are valid constants"),
            urgent_missed_count: 0,
            urgent_count: 0,
        }
    }
}

/// A worker as the brief's smaller deployment has it.
pub(crate) fn worker_facts(pool: usize, index: u32, slots_count: u32) -> WorkerFacts {
    WorkerFacts {
        pool: PoolKey(pool as u16),
        zone: ZoneKey((index % 4) as u16),
        capacity: WORKER_CAPACITY,
        slots_count,
        is_usable: true,
    }
}

/// Eight times the size of a request.
const WORKER_CAPACITY: Resources = Resources {
    cores_milli: REQUEST_SIZE.cores_milli * 8,
    memory_mb: REQUEST_SIZE.memory_mb * 8,
    accelerators_count: 0,
};

/// Bounds a declared size to what a worker has, as a caller would after its first refusal.
fn clip(declared: &Resources) -> Resources {
    Resources {
        cores_milli: declared.cores_milli.min(WORKER_CAPACITY.cores_milli),
        memory_mb: declared.memory_mb.min(WORKER_CAPACITY.memory_mb),
        accelerators_count: declared.accelerators_count,
    }
}

fn entry_spec(spec: &WorldSpec, index: usize) -> EntrySpec {
    let sharing = match spec.way {
        Way::Divided => Sharing::Divided,
        _ => Sharing::Levels,
    };
    EntrySpec {
        seed: spec.seed.wrapping_mul(31).wrapping_add(index as u64),
        zone: ZoneKey((index % 4) as u16),
        rank: index as u32,
        entries_count: spec.entries_count as u32,
        queue: (spec.way != Way::Fifo).then_some(QueueSettings {
            sharing,
            ..spec.queue
        }),
        share: spec.share,
        waiting_max_count: spec.queue.waiting_max_count,
        has_retry_budget: spec.way != Way::Fifo,
    }
}

/// Highest-random-weight hash (Thaler and Ravishankar, 1998).
fn rendezvous_weight(pool: usize, entry: usize) -> [u8; 32] {
    *blake3::hash(format!("{pool}/{entry}").as_bytes()).as_bytes()
}
