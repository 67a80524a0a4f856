//! Settings of the wait queue of an entry.

use crate::policy::pacing::RetryAfterLimits;

/// How an entry shares a pool with the other entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Sharing {
    /// Whenever a worker is free, it starts work of the waiting team with the lowest usage level
    /// known from gossip.
    Levels,
    /// It divides the pool among all teams and entries by gossip and uses its own part. Beyond that
    /// it uses only spare slots, and slots that its peers have left free for a while.
    Divided,
}

/// Settings of the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueSettings {
    /// Maximum number of waiting requests.
    pub waiting_max_count: usize,
    /// Waiting requests that one team may have, as a part of the free capacity of the queue, in
    /// thousandths.
    pub team_part_permille: u32,
    /// Part of the recent starts of a pool, in thousandths, up to which urgent work goes ahead of
    /// other work.
    pub urgent_max_permille: u32,
    /// Number of mean deviations of the run time that are reserved before a deadline in addition to
    /// the mean.
    pub run_deviations: f64,
    /// Factor on the time left when the observed rate decides whether to give up a waiting request.
    pub give_up_slack: f64,
    /// Time that a request waits for a preferred pool before the next pool may run it.
    pub spill_after_ms: u64,
    /// How this entry shares a pool with its peers.
    pub sharing: Sharing,
    /// Time for which this entry leaves free slots beyond its part to its peers before it uses them
    /// itself.
    pub yield_max_ms: u64,
    /// Limits of the retry-after time.
    pub retry_after: RetryAfterLimits,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            waiting_max_count: 8_192,
            team_part_permille: 1_000,
            urgent_max_permille: 750,
            run_deviations: 3.0,
            give_up_slack: 1.5,
            spill_after_ms: 20,
            sharing: Sharing::Divided,
            yield_max_ms: 50,
            retry_after: RetryAfterLimits {
                min_ms: 100,
                max_ms: 30_000,
            },
        }
    }
}
