//! Reads a complete body within the limits on its length, its pauses and the total of all bodies.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{timeout_at, Instant};

use super::service::Refusal;
use super::Shared;
use crate::adapters::http_server::SlotGuard;
use crate::error::ErrorKind;
use crate::net::BlockBuffer;

/// A partly received body.
struct PartialBody {
    buffer: BlockBuffer,
    /// Reserved bytes: the declared ones, or more once more have arrived.
    reserved_bytes: u64,
    guard: SlotGuard,
}

/// Reads the complete body by `deadline`. The returned guard reserves the body's part of the total
/// until it is dropped.
pub(super) async fn read(
    shared: &Shared,
    mut body: Incoming,
    deadline: Instant,
) -> Result<(Arc<[u8]>, SlotGuard), Refusal> {
    let limits = &shared.limits;
    let declared_bytes = body.size_hint().exact().unwrap_or(0);
    if declared_bytes > limits.body_max_bytes {
        return Err(too_large());
    }
    let mut partial = PartialBody {
        buffer: BlockBuffer::default(),
        reserved_bytes: declared_bytes,
        guard: shared
            .body_bytes
            .take(declared_bytes)
            .ok_or_else(no_capacity)?,
    };
    let idle = Duration::from_millis(limits.body_idle_timeout_ms);
    loop {
        let until = deadline.min(Instant::now() + idle);
        match timeout_at(until, body.frame()).await {
            Ok(None) => return Ok((partial.buffer.into_shared(), partial.guard)),
            Ok(Some(Ok(frame))) => {
                let data = frame.into_data().unwrap_or_default();
                partial.add(&data, limits.body_max_bytes)?;
            }
            Ok(Some(Err(_))) => return Err(malformed()),
            Err(_) => return Err(too_slow()),
        }
    }
}

impl PartialBody {
    fn add(&mut self, data: &[u8], body_max_bytes: u64) -> Result<(), Refusal> {
        let total_bytes = (self.buffer.len() + data.len()) as u64;
        if total_bytes > body_max_bytes {
            return Err(too_large());
        }
        let missing_bytes = total_bytes.saturating_sub(self.reserved_bytes);
        if !self.guard.grow(missing_bytes) {
            return Err(no_capacity());
        }
        self.reserved_bytes += missing_bytes;
        self.buffer.append(data);
        Ok(())
    }
}

fn too_large() -> Refusal {
    Refusal::unread(ErrorKind::BodyTooLarge, "")
}

fn no_capacity() -> Refusal {
    Refusal::unread(ErrorKind::QueueFull, "body: no room for the bytes of more")
}

fn malformed() -> Refusal {
    let detail = "body: it ended early or is framed wrongly";
    Refusal::unread(ErrorKind::MalformedRequest, detail)
}

fn too_slow() -> Refusal {
    Refusal::unread(ErrorKind::SlowSender, "body: it stalled")
}
