//! Tasks that crash the workers that start them, and tasks that are lost with those workers.

use hawthornladder::jobs::{JobId, JobState, StepSpec, TaskName};

use super::simulation::{job, long_running, step, Simulation};

/// Interval between lists of instances, in milliseconds.
const LIST_MS: u64 = 500;
/// Time after which the lists are known to show all workers of the simulation, in milliseconds.
const LISTED_MS: u64 = 4_000;
/// Most starts of a task that crashes its workers: the third start that follows the third crash
/// would be one too many.
const STARTS_MAX_COUNT: usize = 5;
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
