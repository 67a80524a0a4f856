//! The callers' HTTP interface, on `hyper`. It limits connections, bodies and waiting times,
//! converts each request into a [`CallerCall`] on a bounded channel and writes the answer back. All
//! other decisions are made by the core. `docs/callers.md` describes the interface for callers.

mod answer;
mod body;
mod limits;
mod request;
mod service;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;

use hyper::service::service_fn;
use smol_str::SmolStr;
use tokio::sync::watch;

pub use limits::CallersLimits;

use crate::adapters::http_server::{HttpLimits, HttpServer, Phase, Refusal, Slots};
use crate::callers::CallerCall;
use crate::error::ErrorKind;

/// Callback for each refusal that the server makes without the core.
pub type OnRefusal = Arc<dyn Fn(ErrorKind) + Send + Sync>;

/// State shared by all connections of a server.
struct Shared {
    limits: CallersLimits,
    calls: flume::Sender<CallerCall>,
    on_refusal: OnRefusal,
    entry: SmolStr,
    next_call_id: AtomicU64,
    body_bytes: Arc<Slots>,
    is_ready: Arc<AtomicBool>,
    phase: watch::Receiver<Phase>,
}

impl Shared {
    fn is_closing(&self) -> bool {
        *self.phase.borrow() != Phase::Serving
    }
}

/// A running server of the callers' interface.
pub struct CallersServer {
    server: HttpServer,
    is_ready: Arc<AtomicBool>,
}

impl CallersServer {
    /// Binds `address` and serves callers. Each call is sent to `calls`, and refused at once if
    /// that channel is full. `entry` names this entry in the answers that the server itself makes.
    pub fn bind(
        address: SocketAddr,
        entry: &str,
        limits: CallersLimits,
        calls: flume::Sender<CallerCall>,
        on_refusal: OnRefusal,
    ) -> std::io::Result<Self> {
        let http_limits = HttpLimits {
            connections_max_count: limits.connections_max_count,
            refusals_max_count: limits.refusals_max_count,
            header_timeout_ms: limits.header_timeout_ms,
            write_idle_timeout_ms: limits.write_idle_timeout_ms,
            threads_count: limits.threads_count,
            blocking_threads_count: 1,
        };
        let on_refused = Arc::clone(&on_refusal);
        let kind = ErrorKind::TooManyConnections;
        let refusal = Refusal {
            response: answer::raw_refusal(kind, &entry.into(), limits.retry_after_ms),
            on_refused: Box::new(move || on_refused(kind)),
        };
        let is_ready = Arc::new(AtomicBool::new(false));
        let is_ready_shared = Arc::clone(&is_ready);
        let make_service = |phase| {
            let shared = Arc::new(Shared {
                body_bytes: Slots::new(limits.bodies_total_max_bytes),
                limits,
                calls,
                on_refusal,
                entry: entry.into(),
                next_call_id: AtomicU64::new(1),
                is_ready: is_ready_shared,
                phase,
            });
            move |slot| {
                let shared = Arc::clone(&shared);
                service_fn(move |request| {
                    let answer = service::answer(Arc::clone(&shared), Arc::clone(&slot), request);
                    async { Ok::<_, Infallible>(answer.await) }
                })
            }
        };
        let server = HttpServer::bind(address, "callers", http_limits, refusal, make_service)?;
        Ok(Self { server, is_ready })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the number of open connections.
    pub fn connections_count(&self) -> usize {
        self.server.connections_count()
    }

    /// Returns the flag behind `GET /ready`, for the thread that knows whether work is accepted.
    pub(crate) fn readiness(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.is_ready)
    }

    /// Sets the answer of `GET /ready` to the load balancer; a new server is not ready.
    pub fn set_ready(&self, is_ready: bool) {
        self.is_ready.store(is_ready, Ordering::Release);
    }

    /// Sets the server to not ready, and closes each connection after its next answer. Connections
    /// are still accepted, so that callers can move to other entries before [`Self::finish`] closes
    /// the port.
    pub fn begin_closing(&self) {
        self.set_ready(false);
        self.server.begin_closing();
    }

    /// Closes the port and the idle connections, waits up to `timeout_ms` for the calls in flight
    /// and returns the number of connections that were cut off.
    pub fn finish(self, timeout_ms: u64) -> usize {
        self.server.finish(timeout_ms)
    }
}
