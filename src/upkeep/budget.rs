//! Availability budgets. They decide whether one more planned stop may be claimed, given all
//! planned stops and failures that are already known.
//!
//! A budget of `p` thousandths allows `floor(members * p / 1000)` unavailable instances, so a part
//! smaller than one instance allows none. Planned stops, failures and suspect instances count the
//! same. A check reads a few counters, so its cost does not depend on the size of the fleet.

use serde::{Deserialize, Serialize};

use super::counts::{is_planned_stop, DomainCounts, FleetCounts, Member, PoolCounts};
use super::keys::{InstanceKey, PoolKey};
use crate::fleet::Standing;
use crate::lists::{AvailabilityBudget, Lists, MeasureWeights, Plan, Pool};

/// The whole in thousandths.
pub(super) const PERMILLE_WHOLE: u64 = 1000;

/// Part of a pool without customers, such as the spare pool, that may be unavailable at once, in
/// thousandths. At one half, half of the buffer stays usable while the rest is maintained.
pub const UNBOUND_POOL_UNAVAILABLE_MAX_PERMILLE: u32 = 500;

/// Racks of a pool in which planned stops may be in progress at the same time.
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
pub enum RackRule {
    /// One rack, or more if the budgets allow the loss of all of them together.
    #[default]
    One,
    /// Any number of racks; only the budgets limit the stops.
    Any,
}

/// Limits on unavailable instances in one pool, each the strictest of all plans that use the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolBudget {
    /// Parts of the pool and of its zones that may be unavailable.
    pub availability: AvailabilityBudget,
    /// Minimum number of available instances.
    pub instances_min_count: u32,
    /// Racks in which stops may be in progress at the same time.
    #[serde(default)]
    pub racks: RackRule,
}

impl Default for PoolBudget {
    /// Returns the budget of a pool that is in no list. It allows no stop.
    fn default() -> Self {
        Self {
            availability: AvailabilityBudget {
                pool_unavailable_max_permille: 0,
                zone_unavailable_max_permille: 0,
            },
            instances_min_count: 0,
            racks: RackRule::One,
        }
    }
}

/// Returns the budget of `pool`: for each limit the strictest value among the plans entitled to a
/// queue that uses the pool.
pub fn strictest_budget(lists: &Lists, pool: &Pool) -> PoolBudget {
    let unbound = AvailabilityBudget {
        pool_unavailable_max_permille: UNBOUND_POOL_UNAVAILABLE_MAX_PERMILLE,
        zone_unavailable_max_permille: UNBOUND_POOL_UNAVAILABLE_MAX_PERMILLE,
    };
    let availability = lists
        .plans
        .plans
        .iter()
        .filter(|plan| uses_pool(lists, plan, pool))
        .map(|plan| plan.availability)
        .reduce(stricter)
        .unwrap_or(unbound);
    PoolBudget {
        availability,
        instances_min_count: pool.instances_min_count,
        racks: rack_rule(&lists.plans.measure_weights),
    }
}

/// Returns the rule for racks. Stops in several racks finish a roll-out sooner, but the loss of a
/// rack then adds to the unavailable instances. Several racks are therefore allowed only if the
/// weight of roll-out time exceeds that of nearness to share.
pub fn rack_rule(weights: &MeasureWeights) -> RackRule {
    match weights.roll_out_time > weights.share_nearness {
        true => RackRule::Any,
        false => RackRule::One,
    }
}

fn uses_pool(lists: &Lists, plan: &Plan, pool: &Pool) -> bool {
    let entitled = |queue: &str| {
        lists
            .entitlement_of(&plan.name)
            .is_some_and(|row| row.queues.iter().any(|name| name == queue))
    };
    lists
        .entitlements
        .queues
        .iter()
        .filter(|queue| queue.pools.contains(&pool.name))
        .any(|queue| entitled(&queue.name))
}

fn stricter(a: AvailabilityBudget, b: AvailabilityBudget) -> AvailabilityBudget {
    AvailabilityBudget {
        pool_unavailable_max_permille: a
            .pool_unavailable_max_permille
            .min(b.pool_unavailable_max_permille),
        zone_unavailable_max_permille: a
            .zone_unavailable_max_permille
            .min(b.zone_unavailable_max_permille),
    }
}

/// Returns how many of `members_count` instances may be unavailable under a budget of `permille`.
pub fn allowed_count(members_count: u32, permille: u32) -> u32 {
    let part = u64::from(members_count) * u64::from(permille) / PERMILLE_WHOLE;
    u32::try_from(part).map_or(members_count, |part| part.min(members_count))
}

/// State against which a stop is checked: the fold at the offset of the claim.
#[derive(Clone, Copy, Debug)]
pub struct BudgetView<'a> {
    /// Counts of the fleet.
    pub counts: &'a FleetCounts,
    /// Budgets, indexed by [`PoolKey`]. A pool without a budget allows no stop.
    pub budgets: &'a [PoolBudget],
}

/// Why a planned stop, a release or an assignment would breach a budget.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    strum::Display,
    strum::IntoStaticStr,
    strum::EnumDiscriminants,
)]
#[serde(rename_all = "snake_case", tag = "breach")]
#[strum(serialize_all = "snake_case")]
#[strum_discriminants(name(BudgetBreachKind), derive(Hash, strum::EnumIter, strum::Display))]
#[strum_discriminants(doc = "Kind of a [`BudgetBreach`], without its numbers.")]
#[strum_discriminants(strum(serialize_all = "snake_case"))]
pub enum BudgetBreach {
    /// The fleet has no such instance.
    UnknownInstance,
    /// The instance is already draining or stopped by plan.
    AlreadyStopping,
    /// The instance is already in the pool to which it would be assigned.
    SamePool,
    /// Too many instances of the pool would be unavailable.
    PoolBudget {
        /// Unavailable instances after the change.
        unavailable_count: u32,
        /// Instances that may be unavailable.
        allowed_count: u32,
        /// Instances of the pool.
        members_count: u32,
    },
    /// Too many instances of the pool in the zone of the instance would be unavailable.
    ZoneBudget {
        /// Unavailable instances of the pool in the zone after the change.
        unavailable_count: u32,
        /// Instances of the pool in the zone that may be unavailable.
        allowed_count: u32,
        /// Instances of the pool in the zone.
        members_count: u32,
    },
    /// The pool would have fewer available instances than its minimum.
    PoolMinimum {
        /// Available instances after the change.
        available_count: u32,
        /// Minimum number of available instances of the pool.
        instances_min_count: u32,
    },
    /// Stops are in progress in another rack of the pool, and the budget does not allow the loss of
    /// all these racks together.
    SecondRack {
        /// Racks of the pool with planned stops in progress.
        racks_with_stops_count: u32,
        /// Unavailable instances if all of those racks and this one were lost.
        exposed_count: u32,
        /// Instances that may be unavailable.
        allowed_count: u32,
    },
}

/// Checks a planned stop of `instance` against all stops and failures of the view.
/// The error is the first breach found.
pub fn check_stop(view: &BudgetView<'_>, instance: InstanceKey) -> Result<(), BudgetBreach> {
    let (member, pool) = find(view, instance)?;
    if is_planned_stop(member.standing) {
        return Err(BudgetBreach::AlreadyStopping);
    }
    let budget = view.budget(member.pool);
    let lost_count = u32::from(member.standing.is_available());
    check_minimum(pool, &budget, lost_count)?;
    check_pool(pool, &budget, lost_count)?;
    check_zone(pool, &budget, member, lost_count)?;
    check_racks(pool, &budget, member)
}

/// Checks whether `instance` may be released from its pool for a move.
///
/// Its drain is a planned stop, and no further check is needed: a pool that may have one more
/// unavailable instance may also lose that instance, because one member less lowers the number
/// allowed by a budget by at most one.
pub fn can_release(view: &BudgetView<'_>, instance: InstanceKey) -> Result<(), BudgetBreach> {
    check_stop(view, instance)
}

/// Checks whether `instance` may join `pool` with `standing`. An available instance always may; any
/// other counts as unavailable in the pool from the start.
pub fn can_assign(
    view: &BudgetView<'_>,
    instance: InstanceKey,
    pool: PoolKey,
    standing: Standing,
) -> Result<(), BudgetBreach> {
    let (member, _) = find(view, instance)?;
    match view.counts.pool(pool) {
        _ if member.pool == pool => Err(BudgetBreach::SamePool),
        _ if standing.is_available() => Ok(()),
        None => Ok(()),
        Some(counts) => {
            let after_join = CountsAfterJoin::of(counts, member);
            after_join.check(&view.budget(pool))
        }
    }
}

impl BudgetView<'_> {
    /// Returns the budget of `pool`.
    pub fn budget(&self, pool: PoolKey) -> PoolBudget {
        self.budgets.get(pool.index()).copied().unwrap_or_default()
    }
}

fn find<'a>(
    view: &BudgetView<'a>,
    instance: InstanceKey,
) -> Result<(Member, &'a PoolCounts), BudgetBreach> {
    let member = view
        .counts
        .member(instance)
        .ok_or(BudgetBreach::UnknownInstance)?;
    let pool = view
        .counts
        .pool(member.pool)
        .ok_or(BudgetBreach::UnknownInstance)?;
    Ok((member, pool))
}

fn check_minimum(
    pool: &PoolCounts,
    budget: &PoolBudget,
    lost_count: u32,
) -> Result<(), BudgetBreach> {
    let available_count = pool.total.available_count - lost_count;
    match budget.instances_min_count {
        min if available_count < min => Err(BudgetBreach::PoolMinimum {
            available_count,
            instances_min_count: min,
        }),
        _ => Ok(()),
    }
}

fn check_pool(pool: &PoolCounts, budget: &PoolBudget, lost_count: u32) -> Result<(), BudgetBreach> {
    let members_count = pool.total.members_count;
    let unavailable_count = pool.total.unavailable_count() + lost_count;
    match pool_allowed(members_count, budget) {
        allowed_count if unavailable_count > allowed_count => Err(BudgetBreach::PoolBudget {
            unavailable_count,
            allowed_count,
            members_count,
        }),
        _ => Ok(()),
    }
}

fn check_zone(
    pool: &PoolCounts,
    budget: &PoolBudget,
    member: Member,
    lost_count: u32,
) -> Result<(), BudgetBreach> {
    let zone = pool.zone(member.zone).total;
    let unavailable_count = zone.unavailable_count() + lost_count;
    match zone_allowed(zone.members_count, budget) {
        allowed_count if unavailable_count > allowed_count => Err(BudgetBreach::ZoneBudget {
            unavailable_count,
            allowed_count,
            members_count: zone.members_count,
        }),
        _ => Ok(()),
    }
}

/// Limits stops to one rack of the pool, unless the budgets of the pool and the zone allow the loss
/// of every rack with stops in progress, including this one. A faulty wave then breaks at most as
/// many instances as a budget allows or as one rack holds.
fn check_racks(pool: &PoolCounts, budget: &PoolBudget, member: Member) -> Result<(), BudgetBreach> {
    let rack = pool.rack(member.rack);
    let is_same_rack_or_first = rack.planned_count > 0 || pool.racks_with_stops_count == 0;
    if is_same_rack_or_first || budget.racks == RackRule::Any {
        return Ok(());
    }
    let zone = pool.zone(member.zone);
    let added_count = rack.available_count;
    let breach = |exposed_count, allowed_count| BudgetBreach::SecondRack {
        racks_with_stops_count: pool.racks_with_stops_count,
        exposed_count,
        allowed_count,
    };
    let pool_exposed = pool.total.unavailable_count() + pool.exposed_count + added_count;
    let zone_exposed = zone.total.unavailable_count() + zone.exposed_count + added_count;
    let pool_max = pool_allowed(pool.total.members_count, budget);
    let zone_max = zone_allowed(zone.total.members_count, budget);
    match () {
        () if pool_exposed > pool_max => Err(breach(pool_exposed, pool_max)),
        () if zone_exposed > zone_max => Err(breach(zone_exposed, zone_max)),
        () => Ok(()),
    }
}

fn pool_allowed(members_count: u32, budget: &PoolBudget) -> u32 {
    let permille = budget.availability.pool_unavailable_max_permille;
    allowed_count(members_count, permille)
}

fn zone_allowed(members_count: u32, budget: &PoolBudget) -> u32 {
    let permille = budget.availability.zone_unavailable_max_permille;
    allowed_count(members_count, permille)
}

/// Counts of a pool and of its part of one zone after an unavailable instance has joined.
struct CountsAfterJoin {
    pool: DomainCounts,
    zone: DomainCounts,
}

impl CountsAfterJoin {
    fn of(pool: &PoolCounts, member: Member) -> Self {
        let with_one_more = |counts: DomainCounts| DomainCounts {
            members_count: counts.members_count + 1,
            ..counts
        };
        Self {
            pool: with_one_more(pool.total),
            zone: with_one_more(pool.zone(member.zone).total),
        }
    }

    fn check(&self, budget: &PoolBudget) -> Result<(), BudgetBreach> {
        let (pool, zone) = (self.pool, self.zone);
        let pool_max = pool_allowed(pool.members_count, budget);
        let zone_max = zone_allowed(zone.members_count, budget);
        match () {
            () if pool.unavailable_count() > pool_max => Err(BudgetBreach::PoolBudget {
                unavailable_count: pool.unavailable_count(),
                allowed_count: pool_max,
                members_count: pool.members_count,
            }),
            () if zone.unavailable_count() > zone_max => Err(BudgetBreach::ZoneBudget {
                unavailable_count: zone.unavailable_count(),
                allowed_count: zone_max,
                members_count: zone.members_count,
            }),
            () => Ok(()),
        }
    }
}
