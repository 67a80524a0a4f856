//! The workers known to one entry. The ledger says to which pool an instance belongs and whether it
//! may get work; the instance list says where it is and whether it is leaving.

use std::collections::HashMap;

use indexmap::{IndexMap, IndexSet};
use smol_str::SmolStr;

use crate::{
    entry::{engine::Engine, event::Action},
    fleet::{InstanceName, InstanceRow, MonoMs, Resources, Standing, ZoneName},
    ledger::InstanceEntry,
    policy::{
        health::Access,
        keys::{PoolKey, WorkerKey, ZoneKey},
        placement::WorkerFacts,
        share::Load,
    },
    ports::InstancePage,
};

/// Time for which a worker that refused work because it drains or has restarted gets no new work,
/// in milliseconds.
const DRAINING_BACKOFF_MS: u64 = 2_000;

/// Age above which the instance list is stale and other seats drive the maintenance, in
/// milliseconds.
const LIST_STALE_MS: u64 = 1_500;

/// One incarnation of a worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) key: WorkerKey,
    pub(crate) incarnation: SmolStr,
    pub(crate) address: SmolStr,
    pub(crate) pool: PoolKey,
    pub(crate) capacity: Resources,
    pub(crate) slots_count: u32,
    /// Time until which the worker gets no new work, since it refused some; 0 if it never did.
    pub(crate) backoff_until_ms: MonoMs,
    pub(crate) probed_ms: MonoMs,
}

/// All workers in the ledger, with the rows of the instance list.
#[derive(Clone, Debug, Default)]
pub(crate) struct Workers {
    by_name: IndexMap<InstanceName, Worker>,
    names: HashMap<WorkerKey, InstanceName>,
    zones: IndexSet<ZoneName>,
    next_key: u32,
    /// Rows of the instance list by name.
    listed: IndexMap<InstanceName, InstanceRow>,
    list_version: u64,
    is_list_known: bool,
    list_read_ms: Option<MonoMs>,
    /// Instances with a claimed stop or move.
    stopping: IndexSet<InstanceName>,
}

impl Workers {
    /// Returns the key of a zone; an unknown zone gets a new key.
    pub(crate) fn zone_key(&mut self, zone: &ZoneName) -> ZoneKey {
        let (index, _) = self.zones.insert_full(zone.clone());
        ZoneKey(index as u16)
    }

    pub(crate) fn name_of(&self, key: WorkerKey) -> Option<&InstanceName> {
        self.names.get(&key)
    }

    pub(crate) fn by_key(&self, key: WorkerKey) -> Option<(&InstanceName, &Worker)> {
        let name = self.names.get(&key)?;
        Some((name, self.by_name.get(name)?))
    }

    pub(crate) fn get_mut(&mut self, name: &str) -> Option<&mut Worker> {
        self.by_name.get_mut(name)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&InstanceName, &Worker)> {
        self.by_name.iter()
    }

    /// Returns whether any instance is being stopped or moved.
    pub(crate) fn has_stop_pending(&self) -> bool {
        !self.stopping.is_empty()
    }

    pub(crate) fn stopping(&self) -> impl Iterator<Item = &InstanceName> {
        self.stopping.iter()
    }

    pub(crate) fn listed(&self, name: &str) -> Option<&InstanceRow> {
        self.listed.get(name)
    }

    pub(crate) fn iter_listed(&self) -> impl Iterator<Item = &InstanceRow> {
        self.listed.values()
    }

    pub(crate) fn list_version(&self) -> u64 {
        self.list_version
    }

    pub(crate) fn is_list_known(&self) -> bool {
        self.is_list_known
    }
}

/// Returns whether a worker may get new work according to the ledger and the instance list.
fn is_usable(entry: &InstanceEntry, listed: Option<&InstanceRow>) -> bool {
    let is_leaving = listed
        .filter(|row| row.incarnation == entry.row.incarnation)
        .is_some_and(|row| row.leaving);
    // The ledger may lag: if a later incarnation is listed, this one is gone.
    let is_replaced = listed.is_some_and(|row| row.incarnation != entry.row.incarnation);
    entry.standing == Standing::Serving && !is_leaving && !entry.row.leaving && !is_replaced
}

impl Engine {
    /// Applies a page of the instance list.
    pub(crate) fn apply_instance_list(&mut self, sent_ms: MonoMs, page: InstancePage) {
        self.workers.list_read_ms = self.workers.list_read_ms.max(Some(sent_ms));
        if self.workers.is_list_known && page.version == self.workers.list_version {
            return;
        }
        self.workers.list_version = page.version;
        self.workers.is_list_known = true;
        let new: IndexMap<InstanceName, InstanceRow> = page
            .rows
            .into_iter()
            .map(|row| (row.name.clone(), row))
            .collect();
        let old = std::mem::replace(&mut self.workers.listed, new);
        let changed: Vec<InstanceName> = self
            .workers
            .listed
            .values()
            .filter(|row| old.get(&row.name) != Some(row))
            .map(|row| row.name.clone())
            .collect();
        let gone = old
            .into_keys()
            .filter(|name| !self.workers.listed.contains_key(name));
        let gone: Vec<InstanceName> = gone.collect();
        for name in changed.iter().chain(&gone) {
            self.sync_worker(name);
        }
    }

    /// Returns whether the instance list has not been read recently.
    pub(crate) fn is_list_stale(&self) -> bool {
        let now_ms = self.now.mono_ms;
        let read_ms = self.workers.list_read_ms;
        read_ms.is_none_or(|read_ms| now_ms > read_ms + LIST_STALE_MS)
    }

    /// Syncs all workers with the ledger and the instance list.
    pub(crate) fn sync_all_workers(&mut self) {
        let names: Vec<InstanceName> = self
            .ledger
            .instances
            .iter()
            .map(|entry| entry.row.name.clone())
            .collect();
        for name in &names {
            self.sync_worker(name);
        }
    }

    /// Syncs one worker with the ledger and the instance list.
    pub(crate) fn sync_worker(&mut self, name: &InstanceName) {
        let Some(entry) = self.ledger.instances.get(name).cloned() else {
            return;
        };
        match entry.stop.is_some() {
            true => self.workers.stopping.insert(name.clone()),
            false => self.workers.stopping.swap_remove(name),
        };
        let Some(pool) = self.ledger.instances.pool_key(&entry.row.pool) else {
            return;
        };
        let old = self.workers.by_name.get(name);
        let old_pool = old.map(|worker| worker.pool);
        let is_same = old.is_some_and(|worker| worker.incarnation == entry.row.incarnation);
        if !is_same {
            self.replace_worker(name, &entry, pool);
        }
        let zone = self.workers.zone_key(&entry.row.zone);
        let Some(worker) = self.workers.by_name.get_mut(name) else {
            return;
        };
        worker.pool = pool;
        let facts = WorkerFacts {
            pool,
            zone,
            capacity: entry.row.capacity,
            slots_count: entry.row.slots_count,
            is_usable: is_usable(&entry, self.workers.listed.get(name))
                && worker.backoff_until_ms <= self.now.mono_ms,
        };
        let key = worker.key;
        self.placement.set_worker(key, facts);
        self.health.set_worker(key, pool);
        self.mark_pool_changed(pool);
        if let Some(old_pool) = old_pool.filter(|old_pool| *old_pool != pool) {
            self.mark_pool_changed(old_pool);
        }
    }

    fn replace_worker(&mut self, name: &InstanceName, entry: &InstanceEntry, pool: PoolKey) {
        if let Some(old) = self.workers.by_name.get(name) {
            let key = old.key;
            self.placement.remove_worker(key);
            self.health.remove_worker(key);
            self.workers.names.remove(&key);
        }
        let key = WorkerKey(self.workers.next_key);
        self.workers.next_key += 1;
        self.workers.names.insert(key, name.clone());
        let worker = Worker {
            key,
            incarnation: entry.row.incarnation.clone(),
            address: entry.row.address.clone(),
            pool,
            capacity: entry.row.capacity,
            slots_count: entry.row.slots_count,
            backoff_until_ms: 0,
            probed_ms: 0,
        };
        self.workers.by_name.insert(name.clone(), worker);
    }

    /// Marks all pools for an update of their capacity.
    pub(crate) fn mark_all_pools_changed(&mut self) {
        let count = self.ledger.instances.pools().count();
        for index in 0..count {
            self.mark_pool_changed(PoolKey(index as u16));
        }
    }

    fn mark_pool_changed(&mut self, pool: PoolKey) {
        self.changed_pools.insert(pool);
    }

    /// Updates the capacity of each pool whose workers changed.
    pub(crate) fn update_pool_capacities(&mut self) {
        if self.changed_pools.is_empty() {
            return;
        }
        let changed = std::mem::take(&mut self.changed_pools);
        let mut sums: HashMap<PoolKey, (Load, Resources)> = changed
            .iter()
            .map(|pool| (*pool, Default::default()))
            .collect();
        for (name, worker) in self.workers.iter() {
            let Some((sum, largest)) = sums.get_mut(&worker.pool) else {
                continue;
            };
            let entry = self.ledger.instances.get(name);
            *largest = largest_of(largest, &worker.capacity);
            if entry.is_some_and(|entry| is_usable(entry, self.workers.listed.get(name))) {
                *sum = sum.plus(&Load {
                    size: worker.capacity,
                    slots_count: u64::from(worker.slots_count),
                });
            }
        }
        for (pool, (sum, largest)) in sums {
            self.usage.set_pool_capacity(pool, sum);
            if largest != Resources::default() {
                self.wait.set_pool_largest(pool, largest);
            }
        }
    }

    /// Handles a refusal by a draining worker, and ends its drain if no stop is planned.
    ///
    /// The seat that ordered the drain may have ended before it could order its end. The order is
    /// sent at the second refusal, because at the first this entry may not have read about a new
    /// stop yet.
    pub(crate) fn handle_draining_refusal(&mut self, name: &InstanceName) {
        let is_planned = self.ledger.instances.get(name).is_none_or(|entry| {
            entry.stop.is_some() || !is_usable(entry, self.workers.listed.get(name))
        });
        // A worker that never had a planned stop drains for reasons of its own.
        let was_stopped = self.ledger.instances.stop_offset(name) > Some(0);
        let worker = self.workers.by_name.get(name);
        let refused_before = worker.filter(|worker| worker.backoff_until_ms > 0);
        if let Some(worker) = refused_before.filter(|_| was_stopped && !is_planned) {
            self.actions.push(Action::DrainWorker {
                address: worker.address.clone(),
                is_draining: false,
            });
        }
        self.back_off_worker(name);
    }

    /// Sends no new work for a while to a worker that refuses all work.
    pub(crate) fn back_off_worker(&mut self, name: &InstanceName) {
        let until_ms = self.now.mono_ms + DRAINING_BACKOFF_MS;
        if let Some(worker) = self.workers.get_mut(name) {
            worker.backoff_until_ms = until_ms;
            let key = worker.key;
            self.placement.set_usable(key, false);
            self.worker_backoffs.insert((until_ms, name.clone()));
        }
    }

    /// Ends the expired backoffs of workers and applies due changes of health and capacity.
    pub(crate) fn poll_workers(&mut self) {
        let now_ms = self.now.mono_ms;
        while let Some((until_ms, name)) = self.worker_backoffs.first().cloned() {
            if until_ms > now_ms {
                break;
            }
            self.worker_backoffs.pop_first();
            self.sync_worker(&name);
        }
        for change in self.health.tick(now_ms) {
            self.apply_access(change.worker, change.access);
        }
        self.placement.tick(now_ms);
        self.update_pool_capacities();
    }

    /// Applies a change of a worker's access, as decided from its health.
    pub(crate) fn apply_access(&mut self, key: WorkerKey, access: Access) {
        self.placement.set_access(key, access);
        if let Some(name) = self.workers.name_of(key) {
            log_event!(self, "worker_access", instance = name, access = access);
        }
    }

    /// Probes a worker, unless it was probed recently.
    pub(crate) fn probe(&mut self, name: &InstanceName) {
        let now_ms = self.now.mono_ms;
        let every_ms = self.settings.probe_every_ms;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker.probed_ms != 0 && now_ms < worker.probed_ms + every_ms {
            return;
        }
        worker.probed_ms = now_ms;
        let action = Action::Probe {
            name: name.clone(),
            incarnation: worker.incarnation.clone(),
            address: worker.address.clone(),
        };
        self.actions.push(action);
    }
}

fn largest_of(a: &Resources, b: &Resources) -> Resources {
    Resources {
        cores_milli: a.cores_milli.max(b.cores_milli),
        memory_mb: a.memory_mb.max(b.memory_mb),
        accelerators_count: a.accelerators_count.max(b.accelerators_count),
    }
}
