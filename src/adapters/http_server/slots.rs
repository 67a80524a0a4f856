//! A counter with an upper limit, whose slots are released when their guard is dropped.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// A limited number of slots, and how many of them are taken.
pub(crate) struct Slots {
    max_count: u64,
    taken_count: AtomicU64,
}

/// Slots that are taken until this guard is dropped.
pub(crate) struct SlotGuard {
    slots: Arc<Slots>,
    count: u64,
}

impl Slots {
    /// Returns `max_count` free slots.
    pub(crate) fn new(max_count: u64) -> Arc<Self> {
        Arc::new(Self {
            max_count,
            taken_count: AtomicU64::new(0),
        })
    }

    /// Returns the number of taken slots.
    pub(crate) fn taken(&self) -> u64 {
        self.taken_count.load(Ordering::Acquire)
    }

    /// Takes `count` slots; returns `None` and takes none if fewer are free.
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
    /// Takes `count` more slots; returns `false` and takes none if fewer are free.
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
