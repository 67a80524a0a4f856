//! The operators' HTTP interface: readiness, metrics, status, explanations and the withdrawal of keys.
//! It converts requests into [`OperatorCall`]s for a handler, which may block. It must listen on the
//! loopback or the operators' network only, as it asks for no key.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{HeaderValue, CONNECTION, CONTENT_TYPE};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::task::spawn_blocking;
use tokio::time::timeout;

use crate::adapters::http_server::{HttpLimits, HttpServer, Refusal};
use crate::error::ErrorKind;
use crate::fleet::{InstanceName, PoolName, QueueName, Resources, TeamName};
use crate::net::{collect, BodyError};

/// Limits of the server.
const LIMITS: HttpLimits = HttpLimits {
    connections_max_count: 512,
    refusals_max_count: 16,
    header_timeout_ms: 5_000,
    write_idle_timeout_ms: 5_000,
    threads_count: 1,
    blocking_threads_count: 4,
};
/// Longest body of a request.
const BODY_MAX_BYTES: usize = 64 << 10;
/// Time limit of a whole body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Answer on a connection for which there is no room.
const REFUSAL: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\ncontent-length: 0\r\n\
    connection: close\r\n\r\n";

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
    server: HttpServer,
}

impl OperatorsServer {
    /// Binds `address` and answers each call by `handler`.
    pub fn bind(address: SocketAddr, handler: OperatorHandler) -> std::io::Result<Self> {
        let refusal = Refusal {
            response: REFUSAL.to_vec(),
            on_refused: Box::new(|| ()),
        };
        let make_service = |_phase| {
            move |_slot| {
                let handler = Arc::clone(&handler);
                service_fn(move |request| {
                    let handler = Arc::clone(&handler);
                    async move { Ok::<_, Infallible>(respond(request, handler).await) }
                })
            }
        };
        let server = HttpServer::bind(address, "operators", LIMITS, refusal, make_service)?;
        Ok(Self { server })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

async fn respond(request: Request<Incoming>, handler: OperatorHandler) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    let has_body = !body.is_end_stream();
    let call = match (&head.method, head.uri.path()) {
        (&Method::GET, "/ready") => Ok(OperatorCall::Ready),
        (&Method::GET, "/metrics") => Ok(OperatorCall::Metrics),
        (&Method::GET, "/v1/status") => Ok(OperatorCall::Status),
        (&Method::POST, "/v1/explain") => read_json(body).await.map(OperatorCall::Explain),
        (&Method::POST, "/v1/keys/withdraw") => {
            read_json(body).await.map(OperatorCall::WithdrawKey)
        }
        _ => Err(malformed("nothing is served under this method and path")),
    };
    let is_refused = call.is_err();
    let answer = match call {
        Ok(call) => spawn_blocking(move || handler(call)).await,
        Err(refusal) => Ok(refusal),
    };
    let answer = answer.unwrap_or_else(|_| OperatorAnswer::Failed {
        kind: ErrorKind::Internal,
        detail: SmolStr::new_static("the call could not be answered"),
    });
    let mut response = to_response(answer);
    if is_refused && has_body {
        // The body may not have been read to its end.
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

async fn read_json<T: DeserializeOwned>(mut body: Incoming) -> Result<T, OperatorAnswer> {
    if body.is_end_stream() {
        return Err(malformed("body: it is missing"));
    }
    let reading = collect(&mut body, BODY_MAX_BYTES, |_| true);
    let bytes = timeout(BODY_TIMEOUT, reading).await;
    let bytes = bytes
        .unwrap_or(Err(BodyError::TooSlow))
        .map_err(refusal_of)?;
    serde_json::from_slice(&bytes).map_err(|error| malformed(&format!("body: {error}")))
}

fn refusal_of(error: BodyError) -> OperatorAnswer {
    let kind = match error {
        BodyError::TooLarge => ErrorKind::BodyTooLarge,
        BodyError::TooSlow => ErrorKind::SlowSender,
        BodyError::NoMemory => ErrorKind::QueueFull,
        BodyError::Broken => return malformed("body: it ended early"),
    };
    OperatorAnswer::Failed {
        kind,
        detail: SmolStr::default(),
    }
}

fn malformed(detail: &str) -> OperatorAnswer {
    OperatorAnswer::Failed {
        kind: ErrorKind::MalformedRequest,
        detail: detail.into(),
    }
}

fn to_response(answer: OperatorAnswer) -> Response<Full<Bytes>> {
    let (status, content_type, body) = match answer {
        OperatorAnswer::Text {
            status,
            content_type,
            body,
        } => (status, content_type, body),
        OperatorAnswer::Json { status, body } => (status, "application/json", body.to_string()),
        OperatorAnswer::Failed { kind, detail } => {
            let row = kind.answer();
            let body = serde_json::json!({
                "kind": kind,
                "text": row.text,
                "detail": detail,
            });
            (row.status, "application/json", body.to_string())
        }
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
