//! The stream of an accepted connection. A client that stops reading is cut off after some time. A
//! connection with a request that is not read to its end is closed in steps: closing it with unread
//! bytes would reset it, and the client would lose the answer.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Sleep};

use super::connection::ConnectionState;
use super::timed_stream::TimedStream;

/// Longest pause of a client while it reads an answer.
const WRITE_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time for which the rest of a request is read and discarded after the answer.
const LINGER_TIMEOUT: Duration = Duration::from_secs(3);
/// Most bytes that are read and discarded after the answer.
const LINGER_MAX_BYTES: usize = 8 << 20;
/// Bytes that are discarded at a time.
const DISCARD_BYTES: usize = 4 << 10;

/// What is left of a request after its answer.
struct Linger {
    end: Pin<Box<Sleep>>,
    left_bytes: usize,
}

/// The stream of an accepted connection.
pub(super) struct ServerStream {
    stream: TimedStream,
    connection: Arc<ConnectionState>,
    linger: Option<Linger>,
}

impl ServerStream {
    pub(super) fn new(stream: TcpStream, connection: Arc<ConnectionState>) -> Self {
        Self {
            stream: TimedStream::new(stream, WRITE_IDLE_TIMEOUT),
            connection,
            linger: None,
        }
    }

    /// Reads and discards until the client closes the connection or a limit is reached.
    fn poll_linger(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let linger = self.linger.get_or_insert_with(|| Linger {
            end: Box::pin(sleep(LINGER_TIMEOUT)),
            left_bytes: LINGER_MAX_BYTES,
        });
        let mut bytes = [0; DISCARD_BYTES];
        while linger.left_bytes > 0 && linger.end.as_mut().poll(context).is_pending() {
            let mut buffer = ReadBuf::new(&mut bytes);
            match ready!(Pin::new(&mut self.stream).poll_read(context, &mut buffer)) {
                Ok(()) if !buffer.filled().is_empty() => {
                    let read_bytes = buffer.filled().len();
                    linger.left_bytes = linger.left_bytes.saturating_sub(read_bytes);
                }
                // The client has closed or reset the connection.
                Ok(()) | Err(_) => break,
            }
        }
        Poll::Ready(())
    }
}

impl AsyncRead for ServerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for ServerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.connection.note_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
        }
        if self.connection.is_cut() {
            ready!(self.poll_linger(context));
        }
        Poll::Ready(Ok(()))
    }
}
