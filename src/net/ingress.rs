//! The connections that a process accepts, at all of its addresses together: how many there are, and
//! how much memory they and their requests take. Both have a bound. When it is reached, the connection
//! goes that has waited the longest for a whole request, so that clients that do not complete their
//! requests keep nobody out. A connection whose request has been read is never closed for another one.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;
use tokio::sync::Notify;
use tokio::time::{Duration, Instant};

use crate::logging::Event;

/// Memory of a connection without its bodies, in bytes: the buffers of both directions, what the
/// kernel has received for it, and its task.
const CONNECTION_BYTES: usize = 64 << 10;
/// Shortest time between two log lines about connections that were closed or refused.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Bounds of all connections that a process accepts.
#[derive(Clone, Copy, Debug)]
pub struct IngressLimits {
    /// Most memory of the connections and of the bodies of their requests, in bytes.
    pub memory_max_bytes: usize,
    /// Most connections.
    pub connections_max_count: usize,
}

/// Identifies an address that is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ServerKey(usize);

/// Identifies an accepted connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ConnectionKey(u64);

/// Place of a connection among those that wait for a whole request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WaitNumber(u64);

/// The accepted connections of a process. Its clones share them.
#[derive(Clone)]
pub struct Ingress {
    table: Arc<Mutex<Table>>,
    /// Returns how many more descriptors connections to other processes take than were set aside for
    /// them.
    extra_descriptors_count: Arc<dyn Fn() -> usize + Send + Sync>,
}

struct Table {
    limits: IngressLimits,
    used_bytes: usize,
    next_number: u64,
    servers: Vec<ServedAddress>,
    connections: IndexMap<ConnectionKey, Connection>,
    report: Report,
}

struct ServedAddress {
    connections_max_count: usize,
    connections_count: usize,
    /// Connections without a whole request, the one that has waited the longest first.
    waiting: BTreeMap<WaitNumber, ConnectionKey>,
}

struct Connection {
    server: ServerKey,
    /// None while a request that has been read is answered.
    wait_number: Option<WaitNumber>,
    reserved_bytes: usize,
    evicted: Arc<Notify>,
}

/// What was closed and refused since it was last logged.
#[derive(Default)]
struct Report {
    closed_count: u64,
    refused_count: u64,
    logged_at: Option<Instant>,
}

impl Ingress {
    /// Creates a table without connections. `extra_descriptors_count` is subtracted from the largest
    /// number of connections at each time.
    pub fn open(
        limits: IngressLimits,
        extra_descriptors_count: impl Fn() -> usize + Send + Sync + 'static,
    ) -> Self {
        let table = Table {
            limits,
            used_bytes: 0,
            next_number: 0,
            servers: Vec::new(),
            connections: IndexMap::new(),
            report: Report::default(),
        };
        Self {
            table: Arc::new(Mutex::new(table)),
            extra_descriptors_count: Arc::new(extra_descriptors_count),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds an address with at most this many connections.
    pub(crate) fn add_server(&self, connections_max_count: usize) -> ServerKey {
        let mut table = self.lock();
        table.servers.push(ServedAddress {
            connections_max_count,
            connections_count: 0,
            waiting: BTreeMap::new(),
        });
        ServerKey(table.servers.len() - 1)
    }

    /// Returns the number of connections at an address.
    pub(crate) fn connections_count(&self, server: ServerKey) -> usize {
        self.lock().servers[server.0].connections_count
    }

    /// Adds a connection, which first waits for a request. Returns `None` if there is no room, as all
    /// connections have requests that are being answered.
    pub(crate) fn admit(&self, server: ServerKey) -> Option<ConnectionSlot> {
        let extra_count = (self.extra_descriptors_count)();
        let mut table = self.lock();
        let admitted = table.admit(server, extra_count);
        table.report.refused_count += u64::from(admitted.is_none());
        table.report.log_if_due();
        let (key, evicted) = admitted?;
        Some(ConnectionSlot {
            ingress: self.clone(),
            key,
            evicted,
            is_answered: AtomicBool::new(false),
        })
    }
}

impl Table {
    fn admit(
        &mut self,
        server: ServerKey,
        extra_count: usize,
    ) -> Option<(ConnectionKey, Arc<Notify>)> {
        let max_count = self
            .limits
            .connections_max_count
            .saturating_sub(extra_count);
        while self.servers[server.0].is_full() {
            let oldest = self.servers[server.0].waiting.first_key_value();
            let (_, key) = oldest?;
            self.close(*key);
        }
        while self.connections.len() >= max_count.max(1) {
            let key = self.longest_waiting()?;
            self.close(key);
        }
        self.make_room(CONNECTION_BYTES)?;
        let wait_number = self.next_wait_number();
        let key = ConnectionKey(wait_number.0);
        let evicted = Arc::new(Notify::new());
        self.used_bytes += CONNECTION_BYTES;
        let served = &mut self.servers[server.0];
        served.connections_count += 1;
        served.waiting.insert(wait_number, key);
        let connection = Connection {
            server,
            wait_number: Some(wait_number),
            reserved_bytes: CONNECTION_BYTES,
            evicted: Arc::clone(&evicted),
        };
        self.connections.insert(key, connection);
        Some((key, evicted))
    }

    /// Closes connections until `bytes` more can be reserved; returns `None` if too few wait.
    fn make_room(&mut self, bytes: usize) -> Option<()> {
        while self.used_bytes.saturating_add(bytes) > self.limits.memory_max_bytes {
            let key = self.longest_waiting()?;
            self.close(key);
        }
        Some(())
    }

    fn longest_waiting(&self) -> Option<ConnectionKey> {
        let oldest = self
            .servers
            .iter()
            .filter_map(|served| served.waiting.first_key_value());
        oldest
            .min_by_key(|(number, _)| **number)
            .map(|(_, key)| *key)
    }

    fn next_wait_number(&mut self) -> WaitNumber {
        self.next_number += 1;
        WaitNumber(self.next_number)
    }

    fn close(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.remove(key) {
            connection.evicted.notify_one();
            self.report.closed_count += 1;
        }
    }

    fn remove(&mut self, key: ConnectionKey) -> Option<Connection> {
        let connection = self.connections.swap_remove(&key)?;
        let served = &mut self.servers[connection.server.0];
        served.connections_count -= 1;
        if let Some(number) = connection.wait_number {
            served.waiting.remove(&number);
        }
        self.used_bytes -= connection.reserved_bytes;
        Some(connection)
    }

    fn set_waiting(&mut self, key: ConnectionKey, is_waiting: bool) {
        let number = self.next_wait_number();
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        let waiting = &mut self.servers[connection.server.0].waiting;
        if let Some(number) = connection.wait_number.take() {
            waiting.remove(&number);
        }
        if is_waiting {
            connection.wait_number = Some(number);
            waiting.insert(number, key);
        }
    }

    fn release_bodies(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.connections.get_mut(&key) {
            self.used_bytes -= connection.reserved_bytes - CONNECTION_BYTES;
            connection.reserved_bytes = CONNECTION_BYTES;
        }
    }

    fn reserve(&mut self, key: ConnectionKey, bytes: usize) -> Option<()> {
        self.make_room(bytes)?;
        let connection = self.connections.get_mut(&key)?;
        connection.reserved_bytes += bytes;
        self.used_bytes += bytes;
        Some(())
    }
}

impl ServedAddress {
    fn is_full(&self) -> bool {
        self.connections_count >= self.connections_max_count
    }
}

impl Report {
    fn log_if_due(&mut self) {
        let is_due = self.logged_at.is_none_or(|at| at.elapsed() >= LOG_INTERVAL);
        if !is_due || self.closed_count + self.refused_count == 0 {
            return;
        }
        Event::new("connections_limited")
            .with("closed_count", self.closed_count)
            .with("refused_count", self.refused_count)
            .warn();
        *self = Self {
            logged_at: Some(Instant::now()),
            ..Self::default()
        };
    }
}

/// An accepted connection. Dropping it gives its share back.
pub(crate) struct ConnectionSlot {
    ingress: Ingress,
    key: ConnectionKey,
    evicted: Arc<Notify>,
    /// Whether an answer has been handed over for writing and is not written yet.
    is_answered: AtomicBool,
}

impl ConnectionSlot {
    /// Returns once the connection has to be closed in favour of another one.
    pub(crate) async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// Reserves memory until the answer is written. Returns whether there is enough.
    pub(crate) fn reserve(&self, bytes: usize) -> bool {
        self.ingress.lock().reserve(self.key, bytes).is_some()
    }

    /// Records that a whole request has been read: the connection stays until it is answered.
    pub(crate) fn begin_answer(&self) {
        self.ingress.lock().set_waiting(self.key, false);
    }

    /// Records that the answer is ready to be written.
    pub(crate) fn end_answer(&self) {
        self.is_answered.store(true, Ordering::Release);
    }

    /// Returns whether an answer is being written.
    pub(crate) fn is_writing(&self) -> bool {
        self.is_answered.load(Ordering::Acquire)
    }

    /// Records that all that was handed over has been written. After an answer, the connection waits
    /// for the next request.
    pub(crate) fn note_flushed(&self) -> bool {
        let was_answered = self.is_answered.swap(false, Ordering::AcqRel);
        if was_answered {
            let mut table = self.ingress.lock();
            table.release_bodies(self.key);
            table.set_waiting(self.key, true);
        }
        was_answered
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.ingress.lock().remove(self.key);
    }
}
