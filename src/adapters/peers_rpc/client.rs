//! Client for blocking calls to one peer, from any thread.

use std::error::Error;
use std::io;
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::Duration;

use jsonrpsee::core::client::{ClientT, Error as RpcError};
use jsonrpsee::core::params::ArrayParams;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use serde_json::Value;
use smol_str::{format_smolstr, SmolStr};
use tokio::runtime::{Builder, Runtime};

use super::messages::{PeerAnswer, PeerCall};
use super::{ANSWER_MAX_BYTES, REQUEST_MAX_BYTES};
use crate::ports::PortError;

/// Most calls that may wait for one peer at once; further ones are not sent.
const CALLS_MAX_COUNT: usize = 8;

/// Number of threads for all links of the process.
const RUNTIME_THREADS_COUNT: usize = 2;

/// A link to one peer.
pub struct PeerClient {
    url: String,
    timeout: Duration,
    link: Mutex<Link>,
}

/// The current HTTP client, and the number of calls that wait for an answer.
struct Link {
    client: HttpClient,
    /// Number of times that the client was replaced.
    generation: u64,
    calls_count: usize,
}

impl PeerClient {
    /// Opens a link to the peer at `address` (`ip:port`). The first call makes the connection.
    pub fn open(address: &str, timeout_ms: u64) -> Result<Self, PortError> {
        let url = format!("http://{address}");
        let timeout = Duration::from_millis(timeout_ms);
        let client = build(&url, timeout)?;
        Ok(Self {
            url,
            timeout,
            link: Mutex::new(Link {
                client,
                generation: 0,
                calls_count: 0,
            }),
        })
    }

    /// Calls the peer and waits up to the timeout for its answer. After a lost answer the next call
    /// makes a new connection, as the old one may never respond again.
    pub fn call(&self, call: &PeerCall) -> Result<PeerAnswer, PortError> {
        let method: &'static str = call.into();
        let params = params_of(call)?;
        let (client, generation) = self.begin()?;
        // The timeout of the client does not cover a connection that accepts no bytes.
        let answer = runtime()?.block_on(async {
            let request = client.request::<PeerAnswer, _>(method, params);
            tokio::time::timeout(self.timeout, request)
                .await
                .unwrap_or(Err(RpcError::RequestTimeout))
        });
        let result = answer.map_err(to_port_error);
        self.end(generation, matches!(result, Err(PortError::AnswerLost(_))));
        result
    }

    fn begin(&self) -> Result<(HttpClient, u64), PortError> {
        let mut link = self.link.lock().unwrap_or_else(PoisonError::into_inner);
        if link.calls_count >= CALLS_MAX_COUNT {
            return Err(PortError::NotSent(
                "too many calls are waiting for the peer".into(),
            ));
        }
        link.calls_count += 1;
        Ok((link.client.clone(), link.generation))
    }

    fn end(&self, generation: u64, is_lost: bool) {
        let mut link = self.link.lock().unwrap_or_else(PoisonError::into_inner);
        link.calls_count -= 1;
        if !is_lost || link.generation != generation {
            return;
        }
        if let Ok(client) = build(&self.url, self.timeout) {
            link.client = client;
            link.generation += 1;
        }
    }
}

/// Returns the runtime shared by all links of the process.
fn runtime() -> Result<&'static Runtime, PortError> {
    static RUNTIME: OnceLock<Option<Runtime>> = OnceLock::new();
    let make = || {
        Builder::new_multi_thread()
            .worker_threads(RUNTIME_THREADS_COUNT)
            .max_blocking_threads(1)
            .thread_name("peer")
            .enable_all()
            .build()
            .ok()
    };
    let no_runtime = PortError::NotSent(SmolStr::new_static(
        "the runtime for calls to peers could not be started",
    ));
    RUNTIME.get_or_init(make).as_ref().ok_or(no_runtime)
}

fn build(url: &str, timeout: Duration) -> Result<HttpClient, PortError> {
    HttpClientBuilder::default()
        .request_timeout(timeout)
        .connect_timeout(timeout)
        .max_request_size(REQUEST_MAX_BYTES)
        .max_response_size(ANSWER_MAX_BYTES)
        .build(url)
        .map_err(|error| PortError::NotSent(format_smolstr!("{error}")))
}

fn params_of(call: &PeerCall) -> Result<ArrayParams, PortError> {
    let not_sent = |error: serde_json::Error| PortError::NotSent(format_smolstr!("{error}"));
    let value = serde_json::to_value(call).map_err(not_sent)?;
    let mut params = ArrayParams::new();
    params
        .insert(value.get("params").unwrap_or(&Value::Null))
        .map_err(not_sent)?;
    Ok(params)
}

fn to_port_error(error: RpcError) -> PortError {
    let text: SmolStr = format_smolstr!("{error}");
    match &error {
        RpcError::Call(_) => PortError::Refused(text),
        RpcError::Transport(cause) if is_unconnected(cause.as_ref()) => PortError::NotSent(text),
        _ => PortError::AnswerLost(text),
    }
}

/// Returns whether the peer refused the connection, so that nothing was sent.
fn is_unconnected(error: &(dyn Error + 'static)) -> bool {
    let mut cause = Some(error);
    while let Some(error) = cause {
        let kind = error.downcast_ref::<io::Error>().map(io::Error::kind);
        if kind == Some(io::ErrorKind::ConnectionRefused) {
            return true;
        }
        cause = error.source();
    }
    false
}
