//! One worker: runs tasks under a lease, refuses outdated orders, and lists its runs and their ends.
//! It may crash, and start again as a new incarnation.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use indexmap::IndexMap;
use serde_json::{json, Value};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout_at, Instant};

use super::http_server::{json_answer, Answer, Received, Server};
use super::jobs::{JobPlan, StepPlan};
use super::network::Place;
use super::platform::Platform;
use super::runs::{End, RunKey};

/// Longest lease, in milliseconds.
pub(crate) const LEASE_MAX_MS: u64 = 10_000;
/// Processors of a worker, in thousandths.
pub(crate) const CAPACITY_CPU_MILLI: u64 = 32_000;
/// Memory of a worker, in megabytes.
pub(crate) const CAPACITY_MEMORY_MB: u64 = 131_072;
const HOLD_WAIT_MAX_MS: u64 = 2_000;
const ENDS_PER_ANSWER_COUNT: usize = 500;
/// Rates of the workers' clocks. The platform allows clocks that are slow by a fiftieth.
const CLOCK_RATES_PERMILLE: [u64; 2] = [1_000, 980];
/// Time that a stop takes.
const STOP_TIME: Duration = Duration::from_millis(20);
/// Pause between checks whether a crashed worker is back.
const BACK_POLL: Duration = Duration::from_millis(5);
/// Time for the operating system to free the port of an incarnation that has ended.
const PORT_FREE_TIME: Duration = Duration::from_millis(20);
/// Progress of a task that is not done yet, at most, in percent.
const ACTIVE_MAX_PERCENT: u128 = 99;

struct Active {
    key: RunKey,
    number: u64,
    /// Fence under which it was started.
    fence: u64,
    started: Instant,
    step: StepPlan,
}

struct ListedEnd {
    number: u64,
    key: RunKey,
    task: String,
    run_number: u64,
    end: End,
}

/// An incarnation of a worker.
struct Life {
    id: String,
    born_unix_ms: u64,
    started: Instant,
    clock_rate_permille: u64,
    fence: u64,
    lease_end_ms: u64,
    has_lease: bool,
    /// Whether a call gave the longest lease. No leader asks for that on the clock of the incarnation that
    /// it knows, so that the call was meant for a former one.
    is_lease_longest: bool,
    /// Highest fence of a poll that was answered.
    listed_to_fence: u64,
    running: IndexMap<String, Active>,
    ends: VecDeque<ListedEnd>,
    last_end_number: u64,
    /// Highest run of each task that ended or was stopped here.
    highest: HashMap<String, u64>,
}

/// A worker.
pub(crate) struct Worker {
    /// Name of its machine.
    pub(crate) machine: String,
    /// Its zone.
    pub(crate) zone: usize,
    pool: RefCell<String>,
    address: SocketAddr,
    platform: Rc<Platform>,
    life: RefCell<Option<Life>>,
    lives_count: Cell<u64>,
    /// Id of the last incarnation; empty before the first.
    last_id: RefCell<String>,
    server: RefCell<Option<Server>>,
    /// Whether it crashes as the next renewal of its leases arrives.
    crashes_at_renewal: Cell<bool>,
    ended: Notify,
}

impl Life {
    fn clock_ms(&self) -> u64 {
        let elapsed = self.started.elapsed().as_micros() as u64;
        elapsed * self.clock_rate_permille / 1_000_000
    }

    fn extend(&mut self, until_ms: u64) {
        let longest_ms = self.clock_ms() + LEASE_MAX_MS;
        self.is_lease_longest |= until_ms >= longest_ms;
        self.lease_end_ms = self.lease_end_ms.max(until_ms.min(longest_ms));
        self.has_lease = self.lease_end_ms > self.clock_ms();
    }

    fn answer(&self, status: u16, mut body: Value) -> Answer {
        body["clock_ms"] = self.clock_ms().into();
        body["born"] = self.born_unix_ms.into();
        json_answer(status, &body)
    }

    fn refuse(&self, reason: &str) -> Answer {
        self.answer(409, json!({ "reason": reason }))
    }

    fn list_to(&mut self, fence: u64) -> Answer {
        self.listed_to_fence = fence.max(self.listed_to_fence);
        self.list()
    }

    fn list(&self) -> Answer {
        let running = self.running.iter().map(|(task, run)| {
            let done = |work: Duration| 100 * run.started.elapsed().as_millis() / work.as_millis();
            let percent = run
                .step
                .work()
                .map_or(100, |work| done(work).min(ACTIVE_MAX_PERCENT));
            json!([task, run.number, "", percent as u64, 0])
        });
        let ends = self.ends.iter().take(ENDS_PER_ANSWER_COUNT);
        let finished = ends.map(|end| {
            json!([
                end.number,
                end.task,
                end.run_number,
                <&str>::from(end.end),
                ""
            ])
        });
        let (running, finished): (Vec<_>, Vec<_>) = (running.collect(), finished.collect());
        self.answer(200, json!({ "running": running, "finished": finished }))
    }

    /// Returns the tasks whose work is done, or all if the lease has just expired.
    fn due_ends(&mut self) -> Vec<(String, End)> {
        if self.lease_end_ms > self.clock_ms() {
            let is_done = |run: &Active| {
                run.step
                    .work()
                    .is_some_and(|work| run.started.elapsed() >= work)
            };
            let done = self.running.iter().filter(|(_, run)| is_done(run));
            return done.map(|(task, _)| (task.clone(), End::Done)).collect();
        }
        self.running
            .keys()
            .map(|task| (task.clone(), End::Lapsed))
            .collect()
    }
}

impl Worker {
    /// Creates a worker that is not up yet.
    pub(crate) fn new(
        platform: &Rc<Platform>,
        address: SocketAddr,
        machine: String,
        pool: &str,
        zone: usize,
    ) -> Rc<Self> {
        Rc::new(Self {
            machine,
            zone,
            pool: RefCell::new(pool.to_owned()),
            address,
            platform: Rc::clone(platform),
            life: RefCell::default(),
            lives_count: Cell::new(0),
            last_id: RefCell::default(),
            server: RefCell::default(),
            crashes_at_renewal: Cell::default(),
            ended: Notify::new(),
        })
    }

    /// Starts a new incarnation, under the id of the one before it or under a new one.
    pub(crate) async fn start(self: &Rc<Self>, keeps_id: bool) {
        let number = self.lives_count.get() + 1;
        self.lives_count.set(number);
        if !keeps_id {
            *self.last_id.borrow_mut() = format!("i-{}-{number}", self.machine);
        }
        let id = self.last_id.borrow().clone();
        drop(self.server.borrow_mut().take());
        sleep(PORT_FREE_TIME).await;
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = born.expect("the clock is right");
        self.platform.runs.log(&format!("worker {id} starts"));
        *self.life.borrow_mut() = Some(Life {
            id,
            born_unix_ms: born.as_millis() as u64,
            started: Instant::now(),
            clock_rate_permille: CLOCK_RATES_PERMILLE[self.zone % CLOCK_RATES_PERMILLE.len()],
            fence: 0,
            lease_end_ms: 0,
            has_lease: false,
            is_lease_longest: false,
            listed_to_fence: 0,
            running: IndexMap::new(),
            ends: VecDeque::new(),
            last_end_number: 0,
            highest: HashMap::new(),
        });
        let worker = Rc::clone(self);
        let server = Server::bind(self.address, move |call| Rc::clone(&worker).answer(call));
        let server = server.await;
        *self.server.borrow_mut() = Some(server);
    }

    /// Ends the incarnation, and all that it runs, at once. Its connections are reset.
    pub(crate) fn crash(&self) {
        self.crash_silently();
        drop(self.server.borrow_mut().take());
    }

    /// Ends the incarnation, and all that it runs, at once. Callers notice nothing: what they send is held
    /// back, and the next incarnation gets it.
    pub(crate) fn crash_silently(&self) {
        let Some(life) = self.life.borrow_mut().take() else {
            return;
        };
        self.platform
            .runs
            .log(&format!("worker {} crashes", life.id));
        for run in life.running.values() {
            self.platform.runs.end(run.key, End::Crashed);
        }
    }

    /// Ends the incarnation silently as the next renewal of its leases arrives, which the next incarnation
    /// carries out. Returns whether that happened within this time.
    pub(crate) async fn crash_at_renewal(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        self.crashes_at_renewal.set(true);
        while self.crashes_at_renewal.get() && Instant::now() < until {
            sleep(BACK_POLL).await;
        }
        !self.crashes_at_renewal.replace(false)
    }

    /// Returns the number of its runs.
    pub(crate) fn runs_count(&self) -> usize {
        let life = self.life.borrow();
        life.as_ref().map_or(0, |life| life.running.len())
    }

    /// Returns the number of runs whose leases a call for a former incarnation has extended to the longest
    /// one, and which a later leader has seen than the one that started them.
    pub(crate) fn inherited_runs_count(&self) -> usize {
        let life = self.life.borrow();
        let Some(life) = life.as_ref().filter(|life| life.is_lease_longest) else {
            return 0;
        };
        let runs = life.running.values();
        runs.filter(|run| run.fence < life.listed_to_fence).count()
    }

    /// Puts the machine into another pool; its incarnation must have ended.
    pub(crate) fn set_pool(&self, pool: &str) {
        *self.pool.borrow_mut() = pool.to_owned();
    }

    /// Returns the pool.
    pub(crate) fn pool(&self) -> String {
        self.pool.borrow().clone()
    }

    /// Returns the id of the incarnation that is up.
    pub(crate) fn id(&self) -> Option<String> {
        self.life.borrow().as_ref().map(|life| life.id.clone())
    }

    /// Returns the entry that the worker writes about itself.
    pub(crate) fn entry(&self, sequence: u64) -> Option<(String, Value)> {
        let life = self.life.borrow();
        let life = life.as_ref()?;
        let entry = json!({
            "service": self.pool(), "address": self.address.to_string(), "zone": super::network::ZONES[self.zone],
            "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0, "capacity": capacity(),
            "labels": labels(self.zone), "machine": self.machine, "born": life.born_unix_ms,
            "clock_ms": life.clock_ms(), "sequence": sequence,
        });
        Some((life.id.clone(), entry))
    }

    /// Ends the runs whose work or lease is over.
    pub(crate) fn tick(&self) {
        let mut life = self.life.borrow_mut();
        let Some(life) = life.as_mut() else {
            return;
        };
        for (task, end) in life.due_ends() {
            self.end(life, &task, end);
        }
        if life.has_lease && life.lease_end_ms <= life.clock_ms() {
            life.has_lease = false;
            life.ends
                .iter()
                .for_each(|end| self.platform.runs.void_end(end.key));
        }
    }

    fn end(&self, life: &mut Life, task: &str, end: End) {
        let Some(run) = life.running.swap_remove(task) else {
            return;
        };
        self.platform.runs.end(run.key, end);
        let highest = life.highest.entry(task.to_owned()).or_default();
        *highest = run.number.max(*highest);
        life.last_end_number += 1;
        life.ends.push_back(ListedEnd {
            number: life.last_end_number,
            key: run.key,
            task: task.to_owned(),
            run_number: run.number,
            end,
        });
        self.ended.notify_waiters();
    }

    async fn answer(self: Rc<Self>, call: Received) -> Option<Answer> {
        let order = call.json();
        let here = Place::WorkerOfZone(self.zone);
        let sender = self
            .platform
            .node_of_fence(order["fencing_token"].as_u64()?);
        let sender = sender.map(Place::Node);
        let network = &self.platform.network;
        if let Some(sender) = sender {
            network.deliver(sender, here).await?;
        }
        let is_renewal = order["until_ms"].is_u64() && call.path.ends_with("hold");
        let is_up = self.life.borrow().is_some();
        if is_up && is_renewal && self.crashes_at_renewal.replace(false) {
            self.crash_silently();
        }
        // A worker that is back under its id takes calls that were meant for its former incarnation.
        let is_carried_over = self.life.borrow().is_none();
        while self.life.borrow().is_none() {
            sleep(BACK_POLL).await;
        }
        let runs_count = self.platform.runs.count();
        let answer = self.execute(&call, &order).await?;
        if is_carried_over && call.path.ends_with("run-start") {
            let started_count = self.platform.runs.count() - runs_count;
            self.platform.runs.add_carried_over(started_count);
        }
        if let Some(sender) = sender {
            network.deliver(here, sender).await?;
        }
        Some(answer)
    }

    async fn execute(self: &Rc<Self>, call: &Received, order: &Value) -> Option<Answer> {
        self.tick();
        let fence = order["fencing_token"].as_u64()?;
        {
            let mut life = self.life.borrow_mut();
            let life = life.as_mut()?;
            let intended = call.header("x-hawthornladder-expected-instance");
            if intended.is_some_and(|id| id != life.id) {
                return Some(json_answer(421, &json!({})));
            }
            if fence < life.fence {
                return Some(life.refuse("fence"));
            }
            life.fence = fence;
            match call.path.as_str() {
                "/hawthornladder/run-start" => return self.start_run(life, order),
                "/hawthornladder/run-stop" => return self.stop_run(life, order),
                "/hawthornladder/pace" => return Some(life.answer(200, json!({}))),
                "/hawthornladder/hold" => self.acknowledge(life, order),
                _ => return Some(life.answer(400, json!({}))),
            }
        }
        let wait_ms = order["wait_ms"].as_u64().unwrap_or(0).min(HOLD_WAIT_MAX_MS);
        self.wait_for_end(wait_ms).await;
        let mut life = self.life.borrow_mut();
        life.as_mut().map(|life| life.list_to(fence))
    }

    fn start_run(&self, life: &mut Life, order: &Value) -> Option<Answer> {
        let (task, number) = (order["task"].as_str()?, order["run"].as_u64()?);
        let until_ms = order["until_ms"].as_u64()?;
        let known_number = life.running.get(task).map_or(0, |run| run.number);
        let highest = life.highest.get(task).copied().unwrap_or(0);
        if number == known_number {
            return Some(life.answer(200, json!({})));
        }
        if until_ms <= life.clock_ms() {
            return Some(life.refuse("late"));
        }
        life.extend(until_ms);
        if number <= highest.max(known_number) {
            return Some(life.refuse("old"));
        }
        let plan: JobPlan = serde_json::from_str(order["spec"].as_str()?).ok()?;
        let step: usize = task.split('.').nth(2)?.parse().ok()?;
        let step = plan.steps.get(step)?.clone();
        let used_milli: u64 = life.running.values().map(|run| run.step.cpu_milli).sum();
        if used_milli + step.cpu_milli > CAPACITY_CPU_MILLI {
            return Some(life.refuse("room"));
        }
        let key = self.platform.runs.start(task, number, &life.id, life.fence);
        let started = Instant::now();
        life.running.insert(
            task.to_owned(),
            Active {
                key,
                number,
                fence: life.fence,
                started,
                step,
            },
        );
        Some(life.answer(200, json!({})))
    }

    fn stop_run(self: &Rc<Self>, life: &mut Life, order: &Value) -> Option<Answer> {
        let (task, number) = (order["task"].as_str()?.to_owned(), order["run"].as_u64()?);
        let highest = life.highest.entry(task.clone()).or_default();
        *highest = number.max(*highest);
        let key = life
            .running
            .get(&task)
            .filter(|run| run.number <= number)
            .map(|run| run.key);
        let worker = Rc::clone(self);
        tokio::task::spawn_local(async move {
            sleep(STOP_TIME).await;
            let mut life = worker.life.borrow_mut();
            let life = life.as_mut()?;
            let run = life.running.get(&task)?;
            (Some(run.key) == key).then(|| worker.end(life, &task, End::Stopped))
        });
        Some(life.answer(200, json!({})))
    }

    fn acknowledge(&self, life: &mut Life, order: &Value) {
        let through = order["acked_through"].as_u64().unwrap_or(0);
        while life.ends.front().is_some_and(|end| end.number <= through) {
            let end = life.ends.pop_front().expect("there is a first one");
            self.platform.runs.acknowledge(end.key);
        }
        if let Some(until_ms) = order["until_ms"].as_u64() {
            life.extend(until_ms);
        }
    }

    async fn wait_for_end(&self, wait_ms: u64) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let has_ends = || {
            self.life
                .borrow()
                .as_ref()
                .is_none_or(|life| !life.ends.is_empty())
        };
        while !has_ends() && Instant::now() < until {
            // The time limit is checked by the loop.
            let _ = timeout_at(until, self.ended.notified()).await;
        }
    }
}

/// Returns the capacity of a worker, as it is listed.
pub(crate) fn capacity() -> Value {
    json!({ "cpu": CAPACITY_CPU_MILLI, "memory_request_mb": CAPACITY_MEMORY_MB, "gpu": 0 })
}

/// Returns the labels of a worker in this zone.
pub(crate) fn labels(zone: usize) -> [String; 2] {
    ["kind-1".into(), format!("rack-{zone}")]
}
