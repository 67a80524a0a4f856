//! Callers that wait until a record is persisted.

use std::collections::HashMap;

use tokio::sync::oneshot;

use crate::jobs::Settled;
use crate::node::CallAnswer;

/// Callers of the leader, by what has to be persisted before they are answered. Dropping them reports
/// to each that the outcome is not known.
#[derive(Debug, Default)]
pub struct Waiters {
    waiting: HashMap<Settled, Vec<oneshot::Sender<CallAnswer>>>,
}

impl Waiters {
    /// Adds a caller that is answered once `settled` is persisted.
    pub fn add(&mut self, settled: Settled) -> oneshot::Receiver<CallAnswer> {
        let (sender, receiver) = oneshot::channel();
        self.waiting.entry(settled).or_default().push(sender);
        receiver
    }

    /// Answers the callers that waited for `settled`.
    pub fn answer(&mut self, settled: Settled) {
        let answer = match settled {
            Settled::Accepted(_) => CallAnswer::Accepted,
            Settled::Ended(_) => CallAnswer::Cancelled,
        };
        for caller in self.waiting.remove(&settled).unwrap_or_default() {
            // Sending fails if the caller has disconnected. What it asked for is persisted all the
            // same.
            let _ = caller.send(answer);
        }
    }

    /// Returns the number of callers that wait.
    pub fn count(&self) -> usize {
        self.waiting.values().map(Vec::len).sum()
    }
}
