//! Recovery: what was accepted is neither lost nor reverted, however entries and the log fail.

use hawthornladder::entry::Event;
use hawthornladder::error::{ErrorKind, RunState};
use hawthornladder::ledger::OperatorChange;

use crate::engines::{busy, lost, ran, Engines};

#[test]
fn a_fresh_engine_does_not_trust_an_older_head() {
    let mut engines = Engines::open(1);
    let key = engines.grant("ionosphere-desk");
    engines.operate(OperatorChange::WithdrawKey {
        key_id: key.key_id.clone(),
    });
    engines.advance(100);
    engines.kill(0);
    // Reads show the log as it was before the withdrawal.
    engines.stale_ms = 150;
    let fresh = engines.add();
    for _ in 0..100 {
        let request = engines.request(&key, true);
        let call = engines.call(fresh, &request);
        let refusal = engines.refusal(call).map(|row| row.0);
        let is_refused = matches!(
            refusal,
            Some(ErrorKind::EntryNotReady | ErrorKind::KeyUnknown | ErrorKind::KeyWithdrawn)
        );
        assert!(is_refused, "{refusal:?}");
        engines.advance(20);
    }
}

#[test]
fn a_log_that_stands_still_is_not_trusted_for_long() {
    let mut engines = Engines::open(3);
    let key = engines.grant("ionosphere-desk");
    for node in &mut engines.nodes {
        node.is_cut_from_peers = true;
    }
    engines.stale_ms = 60_000;
    engines.advance(5_000);
    let request = engines.request(&key, true);
    let call = engines.call(0, &request);
    let refusal = engines.refusal(call);
    assert_eq!(
        refusal,
        Some((ErrorKind::ConfigurationStale, RunState::NotRun))
    );
    engines.stale_ms = 0;
    engines.advance(500);
    let request = engines.request(&key, true);
    engines.call(0, &request);
    engines.advance_until(500, |engines| !engines.nodes[0].attempts.is_empty());
}

#[test]
fn a_log_that_stands_still_is_not_trusted_though_peers_are_heard() {
    let mut engines = Engines::open(3);
    let key = engines.grant("ionosphere-desk");
    engines.stale_ms = 60_000;
    engines.advance(5_000);
    let request = engines.request(&key, true);
    let call = engines.call(0, &request);
    let refusal = engines.refusal(call);
    assert_eq!(
        refusal,
        Some((ErrorKind::ConfigurationStale, RunState::NotRun))
    );
    engines.stale_ms = 0;
    engines.advance(500);
    let request = engines.request(&key, true);
    engines.call(0, &request);
    engines.advance_until(500, |engines| !engines.nodes[0].attempts.is_empty());
}

#[test]
fn a_job_survives_the_engine_that_took_it() {
    let mut engines = Engines::open_with(
        3,
        |_| {},
        |settings| {
            settings.seat_lease_ms = 4_000;
            settings.seat_renew_ms = 500;
        },
    );
    let key = engines.grant("ionosphere-desk");
    // The first has no free part of the limit, so that the job still waits when it is killed.
    let mut job = engines.request(&key, false);
    job.is_for_later = true;
    job.deadline_ms = 300_000;
    let call = engines.call(0, &job);
    engines.advance_until(1_000, |engines| engines.answer(call).is_some());
    assert!(engines.refusal(call).is_none());
    let was_started = !engines.nodes[0].attempts.is_empty();
    assert!(!was_started);
    engines.kill(0);
    let took_ms = engines.advance_until(90_000, |engines| {
        engines.nodes.iter().any(|node| !node.attempts.is_empty())
    });
    // Lease, margin, longest run and its margin.
    assert!(took_ms >= 60_000, "{took_ms}");
    let index = usize::from(engines.nodes[0].attempts.is_empty());
    engines.end_attempt(index, ran());
    engines.advance(500);
    let fetched = engines.fetch(1 - index, &key, &job);
    let answer = engines.answer(fetched).expect("the job is known");
    assert_eq!(&*answer.body, b"done");
}

#[test]
fn a_job_that_may_have_run_is_not_run_again() {
    let mut engines = Engines::open_with(
        3,
        |_| {},
        |settings| {
            settings.seat_lease_ms = 4_000;
            settings.seat_renew_ms = 500;
        },
    );
    let key = engines.grant("ionosphere-desk");
    let mut job = engines.request(&key, false);
    job.is_for_later = true;
    job.deadline_ms = 300_000;
    engines.call(0, &job);
    engines.advance_until(2_000, |engines| !engines.nodes[0].attempts.is_empty());
    engines.kill(0);
    engines.advance(100_000);
    assert!(engines.nodes.iter().all(|node| node.attempts.is_empty()));
    let fetched = engines.fetch(0, &key, &job);
    let refusal = engines.refusal(fetched);
    assert_eq!(
        refusal,
        Some((ErrorKind::DuplicateOutcomeUnknown, RunState::OutcomeUnknown))
    );
}

#[test]
fn an_adopted_job_is_not_said_to_have_never_run() {
    let mut engines = Engines::open_with(
        2,
        |_| {},
        |settings| {
            settings.seat_lease_ms = 4_000;
            settings.seat_renew_ms = 500;
        },
    );
    let key = engines.grant("ionosphere-desk");
    let mut job = engines.request(&key, true);
    job.is_for_later = true;
    job.deadline_ms = 120_000;
    engines.call(0, &job);
    engines.advance_until(2_000, |engines| !engines.nodes[0].attempts.is_empty());
    engines.kill(0);
    // The adopter never gets the job started in time.
    engines.advance_until(100_000, |engines| !engines.nodes[0].attempts.is_empty());
    engines.now_ms += 60_000;
    engines.end_attempt(0, busy());
    engines.advance(1_000);
    let fetched = engines.fetch(0, &key, &job);
    let refusal = engines.refusal(fetched).expect("the job has ended");
    assert_eq!(refusal.1, RunState::OutcomeUnknown, "{refusal:?}");
}

#[test]
fn a_stopping_engine_loses_no_job_that_it_announced() {
    let mut engines = Engines::open_with(2, |_| {}, |settings| settings.append_interval_ms = 200);
    let key = engines.grant("ionosphere-desk");
    // It holds a part of the limit, so that the job may start at once.
    let request = engines.request(&key, true);
    engines.call(0, &request);
    engines.advance_until(1_000, |engines| !engines.nodes[0].attempts.is_empty());
    engines.end_attempt(0, ran());
    let mut job = engines.request(&key, false);
    job.is_for_later = true;
    job.deadline_ms = 60_000;
    let call = engines.call(0, &job);
    engines.advance_until(3_000, |engines| engines.answer(call).is_some());
    // The announcement waits for its append when the order to stop comes.
    assert!(engines.nodes[0].attempts.is_empty());
    engines.step(0, Event::Drain);
    engines.advance(5_000);
    assert_eq!(engines.nodes[0].attempts.len(), 0, "it was dispatched");
    assert!(engines.nodes[0].is_drained);
    assert_eq!(engines.nodes[1].attempts.len(), 1, "the job was lost");
    engines.end_attempt(1, lost());
}
