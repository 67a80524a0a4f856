//! Proof that an instance has drained. A drain never interrupts requests. It ends only when the
//! worker refuses new work and runs nothing, or when every lease under which it could run has
//! expired.

use crate::fleet::UnixMs;

/// State of an instance that is draining.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainEvidence {
    /// Whether the incarnation that was asked to drain reports that it refuses new work.
    pub is_worker_refusing: bool,
    /// Requests that this incarnation runs, read after it began to refuse. `None` if the worker is
    /// unresponsive.
    pub running_count: Option<u32>,
    /// Time at which the lease of the last task that the worker could have started has expired.
    pub task_leases_end_unix_ms: UnixMs,
    /// Entries that have not yet confirmed that they dispatch nothing more under the old
    /// assignment.
    pub entries_unconfirmed_count: u32,
    /// Time at which the seats of those entries have expired.
    pub seat_leases_end_unix_ms: UnixMs,
}

impl DrainEvidence {
    /// Returns whether nothing runs on the instance and nothing can start there, so that a stop
    /// interrupts no request.
    pub fn is_empty(&self, now_unix_ms: UnixMs) -> bool {
        match self.running_count {
            Some(running_count) => self.is_worker_refusing && running_count == 0,
            None => {
                self.has_dispatch_ended(now_unix_ms) && now_unix_ms >= self.task_leases_end_unix_ms
            }
        }
    }

    /// Returns whether the instance is empty and no entry still dispatches to it under the old
    /// assignment, so that it may be assigned to another pool.
    pub fn is_released(&self, now_unix_ms: UnixMs) -> bool {
        self.is_empty(now_unix_ms) && self.has_dispatch_ended(now_unix_ms)
    }

    fn has_dispatch_ended(&self, now_unix_ms: UnixMs) -> bool {
        self.entries_unconfirmed_count == 0 || now_unix_ms >= self.seat_leases_end_unix_ms
    }
}
