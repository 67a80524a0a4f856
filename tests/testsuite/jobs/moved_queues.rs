//! Jobs whose queue is moved to another pool, or removed from the lists, after they were accepted.

use hawthornladder::jobs::{JobId, JobState, TaskName};

use super::simulation::{catalog, job, step, Simulation};

/// Puts lists in force in which the queue `maps` has this pool, or in which there is no such queue.
fn move_queue(simulation: &mut Simulation, pool: Option<&str>) {
    let mut catalog = catalog(&["maps", "other", "third"]);
    catalog.version = simulation.catalog.version + 1;
    match pool {
        Some(pool) => catalog.queues["maps"].pool = pool.into(),
        None => {
            catalog.queues.shift_remove("maps");
        }
    }
    simulation.catalog = catalog;
    simulation.engine.set_catalog(simulation.catalog.clone());
}

/// Runs a job of one task that has started in the last of these pools; then the queue moves on, the
/// worker of the task is cut off, and another leader takes over. The simulation checks that the task
/// does not run twice at a time.
fn fail_over_after_moves(pools: &[&str], last: Option<&str>) {
    let mut simulation = Simulation::open(&["maps", "other", "third"], 2);
    let id = simulation.submit("maps", job(vec![step(1, 1_000, 30_000)]));
    // The task waits for a worker until the queue has the pool in which it starts.
    for worker in simulation.workers.values_mut() {
        worker.refuses_as_late = worker.info.pool != pools[pools.len() - 1];
    }
    for pool in pools {
        move_queue(&mut simulation, Some(pool));
        simulation.advance(300);
    }
    let worker = simulation.runs_of(id)[0].0.clone();
    move_queue(&mut simulation, last);
    simulation.advance(100);
    for worker in simulation.workers.values_mut() {
        worker.refuses_as_late = false;
    }
    simulation.workers[&worker].is_disconnected = true;
    simulation.fail_over(2);
    simulation.advance(5_500);
    simulation.workers[&worker].is_disconnected = false;
    simulation.advance(200);
    assert!(simulation.runs_of(id).len() <= 1, "two runs at a time");
    simulation.advance_until(50_000, |simulation| {
        simulation.state(id) == Some(JobState::Complete)
    });
}

/// Guards against a new leader that starts a task beside its run because the queue has another pool
/// by now: it waited only for workers of the newest pool.
#[test]
fn a_new_leader_waits_for_the_workers_of_the_pool_that_a_queue_had() {
    fail_over_after_moves(&["maps"], Some("other"));
}

#[test]
fn a_new_leader_waits_for_the_workers_of_all_pools_that_a_queue_had() {
    fail_over_after_moves(&["maps", "other"], Some("third"));
    fail_over_after_moves(&["maps", "other"], Some("maps"));
    fail_over_after_moves(&["maps", "other"], None);
}

/// Returns the names of the tasks of the only step of a job.
fn task_names(id: JobId, count: u32) -> Vec<TaskName> {
    let name = |index| TaskName {
        job: id,
        round: 0,
        step: 0,
        index,
    };
    (0..count).map(name).collect()
}

/// Guards against a job that fails after one failed run because its queue is not in the lists at that
/// moment: the number of attempts was not kept with the job.
#[test]
fn a_job_keeps_its_number_of_attempts_while_its_queue_is_removed() {
    let mut simulation = Simulation::open(&["maps", "other", "third"], 2);
    let id = simulation.submit("maps", job(vec![step(2, 1_000, 500)]));
    let first = task_names(id, 1)[0];
    simulation.failing.insert(first);
    simulation.advance(200);
    move_queue(&mut simulation, None);
    simulation.advance(600);
    simulation.failing.clear();
    move_queue(&mut simulation, Some("maps"));
    simulation.advance_until(3_000, |simulation| {
        simulation.state(id) == Some(JobState::Complete)
    });
}

#[test]
fn a_new_leader_knows_the_number_of_attempts_of_a_job_whose_queue_is_removed() {
    let mut simulation = Simulation::open(&["maps", "other", "third"], 2);
    let id = simulation.submit("maps", job(vec![step(2, 1_000, 500)]));
    simulation.failing.extend(task_names(id, 1));
    simulation.advance(200);
    move_queue(&mut simulation, None);
    simulation.fail_over(2);
    simulation.advance_until(5_000, |simulation| {
        simulation.state(id) == Some(JobState::Failed)
    });
    // Three attempts of the failing task, and one of the other.
    assert_eq!(simulation.starts.len(), 4);
}

/// The records of earlier versions hold no terms.
#[test]
fn a_job_of_an_earlier_version_does_not_fail_while_its_attempts_are_unknown() {
    let mut simulation = Simulation::open(&["maps", "other", "third"], 2);
    let id = simulation.submit("maps", job(vec![step(2, 1_000, 500)]));
    simulation.failing.extend(task_names(id, 1));
    simulation.advance(200);
    simulation.drop_from_records("terms");
    move_queue(&mut simulation, None);
    simulation.fail_over(2);
    simulation.advance(400);
    assert_eq!(simulation.state(id), Some(JobState::Active));
    move_queue(&mut simulation, Some("maps"));
    simulation.advance_until(5_000, |simulation| {
        simulation.state(id) == Some(JobState::Failed)
    });
    assert_eq!(simulation.starts.len(), 4);
}
