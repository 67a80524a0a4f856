//! Workers that start again under their ids and are cut off soon after, while long tasks run. The new
//! incarnation has a clock of its own, and may take calls that were meant for the one before.

use std::sync::Arc;

use hawthornladder::jobs::{
    InstanceState, JobId, JobKey, PollOrder, RunKey, StartOrder, StepSpec, Target, TaskKey,
    TaskName,
};
use smol_str::SmolStr;

use super::links::Reach;
use super::simulation::{job, long_running, step, Simulation, STEP_MS};

/// Age of the first incarnations at the restart, in milliseconds: more than the longest lease.
const AGE_MS: u64 = 15_000;
/// Time after which the leader has acted on what it was shown, in milliseconds.
const ACTED_MS: u64 = 500;
/// Time in which all leases of a worker that is cut off end, in milliseconds.
const CUT_MS: u64 = 15_000;
/// Run time of tasks that do not end in a test, in milliseconds.
const RUN_MS: u64 = 60_000;
/// Time in which polls fail before the list of instances is read, in milliseconds.
const SILENT_MS: u64 = 3_000;

/// Opens a simulation of old incarnations; returns the id of the worker that gets the first task.
fn open_aged() -> (Simulation, SmolStr) {
    let mut simulation = Simulation::open(&["maps"], 2);
    simulation.advance(AGE_MS);
    let first = simulation.workers.keys().next().expect("a worker").clone();
    (simulation, first)
}

fn submit_long_task(simulation: &mut Simulation) -> JobId {
    simulation.submit("maps", job(vec![step(1, 1_000, RUN_MS)]))
}

/// Returns the order of the first task of a job that was meant for the incarnation that started at this
/// time, of the worker that is being polled.
fn former_start(simulation: &Simulation, started_unix_ms: u64) -> StartOrder {
    let task = TaskKey {
        job: JobKey(0),
        round: 0,
        step: 0,
        index: 0,
    };
    StartOrder {
        target: Target {
            started_unix_ms,
            ..simulation.polls[0].0.target.clone()
        },
        run: RunKey { task, run: 1 },
        name: TaskName::parse("0000000000000001.0.0.0").expect("a name"),
        spec: Arc::new(job(vec![step(1, 1_000, RUN_MS)])),
        lease_end_worker_ms: AGE_MS,
        checkpoint: SmolStr::default(),
        ticket: None,
    }
}

/// Guards against a task that runs twice: an idle worker restarts, the leader starts a task there and
/// counts its lease on the clock of the former incarnation, and the worker is cut off at once.
#[test]
fn the_lease_of_a_start_that_a_new_incarnation_takes_is_counted_in_full() {
    for loses_answers in [false, true] {
        let (mut simulation, first) = open_aged();
        simulation.restart(&first);
        simulation.workers[&first].loses_answers = loses_answers;
        let id = submit_long_task(&mut simulation);
        simulation.advance_until(ACTED_MS, |simulation| !simulation.starts.is_empty());
        assert_eq!(simulation.runs_of(id)[0].0, first);
        simulation.workers[&first].is_disconnected = true;
        simulation.advance(CUT_MS);
        assert_eq!(simulation.runs_of(id).len(), 1);
    }
}

/// Guards against a task that runs twice: a new incarnation accepts its start before the leader has learnt of
/// the restart, and a poll that was on its way extends its lease once more, inside a cut.
#[test]
fn the_lease_of_a_poll_that_meets_an_unknown_incarnation_late_is_counted() {
    /// Time from the cut to the arrival of the poll, in milliseconds.
    const LATE_MS: u64 = 3_000;
    /// Time in which all leases end that late calls may give, in milliseconds.
    const LATE_LEASES_MS: u64 = 23_000;
    let (mut simulation, first) = open_aged();
    submit_long_task(&mut simulation);
    simulation.advance(ACTED_MS);
    let former: PollOrder = simulation.polls[0].0.clone();
    assert!(former.lease_end_worker_ms.is_some());
    assert_eq!(former.target.id, first);
    simulation.restart(&first);
    let id = submit_long_task(&mut simulation);
    simulation.advance_until(ACTED_MS, |simulation| simulation.starts.len() == 2);
    assert_eq!(simulation.runs_of(id)[0].0, first);
    simulation.workers[&first].is_disconnected = true;
    simulation.advance(LATE_MS);
    simulation.receive_poll(&former);
    simulation.advance(LATE_LEASES_MS);
    assert_eq!(simulation.runs_of(id).len(), 1);
    assert_ne!(simulation.runs_of(id)[0].0, first);
}

/// Guards against a task that is lost and started elsewhere although a new incarnation has accepted it
/// before the leader has learnt of the restart.
#[test]
fn a_run_that_a_new_incarnation_has_accepted_stays_there() {
    let (mut simulation, first) = open_aged();
    simulation.restart(&first);
    let id = submit_long_task(&mut simulation);
    simulation.advance(AGE_MS);
    assert_eq!(simulation.runs_of(id).len(), 1);
    assert_eq!(simulation.runs_of(id)[0].0, first);
    assert_eq!(simulation.starts.len(), 1);
}

/// Guards against a task that runs twice: a poll that was meant for the former incarnation arrives in the
/// new one, and extends its leases to the longest time, as its clock has only begun.
#[test]
fn a_late_poll_for_a_former_incarnation_may_extend_the_leases_of_the_new_one() {
    let (mut simulation, first) = open_aged();
    submit_long_task(&mut simulation);
    simulation.advance(ACTED_MS);
    let former: PollOrder = simulation.polls[0].0.clone();
    assert!(former.lease_end_worker_ms.is_some());
    simulation.restart(&first);
    simulation.list_all();
    simulation.advance(2 * ACTED_MS);
    assert_eq!(simulation.starts.len(), 2);
    simulation.advance(ACTED_MS);
    let cut = simulation.starts[1].1.clone();
    if cut == first {
        simulation.receive_poll(&former);
    }
    simulation.workers[&cut].is_disconnected = true;
    simulation.advance(CUT_MS);
}

/// Guards against a task that runs twice: the start that was on its way when a worker crashed arrives in
/// the next incarnation, while the stop that has to prevent that is lost.
#[test]
fn a_task_waits_until_the_late_start_of_its_last_run_is_blocked() {
    let (mut simulation, first) = open_aged();
    simulation.link.set_reach(first.clone(), Reach::HeldBack);
    let id = submit_long_task(&mut simulation);
    simulation.advance_until(ACTED_MS, |simulation| simulation.engine.runs_count() == 1);
    simulation.restart(&first);
    simulation.link.set_reach(first.clone(), Reach::Full);
    simulation.release_calls(|| 2 * ACTED_MS);
    simulation.advance_until(2 * ACTED_MS, |simulation| !simulation.stops.is_empty());
    // Whatever was sent first is lost with the connection.
    simulation.workers[&first].blocked.clear();
    simulation.link.set_reach(first.clone(), Reach::Dropped);
    simulation.advance(4 * ACTED_MS);
    simulation.link.set_reach(first, Reach::Full);
    simulation.advance(CUT_MS);
    assert_eq!(simulation.runs_of(id).len(), 1);
}

/// Guards against leases that are counted on the clock of a former incarnation, of which an answer has
/// arrived late.
#[test]
fn a_late_answer_of_a_former_incarnation_shows_no_clock() {
    let (mut simulation, first) = open_aged();
    let former_unix_ms = simulation.workers[&first].info.started_unix_ms;
    let clock_ms = simulation.workers[&first].clock_ms(simulation.now_ms);
    simulation.restart(&first);
    simulation.list_all();
    simulation.advance(ACTED_MS);
    let id = submit_long_task(&mut simulation);
    simulation.advance(ACTED_MS);
    assert_eq!(simulation.runs_of(id)[0].0, first);
    let order = former_start(&simulation, former_unix_ms);
    let now_ms = simulation.now_ms;
    simulation
        .engine
        .start_accepted(&order, Some(clock_ms), now_ms);
    simulation.advance(2 * ACTED_MS);
    simulation.workers[&first].is_disconnected = true;
    simulation.advance(CUT_MS);
}

/// A start that is on its way to a worker that has gone down.
struct LateStart {
    simulation: Simulation,
    worker: SmolStr,
    instance: SmolStr,
    job: JobId,
}

impl LateStart {
    /// Returns one whose worker the leader has taken for gone.
    fn open(step: StepSpec) -> Self {
        let mut late = Self::sent(step);
        late.set_row(InstanceState::Down, None);
        late
    }

    /// Returns one whose worker has just gone down.
    fn sent(step: StepSpec) -> Self {
        let (mut simulation, worker) = open_aged();
        let instance = simulation.workers[&worker].info.instance.clone();
        simulation.link.set_reach(worker.clone(), Reach::HeldBack);
        let job = simulation.submit("maps", job(vec![step]));
        simulation.advance_until(ACTED_MS, |simulation| simulation.engine.runs_count() == 1);
        simulation.workers[&worker].crash();
        Self {
            simulation,
            worker,
            instance: instance.expect("set by `add_worker`"),
            job,
        }
    }

    /// Lists the instance of the worker in this state, with this worker.
    fn set_row(&mut self, state: InstanceState, worker: Option<&str>) {
        let row = &mut self.simulation.instances[&self.instance];
        row.state = state;
        row.worker = worker.map(SmolStr::from);
        self.simulation.advance(SILENT_MS);
        self.simulation.list_instances();
        self.simulation.advance(ACTED_MS);
    }

    /// Fails unless the task runs once within this time.
    fn assert_runs(&mut self, within_ms: u64) {
        let job = self.job;
        self.simulation
            .advance_until(within_ms, |simulation| simulation.runs_of(job).len() == 1);
    }
}

/// Guards against a task that runs twice: its start is on its way when its worker goes down, the list of
/// instances shows that, the task is started elsewhere, and the start arrives once the worker is back under its
/// id (issue 64).
#[test]
fn a_start_that_is_on_its_way_to_a_worker_that_goes_down_repeats_no_task() {
    let mut late = LateStart::open(step(1, 1_000, RUN_MS));
    let (worker, instance) = (late.worker.clone(), late.instance.clone());
    let simulation = &mut late.simulation;
    simulation.restart(&worker);
    simulation.instances[&instance].state = InstanceState::Up;
    simulation.instances[&instance].worker = Some(worker.clone());
    simulation.list_all();
    simulation.link.set_reach(worker, Reach::Full);
    simulation.release_calls(|| ACTED_MS);
    simulation.advance(2 * ACTED_MS);
    late.assert_runs(CUT_MS);
}

/// Guards against a task that waits for a late start without need: the instance has another worker, so that
/// the one that the start is meant for does not come back.
#[test]
fn a_start_that_is_on_its_way_to_a_worker_that_is_replaced_holds_no_task_back() {
    let mut late = LateStart::open(step(1, 1_000, RUN_MS));
    late.set_row(InstanceState::Up, Some("w-other"));
    late.assert_runs(2 * ACTED_MS);
}

/// Guards against a task that waits for a late start without need: its step may have copies.
#[test]
fn a_start_that_is_on_its_way_to_a_worker_that_goes_down_holds_no_copies_back() {
    let mut late = LateStart::open(StepSpec {
        allows_copies: true,
        ..step(1, 1_000, RUN_MS)
    });
    late.assert_runs(2 * ACTED_MS);
}

/// Guards against a wait that begins anew with each entry of the worker that is read again.
#[test]
fn a_worker_that_is_listed_again_does_not_prolong_the_wait_for_a_late_start() {
    /// Time in which the wait ends, in milliseconds: that for which calls arrive late, and a step.
    const WAIT_MS: u64 = 13_000;
    let mut late = LateStart::open(step(1, 1_000, RUN_MS));
    let from_ms = late.simulation.now_ms;
    while late.simulation.runs_of(late.job).is_empty() {
        late.simulation
            .list_to_leader(std::slice::from_ref(&late.worker));
        late.simulation.list_instances();
        late.simulation.advance(ACTED_MS);
        assert!(late.simulation.now_ms < from_ms + WAIT_MS, "still waits");
    }
}

/// Guards against a task that runs twice: a worker that was taken for gone is back under its id inside a cut, and
/// takes the late start there, whose lease begins only then.
#[test]
fn a_late_start_at_a_worker_that_was_taken_for_gone_is_waited_for_with_its_lease() {
    /// Time from then until the worker is back, in milliseconds.
    const BACK_MS: u64 = 7_000;
    /// Time from the crash until the start arrives, in milliseconds.
    const ARRIVES_MS: u64 = 11_000;
    let mut late = LateStart::sent(step(1, 1_000, RUN_MS));
    let worker = late.worker.clone();
    // Nothing that is sent from now on arrives.
    late.simulation
        .link
        .set_reach(worker.clone(), Reach::Dropped);
    late.simulation.release_calls(|| ARRIVES_MS);
    late.set_row(InstanceState::Down, None);
    late.simulation.advance(BACK_MS);
    late.simulation.restart(&worker);
    late.simulation.advance(2 * CUT_MS);
    late.assert_runs(STEP_MS);
}

/// Guards against a task that runs twice: the leader whose start is on its way is followed, its successor takes
/// the worker for gone, and the start arrives as the worker is back under its id.
#[test]
fn a_start_of_a_former_leader_to_a_worker_that_goes_down_repeats_no_task() {
    let mut late = LateStart::sent(step(1, 1_000, RUN_MS));
    late.simulation.fail_over(2);
    late.simulation.advance(ACTED_MS);
    late.set_row(InstanceState::Down, None);
    let worker = late.worker.clone();
    late.simulation.restart(&worker);
    late.simulation.link.set_reach(worker, Reach::Full);
    late.simulation.release_calls(|| STEP_MS);
    late.simulation.advance(2 * STEP_MS);
    late.set_row(InstanceState::Up, Some("w-maps-0-0"));
    late.assert_runs(CUT_MS);
}

/// Guards against a long-running task that waits for a late start for longer than it may have no run in calm.
#[test]
fn a_long_running_task_runs_again_within_seconds_of_the_crash_of_its_worker() {
    /// Time from the list that shows the crash, in milliseconds; the rest of 7 s has passed before.
    const CALM_MS: u64 = 3_500;
    let mut late = LateStart::open(long_running(1, 1_000));
    late.assert_runs(CALM_MS);
}
