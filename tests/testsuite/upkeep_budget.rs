//! Availability budgets: planned stops never breach a budget, for any order of accepted stops and
//! failures.

use hawthornladder::fleet::Standing;
use hawthornladder::lists::{
    AvailabilityBudget, Entitlement, Entitlements, Lists, Plan, Plans, Pool, Queue,
};
use hawthornladder::upkeep::budget::{
    allowed_count, can_assign, can_release, check_stop, strictest_budget, BudgetBreach, BudgetView,
    PoolBudget, RackRule, UNBOUND_POOL_UNAVAILABLE_MAX_PERMILLE,
};
use hawthornladder::upkeep::counts::{is_planned_stop, FleetCounts, Member};
use hawthornladder::upkeep::keys::{InstanceKey, PoolKey, RackKey, ZoneKey};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const ZONES_COUNT: u32 = 3;
const RACK_SIZE: u32 = 4;
const POOLS_COUNT: u32 = 3;
const INSTANCES_COUNT: u32 = 72;

fn member_at(index: u32) -> Member {
    let rack = index / RACK_SIZE;
    Member {
        pool: PoolKey((index % POOLS_COUNT) as u16),
        zone: ZoneKey((rack % ZONES_COUNT) as u16),
        rack: RackKey(rack),
        standing: Standing::Serving,
    }
}

fn fleet() -> FleetCounts {
    let mut counts = FleetCounts::new();
    for index in 0..INSTANCES_COUNT {
        counts.add(InstanceKey(index), member_at(index));
    }
    counts
}

fn budget(pool_permille: u32, zone_permille: u32, min: u32) -> PoolBudget {
    PoolBudget {
        availability: AvailabilityBudget {
            pool_unavailable_max_permille: pool_permille,
            zone_unavailable_max_permille: zone_permille,
        },
        instances_min_count: min,
        racks: RackRule::One,
    }
}

/// Runs `check` on random input that is the same in every run.
fn check_all<S: Strategy>(strategy: S, check: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    let config = Config {
        cases: 256,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(config, rng)
        .run(&strategy, check)
        .unwrap();
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Stop(u32),
    Finish(u32),
    SetStanding(u32, Standing),
    Release(u32, u16),
    Leave(u32),
    Join(u32),
}

fn step() -> impl Strategy<Value = Step> {
    let instance = 0..INSTANCES_COUNT;
    let failure = prop_oneof![
        Just(Standing::Doubtful),
        Just(Standing::Down),
        Just(Standing::Serving)
    ];
    prop_oneof![
        6 => instance.clone().prop_map(Step::Stop),
        3 => instance.clone().prop_map(Step::Finish),
        2 => (instance.clone(), failure).prop_map(|(key, standing)| Step::SetStanding(key, standing)),
        2 => (instance.clone(), 0..POOLS_COUNT as u16).prop_map(|(key, to)| Step::Release(key, to)),
        1 => instance.clone().prop_map(Step::Leave),
        1 => instance.prop_map(Step::Join),
    ]
}

/// Counts the unavailable instances and all instances for which `of` holds, by iterating over the
/// whole fleet.
fn unavailable(counts: &FleetCounts, of: impl Fn(&Member) -> bool) -> (u32, u32) {
    let members: Vec<Member> = counts
        .members()
        .map(|(_, member)| member)
        .filter(of)
        .collect();
    let down = members
        .iter()
        .filter(|member| !member.standing.is_available());
    (down.count() as u32, members.len() as u32)
}

fn assert_within_budget(counts: &FleetCounts, budget: &PoolBudget, member: Member) {
    let limits = budget.availability;
    let (down, size) = unavailable(counts, |other| other.pool == member.pool);
    assert!(down <= allowed_count(size, limits.pool_unavailable_max_permille));
    let in_zone = |other: &Member| other.pool == member.pool && other.zone == member.zone;
    let (down, size) = unavailable(counts, in_zone);
    assert!(down <= allowed_count(size, limits.zone_unavailable_max_permille));
}

fn assert_above_minimum(counts: &FleetCounts, budget: &PoolBudget, member: Member) {
    let (down, size) = unavailable(counts, |other| other.pool == member.pool);
    assert!(size - down >= budget.instances_min_count);
}

fn planned_racks(counts: &FleetCounts, pool: PoolKey) -> Vec<RackKey> {
    let mut racks: Vec<RackKey> = counts
        .members()
        .filter(|(_, member)| member.pool == pool && is_planned_stop(member.standing))
        .map(|(_, member)| member.rack)
        .collect();
    racks.sort();
    racks.dedup();
    racks
}

fn apply(counts: &mut FleetCounts, budgets: &[PoolBudget], step: Step) {
    let view = BudgetView { counts, budgets };
    match step {
        Step::Stop(key) if check_stop(&view, InstanceKey(key)).is_ok() => {
            let member = counts.member(InstanceKey(key)).unwrap();
            let racks_before = planned_racks(counts, member.pool);
            counts.change(InstanceKey(key), Standing::Draining);
            assert_within_budget(counts, &budgets[member.pool.index()], member);
            assert_above_minimum(counts, &budgets[member.pool.index()], member);
            assert_racks_within_budget(
                counts,
                &budgets[member.pool.index()],
                member,
                &racks_before,
            );
        }
        Step::Finish(key) => match counts.member(InstanceKey(key)) {
            Some(member) if is_planned_stop(member.standing) => {
                counts.change(InstanceKey(key), Standing::Serving);
            }
            _ => {}
        },
        Step::SetStanding(key, standing) => match counts.member(InstanceKey(key)) {
            Some(member) if !is_planned_stop(member.standing) => {
                counts.change(InstanceKey(key), standing);
            }
            _ => {}
        },
        Step::Release(key, to) => release(counts, budgets, InstanceKey(key), PoolKey(to)),
        Step::Leave(key) => {
            counts.remove(InstanceKey(key));
        }
        Step::Join(key) if counts.member(InstanceKey(key)).is_none() => {
            counts.add(InstanceKey(key), member_at(key));
        }
        Step::Stop(_) | Step::Join(_) => {}
    }
}

fn assert_racks_within_budget(
    counts: &FleetCounts,
    budget: &PoolBudget,
    member: Member,
    racks_before: &[RackKey],
) {
    let racks = planned_racks(counts, member.pool);
    if racks.len() <= 1 || racks_before.contains(&member.rack) {
        return;
    }
    let lost = |other: &Member| !other.standing.is_available() || racks.contains(&other.rack);
    let (_, lost_count) = unavailable(counts, |other| other.pool == member.pool && lost(other));
    let (_, size) = unavailable(counts, |other| other.pool == member.pool);
    let allowed = allowed_count(size, budget.availability.pool_unavailable_max_permille);
    assert!(
        lost_count <= allowed,
        "{lost_count} of {size} instances unavailable if {racks:?} fail, allowed: {allowed}"
    );
}

fn release(counts: &mut FleetCounts, budgets: &[PoolBudget], key: InstanceKey, to: PoolKey) {
    let view = BudgetView { counts, budgets };
    if can_release(&view, key).is_err() {
        return;
    }
    let member = counts.member(key).unwrap();
    counts.change(key, Standing::Draining);
    assert_within_budget(counts, &budgets[member.pool.index()], member);
    assert_above_minimum(counts, &budgets[member.pool.index()], member);
    let view = BudgetView { counts, budgets };
    if can_assign(&view, key, to, Standing::Stopped).is_err() {
        return;
    }
    counts.assign(key, to, Standing::Stopped);
    assert_within_budget(counts, &budgets[member.pool.index()], member);
    let joined = counts.member(key).unwrap();
    assert_within_budget(counts, &budgets[to.index()], joined);
}

#[test]
fn no_accepted_stop_breaches_a_budget() {
    let budgets =
        (0..400u32, 0..700u32, 0..24u32).prop_map(|(pool, zone, min)| budget(pool, zone, min));
    let strategy = (
        proptest::collection::vec(budgets, POOLS_COUNT as usize),
        proptest::collection::vec(step(), 0..200),
    );
    check_all(strategy, |(budgets, steps)| {
        let mut counts = fleet();
        for step in steps {
            apply(&mut counts, &budgets, step);
        }
        Ok(())
    });
}

#[test]
fn incremental_counts_equal_a_full_recount() {
    check_all(proptest::collection::vec(step(), 0..200), |steps| {
        let mut counts = fleet();
        for step in steps {
            apply(
                &mut counts,
                &[budget(300, 500, 0); POOLS_COUNT as usize],
                step,
            );
        }
        let mut recount = FleetCounts::new();
        for (key, member) in counts.members() {
            recount.add(key, member);
        }
        for pool in 0..POOLS_COUNT as u16 {
            prop_assert_eq!(counts.pool(PoolKey(pool)), recount.pool(PoolKey(pool)));
        }
        Ok(())
    });
}

#[test]
fn a_budget_of_less_than_one_instance_allows_no_stop() {
    let counts = fleet();
    // A pool has 24 members, so 41 thousandths are 0.98 of an instance.
    let budgets = [budget(41, 1000, 0); POOLS_COUNT as usize];
    let view = BudgetView {
        counts: &counts,
        budgets: &budgets,
    };
    for index in 0..INSTANCES_COUNT {
        let verdict = check_stop(&view, InstanceKey(index));
        assert!(matches!(verdict, Err(BudgetBreach::PoolBudget { .. })));
    }
}

#[test]
fn a_suspect_instance_counts_against_the_budget() {
    let mut counts = fleet();
    let budgets = [budget(42, 1000, 0); POOLS_COUNT as usize];
    counts.change(InstanceKey(0), Standing::Doubtful);
    let view = BudgetView {
        counts: &counts,
        budgets: &budgets,
    };
    let expected = BudgetBreach::PoolBudget {
        unavailable_count: 2,
        allowed_count: 1,
        members_count: 24,
    };
    assert_eq!(check_stop(&view, InstanceKey(3)), Err(expected));
    assert_eq!(check_stop(&view, InstanceKey(1)), Ok(()));
}

#[test]
fn a_pool_without_a_budget_allows_no_stop() {
    let counts = fleet();
    let view = BudgetView {
        counts: &counts,
        budgets: &[],
    };
    assert!(check_stop(&view, InstanceKey(0)).is_err());
}

fn plan(name: &str, pool_permille: u32, zone_permille: u32) -> Plan {
    Plan {
        name: name.into(),
        share_weight: 1,
        running_max_requests: 1,
        start_target_ms: 1,
        on_time_target_permille: 0,
        availability: budget(pool_permille, zone_permille, 0).availability,
    }
}

#[test]
fn each_limit_of_a_pool_comes_from_the_strictest_plan() {
    let pool = |name: &str| Pool {
        name: name.into(),
        is_spare: false,
        instances_min_count: 2,
    };
    let queue = |name: &str, pool: &str| Queue {
        name: name.into(),
        pools: vec![pool.into()],
        is_open_to_all: false,
        is_urgent: false,
    };
    let entitlement = |plan: &str, queue: &str| Entitlement {
        plan: plan.into(),
        queues: vec![queue.into()],
        request_max: Default::default(),
    };
    let lists = Lists {
        plans: Plans {
            plans: vec![plan("a", 100, 500), plan("b", 200, 300), plan("c", 0, 0)],
            ..Plans::default()
        },
        entitlements: Entitlements {
            pools: vec![pool("used"), pool("other"), pool("spare")],
            queues: vec![queue("q", "used"), queue("r", "other")],
            entitlements: vec![
                entitlement("a", "q"),
                entitlement("b", "q"),
                entitlement("c", "r"),
            ],
            ..Entitlements::default()
        },
    };
    assert_eq!(strictest_budget(&lists, &pool("used")), budget(100, 300, 2));
    assert_eq!(strictest_budget(&lists, &pool("other")), budget(0, 0, 2));
    let unbound = UNBOUND_POOL_UNAVAILABLE_MAX_PERMILLE;
    assert_eq!(
        strictest_budget(&lists, &pool("spare")),
        budget(unbound, unbound, 2)
    );
}
