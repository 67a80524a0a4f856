//! What the engine does on a calm day.

use hawthornladder::jobs::{CancelOutcome, JobSpec, JobState, Recurrence, Size, StepSpec};

use super::plant::{endless, job, size, step, Plant, UNIX_MS};

#[test]
fn steps_run_in_order_and_the_job_completes() {
    let mut plant = Plant::open(&["maps"], 2);
    let second = StepSpec {
        after: vec![0],
        ..step(4, 2_000, 300)
    };
    let id = plant.submit("maps", job(vec![step(6, 1_000, 500), second]));
    assert_eq!(plant.state(id), None, "not before it is on record");
    plant.advance_until(100, |plant| plant.accepted.contains(&id));
    plant.advance(100);
    assert_eq!(plant.state(id), Some(JobState::Active));
    plant.advance_until(1_500, |plant| plant.state(id) == Some(JobState::Complete));
    assert_eq!(plant.starts.len(), 10);
}

#[test]
fn a_task_that_fails_as_often_as_allowed_fails_its_job() {
    let mut plant = Plant::open(&["maps"], 1);
    let id = plant.submit("maps", job(vec![step(1, 1_000, 100)]));
    let name = hawthornladder::jobs::TaskName::parse(&format!("{id}.0.0.0")).expect("a name");
    plant.fails.insert(name);
    plant.advance_until(8_000, |plant| plant.state(id) == Some(JobState::Failed));
    assert_eq!(plant.starts.len(), 3);
}

#[test]
fn a_cancel_stops_what_runs() {
    let mut plant = Plant::open(&["maps"], 2);
    let id = plant.submit("maps", job(vec![endless(4, 1_000)]));
    plant.advance(300);
    assert_eq!(plant.runs_of(id).len(), 4);
    assert_eq!(plant.engine.cancel(id), CancelOutcome::Pending);
    plant.advance(400);
    assert_eq!(plant.runs_of(id).len(), 0);
    assert_eq!(plant.state(id), Some(JobState::Cancelled));
    assert_eq!(plant.engine.cancel(id), CancelOutcome::Ended);
}

#[test]
fn a_team_stays_within_its_limit() {
    let mut plant = Plant::open(&["maps"], 4);
    let mut catalog = plant.catalog.clone();
    catalog.version = 2;
    catalog.teams[0].limit = size(10_000, 0);
    plant.catalog = catalog.clone();
    plant.engine.set_catalog(catalog);
    let id = plant.submit("maps", job(vec![step(30, 1_000, 200)]));
    plant.advance_until(4_000, |plant| plant.state(id) == Some(JobState::Complete));
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut plant = Plant::open(&["maps"], 2);
    let filler = plant.submit("maps", job(vec![step(3, 16_000, 1_000)]));
    plant.advance(100);
    let gang = StepSpec {
        is_gang: true,
        ..step(3, 16_000, 300)
    };
    let id = plant.submit("maps", job(vec![gang]));
    plant.advance(500);
    assert_eq!(plant.runs_of(id).len(), 0, "there is room for one only");
    plant.advance_until(3_000, |plant| plant.state(id) == Some(JobState::Complete));
    assert_eq!(plant.state(filler), Some(JobState::Complete));
}

#[test]
fn a_step_is_spread_and_needs_its_label() {
    let mut plant = Plant::open(&["maps"], 3);
    let spread = StepSpec {
        per_worker_max: 1,
        label: Some("a".into()),
        ..step(3, 1_000, 400)
    };
    let id = plant.submit("maps", job(vec![spread]));
    plant.advance(200);
    let mut workers: Vec<_> = plant.runs_of(id).into_iter().map(|(id, _, _)| id).collect();
    workers.dedup();
    assert_eq!(workers.len(), 3);
    let nowhere = StepSpec {
        label: Some("b".into()),
        ..step(1, 1_000, 400)
    };
    let other = plant.submit("maps", job(vec![nowhere]));
    plant.advance(500);
    assert_eq!(plant.runs_of(other).len(), 0);
}

#[test]
fn occurrences_start_when_they_are_due() {
    let mut plant = Plant::open(&["maps"], 1);
    let spec = JobSpec {
        recurrence: Some(Recurrence {
            times: 2,
            first_unix_ms: UNIX_MS + plant.now_ms + 500,
            interval_ms: 1_000,
        }),
        ..job(vec![step(1, 1_000, 100)])
    };
    let begun_ms = plant.now_ms;
    let id = plant.submit("maps", spec);
    plant.advance_until(3_000, |plant| plant.state(id) == Some(JobState::Complete));
    let after_ms: Vec<u64> = plant
        .starts
        .iter()
        .map(|start| start.0 - begun_ms)
        .collect();
    assert!(after_ms[0] >= 500 && after_ms[0] < 600, "{after_ms:?}");
    assert!(after_ms[1] >= 1_500 && after_ms[1] < 1_600, "{after_ms:?}");
}

#[test]
fn filling_tasks_take_no_processor_room() {
    let mut plant = Plant::open(&["maps"], 1);
    let full = plant.submit("maps", job(vec![step(2, 16_000, 1_000)]));
    plant.advance(100);
    let filler = StepSpec {
        is_best_effort: true,
        size: Size {
            cpu_millis: 8_000,
            memory_mb: 100,
            gpu_count: 0,
        },
        ..endless(1, 8_000)
    };
    let id = plant.submit("maps", job(vec![filler]));
    plant.advance(200);
    assert_eq!(plant.runs_of(full).len(), 2);
    assert_eq!(plant.runs_of(id).len(), 1);
}

#[test]
fn filling_tasks_are_slowed_before_the_target_of_others_is_missed() {
    let mut plant = Plant::open(&["maps"], 1);
    let serving = StepSpec {
        tail_target_ms: 100,
        ..endless(1, 4_000)
    };
    let filler = StepSpec {
        is_best_effort: true,
        ..endless(1, 8_000)
    };
    plant.submit("maps", job(vec![serving, filler]));
    plant.advance(1_500);
    assert!(plant.paces.is_empty());
    let worker = plant.workers[0].sheet.id.clone();
    plant.tails_ms.insert(worker.clone(), 85);
    plant.advance(1_200);
    let slowed = plant.paces.last().expect("slowed").1;
    assert!(slowed < 100);
    plant.tails_ms.insert(worker, 20);
    plant.advance(8_000);
    assert_eq!(plant.paces.last().expect("let go").1, 100);
}
