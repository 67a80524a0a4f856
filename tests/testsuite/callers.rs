//! The callers' interface keeps its bounds whatever callers send, and passes on what it reads whole.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use hawthornladder::adapters::callers_http::{CallersLimits, CallersServer};
use hawthornladder::callers::{CallerAnswer, CallerCall, CallerRequest, RanOn, ReplySender};
use hawthornladder::error::ErrorKind;
use proptest::collection::vec;
use proptest::prelude::*;

use crate::support::{
    assert_property, connect, exchange, fixed_runner, is_closed_within, read_reply, wait_until,
    HttpReply, SHORT_TIMEOUT,
};

const REQUEST_ID: &str = "01980000-0000-7000-8000-000000000001";
const SHORT: Duration = Duration::from_millis(100);

struct Bench {
    server: CallersServer,
    calls: flume::Receiver<CallerCall>,
    refusals: Arc<Mutex<Vec<ErrorKind>>>,
}

impl Bench {
    fn open(limits: CallersLimits, ring_count: usize) -> Self {
        let (sender, calls) = flume::bounded(ring_count);
        let refusals = Arc::new(Mutex::new(Vec::new()));
        let seen = Arc::clone(&refusals);
        let server = CallersServer::bind(
            SocketAddr::from(([127, 0, 0, 1], 0)),
            "entry-1",
            limits,
            sender,
            Arc::new(move |kind| seen.lock().unwrap().push(kind)),
        )
        .expect("a port");
        Self {
            server,
            calls,
            refusals,
        }
    }

    fn address(&self) -> SocketAddr {
        self.server.address()
    }

    fn next_run(&self) -> (u64, CallerRequest, ReplySender) {
        match self.calls.recv_timeout(SHORT_TIMEOUT) {
            Ok(CallerCall::Run {
                call_id,
                request,
                reply,
            }) => (call_id, request, reply),
            other => panic!("no run came, but {other:?}"),
        }
    }

    fn was_refused(&self, kind: ErrorKind) -> bool {
        self.refusals.lock().unwrap().contains(&kind)
    }
}

/// Bounds at which no test of a busy machine meets a time-out by chance.
fn limits() -> CallersLimits {
    CallersLimits {
        reply_grace_ms: 50,
        ..CallersLimits::default()
    }
}

/// Bounds for the tests of the time-outs themselves.
fn short_limits() -> CallersLimits {
    CallersLimits {
        header_timeout_ms: 1_000,
        body_idle_timeout_ms: 300,
        write_idle_timeout_ms: 300,
        ..limits()
    }
}

fn head(headers: &str, length: usize) -> String {
    format!(
        "POST /v1/queues/maps/call HTTP/1.1\r\nhost: x\r\nx-request-id: {REQUEST_ID}\r\n\
         content-length: {length}\r\n{headers}\r\n"
    )
}

fn call_bytes(headers: &str, body: &[u8]) -> Vec<u8> {
    [head(headers, body.len()).as_bytes(), body].concat()
}

/// Answers every run with its own body until the server has gone.
fn spawn_echo(calls: flume::Receiver<CallerCall>) {
    thread::spawn(move || {
        for call in calls {
            if let CallerCall::Run { request, reply, .. } = call {
                let ran_on = RanOn {
                    instance: "w1".into(),
                    pool: "p1".into(),
                    attempt_id: "a1".into(),
                };
                let _ = reply.send(CallerAnswer::done("entry-1".into(), ran_on, request.body));
            }
        }
    });
}

fn assert_refused(reply: Option<HttpReply>, kind: ErrorKind) {
    let reply = reply.expect("an answer");
    let row = kind.answer();
    assert_eq!(reply.status, row.status);
    assert_eq!(reply.header("x-kind"), Some(kind.name()));
    assert_eq!(reply.header("x-ran"), Some(row.ran.into()));
    assert_eq!(reply.header("retry-after").is_some(), row.has_retry_after);
    let json = reply.json();
    assert_eq!(json["kind"], kind.name());
    assert_eq!(json["ran"], <&str>::from(row.ran));
    assert_eq!(json["text"], row.text);
}

#[test]
fn a_call_reaches_the_core_typed_and_its_answer_says_what_ran_where() {
    let bench = Bench::open(limits(), 8);
    let headers = "authorization: Bearer k-1\r\nx-deadline-ms: 4000\r\nx-idempotent: true\r\n\
                   x-cores-milli: 500\r\nx-memory-mb: 64\r\nx-accelerators-count: 1\r\n\
                   x-run-ms: 20\r\n";
    let mut stream = connect(bench.address());
    stream.write_all(&call_bytes(headers, b"work")).unwrap();
    let (_, request, reply) = bench.next_run();
    assert_eq!(request.request_id, REQUEST_ID);
    assert_eq!(request.key.as_deref(), Some("k-1"));
    assert_eq!(request.queue, "maps");
    assert!((1..=4_000).contains(&request.deadline_ms));
    assert!(request.is_idempotent && !request.is_for_later);
    assert_eq!(request.size.cores_milli, 500);
    assert_eq!(request.size.accelerators_count, 1);
    assert_eq!(request.declared_run_ms, 20);
    let ran_on = RanOn {
        instance: "w1".into(),
        pool: "p1".into(),
        attempt_id: "a1".into(),
    };
    let answer = CallerAnswer::done("entry-1".into(), ran_on, request.body);
    reply.send(answer).unwrap();
    let reply = read_reply(&mut stream).expect("an answer");
    assert_eq!((reply.status, reply.body.as_slice()), (200, &b"work"[..]));
    assert_eq!(reply.header("x-ran"), Some("ran"));
    assert_eq!(reply.header("x-ran-on"), Some("w1"));
    assert_eq!(reply.header("x-pool"), Some("p1"));
    assert_eq!(reply.header("x-entry"), Some("entry-1"));
    assert_eq!(reply.header("x-request-id"), Some(REQUEST_ID));
}

#[test]
fn every_kind_reaches_the_caller_as_its_row_says() {
    use strum::IntoEnumIterator;
    let bench = Bench::open(limits(), 8);
    for kind in ErrorKind::iter() {
        let mut stream = connect(bench.address());
        stream.write_all(&call_bytes("", b"")).unwrap();
        let (_, _, reply) = bench.next_run();
        let answer = CallerAnswer::failed("entry-1".into(), kind, 1_001);
        reply.send(answer).unwrap();
        let answer = read_reply(&mut stream);
        if kind.answer().has_retry_after {
            let answer = answer.as_ref().expect("an answer");
            assert_eq!(answer.header("retry-after"), Some("2"));
        }
        assert_refused(answer, kind);
    }
}

#[test]
fn large_bodies_arrive_whole_in_both_directions() {
    let bench = Bench::open(limits(), 8);
    spawn_echo(bench.calls.clone());
    let body: Vec<u8> = (0..40_u32 << 20).map(|at| (at % 251) as u8).collect();
    let mut stream = connect(bench.address());
    stream.write_all(&call_bytes("", &body)).unwrap();
    let reply = read_reply(&mut stream).expect("an answer");
    assert!(reply.status == 200 && reply.body == body);
}

#[test]
fn bodies_over_the_bounds_are_refused_whole() {
    let limits = CallersLimits {
        body_max_bytes: 1_000,
        bodies_total_max_bytes: 1_500,
        ..limits()
    };
    let bench = Bench::open(limits, 8);
    let address = bench.address();
    let declared = exchange(address, head("", 1_001).as_bytes());
    assert_refused(declared, ErrorKind::BodyTooLarge);
    let chunked = [
        "POST /v1/queues/maps/call HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n",
        &format!("x-request-id: {REQUEST_ID}\r\n\r\n3e9\r\n"),
        &"b".repeat(1_001),
    ];
    let chunked = exchange(address, chunked.concat().as_bytes());
    assert_refused(chunked, ErrorKind::BodyTooLarge);
    let mut first = connect(address);
    first.write_all(&call_bytes("", &[1; 1_000])).unwrap();
    let (_, request, _reply) = bench.next_run();
    assert_eq!(request.body.len(), 1_000);
    let second = exchange(address, &call_bytes("", &[2; 501]));
    assert_refused(second, ErrorKind::QueueFull);
    assert!(bench.calls.is_empty());
}

#[test]
fn silent_connections_cost_one_bounded_slot_each() {
    let limits = CallersLimits {
        connections_max_count: 4,
        ..short_limits()
    };
    let bench = Bench::open(limits, 8);
    spawn_echo(bench.calls.clone());
    let mut silent: Vec<TcpStream> = (0..4).map(|_| connect(bench.address())).collect();
    silent[1].write_all(b"POST /v1/queues").unwrap();
    assert!(wait_until(|| bench.server.connections_count() == 4));
    let refused = exchange(bench.address(), &call_bytes("", b""));
    assert_refused(refused, ErrorKind::TooManyConnections);
    assert!(bench.was_refused(ErrorKind::TooManyConnections));
    assert!(wait_until(|| bench.server.connections_count() == 0));
    for stream in &mut silent {
        assert!(is_closed_within(stream, SHORT_TIMEOUT));
    }
    let served = exchange(bench.address(), &call_bytes("", b"x")).expect("an answer");
    assert_eq!(served.status, 200);
}

#[test]
fn a_connection_that_goes_silent_after_an_answer_is_closed() {
    let bench = Bench::open(short_limits(), 8);
    spawn_echo(bench.calls.clone());
    let mut stream = connect(bench.address());
    for _ in 0..2 {
        stream.write_all(&call_bytes("", b"x")).unwrap();
        assert_eq!(read_reply(&mut stream).expect("an answer").status, 200);
    }
    assert!(is_closed_within(&mut stream, SHORT_TIMEOUT));
    assert!(wait_until(|| bench.server.connections_count() == 0));
}

#[test]
fn slow_senders_are_refused_before_the_core_hears_of_them() {
    let bench = Bench::open(short_limits(), 8);
    let mut stalled = connect(bench.address());
    stalled.write_all(head("", 100).as_bytes()).unwrap();
    assert_refused(read_reply(&mut stalled), ErrorKind::SlowSender);
    // A byte now and then keeps the body from pausing, but the deadline ends it.
    let mut trickle = connect(bench.address());
    let trickle_head = head("x-deadline-ms: 400\r\n", 100);
    trickle.write_all(trickle_head.as_bytes()).unwrap();
    for _ in 0..10 {
        let _ = trickle.write_all(b"b");
        thread::sleep(SHORT);
    }
    assert_refused(read_reply(&mut trickle), ErrorKind::SlowSender);
    assert!(bench.calls.is_empty());
}

#[test]
fn a_caller_that_does_not_read_its_answer_loses_its_slot() {
    let bench = Bench::open(short_limits(), 8);
    let mut stream = connect(bench.address());
    stream.write_all(&call_bytes("", b"")).unwrap();
    let (_, _, reply) = bench.next_run();
    let body = vec![7; 32 << 20].into();
    let answer = CallerAnswer::done("entry-1".into(), RanOn::default(), body);
    reply.send(answer).unwrap();
    assert!(wait_until(|| bench.server.connections_count() == 0));
}

#[test]
fn a_full_ring_refuses_at_once() {
    let bench = Bench::open(limits(), 1);
    let mut first = connect(bench.address());
    first.write_all(&call_bytes("", b"")).unwrap();
    assert!(wait_until(|| bench.calls.len() == 1));
    let second = exchange(bench.address(), &call_bytes("", b""));
    assert_refused(second, ErrorKind::QueueFull);
}

#[test]
fn a_caller_that_goes_away_is_told_to_the_core_even_if_the_ring_is_full() {
    let bench = Bench::open(limits(), 1);
    let mut first = connect(bench.address());
    first.write_all(&call_bytes("", b"")).unwrap();
    let (call_id, _, _reply) = bench.next_run();
    let mut second = connect(bench.address());
    second.write_all(&call_bytes("", b"")).unwrap();
    assert!(wait_until(|| bench.calls.len() == 1));
    drop(first);
    thread::sleep(SHORT);
    let (second_id, _, second_reply) = bench.next_run();
    assert_ne!(second_id, call_id);
    match bench.calls.recv_timeout(SHORT_TIMEOUT) {
        Ok(CallerCall::Gone {
            call_id: gone_id,
            request_id,
        }) => assert_eq!((gone_id, request_id.as_str()), (call_id, REQUEST_ID)),
        other => panic!("the core did not hear of it, but {other:?}"),
    }
    let answer = CallerAnswer::done("entry-1".into(), RanOn::default(), Arc::default());
    second_reply.send(answer).unwrap();
    assert_eq!(read_reply(&mut second).expect("an answer").status, 200);
    drop(second);
    assert!(wait_until(|| bench.server.connections_count() == 0));
}

#[test]
fn a_core_that_gives_no_answer_costs_the_caller_its_deadline_and_no_false_word() {
    let bench = Bench::open(limits(), 8);
    let mut stream = connect(bench.address());
    let bytes = call_bytes("x-deadline-ms: 100\r\n", b"");
    stream.write_all(&bytes).unwrap();
    let (call_id, _, _reply) = bench.next_run();
    assert_refused(read_reply(&mut stream), ErrorKind::Internal);
    let gone = bench.calls.recv_timeout(SHORT_TIMEOUT).expect("an event");
    assert!(matches!(gone, CallerCall::Gone { call_id: id, .. } if id == call_id));
}

#[test]
fn a_finish_closes_idle_connections_and_ends_what_is_in_flight() {
    let bench = Bench::open(limits(), 8);
    let address = bench.address();
    let mut idle = connect(address);
    let mut busy = connect(address);
    busy.write_all(&call_bytes("", b"")).unwrap();
    let (_, _, reply) = bench.next_run();
    let server = bench.server;
    let finish = thread::spawn(move || server.finish(SHORT_TIMEOUT.as_millis() as u64));
    assert!(is_closed_within(&mut idle, SHORT_TIMEOUT));
    assert!(wait_until(|| TcpStream::connect(address).is_err()));
    let answer = CallerAnswer::done("entry-1".into(), RanOn::default(), Arc::from(&b"end"[..]));
    reply.send(answer).unwrap();
    assert_eq!(read_reply(&mut busy).expect("an answer").body, b"end");
    assert_eq!(finish.join().unwrap(), 0);
}

#[test]
fn readiness_and_closing_are_told_to_the_balancer_and_to_callers() {
    let bench = Bench::open(limits(), 8);
    spawn_echo(bench.calls.clone());
    let probe = b"GET /ready HTTP/1.1\r\nhost: x\r\n\r\n";
    let status = || exchange(bench.address(), probe).expect("an answer").status;
    assert_eq!(status(), 503);
    bench.server.set_ready(true);
    assert_eq!(status(), 200);
    bench.server.begin_closing();
    assert_eq!(status(), 503);
    let reply = exchange(bench.address(), &call_bytes("", b"x")).expect("an answer");
    assert_eq!(reply.status, 200);
    assert_eq!(reply.header("connection"), Some("close"));
}

#[test]
fn fetch_and_cancel_reach_the_core() {
    let bench = Bench::open(limits(), 8);
    for (line, is_cancel) in [("GET /v1/jobs/", false), ("DELETE /v1/requests/", true)] {
        let bytes = format!("{line}{REQUEST_ID} HTTP/1.1\r\nauthorization: Bearer k\r\n\r\n");
        let mut stream = connect(bench.address());
        stream.write_all(bytes.as_bytes()).unwrap();
        let reply = match bench.calls.recv_timeout(SHORT_TIMEOUT) {
            Ok(CallerCall::Cancel { reply, cancel, .. }) if is_cancel => {
                assert_eq!(cancel.key.as_deref(), Some("k"));
                reply
            }
            Ok(CallerCall::Fetch { reply, fetch, .. }) if !is_cancel => {
                assert_eq!(fetch.request_id, REQUEST_ID);
                reply
            }
            other => panic!("neither came, but {other:?}"),
        };
        reply
            .send(CallerAnswer::accepted("entry-1".into()))
            .unwrap();
        let answer = read_reply(&mut stream).expect("an answer");
        assert_eq!(
            (answer.status, answer.json()["state"].as_str()),
            (202, Some("accepted"))
        );
    }
}

#[test]
fn malformed_bytes_are_refused_and_leave_the_port_serving() {
    let bench = Bench::open(short_limits(), 64);
    let pieces = prop_oneof![
        Just("POST /v1/queues/maps/call HTTP/1.1\r\n".as_bytes().to_vec()),
        Just("GET /v1/jobs/x HTTP/1.1\r\n".as_bytes().to_vec()),
        Just(
            "content-length: 18446744073709551616\r\n"
                .as_bytes()
                .to_vec()
        ),
        Just("content-length: 3\r\n".as_bytes().to_vec()),
        Just("transfer-encoding: chunked\r\n".as_bytes().to_vec()),
        Just(b"\r\n".to_vec()),
        Just(b"ffffffffffffffff\r\n".to_vec()),
        vec(any::<u8>(), 0..200),
    ];
    let mut runner = fixed_runner(150, 1);
    let outcome = runner.run(&vec(pieces, 0..6), |pieces| {
        let mut stream = connect(bench.address());
        let _ = stream.write_all(&pieces.concat());
        let _ = stream.shutdown(std::net::Shutdown::Write);
        prop_assert!(is_closed_within(&mut stream, SHORT_TIMEOUT));
        // No piece carries a request id, so nothing may reach the core.
        prop_assert!(bench.calls.is_empty());
        Ok(())
    });
    assert_property(outcome);
    spawn_echo(bench.calls.clone());
    let served = exchange(bench.address(), &call_bytes("", b"x")).expect("an answer");
    assert_eq!(served.status, 200);
    assert!(wait_until(|| bench.server.connections_count() == 0));
}

#[test]
fn header_values_are_read_exactly_or_refused() {
    let bench = Bench::open(limits(), 8);
    let values = prop_oneof!["[0-9]{1,24}", "[ -~]{0,20}", "-?[0-9]{1,6}(\\.[0-9])?"];
    let mut runner = fixed_runner(200, 2);
    let outcome = runner.run(&values, |value| {
        let bytes = call_bytes(&format!("x-memory-mb: {value}\r\n"), b"");
        let mut stream = connect(bench.address());
        stream.write_all(&bytes).unwrap();
        let trimmed = value.trim_matches(' ');
        let is_digits = !trimmed.is_empty() && trimmed.bytes().all(|byte| byte.is_ascii_digit());
        match trimmed.parse::<u64>() {
            Ok(number) if is_digits && number <= 1 << 40 => {
                let (_, request, reply) = bench.next_run();
                prop_assert_eq!(request.size.memory_mb, number);
                let answer = CallerAnswer::accepted("entry-1".into());
                reply.send(answer).unwrap();
                prop_assert_eq!(read_reply(&mut stream).map(|reply| reply.status), Some(202));
            }
            _ => assert_refused(read_reply(&mut stream), ErrorKind::MalformedRequest),
        }
        Ok(())
    });
    assert_property(outcome);
}

#[test]
fn what_decides_a_single_run_must_be_said_once_and_rightly() {
    let bench = Bench::open(limits(), 8);
    let second_id = "x-request-id: 01980000-0000-7000-8000-000000000002\r\n";
    let wrong = [
        second_id,
        "x-idempotent: yes\r\n",
        "authorization: Basic abc\r\n",
        "authorization: Bearer a b\r\n",
        "x-deadline-ms: 0\r\n",
        "x-deadline-ms: 600001\r\n",
        "x-deadline-ms: 5\r\nx-deadline-ms: 6\r\n",
    ];
    for headers in wrong {
        let reply = exchange(bench.address(), &call_bytes(headers, b""));
        assert_refused(reply, ErrorKind::MalformedRequest);
    }
    let bare = "POST /v1/queues/maps/call HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n";
    let without_id = exchange(bench.address(), bare.as_bytes());
    assert_refused(without_id, ErrorKind::MalformedRequest);
    let version_4 = bare.replace(
        "host: x",
        "x-request-id: 4f1f8b6c-8c0e-4d1c-9a51-2f4f5b3a7f00",
    );
    let reply = exchange(bench.address(), version_4.as_bytes());
    assert_refused(reply, ErrorKind::MalformedRequest);
    assert!(bench.calls.is_empty());
}
