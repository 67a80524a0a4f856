//! Types of the two lists. A value that was read from a file has passed the checks of
//! [`crate::lists`].

use serde::{Deserialize, Serialize};

use crate::fleet::{PlanName, PoolName, QueueName, Resources, TeamName};

/// Both lists, as published together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lists {
    /// What each customer bought.
    pub plans: Plans,
    /// What each plan may use.
    pub entitlements: Entitlements,
}

/// The list of what each customer bought.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plans {
    /// The plans on offer.
    pub plans: Vec<Plan>,
    /// The teams, each on one plan.
    pub teams: Vec<Team>,
    /// Relative weights of the four measures in this deployment.
    #[serde(default)]
    pub measure_weights: MeasureWeights,
}

/// A plan: targets, share, upper limit and availability budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Unique name.
    pub name: PlanName,
    /// Weight of each team of the plan when capacity is shared out under full load.
    pub share_weight: u32,
    /// Requests that one team of the plan may have running at once across the whole fleet.
    pub running_max_requests: u32,
    /// Time within which an urgent request must start, in milliseconds.
    pub start_target_ms: u64,
    /// Fraction of the requests that must end before their deadline, in thousandths.
    pub on_time_target_permille: u32,
    /// How much of each pool that the plan uses may be unavailable at the same time.
    pub availability: AvailabilityBudget,
}

/// How much of a pool may be unavailable at the same time, counting planned stops and failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AvailabilityBudget {
    /// Fraction of a pool's instances, in thousandths.
    pub pool_unavailable_max_permille: u32,
    /// Fraction of a pool's instances in one availability zone, in thousandths.
    pub zone_unavailable_max_permille: u32,
}

impl AvailabilityBudget {
    /// Returns how many of a pool's `instances_count` instances may be unavailable at the same
    /// time.
    pub fn pool_unavailable_max_count(&self, instances_count: u32) -> u32 {
        fraction_rounded_down(instances_count, self.pool_unavailable_max_permille)
    }

    /// Returns how many of a pool's `instances_count` instances in one availability zone may be
    /// unavailable at the same time.
    pub fn zone_unavailable_max_count(&self, instances_count: u32) -> u32 {
        fraction_rounded_down(instances_count, self.zone_unavailable_max_permille)
    }
}

fn fraction_rounded_down(count: u32, fraction_permille: u32) -> u32 {
    let fraction = u64::from(count) * u64::from(fraction_permille) / 1_000;
    u32::try_from(fraction).unwrap_or(u32::MAX)
}

/// A team: a group of one customer's users who submit requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Unique name.
    pub name: TeamName,
    /// Plan that the team bought.
    pub plan: PlanName,
    /// Upper limit that replaces the plan's, if the team bought a different one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub running_max_requests: Option<u32>,
    /// Weight that replaces the plan's, if the team bought a different one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share_weight: Option<u32>,
}

/// Weights of the four measures; only their ratios matter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MeasureWeights {
    /// Weight of the cost of spare instances.
    pub buffer_cost: u32,
    /// Weight of the duration of a roll-out.
    pub roll_out_time: u32,
    /// Weight of the number of moves of instances between pools.
    pub moves: u32,
    /// Weight of how close each team comes to its share.
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
    /// Hours after its last maintenance at which an instance is due again; 0 means never.
    pub every_hours: u32,
    /// Every instance that was last maintained before this time is due, in milliseconds since the
    /// Unix epoch; 0 means none. Setting it to the present time starts a roll-out.
    pub due_before_unix_ms: u64,
}

impl Maintenance {
    /// Returns the time in milliseconds since the Unix epoch: an instance is due if it was last
    /// maintained before it. Returns `None` if no instance is due.
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
    /// Whether the pool holds spare instances for other pools and runs no work itself.
    #[serde(default)]
    pub is_spare: bool,
    /// Minimum number of instances in the pool.
    pub instances_min_count: u32,
}

/// A queue in which requests of one kind wait.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Queue {
    /// Unique name.
    pub name: QueueName,
    /// Pools that run the queue's work, in order of preference.
    pub pools: Vec<PoolName>,
    /// Whether the queue accepts requests without a key.
    #[serde(default)]
    pub is_open_to_all: bool,
    /// Whether the queue's requests must start within the plan's start target.
    #[serde(default)]
    pub is_urgent: bool,
}

/// What one plan may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entitlement {
    /// Plan that the entitlement belongs to.
    pub plan: PlanName,
    /// Queues that the plan's teams may use.
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

    /// Returns the upper limit of running requests of `team` across the whole fleet.
    pub fn running_max_requests(&self, team: &Team) -> u32 {
        let plan_value = || {
            self.plan_of(&team.name)
                .map_or(0, |plan| plan.running_max_requests)
        };
        team.running_max_requests.unwrap_or_else(plan_value)
    }

    /// Returns the share weight of `team`.
    pub fn share_weight(&self, team: &Team) -> u32 {
        let plan_value = || self.plan_of(&team.name).map_or(0, |plan| plan.share_weight);
        team.share_weight.unwrap_or_else(plan_value)
    }

    /// Returns the entitlement of `plan`, if it has one.
    pub fn entitlement_of(&self, plan: &str) -> Option<&Entitlement> {
        self.entitlements
            .entitlements
            .iter()
            .find(|row| row.plan == plan)
    }

    /// Returns whether one of the queues of `entitlement` may run its work in `pool`.
    pub fn reaches_pool(&self, entitlement: &Entitlement, pool: &str) -> bool {
        let queues = self.entitlements.queues.iter();
        queues
            .filter(|queue| entitlement.queues.contains(&queue.name))
            .any(|queue| queue.pools.iter().any(|name| name == pool))
    }
}
