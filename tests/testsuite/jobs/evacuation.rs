//! Evacuation of availability zones: nothing starts there, what runs there goes on, and instances of
//! other zones take over. The simulation checks at every start that its zone is not evacuated.

use hawthornladder::jobs::{InstanceOrder, JobId, JobState, Submission, SubmitOutcome};
use smol_str::SmolStr;

use super::simulation::{job, long_running, step, Simulation};

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Returns a simulation with four instances of pool `a` in each zone.
fn three_zones() -> Simulation {
    Simulation::open(&["a"], 12)
}

fn starts_in(simulation: &Simulation, zone: &str, from_ms: u64) -> usize {
    let starts = simulation.starts.iter();
    starts
        .filter(|(at_ms, worker, _)| {
            *at_ms >= from_ms && simulation.workers[worker].info.zone == *zone
        })
        .count()
}

/// Guards against cutting off runs: an evacuation only keeps new tasks away.
#[test]
fn runs_in_an_evacuated_zone_end_and_nothing_new_starts_there() {
    let mut simulation = three_zones();
    let busy = simulation.submit("a", job(vec![step(12, 30_000, 2_000)]));
    simulation.advance(200);
    simulation.evacuate(&["zone-b"]);
    assert_eq!(simulation.engine.evacuated_runs_count(), 4);
    let later = simulation.submit("a", job(vec![step(24, 15_000, 300)]));
    simulation.advance(8_000);
    assert!(simulation.stops.is_empty(), "no run is stopped");
    assert_eq!(simulation.engine.evacuated_runs_count(), 0);
    for id in [busy, later] {
        assert_eq!(simulation.state(id), Some(JobState::Complete));
    }
}

/// Guards against a new leader that starts tasks before it knows the evacuated zones, and against
/// restarting failed, copied or grouped tasks there.
#[test]
fn an_evacuation_outlives_a_change_of_leader() {
    let mut simulation = three_zones();
    simulation.evacuate(&["zone-a"]);
    let mut gang = step(4, 20_000, 500);
    gang.is_gang = true;
    let mut copied = step(4, 2_000, 500);
    copied.allows_copies = true;
    let id = simulation.submit("a", job(vec![gang, copied, long_running(6, 1_000)]));
    simulation.advance(300);
    simulation.fail_over(2);
    simulation.advance(15_000);
    assert!(simulation.runs_of(id).len() >= 6);
}

/// Guards against work that waits although another zone has room in standby.
#[test]
fn instances_of_other_zones_replace_those_of_an_evacuated_zone() {
    let mut simulation = three_zones();
    for number in 0..12 {
        simulation.add_instance(&SmolStr::from(format!("spare-{number}")), "standby");
    }
    simulation.list_all();
    simulation.evacuate(&["zone-a"]);
    for _ in 0..30 {
        simulation.submit("a", job(vec![step(10, 8_000, 800)]));
        simulation.advance(100);
    }
    let joined: Vec<&SmolStr> = simulation
        .orders
        .iter()
        .filter_map(|order| match order {
            InstanceOrder::Move { instance, pool } if pool == "a" => Some(instance),
            _ => None,
        })
        .collect();
    assert!(!joined.is_empty(), "no instance was brought in");
    for instance in joined {
        assert_ne!(simulation.instances[instance].zone, "zone-a");
    }
}

/// Guards against a state that only grows: the same request twice, two zones at once, and a request
/// that is taken back while the zone still has runs.
#[test]
fn a_zone_that_is_taken_back_gets_tasks_again() {
    let mut simulation = three_zones();
    simulation.submit("a", job(vec![step(12, 30_000, 3_000)]));
    simulation.advance(200);
    simulation.evacuate(&["zone-a", "zone-b"]);
    simulation.evacuate(&["zone-a", "zone-b"]);
    assert_eq!(simulation.engine.evacuated_zones_count(), 2);
    simulation.advance(500);
    simulation.evacuate(&["zone-b"]);
    let from_ms = simulation.now_ms;
    simulation.submit("a", job(vec![step(8, 30_000, 300)]));
    simulation.advance(5_000);
    assert!(starts_in(&simulation, "zone-a", from_ms) > 0);
    simulation.evacuate(&[]);
    assert_eq!(simulation.engine.evacuated_zones_count(), 0);
}

/// Guards against accepting work that cannot start anywhere, and against refusing it for a zone that
/// does not exist.
#[test]
fn jobs_are_refused_only_while_every_zone_is_evacuated() {
    let mut simulation = three_zones();
    let submission = |id| Submission {
        id: JobId(id),
        queue: "a".into(),
        team: "team".into(),
        spec: job(vec![step(1, 1_000, 100)]),
    };
    simulation.evacuate(&["unknown"]);
    assert!(!simulation.engine.are_all_zones_evacuated());
    simulation.evacuate(&ZONES);
    let outcome = simulation.engine.submit(submission(900));
    assert_eq!(outcome, SubmitOutcome::ZonesEvacuated);
    simulation.evacuate(&ZONES[1..]);
    let outcome = simulation.engine.submit(submission(900));
    assert_eq!(outcome, SubmitOutcome::Pending);
}

/// Guards against a rush of starts onto workers that are still slow after a return.
#[test]
fn cold_workers_are_used_last_and_at_the_rate_of_their_pool() {
    let mut simulation = three_zones();
    simulation.catalog.version = 2;
    simulation.catalog.pools["a"].cold_starts_per_s = 2.0;
    let catalog = simulation.catalog.clone();
    simulation.engine.set_catalog(catalog);
    for worker in simulation.workers.values_mut() {
        worker.info.cold_ms = u64::from(worker.info.zone == "zone-c") * 4_000;
    }
    simulation.list_all();
    simulation.submit("a", job(vec![step(8, 30_000, 500)]));
    simulation.advance(400);
    assert_eq!(
        starts_in(&simulation, "zone-c", 0),
        0,
        "the others have room"
    );
    let from_ms = simulation.now_ms;
    simulation.submit("a", job(vec![step(200, 4_000, 100)]));
    simulation.advance(1_000);
    let starts_count = starts_in(&simulation, "zone-c", from_ms);
    assert!((4..=12).contains(&starts_count), "{starts_count} starts");
}
