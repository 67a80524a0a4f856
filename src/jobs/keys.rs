//! Keys of the job engine: indexes into its tables, and the names that they have outside it.

use std::fmt;
use std::num::ParseIntError;

/// Index of a job in the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobKey(pub u32);

/// Index of a worker in the engine. A worker that restarts under the same id keeps its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkerKey(pub(crate) u32);

/// Key of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskKey {
    /// Job.
    pub job: JobKey,
    /// Occurrence, from 0.
    pub round: u32,
    /// Step, from 0.
    pub step: u16,
    /// Number within the step, from 0.
    pub index: u32,
}

impl TaskKey {
    /// Returns the keys of the first `count` tasks of the same step.
    pub(crate) fn siblings(self, count: u32) -> impl Iterator<Item = Self> {
        (0..count).map(move |index| Self { index, ..self })
    }
}

/// Key of one start of a task. The numbers of a task's runs only increase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunKey {
    /// Task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u64,
}

/// Id of a job, chosen by the caller: 64 bits, written as 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobId(pub u64);

/// Number of digits of a job id.
const ID_DIGITS: usize = 16;

impl JobId {
    /// Parses an id of exactly 16 hexadecimal digits.
    pub fn parse(text: &str) -> Option<Self> {
        let is_id = text.len() == ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let value: Result<u64, ParseIntError> = u64::from_str_radix(text, 16);
        value.ok().filter(|_| is_id).map(Self)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Name of a task outside the engine: job id, occurrence, step and number, joined by dots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TaskName {
    /// Id of the job.
    pub job: JobId,
    /// Occurrence, from 0.
    pub round: u32,
    /// Step, from 0.
    pub step: u16,
    /// Number within the step, from 0.
    pub index: u32,
}

impl TaskName {
    /// Parses a name.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('.');
        let name = Self {
            job: JobId::parse(parts.next()?)?,
            round: parts.next()?.parse().ok()?,
            step: parts.next()?.parse().ok()?,
            index: parts.next()?.parse().ok()?,
        };
        match parts.next() {
            None => Some(name),
            Some(_) => None,
        }
    }
}

impl fmt::Display for TaskName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            round,
            step,
            index,
        } = self;
        write!(formatter, "{job}.{round}.{step}.{index}")
    }
}
