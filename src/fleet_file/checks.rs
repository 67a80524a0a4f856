//! Checks of a fleet file: its rows against each other, and the fleet against both lists.

use crate::findings::FindingKind;
use crate::fleet_file::{DemandStream, FleetFile};
use crate::jsonc::Document;
use crate::lists::checks::{refuse_dangling, refuse_duplicates, refuse_empty};
use crate::lists::{Lists, Plan, Queue, Team};

/// Checks the rows of a fleet file against each other.
pub(crate) fn check(document: &Document<'_>, fleet: &FleetFile) {
    refuse_empty(document, "zones", fleet.zones.len());
    refuse_empty(document, "pools", fleet.pools.len());
    let zone_names = || fleet.zones.iter().map(|zone| zone.name.as_str());
    refuse_duplicates(document, "zones", "name", zone_names());
    let pool_names = fleet.pools.iter().map(|pool| pool.name.as_str());
    refuse_duplicates(document, "pools", "name", pool_names);
    for (index, pool) in fleet.pools.iter().enumerate() {
        let path = format!("pools[{index}].zones");
        refuse_empty(document, &path, pool.zones.len());
        let names = || pool.zones.iter().map(|name| name.as_str());
        refuse_duplicates(document, &path, "", names());
        for (at, name) in names().enumerate() {
            refuse_dangling(
                document,
                &format!("{path}[{at}]"),
                "zone",
                name,
                zone_names(),
            );
        }
    }
    for (index, stream) in fleet.demand.iter().enumerate() {
        if stream.run_ms >= stream.deadline_ms {
            document.error(
                FindingKind::CannotHold,
                &format!("demand[{index}].deadline_ms"),
                "the mean run time reaches the deadline, so few requests could end on time",
                &format!("write more than {}, the `run_ms`", stream.run_ms),
            );
        }
    }
}

/// Checks a fleet against both lists; findings about a plan go to the `plans` file.
pub(crate) fn check_with_lists(
    fleet_document: &Document<'_>,
    plans_document: &Document<'_>,
    fleet: &FleetFile,
    lists: &Lists,
) {
    check_pools(fleet_document, fleet, lists);
    for (index, stream) in fleet.demand.iter().enumerate() {
        let check = StreamCheck {
            document: fleet_document,
            path: format!("demand[{index}]"),
            stream,
            fleet,
            lists,
        };
        check.run();
    }
    for (index, plan) in lists.plans.plans.iter().enumerate() {
        check_zone_budget(plans_document, index, plan, fleet, lists);
    }
    check_limits(plans_document, fleet, lists);
}

fn check_pools(fleet_document: &Document<'_>, fleet: &FleetFile, lists: &Lists) {
    for (index, row) in fleet.pools.iter().enumerate() {
        let path = format!("pools[{index}]");
        let mut pools = lists.entitlements.pools.iter();
        let names = pools.clone().map(|pool| pool.name.as_str());
        refuse_dangling(
            fleet_document,
            &format!("{path}.name"),
            "pool",
            &row.name,
            names,
        );
        let min_count = pools
            .find(|pool| pool.name == row.name)
            .map_or(0, |pool| pool.instances_min_count);
        if row.instances_count < min_count {
            fleet_document.error(
                FindingKind::CannotHold,
                &format!("{path}.instances_count"),
                &format!("the pool must have at least {min_count} instances"),
                &format!("write {min_count} or more, or lower the pool's `instances_min_count`"),
            );
        }
    }
    for pool in &lists.entitlements.pools {
        let is_in_fleet = fleet.pools.iter().any(|row| row.name == pool.name);
        if !is_in_fleet && !pool.name.is_empty() && pool.instances_min_count > 0 {
            fleet_document.error(
                FindingKind::CannotHold,
                "pools",
                &format!(
                    "pool `{}` must have at least {} instances, but the fleet has none",
                    pool.name, pool.instances_min_count
                ),
                "add the pool, or remove it from `entitlements`",
            );
        }
    }
}

/// Check of one demand stream.
struct StreamCheck<'c> {
    document: &'c Document<'c>,
    path: String,
    stream: &'c DemandStream,
    fleet: &'c FleetFile,
    lists: &'c Lists,
}

impl StreamCheck<'_> {
    fn run(&self) {
        let entitlements = &self.lists.entitlements;
        let queue_names = entitlements.queues.iter().map(|queue| queue.name.as_str());
        let path = format!("{}.queue", self.path);
        refuse_dangling(
            self.document,
            &path,
            "queue",
            &self.stream.queue,
            queue_names,
        );
        if let Some(team) = &self.stream.team {
            let team_names = self.lists.plans.teams.iter().map(|row| row.name.as_str());
            let path = format!("{}.team", self.path);
            refuse_dangling(self.document, &path, "team", team, team_names);
        }
        let mut queues = entitlements.queues.iter();
        if let Some(queue) = queues.find(|queue| queue.name == self.stream.queue) {
            self.check_team(queue);
            self.check_size(queue);
        }
    }

    fn check_team(&self, queue: &Queue) {
        let plan = |team: &str| self.lists.plan_of(team);
        let entitled = |team: &str| self.lists.entitlement_of(&plan(team)?.name);
        match &self.stream.team {
            _ if queue.is_open_to_all => {}
            None => self.error(
                FindingKind::MissingField,
                "team",
                &format!(
                    "queue `{}` does not accept requests without a key",
                    queue.name
                ),
                "add the team that sends the requests",
            ),
            Some(team) => match entitled(team) {
                Some(row) if !row.queues.contains(&queue.name) => self.error(
                    FindingKind::CannotHold,
                    "queue",
                    &format!("team `{team}` may not use queue `{}`", queue.name),
                    "name a queue of the team's plan, or add the queue to the plan's entitlement",
                ),
                Some(row) if !self.stream.size.fits_in(&row.request_max) => self.error(
                    FindingKind::CannotHold,
                    "size",
                    "the size is more than the plan's `request_max`",
                    "write a smaller size, or raise the plan's `request_max`",
                ),
                _ => {}
            },
        }
    }

    fn check_size(&self, queue: &Queue) {
        let mut pools = self
            .fleet
            .pools
            .iter()
            .filter(|pool| queue.pools.contains(&pool.name))
            .peekable();
        let has_pools = pools.peek().is_some();
        if has_pools && !pools.any(|pool| self.stream.size.fits_in(&pool.capacity)) {
            self.error(
                FindingKind::CannotHold,
                "size",
                "no worker in the queue's pools is large enough, so the requests could never run",
                "write a size that fits in the `capacity` of one of these pools",
            );
        }
    }

    fn error(&self, kind: FindingKind, field: &str, problem: &str, instead: &str) {
        let path = format!("{}.{field}", self.path);
        self.document.error(kind, &path, problem, instead);
    }
}

/// Reports an error if the budget would not allow a single instance of a pool to be unavailable in
/// the zone with the fewest instances.
fn check_zone_budget(
    plans_document: &Document<'_>,
    index: usize,
    plan: &Plan,
    fleet: &FleetFile,
    lists: &Lists,
) {
    let Some(entitlement) = lists.entitlement_of(&plan.name) else {
        return;
    };
    for pool in &lists.entitlements.pools {
        let counts = fleet.count_by_zone(&pool.name);
        let smallest = counts.iter().min_by_key(|(_, count)| **count);
        match smallest {
            Some((zone, count))
                if lists.reaches_pool(entitlement, &pool.name)
                    && plan.availability.zone_unavailable_max_count(*count) == 0 =>
            {
                plans_document.error(
                    FindingKind::CannotHold,
                    &format!("plans[{index}].availability.zone_unavailable_max_permille"),
                    &format!(
                        "pool `{}` has {count} instances in zone `{zone}`, of which the budget \
                         allows less than one to be unavailable",
                        pool.name
                    ),
                    &format!("write at least {}", 1_000_u32.div_ceil(*count)),
                );
            }
            _ => {}
        }
    }
}

/// Warns of upper limits that are below a team's share, and of shares of less than one slot.
fn check_limits(plans_document: &Document<'_>, fleet: &FleetFile, lists: &Lists) {
    let is_spare = |name: &str| {
        let mut pools = lists.entitlements.pools.iter();
        pools.any(|pool| pool.name == name && pool.is_spare)
    };
    let slots_count: u64 = fleet
        .pools
        .iter()
        .filter(|pool| !is_spare(&pool.name))
        .map(|pool| u64::from(pool.instances_count) * u64::from(pool.slots_count))
        .sum();
    let weight = |team: &Team| u64::from(lists.share_weight(team));
    let weights: u64 = lists.plans.teams.iter().map(weight).sum();
    for (index, team) in lists.plans.teams.iter().enumerate() {
        let share_slots = slots_count * weight(team) / weights.max(1);
        let limit = u64::from(lists.running_max_requests(team));
        if share_slots == 0 {
            plans_document.warn(
                &format!("teams[{index}]"),
                "the team's share of the fleet is less than one slot",
                "raise its share weight, or lower those of the others",
            );
        } else if limit < share_slots {
            plans_document.warn(
                &format!("teams[{index}]"),
                &format!("the upper limit of {limit} is below the share of {share_slots} slots"),
                "raise the upper limit, or lower the share weight",
            );
        }
    }
}
