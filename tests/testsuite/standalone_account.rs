//! The account of a run detects every kind of fault.

use hawthornladder::adapters::callers_client::ReceivedAnswer;
use hawthornladder::adapters::worker_answer::digest;
use hawthornladder::callers::CallerRequest;
use hawthornladder::error::{ErrorKind, RunState};
use hawthornladder::fleet::Resources;
use hawthornladder::stand_in::journal::{Ending, Run};
use hawthornladder::stand_in::task::TaskAnswer;
use hawthornladder::standalone::account::Account;
use hawthornladder::standalone::callers::Outcome;
use hawthornladder::standalone::plan::{CallPattern, ExampleRequest};

const BODY: &[u8] = b"{}";

fn run(request_id: &str, attempt_id: &str) -> Run {
    Run {
        request_id: request_id.into(),
        attempt_id: attempt_id.into(),
        team: "tramway".into(),
        queue: "tram-positions".into(),
        worker: "transit-01".into(),
        incarnation: "transit-01-boot-1".into(),
        size: Resources::default(),
        started_unix_us: 1,
        ended_unix_us: Some(2),
        ending: Some(Ending::Succeeded),
    }
}

fn done(request_id: &str, attempt_id: &str) -> ReceivedAnswer {
    let task = TaskAnswer {
        request_id: request_id.into(),
        attempt_id: attempt_id.into(),
        worker: "transit-01".into(),
        incarnation: "transit-01-boot-1".into(),
        body_blake3: digest(BODY),
        padding: String::new(),
    };
    ReceivedAnswer {
        status: 200,
        ran: Some(RunState::Ran),
        request_id: request_id.into(),
        attempt_id: attempt_id.into(),
        body: task.encode(0).to_vec(),
        ..ReceivedAnswer::default()
    }
}

fn refused(request_id: &str) -> ReceivedAnswer {
    ReceivedAnswer {
        status: 503,
        kind: Some(ErrorKind::QueueFull),
        ran: Some(RunState::NotRun),
        request_id: request_id.into(),
        ..ReceivedAnswer::default()
    }
}

fn outcome(pattern: CallPattern, answers: Vec<Result<ReceivedAnswer, &str>>) -> Outcome {
    let request = CallerRequest {
        request_id: "own".into(),
        key: None,
        queue: "tram-positions".into(),
        deadline_ms: 1_000,
        is_idempotent: false,
        size: Resources::default(),
        declared_run_ms: 0,
        is_for_later: false,
        body: BODY.into(),
    };
    Outcome {
        example: ExampleRequest {
            request,
            pattern,
            team: "tramway".into(),
            entry_index: 0,
            other_entry_index: 1,
        },
        answers: answers
            .into_iter()
            .map(|answer| answer.map_err(Into::into))
            .collect(),
    }
}

#[test]
fn a_consistent_run_is_fault_free() {
    let answered = outcome(CallPattern::Call, vec![Ok(done("own", "a1"))]);
    let account = Account::of(&[answered], &[run("own", "a1")]);
    assert!(account.is_fault_free(), "{account:?}");
    let denied = outcome(CallPattern::Call, vec![Ok(refused("own"))]);
    let account = Account::of(&[denied], &[]);
    assert!(
        account.is_fault_free() && account.refused_count == 1,
        "{account:?}"
    );
}

#[test]
fn every_kind_of_fault_is_detected() {
    let call = |answer| outcome(CallPattern::Call, vec![answer]);
    let mut failed_run = run("own", "a1");
    failed_run.ending = Some(Ending::Killed);
    let mut run_for_another_team = run("own", "a1");
    run_for_another_team.team = "university".into();
    let mut truncated = done("own", "a1");
    truncated.body.pop();
    let wrong_key = CallPattern::Faulty(ErrorKind::KeyUnknown);
    // Counts: lost, doubled, crossed, untrue.
    for (what, outcome, runs, expected) in [
        ("no answer", call(Err("cut")), vec![], [1, 0, 0, 0]),
        (
            "an answer without a run",
            call(Ok(done("own", "a1"))),
            vec![],
            [1, 0, 0, 0],
        ),
        (
            "an answer of a run that was killed",
            call(Ok(done("own", "a1"))),
            vec![failed_run],
            [1, 0, 0, 0],
        ),
        (
            "two runs",
            call(Ok(done("own", "a1"))),
            vec![run("own", "a1"), run("own", "a2")],
            [0, 1, 0, 0],
        ),
        (
            "an answer of another attempt",
            call(Ok(done("own", "a2"))),
            vec![run("own", "a1")],
            [1, 0, 0, 0],
        ),
        (
            "a truncated answer",
            call(Ok(truncated)),
            vec![run("own", "a1")],
            [1, 0, 1, 0],
        ),
        (
            "a refusal of another request",
            call(Ok(refused("other"))),
            vec![],
            [0, 0, 1, 0],
        ),
        (
            "a refusal as not run of a request that ran",
            call(Ok(refused("own"))),
            vec![run("own", "a1")],
            [0, 0, 0, 1],
        ),
        (
            "a run for another team",
            call(Ok(done("own", "a1"))),
            vec![run_for_another_team],
            [0, 0, 0, 1],
        ),
        (
            "a run under a wrong key",
            outcome(wrong_key, vec![Ok(done("own", "a1"))]),
            vec![run("own", "a1")],
            [0, 0, 0, 1],
        ),
        (
            "a run that no request caused",
            call(Ok(refused("own"))),
            vec![run("other", "a1")],
            [0, 0, 0, 1],
        ),
    ] {
        let account = Account::of(&[outcome], &runs);
        let counts = [
            account.lost_count,
            account.doubled_count,
            account.crossed_count,
            account.untrue_count,
        ];
        assert_eq!(counts, expected, "{what}: {:?}", account.faults);
        assert!(!account.is_fault_free(), "{what}");
    }
    let crossed = outcome(CallPattern::Call, vec![Ok(done("other", "a1"))]);
    let account = Account::of(&[crossed], &[run("own", "a1")]);
    assert_eq!(account.crossed_count, 1, "{account:?}");
}
