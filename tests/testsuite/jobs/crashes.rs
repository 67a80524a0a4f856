//! Tasks that crash the workers that start them, and tasks that are lost with those workers.

use hawthornladder::jobs::{InstanceState, JobId, JobState, StepSpec, TaskName};
use smol_str::SmolStr;

use super::simulation::{job, long_running, step, Simulation};

/// Interval between lists of instances, in milliseconds.
const LIST_MS: u64 = 500;
/// Time after which the lists are known to show all workers of the simulation, in milliseconds.
const LISTED_MS: u64 = 4_000;
/// Most starts of a task that crashes its workers: the third start that follows the third crash
/// would be one too many.
const STARTS_MAX_COUNT: usize = 5;
/// Time by which a suspect without an end has to run again if it gets no worker of its own, in
/// milliseconds.
const ALONE_MAX_MS: u64 = 10_000;
/// Time within which a task that crashes its workers is given up, in milliseconds.
const GIVE_UP_MS: u64 = 20_000;

fn open(workers_count: usize) -> Simulation {
    let mut simulation = Simulation::open(&["maps"], workers_count);
    advance(&mut simulation, LISTED_MS);
    simulation
}

/// Advances the time, and lists workers and instances now and then.
fn advance(simulation: &mut Simulation, for_ms: u64) {
    for _ in 0..for_ms / LIST_MS {
        simulation.advance(LIST_MS);
        simulation.list_all();
    }
}

fn task(job: JobId, index: u32) -> TaskName {
    TaskName {
        job,
        round: 0,
        step: 0,
        index,
    }
}

/// Submits a job of small tasks, the first of which crashes its workers.
fn submit_crashing(simulation: &mut Simulation, spec: StepSpec) -> JobId {
    simulation.crashing.insert(task(simulation.next_id(), 0));
    simulation.submit("maps", job(vec![spec]))
}

fn starts_count(simulation: &Simulation, name: TaskName) -> usize {
    let starts = simulation.starts.iter();
    starts.filter(|(_, _, started)| *started == name).count()
}

fn assert_given_up(simulation: &Simulation, id: JobId) {
    assert_eq!(simulation.state(id), Some(JobState::Failed));
    let count = starts_count(simulation, task(id, 0));
    assert!(count <= STARTS_MAX_COUNT, "started {count} times");
}

/// Guards against a task that is started for ever although each worker that starts it crashes.
#[test]
fn a_task_that_crashes_its_workers_is_given_up_and_those_beside_it_are_done() {
    let mut simulation = open(8);
    let service = simulation.submit("maps", job(vec![long_running(6, 2_000)]));
    let short = (0..6).map(|_| simulation.submit("maps", job(vec![step(6, 3_000, 900)])));
    let beside: Vec<JobId> = short.collect();
    simulation.advance(300);
    let crashing = submit_crashing(&mut simulation, step(3, 2_000, 600));
    advance(&mut simulation, GIVE_UP_MS);
    assert_given_up(&simulation, crashing);
    for id in beside {
        assert_eq!(simulation.state(id), Some(JobState::Complete));
    }
    assert_eq!(simulation.runs_of(service).len(), 6);
}

/// Guards against crashes that are held against no task because a worker is known to be gone only
/// once no connection is made, and many workers have crashed at the same time.
#[test]
fn crashes_of_many_workers_count_from_their_last_answers() {
    let mut simulation = open(24);
    let spec = || step(1, 2_000, 600);
    let crashing: Vec<JobId> = (0..6)
        .map(|_| submit_crashing(&mut simulation, spec()))
        .collect();
    advance(&mut simulation, GIVE_UP_MS);
    for id in crashing {
        assert_eq!(simulation.state(id), Some(JobState::Failed));
        let count = starts_count(&simulation, task(id, 0));
        assert!(count <= 3, "started {count} times");
    }
}

/// Guards against a crash that a new leader does not hold against the task.
#[test]
fn crashes_count_through_changes_of_leader() {
    for delay_ms in [20, 300, 700, 1_300, 2_100] {
        let mut simulation = open(8);
        let crashing = submit_crashing(&mut simulation, step(1, 2_000, 600));
        for fence in 2..8 {
            simulation.advance(delay_ms);
            simulation.fail_over(fence);
            advance(&mut simulation, LIST_MS);
        }
        advance(&mut simulation, GIVE_UP_MS);
        assert_given_up(&simulation, crashing);
    }
}

/// Guards against a crash that nobody counts because the worker that crashed is gone when a leader
/// starts from the records alone.
#[test]
fn a_crash_counts_that_happens_without_a_leader() {
    let mut simulation = open(8);
    let crashing = submit_crashing(&mut simulation, step(1, 2_000, 600));
    let name = task(crashing, 0);
    // The third run is the first one alone. Its leader is lost before it notices the crash.
    simulation.advance_until(GIVE_UP_MS, |simulation| starts_count(simulation, name) == 2);
    simulation.fail_over_without_lists(2);
    advance(&mut simulation, GIVE_UP_MS);
    assert_given_up(&simulation, crashing);
    assert!(starts_count(&simulation, name) <= 4);
}

/// Guards against a gang that is started for ever, and against members that crash the workers of
/// other jobs.
#[test]
fn a_gang_with_a_task_that_crashes_its_worker_is_given_up() {
    let mut simulation = open(8);
    let gang = StepSpec {
        is_gang: true,
        ..step(3, 2_000, 600)
    };
    let beside = simulation.submit("maps", job(vec![step(20, 2_000, 900)]));
    simulation.advance(100);
    let crashing = submit_crashing(&mut simulation, gang);
    advance(&mut simulation, 2 * GIVE_UP_MS);
    assert_given_up(&simulation, crashing);
    assert_eq!(simulation.state(beside), Some(JobState::Complete));
}

/// Guards against copies of a task that crash a second worker each time.
#[test]
fn a_task_that_has_crashed_its_worker_gets_no_copy() {
    let mut simulation = open(8);
    let copied = StepSpec {
        allows_copies: true,
        ..step(3, 2_000, 100)
    };
    let crashing = submit_crashing(&mut simulation, copied);
    advance(&mut simulation, GIVE_UP_MS);
    assert_given_up(&simulation, crashing);
}

/// Guards against a suspect that waits for ever in a pool whose workers all have tasks without an
/// end.
#[test]
fn a_suspect_is_settled_although_no_worker_can_be_reserved() {
    let mut simulation = open(3);
    let service = simulation.submit("maps", job(vec![long_running(6, 2_000)]));
    simulation.advance(300);
    let crashing = submit_crashing(&mut simulation, step(1, 2_000, 600));
    advance(&mut simulation, 2 * GIVE_UP_MS);
    assert_given_up(&simulation, crashing);
    assert_eq!(simulation.runs_of(service).len(), 6);
    assert_eq!(simulation.state(service), Some(JobState::Active));
}

/// Guards against a task that is given up because workers crash by themselves while it runs.
#[test]
fn ordinary_crashes_give_up_no_job() {
    for at_once_count in [1, 2, 4] {
        let mut simulation = open(8);
        let service = simulation.submit("maps", job(vec![long_running(8, 2_000)]));
        let mut jobs = Vec::new();
        for round in 0..12 {
            jobs.push(simulation.submit("maps", job(vec![step(12, 3_000, 1_500)])));
            simulation.advance(400);
            let alive = simulation
                .workers
                .iter()
                .filter(|(_, worker)| !worker.is_dead);
            let alive: Vec<_> = alive.map(|(id, _)| id.clone()).collect();
            for number in 0..at_once_count {
                simulation.crash(&alive[(round * 3 + number) % alive.len()]);
            }
            advance(&mut simulation, 3_500);
        }
        advance(&mut simulation, GIVE_UP_MS);
        for id in jobs {
            assert_eq!(simulation.state(id), Some(JobState::Complete));
        }
        assert_eq!(simulation.runs_of(service).len(), 8);
    }
}

/// Guards against a job that is given up because its worker could not be reached.
#[test]
fn silent_workers_give_up_no_job() {
    let mut simulation = open(4);
    let id = simulation.submit("maps", job(vec![step(1, 2_000, 9_000)]));
    for _ in 0..3 {
        simulation.advance_until(GIVE_UP_MS, |simulation| !simulation.runs_of(id).is_empty());
        simulation.advance(300);
        let worker = simulation.runs_of(id)[0].0.clone();
        simulation.workers[&worker].is_disconnected = true;
        advance(&mut simulation, 7_000);
        simulation.workers[&worker].is_disconnected = false;
    }
    simulation.advance_until(GIVE_UP_MS, |simulation| {
        simulation.state(id) == Some(JobState::Complete)
    });
}

/// Guards against a suspect that is started before later leaders can learn of it, and against one
/// that is started after its job was cancelled.
#[test]
fn a_suspect_waits_for_its_record_and_a_cancelled_one_never_starts() {
    let mut simulation = open(8);
    let crashing = submit_crashing(&mut simulation, step(1, 2_000, 600));
    let name = task(crashing, 0);
    simulation.advance_until(GIVE_UP_MS, |simulation| starts_count(simulation, name) == 1);
    simulation.is_store_unavailable = true;
    advance(&mut simulation, 5_000);
    assert_eq!(starts_count(&simulation, name), 1);
    simulation.engine.cancel(crashing);
    simulation.is_store_unavailable = false;
    advance(&mut simulation, 5_000);
    assert_eq!(starts_count(&simulation, name), 1);
    assert_eq!(simulation.state(crashing), Some(JobState::Cancelled));
}

/// Loses a worker for good, with its instance.
fn lose(simulation: &mut Simulation, id: &SmolStr) {
    let worker = &mut simulation.workers[id];
    worker.crash();
    let instance = worker.info.instance.clone().expect("an instance");
    let row = &mut simulation.instances[&instance];
    row.worker = None;
    row.state = InstanceState::Down;
    simulation.unlist_dead_workers();
}

/// Guards against a task without an end that is never started again: it was lost with two workers, and
/// other suspects, which end, have the turn at the workers that can be reserved (review/7).
#[test]
fn a_suspect_without_an_end_does_not_wait_behind_others_for_ever() {
    let mut simulation = open(8);
    // Each worker keeps a task that outlasts the test.
    for _ in 0..8 {
        simulation.submit("maps", job(vec![step(1, 17_000, 120_000)]));
    }
    simulation.advance(1_000);
    simulation.submit("maps", job(vec![step(3, 4_000, 60_000)]));
    // Its turn comes after theirs.
    simulation.advance(100);
    let lasting = simulation.submit("maps", job(vec![long_running(1, 2_700)]));
    for _ in 0..2 {
        simulation.advance_until(GIVE_UP_MS, |simulation| {
            !simulation.runs_of(lasting).is_empty()
        });
        advance(&mut simulation, 1_500);
        let worker = simulation.runs_of(lasting)[0].0.clone();
        lose(&mut simulation, &worker);
        advance(&mut simulation, 1_000);
    }
    advance(&mut simulation, ALONE_MAX_MS);
    assert_eq!(simulation.runs_of(lasting).len(), 1);
}
