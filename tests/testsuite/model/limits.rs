//! No team has more requests running than its upper limit allows, while parts of the limit are
//! taken, given away, and freed from a seat whose holder was paused.

use hawthornladder::ledger::{ListsPatch, OperatorChange, Record, SeatChange, TeamEscrow};
use hawthornladder::lists::{AvailabilityBudget, Lists, Plan, Team};

use super::checker::{assert_found, assert_holds, explore, Explored};
use super::folds::FoldCache;
use super::rules::{Rules, Steps};
use super::world::{open_record, operator_record, Phase, Task, World, SEATS};

const TEAM: &str = "t";
const TOO_MANY: &str = "a team has more running than its upper limit";

/// The guard that a run disables.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Broken {
    Nothing,
    /// An entry starts work without checking its lease.
    Lease,
    /// An entry uses a part of the limit until it has read that it gave that part away.
    GivenAway,
    /// An entry uses its part although the parts together exceed a lowered limit.
    Lowered,
    /// An entry stops counting a task of which it has lost track.
    LostTask,
}

/// A scenario; all of them together would have too many states.
#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    ticks_max: u8,
    limit_requests: u32,
    batches_max: [u64; 2],
    /// Number of records that may be appended twice.
    repeats_count: u8,
    /// Whether the entries give parts of the limit to each other.
    has_gifts: bool,
    /// Whether the second entry takes only what it frees from the first.
    is_second_watching: bool,
    /// Whether the record that opens the first seat may be appended again, even after that seat has
    /// ended.
    is_reopened: bool,
    /// Whether an operator lowers the limit to one request.
    is_lowered: bool,
}

/// The entries give parts to each other; there is no time for a lease to expire.
const GIFTS: Scenario = Scenario {
    name: "limits, gifts",
    ticks_max: 0,
    limit_requests: 2,
    batches_max: [5; 2],
    repeats_count: 1,
    has_gifts: true,
    is_second_watching: false,
    is_reopened: false,
    is_lowered: false,
};

/// Like `GIFTS`, while the limit is lowered.
const LOWERED: Scenario = Scenario {
    name: "limits, lowered",
    batches_max: [4; 2],
    repeats_count: 0,
    is_lowered: true,
    ..GIFTS
};

/// The first holder is paused, or its appends are delayed, and the second frees its part.
const LAPSE: Scenario = Scenario {
    name: "limits, lapse",
    ticks_max: 5,
    limit_requests: 1,
    batches_max: [3; 2],
    repeats_count: 0,
    has_gifts: false,
    is_second_watching: true,
    is_reopened: false,
    is_lowered: false,
};

/// Like `LAPSE`, and the record that opened the first seat is appended again.
const REOPENED: Scenario = Scenario {
    name: "limits, reopened",
    ticks_max: 4,
    is_reopened: true,
    ..LAPSE
};

/// Requests that each entry has given away in changes that it has not yet folded.
type PendingGifts = [u32; 2];

type TeamWorld = World<PendingGifts>;

fn lists(limit_requests: u32) -> Lists {
    let mut lists = Lists::default();
    lists.plans.plans.push(Plan {
        name: "p".into(),
        share_weight: 1,
        running_max_requests: limit_requests,
        start_target_ms: 1,
        on_time_target_permille: 1,
        availability: AvailabilityBudget {
            pool_unavailable_max_permille: 0,
            zone_unavailable_max_permille: 0,
        },
    });
    lists.plans.teams.push(Team {
        name: TEAM.into(),
        plan: "p".into(),
        running_max_requests: None,
        share_weight: None,
    });
    lists
}

fn publication(base_version: u64, old: &Lists, new: &Lists) -> Record {
    let patch = Box::new(ListsPatch::between(old, new));
    let change = OperatorChange::Publish {
        base_version,
        patch,
    };
    operator_record(base_version.into(), change)
}

fn limit_in_view(folds: &FoldCache, world: &TeamWorld, entry: usize) -> u32 {
    let ledger = world.view(folds, entry);
    ledger
        .escrow
        .get(TEAM)
        .map_or(0, |team| team.limit_requests)
}

/// Returns the part of the limit that an entry holds and has neither used nor given away.
fn unused_part(folds: &FoldCache, world: &TeamWorld, entry: usize, broken: Broken) -> u32 {
    let ledger = world.view(folds, entry);
    let parts = ledger.escrow.get(TEAM).map(|team| &team.parts);
    let part = parts.and_then(|parts| parts.get(SEATS[entry]));
    let gifts = match broken {
        Broken::GivenAway => 0,
        _ => world.extra[entry],
    };
    let running = world.counted(entry).count() as u32;
    part.map_or(0, |part| part.saturating_sub(gifts + running))
}

fn can_start(folds: &FoldCache, world: &TeamWorld, entry: usize, broken: Broken) -> bool {
    let ledger = world.view(folds, entry);
    let allowance = |team: &TeamEscrow| team.allowance_requests(SEATS[entry]);
    let is_allowed = ledger
        .escrow
        .get(TEAM)
        .is_some_and(|team| allowance(team) > 0);
    let has_lease = world.is_lease_valid(entry) || broken == Broken::Lease;
    has_lease
        && (is_allowed || broken == Broken::Lowered)
        && unused_part(folds, world, entry, broken) > 0
}

fn take() -> SeatChange {
    SeatChange::EscrowTake {
        team: TEAM.into(),
        wanted_requests: 1,
    }
}

fn give(to: usize) -> SeatChange {
    SeatChange::EscrowGive {
        team: TEAM.into(),
        to: Some(SEATS[to].into()),
        requests: 1,
    }
}

fn proposals(
    rules: &Rules<'_, PendingGifts>,
    world: &TeamWorld,
    entry: usize,
    unused_requests: u32,
    scenario: Scenario,
) -> Vec<TeamWorld> {
    if !rules.can_propose(world, entry) {
        return Vec::new();
    }
    let mut after = Vec::new();
    let mut propose = |changes: Vec<SeatChange>, gifts: u32| {
        let mut next = world.clone();
        next.extra[entry] += gifts;
        next.propose(rules.folds, entry, 0, changes);
        after.push(next);
    };
    let escrow = world.view(rules.folds, entry).escrow.clone();
    let has_free = escrow
        .get(TEAM)
        .is_some_and(|team| team.free_requests() > 0);
    let is_watching = scenario.is_second_watching && entry == 1;
    if world.entries[entry].lease_end_tick == world.now + 1 && !is_watching {
        propose(Vec::new(), 0);
    }
    if has_free && !is_watching {
        propose(vec![take()], 0);
    }
    if unused_requests > 0 && scenario.has_gifts {
        propose(vec![give(1 - entry)], 1);
    }
    if let Some(change) = rules.end_other_seat(world, entry) {
        propose(vec![change, take()], 0);
    }
    after
}

fn run(scenario: Scenario, broken: Broken) -> Explored {
    let folds = FoldCache::default();
    let add_steps = |world: &TeamWorld, steps: &mut Steps<PendingGifts>| {
        let rules = rules_of(&folds, scenario, &|_, _| (), &|_, _| ());
        for entry in 0..SEATS.len() {
            let unused_requests = unused_part(&folds, world, entry, broken);
            for after in proposals(&rules, world, entry, unused_requests, scenario) {
                steps.push(("proposes", entry as u8, after));
            }
            let is_within = world.tasks.len() <= scenario.limit_requests as usize;
            if is_within && can_start(&folds, world, entry, broken) {
                let mut after = world.clone();
                let limit_requests = limit_in_view(&folds, world, entry);
                after.dispatch(entry, 0, limit_requests as u8);
                steps.push(("dispatches", entry as u8, after));
            }
        }
        for (index, task) in world.tasks.iter().enumerate() {
            if task.is_counted && broken == Broken::LostTask {
                let mut after = world.clone();
                after.tasks[index].is_counted = false;
                steps.push(("stops_counting", task.by, after));
            }
        }
        // An entry that learns of each end at once may start the most, so this covers delayed
        // notice too.
        for (_, _, after) in steps {
            after.tasks.retain(Task::is_alive);
        }
    };
    let on_fold = |world: &mut TeamWorld, entry: usize| {
        if world.entries[entry].in_flight.is_none() {
            world.extra[entry] = 0;
        }
    };
    let rules = rules_of(&folds, scenario, &on_fold, &add_steps);
    let (before, after) = (lists(scenario.limit_requests), lists(1));
    let mut pending = Vec::new();
    if scenario.is_reopened {
        pending.push(open_record(0, &[]));
    }
    if scenario.is_lowered {
        pending.push(publication(1, &before, &after));
    }
    let records = [
        publication(0, &Lists::default(), &before),
        open_record(0, &[]),
        open_record(1, &[]),
    ];
    let start = TeamWorld::start(&folds, &records, &pending, scenario.repeats_count, [0, 0]);
    let violation = |world: &TeamWorld| {
        let is_running = |task: &&Task| matches!(task.phase, Phase::Running(_));
        let running_count = world.tasks.iter().filter(is_running).count();
        // No task may start beyond the limit that its entry has read.
        let limits = world.tasks.iter().filter(is_running).map(|task| task.label);
        let limit = limits.min().unwrap_or(u8::MAX);
        (running_count > usize::from(limit)).then_some(TOO_MANY)
    };
    // The second entry runs work under a part that the first one held.
    let is_done = |world: &TeamWorld| {
        let first_took = world.entries[0].seq > 1;
        first_took && world.tasks.iter().any(|task| task.by == 1)
    };
    explore(start, |world| rules.next(world), violation, is_done)
}

fn rules_of<'a>(
    folds: &'a FoldCache,
    scenario: Scenario,
    on_fold: &'a dyn Fn(&mut TeamWorld, usize),
    own_steps: &'a dyn Fn(&TeamWorld, &mut Steps<PendingGifts>),
) -> Rules<'a, PendingGifts> {
    Rules {
        folds,
        ticks_max: scenario.ticks_max,
        batches_max: scenario.batches_max,
        has_refusals: false,
        on_fold,
        own_steps,
    }
}

#[test]
fn the_limit_holds_in_every_state() {
    for scenario in [GIFTS, LOWERED, LAPSE, REOPENED] {
        let explored = run(scenario, Broken::Nothing);
        assert_holds(scenario.name, &explored);
    }
}

#[test]
fn a_start_without_a_lease_is_detected() {
    let explored = run(LAPSE, Broken::Lease);
    assert_found("limits without the lease", &explored, TOO_MANY);
}

#[test]
fn using_a_part_that_was_given_away_is_detected() {
    let explored = run(GIFTS, Broken::GivenAway);
    assert_found("limits without the reservation", &explored, TOO_MANY);
}

#[test]
fn a_start_beyond_a_lowered_limit_is_detected() {
    let explored = run(LOWERED, Broken::Lowered);
    assert_found("limits, lowered without the check", &explored, TOO_MANY);
}

#[test]
fn an_uncounted_lost_task_is_detected() {
    let explored = run(GIFTS, Broken::LostTask);
    assert_found("limits without lost tasks", &explored, TOO_MANY);
}
