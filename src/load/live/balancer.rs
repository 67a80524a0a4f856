//! Simulates the load balancer in front of the entries. It probes whether each entry is ready,
//! sends callers only to ready entries, and aborts the calls to an entry that stops answering.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::Request;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use super::client::HttpPool;

/// Interval of the readiness probes of an entry.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Time without an answer after which an entry counts as unresponsive.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// State of one entry.
pub(crate) struct Backend {
    /// Connections for calls.
    pub(crate) pool: HttpPool,
    probe: HttpPool,
    is_ready: AtomicBool,
    /// Notified when the entry does not answer a probe.
    pub(crate) unresponsive: Notify,
}

/// Load balancer of all entries.
pub(crate) struct Balancer {
    backends: Vec<Backend>,
}

impl Balancer {
    /// Starts probing the entries at `addresses`. Must be called within a runtime.
    pub(crate) fn spawn(addresses: &[std::net::SocketAddr]) -> Arc<Self> {
        let backends = addresses.iter().map(|address| Backend {
            pool: HttpPool::open(*address),
            probe: HttpPool::open(*address),
            is_ready: AtomicBool::new(true),
            unresponsive: Notify::new(),
        });
        let balancer = Arc::new(Self {
            backends: backends.collect(),
        });
        for index in 0..balancer.backends.len() {
            let watched = Arc::clone(&balancer);
            tokio::spawn(async move { watched.watch(index).await });
        }
        balancer
    }

    /// Returns the preferred entry if it is ready, or else the next ready one. If none is ready, it
    /// returns the preferred one.
    pub(crate) fn pick(&self, preferred: usize) -> Option<(usize, &Backend)> {
        let count = self.backends.len();
        let mut candidates = (0..count).map(|shift| (preferred + shift) % count);
        let ready = candidates.find(|index| self.is_ready(*index));
        let index = ready.or_else(|| preferred.checked_rem(count))?;
        self.backends.get(index).map(|backend| (index, backend))
    }

    fn is_ready(&self, index: usize) -> bool {
        let backend = self.backends.get(index);
        backend.is_some_and(|backend| backend.is_ready.load(Ordering::Relaxed))
    }

    async fn watch(&self, index: usize) {
        let Some(backend) = self.backends.get(index) else {
            return;
        };
        loop {
            let probe_request = Request::get("/ready")
                .header("host", "balancer")
                .body(Full::<Bytes>::default());
            let Ok(probe_request) = probe_request else {
                return;
            };
            let answer = timeout(PROBE_TIMEOUT, backend.probe.call(probe_request)).await;
            let is_ready = matches!(&answer, Ok(Ok(reply)) if reply.status == 200);
            backend.is_ready.store(is_ready, Ordering::Relaxed);
            if answer.is_err() {
                backend.unresponsive.notify_waiters();
            }
            sleep(PROBE_INTERVAL).await;
        }
    }
}
