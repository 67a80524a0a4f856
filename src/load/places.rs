//! The experiment on waits for racks: one rack has twice the demand of each other rack, and tasks
//! take longer outside the rack of their data. The engine runs the same jobs in virtual time, with
//! simulated workers, under each policy.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use smol_str::{format_smolstr, SmolStr};
use strum::IntoEnumIterator;

use crate::jobs::{
    Action, Engine, JobId, JobSpec, JobState, Size, StartOrder, StepSpec, Submission, WorkerInfo,
    WorkerKey,
};
use crate::load::played_worker::{
    played_catalog, played_settings, played_worker_info, rack_name, PlayedWorker, POOL, UNIX_MS,
};

/// Length of a step of virtual time, in milliseconds.
const STEP_MS: u64 = 5;
/// Time before the first job, in which the workers are polled, in milliseconds.
const WARM_UP_MS: u64 = 100;
/// Time after the last job for which its tasks may run, in milliseconds.
const DRAIN_MS: u64 = 30_000;
/// Number of racks.
const RACKS_COUNT: u32 = 8;
/// Workers of a rack.
const WORKERS_OF_RACK: u32 = 4;
/// Tasks that a worker can run at once.
const SLOTS_OF_WORKER: u64 = 4;
/// Processor time of a task, in thousandths of a core.
const TASK_CPU_MILLIS: u64 = 8_000;
/// Tasks of a job.
const TASKS_COUNT: u32 = 2;
/// Estimated run times of tasks near their data, in milliseconds; half of the jobs have each.
const ESTIMATES_MS: [u64; 2] = [300, 900];
/// Bounds of a run time relative to the estimate, in thousandths.
const RUN_PERMILLE: (u64, u64) = (500, 1_500);
/// One run in so many takes [`STRAGGLER_FACTOR`] times as long.
const STRAGGLER_ONE_IN: u32 = 30;
/// Run time of such a run relative to others.
const STRAGGLER_FACTOR: u64 = 7;
/// Mean run time relative to the estimate, with stragglers.
const RUN_MEAN_FACTOR: f64 = 1.2;
/// Longest time that is told apart, in milliseconds.
const TIME_MAX_MS: u64 = 3_600_000;
/// Memory of a worker, in megabytes.
const WORKER_MEMORY_MB: u64 = 65_536;
/// Factor with which no task waits for a rack, in thousandths.
const NO_WAIT_FACTOR_PERMILLE: u64 = 1_000;

/// When tasks wait for the rack of their data.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display, strum::EnumIter)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum PlacePolicy {
    /// They start near their data if a slot is free there, or else anywhere.
    Never,
    /// They start nowhere else.
    Always,
    /// They wait where the engine expects to gain by it.
    Expected,
}

/// Settings of the experiment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlacesConfig {
    /// Seed of the jobs and of their run times.
    pub seed: u64,
    /// Demand, if all tasks run near their data, relative to the capacity of the pool, in
    /// thousandths.
    pub loads_permille: Vec<u64>,
    /// Run time outside the rack of the data relative to that inside, in thousandths.
    pub factors_permille: Vec<u64>,
    /// Time for which jobs arrive, in milliseconds.
    pub duration_ms: u64,
}

impl Default for PlacesConfig {
    fn default() -> Self {
        Self {
            seed: 1,
            loads_permille: vec![300, 450, 600, 750, 900],
            factors_permille: vec![1_500, 2_000, 4_000],
            duration_ms: 60_000,
        }
    }
}

/// Figures of one policy at one load and factor.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct PlacesRow {
    /// Demand relative to the capacity, in thousandths.
    pub load_permille: u64,
    /// Run time elsewhere relative to that near the data, in thousandths.
    pub factor_permille: u64,
    /// Policy.
    pub policy: PlacePolicy,
    /// Jobs that arrived.
    pub jobs_count: u64,
    /// Mean time from the submission of a job to its end, in milliseconds; that of an unfinished
    /// job counts up to the end of the experiment.
    pub mean_ms: u64,
    /// 95th percentile of that time.
    pub p95_ms: u64,
    /// Tasks that started outside the rack of their data, in thousandths of all starts.
    pub remote_permille: u64,
    /// Jobs that were not done at the end of the experiment.
    pub unfinished_count: u64,
}

/// Figures of all policies.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlacesReport {
    /// Settings of the experiment.
    pub config: PlacesConfig,
    /// One row for each factor, load and policy.
    pub rows: Vec<PlacesRow>,
}

/// Runs the same jobs under each policy, at each load and factor.
pub fn run_places_experiment(config: &PlacesConfig) -> PlacesReport {
    let mut rows = Vec::new();
    for factor_permille in &config.factors_permille {
        for load_permille in &config.loads_permille {
            let rows_of = PlacePolicy::iter().map(|policy| {
                let play = Play::open(config, *load_permille, *factor_permille, policy);
                play.run(config.duration_ms)
            });
            rows.extend(rows_of);
        }
    }
    PlacesReport {
        config: config.clone(),
        rows,
    }
}

impl PlacesReport {
    /// Returns the figures as a table of text.
    pub fn table(&self) -> String {
        let head = "factor   load policy       jobs  mean_ms   p95_ms  remote  unfinished\n";
        let lines = self.rows.iter().map(|row| {
            format!(
                "{:>6} {:>6} {:<9} {:>7} {:>8} {:>8} {:>7} {:>11}\n",
                row.factor_permille,
                row.load_permille,
                row.policy.to_string(),
                row.jobs_count,
                row.mean_ms,
                row.p95_ms,
                row.remote_permille,
                row.unfinished_count,
            )
        });
        let lines = std::iter::once(head.to_owned()).chain(lines);
        let note = "factor, load and remote in permille\n".to_owned();
        lines.chain(std::iter::once(note)).collect()
    }
}

/// One run of the experiment.
struct Play {
    engine: Engine,
    policy: PlacePolicy,
    rng: ChaCha8Rng,
    now_ms: u64,
    /// In the order of their first polls, so that a seed always gives the same figures.
    workers: IndexMap<WorkerKey, PlayedWorker>,
    ends: BinaryHeap<Reverse<(u64, usize)>>,
    started: Vec<StartOrder>,
    /// Rack and near run times of the tasks of each job, by its id.
    jobs: Vec<(u32, Vec<u64>)>,
    /// Jobs that are not done, with their times of submission.
    open: Vec<(JobId, u64)>,
    times_ms: Histogram<u64>,
    remote_count: u64,
    row: PlacesRow,
}

impl Play {
    fn open(
        config: &PlacesConfig,
        load_permille: u64,
        factor_permille: u64,
        policy: PlacePolicy,
    ) -> Self {
        let settings = played_settings(match policy {
            PlacePolicy::Expected => factor_permille,
            PlacePolicy::Never | PlacePolicy::Always => NO_WAIT_FACTOR_PERMILLE,
        });
        let mut engine = Engine::open(settings, played_catalog(), 0, UNIX_MS);
        for number in 0..RACKS_COUNT * WORKERS_OF_RACK {
            engine.worker_listed(worker_info(number), 0);
        }
        Self {
            engine,
            policy,
            rng: ChaCha8Rng::seed_from_u64(config.seed),
            now_ms: 0,
            workers: IndexMap::new(),
            ends: BinaryHeap::new(),
            started: Vec::new(),
            jobs: Vec::new(),
            open: Vec::new(),
            times_ms: histogram(),
            remote_count: 0,
            row: PlacesRow {
                load_permille,
                factor_permille,
                policy,
                jobs_count: 0,
                mean_ms: 0,
                p95_ms: 0,
                remote_permille: 0,
                unfinished_count: 0,
            },
        }
    }

    fn run(mut self, duration_ms: u64) -> PlacesRow {
        while self.now_ms < WARM_UP_MS {
            self.step();
        }
        let end_ms = self.now_ms + duration_ms;
        let mut next_ms = self.now_ms;
        let gap_ms = mean_gap_ms(self.row.load_permille);
        while self.now_ms < end_ms {
            while next_ms <= self.now_ms {
                self.submit();
                next_ms += self.exponential_ms(gap_ms);
            }
            self.step();
        }
        while self.now_ms < end_ms + DRAIN_MS && !self.open.is_empty() {
            self.step();
        }
        self.figures()
    }

    /// Returns a time between two arrivals, of which `mean_ms` is the mean.
    // The times are seconds at most, far below the limits of the integer type.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::as_conversions
    )]
    fn exponential_ms(&mut self, mean_ms: f64) -> u64 {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        (-uniform.ln() * mean_ms).round() as u64
    }

    fn submit(&mut self) {
        // The first rack has two parts of the demand, each other rack one.
        let rack = self.rng.random_range(0..=RACKS_COUNT) % RACKS_COUNT;
        let estimate_ms = ESTIMATES_MS[self.rng.random_range(0..ESTIMATES_MS.len())];
        let runs_ms = (0..TASKS_COUNT).map(|_| self.random_run_ms(estimate_ms));
        let runs_ms = runs_ms.collect();
        self.jobs.push((rack, runs_ms));
        let id = JobId(u64::try_from(self.jobs.len()).unwrap_or(u64::MAX));
        let step = StepSpec {
            tasks_count: TASKS_COUNT,
            size: Size {
                cpu_millis: TASK_CPU_MILLIS,
                ..Size::default()
            },
            estimate_ms,
            near_rack: Some(rack_name(rack)),
            // No other worker may run the task.
            label: (self.policy == PlacePolicy::Always).then(|| rack_name(rack)),
            ..StepSpec::default()
        };
        self.engine.submit(Submission {
            id,
            queue: POOL.into(),
            team: SmolStr::default(),
            spec: JobSpec {
                payload: "work".to_owned(),
                steps: vec![step],
                recurrence: None,
            },
        });
        self.open.push((id, self.now_ms));
        self.row.jobs_count += 1;
    }

    fn random_run_ms(&mut self, estimate_ms: u64) -> u64 {
        let permille = self.rng.random_range(RUN_PERMILLE.0..RUN_PERMILLE.1);
        let straggling = match self.rng.random_ratio(1, STRAGGLER_ONE_IN) {
            true => STRAGGLER_FACTOR,
            false => 1,
        };
        estimate_ms * permille * straggling / 1_000
    }

    fn step(&mut self) {
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
        self.close_jobs();
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
        let at = usize::try_from(order.name.job.0 - 1).unwrap_or(usize::MAX);
        let (rack, runs_ms) = &self.jobs[at];
        let run_ms = runs_ms[usize::try_from(order.name.index).unwrap_or(usize::MAX)];
        let is_remote = worker_rack(&order.target.id) != rack_name(*rack);
        let run_ms = match is_remote {
            true => run_ms * self.row.factor_permille / 1_000,
            false => run_ms,
        };
        self.remote_count += u64::from(is_remote);
        let number = self.started.len();
        self.ends.push(Reverse((self.now_ms + run_ms, number)));
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
            let worker = self.workers.entry(order.target.worker).or_default();
            worker.end(order);
        }
    }

    fn answer_polls(&mut self) {
        for worker in self.workers.values_mut() {
            if let Some((order, reply)) = worker.answer_poll(self.now_ms) {
                self.engine.poll_answered(&order, reply, self.now_ms);
            }
        }
    }

    fn close_jobs(&mut self) {
        for (id, submitted_ms) in std::mem::take(&mut self.open) {
            match self.engine.job_state(id) {
                Some(JobState::Complete) => self.record_time(submitted_ms),
                _ => self.open.push((id, submitted_ms)),
            }
        }
    }

    fn record_time(&mut self, submitted_ms: u64) {
        self.times_ms
            .saturating_record(self.now_ms.saturating_sub(submitted_ms));
    }

    // Means of times are positive and far below the limits of the integer type.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::as_conversions
    )]
    fn figures(mut self) -> PlacesRow {
        let unfinished = std::mem::take(&mut self.open);
        for (_, submitted_ms) in &unfinished {
            self.record_time(*submitted_ms);
        }
        let starts_count = u64::try_from(self.started.len()).unwrap_or(u64::MAX);
        PlacesRow {
            mean_ms: self.times_ms.mean().round() as u64,
            p95_ms: self.times_ms.value_at_quantile(0.95),
            remote_permille: self.remote_count * 1_000 / starts_count.max(1),
            unfinished_count: u64::try_from(unfinished.len()).unwrap_or(u64::MAX),
            ..self.row
        }
    }
}

/// Returns the mean time between two jobs, in milliseconds.
// The counts are small numbers.
#[allow(clippy::cast_precision_loss, clippy::as_conversions)]
fn mean_gap_ms(load_permille: u64) -> f64 {
    let slots = u64::from(RACKS_COUNT * WORKERS_OF_RACK) * SLOTS_OF_WORKER;
    let estimate_ms = ESTIMATES_MS.iter().sum::<u64>() as f64 / ESTIMATES_MS.len() as f64;
    let work_ms = estimate_ms * RUN_MEAN_FACTOR * f64::from(TASKS_COUNT);
    work_ms * 1_000.0 / (slots * load_permille) as f64
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, TIME_MAX_MS, 3).expect("the bounds are valid constants")
}

/// Returns the rack of a worker by its id, which is the name of the rack and a number.
fn worker_rack(id: &str) -> SmolStr {
    id.rsplit_once('/').map_or("", |(rack, _)| rack).into()
}

fn worker_info(number: u32) -> WorkerInfo {
    let rack = rack_name(number / WORKERS_OF_RACK);
    let capacity = Size {
        cpu_millis: TASK_CPU_MILLIS * SLOTS_OF_WORKER,
        memory_mb: WORKER_MEMORY_MB,
        gpu_count: 0,
    };
    played_worker_info(format_smolstr!("{rack}/{number}"), rack, capacity)
}
