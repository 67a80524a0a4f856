//! Instances under faults: roll-outs and moves interrupt no work and stay within budgets, leaving
//! endpoints get no new work, and an instance list that lags or is unavailable does no lasting
//! harm.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use attohttpc::Method;
use hawthornladder::fleet::InstanceRow;
use hawthornladder::stand_in::journal::Ending;
use serde_json::json;

use crate::calling::Call;
use crate::cluster::Cluster;
use crate::processes::admin_call;
use crate::promises_answers::call_all;
use crate::small_cluster::{
    assert_all_done, callers, ended_count, first_of_maps, index_of_driver, lists_with_min, publish,
    put_rows, rows, rows_at, send_instance_order, set_list_faults, spawn, standing_count,
    start_roll_out, unix_ms, Load, MAPS_COUNT, MAPS_UNAVAILABLE_MAX_COUNT, TOTAL_COUNT,
};

/// Time within which a leaving endpoint must stop getting new work.
const LEAVING_MAX_MS: u64 = 3_000;

/// Time within which a roll-out of these tests must end.
const ROLL_OUT_MAX: Duration = Duration::from_secs(60);

const FAST_ROLL_OUTS: &str =
    r#""wave_trial_ms": 100, "seat_renew_ms": 400, "moves_max_per_hour_count": 0"#;

/// Polls the instance list, which lacks an instance while it reboots.
struct BudgetWatch {
    is_stopped: Arc<AtomicBool>,
    thread: thread::JoinHandle<usize>,
}

impl BudgetWatch {
    fn spawn(cluster: &Cluster) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let address = cluster.stand_ins.instances_address.clone();
        let thread_is_stopped = Arc::clone(&is_stopped);
        let thread = thread::spawn(move || {
            let mut absent_max_count = 0;
            while !thread_is_stopped.load(Ordering::Relaxed) {
                let rows = rows_at(&address);
                let present_count = rows.iter().filter(|row| row.pool == "maps").count();
                absent_max_count = absent_max_count.max(MAPS_COUNT - present_count);
                thread::sleep(Duration::from_millis(5));
            }
            absent_max_count
        });
        Self { is_stopped, thread }
    }

    /// Returns the largest number of instances of the pool `maps` that were absent at once.
    fn stop(self) -> usize {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.thread
            .join()
            .expect("the polling thread does not panic")
    }
}

/// Returns the sorted incarnations on the instance list.
fn incarnations(cluster: &Cluster) -> Vec<String> {
    let mut names: Vec<String> = rows(cluster)
        .iter()
        .map(|row| row.incarnation.to_string())
        .collect();
    names.sort();
    names
}

/// Waits until every instance has a new incarnation and serves at all ready entries.
fn wait_rolled_out(cluster: &Cluster, old: &[String]) {
    let end = Instant::now() + ROLL_OUT_MAX;
    let is_finished = || {
        let new = incarnations(cluster);
        let is_new = new.iter().all(|name| !old.contains(name));
        let mut ready = cluster.entries.iter().filter(|entry| entry.is_ready());
        new.len() == TOTAL_COUNT
            && is_new
            && ready.all(|entry| standing_count(entry, "serving") == TOTAL_COUNT as u64)
    };
    while !is_finished() {
        assert!(Instant::now() < end, "the roll-out did not end in time");
        thread::sleep(Duration::from_millis(50));
    }
}

/// Counts the orders to reboot an instance in the logs of all entries.
fn reboots_of(cluster: &Cluster, name: &str) -> usize {
    let line_part = format!("event=reboot_ordered instance={name} ");
    let logs = cluster.entries.iter().map(|entry| entry.process.log());
    logs.map(|log| log.matches(&line_part).count()).sum()
}

#[test]
fn a_roll_out_reboots_every_instance_within_budgets_and_interrupts_no_work() {
    let mut cluster = spawn(3, FAST_ROLL_OUTS);
    let (_, key) = cluster.grant("desk");
    let old = incarnations(&cluster);
    set_list_faults(&cluster, &json!({ "reboot_ms": 150 }));
    let watch = BudgetWatch::spawn(&cluster);
    let load = Load::spawn(&callers(&cluster), 6, move || Call::new("maps", &key, 40));
    start_roll_out(&mut cluster, 1);
    wait_rolled_out(&cluster, &old);
    assert_all_done(&load.stop());
    let absent_count = watch.stop();
    assert!((1..=MAPS_UNAVAILABLE_MAX_COUNT).contains(&absent_count));
    assert_eq!(ended_count(&cluster.stand_ins.runs(), Ending::Killed), 0);
    let names = rows(&cluster);
    assert!(names.iter().all(|row| reboots_of(&cluster, &row.name) >= 1));
}

#[test]
fn a_leaving_endpoint_gets_no_new_work_although_the_list_lags() {
    let cluster = spawn(3, FAST_ROLL_OUTS);
    let (_, key) = cluster.grant("desk");
    let leaving = first_of_maps(&cluster);
    set_list_faults(&cluster, &json!({ "lag_ms": 1_000 }));
    assert_leaving_gets_no_new_work(&cluster, &key, &leaving);
}

#[test]
fn a_leaving_endpoint_gets_no_new_work_from_an_entry_cut_off_from_the_list() {
    let cluster = spawn(3, FAST_ROLL_OUTS);
    let (_, key) = cluster.grant("desk");
    let cut_off = (index_of_driver(&cluster) + 1) % 3;
    cut_off_instance_list(&cluster, cut_off);
    let leaving = first_of_maps(&cluster);
    assert_leaving_gets_no_new_work(&cluster, &key, &leaving);
}

#[test]
fn a_leaving_endpoint_gets_no_new_work_when_the_driver_is_cut_off_from_the_list() {
    let cluster = spawn(3, FAST_ROLL_OUTS);
    let (_, key) = cluster.grant("desk");
    cut_off_instance_list(&cluster, index_of_driver(&cluster));
    let leaving = first_of_maps(&cluster);
    assert_leaving_gets_no_new_work(&cluster, &key, &leaving);
}

/// Makes the instance list unavailable to one entry.
fn cut_off_instance_list(cluster: &Cluster, index: usize) {
    let link = &cluster.entries[index].instances_link;
    link.set(crate::proxy::ProxyFaults {
        is_refusing: true,
        ..Default::default()
    });
    link.reset_open();
}

/// Announces an instance as leaving under load, and asserts that it soon gets no new work.
fn assert_leaving_gets_no_new_work(cluster: &Cluster, key: &str, leaving: &InstanceRow) {
    let key = key.to_owned();
    let load = Load::spawn(&callers(cluster), 12, move || Call::new("maps", &key, 20));
    thread::sleep(Duration::from_millis(300));
    let since_unix_ms = unix_ms();
    send_instance_order(cluster, &leaving.name, "leave");
    thread::sleep(Duration::from_millis(LEAVING_MAX_MS + 1_000));
    assert_all_done(&load.stop());
    let runs = cluster.stand_ins.runs();
    let last_unix_ms = runs
        .iter()
        .filter(|run| run.worker == leaving.name)
        .map(|run| run.started_unix_us / 1_000)
        .max()
        .expect("the instance got work before it was leaving");
    assert!(
        last_unix_ms < since_unix_ms + LEAVING_MAX_MS,
        "the instance got new work {} ms after it was announced as leaving",
        last_unix_ms - since_unix_ms
    );
}

#[test]
fn new_incarnations_are_registered_while_the_driver_is_cut_off_from_the_list() {
    let cluster = spawn(3, FAST_ROLL_OUTS);
    cut_off_instance_list(&cluster, index_of_driver(&cluster));
    let old = rows(&cluster).remove(0);
    send_instance_order(&cluster, &old.name, "replace");
    let (_, key) = cluster.grant("desk");
    cluster.wait_until("the new incarnation takes work", |cluster| {
        // More calls at once than the other workers of the pool have capacity for.
        let calls = (0..MAPS_COUNT * 8).map(|_| Call::new("maps", &key, 100));
        for (_, reply, _) in call_all(cluster, calls.collect()) {
            assert!(reply.is_done(), "{reply:?}");
        }
        let runs = cluster.stand_ins.runs();
        runs.iter()
            .any(|run| run.worker == old.name && run.incarnation != old.incarnation)
    });
}

#[test]
fn an_instance_that_was_missing_in_the_list_for_a_while_serves_again() {
    let cluster = spawn(3, FAST_ROLL_OUTS);
    let row = rows(&cluster).remove(0);
    send_instance_order(&cluster, &row.name, "remove");
    cluster.wait_until("the instance counts as down", |cluster| {
        standing_count(&cluster.entries[0], "down") == 1
    });
    put_rows(&cluster, &[row]);
    cluster.wait_until("the instance serves again", |cluster| {
        standing_count(&cluster.entries[0], "serving") == TOTAL_COUNT as u64
    });
}

#[test]
fn a_worker_whose_drain_was_never_ended_takes_work_again() {
    let mut cluster = spawn(3, FAST_ROLL_OUTS);
    let (_, key) = cluster.grant("office");
    let old = incarnations(&cluster);
    start_roll_out(&mut cluster, 1);
    wait_rolled_out(&cluster, &old);
    // Drains the workers, as if the driver had exited after the end of the stop was recorded and
    // before it notified the workers.
    let gauges: Vec<_> = rows(&cluster)
        .into_iter()
        .filter(|row| row.pool == "gauges")
        .collect();
    for row in &gauges {
        admin_call(&row.address, Method::POST, "/drain?on=1", &());
    }
    cluster.wait_until("the pool takes work", |cluster| {
        let call = Call::new("gauges", &key, 1).deadline_ms(4_000);
        cluster.entries[0].call(&call).is_done()
    });
}

#[test]
fn a_move_under_load_interrupts_no_work_and_ends_the_old_pools_work_first() {
    let settings = r#""seat_renew_ms": 400, "move_wait_ms": 1000, "move_rest_ms": 1000"#;
    let mut cluster = spawn(3, settings);
    let (_, key) = cluster.grant("desk");
    let gauges_key = key.clone();
    let addresses = callers(&cluster);
    // So much load that workers outside the entries' zone are needed too.
    let maps = Load::spawn(&addresses, 48, move || Call::new("maps", &key, 100));
    let gauges = Load::spawn(&addresses, 6, move || Call::new("gauges", &gauges_key, 50));
    // The new minimum exceeds the size of the pool, so instances must move from other pools.
    publish(&mut cluster, 1, |text| {
        text.replace(
            "\"maps\", \"instances_min_count\": 4",
            "\"maps\", \"instances_min_count\": 9",
        )
        .replace(
            "\"spare\", \"is_spare\": true, \"instances_min_count\": 0",
            "\"spare\", \"is_spare\": true, \"instances_min_count\": 4",
        )
    });
    let moved_worker = |cluster: &Cluster| {
        let runs = cluster.stand_ins.runs();
        let other = runs
            .iter()
            .find(|run| run.queue == "maps" && !run.worker.starts_with("maps"));
        other.map(|run| run.worker.clone())
    };
    cluster.wait_until("an instance of another pool runs work of maps", |cluster| {
        moved_worker(cluster).is_some()
    });
    let worker = moved_worker(&cluster).expect("the wait has found it");
    thread::sleep(Duration::from_millis(500));
    assert_all_done(&maps.stop());
    assert_all_done(&gauges.stop());
    let runs = cluster.stand_ins.runs();
    assert_eq!(ended_count(&runs, Ending::Killed), 0);
    let runs_on_it = runs.iter().filter(|run| run.worker == worker);
    let (new, old): (Vec<_>, Vec<_>) = runs_on_it.partition(|run| run.queue == "maps");
    let first_us = new.iter().map(|run| run.started_unix_us).min();
    let first_us = first_us.expect("the moved instance ran work of maps");
    let has_ended_before =
        |ended_us: Option<u64>| ended_us.is_some_and(|ended_us| ended_us <= first_us);
    assert!(
        old.iter().all(|run| has_ended_before(run.ended_unix_us)),
        "{old:?}"
    );
}

#[test]
fn a_wave_whose_members_do_not_return_halts_the_roll_out_until_they_are_back() {
    let settings = format!("{FAST_ROLL_OUTS}, \"reboot_max_ms\": 3000");
    let mut cluster = spawn(3, &settings);
    let old = incarnations(&cluster);
    let watch = BudgetWatch::spawn(&cluster);
    start_roll_out(&mut cluster, 1);
    cluster.wait_until("the roll-out has rebooted five instances", |cluster| {
        let new = incarnations(cluster);
        new.iter().filter(|name| !old.contains(name)).count() >= 5
    });
    let listed = rows(&cluster);
    let has_halted = |cluster: &Cluster| {
        let mut entries = cluster.entries.iter();
        entries.any(|entry| entry.process.log().contains("event=roll_out_halted"))
    };
    assert!(!has_halted(&cluster));
    set_list_faults(&cluster, &json!({ "reboot_ms": 600_000 }));
    cluster.wait_until("the roll-out halts", has_halted);
    let is_absent =
        |row: &InstanceRow, rows: &[InstanceRow]| !rows.iter().any(|other| other.name == row.name);
    let at_halt = rows(&cluster);
    thread::sleep(Duration::from_millis(2_500));
    let later = rows(&cluster);
    assert_eq!(
        at_halt.len(),
        later.len(),
        "the roll-out rebooted instances after its halt"
    );
    // One wave is absent: as many as the budgets of the three pools allow at once.
    let absent: Vec<_> = listed.iter().filter(|row| is_absent(row, &later)).collect();
    assert!((2..=5).contains(&absent.len()), "{absent:?}");
    set_list_faults(&cluster, &json!({}));
    let returned: Vec<InstanceRow> = absent
        .into_iter()
        .cloned()
        .map(|mut row| {
            row.incarnation = format!("{}.back", row.name).into();
            row
        })
        .collect();
    put_rows(&cluster, &returned);
    wait_rolled_out(&cluster, &old);
    assert!(watch.stop() <= MAPS_UNAVAILABLE_MAX_COUNT);
}

#[test]
fn another_entry_continues_a_roll_out_when_the_driver_stops() {
    let mut cluster = spawn(3, FAST_ROLL_OUTS);
    let (_, key) = cluster.grant("desk");
    let old = incarnations(&cluster);
    let driver = index_of_driver(&cluster);
    let mut addresses = callers(&cluster);
    addresses.remove(driver);
    let load = Load::spawn(&addresses, 4, move || Call::new("maps", &key, 20));
    let watch = BudgetWatch::spawn(&cluster);
    start_roll_out(&mut cluster, 1);
    cluster.wait_until("the first instance is rebooted", |cluster| {
        incarnations(cluster) != old
    });
    assert!(cluster.entries[driver].process.terminate().success());
    wait_rolled_out(&cluster, &old);
    assert_all_done(&load.stop());
    assert!(watch.stop() <= MAPS_UNAVAILABLE_MAX_COUNT);
    assert_eq!(ended_count(&cluster.stand_ins.runs(), Ending::Killed), 0);
}

#[test]
fn another_entry_claims_stops_soon_after_the_driver_was_killed() {
    let settings = format!("{FAST_ROLL_OUTS}, \"seat_lease_ms\": 2500");
    let mut cluster = spawn(3, &settings);
    let driver = index_of_driver(&cluster);
    cluster.entries[driver].process.kill();
    start_roll_out(&mut cluster, 1);
    cluster.wait_until("an instance drains", |cluster| {
        let mut entries = cluster.entries.iter();
        entries.any(|entry| standing_count(entry, "draining") > 0)
    });
    // Attempts of the killed entry may still run, so nothing is rebooted before they have ended.
    thread::sleep(Duration::from_millis(1_500));
    assert_eq!(
        rows(&cluster).len(),
        TOTAL_COUNT,
        "an instance was rebooted"
    );
    let logs = cluster.entries.iter().map(|entry| entry.process.log());
    assert!(!logs.collect::<String>().contains("event=reboot_ordered"));
}

/// Of two publications that start from the same version, one is accepted and the other is refused.
#[test]
fn one_of_two_concurrent_publications_is_refused() {
    let cluster = spawn(3, FAST_ROLL_OUTS);
    for (round, mins) in (1..).zip([[5, 6], [7, 8], [4, 5]]) {
        let lists = mins.map(lists_with_min);
        let mut processes = lists.each_ref().map(|[plans, entitlements]| {
            cluster.start_publish(round, "operator", [plans, entitlements])
        });
        let is_accepted = processes
            .each_mut()
            .map(|process| process.wait_for_exit().success());
        assert_ne!(is_accepted[0], is_accepted[1], "round {round}");
        let version = round + 1;
        cluster.wait_until("the accepted lists are in force", |cluster| {
            let mut entries = cluster.entries.iter();
            entries.all(|entry| entry.status().lists_version == version)
        });
    }
}

/// A worker at an address that has gone to another pool refuses the work of the old pool, and the
/// entries retry it elsewhere.
#[test]
fn an_address_used_again_by_another_pool_runs_no_work_of_the_old_one() {
    let cluster = spawn(3, FAST_ROLL_OUTS);
    let (_, key) = cluster.grant("desk");
    let old = first_of_maps(&cluster);
    // No entry can read the change from the instance list.
    (0..3).for_each(|index| cut_off_instance_list(&cluster, index));
    send_instance_order(&cluster, &old.name, "remove");
    let new = InstanceRow {
        name: "gauges-99".into(),
        incarnation: "gauges-99.1".into(),
        pool: "gauges".into(),
        ..old.clone()
    };
    put_rows(&cluster, &[new]);
    let load = Load::spawn(&callers(&cluster), 24, move || Call::new("maps", &key, 30));
    thread::sleep(Duration::from_millis(1_500));
    assert_all_done(&load.stop());
    let entries = cluster.entries.iter();
    let retried = entries.map(|entry| entry.status().retried);
    assert!(retried.into_iter().any(|reasons| !reasons.is_empty()));
    let runs = cluster.stand_ins.runs();
    let mut wrong = runs.iter().filter(|run| run.worker == "gauges-99");
    assert_eq!(wrong.next(), None);
}
