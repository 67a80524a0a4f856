//! What the stand-ins' HTTP servers share: a running server, bounded bodies and JSON answers.

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

/// How long a server that was told to stop may take to notice.
const STOP_STEP: Duration = Duration::from_millis(100);
/// Largest body of an administrative call.
const ADMIN_BODY_MAX_BYTES: u64 = 1_024 * 1_024;

/// A server that runs until it is dropped.
#[derive(Debug)]
pub struct RunningServer {
    address: SocketAddr,
    is_stopping: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl RunningServer {
    /// Binds `address` and serves `handler` there on threads of its own.
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
                    server.poll_timeout(STOP_STEP);
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

    /// Tells the server to stop, without waiting for it.
    pub fn stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        self.stop();
        if let Some(thread) = self.thread.take() {
            // A handler that panicked was answered with status 500 by the library already.
            drop(thread.join());
        }
    }
}

/// Reads a body of at most `max_bytes`; `None` if it is larger or not as long as declared.
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
    let came_bytes = body.len() as u64;
    let is_whole = declared_bytes.is_none_or(|bytes| bytes == came_bytes);
    (is_whole && came_bytes <= max_bytes).then_some(body)
}

/// Reads the JSON body of an administrative call, or says what is wrong with it.
pub(crate) fn read_json<T: DeserializeOwned>(request: &Request) -> Result<T, Response> {
    let body =
        read_body(request, ADMIN_BODY_MAX_BYTES).ok_or_else(|| refused(400, "body_not_whole"))?;
    serde_json::from_slice(&body).map_err(|error| {
        Response::text(format!("{error}\n"))
            .with_status_code(400)
            .with_unique_header(X_REFUSED, "malformed")
    })
}

/// Returns the number that a query names, or `default` if it names none.
pub(crate) fn query_number(request: &Request, name: &str, default: u64) -> Result<u64, Response> {
    match request.get_param(name) {
        None => Ok(default),
        Some(text) => text.parse().map_err(|_| refused(400, "bad_query")),
    }
}

/// Answers that a call had no effect.
pub(crate) fn refused(status: u16, reason: &str) -> Response {
    Response::text(format!("{reason}\n"))
        .with_status_code(status)
        .with_unique_header(X_REFUSED, reason.to_owned())
}

/// Answers that there is no such path or method.
pub(crate) fn no_such_call() -> Response {
    refused(404, "no_such_call")
}

/// Answers an empty success.
pub(crate) fn done() -> Response {
    Response::json(&())
}

/// Answers a failure of a port; one without proof that there was no effect carries no reason.
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

/// Returns the answer, whichever of the two it is.
pub(crate) fn either(answer: Result<Response, Response>) -> Response {
    answer.unwrap_or_else(|refusal| refusal)
}
