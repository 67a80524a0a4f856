//! Jobs that callers are shown as waiting: those of which no worker has begun a task.

use hawthornladder::jobs::{JobState, StepSpec};
use smol_str::SmolStr;

use super::simulation::{job, step, Simulation};

/// Number of jobs that wait.
const WAITING_COUNT: u64 = 5;
/// Time in which each waiting job has been ordered several times, in milliseconds.
const ORDERED_MS: u64 = 1_000;
/// Run time of tasks that do not end in a test, in milliseconds.
const RUN_MS: u64 = 20_000;

/// Opens a simulation in which the only worker refuses all starts, and submits jobs to it.
fn open_refusing(spec: &StepSpec) -> (Simulation, Vec<hawthornladder::jobs::JobId>) {
    let mut simulation = Simulation::open(&["maps"], 1);
    simulation.workers[0].refuses_as_late = true;
    let ids = (0..WAITING_COUNT).map(|_| simulation.submit("maps", job(vec![spec.clone()])));
    let ids = ids.collect();
    simulation.advance(ORDERED_MS);
    (simulation, ids)
}

fn pending_count(simulation: &Simulation) -> u64 {
    simulation.engine.pending_count(&SmolStr::new("maps"))
}

/// Guards against waiting jobs that are not counted as pending, and are shown as active, because a
/// worker has refused their starts (review/10).
#[test]
fn jobs_whose_starts_are_refused_are_pending() {
    let gang = StepSpec {
        is_gang: true,
        ..step(2, 1_000, RUN_MS)
    };
    for spec in [step(1, 500, RUN_MS), gang] {
        let (mut simulation, ids) = open_refusing(&spec);
        assert_eq!(pending_count(&simulation), WAITING_COUNT);
        for id in &ids {
            assert_eq!(simulation.state(*id), Some(JobState::Queued));
        }
        simulation.workers[0].refuses_as_late = false;
        simulation.advance(ORDERED_MS);
        assert_eq!(pending_count(&simulation), 0);
        for id in ids {
            assert_eq!(simulation.state(id), Some(JobState::Active));
        }
    }
}

/// Guards against jobs that a new leader shows as pending although it has found their runs, or as begun
/// although their starts are refused.
#[test]
fn a_new_leader_counts_the_jobs_of_which_it_finds_no_run() {
    let (mut simulation, _) = open_refusing(&step(1, 500, RUN_MS));
    simulation.workers[0].refuses_as_late = false;
    let begun = simulation.submit("maps", job(vec![step(1, 500, RUN_MS)]));
    simulation.advance(ORDERED_MS);
    simulation.workers[0].refuses_as_late = true;
    let spec = || job(vec![step(1, 500, RUN_MS)]);
    let waiting: Vec<_> = (0..WAITING_COUNT)
        .map(|_| simulation.submit("maps", spec()))
        .collect();
    simulation.advance(ORDERED_MS);
    simulation.fail_over(2);
    simulation.advance(ORDERED_MS);
    assert_eq!(simulation.state(begun), Some(JobState::Active));
    assert_eq!(pending_count(&simulation), WAITING_COUNT);
    for id in waiting {
        assert_eq!(simulation.state(id), Some(JobState::Queued));
    }
}

/// Guards against jobs that are shown as begun while nobody knows whether a worker has got their starts.
#[test]
fn jobs_whose_starts_get_no_answer_are_pending_until_a_worker_lists_them() {
    let mut simulation = Simulation::open(&["maps"], 1);
    simulation.workers[0].loses_answers = true;
    let id = simulation.submit("maps", job(vec![step(1, 500, RUN_MS)]));
    simulation.advance(ORDERED_MS);
    assert_eq!(simulation.runs_of(id).len(), 1);
    assert_eq!(pending_count(&simulation), 1);
    simulation.workers[0].loses_answers = false;
    simulation.advance(3 * ORDERED_MS);
    assert_eq!(pending_count(&simulation), 0);
    assert_eq!(simulation.state(id), Some(JobState::Active));
}
