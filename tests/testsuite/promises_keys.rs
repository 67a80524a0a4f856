//! Keys: every entry refuses a withdrawn key within seconds, and none accepts it again.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use attohttpc::Method;
use hawthornladder::entry::Event;
use hawthornladder::error::ErrorKind;
use hawthornladder::ledger::OperatorChange;
use serde_json::json;

use crate::calling::{cancel, fetch_job, Call};
use crate::cluster::{Cluster, EntryProcess};
use crate::engines::Engines;
use crate::processes::admin_call;
use crate::proxy::ProxyFaults;

#[test]
fn a_fresh_engine_does_not_accept_a_key_that_its_peers_know_as_withdrawn() {
    let mut engines = Engines::open(3);
    let key = engines.grant("ionosphere-desk");
    engines.is_log_down = true;
    engines.advance(500);
    let key_id = key.key_id.clone();
    engines.step(0, Event::Withdraw { key_id });
    engines.advance(1_000);
    let fresh = engines.add();
    // The log answers the fresh engine before the others have appended the withdrawal.
    for node in &mut engines.nodes[..3] {
        node.is_cut_from_log = true;
    }
    engines.is_log_down = false;
    for _ in 0..50 {
        let request = engines.request(&key, true);
        let call = engines.call(fresh, &request);
        let refusal = engines.refusal(call).map(|row| row.0);
        let is_refused = matches!(
            refusal,
            Some(ErrorKind::EntryNotReady | ErrorKind::KeyUnknown | ErrorKind::KeyWithdrawn)
        );
        assert!(is_refused, "{refusal:?}");
        engines.advance(20);
    }
}

const TEAM: &str = "ionosphere-desk";

/// Longest time until a withdrawn key is refused everywhere.
const WITHDRAWAL_MAX: Duration = Duration::from_secs(5);

/// Waits until no entry accepts the key, and asserts that this took less than [`WITHDRAWAL_MAX`].
fn assert_refused_in_time(cluster: &Cluster, key: &str, withdrawn: Instant) {
    cluster.wait_until("no entry accepts the key", |cluster| {
        let mut entries = cluster.entries.iter();
        entries.all(|entry| !entry.call(&Call::new("delay-maps", key, 1)).is_done())
    });
    let elapsed = withdrawn.elapsed();
    assert!(elapsed < WITHDRAWAL_MAX, "{elapsed:?}");
}

/// A withdrawal that is sent to one entry while the log is down is in force at all entries, also
/// after each of them has been replaced.
#[test]
fn a_withdrawal_sent_to_one_entry_is_in_force_everywhere_while_the_log_is_down() {
    let mut cluster = Cluster::builder().small_fleet().spawn();
    let (key_id, key) = cluster.grant(TEAM);
    cluster.set_log_faults(&json!({ "is_down": true }));
    let withdrawn = Instant::now();
    let answer = cluster.entries[1].withdraw(&key_id);
    assert_eq!(answer["is_in_force_everywhere"], true, "{answer}");
    assert_refused_in_time(&cluster, &key, withdrawn);
    // Every entry that received the withdrawal is replaced by a fresh one.
    for index in 0..3 {
        cluster.entries[index].process.kill();
        cluster.replace_entry(index);
        cluster.wait_until("the fresh entry has the ledger", |cluster| {
            cluster.entries[index].status().lists_version == 1
        });
        thread::sleep(Duration::from_millis(500));
    }
    cluster.set_log_faults(&json!({}));
    let end = Instant::now() + Duration::from_secs(10);
    while Instant::now() < end && !cluster.entries.iter().all(EntryProcess::is_ready) {
        for entry in &cluster.entries {
            let reply = entry.call(&Call::new("delay-maps", &key, 1));
            assert!(!reply.is_done(), "an entry accepted the withdrawn key");
        }
    }
    cluster.wait_serving();
    for entry in &cluster.entries {
        let reply = entry.call(&Call::new("delay-maps", &key, 1));
        assert_eq!(reply.kind, "key_withdrawn");
    }
}

#[test]
fn an_entry_that_is_cut_off_stops_accepting_a_withdrawn_key() {
    let cluster = Cluster::builder().small_fleet().spawn();
    let (key_id, key) = cluster.grant(TEAM);
    let cut_off = &cluster.entries[2];
    assert!(cut_off.call(&Call::new("delay-maps", &key, 1)).is_done());
    let job = Call::new("delay-maps", &key, 1).for_later();
    assert_eq!(cluster.entries[0].call(&job).status, 202);
    let address = &cut_off.callers_address;
    cluster.wait_until("the job is done", |_| {
        fetch_job(address, &key, &job.request_id).is_done()
    });
    let refusing = ProxyFaults {
        is_refusing: true,
        ..ProxyFaults::default()
    };
    let peers = cluster.entries.iter().map(|entry| &entry.peers_link);
    for link in peers.chain([&cut_off.log_link]) {
        link.set(refusing);
        link.reset_open();
    }
    let withdrawn = Instant::now();
    cluster.run_operator_command(&["keys", "withdraw", &key_id]);
    assert_refused_in_time(&cluster, &key, withdrawn);
    // The entry also refuses fetches and cancellations with the key.
    let reply = fetch_job(address, &key, &job.request_id);
    assert_eq!(reply.kind, "configuration_stale", "{reply:?}");
    let reply = cancel(address, &key, &job.request_id);
    assert_eq!(reply.kind, "configuration_stale", "{reply:?}");
}

#[test]
fn the_log_holds_no_secret() {
    let cluster = Cluster::builder().small_fleet().spawn();
    let (key_id, key) = cluster.grant(TEAM);
    let reply = cluster.entries[0].call(&Call::new("delay-maps", &key, 1).at_most_once());
    assert!(reply.is_done(), "{reply:?}");
    let page = admin_call(
        &cluster.stand_ins.log_address,
        Method::GET,
        "/records?from=0&wait_ms=0",
        &(),
    );
    let page = String::from_utf8(page).expect("pages are UTF-8");
    let secret = key.split('.').nth(1).expect("keys have a secret");
    assert!(page.contains(&key_id));
    assert!(!page.contains(secret), "the log holds the secret");
    let logs = cluster.entries.iter().map(|entry| entry.process.log());
    assert!(
        logs.into_iter().all(|log| !log.contains(secret)),
        "an entry wrote the secret to its log"
    );
}

#[test]
fn a_key_opens_only_the_queues_of_its_team() {
    let cluster = Cluster::builder().example("denmark").spawn();
    let (_, club) = cluster.grant("aarhus-foto");
    let entry = &cluster.entries[0];
    assert!(entry.call(&Call::new("uploads", &club, 1)).is_done());
    let scoring = entry.call(&Call::new("scoring", &club, 1));
    let refusal = (scoring.kind.as_str(), scoring.ran.as_str());
    assert_eq!(refusal, ("not_entitled", "not_run"));
    assert!(entry.call(&Call::new("public-results", "", 1)).is_done());
    let runs = cluster.stand_ins.runs();
    let teams: Vec<&str> = runs.iter().map(|run| run.team.as_str()).collect();
    assert_eq!(teams, ["aarhus-foto", ""]);
}

#[test]
fn a_wrong_secret_is_refused_although_the_key_id_is_right() {
    let cluster = Cluster::builder().small_fleet().spawn();
    let (key_id, key) = cluster.grant(TEAM);
    let secret = key.split('.').nth(1).expect("keys have a secret");
    let flipped: String = secret.chars().rev().collect();
    for wrong in [
        key_id.clone(),
        format!("{key_id}."),
        format!("{key_id}.{flipped}"),
        format!("{key_id}.{}", &secret[1..]),
        format!("{key}0"),
        format!("{key}."),
        format!(".{secret}"),
    ] {
        let reply = cluster.entries[0].call(&Call::new("delay-maps", &wrong, 1));
        let refusal = (reply.kind.as_str(), reply.ran.as_str());
        assert_eq!(refusal, ("key_unknown", "not_run"), "{wrong}");
    }
    let keyless = cluster.entries[0].call(&Call::new("delay-maps", "", 1));
    assert_eq!(keyless.kind, "key_missing");
}

#[test]
fn a_flood_of_wrong_keys_leaves_the_service_responsive() {
    let cluster = Cluster::builder().small_fleet().spawn();
    let (key_id, key) = cluster.grant(TEAM);
    let is_stopped = Arc::new(AtomicBool::new(false));
    let address = cluster.entries[0].callers_address.clone();
    let floods: Vec<_> = (0..8)
        .map(|number| {
            let (address, is_stopped) = (address.clone(), Arc::clone(&is_stopped));
            let wrong = format!("{key_id}.{number}");
            thread::spawn(move || {
                let mut refused_count = 0;
                while !is_stopped.load(Ordering::Relaxed) {
                    let reply = Call::new("delay-maps", &wrong, 1).send(&address);
                    refused_count += usize::from(reply.kind == "key_unknown");
                }
                refused_count
            })
        })
        .collect();
    for _ in 0..20 {
        let start = Instant::now();
        let reply = cluster.entries[0].call(&Call::new("delay-maps", &key, 1));
        assert!(reply.is_done(), "{reply:?}");
        // The plan's start target for urgent work.
        assert!(
            start.elapsed() < Duration::from_millis(1_600),
            "the call took too long during the flood"
        );
    }
    is_stopped.store(true, Ordering::Relaxed);
    let refused_count: usize = floods.into_iter().map(|flood| flood.join().unwrap()).sum();
    assert!(refused_count > 0, "no wrong key was refused");
}

#[test]
fn a_withdrawal_in_the_log_is_in_force_although_no_entry_reaches_the_log() {
    let cluster = Cluster::builder().small_fleet().spawn();
    let (key_id, key) = cluster.grant(TEAM);
    for entry in &cluster.entries {
        assert!(entry.call(&Call::new("delay-maps", &key, 1)).is_done());
        entry.log_link.set(ProxyFaults {
            is_refusing: true,
            ..ProxyFaults::default()
        });
        entry.log_link.reset_open();
    }
    let withdrawn = Instant::now();
    cluster.run_operator_command(&["keys", "withdraw", &key_id]);
    assert_refused_in_time(&cluster, &key, withdrawn);
    for entry in &cluster.entries {
        let reply = entry.call(&Call::new("delay-maps", &key, 1));
        assert_eq!(reply.kind, "key_withdrawn", "{reply:?}");
    }
}

#[test]
fn a_grant_that_is_appended_again_after_the_withdrawal_has_no_effect() {
    let mut engines = Engines::open(1);
    let key = engines.grant(TEAM);
    let granted = engines
        .records
        .last()
        .expect("the grant is in the log")
        .clone();
    let key_id = key.key_id.clone();
    engines.append_operator_change(OperatorChange::WithdrawKey { key_id });
    engines.append(&granted.payload);
    engines.advance(100);
    let request = engines.request(&key, true);
    let call = engines.call(0, &request);
    let refusal = engines.refusal(call).map(|row| row.0);
    assert_eq!(refusal, Some(ErrorKind::KeyWithdrawn));
}
