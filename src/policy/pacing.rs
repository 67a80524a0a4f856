//! Pacing of refused callers by their retry-after times.
//!
//! Each refused caller gets a reservation in a virtual queue behind the requests that wait for the
//! pool now. Reservations are spaced by the rate at which the pool starts requests (the generic
//! cell rate algorithm), so that callers that respect their retry-after time return at different
//! times and find capacity. A reservation does not grant admission: that is decided on the caller's
//! return by its team's share, as for every request.

use rand::{Rng, RngExt};

use crate::fleet::MonoMs;
use crate::policy::hash::KeyMap;
use crate::policy::keys::PoolKey;

/// Limits of the retry-after time, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAfterLimits {
    /// Shortest retry-after time.
    pub min_ms: u64,
    /// Longest retry-after time.
    pub max_ms: u64,
}

/// Time between two returning callers while the start rate of the pool is unknown.
const UNKNOWN_INTERVAL_MS: f64 = 20.0;

/// State of a pool that one reservation depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolPace {
    pub(crate) pool: PoolKey,
    /// Starts per millisecond, if known.
    pub(crate) starts_per_ms: Option<f64>,
    /// Requests that wait for the pool.
    pub(crate) waiting_count: usize,
}

/// The reservations of all pools. For each pool it stores the end of the last reservation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pacing {
    reserved_until_ms: KeyMap<PoolKey, f64>,
}

impl Pacing {
    /// Reserves a return time for one caller and returns its retry-after time in milliseconds. Once
    /// the queue exceeds the longest retry-after time, the time is drawn at random between half of
    /// the longest time and all of it.
    pub(crate) fn reserve_retry_after_ms<R: Rng>(
        &mut self,
        now_ms: MonoMs,
        pace: PoolPace,
        limits: RetryAfterLimits,
        rng: &mut R,
    ) -> u64 {
        let now = now_ms as f64;
        let max_ms = limits.max_ms as f64;
        let interval_ms = match pace.starts_per_ms {
            Some(rate) if rate > 0.0 => (1.0 / rate).min(max_ms),
            Some(_) => max_ms,
            None => UNKNOWN_INTERVAL_MS,
        };
        let backlog_ms = interval_ms * pace.waiting_count as f64;
        let earliest_ms = now + backlog_ms.clamp(limits.min_ms as f64, max_ms);
        let until_ms = self.reserved_until_ms.entry(pace.pool).or_insert(0.0);
        let at_ms = until_ms.max(earliest_ms);
        *until_ms = (at_ms + interval_ms).min(now + max_ms);
        let wait_ms = match at_ms - now {
            wait_ms if wait_ms >= max_ms => rng.random_range(max_ms / 2.0..=max_ms),
            wait_ms => wait_ms + rng.random_range(0.0..=interval_ms),
        };
        wait_ms.min(max_ms) as u64
    }
}
