//! The nodes: processes of the program, one settings file each. A node keeps its name and its
//! addresses when it is started again.

use std::cell::RefCell;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use super::http_server::Server;
use super::network::{zone_of, ZONES};
use super::platform::Platform;
use super::worker::LEASE_MAX_MS;
use crate::processes::Process;

/// Number of nodes.
pub(crate) const NODES_COUNT: usize = 6;
/// First port of the first node, and distance to those of the next one.
const NODE_PORT: u16 = 7_001;
const PORTS_PER_NODE: u16 = 10;

struct Node {
    settings_path: PathBuf,
    process: Option<Process>,
    /// Output of the processes that have ended.
    past_lines: Vec<String>,
    _servers: (Server, Server),
}

/// The nodes.
pub(crate) struct Nodes {
    folder: PathBuf,
    platform: Rc<Platform>,
    nodes: RefCell<Vec<Node>>,
}

impl Nodes {
    /// Starts all nodes.
    pub(crate) async fn open(platform: &Rc<Platform>, folder: &Path) -> Rc<Self> {
        let nodes = Rc::new(Self {
            folder: folder.to_owned(),
            platform: Rc::clone(platform),
            nodes: RefCell::default(),
        });
        for number in 0..NODES_COUNT {
            let servers = platform.serve(number).await;
            let settings_path = folder.join(format!("node-{number}.toml"));
            let text = settings(number, &servers);
            fs::write(&settings_path, text).expect("the folder is writable");
            nodes.nodes.borrow_mut().push(Node {
                settings_path,
                process: None,
                past_lines: Vec::new(),
                _servers: servers,
            });
            nodes.start(number);
        }
        nodes
    }

    /// Returns the address at which a node accepts callers.
    pub(crate) fn callers_address(&self, number: usize) -> SocketAddr {
        SocketAddr::from((self.platform.ip, first_port(number)))
    }

    /// Starts a node that does not run.
    pub(crate) fn start(&self, number: usize) {
        self.platform.runs.log(&format!("node {number} starts"));
        let node = &mut self.nodes.borrow_mut()[number];
        let path = node.settings_path.to_str().expect("the path is text");
        let variables = [("HAWTHORNLADDER_CONFIG", path)];
        let name = format!("node-{number}");
        node.process = Some(Process::spawn_with(&name, &["node"], &variables));
    }

    /// Kills a node without warning.
    pub(crate) fn kill(&self, number: usize) {
        self.platform.runs.log(&format!("node {number} is killed"));
        let node = &mut self.nodes.borrow_mut()[number];
        if let Some(mut process) = node.process.take() {
            process.kill();
            node.past_lines.extend(process.all_lines());
        }
    }

    /// Pauses a node.
    pub(crate) fn pause(&self, number: usize) {
        self.platform.runs.log(&format!("node {number} is paused"));
        let node = &self.nodes.borrow()[number];
        node.process.iter().for_each(Process::pause);
    }

    /// Resumes a paused node.
    pub(crate) fn resume(&self, number: usize) {
        self.platform.runs.log(&format!("node {number} is resumed"));
        let node = &self.nodes.borrow()[number];
        node.process.iter().for_each(Process::resume);
    }

    /// Ends all nodes, and writes their output to files.
    pub(crate) fn close(&self) {
        for number in 0..NODES_COUNT {
            self.kill(number);
            let text = self.nodes.borrow()[number].past_lines.join("\n");
            let path = self.folder.join(format!("node-{number}.log"));
            fs::write(path, text).expect("the folder is writable");
        }
    }
}

fn first_port(number: usize) -> u16 {
    NODE_PORT + PORTS_PER_NODE * u16::try_from(number).expect("few nodes")
}

fn settings(number: usize, (store, instances): &(Server, Server)) -> String {
    let (store, instances) = (store.address(), instances.address());
    let (ip, port) = (store.ip(), first_port(number));
    let (ready_port, peers_port, last_port) = (port + 1, port + 2, port + 5);
    let zone = ZONES[zone_of(number)];
    format!(
        r#"node_name = "node-{number}"
ip = "{ip}"
zone = "{zone}"
internal_ports = [{peers_port}, {last_port}]
[listen]
frontend_address = "{ip}:{port}"
ready = "{ip}:{ready_port}"
[limits]
cpu_share = 0.25
file_descriptors = 4100
[bounds]
contact_ms = 3000
grace_s = 6
revoke_ms = 5000
strict_revoke = true
hold_max_ms = {LEASE_MAX_MS}
stop_ms = 200
status_s = 120
remote_factor = 3
migration_s = 1.5
maintenance_s = 2
lease_ms = 3000
[platform]
address = "{store}"
record_bytes = 262144
call_bytes = 2097152
[cloud]
address = "{instances}"
"#
    )
}
