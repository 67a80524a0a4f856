//! The simulated world in virtual time: callers, entries that drive the policy code, workers with
//! slots, delayed gossip, the loss of an entry and a worker that fails every request.

mod attempts;
mod callers;
mod spec;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fleet::MonoMs;
use crate::load::demand::Arrival;
use crate::load::entry::Entry;
use crate::load::measure::{ideal_running, ShareMeter};
use crate::policy::keys::{PeerKey, PoolKey, TeamKey, WorkerKey};
use crate::policy::lane::WaitingRequest;
use crate::policy::retry::RetryReason;
use crate::policy::usage::{Load, UsageRow};
use crate::policy::worker::WorkerFacts;

use spec::entry_spec;
pub(crate) use spec::worker_facts;
pub use spec::{SchedulingPolicy, WorldOutcome, WorldSpec, URGENT_START_TARGET_MS};

/// Interval of the samples of running and servable requests.
const SAMPLE_MS: u64 = 20;

/// Interval of an entry's ticks.
const TICK_MS: u64 = 10;

/// Time after which a caller detects that its entry is lost.
const CALLER_DETECTION_MS: u64 = 200;

type JobKey = usize;

/// Answer of a worker to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Ran,
    Failed,
    Busy,
}

/// Event of the simulation. Each `usize` is the index of an entry, and `Report` has its receiver
/// before its sender. The `u32` of `Answered` and `Hint` is the number of requests that the worker
/// runs.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Event {
    Arrive(JobKey, usize),
    Forwarded(JobKey, usize),
    ReachWorker(JobKey, usize, WorkerKey),
    Finish(JobKey, usize, WorkerKey),
    Answered(JobKey, usize, WorkerKey, Answer, u32),
    PutBack(JobKey, usize),
    Gossip(usize),
    Report(usize, usize, Vec<UsageRow>),
    Hint(usize, WorkerKey, u32),
    Tick(usize),
    /// The given submission of the request can no longer meet its deadline.
    Expire(JobKey, u32),
    LoseEntry(usize),
    Sample,
}

/// Where a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    WithCaller,
    Waiting,
    Dispatched,
    Done,
}

struct Job {
    submissions_count: u32,
    attempts_count: u32,
    deadline_ms: MonoMs,
    stage: Stage,
    holder: usize,
    pool: usize,
    is_running: bool,
    is_servable: bool,
    has_started: bool,
    waiting: Option<WaitingRequest>,
}

struct Worker {
    pool: usize,
    running_count: u32,
}

/// State of the simulation.
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
    failover_end_ms: MonoMs,
    servable: Vec<Vec<u32>>,
    running: Vec<Vec<u32>>,
    waiting: Vec<u32>,
    meters: Vec<ShareMeter>,
    idle_slots: f64,
    all_slots: f64,
    outcome: WorldOutcome,
}

/// Runs the simulation to its end.
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
            failover_end_ms: 0,
            servable: vec![vec![0; pools_count]; teams_count],
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
                submissions_count: 0,
                attempts_count: 0,
                deadline_ms: 0,
                stage: Stage::WithCaller,
                holder: 0,
                pool: spec.queues[arrival.queue].pool,
                is_running: false,
                is_servable: false,
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
            self.at(at_ms, Event::LoseEntry(entry));
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
            Event::ReachWorker(job, entry, worker) => self.reach_worker(job, entry, worker),
            Event::Finish(job, entry, worker) => self.worker_ended(job, entry, worker),
            Event::Answered(job, entry, worker, answer, running_count) => {
                self.answered(job, entry, worker, answer, running_count);
            }
            Event::PutBack(job, entry) => self.put_back(job, entry),
            Event::Gossip(entry) => self.gossip(entry),
            Event::Report(to, from, rows) => {
                let now_ms = self.now_ms;
                self.entries[to].apply_report(now_ms, PeerKey(from as u32), rows);
                self.dispatch(to);
            }
            Event::Hint(entry, worker, running_count) => {
                self.entries[entry]
                    .placement
                    .report(self.now_ms, worker, running_count);
                self.dispatch(entry);
            }
            Event::Tick(entry) => self.tick(entry),
            Event::Expire(job, submission) => {
                let job_state = &self.jobs[job];
                if job_state.submissions_count == submission && !job_state.is_running {
                    self.set_servable(job, false);
                }
            }
            Event::LoseEntry(entry) => self.lose_entry(entry),
            Event::Sample => self.sample(),
        }
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
            self.caller_refused(job, Some(given_up.retry_after_ms));
        }
        self.dispatch(entry);
    }

    /// Ends an entry. The callers whose requests wait there go to another entry; requests that it
    /// has sent to workers are not answered.
    fn lose_entry(&mut self, entry: usize) {
        self.entries[entry].is_up = false;
        self.failover_end_ms = self.now_ms + self.spec.failover_ms;
        for job in 0..self.jobs.len() {
            if self.jobs[job].holder != entry || self.jobs[job].stage != Stage::Waiting {
                continue;
            }
            self.waiting[self.jobs[job].pool] -= 1;
            self.jobs[job].stage = Stage::WithCaller;
            let delay_ms = CALLER_DETECTION_MS + self.entries[entry].draw_ms(CALLER_DETECTION_MS);
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
            if of_pool(&self.servable) >= *slots {
                full_slots += f64::from(*slots);
            }
        }
        let ideal = ideal_running(&self.servable, &weights, &slots);
        let actual: Vec<f64> = self
            .running
            .iter()
            .map(|of| f64::from(of.iter().sum::<u32>()))
            .collect();
        for meter in &mut self.meters {
            meter.sample(&actual, &ideal, full_slots);
        }
    }

    fn set_servable(&mut self, job: JobKey, is_servable: bool) {
        let team = self.team_index(job);
        let state = &mut self.jobs[job];
        let count = &mut self.servable[team][state.pool];
        match (state.is_servable, is_servable) {
            (false, true) => *count += 1,
            (true, false) => *count -= 1,
            _ => {}
        }
        state.is_servable = is_servable;
    }

    fn team_index(&self, job: JobKey) -> usize {
        self.arrivals[job].team.unwrap_or(self.spec.weights.len())
    }

    fn count_retry(&mut self, reason: RetryReason) {
        *self.outcome.retried.entry(reason.to_string()).or_insert(0) += 1;
    }

    fn finish(mut self) -> WorldOutcome {
        for entry in &self.entries {
            for (reason, count) in entry.wait_queue.refused() {
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
