//! What a caller hands in as a job: steps of many tasks that depend on each other, with the size and
//! the constraints of their tasks.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Most steps of a job.
const STEPS_MAX: usize = 256;
/// Most tasks of one step.
const TASKS_MAX: u32 = 100_000;

/// Room on a worker, asked for or there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    /// Thousandths of a processor core.
    #[serde(default)]
    pub cpu_millis: u64,
    /// Memory in megabytes.
    #[serde(default)]
    pub memory_mb: u64,
    /// Accelerators.
    #[serde(default)]
    pub gpu_count: u64,
}

impl Size {
    /// Returns whether `self` and `more` together stay within `limit`.
    pub fn fits_with(&self, more: &Size, limit: &Size) -> bool {
        self.cpu_millis + more.cpu_millis <= limit.cpu_millis
            && self.memory_mb + more.memory_mb <= limit.memory_mb
            && self.gpu_count + more.gpu_count <= limit.gpu_count
    }

    /// Adds `more`.
    pub fn add(&mut self, more: &Size) {
        self.cpu_millis += more.cpu_millis;
        self.memory_mb += more.memory_mb;
        self.gpu_count += more.gpu_count;
    }

    /// Takes `less` away, at most to nothing.
    pub fn remove(&mut self, less: &Size) {
        self.cpu_millis = self.cpu_millis.saturating_sub(less.cpu_millis);
        self.memory_mb = self.memory_mb.saturating_sub(less.memory_mb);
        self.gpu_count = self.gpu_count.saturating_sub(less.gpu_count);
    }

    /// Returns the size without its processor share.
    pub fn without_cpu(&self) -> Size {
        Size {
            cpu_millis: 0,
            ..*self
        }
    }
}

/// One step: `tasks_count` tasks that are alike.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    pub tasks_count: u32,
    /// Room that each task takes.
    pub size: Size,
    /// The submitter's estimate of a task's run time, in milliseconds.
    pub estimate_ms: u64,
    /// Earlier steps whose tasks must all be done first.
    pub after: Vec<u16>,
    /// The tasks save checkpoints that a later run can resume from.
    pub has_checkpoints: bool,
    /// All tasks run together, or none does.
    pub is_gang: bool,
    /// The tasks run faster where all are in one rack.
    pub in_one_rack: bool,
    /// Label that the worker must have.
    pub label: Option<SmolStr>,
    /// Rack in which a task runs fastest.
    pub near_rack: Option<SmolStr>,
    /// Most tasks of the step on one worker; 0 sets no limit.
    pub per_worker_max: u32,
    /// Several copies of a task may run at once.
    pub allows_copies: bool,
    /// The tasks run until the job is cancelled.
    #[serde(rename = "is_endless")]
    pub is_long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: SmolStr,
    /// Bound of the tail latency that an endless task gives its own users, in milliseconds; 0 for none.
    pub tail_target_ms: u64,
    /// The tasks use processor time that others leave, and count for none.
    #[serde(rename = "is_filler")]
    pub is_best_effort: bool,
    /// Tasks of the step that may be away at once by planned stops; without a value, there is no such
    /// budget.
    #[serde(rename = "away_max")]
    pub unavailable_max: Option<u32>,
}

impl StepSpec {
    /// Returns the room that a task takes from a worker's capacity.
    pub fn reservation(&self) -> Size {
        match self.is_best_effort {
            true => self.size.without_cpu(),
            false => self.size,
        }
    }

    /// Returns whether a second run of one task may be started beside the first. A member of a gang
    /// works only beside all others of its run, so that a copy of one would wait for nothing.
    pub fn may_have_copies(&self) -> bool {
        self.allows_copies && !self.is_gang
    }
}

/// The times at which the steps of a recurring job run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recurrence {
    /// Number of occurrences.
    pub times: u32,
    /// Due time of the first, in Unix milliseconds.
    pub first_unix_ms: u64,
    /// Time between two due times, in milliseconds.
    pub interval_ms: u64,
}

impl Recurrence {
    /// Returns the due time of an occurrence.
    pub fn due_unix_ms(&self, round: u32) -> u64 {
        self.first_unix_ms + u64::from(round) * self.interval_ms
    }
}

/// A job as it was handed in.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Text that each task is started with.
    pub payload: String,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// When the steps run, for a recurring job.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub recurrence: Option<Recurrence>,
}

/// Why a job cannot be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum SpecError {
    /// It has no step, or too many.
    StepsCount,
    /// A step has no task, or too many.
    TasksCount,
    /// A step waits for a step that does not come before it.
    Dependency,
}

impl JobSpec {
    /// Checks what no later decision could mend.
    pub fn check(&self) -> Result<(), SpecError> {
        match self.steps.len() {
            0 => return Err(SpecError::StepsCount),
            count if count > STEPS_MAX => return Err(SpecError::StepsCount),
            _ => {}
        }
        for (at, step) in self.steps.iter().enumerate() {
            match step.tasks_count {
                0 => return Err(SpecError::TasksCount),
                count if count > TASKS_MAX => return Err(SpecError::TasksCount),
                _ => {}
            }
            if step.after.iter().any(|earlier| usize::from(*earlier) >= at) {
                return Err(SpecError::Dependency);
            }
        }
        Ok(())
    }

    /// Returns the number of occurrences.
    pub fn rounds_count(&self) -> u32 {
        self.recurrence
            .map_or(1, |recurrence| recurrence.times.max(1))
    }

    /// Returns the longest chain of run times from each step to the end, in milliseconds.
    pub fn chains_ms(&self, run_ms: impl Fn(&StepSpec) -> u64) -> Vec<u64> {
        let mut chains_ms: Vec<u64> = self.steps.iter().map(&run_ms).collect();
        for at in (0..self.steps.len()).rev() {
            let chain_ms = chains_ms[at];
            for earlier in &self.steps[at].after {
                let earlier = usize::from(*earlier);
                let through_ms = run_ms(&self.steps[earlier]) + chain_ms;
                chains_ms[earlier] = chains_ms[earlier].max(through_ms);
            }
        }
        chains_ms
    }

    /// Returns the processor time of one occurrence by the estimates, in thousandths of core-seconds.
    pub fn work_millis_s(&self) -> u64 {
        let of_step = |step: &StepSpec| {
            u64::from(step.tasks_count) * step.size.cpu_millis * step.estimate_ms / 1_000
        };
        self.steps.iter().map(of_step).sum()
    }

    /// Returns the sums of processor room and of memory times run time of one occurrence, in
    /// thousandths of cores and megabytes times milliseconds.
    pub fn work_ms(&self, run_ms: impl Fn(&StepSpec) -> u64) -> (u64, u64) {
        self.steps.iter().fold((0, 0), |(cpu, memory), step| {
            let time_ms = u64::from(step.tasks_count) * run_ms(step);
            let room = step.reservation();
            (
                cpu + room.cpu_millis * time_ms,
                memory + room.memory_mb * time_ms,
            )
        })
    }

    /// Returns the number of tasks of one occurrence.
    pub fn tasks_count(&self) -> u64 {
        let counts = self.steps.iter().map(|step| u64::from(step.tasks_count));
        counts.sum()
    }

    /// Returns whether any step runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.is_long_running)
    }
}
