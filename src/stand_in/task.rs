//! The tasks of stand-in workers: the specification that a request's body may hold, and the answer,
//! which identifies the request that it belongs to.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::adapters::worker_answer::digest;

/// Largest answer that a task produces.
pub const ANSWER_MAX_BYTES: u64 = 256 * 1_024 * 1_024;

/// Specification of a task, read from the request's body if that is a JSON object of this form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TaskSpec {
    /// How long the task runs.
    pub run_ms: u64,
    /// Minimum length of the answer.
    pub answer_bytes: u64,
    /// Whether the task reports a failure at its end.
    pub is_failing: bool,
}

impl Default for TaskSpec {
    fn default() -> Self {
        Self {
            run_ms: 5,
            answer_bytes: 0,
            is_failing: false,
        }
    }
}

impl TaskSpec {
    /// Parses the specification in `body`; any other body gives the default one.
    pub fn from_body(body: &[u8]) -> Self {
        serde_json::from_slice(body).unwrap_or_default()
    }
}

/// The answer of a task. Callers compare its ids and its body digest with those of their request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskAnswer {
    /// Caller's id of the request.
    pub request_id: SmolStr,
    /// Attempt that ran the task.
    pub attempt_id: SmolStr,
    /// Name of the worker.
    pub worker: SmolStr,
    /// Incarnation of the worker.
    pub incarnation: SmolStr,
    /// BLAKE3 digest of the request's body, in lower-case hexadecimal.
    pub body_blake3: SmolStr,
    /// Padding up to the specified length.
    pub padding: String,
}

impl TaskAnswer {
    /// Encodes the answer as JSON, padded to at least `answer_bytes` bytes (at most
    /// [`ANSWER_MAX_BYTES`]).
    pub fn encode(mut self, answer_bytes: u64) -> Arc<[u8]> {
        let bare_bytes = self.to_json().len() as u64;
        let padding_bytes = answer_bytes
            .min(ANSWER_MAX_BYTES)
            .saturating_sub(bare_bytes);
        self.padding = "x".repeat(usize::try_from(padding_bytes).unwrap_or(0));
        Arc::from(self.to_json())
    }

    /// Decodes an answer; `None` if it is incomplete or malformed.
    pub fn decode(answer: &[u8]) -> Option<Self> {
        serde_json::from_slice(answer).ok()
    }

    /// Returns whether the answer belongs to the request `request_id` with `body`.
    pub fn is_for(&self, request_id: &str, body: &[u8]) -> bool {
        self.request_id == request_id && self.body_blake3 == digest(body)
    }

    fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("strings always encode")
    }
}
