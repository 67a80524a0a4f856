//! Layout of a fleet: the zone and rack of each instance.

use indexmap::IndexMap;
use smol_str::{format_smolstr, SmolStr};

use crate::fleet::{InstanceName, InstanceRow, RackName};
use crate::fleet_file::{FleetFile, FleetPool};

impl FleetFile {
    /// Returns the platform's instance list for the fleet, with every instance in its first
    /// incarnation. `address_of` returns a worker's `ip:port` for its index in the list and its
    /// name.
    pub fn instance_rows(
        &self,
        mut address_of: impl FnMut(usize, &InstanceName) -> SmolStr,
    ) -> Vec<InstanceRow> {
        let mut rows = Vec::new();
        let mut count_in_zone: IndexMap<&str, u32> = IndexMap::new();
        for (pool_at, pool) in self.pools.iter().enumerate() {
            for index in 0..pool.instances_count {
                let Some(zone) = zone_of(pool, pool_at, index) else {
                    continue;
                };
                let count = count_in_zone.entry(zone).or_default();
                let rack = rack_name(zone, *count / self.rack_instances_count.max(1));
                *count += 1;
                let name = format_smolstr!("{}-{:02}", pool.name, index + 1);
                rows.push(InstanceRow {
                    incarnation: format_smolstr!("{name}-boot-1"),
                    address: address_of(rows.len(), &name),
                    name,
                    pool: pool.name.clone(),
                    zone: zone.into(),
                    rack,
                    leaving: false,
                    capacity: pool.capacity,
                    slots_count: pool.slots_count,
                });
            }
        }
        rows
    }

    /// Returns how many instances `pool` has in each availability zone.
    pub fn count_by_zone(&self, pool: &str) -> IndexMap<SmolStr, u32> {
        let mut counts = IndexMap::new();
        let mut pools = self.pools.iter().enumerate();
        let Some((pool_at, pool)) = pools.find(|(_, row)| row.name == pool) else {
            return counts;
        };
        for zone in (0..pool.instances_count).filter_map(|index| zone_of(pool, pool_at, index)) {
            *counts.entry(SmolStr::new(zone)).or_default() += 1;
        }
        counts
    }
}

/// Returns the zone of the instance at `index` of a pool. Each pool starts at a different zone, so
/// that the remainders of the division among zones do not all go to the first zone.
fn zone_of(pool: &FleetPool, pool_at: usize, index: u32) -> Option<&str> {
    let index = usize::try_from(index).ok()?;
    let at = (pool_at + index).checked_rem(pool.zones.len())?;
    pool.zones.get(at).map(SmolStr::as_str)
}

fn rack_name(zone: &str, index: u32) -> RackName {
    format_smolstr!("{zone}-r{:02}", index + 1)
}
