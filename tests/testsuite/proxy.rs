//! A small TCP proxy that injects faults between two processes: refused connections, closes,
//! resets, delays, stalls of one direction at a given byte, and replays of the bytes that a client
//! sent.
//!
//! Each proxy listens on its own loopback address, so that its port is still free when it listens
//! again after a period of refusing connections.

use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const ACCEPT_POLL_INTERVAL: Duration = Duration::from_millis(1);
const READ_TIMEOUT: Duration = Duration::from_millis(20);
const CHUNK_BYTES: usize = 16 * 1_024;
const CONNECTIONS_MAX_COUNT: usize = 512;
const REPLAY_MAX_BYTES: usize = 1_024 * 1_024;

/// Faults of one direction of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct DirectionFaults {
    /// Delay of each chunk.
    pub(crate) delay_ms: u64,
    /// Byte from which on nothing is delivered, while the connection stays open.
    pub(crate) stall_at_byte: Option<u64>,
    /// Byte at which the connection is closed gracefully towards both sides.
    pub(crate) close_at_byte: Option<u64>,
    /// Byte at which the connection is reset towards both sides.
    pub(crate) reset_at_byte: Option<u64>,
}

/// Faults of connections that are accepted from now on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ProxyFaults {
    /// Whether connections are refused.
    pub(crate) is_refusing: bool,
    /// Faults from the client to the upstream.
    pub(crate) to_upstream: DirectionFaults,
    /// Faults from the upstream to the client.
    pub(crate) to_client: DirectionFaults,
    /// Time after the start of a connection at which the client's bytes are sent again on another
    /// one.
    pub(crate) replay_after_ms: Option<u64>,
}

/// An open connection through the proxy.
struct Link {
    client: TcpStream,
    upstream: TcpStream,
    is_stalled: AtomicBool,
    is_ended: AtomicBool,
    open_directions_count: AtomicU8,
    sent: Mutex<Vec<u8>>,
}

#[derive(Default)]
struct Shared {
    faults: Mutex<ProxyFaults>,
    links: Mutex<Vec<Arc<Link>>>,
    replay_answers: Mutex<Vec<String>>,
    is_stopping: AtomicBool,
}

/// A running proxy. Dropping it stops it and resets its connections.
pub(crate) struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl Proxy {
    /// Listens on a unique loopback address and forwards connections to `upstream`.
    pub(crate) fn spawn(upstream: &str) -> Self {
        let upstream = upstream.parse().expect("upstream is ip:port");
        let listener =
            TcpListener::bind((unique_loopback_ip(), 0)).expect("a loopback port is free");
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        let shared = Arc::new(Shared::default());
        let thread_shared = Arc::clone(&shared);
        let thread =
            thread::spawn(move || serve(&thread_shared, Some(listener), address, upstream));
        Self {
            address,
            shared,
            thread: Some(thread),
        }
    }

    /// Returns the address that clients connect to.
    pub(crate) fn address(&self) -> String {
        self.address.to_string()
    }

    /// Sets the faults of connections that are accepted from now on.
    pub(crate) fn set(&self, faults: ProxyFaults) {
        let was_refusing = {
            let mut in_force = self.shared.faults.lock().unwrap();
            std::mem::replace(&mut *in_force, faults).is_refusing
        };
        if faults.is_refusing != was_refusing {
            let is_refused = || TcpStream::connect(self.address).is_err();
            self.wait_until(|| is_refused() == faults.is_refusing);
        }
    }

    /// Stalls every open connection forever in both directions; new ones are not affected.
    pub(crate) fn stall_open(&self) {
        for link in self.shared.links.lock().unwrap().iter() {
            link.is_stalled.store(true, Ordering::Relaxed);
        }
    }

    /// Resets every open connection; new ones are not affected.
    pub(crate) fn reset_open(&self) {
        for link in self.shared.links.lock().unwrap().drain(..) {
            link.reset();
        }
    }

    /// Returns the status lines of the upstream's answers to replays.
    pub(crate) fn replay_answers(&self) -> Vec<String> {
        self.shared.replay_answers.lock().unwrap().clone()
    }

    fn wait_until(&self, is_done: impl Fn() -> bool) {
        let deadline = Instant::now() + Duration::from_secs(5);
        while !is_done() {
            assert!(
                Instant::now() < deadline,
                "the faults did not take effect within 5 s"
            );
            thread::sleep(ACCEPT_POLL_INTERVAL);
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.shared.is_stopping.store(true, Ordering::Relaxed);
        self.reset_open();
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

/// Returns a loopback address that no other proxy of this process uses; the process id keeps
/// addresses of other test processes apart.
pub(crate) fn unique_loopback_ip() -> Ipv4Addr {
    static NEXT: AtomicU16 = AtomicU16::new(1);
    let [high, low] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let process = u8::try_from(std::process::id() % 200).expect("less than 200") + 1;
    Ipv4Addr::new(127, process, high, low)
}

fn serve(
    shared: &Arc<Shared>,
    mut listener: Option<TcpListener>,
    address: SocketAddr,
    upstream: SocketAddr,
) {
    while !shared.is_stopping.load(Ordering::Relaxed) {
        if shared.faults.lock().unwrap().is_refusing {
            listener = None;
            thread::sleep(ACCEPT_POLL_INTERVAL);
            continue;
        }
        let open = listener.get_or_insert_with(|| {
            TcpListener::bind(address).expect("no other listener binds this address")
        });
        open.set_nonblocking(true)
            .expect("the listener can be non-blocking");
        match open.accept() {
            Ok((client, _)) => open_link(shared, client, upstream),
            Err(_) => thread::sleep(ACCEPT_POLL_INTERVAL),
        }
    }
}

fn open_link(shared: &Arc<Shared>, client: TcpStream, upstream: SocketAddr) {
    // Read after the accept, so that the faults apply to every connection made after they were set.
    let faults = *shared.faults.lock().unwrap();
    let mut links = shared.links.lock().unwrap();
    links.retain(|link| !link.is_ended.load(Ordering::Relaxed));
    let connected = TcpStream::connect_timeout(&upstream, Duration::from_secs(1));
    let (Ok(upstream_stream), true) = (connected, links.len() < CONNECTIONS_MAX_COUNT) else {
        return;
    };
    let link = Arc::new(Link {
        client,
        upstream: upstream_stream,
        is_stalled: AtomicBool::new(false),
        is_ended: AtomicBool::new(false),
        open_directions_count: AtomicU8::new(2),
        sent: Mutex::default(),
    });
    links.push(Arc::clone(&link));
    for stream in [&link.client, &link.upstream] {
        stream
            .set_nonblocking(false)
            .expect("the socket can be blocking");
        stream.set_nodelay(true).expect("TCP_NODELAY can be set");
        stream
            .set_read_timeout(Some(READ_TIMEOUT))
            .expect("the timeout is not zero");
    }
    let up = Arc::clone(&link);
    thread::spawn(move || {
        up.copy(&up.client, &up.upstream, faults.to_upstream, true);
        up.end_direction();
    });
    let down = Arc::clone(&link);
    thread::spawn(move || {
        down.copy(&down.upstream, &down.client, faults.to_client, false);
        down.end_direction();
    });
    if let Some(after_ms) = faults.replay_after_ms {
        let shared = Arc::clone(shared);
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(after_ms));
            let answer = replay(&link, upstream);
            shared.replay_answers.lock().unwrap().push(answer);
        });
    }
}

/// Sends the client's bytes again and returns the first line of the answer.
fn replay(link: &Link, upstream: SocketAddr) -> String {
    let sent = link.sent.lock().unwrap().clone();
    let mut answer = Vec::new();
    let copied = TcpStream::connect(upstream).and_then(|mut stream| {
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        stream.write_all(&sent)?;
        stream.take(CHUNK_BYTES as u64).read_to_end(&mut answer)
    });
    let text = String::from_utf8_lossy(&answer).into_owned();
    match copied {
        Ok(_) => text.lines().next().unwrap_or_default().to_owned(),
        Err(error) => error.to_string(),
    }
}

impl Link {
    fn copy(
        &self,
        mut from: &TcpStream,
        to: &TcpStream,
        faults: DirectionFaults,
        is_recorded: bool,
    ) {
        let mut chunk = [0; CHUNK_BYTES];
        let mut forwarded_bytes = 0;
        while !self.is_ended.load(Ordering::Relaxed) {
            let count = match from.read(&mut chunk) {
                Ok(0) => break,
                Ok(count) => count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => continue,
                Err(_) => return self.reset(),
            };
            if is_recorded {
                self.record(&chunk[..count]);
            }
            thread::sleep(Duration::from_millis(faults.delay_ms));
            if !self.forward(to, &chunk[..count], &mut forwarded_bytes, faults) {
                return;
            }
        }
        let is_delivering = !self.is_stalled.load(Ordering::Relaxed)
            && faults.stall_at_byte.is_none_or(|at| forwarded_bytes < at);
        if is_delivering {
            drop(to.shutdown(Shutdown::Write));
        }
    }

    /// Forwards the part of a chunk that the faults allow; returns whether the connection stays
    /// open.
    fn forward(
        &self,
        mut to: &TcpStream,
        chunk: &[u8],
        forwarded_bytes: &mut u64,
        faults: DirectionFaults,
    ) -> bool {
        let limits = [
            faults.stall_at_byte,
            faults.close_at_byte,
            faults.reset_at_byte,
        ];
        let end_at = limits.into_iter().flatten().min().unwrap_or(u64::MAX);
        let left_bytes =
            usize::try_from(end_at.saturating_sub(*forwarded_bytes)).unwrap_or(usize::MAX);
        let part = &chunk[..chunk.len().min(left_bytes)];
        // A stalled direction discards what it receives, so that the sender notices nothing.
        if !self.is_stalled.load(Ordering::Relaxed) && to.write_all(part).is_err() {
            self.reset();
            return false;
        }
        *forwarded_bytes += part.len() as u64;
        match () {
            () if *forwarded_bytes < end_at => true,
            () if faults.reset_at_byte == Some(end_at) => {
                self.reset();
                false
            }
            () if faults.close_at_byte == Some(end_at) => {
                self.close();
                false
            }
            () => true,
        }
    }

    /// Records that one direction has ended; after both, the proxy drops the connection.
    fn end_direction(&self) {
        if self.open_directions_count.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.is_ended.store(true, Ordering::Relaxed);
        }
    }

    fn record(&self, chunk: &[u8]) {
        let mut sent = self.sent.lock().unwrap();
        let left_bytes = REPLAY_MAX_BYTES.saturating_sub(sent.len());
        sent.extend_from_slice(&chunk[..chunk.len().min(left_bytes)]);
    }

    fn close(&self) {
        self.is_ended.store(true, Ordering::Relaxed);
        for stream in [&self.client, &self.upstream] {
            drop(stream.shutdown(Shutdown::Both));
        }
    }

    fn reset(&self) {
        self.is_ended.store(true, Ordering::Relaxed);
        for stream in [&self.client, &self.upstream] {
            abort(stream);
        }
    }
}

/// Resets a connection, even if others still hold its socket.
fn abort(stream: &TcpStream) {
    let unspecified = libc::sockaddr {
        sa_family: libc::AF_UNSPEC as libc::sa_family_t,
        sa_data: [0; 14],
    };
    let length = size_of::<libc::sockaddr>() as libc::socklen_t;
    // SAFETY: The descriptor is open for as long as `stream` is borrowed, and `unspecified` is a
    // valid address of `length` bytes. Connecting to no family dissolves the association
    // (connect(2)).
    unsafe { libc::connect(stream.as_raw_fd(), &unspecified, length) };
}
