//! Counters of one entry since its start.

use indexmap::IndexMap;

use crate::{
    callers::{CallerAnswer, CallerOutcome},
    error::ErrorKind,
};

/// Counters since the start of the process.
#[derive(Clone, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) calls_count: u64,
    pub(crate) answered_count: u64,
    pub(crate) refused: IndexMap<ErrorKind, u64>,
    pub(crate) attempts_count: u64,
    pub(crate) appends_count: u64,
    pub(crate) changes_dropped_count: u64,
    pub(crate) seats_lost_count: u64,
    pub(crate) late_outcomes_count: u64,
}

impl Counts {
    /// Counts an answer by its kind.
    pub(crate) fn record_answer(&mut self, answer: &CallerAnswer) {
        match answer.outcome {
            CallerOutcome::Failed(kind) => *self.refused.entry(kind).or_default() += 1,
            CallerOutcome::Done | CallerOutcome::Accepted => self.answered_count += 1,
        }
    }
}
