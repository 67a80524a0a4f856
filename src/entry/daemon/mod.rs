//! The daemon of one entry. Its threads carry out the engine's actions and send it events over
//! bounded channels; they take no decisions themselves.

mod core_loop;
mod from_settings;
mod operators;
mod peers;
mod platform_threads;
mod pool;

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use smol_str::SmolStr;

use crate::{
    adapters::{
        callers_http::{CallersLimits, CallersServer},
        operators_http::OperatorsServer,
        peers_rpc::PeersServer,
    },
    callers::{CallId, CallerCall, ReplySender},
    entry::{
        event::{Event, Now},
        gossip::Gossip,
        settings::EngineSettings,
        status::EntryStatus,
    },
    error::ErrorKind,
    fleet::{MonoMs, Offset},
    ledger::SeatId,
    metrics::Metrics,
    ports::{Clock, LogRecord, Platform},
};

pub use from_settings::entry_name;

use core_loop::CoreLoop;
use pool::ThreadPool;

/// Capacity of the channel of events to the engine.
const EVENTS_CHANNEL_LEN: usize = 8_192;

/// Capacity of the channel of calls to the engine.
const CALLS_CHANNEL_LEN: usize = 4_096;

/// Capacity of the channel of appends to the appender thread.
const APPENDS_CHANNEL_LEN: usize = 64;

/// Maximum number of log records kept in memory for peers.
const RELAY_MAX_RECORDS: usize = 4_096;

/// Maximum size of the log records kept in memory for peers, in bytes.
const RELAY_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Maximum number of concurrent background tasks (probes, reboots, exchanges with peers).
const BACKGROUND_THREADS_COUNT: usize = 16;

/// Maximum number of concurrent cancels to workers and peers. Cancels come in bursts, so they have
/// their own threads and channel. A cancel that finds the channel full is dropped; the task then
/// ends with its lease.
const CANCEL_THREADS_COUNT: usize = 8;

/// Capacity of the channel of background tasks, and of that of cancels.
const BACKGROUND_CHANNEL_LEN: usize = 1_024;

/// Settings of one entry's daemon.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Settings of the engine.
    pub engine: EngineSettings,
    /// Address for callers.
    pub callers_address: SocketAddr,
    /// Address for peers.
    pub peers_address: SocketAddr,
    /// Address for operators.
    pub operators_address: SocketAddr,
    /// Addresses of peers to contact while the ledger names none.
    pub peer_addresses: Vec<SmolStr>,
    /// Limits of the callers' interface.
    pub callers: CallersLimits,
    /// Maximum size of a worker's answer, in bytes.
    pub answer_max_bytes: u64,
    /// Time for which a read of the log waits for new records, in milliseconds.
    pub log_read_wait_ms: u64,
    /// Time between two reads of the instance list, in milliseconds.
    pub instance_list_poll_ms: u64,
    /// Time between two exchanges of gossip with each peer, in milliseconds.
    pub peer_gossip_ms: u64,
    /// Timeout of a call to a peer, in milliseconds.
    pub peer_timeout_ms: u64,
    /// Maximum number of concurrent attempts.
    pub dispatch_threads_count: usize,
    /// Time for which a stopping entry waits for requests in flight, in milliseconds.
    pub drain_timeout_ms: u64,
}

/// Seat and address of another entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PeerAddress {
    pub(crate) seat: SeatId,
    pub(crate) address: SmolStr,
}

/// State shared by the threads.
pub(crate) struct Shared<P: Platform> {
    pub(crate) platform: Arc<P>,
    pub(crate) settings: EntrySettings,
    pub(crate) events: flume::Sender<Event>,
    pub(crate) appends: flume::Sender<Append>,
    pub(crate) wanted_offset: AtomicU64,
    pub(crate) is_stopped: AtomicBool,
    /// Whether the entry accepts work; the callers' port reports it to the load balancer.
    pub(crate) is_serving: Arc<AtomicBool>,
    pub(crate) is_drained: AtomicBool,
    pub(crate) published: Mutex<Published>,
    pub(crate) relay: Mutex<Relay>,
    pub(crate) attempts: ThreadPool,
    pub(crate) background_tasks: ThreadPool,
    pub(crate) cancels: ThreadPool,
    pub(crate) metrics: Arc<Metrics>,
}

/// State that the engine's thread publishes to the other threads.
#[derive(Clone, Debug, Default)]
pub(crate) struct Published {
    pub(crate) gossip: Gossip,
    /// Start of the latest read that showed the head of the log.
    pub(crate) log_head_seen_ms: Option<MonoMs>,
    pub(crate) status: EntryStatus,
    pub(crate) peers: Vec<PeerAddress>,
}

/// The latest records of the log, kept in memory for peers that cannot reach it.
#[derive(Debug, Default)]
pub(crate) struct Relay {
    pub(crate) records: std::collections::VecDeque<LogRecord>,
    pub(crate) bytes: usize,
    pub(crate) head_offset: Offset,
    pub(crate) oldest_offset: Offset,
}

/// One append for the appender thread.
#[derive(Debug)]
pub(crate) enum Append {
    /// A batch of the seat.
    Batch {
        /// Number of the batch.
        seq: u64,
        /// Text of the record.
        payload: String,
    },
    /// Parts of a snapshot.
    Snapshot {
        /// Texts of the records.
        payloads: Vec<String>,
    },
}

impl Relay {
    /// Adds a record that was read from the log; a gap before it clears the earlier records.
    pub(crate) fn push(&mut self, record: &LogRecord) {
        match self.records.back().map(|last| last.offset + 1) {
            Some(next_offset) if record.offset < next_offset => return,
            Some(next_offset) if record.offset > next_offset => {
                self.records.clear();
                self.bytes = 0;
            }
            Some(_) | None => {}
        }
        self.bytes += record.payload.len();
        self.records.push_back(record.clone());
        while self.records.len() > RELAY_MAX_RECORDS || self.bytes > RELAY_MAX_BYTES {
            if let Some(oldest) = self.records.pop_front() {
                self.bytes -= oldest.payload.len();
            }
        }
    }
}

impl<P: Platform> Shared<P> {
    /// Reads both clocks.
    pub(crate) fn now(&self) -> Now {
        let clock = self.platform.clock();
        // In this order: workers refuse starts after a time on the wall clock. A pause between the
        // two readings must make that time too early rather than too late for the lease, which is
        // counted on the monotonic clock.
        let unix_ms = clock.unix_ms();
        let mono_ms = clock.mono_ms();
        Now { mono_ms, unix_ms }
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Acquire)
    }

    /// Sends an event to the engine; blocks while the channel is full.
    pub(crate) fn send_event(&self, event: Event) {
        // The receiver is closed only when the process stops.
        let _ = self.events.send(event);
    }
}

/// A running entry.
pub struct Entry<P: Platform> {
    shared: Arc<Shared<P>>,
    callers: Option<CallersServer>,
    peers: PeersServer,
    operators: OperatorsServer,
    threads: Vec<JoinHandle<()>>,
}

/// Channels to the callers that wait for the engine's answer.
pub(crate) type Replies = HashMap<CallId, ReplySender>;

impl<P: Platform> Entry<P> {
    /// Binds all ports and starts all threads.
    ///
    /// # Errors
    ///
    /// An error of the system if a port cannot be bound or a thread cannot be started.
    pub fn spawn(
        mut settings: EntrySettings,
        platform: Arc<P>,
        incarnation: &str,
    ) -> io::Result<Self> {
        let metrics = Arc::new(Metrics::open());
        let (events, events_receiver) = flume::bounded(EVENTS_CHANNEL_LEN);
        let (appends, appends_receiver) = flume::bounded(APPENDS_CHANNEL_LEN);
        let (calls, calls_receiver) = flume::bounded::<CallerCall>(CALLS_CHANNEL_LEN);
        let refusals = Arc::clone(&metrics);
        let on_refusal = Arc::new(move |kind: ErrorKind| refusals.count_refusal(kind));
        let callers = CallersServer::bind(
            settings.callers_address,
            &settings.engine.entry,
            settings.callers.clone(),
            calls,
            on_refusal,
        )?;
        settings.callers_address = callers.address();
        let peer_handler = Arc::new(peers::DeferredHandler::default());
        let peers = PeersServer::bind(settings.peers_address, peer_handler.handler())?;
        settings.peers_address = peers.address();
        if settings.engine.peers_address.is_empty() {
            settings.engine.peers_address = SmolStr::new(peers.address().to_string());
        }
        let dispatch_threads_count = settings.dispatch_threads_count;
        let shared = Arc::new(Shared {
            platform,
            events,
            appends,
            wanted_offset: AtomicU64::new(0),
            is_stopped: AtomicBool::new(false),
            is_serving: callers.readiness(),
            is_drained: AtomicBool::new(false),
            published: Mutex::new(Published::default()),
            relay: Mutex::new(Relay::default()),
            attempts: ThreadPool::open("attempt", dispatch_threads_count, dispatch_threads_count),
            background_tasks: ThreadPool::open(
                "errand",
                BACKGROUND_THREADS_COUNT,
                BACKGROUND_CHANNEL_LEN,
            ),
            cancels: ThreadPool::open("cancel", CANCEL_THREADS_COUNT, BACKGROUND_CHANNEL_LEN),
            metrics,
            settings,
        });
        peer_handler.set(&shared);
        let operators = OperatorsServer::bind(
            shared.settings.operators_address,
            operators::handler(&shared),
        )?;
        let core = CoreLoop::open(Arc::clone(&shared), incarnation);
        let mut threads = vec![spawn_thread("core", {
            move || core.run(&events_receiver, &calls_receiver)
        })?];
        threads.extend(platform_threads::spawn(&shared, appends_receiver)?);
        threads.push(peers::spawn(&shared)?);
        Ok(Self {
            shared,
            callers: Some(callers),
            peers,
            operators,
            threads,
        })
    }

    /// Returns the address for callers.
    pub fn callers_address(&self) -> SocketAddr {
        self.shared.settings.callers_address
    }

    /// Returns the address for peers.
    pub fn peers_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Returns the address for operators.
    pub fn operators_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Returns whether the entry accepts work.
    pub fn is_serving(&self) -> bool {
        self.shared.is_serving.load(Ordering::Acquire)
    }

    /// Returns the status that the entry reports.
    pub fn status(&self) -> EntryStatus {
        lock(&self.shared.published).status.clone()
    }

    /// Stops gracefully: refuses new work, finishes requests in flight, hands off jobs, closes the
    /// seat and then the ports. Returns how many connections were cut when the drain timed out.
    pub fn stop(mut self) -> usize {
        let timeout = Duration::from_millis(self.shared.settings.drain_timeout_ms);
        let end = Instant::now() + timeout;
        self.shared.send_event(Event::Drain);
        if let Some(callers) = &self.callers {
            callers.begin_closing();
        }
        while !self.shared.is_drained.load(Ordering::Acquire) && Instant::now() < end {
            thread::sleep(Duration::from_millis(5));
        }
        let left_ms = end.saturating_duration_since(Instant::now()).as_millis() as u64;
        let cut_count = match self.callers.take() {
            Some(callers) => callers.finish(left_ms.max(100)),
            None => 0,
        };
        self.halt();
        cut_count
    }

    fn halt(&mut self) {
        self.shared.is_stopped.store(true, Ordering::Release);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl<P: Platform> Drop for Entry<P> {
    fn drop(&mut self) {
        self.halt();
    }
}

pub(crate) fn spawn_thread(
    name: &str,
    run: impl FnOnce() + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    thread::Builder::new().name(name.to_owned()).spawn(run)
}

/// Locks a mutex even if a thread panicked while holding it: the guarded state is replaced as a
/// whole.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
