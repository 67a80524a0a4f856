//! The jobs of the clients. The payload of a job tells the workers how long its tasks work.

use std::time::Duration;

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

/// One step of a job. Each step waits for the one before it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct StepPlan {
    /// Number of tasks.
    pub(crate) tasks_count: usize,
    /// Share of processors of each task, in thousandths.
    pub(crate) cpu_milli: u64,
    /// Time that each task works, in milliseconds; none for one that works until it is stopped.
    pub(crate) work_ms: Option<u64>,
}

/// The steps of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct JobPlan {
    /// Steps in order.
    pub(crate) steps: Vec<StepPlan>,
}

impl JobPlan {
    /// Returns a job of short tasks, one of tasks of some seconds with a second step, or, if they may be
    /// long, one of long tasks. If all are long, they are few, so that other workers have room for them.
    pub(crate) fn random(random: &mut impl Rng, lengths: TaskLengths) -> Self {
        let step = |tasks_count, work_ms| StepPlan {
            tasks_count,
            cpu_milli: 1_000,
            work_ms: Some(work_ms),
        };
        if lengths == TaskLengths::Long {
            let steps = vec![step(FEW_TASKS_COUNT, LONG_WORK_MS)];
            return Self { steps };
        }
        let is_long = lengths == TaskLengths::UpToLong && random.random_bool(0.2);
        let steps = match random.random_bool(0.5) {
            _ if is_long => vec![step(4, LONG_WORK_MS)],
            true => vec![step(6, random.random_range(300..1_300))],
            false => vec![step(8, random.random_range(2_000..6_000)), step(4, 1_500)],
        };
        Self { steps }
    }

    /// Returns a job whose tasks work until they are stopped.
    pub(crate) fn long_running() -> Self {
        let step = StepPlan {
            tasks_count: LONG_RUNNING_TASKS_COUNT,
            cpu_milli: 1_000,
            work_ms: None,
        };
        Self { steps: vec![step] }
    }

    /// Returns the body of the call that submits the job.
    pub(crate) fn body(&self) -> Value {
        let phase = |(index, step): (usize, &StepPlan)| {
            let after: Vec<usize> = index.checked_sub(1).into_iter().collect();
            let lasts = step.work_ms.is_none();
            json!({
                "count": step.tasks_count, "cpu": step.cpu_milli, "memory_request_mb": 512,
                "estimated_ms": step.work_ms, "after": after, "long_running": lasts,
                "may_miss": u32::from(lasts),
            })
        };
        let mut phases: Vec<Value> = self.steps.iter().enumerate().map(phase).collect();
        for phase in &mut phases {
            let fields = phase.as_object_mut().expect("a phase is an object");
            fields.retain(|_, value| !value.is_null());
        }
        let spec = serde_json::to_string(self).expect("plans encode");
        json!({ "spec": spec, "phases": phases })
    }
}

impl StepPlan {
    /// Returns for how long a task works.
    pub(crate) fn work(&self) -> Option<Duration> {
        self.work_ms.map(Duration::from_millis)
    }
}

/// How long the tasks of the clients work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskLengths {
    /// Up to some seconds.
    UpToSeconds,
    /// Some of them longer than the leases of their runs.
    UpToLong,
    /// All of them longer than the leases of their runs.
    Long,
}

impl TaskLengths {
    /// Returns the longest work of a job, in milliseconds.
    pub(crate) fn longest_ms(self) -> u64 {
        match self {
            Self::UpToSeconds => 8_000,
            Self::UpToLong | Self::Long => LONG_WORK_MS,
        }
    }
}

/// Time that a long task works, in milliseconds: longer than the leases of its run.
const LONG_WORK_MS: u64 = 12_000;
/// Number of tasks of a job, where all are long.
const FEW_TASKS_COUNT: usize = 2;
/// Number of tasks of the long-running job.
pub(crate) const LONG_RUNNING_TASKS_COUNT: usize = 5;
