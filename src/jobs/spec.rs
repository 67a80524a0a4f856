//! Specification of a job: steps that depend on each other, each with many tasks, their sizes and
//! their constraints.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::step_list::{self, STEPS_MAX_COUNT};

/// Most tasks of one step.
const TASKS_MAX_COUNT: u32 = 100_000;
/// Most tasks of all steps. The leader keeps the state of each task in memory.
const JOB_TASKS_MAX_COUNT: u64 = 200_000;
/// Most of one resource that a task or a worker can have, in the unit of the resource. With larger
/// figures the sums and products of a plan would overflow.
const AMOUNT_MAX: u64 = 1 << 32;
/// Longest estimate of a run time, in milliseconds.
const ESTIMATE_MAX_MS: u64 = 1 << 32;
/// Most estimated work of one step, in thousandths of a core times milliseconds.
const STEP_WORK_MAX: u128 = 1 << 50;

/// An amount of resources, needed or available.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    /// Thousandths of a processor core.
    #[serde(default)]
    pub cpu_millis: u64,
    /// Memory in megabytes.
    #[serde(default)]
    pub memory_mb: u64,
    /// Number of accelerators.
    #[serde(default)]
    pub gpu_count: u64,
}

impl Size {
    /// Returns whether the sum of `self` and `more` is within `limit`.
    pub fn fits_with(&self, more: &Size, limit: &Size) -> bool {
        self.cpu_millis.saturating_add(more.cpu_millis) <= limit.cpu_millis
            && self.memory_mb.saturating_add(more.memory_mb) <= limit.memory_mb
            && self.gpu_count.saturating_add(more.gpu_count) <= limit.gpu_count
    }

    /// Adds `more`, up to the largest value.
    pub fn add(&mut self, more: &Size) {
        self.cpu_millis = self.cpu_millis.saturating_add(more.cpu_millis);
        self.memory_mb = self.memory_mb.saturating_add(more.memory_mb);
        self.gpu_count = self.gpu_count.saturating_add(more.gpu_count);
    }

    /// Returns whether each value can be that of a real task or worker.
    pub fn is_plausible(&self) -> bool {
        let amounts = [self.cpu_millis, self.memory_mb, self.gpu_count];
        amounts.into_iter().all(|amount| amount <= AMOUNT_MAX)
    }

    /// Subtracts `less`, down to zero.
    pub fn remove(&mut self, less: &Size) {
        self.cpu_millis = self.cpu_millis.saturating_sub(less.cpu_millis);
        self.memory_mb = self.memory_mb.saturating_sub(less.memory_mb);
        self.gpu_count = self.gpu_count.saturating_sub(less.gpu_count);
    }

    /// Returns the larger of the two values of each resource.
    pub(crate) fn max(&self, other: &Size) -> Size {
        Size {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            memory_mb: self.memory_mb.max(other.memory_mb),
            gpu_count: self.gpu_count.max(other.gpu_count),
        }
    }

    /// Returns the size with each value reduced to the most that is plausible.
    pub(crate) fn bounded(&self) -> Size {
        Size {
            cpu_millis: self.cpu_millis.min(AMOUNT_MAX),
            memory_mb: self.memory_mb.min(AMOUNT_MAX),
            gpu_count: self.gpu_count.min(AMOUNT_MAX),
        }
    }

    /// Returns the size of `count` of these, up to the largest value.
    pub(crate) fn times(&self, count: u64) -> Size {
        Size {
            cpu_millis: self.cpu_millis.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
            gpu_count: self.gpu_count.saturating_mul(count),
        }
    }

    /// Returns the size without processor time.
    pub fn without_cpu(&self) -> Size {
        Size {
            cpu_millis: 0,
            ..*self
        }
    }
}

/// A step: a number of equal tasks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// Number of tasks.
    pub tasks_count: u32,
    /// Resources that each task needs.
    pub size: Size,
    /// The submitter's estimate of a task's run time, in milliseconds.
    pub estimate_ms: u64,
    /// Earlier steps whose tasks must all be done first.
    pub after: Vec<u16>,
    /// Whether the tasks save checkpoints from which a later run can resume.
    pub has_checkpoints: bool,
    /// Whether the tasks have to run all at the same time.
    pub is_gang: bool,
    /// Whether the tasks run faster if all are in one rack.
    pub in_one_rack: bool,
    /// Label that the worker must have.
    pub label: Option<SmolStr>,
    /// Rack in which a task runs fastest.
    pub near_rack: Option<SmolStr>,
    /// Most tasks of the step on one worker; 0 for no limit.
    pub per_worker_max: u32,
    /// Whether several copies of a task may run at once.
    pub allows_copies: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "is_endless")]
    pub is_long_running: bool,
    /// Image that the tasks run; run times are estimated by image.
    pub image: SmolStr,
    /// Bound of the tail latency that a long-running task gives its own users, in milliseconds; 0
    /// for none.
    pub tail_target_ms: u64,
    /// Whether the tasks are best-effort: they reserve no processor time and use what others leave
    /// unused.
    #[serde(rename = "is_filler")]
    pub is_best_effort: bool,
    /// Most tasks of the step that may be unavailable at once after a planned stop; none for no
    /// such limit.
    #[serde(rename = "away_max")]
    pub unavailable_max: Option<u32>,
}

impl StepSpec {
    /// Returns the part of a worker's capacity that a task reserves.
    pub fn reservation(&self) -> Size {
        match self.is_best_effort {
            true => self.size.without_cpu(),
            false => self.size,
        }
    }

    /// Returns the size of all its tasks together.
    pub(crate) fn size_of_all(&self) -> Size {
        self.size.times(u64::from(self.tasks_count))
    }

    fn is_plausible(&self) -> bool {
        let work = u128::from(self.tasks_count)
            * u128::from(self.size.cpu_millis.max(self.size.memory_mb))
            * u128::from(self.estimate_ms);
        self.size.is_plausible() && self.estimate_ms <= ESTIMATE_MAX_MS && work <= STEP_WORK_MAX
    }

    /// Returns whether a second run of a task may be started beside the first. A member of a gang
    /// works only together with all members of its own run, so a copy of one member would never
    /// begin to work.
    pub fn may_have_copies(&self) -> bool {
        self.allows_copies && !self.is_gang
    }
}

/// When the occurrences of a recurring job are due.
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
    /// Returns the due time of an occurrence, in Unix milliseconds.
    pub fn due_unix_ms(&self, round: u32) -> u64 {
        let after_ms = u64::from(round).saturating_mul(self.interval_ms);
        self.first_unix_ms.saturating_add(after_ms)
    }
}

/// A job as it was submitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Text with which each task is started.
    pub payload: String,
    /// The steps.
    #[serde(deserialize_with = "step_list::deserialize")]
    pub steps: Vec<StepSpec>,
    /// Due times of the occurrences, for a recurring job.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub recurrence: Option<Recurrence>,
}

/// Why a specification is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum SpecError {
    /// It has no step, or too many.
    StepsCount,
    /// A step has no task, or a step or the job has too many.
    TasksCount,
    /// Its record would be larger than the store accepts.
    RecordSize,
    /// A step depends on one that does not precede it.
    Dependency,
    /// The size or the estimated work of a step is larger than any fleet.
    Size,
}

impl JobSpec {
    /// Checks the counts of steps and tasks, and the dependencies.
    pub fn check(&self) -> Result<(), SpecError> {
        match self.steps.len() {
            0 => return Err(SpecError::StepsCount),
            count if count > STEPS_MAX_COUNT => return Err(SpecError::StepsCount),
            _ => {}
        }
        for (at, step) in self.steps.iter().enumerate() {
            match step.tasks_count {
                0 => return Err(SpecError::TasksCount),
                count if count > TASKS_MAX_COUNT => return Err(SpecError::TasksCount),
                _ => {}
            }
            if step.after.iter().any(|earlier| usize::from(*earlier) >= at) {
                return Err(SpecError::Dependency);
            }
            if !step.is_plausible() {
                return Err(SpecError::Size);
            }
        }
        match self.tasks_count() {
            count if count > JOB_TASKS_MAX_COUNT => Err(SpecError::TasksCount),
            _ => Ok(()),
        }
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

    /// Returns the longest chain of run times as the submitter estimated them, in milliseconds.
    pub fn estimated_chain_ms(&self) -> u64 {
        let chains_ms = self.chains_ms(|step| step.estimate_ms);
        chains_ms.into_iter().max().unwrap_or(0)
    }

    /// Returns the estimated processor time of one occurrence, in thousandths of core-seconds.
    pub fn work_millis_s(&self) -> u64 {
        let of_step = |step: &StepSpec| {
            let all = step.size_of_all();
            all.cpu_millis.saturating_mul(step.estimate_ms) / 1_000
        };
        self.steps.iter().map(of_step).sum()
    }

    /// Returns the sums of processor and of memory reservations, each multiplied by the run time,
    /// of one occurrence: in thousandths of a core, and in megabytes, times milliseconds.
    pub fn work_ms(&self, run_ms: impl Fn(&StepSpec) -> u64) -> (u64, u64) {
        self.steps.iter().fold((0, 0), |(cpu, memory), step| {
            // Estimates and sizes come from callers and have no bound.
            let time_ms = u64::from(step.tasks_count).saturating_mul(run_ms(step));
            let reservation = step.reservation();
            let work = |size: u64| size.saturating_mul(time_ms);
            (
                u64::saturating_add(cpu, work(reservation.cpu_millis)),
                u64::saturating_add(memory, work(reservation.memory_mb)),
            )
        })
    }

    /// Returns the number of tasks of one occurrence.
    pub fn tasks_count(&self) -> u64 {
        let counts = self.steps.iter().map(|step| u64::from(step.tasks_count));
        counts.sum()
    }

    /// Returns whether the tasks of any step run until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.is_long_running)
    }
}
