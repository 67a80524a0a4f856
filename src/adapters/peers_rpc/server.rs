//! Server for calls of peers: `jsonrpsee` parses and dispatches the calls, on the bounded HTTP
//! server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::service::{service_fn, Service};
use hyper::{Request, Response, StatusCode};
use hyper_util::service::TowerToHyperService;
use jsonrpsee::server::{
    stop_channel, BatchRequestConfig, HttpBody, Server, ServerConfig, ServerHandle,
};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::RpcModule;
use serde_json::{json, Value};
use strum::IntoEnumIterator;
use tokio::time::timeout;

use super::messages::{PeerAnswer, PeerCall, PeerMethod};
use super::{ANSWER_MAX_BYTES, REQUEST_MAX_BYTES};
use crate::adapters::http_server::{HttpLimits, HttpServer, Refusal};

/// Timeout of a call, including the arrival of its body.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Limits: enough for a few connections of each of 9 entries, and connections that unresponsive
/// peers left open.
const LIMITS: HttpLimits = HttpLimits {
    connections_max_count: 64,
    refusals_max_count: 8,
    header_timeout_ms: 30_000,
    write_idle_timeout_ms: 5_000,
    threads_count: 1,
    blocking_threads_count: 16,
};
/// Response to a connection over the limit.
const REFUSAL: &[u8] =
    b"HTTP/1.1 503 Refused\r\nretry-after: 1\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
/// JSON-RPC error code for invalid parameters.
const INVALID_PARAMS: i32 = -32602;

/// Function that answers the peers' calls. It may block; up to 16 calls run at once.
pub type PeerHandler = Arc<dyn Fn(PeerCall) -> PeerAnswer + Send + Sync>;

/// A running server for calls of peers.
pub struct PeersServer {
    server: HttpServer,
    // Dropping the handle would stop the RPC service.
    _rpc: ServerHandle,
}

impl PeersServer {
    /// Binds `address` and answers each call by `handler`.
    pub fn bind(address: SocketAddr, handler: PeerHandler) -> std::io::Result<Self> {
        let methods = methods(handler).map_err(std::io::Error::other)?;
        let config = ServerConfig::builder()
            .http_only()
            .max_connections(LIMITS.connections_max_count as u32)
            .max_request_body_size(REQUEST_MAX_BYTES)
            .max_response_body_size(ANSWER_MAX_BYTES)
            .set_batch_request_config(BatchRequestConfig::Disabled)
            .build();
        let (stop, rpc) = stop_channel();
        let builder = Server::builder().set_config(config).to_service_builder();
        let make_service = |_phase| {
            move |_slot| {
                let calls =
                    TowerToHyperService::new(builder.clone().build(methods.clone(), stop.clone()));
                service_fn(move |request: Request<Incoming>| {
                    let answer = timeout(CALL_TIMEOUT, calls.call(request));
                    async { answer.await.unwrap_or_else(|_| Ok(timed_out())) }
                })
            }
        };
        let refusal = Refusal {
            response: REFUSAL.to_vec(),
            on_refused: Box::new(|| ()),
        };
        let server = HttpServer::bind(address, "peers", LIMITS, refusal, make_service)?;
        Ok(Self { server, _rpc: rpc })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the number of open connections.
    pub fn connections_count(&self) -> usize {
        self.server.connections_count()
    }
}

fn methods(
    handler: PeerHandler,
) -> Result<RpcModule<PeerHandler>, jsonrpsee::server::RegisterMethodError> {
    let mut module = RpcModule::new(handler);
    for method in PeerMethod::iter() {
        let name: &'static str = method.into();
        module.register_blocking_method(name, move |params, handler, _| {
            let params: Value = params.one().unwrap_or(Value::Null);
            read_call(name, params).map(|call| {
                let answer = handler(call);
                serde_json::to_value(answer).unwrap_or(Value::Null)
            })
        })?;
    }
    Ok(module)
}

fn read_call(name: &str, params: Value) -> Result<PeerCall, ErrorObjectOwned> {
    let call = match params {
        Value::Null => json!({ "method": name }),
        params => json!({ "method": name, "params": params }),
    };
    serde_json::from_value(call)
        .map_err(|error| ErrorObjectOwned::owned(INVALID_PARAMS, error.to_string(), None::<()>))
}

fn timed_out() -> Response<HttpBody> {
    let mut response = Response::new(HttpBody::empty());
    *response.status_mut() = StatusCode::REQUEST_TIMEOUT;
    response
        .headers_mut()
        .insert(CONNECTION, HeaderValue::from_static("close"));
    response
}
