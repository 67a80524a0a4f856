//! Sharing: the bounded queue and the usage view under random requests with fixed seeds.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use hawthornladder::fleet::Resources;
use hawthornladder::policy::keys::{PeerKey, PoolKey, QueueKey, RequestKey, TeamKey};
use hawthornladder::policy::lane::WaitingRequest;
use hawthornladder::policy::queue::WaitQueue;
use hawthornladder::policy::refusal::RefusalReason;
use hawthornladder::policy::settings::QueueSettings;
use hawthornladder::policy::share::{ShareSettings, UsageView};
use hawthornladder::policy::usage::{Load, UsageRow};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const POOL: PoolKey = PoolKey(1);
const SLOTS_COUNT: u64 = 20;
const RUN_MS: u64 = 100;

fn fixed_seed() -> Config {
    Config {
        cases: 24,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    }
}

fn size() -> Resources {
    Resources {
        cores_milli: 1_000,
        memory_mb: 1_000,
        accelerators_count: 0,
    }
}

fn times(count: u64) -> Resources {
    (0..count).fold(Resources::default(), |sum, _| sum.plus(&size()))
}

fn waiting(key: u64, team: u32, now_ms: u64, deadline_ms: u64) -> WaitingRequest {
    WaitingRequest {
        key: RequestKey(key),
        team: Some(TeamKey(team)),
        queue: QueueKey(0),
        pools: Arc::from([POOL]),
        size: size(),
        enqueued_ms: now_ms,
        deadline_ms,
        is_urgent: false,
        declared_run_ms: 1,
        failed_on: None,
    }
}

fn view(weights: &[u32]) -> UsageView {
    let mut view = UsageView::new(ShareSettings::default());
    let capacity = Load {
        size: times(SLOTS_COUNT),
        slots_count: SLOTS_COUNT,
    };
    view.set_pool_capacity(POOL, capacity);
    for (team, weight) in weights.iter().enumerate() {
        view.set_weight(TeamKey(team as u32), *weight);
    }
    view
}

fn queue() -> WaitQueue {
    let mut queue = WaitQueue::new(QueueSettings::default(), 1);
    queue.set_pool_largest(POOL, times(4));
    queue
}

/// Runs teams with steady demand on `SLOTS_COUNT` slots and returns the number of starts of each
/// team. A step takes 10 ms.
fn starts_when_full(weights: &[u32], demand_per_step: &[u64], steps: u64) -> Vec<u64> {
    let (mut queue, mut view) = (queue(), view(weights));
    let mut starts = vec![0u64; weights.len()];
    let mut running: Vec<(u64, u32)> = Vec::new();
    let mut key = 0;
    for step in 0..steps {
        let now_ms = step * 10;
        for (team, count) in demand_per_step.iter().enumerate() {
            for _ in 0..*count {
                key += 1;
                let _ = queue.push(
                    now_ms,
                    waiting(key, team as u32, now_ms, now_ms + 1_000),
                    &times(4),
                    &view,
                );
            }
        }
        for (_, team) in running.iter().filter(|(end_ms, _)| *end_ms <= now_ms) {
            view.ended(now_ms, Some(TeamKey(*team)), POOL, &size());
        }
        running.retain(|(end_ms, _)| *end_ms > now_ms);
        queue.expire(now_ms, &view);
        while (running.len() as u64) < SLOTS_COUNT {
            let Some(next) = queue.next(now_ms, POOL, &view, &mut |_| true) else {
                break;
            };
            let team = next.team.expect("every request has a team");
            view.started(now_ms, next.team, POOL, &size());
            starts[team.0 as usize] += 1;
            running.push((now_ms + RUN_MS, team.0));
        }
        assert!(
            queue.is_empty() || running.len() as u64 == SLOTS_COUNT,
            "a slot is idle while requests wait"
        );
    }
    starts
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn full_pool_is_shared_by_weight(weights in prop::collection::vec(1u32..8, 2..6)) {
        let demand = vec![3; weights.len()];
        let starts = starts_when_full(&weights, &demand, 2_000);
        let total: u64 = starts.iter().sum();
        let weight_sum: u32 = weights.iter().sum();
        for (team, weight) in weights.iter().enumerate() {
            let share = starts[team] as f64 / total as f64;
            // Each team requests 3 starts per step and a step has capacity for 2, so every team can
            // use its whole share.
            let fair = f64::from(*weight) / f64::from(weight_sum);
            prop_assert!((share - fair).abs() < 0.03, "team {team}: {share} for {fair}");
        }
    }

    #[test]
    fn the_unused_share_of_a_team_goes_to_the_others(heavy in 1u32..8, light in 1u32..8) {
        // The light team requests 1 start per step, half of the 2 that a step has capacity for.
        let (mut demand, weights) = (vec![4, 4, 0], [heavy, heavy, light * 4]);
        demand[2] = 1;
        let starts = starts_when_full(&weights, &demand, 1_000);
        let total: u64 = starts.iter().sum();
        prop_assert!(total >= 1_990 - SLOTS_COUNT);
        prop_assert!(starts[0].abs_diff(starts[1]) <= total / 50);
    }

    #[test]
    fn no_request_is_lost_or_duplicated(
        steps in prop::collection::vec((0u8..5, 0u64..40, 0u32..4, 1u64..400), 1..300),
    ) {
        let (mut queue, mut view) = (queue(), view(&[1, 2, 3, 4]));
        let mut waiting_keys: HashSet<RequestKey> = HashSet::new();
        let mut now_ms = 0;
        for (kind, key, team, time_ms) in steps {
            now_ms += time_ms / 20;
            let key = RequestKey(key);
            match kind {
                0 | 1 => {
                    let result = queue.push(now_ms, waiting(key.0, team, now_ms, now_ms + time_ms), &times(4), &view);
                    let reason = result.err().map(|refusal| refusal.reason);
                    prop_assert_eq!(reason == Some(RefusalReason::DuplicateKey), waiting_keys.contains(&key));
                    if reason.is_none() {
                        waiting_keys.insert(key);
                    }
                }
                2 => {
                    prop_assert_eq!(queue.cancel(now_ms, key).is_some(), waiting_keys.remove(&key));
                    prop_assert!(queue.cancel(now_ms, key).is_none());
                }
                3 => {
                    if let Some(next) = queue.next(now_ms, POOL, &view, &mut |next| next.team != Some(TeamKey(3))) {
                        prop_assert!(waiting_keys.remove(&next.key));
                        prop_assert!(next.team != Some(TeamKey(3)));
                        view.started(now_ms, next.team, POOL, &next.size);
                        queue.observe_run(next.team, next.queue, time_ms / 4);
                    }
                }
                _ => {
                    for given_up in queue.expire(now_ms, &view) {
                        prop_assert!(waiting_keys.remove(&given_up.key));
                    }
                }
            }
            prop_assert_eq!(queue.len(), waiting_keys.len());
        }
    }
}

#[test]
fn the_queue_is_bounded_and_leaves_capacity_for_other_teams() {
    let settings = QueueSettings {
        waiting_max_count: 100,
        ..QueueSettings::default()
    };
    let mut queue = WaitQueue::new(settings, 1);
    let view = view(&[1, 1, 1]);
    let mut reasons: HashMap<RefusalReason, u32> = HashMap::new();
    for key in 0..1_000 {
        if let Err(refusal) = queue.push(
            0,
            waiting(key, (key % 3) as u32, 0, 1_000),
            &times(4),
            &view,
        ) {
            *reasons.entry(refusal.reason).or_insert(0) += 1;
        }
    }
    assert!(queue.len() <= 100);
    assert!(reasons[&RefusalReason::TeamQueueFull] > 0);
    assert!(queue
        .push(0, waiting(5_000, 9, 0, 1_000), &times(4), &view)
        .is_ok());
}

#[test]
fn requests_that_cannot_run_or_not_in_time_are_refused_at_once() {
    let (mut queue, view) = (queue(), view(&[1]));
    let mut too_large = waiting(1, 0, 0, 1_000);
    too_large.size = times(5);
    let refusal = queue.push(0, too_large, &times(9), &view).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::TooLarge);
    assert_eq!(refusal.retry_after_ms, None);
    for _ in 0..20 {
        queue.observe_run(Some(TeamKey(0)), QueueKey(0), 500);
    }
    let refusal = queue
        .push(9_000, waiting(2, 0, 9_000, 9_400), &times(4), &view)
        .unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::DeadlinePassed);
}

#[test]
fn unservable_requests_are_given_up_early_with_spread_retry_times() {
    let (mut queue, mut view) = (queue(), view(&[1]));
    for key in 0..1_000 {
        queue
            .push(0, waiting(key, 0, 0, 2_000), &times(4), &view)
            .unwrap();
    }
    let mut given_up = Vec::new();
    for step in 1..=20 {
        // As in the engine, a request runs for 10 ms and then the next one starts.
        if step > 1 {
            view.ended(step * 10, Some(TeamKey(0)), POOL, &size());
            queue.observe_run(Some(TeamKey(0)), QueueKey(0), 10);
        }
        let next = queue.next(step * 10, POOL, &view, &mut |_| true).unwrap();
        view.started(step * 10, next.team, POOL, &next.size);
        given_up.extend(queue.expire(step * 10, &view));
    }
    assert!(
        given_up.len() > 500,
        "one start per 10 ms cannot serve 1000 requests in 2 s, so most must be given up"
    );
    let mut retry_after_100_ms: Vec<u64> = given_up
        .iter()
        .map(|given_up| given_up.retry_after_ms / 100)
        .collect();
    retry_after_100_ms.sort_unstable();
    let most_in_100_ms = retry_after_100_ms
        .chunk_by_mut(|left, right| left == right)
        .map(|chunk| chunk.len())
        .max();
    assert!(
        most_in_100_ms <= Some(30),
        "too many callers retry within the same 100 ms: {most_in_100_ms:?}"
    );
}

#[test]
fn running_requests_of_this_entry_and_its_peers_are_counted_by_pool() {
    let mut view = view(&[1, 1]);
    let row = UsageRow {
        running_count: 3,
        ..UsageRow::idle(Some(TeamKey(1)), POOL)
    };
    view.apply_peer_report(0, PeerKey(1), vec![row]);
    view.started(0, Some(TeamKey(0)), POOL, &size());
    view.started(0, None, POOL, &size());
    assert_eq!((view.own_running_in(POOL), view.running_in(POOL)), (2, 5));
    view.ended(1, None, POOL, &size());
    view.remove_peer(1, PeerKey(1));
    assert_eq!((view.own_running_in(POOL), view.running_in(POOL)), (1, 1));
}

#[test]
fn the_peer_with_the_largest_unused_part_is_notified_of_a_free_slot() {
    let (mut queue, mut view) = (queue(), view(&[1, 1]));
    let report = |running_count, waiting_count| {
        vec![UsageRow {
            running: times(u64::from(running_count)),
            running_count,
            waiting_count,
            ..UsageRow::idle(Some(TeamKey(1)), POOL)
        }]
    };
    assert_eq!(queue.next_peer_to_notify(0, POOL, &view), None);
    view.apply_peer_report(0, PeerKey(1), report(6, 1));
    view.apply_peer_report(0, PeerKey(2), report(1, 40));
    assert_eq!(
        queue.next_peer_to_notify(100, POOL, &view),
        Some(PeerKey(2))
    );
}

#[test]
fn gossiped_usage_of_peers_counts_and_expires() {
    let mut view = view(&[1, 1]);
    let row = UsageRow {
        running: times(8),
        running_count: 8,
        waiting_count: 2,
        ..UsageRow::idle(Some(TeamKey(0)), POOL)
    };
    view.apply_peer_report(0, PeerKey(1), vec![row]);
    assert!(view.level(10, Some(TeamKey(0)), POOL) > view.level(10, Some(TeamKey(1)), POOL));
    assert_eq!(view.waiting_at_peers_count(POOL), 2);
    assert_eq!(view.expire_peers(10_000), vec![PeerKey(1)]);
    assert_eq!(view.running(Some(TeamKey(0)), POOL), Load::default());
    assert_eq!(view.waiting_at_peers_count(POOL), 0);
}

#[test]
fn a_queue_accepts_requests_again_after_run_times_were_long() {
    const DEADLINE_MS: u64 = 1_000;
    let (mut queue, view) = (queue(), view(&[1]));
    let team = Some(TeamKey(0));
    for _ in 0..20 {
        queue.observe_run(team, QueueKey(0), 4_000);
    }
    let mut accepted_ms = Vec::new();
    for key in 0..200 {
        let now_ms = key * 50;
        let request = waiting(key, 0, now_ms, now_ms + DEADLINE_MS);
        if queue.push(now_ms, request, &times(4), &view).is_err() {
            continue;
        }
        accepted_ms.push(now_ms);
        assert!(queue.next(now_ms, POOL, &view, &mut |_| true).is_some());
        queue.observe_run(team, QueueKey(0), 20);
    }
    // A few probes are accepted at first. Once they show short run times, all are accepted.
    let first_second = accepted_ms.iter().filter(|at_ms| **at_ms < 1_000).count();
    assert!((1..=5).contains(&first_second), "{accepted_ms:?}");
    let last_second = accepted_ms.iter().filter(|at_ms| **at_ms >= 9_000).count();
    assert_eq!(last_second, 20, "{accepted_ms:?}");
}
