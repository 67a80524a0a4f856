//! One connection: HTTP/1 framing by `hyper`, or a refusal over the bound.

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
use super::stream::TimedStream;
use super::{until_stopped, Shared};

/// Longest head of a request; also the size of the read buffer.
const HEAD_MAX_BYTES: usize = 16 << 10;
/// Time that an idle connection stays open after a stop.
const STOP_LINGER: Duration = Duration::from_millis(300);
/// Time that a refused connection gets to read why.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes of a refused connection that are read and dropped before it is closed.
const REFUSAL_READ_MAX_BYTES: u64 = 64 << 10;

/// Serves `stream` until it closes; `slot` is given back then.
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
    // Answers are written whole, so waiting to fill a packet would only add delay.
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
    // A request may be on its way, and closing would leave its sender without an answer.
    if !is_ended && timeout(STOP_LINGER, connection.as_mut()).await.is_err() {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
    drop(slot);
}

/// Tells a caller over the bound of connections to come back, and closes.
pub(super) async fn refuse<M>(mut stream: TcpStream, slot: SlotGuard, shared: Arc<Shared<M>>) {
    let exchange = async {
        stream.write_all(&shared.refusal.response).await?;
        stream.shutdown().await?;
        // Closing with unread bytes would reset the connection and lose the refusal on its way.
        let mut rest = stream.take(REFUSAL_READ_MAX_BYTES);
        tokio::io::copy(&mut rest, &mut tokio::io::sink()).await
    };
    let _ = timeout(REFUSAL_TIMEOUT, exchange).await;
    drop(slot);
}
