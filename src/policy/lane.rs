//! A lane: the waiting requests of one team in one queue, in order of their deadlines, with the
//! rate at which they drain and the pacing of the callers that were told to come back.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::{Rng, RngExt};

use crate::fleet::{MonoMs, Resources};
use crate::policy::estimate::DrainRate;
use crate::policy::keys::{PoolKey, QueueKey, RequestKey};
use crate::policy::share::TeamSlot;

/// A request that waits to be started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// Key within this entry.
    pub key: RequestKey,
    /// Team, or `None` for work from a queue open to all.
    pub team: TeamSlot,
    /// Queue that the request named.
    pub queue: QueueKey,
    /// Pools that may run it, the preferred one first.
    pub pools: Arc<[PoolKey]>,
    /// Size to count with: the observed one where it is known, else the declared one.
    pub size: Resources,
    /// Time at which the entry took the request.
    pub enqueued_ms: MonoMs,
    /// Time by which the request must have ended.
    pub deadline_ms: MonoMs,
    /// Whether the queue's work must start within the plan's start target.
    pub is_urgent: bool,
    /// Declared run time; reported, but not decided by.
    pub declared_run_ms: u64,
}

/// Limits of the time that callers are told to stay away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAfterLimits {
    /// Shortest time told.
    pub min_ms: u64,
    /// Longest time told.
    pub max_ms: u64,
}

/// Interval of returning callers while the drain rate of a lane is not known yet.
const UNKNOWN_INTERVAL_MS: f64 = 20.0;

/// A waiting request with the last moment at which it is worth starting.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    pub(crate) waiting: Waiting,
    pub(crate) latest_start_ms: MonoMs,
}

/// Order of places within a lane: earliest deadline first.
pub(crate) type PlaceOrder = (MonoMs, RequestKey);

/// The waiting requests of one team in one queue.
#[derive(Clone, Debug)]
pub(crate) struct Lane {
    pub(crate) team: TeamSlot,
    pub(crate) queue: QueueKey,
    pub(crate) pools: Arc<[PoolKey]>,
    pub(crate) is_urgent: bool,
    places: BTreeMap<PlaceOrder, Place>,
    drain: DrainRate,
    return_clock_ms: f64,
}

impl Lane {
    pub(crate) fn new(now_ms: MonoMs, waiting: &Waiting) -> Self {
        let mut drain = DrainRate::default();
        drain.advance(now_ms, false);
        Self {
            team: waiting.team,
            queue: waiting.queue,
            pools: Arc::clone(&waiting.pools),
            is_urgent: waiting.is_urgent,
            places: BTreeMap::new(),
            drain,
            return_clock_ms: 0.0,
        }
    }

    /// Returns whether a request of this lane's team and queue still belongs here.
    pub(crate) fn is_for(&self, waiting: &Waiting) -> bool {
        self.is_urgent == waiting.is_urgent && self.pools == waiting.pools
    }

    pub(crate) fn len(&self) -> usize {
        self.places.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    pub(crate) fn insert(&mut self, now_ms: MonoMs, place: Place) {
        self.drain.advance(now_ms, !self.places.is_empty());
        let order = (place.waiting.deadline_ms, place.waiting.key);
        self.places.insert(order, place);
    }

    /// Takes out a request that is not started.
    pub(crate) fn remove(&mut self, now_ms: MonoMs, order: PlaceOrder) -> Option<Place> {
        self.drain.advance(now_ms, !self.places.is_empty());
        self.places.remove(&order)
    }

    /// Takes out a request that is started.
    pub(crate) fn start(&mut self, now_ms: MonoMs, order: PlaceOrder) -> Option<Place> {
        let place = self.remove(now_ms, order)?;
        self.drain.count_start();
        Some(place)
    }

    /// Takes in that a start did not happen after all.
    pub(crate) fn take_back_start(&mut self) {
        self.drain.take_back_start();
    }

    /// Returns the request with the earliest deadline that is still worth starting.
    pub(crate) fn head(&self, now_ms: MonoMs) -> Option<&Waiting> {
        self.places
            .values()
            .find(|place| place.latest_start_ms >= now_ms)
            .map(|place| &place.waiting)
    }

    /// Returns how long `count` requests take to start at the observed rate; `None` if the rate is
    /// not known yet, infinity if nothing was started.
    pub(crate) fn wait_ms(&self, count: usize) -> Option<f64> {
        match (count, self.drain.per_ms()?) {
            (0, _) => Some(0.0),
            (count, per_ms) => Some(count as f64 / per_ms),
        }
    }

    /// Returns the requests that the observed rate will not reach in time, in order: each is
    /// judged by those ahead of it that stay. `slack` stretches the time left, against noise.
    pub(crate) fn unreachable(&mut self, now_ms: MonoMs, slack: f64) -> Vec<RequestKey> {
        self.drain.advance(now_ms, !self.places.is_empty());
        let per_ms = self.drain.per_ms();
        let mut ahead_count = 0usize;
        let mut unreachable = Vec::new();
        for place in self.places.values() {
            let left_ms = place.latest_start_ms.saturating_sub(now_ms) as f64;
            let is_late = place.latest_start_ms < now_ms;
            let is_too_far =
                per_ms.is_some_and(|per_ms| ahead_count as f64 > per_ms * left_ms * slack + 1.0);
            match is_late || is_too_far {
                true => unreachable.push(place.waiting.key),
                false => ahead_count += 1,
            }
        }
        unreachable
    }

    /// Books a time to come back for one caller and returns how long it is from now.
    ///
    /// The returns are paced as in a virtual queue (the generic cell rate algorithm): after the
    /// backlog has drained, one caller at a time at the observed rate. Callers that obey spread
    /// out by themselves; the jitter only breaks ties between entries.
    pub(crate) fn book_return_ms<R: Rng>(
        &mut self,
        now_ms: MonoMs,
        limits: RetryAfterLimits,
        rng: &mut R,
    ) -> u64 {
        let max_ms = limits.max_ms as f64;
        let interval_ms = match self.drain.per_ms() {
            Some(per_ms) if per_ms > 0.0 => (1.0 / per_ms).min(max_ms),
            Some(_) => max_ms,
            None => UNKNOWN_INTERVAL_MS,
        };
        let backlog_ms = interval_ms * self.places.len() as f64;
        let earliest_ms = now_ms as f64 + backlog_ms.max(limits.min_ms as f64);
        let booked_ms = self.return_clock_ms.max(earliest_ms);
        let latest_ms = now_ms as f64 + max_ms;
        self.return_clock_ms = (booked_ms + interval_ms).min(latest_ms);
        let wait_ms = match booked_ms {
            booked_ms if booked_ms >= latest_ms => rng.random_range(max_ms / 2.0..=max_ms),
            booked_ms => booked_ms - now_ms as f64 + rng.random_range(0.0..=interval_ms),
        };
        wait_ms.min(max_ms) as u64
    }
}
