//! The node: the process that runs on each instance of the system on the users' platform. Every
//! node accepts calls. One of them leads and makes all decisions about jobs, workers and instances.
//! A node has no local storage: all durable state is in the store, so that any node can become the
//! leader.
//!
//! A node runs on one thread, with one task for each of: the operators' lists, the leadership
//! lease, callers, peers, and on the leader the journal, the list of workers and the list of
//! instances.

mod calls;
mod evacuations;
mod explain;
mod fleet_lists;
mod journal;
mod leader;
mod leader_load;
mod leadership;
mod lease;
mod lists;
mod loop_delay;
mod metrics;
mod orders;
mod peers;
mod restore;
mod types;
mod waiters;
mod wave_reports;

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use smol_str::{format_smolstr, SmolStr};
use tokio::sync::Notify;

use crate::adapters::clock::SystemClock;
use crate::jobs::{Catalog, WaveSpec};
use crate::logging::{BufferedLog, Event, LineQuota};
use crate::net::{Client, ClientSettings, Ingress, IngressLimits, ServerHandle};
use crate::platform::store::Store;
use crate::ports::Clock;

pub use evacuations::Evacuations;
pub use explain::{ExplainAnswer, ExplainCall, EXPLAIN_PATH};
pub use journal::{appends_of, Journal};
pub use leader::{STARTS_PER_STEP_MAX, STEP_PAUSE_MS};
pub use leadership::{Leadership, LeaseRecord, LeaseWrite, ReadRecord, Role, WriteOutcome};
pub use loop_delay::LoopDelay;
pub use metrics::NodeMetrics;
pub use types::{
    CallAnswer, CallKind, Fence, KeyedPage, KeyedRecord, LogPage, NodeBounds, NodeSettings,
    PeerCall, Refusal, Refused, StoreFailure, StoreLimits,
};
pub use waiters::Waiters;
pub use wave_reports::{WaveReport, WaveReports};

use leader::LeaderState;
use leader_load::LeaderLoad;

/// Most log lines a second about calls that changed nothing.
const CALL_LINES_PER_S_MAX_COUNT: u64 = 200;
/// Interval between flushes of the log, in milliseconds.
const FLUSH_MS: u64 = 100;
/// Greatest age of the last confirmation that the lists are the newest, in thousandths of the bound
/// on withdrawn keys. Beyond it, if the bound is strict, the node refuses calls that need a key.
const LISTS_AGE_MAX_PERMILLE: u64 = 550;
/// Time for which a stopping node still accepts calls, in milliseconds. In this time the load
/// balancer sees that the node is not ready.
const STOP_SERVE_MS: u64 = 2_500;
/// Margin before the platform kills a stopping process, in milliseconds.
const STOP_MARGIN_MS: u64 = 700;
/// Interval between checks whether all connections are closed, in milliseconds.
const STOP_POLL_MS: u64 = 100;
/// Delay before a claim of leadership on an instance with one whole core, in milliseconds. Smaller
/// instances wait longer, so that the one with the most capacity claims first.
const CLAIM_DELAY_CORE_MS: f64 = 25.0;
/// Longest such delay, in milliseconds.
const CLAIM_DELAY_MAX_MS: u64 = 400;
/// Upper bound of the jitter added to that delay, in milliseconds.
const CLAIM_JITTER_MS: u64 = 60;
/// Share of the memory that accepted connections and their requests may use, in thousandths. The rest
/// is for the state of the leader, the connections to other processes and the program.
const INGRESS_MEMORY_PERMILLE: usize = 500;
/// File descriptors that the platform reserves for files.
const FILES_DESCRIPTORS_COUNT: usize = 200;
/// Share of the file descriptors that is set aside for connections to other processes, in thousandths.
const OUTGOING_CONNECTIONS_PERMILLE: usize = 250;
/// Share of the file descriptors that stays free for further connections to other processes while
/// there are more of them, in thousandths.
const OUTGOING_RESERVE_PERMILLE: usize = 50;
/// Share of the file descriptors that idle connections may use, in thousandths.
const IDLE_CONNECTIONS_PERMILLE: usize = 250;
/// Time without use after which a connection to another process is closed, in milliseconds.
const IDLE_AGE_MAX_MS: u64 = 10_000;

/// One node.
pub(crate) struct Node {
    pub(crate) settings: NodeSettings,
    pub(crate) client: Client,
    /// The connections that the node accepts, at all of its addresses.
    pub(crate) ingress: Ingress,
    pub(crate) store: Store,
    pub(crate) metrics: NodeMetrics,
    /// Bound on the log lines about calls that changed nothing.
    pub(crate) call_lines: LineQuota,
    /// The operators' lists in force; none before the first read.
    pub(crate) catalog: RefCell<Option<Rc<Catalog>>>,
    /// Zones whose evacuation operators requested.
    pub(crate) evacuations: RefCell<Evacuations>,
    /// Maintenance waves that operators requested.
    pub(crate) waves: RefCell<Vec<WaveSpec>>,
    /// Time of sending of the last read that confirmed that the lists are the newest, in
    /// milliseconds; 0 for none.
    pub(crate) lists_confirmed_ms: Cell<u64>,
    pub(crate) leadership: RefCell<Leadership>,
    /// Recent delays of the event loop, measured by the task that runs the engine.
    pub(crate) loop_delay: Cell<LoopDelay>,
    /// Work of this node as the leader since it was last logged.
    pub(crate) leader_load: Cell<LeaderLoad>,
    /// Wakes the task that runs the engine.
    pub(crate) step_due: Notify,
    /// Wakes the task that writes the lease.
    pub(crate) lease_changed: Notify,
    /// The engine and the rest of the leader's state, while this node leads.
    pub(crate) leader_state: RefCell<Option<LeaderState>>,
    pub(crate) is_stopping: Cell<bool>,
}

impl Node {
    pub(crate) fn now_ms(&self) -> u64 {
        SystemClock.mono_ms()
    }

    pub(crate) fn unix_ms(&self) -> u64 {
        SystemClock.unix_ms()
    }

    /// Returns the time since the lists were last confirmed to be the newest, in milliseconds; none
    /// if they never were.
    pub(crate) fn lists_age_ms(&self) -> Option<u64> {
        match self.lists_confirmed_ms.get() {
            0 => None,
            confirmed_ms => Some(self.now_ms().saturating_sub(confirmed_ms)),
        }
    }

    /// Returns whether the lists were confirmed recently enough to verify keys with them. Unless
    /// the bound on withdrawn keys is strict, one confirmation of any age is enough.
    pub(crate) fn may_verify_keys(&self) -> bool {
        let bounds = &self.settings.bounds;
        let age_max_ms = bounds.key_withdrawal_ms * LISTS_AGE_MAX_PERMILLE / 1_000;
        self.lists_age_ms()
            .is_some_and(|age_ms| age_ms <= age_max_ms || !bounds.is_withdrawal_strict)
    }

    /// Returns whether the node can serve callers.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping.get() && self.catalog.borrow().is_some() && self.may_verify_keys()
    }
}

/// A running node.
pub struct NodeHandle {
    node: Rc<Node>,
    callers: ServerHandle,
    peers: ServerHandle,
    /// Servers of the readiness probe and the metrics. They run until the process ends.
    _probes: [ServerHandle; 2],
}

impl NodeHandle {
    /// Binds the addresses of `settings` and starts all tasks.
    pub async fn spawn(settings: NodeSettings) -> io::Result<Self> {
        let client = Client::open(ClientSettings {
            idle_max_count: settings.descriptors_count * IDLE_CONNECTIONS_PERMILLE / 1_000,
            idle_age_max_ms: IDLE_AGE_MAX_MS,
        });
        let ingress = open_ingress(&settings, &client);
        let store = Store::open(client.clone(), settings.store_address);
        let unix_ms = SystemClock.unix_ms();
        let incarnation = format_smolstr!("{unix_ms:x}");
        let leadership = Leadership::open(
            settings.name.clone(),
            incarnation.clone(),
            settings.peers_address,
            claim_delay_ms(&settings.name, &incarnation, settings.cpu_share),
        );
        let node = Rc::new(Node {
            client,
            ingress,
            store,
            metrics: NodeMetrics::open(),
            call_lines: LineQuota::new(CALL_LINES_PER_S_MAX_COUNT),
            catalog: RefCell::new(None),
            evacuations: RefCell::new(Evacuations::default()),
            waves: RefCell::new(Vec::new()),
            lists_confirmed_ms: Cell::new(0),
            leadership: RefCell::new(leadership),
            loop_delay: Cell::new(LoopDelay::default()),
            leader_load: Cell::new(LeaderLoad::default()),
            step_due: Notify::new(),
            lease_changed: Notify::new(),
            leader_state: RefCell::new(None),
            is_stopping: Cell::new(false),
            settings,
        });
        Event::new("started")
            .with("node", &node.settings.name)
            .with("zone", &node.settings.zone)
            .with("incarnation", &incarnation)
            .with("version", env!("CARGO_PKG_VERSION"))
            .info();
        let probes = [
            calls::serve_ready(&node).await?,
            calls::serve_metrics(&node).await?,
        ];
        let peers = peers::serve(&node).await?;
        let callers = calls::serve_callers(&node).await?;
        tokio::task::spawn_local(leader::run_steps(Rc::clone(&node)));
        tokio::task::spawn_local(lists::follow(Rc::clone(&node)));
        tokio::task::spawn_local(lease::follow(Rc::clone(&node)));
        tokio::task::spawn_local(lease::write(Rc::clone(&node)));
        Ok(Self {
            node,
            callers,
            peers,
            _probes: probes,
        })
    }

    /// Stops gracefully. Reports to the load balancer that the node is not ready, hands leadership
    /// off, still answers calls, and returns when all connections are closed or the time is over.
    pub async fn stop(&self) {
        let node = &self.node;
        let started_ms = node.now_ms();
        let until_ms = started_ms
            + node
                .settings
                .bounds
                .stop_grace_ms
                .saturating_sub(STOP_MARGIN_MS);
        node.is_stopping.set(true);
        Event::new("stopping")
            .with("node", &node.settings.name)
            .with("connections_count", self.callers.connections_count())
            .info();
        leader::hand_off(node).await;
        let serve_until_ms = until_ms.min(started_ms + STOP_SERVE_MS);
        while node.now_ms() < serve_until_ms {
            tokio::time::sleep(Duration::from_millis(STOP_POLL_MS)).await;
        }
        self.callers.stop();
        while node.now_ms() < until_ms && self.callers.connections_count() > 0 {
            tokio::time::sleep(Duration::from_millis(STOP_POLL_MS)).await;
        }
        self.peers.stop();
        Event::new("stopped")
            .with("node", &node.settings.name)
            .with("cut_count", self.callers.connections_count())
            .info();
    }

    /// Flushes `log` periodically; does not return.
    pub async fn flush_log(&self, log: &BufferedLog) {
        loop {
            tokio::time::sleep(Duration::from_millis(FLUSH_MS)).await;
            log.flush();
        }
    }
}

/// Creates the table of accepted connections. They may use the file descriptors that files and the
/// connections to other processes leave.
fn open_ingress(settings: &NodeSettings, client: &Client) -> Ingress {
    let share = |permille: usize| settings.descriptors_count * permille / 1_000;
    let outgoing_count = share(OUTGOING_CONNECTIONS_PERMILLE);
    let reserve_count = share(OUTGOING_RESERVE_PERMILLE);
    let limits = IngressLimits {
        memory_max_bytes: (settings.memory_mb << 20) * INGRESS_MEMORY_PERMILLE / 1_000,
        connections_max_count: settings
            .descriptors_count
            .saturating_sub(FILES_DESCRIPTORS_COUNT + outgoing_count),
    };
    let client_count = client.connections_count();
    Ingress::open(limits, move || {
        let needed_count = client_count.load(Ordering::Relaxed) + reserve_count;
        needed_count.saturating_sub(outgoing_count)
    })
}

/// Returns how long a node waits before it claims leadership, in milliseconds: a part by the size
/// of the instance, and a jitter derived from name and incarnation.
// The share of a core is a small positive number.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::as_conversions
)]
fn claim_delay_ms(name: &SmolStr, incarnation: &SmolStr, cpu_share: f64) -> u64 {
    let by_size_ms = (CLAIM_DELAY_CORE_MS / cpu_share.max(0.01)) as u64;
    let hash = blake3::hash(format!("{name}/{incarnation}").as_bytes());
    let random = u64::from(hash.as_bytes()[0]) % CLAIM_JITTER_MS;
    by_size_ms.min(CLAIM_DELAY_MAX_MS) + random
}
