//! Stand-in workers and the adapter to them: what runs, what is refused, and that only a proof
//! makes an outcome known.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use hawthornladder::adapters::clock::SystemClock;
use hawthornladder::adapters::workers_http::HttpWorkers;
use hawthornladder::fleet::Resources;
use hawthornladder::ports::{
    Clock, NotStarted, TaskStop, WorkerOutcome, WorkerPort, WorkerRequest,
};
use hawthornladder::stand_in::http::RunningServer;
use hawthornladder::stand_in::journal::{run_counts_by_request, Ending};
use hawthornladder::stand_in::task::TaskAnswer;
use hawthornladder::stand_in::worker::MemoryWorker;
use hawthornladder::stand_in::worker_server::serve_worker;
use hawthornladder::stand_in::worker_state::{AnswerFault, WorkerFaults};
use hawthornladder::stand_in::workers::{worker_settings, MemoryWorkers};

use crate::platform_instances::row;

const ANSWER_MAX_BYTES: u64 = 1_000_000;
/// Body of a task that ends on its own only after the test.
const LONG_TASK: &[u8] = br#"{"run_ms":60000}"#;

/// Returns an attempt at the first boot of `w1`, with ten seconds to start and to run.
pub(crate) fn attempt(attempt_id: &str, body: &[u8]) -> WorkerRequest {
    WorkerRequest {
        attempt_id: attempt_id.into(),
        incarnation: "w1.1".into(),
        request_id: format!("request of {attempt_id}, 100% ünique").into(),
        team: "desk".into(),
        queue: "delay-maps".into(),
        start_before_unix_ms: SystemClock.unix_ms() + 10_000,
        lease_ms: 10_000,
        size: Resources {
            cores_milli: 1_000,
            memory_mb: 1_000,
            accelerators_count: 0,
        },
        body: Arc::from(body),
    }
}

/// A worker reached in memory or over HTTP.
struct Reached {
    worker: Arc<MemoryWorker>,
    port: Arc<dyn WorkerPort>,
    address: String,
    _server: Option<RunningServer>,
}

impl Reached {
    fn run(&self, request: &WorkerRequest) -> WorkerOutcome {
        self.run_within(request, 5_000)
    }

    fn run_within(&self, request: &WorkerRequest, timeout_ms: u64) -> WorkerOutcome {
        self.port
            .run(&self.address, request, timeout_ms, ANSWER_MAX_BYTES)
    }

    /// Starts a task on a thread and returns once the worker runs `count` tasks.
    fn start(&self, request: WorkerRequest, count: u32) -> thread::JoinHandle<WorkerOutcome> {
        let (port, address) = (Arc::clone(&self.port), self.address.clone());
        let thread = thread::spawn(move || port.run(&address, &request, 20_000, ANSWER_MAX_BYTES));
        let deadline = Instant::now() + Duration::from_secs(10);
        while self.worker.status().running_count < count {
            assert!(Instant::now() < deadline, "the task does not start");
            thread::sleep(Duration::from_millis(1));
        }
        thread
    }

    fn endings(&self) -> Vec<Option<Ending>> {
        let runs = self.worker.journal().runs;
        runs.iter().map(|run| run.ending).collect()
    }
}

fn both_ways() -> [Reached; 2] {
    let workers = MemoryWorkers::open(&[row("w1", "w1")]);
    let behind_http = Arc::new(MemoryWorker::open(worker_settings(&row("w1", ""))));
    let server = serve_worker("127.0.0.1:0", Arc::clone(&behind_http)).expect("a port is free");
    [
        Reached {
            worker: workers.at("w1").expect("the fleet has w1"),
            port: Arc::new(workers),
            address: "w1".to_owned(),
            _server: None,
        },
        Reached {
            worker: behind_http,
            port: Arc::new(HttpWorkers::default()),
            address: server.address().to_string(),
            _server: Some(server),
        },
    ]
}

fn unknown(reason: &str) -> WorkerOutcome {
    WorkerOutcome::Unknown(reason.into())
}

fn not_started(reason: NotStarted) -> WorkerOutcome {
    WorkerOutcome::NotStarted(reason)
}

#[test]
fn an_answer_proves_whose_it_is() {
    for reached in both_ways() {
        // The second answer is long enough to be sent in chunks without a declared length.
        for (number, answer_bytes) in [0, 100_000].into_iter().enumerate() {
            let body = format!(r#"{{"run_ms":1,"answer_bytes":{answer_bytes}}}"#);
            let request = attempt(&format!("attempt {number}/ü"), body.as_bytes());
            let outcome = reached.run(&request);
            let WorkerOutcome::Ran { is_success, body } = outcome else {
                panic!("{outcome:?}");
            };
            let answer = TaskAnswer::decode(&body).expect("the answer is whole");
            assert!(is_success && answer.is_for(&request.request_id, &request.body));
            assert_eq!(answer.attempt_id, request.attempt_id);
            assert!(body.len() as u64 >= answer_bytes);
        }
        let failing = attempt("failing", br#"{"is_failing":true}"#);
        let outcome = reached.run(&failing);
        assert!(matches!(
            outcome,
            WorkerOutcome::Ran {
                is_success: false,
                ..
            }
        ));
        let large = attempt("large", br#"{"answer_bytes":1000001}"#);
        assert_eq!(reached.run(&large), unknown("too_large"));
    }
}

#[test]
fn a_refusal_names_its_reason_and_holds_for_every_copy_of_the_attempt() {
    for reached in both_ways() {
        let late = WorkerRequest {
            start_before_unix_ms: SystemClock.unix_ms() - 1,
            ..attempt("late", b"")
        };
        assert_eq!(reached.run(&late), not_started(NotStarted::Late));
        let mut large = attempt("large", b"");
        large.size.accelerators_count = 2;
        assert_eq!(reached.run(&large), not_started(NotStarted::TooLarge));
        let other_boot = WorkerRequest {
            incarnation: "w1.0".into(),
            ..attempt("other-boot", b"")
        };
        let outcome = reached.run(&other_boot);
        assert_eq!(outcome, not_started(NotStarted::WrongIncarnation));

        let first = reached.start(attempt("first", LONG_TASK), 1);
        let second = reached.start(attempt("second", LONG_TASK), 2);
        let busy = attempt("busy", b"");
        assert_eq!(reached.run(&busy), not_started(NotStarted::Busy));
        for attempt_id in ["first", "second"] {
            assert_eq!(reached.port.cancel(&reached.address, attempt_id), Ok(true));
            assert_eq!(reached.port.cancel(&reached.address, attempt_id), Ok(false));
        }
        for stopped in [first, second] {
            assert_eq!(
                stopped.join().expect("no panic"),
                WorkerOutcome::Stopped(TaskStop::Cancelled)
            );
        }
        // There is room now, but the caller was told that this attempt does not start.
        assert_eq!(reached.run(&busy), unknown("duplicate_attempt"));

        assert_eq!(reached.port.drain(&reached.address, true), Ok(()));
        let draining = attempt("draining", b"");
        assert_eq!(reached.run(&draining), not_started(NotStarted::Draining));
        assert_eq!(reached.port.drain(&reached.address, false), Ok(()));
        let status = reached.port.status(&reached.address).expect("it is up");
        assert_eq!((status.is_draining, status.running_count), (false, 0));
        assert_eq!(reached.endings(), [Some(Ending::Cancelled); 2]);
    }
}

#[test]
fn room_is_counted_by_resources_as_well_as_by_slots() {
    for reached in both_ways() {
        let mut half = attempt("half", LONG_TASK);
        half.size.cores_milli = 2_500;
        let mut more = attempt("more", b"");
        more.size.cores_milli = 2_500;
        let running = reached.start(half, 1);
        assert_eq!(reached.run(&more), not_started(NotStarted::Busy));
        assert!(reached.worker.cancel("half"));
        drop(running.join());
    }
}

#[test]
fn a_lapsed_lease_stops_the_task() {
    for reached in both_ways() {
        let request = WorkerRequest {
            lease_ms: 50,
            ..attempt("short", LONG_TASK)
        };
        assert_eq!(
            reached.run(&request),
            WorkerOutcome::Stopped(TaskStop::LeaseLapsed)
        );
        assert_eq!(reached.endings(), [Some(Ending::LeaseLapsed)]);
    }
}

#[test]
fn answers_that_are_not_whole_or_not_ours_prove_nothing() {
    for reached in both_ways() {
        for (fault, reason) in [
            (AnswerFault::Crossed, "crossed"),
            (AnswerFault::Endless, "too_large"),
            (AnswerFault::Silent, "timed_out"),
            (AnswerFault::Doubled, "not_whole"),
            (AnswerFault::Truncated, "not_whole"),
        ] {
            reached.worker.set_faults(WorkerFaults {
                answer: fault,
                ..WorkerFaults::default()
            });
            for answer_bytes in [0, 100_000] {
                let body = format!(r#"{{"run_ms":0,"answer_bytes":{answer_bytes}}}"#);
                let request = attempt(&format!("{fault}-{answer_bytes}"), body.as_bytes());
                let outcome = reached.run_within(&request, 1_000);
                let WorkerOutcome::Unknown(given) = &outcome else {
                    panic!("{fault}: {outcome:?}");
                };
                // A short answer with a declared length ends before the check of the whole.
                let is_expected =
                    given == reason || (fault == AnswerFault::Truncated && given == "closed_early");
                assert!(is_expected, "{fault}: {given}");
            }
        }
        let runs = reached.worker.journal().runs;
        assert!(run_counts_by_request(&runs)
            .values()
            .all(|&count| count == 1));
        assert!(reached
            .endings()
            .iter()
            .all(|ending| *ending == Some(Ending::Succeeded)));
    }
}

#[test]
fn delays_and_failures_of_a_worker_do_what_they_say() {
    for reached in both_ways() {
        let set = |faults| reached.worker.set_faults(faults);
        set(WorkerFaults {
            is_failing_all: true,
            ..WorkerFaults::default()
        });
        let started = Instant::now();
        let outcome = reached.run(&attempt("failing", LONG_TASK));
        assert!(matches!(
            outcome,
            WorkerOutcome::Ran {
                is_success: false,
                ..
            }
        ));
        assert!(started.elapsed() < Duration::from_secs(5));
        set(WorkerFaults {
            answer_delay_ms: 5_000,
            ..WorkerFaults::default()
        });
        let late = reached.run_within(&attempt("late-answer", b""), 200);
        assert_eq!(late, unknown("timed_out"));
        set(WorkerFaults {
            start_delay_ms: 100,
            ..WorkerFaults::default()
        });
        let slow = WorkerRequest {
            start_before_unix_ms: SystemClock.unix_ms() + 50,
            ..attempt("slow", b"")
        };
        assert_eq!(reached.run(&slow), not_started(NotStarted::Late));
        set(WorkerFaults {
            run_time_permille: 10_000,
            ..WorkerFaults::default()
        });
        let started = Instant::now();
        reached.run(&attempt("ten-times", br#"{"run_ms":20}"#));
        assert!(started.elapsed() >= Duration::from_millis(200));
    }
}

#[test]
fn a_frozen_worker_answers_nothing_and_stops_lapsed_tasks_late() {
    for reached in both_ways() {
        let request = WorkerRequest {
            lease_ms: 1_000,
            ..attempt("frozen", LONG_TASK)
        };
        let running = reached.start(request, 1);
        reached.worker.set_faults(WorkerFaults {
            is_frozen: true,
            ..WorkerFaults::default()
        });
        let outcome = reached.run_within(&attempt("unheard", b""), 100);
        assert_eq!(outcome, unknown("timed_out"));
        thread::sleep(Duration::from_millis(1_100));
        assert_eq!(reached.endings()[0], None);
        reached.worker.set_faults(WorkerFaults::default());
        assert_eq!(
            running.join().expect("no panic"),
            WorkerOutcome::Stopped(TaskStop::LeaseLapsed)
        );
        let run = &reached.worker.journal().runs[0];
        let ran_us = run.ended_unix_us.expect("it ended") - run.started_unix_us;
        assert!(ran_us > 1_000_000, "{ran_us}");
    }
}

#[test]
fn only_a_part_of_the_answers_is_struck_if_so_asked() {
    let faults = WorkerFaults {
        answer: AnswerFault::Crossed,
        answer_permille: 250,
        ..WorkerFaults::default()
    };
    let struck = (0..4_000)
        .filter(|number| faults.answer_fault(&format!("attempt-{number}")) != AnswerFault::None)
        .count();
    assert!((900..1_100).contains(&struck), "{struck}");
}
