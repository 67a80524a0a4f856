//! Proof that an instance has drained. A drain has no power to cut: it ends only when the worker
//! refuses new work and runs nothing, or when every lease under which it could run has lapsed.

use crate::fleet::UnixMs;

/// What is known of an instance that drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainEvidence {
    /// Whether the incarnation that was asked to drain says that it refuses new work.
    pub is_worker_refusing: bool,
    /// Requests that this incarnation runs, read after it began to refuse; `None` if it is silent.
    pub running_count: Option<u32>,
    /// Time by which every task that the worker could have started has lost its lease.
    pub task_leases_end_unix_ms: UnixMs,
    /// Entries that have not yet confirmed that they dispatch nothing under the old assignment.
    pub entries_unconfirmed_count: u32,
    /// Time by which the seats of those entries have lapsed.
    pub seat_leases_end_unix_ms: UnixMs,
}

impl DrainEvidence {
    /// Returns whether nothing runs on the instance and nothing can start there, so that a stop
    /// cuts no request.
    pub fn is_empty(&self, now_unix_ms: UnixMs) -> bool {
        match self.running_count {
            Some(running_count) => self.is_worker_refusing && running_count == 0,
            None => self.entries_clear(now_unix_ms) && now_unix_ms >= self.task_leases_end_unix_ms,
        }
    }

    /// Returns whether the instance is empty and no entry still dispatches to it under the old
    /// assignment, so that another pool may have it.
    pub fn is_released(&self, now_unix_ms: UnixMs) -> bool {
        self.is_empty(now_unix_ms) && self.entries_clear(now_unix_ms)
    }

    fn entries_clear(&self, now_unix_ms: UnixMs) -> bool {
        self.entries_unconfirmed_count == 0 || now_unix_ms >= self.seat_leases_end_unix_ms
    }
}
