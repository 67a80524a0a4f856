//! The HTTP client of nodes: connections that are not used close by themselves, and their number has
//! a bound.

use std::cell::Cell;
use std::future::Future;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use hawthornladder::net::{
    self, Answer, Call, CallFailure, Client, ClientSettings, IncomingRequest, ServerHandle,
    ServerSettings,
};
use hyper::body::Bytes;
use hyper::Method;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::time::timeout;

/// Time without use after which the client of a test closes a connection, in milliseconds.
const IDLE_AGE_MAX_MS: u64 = 200;
/// Longest wait for a condition, in milliseconds.
const WAIT_MAX_MS: u64 = 10_000;

fn run<T: Future<Output = ()>>(test: T) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

fn client(idle_max_count: usize) -> Client {
    Client::open(ClientSettings {
        idle_max_count,
        idle_age_max_ms: IDLE_AGE_MAX_MS,
    })
}

/// Starts servers that each answer after a moment, so that calls at once need a connection each.
async fn serve(count: usize) -> Vec<(std::net::SocketAddr, ServerHandle)> {
    let mut servers = Vec::new();
    for _ in 0..count {
        let address = {
            let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
            free.local_addr().expect("an address")
        };
        let settings = ServerSettings {
            body_max_bytes: 1_024,
            connections_max_count: 64,
        };
        let answer = |_: IncomingRequest| async {
            tokio::time::sleep(Duration::from_millis(20)).await;
            Answer::status(200)
        };
        let server = net::serve(address, settings, answer).await;
        servers.push((address, server.expect("the server starts")));
    }
    servers
}

fn call(address: std::net::SocketAddr) -> Call {
    Call {
        address,
        method: Method::GET,
        path: "/".to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
        timeout_ms: WAIT_MAX_MS,
        answer_max_bytes: 1_024,
    }
}

fn open_count(servers: &[(std::net::SocketAddr, ServerHandle)]) -> usize {
    servers
        .iter()
        .map(|(_, server)| server.connections_count())
        .sum()
}

async fn wait_for_open(servers: &[(std::net::SocketAddr, ServerHandle)], count: usize) {
    for _ in 0..WAIT_MAX_MS / 10 {
        if open_count(servers) == count {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("{} connections are open, not {count}", open_count(servers));
}

#[test]
fn connections_without_use_close_by_themselves() {
    run(async {
        let servers = serve(1).await;
        let client = client(64);
        let done_count = Rc::new(Cell::new(0));
        for _ in 0..4 {
            let (client, done_count) = (client.clone(), Rc::clone(&done_count));
            let call = call(servers[0].0);
            tokio::task::spawn_local(async move {
                client.call(call).await.expect("an answer");
                done_count.set(done_count.get() + 1);
            });
        }
        wait_for_open(&servers, 4).await;
        // No further call is made.
        wait_for_open(&servers, 0).await;
        assert_eq!(done_count.get(), 4);
    });
}

#[test]
fn a_full_pool_closes_the_connection_that_is_idle_for_the_longest() {
    run(async {
        let servers = serve(6).await;
        let client = client(4);
        for (address, _) in &servers {
            client.call(call(*address)).await.expect("an answer");
        }
        wait_for_open(&servers[..2], 0).await;
        assert_eq!(open_count(&servers[2..]), 4, "the newest stay open");
    });
}

/// A process that is paused while it connects must not act on a lease that has ended meanwhile.
#[test]
fn a_call_that_is_no_longer_allowed_once_connected_is_not_sent() {
    run(async {
        let servers = serve(1).await;
        let client = client(8);
        let is_allowed = Cell::new(false);
        let refused = client
            .call_if(call(servers[0].0), || is_allowed.get())
            .await;
        assert_eq!(refused.map(|reply| reply.status), Err(CallFailure::NotSent));
        is_allowed.set(true);
        let sent = client
            .call_if(call(servers[0].0), || is_allowed.get())
            .await;
        assert_eq!(sent.map(|reply| reply.status), Ok(200));
    });
}

/// A call that timed out in a cut was delivered by the kernel seconds later, after newer calls.
#[test]
fn what_is_left_of_a_call_that_timed_out_is_not_delivered_later() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let lost = Call {
            method: Method::POST,
            // More than the buffers of the kernel hold.
            body: vec![b'x'; 64 << 20].into(),
            timeout_ms: 300,
            ..call(address)
        };
        let outcome = client(8).call(lost).await;
        assert_eq!(outcome.map(|reply| reply.status), Err(CallFailure::Lost));
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut delivered = Vec::new();
        let ended = timeout(
            Duration::from_millis(WAIT_MAX_MS),
            stream.read_to_end(&mut delivered),
        )
        .await
        .expect("the connection ends");
        let ended = ended.map_err(|error| error.kind());
        assert_eq!(ended, Err(ErrorKind::ConnectionReset));
    });
}

/// A call that is given up by whoever made it must leave the connection as a timeout does.
#[test]
fn a_call_that_is_dropped_is_not_delivered_later() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let dropped = Call {
            method: Method::POST,
            body: vec![b'x'; 64 << 20].into(),
            ..call(address)
        };
        let client = client(8);
        let given_up = timeout(Duration::from_millis(300), client.call(dropped)).await;
        assert!(given_up.is_err(), "the call ended by itself");
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let ended = stream.read_to_end(&mut Vec::new()).await;
        let ended = ended.map_err(|error| error.kind());
        assert_eq!(ended, Err(ErrorKind::ConnectionReset));
    });
}
