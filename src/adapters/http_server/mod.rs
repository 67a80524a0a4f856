//! An HTTP/1 server on `hyper` with bounded resources, whatever its clients do: connections,
//! request heads and pauses are limited, and a failed accept does not stop it. The callers'
//! interface and the peers' server use it.

mod connection;
mod slots;

use std::error::Error;
use std::net::{SocketAddr, TcpListener as StdTcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use hyper::body::{Body, Incoming};
use hyper::service::Service;
use hyper::{Request, Response};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;
use tokio::time::sleep;

pub(crate) use slots::{SlotGuard, Slots};

/// Delay after a failed accept, for example when the process has no free file descriptor.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Interval at which [`HttpServer::finish`] checks whether all connections are closed.
const FINISH_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Most connections that are accepted from the listener's queue after the server is stopped.
const LAST_ACCEPTS_MAX_COUNT: usize = 4_096;
/// Time for the threads of the runtime to end when the server finishes.
const RUNTIME_STOP_TIMEOUT: Duration = Duration::from_millis(200);

/// Limits of a server.
#[derive(Clone, Debug)]
pub(crate) struct HttpLimits {
    /// Most open connections.
    pub(crate) connections_max_count: usize,
    /// Most connections over that limit that get a refusal at the same time; further ones are
    /// closed without an answer.
    pub(crate) refusals_max_count: usize,
    /// Timeout for the head of a request, including the idle time since the previous request.
    pub(crate) header_timeout_ms: u64,
    /// Longest pause of the client while it reads an answer.
    pub(crate) write_idle_timeout_ms: u64,
    /// Number of threads that serve connections.
    pub(crate) threads_count: usize,
    /// Most threads for blocking calls.
    pub(crate) blocking_threads_count: usize,
}

/// Refusal of a connection over the limit.
pub(crate) struct Refusal {
    /// Bytes of the response.
    pub(crate) response: Vec<u8>,
    /// Called for each refused connection.
    pub(crate) on_refused: Box<dyn Fn() + Send + Sync>,
}

/// Phase of the shutdown of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Connections are accepted and kept open between requests.
    Serving,
    /// Connections are still accepted, and each closes after its next answer.
    Closing,
    /// No connection is accepted; idle ones are closed, the others close after their answer.
    Stopped,
}

/// A running server.
pub(crate) struct HttpServer {
    address: SocketAddr,
    connections: Arc<Slots>,
    is_accepting: Arc<AtomicBool>,
    phase: watch::Sender<Phase>,
    runtime: Option<Runtime>,
}

/// State shared by the accept loop and its connections.
struct Shared<M> {
    limits: HttpLimits,
    refusal: Refusal,
    connections: Arc<Slots>,
    refusals: Arc<Slots>,
    phase: watch::Receiver<Phase>,
    make_service: M,
}

impl HttpServer {
    /// Binds `address` and serves each connection by the service that `make_service` returns for
    /// it. The service may hold the connection's slot for work that outlives the connection.
    pub(crate) fn bind<M, S, B>(
        address: SocketAddr,
        thread_name: &str,
        limits: HttpLimits,
        refusal: Refusal,
        make_service: impl FnOnce(watch::Receiver<Phase>) -> M,
    ) -> std::io::Result<Self>
    where
        M: Fn(Arc<SlotGuard>) -> S + Send + Sync + 'static,
        S: Service<Request<Incoming>, Response = Response<B>> + Send + 'static,
        S::Future: Send,
        S::Error: Into<Box<dyn Error + Send + Sync>>,
        B: Body + Send + 'static,
        B::Data: Send,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        let listener = StdTcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = Builder::new_multi_thread()
            .worker_threads(limits.threads_count)
            .max_blocking_threads(limits.blocking_threads_count)
            .thread_name(thread_name)
            .enable_all()
            .build()?;
        let (phase, phase_receiver) = watch::channel(Phase::Serving);
        let connections = Slots::new(limits.connections_max_count as u64);
        let shared = Arc::new(Shared {
            connections: Arc::clone(&connections),
            refusals: Slots::new(limits.refusals_max_count as u64),
            limits,
            refusal,
            make_service: make_service(phase_receiver.clone()),
            phase: phase_receiver,
        });
        let listener = {
            let _context = runtime.enter();
            TcpListener::from_std(listener)?
        };
        let is_accepting = Arc::new(AtomicBool::new(true));
        let accepting = Arc::clone(&is_accepting);
        runtime.spawn(async move {
            accept_loop(listener, shared).await;
            accepting.store(false, Ordering::Release);
        });
        Ok(Self {
            address,
            connections,
            is_accepting,
            phase,
            runtime: Some(runtime),
        })
    }

    /// Returns the bound address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    pub(crate) fn connections_count(&self) -> usize {
        self.connections.taken() as usize
    }

    /// Moves to [`Phase::Closing`].
    pub(crate) fn begin_closing(&self) {
        self.phase.send_if_modified(|phase| match *phase {
            Phase::Serving => {
                *phase = Phase::Closing;
                true
            }
            Phase::Closing | Phase::Stopped => false,
        });
    }

    /// Moves to [`Phase::Stopped`], waits up to `timeout_ms` for the requests in flight and returns
    /// the number of connections that were cut off.
    pub(crate) fn finish(mut self, timeout_ms: u64) -> usize {
        self.phase.send_replace(Phase::Stopped);
        let end = Instant::now() + Duration::from_millis(timeout_ms);
        let is_busy = || self.is_accepting.load(Ordering::Acquire) || self.connections_count() > 0;
        while is_busy() && Instant::now() < end {
            thread::sleep(FINISH_POLL_INTERVAL);
        }
        let cut_count = self.connections_count();
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_timeout(RUNTIME_STOP_TIMEOUT);
        }
        cut_count
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

async fn accept_loop<M, S, B>(listener: TcpListener, shared: Arc<Shared<M>>)
where
    M: Fn(Arc<SlotGuard>) -> S + Send + Sync + 'static,
    S: Service<Request<Incoming>, Response = Response<B>> + Send + 'static,
    S::Future: Send,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut phase = shared.phase.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => admit(stream, &shared),
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            },
            () = until_stopped(&mut phase) => break,
        }
    }
    admit_queued(listener, &shared);
}

/// Accepts the connections in the listener's queue, which closing the listener would reset.
fn admit_queued<M, S, B>(listener: TcpListener, shared: &Arc<Shared<M>>)
where
    M: Fn(Arc<SlotGuard>) -> S + Send + Sync + 'static,
    S: Service<Request<Incoming>, Response = Response<B>> + Send + 'static,
    S::Future: Send,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let Ok(listener) = listener.into_std() else {
        return;
    };
    let queued = std::iter::from_fn(|| listener.accept().ok());
    let streams: Vec<_> = queued.take(LAST_ACCEPTS_MAX_COUNT).collect();
    drop(listener);
    for (stream, _) in streams {
        let stream = stream
            .set_nonblocking(true)
            .and_then(|()| TcpStream::from_std(stream));
        if let Ok(stream) = stream {
            admit(stream, shared);
        }
    }
}

fn admit<M, S, B>(stream: TcpStream, shared: &Arc<Shared<M>>)
where
    M: Fn(Arc<SlotGuard>) -> S + Send + Sync + 'static,
    S: Service<Request<Incoming>, Response = Response<B>> + Send + 'static,
    S::Future: Send,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    match shared.connections.take(1) {
        Some(slot) => {
            tokio::spawn(connection::serve(stream, slot, Arc::clone(shared)));
        }
        None => {
            (shared.refusal.on_refused)();
            if let Some(slot) = shared.refusals.take(1) {
                tokio::spawn(connection::refuse(stream, slot, Arc::clone(shared)));
            }
        }
    }
}

/// Returns once the server is stopped or dropped.
async fn until_stopped(phase: &mut watch::Receiver<Phase>) {
    let _ = phase.wait_for(|phase| *phase == Phase::Stopped).await;
}
