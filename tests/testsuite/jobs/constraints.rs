//! Constraints on where tasks may run, by rack and by ticket; and the release of memory.

use std::collections::HashSet;

use hawthornladder::jobs::{JobState, StepSpec};
use smol_str::SmolStr;

use super::simulation::{job, step, Simulation};

/// Starts a simulation of eight workers in two racks, whose queue needs tickets; `eligible` holds
/// the indexes of the workers that get one.
fn open_with_tickets(eligible: &[usize]) -> Simulation {
    let mut simulation = Simulation::open(&["maps"], 8);
    let mut catalog = simulation.catalog.clone();
    catalog.version = 2;
    catalog.queues["maps"].needs_tickets = true;
    simulation.catalog = catalog.clone();
    simulation.engine.set_catalog(catalog);
    let ids: Vec<SmolStr> = simulation.workers.keys().cloned().collect();
    simulation.eligible = eligible.iter().map(|at| ids[*at].clone()).collect();
    simulation
}

fn racks_of(simulation: &Simulation, ids: impl Iterator<Item = SmolStr>) -> HashSet<SmolStr> {
    ids.map(|id| simulation.workers[&id].info.labels[1].clone())
        .collect()
}

#[test]
fn tasks_run_only_with_a_ticket_and_tickets_are_requested_once() {
    let mut simulation = open_with_tickets(&[1, 6]);
    let id = simulation.submit("maps", job(vec![step(6, 4_000, 400)]));
    simulation.advance_until(2_500, |simulation| {
        simulation.state(id) == Some(JobState::Complete)
    });
    let used: HashSet<SmolStr> = simulation
        .starts
        .iter()
        .map(|start| start.1.clone())
        .collect();
    let eligible: HashSet<SmolStr> = simulation.eligible.iter().cloned().collect();
    assert!(used.is_subset(&eligible), "{used:?}");
    assert_eq!(simulation.ticket_requests.len(), 1);
}

#[test]
fn expired_tickets_are_requested_again() {
    let mut simulation = open_with_tickets(&[0]);
    // The tasks run one after the other on the only worker, for longer than the first tickets are
    // valid.
    let id = simulation.submit("maps", job(vec![step(6, 30_000, 900)]));
    simulation.advance_until(9_000, |simulation| {
        simulation.state(id) == Some(JobState::Complete)
    });
    assert!(simulation.ticket_requests.len() >= 2);
}

#[test]
fn a_step_without_an_eligible_worker_waits_and_sends_few_requests() {
    let mut simulation = open_with_tickets(&[]);
    simulation.submit("maps", job(vec![step(2, 4_000, 400)]));
    simulation.advance(6_000);
    assert!(simulation.starts.is_empty());
    assert!((2..=5).contains(&simulation.ticket_requests.len()));
}

#[test]
fn tasks_run_in_their_preferred_rack_while_it_has_capacity() {
    let mut simulation = Simulation::open(&["maps"], 8);
    let near = StepSpec {
        near_rack: Some("r1-1".into()),
        ..step(8, 16_000, 500)
    };
    let id = simulation.submit("maps", job(vec![near.clone()]));
    simulation.advance(200);
    let runs = simulation.runs_of(id);
    let racks = racks_of(&simulation, runs.into_iter().map(|(id, _, _)| id));
    assert_eq!(racks, HashSet::from(["r1-1".into()]));
    // The rack is full: further tasks run elsewhere instead of waiting.
    let other = simulation.submit(
        "maps",
        job(vec![StepSpec {
            tasks_count: 2,
            ..near
        }]),
    );
    simulation.advance(200);
    assert_eq!(simulation.runs_of(other).len(), 2);
}

#[test]
fn many_jobs_that_prefer_one_rack_fill_it_and_then_the_others() {
    let mut simulation = Simulation::open(&["maps"], 8);
    let wanted = || StepSpec {
        near_rack: Some("r1-0".into()),
        ..step(4, 8_000, 600)
    };
    let ids: Vec<_> = (0..8)
        .map(|_| simulation.submit("maps", job(vec![wanted()])))
        .collect();
    simulation.advance(200);
    // 32 tasks of 8 cores fill the eight workers, and no task waits for the rack.
    let running: usize = ids.iter().map(|id| simulation.runs_of(*id).len()).sum();
    assert_eq!(running, 32);
}

#[test]
fn a_gang_starts_in_one_rack_if_one_has_capacity() {
    let mut simulation = Simulation::open(&["maps"], 8);
    // Half of the first rack is in use.
    simulation.submit("maps", job(vec![step(2, 32_000, 3_000)]));
    simulation.advance(200);
    let gang = StepSpec {
        is_gang: true,
        in_one_rack: true,
        ..step(4, 32_000, 400)
    };
    let id = simulation.submit("maps", job(vec![gang]));
    simulation.advance(200);
    let runs = simulation.runs_of(id);
    assert_eq!(runs.len(), 4);
    let racks = racks_of(&simulation, runs.into_iter().map(|(id, _, _)| id));
    assert_eq!(racks.len(), 1, "{racks:?}");
}

#[test]
fn jobs_past_their_retention_time_are_dropped_and_their_keys_reused() {
    let mut simulation = Simulation::open(&["maps"], 2);
    for _ in 0..3 {
        let ids: Vec<_> = (0..20)
            .map(|_| simulation.submit("maps", job(vec![step(1, 4_000, 100)])))
            .collect();
        simulation.advance(3_000);
        assert!(ids
            .iter()
            .all(|id| simulation.state(*id) == Some(JobState::Complete)));
        assert_eq!(simulation.engine.jobs_in_memory_count(), 20);
        simulation.advance(121_000);
        assert!(ids.iter().all(|id| simulation.state(*id).is_none()));
        assert_eq!(simulation.engine.jobs_in_memory_count(), 0);
    }
}
