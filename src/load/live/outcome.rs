//! What became of one request of a load run, as its caller saw it.

use serde::Serialize;
use smol_str::SmolStr;

use crate::error::RunState;

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// The caller got the answer of the task.
    Done,
    /// The request was refused or failed.
    Failed {
        /// Kind of the refusal.
        kind: SmolStr,
    },
    /// No answer came.
    Lost {
        /// Why, as far as the caller can tell.
        reason: SmolStr,
    },
}

impl End {
    /// Returns the name to count by.
    pub fn name(&self) -> &str {
        match self {
            Self::Done => "done",
            Self::Failed { kind } => kind,
            Self::Lost { reason } => reason,
        }
    }
}

/// What became of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// Place of the request in the schedule.
    #[serde(rename = "shot")]
    pub schedule_index: usize,
    /// Caller's id.
    pub request_id: SmolStr,
    /// Entry that gave the last answer, if one did.
    pub entry: SmolStr,
    /// Key that it carried, by its place among the team's keys.
    pub key: usize,
    /// When it was to be sent.
    pub sent_unix_us: u64,
    /// Time from then to its end.
    pub latency_us: u64,
    /// How it ended.
    pub end: End,
    /// What the last answer said of the work.
    pub ran: RunState,
    /// Whether every call of the request, twins and repetitions included, was answered with proof
    /// that it did not run.
    pub is_proved_not_run: bool,
    /// Whether the answer was whole and the caller's own; only answers of tasks can fail this.
    pub is_own_answer: bool,
    /// Calls made, cancels and fetches not counted.
    pub calls_count: u32,
    /// Whether the caller sent a cancel.
    pub is_cancelled: bool,
    /// Refusals and losses of all calls but the last, by name.
    pub retried_after: Vec<SmolStr>,
}

impl Outcome {
    /// Returns whether the request was answered by its task within `deadline_ms` of its sending.
    pub fn is_on_time(&self, deadline_ms: u64) -> bool {
        self.end == End::Done && self.latency_us <= deadline_ms.saturating_mul(1_000)
    }
}
