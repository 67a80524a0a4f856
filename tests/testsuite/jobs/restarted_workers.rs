//! Workers that start again under their ids and are cut off soon after, while long tasks run. The new
//! incarnation has a clock of its own, and may take calls that were meant for the one before.

use std::sync::Arc;

use hawthornladder::jobs::{
    InstanceState, JobId, JobKey, PollOrder, RunKey, StartOrder, Target, TaskKey, TaskName,
};
use smol_str::SmolStr;

use super::links::Reach;
use super::simulation::{job, step, Simulation};

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
    fn open() -> Self {
        let (mut simulation, worker) = open_aged();
        let instance = simulation.workers[&worker].info.instance.clone();
        simulation.link.set_reach(worker.clone(), Reach::HeldBack);
        let job = submit_long_task(&mut simulation);
        simulation.advance_until(ACTED_MS, |simulation| simulation.engine.runs_count() == 1);
        simulation.workers[&worker].crash();
        let mut late = Self {
            simulation,
            worker,
            instance: instance.expect("set by `add_worker`"),
            job,
        };
        late.set_row(InstanceState::Down, None);
        late
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
    let mut late = LateStart::open();
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
    let mut late = LateStart::open();
    late.set_row(InstanceState::Up, Some("w-other"));
    late.assert_runs(2 * ACTED_MS);
}
