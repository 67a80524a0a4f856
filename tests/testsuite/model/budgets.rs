//! No planned stop breaches an availability budget, with two entries that propose stops from
//! outdated states, instances that fail, and stops that are cancelled.

use hawthornladder::fleet::{InstanceRow, Standing};
use hawthornladder::ledger::{
    InstanceEntry, Ledger, ListsPatch, OperatorChange, PlannedStopReason, Record, SeatChange,
};
use hawthornladder::lists::{AvailabilityBudget, Entitlement, Lists, Plan, Pool, Queue};

use super::checker::{assert_found, assert_holds, explore, Explored};
use super::folds::FoldCache;
use super::rules::{Rules, Steps};
use super::world::{open_record, operator_record, World, SEATS};

const INSTANCES: [&str; 2] = ["w0", "w1"];
const POOL: &str = "p";
/// Instances that may be unavailable at once: half of the two.
const ALLOWED_COUNT: usize = 1;
const BREACH: &str = "a planned stop breached a budget";

/// The guard that a run disables.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Broken {
    Nothing,
    /// The budget allows every stop.
    Budget,
}

/// State of the instances, added to the shared state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Fleet {
    is_down: [bool; 2],
    /// Whether the ledger has recorded the instance as suspect (`doubtful`), with no recovery
    /// since.
    is_reported_down: [bool; 2],
    failures_left: u8,
    is_breached: bool,
}

type FleetWorld = World<Fleet>;

fn row(name: &str, incarnation: &str) -> InstanceRow {
    InstanceRow {
        name: name.into(),
        incarnation: incarnation.into(),
        address: "".into(),
        pool: POOL.into(),
        zone: "z".into(),
        rack: "r".into(),
        leaving: false,
        capacity: Default::default(),
        slots_count: 1,
    }
}

fn lists(unavailable_max_permille: u32) -> Lists {
    let mut lists = Lists::default();
    lists.plans.plans.push(Plan {
        name: "gold".into(),
        share_weight: 1,
        running_max_requests: 1,
        start_target_ms: 1,
        on_time_target_permille: 1,
        availability: AvailabilityBudget {
            pool_unavailable_max_permille: unavailable_max_permille,
            zone_unavailable_max_permille: unavailable_max_permille,
        },
    });
    lists.entitlements.pools.push(Pool {
        name: POOL.into(),
        is_spare: false,
        instances_min_count: 0,
    });
    lists.entitlements.queues.push(Queue {
        name: "maps".into(),
        pools: vec![POOL.into()],
        is_open_to_all: false,
        is_urgent: false,
    });
    lists.entitlements.entitlements.push(Entitlement {
        plan: "gold".into(),
        queues: vec!["maps".into()],
        request_max: Default::default(),
    });
    lists
}

fn records(broken: Broken) -> Vec<Record> {
    let lists = match broken {
        Broken::Nothing => lists(500),
        Broken::Budget => lists(1_000),
    };
    let publish = OperatorChange::Publish {
        base_version: 0,
        patch: Box::new(ListsPatch::between(&Lists::default(), &lists)),
    };
    let seen = INSTANCES.map(|name| SeatChange::InstanceSeen {
        row: row(name, "1"),
    });
    vec![
        operator_record(1, publish),
        open_record(0, &seen),
        open_record(1, &[]),
    ]
}

fn instance(ledger: &Ledger, index: usize) -> InstanceEntry {
    let entry = ledger.instances.get(INSTANCES[index]);
    entry.expect("the instance is in the ledger").clone()
}

/// Returns the changes that an entry may propose for one instance.
fn changes(ledger: &Ledger, fleet: &Fleet, index: usize) -> Vec<SeatChange> {
    let entry = instance(ledger, index);
    let (name, version) = (entry.row.name, entry.version);
    let report = |standing| SeatChange::Standing {
        name: name.clone(),
        incarnation: entry.row.incarnation.clone(),
        standing,
    };
    let claim = SeatChange::StopClaim {
        name: name.clone(),
        version,
        why: PlannedStopReason::Maintenance,
    };
    let cancel = SeatChange::StopCancel {
        name: name.clone(),
        version,
    };
    match entry.standing {
        Standing::Serving if fleet.is_down[index] => vec![claim, report(Standing::Doubtful)],
        Standing::Doubtful if !fleet.is_down[index] => vec![claim, report(Standing::Serving)],
        Standing::Serving | Standing::Doubtful => vec![claim],
        Standing::Draining if ledger.is_clean_at(entry.stop_offset) => {
            vec![cancel, SeatChange::StopProceed { name, version }]
        }
        Standing::Draining => vec![cancel],
        Standing::Stopped => vec![SeatChange::InstanceSeen {
            row: row(&name, "2"),
        }],
        Standing::Down => Vec::new(),
    }
}

fn add_failures(world: &FleetWorld, steps: &mut Steps<Fleet>) {
    for index in 0..INSTANCES.len() {
        let mut after = world.clone();
        let fleet = &mut after.extra;
        match fleet.is_down[index] {
            false if fleet.failures_left == 0 => continue,
            false => fleet.failures_left -= 1,
            true => {}
        }
        fleet.is_down[index] = !fleet.is_down[index];
        steps.push(("fails_or_recovers", index as u8, after));
    }
}

/// Records what the latest record did to the instances.
fn record_changes(folds: &FoldCache, before: &FleetWorld, after: &mut FleetWorld) {
    let (old, new) = (before.head(folds), after.head(folds));
    if old.next_offset == new.next_offset {
        return;
    }
    for index in 0..INSTANCES.len() {
        let (old, new) = (instance(&old, index), instance(&new, index));
        let is_reported_down = &mut after.extra.is_reported_down[index];
        match (old.standing, new.standing) {
            _ if old.row.incarnation != new.row.incarnation => *is_reported_down = false,
            (_, Standing::Doubtful) => *is_reported_down = true,
            (Standing::Doubtful, Standing::Serving) => *is_reported_down = false,
            _ => {}
        }
    }
    let is_lost = |index: &usize| {
        let is_serving = instance(&new, *index).standing == Standing::Serving;
        !is_serving || after.extra.is_reported_down[*index]
    };
    let lost_count = (0..INSTANCES.len()).filter(is_lost).count();
    let is_claimed = (0..INSTANCES.len()).any(|index| {
        let was = instance(&old, index).standing;
        was != Standing::Draining && instance(&new, index).standing == Standing::Draining
    });
    after.extra.is_breached |= is_claimed && lost_count > ALLOWED_COUNT;
}

fn run(broken: Broken) -> Explored {
    let folds = FoldCache::default();
    let own_steps = |world: &FleetWorld, steps: &mut Steps<Fleet>| {
        let rules = rules_of(&folds, &|_, _| ());
        for (_, _, after) in steps.iter_mut() {
            record_changes(&folds, world, after);
        }
        add_failures(world, steps);
        for entry in 0..SEATS.len() {
            if !rules.can_propose(world, entry) {
                continue;
            }
            let ledger = world.view(&folds, entry);
            for index in 0..INSTANCES.len() {
                for change in changes(&ledger, &world.extra, index) {
                    let mut after = world.clone();
                    after.propose(&folds, entry, ledger.next_offset, vec![change]);
                    steps.push(("proposes", entry as u8, after));
                }
            }
        }
    };
    let rules = rules_of(&folds, &own_steps);
    let fleet = Fleet {
        failures_left: 1,
        ..Fleet::default()
    };
    let start = FleetWorld::start(&folds, &records(broken), &[], 0, fleet);
    let violation = |world: &FleetWorld| world.extra.is_breached.then_some(BREACH);
    // A stop has proceeded, or a failure is recorded in the ledger.
    let is_done = |world: &FleetWorld| {
        let head = world.head(&folds);
        let stands = |standing| (0..2).any(|index| instance(&head, index).standing == standing);
        stands(Standing::Stopped) || stands(Standing::Doubtful)
    };
    explore(start, |world| rules.next(world), violation, is_done)
}

fn rules_of<'a>(
    folds: &'a FoldCache,
    own_steps: &'a dyn Fn(&FleetWorld, &mut Steps<Fleet>),
) -> Rules<'a, Fleet> {
    Rules {
        folds,
        ticks_max: 0,
        batches_max: [4, 3],
        has_refusals: false,
        on_fold: &|_, _| (),
        own_steps,
    }
}

#[test]
fn stops_stay_within_the_budget_in_every_state() {
    assert_holds("budgets", &run(Broken::Nothing));
}

#[test]
fn a_missing_budget_check_is_detected() {
    assert_found("budgets without judgement", &run(Broken::Budget), BREACH);
}
