//! Settings of the waiting queue of an entry.

use crate::policy::pacing::RetryAfterLimits;

/// How an entry shares a pool with the other entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Sharing {
    /// It starts the waiting team with the lowest level by gossip, whenever a worker is free.
    Levels,
    /// It divides the pool over all teams and entries by gossip and keeps to its own part; beyond
    /// that it starts only what is spare, or what others have left for a while.
    Divided,
}

/// Settings of the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueSettings {
    /// Requests that may wait at once.
    pub waiting_max_count: usize,
    /// Part of the free places that one team may take, in thousandths.
    pub team_part_permille: u32,
    /// Part of the recent starts of a pool that urgent work may take ahead of other work.
    pub urgent_max_permille: u32,
    /// Mean deviations of the run time that are reserved before a deadline.
    pub run_deviations: f64,
    /// Factor on the time left before a waiting request is given up by the observed rate.
    pub give_up_slack: f64,
    /// Time that a request waits for a preferred pool before the next one may take it.
    pub spill_after_ms: u64,
    /// How this entry shares a pool with the others.
    pub sharing: Sharing,
    /// Time for which this entry leaves a free slot to the team and entry whose turn it is by
    /// gossip, before it takes the slot itself.
    pub yield_max_ms: u64,
    /// Limits of the time that callers are told to stay away.
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
