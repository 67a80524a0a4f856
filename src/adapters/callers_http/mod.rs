//! The callers' HTTP interface, on `hyper`: it bounds connections, bodies and waiting, turns each
//! request into a [`CallerCall`] on a bounded ring and writes the answer back. It decides nothing
//! else. `docs/callers.md` describes the interface from the outside.

mod answer;
mod connection;
mod limits;
mod request;
mod service;
mod slots;

use std::net::{SocketAddr, TcpListener as StdTcpListener};
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use smol_str::SmolStr;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;
use tokio::time::sleep;

pub use limits::CallersLimits;

use crate::callers::CallerCall;
use crate::error::ErrorKind;
use slots::Slots;

/// Pause after an accept error such as a full table of open files.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);
/// How often a finish looks whether every connection has closed.
const FINISH_POLL: Duration = Duration::from_millis(5);
/// Time that the runtime's threads get to end once no connection is left.
const RUNTIME_STOP: Duration = Duration::from_millis(200);

/// What the server is told of each refusal that it makes without the core.
pub type OnRefusal = Arc<dyn Fn(ErrorKind) + Send + Sync>;

/// How far the server has gone on its way to a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Connections are accepted and kept open between requests.
    Serving,
    /// Connections are still accepted, and each closes with its next answer.
    Closing,
    /// Nothing is accepted; idle connections are closed, the others end with their answer.
    Stopped,
}

/// What every connection of one server shares.
struct Shared {
    limits: CallersLimits,
    calls: flume::Sender<CallerCall>,
    on_refusal: OnRefusal,
    entry: SmolStr,
    next_call_id: AtomicU64,
    connections: Arc<Slots>,
    body_bytes: Arc<Slots>,
    refusals: Arc<Slots>,
    phase: watch::Receiver<Phase>,
}

impl Shared {
    fn is_closing(&self) -> bool {
        *self.phase.borrow() != Phase::Serving
    }
}

/// A running server for callers.
pub struct CallersServer {
    address: SocketAddr,
    shared: Arc<Shared>,
    phase: watch::Sender<Phase>,
    runtime: Option<Runtime>,
}

impl CallersServer {
    /// Binds `address` and serves callers; each call goes to `calls`, and a full ring refuses it
    /// at once. `entry` names this entry in the answers that the server makes itself.
    pub fn bind(
        address: SocketAddr,
        entry: &str,
        limits: CallersLimits,
        calls: flume::Sender<CallerCall>,
        on_refusal: OnRefusal,
    ) -> std::io::Result<Self> {
        let listener = StdTcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = Builder::new_multi_thread()
            .worker_threads(limits.threads_count)
            .max_blocking_threads(1)
            .thread_name("callers")
            .enable_all()
            .build()?;
        let (phase, phase_receiver) = watch::channel(Phase::Serving);
        let shared = Arc::new(Shared {
            connections: Slots::new(limits.connections_max_count as u64),
            body_bytes: Slots::new(limits.bodies_total_max_bytes),
            refusals: Slots::new(limits.refusals_max_count as u64),
            limits,
            calls,
            on_refusal,
            entry: entry.into(),
            next_call_id: AtomicU64::new(1),
            phase: phase_receiver,
        });
        let listener = {
            let _context = runtime.enter();
            TcpListener::from_std(listener)?
        };
        runtime.spawn(accept_loop(listener, Arc::clone(&shared)));
        Ok(Self {
            address,
            shared,
            phase,
            runtime: Some(runtime),
        })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    pub fn connections_count(&self) -> usize {
        self.shared.connections.taken() as usize
    }

    /// Goes on accepting, but closes each connection with its next answer, so that callers move to
    /// other entries before [`Self::finish`] closes the port.
    pub fn begin_closing(&self) {
        self.phase.send_if_modified(|phase| match *phase {
            Phase::Serving => {
                *phase = Phase::Closing;
                true
            }
            _ => false,
        });
    }

    /// Closes the port and the idle connections, waits up to `timeout_ms` for the calls in flight
    /// and returns the number of connections that were cut.
    pub fn finish(mut self, timeout_ms: u64) -> usize {
        self.phase.send_replace(Phase::Stopped);
        let end = Instant::now() + Duration::from_millis(timeout_ms);
        while self.connections_count() > 0 && Instant::now() < end {
            thread::sleep(FINISH_POLL);
        }
        let cut_count = self.connections_count();
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_timeout(RUNTIME_STOP);
        }
        cut_count
    }
}

impl Drop for CallersServer {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

async fn accept_loop(listener: TcpListener, shared: Arc<Shared>) {
    let mut phase = shared.phase.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => admit(stream, &shared),
                Err(_) => sleep(ACCEPT_RETRY).await,
            },
            () = until_stopped(&mut phase) => return,
        }
    }
}

/// Returns once the server is told to stop, or is dropped.
async fn until_stopped(phase: &mut watch::Receiver<Phase>) {
    let _ = phase.wait_for(|phase| *phase == Phase::Stopped).await;
}

fn admit(stream: TcpStream, shared: &Arc<Shared>) {
    match shared.connections.take(1) {
        Some(slot) => {
            tokio::spawn(connection::serve(
                stream,
                Arc::new(slot),
                Arc::clone(shared),
            ));
        }
        None => {
            (shared.on_refusal)(ErrorKind::TooManyConnections);
            if let Some(slot) = shared.refusals.take(1) {
                tokio::spawn(connection::refuse(stream, slot, Arc::clone(shared)));
            }
        }
    }
}
