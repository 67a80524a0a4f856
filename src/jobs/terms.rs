//! What a queue promises a job, as agreed on when the job is accepted. Later lists may change or drop
//! the queue; a job that was accepted keeps its terms.

use serde::{Deserialize, Serialize};

use crate::jobs::catalog::Queue;
use crate::jobs::requests::scaled_ms;

/// Terms of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobTerms {
    /// Number of failed runs after which a task is not run again.
    pub attempts_max: u32,
    /// Part of the job's target time that is a multiple of its longest chain.
    pub target_chain_factor: f64,
    /// Part of the job's target time that does not depend on its size, in milliseconds.
    pub target_latency_ms: u64,
    /// Whether workers need a ticket of the eligibility service to run a step.
    pub needs_tickets: bool,
}

impl JobTerms {
    /// Returns the terms of jobs that `queue` accepts.
    pub(crate) fn of(queue: &Queue) -> Self {
        Self {
            attempts_max: queue.attempts_max,
            target_chain_factor: queue.target_chain_factor,
            target_latency_ms: queue.target_latency_ms,
            needs_tickets: queue.needs_tickets,
        }
    }

    /// Returns the time after its arrival by which a job with this longest chain should be complete.
    pub(crate) fn target_after_ms(&self, chain_ms: u64) -> u64 {
        self.target_latency_ms + scaled_ms(chain_ms, self.target_chain_factor)
    }
}
