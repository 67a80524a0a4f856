//! Processor time of the job engine in a demand peak, by the number of workers.
//!
//! One pool gets more jobs than it can run, in virtual time, with simulated workers. Only the calls
//! of the engine are measured, with the real clock. The times depend on the machine; what matters is
//! how they grow with the fleet.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::{Duration, Instant};

use serde::Serialize;
use smol_str::{format_smolstr, SmolStr};

use crate::jobs::{
    Action, Engine, JobId, JobSpec, Record, Size, StartOrder, StepSpec, Submission, WorkerInfo,
    WorkerKey,
};
use crate::load::played_worker::{
    played_catalog, played_settings, played_worker_info, rack_name, PlayedWorker, POOL, UNIX_MS,
};

/// Numbers of workers that are measured.
pub const WORKERS_COUNTS: [u32; 3] = [350, 1_100, 3_500];

/// Length of a step of virtual time, in milliseconds.
const STEP_MS: u64 = 4;
/// Length of the peak, in milliseconds.
const PEAK_MS: u64 = 4_000;
/// Demand of the peak relative to the capacity of the pool, in percent.
const DEMAND_PERCENT: u64 = 130;
/// Cores of a worker, in thousandths.
const WORKER_CPU_MILLIS: u64 = 32_000;
/// Tasks of a job.
const TASKS_COUNT: u32 = 8;
/// Run time of a task, in milliseconds.
const TASK_MS: u64 = 640;
/// Mean size of a task, in thousandths of a core.
const TASK_CPU_MILLIS: u64 = 4_500;
/// Memory of a task and of a worker, in megabytes.
const MEMORY_MB: (u64, u64) = (4_600, 65_536);
/// Workers of a rack.
const WORKERS_OF_RACK: u32 = 8;
/// Run time of a task outside the rack of its data relative to that inside, in thousandths.
const REMOTE_FACTOR_PERMILLE: u64 = 1_000;

/// Cost at one number of workers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct EngineCost {
    /// Number of workers.
    pub workers_count: u32,
    /// Jobs accepted.
    pub jobs_count: u64,
    /// Tasks started.
    pub starts_count: u64,
    /// Polls answered.
    pub polls_count: u64,
    /// Time of accepting a job, in microseconds.
    pub job_us: f64,
    /// Time of the engine's steps for each task started, in microseconds.
    pub start_us: f64,
    /// Time of applying the answer to a poll, in microseconds.
    pub poll_us: f64,
    /// Bytes of the records of a job, from its acceptance to its end.
    pub job_record_bytes: f64,
}

/// Plays a peak with each number of workers.
pub fn measure_engine(workers_counts: &[u32]) -> Vec<EngineCost> {
    let play = |count: &u32| PeakPlay::open(*count).run();
    workers_counts.iter().map(play).collect()
}

/// Returns the rows as a table.
pub fn engine_table(rows: &[EngineCost]) -> String {
    let head = "workers    jobs   starts    polls  us/job  us/start  us/poll  record bytes/job\n";
    let lines = rows.iter().map(|row| {
        format!(
            "{:>7} {:>7} {:>8} {:>8} {:>7.2} {:>9.2} {:>8.2} {:>17.0}\n",
            row.workers_count,
            row.jobs_count,
            row.starts_count,
            row.polls_count,
            row.job_us,
            row.start_us,
            row.poll_us,
            row.job_record_bytes,
        )
    });
    std::iter::once(head.to_owned()).chain(lines).collect()
}

/// One peak.
struct PeakPlay {
    engine: Engine,
    workers: HashMap<WorkerKey, PlayedWorker>,
    ends: BinaryHeap<Reverse<(u64, u64)>>,
    started: Vec<StartOrder>,
    now_ms: u64,
    next_job: u64,
    cost: EngineCost,
    spent_on_jobs: Duration,
    spent_on_steps: Duration,
    spent_on_polls: Duration,
    record_bytes: usize,
}

impl PeakPlay {
    fn open(workers_count: u32) -> Self {
        let settings = played_settings(REMOTE_FACTOR_PERMILLE);
        let mut engine = Engine::open(settings, played_catalog(), 0, UNIX_MS);
        for number in 0..workers_count {
            engine.worker_listed(worker_info(number), 0);
        }
        Self {
            engine,
            workers: HashMap::new(),
            ends: BinaryHeap::new(),
            started: Vec::new(),
            now_ms: 0,
            next_job: 0,
            cost: EngineCost {
                workers_count,
                jobs_count: 0,
                starts_count: 0,
                polls_count: 0,
                job_us: 0.0,
                start_us: 0.0,
                poll_us: 0.0,
                job_record_bytes: 0.0,
            },
            spent_on_jobs: Duration::ZERO,
            spent_on_steps: Duration::ZERO,
            spent_on_polls: Duration::ZERO,
            record_bytes: 0,
        }
    }

    fn run(mut self) -> EngineCost {
        // The workers' records are persisted, and the workers polled, before the peak.
        for _ in 0..10 {
            self.step();
        }
        (self.spent_on_steps, self.spent_on_polls) = (Duration::ZERO, Duration::ZERO);
        (self.cost.polls_count, self.record_bytes) = (0, 0);
        let starts_per_s = u64::from(self.cost.workers_count) * WORKER_CPU_MILLIS / TASK_CPU_MILLIS
            * 1_000
            / TASK_MS;
        let jobs_per_s = starts_per_s * DEMAND_PERCENT / 100 / u64::from(TASKS_COUNT);
        let peak_start_ms = self.now_ms;
        while self.now_ms < peak_start_ms + PEAK_MS {
            let due_count = (self.now_ms - peak_start_ms) * jobs_per_s / 1_000;
            while self.next_job < due_count {
                self.submit();
            }
            self.step();
        }
        self.figures()
    }

    fn submit(&mut self) {
        self.next_job += 1;
        // Sizes between half and one and a half times the mean.
        let cpu_millis = TASK_CPU_MILLIS / 2 + self.next_job * 617 % TASK_CPU_MILLIS;
        let step = StepSpec {
            tasks_count: TASKS_COUNT,
            size: Size {
                cpu_millis,
                memory_mb: MEMORY_MB.0,
                gpu_count: 0,
            },
            estimate_ms: TASK_MS,
            ..StepSpec::default()
        };
        let submission = Submission {
            id: JobId(self.next_job),
            queue: POOL.into(),
            team: SmolStr::default(),
            spec: JobSpec {
                payload: "work".to_owned(),
                steps: vec![step],
                recurrence: None,
            },
        };
        let started = Instant::now();
        self.engine.submit(submission);
        self.spent_on_jobs += started.elapsed();
        self.cost.jobs_count += 1;
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.end_runs();
        self.answer_polls();
        if let Some(records) = self.engine.take_records() {
            let encoded = records.iter().flat_map(Record::encode);
            let bytes =
                encoded.map(|(key, value)| key.len() + value.map_or(0, |value| value.len()));
            self.record_bytes += bytes.sum::<usize>();
            self.engine.records_persisted();
        }
        let started = Instant::now();
        self.engine.advance(self.now_ms, UNIX_MS + self.now_ms);
        let actions = self.engine.take_actions();
        self.spent_on_steps += started.elapsed();
        for action in actions {
            self.carry_out(action);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Start(order) => {
                let number = u64::try_from(self.started.len()).unwrap_or(u64::MAX);
                self.ends.push(Reverse((self.now_ms + TASK_MS, number)));
                let worker = self.workers.entry(order.target.worker).or_default();
                worker.start(&order);
                let started = Instant::now();
                self.engine
                    .start_accepted(&order, Some(self.now_ms), self.now_ms);
                self.spent_on_steps += started.elapsed();
                self.started.push(order);
                self.cost.starts_count += 1;
            }
            Action::Poll(order) => {
                let worker = self.workers.entry(order.target.worker).or_default();
                worker.poll(order, self.now_ms);
            }
            _ => {}
        }
    }

    fn end_runs(&mut self) {
        while let Some(Reverse((at_ms, number))) = self.ends.peek().copied() {
            if at_ms > self.now_ms {
                return;
            }
            self.ends.pop();
            let order = &self.started[usize::try_from(number).unwrap_or(usize::MAX)];
            if let Some(worker) = self.workers.get_mut(&order.target.worker) {
                worker.end(order);
            }
        }
    }

    fn answer_polls(&mut self) {
        for worker in self.workers.values_mut() {
            let Some((order, reply)) = worker.answer_poll(self.now_ms) else {
                continue;
            };
            let started = Instant::now();
            self.engine.poll_answered(&order, reply, self.now_ms);
            self.spent_on_polls += started.elapsed();
            self.cost.polls_count += 1;
        }
    }

    fn figures(self) -> EngineCost {
        EngineCost {
            job_us: us_for_each(self.spent_on_jobs, self.cost.jobs_count),
            start_us: us_for_each(self.spent_on_steps, self.cost.starts_count),
            poll_us: us_for_each(self.spent_on_polls, self.cost.polls_count),
            job_record_bytes: for_each(self.record_bytes, self.cost.jobs_count),
            ..self.cost
        }
    }
}

fn worker_info(number: u32) -> WorkerInfo {
    let capacity = Size {
        cpu_millis: WORKER_CPU_MILLIS,
        memory_mb: MEMORY_MB.1,
        gpu_count: 0,
    };
    let rack = rack_name(number / WORKERS_OF_RACK);
    played_worker_info(format_smolstr!("w{number}"), rack, capacity)
}

fn us_for_each(spent: Duration, count: u64) -> f64 {
    spent.as_secs_f64() * 1e6 / count.max(1) as f64
}

fn for_each(bytes: usize, count: u64) -> f64 {
    bytes as f64 / count.max(1) as f64
}
