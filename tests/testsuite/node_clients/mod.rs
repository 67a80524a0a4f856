//! Clients of a process that do not behave. A node must live, stay within the memory and the
//! descriptors of its instance, and serve ordinary callers meanwhile. Each test has a node of its own
//! with low limits; they run one at a time.

mod crowd;
mod entry;
mod node;
mod store;

use std::future::Future;
use std::sync::{Mutex, PoisonError};

use hyper::body::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use self::crowd::{finished_chunks, head, short_body, unfinished_chunks, Crowd};
use self::node::{job_body, LimitedNode, BODY_MAX_BYTES, LARGE_JOB_BYTES};
use self::store::TinyChunksStore;
use crate::node_soak::platform::KEY;

/// Path of a job.
const JOB_PATH: &str = "/frames/00000000000000aa";
/// Path of calls between nodes.
const PEERS_PATH: &str = "/v1/calls";
const READY_PATH: &str = "/hawthornladder/readiness";
const METRICS_PATH: &str = "/metrics";
/// Length of a large body, in bytes.
const LARGE_BYTES: usize = 1_000_000;
/// Length of a small body, in bytes.
const SMALL_BYTES: usize = 100_000;
/// Clients that send small bodies in tiny chunks.
const TINY_CHUNKS_CLIENTS_COUNT: usize = 60;
/// Clients that send large bodies.
const LARGE_BODY_CLIENTS_COUNT: usize = 100;
/// Clients whose bodies stop after a few bytes.
const STALLED_CLIENTS_COUNT: usize = 560;
/// Clients at an address with few connections.
const PROBE_CLIENTS_COUNT: usize = 80;
/// Clients that send many requests and read no answer.
const PIPELINING_CLIENTS_COUNT: usize = 200;
/// Requests that a client sends without reading an answer.
const PIPELINED_COUNT: usize = 12_000;
/// Lines that a node may log about many requests of a kind in the time of a test.
const LOG_LINES_MAX_COUNT: usize = 20_000;

/// Bytes on the wire of some long answers of the store.
const STORE_ANSWERS_BYTES: usize = 60 << 20;

/// Runs a test that starts a process, while no other such test runs.
fn run_alone<T: Future<Output = ()>>(test: T) {
    static ALONE: Mutex<()> = Mutex::new(());
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime can be built");
    LocalSet::new().block_on(&runtime, test);
}

/// Starts a node, lets `crowd` gather, and asserts that the node keeps its limits and serves, also
/// while the crowd is there.
async fn assert_withstands(name: &str, crowd: impl AsyncFnOnce(&LimitedNode) -> Vec<Crowd>) {
    let node = LimitedNode::open(name).await;
    let crowds = crowd(&node).await;
    assert!(crowds.iter().all(|crowd| crowd.written_bytes() > 0));
    node.assert_within_limits().await;
    node.assert_serves().await;
    drop(crowds);
    node.assert_serves().await;
    node.assert_within_limits().await;
}

fn submit_head(node: &LimitedNode) -> String {
    head("POST", JOB_PATH, node.callers(), KEY)
}

#[test]
fn bodies_in_chunks_of_one_byte_take_the_memory_of_their_bytes() {
    run_alone(assert_withstands("tiny-chunks", async |node| {
        let request = unfinished_chunks(&submit_head(node), SMALL_BYTES, 1);
        vec![Crowd::gather(node.callers(), TINY_CHUNKS_CLIENTS_COUNT, &request).await]
    }));
}

#[test]
fn large_bodies_in_chunks_share_one_bound() {
    run_alone(assert_withstands("large-chunks", async |node| {
        let chunk_bytes = 16 << 10;
        let request = unfinished_chunks(&submit_head(node), LARGE_BYTES / chunk_bytes, chunk_bytes);
        vec![Crowd::gather(node.callers(), LARGE_BODY_CLIENTS_COUNT, &request).await]
    }));
}

#[test]
fn large_bodies_of_a_declared_length_share_one_bound() {
    run_alone(assert_withstands("declared-length", async |node| {
        let request = short_body(&submit_head(node), LARGE_BYTES, LARGE_BYTES - 10);
        vec![Crowd::gather(node.callers(), LARGE_BODY_CLIENTS_COUNT, &request).await]
    }));
}

/// Bodies within the limit of the lists are read, unlike longer ones.
#[test]
fn bodies_within_the_limit_that_stop_short_share_one_bound() {
    run_alone(assert_withstands("allowed-length", async |node| {
        let request = short_body(&submit_head(node), BODY_MAX_BYTES, BODY_MAX_BYTES - 10);
        vec![Crowd::gather(node.callers(), 4 * LARGE_BODY_CLIENTS_COUNT, &request).await]
    }));
}

#[test]
fn a_body_where_none_belongs_takes_no_memory() {
    run_alone(assert_withstands("body-of-get", async |node| {
        let head = head("GET", JOB_PATH, node.callers(), KEY);
        let request = unfinished_chunks(&head, SMALL_BYTES, 1);
        vec![Crowd::gather(node.callers(), TINY_CHUNKS_CLIENTS_COUNT, &request).await]
    }));
}

#[test]
fn heads_without_an_end_are_bounded() {
    run_alone(assert_withstands("heads", async |node| {
        let start = submit_head(node);
        let request = Bytes::from(format!("{start}x-padding: {}", "x".repeat(380_000)));
        vec![Crowd::gather(node.callers(), 2 * LARGE_BODY_CLIENTS_COUNT, &request).await]
    }));
}

#[test]
fn large_bodies_at_the_address_of_the_peers_share_the_bound() {
    run_alone(assert_withstands("peers-bodies", async |node| {
        let head = head("POST", PEERS_PATH, node.peers(), KEY);
        let request = short_body(&head, LARGE_BYTES, LARGE_BYTES - 10);
        let crowd = Crowd::gather(node.peers(), LARGE_BODY_CLIENTS_COUNT, &request).await;
        node.assert_answers_peers().await;
        vec![crowd]
    }));
}

#[test]
fn stalled_bodies_do_not_keep_callers_out() {
    run_alone(assert_withstands("stalled", async |node| {
        let request = short_body(&submit_head(node), SMALL_BYTES, 5);
        vec![Crowd::gather(node.callers(), STALLED_CLIENTS_COUNT, &request).await]
    }));
}

#[test]
fn stalled_bodies_do_not_keep_peers_out() {
    run_alone(assert_withstands("peers-stalled", async |node| {
        let head = head("POST", PEERS_PATH, node.peers(), KEY);
        let request = short_body(&head, SMALL_BYTES, 5);
        let crowd = Crowd::gather(node.peers(), STALLED_CLIENTS_COUNT, &request).await;
        node.assert_answers_peers().await;
        vec![crowd]
    }));
}

#[test]
fn connections_without_a_request_do_not_keep_callers_out() {
    run_alone(assert_withstands("silent", async |node| {
        let start = Bytes::from_static(b"G");
        vec![Crowd::gather(node.callers(), STALLED_CLIENTS_COUNT, &start).await]
    }));
}

#[test]
fn stalled_clients_do_not_hide_readiness_and_metrics() {
    run_alone(assert_withstands("probes", async |node| {
        let start = Bytes::from_static(b"G");
        let head = head("POST", READY_PATH, node.ready(), KEY);
        let stalled = short_body(&head, 1_000, 5);
        let crowds = vec![
            Crowd::gather(node.ready(), PROBE_CLIENTS_COUNT, &start).await,
            Crowd::gather(node.ready(), PROBE_CLIENTS_COUNT, &stalled).await,
            Crowd::gather(node.metrics(), PROBE_CLIENTS_COUNT, &stalled).await,
        ];
        node.assert_answers(node.ready(), READY_PATH).await;
        node.assert_answers(node.metrics(), METRICS_PATH).await;
        crowds
    }));
}

/// The addresses of a process share its descriptors.
#[test]
fn crowds_at_all_addresses_share_the_descriptors() {
    run_alone(assert_withstands("all-addresses", async |node| {
        let start = Bytes::from_static(b"G");
        let mut crowds = Vec::new();
        for address in [node.peers(), node.callers(), node.ready(), node.metrics()] {
            crowds.push(Crowd::gather(address, STALLED_CLIENTS_COUNT, &start).await);
        }
        crowds
    }));
}

#[test]
fn answers_that_nobody_reads_are_bounded_and_so_is_the_log() {
    run_alone(async {
        let node = LimitedNode::open("unread-answers").await;
        let head = head("GET", "/no-such-queue/", node.callers(), KEY);
        let requests = Bytes::from(format!("{head}\r\n").repeat(PIPELINED_COUNT));
        let count = PIPELINING_CLIENTS_COUNT;
        let crowd = Crowd::gather(node.callers(), count, &requests).await;
        assert!(crowd.written_bytes() > count * 10_000);
        node.assert_serves().await;
        node.assert_within_limits().await;
        let lines_count = node.log_lines_count();
        println!("{lines_count} lines");
        assert!(lines_count < LOG_LINES_MAX_COUNT, "{lines_count} lines");
        drop(crowd);
        node.assert_serves().await;
    });
}

/// A small body can describe many steps; a step takes much more memory than its text.
#[test]
fn a_job_of_too_many_steps_is_refused_within_the_memory() {
    run_alone(assert_withstands("many-steps", async |node| {
        let peers_head = head("POST", PEERS_PATH, node.peers(), KEY);
        let steps = "{},".repeat(600_000);
        let call = format!(
            r#"{{"submit":{{"id":1,"queue":"frames","team":"survey","spec":{{"payload":"","steps":[{steps}{{}}]}}}}}}"#
        );
        let request = format!("{peers_head}content-length: {}\r\n\r\n{call}", call.len());
        let crowd = Crowd::gather(node.peers(), 4, &Bytes::from(request)).await;
        let phases = r#"{"count":1},"#.repeat(20_000);
        let job = format!(r#"{{"phases":[{phases}{{"count":1}}]}}"#);
        assert_eq!(send(node, job.as_bytes()).await, 400);
        vec![crowd]
    }));
}

/// Returns the status of the answer to a job with this body. All of the body is written before the
/// answer is read.
async fn send(node: &LimitedNode, body: &[u8]) -> u16 {
    let head = submit_head(node);
    let request = format!(
        "{head}content-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    send_raw(node, &[request.as_bytes(), body].concat()).await
}

async fn send_raw(node: &LimitedNode, request: &[u8]) -> u16 {
    let mut stream = TcpStream::connect(node.callers())
        .await
        .expect("a connection");
    stream
        .write_all(request)
        .await
        .expect("the server reads the request");
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer).await;
    let text = String::from_utf8_lossy(&answer);
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    status.unwrap_or_else(|| panic!("no answer was read: {text:?} {read:?}"))
}

#[test]
fn a_large_job_in_chunks_of_one_byte_is_accepted_in_calm() {
    run_alone(async {
        let node = LimitedNode::open("calm").await;
        let rest_bytes = LARGE_JOB_BYTES - job_body(0).to_string().len();
        let body = job_body(rest_bytes).to_string();
        assert_eq!(body.len(), LARGE_JOB_BYTES);
        let head = format!("{}connection: close\r\n", submit_head(&node));
        let request = finished_chunks(&head, &body);
        assert_eq!(send_raw(&node, &request).await, 200);
        node.assert_within_limits().await;
    });
}

/// A connection that is closed with unread bytes is reset, and an answer before that is lost.
#[test]
fn a_refusal_reaches_a_client_that_is_still_writing() {
    run_alone(async {
        let node = LimitedNode::open("refusals").await;
        assert_eq!(send(&node, &vec![b' '; BODY_MAX_BYTES + 1]).await, 413);
        assert_eq!(send(&node, &vec![b' '; 2 * LARGE_BYTES]).await, 413);
        let unknown = head(
            "POST",
            "/no-such-queue/00000000000000aa",
            node.callers(),
            KEY,
        );
        let bad_key = head("POST", JOB_PATH, node.callers(), "not-a-key");
        for (head, status) in [(unknown, 404), (bad_key, 401)] {
            let body = " ".repeat(LARGE_BYTES);
            let length = body.len();
            let request =
                format!("{head}content-length: {length}\r\nconnection: close\r\n\r\n{body}");
            assert_eq!(send_raw(&node, request.as_bytes()).await, status);
        }
        node.assert_serves().await;
    });
}

/// The process is a client as well: of the store, the workers and other services.
#[test]
fn answers_in_chunks_of_one_byte_take_the_memory_of_their_bytes() {
    run_alone(async {
        let store = TinyChunksStore::bind().await;
        let node = LimitedNode::open_without_lists("tiny-answers", store.address()).await;
        store.wait_until_written(STORE_ANSWERS_BYTES).await;
        node.assert_within_limits().await;
        assert!(node.is_answering().await);
    });
}
