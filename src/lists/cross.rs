//! Checks across both lists: references from entitlements to plans, and budgets and targets that
//! the pools and queues of a plan cannot meet.

use crate::findings::FindingKind;
use crate::jsonc::Document;
use crate::lists::checks::refuse_dangling;
use crate::lists::{Entitlement, Lists, Plan};

/// Smallest start target that an urgent queue may have, in milliseconds. An entry learns by gossip
/// (every 200 ms by default) that another entry has freed a slot, and may then need a second
/// attempt.
const URGENT_START_TARGET_MIN_MS: u64 = 400;

/// Checks the two lists against each other.
pub(crate) fn check_both(
    plans_document: &Document<'_>,
    entitlements_document: &Document<'_>,
    lists: &Lists,
) {
    for (index, row) in lists.entitlements.entitlements.iter().enumerate() {
        let path = format!("entitlements[{index}].plan");
        let names = lists.plans.plans.iter().map(|plan| plan.name.as_str());
        refuse_dangling(entitlements_document, &path, "plan", &row.plan, names);
    }
    for (index, plan) in lists.plans.plans.iter().enumerate() {
        let path = format!("plans[{index}]");
        match lists.entitlement_of(&plan.name) {
            Some(entitlement) => {
                check_budget(plans_document, &path, lists, plan, entitlement);
                check_start_target(plans_document, &path, lists, plan, entitlement);
            }
            None if plan.name.is_empty() => {}
            None => refuse_unentitled(plans_document, &path, lists, plan),
        }
    }
}

/// Reports a plan without an entitlement: an error if it has teams, otherwise a warning.
fn refuse_unentitled(plans_document: &Document<'_>, path: &str, lists: &Lists, plan: &Plan) {
    let problem = format!("plan `{}` has no entitlement", plan.name);
    let instead = "add a row for it to `entitlements`";
    match lists.plans.teams.iter().any(|team| team.plan == plan.name) {
        true => plans_document.error(FindingKind::CannotHold, path, &problem, instead),
        false => plans_document.warn(path, &problem, instead),
    }
}

/// Reports an error if the availability budget would not allow a single instance of a pool to be
/// stopped while the pool has its minimum number of instances.
fn check_budget(
    plans_document: &Document<'_>,
    path: &str,
    lists: &Lists,
    plan: &Plan,
    entitlement: &Entitlement,
) {
    let pools = lists.entitlements.pools.iter();
    for pool in pools.filter(|pool| lists.reaches_pool(entitlement, &pool.name)) {
        let count = pool.instances_min_count;
        let refuse = |field: &str| {
            plans_document.error(
                FindingKind::CannotHold,
                &format!("{path}.availability.{field}"),
                &format!(
                    "of the {count} instances that pool `{}` has at least, the budget allows less \
                     than one to be unavailable, so none could be stopped for maintenance",
                    pool.name
                ),
                &format!(
                    "write at least {}, or raise the pool's `instances_min_count`",
                    1_000_u32.div_ceil(count)
                ),
            );
        };
        if count > 0 && plan.availability.pool_unavailable_max_count(count) == 0 {
            refuse("pool_unavailable_max_permille");
        }
        // At best all instances of the pool are in one zone.
        if count > 0 && plan.availability.zone_unavailable_max_count(count) == 0 {
            refuse("zone_unavailable_max_permille");
        }
    }
}

/// Reports an error if a plan with an urgent queue has a start target that is too short to be met.
fn check_start_target(
    plans_document: &Document<'_>,
    path: &str,
    lists: &Lists,
    plan: &Plan,
    entitlement: &Entitlement,
) {
    let path = format!("{path}.start_target_ms");
    let urgent = lists
        .entitlements
        .queues
        .iter()
        .find(|queue| queue.is_urgent && entitlement.queues.contains(&queue.name));
    match urgent {
        Some(queue) if plan.start_target_ms < URGENT_START_TARGET_MIN_MS => {
            plans_document.error(
                FindingKind::CannotHold,
                &path,
                &format!(
                    "requests of urgent queue `{}` cannot be sure to start within {} ms",
                    queue.name, plan.start_target_ms
                ),
                &format!("write at least {URGENT_START_TARGET_MIN_MS}"),
            );
        }
        _ => {}
    }
}
