//! Workers whose capacity shrinks and grows while they run, and which start whatever they are told.

use hawthornladder::jobs::{JobId, JobState, Team};
use smol_str::SmolStr;

use super::builders::CAPACITY_AGE_MAX_MS;
use super::simulation::{job, long_running, size, step, Simulation, UNIX_MS};

/// Time within which tasks start once a worker has the capacity, in milliseconds.
const START_MS: u64 = 300;
/// Time in which a crash is noticed and its tasks are started again, in milliseconds.
const CRASH_MS: u64 = 6_000;

/// Returns a simulation whose workers do not enforce their capacity.
fn open_unguarded(workers_count: usize) -> Simulation {
    let mut simulation = Simulation::open(&["maps"], workers_count);
    set_enforcement(&mut simulation, false);
    simulation.advance(4_000);
    simulation
}

fn set_enforcement(simulation: &mut Simulation, enforces_capacity: bool) {
    simulation.catalog.version += 1;
    simulation.catalog.pools["maps"].enforces_capacity = enforces_capacity;
    simulation.engine.set_catalog(simulation.catalog.clone());
}

/// Returns a simulation in which one worker has all the capacity of its pool.
fn open() -> (Simulation, SmolStr) {
    let mut simulation = open_unguarded(1);
    simulation.list_all();
    let id = simulation.workers[0].info.id.clone();
    (simulation, id)
}

fn runs_count(simulation: &Simulation, job: JobId) -> usize {
    simulation.runs_of(job).len()
}

/// Guards against starts that exceed a capacity below what is in use.
#[test]
fn no_start_exceeds_a_capacity_that_has_shrunk() {
    let (mut simulation, id) = open();
    let service = simulation.submit("maps", job(vec![long_running(8, 2_000)]));
    simulation.advance(START_MS);
    simulation.resize(&id, size(10_000, 128_000));
    simulation.list_all();
    let short = simulation.submit("maps", job(vec![step(4, 2_000, 500)]));
    simulation.advance(2_000);
    assert_eq!(runs_count(&simulation, service), 8);
    assert_eq!(simulation.state(short), Some(JobState::Queued));
}

/// Guards against tasks that wait although their worker has grown, as nothing else happens.
#[test]
fn tasks_start_when_the_capacity_grows_again() {
    let (mut simulation, id) = open();
    let full = simulation.workers[&id].info.capacity;
    simulation.resize(&id, size(1_000, 128_000));
    simulation.list_all();
    let service = simulation.submit("maps", job(vec![long_running(4, 2_000)]));
    simulation.advance(5_000);
    assert_eq!(runs_count(&simulation, service), 0);
    simulation.resize(&id, full);
    simulation.list_all();
    simulation.advance(START_MS);
    assert_eq!(runs_count(&simulation, service), 4);
}

/// Guards against starts by the capacity of the incarnation before.
#[test]
fn a_restarted_worker_gets_no_task_before_it_says_its_capacity() {
    let (mut simulation, id) = open();
    let service = simulation.submit("maps", job(vec![long_running(4, 6_000)]));
    simulation.advance(START_MS);
    let started_unix_ms = UNIX_MS + simulation.now_ms;
    simulation.workers[&id].restart(started_unix_ms);
    simulation.resize(&id, size(13_000, 128_000));
    simulation.advance(1_000);
    assert_eq!(runs_count(&simulation, service), 0);
    simulation.list_all();
    simulation.advance(START_MS);
    assert_eq!(runs_count(&simulation, service), 2);
}

/// Guards against a start that was decided by an earlier capacity and sent once the store was back.
#[test]
fn a_start_that_waits_for_its_record_is_checked_again() {
    let mut simulation = open_unguarded(3);
    let crashing = simulation.submit("maps", job(vec![step(1, 20_000, 500)]));
    let name = hawthornladder::jobs::TaskName {
        job: crashing,
        round: 0,
        step: 0,
        index: 0,
    };
    simulation.crashing.insert(name);
    simulation.advance_until(START_MS, |simulation| simulation.starts.len() == 1);
    simulation.is_store_unavailable = true;
    simulation.list_all();
    simulation.advance(CRASH_MS);
    simulation.list_all();
    simulation.advance(START_MS);
    let ids: Vec<SmolStr> = simulation.workers.keys().cloned().collect();
    for id in ids {
        simulation.resize(&id, size(4_000, 128_000));
    }
    simulation.list_all();
    simulation.is_store_unavailable = false;
    simulation.advance(CRASH_MS);
    assert_eq!(simulation.starts.len(), 1);
}

/// Guards against a team over its limit, where a new leader takes the capacity that a worker has now
/// for the most that may run there.
#[test]
fn a_new_leader_counts_what_ran_before_the_capacity_shrank() {
    let mut simulation = open_unguarded(2);
    simulation.catalog.version += 1;
    let limit = size(40_000, 0);
    let team = Team {
        name: "team".into(),
        weight: 0.0,
        limit,
    };
    simulation.catalog.teams.insert("team".into(), team);
    simulation.engine.set_catalog(simulation.catalog.clone());
    let service = simulation.submit("maps", job(vec![long_running(8, 4_000)]));
    simulation.advance(START_MS);
    let busy = simulation.runs_of(service)[0].0.clone();
    simulation.resize(&busy, size(4_000, 128_000));
    simulation.list_all();
    simulation.advance(START_MS);
    simulation.workers[&busy].is_disconnected = true;
    simulation.fail_over(2);
    simulation.submit("maps", job(vec![step(8, 4_000, 500)]));
    // The simulation checks the limit of the team at each step.
    simulation.advance(CRASH_MS);
}

/// Guards against starts by a list that has not been read for so long that a worker may have shrunk.
#[test]
fn no_task_starts_by_an_outdated_list_unless_workers_enforce_their_capacity() {
    for (enforces_capacity, expected_count) in [(false, 0), (true, 2)] {
        let (mut simulation, id) = open();
        set_enforcement(&mut simulation, enforces_capacity);
        let now_ms = simulation.now_ms;
        simulation.engine.workers_list_read(now_ms);
        simulation.advance(CAPACITY_AGE_MAX_MS + 100);
        let service = simulation.submit("maps", job(vec![long_running(2, 2_000)]));
        simulation.advance(START_MS);
        assert_eq!(runs_count(&simulation, service), expected_count);
        simulation.resize(&id, size(30_000, 128_000));
        simulation.list_all();
        let now_ms = simulation.now_ms;
        simulation.engine.workers_list_read(now_ms);
        simulation.advance(START_MS);
        assert_eq!(runs_count(&simulation, service), 2);
    }
}
