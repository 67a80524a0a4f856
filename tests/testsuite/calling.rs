//! Calls as callers make them, and the replies.

use std::io::ErrorKind;
use std::time::Duration;

use attohttpc::{Method, RequestBuilder};
use serde_json::Value;
use uuid::Uuid;

/// A call as a caller makes it.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// Name of the queue.
    pub(crate) queue: String,
    /// Key, if the call carries one.
    pub(crate) key: Option<String>,
    /// Id of the request.
    pub(crate) request_id: String,
    /// Time from the call to its deadline.
    pub(crate) deadline_ms: u64,
    /// Whether the work may run more than once.
    pub(crate) is_idempotent: bool,
    /// Whether the work is submitted for later.
    pub(crate) is_for_later: bool,
    /// Body.
    pub(crate) body: Vec<u8>,
    /// Additional headers.
    pub(crate) headers: Vec<(&'static str, String)>,
}

impl Call {
    /// Returns an idempotent call whose task runs for `run_ms`; an empty `key` means none.
    pub(crate) fn new(queue: &str, key: &str, run_ms: u64) -> Self {
        Self {
            queue: queue.to_owned(),
            key: Some(key.to_owned()).filter(|key| !key.is_empty()),
            request_id: Uuid::now_v7().to_string(),
            deadline_ms: 10_000,
            is_idempotent: true,
            is_for_later: false,
            body: format!("{{\"run_ms\":{run_ms}}}").into_bytes(),
            headers: Vec::new(),
        }
    }

    /// Declares the work non-idempotent: it may run at most once.
    pub(crate) fn at_most_once(mut self) -> Self {
        self.is_idempotent = false;
        self
    }

    /// Submits the work for later.
    pub(crate) fn for_later(mut self) -> Self {
        self.is_for_later = true;
        self
    }

    /// Replaces the body.
    pub(crate) fn body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    /// Adds a header.
    pub(crate) fn header(mut self, name: &'static str, value: impl ToString) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }

    /// Sets the deadline.
    pub(crate) fn deadline_ms(mut self, deadline_ms: u64) -> Self {
        self.deadline_ms = deadline_ms;
        self
    }

    /// Sends the call to an entry.
    pub(crate) fn send(&self, callers_address: &str) -> Reply {
        Reply::of(self.try_send(callers_address).ok())
    }

    /// Sends the call to an entry; the error says why no complete answer was received.
    pub(crate) fn try_send(&self, callers_address: &str) -> Result<Answer, Unanswered> {
        let what = match self.is_for_later {
            true => "jobs",
            false => "call",
        };
        let path = format!("/v1/queues/{}/{what}", self.queue);
        let request = request(callers_address, Method::POST, &path, self.key.as_deref())
            .header("x-request-id", self.request_id.as_str())
            .header("x-deadline-ms", self.deadline_ms)
            .header("x-idempotent", self.is_idempotent.to_string());
        let add = |request: RequestBuilder, (name, value): &(&'static str, String)| {
            request.header(*name, value.as_str())
        };
        let request = self.headers.iter().fold(request, add);
        try_send(request, &self.body)
    }
}

/// Why no complete answer was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unanswered {
    /// No connection could be made, so nothing was sent.
    NotConnected,
    /// The connection broke after something may have been sent.
    Lost,
}

/// Fetches a job.
pub(crate) fn fetch_job(callers_address: &str, key: &str, request_id: &str) -> Reply {
    let path = format!("/v1/jobs/{request_id}");
    keyed(callers_address, Method::GET, &path, key)
}

/// Cancels a request.
pub(crate) fn cancel(callers_address: &str, key: &str, request_id: &str) -> Reply {
    let path = format!("/v1/requests/{request_id}");
    keyed(callers_address, Method::DELETE, &path, key)
}

fn keyed(address: &str, method: Method, path: &str, key: &str) -> Reply {
    Reply::of(send(request(address, method, path, Some(key)), b""))
}

/// What a caller received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Reply {
    /// HTTP status; 0 if no complete answer was received.
    pub(crate) status: u16,
    /// Error kind; empty for a success.
    pub(crate) kind: String,
    /// Whether the work ran, according to the answer: `ran`, `not_run` or `outcome_unknown`.
    pub(crate) ran: String,
    /// Time after which the caller may retry.
    pub(crate) retry_after_ms: Option<u64>,
    /// Body.
    pub(crate) body: Vec<u8>,
}

impl Reply {
    /// Parses an answer; `None` gives a reply with status 0.
    pub(crate) fn of(answer: Option<Answer>) -> Self {
        let Some(answer) = answer else {
            return Self {
                status: 0,
                kind: String::new(),
                ran: String::new(),
                retry_after_ms: None,
                body: Vec::new(),
            };
        };
        let document: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        Self {
            status: answer.status,
            kind: document["kind"].as_str().unwrap_or_default().to_owned(),
            ran: answer.ran,
            retry_after_ms: document["retry_after_ms"].as_u64(),
            body: answer.body,
        }
    }

    /// Returns whether the work succeeded.
    pub(crate) fn is_done(&self) -> bool {
        self.status == 200
    }
}

/// A complete answer.
pub(crate) struct Answer {
    /// HTTP status.
    pub(crate) status: u16,
    /// Value of `x-ran`.
    pub(crate) ran: String,
    /// Body.
    pub(crate) body: Vec<u8>,
}

/// Makes an HTTP call without a key; `None` if no complete answer was received.
pub(crate) fn http(address: &str, method: Method, path: &str, body: &[u8]) -> Option<Answer> {
    send(request(address, method, path, None), body)
}

fn request(address: &str, method: Method, path: &str, key: Option<&str>) -> RequestBuilder {
    let request = RequestBuilder::new(method, format!("http://{address}{path}"))
        .connect_timeout(Duration::from_secs(1))
        .timeout(Duration::from_secs(30));
    match key {
        Some(key) => request.bearer_auth(key),
        None => request,
    }
}

fn send(request: RequestBuilder, body: &[u8]) -> Option<Answer> {
    try_send(request, body).ok()
}

fn try_send(request: RequestBuilder, body: &[u8]) -> Result<Answer, Unanswered> {
    let sent = request.bytes(body.to_vec()).send();
    let response = sent.map_err(|error| match error.kind() {
        attohttpc::ErrorKind::Io(error) if error.kind() == ErrorKind::ConnectionRefused => {
            Unanswered::NotConnected
        }
        _ => Unanswered::Lost,
    })?;
    let ran = response.headers().get("x-ran");
    let ran = ran.and_then(|ran| ran.to_str().ok()).unwrap_or_default();
    Ok(Answer {
        status: response.status().as_u16(),
        ran: ran.to_owned(),
        body: response.bytes().map_err(|_| Unanswered::Lost)?,
    })
}
