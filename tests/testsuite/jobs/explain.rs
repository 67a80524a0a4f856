//! Explanations of where a job would start: each is held against what a job that is submitted next
//! does.

use hawthornladder::jobs::{JobQuestion, JobRefusal, StartReason, StepSpec, WorkerState};

use super::simulation::{job, long_running, size, step, Simulation};

const WHOLE: u64 = 32_000;

fn question(near_rack: Option<&str>) -> JobQuestion {
    JobQuestion {
        queue: "a".into(),
        team: "team".into(),
        size: size(WHOLE, 100),
        tasks_count: 1,
        estimate_ms: 1_000,
        near_rack: near_rack.map(Into::into),
    }
}

fn near(rack: &str, tasks_count: u32, estimate_ms: u64) -> StepSpec {
    StepSpec {
        near_rack: Some(rack.into()),
        ..step(tasks_count, WHOLE, estimate_ms)
    }
}

/// Guards against an explanation that promises another start than the job gets, and against one that
/// changes the state of the engine.
#[test]
fn a_job_starts_when_and_where_its_explanation_says() {
    for (near_rack, full_racks, reason) in [
        (None, 1, StartReason::FreeWorker),
        (Some("r1-1"), 1, StartReason::FreeWorker),
        (Some("r1-0"), 1, StartReason::WaitsForRack),
        (Some("r9-9"), 1, StartReason::NoRoomNear),
        (None, 2, StartReason::NoFreeWorker),
    ] {
        let mut simulation = Simulation::open_with_factor(&["a"], 8, 3_000);
        for rack in 0..full_racks {
            simulation.submit("a", job(vec![near(&format!("r1-{rack}"), 4, 600)]));
        }
        simulation.advance(100);
        let question = question(near_rack);
        let explained = simulation.engine.explain_job(&question).expect("accepted");
        assert_eq!(
            simulation.engine.explain_job(&question).as_ref(),
            Ok(&explained)
        );
        assert_eq!(
            simulation.engine.live_count(),
            full_racks,
            "it was submitted"
        );
        let start = explained.start;
        assert_eq!(start.reason, reason, "{near_rack:?}");
        assert_eq!(explained.workers[&WorkerState::Full], 4 * full_racks);
        let from_ms = simulation.now_ms;
        let spec = StepSpec {
            near_rack: question.near_rack,
            ..step(1, WHOLE, 1_000)
        };
        let id = simulation.submit("a", job(vec![spec]));
        simulation.advance(1_500);
        let mut starts = simulation.starts.iter().filter(|start| start.2.job == id);
        let (at_ms, worker, _) = starts.next().expect("it has started");
        let expected_ms = start.first_in_ms.expect("the start is known");
        let error_ms = (at_ms - from_ms).abs_diff(expected_ms);
        assert!(error_ms <= 50, "{near_rack:?}: off by {error_ms} ms");
        assert!(start.worker.is_none_or(|expected| expected == *worker));
    }
}

/// Guards against an explanation that leaves out why workers take no tasks, which jobs go first, or
/// that the job would be refused.
#[test]
fn an_explanation_names_obstacles_jobs_ahead_and_refusals() {
    let mut simulation = Simulation::open(&["a"], 8);
    simulation.submit("a", job(vec![long_running(9, WHOLE)]));
    simulation.advance(100);
    simulation.evacuate(&["zone-a"]);
    simulation.workers[7].is_disconnected = true;
    simulation.advance(1_000);
    let explained = simulation.engine.explain_job(&question(Some("r1-0")));
    let explained = explained.expect("accepted");
    assert_eq!(explained.workers[&WorkerState::Evacuated], 4);
    assert_eq!(explained.near_workers[&WorkerState::Evacuated], 4);
    assert_eq!(explained.workers[&WorkerState::Unresponsive], 1);
    assert_eq!(
        (explained.waiting_jobs_count, explained.jobs_ahead_count),
        (1, 1)
    );
    simulation.evacuate(&["zone-a", "zone-b", "zone-c"]);
    let mut refused = question(None);
    let mut refusal = |change: fn(&mut JobQuestion)| {
        change(&mut refused);
        simulation
            .engine
            .explain_job(&refused)
            .expect_err("refused")
    };
    assert_eq!(refusal(|_| ()), JobRefusal::ZonesEvacuated);
    assert_eq!(refusal(|job| job.tasks_count = 0), JobRefusal::BadCall);
    assert_eq!(refusal(|job| job.team = "none".into()), JobRefusal::BadKey);
    assert_eq!(
        refusal(|job| job.queue = "none".into()),
        JobRefusal::NoQueue
    );
}
