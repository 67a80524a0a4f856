//! Admission control: teams that send more than their rates beside others, in one pool that can do
//! somewhat more than all rates together.

use std::collections::BTreeSet;

use hawthornladder::jobs::{JobId, JobSpec, JobState, SubmitOutcome};

use super::simulation::{job, step, Simulation};

/// Workers of the pool. A job takes 16 cores for 600 ms, so that they do some 11.7 jobs per second.
const WORKERS_COUNT: usize = 4;
/// Jobs per second that each of the four teams bought.
const WEIGHT: f64 = 2.5;
/// Time after its arrival by which a job should be complete, in milliseconds.
const TARGET_MS: u64 = 600 * 16 / 10 + 600;
/// Time from one job of a team to the next at 0.7 of its rate, in milliseconds.
const USUAL_GAP_MS: u64 = 570;
/// Greatest share of late jobs among those of teams within their rates, in percent.
const LATE_MAX_PERCENT: usize = 5;
/// Times after a refusal at which a refused caller retries, in milliseconds.
const RETRIES_MS: [u64; 4] = [700, 1_400, 2_100, 2_800];

const TEAMS: [&str; 4] = ["a", "b", "c", "d"];
/// Times from one job to the next of each team, with the first, or the first two, at seven times
/// their usual loads, in milliseconds.
const ONE_BUSY_MS: [u64; 4] = [USUAL_GAP_MS / 7, USUAL_GAP_MS, USUAL_GAP_MS, USUAL_GAP_MS];
const TWO_BUSY_MS: [u64; 4] = [
    USUAL_GAP_MS / 7,
    USUAL_GAP_MS / 7,
    USUAL_GAP_MS,
    USUAL_GAP_MS,
];
/// Length of an outage of the store, in milliseconds.
const OUTAGE_MS: u64 = 800;

/// What fails in the middle of a load.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    ChangeOfLeader,
    StoreOutage,
}

/// Plays a load once for each fault.
fn with_each_fault(play: impl Fn(&mut Load)) {
    for fault in [Fault::None, Fault::ChangeOfLeader, Fault::StoreOutage] {
        let mut load = Load::open();
        load.fault = fault;
        play(&mut load);
    }
}

fn usual_job() -> JobSpec {
    job(vec![step(4, 4_000, 600)])
}

/// A job as its caller sees it.
struct Call {
    id: JobId,
    team: &'static str,
    arrived_ms: u64,
    is_accepted: bool,
    is_done: bool,
    is_late: bool,
}

/// Callers of the four teams.
struct Load {
    simulation: Simulation,
    calls: Vec<Call>,
    /// Retries that are due, by time, with the index of the call.
    retries: BTreeSet<(u64, usize)>,
    has_retries: bool,
    /// Times of the refusals, in milliseconds.
    refusals_ms: Vec<u64>,
    retry_after_s: Vec<u64>,
    fault: Fault,
}

impl Load {
    fn open() -> Self {
        let mut simulation = Simulation::open(&["maps"], WORKERS_COUNT);
        simulation.set_weights(&TEAMS.map(|team| (team, WEIGHT)));
        simulation.advance(1_000);
        Self {
            simulation,
            calls: Vec::new(),
            retries: BTreeSet::new(),
            has_retries: false,
            refusals_ms: Vec::new(),
            retry_after_s: Vec::new(),
            fault: Fault::None,
        }
    }

    /// Submits a job of the usual size.
    fn call(&mut self, team: &'static str) {
        self.call_with(team, usual_job());
    }

    fn call_with(&mut self, team: &'static str, spec: JobSpec) {
        let number = self.calls.len();
        self.calls.push(Call {
            id: JobId(u64::try_from(number).expect("small") + 1),
            team,
            arrived_ms: self.simulation.now_ms,
            is_accepted: false,
            is_done: false,
            is_late: true,
        });
        if !self.try_call(number, spec) && self.has_retries {
            let now_ms = self.simulation.now_ms;
            let retries = RETRIES_MS.map(|after_ms| (now_ms + after_ms, number));
            self.retries.extend(retries);
        }
    }

    fn try_call(&mut self, number: usize, spec: JobSpec) -> bool {
        let call = &mut self.calls[number];
        let outcome = self.simulation.try_submit(call.id, call.team, "maps", spec);
        match outcome {
            SubmitOutcome::Pending | SubmitOutcome::Accepted => call.is_accepted = true,
            SubmitOutcome::TeamOverRate { retry_after_s } => {
                self.refusals_ms.push(self.simulation.now_ms);
                self.retry_after_s.push(retry_after_s);
            }
            _ => panic!("{outcome:?}"),
        }
        call.is_accepted
    }

    /// Advances the time while each team submits a job each `gaps_ms`; 0 for none.
    fn run(&mut self, for_ms: u64, gaps_ms: [u64; 4]) {
        for at_ms in (0..for_ms).step_by(10) {
            for (at, gap_ms) in (0u64..).zip(gaps_ms) {
                // The teams do not submit in the same instant.
                let is_due = gap_ms > 0 && (at_ms + at * 30) % gap_ms < 10;
                if is_due {
                    self.call(TEAMS[usize::try_from(at).expect("small")]);
                }
            }
            self.retry_due();
            self.advance();
        }
    }

    /// Runs a load with the fault in its middle. A new leader reads the lists later.
    fn run_with_fault(&mut self, for_ms: u64, gaps_ms: [u64; 4]) {
        self.run(for_ms / 2, gaps_ms);
        match self.fault {
            Fault::None => {}
            Fault::ChangeOfLeader => self.simulation.fail_over_without_lists(2),
            Fault::StoreOutage => self.simulation.is_store_unavailable = true,
        }
        self.run(OUTAGE_MS, gaps_ms);
        self.simulation.is_store_unavailable = false;
        self.simulation.list_all();
        self.run(for_ms - for_ms / 2 - OUTAGE_MS, gaps_ms);
    }

    fn retry_due(&mut self) {
        while let Some((due_ms, number)) = self.retries.first().copied() {
            if due_ms > self.simulation.now_ms {
                return;
            }
            self.retries.pop_first();
            if !self.calls[number].is_accepted {
                self.try_call(number, usual_job());
            }
        }
    }

    fn advance(&mut self) {
        self.simulation.advance(10);
        let now_ms = self.simulation.now_ms;
        for call in self.calls.iter_mut() {
            if call.is_accepted && !call.is_done {
                call.is_done = self.simulation.state(call.id) == Some(JobState::Complete);
                call.is_late = now_ms > call.arrived_ms + TARGET_MS;
            }
        }
    }

    /// Lets all accepted jobs end; guards against accepted jobs that are dropped.
    fn finish(&mut self) {
        self.run(20_000, [0; 4]);
        let is_done = |call: &Call| call.is_done || !call.is_accepted;
        assert!(
            self.calls.iter().all(is_done),
            "an accepted job is not done"
        );
    }

    fn count(&self, team: &str, test: impl Fn(&Call) -> bool) -> usize {
        let of_team = self.calls.iter().filter(|call| call.team == team);
        of_team.filter(|call| test(call)).count()
    }

    fn in_time_count(&self, team: &str) -> usize {
        self.count(team, |call| call.is_accepted && !call.is_late)
    }

    /// Checks that a busy team has its rate for some seconds, less one job in twenty.
    fn assert_has_its_rate(&self, team: &str, seconds: usize) {
        let in_time_count = self.in_time_count(team);
        let bought_count = seconds * 5 / 2;
        let is_met = in_time_count >= bought_count * 19 / 20;
        assert!(
            is_met,
            "{:?}: only {in_time_count} of {team} in time",
            self.fault
        );
    }

    /// Checks that the jobs of teams within their rates were accepted and are in time.
    fn assert_unharmed(&self, teams: &[&str]) {
        for team in teams {
            let all_count = self.count(team, |_| true);
            let refused_count = self.count(team, |call| !call.is_accepted);
            assert_eq!(refused_count, 0, "jobs of {team} were refused");
            let late_count = all_count - self.in_time_count(team);
            assert!(
                late_count * 100 <= all_count * LATE_MAX_PERCENT,
                "{:?}: {late_count} of {all_count} jobs of {team} are late",
                self.fault
            );
        }
    }
}

/// Guards against a busy team that makes the others late, and against one that is kept below its
/// own rate.
#[test]
fn a_team_at_seven_times_its_load_harms_nobody() {
    with_each_fault(|load| {
        load.run(5_000, [USUAL_GAP_MS; 4]);
        load.run_with_fault(24_000, ONE_BUSY_MS);
        load.finish();
        load.assert_unharmed(&["b", "c", "d"]);
        load.assert_has_its_rate("a", 24);
        assert!(load.refusals_ms.len() > 50);
        let seconds: BTreeSet<u64> = load.retry_after_s.iter().copied().collect();
        assert!(seconds.len() > 1 && seconds.iter().all(|s| (1..=5).contains(s)));
    });
}

/// Guards against two busy teams that push each other's work before that of the others.
#[test]
fn two_busy_teams_harm_nobody() {
    with_each_fault(|load| {
        load.run_with_fault(20_000, TWO_BUSY_MS);
        load.finish();
        load.assert_unharmed(&["c", "d"]);
        load.assert_has_its_rate("a", 20);
        load.assert_has_its_rate("b", 20);
    });
}

/// Guards against a pool that a busy team has filled when a team returns from nothing.
#[test]
fn a_team_that_returns_has_its_whole_rate_at_once() {
    with_each_fault(|load| {
        load.run(10_000, [USUAL_GAP_MS / 7, USUAL_GAP_MS, USUAL_GAP_MS, 0]);
        load.run_with_fault(10_000, [USUAL_GAP_MS / 7, USUAL_GAP_MS, USUAL_GAP_MS, 400]);
        load.finish();
        load.assert_unharmed(&["b", "c", "d"]);
    });
}

/// Guards against shares that drift apart when no team is within its rate.
#[test]
fn equal_teams_at_three_times_their_rates_get_the_same() {
    with_each_fault(|load| {
        // Gaps that are no part of the time between two tokens, so that no team meets each of its
        // own.
        load.run_with_fault(20_000, [127, 131, 137, 139]);
        load.finish();
        let counts = TEAMS.map(|team| load.in_time_count(team));
        let (least, most) = (counts.iter().min(), counts.iter().max());
        TEAMS
            .iter()
            .for_each(|team| load.assert_has_its_rate(team, 20));
        assert!(
            most <= least.map(|least| least * 5 / 4).as_ref(),
            "{counts:?}"
        );
    });
}

/// Guards against the refusal or the delay of one large job of a team within its rate.
#[test]
fn a_large_job_of_a_small_team_is_in_time_beside_a_busy_one() {
    let busy = [USUAL_GAP_MS / 7, USUAL_GAP_MS, USUAL_GAP_MS, 0];
    with_each_fault(|load| {
        // So long that one job whose end is recorded only after the outage is less than one in
        // twenty.
        load.run_with_fault(12_000, busy);
        // Three quarters of the pool for the length of a run.
        load.call_with("d", job(vec![step(24, 4_000, 600)]));
        load.run(12_000, busy);
        load.finish();
        load.assert_unharmed(&["b", "c", "d"]);
    });
}

/// Guards against a storm: retries of refused callers that cause further refusals, records, or late
/// jobs of others.
#[test]
fn retries_of_refused_callers_do_not_make_the_refusals_grow() {
    let refused = |load: &Load| load.count("a", |call| !call.is_accepted);
    with_each_fault(|load| {
        let mut once = Load::open();
        once.fault = load.fault;
        load.has_retries = true;
        for load in [&mut once, &mut *load] {
            load.run_with_fault(24_000, ONE_BUSY_MS);
            load.finish();
        }
        load.assert_unharmed(&["b", "c", "d"]);
        assert!(refused(load) <= refused(&once) * 21 / 20);
        load.assert_has_its_rate("a", 24);
        let start_ms = load.calls[0].arrived_ms;
        let within = |from_ms: u64| {
            let range = start_ms + from_ms..start_ms + from_ms + 8_000;
            let refusals = load.refusals_ms.iter();
            refusals.filter(|at| range.contains(at)).count()
        };
        assert!(within(16_000) <= within(8_000) * 11 / 10);
        let is_stored = |call: &Call| {
            let key = format!("j{}", call.id);
            load.simulation.stored.contains_key(key.as_str())
        };
        let is_right = |call: &Call| is_stored(call) == call.is_accepted;
        assert!(load.calls.iter().all(is_right));
    });
}

/// Guards against leaders that each give the busy team a fresh start.
#[test]
fn many_changes_of_leader_in_a_busy_time_harm_nobody() {
    let mut load = Load::open();
    load.run(8_000, ONE_BUSY_MS);
    for fence in 2..5 {
        load.simulation.fail_over_without_lists(fence);
        load.run(300, ONE_BUSY_MS);
        load.simulation.list_all();
        load.run(4_700, ONE_BUSY_MS);
    }
    load.finish();
    load.assert_unharmed(&["b", "c", "d"]);
    load.assert_has_its_rate("a", 23);
}

/// Fills the pool with the work of team `a` far over its rate.
fn fill(load: &mut Load) {
    for _ in 0..40 {
        load.call("a");
    }
    load.advance();
}

/// Returns whether the record of a job has a first arrival before its acceptance.
fn has_first_arrival(load: &Load, number: usize) -> bool {
    let key = format!("j{}", load.calls[number].id);
    let text = load.simulation.stored[key.as_str()].clone();
    String::from_utf8(text)
        .expect("text")
        .contains("\"arrived_unix_ms\"")
}

/// Guards against callers that gain time by being refused: the target of a job counts from its first
/// arrival, but not from one long ago, and not for more ids than the leader can keep.
#[test]
fn a_refused_id_keeps_its_first_arrival_for_a_time() {
    let mut load = Load::open();
    fill(&mut load);
    let (lately, long_ago) = (38, 39);
    assert!(!load.calls[lately].is_accepted && !load.calls[long_ago].is_accepted);
    load.run(4_500, [0; 4]);
    assert!(load.try_call(lately, usual_job()));
    load.run(500, [0; 4]);
    assert!(load.try_call(long_ago, usual_job()));
    load.run(100, [0; 4]);
    assert!(has_first_arrival(&load, lately) && !has_first_arrival(&load, long_ago));
    load.run(2_000, [0; 4]);
    fill(&mut load);
    let first = load.calls.len() - 1;
    (0..4_096).for_each(|_| load.call("a"));
    let last = load.calls.len() - 1;
    load.run(4_500, [0; 4]);
    assert!(load.try_call(first, usual_job()) && load.try_call(last, usual_job()));
    load.run(100, [0; 4]);
    assert!(!has_first_arrival(&load, first) && has_first_arrival(&load, last));
}

/// Guards against a new leader that gives a job more time than the one that accepted it: a job that
/// is late by its first arrival still goes after one that is not.
#[test]
fn a_first_arrival_outlives_a_change_of_leader() {
    let mut load = Load::open();
    fill(&mut load);
    load.run(4_000, [0; 4]);
    // Takes the tokens.
    (0..3).for_each(|_| load.call_with("a", job(vec![step(1, 100, 10)])));
    let (refused_before, other) = (39, load.calls.len());
    assert!(load.try_call(refused_before, usual_job()));
    load.call("a");
    // The whole pool: two of its workers went to standby while they were idle.
    load.call_with("b", job(vec![step(16, 4_000, 700)]));
    load.run(50, [0; 4]);
    load.simulation.fail_over(2);
    load.run(3_000, [0; 4]);
    let ids = [refused_before, other].map(|number| load.calls[number].id);
    let mut starts = load.simulation.starts.iter().map(|start| start.2.job);
    assert_eq!(starts.find(|id| ids.contains(id)), Some(ids[1]));
}

/// Guards against a refusal of a job that may already run.
#[test]
fn known_jobs_are_never_refused() {
    let mut load = Load::open();
    fill(&mut load);
    load.advance();
    load.simulation.fail_over(2);
    load.run(200, [0; 4]);
    fill(&mut load);
    assert!(!load.calls[79].is_accepted);
    let accepted = load.calls.iter().filter(|call| call.is_accepted);
    for (id, team) in accepted
        .map(|call| (call.id, call.team))
        .collect::<Vec<_>>()
    {
        let outcome = load.simulation.try_submit(id, team, "maps", usual_job());
        assert!(matches!(
            outcome,
            SubmitOutcome::Accepted | SubmitOutcome::Pending
        ));
    }
}

/// Returns the number of instances that a waiting job brings into its pool, once its arrival itself
/// no longer counts.
fn instances_brought(weight: f64) -> usize {
    let mut simulation = Simulation::open(&["maps"], 1);
    simulation.catalog.queues["maps"].target_latency_ms = 60_000;
    simulation.set_weights(&[("a", weight)]);
    simulation.submit_for("a", "maps", job(vec![step(1, 100, 50)]));
    simulation.advance(100);
    simulation.submit_for("a", "maps", job(vec![step(32, 16_000, 20_000)]));
    simulation.advance(4_000);
    for number in 0..16 {
        simulation.add_instance(&smol_str::format_smolstr!("spare-{number}"), "standby");
    }
    simulation.list_all();
    simulation.advance(1_000);
    simulation.orders.len()
}

/// Guards against instances that are paid for whatever a team sends: waiting work over the rate
/// counts a quarter.
#[test]
fn waiting_work_over_the_rate_brings_fewer_instances() {
    let (within, over) = (instances_brought(0.0), instances_brought(0.001));
    assert!(within >= 12 && over > 0, "{within} and {over}");
    assert!(over * 2 < within, "{within} and {over}");
}
