//! One pool of the job engine with simulated workers, in virtual time: every order is carried out
//! at once, every record is persisted at once, and nothing fails.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use indexmap::{IndexMap, IndexSet};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::{format_smolstr, SmolStr};

use crate::jobs::{
    Action, Catalog, EndKind, Engine, EngineSettings, ForecastMethod, JobId, JobState, PollOrder,
    PollReply, Pool, Queue, RunEnd, RunRow, Size, StartOrder, Submission, SubmitOutcome, TaskName,
    Team, WorkerInfo, WorkerKey,
};
use crate::load::RECORD_MAX_BYTES;

/// Name of the pool and of its queue.
pub(crate) const POOL: &str = "pool";
/// Length of a step of virtual time, in milliseconds.
pub(crate) const STEP_MS: u64 = 10;
/// Cores of a worker, in thousandths.
pub(crate) const WORKER_CPU_MILLIS: u64 = 32_000;
/// Memory of a worker, in megabytes.
const WORKER_MEMORY_MB: u64 = 131_072;
/// Unix time at virtual time 0, in milliseconds.
const UNIX_MS: u64 = 1_700_000_000_000;
/// Bounds of the run time of a task relative to its estimate.
const RUN_TIME_BOUNDS: (f64, f64) = (0.6, 1.4);

/// A simulated worker.
#[derive(Default)]
struct PlayedWorker {
    running: IndexSet<(TaskName, u64)>,
    ended: Vec<RunEnd>,
    next_number: u64,
    /// Poll that waits for an end, and the time at which it is answered in any case.
    waiting: Option<(PollOrder, u64)>,
}

/// The engine and its workers.
pub(crate) struct PlayedPool {
    engine: Engine,
    workers: IndexMap<WorkerKey, PlayedWorker>,
    ends: BinaryHeap<Reverse<(u64, usize)>>,
    started: Vec<StartOrder>,
    rng: ChaCha8Rng,
    pub(crate) now_ms: u64,
}

impl PlayedPool {
    /// Starts a pool with `workers_count` workers and these teams.
    pub(crate) fn open(workers_count: u32, teams: Vec<Team>, seed: u64) -> Self {
        let settings = EngineSettings {
            fence: 1,
            run_lease_ms: 4_000,
            poll_wait_ms: 800,
            starts_per_step_max: usize::MAX,
            stop_ms: 200,
            inherited_runs_max_ms: 0,
            ended_retention_ms: 120_000,
            move_ms: 1_500,
            maintain_ms: 2_000,
            instance_lease_ms: 3_000,
            earlier_orders_wait_ms: 0,
            capacity_age_max_ms: 0,
            forecast: ForecastMethod::default(),
            record_max_bytes: RECORD_MAX_BYTES,
            remote_factor_permille: 1_000,
        };
        let mut engine = Engine::open(settings, catalog(teams), 0, UNIX_MS);
        for number in 0..workers_count {
            engine.worker_listed(worker_info(number), 0);
        }
        Self {
            engine,
            workers: IndexMap::new(),
            ends: BinaryHeap::new(),
            started: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now_ms: 0,
        }
    }

    /// Submits a job to the pool.
    pub(crate) fn submit(&mut self, submission: Submission) -> SubmitOutcome {
        self.engine.submit(submission)
    }

    /// Returns whether a job is complete.
    pub(crate) fn is_complete(&self, id: JobId) -> bool {
        self.engine.job_state(id) == Some(JobState::Complete)
    }

    /// Advances the time by a step.
    pub(crate) fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.end_runs();
        self.answer_polls();
        if self.engine.take_records().is_some() {
            self.engine.records_persisted();
        }
        self.engine.advance(self.now_ms, UNIX_MS + self.now_ms);
        for action in self.engine.take_actions() {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Start(order) => self.start(order),
            Action::Poll(order) => {
                let until_ms = self.now_ms + order.wait_ms;
                let worker = self.workers.entry(order.target.worker).or_default();
                let acknowledged = order.acknowledged_through;
                worker.ended.retain(|end| end.number > acknowledged);
                worker.waiting = Some((order, until_ms));
            }
            _ => {}
        }
    }

    fn start(&mut self, order: StartOrder) {
        let estimate_ms = order.spec.steps[usize::from(order.name.step)].estimate_ms;
        let (least, most) = RUN_TIME_BOUNDS;
        let run_ms = estimate_ms as f64 * self.rng.random_range(least..most);
        let end = (self.now_ms + run_ms as u64, self.started.len());
        self.ends.push(Reverse(end));
        let worker = self.workers.entry(order.target.worker).or_default();
        worker.running.insert((order.name, order.run.run));
        self.engine
            .start_accepted(&order, Some(self.now_ms), self.now_ms);
        self.started.push(order);
    }

    fn end_runs(&mut self) {
        while let Some(Reverse((at_ms, number))) = self.ends.peek().copied() {
            if at_ms > self.now_ms {
                return;
            }
            self.ends.pop();
            let order = &self.started[number];
            let Some(worker) = self.workers.get_mut(&order.target.worker) else {
                continue;
            };
            worker.running.swap_remove(&(order.name, order.run.run));
            worker.next_number += 1;
            worker.ended.push(RunEnd {
                number: worker.next_number,
                name: order.name,
                run_number: order.run.run,
                kind: EndKind::Done,
                checkpoint: SmolStr::default(),
            });
        }
    }

    fn answer_polls(&mut self) {
        let now_ms = self.now_ms;
        for worker in self.workers.values_mut() {
            let is_due = worker.has_due_poll(now_ms);
            let Some((order, _)) = worker.waiting.take_if(|_| is_due) else {
                continue;
            };
            let reply = worker.poll_reply(now_ms);
            self.engine.poll_answered(&order, reply, now_ms);
        }
    }
}

impl PlayedWorker {
    fn has_due_poll(&self, now_ms: u64) -> bool {
        let waiting = self.waiting.as_ref();
        waiting.is_some_and(|(_, until_ms)| *until_ms <= now_ms || !self.ended.is_empty())
    }

    fn poll_reply(&self, now_ms: u64) -> PollReply {
        let row = |(name, run_number): &(TaskName, u64)| RunRow {
            name: *name,
            run_number: *run_number,
            checkpoint: SmolStr::default(),
            percent: 50,
            metric: 0,
        };
        PollReply {
            has_more_ends: false,
            clock_ms: now_ms,
            started_unix_ms: UNIX_MS,
            running: self.running.iter().map(row).collect(),
            ended: self.ended.clone(),
        }
    }
}

fn catalog(teams: Vec<Team>) -> Catalog {
    let mut catalog = Catalog {
        version: 1,
        ..Catalog::default()
    };
    let queue = Queue {
        name: POOL.into(),
        pool: POOL.into(),
        attempts_max: 3,
        target_chain_factor: 1.6,
        target_latency_ms: 600,
        ..Queue::default()
    };
    catalog.queues.insert(POOL.into(), queue);
    catalog.pools.insert(POOL.into(), Pool::default());
    let teams = teams.into_iter().map(|team| (team.name.clone(), team));
    catalog.teams = teams.collect();
    catalog
}

fn worker_info(number: u32) -> WorkerInfo {
    WorkerInfo {
        id: format_smolstr!("w{number}"),
        started_unix_ms: UNIX_MS,
        address: ([10, 0, 0, 1], 8_000).into(),
        pool: POOL.into(),
        zone: "a".into(),
        labels: vec![format_smolstr!("r-{}", number / 8)],
        capacity: Size {
            cpu_millis: WORKER_CPU_MILLIS,
            memory_mb: WORKER_MEMORY_MB,
            gpu_count: 0,
        },
        is_draining: false,
        cold_ms: 0,
        instance: None,
    }
}
