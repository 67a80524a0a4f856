//! A soak of the program that the users run: node processes in three zones, with stand-ins of the
//! platform, the workers and the clients in the test, and faults from outside. The promises are
//! checked on what callers and workers see.
//!
//! `NODE_SOAK_SEEDS=0..50 cargo test --release --test testsuite node_soak::random` runs other seeds
//! than those of the CI. A run that fails leaves its log, and those of its nodes, in a folder that
//! its message names.

mod clients;
mod faults;
pub(crate) mod http_server;
mod jobs;
mod network;
mod nodes;
pub(crate) mod platform;
mod runs;
pub(crate) mod store;
mod worker;

use std::fs;
use std::ops::Range;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::sleep;

use self::clients::Clients;
use self::faults::{Fault, Faults, Restart};
use self::jobs::TaskLengths;
use self::network::{CutScope, Direction, Fate, ZONES};
use self::nodes::Nodes;
use self::platform::Platform;
use self::store::StoreFault;
use crate::proxy::unique_loopback_ip;

/// Seeds of every run of the tests.
const SEEDS: Range<u64> = 0..2;
/// Longest time until a node leads.
const LEADER_POLLS_COUNT: usize = 200;
const LEADER_POLL: Duration = Duration::from_millis(100);
/// Time for the nodes to know all workers.
const SETTLE: Duration = Duration::from_secs(2);
/// Time with jobs before the first fault, and after the last one.
const BEFORE: Duration = Duration::from_secs(5);
const AFTER: Duration = Duration::from_secs(3);
/// Time with random faults.
const RANDOM_FAULTS: Duration = Duration::from_secs(20);
/// Length of the cut of the leader's zone: longer than the lease of a run, and than the time for
/// which a leader without a valid lease goes on.
const ZONE_CUT: Duration = Duration::from_secs(10);
/// Length of the cut of workers that have restarted, and the time until the next ones restart.
const WORKERS_CUT: Duration = Duration::from_secs(9);
const BETWEEN_CUTS: Duration = Duration::from_millis(2_400);
/// Answer time of the store before a crash, in milliseconds: ends that were read are not acknowledged
/// until it has their records.
const SLOW_STORE_MS: u64 = 300;
/// Time with a slow store before a crash, and in all: it ends after the restart.
const SLOW_STORE_BEFORE_CRASH: Duration = Duration::from_millis(900);
const SLOW_STORE: Duration = Duration::from_millis(1_800);
/// Time for which workers are down that restart inside a cut, in milliseconds: shorter than the timeout
/// of a start, so that no stop for it reaches the next incarnation.
const DOWN_IN_CUT_MS: u64 = 500;
/// Length of the cut inside which workers restart: longer than the runs of short tasks, and shorter than
/// the time after which the platform no longer lists a worker.
const RESTART_CUT: Duration = Duration::from_millis(3_800);
/// Number of zones that restart in a run with random times.
const RESTARTS_COUNT: usize = 3;
/// Least number of accepted jobs of a run that shows anything: some
/// seconds of the clients' work.
const ACCEPTED_MIN_COUNT: usize = 20;
/// Number of violations that are shown.
const SHOWN_MAX_COUNT: usize = 3;

/// What came of a run.
struct Outcome {
    /// Folder of the logs.
    folder: PathBuf,
    accepted_count: usize,
    /// Number of runs whose starts were meant for an earlier incarnation of their worker.
    carried_over_count: usize,
    /// Number of runs whose leases a call for a former incarnation has extended, and which the next leader
    /// has seen before their workers were cut off.
    inherited_count: usize,
    /// What broke a promise.
    violations: Vec<String>,
}

/// Runs nodes, workers and clients with these faults.
fn play(
    name: &str,
    seed: u64,
    lengths: TaskLengths,
    faults: impl AsyncFnOnce(Rc<Faults>),
) -> Outcome {
    let folder =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("node_soak-{name}-{seed}"));
    fs::create_dir_all(&folder).expect("the folder is writable");
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime can be built");
    let (accepted_count, (carried_over_count, inherited_count), (log, violations)) =
        LocalSet::new().block_on(&runtime, async {
            let platform = Platform::open(unique_loopback_ip(), seed).await;
            let nodes = Nodes::open(&platform, &folder).await;
            wait_for_leader(&platform).await;
            let clients = Clients::open(&platform, &nodes, seed, lengths);
            clients.submit_long_running().await;
            sleep(BEFORE).await;
            clients.set_calm(false);
            faults(Faults::open(&platform, &nodes)).await;
            clients.set_calm(true);
            sleep(AFTER).await;
            let accepted_count = clients.finish().await;
            nodes.close();
            let runs = &platform.runs;
            let counts = (runs.carried_over_count(), runs.inherited_count());
            (accepted_count, counts, runs.findings())
        });
    fs::write(folder.join("record.txt"), log).expect("the folder is writable");
    Outcome {
        folder,
        accepted_count,
        carried_over_count,
        inherited_count,
        violations,
    }
}

async fn wait_for_leader(platform: &Platform) {
    for _ in 0..LEADER_POLLS_COUNT {
        if platform.leader().is_some() {
            return sleep(SETTLE).await;
        }
        sleep(LEADER_POLL).await;
    }
    panic!("no node leads");
}

impl Outcome {
    /// Asserts that no promise was broken, and removes the logs.
    fn assert_kept(self) {
        let shown: Vec<_> = self.violations.iter().take(SHOWN_MAX_COUNT).collect();
        assert!(
            self.violations.is_empty(),
            "{} violations with {} accepted jobs, see {}; the first ones: {shown:#?}",
            self.violations.len(),
            self.accepted_count,
            self.folder.display()
        );
        assert!(
            self.accepted_count >= ACCEPTED_MIN_COUNT,
            "{} jobs were accepted, see {}",
            self.accepted_count,
            self.folder.display()
        );
        self.remove_logs();
    }

    fn remove_logs(self) {
        // Logs that stay harm nobody.
        let _ = fs::remove_dir_all(self.folder);
    }
}

/// Cuts off the zone of the leader.
async fn cut_off_leader(faults: Rc<Faults>, fate: Fate) {
    let zone = CutScope::Zone(faults.zone_of_leader());
    faults
        .inject(Fault::Cut(zone, Direction::Both, fate), ZONE_CUT)
        .await;
}

#[test]
fn without_faults_all_jobs_complete_and_no_task_runs_twice() {
    play("calm", 1, TaskLengths::UpToSeconds, async |_| ()).assert_kept();
}

/// A leader whose zone was cut off took runs on workers that it no longer reached for lost, and
/// started their tasks again in its zone, while its successor kept the runs.
#[test]
fn a_leader_cut_off_with_its_zone_starts_no_task_a_second_time() {
    let faults = async |faults| cut_off_leader(faults, Fate::HeldBack).await;
    play("held-back", 1, TaskLengths::UpToSeconds, faults).assert_kept();
}

/// As above, with calls that are lost instead of held back.
#[test]
fn a_leader_cut_off_from_lost_calls_starts_no_task_a_second_time() {
    let faults = async |faults| cut_off_leader(faults, Fate::Dropped).await;
    play("dropped", 1, TaskLengths::UpToSeconds, faults).assert_kept();
}

/// Restarts the workers of each zone by turns under their ids, and cuts them off soon after.
async fn restart_and_cut_off(faults: Rc<Faults>, fate: Fate, restart: Restart) {
    for zone in 0..ZONES.len() {
        let fault = Fault::RestartedZone(zone, fate, restart);
        Rc::clone(&faults).inject(fault, WORKERS_CUT).await;
        sleep(BETWEEN_CUTS).await;
    }
}

/// Workers that were back under their ids took calls that were meant for their former incarnations, and
/// were cut off with leases that the leader had counted on other clocks.
#[test]
fn workers_back_under_their_ids_and_cut_off_run_no_task_a_second_time() {
    let restart = Restart {
        down_ms: 600,
        back_ms: 2_000,
        leader_killed_before_ms: None,
    };
    let faults = async |faults| restart_and_cut_off(faults, Fate::HeldBack, restart).await;
    play("restarted", 1, TaskLengths::UpToLong, faults).assert_kept();
}

/// As above, with the leader killed between the restart and the cut.
#[test]
fn workers_back_under_their_ids_run_no_task_a_second_time_under_the_next_leader() {
    let restart = Restart {
        down_ms: 600,
        back_ms: 2_000,
        leader_killed_before_ms: Some(600),
    };
    let faults = async |faults| restart_and_cut_off(faults, Fate::Dropped, restart).await;
    play("restarted-killed", 1, TaskLengths::UpToLong, faults).assert_kept();
}

/// Restarts the workers of each zone by turns inside a cut, while starts are on their way to them and ends
/// that were read there are not acknowledged yet.
async fn restart_inside_cuts(faults: Rc<Faults>) {
    for zone in 0..ZONES.len() {
        let slow = Fault::Store(StoreFault::Slow(SLOW_STORE_MS));
        let slow_store = Rc::clone(&faults).inject(slow, SLOW_STORE);
        let restart = async {
            sleep(SLOW_STORE_BEFORE_CRASH).await;
            let fault = Fault::RestartedInCut(zone, DOWN_IN_CUT_MS);
            Rc::clone(&faults).inject(fault, RESTART_CUT).await;
        };
        tokio::join!(slow_store, restart);
        sleep(BETWEEN_CUTS).await;
    }
}

/// Ends of an incarnation that restarted inside a cut were dropped unread, by the number up to which those
/// of the former one had been read, and their tasks were started again.
#[test]
fn ends_inside_a_cut_are_not_acknowledged_by_the_numbers_of_the_former_incarnation() {
    let name = "restarted-in-cut";
    let outcome = play(name, 1, TaskLengths::UpToSeconds, restart_inside_cuts);
    assert!(outcome.carried_over_count > 0, "no start met a restart");
    outcome.assert_kept();
}

/// Restarts the workers of the zone with the most runs under their ids, with a renewal of leases that the next incarnation
/// carries out, and cuts them off after the next leader has polled them.
async fn restart_at_renewals(faults: Rc<Faults>) {
    let restart = Restart {
        down_ms: 500,
        back_ms: 3_400,
        leader_killed_before_ms: Some(2_000),
    };
    let fault = Fault::RestartedAtRenewals(faults.busiest_zone(), restart);
    faults.inject(fault, WORKERS_CUT).await;
}

/// The next leader took leases for over that a renewal for the former incarnation had extended, and started
/// the tasks of its runs a second time.
#[test]
fn leases_that_only_the_former_leader_knew_of_let_no_task_run_a_second_time() {
    let name = "restarted-at-renewals";
    for seed in seeds() {
        let outcome = play(name, seed, TaskLengths::Long, restart_at_renewals);
        let (inherited_count, violations) = (outcome.inherited_count, outcome.violations.len());
        println!("{name} seed={seed} inherited={inherited_count} violations={violations}");
        assert!(
            inherited_count > 0,
            "no such lease was inherited, see {}",
            outcome.folder.display()
        );
        outcome.assert_kept();
    }
}

/// Returns the seeds to run: those of the variable `NODE_SOAK_SEEDS`, written as `FROM..TO`, or else
/// the fixed ones.
fn seeds() -> Range<u64> {
    let variable = std::env::var("NODE_SOAK_SEEDS").ok();
    let Some((from, to)) = variable.as_deref().and_then(|text| text.split_once("..")) else {
        return SEEDS;
    };
    let parse = |text: &str| text.parse().expect("NODE_SOAK_SEEDS has the form FROM..TO");
    parse(from)..parse(to)
}

/// Runs all seeds, and fails with the folders of the logs of those that break a promise.
fn play_seeds(name: &str, lengths: TaskLengths, faults: impl AsyncFn(Rc<Faults>, u64)) {
    let mut failed = Vec::new();
    for seed in seeds() {
        let of_seed = async |source: Rc<Faults>| faults(source, seed).await;
        let outcome = play(name, seed, lengths, of_seed);
        println!(
            "{name} seed={seed} accepted={} violations={} {:#?}",
            outcome.accepted_count,
            outcome.violations.len(),
            outcome.violations.first()
        );
        match outcome.violations.is_empty() {
            true => outcome.remove_logs(),
            false => failed.push((seed, outcome.folder)),
        }
    }
    assert!(
        failed.is_empty(),
        "failed seeds and their logs: {failed:#?}"
    );
}

#[test]
fn random_faults_neither_duplicate_nor_lose_work() {
    let faults = async |faults: Rc<Faults>, seed| faults.inject_random(seed, RANDOM_FAULTS).await;
    play_seeds("random", TaskLengths::UpToSeconds, faults);
}

/// Zones whose workers restart under their ids and are cut off, with other times for each seed.
#[test]
fn random_restarts_before_cuts_neither_duplicate_nor_lose_work() {
    let faults = async |faults: Rc<Faults>, seed| faults.restart_zones(seed, RESTARTS_COUNT).await;
    play_seeds("restarts", TaskLengths::UpToLong, faults);
}
