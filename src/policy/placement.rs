//! Choice of a worker within a pool: of two random workers with a free slot the less loaded one
//! (Mitzenmacher, "The power of two choices", 2001), from the entry's own part of the workers
//! first. That part is in its own availability zone, starts elsewhere for each entry and is as
//! large as what the entry runs, so that entries seldom compete for a slot that neither sees. The
//! cost of a choice does not grow with the number of workers.

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
    /// Zone of this entry.
    pub zone: ZoneKey,
    /// Connections that this entry may have open to one worker.
    pub connections_max_count: u32,
    /// Place of this entry among the entries, from 0; no two should have the same.
    pub entry_rank: u32,
    /// Number of entries.
    pub entries_count: u32,
    /// Pairs of workers that are tried for one that has room for the request.
    pub tries_max_count: u32,
}

impl PlacementSettings {
    /// Returns the usual settings for an entry in `zone`.
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

/// How long a worker that said it is busy counts as full when nothing newer is known.
const BUSY_HOLD_MS: u64 = 10;

/// Time after which half of what a worker was reported to run for others is taken to have ended.
const REPORT_HALF_LIFE_MS: u64 = 250;

/// The workers of one pool.
#[derive(Clone, Debug, Default)]
struct PoolWorkers {
    /// All, in the order in which this entry prefers them.
    preferred: Vec<WorkerKey>,
    is_preferred_stale: bool,
    /// Those with a free slot, in no order.
    free: Vec<WorkerKey>,
    own_count: u32,
    slots_count: u32,
}

/// Slots of preferred workers for each request that the entry runs in the pool.
const PREFERRED_SLOTS_PER_REQUEST: u32 = 2;

/// Preferred workers that are looked at in any case.
const PREFERRED_MIN_COUNT: usize = 2;

/// Workers up to which all of a range are compared instead of random pairs.
const COMPARE_ALL_MAX_COUNT: usize = 8;

/// The workers of all pools and how loaded this entry believes them to be.
///
/// The engine calls [`Placement::choose`] for a request, [`Placement::started`] when it sends it,
/// [`Placement::ended`] with the same size when the attempt has ended, [`Placement::refused_busy`]
/// when the worker had no slot after all, [`Placement::report`] for each report of what the worker
/// runs in total, and [`Placement::tick`] every few tens of milliseconds.
#[derive(Clone, Debug)]
pub struct Placement {
    settings: PlacementSettings,
    workers: KeyMap<WorkerKey, Worker>,
    pools: IndexMap<PoolKey, PoolWorkers>,
    /// Workers that others were reported to use, the oldest report first.
    reports: VecDeque<(MonoMs, WorkerKey)>,
}

impl Placement {
    /// Makes a placement without workers.
    pub fn new(settings: PlacementSettings) -> Self {
        Self {
            settings,
            workers: KeyMap::default(),
            pools: IndexMap::new(),
            reports: VecDeque::new(),
        }
    }

    /// Adds a worker or changes what is known of it; its running requests stay counted.
    pub fn set_worker(&mut self, key: WorkerKey, facts: WorkerFacts) {
        let old = self.take_out(key);
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

    /// Says whether a worker may be given new work.
    pub fn set_usable(&mut self, key: WorkerKey, is_usable: bool) {
        self.change(key, |worker| worker.facts.is_usable = is_usable);
    }

    /// Sets what the health tracking lets a worker be given.
    pub fn set_access(&mut self, key: WorkerKey, access: Access) {
        self.change(key, |worker| worker.access = access);
    }

    /// Forgets a worker that has left.
    pub fn remove_worker(&mut self, key: WorkerKey) {
        self.take_out(key);
    }

    fn take_out(&mut self, key: WorkerKey) -> Option<Worker> {
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

    /// Takes in that a worker refused for want of a slot: it counts as full, until that fades.
    pub fn refused_busy(&mut self, now_ms: MonoMs, key: WorkerKey) {
        self.change(key, |worker| worker.busy_until_ms = now_ms + BUSY_HOLD_MS);
        if let Some(worker) = self.workers.get(&key) {
            let slots_count = worker.facts.slots_count;
            self.report(now_ms, key, slots_count);
        }
    }

    /// Takes in how many requests a worker runs in total, by its own or a peer's report.
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

    /// Lets old reports fade, so that a worker once reported full is tried again. To be called
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

    /// Sets the place of this entry among the entries, for example the rank of its seat.
    pub fn set_rank(&mut self, entry_rank: u32, entries_count: u32) {
        self.settings.entry_rank = entry_rank;
        self.settings.entries_count = entries_count.max(1);
        for workers in self.pools.values_mut() {
            workers.is_preferred_stale = true;
        }
    }

    /// Chooses a worker of `pool` with room for a request of `size`. `None` says that none of
    /// those tried had room; the request stays where it is.
    pub fn choose<R: Rng>(
        &mut self,
        now_ms: MonoMs,
        pool: PoolKey,
        size: &Resources,
        rng: &mut R,
    ) -> Option<WorkerKey> {
        self.refresh_preferred(pool);
        let workers = self.pools.get(&pool)?;
        let (mut start, mut end) = (0, workers.preferred_count());
        // Ever larger ranges of the preferred order, then anything that is free.
        while start < end {
            let range = &workers.preferred[start..end];
            let chosen = self.choose_of(now_ms, range, size, rng);
            if chosen.is_some() {
                return chosen;
            }
            (start, end) = (end, (end * 2).min(workers.preferred.len()));
        }
        self.choose_of(now_ms, &workers.free, size, rng)
    }

    /// Takes the less loaded of a few workers with room: of all if they are few, else of pairs
    /// that are drawn until one of them has room.
    fn choose_of<R: Rng>(
        &self,
        now_ms: MonoMs,
        range: &[WorkerKey],
        size: &Resources,
        rng: &mut R,
    ) -> Option<WorkerKey> {
        match range.len() {
            0 => None,
            len if len <= COMPARE_ALL_MAX_COUNT => self.least_loaded(now_ms, range, size),
            len => (0..self.settings.tries_max_count).find_map(|_| {
                let pair = [(); 2].map(|()| range[rng.random_range(0..len)]);
                self.least_loaded(now_ms, &pair, size)
            }),
        }
    }

    fn least_loaded(
        &self,
        now_ms: MonoMs,
        keys: &[WorkerKey],
        size: &Resources,
    ) -> Option<WorkerKey> {
        let load = |key: &WorkerKey| self.workers[key].load();
        keys.iter()
            .filter(|key| {
                let worker = &self.workers[*key];
                worker.free_index.is_some() && worker.has_room(now_ms, size)
            })
            .min_by(|left, right| load(left).total_cmp(&load(right)))
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
        let is_far = |key: &WorkerKey| self.workers[key].facts.zone != own_zone;
        workers.preferred.sort_by_key(|key| (is_far(key), *key));
        let near_count = workers.preferred.partition_point(|key| !is_far(key));
        let (near, far) = workers.preferred.split_at_mut(near_count);
        for zone in [near, far] {
            let offset = zone.len() * self.settings.entry_rank as usize
                / self.settings.entries_count as usize;
            zone.rotate_left(offset % zone.len().max(1));
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
    /// Returns how many of the preferred workers are looked at first.
    fn preferred_count(&self) -> usize {
        let slots_per_worker = (self.slots_count as usize / self.preferred.len().max(1)).max(1);
        let wanted_slots = ((self.own_count + 1) * PREFERRED_SLOTS_PER_REQUEST) as usize;
        wanted_slots
            .div_ceil(slots_per_worker)
            .max(PREFERRED_MIN_COUNT)
            .min(self.preferred.len())
    }
}
