//! Simulation of an engine with its workers, its store and its lists, in virtual time. Workers run
//! what is ordered, list it and end it; each can be disconnected, crashed or restarted. After every
//! step the simulation checks that no task runs twice, no worker exceeds its capacity and no team
//! its limit. At each start it checks that the steps on which the task depends are done, and that
//! the order carries a ticket exactly if the queue needs one.

use std::collections::{HashMap, HashSet};

use hawthornladder::jobs::{
    Action, Catalog, EndKind, Engine, EngineSettings, InstanceFailure, InstanceInfo, InstanceOrder,
    InstanceState, JobId, JobSpec, JobState, OrderFailure, PollOrder, PollReply, Record, RunRow,
    Settled, Size, StartOrder, StopOrder, Submission, SubmitOutcome, TaskName, TicketRequest,
    WaveSpec, WorkerInfo,
};
use indexmap::{IndexMap, IndexSet};
use smol_str::{format_smolstr, SmolStr};

use super::cut_off_leader::CutOffLeader;
pub(crate) use super::fake_worker::{FakeWorker, Running};
use super::links::{Link, WorkerCall};

pub(crate) use super::builders::{
    catalog, job, long_running, settings_with_factor, size, step, with_weights, RECORD_MAX_BYTES,
};

/// Length of a step of virtual time, in milliseconds.
pub(crate) const STEP_MS: u64 = 10;
/// Time after which a connection to a worker that is gone fails, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 400;
/// Unix time at virtual time 0, in milliseconds.
pub(crate) const UNIX_MS: u64 = 1_700_000_000_000;
/// Most ends in an answer to a poll.
const ENDS_PER_ANSWER_COUNT: usize = 500;
/// Time that a worker takes to stop a run, in milliseconds.
const STOP_MS: u64 = 100;
/// Time that the store takes to persist records, in milliseconds.
const PERSIST_MS: u64 = 10;
/// Time from the crash of a worker to the start of the next one on its instance, in milliseconds.
const CRASHED_MS: u64 = 3_000;
/// Time for which a member of a gang waits for the others, in milliseconds.
const GANG_MS: u64 = 3_000;
/// Time for which tickets are valid, in milliseconds.
const TICKETS_VALID_MS: u64 = 3_000;

/// Availability zones; racks of four instances are in them by turns.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

fn zone_of(number: usize) -> &'static str {
    ZONES[number / 4 % ZONES.len()]
}

/// When an order is carried out.
#[derive(Clone, Copy, Debug)]
enum Arrival {
    AtOnce,
    Late,
}

/// A submitted job.
#[derive(Clone, Debug)]
pub(crate) struct SubmittedJob {
    pub(crate) spec: JobSpec,
    pub(crate) team: SmolStr,
    pub(crate) queue: SmolStr,
}

/// The engine with its simulated surroundings.
pub(crate) struct Simulation {
    pub(crate) engine: Engine,
    /// Connections and lease of the leader.
    pub(crate) link: Link,
    /// Earlier leaders that are cut off and still act.
    pub(crate) cut_off: Vec<CutOffLeader>,
    /// Calls that were held back and arrive late, with their times in milliseconds.
    pub(crate) late_calls: Vec<(u64, WorkerCall)>,
    /// A poll that a worker has not received is lost, also if the worker is reached again before the
    /// leader gives the call up.
    pub(crate) loses_unreceived_polls: bool,
    /// Run time outside the rack of a task's data relative to that inside, in thousandths.
    pub(crate) remote_factor_permille: u64,
    pub(crate) now_ms: u64,
    pub(crate) workers: IndexMap<SmolStr, FakeWorker>,
    pub(crate) instances: IndexMap<SmolStr, InstanceInfo>,
    pub(crate) catalog: Catalog,
    /// Zones that operators have evacuated.
    pub(crate) evacuated: IndexSet<SmolStr>,
    /// Records in the store, by key.
    pub(crate) stored: IndexMap<SmolStr, Vec<u8>>,
    pub(crate) is_store_unavailable: bool,
    /// Most bytes of a record that the store accepts.
    pub(crate) record_max_bytes: usize,
    pub(crate) accepted: Vec<JobId>,
    pub(crate) orders: Vec<InstanceOrder>,
    /// Workers that get a ticket for every step.
    pub(crate) eligible: Vec<SmolStr>,
    /// Requests that the eligibility service has received.
    pub(crate) ticket_requests: Vec<TicketRequest>,
    /// Orders to instances are lost on their way.
    pub(crate) loses_orders: bool,
    /// Orders to instances are refused, as the instances are busy.
    pub(crate) refuses_orders: bool,
    /// Orders to instances are carried out, but their first answers are lost.
    pub(crate) loses_first_answers: bool,
    /// Times of `orders`, in milliseconds.
    pub(crate) order_times_ms: Vec<u64>,
    /// Stop orders, with their times in milliseconds.
    pub(crate) stops: Vec<(u64, TaskName)>,
    pub(crate) paces: Vec<(TaskName, u64)>,
    /// Checkpoint that the runs of all workers report.
    pub(crate) checkpoint: SmolStr,
    /// Tail latency that the runs of each worker report, in milliseconds.
    pub(crate) tails_ms: HashMap<SmolStr, u64>,
    /// Run time by task, where it differs from the estimate.
    pub(crate) run_ms: HashMap<TaskName, u64>,
    /// Factor by which tasks run longer on a worker.
    pub(crate) slow_workers: HashMap<SmolStr, u64>,
    /// Tasks whose runs fail.
    pub(crate) failing: HashSet<TaskName>,
    /// Tasks that crash each worker that starts them.
    pub(crate) crashing: HashSet<TaskName>,
    pub(crate) starts: Vec<(u64, SmolStr, TaskName)>,
    pub(crate) polls: Vec<(PollOrder, u64)>,
    /// Polls that fail, with the times at which they do.
    pub(crate) failing_polls: Vec<(PollOrder, u64, OrderFailure)>,
    pub(crate) persisting: Option<(Vec<Record>, u64)>,
    arrivals: Vec<(u64, WorkerInfo)>,
    /// Delayed starts: due time, start time of the incarnation for which they were meant, and
    /// order.
    delayed_starts: Vec<(u64, u64, StartOrder)>,
    pub(crate) done: HashSet<TaskName>,
    /// Tasks whose ends as done have been acknowledged.
    pub(crate) settled_done: HashSet<TaskName>,
    pub(crate) submitted: HashMap<JobId, SubmittedJob>,
}

impl Simulation {
    /// Starts a simulation with `count` workers of 32 cores in each pool.
    pub(crate) fn open(pools: &[&str], count: usize) -> Self {
        Self::open_with_factor(pools, count, 1_000)
    }

    /// Starts a simulation in which tasks run longer outside the rack of their data.
    pub(crate) fn open_with_factor(pools: &[&str], count: usize, factor_permille: u64) -> Self {
        let catalog = catalog(pools);
        let settings = settings_with_factor(1, factor_permille);
        let mut simulation = Self {
            engine: Engine::open(settings, catalog.clone(), 1_000, UNIX_MS),
            link: Link::open(),
            cut_off: Vec::new(),
            late_calls: Vec::new(),
            loses_unreceived_polls: false,
            remote_factor_permille: factor_permille,
            now_ms: 1_000,
            workers: IndexMap::new(),
            instances: IndexMap::new(),
            catalog,
            evacuated: IndexSet::new(),
            stored: IndexMap::new(),
            is_store_unavailable: false,
            record_max_bytes: RECORD_MAX_BYTES,
            accepted: Vec::new(),
            orders: Vec::new(),
            eligible: Vec::new(),
            ticket_requests: Vec::new(),
            loses_orders: false,
            refuses_orders: false,
            loses_first_answers: false,
            order_times_ms: Vec::new(),
            stops: Vec::new(),
            paces: Vec::new(),
            checkpoint: SmolStr::default(),
            tails_ms: HashMap::new(),
            run_ms: HashMap::new(),
            slow_workers: HashMap::new(),
            failing: HashSet::new(),
            crashing: HashSet::new(),
            starts: Vec::new(),
            polls: Vec::new(),
            failing_polls: Vec::new(),
            persisting: None,
            arrivals: Vec::new(),
            delayed_starts: Vec::new(),
            done: HashSet::new(),
            settled_done: HashSet::new(),
            submitted: HashMap::new(),
        };
        for pool in pools {
            for number in 0..count {
                simulation.add_instance(&format_smolstr!("{pool}-{number}"), pool);
            }
        }
        simulation.list_all();
        simulation.advance(200);
        simulation
    }

    /// Adds an instance, with a worker unless its pool is standby.
    pub(crate) fn add_instance(&mut self, name: &SmolStr, pool: &str) {
        let rack: SmolStr = format_smolstr!("r1-{}", self.instances.len() / 4);
        let info = InstanceInfo {
            name: name.clone(),
            pool: pool.into(),
            state: InstanceState::Up,
            zone: zone_of(self.instances.len()).into(),
            labels: vec!["a".into(), rack],
            capacity: size(32_000, 128_000),
            worker: None,
        };
        self.instances.insert(name.clone(), info);
        let is_standby = self
            .catalog
            .pools
            .get(pool)
            .is_some_and(|pool| pool.is_standby);
        if !is_standby {
            self.add_worker(name, pool, 0);
        }
    }

    fn add_worker(&mut self, instance: &SmolStr, pool: &str, incarnation: u64) {
        let id = format_smolstr!("w-{instance}-{incarnation}");
        let row = &mut self.instances[instance];
        row.worker = Some(id.clone());
        let info = WorkerInfo {
            id: id.clone(),
            started_unix_ms: UNIX_MS + self.now_ms,
            address: ([10, 0, 0, 1], 8_000).into(),
            pool: pool.into(),
            zone: row.zone.clone(),
            labels: row.labels.clone(),
            capacity: row.capacity,
            is_draining: false,
            cold_ms: 0,
            instance: Some(instance.clone()),
        };
        let worker = FakeWorker {
            info,
            running: IndexMap::new(),
            ended: Vec::new(),
            unsettled_done: Vec::new(),
            blocked: HashSet::new(),
            fence: 0,
            next_number: 0,
            clock_start_ms: self.now_ms,
            leased_until_ms: 0,
            is_disconnected: false,
            loses_answers: false,
            is_dead: false,
            capacity_before: None,
            resets_connections: false,
            start_delay_ms: 0,
            expiry_delay_ms: 0,
            refuses_as_late: false,
        };
        self.workers.insert(id, worker);
    }

    /// Sends the lists of workers and instances to the engine.
    pub(crate) fn list_all(&mut self) {
        self.list_workers();
        self.list_instances();
    }

    fn list_workers(&mut self) {
        if self.link.is_cut_from_worker_list {
            return;
        }
        for worker in self.workers.values().filter(|worker| !worker.is_dead) {
            self.engine.worker_listed(worker.info.clone(), self.now_ms);
        }
    }

    /// Sends the entries of these workers to the engine.
    pub(crate) fn list_to_leader(&mut self, ids: &[SmolStr]) {
        for id in ids {
            let info = self.workers[id].info.clone();
            self.engine.worker_listed(info, self.now_ms);
        }
    }

    /// Tells the engine which workers are no longer listed, as their processes have ended.
    pub(crate) fn unlist_dead_workers(&mut self) {
        if self.link.is_cut_from_worker_list {
            return;
        }
        for (id, worker) in &self.workers {
            if worker.is_dead {
                self.engine.worker_unlisted(id, self.now_ms);
            }
        }
    }

    /// Sends the list of instances to the engine.
    pub(crate) fn list_instances(&mut self) {
        if self.link.is_cut_from_instances {
            return;
        }
        let infos = self.instances.values().cloned().collect();
        self.engine
            .instances_listed(infos, self.now_ms, self.now_ms);
    }

    /// Submits a job of the team `team` and returns its id.
    pub(crate) fn submit(&mut self, queue: &str, spec: JobSpec) -> JobId {
        self.submit_for("team", queue, spec)
    }

    /// Submits a job of any team and returns its id.
    pub(crate) fn submit_for(&mut self, team: &str, queue: &str, spec: JobSpec) -> JobId {
        let id = self.next_id();
        let outcome = self.try_submit(id, team, queue, spec);
        assert_eq!(outcome, SubmitOutcome::Pending);
        id
    }

    /// Returns an id that no job has.
    pub(crate) fn next_id(&self) -> JobId {
        JobId(u64::try_from(self.submitted.len()).expect("small") + 1)
    }

    /// Submits a job under an id and returns the engine's answer.
    pub(crate) fn try_submit(
        &mut self,
        id: JobId,
        team: &str,
        queue: &str,
        spec: JobSpec,
    ) -> SubmitOutcome {
        let submitted = SubmittedJob {
            spec: spec.clone(),
            team: team.into(),
            queue: queue.into(),
        };
        self.submitted.insert(id, submitted);
        self.engine.submit(Submission {
            id,
            queue: queue.into(),
            team: team.into(),
            spec,
        })
    }

    /// Puts lists in force in which teams have these weights.
    pub(crate) fn set_weights(&mut self, weights: &[(&str, f64)]) {
        self.catalog = with_weights(&self.catalog, weights);
        self.engine.set_catalog(self.catalog.clone());
    }

    /// Evacuates exactly these zones.
    pub(crate) fn evacuate(&mut self, zones: &[&str]) {
        self.evacuated = zones.iter().map(|zone| SmolStr::from(*zone)).collect();
        self.engine.set_evacuated_zones(&self.evacuated);
    }

    /// Requests the maintenance of instances, at most `at_once_max` at a time.
    pub(crate) fn request_wave(&mut self, number: u64, instances: &[SmolStr], at_once_max: usize) {
        self.engine.wave_requested(WaveSpec {
            number,
            instances: instances.to_vec(),
            duration_ms: 20_000,
            at_once_max,
        });
    }

    pub(crate) fn state(&self, id: JobId) -> Option<JobState> {
        self.engine.job_state(id)
    }

    /// Returns all runs of a job, with the ids of their workers.
    pub(crate) fn runs_of(&self, id: JobId) -> Vec<(SmolStr, TaskName, u64)> {
        let mut runs = Vec::new();
        for (worker, state) in &self.workers {
            let of_job = state.running.keys().filter(|(name, _)| name.job == id);
            runs.extend(of_job.map(|(name, run)| (worker.clone(), *name, *run)));
        }
        runs
    }

    /// Replaces the engine by one of a new leader, which has restored the stored records but has
    /// not read the lists.
    pub(crate) fn fail_over_without_lists(&mut self, fence: u64) {
        self.engine = self.open_engine(fence);
        self.polls.clear();
        self.failing_polls.clear();
        self.persisting = None;
        self.restore_engine();
    }

    /// Returns the engine of a new leader, which knows nothing yet.
    pub(crate) fn open_engine(&self, fence: u64) -> Engine {
        let unix_ms = UNIX_MS + self.now_ms;
        let settings = EngineSettings {
            record_max_bytes: self.record_max_bytes,
            ..settings_with_factor(fence, self.remote_factor_permille)
        };
        Engine::open(settings, self.catalog.clone(), self.now_ms, unix_ms)
    }

    /// Lets the engine restore the stored records.
    pub(crate) fn restore_engine(&mut self) {
        let records = self
            .stored
            .iter()
            .filter_map(|(key, value)| Record::decode(key, value))
            .collect();
        self.engine.restore(records);
        self.engine.set_evacuated_zones(&self.evacuated);
    }

    /// Removes a field from all stored records, as if an earlier version had written them.
    pub(crate) fn drop_from_records(&mut self, field: &str) {
        for value in self.stored.values_mut() {
            let mut record: serde_json::Value = serde_json::from_slice(value).expect("JSON");
            if let Some(fields) = record.as_object_mut() {
                fields.remove(field);
            }
            *value = serde_json::to_vec(&record).expect("JSON");
        }
    }

    /// Replaces the engine by one of a new leader, which has restored the records and read the
    /// lists.
    pub(crate) fn fail_over(&mut self, fence: u64) {
        self.fail_over_without_lists(fence);
        self.list_all();
    }

    /// Advances the time by `for_ms`.
    pub(crate) fn advance(&mut self, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            self.step();
        }
    }

    /// Advances the time until `is_met`, and fails after `within_ms`.
    pub(crate) fn advance_until(&mut self, within_ms: u64, is_met: impl Fn(&Self) -> bool) {
        let until_ms = self.now_ms + within_ms;
        while !is_met(self) {
            assert!(
                self.now_ms < until_ms,
                "condition not met within {within_ms} ms"
            );
            self.advance(STEP_MS);
        }
    }

    fn step(&mut self) {
        self.end_runs();
        self.run_delayed_starts();
        self.deliver_late_calls();
        self.start_arrived_workers();
        self.renew_lease();
        self.answer_polls();
        self.persist_records();
        self.run_engine();
        self.step_cut_off_leaders();
        self.check();
    }

    /// Lets the engine do what is due, and carries out its orders.
    pub(crate) fn run_engine(&mut self) {
        if !self.link.may_act(self.now_ms) {
            return;
        }
        self.engine.advance(self.now_ms, UNIX_MS + self.now_ms);
        for action in self.engine.take_actions() {
            self.carry_out(action);
        }
    }

    fn end_runs(&mut self) {
        let now_ms = self.now_ms;
        let waiting = self.waiting_members();
        for worker in self.workers.values_mut() {
            let is_lease_expired = now_ms >= worker.leased_until_ms + worker.expiry_delay_ms;
            let due: Vec<_> = worker
                .running
                .iter()
                .filter(|(key, run)| {
                    let is_waiting = waiting.contains(*key);
                    let is_gang_incomplete = is_waiting && now_ms >= run.started_ms + GANG_MS;
                    let is_due = now_ms >= run.ends_ms;
                    let may_end = run.end != EndKind::Done || !is_waiting;
                    is_lease_expired || is_gang_incomplete || is_due && may_end
                })
                .map(
                    |(key, run)| match waiting.contains(key) && run.end == EndKind::Done {
                        true => (*key, EndKind::GangTimeout),
                        false => (*key, run.end),
                    },
                )
                .collect();
            if is_lease_expired {
                worker.unsettled_done.clear();
            }
            for (key, end) in due {
                let kind = if is_lease_expired {
                    EndKind::LeaseExpired
                } else {
                    end
                };
                worker.end(key, kind);
                if kind == EndKind::Done {
                    worker
                        .unsettled_done
                        .push((worker.next_number, key.0, now_ms));
                    let step = &self.submitted[&key.0.job].spec.steps[usize::from(key.0.step)];
                    let all = (0..step.tasks_count).map(|index| TaskName { index, ..key.0 });
                    let ended = all.filter(|name| step.is_gang || *name == key.0);
                    self.done.extend(ended);
                }
            }
        }
    }

    /// Returns the members of gangs that cannot end yet because not all members run.
    fn waiting_members(&self) -> HashSet<(TaskName, u64)> {
        let mut members: HashMap<(TaskName, u64), Vec<(TaskName, u64)>> = HashMap::new();
        for (name, run) in self
            .workers
            .values()
            .flat_map(|worker| worker.running.keys())
        {
            let step = &self.submitted[&name.job].spec.steps[usize::from(name.step)];
            if step.is_gang {
                let gang = (TaskName { index: 0, ..*name }, *run);
                members.entry(gang).or_default().push((*name, *run));
            }
        }
        let is_whole = |gang: &TaskName, count: usize| {
            let step = &self.submitted[&gang.job].spec.steps[usize::from(gang.step)];
            u32::try_from(count) == Ok(step.tasks_count)
        };
        members.retain(|(gang, _), here| !is_whole(gang, here.len()));
        members.into_values().flatten().collect()
    }

    fn start_arrived_workers(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<WorkerInfo> = self
            .arrivals
            .iter()
            .filter(|(at_ms, _)| *at_ms <= now_ms)
            .map(|(_, info)| info.clone())
            .collect();
        self.arrivals.retain(|(at_ms, _)| *at_ms > now_ms);
        for info in due {
            let instance = info.instance.clone().expect("set by `order_instance`");
            let pool = info.pool.clone();
            self.instances[&instance].state = InstanceState::Up;
            self.add_worker(&instance, &pool, now_ms);
            self.list_workers();
            if !self.loses_first_answers {
                self.list_instances();
            }
        }
    }

    pub(crate) fn answer_polls(&mut self) {
        let now_ms = self.now_ms;
        for (order, due_ms, failure) in std::mem::take(&mut self.failing_polls) {
            match now_ms >= due_ms {
                true => self.engine.poll_failed(&order, failure, now_ms),
                false => self.failing_polls.push((order, due_ms, failure)),
            }
        }
        for (order, due_ms) in std::mem::take(&mut self.polls) {
            let worker = &self.workers[&order.target.id];
            let has_new_ends = worker
                .ended
                .iter()
                .any(|end| end.number > order.acknowledged_through);
            let is_unreceived = self.loses_unreceived_polls && worker.fence < order.target.fence;
            let is_heard = self.link.hears(&order.target.id);
            let is_cut = is_unreceived || !is_heard;
            // The connection ended with the process that had received the poll.
            let is_reset = is_unreceived && is_heard && !worker.is_silent();
            match () {
                () if is_cut || worker.is_silent() => {
                    if now_ms >= due_ms || worker.resets_connections || is_reset {
                        let failure = OrderFailure::Lost;
                        self.engine.poll_failed(&order, failure, now_ms);
                    } else {
                        self.polls.push((order, due_ms));
                    }
                }
                () if has_new_ends || now_ms >= due_ms => {
                    let reply = self.poll_reply(&order);
                    self.engine.poll_answered(&order, reply, now_ms);
                }
                () => self.polls.push((order, due_ms)),
            }
        }
    }

    fn poll_reply(&self, order: &PollOrder) -> PollReply {
        let worker = &self.workers[&order.target.id];
        let tail_ms = self.tails_ms.get(&order.target.id).copied().unwrap_or(0);
        PollReply {
            clock_ms: worker.clock_ms(self.now_ms),
            started_unix_ms: worker.info.started_unix_ms,
            running: worker
                .running
                .keys()
                .map(|(name, run_number)| RunRow {
                    name: *name,
                    run_number: *run_number,
                    checkpoint: self.checkpoint.clone(),
                    percent: 100,
                    metric: tail_ms,
                })
                .collect(),
            ended: worker
                .ended
                .iter()
                .filter(|end| end.number > order.acknowledged_through)
                .take(ENDS_PER_ANSWER_COUNT)
                .cloned()
                .collect(),
            has_more_ends: worker.ended.len() >= ENDS_PER_ANSWER_COUNT,
            acknowledged_through: order.acknowledged_through,
        }
    }

    fn persist_records(&mut self) {
        if self.is_store_unavailable || self.link.is_cut_from_store {
            return;
        }
        if let Some((records, due_ms)) = self.persisting.take() {
            if self.now_ms < due_ms {
                self.persisting = Some((records, due_ms));
                return;
            }
            self.store(&records);
            for settled in self.engine.records_persisted() {
                if let Settled::Accepted(id) = settled {
                    self.accepted.push(id);
                }
            }
        }
        if let Some(records) = self.engine.take_records() {
            self.persisting = Some((records, self.now_ms + PERSIST_MS));
        }
    }

    /// Stores records.
    pub(crate) fn store(&mut self, records: &[Record]) {
        for (key, value) in records.iter().flat_map(Record::encode) {
            let bytes = key.len() + value.as_ref().map_or(0, Vec::len);
            let max_bytes = self.record_max_bytes;
            assert!(bytes < max_bytes, "a record of {bytes} bytes under {key}");
            match value {
                Some(value) => self.stored.insert(key, value),
                None => self.stored.shift_remove(&key),
            };
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Start(order) => self.start(&order),
            Action::Stop(order) => self.stop(&order),
            Action::Pace(order) => self.paces.push((order.name, order.percent)),
            Action::Poll(order) => self.poll(order),
            Action::Instance(order) => self.order_instance(order),
            Action::RequestTickets(request) => self.answer_tickets(request),
            Action::ReportWave { .. } => {}
        }
    }

    fn answer_tickets(&mut self, request: TicketRequest) {
        let is_eligible = |id: &&SmolStr| self.eligible.contains(*id);
        let ids = request.workers.iter().map(|worker| &worker.id);
        let tickets = ids.filter(is_eligible);
        let tickets = tickets.map(|id| (id.clone(), format_smolstr!("ticket-{id}")));
        let answer = Some((tickets.collect(), TICKETS_VALID_MS));
        self.engine.tickets_answered(&request, answer, self.now_ms);
        self.ticket_requests.push(request);
    }

    fn poll(&mut self, mut order: PollOrder) {
        let now_ms = self.now_ms;
        let due_ms = now_ms + order.wait_ms + STEP_MS;
        if let Some(failure) = self.link.failure_of(WorkerCall::Poll(order.clone())) {
            self.failing_polls.push((order, due_ms, failure));
            return;
        }
        let worker = &self.workers[&order.target.id];
        if !worker.is_disconnected && !worker.is_dead {
            if order.target.fence < worker.fence {
                self.engine
                    .poll_failed(&order, OrderFailure::Fenced, now_ms);
                return;
            }
            if !self.link.is_leased(now_ms) && !worker.is_incarnation_of(&order.target) {
                order.lease_end_worker_ms = None;
                order.acknowledged_through = 0;
            }
            self.receive_poll(&order);
        }
        let worker = &self.workers[&order.target.id];
        if worker.is_dead && worker.resets_connections {
            let failure = OrderFailure::NotSent;
            self.failing_polls
                .push((order, now_ms + CONNECT_TIMEOUT_MS, failure));
            return;
        }
        self.polls.push((order, due_ms));
    }

    /// Lets a worker carry out a poll, unless it has seen a higher fence.
    pub(crate) fn receive_poll(&mut self, order: &PollOrder) {
        let now_ms = self.now_ms;
        let worker = &mut self.workers[&order.target.id];
        if order.target.fence < worker.fence {
            return;
        }
        worker.fence = order.target.fence;
        if let Some(until_ms) = order.lease_end_worker_ms {
            worker.extend_leases(until_ms, now_ms);
        }
        let settled_through = order.acknowledged_through;
        worker.ended.retain(|end| end.number > settled_through);
        let settled = worker.take_settled_done(settled_through);
        self.note_done(&settled);
    }

    fn start(&mut self, order: &StartOrder) {
        self.check_zone(order);
        let now_ms = self.now_ms;
        if let Some(failure) = self.link.failure_of(WorkerCall::Start(order.clone())) {
            self.engine.start_failed(order, failure, now_ms);
            return;
        }
        let worker = &mut self.workers[&order.target.id];
        if worker.is_disconnected || worker.is_dead {
            self.engine.start_failed(order, OrderFailure::Lost, now_ms);
            return;
        }
        if !self.link.is_leased(now_ms) && !worker.is_incarnation_of(&order.target) {
            let failure = OrderFailure::Restarted;
            self.engine.start_failed(order, failure, now_ms);
            return;
        }
        if worker.start_delay_ms > 0 {
            let due_ms = now_ms + worker.start_delay_ms;
            let incarnation = worker.info.started_unix_ms;
            self.delayed_starts
                .push((due_ms, incarnation, order.clone()));
            self.engine.start_failed(order, OrderFailure::Lost, now_ms);
            return;
        }
        let key = (order.name, order.run.run);
        let failure = match () {
            () if order.target.fence < worker.fence => Some(OrderFailure::Fenced),
            () if worker.refuses_as_late => Some(OrderFailure::Late),
            () if worker.blocked.contains(&key) => Some(OrderFailure::Outdated),
            () => None,
        };
        if let Some(failure) = failure {
            self.engine.start_failed(order, failure, now_ms);
            return;
        }
        worker.fence = order.target.fence;
        self.start_run(order, Arrival::AtOnce);
        let worker = &self.workers[&order.target.id];
        match worker.loses_answers || !self.link.hears(&order.target.id) {
            true => self.engine.start_failed(order, OrderFailure::Lost, now_ms),
            false => {
                let clock_ms = worker.clock_ms(now_ms);
                self.engine.start_accepted(order, Some(clock_ms), now_ms);
            }
        }
        self.crash_if_crashing(order);
    }

    fn crash_if_crashing(&mut self, order: &StartOrder) {
        if self.crashing.contains(&order.name) {
            self.crash(&order.target.id);
        }
    }

    /// Changes the capacity of a worker, which its next entry in the list shows.
    pub(crate) fn resize(&mut self, id: &SmolStr, capacity: Size) {
        let worker = &mut self.workers[id];
        let before = worker.info.capacity;
        worker.capacity_before.get_or_insert(before);
        worker.info.capacity = capacity;
    }

    /// Gives all workers the capacity that they had before it changed.
    pub(crate) fn restore_capacities(&mut self) {
        for worker in self.workers.values_mut() {
            let before = worker.capacity_before.unwrap_or(worker.info.capacity);
            worker.info.capacity = before;
        }
    }

    /// Checks that a worker has the capacity for one more run. For an order that it carries out late,
    /// the capacity counts that it had before.
    fn check_capacity(&self, id: &SmolStr, reservation: &Size, arrival: Arrival) {
        let worker = &self.workers[id];
        let capacity = match arrival {
            Arrival::AtOnce => worker.info.capacity,
            Arrival::Late => worker.capacity_before.unwrap_or(worker.info.capacity),
        };
        let mut used = Size::default();
        for run in worker.running.values() {
            used.add(&run.reservation);
        }
        assert!(
            used.fits_with(reservation, &capacity),
            "a start exceeds the capacity of {id}: {used:?} and {reservation:?}"
        );
    }

    /// Restarts a worker under its id; the leader does not learn it from the list.
    pub(crate) fn restart(&mut self, id: &SmolStr) {
        let started_unix_ms = UNIX_MS + self.now_ms;
        self.workers[id].restart(started_unix_ms);
    }

    /// Crashes a worker. Another one starts on its instance some time later.
    pub(crate) fn crash(&mut self, id: &SmolStr) {
        let worker = &mut self.workers[id];
        worker.crash();
        let info = worker.info.clone();
        let instance = info.instance.clone().expect("set by `add_worker`");
        let row = &mut self.instances[&instance];
        row.worker = None;
        row.state = InstanceState::Down;
        self.arrivals.push((self.now_ms + CRASHED_MS, info));
    }

    /// Carries out the delayed starts that are due, unless they have become invalid.
    fn run_delayed_starts(&mut self) {
        let now_ms = self.now_ms;
        let (due, later) = std::mem::take(&mut self.delayed_starts)
            .into_iter()
            .partition(|(due_ms, _, _)| *due_ms <= now_ms);
        self.delayed_starts = later;
        let due: Vec<(u64, u64, StartOrder)> = due;
        for (_, incarnation, order) in due {
            let worker = &self.workers[&order.target.id];
            let is_outdated = worker.is_dead
                || worker.info.started_unix_ms != incarnation
                || order.target.fence < worker.fence
                || order.lease_end_worker_ms <= worker.clock_ms(now_ms)
                || worker.blocked.contains(&(order.name, order.run.run));
            if !is_outdated {
                self.start_run(&order, Arrival::Late);
                self.crash_if_crashing(&order);
            }
        }
    }

    /// Starts a run whose order was held back on its way.
    pub(crate) fn start_run_late(&mut self, order: &StartOrder) {
        self.start_run(order, Arrival::Late);
        self.crash_if_crashing(order);
    }

    /// Starts a run at its worker.
    fn start_run(&mut self, order: &StartOrder, arrival: Arrival) {
        let now_ms = self.now_ms;
        let key = (order.name, order.run.run);
        let worker = &mut self.workers[&order.target.id];
        let step = &order.spec.steps[usize::from(order.name.step)];
        let is_failing = self.failing.contains(&order.name);
        let slow_factor = self.slow_workers.get(&order.target.id).copied();
        let run_ms = self.run_ms.get(&order.name).copied();
        let run_ms = run_ms.unwrap_or(step.estimate_ms) * slow_factor.unwrap_or(1);
        let is_outside = step
            .near_rack
            .as_ref()
            .is_some_and(|rack| !worker.info.labels.contains(rack));
        let run_ms = match is_outside {
            true => run_ms * self.remote_factor_permille / 1_000,
            false => run_ms,
        };
        let run = Running {
            reservation: step.reservation(),
            team: self.submitted[&order.name.job].team.clone(),
            started_ms: now_ms,
            ends_ms: match step.is_long_running {
                true => u64::MAX,
                false => now_ms + run_ms,
            },
            end: if is_failing {
                EndKind::Failed
            } else {
                EndKind::Done
            },
        };
        worker.extend_leases(order.lease_end_worker_ms, now_ms);
        self.check_capacity(&order.target.id, &run.reservation, arrival);
        self.workers[&order.target.id].running.insert(key, run);
        if step.in_one_rack && !step.is_long_running {
            self.slow_spanning_gang(order);
        }
        self.starts
            .push((now_ms, order.target.id.clone(), order.name));
        self.check_order(order);
        self.check_ticket(order);
    }

    /// Makes the members of a gang that spans racks run longer.
    fn slow_spanning_gang(&mut self, order: &StartOrder) {
        let factor_permille = self.remote_factor_permille;
        let run_ms = order.spec.steps[usize::from(order.name.step)].estimate_ms;
        let is_member = |(name, run): &(TaskName, u64)| {
            let gang = TaskName {
                index: order.name.index,
                ..*name
            };
            gang == order.name && *run == order.run.run
        };
        let workers = self.workers.values();
        let hosts = workers.filter(|worker| worker.running.keys().any(is_member));
        let racks: HashSet<SmolStr> = hosts.map(|worker| worker.info.labels[1].clone()).collect();
        if racks.len() < 2 {
            return;
        }
        for worker in self.workers.values_mut() {
            let members = worker.running.iter_mut().filter(|(key, _)| is_member(key));
            for (_, run) in members {
                run.ends_ms = run.started_ms + run_ms * factor_permille / 1_000;
            }
        }
    }

    fn stop(&mut self, order: &StopOrder) {
        let now_ms = self.now_ms;
        self.stops.push((now_ms, order.name));
        if let Some(failure) = self.link.failure_of(WorkerCall::Stop(order.clone())) {
            self.engine.stop_failed(order, failure, now_ms);
            return;
        }
        let worker = &self.workers[&order.target.id];
        if worker.is_disconnected || worker.is_dead {
            self.engine.stop_failed(order, OrderFailure::Lost, now_ms);
            return;
        }
        if order.target.fence < worker.fence {
            let failure = OrderFailure::Fenced;
            self.engine.stop_failed(order, failure, now_ms);
            return;
        }
        self.stop_at_worker(order);
        let worker = &self.workers[&order.target.id];
        if !worker.loses_answers && self.link.hears(&order.target.id) {
            self.engine.stop_accepted(order, now_ms);
        }
    }

    /// Lets a worker stop a run, unless it has seen a higher fence.
    pub(crate) fn stop_at_worker(&mut self, order: &StopOrder) {
        let now_ms = self.now_ms;
        let worker = &mut self.workers[&order.target.id];
        if order.target.fence < worker.fence {
            return;
        }
        worker.fence = order.target.fence;
        let key = (order.name, order.run_number);
        worker.blocked.insert(key);
        if let Some(run) = worker.running.get_mut(&key) {
            run.ends_ms = run.ends_ms.min(now_ms + STOP_MS);
            run.end = EndKind::Stopped;
        }
    }

    fn order_instance(&mut self, order: InstanceOrder) {
        let now_ms = self.now_ms;
        if !self.link.is_leased(now_ms) {
            return;
        }
        if self.loses_orders || self.link.is_cut_from_instances {
            let answer = Err(InstanceFailure::Lost);
            self.engine.instance_answered(&order, answer, now_ms);
            return;
        }
        if self.refuses_orders {
            let answer = Err(InstanceFailure::Busy);
            self.engine.instance_answered(&order, answer, now_ms);
            return;
        }
        let is_repeat = self.orders.contains(&order);
        if is_repeat && self.loses_first_answers {
            self.engine.instance_answered(&order, Ok(()), now_ms);
            return;
        }
        let row = &mut self.instances[order.instance()];
        let (pool, state, takes_ms) = match &order {
            InstanceOrder::Move { pool, .. } => (pool.clone(), InstanceState::Moving, 1_500),
            InstanceOrder::Maintain { .. } => (row.pool.clone(), InstanceState::Maintained, 2_000),
        };
        row.pool = pool.clone();
        row.state = state;
        let old = row.worker.take();
        if let Some(worker) = old.and_then(|id| self.workers.get_mut(&id)) {
            worker.running.clear();
            worker.is_dead = true;
        }
        let is_standby = self.catalog.pools[&pool].is_standby;
        if is_standby {
            row.state = InstanceState::Up;
        } else {
            let mut info = self.workers[0].info.clone();
            info.instance = Some(order.instance().clone());
            info.pool = pool;
            info.zone = row.zone.clone();
            self.arrivals.push((now_ms + takes_ms, info));
        }
        let answer = match self.loses_first_answers {
            true => Err(InstanceFailure::Lost),
            false => Ok(()),
        };
        self.engine.instance_answered(&order, answer, now_ms);
        self.orders.push(order);
        self.order_times_ms.push(now_ms);
    }
}
