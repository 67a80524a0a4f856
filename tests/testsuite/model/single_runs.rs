//! Non-idempotent work runs at most once, and "not run" is answered only if it is true, while the
//! caller repeats the request at both entries, attempts are lost and a holder is paused.

use hawthornladder::ledger::ClaimState;

use super::calls::{
    claim, end_claim, find, has_call_in_flight, on_fold, request_id, Call, CallState, CallWorld,
    Calls, TEAM,
};
use super::checker::{assert_found, assert_holds, explore, Explored};
use super::folds::FoldCache;
use super::rules::{Rules, Steps};
use super::world::{open_record, Phase, Task, SEATS};

const TWICE: &str = "work that must run at most once ran twice";
const FALSE_NOT_RUN: &str = "a caller was told not run of a call that ran";
const FALSE_RAN: &str = "the ledger reports work as run that never ran";

/// The guard that a run disables.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Broken {
    Nothing,
    /// An entry dispatches the work before it has read that its claim was accepted.
    Claim,
    /// An entry treats a lost outcome as a task that never started.
    LostOutcome,
    /// An entry answers "not run" for work that it has dispatched.
    SentIsNotRun,
}

/// A scenario.
#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    ticks_max: u8,
    calls_count: usize,
    batches_max: [u64; 2],
    repeats_count: u8,
    /// Whether the record that opens the first seat may be appended again.
    is_reopened: bool,
}

/// All calls are made within one tick, and one record may be appended twice.
const RACE: Scenario = Scenario {
    name: "single runs, race",
    ticks_max: 0,
    calls_count: 3,
    batches_max: [4; 2],
    repeats_count: 1,
    is_reopened: false,
};

/// The first entry is paused, and the second ends its seat.
const LAPSE: Scenario = Scenario {
    name: "single runs, lapse",
    ticks_max: 4,
    calls_count: 2,
    batches_max: [3, 4],
    repeats_count: 0,
    is_reopened: false,
};

/// Like `LAPSE`, and the record that opened the first seat is appended again.
const REOPENED: Scenario = Scenario {
    name: "single runs, reopened",
    calls_count: 1,
    batches_max: [2, 3],
    is_reopened: true,
    ..LAPSE
};

/// Adds the next call of an entry, as admission handles it.
fn add_call(
    rules: &Rules<'_, Calls>,
    scenario: Scenario,
    world: &CallWorld,
    entry: usize,
    steps: &mut Steps<Calls>,
) {
    let Some(call) = find(world, entry, Call::NotMade).filter(|call| *call < scenario.calls_count)
    else {
        return;
    };
    let ledger = world.view(rules.folds, entry);
    let row = ledger.claims.get(TEAM, &request_id());
    let is_free = row.is_none_or(|row| row.state == ClaimState::NotRun);
    let mut after = world.clone();
    if !is_free || has_call_in_flight(world, entry) {
        after.extra.calls[call].call = Call::Answered;
        steps.push(("refuses_duplicate", entry as u8, after));
        return;
    }
    after.extra.calls[call].call = Call::Claiming;
    match world.entries[entry].in_flight {
        // The claim of an earlier call is in flight, and covers this call too.
        Some(_) => steps.push(("joins_claim", entry as u8, after)),
        None if rules.can_propose(world, entry) => {
            after.propose(rules.folds, entry, 0, vec![claim()]);
            steps.push(("claims", entry as u8, after));
        }
        None => {}
    }
}

fn add_entry_steps(
    rules: &Rules<'_, Calls>,
    scenario: Scenario,
    broken: Broken,
    world: &CallWorld,
    entry: usize,
    steps: &mut Steps<Calls>,
) {
    let target = entry as u8;
    add_call(rules, scenario, world, entry, steps);
    for state in [Call::Claiming, Call::Waiting] {
        let Some(call) = find(world, entry, state) else {
            continue;
        };
        let mut after = world.clone();
        after.extra.calls[call].call = Call::AnsweredNotRun;
        if state == Call::Waiting {
            after.extra.ends[entry] = Some(ClaimState::NotRun);
        }
        steps.push(("gives_up", target, after));
        if state == Call::Waiting || broken == Broken::Claim {
            let mut after = world.clone();
            after.extra.calls[call].call = Call::Sent;
            after.dispatch(entry, 0, call as u8);
            steps.push(("dispatches", target, after));
        }
    }
    if let Some(call) = find(world, entry, Call::Sent) {
        let mut after = world.clone();
        after.extra.calls[call].call = match broken {
            Broken::SentIsNotRun => Call::AnsweredNotRun,
            _ => Call::Answered,
        };
        steps.push(("answers_unknown", target, after));
    }
    if !rules.can_propose(world, entry) {
        return;
    }
    if let Some(state) = world.extra.ends[entry] {
        let mut after = world.clone();
        after.extra.ends[entry] = None;
        after.propose(rules.folds, entry, 0, vec![end_claim(state)]);
        steps.push(("ends_claim", target, after));
    }
    if let Some(change) = rules.end_other_seat(world, entry).filter(|_| entry == 1) {
        let mut after = world.clone();
        after.propose(rules.folds, entry, 0, vec![change]);
        steps.push(("ends_seat", target, after));
    }
}

/// Adds the ways in which an entry learns the outcome of a task, or loses it.
fn add_outcomes(broken: Broken, world: &CallWorld, index: usize, steps: &mut Steps<Calls>) {
    let task = world.tasks[index];
    let entry = usize::from(task.by);
    let call = usize::from(task.label);
    let mut learn_outcome = |action, answer: Call, end: Option<ClaimState>| {
        let mut after = world.clone();
        after.tasks[index].is_counted = false;
        // A call that has been answered keeps its answer.
        if world.extra.calls[call].call == Call::Sent {
            after.extra.calls[call].call = answer;
        }
        after.extra.ends[entry] = end;
        steps.push((action, task.by, after));
    };
    let was_answered = world.extra.calls[call].call != Call::Sent;
    match task.phase {
        Phase::Ran => learn_outcome("learns_ran", Call::Answered, Some(ClaimState::Ran)),
        Phase::NeverStarted => {
            learn_outcome(
                "learns_not_started",
                Call::AnsweredNotRun,
                Some(ClaimState::NotRun),
            );
            if !was_answered {
                learn_outcome("will_retry", Call::Waiting, None);
            }
        }
        Phase::Sent | Phase::Running(_) => {}
    }
    match broken {
        Broken::LostOutcome => {
            learn_outcome(
                "loses_outcome",
                Call::AnsweredNotRun,
                Some(ClaimState::NotRun),
            );
        }
        _ => learn_outcome("loses_outcome", Call::Answered, Some(ClaimState::Unknown)),
    }
}

/// Counts the task starts that the shared steps produce.
fn count_starts(before: &CallWorld, after: &mut CallWorld) {
    let is_running = |task: &&Task| matches!(task.phase, Phase::Running(_));
    let started = |world: &CallWorld| -> Vec<u8> {
        world
            .tasks
            .iter()
            .filter(is_running)
            .map(|task| task.label)
            .collect()
    };
    let (old, new) = (started(before), started(after));
    if let (true, Some(label)) = (
        new.len() > old.len(),
        new.iter().find(|label| !old.contains(label)),
    ) {
        let calls = &mut after.extra;
        calls.starts_count = (calls.starts_count + 1).min(2);
        calls.calls[usize::from(*label)].has_started = true;
    }
}

fn violation(folds: &FoldCache, world: &CallWorld) -> Option<&'static str> {
    let calls = &world.extra;
    let is_false = |state: &CallState| state.call == Call::AnsweredNotRun && state.has_started;
    let ledger = world.head(folds);
    let row = ledger.claims.get(TEAM, &request_id());
    let says_ran = row.is_some_and(|row| row.state == ClaimState::Ran);
    match calls {
        Calls {
            starts_count: 2.., ..
        } => Some(TWICE),
        _ if calls.calls.iter().any(is_false) => Some(FALSE_NOT_RUN),
        _ if says_ran && calls.starts_count == 0 => Some(FALSE_RAN),
        _ => None,
    }
}

fn run(scenario: Scenario, broken: Broken) -> Explored {
    let folds = FoldCache::default();
    let on_fold = |world: &mut CallWorld, entry: usize| on_fold(&folds, world, entry);
    let own_steps = |world: &CallWorld, steps: &mut Steps<Calls>| {
        let rules = rules_of(&folds, scenario, &|_, _| (), &|_, _| ());
        for (_, _, after) in steps.iter_mut() {
            count_starts(world, after);
        }
        for entry in 0..SEATS.len() {
            add_entry_steps(&rules, scenario, broken, world, entry, steps);
        }
        for index in 0..world.tasks.len() {
            if world.tasks[index].is_counted {
                add_outcomes(broken, world, index, steps);
            }
        }
    };
    let rules = rules_of(&folds, scenario, &on_fold, &own_steps);
    let records = [open_record(0, &[]), open_record(1, &[])];
    let pending = match scenario.is_reopened {
        true => vec![open_record(0, &[])],
        false => Vec::new(),
    };
    let start = CallWorld::start(
        &folds,
        &records,
        &pending,
        scenario.repeats_count,
        Calls::default(),
    );
    // The work ran, and its claim is recorded as run, or as unknown after its seat ended.
    let is_done = |world: &CallWorld| {
        let ledger = world.head(&folds);
        let row = ledger.claims.get(TEAM, &request_id());
        let is_ended =
            row.is_some_and(|row| matches!(row.state, ClaimState::Ran | ClaimState::Unknown));
        is_ended && world.extra.starts_count == 1
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
    on_fold: &'a dyn Fn(&mut CallWorld, usize),
    own_steps: &'a dyn Fn(&CallWorld, &mut Steps<Calls>),
) -> Rules<'a, Calls> {
    Rules {
        folds,
        ticks_max: scenario.ticks_max,
        batches_max: scenario.batches_max,
        has_refusals: true,
        on_fold,
        own_steps,
    }
}

#[test]
fn work_runs_at_most_once_in_every_state() {
    for scenario in [RACE, LAPSE, REOPENED] {
        assert_holds(scenario.name, &run(scenario, Broken::Nothing));
    }
}

#[test]
fn a_dispatch_before_its_claim_is_accepted_is_detected() {
    let explored = run(RACE, Broken::Claim);
    assert_found("single runs without the claim", &explored, TWICE);
}

#[test]
fn a_lost_outcome_treated_as_not_run_is_detected() {
    let explored = run(RACE, Broken::LostOutcome);
    assert_found("single runs with lost outcomes", &explored, FALSE_NOT_RUN);
}

#[test]
fn a_false_not_run_answer_is_detected() {
    let explored = run(RACE, Broken::SentIsNotRun);
    assert_found("single runs with early answers", &explored, FALSE_NOT_RUN);
}
