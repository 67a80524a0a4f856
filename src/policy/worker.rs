//! What is known of one worker: what the lists say of it, and how loaded this entry believes it.

use crate::fleet::{MonoMs, Resources};
use crate::policy::health::Access;
use crate::policy::keys::{PoolKey, ZoneKey};

/// What the instance list and the ledger say of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerFacts {
    /// Pool that the worker belongs to.
    pub pool: PoolKey,
    /// Availability zone.
    pub zone: ZoneKey,
    /// What it offers in total.
    pub capacity: Resources,
    /// Requests that it runs at once at most.
    pub slots_count: u32,
    /// Whether the ledger and the instance list let it take new work: not draining, leaving or
    /// stopped. Ejection is separate, see `Placement::set_access`.
    pub is_usable: bool,
}

/// A worker as this entry sees it.
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

    /// Accelerators are reserved; processors and memory only bound a single request, as declared
    /// sizes are hints and the slots bound the sum.
    pub(crate) fn has_room(&self, now_ms: MonoMs, size: &Resources) -> bool {
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
