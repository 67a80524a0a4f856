//! Simulated fleets of the maintenance experiments.

use crate::fleet::Standing;
use crate::lists::{AvailabilityBudget, MeasureWeights};
use crate::upkeep::budget::{PoolBudget, RackRule, UNBOUND_POOL_UNAVAILABLE_MAX_PERMILLE};
use crate::upkeep::counts::{FleetCounts, Member};
use crate::upkeep::keys::{InstanceKey, PoolKey, RackKey, ZoneKey};

/// One pool of a simulated fleet.
#[derive(Clone, Copy, Debug)]
pub struct PoolSpec {
    /// Number of instances at the start.
    pub instances_count: u32,
    /// Whether the pool holds spare instances.
    pub is_spare: bool,
    /// Budget of the pool.
    pub budget: PoolBudget,
    /// Mean demand of the pool's queue in thousandths of the pool's instances at the start.
    pub mean_demand_permille: u32,
    /// Second pool whose free instances the queue may use.
    pub second_pool: Option<u16>,
}

/// A simulated fleet.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name in results.
    pub name: &'static str,
    /// Number of availability zones.
    pub zones_count: u16,
    /// Number of instances in a rack.
    pub rack_instances_count: u32,
    /// The pools, indexed by pool key.
    pub pools: Vec<PoolSpec>,
    /// Length of each queue's demand peak, in milliseconds.
    pub peak_ms: u64,
    /// Operator's weights of the four measures.
    pub weights: MeasureWeights,
}

const MEAN_DEMAND_PERMILLE: u32 = 500;

fn working_pool(
    instances_count: u32,
    instances_min_count: u32,
    permille: (u32, u32),
    second_pool: Option<u16>,
) -> PoolSpec {
    let (pool_unavailable_max_permille, zone_unavailable_max_permille) = permille;
    PoolSpec {
        instances_count,
        is_spare: false,
        budget: PoolBudget {
            availability: AvailabilityBudget {
                pool_unavailable_max_permille,
                zone_unavailable_max_permille,
            },
            instances_min_count,
            racks: RackRule::One,
        },
        mean_demand_permille: MEAN_DEMAND_PERMILLE,
        second_pool,
    }
}

fn spare_pool(instances_count: u32, instances_min_count: u32) -> PoolSpec {
    let permille = UNBOUND_POOL_UNAVAILABLE_MAX_PERMILLE;
    PoolSpec {
        is_spare: true,
        mean_demand_permille: 0,
        ..working_pool(
            instances_count,
            instances_min_count,
            (permille, permille),
            None,
        )
    }
}

impl Deployment {
    /// Returns the Lahore fleet: four zones, 50 instances.
    pub fn lahore() -> Self {
        Self {
            name: "lahore",
            zones_count: 4,
            rack_instances_count: 4,
            pools: vec![
                working_pool(12, 8, (250, 500), Some(2)),
                working_pool(10, 7, (250, 500), None),
                working_pool(10, 7, (250, 500), Some(0)),
                working_pool(8, 6, (250, 500), Some(1)),
                spare_pool(10, 2),
            ],
            peak_ms: 4000,
            weights: MeasureWeights {
                buffer_cost: 1,
                roll_out_time: 5,
                moves: 4,
                share_nearness: 2,
            },
        }
    }

    /// Returns the Danish fleet: three zones, 50 instances.
    pub fn denmark() -> Self {
        Self {
            name: "denmark",
            zones_count: 3,
            rack_instances_count: 4,
            pools: vec![
                working_pool(12, 8, (200, 500), Some(1)),
                working_pool(10, 7, (200, 500), Some(3)),
                working_pool(9, 6, (200, 500), None),
                working_pool(9, 6, (200, 500), Some(2)),
                spare_pool(10, 2),
            ],
            peak_ms: 5000,
            weights: MeasureWeights {
                buffer_cost: 1,
                roll_out_time: 1,
                moves: 2,
                share_nearness: 6,
            },
        }
    }

    /// Returns a fleet of 33 pools in 9 zones; one of the pools is spare.
    pub fn large(instances_count: u32) -> Self {
        const POOLS_COUNT: u32 = 33;
        let each_count = instances_count / POOLS_COUNT;
        let rest_count = instances_count - each_count * POOLS_COUNT;
        let working = working_pool(each_count, each_count * 8 / 10, (50, 100), None);
        let mut pools = vec![working; POOLS_COUNT as usize - 1];
        pools.push(spare_pool(each_count + rest_count, each_count / 4));
        Self {
            name: "large",
            zones_count: 9,
            rack_instances_count: 16,
            pools,
            peak_ms: 4000,
            weights: MeasureWeights::default(),
        }
    }

    /// Returns the instances, all serving. Each pool is spread evenly over the zones, and the racks
    /// of a zone are filled one after another.
    pub fn layout(&self) -> FleetCounts {
        let mut placed: Vec<Vec<PoolKey>> = vec![Vec::new(); usize::from(self.zones_count)];
        let mut next_zone = 0;
        for (pool, spec) in (0u16..).zip(&self.pools) {
            for _ in 0..spec.instances_count {
                placed[next_zone].push(PoolKey(pool));
                next_zone = (next_zone + 1) % placed.len();
            }
        }
        for zone in &mut placed {
            zone.sort();
        }
        self.number(&placed)
    }

    fn number(&self, placed: &[Vec<PoolKey>]) -> FleetCounts {
        let mut counts = FleetCounts::new();
        let mut instances = (0u32..).map(InstanceKey);
        let mut racks_before = 0;
        for (zone, pools) in (0u16..).map(ZoneKey).zip(placed) {
            for (position, pool) in (0u32..).zip(pools) {
                let member = Member {
                    pool: *pool,
                    zone,
                    rack: RackKey(racks_before + position / self.rack_instances_count),
                    standing: Standing::Serving,
                };
                counts.add(instances.next().unwrap_or_default(), member);
            }
            let in_zone = u32::try_from(pools.len()).unwrap_or(u32::MAX);
            racks_before += in_zone.div_ceil(self.rack_instances_count);
        }
        counts
    }

    /// Returns the budgets, indexed by pool.
    pub fn budgets(&self, racks: RackRule) -> Vec<PoolBudget> {
        let budgets = self.pools.iter().map(|spec| spec.budget);
        budgets
            .map(|budget| PoolBudget { racks, ..budget })
            .collect()
    }
}
