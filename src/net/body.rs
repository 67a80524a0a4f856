//! Reads the bodies of requests and answers into one buffer. The library hands a body over in parts
//! that each keep the whole buffer alive in which they were received, so that parts that are only
//! collected can take many times the memory of their bytes.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Incoming};
use tokio::time::{timeout, timeout_at, Instant};

use super::block_buffer::BlockBuffer;
use super::connection::ConnectionState;

/// Time limit of a body of a request, from its first byte to its last one.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Memory that a request takes for each byte of its body: the body, its decoded form, and the call to
/// another process with its copy.
const RESERVED_PER_BYTE: usize = 4;
/// Most bytes of a refused body that are read to keep the connection.
const DISCARD_MAX_BYTES: usize = 64 << 10;
/// Time for which a refusal waits for the rest of its body.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(100);

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than allowed.
    TooLarge,
    /// It did not arrive in time.
    TooSlow,
    /// The process has too little memory for it now.
    NoMemory,
    /// It ended early or is malformed.
    Broken,
}

/// The body of a request that has not been read.
pub struct RequestBody {
    /// None once it is read.
    incoming: Option<Incoming>,
    connection: Arc<ConnectionState>,
}

impl RequestBody {
    pub(super) fn new(incoming: Incoming, connection: Arc<ConnectionState>) -> Self {
        let is_empty = incoming.is_end_stream();
        if is_empty {
            connection.slot.begin_answer();
        }
        Self {
            incoming: (!is_empty).then_some(incoming),
            connection,
        }
    }

    /// Reads the body of at most `max_bytes`. Its memory is reserved until the answer is written.
    pub async fn read(mut self, max_bytes: usize) -> Result<Bytes, BodyError> {
        let Some(incoming) = &mut self.incoming else {
            return Ok(Bytes::new());
        };
        let slot = &self.connection.slot;
        let deadline = Instant::now() + BODY_TIMEOUT;
        let reading = collect(incoming, max_bytes, |bytes| slot.reserve(bytes));
        let body = timeout_at(deadline, reading).await;
        let body = body.unwrap_or(Err(BodyError::TooSlow))?;
        if !slot.reserve(body.len() * (RESERVED_PER_BYTE - 1)) {
            return Err(BodyError::NoMemory);
        }
        slot.begin_answer();
        self.incoming = None;
        Ok(body)
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        self.connection.set_unread(self.incoming.take());
    }
}

/// Reads and drops the rest of a body, if it is short and has been sent already. Returns whether all of
/// it was read, so that another request can follow on the connection.
pub(super) async fn discard(mut incoming: Incoming) -> bool {
    let reading = async {
        let mut left_bytes = DISCARD_MAX_BYTES;
        while let Some(frame) = incoming.frame().await {
            let length = frame.ok()?.data_ref().map_or(0, Bytes::len);
            left_bytes = left_bytes.checked_sub(length)?;
        }
        Some(())
    };
    timeout(DISCARD_TIMEOUT, reading)
        .await
        .is_ok_and(|read| read.is_some())
}

/// Reads a body of at most `max_bytes`. `reserve` is called before the buffer grows by a number of
/// bytes, and returns whether it may.
pub(crate) async fn collect(
    incoming: &mut Incoming,
    max_bytes: usize,
    reserve: impl Fn(usize) -> bool,
) -> Result<Bytes, BodyError> {
    let declared_bytes = incoming.size_hint().exact();
    let is_declared_too_large = declared_bytes
        .is_some_and(|bytes| usize::try_from(bytes).map_or(true, |bytes| bytes > max_bytes));
    if is_declared_too_large {
        return Err(BodyError::TooLarge);
    }
    let mut buffer = BlockBuffer::default();
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|_| BodyError::Broken)?;
        let Ok(part) = frame.into_data() else {
            continue;
        };
        if buffer.len() + part.len() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        if !reserve(buffer.missing_bytes(part.len())) {
            return Err(BodyError::NoMemory);
        }
        buffer.append(&part);
    }
    Ok(buffer.into_bytes())
}
