//! The ports through which the core meets the outside: the log, the instance list, the workers and
//! the clock. Each adapter implements one of these traits; the core itself never calls them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::fleet::{InstanceRow, Offset, Resources, UnixMs};

/// Why a call to an outside system did not give an answer.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum PortError {
    /// Nothing left this process: the effect did not take place.
    NotSent(SmolStr),
    /// The answer was lost; the effect may have taken place.
    AnswerLost(SmolStr),
    /// The other side refused; the effect did not take place.
    Refused(SmolStr),
    /// The records asked for were trimmed; the oldest kept one is named.
    Trimmed {
        /// Oldest offset that the log still keeps.
        oldest_offset: Offset,
    },
}

/// One record of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Position, counted from 0 without gaps.
    pub offset: Offset,
    /// Time at which the log service took the record.
    pub at_unix_ms: UnixMs,
    /// What was appended.
    pub payload: Arc<str>,
}

/// Answer to a read of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// Consecutive records from the offset asked for; empty if the head was reached.
    pub records: Vec<LogRecord>,
    /// Offset that the next append will get.
    pub head_offset: Offset,
    /// Oldest offset that is still kept.
    pub oldest_offset: Offset,
}

/// The platform's append-only log service.
pub trait LogPort: Send + Sync {
    /// Appends `payloads` as consecutive records and returns the offset of the first.
    fn append(&self, payloads: &[String]) -> Result<Offset, PortError>;

    /// Reads from `from_offset`, waiting up to `wait_ms` for a record if there is none yet.
    fn read(&self, from_offset: Offset, wait_ms: u64) -> Result<LogPage, PortError>;
}

/// Answer of the instance list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstancePage {
    /// Version that rises with each change.
    pub version: u64,
    /// All instances, entry instances not included.
    pub rows: Vec<InstanceRow>,
}

/// The platform's lagging list of instances, and its order to reboot one.
pub trait InstancePort: Send + Sync {
    /// Returns the list, waiting up to `wait_ms` for a version other than `known_version`.
    fn list(&self, known_version: u64, wait_ms: u64) -> Result<InstancePage, PortError>;

    /// Orders a reboot of one incarnation; a second order for it has no effect.
    fn reboot(&self, name: &str, incarnation: &str) -> Result<(), PortError>;
}

/// One attempt to run a request on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerRequest {
    /// Unique for each attempt; the answer must carry it.
    pub attempt_id: SmolStr,
    /// Incarnation that is meant; another one at the same address must refuse.
    pub incarnation: SmolStr,
    /// Caller's id of the request.
    pub request_id: SmolStr,
    /// Team, or empty for work from a queue open to all.
    pub team: SmolStr,
    /// Queue that the request named.
    pub queue: SmolStr,
    /// Time after which the worker must refuse to start, whatever delayed the attempt.
    pub start_before_unix_ms: UnixMs,
    /// Lease of the task: the worker stops it when this has passed since its start.
    pub lease_ms: u64,
    /// Declared size.
    pub size: Resources,
    /// Body, handed to the task as it is.
    pub body: Arc<[u8]>,
}

/// What is known of an attempt after it ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerOutcome {
    /// The task ran to its end and this is its whole answer.
    Ran {
        /// Whether the task itself reported success.
        is_success: bool,
        /// Answer of the task.
        body: Arc<[u8]>,
    },
    /// The worker proved that the task never started, or nothing was sent to it.
    NotStarted(NotStarted),
    /// The worker itself says that the task started, was stopped before its end and does not run any
    /// more.
    Stopped(TaskStop),
    /// The task may have run, and may run still: the answer was lost, late, crossed or not whole.
    Unknown(SmolStr),
}

impl WorkerOutcome {
    /// Returns whether the task is proved not to run any more, whatever it did.
    pub fn has_ended(&self) -> bool {
        !matches!(self, Self::Unknown(_))
    }
}

/// Why a worker stopped a task before its end.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumString, strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum TaskStop {
    /// The worker was told to.
    Cancelled,
    /// The lease of the task lapsed.
    LeaseLapsed,
    /// The instance was rebooted or taken away.
    Killed,
}

/// Why a worker did not start a task.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumString, strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum NotStarted {
    /// Every slot is taken.
    Busy,
    /// The instance is leaving or being drained.
    Draining,
    /// The attempt came after its `start_before_unix_ms`.
    Late,
    /// The size is more than the worker has.
    TooLarge,
    /// Another incarnation answers at the address.
    WrongIncarnation,
    /// No connection could be made, so nothing was sent.
    Unreachable,
}

/// What a worker reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// Incarnation of the instance that answers.
    pub incarnation: SmolStr,
    /// Requests running.
    pub running_count: u32,
    /// Requests that it runs at once at most.
    pub slots_count: u32,
    /// Whether it refuses new work.
    pub is_draining: bool,
}

/// The workers, reached at the addresses of the instance list.
pub trait WorkerPort: Send + Sync {
    /// Runs one attempt and waits for its outcome up to `timeout_ms`; answers of more than
    /// `answer_max_bytes` end as unknown.
    fn run(
        &self,
        address: &str,
        request: &WorkerRequest,
        timeout_ms: u64,
        answer_max_bytes: u64,
    ) -> WorkerOutcome;

    /// Asks a worker to stop one attempt; returns whether the worker knew it.
    fn cancel(&self, address: &str, attempt_id: &str) -> Result<bool, PortError>;

    /// Asks a worker how it is.
    fn status(&self, address: &str) -> Result<WorkerStatus, PortError>;

    /// Tells a worker to refuse new work (`true`) or to take it again.
    fn drain(&self, address: &str, is_draining: bool) -> Result<(), PortError>;
}

/// The two clocks of a process.
pub trait Clock: Send + Sync {
    /// Monotonic time in milliseconds since an arbitrary start; goes on while the process is paused.
    fn mono_ms(&self) -> u64;

    /// Wall clock in milliseconds since the Unix epoch.
    fn unix_ms(&self) -> UnixMs;
}

/// The outside systems of one process, as one set of adapters.
pub trait Platform: Send + Sync + 'static {
    /// Adapter to the log service.
    type Log: LogPort + 'static;
    /// Adapter to the instance list.
    type Instances: InstancePort + 'static;
    /// Adapter to the workers.
    type Workers: WorkerPort + 'static;
    /// The clocks.
    type Clock: Clock + 'static;

    /// Returns the log service.
    fn log(&self) -> &Self::Log;
    /// Returns the instance list.
    fn instances(&self) -> &Self::Instances;
    /// Returns the workers.
    fn workers(&self) -> &Self::Workers;
    /// Returns the clocks.
    fn clock(&self) -> &Self::Clock;
}
