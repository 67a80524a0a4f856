//! Single runs: a non-idempotent request runs at most once, and "not run" is said only when it is
//! true.

use hawthornladder::error::RunState;

use crate::engines::{busy, lost, Engines};

#[test]
fn not_run_is_not_said_after_an_attempt_of_unknown_outcome() {
    let mut engines = Engines::open(1);
    let key = engines.grant("ionosphere-desk");
    let mut request = engines.request(&key, true);
    request.deadline_ms = 3_000;
    let call = engines.call(0, &request);
    engines.advance_until(1_000, |engines| !engines.nodes[0].attempts.is_empty());
    engines.end_attempt(0, lost());
    // Whatever comes after the first attempt, that one may have run.
    for _ in 0..10 {
        if engines.answer(call).is_some() {
            break;
        }
        engines.advance_until(3_000, |engines| {
            !engines.nodes[0].attempts.is_empty() || engines.answer(call).is_some()
        });
        if engines.answer(call).is_none() {
            engines.end_attempt(0, busy());
        }
    }
    engines.advance(4_000);
    let refusal = engines.refusal(call).expect("it is over");
    assert_eq!(refusal.1, RunState::OutcomeUnknown, "{refusal:?}");
}

#[test]
fn a_cancel_after_an_attempt_of_unknown_outcome_does_not_say_not_run() {
    let mut engines = Engines::open(1);
    let key = engines.grant("ionosphere-desk");
    let request = engines.request(&key, true);
    let call = engines.call(0, &request);
    engines.advance_until(1_000, |engines| !engines.nodes[0].attempts.is_empty());
    engines.end_attempt(0, lost());
    assert!(engines.answer(call).is_none(), "it backs off");
    let team = "ionosphere-desk".into();
    let request_id = request.request_id.clone();
    let event = hawthornladder::entry::Event::PeerCancel { team, request_id };
    engines.step(0, event);
    let refusal = engines.refusal(call).expect("it is over");
    assert_eq!(refusal.1, RunState::OutcomeUnknown, "{refusal:?}");
}
