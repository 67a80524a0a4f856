//! The workers that accept tasks, by pool, in the order in which a placement prefers them. The
//! engine updates the entry of a worker whenever the worker changes, in O(log n), so that a
//! placement visits only workers with enough free processor time, and none in a full pool.

use std::collections::BTreeSet;

use smol_str::SmolStr;

use crate::collections::HashMap;
use crate::jobs::engine::index;
use crate::jobs::keys::WorkerKey;
use crate::jobs::spec::Size;

/// Position of a worker among those of its pool. Smaller positions are preferred: workers that are
/// not slow, then those with long-running tasks, then those with the least free processor time. The
/// last two leave whole instances free to be moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Position {
    pub(crate) is_slow: bool,
    pub(crate) is_without_long_running: bool,
    pub(crate) free_cpu_millis: u64,
    pub(crate) worker: WorkerKey,
}

/// Groups of positions that differ in more than the free processor time, in their order.
const GROUPS: [(bool, bool); 4] = [(false, false), (false, true), (true, false), (true, true)];

/// What is counted of one worker.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct WorkerEntry {
    pub(crate) pool: SmolStr,
    pub(crate) rack: SmolStr,
    /// Its position, if it accepts tasks.
    pub(crate) position: Option<Position>,
    /// Its capacity, if runs of an earlier leader may be there that this leader has not seen.
    pub(crate) unseen: Option<Size>,
    /// Whether runs may have ended there of whose ends this leader has not learned.
    pub(crate) has_more_ends: bool,
}

/// Workers of one pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolCapacity {
    accepting: BTreeSet<Position>,
    accepting_by_rack: HashMap<SmolStr, BTreeSet<WorkerKey>>,
    unseen_count: usize,
    more_ends_count: usize,
}

/// The workers of all pools.
#[derive(Clone, Debug, Default)]
pub(crate) struct FreeCapacity {
    pools: HashMap<SmolStr, PoolCapacity>,
    /// What is counted of each worker, by its key.
    entries: Vec<Option<WorkerEntry>>,
    unseen: Size,
}

impl FreeCapacity {
    /// Replaces what is counted of a worker; returns whether it began or ceased to accept tasks.
    pub(crate) fn update(&mut self, worker: WorkerKey, entry: WorkerEntry) -> bool {
        let at = index(worker.0);
        if self.entries.len() <= at {
            self.entries.resize(at + 1, None);
        }
        if self.entries[at].as_ref() == Some(&entry) {
            return false;
        }
        let before = self.entries[at].take();
        let accepted = before
            .as_ref()
            .is_some_and(|before| before.position.is_some());
        let accepts = entry.position.is_some();
        if let Some(before) = before {
            self.remove(worker, &before);
        }
        self.add(worker, &entry);
        self.entries[at] = Some(entry);
        accepted != accepts
    }

    fn add(&mut self, worker: WorkerKey, entry: &WorkerEntry) {
        let pool = self.pools.entry(entry.pool.clone()).or_default();
        if let Some(position) = entry.position {
            pool.accepting.insert(position);
            let rack = pool.accepting_by_rack.entry(entry.rack.clone());
            rack.or_default().insert(worker);
        }
        pool.more_ends_count += usize::from(entry.has_more_ends);
        if let Some(capacity) = entry.unseen {
            pool.unseen_count += 1;
            self.unseen.add(&capacity);
        }
    }

    fn remove(&mut self, worker: WorkerKey, entry: &WorkerEntry) {
        let Some(pool) = self.pools.get_mut(&entry.pool) else {
            return;
        };
        if let Some(position) = entry.position {
            pool.accepting.remove(&position);
            if let Some(rack) = pool.accepting_by_rack.get_mut(&entry.rack) {
                rack.remove(&worker);
            }
        }
        pool.more_ends_count -= usize::from(entry.has_more_ends);
        if let Some(capacity) = entry.unseen {
            pool.unseen_count -= 1;
            self.unseen.remove(&capacity);
        }
    }

    /// Returns the workers of a pool, if it has ever had one.
    pub(crate) fn pool(&self, name: &SmolStr) -> Option<&PoolCapacity> {
        self.pools.get(name)
    }

    /// Returns the capacity of all workers with runs that this leader may not have seen.
    pub(crate) fn unseen(&self) -> &Size {
        &self.unseen
    }
}

impl PoolCapacity {
    /// Returns whether runs of an earlier leader may be there that this leader has not seen.
    pub(crate) fn has_unseen_runs(&self) -> bool {
        self.unseen_count > 0
    }

    /// Returns whether runs may have ended there of whose ends this leader has not learned.
    pub(crate) fn has_more_ends(&self) -> bool {
        self.more_ends_count > 0
    }

    /// Returns the number of workers that accept tasks.
    pub(crate) fn accepting_count(&self) -> usize {
        self.accepting.len()
    }

    /// Returns the number of workers where runs of an earlier leader may be that this leader has not
    /// seen.
    pub(crate) fn unseen_count(&self) -> usize {
        self.unseen_count
    }

    /// Returns the most free processor time of a worker that accepts tasks, in thousandths of a
    /// core, or `None` if no worker does.
    pub(crate) fn most_free_cpu_millis(&self) -> Option<u64> {
        let last_of = |(is_slow, is_without_long_running)| {
            let upper = Position {
                is_slow,
                is_without_long_running,
                free_cpu_millis: u64::MAX,
                worker: WorkerKey(u32::MAX),
            };
            let lower = Position {
                free_cpu_millis: 0,
                worker: WorkerKey(0),
                ..upper
            };
            let last = self.accepting.range(lower..=upper).next_back();
            last.map(|position| position.free_cpu_millis)
        };
        GROUPS.into_iter().filter_map(last_of).max()
    }

    /// Returns the workers that accept tasks and have at least `cpu_millis` thousandths of a core
    /// free, the preferred ones first.
    pub(crate) fn with_free_cpu(&self, cpu_millis: u64) -> impl Iterator<Item = WorkerKey> + '_ {
        let of_group = move |(is_slow, is_without_long_running)| {
            let lower = Position {
                is_slow,
                is_without_long_running,
                free_cpu_millis: cpu_millis,
                worker: WorkerKey(0),
            };
            let upper = Position {
                free_cpu_millis: u64::MAX,
                worker: WorkerKey(u32::MAX),
                ..lower
            };
            self.accepting.range(lower..=upper)
        };
        let positions = GROUPS.into_iter().flat_map(of_group);
        positions.map(|position| position.worker)
    }

    /// Returns the workers of a rack that accept tasks.
    pub(crate) fn in_rack(&self, rack: &SmolStr) -> impl Iterator<Item = WorkerKey> + '_ {
        let workers = self.accepting_by_rack.get(rack);
        workers.into_iter().flatten().copied()
    }

    /// Returns all workers that accept tasks, in the order of their keys.
    pub(crate) fn accepting(&self) -> Vec<WorkerKey> {
        let mut workers: Vec<_> = self
            .accepting
            .iter()
            .map(|position| position.worker)
            .collect();
        workers.sort_unstable();
        workers
    }
}
