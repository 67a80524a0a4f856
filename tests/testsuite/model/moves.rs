//! An instance never has work of two pools at once, and a planned stop interrupts no work, with a
//! holder that is paused, has lost the log, or reads it late.

use hawthornladder::fleet::{InstanceRow, Standing};
use hawthornladder::ledger::{
    InstanceEntry, ListsPatch, OperatorChange, PlannedStopReason, Record, SeatChange,
};
use hawthornladder::lists::{Lists, Pool};

use super::checker::{assert_found, assert_holds, explore, Explored};
use super::folds::FoldCache;
use super::rules::{Rules, Steps};
use super::world::{open_record, operator_record, Task, World, SEATS};

const INSTANCE: &str = "w";
const POOLS: [&str; 2] = ["p", "q"];
const TWO_POOLS: &str = "an instance has work under two pools";
const WORK_CUT_OFF: &str = "a planned stop cut work off";

/// The guard that a run disables.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Broken {
    Nothing,
    /// A renewal names the latest offset, regardless of the tasks still in flight.
    CleanOffset,
    /// An entry dispatches work without a lease, as long as it reads the head of the log.
    Lease,
}

/// A scenario.
#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    ticks_max: u8,
    batches_max: [u64; 2],
    repeats_count: u8,
    is_move: bool,
    /// Entry that moves or stops the instance, and ends the other's seat.
    mover: usize,
    /// Whether the mover may cancel the move or stop.
    has_cancels: bool,
}

/// Both entries are live and read late, while the first moves the instance.
const MOVE: Scenario = Scenario {
    name: "moves, race",
    ticks_max: 0,
    batches_max: [4, 3],
    repeats_count: 0,
    is_move: true,
    mover: 0,
    has_cancels: true,
};

/// Like `MOVE`, for a planned stop.
const STOP: Scenario = Scenario {
    name: "moves, stop",
    is_move: false,
    ..MOVE
};

/// The first entry is paused or cut off from the log; the second ends its seat and moves the
/// instance.
const LAPSE: Scenario = Scenario {
    name: "moves, lapse",
    ticks_max: 5,
    batches_max: [2, 5],
    mover: 1,
    has_cancels: false,
    ..MOVE
};

/// Like `LAPSE`, with a first entry that proposes nothing, which keeps the search for a violation
/// short.
const NO_PROPOSALS: Scenario = Scenario {
    name: "moves, no proposals",
    ticks_max: 4,
    batches_max: [1, 5],
    ..LAPSE
};

/// Tick at which each entry last read the head of the log.
type HeadKnownTicks = [u8; 2];

type MoveWorld = World<HeadKnownTicks>;

fn records() -> Vec<Record> {
    let mut lists = Lists::default();
    for pool in POOLS {
        lists.entitlements.pools.push(Pool {
            name: pool.into(),
            is_spare: false,
            instances_min_count: 0,
        });
    }
    let patch = Box::new(ListsPatch::between(&Lists::default(), &lists));
    let publish = OperatorChange::Publish {
        base_version: 0,
        patch,
    };
    let seen = |name: &str| SeatChange::InstanceSeen { row: row_of(name) };
    // The other two instances keep the pool within the default budget, which holds without a plan.
    let all_seen = [seen(INSTANCE), seen("w2"), seen("w3")];
    vec![
        operator_record(1, publish),
        open_record(0, &all_seen),
        open_record(1, &[]),
    ]
}

fn row_of(name: &str) -> InstanceRow {
    InstanceRow {
        name: name.into(),
        incarnation: "1".into(),
        address: "".into(),
        pool: POOLS[0].into(),
        zone: "z".into(),
        rack: "r".into(),
        leaving: false,
        capacity: Default::default(),
        slots_count: 1,
    }
}

fn instance(folds: &FoldCache, world: &MoveWorld, entry: usize) -> InstanceEntry {
    let ledger = world.view(folds, entry);
    ledger
        .instances
        .get(INSTANCE)
        .expect("the instance is in the ledger")
        .clone()
}

/// Returns the offset below which no decision of the entry still has a task in flight.
fn clean_offset(folds: &FoldCache, world: &MoveWorld, entry: usize, broken: Broken) -> u64 {
    let latest = world.view(folds, entry).next_offset;
    let row = instance(folds, world, entry);
    let is_held = |task: &Task| row.stop.is_some() && task.decided_offset <= row.stop_offset;
    match broken {
        Broken::CleanOffset => latest,
        _ if world.counted(entry).any(is_held) => row.stop_offset,
        _ => latest,
    }
}

/// Returns the changes that an entry may propose for the instance.
fn changes(
    folds: &FoldCache,
    world: &MoveWorld,
    entry: usize,
    scenario: Scenario,
) -> Vec<SeatChange> {
    let row = instance(folds, world, entry);
    let (name, version) = (row.row.name, row.version);
    let is_clean = world.view(folds, entry).is_clean_at(row.stop_offset);
    match (row.standing, row.stop) {
        (Standing::Serving, _) if row.row.pool != POOLS[0] => Vec::new(),
        (Standing::Serving, _) if scenario.is_move => vec![SeatChange::PoolRelease {
            name,
            version,
            to_pool: POOLS[1].into(),
        }],
        (Standing::Serving, _) => vec![SeatChange::StopClaim {
            name,
            version,
            why: PlannedStopReason::Maintenance,
        }],
        (Standing::Draining, Some(PlannedStopReason::Move(_))) if is_clean => {
            vec![SeatChange::PoolAssign { name, version }]
        }
        (Standing::Draining, Some(PlannedStopReason::Maintenance)) if is_clean => {
            vec![SeatChange::StopProceed { name, version }]
        }
        (Standing::Draining, _) if scenario.has_cancels => {
            vec![SeatChange::StopCancel { name, version }]
        }
        _ => Vec::new(),
    }
}

fn add_proposals(
    rules: &Rules<'_, HeadKnownTicks>,
    scenario: Scenario,
    broken: Broken,
    world: &MoveWorld,
    entry: usize,
    steps: &mut Steps<HeadKnownTicks>,
) {
    if !rules.can_propose(world, entry) {
        return;
    }
    let clean = clean_offset(rules.folds, world, entry, broken);
    let mut propose = |action, changes: Vec<SeatChange>| {
        let mut after = world.clone();
        after.propose(rules.folds, entry, clean, changes);
        steps.push((action, entry as u8, after));
    };
    let is_mover = scenario.mover == entry;
    if scenario.has_cancels || !is_mover {
        propose("renews", Vec::new());
    }
    for change in changes(rules.folds, world, entry, scenario) {
        if is_mover {
            propose("changes", vec![change]);
        }
    }
    if let Some(change) = rules.end_other_seat(world, entry).filter(|_| is_mover) {
        propose("ends_seat", vec![change]);
    }
}

fn add_dispatch(
    folds: &FoldCache,
    broken: Broken,
    world: &MoveWorld,
    entry: usize,
    steps: &mut Steps<HeadKnownTicks>,
) {
    let row = instance(folds, world, entry);
    let may_start = match broken {
        Broken::Lease => world.extra[entry] == world.now,
        _ => world.is_lease_valid(entry),
    };
    let has_own = world.counted(entry).next().is_some();
    if row.standing != Standing::Serving || !may_start || has_own {
        return;
    }
    let pool = u8::from(row.row.pool == POOLS[1]);
    let decided_offset = world.view(folds, entry).next_offset;
    let mut after = world.clone();
    after.dispatch(entry, decided_offset, pool);
    steps.push(("dispatches", entry as u8, after));
}

fn add_head_read(world: &MoveWorld, entry: usize, steps: &mut Steps<HeadKnownTicks>) {
    let is_at_head = world.entries[entry].view + 1 == world.chain.len();
    if is_at_head && world.extra[entry] < world.now {
        let mut after = world.clone();
        after.extra[entry] = world.now;
        steps.push(("reads_head", entry as u8, after));
    }
}

fn violation(folds: &FoldCache, world: &MoveWorld) -> Option<&'static str> {
    let has = |pool: u8| {
        world
            .tasks
            .iter()
            .any(|task| task.is_alive() && task.label == pool)
    };
    let head = world.head(folds);
    let standing = head.instances.get(INSTANCE).map(|row| row.standing);
    match standing {
        _ if has(0) && has(1) => Some(TWO_POOLS),
        Some(Standing::Stopped) if has(0) || has(1) => Some(WORK_CUT_OFF),
        _ => None,
    }
}

fn run(scenario: Scenario, broken: Broken) -> Explored {
    let folds = FoldCache::default();
    let own_steps = |world: &MoveWorld, steps: &mut Steps<HeadKnownTicks>| {
        let rules = rules_of(&folds, scenario, &|_, _| ());
        for entry in 0..SEATS.len() {
            add_proposals(&rules, scenario, broken, world, entry, steps);
            add_dispatch(&folds, broken, world, entry, steps);
            if broken == Broken::Lease {
                add_head_read(world, entry, steps);
            }
        }
        // An entry that learns of each end at once holds back the least, so this covers delayed
        // notice too.
        for (_, _, after) in steps {
            after.tasks.retain(Task::is_alive);
        }
    };
    let rules = rules_of(&folds, scenario, &own_steps);
    let start = MoveWorld::start(&folds, &records(), &[], scenario.repeats_count, [0, 0]);
    // Work runs under the new pool, or a stop has proceeded.
    let is_done = |world: &MoveWorld| {
        let is_stopped = |row: &InstanceEntry| row.standing == Standing::Stopped;
        let head = world.head(&folds);
        world.tasks.iter().any(|task| task.label == 1)
            || head.instances.get(INSTANCE).is_some_and(is_stopped)
    };
    explore(
        start,
        |world| rules.next(world),
        |world| violation(&folds, world),
        is_done,
    )
}

fn rules_of<'a>(
    folds: &'a FoldCache,
    scenario: Scenario,
    own_steps: &'a dyn Fn(&MoveWorld, &mut Steps<HeadKnownTicks>),
) -> Rules<'a, HeadKnownTicks> {
    Rules {
        folds,
        ticks_max: scenario.ticks_max,
        batches_max: scenario.batches_max,
        has_refusals: false,
        on_fold: &|_, _| (),
        own_steps,
    }
}

#[test]
fn an_instance_serves_one_pool_in_every_state() {
    for scenario in [MOVE, STOP, LAPSE] {
        assert_holds(scenario.name, &run(scenario, Broken::Nothing));
    }
}

#[test]
fn a_renewal_with_too_high_a_clean_offset_is_detected() {
    let explored = run(MOVE, Broken::CleanOffset);
    assert_found("moves without clean offsets", &explored, TWO_POOLS);
    let explored = run(STOP, Broken::CleanOffset);
    assert_found("stops without clean offsets", &explored, WORK_CUT_OFF);
}

#[test]
fn a_dispatch_without_a_lease_is_detected() {
    let explored = run(NO_PROPOSALS, Broken::Lease);
    assert_found("moves without the lease", &explored, TWO_POOLS);
}
