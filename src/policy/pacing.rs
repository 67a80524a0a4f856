//! Pacing of the callers that were told to come back: each books a place in a virtual queue behind
//! what waits for the pool now, at the rate at which the pool drains (the generic cell rate
//! algorithm), so that callers that obey spread out and find room. Whom a team's share lets in when
//! they return is decided then, as for everybody.

use rand::{Rng, RngExt};

use crate::fleet::MonoMs;
use crate::policy::hash::KeyMap;
use crate::policy::keys::PoolKey;

/// Limits of the time that callers are told to stay away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAfterLimits {
    /// Shortest time told.
    pub min_ms: u64,
    /// Longest time told.
    pub max_ms: u64,
}

/// Time between two returning callers while the rate of the pool is not known yet.
const UNKNOWN_INTERVAL_MS: f64 = 20.0;

/// What is known of a pool for one booking.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolPace {
    pub(crate) pool: PoolKey,
    /// Starts a millisecond, if known.
    pub(crate) per_ms: Option<f64>,
    /// Requests that wait for it.
    pub(crate) waiting_count: usize,
}

/// The bookings of all pools: for each the time after the last place that was booked.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pacing {
    booked_until_ms: KeyMap<PoolKey, f64>,
}

impl Pacing {
    /// Books a time to come back for one caller and returns how long it is from now. Beyond the
    /// longest time that may be told, times are drawn from its second half.
    pub(crate) fn book_ms<R: Rng>(
        &mut self,
        now_ms: MonoMs,
        pace: PoolPace,
        limits: RetryAfterLimits,
        rng: &mut R,
    ) -> u64 {
        let now = now_ms as f64;
        let max_ms = limits.max_ms as f64;
        let interval_ms = match pace.per_ms {
            Some(per_ms) if per_ms > 0.0 => (1.0 / per_ms).min(max_ms),
            Some(_) => max_ms,
            None => UNKNOWN_INTERVAL_MS,
        };
        let backlog_ms = interval_ms * pace.waiting_count as f64;
        let earliest_ms = now + backlog_ms.clamp(limits.min_ms as f64, max_ms);
        let until_ms = self.booked_until_ms.entry(pace.pool).or_insert(0.0);
        let at_ms = until_ms.max(earliest_ms);
        *until_ms = (at_ms + interval_ms).min(now + max_ms);
        let wait_ms = match at_ms - now {
            wait_ms if wait_ms >= max_ms => rng.random_range(max_ms / 2.0..=max_ms),
            wait_ms => wait_ms + rng.random_range(0.0..=interval_ms),
        };
        wait_ms.min(max_ms) as u64
    }
}
