//! The operators' HTTP interface, on `rouille`: readiness, metrics, status, explanations and the
//! withdrawal of keys. It converts requests into [`OperatorCall`]s for a handler. It must listen on
//! the loopback or the operators' network only, as `rouille` has no timeouts for connections.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use rouille::{Request, Response, Server};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::error::ErrorKind;
use crate::fleet::{InstanceName, PoolName, QueueName, Resources, TeamName};

/// Threads that answer requests.
const THREADS_COUNT: usize = 4;
/// Longest body of a request.
const BODY_MAX_BYTES: u64 = 64 << 10;
/// Interval at which the server checks whether it must stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A call from an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCall {
    /// Return whether the load balancer may send callers to this entry.
    Ready,
    /// Return the metrics in the Prometheus text format.
    Metrics,
    /// Return what is in force at this entry, and the counts of refusals and retries.
    Status,
    /// Explain why something would be refused or delayed now.
    Explain(Explain),
    /// Withdraw a key at this entry and its peers, without waiting for the log.
    WithdrawKey(WithdrawKey),
}

/// Subject of an explanation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case", deny_unknown_fields)]
pub enum Explain {
    /// A caller's request.
    Request {
        /// Queue that the request would name.
        queue: QueueName,
        /// Team whose key the request would carry.
        #[serde(default)]
        team: Option<TeamName>,
        /// Declared resources.
        #[serde(default)]
        size: Resources,
        /// Deadline, from the arrival of the request.
        deadline_ms: u64,
    },
    /// The move of an instance to another pool.
    Move {
        /// Instance to move.
        instance: InstanceName,
        /// Pool to move it to.
        to_pool: PoolName,
    },
    /// The planned stop of an instance.
    Stop {
        /// Instance to stop.
        instance: InstanceName,
    },
}

/// Order to withdraw a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WithdrawKey {
    /// Public id of the key, as shown in the list of keys.
    pub key_id: SmolStr,
}

/// Answer to an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorAnswer {
    /// Text.
    Text {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: &'static str,
        /// Body.
        body: String,
    },
    /// A JSON document.
    Json {
        /// HTTP status.
        status: u16,
        /// Body.
        body: serde_json::Value,
    },
    /// A refusal of the closed list.
    Failed {
        /// Kind of the refusal.
        kind: ErrorKind,
        /// Details of the error beyond the text of its kind; may be empty.
        detail: SmolStr,
    },
}

/// Function that answers the operators' calls.
pub type OperatorHandler = Arc<dyn Fn(OperatorCall) -> OperatorAnswer + Send + Sync>;

/// A running server of the operators' interface.
pub struct OperatorsServer {
    address: SocketAddr,
    is_stopping: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl OperatorsServer {
    /// Binds `address` and answers each call by `handler`.
    pub fn bind(address: SocketAddr, handler: OperatorHandler) -> std::io::Result<Self> {
        let server = Server::new(address, move |request| respond(request, &handler))
            .map_err(std::io::Error::other)?
            .pool_size(THREADS_COUNT);
        let address = server.server_addr();
        let is_stopping = Arc::new(AtomicBool::new(false));
        let is_stopping_shared = Arc::clone(&is_stopping);
        let thread = thread::Builder::new()
            .name("operators".into())
            .spawn(move || {
                while !is_stopping_shared.load(Ordering::Acquire) {
                    server.poll_timeout(STOP_POLL_INTERVAL);
                }
            })?;
        Ok(Self {
            address,
            is_stopping,
            thread: Some(thread),
        })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for OperatorsServer {
    fn drop(&mut self) {
        self.is_stopping.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn respond(request: &Request, handler: &OperatorHandler) -> Response {
    let url = request.url();
    let call = match (request.method(), url.as_str()) {
        ("GET", "/ready") => Ok(OperatorCall::Ready),
        ("GET", "/metrics") => Ok(OperatorCall::Metrics),
        ("GET", "/v1/status") => Ok(OperatorCall::Status),
        ("POST", "/v1/explain") => read_json(request).map(OperatorCall::Explain),
        ("POST", "/v1/keys/withdraw") => read_json(request).map(OperatorCall::WithdrawKey),
        _ => Err(malformed("nothing is served under this method and path")),
    };
    to_response(call.map_or_else(|refusal| refusal, |call| handler(call)))
}

fn read_json<T: DeserializeOwned>(request: &Request) -> Result<T, OperatorAnswer> {
    let body = request
        .data()
        .ok_or_else(|| malformed("body: it is missing"))?;
    let mut bytes = Vec::new();
    body.take(BODY_MAX_BYTES + 1)
        .read_to_end(&mut bytes)
        .map_err(|_| malformed("body: it ended early"))?;
    if bytes.len() as u64 > BODY_MAX_BYTES {
        return Err(OperatorAnswer::Failed {
            kind: ErrorKind::BodyTooLarge,
            detail: SmolStr::default(),
        });
    }
    serde_json::from_slice(&bytes).map_err(|error| malformed(&format!("body: {error}")))
}

fn malformed(detail: &str) -> OperatorAnswer {
    OperatorAnswer::Failed {
        kind: ErrorKind::MalformedRequest,
        detail: detail.into(),
    }
}

fn to_response(answer: OperatorAnswer) -> Response {
    match answer {
        OperatorAnswer::Text {
            status,
            content_type,
            body,
        } => Response::from_data(content_type, body).with_status_code(status),
        OperatorAnswer::Json { status, body } => {
            Response::from_data("application/json", body.to_string()).with_status_code(status)
        }
        OperatorAnswer::Failed { kind, detail } => {
            let row = kind.answer();
            let body = serde_json::json!({
                "kind": kind,
                "text": row.text,
                "detail": detail,
            });
            Response::from_data("application/json", body.to_string()).with_status_code(row.status)
        }
    }
}
