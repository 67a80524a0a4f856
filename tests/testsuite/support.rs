//! Shared helpers: raw HTTP exchanges, waits, and property tests from fixed seeds.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};

/// Time limit for things that are expected without delay.
pub(crate) const SHORT_TIMEOUT: Duration = Duration::from_secs(5);

/// One complete response.
#[derive(Debug)]
pub(crate) struct HttpReply {
    pub(crate) status: u16,
    head: String,
    pub(crate) body: Vec<u8>,
}

impl HttpReply {
    /// Returns the value of the header `name`, if present.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let pairs = self.head.lines().filter_map(|line| line.split_once(": "));
        let mut values = pairs.filter(|(key, _)| key.eq_ignore_ascii_case(name));
        values.next().map(|(_, value)| value.trim())
    }

    /// Returns the body as JSON.
    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).expect("the body is JSON")
    }
}

/// Opens a connection whose reads and writes time out after [`SHORT_TIMEOUT`].
pub(crate) fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the server accepts connections");
    stream
        .set_read_timeout(Some(SHORT_TIMEOUT))
        .expect("the timeout can be set");
    stream
        .set_write_timeout(Some(SHORT_TIMEOUT))
        .expect("the timeout can be set");
    stream
}

/// Reads one response; `None` if the connection ended first. A missing content length counts as 0.
pub(crate) fn read_reply(stream: &mut TcpStream) -> Option<HttpReply> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return None,
        }
    }
    let head = String::from_utf8(head).expect("the head is UTF-8 text");
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let mut reply = HttpReply {
        status,
        head,
        body: Vec::new(),
    };
    let length = reply.header("content-length").unwrap_or("0").parse().ok()?;
    reply.body.resize(length, 0);
    stream.read_exact(&mut reply.body).ok()?;
    Some(reply)
}

/// Sends `bytes` on a new connection and reads one response.
pub(crate) fn exchange(address: SocketAddr, bytes: &[u8]) -> Option<HttpReply> {
    let mut stream = connect(address);
    // A server may refuse the request and close before it has read all of it.
    let _ = stream.write_all(bytes);
    read_reply(&mut stream)
}

/// Returns whether the peer closes the connection within `within`.
pub(crate) fn is_closed_within(stream: &mut TcpStream, within: Duration) -> bool {
    stream
        .set_read_timeout(Some(within))
        .expect("the timeout can be set");
    let mut rest = [0; 4_096];
    loop {
        match stream.read(&mut rest) {
            Ok(0) => return true,
            Ok(_) => (),
            Err(error) => return error.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }
}

/// Waits up to [`SHORT_TIMEOUT`] until `is_met` returns true; returns whether it did.
pub(crate) fn wait_until(is_met: impl Fn() -> bool) -> bool {
    let end = Instant::now() + SHORT_TIMEOUT;
    while Instant::now() < end {
        if is_met() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    is_met()
}

/// Returns a test runner with `cases_count` cases and a fixed seed.
pub(crate) fn fixed_runner(cases_count: u32, seed: u8) -> TestRunner {
    let config = Config {
        cases: cases_count,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    TestRunner::new_with_rng(config, rng)
}

/// Maximum number of characters shown of a failing input.
const INPUT_SHOWN_MAX_CHARS: usize = 2_000;

/// Panics with the reason and the smallest failing input if the property failed.
pub(crate) fn assert_property<T: std::fmt::Debug>(outcome: Result<(), TestError<T>>) {
    let Err(error) = outcome else {
        return;
    };
    match error {
        TestError::Abort(reason) => panic!("aborted: {reason}"),
        TestError::Fail(reason, input) => {
            let input: String = format!("{input:?}")
                .chars()
                .take(INPUT_SHOWN_MAX_CHARS)
                .collect();
            panic!("{reason}; smallest input found: {input}");
        }
    }
}
