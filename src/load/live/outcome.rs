//! Outcome of one request of a load test, as its caller sees it.

use serde::Serialize;
use smol_str::SmolStr;

use crate::error::RunState;

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// The caller received the answer of the task.
    Done,
    /// The request was refused or failed.
    Failed {
        /// Kind of the refusal.
        kind: SmolStr,
    },
    /// The caller received no answer.
    Lost {
        /// Reason, as far as the caller knows it.
        reason: SmolStr,
    },
}

impl End {
    /// Returns the name under which this end is counted.
    pub fn name(&self) -> &str {
        match self {
            Self::Done => "done",
            Self::Failed { kind } => kind,
            Self::Lost { reason } => reason,
        }
    }
}

/// Outcome of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// Index of the request in the schedule.
    #[serde(rename = "shot")]
    pub schedule_index: usize,
    /// Request id, chosen by the caller.
    pub request_id: SmolStr,
    /// Entry that sent the last answer; empty if there was none.
    pub entry: SmolStr,
    /// Index of the request's key among the team's keys.
    pub key: usize,
    /// Time at which the request was due.
    pub sent_unix_us: u64,
    /// Time from then to the end of the request.
    pub latency_us: u64,
    /// End of the request.
    pub end: End,
    /// Whether the request ran, according to the last answer.
    pub ran: RunState,
    /// Whether every call of the request, including twins and retries, was answered with proof that
    /// the request did not run.
    pub is_proved_not_run: bool,
    /// Whether the answer is complete and belongs to this request. Only false for answers of tasks.
    pub is_own_answer: bool,
    /// Number of calls, without cancellations and result polls.
    pub calls_count: u32,
    /// Whether the caller cancelled the request.
    pub is_cancelled: bool,
    /// Names of the refusals and losses of all calls except the last.
    pub retried_after: Vec<SmolStr>,
}

impl Outcome {
    /// Returns whether the task answered within `deadline_ms` after the request was due.
    pub fn is_on_time(&self, deadline_ms: u64) -> bool {
        self.end == End::Done && self.latency_us <= deadline_ms.saturating_mul(1_000)
    }
}
