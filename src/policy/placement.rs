//! Choice of a worker within a pool: of two random workers with a free slot the less loaded one
//! (Mitzenmacher, "The power of two choices", 2001), from the entry's own availability zone first.
//! All operations take constant time, whatever the number of workers.

use std::collections::HashMap;

use indexmap::IndexMap;
use rand::{Rng, RngExt};

use crate::fleet::{MonoMs, Resources};
use crate::policy::health::Access;
use crate::policy::keys::{PoolKey, WorkerKey, ZoneKey};

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
    /// stopped. Ejection is separate, see [`Placement::set_access`].
    pub is_usable: bool,
}

/// Settings of the placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementSettings {
    /// Zone of this entry.
    pub zone: ZoneKey,
    /// Connections that this entry may have open to one worker.
    pub connections_max_count: u32,
    /// Load, in thousandths of the slots, from which other zones are as good as the own one.
    pub zone_load_max_permille: u32,
    /// Pairs of workers that are tried for one that has room for the request.
    pub tries_max_count: u32,
}

impl PlacementSettings {
    /// Returns the usual settings for an entry in `zone`.
    pub fn in_zone(zone: ZoneKey) -> Self {
        Self {
            zone,
            connections_max_count: 64,
            zone_load_max_permille: 900,
            tries_max_count: 8,
        }
    }
}

/// How long a worker that said it is busy counts as full when nothing newer is known.
const BUSY_HOLD_MS: u64 = 50;

/// A worker as this entry sees it.
#[derive(Clone, Debug)]
struct Worker {
    facts: WorkerFacts,
    access: Access,
    own_count: u32,
    own_used: Resources,
    others_count: u32,
    busy_until_ms: MonoMs,
    /// Position in the free list of its pool and zone, if it has a free slot.
    free_index: Option<usize>,
}

impl Worker {
    fn running_count(&self) -> u32 {
        self.own_count + self.others_count
    }

    fn has_free_slot(&self, connections_max_count: u32) -> bool {
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
    fn has_room(&self, now_ms: MonoMs, size: &Resources) -> bool {
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

    fn load(&self) -> f64 {
        let slots = f64::from(self.running_count()) / f64::from(self.facts.slots_count.max(1));
        slots.max(self.own_used.dominant_share(&self.facts.capacity))
    }
}

/// The free workers of one pool, by zone.
#[derive(Clone, Debug, Default)]
struct FreeLists {
    by_zone: IndexMap<ZoneKey, Vec<WorkerKey>>,
    free_count: usize,
}

/// The workers of all pools and how loaded this entry believes them to be.
///
/// The engine calls [`Placement::choose`] for a request, [`Placement::started`] when it sends it,
/// [`Placement::ended`] with the same size when the attempt has ended, [`Placement::refused_busy`]
/// when the worker had no slot after all, and [`Placement::report`] for each report of what the
/// worker runs in total.
#[derive(Clone, Debug)]
pub struct Placement {
    settings: PlacementSettings,
    workers: HashMap<WorkerKey, Worker>,
    pools: IndexMap<PoolKey, FreeLists>,
}

impl Placement {
    /// Makes a placement without workers.
    pub fn new(settings: PlacementSettings) -> Self {
        Self {
            settings,
            workers: HashMap::new(),
            pools: IndexMap::new(),
        }
    }

    /// Adds a worker or changes what is known of it; its running requests stay counted.
    pub fn set_worker(&mut self, key: WorkerKey, facts: WorkerFacts) {
        self.unlist(key);
        self.workers
            .entry(key)
            .and_modify(|worker| worker.facts = facts)
            .or_insert_with(|| Worker {
                facts,
                access: Access::Open,
                own_count: 0,
                own_used: Resources::default(),
                others_count: 0,
                busy_until_ms: 0,
                free_index: None,
            });
        self.relist(key);
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
        self.unlist(key);
        self.workers.remove(&key);
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

    /// Takes in that a worker refused for want of a slot: it is left alone for a moment.
    pub fn refused_busy(&mut self, now_ms: MonoMs, key: WorkerKey) {
        self.change(key, |worker| worker.busy_until_ms = now_ms + BUSY_HOLD_MS);
    }

    /// Takes in how many requests a worker runs in total, by its own or a peer's report.
    pub fn report(&mut self, key: WorkerKey, running_count: u32) {
        self.change(key, |worker| {
            worker.others_count = running_count.saturating_sub(worker.own_count);
        });
    }

    /// Returns how many workers of `pool` have a free slot, as far as this entry knows.
    pub fn free_workers_count(&self, pool: PoolKey) -> usize {
        self.pools.get(&pool).map_or(0, |lists| lists.free_count)
    }

    /// Returns how many requests of this entry run on a worker.
    pub fn own_running_count(&self, key: WorkerKey) -> u32 {
        self.workers.get(&key).map_or(0, |worker| worker.own_count)
    }

    /// Chooses a worker of `pool` with room for a request of `size`. `None` says that none of
    /// those tried had room; the request stays where it is.
    pub fn choose<R: Rng>(
        &self,
        now_ms: MonoMs,
        pool: PoolKey,
        size: &Resources,
        rng: &mut R,
    ) -> Option<WorkerKey> {
        let lists = self.pools.get(&pool)?;
        let near = lists.by_zone.get(&self.settings.zone);
        let load_max = f64::from(self.settings.zone_load_max_permille) / 1_000.0;
        let near = near
            .and_then(|list| self.choose_of(now_ms, list, size, rng))
            .filter(|key| self.workers[key].load() < load_max);
        near.or_else(|| self.choose_anywhere(now_ms, lists, size, rng))
    }

    fn choose_anywhere<R: Rng>(
        &self,
        now_ms: MonoMs,
        lists: &FreeLists,
        size: &Resources,
        rng: &mut R,
    ) -> Option<WorkerKey> {
        let pick = |rng: &mut R| lists.pick(rng);
        self.choose_with(now_ms, lists.free_count, size, rng, pick)
    }

    fn choose_of<R: Rng>(
        &self,
        now_ms: MonoMs,
        list: &[WorkerKey],
        size: &Resources,
        rng: &mut R,
    ) -> Option<WorkerKey> {
        let pick = |rng: &mut R| list[rng.random_range(0..list.len())];
        self.choose_with(now_ms, list.len(), size, rng, pick)
    }

    /// Draws pairs until one of a pair has room; the less loaded of the two is taken.
    fn choose_with<R: Rng>(
        &self,
        now_ms: MonoMs,
        choices_count: usize,
        size: &Resources,
        rng: &mut R,
        pick: impl Fn(&mut R) -> WorkerKey,
    ) -> Option<WorkerKey> {
        if choices_count == 0 {
            return None;
        }
        (0..self.settings.tries_max_count).find_map(|_| {
            [pick(rng), pick(rng)]
                .into_iter()
                .filter(|key| self.workers[key].has_room(now_ms, size))
                .min_by(|left, right| {
                    let load = |key: &WorkerKey| self.workers[key].load();
                    load(left).total_cmp(&load(right))
                })
        })
    }

    fn change(&mut self, key: WorkerKey, change: impl FnOnce(&mut Worker)) {
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        change(worker);
        let is_free = worker.has_free_slot(self.settings.connections_max_count);
        match (is_free, worker.free_index) {
            (true, None) => self.relist(key),
            (false, Some(_)) => self.unlist(key),
            _ => {}
        }
    }

    fn relist(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        if !worker.has_free_slot(self.settings.connections_max_count) {
            return;
        }
        let lists = self.pools.entry(worker.facts.pool).or_default();
        let list = lists.by_zone.entry(worker.facts.zone).or_default();
        worker.free_index = Some(list.len());
        list.push(key);
        lists.free_count += 1;
    }

    fn unlist(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(&key) else {
            return;
        };
        let (Some(index), facts) = (worker.free_index.take(), worker.facts) else {
            return;
        };
        let lists = self.pools.entry(facts.pool).or_default();
        lists.free_count -= 1;
        let list = lists.by_zone.entry(facts.zone).or_default();
        list.swap_remove(index);
        if let Some(moved) = list.get(index).and_then(|key| self.workers.get_mut(key)) {
            moved.free_index = Some(index);
        }
    }
}

impl FreeLists {
    /// Draws one of all free workers; there must be one.
    fn pick<R: Rng>(&self, rng: &mut R) -> WorkerKey {
        let mut index = rng.random_range(0..self.free_count);
        for list in self.by_zone.values() {
            match list.get(index) {
                Some(key) => return *key,
                None => index -= list.len(),
            }
        }
        unreachable!("free_count is the sum of the lists' lengths")
    }
}
