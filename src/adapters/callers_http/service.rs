//! Answers one request: passes it to the core and waits for the core's answer, the disconnect of
//! the caller or the deadline.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::Request;
use smol_str::SmolStr;
use tokio::runtime::Handle;
use tokio::time::{timeout, Instant};

use super::answer::{readiness, to_http, HttpAnswer};
use super::request::{parse, ParsedRequest, RunHead};
use super::{body, Shared};
use crate::adapters::http_server::SlotGuard;
use crate::callers::{CallId, CallerAnswer, CallerCall, CallerRequest};
use crate::error::ErrorKind;

/// A refusal that this interface makes itself, without an answer of the core.
pub(super) struct Refusal {
    kind: ErrorKind,
    detail: &'static str,
    /// Formatted details about one field; replaces `detail` if it is set.
    field_detail: Option<SmolStr>,
    /// Whether part of the request is still unread, so that the connection must be closed.
    is_unread: bool,
}

impl Refusal {
    /// Returns a refusal of a request that was read to its end.
    fn new(kind: ErrorKind, detail: &'static str) -> Self {
        Self {
            kind,
            detail,
            field_detail: None,
            is_unread: false,
        }
    }

    /// Returns a refusal of a request that was not read to its end.
    pub(super) fn unread(kind: ErrorKind, detail: &'static str) -> Self {
        Self {
            is_unread: true,
            ..Self::new(kind, detail)
        }
    }
}

/// Answers `request`. Does not fail: every fault has an answer.
pub(super) async fn answer(
    shared: Arc<Shared>,
    slot: Arc<SlotGuard>,
    request: Request<Incoming>,
) -> HttpAnswer {
    let (parts, body) = request.into_parts();
    let parsed = match parse(&parts, &shared.limits) {
        Ok(ParsedRequest::Readiness) => {
            let is_ready = shared.is_ready.load(Ordering::Acquire) && !shared.is_closing();
            return readiness(is_ready);
        }
        Ok(parsed) => parsed,
        Err(detail) => {
            let refusal = Refusal {
                field_detail: Some(detail),
                is_unread: !body.is_end_stream(),
                ..Refusal::new(ErrorKind::MalformedRequest, "")
            };
            return refuse(&shared, refusal, "");
        }
    };
    let request_id = parsed.request_id();
    match exchange(&shared, slot, parsed, body).await {
        Ok(answer) => to_http(answer, &request_id, shared.is_closing()),
        Err(refusal) => refuse(&shared, refusal, &request_id),
    }
}

fn refuse(shared: &Shared, refusal: Refusal, request_id: &str) -> HttpAnswer {
    (shared.on_refusal)(refusal.kind);
    let detail = refusal
        .field_detail
        .unwrap_or_else(|| SmolStr::new_static(refusal.detail));
    let entry = shared.entry.clone();
    let answer =
        CallerAnswer::failed(entry, refusal.kind, shared.limits.retry_after_ms).with_detail(detail);
    to_http(answer, request_id, refusal.is_unread || shared.is_closing())
}

async fn exchange(
    shared: &Arc<Shared>,
    slot: Arc<SlotGuard>,
    parsed: ParsedRequest,
    body: Incoming,
) -> Result<CallerAnswer, Refusal> {
    let arrived = Instant::now();
    let call_id = shared.next_call_id.fetch_add(1, Ordering::Relaxed);
    let (reply, replies) = flume::bounded(1);
    let default_deadline = arrived + Duration::from_millis(shared.limits.deadline_default_ms);
    match parsed {
        ParsedRequest::Run(head) => {
            let deadline = arrived + Duration::from_millis(head.deadline_ms);
            let (body, _bytes) = body::read(shared, body, deadline).await?;
            let guard = GoneGuard::new(shared, slot, call_id, &head.request_id);
            let request = to_request(head, body, deadline);
            let call = CallerCall::Run {
                call_id,
                request,
                reply,
            };
            guard
                .wait(send(shared, call), shared, replies, deadline)
                .await
        }
        ParsedRequest::Cancel(cancel) => {
            let call = CallerCall::Cancel {
                call_id,
                cancel,
                reply,
            };
            send(shared, call)?;
            wait(shared, replies, default_deadline).await
        }
        ParsedRequest::Fetch(fetch) => {
            let call = CallerCall::Fetch {
                call_id,
                fetch,
                reply,
            };
            send(shared, call)?;
            wait(shared, replies, default_deadline).await
        }
        ParsedRequest::Readiness => Err(Refusal::new(ErrorKind::Internal, "")),
    }
}

/// Returns the complete request, with the time that is left until its deadline.
fn to_request(head: RunHead, body: Arc<[u8]>, deadline: Instant) -> CallerRequest {
    let left = deadline.saturating_duration_since(Instant::now());
    CallerRequest {
        request_id: head.request_id,
        key: head.key,
        queue: head.queue,
        deadline_ms: left.as_millis() as u64,
        is_idempotent: head.is_idempotent,
        size: head.size,
        declared_run_ms: head.declared_run_ms,
        is_for_later: head.is_for_later,
        body,
    }
}

fn send(shared: &Shared, call: CallerCall) -> Result<(), Refusal> {
    shared.calls.try_send(call).map_err(|error| match error {
        flume::TrySendError::Full(_) => {
            Refusal::new(ErrorKind::QueueFull, "calls: the entry's ring is full")
        }
        // The core has stopped, so it will not run the call.
        flume::TrySendError::Disconnected(_) => Refusal::new(ErrorKind::Draining, ""),
    })
}

/// Waits for the core's answer until `reply_grace_ms` after `deadline`.
async fn wait(
    shared: &Shared,
    replies: flume::Receiver<CallerAnswer>,
    deadline: Instant,
) -> Result<CallerAnswer, Refusal> {
    let grace = Duration::from_millis(shared.limits.reply_grace_ms);
    let left = (deadline + grace).saturating_duration_since(Instant::now());
    match timeout(left, replies.recv_async()).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(_)) => Err(Refusal::new(
            ErrorKind::Internal,
            "the core dropped the call",
        )),
        Err(_) => Err(Refusal::new(
            ErrorKind::Internal,
            "the core gave no answer in time",
        )),
    }
}

/// Reports to the core that the caller is gone, if it is dropped before the answer arrived.
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
            is_armed: false,
        }
    }

    /// Waits for the answer to a call that was `sent`; reports to the core if the wait is given up.
    async fn wait(
        mut self,
        sent: Result<(), Refusal>,
        shared: &Shared,
        replies: flume::Receiver<CallerAnswer>,
        deadline: Instant,
    ) -> Result<CallerAnswer, Refusal> {
        sent?;
        self.is_armed = true;
        let result = wait(shared, replies, deadline).await;
        self.is_armed = result.is_err();
        result
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
        // The event must not be lost when the channel is full. Keeping the connection's slot limits
        // the number of tasks that wait here.
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
