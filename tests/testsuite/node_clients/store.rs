//! A store whose answers come in chunks of one byte.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const CHUNK: &str = "1\r\nx\r\n";
/// Chunks that are written at once.
const BATCH_COUNT: usize = 4_096;
/// Chunks of one answer.
const ANSWER_CHUNKS_COUNT: usize = 16 << 20;
const POLL: Duration = Duration::from_millis(50);
const POLLS_MAX_COUNT: usize = 1_200;

/// The running store.
pub(crate) struct TinyChunksStore {
    address: SocketAddr,
    written_bytes: Rc<Cell<usize>>,
}

impl TinyChunksStore {
    /// Starts the store.
    pub(crate) async fn bind() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let written_bytes = Rc::new(Cell::new(0));
        let written = Rc::clone(&written_bytes);
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(answer(stream, Rc::clone(&written)));
            }
        });
        Self {
            address,
            written_bytes,
        }
    }

    /// Returns the address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until all answers together have this many bytes.
    pub(crate) async fn wait_until_written(&self, bytes: usize) {
        for _ in 0..POLLS_MAX_COUNT {
            if self.written_bytes.get() >= bytes {
                return;
            }
            sleep(POLL).await;
        }
        panic!("only {} bytes were read", self.written_bytes.get());
    }
}

async fn answer(mut stream: TcpStream, written_bytes: Rc<Cell<usize>>) {
    let mut request = [0; 4_096];
    // The first call is enough; its connection is closed by the client.
    if stream.read(&mut request).await.is_err() || stream.write_all(HEAD).await.is_err() {
        return;
    }
    let batch = CHUNK.repeat(BATCH_COUNT);
    for _ in 0..ANSWER_CHUNKS_COUNT / BATCH_COUNT {
        match stream.write_all(batch.as_bytes()).await {
            Ok(()) => written_bytes.set(written_bytes.get() + batch.len()),
            Err(_) => return,
        }
    }
}
