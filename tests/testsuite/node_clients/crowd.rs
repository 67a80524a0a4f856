//! Many clients at once that do not behave. Each writes its bytes and then keeps its connection open.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Bytes;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::timeout;

/// Time without progress after which the server is taken not to read on.
const WRITE_STALL: Duration = Duration::from_secs(2);
/// Most bytes of one write.
const WRITE_MAX_BYTES: usize = 64 << 10;

/// A client that has written what it could.
struct Member {
    _stream: TcpStream,
    written_bytes: usize,
    /// Whether the server has closed the connection or reads no further.
    is_stopped_by_server: bool,
}

/// The clients. Their connections stay open until this is dropped.
pub(crate) struct Crowd {
    members: Vec<Member>,
}

impl Crowd {
    /// Lets `count` clients connect to `address` and write `bytes`. Asserts that each has connected, and
    /// that it has written everything unless the server has stopped it.
    pub(crate) async fn gather(address: SocketAddr, count: usize, bytes: &Bytes) -> Self {
        let tasks: Vec<JoinHandle<Member>> = (0..count)
            .map(|_| spawn_local(write_all(address, bytes.clone())))
            .collect();
        let mut members = Vec::new();
        for task in tasks {
            members.push(task.await.expect("a client connects"));
        }
        let is_complete = |member: &Member| member.written_bytes == bytes.len();
        assert!(
            members
                .iter()
                .all(|member| is_complete(member) || member.is_stopped_by_server),
            "a client has not written all of its bytes"
        );
        assert_eq!(members.len(), count);
        Self { members }
    }

    /// Returns how many bytes all clients have written.
    pub(crate) fn written_bytes(&self) -> usize {
        self.members.iter().map(|member| member.written_bytes).sum()
    }
}

async fn write_all(address: SocketAddr, bytes: Bytes) -> Member {
    let connected = TcpStream::connect(address).await;
    let mut stream = connected.expect("the listener accepts connections");
    let mut written_bytes = 0;
    let mut is_stopped_by_server = false;
    while written_bytes < bytes.len() && !is_stopped_by_server {
        let end = bytes.len().min(written_bytes + WRITE_MAX_BYTES);
        match timeout(WRITE_STALL, stream.write(&bytes[written_bytes..end])).await {
            Ok(Ok(count)) => written_bytes += count,
            Ok(Err(_)) | Err(_) => is_stopped_by_server = true,
        }
    }
    Member {
        _stream: stream,
        written_bytes,
        is_stopped_by_server,
    }
}

/// Returns the head of a request with a key, without the lines that describe its body.
pub(crate) fn head(method: &str, path: &str, host: SocketAddr, key: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\nhost: {host}\r\napi-key: {key}\r\n")
}

/// Returns a request whose body comes in `chunks_count` chunks, without the end of the body.
pub(crate) fn unfinished_chunks(head: &str, chunks_count: usize, chunk_bytes: usize) -> Bytes {
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", " ".repeat(chunk_bytes));
    Bytes::from(format!(
        "{head}transfer-encoding: chunked\r\n\r\n{}",
        chunk.repeat(chunks_count)
    ))
}

/// Returns a request whose body has `body_bytes` bytes, as chunks of one byte.
pub(crate) fn finished_chunks(head: &str, body: &str) -> Bytes {
    let chunks: String = body
        .chars()
        .map(|byte| format!("1\r\n{byte}\r\n"))
        .collect();
    Bytes::from(format!(
        "{head}transfer-encoding: chunked\r\n\r\n{chunks}0\r\n\r\n"
    ))
}

/// Returns a request that declares a body of `declared_bytes` and sends `sent_bytes` of it.
pub(crate) fn short_body(head: &str, declared_bytes: usize, sent_bytes: usize) -> Bytes {
    Bytes::from(format!(
        "{head}content-length: {declared_bytes}\r\n\r\n{}",
        " ".repeat(sent_bytes)
    ))
}
