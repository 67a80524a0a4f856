//! Typed form of the two lists. A value of these types has passed the checks of this module's
//! parent when it came from a file.

use serde::{Deserialize, Serialize};

use crate::fleet::{PlanName, PoolName, QueueName, Resources, TeamName};

/// Both lists, as one publication puts them in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lists {
    /// What customers bought.
    pub plans: Plans,
    /// What each plan may use.
    pub entitlements: Entitlements,
}

/// The list of what customers bought.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plans {
    /// The plans on offer.
    pub plans: Vec<Plan>,
    /// The teams, each on one plan.
    pub teams: Vec<Team>,
    /// How much each of the four measures counts in this deployment.
    #[serde(default)]
    pub measure_weights: MeasureWeights,
}

/// A plan: targets, share, upper limit and availability budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Unique name.
    pub name: PlanName,
    /// Weight of each team of the plan when the fleet is full.
    pub share_weight: u32,
    /// Requests that one team of the plan may have running over the whole fleet.
    pub running_max_requests: u32,
    /// Time within which an urgent request starts, in milliseconds.
    pub start_target_ms: u64,
    /// Part of the requests that must end within their deadline, in thousandths.
    pub on_time_target_permille: u32,
    /// How much of each pool that the plan uses may be unavailable at once.
    pub availability: AvailabilityBudget,
}

/// How much may be unavailable at once, planned stops and failures together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AvailabilityBudget {
    /// Part of a pool's instances, in thousandths.
    pub pool_unavailable_max_permille: u32,
    /// Part of a pool's instances within one availability zone, in thousandths.
    pub zone_unavailable_max_permille: u32,
}

impl AvailabilityBudget {
    /// Returns how many of the `instances_count` instances of a pool may be unavailable at once.
    pub fn pool_unavailable_max_count(&self, instances_count: u32) -> u32 {
        part_rounded_down(instances_count, self.pool_unavailable_max_permille)
    }

    /// Returns how many of the `instances_count` instances that a pool has in one availability zone
    /// may be unavailable at once.
    pub fn zone_unavailable_max_count(&self, instances_count: u32) -> u32 {
        part_rounded_down(instances_count, self.zone_unavailable_max_permille)
    }
}

fn part_rounded_down(count: u32, part_permille: u32) -> u32 {
    let part = u64::from(count) * u64::from(part_permille) / 1_000;
    u32::try_from(part).unwrap_or(u32::MAX)
}

/// A team: one customer's group of submitters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Unique name.
    pub name: TeamName,
    /// Plan that the team bought.
    pub plan: PlanName,
    /// Upper limit that replaces the plan's, if the team bought another.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running_max_requests: Option<u32>,
    /// Weight that replaces the plan's, if the team bought another.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share_weight: Option<u32>,
}

/// Weights of the four measures; only their ratios count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MeasureWeights {
    /// Weight of the cost of spare instances.
    pub buffer_cost: u32,
    /// Weight of the time that a roll-out takes.
    pub roll_out_time: u32,
    /// Weight of the number of moves of instances between pools.
    pub moves: u32,
    /// Weight of how near each team comes to its share.
    pub share_nearness: u32,
}

impl Default for MeasureWeights {
    fn default() -> Self {
        Self {
            buffer_cost: 1,
            roll_out_time: 1,
            moves: 1,
            share_nearness: 1,
        }
    }
}

/// The list of what each plan may use.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entitlements {
    /// The pools of the fleet.
    pub pools: Vec<Pool>,
    /// The queues that requests name.
    pub queues: Vec<Queue>,
    /// What each plan may use.
    pub entitlements: Vec<Entitlement>,
    /// When instances are due for maintenance.
    #[serde(default)]
    pub maintenance: Maintenance,
}

/// When instances are due for maintenance; nothing is due by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Maintenance {
    /// Hours after its last maintenance at which an instance is due again; 0 for never.
    pub every_hours: u32,
    /// Every instance that was last maintained before this time is due, in milliseconds since the
    /// Unix epoch; 0 for none. Setting it to now starts a roll-out.
    pub due_before_unix_ms: u64,
}

impl Maintenance {
    /// Returns the time before which an instance must last have been maintained to be due, or none
    /// if nothing is due.
    pub fn due_before(&self, now_unix_ms: u64) -> Option<u64> {
        let every_ms = u64::from(self.every_hours) * 3_600_000;
        let periodic = match every_ms {
            0 => 0,
            every_ms => now_unix_ms.saturating_sub(every_ms),
        };
        Some(periodic.max(self.due_before_unix_ms)).filter(|at| *at > 0)
    }
}

/// A pool of instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Unique name.
    pub name: PoolName,
    /// Whether the pool holds spare instances for the others and runs no work of its own.
    #[serde(default)]
    pub is_spare: bool,
    /// Instances that the pool keeps at least.
    pub instances_min_count: u32,
}

/// A queue: where requests of one kind wait.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Queue {
    /// Unique name.
    pub name: QueueName,
    /// Pools that run the queue's work, the preferred one first.
    pub pools: Vec<PoolName>,
    /// Whether the queue takes work without a key.
    #[serde(default)]
    pub is_open_to_all: bool,
    /// Whether the queue's work must start within the plan's start target.
    #[serde(default)]
    pub is_urgent: bool,
}

/// What one plan may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entitlement {
    /// Plan that the row is for.
    pub plan: PlanName,
    /// Queues that the plan's teams may name.
    pub queues: Vec<QueueName>,
    /// Largest size of one request.
    pub request_max: Resources,
}

impl Lists {
    /// Returns the plan of `team`, if both exist.
    pub fn plan_of(&self, team: &str) -> Option<&Plan> {
        let team = self.plans.teams.iter().find(|row| row.name == team)?;
        self.plans.plans.iter().find(|plan| plan.name == team.plan)
    }

    /// Returns the upper limit of `team` over the whole fleet, in requests.
    pub fn running_max_requests(&self, team: &Team) -> u32 {
        let of_plan = || {
            self.plan_of(&team.name)
                .map_or(0, |plan| plan.running_max_requests)
        };
        team.running_max_requests.unwrap_or_else(of_plan)
    }

    /// Returns the weight of `team` when the fleet is full.
    pub fn share_weight(&self, team: &Team) -> u32 {
        let of_plan = || self.plan_of(&team.name).map_or(0, |plan| plan.share_weight);
        team.share_weight.unwrap_or_else(of_plan)
    }

    /// Returns the entitlement of `plan`, if it has one.
    pub fn entitlement_of(&self, plan: &str) -> Option<&Entitlement> {
        self.entitlements
            .entitlements
            .iter()
            .find(|row| row.plan == plan)
    }

    /// Returns whether `entitlement` lets work reach `pool` through one of its queues.
    pub fn reaches_pool(&self, entitlement: &Entitlement, pool: &str) -> bool {
        let queues = self.entitlements.queues.iter();
        queues
            .filter(|queue| entitlement.queues.contains(&queue.name))
            .any(|queue| queue.pools.iter().any(|name| name == pool))
    }
}
