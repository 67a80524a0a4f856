//! Ends of runs that a worker has not listed yet, as it lists 500 at a time.

use hawthornladder::jobs::{JobId, JobState};

use super::simulation::{job, step, Simulation};

/// Submits jobs with 1,200 short tasks in all, whose ends one worker cannot list at a time.
fn submit_many_short_tasks(simulation: &mut Simulation) -> Vec<JobId> {
    let spec = || job(vec![step(40, 200, 300)]);
    (0..30).map(|_| simulation.submit("maps", spec())).collect()
}

/// Guards against tasks that are started again though they are done, because a worker lists 500 ends
/// at a time and the store accepts no records for so long that there are more.
#[test]
fn ends_beyond_those_that_a_worker_lists_are_not_taken_for_lost_runs() {
    let mut simulation = Simulation::open(&["maps"], 1);
    let ids = submit_many_short_tasks(&mut simulation);
    simulation.advance(50);
    simulation.is_store_unavailable = true;
    simulation.advance(5_000);
    simulation.is_store_unavailable = false;
    simulation.advance_until(10_000, |simulation| {
        let mut states = ids.iter().map(|id| simulation.state(*id));
        states.all(|state| state == Some(JobState::Complete))
    });
    assert_eq!(simulation.starts.len(), 1_200, "a task was started twice");
}

/// Guards against a new leader that starts tasks again whose ends their worker lists only after the
/// first 500.
#[test]
fn a_new_leader_waits_for_ends_beyond_those_that_a_worker_lists() {
    let mut simulation = Simulation::open(&["maps"], 2);
    let ids = submit_many_short_tasks(&mut simulation);
    simulation.advance(50);
    simulation.is_store_unavailable = true;
    simulation.advance(3_000);
    assert!(
        simulation
            .workers
            .values()
            .all(|worker| worker.ended.len() > 500),
        "the workers list all ends"
    );
    simulation.fail_over(2);
    // Longer than any run of the earlier leader can last.
    simulation.advance(12_000);
    simulation.is_store_unavailable = false;
    simulation.advance_until(10_000, |simulation| {
        let mut states = ids.iter().map(|id| simulation.state(*id));
        states.all(|state| state == Some(JobState::Complete))
    });
    assert_eq!(simulation.starts.len(), 1_200, "a task was started twice");
}

/// Guards against tasks that never end: a worker has more ends than it lists at a time, a start there has had
/// no answer, and its settlement and the acknowledgement of the ends wait for each other (issue 61).
#[test]
fn a_lost_start_holds_back_no_acknowledgement_of_ends_that_fill_the_list() {
    let mut simulation = Simulation::open(&["maps"], 1);
    let ids = submit_many_short_tasks(&mut simulation);
    simulation.advance(50);
    simulation.is_store_unavailable = true;
    simulation.advance_until(5_000, |simulation| simulation.workers[0].ended.len() > 600);
    // Starts that are neither answered nor carried out.
    simulation.workers[0].start_delay_ms = 400_000;
    simulation.advance(500);
    simulation.workers[0].start_delay_ms = 0;
    simulation.advance(1_000);
    simulation.is_store_unavailable = false;
    simulation.advance_until(40_000, |simulation| {
        let mut states = ids.iter().map(|id| simulation.state(*id));
        states.all(|state| state == Some(JobState::Complete))
    });
    assert_eq!(simulation.starts.len(), 1_200, "a task was started twice");
}
