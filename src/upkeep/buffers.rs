//! Buffers: how many spare instances are needed so that budgets and targets still hold after the
//! loss of any one failure domain, a rack or a whole zone.
//!
//! A pool needs the instances that its budget promises and that its demand uses most of the time.
//! After the loss of a domain, some pools have fewer. The spare instances outside the domain must
//! cover the shortage of the worst domain.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::budget::{allowed_count, BudgetView, PERMILLE_WHOLE};
use super::counts::PoolCounts;
use super::demand::PoolState;
use super::keys::{PoolKey, RackKey, ZoneKey};
use crate::lists::MeasureWeights;

/// Cost of a missing instance relative to that of a spare one, at equal weights.
const MISSING_TO_SPARE_COST_RATIO: u64 = 19;

/// The failure that the buffers must cover.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum SurvivedFailure {
    /// The loss of any one rack.
    #[default]
    Rack,
    /// The loss of any one availability zone.
    Zone,
}

/// Input for planning the buffers.
#[derive(Clone, Copy)]
pub struct BufferView<'a> {
    /// Counts and budgets.
    pub budget: BudgetView<'a>,
    /// The pools, indexed by [`PoolKey`].
    pub pools: &'a [PoolState],
}

/// Planned buffers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BufferPlan {
    /// Spare instances in the whole fleet.
    pub spare_count: u32,
    /// Number of them in each zone.
    pub zones: IndexMap<ZoneKey, u32>,
    /// Available instances that each pool needs for its budget and its usual demand, indexed by
    /// [`PoolKey`].
    pub required_counts: Vec<u32>,
}

/// Plans the buffers that cover `failure`.
pub fn plan_buffers(
    view: &BufferView<'_>,
    failure: SurvivedFailure,
    weights: &MeasureWeights,
) -> BufferPlan {
    let counts = view.budget.counts;
    let pools = || (0u16..).map(PoolKey).take(counts.pools_count());
    let part_permille = critical_fractile_permille(weights);
    let required_counts: Vec<u32> = pools()
        .map(|pool| required_count(view, pool, part_permille))
        .collect();
    let shortage = match failure {
        SurvivedFailure::Rack => largest(shortages(view, &required_counts, rack_losses)),
        SurvivedFailure::Zone => largest(shortages(view, &required_counts, zone_losses)),
    };
    let mut zones: Vec<ZoneKey> = pools()
        .filter_map(|pool| counts.pool(pool))
        .flat_map(|pool| pool.zones.keys().copied())
        .collect();
    zones.sort();
    zones.dedup();
    let spare_count = match failure {
        SurvivedFailure::Rack => shortage,
        SurvivedFailure::Zone => count_with_one_zone_lost(shortage, zones.len()),
    };
    BufferPlan {
        spare_count,
        zones: spread_evenly(spare_count, &zones),
        required_counts,
    }
}

/// Returns the part of the time, in thousandths, for which a pool should have enough instances.
/// This is the critical fractile of the newsvendor problem, computed from the costs of a missing
/// and of a spare instance.
pub fn critical_fractile_permille(weights: &MeasureWeights) -> u32 {
    let missing = MISSING_TO_SPARE_COST_RATIO * u64::from(weights.share_nearness.max(1));
    let spare = u64::from(weights.buffer_cost);
    u32::try_from(missing * PERMILLE_WHOLE / (missing + spare)).unwrap_or(1000)
}

/// Returns the available instances that `pool` needs. Demand beyond the size of the pool is left to
/// queues and moves, so that a burst does not require a buffer of its size.
fn required_count(view: &BufferView<'_>, pool: PoolKey, part_permille: u32) -> u32 {
    let is_spare = is_spare(view, pool);
    let Some(counts) = view.budget.counts.pool(pool).filter(|_| !is_spare) else {
        return 0;
    };
    let budget = view.budget.budget(pool);
    let members_count = counts.total.members_count;
    let permille = budget.availability.pool_unavailable_max_permille;
    let promised_count = members_count - allowed_count(members_count, permille);
    let wanted_count = view.pools.get(pool.index()).map_or(0, |state| {
        state.demand.quantile_milli(part_permille).div_ceil(1000)
    });
    wanted_count
        .min(members_count)
        .max(promised_count)
        .max(budget.instances_min_count)
}

fn is_spare(view: &BufferView<'_>, pool: PoolKey) -> bool {
    let state = view.pools.get(pool.index());
    state.is_some_and(|state| state.is_spare)
}

/// Returns for each failure domain the instances that the pools would lack after its loss, plus the
/// spare instances that would be lost with it.
fn shortages<K: std::hash::Hash + Eq>(
    view: &BufferView<'_>,
    required_counts: &[u32],
    losses: impl Fn(&PoolCounts) -> Vec<(K, u32)>,
) -> IndexMap<K, u32> {
    let mut sums = IndexMap::new();
    for (index, required_count) in required_counts.iter().enumerate() {
        let pool = u16::try_from(index).map(PoolKey).unwrap_or_default();
        let Some(counts) = view.budget.counts.pool(pool) else {
            continue;
        };
        let is_spare = is_spare(view, pool);
        for (domain, lost_count) in losses(counts) {
            let left_count = counts.total.available_count - lost_count;
            let short_count = match is_spare {
                true => lost_count,
                false => required_count.saturating_sub(left_count),
            };
            *sums.entry(domain).or_default() += short_count;
        }
    }
    sums
}

fn rack_losses(pool: &PoolCounts) -> Vec<(RackKey, u32)> {
    let racks = pool.racks.iter();
    racks
        .map(|(key, rack)| (*key, rack.available_count))
        .collect()
}

fn zone_losses(pool: &PoolCounts) -> Vec<(ZoneKey, u32)> {
    let zones = pool.zones.iter();
    zones
        .map(|(key, zone)| (*key, zone.total.available_count))
        .collect()
}

fn largest<K>(sums: IndexMap<K, u32>) -> u32 {
    sums.into_values().max().unwrap_or_default()
}

/// Returns how many instances, spread evenly over the zones, leave `shortage_count` of them after
/// the loss of any one zone.
fn count_with_one_zone_lost(shortage_count: u32, zones_count: usize) -> u32 {
    match u32::try_from(zones_count).unwrap_or(u32::MAX) {
        0 | 1 => shortage_count,
        zones_count => shortage_count.div_ceil(zones_count - 1) * zones_count,
    }
}

fn spread_evenly(spare_count: u32, zones: &[ZoneKey]) -> IndexMap<ZoneKey, u32> {
    let zones_count = u32::try_from(zones.len()).unwrap_or(u32::MAX).max(1);
    let each_count = spare_count / zones_count;
    let rest_count = spare_count % zones_count;
    (0u32..)
        .zip(zones)
        .map(|(index, zone)| (*zone, each_count + u32::from(index < rest_count)))
        .collect()
}
