//! Refusals: why a request was not run, and when its caller may retry.

use crate::policy::keys::RequestKey;

/// Why a request was refused before it ran.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// The queue of this entry is full.
    QueueFull,
    /// The team has reached its limit of waiting requests at this entry.
    TeamQueueFull,
    /// By the observed rates and run times the request would start too late for its deadline.
    DeadlineUnreachable,
    /// The deadline has passed, or the time left is shorter than the observed run time.
    DeadlinePassed,
    /// The size exceeds every worker of the queue's pools, or the maximum of the plan.
    TooLarge,
    /// The queue names no pool.
    NoPool,
    /// A request with this key is already waiting.
    DuplicateKey,
    /// The request waited but can no longer be served in time.
    GivenUp,
}

/// A refusal. The request has not run and will not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason.
    pub reason: RefusalReason,
    /// Time after which to retry, in milliseconds from now. `None` if the request can never run.
    pub retry_after_ms: Option<u64>,
}

/// A waiting request that was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GivenUp {
    /// The request.
    pub key: RequestKey,
    /// Time after which to retry, in milliseconds from now.
    pub retry_after_ms: u64,
}
