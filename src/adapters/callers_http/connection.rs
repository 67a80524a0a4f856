//! One connection: HTTP/1 framing by `hyper`, over a stream that gives up on a caller which stops
//! reading.

use std::future::Future;
use std::io;
use std::pin::{pin, Pin};
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant, Sleep};

use super::slots::SlotGuard;
use super::{answer, service, until_stopped, Shared};
use crate::error::ErrorKind;

/// Longest head of a request; also the size of the read buffer.
const HEAD_MAX_BYTES: usize = 16 << 10;
/// Time that a refused connection gets to read why.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes of a refused connection that are read and dropped before it is closed.
const REFUSAL_READ_MAX_BYTES: u64 = 64 << 10;

/// Serves `stream` until it closes; `slot` is given back then.
pub(super) async fn serve(stream: TcpStream, slot: Arc<SlotGuard>, shared: Arc<Shared>) {
    // Answers are written whole, so waiting to fill a packet would only add delay.
    let _ = stream.set_nodelay(true);
    let write_idle = Duration::from_millis(shared.limits.write_idle_timeout_ms);
    let io = TokioIo::new(TimedStream::new(stream, write_idle));
    let mut phase = shared.phase.clone();
    let header_timeout = Duration::from_millis(shared.limits.header_timeout_ms);
    let service =
        service_fn(|request| service::answer(Arc::clone(&shared), Arc::clone(&slot), request));
    let mut connection = pin!(http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .max_buf_size(HEAD_MAX_BYTES)
        .serve_connection(io, service));
    let is_ended = tokio::select! {
        _ = connection.as_mut() => true,
        () = until_stopped(&mut phase) => false,
    };
    if !is_ended {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}

/// Tells a caller over the bound of connections to come back, and closes.
pub(super) async fn refuse(mut stream: TcpStream, slot: SlotGuard, shared: Arc<Shared>) {
    let bytes = answer::raw_refusal(
        ErrorKind::TooManyConnections,
        &shared.entry,
        shared.limits.retry_after_ms,
    );
    let exchange = async {
        stream.write_all(&bytes).await?;
        stream.shutdown().await?;
        // Closing with unread bytes would reset the connection and lose the refusal on its way.
        let mut rest = stream.take(REFUSAL_READ_MAX_BYTES);
        tokio::io::copy(&mut rest, &mut tokio::io::sink()).await
    };
    let _ = timeout(REFUSAL_TIMEOUT, exchange).await;
    drop(slot);
}

/// A stream whose writes fail once the other side has taken nothing for `write_idle`.
struct TimedStream {
    stream: TcpStream,
    write_idle: Duration,
    idle: Option<Pin<Box<Sleep>>>,
}

impl TimedStream {
    fn new(stream: TcpStream, write_idle: Duration) -> Self {
        Self {
            stream,
            write_idle,
            idle: None,
        }
    }

    fn watch<T>(
        &mut self,
        context: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.idle = None;
            return result;
        }
        let write_idle = self.write_idle;
        let idle = self.idle.get_or_insert_with(|| Box::pin(sleep(write_idle)));
        ready!(idle.as_mut().poll(context));
        idle.as_mut().reset(Instant::now() + write_idle);
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for TimedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for TimedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.watch(context, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.watch(context, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(context);
        self.watch(context, result)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_shutdown(context);
        self.watch(context, result)
    }
}
