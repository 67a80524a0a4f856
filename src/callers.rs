//! Typed messages between the callers' interface and the core: what a caller asks and what it is
//! told, whatever protocol carried them.

use std::sync::Arc;

use smol_str::SmolStr;

use crate::error::{ErrorKind, RunState};
use crate::fleet::{InstanceName, PoolName, QueueName, Resources};

/// Number of one call at one entry; unique for the life of the process.
pub type CallId = u64;

/// Work that a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerRequest {
    /// Caller's id: a UUIDv7, whose time tells how old the request is.
    pub request_id: SmolStr,
    /// Key of the team, if the caller sent one.
    pub key: Option<SmolStr>,
    /// Queue that the caller named.
    pub queue: QueueName,
    /// Time that the caller waits for the answer, counted from the arrival of the call.
    pub deadline_ms: u64,
    /// Whether the work may run more than once.
    pub is_idempotent: bool,
    /// Declared size.
    pub size: Resources,
    /// Declared run time; 0 if the caller gave none.
    pub declared_run_ms: u64,
    /// Whether the work is accepted for later, to be fetched by its id.
    pub is_for_later: bool,
    /// Body, handed to the task as it is.
    pub body: Arc<[u8]>,
}

/// A caller's wish that a request be stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cancel {
    /// Id of the request.
    pub request_id: SmolStr,
    /// Key of the team, if the caller sent one.
    pub key: Option<SmolStr>,
}

/// A caller's question for work that was accepted for later.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// Id of the request.
    pub request_id: SmolStr,
    /// Key of the team, if the caller sent one.
    pub key: Option<SmolStr>,
}

/// One-shot way back to the caller; it reads as disconnected once the caller has gone.
pub type ReplySender = flume::Sender<CallerAnswer>;

/// One message from the callers' interface to the core.
#[derive(Clone, Debug)]
pub enum CallerCall {
    /// Run this work.
    Run {
        /// Number of the call.
        call_id: CallId,
        /// What to run.
        request: CallerRequest,
        /// Where the answer goes.
        reply: ReplySender,
    },
    /// Stop a request.
    Cancel {
        /// Number of the call.
        call_id: CallId,
        /// What to stop.
        cancel: Cancel,
        /// Where the answer goes.
        reply: ReplySender,
    },
    /// Report on work accepted for later.
    Fetch {
        /// Number of the call.
        call_id: CallId,
        /// What to report on.
        fetch: Fetch,
        /// Where the answer goes.
        reply: ReplySender,
    },
    /// The caller of a `Run` went away before it was answered.
    Gone {
        /// Number of the call that lost its caller.
        call_id: CallId,
        /// Id of its request.
        request_id: SmolStr,
    },
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    /// The work is done, or the cancel took effect.
    Done,
    /// The work is accepted and not finished yet, or the cancel is under way.
    Accepted,
    /// The call was refused or failed.
    Failed(ErrorKind),
}

/// Where an attempt ran.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RanOn {
    /// Instance that ran the work.
    pub instance: InstanceName,
    /// Pool that it served at the time.
    pub pool: PoolName,
    /// Id of the attempt.
    pub attempt_id: SmolStr,
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerAnswer {
    /// How the call ended.
    pub outcome: CallerOutcome,
    /// Whether the work ran.
    pub ran: RunState,
    /// When to come back, for the kinds that say so.
    pub retry_after_ms: Option<u64>,
    /// Where the work ran, if it did.
    pub ran_on: Option<RanOn>,
    /// Entry that answered.
    pub entry: SmolStr,
    /// What exactly was wrong, if more can be said than the text of the kind.
    pub detail: SmolStr,
    /// Answer of the task.
    pub body: Arc<[u8]>,
}

impl CallerAnswer {
    /// Returns the answer of a task that ran to its end.
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

    /// Returns the answer for work that is accepted and not finished.
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

    /// Returns the refusal or failure of `kind`; `retry_after_ms` is kept for the kinds that carry
    /// one.
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
