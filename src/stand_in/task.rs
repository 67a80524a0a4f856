//! What a stand-in worker does for a request: the order that the request's body may hold, and the
//! answer that proves whose it is.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::adapters::worker_answer::digest;

/// Largest answer that an order may ask for.
pub const ANSWER_MAX_BYTES: u64 = 256 * 1_024 * 1_024;

/// How a task behaves; read from the body of its request if that is such a JSON object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TaskSpec {
    /// How long the task runs.
    pub run_ms: u64,
    /// Least length of the answer.
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
    /// Returns the order that `body` holds, or the default one for any other body.
    pub fn from_body(body: &[u8]) -> Self {
        serde_json::from_slice(body).unwrap_or_default()
    }
}

/// The answer of a task, in which callers find their own ids and the digest of their own body.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskAnswer {
    /// Caller's id of the request.
    pub request_id: SmolStr,
    /// Attempt that ran.
    pub attempt_id: SmolStr,
    /// Name of the worker.
    pub worker: SmolStr,
    /// Incarnation of the worker.
    pub incarnation: SmolStr,
    /// BLAKE3 digest of the request's body, in lower-case hexadecimal.
    pub body_blake3: SmolStr,
    /// Filling up to the length asked for.
    pub padding: String,
}

impl TaskAnswer {
    /// Encodes the answer with at least `answer_bytes` bytes.
    pub fn encode(mut self, answer_bytes: u64) -> Arc<[u8]> {
        let bare_bytes = self.to_json().len() as u64;
        let padding_bytes = answer_bytes
            .min(ANSWER_MAX_BYTES)
            .saturating_sub(bare_bytes);
        self.padding = "x".repeat(usize::try_from(padding_bytes).unwrap_or(0));
        Arc::from(self.to_json())
    }

    /// Reads an answer back; `None` if it is not whole.
    pub fn decode(answer: &[u8]) -> Option<Self> {
        serde_json::from_slice(answer).ok()
    }

    /// Returns whether the answer is for this request with this body.
    pub fn is_for(&self, request_id: &str, body: &[u8]) -> bool {
        self.request_id == request_id && self.body_blake3 == digest(body)
    }

    fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("strings always encode")
    }
}
