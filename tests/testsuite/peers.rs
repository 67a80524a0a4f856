//! Calls between entries, and the operators' port: an unresponsive or faulty client or server costs
//! one call at most.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Instant;

use hawthornladder::adapters::operators_http::{OperatorAnswer, OperatorCall, OperatorsServer};
use hawthornladder::adapters::peers_rpc::{
    PeerAnswer, PeerCall, PeerClient, PeersServer, TailRequest, WithdrawAtPeer,
};
use hawthornladder::entry::Gossip;
use hawthornladder::error::ErrorKind;
use hawthornladder::ports::{LogPage, LogRecord, PortError};
use proptest::collection::vec;
use proptest::prelude::*;
use serde_json::json;

use crate::support::{
    assert_property, connect, exchange, fixed_runner, is_closed_within, wait_until, SHORT_TIMEOUT,
};

const LOOPBACK: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
const TIMEOUT_MS: u64 = 200;
/// Clients that send a part of a request to the operators' port.
const STALLED_OPERATORS_COUNT: usize = 300;

fn answer(call: PeerCall) -> PeerAnswer {
    match call {
        PeerCall::Gossip(gossip) => PeerAnswer::Gossip(gossip),
        PeerCall::Tail(ask) => PeerAnswer::Tail(LogPage {
            records: vec![LogRecord {
                offset: ask.from_offset,
                at_unix_ms: 1,
                payload: "record".into(),
            }],
            head_offset: ask.from_offset + 1,
            oldest_offset: 0,
        }),
        PeerCall::WithdrawKey(_) => PeerAnswer::Ordered { was_known: true },
        PeerCall::Status => PeerAnswer::Status(json!({ "version": 3 })),
        _ => PeerAnswer::Failed {
            kind: ErrorKind::EntryNotReady,
        },
    }
}

fn open_pair() -> (PeersServer, PeerClient) {
    let server = PeersServer::bind(SocketAddr::from(LOOPBACK), Arc::new(answer)).expect("a port");
    let client = PeerClient::open(&server.address().to_string(), 2_000).expect("a client");
    (server, client)
}

#[test]
fn calls_and_answers_keep_their_types() {
    let (_server, client) = open_pair();
    let gossip = Gossip {
        seat: "entry-2".into(),
        withdrawn: vec!["k1".into()],
        ..Gossip::default()
    };
    let echoed = client.call(&PeerCall::Gossip(Box::new(gossip.clone())));
    assert_eq!(echoed, Ok(PeerAnswer::Gossip(Box::new(gossip))));
    let ask = TailRequest {
        from_offset: 7,
        records_max_count: 1,
        wait_ms: 0,
    };
    match client.call(&PeerCall::Tail(ask)) {
        Ok(PeerAnswer::Tail(page)) => assert_eq!(page.records[0].offset, 7),
        other => panic!("the answer is not a page of records: {other:?}"),
    }
    let withdraw = PeerCall::WithdrawKey(WithdrawAtPeer {
        key_id: "ab".into(),
    });
    let ordered = PeerAnswer::Ordered { was_known: true };
    assert_eq!(client.call(&withdraw), Ok(ordered));
    let status = PeerAnswer::Status(json!({ "version": 3 }));
    assert_eq!(client.call(&PeerCall::Status), Ok(status));
}

#[test]
fn a_call_to_a_closed_port_fails_as_not_sent() {
    let listener = TcpListener::bind(SocketAddr::from(LOOPBACK)).expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let client = PeerClient::open(&address.to_string(), TIMEOUT_MS).expect("a client");
    let result = client.call(&PeerCall::Status);
    assert!(matches!(result, Err(PortError::NotSent(_))), "{result:?}");
}

#[test]
fn an_unresponsive_peer_costs_one_timeout_and_the_next_call_reconnects() {
    let listener = TcpListener::bind(SocketAddr::from(LOOPBACK)).expect("a port");
    let address = listener.local_addr().expect("an address");
    let accepted_count = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&accepted_count);
    thread::spawn(move || {
        let mut streams = Vec::new();
        for stream in listener.incoming() {
            counted.fetch_add(1, Ordering::SeqCst);
            streams.push(stream);
        }
    });
    let client = PeerClient::open(&address.to_string(), TIMEOUT_MS).expect("a client");
    for calls_count in 1..=2 {
        let start = Instant::now();
        let result = client.call(&PeerCall::Status);
        assert!(
            matches!(result, Err(PortError::AnswerLost(_))),
            "{result:?}"
        );
        assert!(
            start.elapsed() < SHORT_TIMEOUT,
            "the call did not time out in time"
        );
        assert_eq!(
            accepted_count.load(Ordering::SeqCst),
            calls_count,
            "connections after {calls_count} calls"
        );
    }
}

#[test]
fn calls_that_wait_for_a_peer_are_bounded() {
    let listener = TcpListener::bind(SocketAddr::from(LOOPBACK)).expect("a port");
    let address = listener.local_addr().expect("an address");
    let client = PeerClient::open(&address.to_string(), 1_000).expect("a client");
    let not_sent_count = AtomicUsize::new(0);
    thread::scope(|scope| {
        for _ in 0..12 {
            scope.spawn(|| {
                if let Err(PortError::NotSent(_)) = client.call(&PeerCall::Status) {
                    not_sent_count.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
    });
    assert_eq!(
        not_sent_count.load(Ordering::SeqCst),
        4,
        "calls that were not sent"
    );
}

#[test]
fn malformed_calls_leave_the_peers_port_serving() {
    let (server, client) = open_pair();
    let bodies = prop_oneof![
        "[ -~]{0,80}",
        Just(r#"{"jsonrpc":"2.0","id":1,"method":"tail","params":[{"from_offset":-1}]}"#.into()),
        Just(r#"{"jsonrpc":"2.0","id":1,"method":"status","params":[[],[]]}"#.into()),
        Just(r#"[{"jsonrpc":"2.0","id":1,"method":"status"}]"#.into()),
        Just(format!("{}1", "[".repeat(5_000))),
    ];
    let mut runner = fixed_runner(100, 3);
    let outcome = runner.run(&(bodies, vec(any::<u8>(), 0..60)), |(body, raw)| {
        let head = format!(
            "POST / HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\n\
             content-length: {}\r\nconnection: close\r\n\r\n",
            body.len()
        );
        let mut stream = connect(server.address());
        stream
            .write_all(&[head.as_bytes(), body.as_bytes()].concat())
            .unwrap();
        prop_assert!(is_closed_within(&mut stream, SHORT_TIMEOUT));
        let mut stream = connect(server.address());
        let _ = stream.write_all(&raw);
        let _ = stream.shutdown(std::net::Shutdown::Write);
        prop_assert!(is_closed_within(&mut stream, SHORT_TIMEOUT));
        Ok(())
    });
    assert_property(outcome);
    assert!(
        client.call(&PeerCall::Status).is_ok(),
        "the port does not answer a valid call any more"
    );
}

#[test]
fn idle_connections_at_the_peers_port_are_bounded() {
    let (server, _client) = open_pair();
    let idle: Vec<TcpStream> = (0..80).map(|_| connect(server.address())).collect();
    assert!(
        wait_until(|| server.connections_count() == 64),
        "the server does not hold 64 connections"
    );
    drop(idle);
    assert!(
        wait_until(|| server.connections_count() == 0),
        "the server holds connections that the clients closed"
    );
}

#[test]
fn operators_calls_are_parsed_and_malformed_ones_refused() {
    let handler = |call: OperatorCall| match call {
        OperatorCall::Ready => OperatorAnswer::Text {
            status: 200,
            content_type: "text/plain",
            body: "ready\n".into(),
        },
        OperatorCall::WithdrawKey(order) => OperatorAnswer::Json {
            status: 200,
            body: json!({ "withdrawn": order.key_id }),
        },
        call => OperatorAnswer::Json {
            status: 200,
            body: json!(format!("{call:?}")),
        },
    };
    let server = OperatorsServer::bind(SocketAddr::from(LOOPBACK), Arc::new(handler)).unwrap();
    let send = |line: &str, body: &str| {
        let length = body.len();
        let head = format!("{line} HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n{body}");
        exchange(server.address(), head.as_bytes()).expect("an answer")
    };
    assert_eq!(send("GET /ready", "").status, 200);
    let withdrawn = send("POST /v1/keys/withdraw", r#"{"key_id":"ab"}"#);
    assert_eq!(withdrawn.json()["withdrawn"], "ab");
    let explained = send("POST /v1/explain", r#"{"what":"stop","instance":"w1"}"#);
    assert!(explained.json().as_str().unwrap().contains("Stop"));
    let mut runner = fixed_runner(60, 4);
    let outcome = runner.run(&"[ -~]{0,60}", |body| {
        let reply = send("POST /v1/explain", &body);
        prop_assert_eq!(reply.status, ErrorKind::MalformedRequest.answer().status);
        Ok(())
    });
    assert_property(outcome);
    assert_eq!(send("GET /nothing", "").status, 400);
}

/// Requests whose bodies stop short took all threads of the server, and no operator was answered.
#[test]
fn stalled_requests_do_not_keep_operators_out() {
    let handler = |_: OperatorCall| OperatorAnswer::Json {
        status: 200,
        body: json!("ready"),
    };
    let server = OperatorsServer::bind(SocketAddr::from(LOOPBACK), Arc::new(handler)).unwrap();
    let start = b"POST /v1/explain HTTP/1.1\r\nhost: x\r\ncontent-length: 60000\r\n\r\n12345";
    let mut stalled = Vec::new();
    for _ in 0..STALLED_OPERATORS_COUNT {
        let mut stream = connect(server.address());
        stream
            .write_all(start)
            .expect("the server accepts requests");
        stalled.push(stream);
    }
    let status = exchange(
        server.address(),
        b"GET /v1/status HTTP/1.1\r\nhost: x\r\n\r\n",
    );
    assert_eq!(status.map(|reply| reply.status), Some(200));
    assert_eq!(stalled.len(), STALLED_OPERATORS_COUNT);
}
