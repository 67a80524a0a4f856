//! Checks that an answer is the whole answer to one attempt: identity, declared length and digest.

use std::sync::Arc;

use smol_str::SmolStr;

use crate::ports::{TaskStop, WorkerOutcome};

/// Why an attempt ended without an answer that can be trusted; each is a name to count by.
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
    /// No whole answer came within the time allowed.
    TimedOut,
    /// The connection ended before the answer was whole.
    ClosedEarly,
    /// What came was not an answer of the protocol.
    Malformed,
    /// The answer was of another attempt.
    Crossed,
    /// The answer was shorter or longer than declared, or did not match its digest.
    NotWhole,
    /// The answer was larger than allowed.
    TooLarge,
    /// The worker met a copy of an attempt that it knew already.
    DuplicateAttempt,
    /// The lease of the task lapsed before the task ended.
    LeaseLapsed,
    /// The task was cancelled after its start.
    Cancelled,
    /// The instance was rebooted while the task ran.
    Killed,
    /// The worker failed without saying whether the task started.
    WorkerFailed,
}

impl Loss {
    /// Returns the outcome of an attempt that was lost in this way.
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

/// An answer as it came, before any check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawAnswer {
    /// Attempt that the answer says it belongs to.
    pub attempt_id: SmolStr,
    /// Whether the task reported success.
    pub is_success: bool,
    /// Length that the worker declared.
    pub declared_bytes: u64,
    /// BLAKE3 digest that the worker declared, in lower-case hexadecimal.
    pub declared_blake3: SmolStr,
    /// What came.
    pub body: Arc<[u8]>,
}

impl RawAnswer {
    /// Returns the answer with the length and the digest of `body` declared.
    pub fn of(attempt_id: SmolStr, is_success: bool, body: Arc<[u8]>) -> Self {
        Self {
            attempt_id,
            is_success,
            declared_bytes: body.len() as u64,
            declared_blake3: digest(&body),
            body,
        }
    }

    /// Returns the outcome that the answer proves for `attempt_id`.
    pub fn check(self, attempt_id: &str, answer_max_bytes: u64) -> WorkerOutcome {
        let came_bytes = self.body.len() as u64;
        match () {
            () if self.attempt_id != attempt_id => Loss::Crossed.outcome(),
            () if self.declared_bytes > answer_max_bytes => Loss::TooLarge.outcome(),
            () if came_bytes > answer_max_bytes => Loss::TooLarge.outcome(),
            () if came_bytes != self.declared_bytes => Loss::NotWhole.outcome(),
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
