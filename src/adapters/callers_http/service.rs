//! Answers one request: reads its body within the bounds, hands it to the core and waits for the
//! core's answer, the caller's disconnect or the deadline.

use std::convert::Infallible;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::http::request::Parts;
use hyper::Request;
use smol_str::SmolStr;
use tokio::runtime::Handle;
use tokio::time::{timeout, timeout_at, Instant};

use super::answer::{to_http, HttpAnswer};
use super::request::{parse, Asked, RunHead};
use super::slots::SlotGuard;
use super::Shared;
use crate::callers::{CallId, CallerAnswer, CallerCall, CallerRequest, ReplySender};
use crate::error::ErrorKind;

/// Bytes of a body that are reserved for it at first when it does not tell its length.
const BODY_STEP_BYTES: usize = 64 << 10;

/// A refusal by this interface, before the core knew of the call.
struct Refusal {
    kind: ErrorKind,
    detail: SmolStr,
    /// Whether the rest of the request is still on the connection, so that it must close.
    is_unread: bool,
}

impl Refusal {
    fn new(kind: ErrorKind, detail: impl Into<SmolStr>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            is_unread: false,
        }
    }

    fn unread(kind: ErrorKind, detail: impl Into<SmolStr>) -> Self {
        Self {
            is_unread: true,
            ..Self::new(kind, detail)
        }
    }
}

/// Answers `request`; never fails, as every fault has an answer.
pub(super) async fn answer(
    shared: Arc<Shared>,
    slot: Arc<SlotGuard>,
    request: Request<Incoming>,
) -> Result<HttpAnswer, Infallible> {
    let arrived = Instant::now();
    let (parts, body) = request.into_parts();
    let mut request_id = SmolStr::default();
    let result = exchange(&shared, slot, &parts, body, arrived, &mut request_id).await;
    let response = match result {
        Ok(answer) => to_http(answer, &request_id, shared.is_closing()),
        Err(refusal) => {
            (shared.on_refusal)(refusal.kind);
            let entry = shared.entry.clone();
            let answer = CallerAnswer::failed(entry, refusal.kind, shared.limits.retry_after_ms)
                .with_detail(refusal.detail);
            let is_closing = refusal.is_unread || shared.is_closing();
            to_http(answer, &request_id, is_closing)
        }
    };
    Ok(response)
}

async fn exchange(
    shared: &Arc<Shared>,
    slot: Arc<SlotGuard>,
    parts: &Parts,
    body: Incoming,
    arrived: Instant,
    request_id: &mut SmolStr,
) -> Result<CallerAnswer, Refusal> {
    let asked = parse(parts, &shared.limits).map_err(|detail| match body.is_end_stream() {
        true => Refusal::new(ErrorKind::MalformedRequest, detail),
        false => Refusal::unread(ErrorKind::MalformedRequest, detail),
    })?;
    let call_id = shared.next_call_id.fetch_add(1, Ordering::Relaxed);
    let (reply, replies) = flume::bounded(1);
    let default_wait = Duration::from_millis(shared.limits.deadline_default_ms);
    match asked {
        Asked::Run(head) => {
            *request_id = head.request_id.clone();
            let deadline = arrived + Duration::from_millis(head.deadline_ms);
            let (body, _bytes) = read_body(shared, body, deadline).await?;
            let request = to_request(head, body);
            send_run(shared, call_id, request, reply)?;
            let guard = GoneGuard::new(shared, slot, call_id, request_id);
            wait(shared, replies, deadline, Some(guard)).await
        }
        Asked::Cancel(cancel) => {
            *request_id = cancel.request_id.clone();
            send(
                shared,
                CallerCall::Cancel {
                    call_id,
                    cancel,
                    reply,
                },
            )?;
            wait(shared, replies, arrived + default_wait, None).await
        }
        Asked::Fetch(fetch) => {
            *request_id = fetch.request_id.clone();
            send(
                shared,
                CallerCall::Fetch {
                    call_id,
                    fetch,
                    reply,
                },
            )?;
            wait(shared, replies, arrived + default_wait, None).await
        }
    }
}

fn to_request(head: RunHead, body: Arc<[u8]>) -> CallerRequest {
    CallerRequest {
        request_id: head.request_id,
        key: head.key,
        queue: head.queue,
        deadline_ms: head.deadline_ms,
        is_idempotent: head.is_idempotent,
        size: head.size,
        declared_run_ms: head.declared_run_ms,
        is_for_later: head.is_for_later,
        body,
    }
}

/// Reads the whole body by `deadline`; the guard holds its bytes of the total while it is in use.
async fn read_body(
    shared: &Shared,
    mut body: Incoming,
    deadline: Instant,
) -> Result<(Arc<[u8]>, SlotGuard), Refusal> {
    let limits = &shared.limits;
    let too_large = || Refusal::unread(ErrorKind::BodyTooLarge, "");
    let no_room = || Refusal::unread(ErrorKind::QueueFull, "bodies: no room for more bytes");
    let declared = body.size_hint().exact().unwrap_or(0);
    if declared > limits.body_max_bytes {
        return Err(too_large());
    }
    let mut bytes_guard = shared.body_bytes.take(declared).ok_or_else(no_room)?;
    let mut reserved = declared;
    let mut bytes = Vec::with_capacity((declared as usize).min(BODY_STEP_BYTES));
    let idle = Duration::from_millis(limits.body_idle_timeout_ms);
    loop {
        let until = deadline.min(Instant::now() + idle);
        let frame = match timeout_at(until, body.frame()).await {
            Ok(None) => return Ok((bytes.into(), bytes_guard)),
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => {
                let detail = "body: it ended early or is framed wrongly";
                return Err(Refusal::unread(ErrorKind::MalformedRequest, detail));
            }
            Err(_) => return Err(Refusal::unread(ErrorKind::SlowSender, "body: it stalled")),
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let total = (bytes.len() + data.len()) as u64;
        if total > limits.body_max_bytes {
            return Err(too_large());
        }
        let missing = total.saturating_sub(reserved);
        if missing > 0 && !bytes_guard.grow(missing) {
            return Err(no_room());
        }
        reserved += missing;
        bytes.extend_from_slice(&data);
    }
}

fn send_run(
    shared: &Shared,
    call_id: CallId,
    request: CallerRequest,
    reply: ReplySender,
) -> Result<(), Refusal> {
    send(
        shared,
        CallerCall::Run {
            call_id,
            request,
            reply,
        },
    )
}

fn send(shared: &Shared, call: CallerCall) -> Result<(), Refusal> {
    shared.calls.try_send(call).map_err(|error| match error {
        flume::TrySendError::Full(_) => {
            Refusal::new(ErrorKind::QueueFull, "calls: the entry's ring is full")
        }
        // The core has ended, so it will run nothing more.
        flume::TrySendError::Disconnected(_) => Refusal::new(ErrorKind::Draining, ""),
    })
}

async fn wait(
    shared: &Shared,
    replies: flume::Receiver<CallerAnswer>,
    deadline: Instant,
    mut guard: Option<GoneGuard>,
) -> Result<CallerAnswer, Refusal> {
    let grace = Duration::from_millis(shared.limits.reply_grace_ms);
    let remaining = (deadline + grace).saturating_duration_since(Instant::now());
    match timeout(remaining, replies.recv_async()).await {
        Ok(Ok(answer)) => {
            disarm(&mut guard);
            Ok(answer)
        }
        Ok(Err(_)) => {
            disarm(&mut guard);
            let detail = "the core dropped the call";
            Err(Refusal::new(ErrorKind::Internal, detail))
        }
        Err(_) => Err(Refusal::new(
            ErrorKind::Internal,
            "the core gave no answer in time",
        )),
    }
}

fn disarm(guard: &mut Option<GoneGuard>) {
    if let Some(guard) = guard {
        guard.is_armed = false;
    }
}

/// Tells the core that the caller has gone if it is dropped before the answer came.
struct GoneGuard {
    calls: flume::Sender<CallerCall>,
    slot: Arc<SlotGuard>,
    call_id: CallId,
    request_id: SmolStr,
    is_armed: bool,
}

impl GoneGuard {
    fn new(shared: &Shared, slot: Arc<SlotGuard>, call_id: CallId, request_id: &SmolStr) -> Self {
        Self {
            calls: shared.calls.clone(),
            slot,
            call_id,
            request_id: request_id.clone(),
            is_armed: true,
        }
    }
}

impl Drop for GoneGuard {
    fn drop(&mut self) {
        if !self.is_armed {
            return;
        }
        let gone = CallerCall::Gone {
            call_id: self.call_id,
            request_id: self.request_id.clone(),
        };
        let Err(flume::TrySendError::Full(gone)) = self.calls.try_send(gone) else {
            return;
        };
        // A full ring must not lose the event; the connection's slot bounds how many wait here.
        let calls = self.calls.clone();
        let slot = Arc::clone(&self.slot);
        if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(async move {
                let _ = calls.send_async(gone).await;
                drop(slot);
            });
        }
    }
}
