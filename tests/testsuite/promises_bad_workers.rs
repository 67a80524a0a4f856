//! Bad workers, bad work and bad callers: each affects only itself, is reported truthfully, and
//! does not delay the rest.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use serde_json::json;

use crate::calling::{cancel, Call, Reply};
use crate::cluster::Cluster;
use crate::promises_answers::{assert_all_match_runs, call_all, call_at, OVERHEAD_MAX};
use crate::small_cluster::{
    assert_all_done, callers, clear_pool_faults, first_of_maps, set_pool_faults, set_worker_faults,
    spawn, Load,
};

const NO_MOVES: &str = r#""moves_max_per_hour_count": 0"#;

/// Default of the share of a pool that may be ejected at the same time.
const EJECT_MAX_PERMILLE: usize = 300;

/// Callers of non-idempotent work while one worker fails everything.
const AT_MOST_ONCE_CALLERS_COUNT: usize = 16;

/// Consecutive failures after which an entry ejects a worker: its smoothed failure rate exceeds one
/// half after eight. While no other worker has run the same work, only a part of each failure is
/// attributed to the worker.
const EJECT_FAILURES_COUNT: usize = 8;

/// Time within which a burst of cancellations must be carried out.
const CANCELLATIONS_MAX: Duration = Duration::from_secs(5);

/// Asserts that every call took less than [`OVERHEAD_MAX`].
fn assert_overhead_bounded(replies: &[(String, Reply, Duration)]) {
    let slowest = replies.iter().map(|(_, _, elapsed)| elapsed).max();
    assert!(
        slowest.is_some_and(|slowest| *slowest < OVERHEAD_MAX),
        "the slowest call took {slowest:?}"
    );
}

/// Starts callers of another team and pool, which the faults of a test must not affect.
fn spawn_unrelated_load(cluster: &Cluster) -> Load {
    let (_, key) = cluster.grant("office");
    Load::spawn(&callers(cluster), 4, move || Call::new("gauges", &key, 10))
}

fn assert_unrelated_load_unaffected(unrelated: Load) {
    let replies = unrelated.stop();
    assert_all_done(&replies);
    assert_overhead_bounded(&replies);
}

#[test]
fn a_worker_that_fails_everything_is_ejected_and_the_pool_goes_on() {
    let cluster = spawn(2, NO_MOVES);
    let (_, key) = cluster.grant("desk");
    let bad = first_of_maps(&cluster);
    set_worker_faults(&bad, &json!({ "is_failing_all": true }));
    let once_key = key.clone();
    let once = Load::spawn(&callers(&cluster), AT_MOST_ONCE_CALLERS_COUNT, move || {
        Call::new("maps", &once_key, 20).at_most_once()
    });
    thread::sleep(Duration::from_millis(1_500));
    let idempotent = Load::spawn(&callers(&cluster), 8, move || Call::new("maps", &key, 20));
    thread::sleep(Duration::from_millis(1_500));
    assert_all_done(&idempotent.stop());
    let replies = once.stop();
    let mut failed_count = 0;
    for (_, reply, _) in replies.iter().filter(|(_, reply, _)| !reply.is_done()) {
        failed_count += 1;
        assert_eq!(
            (reply.status, reply.ran.as_str()),
            (422, "ran"),
            "{reply:?}"
        );
    }
    assert!(failed_count > 0, "no call reached the bad worker");
    let allowed_count = cluster.entries.len() * EJECT_FAILURES_COUNT + AT_MOST_ONCE_CALLERS_COUNT;
    assert!(
        failed_count <= allowed_count,
        "{failed_count} of {} calls failed",
        replies.len()
    );
}

/// When all workers of a pool fail, each entry ejects at most the allowed share of them.
#[test]
fn a_pool_whose_workers_all_fail_is_not_emptied_by_ejections() {
    let cluster = spawn(2, NO_MOVES);
    let (_, key) = cluster.grant("desk");
    let unrelated = spawn_unrelated_load(&cluster);
    set_pool_faults(&cluster, "maps", &json!({ "is_failing_all": true }));
    let load_key = key.clone();
    let load = Load::spawn(&callers(&cluster), 16, move || {
        Call::new("maps", &load_key, 5).at_most_once()
    });
    thread::sleep(Duration::from_millis(1_500));
    let replies = load.stop();
    assert!(replies.iter().all(|(_, reply, _)| reply.ran == "ran"));
    clear_pool_faults(&cluster, "maps");
    for entry in &cluster.entries {
        let log = entry.process.log();
        let ejected_count = log.matches("access=ejected").count();
        let allowed_count = crate::small_cluster::MAPS_COUNT * EJECT_MAX_PERMILLE / 1_000;
        assert!(
            (1..=allowed_count).contains(&ejected_count),
            "an entry ejected {ejected_count} workers"
        );
    }
    let calls = (0..24)
        .map(|_| Call::new("maps", &key, 20).at_most_once())
        .collect();
    let rows = call_all(&cluster, calls);
    assert!(rows.iter().all(|(_, reply, _)| reply.is_done()));
    assert_unrelated_load_unaffected(unrelated);
}

#[test]
fn a_pool_that_does_not_answer_delays_no_other_pool() {
    let cluster = spawn(2, NO_MOVES);
    let (_, key) = cluster.grant("desk");
    let unrelated = spawn_unrelated_load(&cluster);
    set_pool_faults(&cluster, "maps", &json!({ "is_frozen": true }));
    let calls = (0..60)
        .map(|_| Call::new("maps", &key, 5).at_most_once().deadline_ms(1_500))
        .collect();
    let rows = call_all(&cluster, calls);
    clear_pool_faults(&cluster, "maps");
    assert_all_match_runs(&cluster, &rows);
    let in_time = Duration::from_millis(1_500) + OVERHEAD_MAX;
    assert!(rows.iter().all(|(_, _, elapsed)| *elapsed < in_time));
    assert_unrelated_load_unaffected(unrelated);
    cluster.wait_until("the pool serves again", |cluster| {
        let calls = (0..8).map(|_| Call::new("maps", &key, 5)).collect();
        let rows = call_all(cluster, calls);
        rows.iter().all(|(_, reply, _)| reply.is_done())
    });
}

#[test]
fn work_that_can_never_run_is_refused_at_once_with_the_reason() {
    let cluster = spawn(1, r#""body_max_bytes": 65536"#);
    let (_, key) = cluster.grant("desk");
    let call = || Call::new("maps", &key, 5).at_most_once();
    let calls = vec![
        // Four ask for more than any worker of the pool has or the plan allows; the body of the
        // last one is too large.
        call().header("x-cores-milli", 40_000),
        call().header("x-memory-mb", 200_000),
        call().header("x-accelerators-count", 1),
        call().header("x-cores-milli", 70_000),
        call().body(vec![b' '; 65_537]),
    ];
    let rows = call_all(&cluster, calls);
    for (call, reply, elapsed) in &rows {
        let reasons = ["can_never_run", "too_large", "body_too_large"];
        assert!(reasons.contains(&reply.kind.as_str()), "{reply:?}");
        assert_eq!(reply.ran, "not_run");
        assert_eq!(
            reply.retry_after_ms, None,
            "a request that can never run has no retry time"
        );
        assert!(*elapsed < OVERHEAD_MAX);
        assert_eq!(cluster.runs_of(&call.request_id), 0);
    }
}

/// Tasks run ten times as long as declared, and some declare ten times the size.
#[test]
fn wrongly_declared_run_times_and_sizes_get_truthful_answers() {
    let cluster = spawn(2, NO_MOVES);
    let (_, key) = cluster.grant("desk");
    let unrelated = spawn_unrelated_load(&cluster);
    set_pool_faults(&cluster, "maps", &json!({ "run_time_permille": 10_000 }));
    let calls = (0..120).map(|index| {
        let call = Call::new("maps", &key, 60).deadline_ms(2_000);
        let call = call.header("x-run-ms", 60);
        match index % 3 {
            0 => call.at_most_once(),
            1 => call.at_most_once().header("x-cores-milli", 10_000),
            _ => call,
        }
    });
    let rows = call_all(&cluster, calls.collect());
    assert_all_match_runs(&cluster, &rows);
    let done_count = rows.iter().filter(|(_, reply, _)| reply.is_done()).count();
    assert!(done_count >= 32, "only {done_count} calls succeeded");
    let in_time = Duration::from_millis(2_000) + OVERHEAD_MAX;
    assert!(rows.iter().all(|(_, _, elapsed)| *elapsed < in_time));
    assert_unrelated_load_unaffected(unrelated);
}

#[test]
fn a_wave_of_cancellations_frees_the_pool_and_harms_nobody() {
    let cluster = spawn(2, NO_MOVES);
    let (_, key) = cluster.grant("desk");
    let unrelated = spawn_unrelated_load(&cluster);
    let calls: Vec<Call> = (0..300)
        .map(|_| Call::new("maps", &key, 15_000).deadline_ms(30_000))
        .collect();
    let ids: Vec<String> = calls.iter().map(|call| call.request_id.clone()).collect();
    let callers_thread = thread::spawn({
        let addresses = callers(&cluster);
        move || call_at(&addresses, calls)
    });
    cluster.wait_until("the entries have all 300 requests", |cluster| {
        let entries = cluster.entries.iter();
        let held_count: u64 = entries.map(|entry| entry.status().requests_count).sum();
        held_count >= 300
    });
    let started = Instant::now();
    let addresses = callers(&cluster);
    let threads = ids.into_iter().enumerate().map(|(index, id)| {
        // Half of them go to the entry that does not have the request.
        let address = addresses[(index / 2) % 2].clone();
        let key = key.clone();
        thread::spawn(move || cancel(&address, &key, &id).status)
    });
    let threads: Vec<_> = threads.collect();
    for thread in threads {
        assert!(thread.join().is_ok_and(|status| status < 300));
    }
    let rows = callers_thread.join().expect("the callers do not panic");
    assert!(
        started.elapsed() < CANCELLATIONS_MAX,
        "{:?}",
        started.elapsed()
    );
    let is_cancelled = |reply: &Reply| reply.kind.starts_with("cancelled");
    assert!(rows.iter().all(|(_, reply, _)| is_cancelled(reply)));
    // Cancelled tasks do not count as failures of their workers.
    for entry in &cluster.entries {
        assert!(!entry.process.log().contains("access=ejected"));
    }
    assert_all_match_runs(&cluster, &rows);
    let calls = (0..48)
        .map(|_| Call::new("maps", &key, 20).deadline_ms(4_000))
        .collect();
    let rows = call_all(&cluster, calls);
    assert!(rows.iter().all(|(_, reply, _)| reply.is_done()));
    assert_unrelated_load_unaffected(unrelated);
}

#[test]
fn requests_that_cannot_end_in_time_are_refused_early_with_a_retry_time() {
    let cluster = spawn(2, NO_MOVES);
    let (_, key) = cluster.grant("desk");
    // A run takes half of the deadline, and the pool has 64 slots: only the first 64 requests, and
    // some that start right after them, can end in time.
    let deadline_ms = 6_000;
    let calls = (0..300)
        .map(|_| {
            Call::new("maps", &key, 3_000)
                .at_most_once()
                .deadline_ms(deadline_ms)
        })
        .collect();
    let rows = call_all(&cluster, calls);
    assert_all_match_runs(&cluster, &rows);
    let refused: Vec<_> = rows
        .iter()
        .filter(|(_, reply, _)| reply.ran == "not_run")
        .collect();
    assert!(
        refused.len() >= 150,
        "only {} calls were refused",
        refused.len()
    );
    assert!(refused
        .iter()
        .all(|(_, reply, _)| reply.retry_after_ms.is_some()));
    // Every refusal comes before the deadline, and most come well before it.
    let early = Duration::from_millis(deadline_ms * 3 / 4);
    let early_count = refused
        .iter()
        .filter(|(_, _, elapsed)| *elapsed < early)
        .count();
    assert!(
        early_count * 2 >= refused.len(),
        "only {early_count} of {} refusals came early",
        refused.len()
    );
    let in_time = Duration::from_millis(deadline_ms);
    assert!(refused.iter().all(|(_, _, elapsed)| *elapsed < in_time));
    let done_count = rows.iter().filter(|(_, reply, _)| reply.is_done()).count();
    assert!(done_count >= 32, "only {done_count} calls succeeded");
}

#[test]
fn a_first_burst_waits_for_its_part_of_the_limit_on_a_slow_log() {
    let cluster = spawn(2, NO_MOVES);
    let (_, key) = cluster.grant("desk");
    cluster.set_log_faults(&json!({ "delay_ms": 400 }));
    let calls = (0..40).map(|_| Call::new("maps", &key, 20)).collect();
    let rows = call_all(&cluster, calls);
    for (_, reply, _) in rows {
        assert!(reply.is_done(), "{reply:?}");
    }
}

#[test]
fn a_nearly_full_pool_refuses_no_request_that_can_wait() {
    let cluster = spawn(3, NO_MOVES);
    let (_, key) = cluster.grant("desk");
    let load = Load::spawn(&callers(&cluster), 60, move || Call::new("maps", &key, 100));
    thread::sleep(Duration::from_millis(2_000));
    assert_all_done(&load.stop());
}

#[test]
fn floods_of_wrong_keys_and_malformed_input_do_not_delay_valid_callers() {
    let cluster = spawn(2, NO_MOVES);
    let (_, key) = cluster.grant("desk");
    let unrelated = spawn_unrelated_load(&cluster);
    let good = Load::spawn(&callers(&cluster), 4, {
        let key = key.clone();
        move || Call::new("maps", &key, 10)
    });
    let is_stopped = Arc::new(AtomicBool::new(false));
    let entry = &cluster.entries[0];
    let ports = [
        entry.callers_address.clone(),
        entry.operators_address.clone(),
        entry.peers_link.address(),
    ];
    let mut threads: Vec<_> = (0..9)
        .map(|index| {
            let (port, is_stopped) = (ports[index % 3].clone(), Arc::clone(&is_stopped));
            thread::spawn(move || flood_malformed(&port, index as u64, &is_stopped))
        })
        .collect();
    threads.extend((0..6).map(|index| {
        let (address, is_stopped) = (entry.callers_address.clone(), Arc::clone(&is_stopped));
        let wrong_key = match index % 2 {
            0 => format!("{}x", &key[..key.len() - 1]),
            _ => "hk_nobody_nothing".to_owned(),
        };
        thread::spawn(move || {
            while !is_stopped.load(Ordering::Relaxed) {
                let reply = Call::new("maps", &wrong_key, 5).send(&address);
                assert_eq!(reply.ran, "not_run", "{reply:?}");
            }
        })
    }));
    thread::sleep(Duration::from_millis(2_500));
    is_stopped.store(true, Ordering::Relaxed);
    for thread in threads {
        thread.join().expect("the flood does not panic");
    }
    let replies = good.stop();
    assert_all_done(&replies);
    assert_overhead_bounded(&replies);
    assert_unrelated_load_unaffected(unrelated);
    cluster.wait_serving();
}

/// Sends malformed requests from a fixed seed until `is_stopped` is set.
fn flood_malformed(address: &str, seed: u64, is_stopped: &AtomicBool) {
    let mut runner = TestRunner::new(Config {
        rng_seed: RngSeed::Fixed(seed),
        ..Config::default()
    });
    let part = prop_oneof![
        Just(b"POST /v1/queues/maps/call HTTP/1.1\r\n".to_vec()),
        Just(b"POST / HTTP/1.1\r\ncontent-type: application/json\r\n".to_vec()),
        Just(b"GET /v1/status HTTP/1.1\r\n".to_vec()),
        Just(b"content-length: 99999999999999999999\r\n".to_vec()),
        Just(b"content-length: 10\r\n".to_vec()),
        Just(b"transfer-encoding: chunked\r\n\r\nfffffffff\r\n".to_vec()),
        Just(b"x-request-id: \xff\xfe\r\nx-deadline-ms: -1\r\n".to_vec()),
        Just(b"\r\n\r\n".to_vec()),
        Just(b"{\"jsonrpc\":\"2.0\",\"method\":\"gossip\",\"params\":[{}],\"id\":1}".to_vec()),
        prop::collection::vec(any::<u8>(), 0..400),
    ];
    let input = prop::collection::vec(part, 1..6);
    while !is_stopped.load(Ordering::Relaxed) {
        let parts = input
            .new_tree(&mut runner)
            .expect("the strategy yields a value");
        let bytes = parts.current().concat();
        // An overloaded port may refuse the connection; how a connection ends does not matter.
        let Ok(mut stream) = TcpStream::connect(address) else {
            continue;
        };
        let timeout = Some(Duration::from_millis(50));
        stream
            .set_read_timeout(timeout)
            .expect("the timeout is not zero");
        let _ = stream.write_all(&bytes);
        let _ = stream.read(&mut [0; 1_024]);
    }
}
