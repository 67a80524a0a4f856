//! Typed messages between the callers' interface and the core: the callers' requests and their
//! answers, independent of the protocol that carries them.

use std::sync::Arc;

use smol_str::SmolStr;

use crate::error::{ErrorKind, RunState};
use crate::fleet::{InstanceName, PoolName, QueueName, Resources};

/// Number of a call at one entry; unique until the process ends.
pub type CallId = u64;

/// Work that a caller requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRequest {
    /// Caller's id of the request: a UUIDv7, whose timestamp gives the age of the request.
    pub request_id: SmolStr,
    /// Key of the team, if the caller sent one.
    pub key: Option<SmolStr>,
    /// Queue that the request names.
    pub queue: QueueName,
    /// Time for which the caller waits for the answer, from the arrival of the call.
    pub deadline_ms: u64,
    /// Whether the work may run more than once.
    pub is_idempotent: bool,
    /// Declared resources.
    pub size: Resources,
    /// Declared run time; 0 if the caller declared none.
    pub declared_run_ms: u64,
    /// Whether the call returns once the work is accepted; the caller fetches the result by its id.
    pub is_for_later: bool,
    /// Body, passed to the task unchanged.
    pub body: Arc<[u8]>,
}

/// A caller's request to cancel an earlier request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cancel {
    /// Id of the request.
    pub request_id: SmolStr,
    /// Key of the team, if the caller sent one.
    pub key: Option<SmolStr>,
}

/// A caller's request for the result of work that was accepted for later.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// Id of the request.
    pub request_id: SmolStr,
    /// Key of the team, if the caller sent one.
    pub key: Option<SmolStr>,
}

/// Sends the one answer to a caller; the channel is disconnected once the caller is gone.
pub type ReplySender = flume::Sender<CallerAnswer>;

/// One message from the callers' interface to the core.
#[derive(Clone, Debug)]
pub enum CallerCall {
    /// Run work.
    Run {
        /// Number of the call.
        call_id: CallId,
        /// Work to run.
        request: CallerRequest,
        /// Channel for the answer.
        reply: ReplySender,
    },
    /// Stop a request.
    Cancel {
        /// Number of the call.
        call_id: CallId,
        /// Request to stop.
        cancel: Cancel,
        /// Channel for the answer.
        reply: ReplySender,
    },
    /// Report on work accepted for later.
    Fetch {
        /// Number of the call.
        call_id: CallId,
        /// Work to report on.
        fetch: Fetch,
        /// Channel for the answer.
        reply: ReplySender,
    },
    /// The caller of a `Run` disconnected before the answer.
    Gone {
        /// Number of the `Run` call.
        call_id: CallId,
        /// Id of the request.
        request_id: SmolStr,
    },
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    /// The work is done, or the cancellation took effect.
    Done,
    /// The work is accepted but not finished, or the cancellation is in progress.
    Accepted,
    /// The call was refused or failed.
    Failed(ErrorKind),
}

/// The attempt that ran, and where.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RanOn {
    /// Instance that ran the work.
    pub instance: InstanceName,
    /// Pool of the instance at that time.
    pub pool: PoolName,
    /// Id of the attempt.
    pub attempt_id: SmolStr,
}

/// Answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerAnswer {
    /// How the call ended.
    pub outcome: CallerOutcome,
    /// Whether the work ran.
    pub ran: RunState,
    /// Time after which to retry, for the kinds that carry one.
    pub retry_after_ms: Option<u64>,
    /// Attempt that ran, if one did.
    pub ran_on: Option<RanOn>,
    /// Entry that answered.
    pub entry: SmolStr,
    /// Details of the error beyond the text of its kind; may be empty.
    pub detail: SmolStr,
    /// Answer of the task.
    pub body: Arc<[u8]>,
}

impl CallerAnswer {
    /// Returns the answer for a task that ran to its end.
    pub fn done(entry: SmolStr, ran_on: RanOn, body: Arc<[u8]>) -> Self {
        Self {
            outcome: CallerOutcome::Done,
            ran: RunState::Ran,
            retry_after_ms: None,
            ran_on: Some(ran_on),
            entry,
            detail: SmolStr::default(),
            body,
        }
    }

    /// Returns the answer for work that is accepted but not finished.
    pub fn accepted(entry: SmolStr) -> Self {
        Self {
            outcome: CallerOutcome::Accepted,
            ran: RunState::OutcomeUnknown,
            retry_after_ms: None,
            ran_on: None,
            entry,
            detail: SmolStr::default(),
            body: Arc::default(),
        }
    }

    /// Returns the answer for a refusal or failure of `kind`; `retry_after_ms` is used only for the
    /// kinds that carry one.
    pub fn failed(entry: SmolStr, kind: ErrorKind, retry_after_ms: u64) -> Self {
        let row = kind.answer();
        Self {
            outcome: CallerOutcome::Failed(kind),
            ran: row.ran,
            retry_after_ms: row.has_retry_after.then_some(retry_after_ms),
            ran_on: None,
            entry,
            detail: SmolStr::default(),
            body: Arc::default(),
        }
    }

    /// Returns the answer with `detail` added.
    pub fn with_detail(mut self, detail: impl Into<SmolStr>) -> Self {
        self.detail = detail.into();
        self
    }
}
