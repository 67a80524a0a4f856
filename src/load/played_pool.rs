//! One pool of the job engine with simulated workers, in virtual time: every order is carried out
//! at once, every record is persisted at once, and nothing fails.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::format_smolstr;

use crate::jobs::{
    Action, Catalog, Engine, JobId, JobState, Size, StartOrder, Submission, SubmitOutcome, Team,
    WorkerInfo, WorkerKey,
};
use crate::load::played_worker::{
    played_catalog, played_settings, played_worker_info, rack_name, PlayedWorker, UNIX_MS,
};

/// Length of a step of virtual time, in milliseconds.
pub(crate) const STEP_MS: u64 = 10;
/// Cores of a worker, in thousandths.
pub(crate) const WORKER_CPU_MILLIS: u64 = 32_000;
/// Memory of a worker, in megabytes.
const WORKER_MEMORY_MB: u64 = 131_072;
/// Workers of a rack.
const WORKERS_OF_RACK: u32 = 8;
/// Run time of a task outside the rack of its data relative to that inside, in thousandths.
const REMOTE_FACTOR_PERMILLE: u64 = 1_000;
/// Bounds of the run time of a task relative to its estimate.
const RUN_TIME_BOUNDS: (f64, f64) = (0.6, 1.4);

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
        let settings = played_settings(REMOTE_FACTOR_PERMILLE);
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
                let worker = self.workers.entry(order.target.worker).or_default();
                worker.poll(order, self.now_ms);
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
        worker.start(&order);
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
            if let Some(worker) = self.workers.get_mut(&order.target.worker) {
                worker.end(order);
            }
        }
    }

    fn answer_polls(&mut self) {
        let now_ms = self.now_ms;
        for worker in self.workers.values_mut() {
            if let Some((order, reply)) = worker.answer_poll(now_ms) {
                self.engine.poll_answered(&order, reply, now_ms);
            }
        }
    }
}

fn catalog(teams: Vec<Team>) -> Catalog {
    let mut catalog = played_catalog();
    let teams = teams.into_iter().map(|team| (team.name.clone(), team));
    catalog.teams = teams.collect();
    catalog
}

fn worker_info(number: u32) -> WorkerInfo {
    let capacity = Size {
        cpu_millis: WORKER_CPU_MILLIS,
        memory_mb: WORKER_MEMORY_MB,
        gpu_count: 0,
    };
    let rack = rack_name(number / WORKERS_OF_RACK);
    played_worker_info(format_smolstr!("w{number}"), rack, capacity)
}
