//! Lanes: the waiting requests of one team in one queue, ordered by deadline.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::fleet::{MonoMs, Resources};
use crate::policy::keys::{PoolKey, QueueKey, RequestKey, WorkerKey};
use crate::policy::usage::TeamOrOpen;

/// A request that waits for its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// Key within this entry.
    pub key: RequestKey,
    /// Team, or `None` for work from queues open to all.
    pub team: TeamOrOpen,
    /// Queue named by the request.
    pub queue: QueueKey,
    /// Pools that may run it, preferred pool first.
    pub pools: Arc<[PoolKey]>,
    /// Size with which it is counted: the observed one if known, else the declared one.
    pub size: Resources,
    /// Time at which the entry accepted the request.
    pub enqueued_ms: MonoMs,
    /// Deadline by which the request must have ended.
    pub deadline_ms: MonoMs,
    /// Whether work of the queue must start within the plan's start target.
    pub is_urgent: bool,
    /// Declared run time. It is reported but plays no part in decisions.
    pub declared_run_ms: u64,
    /// Worker on which its last attempt failed; a retry prefers any other.
    pub failed_on: Option<WorkerKey>,
}

/// A waiting request with the latest time at which it is worth starting.
#[derive(Clone, Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) waiting: WaitingRequest,
    pub(crate) latest_start_ms: MonoMs,
}

/// Order of the requests within a lane: earliest deadline first.
pub(crate) type LaneOrder = (MonoMs, RequestKey);

/// The waiting requests of one team in one queue.
#[derive(Clone, Debug)]
pub(crate) struct Lane {
    pub(crate) team: TeamOrOpen,
    pub(crate) queue: QueueKey,
    pub(crate) pools: Arc<[PoolKey]>,
    pub(crate) is_urgent: bool,
    requests: BTreeMap<LaneOrder, QueuedRequest>,
}

impl Lane {
    pub(crate) fn new(waiting: &WaitingRequest) -> Self {
        Self {
            team: waiting.team,
            queue: waiting.queue,
            pools: Arc::clone(&waiting.pools),
            is_urgent: waiting.is_urgent,
            requests: BTreeMap::new(),
        }
    }

    /// Returns whether a request of this lane's team and queue belongs in this lane, which it does
    /// unless the lists have changed the queue's pools or urgency.
    pub(crate) fn is_for(&self, waiting: &WaitingRequest) -> bool {
        self.is_urgent == waiting.is_urgent && self.pools == waiting.pools
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    pub(crate) fn insert(&mut self, request: QueuedRequest) {
        let order = (request.waiting.deadline_ms, request.waiting.key);
        self.requests.insert(order, request);
    }

    pub(crate) fn remove(&mut self, order: LaneOrder) -> Option<QueuedRequest> {
        self.requests.remove(&order)
    }

    /// Returns the request with the earliest deadline among those still worth starting.
    pub(crate) fn head(&self, now_ms: MonoMs) -> Option<&WaitingRequest> {
        self.requests
            .values()
            .find(|request| request.latest_start_ms >= now_ms)
            .map(|request| &request.waiting)
    }

    /// Returns the requests that cannot start in time at a rate of `starts_per_ms`, in starts per
    /// millisecond, in deadline order. Only requests that are not returned themselves count as
    /// ahead of a request. `slack` multiplies the time left.
    pub(crate) fn unservable(
        &self,
        now_ms: MonoMs,
        starts_per_ms: Option<f64>,
        slack: f64,
    ) -> Vec<RequestKey> {
        let mut ahead_count = 0usize;
        let mut unservable = Vec::new();
        for request in self.requests.values() {
            let left_ms = request.latest_start_ms.saturating_sub(now_ms) as f64;
            let is_late = request.latest_start_ms < now_ms;
            let is_behind_too_many =
                starts_per_ms.is_some_and(|rate| ahead_count as f64 > rate * left_ms * slack + 1.0);
            match is_late || is_behind_too_many {
                true => unservable.push(request.waiting.key),
                false => ahead_count += 1,
            }
        }
        unservable
    }
}
