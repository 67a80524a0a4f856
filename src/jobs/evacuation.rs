//! Evacuation of availability zones. Operators request that no task is started in a zone until they
//! take the request back. Runs that are there continue; the capacity of the zone counts as absent.

use indexmap::{IndexMap, IndexSet};
use smol_str::SmolStr;

use crate::jobs::engine::Engine;
use crate::jobs::keys::WorkerKey;
use crate::logging::Event;

/// Zones that are evacuated.
#[derive(Clone, Debug, Default)]
pub(crate) struct EvacuatedZones {
    zones: IndexMap<SmolStr, Evacuation>,
}

/// Evacuation of one zone, as this leader carries it out.
#[derive(Clone, Copy, Debug)]
struct Evacuation {
    /// Time at which this leader learned of it.
    since_ms: u64,
    /// Whether it was logged that no runs are left in the zone.
    is_empty_logged: bool,
}

impl EvacuatedZones {
    /// Returns whether no task may be started in `zone`. While any zone is evacuated, this includes
    /// workers that report no zone.
    pub(crate) fn contains(&self, zone: &SmolStr) -> bool {
        !self.zones.is_empty() && (zone.is_empty() || self.zones.contains_key(zone))
    }
}

impl Engine {
    /// Evacuates exactly these zones; any other zone takes tasks again.
    pub fn set_evacuated_zones(&mut self, zones: &IndexSet<SmolStr>) {
        let now_ms = self.now_ms;
        let before = std::mem::take(&mut self.evacuated_zones.zones);
        for zone in zones {
            let known = before.get(zone).copied();
            let evacuation = known.unwrap_or(Evacuation {
                since_ms: now_ms,
                is_empty_logged: false,
            });
            self.evacuated_zones.zones.insert(zone.clone(), evacuation);
            if known.is_none() {
                self.log_evacuation(zone);
            }
        }
        for (zone, evacuation) in before {
            if !zones.contains(&zone) {
                Event::new("evacuation_ended")
                    .with("zone", &zone)
                    .with("after_ms", now_ms.saturating_sub(evacuation.since_ms))
                    .info();
            }
        }
        for key in self.present.clone() {
            self.apply_evacuation(key);
        }
        self.needs_dispatch = true;
    }

    fn log_evacuation(&self, zone: &SmolStr) {
        let of_zone = |key: &WorkerKey| self.zone_of(*key) == *zone;
        let workers_count = self.present_keys().filter(of_zone).count();
        let instances = self.instances.rows.values();
        let instances_count = instances.filter(|row| row.info.zone == *zone).count();
        let event = Event::new("evacuation_started")
            .with("zone", zone)
            .with("workers_count", workers_count)
            .with("instances_count", instances_count)
            .with("runs_count", self.runs_in(zone));
        match workers_count + instances_count {
            // The name may be wrong, or the lists are not read yet.
            0 => event.warn(),
            _ => event.info(),
        }
    }

    /// Brings a worker up to date with the evacuated zones.
    pub(crate) fn apply_evacuation(&mut self, key: WorkerKey) {
        let is_evacuated = self.evacuated_zones.contains(&self.zone_of(key));
        if self.worker(key).is_evacuated != is_evacuated {
            self.worker_mut(key).is_evacuated = is_evacuated;
        }
    }

    /// Returns the zone of a worker, by its instance if its own entry names none.
    fn zone_of(&self, key: WorkerKey) -> SmolStr {
        let info = &self.worker(key).info;
        if !info.zone.is_empty() {
            return info.zone.clone();
        }
        let instance = info.instance.as_ref();
        let row = instance.and_then(|name| self.instances.rows.get(name));
        row.map(|row| row.info.zone.clone()).unwrap_or_default()
    }

    /// Returns whether an instance is in an evacuated zone.
    pub(crate) fn is_instance_evacuated(&self, name: &SmolStr) -> bool {
        let row = self.instances.rows.get(name);
        row.is_some_and(|row| self.evacuated_zones.contains(&row.info.zone))
    }

    /// Returns whether operators have evacuated every zone that has workers or instances, so that
    /// no task can start.
    pub fn are_all_zones_evacuated(&self) -> bool {
        if self.evacuated_zones.zones.is_empty() {
            return false;
        }
        let mut workers = self.present_workers().filter(|worker| worker.is_listed);
        let mut rows = self.instances.rows.values();
        let is_any_known = workers.by_ref().next().is_some() || !self.instances.rows.is_empty();
        is_any_known
            && self
                .present_workers()
                .all(|worker| worker.is_evacuated || !worker.is_listed)
            && rows.all(|row| self.evacuated_zones.contains(&row.info.zone))
    }

    /// Returns the number of evacuated zones.
    pub fn evacuated_zones_count(&self) -> usize {
        self.evacuated_zones.zones.len()
    }

    /// Returns the number of runs that are, or may be, in evacuated zones.
    pub fn evacuated_runs_count(&self) -> usize {
        let evacuated = self.present_workers().filter(|worker| worker.is_evacuated);
        evacuated.map(|worker| worker.slots.len()).sum()
    }

    fn runs_in(&self, zone: &SmolStr) -> usize {
        let of_zone = |key: &WorkerKey| self.zone_of(*key) == *zone;
        let workers = self.present_keys().filter(of_zone);
        workers.map(|key| self.worker(key).slots.len()).sum()
    }

    /// Logs once for each evacuated zone that its last run has ended.
    pub(crate) fn review_evacuations(&mut self) {
        let open: Vec<(SmolStr, u64)> = self
            .evacuated_zones
            .zones
            .iter()
            .filter(|(_, evacuation)| !evacuation.is_empty_logged)
            .map(|(zone, evacuation)| (zone.clone(), evacuation.since_ms))
            .collect();
        for (zone, since_ms) in open {
            if self.runs_in(&zone) > 0 {
                continue;
            }
            Event::new("evacuated_zone_empty")
                .with("zone", &zone)
                .with("after_ms", self.now_ms.saturating_sub(since_ms))
                .info();
            self.evacuated_zones.zones[&zone].is_empty_logged = true;
        }
    }

    /// Moves the idle instances of evacuated zones to standby.
    pub(crate) fn move_evacuated_to_standby(&mut self) {
        if self.evacuated_zones.zones.is_empty() {
            return;
        }
        let idle: Vec<WorkerKey> = self
            .present_keys()
            .filter(|key| {
                let worker = self.worker(*key);
                worker.is_evacuated
                    && worker.is_listed
                    && worker.is_fenced
                    && worker.slots.is_empty()
                    && !worker.has_more_ends
                    && worker.awaited_batch.is_none()
                    && !worker.info.is_draining
                    && worker.failed_polls_count == 0
            })
            .collect();
        self.move_idle_to_standby(&idle);
    }
}
