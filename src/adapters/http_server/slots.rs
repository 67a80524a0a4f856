//! A count of things in use under a bound, given back when their guard is dropped.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// A bound and what is taken of it.
pub(crate) struct Slots {
    max_count: u64,
    taken_count: AtomicU64,
}

/// A part of a bound that its holder has taken.
pub(crate) struct SlotGuard {
    slots: Arc<Slots>,
    count: u64,
}

impl Slots {
    /// Returns a bound of which nothing is taken.
    pub(crate) fn new(max_count: u64) -> Arc<Self> {
        Arc::new(Self {
            max_count,
            taken_count: AtomicU64::new(0),
        })
    }

    /// Returns what is taken.
    pub(crate) fn taken(&self) -> u64 {
        self.taken_count.load(Ordering::Acquire)
    }

    /// Takes `count`, or nothing if the bound does not allow it.
    pub(crate) fn take(self: &Arc<Self>, count: u64) -> Option<SlotGuard> {
        self.add(count).then(|| SlotGuard {
            slots: Arc::clone(self),
            count,
        })
    }

    fn add(&self, count: u64) -> bool {
        let added = |taken: u64| {
            taken
                .checked_add(count)
                .filter(|sum| *sum <= self.max_count)
        };
        self.taken_count
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, added)
            .is_ok()
    }
}

impl SlotGuard {
    /// Takes `count` more; returns whether the bound allowed it.
    pub(crate) fn grow(&mut self, count: u64) -> bool {
        let is_added = self.slots.add(count);
        if is_added {
            self.count += count;
        }
        is_added
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.slots
            .taken_count
            .fetch_sub(self.count, Ordering::AcqRel);
    }
}
