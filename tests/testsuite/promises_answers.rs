//! Answers under faults: the caller gets its own complete answer or a truthful error, and a stalled
//! connection affects only the requests on it.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use hawthornladder::fleet::InstanceRow;
use hawthornladder::stand_in::task::TaskAnswer;
use serde_json::json;

use crate::calling::{Call, Reply};
use crate::cluster::Cluster;
use crate::proxy::{DirectionFaults, Proxy, ProxyFaults};
use crate::small_cluster::{
    assert_all_done, callers, clear_pool_faults, first_of_maps, put_rows, rows,
    send_instance_order, set_pool_faults, spawn, Load,
};

const NO_MOVES_LARGE_ANSWERS: &str =
    r#""moves_max_per_hour_count": 0, "answer_max_bytes": 33554432"#;

/// Longest time that a request on a healthy connection may take in addition to its run.
pub(crate) const OVERHEAD_MAX: Duration = Duration::from_millis(1_600);

/// Bound on the resident memory of an entry whose requests and answers are all small.
const RESIDENT_MAX_MB: u64 = 128;

/// Size of a large body or answer.
const LARGE_BYTES: usize = 24 * 1_024 * 1_024;

/// Asserts that the reply is the caller's own answer, or an error that agrees with the runs in the
/// workers' journals.
fn assert_reply_matches_runs(call: &Call, reply: &Reply, runs_count: usize) {
    let is_own = TaskAnswer::decode(&reply.body)
        .is_some_and(|answer| answer.is_for(&call.request_id, &call.body));
    let is_truthful = match (reply.status, reply.ran.as_str()) {
        (200, "ran") => is_own && runs_count >= 1,
        (_, "not_run") => runs_count == 0,
        (_, "outcome_unknown") => true,
        _ => false,
    };
    let is_single = call.is_idempotent || runs_count <= 1;
    let shown = Reply {
        body: reply.body.iter().copied().take(200).collect(),
        ..reply.clone()
    };
    assert!(is_truthful && is_single, "{runs_count} runs: {shown:?}");
}

/// Makes all calls at once, round-robin over all entries; returns each with its reply and its
/// duration.
pub(crate) fn call_all(cluster: &Cluster, calls: Vec<Call>) -> Vec<(Call, Reply, Duration)> {
    call_at(&callers(cluster), calls)
}

/// Makes all calls at once, round-robin over the addresses.
pub(crate) fn call_at(addresses: &[String], calls: Vec<Call>) -> Vec<(Call, Reply, Duration)> {
    let threads = calls.into_iter().enumerate().map(|(index, call)| {
        let address = addresses[index % addresses.len()].clone();
        thread::spawn(move || {
            let started = Instant::now();
            let reply = call.send(&address);
            (call, reply, started.elapsed())
        })
    });
    let threads: Vec<_> = threads.collect();
    let joined = threads.into_iter().map(|thread| thread.join());
    joined
        .map(|row| row.expect("the caller does not panic"))
        .collect()
}

pub(crate) fn assert_all_match_runs(cluster: &Cluster, rows: &[(Call, Reply, Duration)]) {
    let runs = cluster.stand_ins.runs();
    for (call, reply, _) in rows {
        let runs = runs.iter().filter(|run| run.request_id == call.request_id);
        assert_reply_matches_runs(call, reply, runs.count());
    }
}

/// Registers a new incarnation of the worker of `row` that is reached through a proxy.
fn register_behind_proxy(cluster: &Cluster, row: &InstanceRow) -> Proxy {
    let proxy = Proxy::spawn(&row.address);
    let row = InstanceRow {
        incarnation: format!("{}.proxied", row.name).into(),
        address: proxy.address().into(),
        ..row.clone()
    };
    put_rows(cluster, &[row]);
    proxy
}

/// Waits until a task has run on the incarnation.
fn wait_until_used(cluster: &Cluster, key: &str, incarnation: &str) {
    cluster.wait_until("the worker behind the proxy is used", |cluster| {
        let calls = (0..12).map(|_| Call::new("maps", key, 20)).collect();
        call_all(cluster, calls);
        let runs = cluster.stand_ins.runs();
        runs.iter().any(|run| run.incarnation == incarnation)
    });
}

fn mixed_calls(key: &str, run_ms: u64, deadline_ms: u64, count: usize) -> Vec<Call> {
    let call = |index| {
        let call = Call::new("maps", key, run_ms).deadline_ms(deadline_ms);
        match index % 2 {
            0 => call,
            _ => call.at_most_once(),
        }
    };
    (0..count).map(call).collect()
}

/// Answers that workers mix up, truncate, send twice in one body or never end reach no caller.
#[test]
fn invalid_answers_of_workers_reach_no_caller() {
    let cluster = spawn(
        2,
        r#""moves_max_per_hour_count": 0, "answer_max_bytes": 1048576"#,
    );
    let (_, key) = cluster.grant("desk");
    for fault in ["crossed", "truncated", "doubled", "endless"] {
        let faults = json!({ "answer": fault, "answer_permille": 400 });
        set_pool_faults(&cluster, "maps", &faults);
        let rows = call_all(&cluster, mixed_calls(&key, 10, 5_000, 40));
        assert_all_match_runs(&cluster, &rows);
        let done_count = rows.iter().filter(|(_, reply, _)| reply.is_done()).count();
        assert!((1..40).contains(&done_count), "{fault}: {done_count}");
    }
    for fault in ["crossed", "truncated", "doubled", "endless"] {
        set_pool_faults(&cluster, "maps", &json!({ "answer": fault }));
        let rows = call_all(&cluster, mixed_calls(&key, 10, 2_000, 12));
        assert_all_match_runs(&cluster, &rows);
        assert!(rows.iter().all(|(_, reply, _)| !reply.is_done()), "{fault}");
    }
    clear_pool_faults(&cluster, "maps");
    cluster.wait_until("the pool is healthy again", |cluster| {
        let rows = call_all(cluster, mixed_calls(&key, 10, 5_000, 10));
        rows.iter().all(|(_, reply, _)| reply.is_done())
    });
}

#[test]
fn endless_answers_take_no_more_memory_than_they_declare() {
    let cluster = spawn(1, NO_MOVES_LARGE_ANSWERS);
    let (_, key) = cluster.grant("desk");
    set_pool_faults(&cluster, "maps", &json!({ "answer": "endless" }));
    let call = |_| {
        Call::new("maps", &key, 10)
            .at_most_once()
            .deadline_ms(10_000)
    };
    let rows = call_all(&cluster, (0..24).map(call).collect());
    assert!(rows
        .iter()
        .all(|(_, reply, _)| reply.ran == "outcome_unknown"));
    let peak_mb = cluster.entries[0].process.resident_peak_mb();
    assert!(
        peak_mb < RESIDENT_MAX_MB,
        "the entry had {peak_mb} MB resident"
    );
}

#[test]
fn a_late_answer_is_reported_as_unknown_at_the_deadline() {
    let cluster = spawn(2, NO_MOVES_LARGE_ANSWERS);
    let (_, key) = cluster.grant("desk");
    set_pool_faults(&cluster, "maps", &json!({ "answer_delay_ms": 2_000 }));
    let rows = call_all(&cluster, mixed_calls(&key, 10, 700, 10));
    assert_all_match_runs(&cluster, &rows);
    for (_, reply, elapsed) in rows {
        assert_eq!(reply.ran, "outcome_unknown");
        assert!(elapsed < Duration::from_millis(700) + OVERHEAD_MAX);
    }
}

/// When all open connections to a worker stall, only the requests on them end with an unknown
/// outcome.
#[test]
fn stalled_connections_affect_only_the_requests_on_them() {
    let cluster = spawn(2, NO_MOVES_LARGE_ANSWERS);
    let (_, key) = cluster.grant("desk");
    let row = first_of_maps(&cluster);
    // Three of the other workers leave, so that each remaining one always has work.
    let maps = rows(&cluster).into_iter().filter(|row| row.pool == "maps");
    for other in maps.filter(|other| other.name != row.name).take(3) {
        send_instance_order(&cluster, &other.name, "leave");
    }
    let proxy = register_behind_proxy(&cluster, &row);
    wait_until_used(&cluster, &key, &format!("{}.proxied", row.name));
    let load_key = key.clone();
    let load = Load::spawn(&callers(&cluster), 32, move || {
        Call::new("maps", &load_key, 60)
            .at_most_once()
            .deadline_ms(3_000)
    });
    thread::sleep(Duration::from_millis(1_200));
    proxy.stall_open();
    thread::sleep(Duration::from_millis(3_500));
    let replies = load.stop();
    let (done, not_done): (Vec<_>, Vec<_>) =
        replies.iter().partition(|(_, reply, _)| reply.is_done());
    assert!(not_done
        .iter()
        .all(|(_, reply, _)| reply.ran == "outcome_unknown"));
    let not_done_count = not_done.len();
    assert!(
        (1..=row.slots_count as usize).contains(&not_done_count),
        "{not_done_count} requests did not succeed"
    );
    let slowest = done.iter().map(|(_, _, elapsed)| elapsed).max();
    assert!(
        slowest.is_some_and(|slowest| *slowest < OVERHEAD_MAX),
        "the slowest call that succeeded took {slowest:?}"
    );
    // The worker serves again on new connections.
    let rows = call_all(&cluster, mixed_calls(&key, 20, 3_000, 24));
    assert!(rows.iter().all(|(_, reply, _)| reply.is_done()));
}

/// Connections to workers that stall after any number of bytes, towards the worker or back.
#[test]
fn a_stall_at_any_byte_in_either_direction_is_reported_truthfully() {
    let cluster = spawn(2, NO_MOVES_LARGE_ANSWERS);
    let (_, key) = cluster.grant("desk");
    let rows: Vec<_> = rows(&cluster)
        .into_iter()
        .filter(|row| row.pool == "maps")
        .take(4)
        .collect();
    let proxies: Vec<_> = rows
        .iter()
        .map(|row| register_behind_proxy(&cluster, row))
        .collect();
    wait_until_used(&cluster, &key, &format!("{}.proxied", rows[0].name));
    for at_bytes in [[0, 1], [40, 300], [420, 480], [200, 380]] {
        for (index, proxy) in proxies.iter().enumerate() {
            let stalled = DirectionFaults {
                stall_at_byte: Some(at_bytes[index / 2]),
                ..DirectionFaults::default()
            };
            let (to_upstream, to_client) = match index % 2 {
                0 => (stalled, DirectionFaults::default()),
                _ => (DirectionFaults::default(), stalled),
            };
            proxy.set(ProxyFaults {
                to_upstream,
                to_client,
                ..ProxyFaults::default()
            });
        }
        let rows = call_all(&cluster, mixed_calls(&key, 20, 1_200, 24));
        assert_all_match_runs(&cluster, &rows);
        let done = rows
            .iter()
            .filter(|(call, reply, _)| reply.is_done() && !call.is_idempotent);
        assert!(done
            .map(|(_, _, elapsed)| elapsed)
            .all(|elapsed| *elapsed < OVERHEAD_MAX));
        let in_time = Duration::from_millis(1_200) + OVERHEAD_MAX;
        assert!(rows.iter().all(|(_, _, elapsed)| *elapsed < in_time));
    }
}

#[test]
fn large_bodies_and_answers_arrive_complete() {
    let cluster = spawn(2, NO_MOVES_LARGE_ANSWERS);
    let (_, key) = cluster.grant("desk");
    let mut body = format!("{{\"run_ms\":5,\"answer_bytes\":{LARGE_BYTES}}}").into_bytes();
    body.resize(LARGE_BYTES, b' ');
    let calls = (0..3).map(|_| {
        let call = Call::new("maps", &key, 5).deadline_ms(30_000);
        call.body(body.clone())
    });
    let rows = call_all(&cluster, calls.collect());
    assert_all_match_runs(&cluster, &rows);
    for (_, reply, _) in rows {
        assert!(reply.is_done(), "{} {}", reply.status, reply.kind);
        assert!(reply.body.len() >= LARGE_BYTES);
    }
}

#[test]
fn a_worker_that_reads_nothing_holds_no_attempt_beyond_its_lease() {
    let cluster = spawn(2, NO_MOVES_LARGE_ANSWERS);
    let (_, key) = cluster.grant("desk");
    // The kernel accepts connections into the listener's queue, but nothing reads from them.
    let unread_listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let row = InstanceRow {
        name: "maps-hole".into(),
        incarnation: "maps-hole.1".into(),
        address: unread_listener
            .local_addr()
            .expect("it is bound")
            .to_string()
            .into(),
        ..first_of_maps(&cluster)
    };
    // All but one of the other workers leave, because entries prefer the workers that they know
    // while those have free capacity.
    for other in rows(&cluster)
        .iter()
        .filter(|row| row.pool == "maps")
        .skip(1)
    {
        send_instance_order(&cluster, &other.name, "leave");
    }
    put_rows(&cluster, &[row]);
    cluster.wait_until("the worker that reads nothing is registered", |cluster| {
        let instances = cluster.entries[0].status().instances;
        instances.values().sum::<u64>() == crate::small_cluster::TOTAL_COUNT as u64 + 1
    });
    let calls = |count| -> Vec<Call> {
        let call = |_| {
            let mut body = b"{\"run_ms\":5}".to_vec();
            body.resize(8 * 1_024 * 1_024, b' ');
            Call::new("maps", &key, 5)
                .at_most_once()
                .deadline_ms(4_000)
                .body(body)
        };
        (0..count).map(call).collect()
    };
    let rows = call_all(&cluster, calls(16));
    assert_all_match_runs(&cluster, &rows);
    let lost_count = rows.iter().filter(|(_, reply, _)| !reply.is_done()).count();
    assert!(
        (1..=8).contains(&lost_count),
        "{lost_count} of 16 calls did not succeed"
    );
    cluster.wait_until("no attempt is running", |cluster| {
        let mut entries = cluster.entries.iter();
        entries.all(|entry| entry.status().running_count == 0)
    });
}

/// Callers that stall in the middle of a request do not delay others, and are disconnected.
#[test]
fn stalled_callers_do_not_delay_others() {
    let settings = format!(
        "{NO_MOVES_LARGE_ANSWERS}, \"header_timeout_ms\": 1000, \"body_idle_timeout_ms\": 1000"
    );
    let cluster = spawn(1, &settings);
    let (_, key) = cluster.grant("desk");
    let address = cluster.entries[0].callers_address.clone();
    let id = uuid::Uuid::now_v7();
    let head = format!(
        "POST /v1/queues/maps/call HTTP/1.1\r\nhost: {address}\r\nauthorization: Bearer {key}\r\n\
         x-request-id: {id}\r\nx-idempotent: true\r\ncontent-length: 100\r\n\r\n{{\"run_ms\""
    );
    let stalled: Vec<TcpStream> = (0..200)
        .map(|index| {
            let mut stream = TcpStream::connect(&address).expect("the entry accepts connections");
            let part = &head.as_bytes()[..head.len() * (index % 10 + 1) / 10];
            stream.write_all(part).expect("the entry reads the request");
            stream
        })
        .collect();
    let load = Load::spawn(&[address], 4, move || Call::new("maps", &key, 10));
    thread::sleep(Duration::from_millis(2_500));
    let replies = load.stop();
    assert_all_done(&replies);
    let slowest = replies.iter().map(|(_, _, elapsed)| elapsed).max();
    assert!(slowest.is_some_and(|slowest| *slowest < OVERHEAD_MAX));
    // The entry has closed each stalled connection by now.
    for mut stream in stalled {
        let timeout = Some(Duration::from_secs(5));
        stream
            .set_read_timeout(timeout)
            .expect("the timeout is not zero");
        let ended = std::io::copy(&mut stream, &mut std::io::sink());
        let is_closed = !ended.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
        assert!(
            is_closed,
            "the connection of a stalled caller is still open"
        );
    }
}
