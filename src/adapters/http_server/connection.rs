//! One connection: HTTP/1 by `hyper`, or a refusal if there are too many connections.

use std::error::Error;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::slots::SlotGuard;
use super::{until_stopped, Shared};
use crate::net::TimedStream;

/// Longest head of a request; also the maximum size of the read buffer.
const HEAD_MAX_BYTES: usize = 16 << 10;
/// Time for which an idle connection stays open after the server is stopped.
const STOP_LINGER: Duration = Duration::from_millis(300);
/// Time for a refused caller to read the refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);
/// Most bytes that are read and discarded from a refused connection before it is closed.
const REFUSAL_READ_MAX_BYTES: u64 = 64 << 10;

/// Serves `stream` until it closes, then releases `slot`.
pub(super) async fn serve<M, S, B>(stream: TcpStream, slot: SlotGuard, shared: Arc<Shared<M>>)
where
    M: Fn(Arc<SlotGuard>) -> S + Send + Sync + 'static,
    S: Service<Request<Incoming>, Response = Response<B>> + Send + 'static,
    S::Future: Send,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    // Each answer is written at once, so waiting to fill a packet would only add delay.
    let _ = stream.set_nodelay(true);
    let write_idle = Duration::from_millis(shared.limits.write_idle_timeout_ms);
    let header_timeout = Duration::from_millis(shared.limits.header_timeout_ms);
    let slot = Arc::new(slot);
    let service = (shared.make_service)(Arc::clone(&slot));
    let io = TokioIo::new(TimedStream::new(stream, write_idle));
    let mut phase = shared.phase.clone();
    let mut connection = pin!(http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .max_buf_size(HEAD_MAX_BYTES)
        .serve_connection(io, service));
    let is_ended = tokio::select! {
        _ = connection.as_mut() => true,
        () = until_stopped(&mut phase) => false,
    };
    // A request may already be in transit; closing now would leave it without an answer.
    if !is_ended && timeout(STOP_LINGER, connection.as_mut()).await.is_err() {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
    drop(slot);
}

/// Writes the refusal for a connection over the limit, and closes it.
pub(super) async fn refuse<M>(mut stream: TcpStream, slot: SlotGuard, shared: Arc<Shared<M>>) {
    let exchange = async {
        stream.write_all(&shared.refusal.response).await?;
        stream.shutdown().await?;
        // Closing with unread bytes would reset the connection, and the refusal could be lost.
        let mut rest = stream.take(REFUSAL_READ_MAX_BYTES);
        tokio::io::copy(&mut rest, &mut tokio::io::sink()).await
    };
    let _ = timeout(REFUSAL_TIMEOUT, exchange).await;
    drop(slot);
}
