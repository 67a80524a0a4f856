//! Acknowledgements that reach another incarnation of a worker than the one whose ends they count: the
//! worker has started again under its id, and its ends have the same numbers.

use hawthornladder::jobs::{
    AcknowledgementOutcome, EndKind, JobId, JobState, PollReply, RunEnd, TaskName,
};
use smol_str::SmolStr;

use super::links::Reach;
use super::simulation::{job, step, Simulation};

/// Age of the first incarnations at the restart, in milliseconds: more than the longest lease.
const AGE_MS: u64 = 15_000;
/// Time after which the leader has acted on what it was shown, in milliseconds.
const ACTED_MS: u64 = 500;
/// Run time of the task whose end is read before the restart, in milliseconds.
const FORMER_RUN_MS: u64 = 400;
/// Run time of the task that the next incarnation runs, in milliseconds.
const RUN_MS: u64 = 2_000;
/// Length of a cut in which that task ends, in milliseconds: shorter than the leases.
const CUT_MS: u64 = 3_000;
/// Time by which all tasks are done, in milliseconds.
const DONE_MS: u64 = 30_000;

/// A worker with an end that the leader has read and not acknowledged yet, as the store is slow.
fn open_with_unacknowledged_end() -> (Simulation, SmolStr) {
    let mut simulation = Simulation::open(&["maps"], 2);
    simulation.advance(AGE_MS);
    let first = simulation.workers.keys().next().expect("a worker").clone();
    let former = submit_task(&mut simulation, FORMER_RUN_MS);
    simulation.advance_until(ACTED_MS, |simulation| !simulation.starts.is_empty());
    assert_eq!(simulation.runs_of(former)[0].0, first);
    simulation.is_store_unavailable = true;
    simulation.advance(FORMER_RUN_MS + ACTED_MS);
    assert_eq!(simulation.workers[&first].ended.len(), 1);
    (simulation, first)
}

fn submit_task(simulation: &mut Simulation, run_ms: u64) -> JobId {
    simulation.submit("maps", job(vec![step(1, 1_000, run_ms)]))
}

fn assert_done_once(simulation: &mut Simulation, id: JobId, starts_count: usize) {
    simulation.advance_until(DONE_MS, |simulation| {
        simulation.state(id) == Some(JobState::Complete)
    });
    assert_eq!(
        simulation.starts.len(),
        starts_count,
        "a task was started again"
    );
}

/// Guards against a task that is started again after its end as done was acknowledged: the start is on its
/// way at the crash, the next incarnation runs the task to its end inside a cut, and the first poll after
/// the cut carries the number up to which the ends of the former incarnation were read (issue 61).
#[test]
fn a_number_of_a_former_incarnation_drops_no_end_that_nobody_has_read() {
    let (mut simulation, first) = open_with_unacknowledged_end();
    simulation.link.set_reach(first.clone(), Reach::HeldBack);
    simulation.is_store_unavailable = false;
    let id = submit_task(&mut simulation, RUN_MS);
    simulation.advance_until(ACTED_MS, |simulation| simulation.engine.runs_count() == 1);
    simulation.restart(&first);
    // Only the start arrives.
    simulation.link.set_reach(first.clone(), Reach::Full);
    simulation.release_calls(|| 0);
    simulation.late_calls.retain(|(_, call)| call.is_start());
    simulation.link.set_reach(first.clone(), Reach::Dropped);
    simulation.advance(CUT_MS);
    assert_eq!(simulation.starts.len(), 2);
    assert!(
        simulation.runs_of(id).is_empty(),
        "the task ends inside the cut"
    );
    simulation.link.set_reach(first, Reach::Full);
    assert_done_once(&mut simulation, id, 2);
}

/// Guards against a number and a start that are on their way together: if the worker crashes, the next
/// incarnation may end the run before the number arrives (issue 61).
#[test]
fn no_end_is_acknowledged_while_a_start_is_on_its_way() {
    let mut simulation = Simulation::open(&["maps"], 1);
    submit_task(&mut simulation, FORMER_RUN_MS);
    simulation.advance_until(ACTED_MS, |simulation| !simulation.starts.is_empty());
    // The end of the first task and the record of the third one wait behind the record of the second.
    simulation.is_store_unavailable = true;
    submit_task(&mut simulation, RUN_MS);
    simulation.advance(FORMER_RUN_MS + ACTED_MS);
    submit_task(&mut simulation, RUN_MS);
    simulation.is_store_unavailable = false;
    simulation.advance_until(ACTED_MS, |simulation| simulation.starts.len() == 3);
    let acknowledged = |simulation: &Simulation| simulation.workers[0].ended.is_empty();
    assert!(!acknowledged(&simulation), "acknowledged beside the start");
    simulation.advance_until(ACTED_MS, acknowledged);
}

/// Guards against ends that are never acknowledged: a poll had to go without its number, and the leader took
/// the number for given.
#[test]
fn a_number_that_was_not_sent_is_sent_with_a_later_poll() {
    let mut simulation = Simulation::open(&["maps"], 1);
    submit_task(&mut simulation, FORMER_RUN_MS);
    let carries = |simulation: &Simulation| {
        let mut polls = simulation.polls.iter();
        polls.any(|(order, _)| order.acknowledged_through > 0)
    };
    simulation.advance_until(2 * ACTED_MS, carries);
    let (order, _) = simulation.polls.remove(0);
    let mut reply = reply_with_end(&simulation, order.target.started_unix_ms, 1);
    reply.acknowledged_through = 0;
    let now_ms = simulation.now_ms;
    simulation.engine.poll_answered(&order, reply, now_ms);
    simulation.advance_until(ACTED_MS, carries);
    let (order, _) = &simulation.polls[0];
    assert!(order.confirms_first, "the connection is not asked first");
}

/// Returns an answer to the poll in flight by an incarnation that started at this time, which lists an
/// end with this number.
fn reply_with_end(simulation: &Simulation, started_unix_ms: u64, number: u64) -> PollReply {
    let end = RunEnd {
        number,
        name: TaskName::parse("00000000000000ff.0.0.0").expect("a name"),
        run_number: 1,
        kind: EndKind::Done,
        checkpoint: SmolStr::default(),
    };
    PollReply {
        clock_ms: simulation.now_ms,
        started_unix_ms,
        ended: vec![end],
        ..PollReply::default()
    }
}

/// On-call staff have to learn from the leader that a number of one incarnation has met another one, and
/// that ends are missing which nobody has acknowledged there.
#[test]
fn an_acknowledgement_that_another_incarnation_answers_is_counted() {
    let mut simulation = Simulation::open(&["maps"], 1);
    submit_task(&mut simulation, RUN_MS);
    simulation.advance_until(ACTED_MS, |simulation| !simulation.polls.is_empty());
    let (mut order, _) = simulation.polls.remove(0);
    order.acknowledged_through = 7;
    let later_unix_ms = order.target.started_unix_ms + 1;
    let mut reply = reply_with_end(&simulation, later_unix_ms, 1);
    reply.acknowledged_through = 7;
    let now_ms = simulation.now_ms;
    simulation.engine.poll_answered(&order, reply, now_ms);
    order.target.started_unix_ms = later_unix_ms;
    order.acknowledged_through = 0;
    let reply = reply_with_end(&simulation, later_unix_ms, 3);
    simulation.engine.poll_answered(&order, reply, now_ms);
    let counts = simulation.engine.take_acknowledgement_counts();
    let outcome = AcknowledgementOutcome::OtherIncarnation;
    assert_eq!(counts.outcomes_counts.get(&outcome), Some(&1));
    assert_eq!(counts.missing_ends_count, 1);
}
