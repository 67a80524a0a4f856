//! State of one worker: its properties from the lists, and its load as far as this entry knows.

use crate::fleet::{MonoMs, Resources};
use crate::policy::health::Access;
use crate::policy::keys::{PoolKey, ZoneKey};

/// Properties of a worker from the instance list and the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerFacts {
    /// Pool that the worker belongs to.
    pub pool: PoolKey,
    /// Availability zone.
    pub zone: ZoneKey,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Requests that it can run at once.
    pub slots_count: u32,
    /// Whether the ledger and the instance list allow new work on it, that is, it is not draining,
    /// leaving or stopped. Ejection is separate, see `Placement::set_access`.
    pub is_usable: bool,
}

/// State of a worker as far as this entry knows it.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) facts: WorkerFacts,
    pub(crate) access: Access,
    pub(crate) own_count: u32,
    pub(crate) own_used: Resources,
    pub(crate) others_count: u32,
    pub(crate) reported_ms: MonoMs,
    pub(crate) busy_until_ms: MonoMs,
    /// Position in the free list of its pool, if it has a free slot.
    pub(crate) free_index: Option<usize>,
}

impl Worker {
    pub(crate) fn idle(facts: WorkerFacts) -> Self {
        Self {
            facts,
            access: Access::Open,
            own_count: 0,
            own_used: Resources::default(),
            others_count: 0,
            reported_ms: 0,
            busy_until_ms: 0,
            free_index: None,
        }
    }

    fn running_count(&self) -> u32 {
        self.own_count + self.others_count
    }

    pub(crate) fn has_free_slot(&self, connections_max_count: u32) -> bool {
        let own_max_count = match self.access {
            Access::Open => connections_max_count,
            Access::Probation => connections_max_count.min(1),
            Access::Ejected => 0,
        };
        self.facts.is_usable
            && self.running_count() < self.facts.slots_count
            && self.own_count < own_max_count
    }

    /// Returns whether the worker has capacity for a request of `size`. Accelerators are reserved.
    /// Processors and memory only limit a single request, because declared sizes are hints and the
    /// slots limit the sum.
    pub(crate) fn has_capacity(&self, now_ms: MonoMs, size: &Resources) -> bool {
        let used_count = self.own_used.accelerators_count;
        let free_count = self
            .facts
            .capacity
            .accelerators_count
            .saturating_sub(used_count);
        self.busy_until_ms <= now_ms
            && size.fits_in(&self.facts.capacity)
            && size.accelerators_count <= free_count
    }

    pub(crate) fn load(&self) -> f64 {
        let slots = f64::from(self.running_count()) / f64::from(self.facts.slots_count.max(1));
        slots.max(self.own_used.dominant_share(&self.facts.capacity))
    }
}
