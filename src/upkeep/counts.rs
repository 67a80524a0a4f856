//! Counts of the fleet's instances by standing, for each pool and for each zone and rack of a pool.
//! They are updated with every change, so that a stop is checked without iterating over the fleet.

use indexmap::IndexMap;

use super::keys::{InstanceKey, PoolKey, RackKey, ZoneKey};
use crate::fleet::Standing;

/// Location and standing of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// The one pool to which it belongs.
    pub pool: PoolKey,
    /// Availability zone.
    pub zone: ZoneKey,
    /// Rack. A rack lies in one zone.
    pub rack: RackKey,
    /// Standing according to the ledger.
    pub standing: Standing,
}

/// Returns whether the standing is the outcome of a planned stop.
pub fn is_planned_stop(standing: Standing) -> bool {
    matches!(standing, Standing::Draining | Standing::Stopped)
}

/// Counts of one set of instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DomainCounts {
    /// All instances of the set, whatever their standing.
    pub members_count: u32,
    /// Instances that budgets count as available.
    pub available_count: u32,
    /// Instances that are draining or stopped by plan.
    pub planned_count: u32,
}

impl DomainCounts {
    /// Returns how many instances are draining, stopped, failed or suspect.
    pub fn unavailable_count(&self) -> u32 {
        self.members_count - self.available_count
    }

    /// Returns how many further instances would be lost if the whole set failed while a planned
    /// stop is in progress in it.
    fn exposed_count(&self) -> u32 {
        match self.planned_count {
            0 => 0,
            _ => self.available_count,
        }
    }

    fn add(&mut self, standing: Standing) {
        self.members_count += 1;
        self.available_count += u32::from(standing.is_available());
        self.planned_count += u32::from(is_planned_stop(standing));
    }

    fn remove(&mut self, standing: Standing) {
        self.members_count -= 1;
        self.available_count -= u32::from(standing.is_available());
        self.planned_count -= u32::from(is_planned_stop(standing));
    }
}

/// Counts of one pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PoolCounts {
    /// The whole pool.
    pub total: DomainCounts,
    /// The pool's part of each zone where it has instances.
    pub zones: IndexMap<ZoneKey, ZoneCounts>,
    /// The pool's part of each rack where it has instances.
    pub racks: IndexMap<RackKey, DomainCounts>,
    /// Number of racks in which a planned stop of the pool is in progress.
    pub racks_with_stops_count: u32,
    /// Available instances in those racks.
    pub exposed_count: u32,
}

/// Counts of one pool within one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneCounts {
    /// The pool's instances in the zone.
    pub total: DomainCounts,
    /// Available instances in those racks of the zone where a planned stop of the pool is in
    /// progress.
    pub exposed_count: u32,
}

impl PoolCounts {
    /// Returns the counts of the pool's part of `zone`.
    pub fn zone(&self, zone: ZoneKey) -> ZoneCounts {
        self.zones.get(&zone).copied().unwrap_or_default()
    }

    /// Returns the counts of the pool's part of `rack`.
    pub fn rack(&self, rack: RackKey) -> DomainCounts {
        self.racks.get(&rack).copied().unwrap_or_default()
    }

    fn add(&mut self, member: Member) {
        self.total.add(member.standing);
        let zone = self.zones.entry(member.zone).or_default();
        zone.total.add(member.standing);
        let rack = self.racks.entry(member.rack).or_default();
        let before = *rack;
        rack.add(member.standing);
        let after = *rack;
        self.update_rack_totals(member.zone, before, after);
    }

    fn remove(&mut self, member: Member) {
        self.total.remove(member.standing);
        let Some(rack) = self.racks.get_mut(&member.rack) else {
            return;
        };
        let before = *rack;
        rack.remove(member.standing);
        let after = *rack;
        self.update_rack_totals(member.zone, before, after);
        if after.members_count == 0 {
            self.racks.swap_remove(&member.rack);
        }
        let Some(zone) = self.zones.get_mut(&member.zone) else {
            return;
        };
        zone.total.remove(member.standing);
        if zone.total.members_count == 0 {
            self.zones.swap_remove(&member.zone);
        }
    }

    fn update_rack_totals(&mut self, zone: ZoneKey, before: DomainCounts, after: DomainCounts) {
        self.racks_with_stops_count += u32::from(after.planned_count > 0);
        self.racks_with_stops_count -= u32::from(before.planned_count > 0);
        self.exposed_count += after.exposed_count();
        self.exposed_count -= before.exposed_count();
        if let Some(zone) = self.zones.get_mut(&zone) {
            zone.exposed_count += after.exposed_count();
            zone.exposed_count -= before.exposed_count();
        }
    }
}

/// The fleet's instances with their counts. Equal fleets have equal counts for any order of
/// changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetCounts {
    members: Vec<Option<Member>>,
    pools: Vec<PoolCounts>,
}

impl FleetCounts {
    /// Returns an empty fleet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an instance, or replaces the member that was stored for it.
    pub fn add(&mut self, instance: InstanceKey, member: Member) {
        self.remove(instance);
        if self.members.len() <= instance.index() {
            self.members.resize(instance.index() + 1, None);
        }
        if self.pools.len() <= member.pool.index() {
            self.pools
                .resize_with(member.pool.index() + 1, PoolCounts::default);
        }
        self.members[instance.index()] = Some(member);
        self.pools[member.pool.index()].add(member);
    }

    /// Removes an instance that has left the fleet and returns its member, if it had one.
    pub fn remove(&mut self, instance: InstanceKey) -> Option<Member> {
        let member = self.members.get_mut(instance.index())?.take()?;
        self.pools[member.pool.index()].remove(member);
        Some(member)
    }

    /// Changes the standing of an instance. Does nothing if the instance is not in the fleet.
    pub fn change(&mut self, instance: InstanceKey, standing: Standing) {
        match self.member(instance) {
            Some(member) if member.standing != standing => {
                self.add(instance, Member { standing, ..member });
            }
            _ => {}
        }
    }

    /// Moves an instance to another pool in one step, so that it always belongs to exactly one.
    pub fn assign(&mut self, instance: InstanceKey, pool: PoolKey, standing: Standing) {
        if let Some(member) = self.member(instance) {
            let member = Member {
                pool,
                standing,
                ..member
            };
            self.add(instance, member);
        }
    }

    /// Returns the member stored for an instance.
    pub fn member(&self, instance: InstanceKey) -> Option<Member> {
        self.members.get(instance.index()).copied().flatten()
    }

    /// Returns all instances in the order of their keys.
    pub fn members(&self) -> impl Iterator<Item = (InstanceKey, Member)> + '_ {
        (0u32..)
            .zip(&self.members)
            .filter_map(|(index, member)| Some((InstanceKey(index), (*member)?)))
    }

    /// Returns the counts of a pool, or `None` beyond the last pool that ever had an instance.
    pub fn pool(&self, pool: PoolKey) -> Option<&PoolCounts> {
        self.pools.get(pool.index())
    }

    /// Returns the number of pools, up to the last one that ever had an instance.
    pub fn pools_count(&self) -> usize {
        self.pools.len()
    }
}
