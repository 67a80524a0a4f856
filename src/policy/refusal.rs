//! Refusals: why a request was not run, and when its caller may come back.

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
    /// The queue of this entry holds as many requests as it may.
    QueueFull,
    /// The team has so many requests waiting here that no more fit beside those of others.
    TeamQueueFull,
    /// By the observed rate and run time the deadline would pass first.
    DeadlineUnreachable,
    /// The deadline has passed, or the time left is shorter than the observed run time.
    DeadlinePassed,
    /// The size is larger than any worker of the queue's pools, or than the plan allows.
    TooLarge,
    /// The queue names no pool.
    NoPool,
    /// A request with this key waits already.
    DuplicateKey,
    /// It waited, but can no longer be served in time.
    GivenUp,
}

/// A refusal: the request has not run and will not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When to come back, counted from now; `None` if the same request can never run.
    pub retry_after_ms: Option<u64>,
}

/// A request that waited and was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GivenUp {
    /// The request.
    pub key: RequestKey,
    /// When to come back, counted from now.
    pub retry_after_ms: u64,
}
