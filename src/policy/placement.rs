//! Choice of a worker within a pool: the less loaded of two random workers with a free slot
//! (Mitzenmacher, "The power of two choices", 2001).
//!
//! Each entry first tries its preferred workers. They are in its own availability zone, begin at a
//! different worker for each entry, and grow in number with the requests that the entry runs.
//! Entries do not see each other's latest starts, so this makes it rare that two entries take the
//! same slot. The cost of a choice does not grow with the number of workers.

use std::collections::VecDeque;

use indexmap::IndexMap;
use rand::{Rng, RngExt};

use crate::fleet::{MonoMs, Resources};
use crate::policy::hash::KeyMap;
use crate::policy::health::Access;
use crate::policy::keys::{PoolKey, WorkerKey, ZoneKey};
use crate::policy::worker::Worker;

pub use crate::policy::worker::WorkerFacts;

/// Settings of the placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementSettings {
    /// Availability zone of this entry.
    pub zone: ZoneKey,
    /// Connections that this entry may have open to one worker at once.
    pub connections_max_count: u32,
    /// Rank of this entry among the entries, from 0. It should be unique.
    pub entry_rank: u32,
    /// Number of entries.
    pub entries_count: u32,
    /// Random pairs of workers that are tried to find one with capacity for the request.
    pub tries_max_count: u32,
}

impl PlacementSettings {
    /// Returns the default settings for an entry in `zone`.
    pub fn in_zone(zone: ZoneKey) -> Self {
        Self {
            zone,
            connections_max_count: 64,
            entry_rank: 0,
            entries_count: 1,
            tries_max_count: 8,
        }
    }
}

/// Time for which a worker counts as full after it refused a request as busy.
const BUSY_HOLD_MS: u64 = 10;

/// Time after which half of the requests that a worker was reported to run for other entries are
/// assumed to have ended.
const REPORT_HALF_LIFE_MS: u64 = 250;

/// The workers of one pool.
#[derive(Clone, Debug, Default)]
struct PoolWorkers {
    /// All workers, in the order in which this entry prefers them.
    preferred: Vec<WorkerKey>,
    is_preferred_stale: bool,
    /// Workers with a free slot, in no particular order.
    free: Vec<WorkerKey>,
    own_count: u32,
    slots_count: u32,
}

/// Slots of preferred workers for each request that the entry runs in the pool.
const PREFERRED_SLOTS_PER_REQUEST: u32 = 2;

/// Smallest number of preferred workers.
const PREFERRED_MIN_COUNT: usize = 2;

/// Largest range of workers in which all are compared instead of random pairs.
const COMPARE_ALL_MAX_COUNT: usize = 8;

/// The workers of all pools, with their load as far as this entry knows.
///
/// The engine calls [`Placement::choose`] for a request, [`Placement::started`] when it sends the
/// request, [`Placement::ended`] with the same size when the attempt has ended,
/// [`Placement::refused_busy`] when the worker had no free slot, [`Placement::report`] for each
/// report of the total requests that a worker runs, and [`Placement::tick`] every few tens of
/// milliseconds.
#[derive(Clone, Debug)]
pub struct Placement {
    settings: PlacementSettings,
    workers: KeyMap<WorkerKey, Worker>,
    pools: IndexMap<PoolKey, PoolWorkers>,
    /// Reports of workers in use by other entries, oldest first.
    reports: VecDeque<(MonoMs, WorkerKey)>,
}

impl Placement {
    /// Creates a placement without workers.
    pub fn new(settings: PlacementSettings) -> Self {
        Self {
            settings,
            workers: KeyMap::default(),
            pools: IndexMap::new(),
            reports: VecDeque::new(),
        }
    }

    /// Adds a worker or updates its facts. Requests that it runs stay counted.
    pub fn set_worker(&mut self, key: WorkerKey, facts: WorkerFacts) {
        let old = self.detach(key);
        let worker = Worker {
            facts,
            free_index: None,
            ..old.unwrap_or_else(|| Worker::idle(facts))
        };
        let pool = self.pools.entry(facts.pool).or_default();
        pool.preferred.push(key);
        pool.is_preferred_stale = true;
        pool.own_count += worker.own_count;
        pool.slots_count += facts.slots_count;
        self.workers.insert(key, worker);
        self.change(key, |_| {});
    }

    /// Sets whether a worker may receive new work.
    pub fn set_usable(&mut self, key: WorkerKey, is_usable: bool) {
        self.change(key, |worker| worker.facts.is_usable = is_usable);
    }

    /// Sets the access of a worker, as decided by the health tracking.
    pub fn set_access(&mut self, key: WorkerKey, access: Access) {
        self.change(key, |worker| worker.access = access);
    }

    /// Removes a worker that has left.
    pub fn remove_worker(&mut self, key: WorkerKey) {
        self.detach(key);
    }

    fn detach(&mut self, key: WorkerKey) -> Option<Worker> {
        self.change(key, |worker| worker.facts.is_usable = false);
        let worker = self.workers.remove(&key)?;
        let pool = self.pools.entry(worker.facts.pool).or_default();
        pool.preferred.retain(|known| *known != key);
        pool.own_count -= worker.own_count;
        pool.slots_count -= worker.facts.slots_count;
        Some(worker)
    }

    /// Counts an attempt sent to a worker.
    pub fn started(&mut self, key: WorkerKey, size: &Resources) {
        self.change(key, |worker| {
            worker.own_count += 1;
            worker.own_used = worker.own_used.plus(size);
        });
    }

    /// Counts the end of an attempt, whatever its outcome.
    pub fn ended(&mut self, key: WorkerKey, size: &Resources) {
        self.change(key, |worker| {
            worker.own_count = worker.own_count.saturating_sub(1);
            worker.own_used = worker.own_used.minus(size);
        });
    }

    /// Records that a worker refused a request because it had no free slot. The worker counts as
    /// full until [`Placement::tick`] has reduced the reported load.
    pub fn refused_busy(&mut self, now_ms: MonoMs, key: WorkerKey) {
        self.change(key, |worker| worker.busy_until_ms = now_ms + BUSY_HOLD_MS);
        if let Some(worker) = self.workers.get(&key) {
            let slots_count = worker.facts.slots_count;
            self.report(now_ms, key, slots_count);
        }
    }

    /// Records how many requests a worker runs in total, as reported by itself or by a peer.
    pub fn report(&mut self, now_ms: MonoMs, key: WorkerKey, running_count: u32) {
        let mut is_used_by_others = false;
        self.change(key, |worker| {
            worker.others_count = running_count.saturating_sub(worker.own_count);
            worker.reported_ms = now_ms;
            is_used_by_others = worker.others_count > 0;
        });
        if is_used_by_others {
            self.reports.push_back((now_ms, key));
        }
    }

    /// Halves the load of old reports, so that a worker once reported full is tried again. Call it
    /// every few tens of milliseconds.
    pub fn tick(&mut self, now_ms: MonoMs) {
        while let Some((at_ms, key)) = self.reports.front().copied() {
            if now_ms.saturating_sub(at_ms) < REPORT_HALF_LIFE_MS {
                break;
            }
            self.reports.pop_front();
            let others_count = match self.workers.get(&key) {
                Some(worker) if worker.reported_ms == at_ms => worker.others_count / 2,
                _ => continue,
            };
            let own_count = self.own_running_count(key);
            self.report(now_ms, key, own_count + others_count);
        }
    }

    /// Returns how many workers of `pool` have a free slot, as far as this entry knows.
    pub fn free_workers_count(&self, pool: PoolKey) -> usize {
        self.pools
            .get(&pool)
            .map_or(0, |workers| workers.free.len())
    }

    /// Returns whether a worker has a free slot, as far as this entry knows.
    pub fn is_free(&self, key: WorkerKey) -> bool {
        self.workers
            .get(&key)
            .is_some_and(|worker| worker.free_index.is_some())
    }

    /// Returns how many requests of this entry run on a worker.
    pub fn own_running_count(&self, key: WorkerKey) -> u32 {
        self.workers.get(&key).map_or(0, |worker| worker.own_count)
    }

    /// Sets the rank of this entry among the entries, for example that of its seat.
    pub fn set_rank(&mut self, entry_rank: u32, entries_count: u32) {
        self.settings.entry_rank = entry_rank;
        self.settings.entries_count = entries_count.max(1);
        for workers in self.pools.values_mut() {
            workers.is_preferred_stale = true;
        }
    }

    /// Chooses a worker of `pool` with capacity for a request of `size`. Returns `None` if none of
    /// the workers tried had capacity; the request then keeps waiting. The worker `failed_on`, on
    /// which the request has failed, is chosen only if no other was found.
    pub fn choose<R: Rng>(
        &mut self,
        now_ms: MonoMs,
        pool: PoolKey,
        size: &Resources,
        failed_on: Option<WorkerKey>,
        rng: &mut R,
    ) -> Option<WorkerKey> {
        self.refresh_preferred(pool);
        let workers = self.pools.get(&pool)?;
        let (mut start, mut end) = (0, workers.preferred_count());
        // Tries ranges of the preferred order that double in size, then any worker with a free
        // slot.
        while start < end {
            let range = &workers.preferred[start..end];
            let chosen = self.choose_from(now_ms, range, size, failed_on, rng);
            if chosen.is_some() && chosen != failed_on {
                return chosen;
            }
            (start, end) = (end, (end * 2).min(workers.preferred.len()));
        }
        self.choose_from(now_ms, &workers.free, size, failed_on, rng)
    }

    /// Returns the least loaded worker with capacity: of the whole range if it is short, else of
    /// random pairs that are drawn until one of the two has capacity.
    fn choose_from<R: Rng>(
        &self,
        now_ms: MonoMs,
        range: &[WorkerKey],
        size: &Resources,
        failed_on: Option<WorkerKey>,
        rng: &mut R,
    ) -> Option<WorkerKey> {
        match range.len() {
            0 => None,
            len if len <= COMPARE_ALL_MAX_COUNT => {
                self.least_loaded(now_ms, range, size, failed_on)
            }
            len => (0..self.settings.tries_max_count).find_map(|_| {
                let pair = [(); 2].map(|()| range[rng.random_range(0..len)]);
                self.least_loaded(now_ms, &pair, size, failed_on)
            }),
        }
    }

    fn least_loaded(
        &self,
        now_ms: MonoMs,
        keys: &[WorkerKey],
        size: &Resources,
        failed_on: Option<WorkerKey>,
    ) -> Option<WorkerKey> {
        let load = |key: &WorkerKey| self.workers[key].load();
        keys.iter()
            .filter(|key| {
                let worker = &self.workers[*key];
                worker.free_index.is_some() && worker.has_capacity(now_ms, size)
            })
            .min_by(|left, right| {
                let has_failed = |key: &WorkerKey| failed_on == Some(*key);
                let by_load = load(left).total_cmp(&load(right));
                has_failed(left).cmp(&has_failed(right)).then(by_load)
            })
            .copied()
    }

    /// Sorts the workers of a pool by preference if any was added, moved or removed.
    fn refresh_preferred(&mut self, pool: PoolKey) {
        let Some(workers) = self.pools.get_mut(&pool) else {
            return;
        };
        if !std::mem::take(&mut workers.is_preferred_stale) {
            return;
        }
        let own_zone = self.settings.zone;
        let is_in_other_zone = |key: &WorkerKey| self.workers[key].facts.zone != own_zone;
        workers
            .preferred
            .sort_by_key(|key| (is_in_other_zone(key), *key));
        let own_zone_count = workers
            .preferred
            .partition_point(|key| !is_in_other_zone(key));
        let (in_own_zone, in_other_zones) = workers.preferred.split_at_mut(own_zone_count);
        for part in [in_own_zone, in_other_zones] {
            let offset = part.len() * self.settings.entry_rank as usize
                / self.settings.entries_count as usize;
            part.rotate_left(offset % part.len().max(1));
        }
    }

    fn change(&mut self, key: WorkerKey, change: impl FnOnce(&mut Worker)) {
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        let own_count = worker.own_count;
        change(worker);
        let workers = self.pools.entry(worker.facts.pool).or_default();
        workers.own_count = workers.own_count + worker.own_count - own_count;
        let is_free = worker.has_free_slot(self.settings.connections_max_count);
        match (is_free, worker.free_index) {
            (true, None) => {
                worker.free_index = Some(workers.free.len());
                workers.free.push(key);
            }
            (false, Some(index)) => {
                worker.free_index = None;
                workers.free.swap_remove(index);
                let moved = workers.free.get(index).copied();
                if let Some(moved) = moved.and_then(|key| self.workers.get_mut(&key)) {
                    moved.free_index = Some(index);
                }
            }
            _ => {}
        }
    }
}

impl PoolWorkers {
    /// Returns the length of the first range of preferred workers that is tried.
    fn preferred_count(&self) -> usize {
        let slots_per_worker = (self.slots_count as usize / self.preferred.len().max(1)).max(1);
        let wanted_slots = ((self.own_count + 1) * PREFERRED_SLOTS_PER_REQUEST) as usize;
        wanted_slots
            .div_ceil(slots_per_worker)
            .max(PREFERRED_MIN_COUNT)
            .min(self.preferred.len())
    }
}
