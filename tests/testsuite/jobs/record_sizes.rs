//! What is persisted stays within the records that the store accepts, however much there is of it.
//! The simulation checks the size of each record.

use hawthornladder::jobs::{
    InstanceOrder, JobState, Recurrence, SpecError, StepSpec, SubmitOutcome,
};
use smol_str::{format_smolstr, SmolStr};

use super::simulation::{job, step, Simulation, UNIX_MS};

/// Records of this size, in bytes, hold the progress of few tasks.
const SMALL_RECORD_BYTES: usize = 3_072;
/// Records of this size, in bytes, hold the names of 500 instances, but not of 600.
const WAVE_RECORD_BYTES: usize = 6_200;
/// A checkpoint that a record could not hold, in bytes.
const LARGE_CHECKPOINT_BYTES: usize = 300_000;

/// Returns a step of tasks so small that a worker runs thousands of them.
fn small_tasks(tasks_count: u32, estimate_ms: u64) -> StepSpec {
    step(tasks_count, 12, estimate_ms)
}

/// Returns the numbers of the parts of progress in the store.
fn parts_count(simulation: &Simulation) -> usize {
    let keys = simulation.stored.keys();
    keys.filter(|key| key.starts_with('q')).count()
}

/// Guards against a crash of one worker that stops all records for good: a job of many tasks there
/// outgrew one record, which the store rejected again and again, with all that waited behind it.
#[test]
fn a_crash_under_many_tasks_of_one_job_leaves_the_store_usable() {
    let mut simulation = Simulation::open(&["maps", "other"], 2);
    let others = simulation.submit("maps", job(vec![step(1, 1_000, 500)]));
    let large = simulation.submit("maps", job(vec![small_tasks(2_500, 8_000)]));
    simulation.advance(4_000);
    let worker = simulation.runs_of(large)[0].0.clone();
    simulation.crash(&worker);
    simulation.advance(1_000);
    simulation.list_instances();
    simulation.advance(1_000);
    assert!(parts_count(&simulation) > 0, "one record held it all");
    assert_eq!(simulation.state(others), Some(JobState::Complete));
    let later = simulation.submit("other", job(vec![step(1, 1_000, 200)]));
    simulation.advance(500);
    assert_eq!(simulation.state(later), Some(JobState::Complete));
    simulation.fail_over(2);
    simulation.advance_until(60_000, |simulation| {
        simulation.state(large) == Some(JobState::Complete)
    });
    simulation.advance(200);
    assert_eq!(parts_count(&simulation), 0, "outdated parts are left");
}

/// Guards against tasks that a new leader runs again because their part of the progress was left
/// out.
#[test]
fn progress_in_many_parts_survives_failovers() {
    let mut simulation = Simulation::open(&["maps"], 2);
    simulation.record_max_bytes = SMALL_RECORD_BYTES;
    simulation.fail_over(2);
    simulation.advance(500);
    let mut steps = vec![small_tasks(3_750, 400); 4];
    for number in 1..4 {
        steps[usize::from(number)].after = vec![number - 1];
    }
    let id = simulation.submit("maps", job(steps));
    let mut fence = 3;
    while simulation.state(id) != Some(JobState::Complete) {
        simulation.advance(1_700);
        simulation.fail_over(fence);
        fence += 1;
        assert!(fence < 40, "the job is not complete");
    }
    assert_eq!(simulation.starts.len(), 15_000, "a task was started twice");
}

/// Guards against a failed run that is forgotten, so that a task gets more attempts than its queue
/// allows.
#[test]
fn failed_runs_in_parts_of_progress_count_for_the_next_leader() {
    let mut simulation = Simulation::open(&["maps"], 2);
    simulation.record_max_bytes = SMALL_RECORD_BYTES;
    simulation.fail_over(2);
    simulation.advance(500);
    let id = simulation.submit("maps", job(vec![small_tasks(400, 300)]));
    for index in 0..400 {
        let name = hawthornladder::jobs::TaskName {
            job: id,
            round: 0,
            step: 0,
            index,
        };
        simulation.failing.insert(name);
    }
    simulation.advance(400);
    assert!(parts_count(&simulation) > 0, "one record held it all");
    simulation.fail_over(3);
    simulation.advance_until(10_000, |simulation| {
        simulation.state(id) == Some(JobState::Failed)
    });
    assert!(simulation.starts.len() <= 1_200, "a task got a fourth run");
}

#[test]
fn a_recurring_job_with_many_occurrences_stays_within_records() {
    let mut simulation = Simulation::open(&["maps"], 2);
    simulation.record_max_bytes = SMALL_RECORD_BYTES;
    simulation.fail_over(2);
    let recurring = hawthornladder::jobs::JobSpec {
        recurrence: Some(Recurrence {
            times: 500,
            first_unix_ms: UNIX_MS,
            interval_ms: 20,
        }),
        ..job(vec![small_tasks(5, 50)])
    };
    let id = simulation.submit("maps", recurring);
    simulation.advance(6_500);
    assert!(parts_count(&simulation) > 0, "one record held it all");
    simulation.fail_over(3);
    simulation.advance_until(30_000, |simulation| {
        simulation.state(id) == Some(JobState::Complete)
    });
    assert_eq!(simulation.starts.len(), 2_500, "a task was started twice");
}

/// Guards against a job that is accepted though its record can never be stored.
#[test]
fn a_job_that_no_record_holds_is_refused_at_once() {
    let mut simulation = Simulation::open(&["maps"], 1);
    let mut steps = vec![step(1, 1_000, 100); 200];
    for step in &mut steps {
        step.image = "i".repeat(2_000).into();
    }
    let id = simulation.next_id();
    let outcome = simulation.try_submit(id, "team", "maps", job(steps));
    assert_eq!(outcome, SubmitOutcome::Invalid(SpecError::RecordSize));
    let steps = vec![small_tasks(100_000, 100); 3];
    let outcome = simulation.try_submit(id, "team", "maps", job(steps));
    assert_eq!(outcome, SubmitOutcome::Invalid(SpecError::TasksCount));
}

/// Guards against a checkpoint of any length that a worker reports.
#[test]
fn a_checkpoint_that_no_record_holds_is_not_kept() {
    let mut simulation = Simulation::open(&["maps"], 1);
    simulation.checkpoint = "c".repeat(LARGE_CHECKPOINT_BYTES).into();
    let id = simulation.submit(
        "maps",
        job(vec![step(2, 1_000, 2_000), step(1, 1_000, 300)]),
    );
    let other = simulation.submit("maps", job(vec![step(1, 1_000, 300)]));
    simulation.advance(1_000);
    assert_eq!(simulation.state(other), Some(JobState::Complete));
    simulation.checkpoint = SmolStr::default();
    simulation.advance_until(3_000, |simulation| {
        simulation.state(id) == Some(JobState::Complete)
    });
}

/// Guards against instances that are maintained again, or a record that the store rejects, in a wave
/// of more instances than one record holds.
#[test]
fn a_wave_of_many_instances_survives_failovers() {
    let mut simulation = Simulation::open(&["maps"], 600);
    simulation.record_max_bytes = WAVE_RECORD_BYTES;
    let all: Vec<SmolStr> = (0..600)
        .map(|number| format_smolstr!("maps-{number}"))
        .collect();
    simulation.request_wave(7, &all, 100);
    for fence in 2..5 {
        simulation.advance(5_000);
        simulation.fail_over(fence);
        simulation.request_wave(7, &all, 100);
    }
    simulation.advance(40_000);
    let is_maintenance = |order: &&InstanceOrder| matches!(order, InstanceOrder::Maintain { .. });
    let orders_count = simulation.orders.iter().filter(is_maintenance).count();
    assert_eq!(orders_count, 600, "an instance was ordered twice, or never");
}
