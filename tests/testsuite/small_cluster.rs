//! A small cluster for the `promises_*` tests, a constant load on it, and counts from the workers'
//! journals.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use attohttpc::Method;
use hawthornladder::fleet::InstanceRow;
use hawthornladder::ports::InstancePage;
use hawthornladder::stand_in::journal::{Ending, Run};
use serde_json::{json, Value};

use crate::calling::{Call, Reply};
use crate::cluster::{Cluster, EntryProcess};
use crate::processes::admin_call;

/// Number of instances in the pool `maps`.
pub(crate) const MAPS_COUNT: usize = 8;

/// Number of instances in all pools.
pub(crate) const TOTAL_COUNT: usize = MAPS_COUNT + 10;

/// Number of instances of the pool `maps` that its availability budget allows to be unavailable.
pub(crate) const MAPS_UNAVAILABLE_MAX_COUNT: usize = 2;

const FLEET: &str = r#"{
    "zones": [{ "name": "lahore-a", "region": "punjab" }, { "name": "lahore-b", "region": "punjab" }],
    "rack_instances_count": 2,
    "pools": [
        { "name": "maps", "zones": ["lahore-a", "lahore-b"], "instances_count": 8,
          "capacity": { "cores_milli": 32000, "memory_mb": 128000 }, "slots_count": 8 },
        { "name": "gauges", "zones": ["lahore-a", "lahore-b"], "instances_count": 6,
          "capacity": { "cores_milli": 32000, "memory_mb": 128000 }, "slots_count": 8 },
        { "name": "spare", "zones": ["lahore-a", "lahore-b"], "instances_count": 4,
          "capacity": { "cores_milli": 32000, "memory_mb": 128000 }, "slots_count": 8 },
    ],
    "turns": { "turn_ms": 4000, "burst_permille": 5000, "idle_permille": 50 },
    "demand": [],
}"#;

const PLANS: &str = r#"{
    "plans": [{ "name": "critical", "share_weight": 1, "running_max_requests": 400,
        "start_target_ms": 1600, "on_time_target_permille": 990,
        "availability": {
            "pool_unavailable_max_permille": 250, "zone_unavailable_max_permille": 500 } }],
    "teams": [{ "name": "desk", "plan": "critical" }, { "name": "office", "plan": "critical" }],
    "measure_weights": { "buffer_cost": 1, "roll_out_time": 5, "moves": 4, "share_nearness": 2 },
}"#;

const ENTITLEMENTS: &str = r#"{
    "pools": [
        { "name": "maps", "instances_min_count": 4 },
        { "name": "gauges", "instances_min_count": 4 },
        { "name": "spare", "is_spare": true, "instances_min_count": 0 },
    ],
    "queues": [
        { "name": "maps", "pools": ["maps"], "is_urgent": true },
        { "name": "gauges", "pools": ["gauges"] },
    ],
    "entitlements": [{ "plan": "critical", "queues": ["maps", "gauges"],
        "request_max": { "cores_milli": 64000, "memory_mb": 256000 } }],
    MORE
}"#;

/// Starts a small cluster of `entries_count` entries with additional `settings`.
pub(crate) fn spawn(entries_count: usize, settings: &str) -> Cluster {
    let mut cluster = Cluster::builder()
        .entries(entries_count)
        .fleet(FLEET)
        .settings(settings)
        .spawn_unpublished();
    publish(&mut cluster, 0, |text| text);
    cluster.wait_serving();
    cluster.wait_until("the fleet is in force", |cluster| {
        let mut entries = cluster.entries.iter();
        entries.all(|entry| standing_count(entry, "serving") == TOTAL_COUNT as u64)
    });
    cluster
}

/// Publishes the lists as the successor of version `from`, with the entitlements edited by `edit`.
pub(crate) fn publish(cluster: &mut Cluster, from: u64, edit: impl Fn(String) -> String) {
    cluster.publish(from, |file, _| match file {
        "plans.jsonc" => PLANS.to_owned(),
        _ => edit(ENTITLEMENTS.to_owned()).replace("MORE", ""),
    });
}

/// Returns both lists with a minimum of `maps_min_count` instances in the pool `maps`.
pub(crate) fn lists_with_min(maps_min_count: u32) -> [String; 2] {
    let min = format!("\"maps\", \"instances_min_count\": {maps_min_count}");
    let entitlements = ENTITLEMENTS
        .replace("MORE", "")
        .replace("\"maps\", \"instances_min_count\": 4", &min);
    [PLANS.to_owned(), entitlements]
}

/// Starts a roll-out in which every instance that was last maintained before now is due.
pub(crate) fn start_roll_out(cluster: &mut Cluster, from: u64) {
    let due = format!(
        "\"maintenance\": {{ \"due_before_unix_ms\": {} }},",
        unix_ms()
    );
    publish(cluster, from, |text| text.replace("MORE", &due));
}

/// Returns the wall clock in milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.expect("the clock is past 1970").as_millis() as u64
}

/// Returns how many instances have `standing` according to an entry; 0 if the entry is unreachable.
pub(crate) fn standing_count(entry: &EntryProcess, standing: &str) -> u64 {
    let status = entry.try_status();
    status.map_or(0, |status| {
        status.instances.get(standing).copied().unwrap_or_default()
    })
}

/// Returns the rows of the instance list.
pub(crate) fn rows(cluster: &Cluster) -> Vec<InstanceRow> {
    rows_at(&cluster.stand_ins.instances_address)
}

/// Returns the rows of the instance list at `address`.
pub(crate) fn rows_at(address: &str) -> Vec<InstanceRow> {
    let body = admin_call(address, Method::GET, "/instances", &());
    let page: InstancePage = serde_json::from_slice(&body).expect("the list is JSON");
    page.rows
}

/// Returns the first row of the pool `maps`.
pub(crate) fn first_of_maps(cluster: &Cluster) -> InstanceRow {
    let mut rows = rows(cluster).into_iter();
    rows.find(|row| row.pool == "maps").expect("there are rows")
}

/// Puts rows on the instance list.
pub(crate) fn put_rows(cluster: &Cluster, rows: &[InstanceRow]) {
    let address = &cluster.stand_ins.instances_address;
    admin_call(address, Method::POST, "/instances", &rows);
}

/// Sends the instance list an order for an instance, such as `leave`.
pub(crate) fn send_instance_order(cluster: &Cluster, name: &str, order: &str) {
    let address = &cluster.stand_ins.instances_address;
    let path = format!("/instances/{name}/{order}");
    admin_call(address, Method::POST, &path, &());
}

/// Sets the faults of the instance list.
pub(crate) fn set_list_faults(cluster: &Cluster, faults: &Value) {
    let address = &cluster.stand_ins.instances_address;
    admin_call(address, Method::POST, "/faults", faults);
}

/// Sets the faults of all workers of a pool.
pub(crate) fn set_pool_faults(cluster: &Cluster, pool: &str, faults: &Value) {
    for row in rows(cluster).iter().filter(|row| row.pool == pool) {
        admin_call(&row.address, Method::POST, "/faults", faults);
    }
}

/// Sets the faults of one worker.
pub(crate) fn set_worker_faults(row: &InstanceRow, faults: &Value) {
    admin_call(&row.address, Method::POST, "/faults", faults);
}

/// Clears the faults of all workers of a pool.
pub(crate) fn clear_pool_faults(cluster: &Cluster, pool: &str) {
    set_pool_faults(cluster, pool, &json!({}));
}

/// Returns how many runs ended with `ending`.
pub(crate) fn ended_count(runs: &[Run], ending: Ending) -> usize {
    let runs = runs.iter();
    runs.filter(|run| run.ending == Some(ending)).count()
}

/// Returns the index of the entry that drives the maintenance: the live seat of the highest
/// rendezvous weight.
pub(crate) fn index_of_driver(cluster: &Cluster) -> usize {
    let status = cluster.entries[0].status();
    let chosen = status.live_seats.iter().max_by_key(|seat| {
        let mut hasher = blake3::Hasher::new();
        hasher.update(b"upkeep");
        hasher.update(&[0]);
        hasher.update(seat.as_bytes());
        let mut weight = [0; 8];
        hasher.finalize_xof().fill(&mut weight);
        weight
    });
    let chosen = chosen.expect("there is a live seat").clone();
    let mut entries = cluster.entries.iter();
    let is_driver = |entry: &EntryProcess| {
        let status = entry.try_status();
        status.is_some_and(|status| status.seat == chosen)
    };
    entries.position(is_driver).expect("the driver is an entry")
}

/// A constant load: threads that call the entries in turn until they are stopped.
pub(crate) struct Load {
    is_stopped: Arc<AtomicBool>,
    replies: Arc<Mutex<Vec<(String, Reply, Duration)>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts `threads_count` caller threads, each sending the calls that `make` returns to the
    /// entries in turn.
    pub(crate) fn spawn(
        addresses: &[String],
        threads_count: usize,
        make: impl Fn() -> Call + Send + Clone + 'static,
    ) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let replies = Arc::new(Mutex::new(Vec::new()));
        let threads = (0..threads_count).map(|first| {
            let (is_stopped, replies) = (Arc::clone(&is_stopped), Arc::clone(&replies));
            let (addresses, make) = (addresses.to_vec(), make.clone());
            thread::spawn(move || {
                for call_number in first.. {
                    if is_stopped.load(Ordering::Relaxed) {
                        return;
                    }
                    let call = make();
                    let started = std::time::Instant::now();
                    let reply = call.send(&addresses[call_number % addresses.len()]);
                    let row = (call.request_id, reply, started.elapsed());
                    replies.lock().unwrap().push(row);
                }
            })
        });
        Self {
            threads: threads.collect(),
            is_stopped,
            replies,
        }
    }

    /// Stops the callers and returns the request id, the reply and the duration of every call.
    pub(crate) fn stop(self) -> Vec<(String, Reply, Duration)> {
        self.is_stopped.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("callers do not panic");
        }
        std::mem::take(&mut *self.replies.lock().unwrap())
    }
}

/// Asserts that there was at least one call and that every call succeeded.
pub(crate) fn assert_all_done(replies: &[(String, Reply, Duration)]) {
    assert!(!replies.is_empty(), "the load made no calls");
    let mut failures = replies.iter().filter(|(_, reply, _)| !reply.is_done());
    let failed = failures.next();
    assert!(
        failed.is_none(),
        "of {} calls, {} more than this one did not succeed: {failed:?}",
        replies.len(),
        failures.count()
    );
}

/// Returns the callers' addresses of all entries.
pub(crate) fn callers(cluster: &Cluster) -> Vec<String> {
    let entries = cluster.entries.iter();
    entries.map(|entry| entry.callers_address.clone()).collect()
}
