//! Converts answers to HTTP responses: status, headers and the JSON bodies of refusals.

use std::sync::Arc;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{HeaderName, HeaderValue, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde::Serialize;
use smol_str::SmolStr;

use crate::callers::{CallerAnswer, CallerOutcome};
use crate::error::{ErrorKind, RunState};

/// A complete HTTP response.
pub(super) type HttpAnswer = Response<Full<Bytes>>;

const X_REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const X_RAN: HeaderName = HeaderName::from_static("x-ran");
const X_KIND: HeaderName = HeaderName::from_static("x-kind");
const X_RAN_ON: HeaderName = HeaderName::from_static("x-ran-on");
const X_POOL: HeaderName = HeaderName::from_static("x-pool");
const X_ATTEMPT_ID: HeaderName = HeaderName::from_static("x-attempt-id");
const X_ENTRY: HeaderName = HeaderName::from_static("x-entry");

const JSON: HeaderValue = HeaderValue::from_static("application/json");
const BYTES: HeaderValue = HeaderValue::from_static("application/octet-stream");

/// JSON body of a refusal or failure.
#[derive(Serialize)]
struct RefusalBody<'a> {
    kind: ErrorKind,
    ran: RunState,
    text: &'static str,
    #[serde(skip_serializing_if = "str::is_empty")]
    detail: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// JSON body for work that is accepted but not finished.
#[derive(Serialize)]
struct AcceptedBody<'a> {
    state: &'static str,
    request_id: &'a str,
}

/// Returns `answer` as an HTTP response; `is_closing` closes the connection after it.
pub(super) fn to_http(answer: CallerAnswer, request_id: &str, is_closing: bool) -> HttpAnswer {
    let (status, kind, content_type, body) = match answer.outcome {
        CallerOutcome::Done => (200, None, BYTES, to_bytes(&answer.body)),
        CallerOutcome::Accepted => (202, None, JSON, accepted_json(request_id)),
        CallerOutcome::Failed(kind) if !answer.body.is_empty() => (
            kind.answer().status,
            Some(kind),
            BYTES,
            to_bytes(&answer.body),
        ),
        CallerOutcome::Failed(kind) => (
            kind.answer().status,
            Some(kind),
            JSON,
            refusal_json(kind, &answer).into(),
        ),
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, content_type);
    headers.insert(X_RAN, HeaderValue::from_static(answer.ran.into()));
    headers.insert(X_ENTRY, header_value(&answer.entry));
    if !request_id.is_empty() {
        headers.insert(X_REQUEST_ID, header_value(request_id));
    }
    if let Some(kind) = kind {
        headers.insert(X_KIND, HeaderValue::from_static(kind.name()));
    }
    if let Some(retry_after_ms) = answer.retry_after_ms {
        headers.insert(RETRY_AFTER, HeaderValue::from(to_seconds(retry_after_ms)));
    }
    if let Some(ran_on) = &answer.ran_on {
        headers.insert(X_RAN_ON, header_value(&ran_on.instance));
        headers.insert(X_POOL, header_value(&ran_on.pool));
        headers.insert(X_ATTEMPT_ID, header_value(&ran_on.attempt_id));
    }
    if is_closing {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Returns the answer to the load balancer's readiness probe.
pub(super) fn readiness(is_ready: bool) -> HttpAnswer {
    let (status, text) = match is_ready {
        true => (StatusCode::OK, "ready\n"),
        false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    };
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// Returns a refusal as the bytes of an HTTP response that closes the connection.
pub(super) fn raw_refusal(kind: ErrorKind, entry: &SmolStr, retry_after_ms: u64) -> Vec<u8> {
    let body = refusal_json(
        kind,
        &CallerAnswer::failed(entry.clone(), kind, retry_after_ms),
    );
    let row = kind.answer();
    let head = format!(
        "HTTP/1.1 {} Refused\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         retry-after: {}\r\nx-kind: {kind}\r\nx-ran: {}\r\nconnection: close\r\n\r\n",
        row.status,
        body.len(),
        to_seconds(retry_after_ms),
        row.ran,
    );
    [head.into_bytes(), body].concat()
}

fn refusal_json(kind: ErrorKind, answer: &CallerAnswer) -> Vec<u8> {
    let body = RefusalBody {
        kind,
        ran: answer.ran,
        text: kind.answer().text,
        detail: &answer.detail,
        retry_after_ms: answer.retry_after_ms,
    };
    serde_json::to_vec(&body).unwrap_or_default()
}

fn accepted_json(request_id: &str) -> Bytes {
    let body = AcceptedBody {
        state: "accepted",
        request_id,
    };
    serde_json::to_vec(&body).unwrap_or_default().into()
}

fn to_bytes(body: &Arc<[u8]>) -> Bytes {
    Bytes::from_owner(Arc::clone(body))
}

/// Returns `text` as a header value, without the bytes that a header value cannot hold.
fn header_value(text: &str) -> HeaderValue {
    let is_visible = |byte: &u8| (0x20..0x7f).contains(byte);
    let visible: Vec<u8> = text.bytes().filter(is_visible).collect();
    HeaderValue::from_bytes(&visible).unwrap_or_else(|_| HeaderValue::from_static(""))
}

fn to_seconds(retry_after_ms: u64) -> u64 {
    retry_after_ms.div_ceil(1_000)
}
