//! A small TCP proxy that injects faults between two processes: refusals, cuts, resets, delays,
//! silence in one direction from a given byte on, and replays of what a client sent.
//!
//! Each proxy listens on a loopback address of its own, so that its port is still free when it
//! listens again after a time of refusing connections.

use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const ACCEPT_STEP: Duration = Duration::from_millis(1);
const READ_STEP: Duration = Duration::from_millis(20);
const CHUNK_BYTES: usize = 16 * 1_024;
const CONNECTIONS_MAX_COUNT: usize = 512;
const REPLAY_MAX_BYTES: usize = 1_024 * 1_024;

/// What happens to the bytes of one direction of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct DirectionFaults {
    /// How long each chunk is held back.
    pub(crate) delay_ms: u64,
    /// Byte from which on nothing arrives any more, while the connection stays open.
    pub(crate) stall_at_byte: Option<u64>,
    /// Byte at which both sides see the connection closed in order.
    pub(crate) close_at_byte: Option<u64>,
    /// Byte at which both sides see the connection reset.
    pub(crate) reset_at_byte: Option<u64>,
}

/// What happens to connections that come from now on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ProxyFaults {
    /// Connections are refused.
    pub(crate) is_refusing: bool,
    /// From the client to the upstream.
    pub(crate) to_upstream: DirectionFaults,
    /// From the upstream to the client.
    pub(crate) to_client: DirectionFaults,
    /// What the client sent is sent once more, on another connection, this long after its start.
    pub(crate) replay_after_ms: Option<u64>,
}

/// An open connection through the proxy.
struct Link {
    client: TcpStream,
    upstream: TcpStream,
    is_silent: AtomicBool,
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

/// A running proxy; ends with all its connections when dropped.
pub(crate) struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl Proxy {
    /// Listens on a loopback address of its own and passes connections on to `upstream`.
    pub(crate) fn spawn(upstream: &str) -> Self {
        let upstream = upstream.parse().expect("upstream is ip:port");
        let listener =
            TcpListener::bind((unique_loopback_ip(), 0)).expect("a loopback port is free");
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        let shared = Arc::new(Shared::default());
        let serving = Arc::clone(&shared);
        let thread = thread::spawn(move || serve(&serving, Some(listener), address, upstream));
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

    /// Replaces the faults of connections that come from now on.
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

    /// Makes every open connection silent for good in both directions; new ones work.
    pub(crate) fn stall_open(&self) {
        for link in self.shared.links.lock().unwrap().iter() {
            link.is_silent.store(true, Ordering::Relaxed);
        }
    }

    /// Resets every open connection; new ones work.
    pub(crate) fn reset_open(&self) {
        for link in self.shared.links.lock().unwrap().drain(..) {
            link.reset();
        }
    }

    /// Returns the status lines with which the upstream answered replays.
    pub(crate) fn replay_answers(&self) -> Vec<String> {
        self.shared.replay_answers.lock().unwrap().clone()
    }

    fn wait_until(&self, is_done: impl Fn() -> bool) {
        let deadline = Instant::now() + Duration::from_secs(5);
        while !is_done() {
            assert!(Instant::now() < deadline, "the proxy takes no faults");
            thread::sleep(ACCEPT_STEP);
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

/// Returns a loopback address that no other proxy of this process, or of one nearby, uses.
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
            thread::sleep(ACCEPT_STEP);
            continue;
        }
        let open = listener.get_or_insert_with(|| {
            TcpListener::bind(address).expect("nobody else binds this address")
        });
        open.set_nonblocking(true).expect("listeners can poll");
        match open.accept() {
            Ok((client, _)) => link_up(shared, client, upstream),
            Err(_) => thread::sleep(ACCEPT_STEP),
        }
    }
}

fn link_up(shared: &Arc<Shared>, client: TcpStream, upstream: SocketAddr) {
    // Read after the accept, so that the faults hold for every connection made after they were set.
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
        is_silent: AtomicBool::new(false),
        is_ended: AtomicBool::new(false),
        open_directions_count: AtomicU8::new(2),
        sent: Mutex::default(),
    });
    links.push(Arc::clone(&link));
    for stream in [&link.client, &link.upstream] {
        stream.set_nonblocking(false).expect("sockets can block");
        stream.set_nodelay(true).expect("sockets need not wait");
        stream.set_read_timeout(Some(READ_STEP)).expect("not zero");
    }
    let up = Arc::clone(&link);
    thread::spawn(move || {
        up.pump(&up.client, &up.upstream, faults.to_upstream, true);
        up.end_direction();
    });
    let down = Arc::clone(&link);
    thread::spawn(move || {
        down.pump(&down.upstream, &down.client, faults.to_client, false);
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

/// Sends what the client sent once more and returns the first line of the answer.
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
    fn pump(&self, mut from: &TcpStream, to: &TcpStream, faults: DirectionFaults, is_kept: bool) {
        let mut chunk = [0; CHUNK_BYTES];
        let mut passed_bytes = 0;
        while !self.is_ended.load(Ordering::Relaxed) {
            let count = match from.read(&mut chunk) {
                Ok(0) => break,
                Ok(count) => count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => continue,
                Err(_) => return self.reset(),
            };
            if is_kept {
                self.keep(&chunk[..count]);
            }
            thread::sleep(Duration::from_millis(faults.delay_ms));
            if !self.pass(to, &chunk[..count], &mut passed_bytes, faults) {
                return;
            }
        }
        let is_heard = !self.is_silent.load(Ordering::Relaxed)
            && faults.stall_at_byte.is_none_or(|at| passed_bytes < at);
        if is_heard {
            drop(to.shutdown(Shutdown::Write));
        }
    }

    /// Passes a chunk on as far as the faults let it; returns whether the connection goes on.
    fn pass(
        &self,
        mut to: &TcpStream,
        chunk: &[u8],
        passed_bytes: &mut u64,
        faults: DirectionFaults,
    ) -> bool {
        let limits = [
            faults.stall_at_byte,
            faults.close_at_byte,
            faults.reset_at_byte,
        ];
        let end_at = limits.into_iter().flatten().min().unwrap_or(u64::MAX);
        let room = usize::try_from(end_at.saturating_sub(*passed_bytes)).unwrap_or(usize::MAX);
        let part = &chunk[..chunk.len().min(room)];
        // A silent direction swallows what comes, so that the sender notices nothing.
        if !self.is_silent.load(Ordering::Relaxed) && to.write_all(part).is_err() {
            self.reset();
            return false;
        }
        *passed_bytes += part.len() as u64;
        match () {
            () if *passed_bytes < end_at => true,
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

    /// Notes that one direction is over; with both, the proxy forgets the connection.
    fn end_direction(&self) {
        if self.open_directions_count.fetch_sub(1, Ordering::Relaxed) == 1 {
            self.is_ended.store(true, Ordering::Relaxed);
        }
    }

    fn keep(&self, chunk: &[u8]) {
        let mut sent = self.sent.lock().unwrap();
        let room = REPLAY_MAX_BYTES.saturating_sub(sent.len());
        sent.extend_from_slice(&chunk[..chunk.len().min(room)]);
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

/// Ends a connection by a reset, whoever else still holds its socket.
fn abort(stream: &TcpStream) {
    let nobody = libc::sockaddr {
        sa_family: libc::AF_UNSPEC as libc::sa_family_t,
        sa_data: [0; 14],
    };
    let length = size_of::<libc::sockaddr>() as libc::socklen_t;
    // SAFETY: The descriptor is open for as long as `stream` is borrowed, and `nobody` is a valid
    // address of `length` bytes. Connecting to no family dissolves the association (connect(2)).
    unsafe { libc::connect(stream.as_raw_fd(), &nobody, length) };
}
