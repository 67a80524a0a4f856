//! Checks across the rows of one list: duplicate names, references to names that do not exist and
//! values that contradict each other.

use indexmap::IndexMap;

use crate::findings::{closest_name, FindingKind};
use crate::jsonc::Document;
use crate::lists::{Entitlement, Entitlements, MeasureWeights, Plans, Queue};

/// Largest ratio between two share weights that the slots of a fleet can still represent; a larger
/// one causes a warning.
const SHARE_RATIO_MAX: u32 = 1_000;

/// Checks the rows of the `plans` list against each other.
pub(crate) fn check_plans(document: &Document<'_>, plans: &Plans) {
    refuse_empty(document, "plans", plans.plans.len());
    refuse_empty(document, "teams", plans.teams.len());
    let plan_names = || plans.plans.iter().map(|plan| plan.name.as_str());
    refuse_duplicates(document, "plans", "name", plan_names());
    let team_names = plans.teams.iter().map(|team| team.name.as_str());
    refuse_duplicates(document, "teams", "name", team_names);
    for (index, team) in plans.teams.iter().enumerate() {
        let path = format!("teams[{index}].plan");
        refuse_dangling(document, &path, "plan", &team.plan, plan_names());
    }
    check_plan_rows(document, plans);
    check_share_ratio(document, plans);
    if plans.measure_weights
        == (MeasureWeights {
            buffer_cost: 0,
            roll_out_time: 0,
            moves: 0,
            share_nearness: 0,
        })
    {
        document.error(
            FindingKind::CannotHold,
            "measure_weights",
            "all four weights are 0, so decisions cannot be compared",
            "write at least one weight above 0",
        );
    }
}

fn check_plan_rows(document: &Document<'_>, plans: &Plans) {
    for (index, plan) in plans.plans.iter().enumerate() {
        let path = format!("plans[{index}]");
        if plan.on_time_target_permille == 1_000 {
            document.warn(
                &format!("{path}.on_time_target_permille"),
                "a single late or failed request misses a target of 1000 thousandths",
                "write 999 or less, unless this is what customers bought",
            );
        }
        if plan.availability.pool_unavailable_max_permille == 1_000 {
            document.warn(
                &format!("{path}.availability.pool_unavailable_max_permille"),
                "the budget lets whole pools be unavailable",
                "write 500 or less, unless this is what customers bought",
            );
        }
        if !plan.name.is_empty() && !plans.teams.iter().any(|team| team.plan == plan.name) {
            document.warn(
                &path,
                &format!("no team is on plan `{}`", plan.name),
                "add a team, or remove the plan",
            );
        }
    }
}

/// Warns of weights so far apart that the smaller share comes to less than one slot.
fn check_share_ratio(document: &Document<'_>, plans: &Plans) {
    let weights = plans.teams.iter().enumerate().filter_map(|(index, team)| {
        let plan = plans.plans.iter().find(|plan| plan.name == team.plan)?;
        Some((index, team.share_weight.unwrap_or(plan.share_weight)))
    });
    let Some((_, largest)) = weights.clone().max_by_key(|(_, weight)| *weight) else {
        return;
    };
    for (index, weight) in weights.filter(|(_, weight)| largest / weight > SHARE_RATIO_MAX) {
        document.warn(
            &format!("teams[{index}]"),
            &format!("the share weight {weight} is less than a thousandth of the largest, {largest}"),
            "write weights that are closer together; this team would get almost no slots when the fleet is full",
        );
    }
}

/// Checks the rows of the `entitlements` list against each other.
pub(crate) fn check_entitlements(document: &Document<'_>, entitlements: &Entitlements) {
    refuse_empty(document, "pools", entitlements.pools.len());
    refuse_empty(document, "queues", entitlements.queues.len());
    let pool_names = entitlements.pools.iter().map(|pool| pool.name.as_str());
    refuse_duplicates(document, "pools", "name", pool_names);
    let queue_names = entitlements.queues.iter().map(|queue| queue.name.as_str());
    refuse_duplicates(document, "queues", "name", queue_names);
    let plan_names = entitlements
        .entitlements
        .iter()
        .map(|row| row.plan.as_str());
    refuse_duplicates(document, "entitlements", "plan", plan_names);
    for (index, queue) in entitlements.queues.iter().enumerate() {
        check_queue(document, entitlements, index, queue);
    }
    check_pools(document, entitlements);
    check_entitlement_rows(document, entitlements);
}

fn check_queue(document: &Document<'_>, entitlements: &Entitlements, index: usize, queue: &Queue) {
    let path = format!("queues[{index}]");
    let pools_path = format!("{path}.pools");
    refuse_empty(document, &pools_path, queue.pools.len());
    refuse_duplicates(
        document,
        &pools_path,
        "",
        queue.pools.iter().map(|name| name.as_str()),
    );
    for (at, name) in queue.pools.iter().enumerate() {
        let path = format!("{pools_path}[{at}]");
        let names = entitlements.pools.iter().map(|pool| pool.name.as_str());
        refuse_dangling(document, &path, "pool", name, names);
        if entitlements
            .pools
            .iter()
            .any(|pool| pool.name == *name && pool.is_spare)
        {
            document.error(
                FindingKind::CannotHold,
                &path,
                &format!("pool `{name}` is spare and runs no work of its own"),
                "name a pool that is not spare, or remove `is_spare` from the pool",
            );
        }
    }
    if queue.is_open_to_all && queue.is_urgent {
        document.error(
            FindingKind::CannotHold,
            &format!("{path}.is_urgent"),
            "a queue that is open to all has no plan, and so no start target to meet",
            "remove `is_urgent` or `is_open_to_all`",
        );
    }
    let is_entitled = |row: &Entitlement| row.queues.contains(&queue.name);
    if !queue.is_open_to_all && !entitlements.entitlements.iter().any(is_entitled) {
        document.warn(
            &path,
            &format!("no plan may use queue `{}`", queue.name),
            "add it to an entitlement, set `is_open_to_all`, or remove it",
        );
    }
}

fn check_pools(document: &Document<'_>, entitlements: &Entitlements) {
    for (index, pool) in entitlements.pools.iter().enumerate() {
        let is_used = || {
            entitlements
                .queues
                .iter()
                .any(|queue| queue.pools.contains(&pool.name))
        };
        match (pool.is_spare, pool.instances_min_count) {
            (false, 0) => document.error(
                FindingKind::CannotHold,
                &format!("pools[{index}].instances_min_count"),
                "a pool that runs work cannot do so on 0 instances",
                "write at least 1, or set `is_spare`",
            ),
            (false, _) if !is_used() => document.warn(
                &format!("pools[{index}]"),
                &format!("no queue uses pool `{}`", pool.name),
                "name it in a queue, set `is_spare`, or remove it",
            ),
            _ => {}
        }
    }
}

fn check_entitlement_rows(document: &Document<'_>, entitlements: &Entitlements) {
    for (index, row) in entitlements.entitlements.iter().enumerate() {
        let queues_path = format!("entitlements[{index}].queues");
        refuse_empty(document, &queues_path, row.queues.len());
        let queues = || row.queues.iter().map(|name| name.as_str());
        refuse_duplicates(document, &queues_path, "", queues());
        for (at, name) in queues().enumerate() {
            let path = format!("{queues_path}[{at}]");
            let names = entitlements.queues.iter().map(|queue| queue.name.as_str());
            refuse_dangling(document, &path, "queue", name, names);
            let queue = entitlements.queues.iter().find(|queue| queue.name == name);
            if queue.is_some_and(|queue| queue.is_open_to_all) {
                document.warn(
                    &path,
                    &format!("queue `{name}` is open to all, so no plan needs it"),
                    "remove it here, or `is_open_to_all` from the queue",
                );
            }
        }
    }
}

/// Reports an error if the array at `path` has no elements.
pub(crate) fn refuse_empty(document: &Document<'_>, path: &str, count: usize) {
    if count == 0 && document.has(path) {
        document.error(
            FindingKind::CannotHold,
            path,
            "the array is empty",
            "write at least one element",
        );
    }
}

/// Reports an error for each name that occurs more than once among the rows at `path`. `field` is
/// the field that holds the name of a row; it is empty if the elements are the names.
pub(crate) fn refuse_duplicates<'n>(
    document: &Document<'_>,
    path: &str,
    field: &str,
    names: impl Iterator<Item = &'n str>,
) {
    let mut first_at: IndexMap<&str, String> = IndexMap::new();
    for (index, name) in names.enumerate().filter(|(_, name)| !name.is_empty()) {
        let at = match field {
            "" => format!("{path}[{index}]"),
            field => format!("{path}[{index}].{field}"),
        };
        match first_at.get(name) {
            Some(first) => document.error(
                FindingKind::Duplicate,
                &at,
                &format!("`{name}` is already on line {}", document.line_of(first)),
                "write another name, or remove one of the two",
            ),
            None => {
                first_at.insert(name, at);
            }
        }
    }
}

/// Reports an error if `name` is not among `names`. `what` says what the name refers to.
pub(crate) fn refuse_dangling<'n>(
    document: &Document<'_>,
    path: &str,
    what: &str,
    name: &str,
    names: impl Iterator<Item = &'n str> + Clone,
) {
    if name.is_empty() || names.clone().any(|known| known == name) {
        return;
    }
    let instead = match closest_name(name, names.filter(|known| !known.is_empty())) {
        Some(closest) => format!("write `{closest}`, or add the {what}"),
        None => format!("add the {what}, or name one that exists"),
    };
    document.error(
        FindingKind::DanglingReference,
        path,
        &format!("there is no {what} `{name}`"),
        &instead,
    );
}
