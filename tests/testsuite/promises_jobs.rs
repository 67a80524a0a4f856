//! Jobs: work accepted for later is not lost with the entry that accepted it, and its outcome is
//! reported truthfully.

use std::thread;

use hawthornladder::entry::Event;
use hawthornladder::error::{ErrorKind, RunState};

use crate::calling::{fetch_job, Call};
use crate::cluster::Cluster;
use crate::engines::{answer_lost, refused_as_busy, succeeded, Engines};

/// Returns engines with short leases of their seats.
fn open_with_short_leases(count: usize) -> Engines {
    Engines::open_with(
        count,
        |_| {},
        |settings| {
            settings.seat_lease_ms = 4_000;
            settings.seat_renew_ms = 500;
        },
    )
}

#[test]
fn a_job_survives_the_engine_that_accepted_it() {
    let mut engines = open_with_short_leases(3);
    let key = engines.grant("ionosphere-desk");
    // The first engine has no free part of the team's limit, so the job still waits when the engine
    // is killed.
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
    // The lease, its margin, the longest run and its margin.
    assert!(
        took_ms >= 60_000,
        "another engine started the job after {took_ms} ms already"
    );
    let index = usize::from(engines.nodes[0].attempts.is_empty());
    engines.end_attempt(index, succeeded());
    engines.advance(500);
    let fetched = engines.fetch(1 - index, &key, &job);
    let answer = engines.answer(fetched).expect("the fetch is answered");
    assert_eq!(&*answer.body, b"done");
}

#[test]
fn a_job_that_may_have_run_is_not_run_again() {
    let mut engines = open_with_short_leases(3);
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
fn an_adopted_job_is_not_reported_as_not_run() {
    let mut engines = open_with_short_leases(2);
    let key = engines.grant("ionosphere-desk");
    let mut job = engines.request(&key, true);
    job.is_for_later = true;
    job.deadline_ms = 120_000;
    engines.call(0, &job);
    engines.advance_until(2_000, |engines| !engines.nodes[0].attempts.is_empty());
    engines.kill(0);
    // The engine that adopts the job fails to start it before its deadline.
    engines.advance_until(100_000, |engines| !engines.nodes[0].attempts.is_empty());
    engines.now_ms += 60_000;
    engines.end_attempt(0, refused_as_busy());
    engines.advance(1_000);
    let fetched = engines.fetch(0, &key, &job);
    let refusal = engines.refusal(fetched).expect("the job has ended");
    assert_eq!(refusal.1, RunState::OutcomeUnknown, "{refusal:?}");
}

#[test]
fn a_stopping_engine_loses_no_job_that_it_announced() {
    let mut engines = Engines::open_with(2, |_| {}, |settings| settings.append_interval_ms = 200);
    let key = engines.grant("ionosphere-desk");
    // The engine holds a part of the team's limit, so the job can start at once.
    let request = engines.request(&key, true);
    engines.call(0, &request);
    engines.advance_until(1_000, |engines| !engines.nodes[0].attempts.is_empty());
    engines.end_attempt(0, succeeded());
    let mut job = engines.request(&key, false);
    job.is_for_later = true;
    job.deadline_ms = 60_000;
    let call = engines.call(0, &job);
    engines.advance_until(3_000, |engines| engines.answer(call).is_some());
    // The record that announces the job's start has not been appended when the drain begins.
    assert!(engines.nodes[0].attempts.is_empty());
    engines.step(0, Event::Drain);
    engines.advance(5_000);
    assert_eq!(
        engines.nodes[0].attempts.len(),
        0,
        "the stopping engine dispatched the job"
    );
    assert!(engines.nodes[0].is_drained);
    assert_eq!(
        engines.nodes[1].attempts.len(),
        1,
        "the other engine did not start the job"
    );
    engines.end_attempt(1, answer_lost());
}

#[test]
fn a_waiting_job_outlives_the_entry_that_stops() {
    let mut cluster = Cluster::builder().small_fleet().spawn();
    cluster.publish_limit(1, "ionosphere-desk", 1);
    let (_, key) = cluster.grant("ionosphere-desk");
    let long = Call::new("delay-maps", &key, 1_500);
    let address = cluster.entries[0].callers_address.clone();
    let sent = long.clone();
    let caller = thread::spawn(move || sent.send(&address));
    cluster.wait_until("the limit is used up", |cluster| {
        cluster.runs_of(&long.request_id) == 1
    });
    let job = Call::new("delay-maps", &key, 5)
        .at_most_once()
        .for_later()
        .deadline_ms(60_000);
    assert_eq!(cluster.entries[0].call(&job).status, 202);
    let exit = cluster.entries[0].process.terminate();
    assert!(exit.success(), "{exit}");
    assert!(
        caller.join().expect("the caller does not panic").is_done(),
        "the stop interrupted a call in flight"
    );
    let address = &cluster.entries[1].callers_address;
    cluster.wait_until("the job is done", |_| {
        fetch_job(address, &key, &job.request_id).is_done()
    });
    assert_eq!(cluster.runs_of(&job.request_id), 1);
}

#[test]
fn a_burst_of_large_jobs_is_accepted() {
    let cluster = Cluster::builder().small_fleet().spawn();
    let (_, key) = cluster.grant("ionosphere-desk");
    let callers: Vec<_> = (0..16)
        .map(|_| {
            let mut job = Call::new("delay-maps", &key, 0).at_most_once().for_later();
            job.body = vec![b'x'; 60_000];
            let address = cluster.entries[0].callers_address.clone();
            thread::spawn(move || job.send(&address))
        })
        .collect();
    for caller in callers {
        let reply = caller.join().expect("the caller does not panic");
        assert_eq!(reply.status, 202, "{reply:?}");
    }
    let reply = cluster.entries[0].call(&Call::new("delay-maps", &key, 1).at_most_once());
    assert!(reply.is_done(), "{reply:?}");
}

#[test]
fn a_job_that_is_submitted_twice_at_once_is_answered_twice() {
    let mut engines = Engines::open(1);
    let key = engines.grant("ionosphere-desk");
    let mut job = engines.request(&key, false);
    job.is_for_later = true;
    let calls = [engines.call(0, &job), engines.call(0, &job)];
    engines.advance(1_000);
    for call in calls {
        assert!(
            engines.answer(call).is_some(),
            "a submission was not answered"
        );
    }
}

#[test]
fn a_submission_under_a_seat_that_is_lost_is_answered_as_unknown() {
    let mut engines = open_with_short_leases(3);
    let key = engines.grant("ionosphere-desk");
    engines.nodes[0].is_cut_from_log = true;
    let mut job = engines.request(&key, false);
    job.is_for_later = true;
    job.deadline_ms = 60_000;
    let call = engines.call(0, &job);
    engines.advance(6_000);
    engines.nodes[0].is_cut_from_log = false;
    engines.advance(1_000);
    let refusal = engines.refusal(call).map(|row| row.1);
    assert_eq!(refusal, Some(RunState::OutcomeUnknown));
}
