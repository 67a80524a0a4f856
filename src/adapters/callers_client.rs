//! Client of the callers' HTTP interface, as a caller would write one. It opens a new connection
//! for each call.

use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::header::HeaderMap;
use attohttpc::{Method, ProxySettings, RequestBuilder, Response};
use smol_str::{format_smolstr, SmolStr};

use crate::callers::CallerRequest;
use crate::error::{ErrorKind, RunState};

/// Timeout for establishing a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 5_000;
/// Time past the deadline of a call for which the client still waits for the answer, in
/// milliseconds.
const ANSWER_GRACE_MS: u64 = 5_000;
/// Timeout of a cancel or a fetch, in milliseconds.
const SHORT_CALL_TIMEOUT_MS: u64 = 10_000;

/// HTTP status for work that is accepted but not finished.
pub const STATUS_ACCEPTED: u16 = 202;
/// HTTP status for work that is done.
pub const STATUS_DONE: u16 = 200;

/// Answer that a caller received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReceivedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Kind of the refusal or failure, if it is one.
    pub kind: Option<ErrorKind>,
    /// Whether the work ran.
    pub ran: Option<RunState>,
    /// Id of the request.
    pub request_id: SmolStr,
    /// Id of the attempt that ran; empty if the answer names none.
    pub attempt_id: SmolStr,
    /// Entry that answered.
    pub entry: SmolStr,
    /// Answer of the task, or JSON that describes the refusal.
    pub body: Vec<u8>,
}

/// The callers' interface of one entry.
#[derive(Clone, Copy, Debug)]
pub struct CallersClient {
    address: SocketAddr,
}

impl CallersClient {
    /// Returns a client of the entry at `address`, without connecting.
    pub fn open(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Runs a request and waits for its answer; work for later is only accepted.
    ///
    /// # Errors
    ///
    /// The reason for which no complete answer arrived.
    pub fn call(&self, request: &CallerRequest) -> Result<ReceivedAnswer, SmolStr> {
        let action = match request.is_for_later {
            true => "jobs",
            false => "call",
        };
        let path = format!("/v1/queues/{}/{action}", request.queue);
        let timeout_ms = request.deadline_ms + ANSWER_GRACE_MS;
        let builder = self
            .builder(Method::POST, &path, request.key.as_ref(), timeout_ms)?
            .header("x-request-id", request.request_id.as_str())
            .header("x-deadline-ms", request.deadline_ms)
            .header("x-idempotent", request.is_idempotent.to_string())
            .header("x-cores-milli", request.size.cores_milli)
            .header("x-memory-mb", request.size.memory_mb)
            .header("x-accelerators-count", request.size.accelerators_count)
            .header("x-run-ms", request.declared_run_ms);
        receive(builder.bytes(&*request.body).send())
    }

    /// Fetches the result of work that was accepted for later.
    ///
    /// # Errors
    ///
    /// The reason for which no complete answer arrived.
    pub fn fetch(&self, request: &CallerRequest) -> Result<ReceivedAnswer, SmolStr> {
        let path = format!("/v1/jobs/{}", request.request_id);
        let builder = self.builder(
            Method::GET,
            &path,
            request.key.as_ref(),
            SHORT_CALL_TIMEOUT_MS,
        )?;
        receive(builder.send())
    }

    /// Cancels a request.
    ///
    /// # Errors
    ///
    /// The reason for which no complete answer arrived.
    pub fn cancel(&self, request: &CallerRequest) -> Result<ReceivedAnswer, SmolStr> {
        let path = format!("/v1/requests/{}", request.request_id);
        let builder = self.builder(
            Method::DELETE,
            &path,
            request.key.as_ref(),
            SHORT_CALL_TIMEOUT_MS,
        )?;
        receive(builder.send())
    }

    fn builder(
        &self,
        method: Method,
        path: &str,
        key: Option<&SmolStr>,
        timeout_ms: u64,
    ) -> Result<RequestBuilder, SmolStr> {
        let timeout = Duration::from_millis(timeout_ms);
        let url = format!("http://{}{path}", self.address);
        let builder = RequestBuilder::try_new(method, &url)
            .map_err(|error| format_smolstr!("{error}"))?
            .proxy_settings(ProxySettings::builder().build())
            .follow_redirects(false)
            .connect_timeout(Duration::from_millis(CONNECT_TIMEOUT_MS))
            .read_timeout(timeout)
            .timeout(timeout);
        Ok(match key {
            Some(key) => builder.header("authorization", format!("Bearer {key}")),
            None => builder,
        })
    }
}

fn receive(sent: Result<Response, attohttpc::Error>) -> Result<ReceivedAnswer, SmolStr> {
    let (status, headers, reader) = sent.map_err(|error| format_smolstr!("{error}"))?.split();
    let body = reader.bytes().map_err(|error| format_smolstr!("{error}"))?;
    let declared_bytes = text(&headers, "content-length").parse::<usize>().ok();
    if declared_bytes.is_some_and(|bytes| bytes != body.len()) {
        return Err(SmolStr::new_static("the answer is incomplete"));
    }
    Ok(ReceivedAnswer {
        status: status.as_u16(),
        kind: text(&headers, "x-kind").parse().ok(),
        ran: text(&headers, "x-ran").parse().ok(),
        request_id: text(&headers, "x-request-id").into(),
        attempt_id: text(&headers, "x-attempt-id").into(),
        entry: text(&headers, "x-entry").into(),
        body,
    })
}

fn text<'h>(headers: &'h HeaderMap, name: &str) -> &'h str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("")
}
