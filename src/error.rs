//! The closed list of refusals and failures, and the table that maps each of them to the answer for
//! the caller.

use serde::{Deserialize, Serialize};

use crate::ports::NotStarted;

/// Whether the work of a call ran, as far as it is proved.
///
/// The state applies to the call that is answered. A caller that repeats a request id may get
/// `not_run` for the repetition although an earlier call with the same id ran; only
/// [`ErrorKind::DuplicateFinished`] and the other duplicate kinds report on earlier calls.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RunState {
    /// It is proved that no worker started the work for this call.
    NotRun,
    /// The work ran to its end.
    Ran,
    /// The work may have run, partly or to its end.
    OutcomeUnknown,
}

/// Reason for which a call is refused or fails.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumCount,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ErrorKind {
    /// The call cannot be parsed: a header, an id, the path or the framing is invalid.
    MalformedRequest,
    /// The queue is not in the lists in force.
    UnknownQueue,
    /// The queue requires a key and the call has none.
    KeyMissing,
    /// The key was never granted.
    KeyUnknown,
    /// The key was withdrawn.
    KeyWithdrawn,
    /// The plan of the key's team does not include the queue.
    NotEntitled,
    /// The declared resources exceed the plan's limit for one request.
    TooLarge,
    /// No worker that the plan may use is large enough for the request.
    CanNeverRun,
    /// The body is longer than the entry accepts.
    BodyTooLarge,
    /// The work ran, but its answer is longer than the entry forwards.
    AnswerTooLarge,
    /// The bounded queue of waiting work is full.
    QueueFull,
    /// The work could not start before its deadline behind the work that is already waiting.
    DeadlineUnreachable,
    /// The deadline passed before the work started.
    DeadlinePassed,
    /// The deadline passed while the work was running.
    DeadlinePassedWhileRunning,
    /// No attempt could start the work, and the retry budget is used up.
    GivenUp,
    /// The team already runs as much as its limit allows.
    LimitReached,
    /// The entry does not know the head of the ledger yet.
    EntryNotReady,
    /// The entry's lease on its seat expired.
    SeatLapsed,
    /// The entry has reached neither the log nor peers for too long to trust its configuration.
    ConfigurationStale,
    /// The log is unreachable, and work that must run at most once requires it.
    LogUnavailable,
    /// The entry is stopping.
    Draining,
    /// The request id is older than the retention period of claims in the ledger.
    StaleRequestId,
    /// A call with the same request id is in flight.
    DuplicateInFlight,
    /// An earlier call with the same request id may have run.
    DuplicateOutcomeUnknown,
    /// An earlier call with the same request id ran to its end.
    DuplicateFinished,
    /// No worker is available in the pools of the queue.
    NoWorker,
    /// The worker was lost, or its answer was incomplete, after the work was sent.
    WorkerLost,
    /// The work ran and reported failure.
    TaskFailed,
    /// The work was cancelled before it started.
    CancelledNotRun,
    /// The work was cancelled after it was sent to a worker.
    CancelledWhileRunning,
    /// The entry already has its maximum of open connections.
    TooManyConnections,
    /// The caller sent its request too slowly.
    SlowSender,
    /// No job with this id is known to the key's team.
    UnknownJob,
    /// The change is based on a version that is no longer in force.
    VersionConflict,
    /// Internal error of the entry.
    Internal,
}

/// Answer to a caller for one [`ErrorKind`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorAnswer {
    /// HTTP status.
    pub status: u16,
    /// Whether the work ran.
    pub ran: RunState,
    /// Whether the answer carries a time after which to retry.
    pub has_retry_after: bool,
    /// One sentence of explanation for the caller.
    pub text: &'static str,
}

const RETRY: bool = true;
const FINAL: bool = false;

const fn row(status: u16, ran: RunState, has_retry_after: bool, text: &'static str) -> ErrorAnswer {
    ErrorAnswer {
        status,
        ran,
        has_retry_after,
        text,
    }
}

impl ErrorKind {
    /// Returns the name used in answers, logs and metrics.
    pub fn name(self) -> &'static str {
        self.into()
    }

    /// Returns the answer for this kind.
    ///
    /// Failures caused by the work or by the caller have a status below 500, so that a load
    /// balancer does not take the entry out of service because of them.
    pub const fn answer(self) -> ErrorAnswer {
        use RunState::{NotRun, OutcomeUnknown, Ran};
        match self {
            Self::MalformedRequest => row(400, NotRun, FINAL, "The request cannot be read."),
            Self::UnknownQueue => row(404, NotRun, FINAL, "No queue of this name is in force."),
            Self::KeyMissing => row(401, NotRun, FINAL, "The queue needs a team's key."),
            Self::KeyUnknown => row(401, NotRun, FINAL, "The key is not known."),
            Self::KeyWithdrawn => row(401, NotRun, FINAL, "The key was withdrawn."),
            Self::NotEntitled => row(403, NotRun, FINAL, "The plan may not use this queue."),
            Self::TooLarge => row(
                422,
                NotRun,
                FINAL,
                "The declared size is more than the plan allows for one request.",
            ),
            Self::CanNeverRun => row(
                422,
                NotRun,
                FINAL,
                "No worker of the queue's pools could ever hold this request.",
            ),
            Self::BodyTooLarge => row(413, NotRun, FINAL, "The body is too long."),
            Self::AnswerTooLarge => row(
                422,
                Ran,
                FINAL,
                "The work ran, but its answer is too long to be passed on.",
            ),
            Self::QueueFull => row(503, NotRun, RETRY, "The queue is full."),
            Self::DeadlineUnreachable => row(
                503,
                NotRun,
                RETRY,
                "The work could not start before its deadline.",
            ),
            Self::DeadlinePassed => row(
                504,
                NotRun,
                RETRY,
                "The deadline passed before the work started.",
            ),
            Self::DeadlinePassedWhileRunning => row(
                504,
                OutcomeUnknown,
                FINAL,
                "The deadline passed while the work was running.",
            ),
            Self::GivenUp => row(
                503,
                NotRun,
                RETRY,
                "Every attempt was turned away and the retry budget is spent.",
            ),
            Self::LimitReached => row(429, NotRun, RETRY, "The team has its limit running."),
            Self::EntryNotReady => row(
                503,
                NotRun,
                RETRY,
                "The entry has not learned the head of the ledger yet.",
            ),
            Self::SeatLapsed => row(503, NotRun, RETRY, "The entry's seat lapsed."),
            Self::ConfigurationStale => row(
                503,
                NotRun,
                RETRY,
                "The entry's configuration may be out of date.",
            ),
            Self::LogUnavailable => row(
                503,
                NotRun,
                RETRY,
                "The log is out of reach, so the work cannot be claimed for a single run.",
            ),
            Self::Draining => row(503, NotRun, RETRY, "The entry is stopping."),
            Self::StaleRequestId => row(
                409,
                OutcomeUnknown,
                FINAL,
                "The request id is too old to tell whether the work ran before.",
            ),
            Self::DuplicateInFlight => row(
                409,
                OutcomeUnknown,
                RETRY,
                "A call with the same request id is in flight.",
            ),
            Self::DuplicateOutcomeUnknown => row(
                409,
                OutcomeUnknown,
                FINAL,
                "An earlier call with the same request id may have run.",
            ),
            Self::DuplicateFinished => row(
                409,
                Ran,
                FINAL,
                "An earlier call with the same request id ran to its end.",
            ),
            Self::NoWorker => row(503, NotRun, RETRY, "No worker is available."),
            Self::WorkerLost => row(
                502,
                OutcomeUnknown,
                FINAL,
                "The worker was lost after the work was sent to it.",
            ),
            Self::TaskFailed => row(422, Ran, FINAL, "The work ran and reported failure."),
            Self::CancelledNotRun => row(
                409,
                NotRun,
                FINAL,
                "The work was cancelled before it started.",
            ),
            Self::CancelledWhileRunning => row(
                409,
                OutcomeUnknown,
                FINAL,
                "The work was cancelled after it was sent to a worker.",
            ),
            Self::TooManyConnections => {
                row(503, NotRun, RETRY, "The entry has too many connections.")
            }
            Self::SlowSender => row(408, NotRun, RETRY, "The request came too slowly."),
            Self::UnknownJob => row(
                404,
                OutcomeUnknown,
                FINAL,
                "No job with this id is known to the team of the key.",
            ),
            Self::VersionConflict => row(
                409,
                NotRun,
                FINAL,
                "The change was made from a version that is no longer in force.",
            ),
            Self::Internal => row(
                500,
                OutcomeUnknown,
                FINAL,
                "The entry met a fault of its own.",
            ),
        }
    }
}

/// Reason for repeating an attempt, an append or a call between entries.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumCount,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RetryReason {
    /// The worker had no free slot.
    WorkerBusy,
    /// The worker was draining.
    WorkerDraining,
    /// The attempt reached the worker after its start time had passed.
    WorkerLate,
    /// The request needs more resources than the worker has.
    WorkerTooSmall,
    /// No connection to the worker could be made.
    WorkerUnreachable,
    /// The worker was lost while it ran idempotent work.
    WorkerLost,
    /// The worker reported that idempotent work failed.
    TaskFailed,
    /// The answer to an append was lost, and the record was not found by reading.
    AppendLost,
    /// The version or epoch of the record was no longer valid at its offset.
    AppendOutrun,
    /// The log was unreachable.
    LogUnreachable,
    /// The instance list was unreachable.
    InstanceListUnreachable,
    /// A peer did not answer.
    PeerSilent,
}

impl From<crate::policy::retry::RetryReason> for RetryReason {
    fn from(reason: crate::policy::retry::RetryReason) -> Self {
        use crate::policy::retry::RetryReason as Policy;
        match reason {
            Policy::WorkerBusy => Self::WorkerBusy,
            Policy::WorkerDraining => Self::WorkerDraining,
            Policy::WorkerLate => Self::WorkerLate,
            Policy::WorkerTooSmall => Self::WorkerTooSmall,
            Policy::Unreachable => Self::WorkerUnreachable,
            Policy::OutcomeUnknown => Self::WorkerLost,
            Policy::TaskFailed => Self::TaskFailed,
        }
    }
}

impl From<NotStarted> for RetryReason {
    fn from(reason: NotStarted) -> Self {
        match reason {
            NotStarted::Busy => Self::WorkerBusy,
            NotStarted::Draining | NotStarted::WrongIncarnation => Self::WorkerDraining,
            NotStarted::Late => Self::WorkerLate,
            NotStarted::TooLarge => Self::WorkerTooSmall,
            NotStarted::Unreachable => Self::WorkerUnreachable,
        }
    }
}
