//! Limits: no team has more requests running in the whole fleet than its upper limit, and every
//! request that waits under a limit is served.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use hawthornladder::entry::Event;
use hawthornladder::lists::Lists;
use hawthornladder::stand_in::journal::{peak_running_by_team, Run};

use serde_json::json;
use uuid::Uuid;

use crate::calling::{cancel, Call, Reply};
use crate::cluster::{unix_us, Cluster, SHORT_LEASE};
use crate::engines::{succeeded, Engines};

/// Returns `count` engines with a limit of `limit_requests` for [`TEAM`].
fn open_with_limit(count: usize, limit_requests: u32) -> Engines {
    Engines::open_with(count, |lists| set_limit(lists, limit_requests), |_| {})
}

/// Sets the upper limit of [`TEAM`].
pub(crate) fn set_limit(lists: &mut Lists, limit_requests: u32) {
    let mut teams = lists.plans.teams.iter_mut();
    let team = teams.find(|team| team.name == TEAM);
    team.expect("the example has the team").running_max_requests = Some(limit_requests);
}

#[test]
fn a_limit_of_one_passes_between_engines() {
    let mut engines = open_with_limit(3, 1);
    let key = engines.grant("ionosphere-desk");
    let mut calls = Vec::new();
    for _ in 0..3 {
        for index in 0..3 {
            let mut request = engines.request(&key, true);
            request.deadline_ms = 60_000;
            calls.push(engines.call(index, &request));
        }
    }
    let mut served_count = 0;
    while served_count < calls.len() {
        let is_running = |engines: &Engines| engines.nodes.iter().any(|n| !n.attempts.is_empty());
        let took_ms = engines.advance_until(3_000, is_running);
        assert!(
            took_ms <= 1_500,
            "the limit reached another engine only after {took_ms} ms"
        );
        engines.advance(100);
        let running: usize = engines.nodes.iter().map(|node| node.attempts.len()).sum();
        assert_eq!(running, 1, "attempts in flight under a limit of one");
        let index = engines.nodes.iter().position(|n| !n.attempts.is_empty());
        engines.end_attempt(index.expect("one attempt is in flight"), succeeded());
        served_count += 1;
    }
    let is_done = |call: &u64| engines.answer(*call).is_some_and(|a| &*a.body == b"done");
    assert!(calls.iter().all(is_done));
}

const TEAM: &str = "ionosphere-desk";

/// Sends copies of `model` under fresh request ids, all at once: `counts[i]` copies go to
/// `addresses[i]`. Returns all replies.
fn call_everywhere(addresses: &[String], counts: &[usize], model: &Call) -> Vec<Reply> {
    let calls: Vec<JoinHandle<Reply>> = addresses
        .iter()
        .zip(counts)
        .flat_map(|(address, count)| std::iter::repeat_n(address.clone(), *count))
        .map(|address| {
            let call = Call {
                request_id: Uuid::now_v7().to_string(),
                ..model.clone()
            };
            thread::spawn(move || call.send(&address))
        })
        .collect();
    let replies = calls.into_iter().map(|call| call.join());
    replies
        .map(|reply| reply.expect("the caller does not panic"))
        .collect()
}

fn addresses(cluster: &Cluster) -> Vec<String> {
    let entries = cluster.entries.iter();
    entries.map(|entry| entry.callers_address.clone()).collect()
}

#[test]
fn a_limit_of_five_holds_over_skewed_entries() {
    let mut cluster = Cluster::builder().small_fleet().entries(4).spawn();
    cluster.publish_limit(1, TEAM, 5);
    let (_, key) = cluster.grant(TEAM);
    let call = Call::new("delay-maps", &key, 40).deadline_ms(20_000);
    let replies = call_everywhere(&addresses(&cluster), &[40, 10, 2, 1], &call);
    let done_count = replies.iter().filter(|reply| reply.is_done()).count();
    assert_eq!(done_count, 53, "{replies:?}");
    assert!(cluster.peak_running_of(TEAM) <= 5);
}

#[test]
fn every_request_is_served_under_a_limit_of_one() {
    let mut cluster = Cluster::builder().small_fleet().spawn();
    cluster.publish_limit(1, TEAM, 1);
    let (_, key) = cluster.grant(TEAM);
    let call = Call::new("delay-maps", &key, 40).deadline_ms(20_000);
    let replies = call_everywhere(&addresses(&cluster), &[6, 6, 6], &call);
    let done_count = replies.iter().filter(|reply| reply.is_done()).count();
    assert_eq!(done_count, 18, "{replies:?}");
    assert_eq!(cluster.peak_running_of(TEAM), 1);
}

#[test]
fn an_unused_part_moves_to_another_entry_within_about_a_second() {
    let mut cluster = Cluster::builder().small_fleet().spawn();
    cluster.publish_limit(1, TEAM, 1);
    let (_, key) = cluster.grant(TEAM);
    for entry in &cluster.entries {
        let start = Instant::now();
        let reply = entry.call(&Call::new("delay-maps", &key, 1));
        assert!(reply.is_done(), "{reply:?}");
        assert!(
            start.elapsed() < Duration::from_millis(1_600),
            "urgent work did not start within its target"
        );
    }
}

#[test]
fn a_limit_holds_while_entries_are_killed() {
    let mut cluster = Cluster::builder()
        .small_fleet()
        .settings(SHORT_LEASE)
        .spawn();
    cluster.publish_limit(1, TEAM, 5);
    let (_, key) = cluster.grant(TEAM);
    let entry_addresses = addresses(&cluster);
    let call = Call::new("delay-maps", &key, 300).deadline_ms(4_000);
    let callers = thread::spawn(move || call_everywhere(&entry_addresses, &[10, 10, 10], &call));
    thread::sleep(Duration::from_millis(500));
    cluster.entries[1].process.kill();
    cluster.replace_entry(1);
    cluster.wait_serving();
    thread::sleep(Duration::from_millis(500));
    cluster.entries[0].process.kill();
    cluster.replace_entry(0);
    cluster.wait_serving();
    let call = Call::new("delay-maps", &key, 50).deadline_ms(1_000);
    call_everywhere(&addresses(&cluster), &[2, 2, 2], &call);
    callers.join().expect("the callers do not panic");
    assert!(cluster.peak_running_of(TEAM) <= 5);
}

#[test]
fn a_lowered_limit_holds_under_load() {
    let mut cluster = Cluster::builder().small_fleet().spawn();
    cluster.publish_limit(1, TEAM, 12);
    let (_, key) = cluster.grant(TEAM);
    let entry_addresses = addresses(&cluster);
    let is_stopped = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..24)
        .map(|number| {
            let (address, key) = (entry_addresses[number % 3].clone(), key.clone());
            let is_stopped = Arc::clone(&is_stopped);
            thread::spawn(move || {
                let mut done_count = 0;
                while !is_stopped.load(Ordering::Relaxed) {
                    let call = Call::new("delay-maps", &key, 50);
                    done_count += usize::from(call.send(&address).is_done());
                }
                done_count
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1_000));
    cluster.publish_limit(2, TEAM, 3);
    let lowered_unix_us = unix_us();
    // Runs that started under the old limit have ended by then.
    thread::sleep(Duration::from_millis(3_000));
    is_stopped.store(true, Ordering::Relaxed);
    let done_count: usize = callers
        .into_iter()
        .map(|caller| caller.join().unwrap())
        .sum();
    assert!(done_count > 0, "no call succeeded");
    let runs = cluster.stand_ins.runs();
    let is_later = |run: &&Run| run.started_unix_us > lowered_unix_us + 1_000_000;
    let peak = peak_running_by_team(runs.iter().filter(is_later));
    assert!(
        peak.contains_key(TEAM),
        "no work ran after the limit was lowered"
    );
    assert!(peak[TEAM] <= 3, "{peak:?}");
    assert!(cluster.peak_running_of(TEAM) <= 12);
}

#[test]
fn a_cancelled_run_frees_its_part_at_once() {
    let mut cluster = Cluster::builder().small_fleet().spawn();
    cluster.publish_limit(1, TEAM, 1);
    let (_, key) = cluster.grant(TEAM);
    let long = Call::new("delay-maps", &key, 9_000);
    let address = cluster.entries[0].callers_address.clone();
    let sent = long.clone();
    let caller = thread::spawn(move || sent.send(&address));
    cluster.wait_until("the work runs", |cluster| {
        cluster.runs_of(&long.request_id) == 1
    });
    cancel(&cluster.entries[0].callers_address, &key, &long.request_id);
    let reply = caller.join().expect("the caller does not panic");
    assert_eq!(reply.ran, "outcome_unknown", "{reply:?}");
    let reply = cluster.entries[1].call(&Call::new("delay-maps", &key, 1).deadline_ms(5_000));
    assert!(reply.is_done(), "{reply:?}");
    assert_eq!(cluster.peak_running_of(TEAM), 1);
}

#[test]
fn the_part_of_a_killed_engine_is_used_again_only_after_all_leases() {
    let mut engines = Engines::open_with(
        3,
        |lists| set_limit(lists, 1),
        |settings| {
            settings.seat_lease_ms = 4_000;
            settings.seat_renew_ms = 500;
        },
    );
    let key = engines.grant(TEAM);
    let mut request = engines.request(&key, true);
    request.deadline_ms = 55_000;
    engines.call(0, &request);
    engines.advance_until(1_000, |engines| !engines.nodes[0].attempts.is_empty());
    let (_, attempt) = engines.nodes[0].attempts[0].clone();
    let started_ms = engines.now_ms;
    engines.kill(0);
    let mut request = engines.request(&key, true);
    request.deadline_ms = 200_000;
    engines.call(0, &request);
    engines.advance_until(100_000, |engines| !engines.nodes[0].attempts.is_empty());
    let took_ms = engines.now_ms - started_ms;
    assert!(took_ms > attempt.lease_ms, "{took_ms} {}", attempt.lease_ms);
}

/// The part of a limit that a paused engine holds is neither used by that engine after its lease
/// has lapsed, nor given to another before all leases have ended.
#[test]
fn the_part_of_a_paused_engine_stays_unused_until_all_leases_end() {
    let mut engines = Engines::open_with(
        3,
        |lists| set_limit(lists, 1),
        |settings| {
            settings.seat_lease_ms = 4_000;
            settings.seat_renew_ms = 500;
        },
    );
    let key = engines.grant(TEAM);
    let mut first = engines.request(&key, true);
    first.deadline_ms = 200_000;
    engines.call(0, &first);
    engines.advance_until(1_000, |engines| !engines.nodes[0].attempts.is_empty());
    // When the pause begins, a second request waits for the part that the first one uses.
    let mut second = engines.request(&key, true);
    second.deadline_ms = 200_000;
    engines.call(0, &second);
    engines.nodes[0].is_paused = true;
    engines.advance(6_000);
    // The engine learns that the first attempt has ended before it reads that its seat has lapsed.
    engines.end_attempt(0, succeeded());
    engines.step(0, Event::Tick);
    assert!(
        engines.nodes[0].attempts.is_empty(),
        "the engine started an attempt under a lapsed lease"
    );
    engines.nodes[0].is_paused = false;
    engines.advance(10_000);
    let running: usize = engines.nodes.iter().map(|node| node.attempts.len()).sum();
    assert_eq!(running, 0, "the part was used before all leases had ended");
    engines.advance_until(90_000, |engines| {
        engines.nodes.iter().any(|node| !node.attempts.is_empty())
    });
}

#[test]
fn a_limit_holds_although_records_are_appended_twice() {
    let mut cluster = Cluster::builder().small_fleet().spawn();
    cluster.publish_limit(1, TEAM, 3);
    let (_, key) = cluster.grant(TEAM);
    cluster.set_log_faults(&json!({ "doubled_count": 10_000 }));
    let call = Call::new("delay-maps", &key, 100).deadline_ms(20_000);
    let replies = call_everywhere(&addresses(&cluster), &[20, 20, 20], &call);
    let done_count = replies.iter().filter(|reply| reply.is_done()).count();
    assert!(done_count > 0, "no call succeeded");
    assert!(cluster.peak_running_of(TEAM) <= 3);
}
