//! The platform: its store, its list of instances, the workers and the network between them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use serde_json::{json, Value};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::http_server::{json_answer, Answer, Received, Server};
use super::network::{zone_of, Network, Place, ZONES};
use super::runs::Runs;
use super::store::{Store, OPERATORS, WORKERS};
use super::worker::{capacity, labels, Worker};

/// Names of the queues, and of the pools that they use.
pub(crate) const QUEUES: [&str; 2] = ["frames", "tables"];
/// Key of the callers.
pub(crate) const KEY: &str = "soak-key";
const WORKERS_COUNT: usize = 9;
/// First port of the workers.
const WORKER_PORT: u16 = 8_001;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Number of missed heartbeats after which an entry is removed.
const MISSED_MAX_COUNT: u32 = 3;
const TICK: Duration = Duration::from_millis(20);
/// Time after which an instance is back from a move.
const MOVE_TIME: Duration = Duration::from_millis(1_500);

/// The platform.
pub(crate) struct Platform {
    /// The loopback address of everything.
    pub(crate) ip: Ipv4Addr,
    /// The network.
    pub(crate) network: Network,
    /// The store.
    pub(crate) store: Rc<Store>,
    /// The runs of all workers.
    pub(crate) runs: Runs,
    /// The workers.
    pub(crate) workers: RefCell<Vec<Rc<Worker>>>,
    fences: RefCell<HashMap<String, u64>>,
}

impl Platform {
    /// Starts the store, the list of instances and the workers.
    pub(crate) async fn open(ip: Ipv4Addr, seed: u64) -> Rc<Self> {
        let platform = Rc::new(Self {
            ip,
            network: Network::open(seed),
            store: Rc::default(),
            runs: Runs::open(),
            workers: RefCell::default(),
            fences: RefCell::default(),
        });
        for number in 0..WORKERS_COUNT {
            let port = WORKER_PORT + u16::try_from(number).expect("few workers");
            let address = SocketAddr::from((ip, port));
            // Each pool has workers in each zone.
            let pool = QUEUES[usize::from(number >= WORKERS_COUNT / 2)];
            let name = format!("m-{number}");
            let worker = Worker::new(&platform, address, name, pool, zone_of(number));
            worker.start(false).await;
            platform.workers.borrow_mut().push(worker);
        }
        platform.store.put(OPERATORS, "config", Some(&lists(ip)));
        spawn_local(Rc::clone(&platform).register_workers());
        spawn_local(Rc::clone(&platform).tick_workers());
        platform
    }

    /// Serves the store and the list of instances to the node with this number, at addresses of its
    /// own.
    pub(crate) async fn serve(self: &Rc<Self>, node: usize) -> (Server, Server) {
        let any_port = SocketAddr::from((self.ip, 0));
        let platform = Rc::clone(self);
        let store = Server::bind(any_port, move |call| {
            let platform = Rc::clone(&platform);
            async move {
                platform
                    .network
                    .deliver(Place::Node(node), Place::Platform)
                    .await?;
                let answer = Rc::clone(&platform.store).answer(call).await?;
                platform
                    .network
                    .deliver(Place::Platform, Place::Node(node))
                    .await?;
                Some(answer)
            }
        });
        let platform = Rc::clone(self);
        let instances = Server::bind(any_port, move |call| {
            let platform = Rc::clone(&platform);
            async move {
                platform
                    .network
                    .deliver(Place::Node(node), Place::Platform)
                    .await?;
                let answer = platform.answer_instances(&call)?;
                platform
                    .network
                    .deliver(Place::Platform, Place::Node(node))
                    .await?;
                Some(answer)
            }
        });
        (store.await, instances.await)
    }

    /// Returns the number of the node that leads or led with `fence`.
    pub(crate) fn node_of_fence(&self, fence: u64) -> Option<usize> {
        node_number(&self.store.holder(Some(fence))?)
    }

    /// Returns the number of the node that the newest record of the leadership names.
    pub(crate) fn leader(&self) -> Option<usize> {
        node_number(&self.store.holder(None)?)
    }

    async fn tick_workers(self: Rc<Self>) {
        loop {
            sleep(TICK).await;
            self.workers
                .borrow()
                .iter()
                .for_each(|worker| worker.tick());
        }
    }

    /// Writes the workers' entries, and removes those of workers that have been silent.
    async fn register_workers(self: Rc<Self>) {
        let mut missed: IndexMap<String, u32> = IndexMap::new();
        for sequence in 1.. {
            if !self.store.is_down() {
                missed.values_mut().for_each(|count| *count += 1);
                for (id, entry) in self.reachable_entries(sequence) {
                    self.store.put(WORKERS, &id, Some(&entry));
                    missed.insert(id, 0);
                }
                let is_silent = |_: &String, count: &mut u32| *count >= MISSED_MAX_COUNT;
                for id in missed.extract_if(.., is_silent).map(|(id, _)| id) {
                    self.store.put(WORKERS, &id, None);
                }
            }
            sleep(HEARTBEAT).await;
        }
    }

    fn reachable_entries(&self, sequence: u64) -> Vec<(String, Value)> {
        let workers = self.workers.borrow();
        let reaches = |worker: &&Rc<Worker>| {
            let place = Place::WorkerOfZone(worker.zone);
            !self.network.is_cut(place, Place::Platform)
        };
        let entries = workers.iter().filter(reaches);
        entries
            .filter_map(|worker| worker.entry(sequence))
            .collect()
    }

    fn answer_instances(self: &Rc<Self>, call: &Received) -> Option<Answer> {
        match call.path.as_str() {
            "/hawthornladder/machines" => {
                let workers = self.workers.borrow();
                let rows: Vec<Value> = workers.iter().map(|worker| row_of(worker)).collect();
                Some(json_answer(
                    200,
                    &json!({ "machines": rows, "next_token": null }),
                ))
            }
            "/hawthornladder/machine-move" => self.move_instance(call),
            _ => Some(json_answer(400, &json!({}))),
        }
    }

    fn move_instance(self: &Rc<Self>, call: &Received) -> Option<Answer> {
        let order = call.json();
        let (machine, pool) = (
            order["machine"].as_str()?,
            order["pool"].as_str()?.to_owned(),
        );
        let workers = self.workers.borrow();
        let worker = Rc::clone(workers.iter().find(|worker| worker.machine == machine)?);
        let fence = call
            .header("x-hawthornladder-fencing-token")?
            .parse()
            .ok()?;
        let mut fences = self.fences.borrow_mut();
        let known = fences.entry(machine.to_owned()).or_default();
        if fence < *known {
            return Some(json_answer(409, &json!({ "reason": "fence" })));
        }
        *known = fence;
        self.runs
            .log(&format!("move of {machine} to {pool} fence={fence}"));
        if worker.pool() == pool {
            return Some(json_answer(200, &json!({})));
        }
        if worker.id().is_none() {
            return Some(json_answer(409, &json!({ "reason": "busy" })));
        }
        worker.crash();
        worker.set_pool(&pool);
        spawn_local(async move {
            sleep(MOVE_TIME).await;
            worker.start(false).await;
        });
        Some(json_answer(200, &json!({})))
    }
}

fn row_of(worker: &Worker) -> Value {
    let id = worker.id();
    let state = if id.is_some() { "up" } else { "down" };
    json!({
        "machine": worker.machine, "pool": worker.pool(), "state": state, "zone": ZONES[worker.zone],
        "labels": labels(worker.zone), "capacity": capacity(), "id": id,
    })
}

fn node_number(name: &str) -> Option<usize> {
    name.strip_prefix("node-")?.parse().ok()
}

/// Returns the operators' lists.
fn lists(ip: Ipv4Addr) -> Value {
    let routes = QUEUES.map(|queue| {
        json!({
            "name": queue, "service": queue, "host": ip.to_string(), "path_prefix": format!("/{queue}/"),
            "kind": "non_idempotent", "timeout_ms": 3_000, "target_latency_ms": 600, "priority": 0,
            "max_attempts": 4, "slack_factor": 2.2,
        })
    });
    let pools = QUEUES.map(|pool| json!({ "name": pool, "enforces_capacity": true }));
    let no_limit = json!({ "cpu": 0, "memory_request_mb": 0, "gpu": 0 });
    json!({
        "version": 1, "routes": routes, "services": pools, "limits": { "max_body_bytes": 262_144 },
        "tenants": [{ "name": "survey", "api_keys": [KEY], "weight": 1000.0, "maximum": no_limit }],
    })
}
