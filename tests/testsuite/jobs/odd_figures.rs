//! Figures that no worker has, in records that a leader of an earlier version left.

use hawthornladder::jobs::{
    Action, Engine, JobId, PollReply, Record, Size, Submission, WorkerRecord,
};

use super::builders::{catalog, job, settings_with_factor, step};

const UNIX_MS: u64 = 1_700_000_000_000;

fn recorded_worker(capacity: Size) -> Record {
    let record = WorkerRecord {
        address: "10.0.0.1:80".into(),
        pool: "pool".into(),
        zone: "a".into(),
        labels: Vec::new(),
        capacity,
    };
    Record::Worker("w1".into(), record)
}

/// Answers each poll of a step that begins at `now_ms`.
fn step_engine(engine: &mut Engine, now_ms: u64) {
    engine.advance(now_ms, UNIX_MS + now_ms);
    for action in engine.take_actions() {
        if let Action::Poll(order) = action {
            let reply = PollReply {
                has_more_ends: false,
                clock_ms: now_ms,
                started_unix_ms: UNIX_MS,
                ..PollReply::default()
            };
            engine.poll_answered(&order, reply, now_ms);
        }
    }
    if engine.take_records().is_some() {
        engine.records_persisted();
    }
}

/// Guards against a plan that overflows by the capacity of one worker.
#[test]
fn a_recorded_worker_with_an_impossible_capacity_does_not_stop_the_leader() {
    let capacity = Size {
        cpu_millis: u64::MAX,
        memory_mb: u64::MAX,
        gpu_count: u64::MAX,
    };
    let mut engine = Engine::open(
        settings_with_factor(2, 1_000),
        catalog(&["pool"]),
        0,
        UNIX_MS,
    );
    engine.restore(vec![recorded_worker(capacity)]);
    step_engine(&mut engine, 10);
    let submission = Submission {
        id: JobId(1),
        queue: "pool".into(),
        team: "team".into(),
        spec: job(vec![step(4, 1_000, 500)]),
    };
    engine.submit(submission);
    for now_ms in (20..3_000).step_by(20) {
        step_engine(&mut engine, now_ms);
    }
    assert!(engine.job_state(JobId(1)).is_some(), "the job is known");
}
