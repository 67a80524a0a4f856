//! Bounds of the callers' interface.

/// Bounds of the callers' interface; each keeps one caller's fault from costing the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallersLimits {
    /// Open connections at most; one more is refused.
    pub connections_max_count: usize,
    /// Connections over the bound that are told so at once; more are closed without a word.
    pub refusals_max_count: usize,
    /// Time that a connection may take over a request's head, idle time between requests included.
    pub header_timeout_ms: u64,
    /// Time that a body may pause.
    pub body_idle_timeout_ms: u64,
    /// Time that a caller may pause while it reads its answer.
    pub write_idle_timeout_ms: u64,
    /// Longest body of one request.
    pub body_max_bytes: u64,
    /// Bytes of all bodies that are being read or waiting for their answer.
    pub bodies_total_max_bytes: u64,
    /// Deadline of a request that names none.
    pub deadline_default_ms: u64,
    /// Longest deadline that a request may name.
    pub deadline_max_ms: u64,
    /// Time past the deadline after which the server stops waiting for the core's answer.
    pub reply_grace_ms: u64,
    /// When to come back after a refusal of the server's own.
    pub retry_after_ms: u64,
    /// Threads that serve the connections.
    pub threads_count: usize,
}

impl Default for CallersLimits {
    fn default() -> Self {
        Self {
            connections_max_count: 1_024,
            refusals_max_count: 64,
            header_timeout_ms: 10_000,
            body_idle_timeout_ms: 5_000,
            write_idle_timeout_ms: 5_000,
            body_max_bytes: 64 << 20,
            bodies_total_max_bytes: 256 << 20,
            deadline_default_ms: 30_000,
            deadline_max_ms: 600_000,
            reply_grace_ms: 1_000,
            retry_after_ms: 1_000,
            threads_count: 2,
        }
    }
}
