//! A node with low limits, on stand-ins of the platform, and what the tests check of its process.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use hawthornladder::net::{Call, Client, ClientSettings, Reply};
use hyper::body::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::Method;
use serde_json::json;
use tokio::time::sleep;

use crate::node_soak::http_server::Server;
use crate::node_soak::platform::{Platform, KEY, QUEUES};
use crate::processes::Process;
use crate::proxy::unique_loopback_ip;

/// Memory of the instance, in megabytes.
const MEMORY_MB: u64 = 96;
/// Memory of an instance that only reads the answers of its store, in megabytes.
const SMALL_MEMORY_MB: u64 = 40;
/// File descriptors that the process may open.
pub(crate) const DESCRIPTORS_COUNT: usize = 600;
/// Longest body that the lists allow, in bytes.
pub(crate) const BODY_MAX_BYTES: usize = 262_144;

const CALLERS_PORT: u16 = 7_001;
const READY_PORT: u16 = 7_002;
const PEERS_PORT: u16 = 7_003;
const METRICS_PORT: u16 = 7_004;
const LAST_PORT: u16 = 7_010;
const CALL_TIMEOUT_MS: u64 = 3_000;
/// How often an ordinary caller tries, as the platform's clients do.
const TRIES_COUNT: usize = 5;
const RETRY_PAUSE: Duration = Duration::from_millis(400);
const POLL: Duration = Duration::from_millis(100);
const POLLS_MAX_COUNT: usize = 200;
/// Length of a large job, in bytes; its record has to fit into the store.
pub(crate) const LARGE_JOB_BYTES: usize = 200_000;

/// The node, with the stand-ins that it needs.
pub(crate) struct LimitedNode {
    ip: Ipv4Addr,
    memory_mb: u64,
    process: Process,
    client: Client,
    _platform: Rc<Platform>,
    _servers: (Server, Server),
}

impl LimitedNode {
    /// Starts a node and waits until it accepts jobs.
    pub(crate) async fn open(name: &str) -> Self {
        let platform = Platform::open(unique_loopback_ip(), 1).await;
        let servers = platform.serve(0).await;
        let (store, instances) = (servers.0.address(), servers.1.address());
        let process = spawn(name, platform.ip, MEMORY_MB, store, instances);
        let node = Self {
            ip: platform.ip,
            memory_mb: MEMORY_MB,
            process,
            client: client(),
            _platform: platform,
            _servers: servers,
        };
        node.wait_until_serving().await;
        node
    }

    /// Starts a node whose store is at `store`, and waits until it answers the readiness probe.
    pub(crate) async fn open_without_lists(name: &str, store: SocketAddr) -> Self {
        let platform = Platform::open(unique_loopback_ip(), 1).await;
        let servers = platform.serve(0).await;
        let process = spawn(
            name,
            platform.ip,
            SMALL_MEMORY_MB,
            store,
            servers.1.address(),
        );
        let node = Self {
            ip: platform.ip,
            memory_mb: SMALL_MEMORY_MB,
            process,
            client: client(),
            _platform: platform,
            _servers: servers,
        };
        node.wait_until_answering().await;
        node
    }

    async fn wait_until_answering(&self) {
        for _ in 0..POLLS_MAX_COUNT {
            if self.is_answering().await {
                return;
            }
            sleep(POLL).await;
        }
        panic!(
            "the node does not answer:\n{}",
            self.process.lines().join("\n")
        );
    }

    /// Returns whether the node says that it is not ready.
    pub(crate) async fn is_answering(&self) -> bool {
        let path = "/hawthornladder/readiness".to_owned();
        let reply = self
            .call(self.ready(), Method::GET, path, Bytes::new())
            .await;
        reply.is_some_and(|reply| reply.status == 503)
    }

    /// Returns the address for callers.
    pub(crate) fn callers(&self) -> SocketAddr {
        SocketAddr::from((self.ip, CALLERS_PORT))
    }

    /// Returns the address of the readiness probe.
    pub(crate) fn ready(&self) -> SocketAddr {
        SocketAddr::from((self.ip, READY_PORT))
    }

    /// Returns the address for other nodes.
    pub(crate) fn peers(&self) -> SocketAddr {
        SocketAddr::from((self.ip, PEERS_PORT))
    }

    /// Returns the address of the metrics.
    pub(crate) fn metrics(&self) -> SocketAddr {
        SocketAddr::from((self.ip, METRICS_PORT))
    }

    /// Returns the number of lines that the node has logged.
    pub(crate) fn log_lines_count(&self) -> usize {
        self.process.lines().len()
    }

    async fn wait_until_serving(&self) {
        for _ in 0..POLLS_MAX_COUNT {
            if self.submit_once().await == Some(200) {
                return;
            }
            sleep(POLL).await;
        }
        panic!(
            "the node accepts no job:\n{}",
            self.process.lines().join("\n")
        );
    }

    /// Asserts that an ordinary caller gets a job accepted.
    pub(crate) async fn assert_serves(&self) {
        let mut statuses = Vec::new();
        for _ in 0..TRIES_COUNT {
            match self.submit_once().await {
                Some(200) => return,
                status => statuses.push(status),
            }
            sleep(RETRY_PAUSE).await;
        }
        panic!("an ordinary caller was not served: {statuses:?}");
    }

    async fn submit_once(&self) -> Option<u16> {
        let path = format!("/{}/{:016x}", QUEUES[0], rand::random::<u64>());
        let body = Bytes::from(job_body(0).to_string());
        let reply = self.call(self.callers(), Method::POST, path, body).await?;
        Some(reply.status)
    }

    /// Asserts that a `GET` of `path` at `address` is answered with 200.
    pub(crate) async fn assert_answers(&self, address: SocketAddr, path: &str) {
        for _ in 0..TRIES_COUNT {
            let path = path.to_owned();
            let reply = self.call(address, Method::GET, path, Bytes::new()).await;
            if reply.is_some_and(|reply| reply.status == 200) {
                return;
            }
            sleep(RETRY_PAUSE).await;
        }
        panic!("{path} at {address} was not answered");
    }

    /// Asserts that another node gets an answer to a call.
    pub(crate) async fn assert_answers_peers(&self) {
        let body = Bytes::from(json!({ "count": { "queue": QUEUES[0] } }).to_string());
        for _ in 0..TRIES_COUNT {
            let path = "/v1/calls".to_owned();
            let call = self.call(self.peers(), Method::POST, path, body.clone());
            if call.await.is_some_and(|reply| reply.status == 200) {
                return;
            }
            sleep(RETRY_PAUSE).await;
        }
        panic!("a peer was not answered");
    }

    async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: String,
        body: Bytes,
    ) -> Option<Reply> {
        let key = (
            HeaderName::from_static("api-key"),
            HeaderValue::from_static(KEY),
        );
        let call = Call {
            address,
            method,
            path,
            headers: vec![key],
            body,
            timeout_ms: CALL_TIMEOUT_MS,
            answer_max_bytes: 1 << 20,
        };
        self.client.call(call).await.ok()
    }

    /// Asserts that the process has stayed within its memory, with what it has received and not read,
    /// and within its file descriptors.
    pub(crate) async fn assert_within_limits(&self) {
        self.wait_until_read().await;
        let peak_mb = self.process.resident_peak_mb();
        let unread_mb = self.unread_bytes() >> 20;
        assert!(
            peak_mb + unread_mb < self.memory_mb,
            "{peak_mb} MB were resident and {unread_mb} MB are unread, of {} MB",
            self.memory_mb
        );
        let open_count = self.process.descriptors_count();
        println!("resident peak {peak_mb} MB, unread {unread_mb} MB, {open_count} descriptors");
        assert!(
            open_count <= DESCRIPTORS_COUNT,
            "{open_count} of {DESCRIPTORS_COUNT} descriptors are open"
        );
    }

    /// Waits until the process has read what it has received, or reads no more of it.
    async fn wait_until_read(&self) {
        for _ in 0..POLLS_MAX_COUNT {
            if self.unread_bytes() == 0 {
                return;
            }
            sleep(POLL).await;
        }
    }

    /// Returns how many bytes the kernel holds that the process has not read.
    fn unread_bytes(&self) -> u64 {
        let address = u32::from_ne_bytes(self.ip.octets());
        let prefix = format!("{address:08X}:");
        let text = fs::read_to_string("/proc/net/tcp").expect("the kernel lists its connections");
        let rows = text.lines().skip(1).filter_map(|line| {
            let mut fields = line.split_whitespace().skip(1);
            let local = fields.next()?;
            let queues = fields.nth(2)?;
            let port = u16::from_str_radix(local.strip_prefix(&prefix)?, 16).ok()?;
            let unread = u64::from_str_radix(queues.split_once(':')?.1, 16).ok()?;
            (CALLERS_PORT..=LAST_PORT).contains(&port).then_some(unread)
        });
        rows.sum()
    }
}

/// Returns the body of an ordinary job whose payload has `padding_bytes` more bytes than it needs.
pub(crate) fn job_body(padding_bytes: usize) -> serde_json::Value {
    let plan = json!({ "steps": [{ "tasks_count": 1, "cpu_milli": 100, "work_ms": 50 }] });
    let padding = " ".repeat(padding_bytes);
    json!({
        "spec": format!("{plan}{padding}"),
        "phases": [{ "count": 1, "cpu": 100, "memory_request_mb": 64, "estimated_ms": 50 }],
    })
}

fn client() -> Client {
    Client::open(ClientSettings {
        // Each call has a connection of its own, as that of a new caller.
        idle_max_count: 0,
        idle_age_max_ms: 1,
    })
}

fn spawn(
    name: &str,
    ip: Ipv4Addr,
    memory_mb: u64,
    store: SocketAddr,
    instances: SocketAddr,
) -> Process {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = folder.join(format!("node_clients-{name}.toml"));
    let text = settings(ip, memory_mb, store, instances);
    fs::write(&path, text).expect("the folder is writable");
    let path = path.to_str().expect("the path is text");
    let variables = [("HAWTHORNLADDER_CONFIG", path)];
    Process::spawn_with(name, &["node"], &variables)
}

fn settings(ip: Ipv4Addr, memory_mb: u64, store: SocketAddr, instances: SocketAddr) -> String {
    format!(
        r#"node_name = "node-0"
ip = "{ip}"
zone = "a"
internal_ports = [{PEERS_PORT}, {LAST_PORT}]
[listen]
frontend_address = "{ip}:{CALLERS_PORT}"
ready = "{ip}:{READY_PORT}"
[limits]
cpu_share = 0.25
memory_mb = {memory_mb}
file_descriptors = {DESCRIPTORS_COUNT}
[bounds]
strict_revoke = true
hold_max_ms = 6000
[platform]
address = "{store}"
[cloud]
address = "{instances}"
"#
    )
}
