//! The engine without any faults.

use hawthornladder::jobs::{CancelOutcome, JobSpec, JobState, Recurrence, Size, StepSpec};

use super::simulation::{job, long_running, size, step, Simulation, UNIX_MS};

#[test]
fn steps_run_in_order_and_the_job_completes() {
    let mut simulation = Simulation::open(&["maps"], 2);
    let second = StepSpec {
        after: vec![0],
        ..step(4, 2_000, 300)
    };
    let id = simulation.submit("maps", job(vec![step(6, 1_000, 500), second]));
    assert_eq!(
        simulation.state(id),
        None,
        "the job is shown before its record is persisted"
    );
    simulation.advance_until(100, |simulation| simulation.accepted.contains(&id));
    simulation.advance(100);
    assert_eq!(simulation.state(id), Some(JobState::Active));
    simulation.advance_until(1_500, |simulation| {
        simulation.state(id) == Some(JobState::Complete)
    });
    assert_eq!(simulation.starts.len(), 10);
}

#[test]
fn a_task_that_fails_as_often_as_allowed_fails_its_job() {
    let mut simulation = Simulation::open(&["maps"], 1);
    let id = simulation.submit("maps", job(vec![step(1, 1_000, 100)]));
    let name = hawthornladder::jobs::TaskName::parse(&format!("{id}.0.0.0")).expect("a name");
    simulation.failing.insert(name);
    simulation.advance_until(8_000, |simulation| {
        simulation.state(id) == Some(JobState::Failed)
    });
    assert_eq!(simulation.starts.len(), 3);
}

#[test]
fn a_cancel_stops_running_tasks() {
    let mut simulation = Simulation::open(&["maps"], 2);
    let id = simulation.submit("maps", job(vec![long_running(4, 1_000)]));
    simulation.advance(300);
    assert_eq!(simulation.runs_of(id).len(), 4);
    assert_eq!(simulation.engine.cancel(id), CancelOutcome::Pending);
    simulation.advance(400);
    assert_eq!(simulation.runs_of(id).len(), 0);
    assert_eq!(simulation.state(id), Some(JobState::Cancelled));
    assert_eq!(simulation.engine.cancel(id), CancelOutcome::Ended);
}

#[test]
fn a_team_stays_within_its_limit() {
    let mut simulation = Simulation::open(&["maps"], 4);
    let mut catalog = simulation.catalog.clone();
    catalog.version = 2;
    catalog.teams[0].limit = size(10_000, 0);
    simulation.catalog = catalog.clone();
    simulation.engine.set_catalog(catalog);
    let id = simulation.submit("maps", job(vec![step(30, 1_000, 200)]));
    simulation.advance_until(4_000, |simulation| {
        simulation.state(id) == Some(JobState::Complete)
    });
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut simulation = Simulation::open(&["maps"], 2);
    let earlier = simulation.submit("maps", job(vec![step(3, 16_000, 1_000)]));
    simulation.advance(100);
    let gang = StepSpec {
        is_gang: true,
        ..step(3, 16_000, 300)
    };
    let id = simulation.submit("maps", job(vec![gang]));
    simulation.advance(500);
    assert_eq!(
        simulation.runs_of(id).len(),
        0,
        "the gang started although only one member fits"
    );
    simulation.advance_until(3_000, |simulation| {
        simulation.state(id) == Some(JobState::Complete)
    });
    assert_eq!(simulation.state(earlier), Some(JobState::Complete));
}

#[test]
fn a_step_respects_its_limit_per_worker_and_its_label() {
    let mut simulation = Simulation::open(&["maps"], 3);
    let spread = StepSpec {
        per_worker_max: 1,
        label: Some("a".into()),
        ..step(3, 1_000, 400)
    };
    let id = simulation.submit("maps", job(vec![spread]));
    simulation.advance(200);
    let mut workers: Vec<_> = simulation
        .runs_of(id)
        .into_iter()
        .map(|(id, _, _)| id)
        .collect();
    workers.dedup();
    assert_eq!(workers.len(), 3);
    let nowhere = StepSpec {
        label: Some("b".into()),
        ..step(1, 1_000, 400)
    };
    let other = simulation.submit("maps", job(vec![nowhere]));
    simulation.advance(500);
    assert_eq!(simulation.runs_of(other).len(), 0);
}

#[test]
fn occurrences_start_when_they_are_due() {
    let mut simulation = Simulation::open(&["maps"], 1);
    let spec = JobSpec {
        recurrence: Some(Recurrence {
            times: 2,
            first_unix_ms: UNIX_MS + simulation.now_ms + 500,
            interval_ms: 1_000,
        }),
        ..job(vec![step(1, 1_000, 100)])
    };
    let started_ms = simulation.now_ms;
    let id = simulation.submit("maps", spec);
    simulation.advance_until(3_000, |simulation| {
        simulation.state(id) == Some(JobState::Complete)
    });
    let after_ms: Vec<u64> = simulation
        .starts
        .iter()
        .map(|start| start.0 - started_ms)
        .collect();
    assert!(after_ms[0] >= 500 && after_ms[0] < 600, "{after_ms:?}");
    assert!(after_ms[1] >= 1_500 && after_ms[1] < 1_600, "{after_ms:?}");
}

#[test]
fn best_effort_tasks_reserve_no_processor_time() {
    let mut simulation = Simulation::open(&["maps"], 1);
    let full = simulation.submit("maps", job(vec![step(2, 16_000, 1_000)]));
    simulation.advance(100);
    let best_effort = StepSpec {
        is_best_effort: true,
        size: Size {
            cpu_millis: 8_000,
            memory_mb: 100,
            gpu_count: 0,
        },
        ..long_running(1, 8_000)
    };
    let id = simulation.submit("maps", job(vec![best_effort]));
    simulation.advance(200);
    assert_eq!(simulation.runs_of(full).len(), 2);
    assert_eq!(simulation.runs_of(id).len(), 1);
}

#[test]
fn best_effort_tasks_are_slowed_before_others_miss_their_target() {
    let mut simulation = Simulation::open(&["maps"], 1);
    let serving = StepSpec {
        tail_target_ms: 100,
        ..long_running(1, 4_000)
    };
    let best_effort = StepSpec {
        is_best_effort: true,
        ..long_running(1, 8_000)
    };
    simulation.submit("maps", job(vec![serving, best_effort]));
    simulation.advance(1_500);
    assert!(simulation.paces.is_empty());
    let worker = simulation.workers[0].info.id.clone();
    simulation.tails_ms.insert(worker.clone(), 85);
    simulation.advance(1_200);
    let slowed = simulation
        .paces
        .last()
        .expect("the best-effort task is slowed")
        .1;
    assert!(slowed < 100);
    simulation.tails_ms.insert(worker, 20);
    simulation.advance(8_000);
    assert_eq!(
        simulation
            .paces
            .last()
            .expect("the best-effort task is sped up again")
            .1,
        100
    );
}

/// Guards against a cancel that is acknowledged although the next leader runs the job: its end was
/// not persisted yet.
#[test]
fn a_cancel_of_a_job_whose_end_is_not_persisted_waits_for_the_record() {
    let mut simulation = Simulation::open(&["maps"], 1);
    let id = simulation.submit("maps", job(vec![step(1, 1_000, 200)]));
    simulation.advance(100);
    simulation.is_store_unavailable = true;
    simulation.advance(1_000);
    assert_eq!(simulation.engine.cancel(id), CancelOutcome::Pending);
    simulation.is_store_unavailable = false;
    simulation.advance(200);
    assert_eq!(simulation.engine.cancel(id), CancelOutcome::Ended);
}
