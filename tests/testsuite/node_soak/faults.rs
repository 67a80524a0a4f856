//! The faults from outside the nodes, in series that overlap.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};

use super::network::{zone_of, CutScope, Direction, Fate, ZONES};
use super::nodes::{Nodes, NODES_COUNT};
use super::platform::Platform;
use super::store::StoreFault;
use super::worker::Worker;

/// Time between the starts of two faults, in milliseconds.
const INTERVAL_MIN_MS: u64 = 500;
const INTERVAL_MAX_MS: u64 = 4_000;
/// Length of a fault, in milliseconds.
const LENGTH_MIN_MS: u64 = 500;
const LENGTH_MAX_MS: u64 = 8_000;
/// Longest time to the next renewal of the leases of a worker that has runs.
const RENEWAL_WAIT: Duration = Duration::from_secs(1);

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// A cut of the network.
    Cut(CutScope, Direction, Fate),
    /// A node is killed, and started again afterwards.
    KilledNode(usize),
    /// A node is paused.
    PausedNode(usize),
    /// The store misbehaves.
    Store(StoreFault),
    /// A worker crashes and starts again, under the same id or under a new one.
    CrashedWorker(usize, bool),
    /// The workers of a zone crash silently, start again under their ids, and are cut off soon after. The
    /// leader may be killed between the two.
    RestartedZone(usize, Fate, Restart),
    /// The workers of a zone crash silently and are cut off this many milliseconds later, with all calls
    /// dropped. They start again under their ids inside the cut, where they carry out what had reached
    /// their machines.
    RestartedInCut(usize, u64),
    /// As [`RestartedZone`](Self::RestartedZone), with calls dropped by the cut. Each worker that has
    /// runs crashes as a renewal of their leases arrives, which its next incarnation carries out.
    RestartedAtRenewals(usize, Restart),
}

/// The times of a restart of workers that are cut off afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Restart {
    /// Time for which the workers are down, in milliseconds.
    pub(crate) down_ms: u64,
    /// Time from their restart until they are cut off, in milliseconds.
    pub(crate) back_ms: u64,
    /// Time before the cut at which the leader is killed, in milliseconds; none if it is not.
    pub(crate) leader_killed_before_ms: Option<u64>,
}

impl Restart {
    fn random(random: &mut impl Rng) -> Self {
        let back_ms = random.random_range(10..2_500);
        let killed_before_ms = random.random_range(0..back_ms);
        Self {
            down_ms: random.random_range(100..1_000),
            back_ms,
            leader_killed_before_ms: random.random_bool(0.4).then_some(killed_before_ms),
        }
    }
}

/// What a fault affects. No two faults affect the same at a time, except cuts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Affected {
    Network,
    Node(usize),
    Store,
    Worker(usize),
}

impl Fault {
    fn affected(self) -> Affected {
        match self {
            Self::Cut(..) => Affected::Network,
            Self::KilledNode(number) | Self::PausedNode(number) => Affected::Node(number),
            Self::Store(_) => Affected::Store,
            Self::CrashedWorker(number, _) => Affected::Worker(number),
            Self::RestartedZone(..) | Self::RestartedInCut(..) | Self::RestartedAtRenewals(..) => {
                Affected::Network
            }
        }
    }
}

/// The faults of one run.
pub(crate) struct Faults {
    platform: Rc<Platform>,
    nodes: Rc<Nodes>,
    affected: RefCell<HashSet<Affected>>,
}

impl Faults {
    /// Creates the source of faults for these processes.
    pub(crate) fn open(platform: &Rc<Platform>, nodes: &Rc<Nodes>) -> Rc<Self> {
        Rc::new(Self {
            platform: Rc::clone(platform),
            nodes: Rc::clone(nodes),
            affected: RefCell::default(),
        })
    }

    /// Returns the number of the zone of the leader.
    pub(crate) fn zone_of_leader(&self) -> usize {
        zone_of(self.platform.leader().unwrap_or(0))
    }

    /// Returns the number of the zone whose workers have the most runs.
    pub(crate) fn busiest_zone(&self) -> usize {
        let runs_count = |zone: &usize| {
            let up = self.up_in_zone(*zone);
            up.iter().map(|worker| worker.runs_count()).sum::<usize>()
        };
        (0..ZONES.len()).max_by_key(runs_count).unwrap_or(0)
    }

    /// Injects random faults for this time, and returns when all of them have ended.
    pub(crate) async fn inject_random(self: Rc<Self>, seed: u64, lasts: Duration) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let until = Instant::now() + lasts;
        let mut active = JoinSet::new();
        while Instant::now() < until {
            let fault = self.random_fault(&mut random);
            let length_ms = random.random_range(LENGTH_MIN_MS..LENGTH_MAX_MS);
            active.spawn_local(Rc::clone(&self).inject(fault, Duration::from_millis(length_ms)));
            let pause_ms = random.random_range(INTERVAL_MIN_MS..INTERVAL_MAX_MS);
            sleep(Duration::from_millis(pause_ms)).await;
        }
        active.join_all().await;
    }

    fn random_fault(&self, random: &mut ChaCha8Rng) -> Fault {
        let leader = self.platform.leader().unwrap_or(0);
        // The leader is affected more often than others.
        let node = match random.random_bool(0.4) {
            true => leader,
            false => random.random_range(0..NODES_COUNT),
        };
        let zone = match random.random_bool(0.7) {
            true => zone_of(leader),
            false => random.random_range(0..ZONES.len()),
        };
        let fates = [Fate::Dropped, Fate::HeldBack, Fate::Lossy];
        let fate = fates[random.random_range(0..fates.len())];
        let direction = match random.random_range(0..4) {
            0 => Direction::Outgoing,
            1 => Direction::Incoming,
            _ => Direction::Both,
        };
        let workers_count = self.platform.workers.borrow().len();
        match random.random_range(0..9) {
            0 | 1 => Fault::Cut(CutScope::Zone(zone), direction, fate),
            2 => Fault::Cut(CutScope::NodeFromPlatform(node), direction, fate),
            3 => Fault::KilledNode(node),
            4 => Fault::PausedNode(node),
            5 => Fault::Store(random_store_fault(random)),
            6 => {
                let zone = random.random_range(0..ZONES.len());
                Fault::RestartedZone(zone, fate, Restart::random(random))
            }
            _ => Fault::CrashedWorker(
                random.random_range(0..workers_count),
                random.random_bool(0.5),
            ),
        }
    }

    /// Injects a fault for this time, unless there is another one of the same.
    pub(crate) async fn inject(self: Rc<Self>, fault: Fault, lasts: Duration) {
        let affected = fault.affected();
        let is_free = self.affected.borrow_mut().insert(affected);
        if !is_free && affected != Affected::Network {
            return;
        }
        let leader = self.platform.leader();
        let line = |what| format!("fault {what} {fault:?} lasts={lasts:?} leader={leader:?}");
        self.platform.runs.log(&line("begins"));
        match fault {
            Fault::Cut(scope, direction, fate) => {
                let network = &self.platform.network;
                network.cut(scope, direction, fate, lasts).await;
            }
            Fault::KilledNode(number) => {
                self.nodes.kill(number);
                sleep(lasts).await;
                self.nodes.start(number);
            }
            Fault::PausedNode(number) => {
                self.nodes.pause(number);
                sleep(lasts).await;
                self.nodes.resume(number);
            }
            Fault::Store(fault) => {
                self.platform.store.set_fault(fault);
                sleep(lasts).await;
                self.platform.store.set_fault(StoreFault::None);
            }
            Fault::CrashedWorker(number, keeps_id) => {
                self.crash_worker(number, keeps_id, lasts).await
            }
            Fault::RestartedZone(zone, fate, restart) => {
                self.restart_zone(zone, fate, restart, lasts).await
            }
            Fault::RestartedInCut(zone, down_ms) => self.restart_in_cut(zone, down_ms, lasts).await,
            Fault::RestartedAtRenewals(zone, restart) => {
                self.restart_at_renewals(zone, restart, lasts).await;
            }
        }
        self.affected.borrow_mut().remove(&affected);
        self.platform.runs.log(&line("ends"));
    }

    /// Returns the workers of a zone that are up.
    fn up_in_zone(&self, zone: usize) -> Vec<Rc<Worker>> {
        let workers = self.platform.workers.borrow();
        let of_zone = workers.iter().filter(|worker| worker.zone == zone);
        let up = of_zone.filter(|worker| worker.id().is_some());
        up.cloned().collect()
    }

    async fn restart_zone(&self, zone: usize, fate: Fate, restart: Restart, lasts: Duration) {
        let up = self.up_in_zone(zone);
        up.iter().for_each(|worker| worker.crash_silently());
        sleep(Duration::from_millis(restart.down_ms)).await;
        for worker in up {
            worker.start(true).await;
        }
        self.cut_off_restarted(zone, fate, restart, lasts).await;
    }

    async fn restart_at_renewals(&self, zone: usize, restart: Restart, lasts: Duration) {
        let mut restarts = JoinSet::new();
        for worker in self.up_in_zone(zone) {
            restarts.spawn_local(async move {
                // A worker without runs has no leases.
                if worker.crash_at_renewal(RENEWAL_WAIT).await {
                    sleep(Duration::from_millis(restart.down_ms)).await;
                    worker.start(true).await;
                }
            });
        }
        restarts.join_all().await;
        self.cut_off_restarted(zone, Fate::Dropped, restart, lasts)
            .await;
    }

    /// Cuts off the workers of a zone that have restarted, after the leader was killed if it is to be.
    async fn cut_off_restarted(&self, zone: usize, fate: Fate, restart: Restart, lasts: Duration) {
        let killed_before_ms = restart.leader_killed_before_ms.unwrap_or(0);
        sleep(Duration::from_millis(restart.back_ms - killed_before_ms)).await;
        let leader = self.platform.leader().unwrap_or(0);
        let is_free = self.affected.borrow_mut().insert(Affected::Node(leader));
        let is_killed = is_free && restart.leader_killed_before_ms.is_some();
        if is_killed {
            self.nodes.kill(leader);
        }
        sleep(Duration::from_millis(killed_before_ms)).await;
        let up = self.up_in_zone(zone);
        let counts = up.iter().map(|worker| worker.inherited_runs_count());
        self.platform.runs.add_inherited(counts.sum());
        let network = &self.platform.network;
        network
            .cut(CutScope::Workers(zone), Direction::Both, fate, lasts)
            .await;
        if is_killed {
            self.nodes.start(leader);
        }
        if is_free {
            self.affected.borrow_mut().remove(&Affected::Node(leader));
        }
    }

    async fn restart_in_cut(&self, zone: usize, down_ms: u64, lasts: Duration) {
        let up = self.up_in_zone(zone);
        up.iter().for_each(|worker| worker.crash_silently());
        sleep(Duration::from_millis(down_ms)).await;
        let network = &self.platform.network;
        let cut = network.cut(
            CutScope::Workers(zone),
            Direction::Both,
            Fate::Dropped,
            lasts,
        );
        let start = async {
            for worker in up {
                worker.start(true).await;
            }
        };
        tokio::join!(cut, start);
    }

    /// Restarts the workers of zones by turns under their ids, each with long tasks, and cuts them off soon
    /// after.
    pub(crate) async fn restart_zones(self: Rc<Self>, seed: u64, count: usize) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let fates = [Fate::Dropped, Fate::HeldBack];
        for _ in 0..count {
            let zone = random.random_range(0..ZONES.len());
            let fate = fates[random.random_range(0..fates.len())];
            let fault = Fault::RestartedZone(zone, fate, Restart::random(&mut random));
            let cut_ms = random.random_range(4_000..10_000);
            Rc::clone(&self)
                .inject(fault, Duration::from_millis(cut_ms))
                .await;
            let pause_ms = random.random_range(0..4_000);
            sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    async fn crash_worker(&self, number: usize, keeps_id: bool, lasts: Duration) {
        let worker = Rc::clone(&self.platform.workers.borrow()[number]);
        // An instance that is being moved has no worker.
        if worker.id().is_some() {
            worker.crash();
            sleep(lasts).await;
            worker.start(keeps_id).await;
        }
    }
}

fn random_store_fault(random: &mut ChaCha8Rng) -> StoreFault {
    match random.random_range(0..4) {
        0 => StoreFault::Down,
        1 => StoreFault::Slow(random.random_range(100..900)),
        2 => StoreFault::LosesAnswers(random.random_range(2..8)),
        _ => StoreFault::Late(random.random_range(2..8)),
    }
}
