//! Common parts of the stand-ins' HTTP servers: server threads, bounded bodies and JSON answers.

use std::io::{self, Read};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use rouille::{Request, Response, Server};
use serde::de::DeserializeOwned;

use crate::adapters::log_http::X_REFUSED;
use crate::ports::PortError;

/// How often a server thread checks whether it should stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Largest accepted body of an administrative call.
const ADMIN_BODY_MAX_BYTES: u64 = 1_024 * 1_024;

/// An HTTP server that runs until it is dropped.
#[derive(Debug)]
pub struct RunningServer {
    address: SocketAddr,
    is_stopping: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl RunningServer {
    /// Binds `address` and serves `handler` there on separate threads.
    pub fn bind(
        address: &str,
        handler: impl Fn(&Request) -> Response + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let server = Server::new(address, handler).map_err(io::Error::other)?;
        let address = server.server_addr();
        let is_stopping = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&is_stopping);
        let thread = thread::Builder::new()
            .name(format!("http-{}", address.port()))
            .spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    server.poll_timeout(STOP_POLL_INTERVAL);
                }
            })?;
        Ok(Self {
            address,
            is_stopping,
            thread: Some(thread),
        })
    }

    /// Returns the address that the server is bound to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Requests the server to stop, without waiting for it.
    pub fn stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.stop();
        if let Some(thread) = self.thread.take() {
            // The library answers with status 500 when a handler panics.
            drop(thread.join());
        }
    }
}

/// Reads a body of at most `max_bytes`; `None` if it is larger, or if its length differs from the
/// declared one.
pub(crate) fn read_body(request: &Request, max_bytes: u64) -> Option<Vec<u8>> {
    let declared_bytes = match request.header("content-length") {
        Some(value) => Some(value.parse::<u64>().ok()?),
        None => None,
    };
    if declared_bytes.is_some_and(|bytes| bytes > max_bytes) {
        return None;
    }
    let mut body = Vec::new();
    let limit = max_bytes.saturating_add(1);
    request.data()?.take(limit).read_to_end(&mut body).ok()?;
    let received_bytes = body.len() as u64;
    let is_complete = declared_bytes.is_none_or(|bytes| bytes == received_bytes);
    (is_complete && received_bytes <= max_bytes).then_some(body)
}

/// Parses the JSON body of an administrative call; the error is the response that refuses it.
pub(crate) fn read_json<T: DeserializeOwned>(request: &Request) -> Result<T, Response> {
    let body =
        read_body(request, ADMIN_BODY_MAX_BYTES).ok_or_else(|| refused(400, "body_not_whole"))?;
    serde_json::from_slice(&body).map_err(|error| {
        Response::text(format!("{error}\n"))
            .with_status_code(400)
            .with_unique_header(X_REFUSED, "malformed")
    })
}

/// Returns the query parameter `name` as a number, or `default` if it is absent.
pub(crate) fn query_number(request: &Request, name: &str, default: u64) -> Result<u64, Response> {
    match request.get_param(name) {
        None => Ok(default),
        Some(text) => text.parse().map_err(|_| refused(400, "bad_query")),
    }
}

/// Returns a refusal with `reason`, which proves that the call had no effect.
pub(crate) fn refused(status: u16, reason: &str) -> Response {
    Response::text(format!("{reason}\n"))
        .with_status_code(status)
        .with_unique_header(X_REFUSED, reason.to_owned())
}

/// Returns the refusal of an unknown path or method.
pub(crate) fn no_such_call() -> Response {
    refused(404, "no_such_call")
}

/// Returns a success without content.
pub(crate) fn done() -> Response {
    Response::json(&())
}

/// Returns the response to a failed port call; it carries a reason only if the call provably had no
/// effect.
pub(crate) fn failed(error: &PortError) -> Response {
    match error {
        PortError::NotSent(reason) | PortError::Refused(reason) => refused(503, reason),
        PortError::AnswerLost(_) => Response::text("outcome unknown\n").with_status_code(504),
        PortError::Trimmed { oldest_offset } => {
            let notice = crate::adapters::log_http::TrimmedNotice {
                oldest_offset: *oldest_offset,
            };
            Response::json(&notice).with_status_code(410)
        }
    }
}

/// Returns the response of a successful call, or else the refusal.
pub(crate) fn response_or_refusal(answer: Result<Response, Response>) -> Response {
    answer.unwrap_or_else(|refusal| refusal)
}
