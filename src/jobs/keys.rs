//! Small keys into the arenas of the job engine.

use std::fmt;
use std::num::ParseIntError;

/// A job of the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobKey(pub u32);

/// A worker of the engine: one life of one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkerKey(pub(crate) u32);

/// A task: its job, occurrence, step and number within the step.
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

/// One start of a task; numbers of one task only rise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunKey {
    /// Task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u64,
}

/// The id that a caller chose for its job: 64 bits, written as 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct JobId(pub u64);

/// Digits of a job's id.
const ID_DIGITS: usize = 16;

impl JobId {
    /// Reads an id of exactly 16 hexadecimal digits.
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

/// The name of a task outside the engine: id, occurrence, step and number, joined by dots.
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
    /// Reads a name.
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
