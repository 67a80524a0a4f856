//! A lane: the waiting requests of one team in one queue, in order of their deadlines.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::fleet::{MonoMs, Resources};
use crate::policy::keys::{PoolKey, QueueKey, RequestKey};
use crate::policy::usage::TeamOrOpen;

/// A request that waits to be started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Key within this entry.
    pub key: RequestKey,
    /// Team, or `None` for work from a queue open to all.
    pub team: TeamOrOpen,
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

/// A waiting request with the last moment at which it is worth starting.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    pub(crate) waiting: WaitingRequest,
    pub(crate) latest_start_ms: MonoMs,
}

/// Order of places within a lane: earliest deadline first.
pub(crate) type PlaceOrder = (MonoMs, RequestKey);

/// The waiting requests of one team in one queue.
#[derive(Clone, Debug)]
pub(crate) struct Lane {
    pub(crate) team: TeamOrOpen,
    pub(crate) queue: QueueKey,
    pub(crate) pools: Arc<[PoolKey]>,
    pub(crate) is_urgent: bool,
    places: BTreeMap<PlaceOrder, Place>,
}

impl Lane {
    pub(crate) fn new(waiting: &WaitingRequest) -> Self {
        Self {
            team: waiting.team,
            queue: waiting.queue,
            pools: Arc::clone(&waiting.pools),
            is_urgent: waiting.is_urgent,
            places: BTreeMap::new(),
        }
    }

    /// Returns whether a request of this lane's team and queue still belongs here.
    pub(crate) fn is_for(&self, waiting: &WaitingRequest) -> bool {
        self.is_urgent == waiting.is_urgent && self.pools == waiting.pools
    }

    pub(crate) fn len(&self) -> usize {
        self.places.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    pub(crate) fn insert(&mut self, place: Place) {
        let order = (place.waiting.deadline_ms, place.waiting.key);
        self.places.insert(order, place);
    }

    pub(crate) fn remove(&mut self, order: PlaceOrder) -> Option<Place> {
        self.places.remove(&order)
    }

    /// Returns the request with the earliest deadline that is still worth starting.
    pub(crate) fn head(&self, now_ms: MonoMs) -> Option<&WaitingRequest> {
        self.places
            .values()
            .find(|place| place.latest_start_ms >= now_ms)
            .map(|place| &place.waiting)
    }

    /// Returns the requests that a drain of `per_ms` starts a millisecond will not reach in time,
    /// in order: each is judged by those ahead of it that stay. `slack` stretches the time left.
    pub(crate) fn unreachable(
        &self,
        now_ms: MonoMs,
        per_ms: Option<f64>,
        slack: f64,
    ) -> Vec<RequestKey> {
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
}
