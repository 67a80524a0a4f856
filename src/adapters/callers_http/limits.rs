//! Limits of the callers' interface.

/// Limits of the callers' interface. They protect callers from the faults of other callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallersLimits {
    /// Most open connections; further ones are refused.
    pub connections_max_count: usize,
    /// Most connections over that limit that get a refusal at the same time; further ones are
    /// closed without an answer.
    pub refusals_max_count: usize,
    /// Timeout for the head of a request, including the idle time since the previous request.
    pub header_timeout_ms: u64,
    /// Longest pause in the arrival of a body.
    pub body_idle_timeout_ms: u64,
    /// Longest pause of a caller while it reads its answer.
    pub write_idle_timeout_ms: u64,
    /// Longest body of one request.
    pub body_max_bytes: u64,
    /// Most bytes of all bodies that are being read or wait for their answer.
    pub bodies_total_max_bytes: u64,
    /// Deadline of a request that declares none.
    pub deadline_default_ms: u64,
    /// Longest deadline that a request may declare.
    pub deadline_max_ms: u64,
    /// Time past the deadline for which the server still waits for the core's answer.
    pub reply_grace_ms: u64,
    /// Time after which to retry a request that the server itself refused.
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
