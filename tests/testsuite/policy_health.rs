//! Health and placement of workers: faulty workers are distinguished from work that always fails,
//! ejections never empty a pool, and no worker gets more requests than its slots.

use std::collections::HashMap;

use hawthornladder::fleet::Resources;
use hawthornladder::policy::health::{Access, Attempt, Health, HealthSettings, Outcome, WorkKey};
use hawthornladder::policy::keys::{PoolKey, WorkerKey, ZoneKey};
use hawthornladder::policy::placement::{Placement, PlacementSettings};
use hawthornladder::policy::worker::WorkerFacts;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const POOL: PoolKey = PoolKey(1);
const WORKERS_COUNT: u32 = 10;

fn health() -> Health {
    let mut health = Health::new(HealthSettings::default());
    for worker in 0..WORKERS_COUNT {
        health.set_worker(WorkerKey(worker), POOL);
    }
    health
}

fn attempt(worker: u32, work: u64, started_ms: u64, outcome: Outcome) -> Attempt {
    Attempt {
        worker: WorkerKey(worker),
        work: WorkKey(work),
        started_ms,
        outcome,
    }
}

fn outcome_of(index: u8) -> Outcome {
    [
        Outcome::Succeeded,
        Outcome::Failed,
        Outcome::Silent,
        Outcome::Unreachable,
    ][usize::from(index)]
}

fn facts(zone: u16) -> WorkerFacts {
    WorkerFacts {
        pool: POOL,
        zone: ZoneKey(zone),
        capacity: Resources {
            cores_milli: 32_000,
            memory_mb: 128_000,
            accelerators_count: 2,
        },
        slots_count: 8,
        is_usable: true,
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 64,
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn ejections_stay_within_the_limit(
        events in prop::collection::vec((0..WORKERS_COUNT, 0u64..5, 0u8..4, 0u64..500), 1..1_000),
    ) {
        let mut health = health();
        let mut now_ms = 0;
        for (worker, work, outcome, elapsed_ms) in events {
            now_ms += elapsed_ms;
            health.observe(now_ms, &attempt(worker, work, now_ms, outcome_of(outcome)));
            health.tick(now_ms);
            let ejected_count = (0..WORKERS_COUNT)
                .filter(|worker| health.access(WorkerKey(*worker)) == Access::Ejected)
                .count();
            prop_assert_eq!(ejected_count, health.ejected_count(POOL));
            prop_assert!(ejected_count <= 3);
        }
    }

    #[test]
    fn no_worker_gets_more_requests_than_its_slots(
        steps in prop::collection::vec((0u8..6, 0u32..6, 0u32..10), 1..400),
    ) {
        let mut placement = Placement::new(PlacementSettings::in_zone(ZoneKey(0)));
        let mut rng = ChaCha8Rng::seed_from_u64(5);
        let mut running: HashMap<WorkerKey, u32> = HashMap::new();
        let mut unusable: HashMap<WorkerKey, bool> = HashMap::new();
        for worker in 0..6 {
            placement.set_worker(WorkerKey(worker), facts((worker % 3) as u16));
        }
        let size = Resources { cores_milli: 1_000, ..Resources::default() };
        for (kind, worker, count) in steps {
            let worker = WorkerKey(worker);
            match kind {
                0..=2 => {
                    if let Some(chosen) = placement.choose(0, POOL, &size, None, &mut rng) {
                        prop_assert!(!unusable.get(&chosen).copied().unwrap_or(false));
                        placement.started(chosen, &size);
                        *running.entry(chosen).or_insert(0) += 1;
                        prop_assert!(running[&chosen] <= 8);
                    }
                }
                3 if running.get(&worker).is_some_and(|count| *count > 0) => {
                    placement.ended(worker, &size);
                    *running.entry(worker).or_insert(0) -= 1;
                }
                4 => placement.report(0, worker, count),
                _ => {
                    placement.set_usable(worker, count % 2 == 0);
                    unusable.insert(worker, count % 2 != 0);
                }
            }
        }
    }
}

#[test]
fn a_worker_that_fails_everything_is_ejected_even_if_it_gets_most_attempts() {
    let mut health = health();
    for work in 0..3 {
        for worker in 1..5 {
            health.observe(0, &attempt(worker, work, 0, Outcome::Succeeded));
        }
    }
    let attempts_count = (1..100).find(|at_ms| {
        health
            .observe(*at_ms, &attempt(0, at_ms % 3, *at_ms, Outcome::Failed))
            .is_some()
    });
    assert!(attempts_count.is_some_and(|count| count <= 10));
    assert_eq!(health.access(WorkerKey(0)), Access::Ejected);
}

#[test]
fn work_that_fails_on_every_worker_ejects_none_and_is_detected() {
    let mut health = health();
    for round in 0..100 {
        for worker in 0..WORKERS_COUNT {
            health.observe(round, &attempt(worker, 7, round, Outcome::Failed));
            health.observe(round, &attempt(worker, 8, round, Outcome::Succeeded));
        }
    }
    assert_eq!(health.ejected_count(POOL), 0);
    assert!(health.has_failed_everywhere(WorkKey(7)));
    assert!(!health.has_failed_everywhere(WorkKey(8)));
}

#[test]
fn ejection_ends_in_probation_and_lasts_longer_after_a_failed_probation() {
    let mut health = health();
    let settings = HealthSettings::default();
    while health.access(WorkerKey(0)) != Access::Ejected {
        health.observe(0, &attempt(0, 1, 0, Outcome::Unreachable));
    }
    assert!(health.tick(settings.eject_first_ms - 1).is_empty());
    assert_eq!(
        health.tick(settings.eject_first_ms)[0].access,
        Access::Probation
    );
    health.observe(
        settings.eject_first_ms,
        &attempt(0, 1, 0, Outcome::Unreachable),
    );
    assert_eq!(health.access(WorkerKey(0)), Access::Ejected);
    assert!(health.tick(settings.eject_first_ms * 3 - 1).is_empty());
    assert_eq!(health.tick(settings.eject_first_ms * 3).len(), 1);
    for _ in 0..settings.probation_successes_count {
        health.observe(20_000, &attempt(0, 1, 20_000, Outcome::Succeeded));
    }
    assert_eq!(health.access(WorkerKey(0)), Access::Open);
}

#[test]
fn a_lost_connection_does_not_eject_its_worker() {
    let mut health = health();
    health.observe(1_000, &attempt(0, 1, 900, Outcome::Succeeded));
    for _ in 0..20 {
        health.observe(5_000, &attempt(0, 1, 500, Outcome::Silent));
    }
    assert_eq!(health.access(WorkerKey(0)), Access::Open);
    for _ in 0..20 {
        health.observe(9_000, &attempt(0, 1, 6_000, Outcome::Silent));
    }
    assert_eq!(health.access(WorkerKey(0)), Access::Ejected);
}

#[test]
fn accelerators_are_reserved_and_the_own_zone_is_preferred() {
    let mut placement = Placement::new(PlacementSettings::in_zone(ZoneKey(2)));
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    for worker in 0..30 {
        placement.set_worker(WorkerKey(worker), facts((worker % 3) as u16));
    }
    let size = Resources {
        accelerators_count: 1,
        ..Resources::default()
    };
    let mut chosen: HashMap<WorkerKey, u32> = HashMap::new();
    while let Some(worker) = placement.choose(0, POOL, &size, None, &mut rng) {
        placement.started(worker, &size);
        *chosen.entry(worker).or_insert(0) += 1;
        let count: u32 = chosen.values().sum();
        assert!(
            count > 5 || worker.0 % 3 == 2,
            "a worker of another zone was chosen while zone 2 had capacity"
        );
    }
    assert!(chosen.values().all(|count| *count <= 2));
}

#[test]
fn a_busy_worker_counts_as_full_until_its_report_decays() {
    let mut placement = Placement::new(PlacementSettings::in_zone(ZoneKey(0)));
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    placement.set_worker(WorkerKey(0), facts(0));
    let size = Resources::default();
    placement.refused_busy(1_000, WorkerKey(0));
    placement.tick(1_050);
    assert_eq!(placement.choose(1_050, POOL, &size, None, &mut rng), None);
    placement.tick(2_000);
    let chosen = placement.choose(2_000, POOL, &size, None, &mut rng);
    assert_eq!(chosen, Some(WorkerKey(0)));
}

/// A worker that fails everything looks idle, so that the least loaded worker is the one on which
/// the request has just failed.
#[test]
fn a_retry_goes_to_another_worker_than_the_one_on_which_the_request_failed() {
    let mut placement = Placement::new(PlacementSettings::in_zone(ZoneKey(0)));
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let size = Resources::default();
    let failed_on = WorkerKey(0);
    placement.set_worker(failed_on, facts(0));
    let alone = placement.choose(0, POOL, &size, Some(failed_on), &mut rng);
    assert_eq!(alone, Some(failed_on), "the only worker is not tried again");
    for worker in 1..12 {
        placement.set_worker(WorkerKey(worker), facts(0));
        for _ in 0..4 {
            placement.started(WorkerKey(worker), &size);
        }
        let chosen = placement.choose(0, POOL, &size, Some(failed_on), &mut rng);
        assert!(
            chosen.is_some_and(|chosen| chosen != failed_on),
            "{chosen:?}"
        );
    }
}
