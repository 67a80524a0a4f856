//! Where tasks may run: racks and tickets. And what the engine keeps in memory.

use std::collections::HashSet;

use hawthornladder::jobs::{JobState, StepSpec};
use smol_str::SmolStr;

use super::plant::{job, step, Plant};

/// Opens a plant of eight workers in two racks, the queue of which needs tickets for `eligible`.
fn open_with_tickets(eligible: &[usize]) -> Plant {
    let mut plant = Plant::open(&["maps"], 8);
    let mut catalog = plant.catalog.clone();
    catalog.version = 2;
    catalog.queues["maps"].needs_tickets = true;
    plant.catalog = catalog.clone();
    plant.engine.set_catalog(catalog);
    let ids: Vec<SmolStr> = plant.workers.keys().cloned().collect();
    plant.eligible = eligible.iter().map(|at| ids[*at].clone()).collect();
    plant
}

fn racks_of(plant: &Plant, ids: impl Iterator<Item = SmolStr>) -> HashSet<SmolStr> {
    ids.map(|id| plant.workers[&id].sheet.labels[1].clone())
        .collect()
}

#[test]
fn tasks_run_only_where_there_is_a_ticket_and_the_question_is_asked_once() {
    let mut plant = open_with_tickets(&[1, 6]);
    let id = plant.submit("maps", job(vec![step(6, 4_000, 400)]));
    plant.advance_until(2_500, |plant| plant.state(id) == Some(JobState::Complete));
    let used: HashSet<SmolStr> = plant.starts.iter().map(|start| start.1.clone()).collect();
    let eligible: HashSet<SmolStr> = plant.eligible.iter().cloned().collect();
    assert!(used.is_subset(&eligible), "{used:?}");
    assert_eq!(plant.questions.len(), 1);
}

#[test]
fn tickets_that_are_over_are_asked_for_again() {
    let mut plant = open_with_tickets(&[0]);
    // One at a time on the one worker: the tickets of the first question do not last to the end.
    let id = plant.submit("maps", job(vec![step(6, 30_000, 900)]));
    plant.advance_until(9_000, |plant| plant.state(id) == Some(JobState::Complete));
    assert!(plant.questions.len() >= 2);
}

#[test]
fn a_step_without_an_eligible_worker_waits_and_asks_seldom() {
    let mut plant = open_with_tickets(&[]);
    plant.submit("maps", job(vec![step(2, 4_000, 400)]));
    plant.advance(6_000);
    assert!(plant.starts.is_empty());
    assert!((2..=5).contains(&plant.questions.len()));
}

#[test]
fn tasks_run_in_the_rack_of_their_data_while_it_has_room() {
    let mut plant = Plant::open(&["maps"], 8);
    let near = StepSpec {
        near_rack: Some("r1-1".into()),
        ..step(8, 16_000, 500)
    };
    let id = plant.submit("maps", job(vec![near.clone()]));
    plant.advance(200);
    let runs = plant.runs_of(id);
    let racks = racks_of(&plant, runs.into_iter().map(|(id, _, _)| id));
    assert_eq!(racks, HashSet::from(["r1-1".into()]));
    // The rack is full: the next go elsewhere rather than wait.
    let other = plant.submit(
        "maps",
        job(vec![StepSpec {
            tasks_count: 2,
            ..near
        }]),
    );
    plant.advance(200);
    assert_eq!(plant.runs_of(other).len(), 2);
}

#[test]
fn many_jobs_that_want_one_rack_fill_it_and_then_the_others() {
    let mut plant = Plant::open(&["maps"], 8);
    let wanted = || StepSpec {
        near_rack: Some("r1-0".into()),
        ..step(4, 8_000, 600)
    };
    let ids: Vec<_> = (0..8)
        .map(|_| plant.submit("maps", job(vec![wanted()])))
        .collect();
    plant.advance(200);
    // 32 tasks of 8 cores fill the eight workers: nothing waits for the rack.
    let running: usize = ids.iter().map(|id| plant.runs_of(*id).len()).sum();
    assert_eq!(running, 32);
}

#[test]
fn a_gang_starts_in_one_rack_where_one_has_room() {
    let mut plant = Plant::open(&["maps"], 8);
    // Half of the first rack is taken.
    plant.submit("maps", job(vec![step(2, 32_000, 3_000)]));
    plant.advance(200);
    let gang = StepSpec {
        is_gang: true,
        in_one_rack: true,
        ..step(4, 32_000, 400)
    };
    let id = plant.submit("maps", job(vec![gang]));
    plant.advance(200);
    let runs = plant.runs_of(id);
    assert_eq!(runs.len(), 4);
    let racks = racks_of(&plant, runs.into_iter().map(|(id, _, _)| id));
    assert_eq!(racks.len(), 1, "{racks:?}");
}

#[test]
fn jobs_that_can_no_longer_be_asked_for_are_forgotten_and_their_places_used_again() {
    let mut plant = Plant::open(&["maps"], 2);
    for _ in 0..3 {
        let ids: Vec<_> = (0..20)
            .map(|_| plant.submit("maps", job(vec![step(1, 4_000, 100)])))
            .collect();
        plant.advance(3_000);
        assert!(ids
            .iter()
            .all(|id| plant.state(*id) == Some(JobState::Complete)));
        assert_eq!(plant.engine.jobs_in_memory_count(), 20);
        plant.advance(121_000);
        assert!(ids.iter().all(|id| plant.state(*id).is_none()));
        assert_eq!(plant.engine.jobs_in_memory_count(), 0);
    }
}
