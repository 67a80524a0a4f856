//! Checks that an answer is the complete answer to an attempt, by its attempt id, declared length
//! and digest.

use std::sync::Arc;

use smol_str::SmolStr;

use crate::ports::{TaskStop, WorkerOutcome};

/// Reason for which an attempt ended without a valid answer; the name is used in counters.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Loss {
    /// No complete answer arrived before the timeout.
    TimedOut,
    /// The connection closed before the answer was complete.
    ClosedEarly,
    /// The received bytes were not a valid answer of the protocol.
    Malformed,
    /// The answer belonged to another attempt.
    Crossed,
    /// The length or the digest of the answer was not the declared one.
    NotWhole,
    /// The answer was longer than allowed.
    TooLarge,
    /// The worker had already received this attempt.
    DuplicateAttempt,
    /// The lease of the task expired before the task ended.
    LeaseLapsed,
    /// The task was cancelled after its start.
    Cancelled,
    /// The instance was rebooted while the task ran.
    Killed,
    /// The worker failed without reporting whether the task started.
    WorkerFailed,
}

impl Loss {
    /// Returns the outcome of an attempt that was lost for this reason.
    pub fn outcome(self) -> WorkerOutcome {
        match self {
            Self::Cancelled => WorkerOutcome::Stopped(TaskStop::Cancelled),
            Self::LeaseLapsed => WorkerOutcome::Stopped(TaskStop::LeaseLapsed),
            Self::Killed => WorkerOutcome::Stopped(TaskStop::Killed),
            _ => WorkerOutcome::Unknown(self.into()),
        }
    }
}

impl From<Loss> for SmolStr {
    fn from(loss: Loss) -> Self {
        Self::new_static(loss.into())
    }
}

/// An answer as received, before any check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawAnswer {
    /// Attempt that the answer claims to belong to.
    pub attempt_id: SmolStr,
    /// Whether the task reported success.
    pub is_success: bool,
    /// Length that the worker declared.
    pub declared_bytes: u64,
    /// BLAKE3 digest that the worker declared, in lower-case hexadecimal.
    pub declared_blake3: SmolStr,
    /// Received body.
    pub body: Arc<[u8]>,
}

impl RawAnswer {
    /// Returns an answer that declares the length and the digest of `body`.
    pub fn of(attempt_id: SmolStr, is_success: bool, body: Arc<[u8]>) -> Self {
        Self {
            attempt_id,
            is_success,
            declared_bytes: body.len() as u64,
            declared_blake3: digest(&body),
            body,
        }
    }

    /// Returns the outcome of `attempt_id` that this answer proves.
    pub fn check(self, attempt_id: &str, answer_max_bytes: u64) -> WorkerOutcome {
        let body_bytes = self.body.len() as u64;
        match () {
            () if self.attempt_id != attempt_id => Loss::Crossed.outcome(),
            () if self.declared_bytes > answer_max_bytes => Loss::TooLarge.outcome(),
            () if body_bytes > answer_max_bytes => Loss::TooLarge.outcome(),
            () if body_bytes != self.declared_bytes => Loss::NotWhole.outcome(),
            () if digest(&self.body) != self.declared_blake3 => Loss::NotWhole.outcome(),
            () => WorkerOutcome::Ran {
                is_success: self.is_success,
                body: self.body,
            },
        }
    }
}

/// Returns the BLAKE3 digest of `body` in lower-case hexadecimal.
pub fn digest(body: &[u8]) -> SmolStr {
    SmolStr::new(blake3::hash(body).to_hex())
}
