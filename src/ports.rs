//! Ports of the core to outside systems: the log, the instance list, the workers and the clock.
//! Each adapter implements one of these traits; the core itself never calls them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::fleet::{InstanceRow, Offset, Resources, UnixMs};

/// Why a call to an outside system returned no answer.
#[derive(Clone, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum PortError {
    /// Nothing was sent, so the call had no effect.
    NotSent(SmolStr),
    /// The answer was lost; the call may have had its effect.
    AnswerLost(SmolStr),
    /// The other side refused the call, which had no effect.
    Refused(SmolStr),
    /// The requested records were trimmed from the log.
    Trimmed {
        /// Oldest offset that is still in the log.
        oldest_offset: Offset,
    },
}

/// One record of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Position in the log; offsets start at 0 and have no gaps.
    pub offset: Offset,
    /// Time at which the log service accepted the record.
    pub at_unix_ms: UnixMs,
    /// Appended text.
    pub payload: Arc<str>,
}

/// Answer to a read of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// Consecutive records from the requested offset; empty if there are none beyond it yet.
    pub records: Vec<LogRecord>,
    /// Offset of the next record to be appended.
    pub head_offset: Offset,
    /// Oldest offset that is still in the log.
    pub oldest_offset: Offset,
}

/// The platform's append-only log service.
pub trait LogPort: Send + Sync {
    /// Appends `payloads` as consecutive records and returns the offset of the first.
    fn append(&self, payloads: &[String]) -> Result<Offset, PortError>;

    /// Reads records from `from_offset`, waiting up to `wait_ms` for one if there is none yet.
    fn read(&self, from_offset: Offset, wait_ms: u64) -> Result<LogPage, PortError>;
}

/// Answer to a read of the instance list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstancePage {
    /// Version of the list, which rises with each change.
    pub version: u64,
    /// All instances except those that run entries; empty if the reader already knows this version.
    pub rows: Vec<InstanceRow>,
}

impl InstancePage {
    /// Returns the answer to a reader that already knows the current version.
    pub fn unchanged(version: u64) -> Self {
        Self {
            version,
            rows: Vec::new(),
        }
    }
}

/// The platform's list of instances, which lags behind, and the order to reboot an instance.
pub trait InstancePort: Send + Sync {
    /// Returns the list, waiting up to `wait_ms` for a version other than `known_version`. The
    /// answer has no rows if `known_version` is still current.
    fn list(&self, known_version: u64, wait_ms: u64) -> Result<InstancePage, PortError>;

    /// Orders a reboot of one incarnation; a repeated order for it has no effect.
    fn reboot(&self, name: &str, incarnation: &str) -> Result<(), PortError>;
}

/// One attempt to run a request on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerRequest {
    /// Id of the attempt, unique; the answer must carry it.
    pub attempt_id: SmolStr,
    /// Incarnation that the attempt is for; another one at the same address must refuse it.
    pub incarnation: SmolStr,
    /// Caller's id of the request.
    pub request_id: SmolStr,
    /// Team, or empty for work from a queue that is open to all.
    pub team: SmolStr,
    /// Queue that the request named.
    pub queue: SmolStr,
    /// Time after which the worker must refuse to start the task, whatever delayed the attempt.
    pub start_before_unix_ms: UnixMs,
    /// Lease of the task: the worker stops the task this long after its start.
    pub lease_ms: u64,
    /// Declared resources.
    pub size: Resources,
    /// Body, passed to the task unchanged.
    pub body: Arc<[u8]>,
}

/// Outcome of an attempt, as far as it is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerOutcome {
    /// The task ran to its end and returned this complete answer.
    Ran {
        /// Whether the task itself reported success.
        is_success: bool,
        /// Answer of the task.
        body: Arc<[u8]>,
    },
    /// Nothing was sent to the worker, or it proved that the task did not start and never will.
    NotStarted(NotStarted),
    /// The worker reports that the task started, was stopped before its end and no longer runs.
    Stopped(TaskStop),
    /// The task may have run and may still be running: the answer was lost, late, incomplete or
    /// that of another attempt.
    Unknown(SmolStr),
}

impl WorkerOutcome {
    /// Returns whether it is proved that the task is not running.
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
    /// A cancellation was requested.
    Cancelled,
    /// The lease of the task expired.
    LeaseLapsed,
    /// The instance was rebooted or removed.
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
    /// The instance is shutting down or draining.
    Draining,
    /// The attempt arrived after its `start_before_unix_ms`.
    Late,
    /// The declared resources exceed those of the worker.
    TooLarge,
    /// A different incarnation answers at the address.
    WrongIncarnation,
    /// No connection could be made, so nothing was sent.
    Unreachable,
}

/// State that a worker reports.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// Incarnation of the instance.
    pub incarnation: SmolStr,
    /// Number of running requests.
    pub running_count: u32,
    /// Most requests that may run at once.
    pub slots_count: u32,
    /// Whether the worker refuses new work.
    pub is_draining: bool,
}

/// The workers, at the addresses from the instance list.
pub trait WorkerPort: Send + Sync {
    /// Runs one attempt and waits up to `timeout_ms` for its outcome. The outcome is unknown if the
    /// answer is longer than `answer_max_bytes`.
    fn run(
        &self,
        address: &str,
        request: &WorkerRequest,
        timeout_ms: u64,
        answer_max_bytes: u64,
    ) -> WorkerOutcome;

    /// Orders a worker to stop one attempt; returns whether the attempt was running there.
    fn cancel(&self, address: &str, attempt_id: &str) -> Result<bool, PortError>;

    /// Returns the state of a worker.
    fn status(&self, address: &str) -> Result<WorkerStatus, PortError>;

    /// Orders a worker to refuse new work (`true`) or to accept it again (`false`).
    fn drain(&self, address: &str, is_draining: bool) -> Result<(), PortError>;
}

/// The two clocks of a process.
pub trait Clock: Send + Sync {
    /// Monotonic time in milliseconds since an arbitrary start; advances while the process is
    /// paused.
    fn mono_ms(&self) -> u64;

    /// Wall clock in milliseconds since the Unix epoch.
    fn unix_ms(&self) -> UnixMs;
}

/// The set of adapters through which one process reaches outside systems.
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
