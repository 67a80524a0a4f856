//! Acknowledgements that reach another incarnation of a worker than the one whose ends they count: the
//! worker has started again under its id, and its ends have the same numbers.

use hawthornladder::jobs::{AcknowledgementOutcome, EndKind, PollReply, RunEnd, TaskName};
use smol_str::SmolStr;

use super::simulation::{job, step, Simulation};

/// Time after which the leader has acted on what it was shown, in milliseconds.
const ACTED_MS: u64 = 500;
/// Run time of a task, in milliseconds.
const RUN_MS: u64 = 2_000;

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
    simulation.submit("maps", job(vec![step(1, 1_000, RUN_MS)]));
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
