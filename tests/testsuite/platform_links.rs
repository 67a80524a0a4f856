//! The adapter to workers behind a faulty network, and with stand-ins as real processes: no attempt
//! that ran is reported as not started, and none runs twice.

use std::io::{self, Read, Write};
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use attohttpc::Method;
use hawthornladder::adapters::answer_body::read_body;
use hawthornladder::adapters::instances_http::HttpInstances;
use hawthornladder::adapters::log_http::{HttpLog, ServiceTimeouts};
use hawthornladder::adapters::workers_http::HttpWorkers;
use hawthornladder::ports::{
    InstancePort, LogPort, NotStarted, PortError, TaskStop, WorkerOutcome, WorkerPort,
    WorkerRequest,
};
use hawthornladder::stand_in::http::RunningServer;
use hawthornladder::stand_in::log::LogFaults;
use hawthornladder::stand_in::task::TaskAnswer;
use hawthornladder::stand_in::worker::MemoryWorker;
use hawthornladder::stand_in::worker_server::serve_worker;
use hawthornladder::stand_in::workers::worker_settings;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};

use crate::platform_instances::row;
use crate::platform_workers::attempt;
use crate::processes::{admin_call, StandIns};
use crate::proxy::{DirectionFaults, Proxy, ProxyFaults};

/// Timeout of calls that cannot succeed.
const FAILURE_TIMEOUT_MS: u64 = 300;
/// Timeout of calls that can succeed, also on a loaded machine.
const SUCCESS_TIMEOUT_MS: u64 = 10_000;
const ANSWER_MAX_BYTES: u64 = 100_000;

struct Setup {
    worker: Arc<MemoryWorker>,
    proxy: Proxy,
    _server: RunningServer,
}

impl Setup {
    fn new() -> Self {
        let worker = Arc::new(MemoryWorker::open(worker_settings(&row("w1", ""))));
        let server = serve_worker("127.0.0.1:0", Arc::clone(&worker)).expect("a port is free");
        let proxy = Proxy::spawn(&server.address().to_string());
        Self {
            worker,
            proxy,
            _server: server,
        }
    }

    fn run(&self, request: &WorkerRequest) -> WorkerOutcome {
        self.run_within(request, SUCCESS_TIMEOUT_MS)
    }

    fn run_within(&self, request: &WorkerRequest, timeout_ms: u64) -> WorkerOutcome {
        let address = self.proxy.address();
        HttpWorkers::default().run(&address, request, timeout_ms, ANSWER_MAX_BYTES)
    }

    fn runs_count(&self, request: &WorkerRequest) -> usize {
        let runs = self.worker.journal().runs;
        let of_request = runs
            .iter()
            .filter(|run| run.request_id == request.request_id);
        of_request.count()
    }
}

fn is_complete_answer(outcome: &WorkerOutcome, request: &WorkerRequest) -> bool {
    match outcome {
        WorkerOutcome::Ran { body, .. } => TaskAnswer::decode(body)
            .is_some_and(|answer| answer.is_for(&request.request_id, &request.body)),
        _ => false,
    }
}

#[test]
fn only_a_refused_connection_proves_that_a_worker_is_unreachable() {
    let setup = Setup::new();
    setup.proxy.set(ProxyFaults {
        is_refusing: true,
        ..ProxyFaults::default()
    });
    let refused = attempt("refused", b"");
    let unreachable = WorkerOutcome::NotStarted(NotStarted::Unreachable);
    assert_eq!(setup.run(&refused), unreachable);
    setup.proxy.set(ProxyFaults::default());
    let passed = attempt("passed", b"");
    assert!(is_complete_answer(&setup.run(&passed), &passed));
    assert_eq!(setup.runs_count(&refused), 0);
}

#[test]
fn a_fault_at_any_byte_leaves_an_unknown_outcome_or_a_complete_answer() {
    let setup = Setup::new();
    let faults_at: [fn(u64) -> DirectionFaults; 3] = [
        |byte| DirectionFaults {
            close_at_byte: Some(byte),
            ..DirectionFaults::default()
        },
        |byte| DirectionFaults {
            reset_at_byte: Some(byte),
            ..DirectionFaults::default()
        },
        |byte| DirectionFaults {
            stall_at_byte: Some(byte),
            ..DirectionFaults::default()
        },
    ];
    let mut complete_count = 0;
    for (kind, fault_at) in faults_at.into_iter().enumerate() {
        for byte in [0, 1, 17, 100, 300, 420, 470, 520, 600, 700, 1_000_000] {
            for is_to_client in [false, true] {
                let mut faults = ProxyFaults::default();
                match is_to_client {
                    true => faults.to_client = fault_at(byte),
                    false => faults.to_upstream = fault_at(byte),
                }
                setup.proxy.set(faults);
                let id = format!("kind-{kind}-byte-{byte}-{is_to_client}");
                let request = attempt(&id, br#"{"run_ms":1,"answer_bytes":600}"#);
                let timeout_ms = match () {
                    () if byte > ANSWER_MAX_BYTES => SUCCESS_TIMEOUT_MS,
                    () => FAILURE_TIMEOUT_MS,
                };
                let outcome = setup.run_within(&request, timeout_ms);
                let is_complete = is_complete_answer(&outcome, &request);
                let is_unknown = matches!(outcome, WorkerOutcome::Unknown(_));
                assert!(is_complete || is_unknown, "{id}: {outcome:?}");
                assert!(setup.runs_count(&request) <= 1, "{id}: ran twice");
                assert!(
                    !is_complete || setup.runs_count(&request) == 1,
                    "{id}: answered without a run"
                );
                complete_count += u32::from(is_complete);
            }
        }
    }
    // The last byte position is beyond each request and answer, so its 6 cases succeed.
    assert!(
        complete_count >= 6,
        "only {complete_count} complete answers"
    );
}

#[test]
fn a_request_that_the_network_repeats_runs_once() {
    let setup = Setup::new();
    setup.proxy.set(ProxyFaults {
        replay_after_ms: Some(50),
        ..ProxyFaults::default()
    });
    let ran = attempt("ran", b"");
    assert!(is_complete_answer(&setup.run(&ran), &ran));
    let mut refused = attempt("refused", b"");
    refused.size.accelerators_count = 2;
    let too_large = WorkerOutcome::NotStarted(NotStarted::TooLarge);
    assert_eq!(setup.run(&refused), too_large);
    thread::sleep(Duration::from_millis(300));
    assert_eq!(setup.proxy.replay_answers(), ["HTTP/1.1 409 Conflict"; 2]);
    assert_eq!((setup.runs_count(&ran), setup.runs_count(&refused)), (1, 0));
}

#[test]
fn a_stalled_connection_affects_only_its_own_request() {
    let setup = Setup::new();
    let address = setup.proxy.address();
    let stuck = thread::spawn(move || {
        let request = attempt("stuck", br#"{"run_ms":500}"#);
        HttpWorkers::default().run(&address, &request, 2_000, ANSWER_MAX_BYTES)
    });
    while setup.worker.status().running_count == 0 {
        thread::sleep(Duration::from_millis(1));
    }
    setup.proxy.stall_open();
    let next = attempt("next", b"");
    assert!(is_complete_answer(&setup.run(&next), &next));
    let outcome = stuck.join().expect("the thread does not panic");
    assert_eq!(outcome, WorkerOutcome::Unknown("timed_out".into()));
}

#[test]
fn a_request_with_a_truncated_body_never_starts() {
    let setup = Setup::new();
    setup.proxy.set(ProxyFaults {
        to_upstream: DirectionFaults {
            close_at_byte: Some(20_000),
            ..DirectionFaults::default()
        },
        ..ProxyFaults::default()
    });
    let request = attempt("cut", &[b'x'; 50_000]);
    let outcome = setup.run_within(&request, FAILURE_TIMEOUT_MS);
    assert!(matches!(outcome, WorkerOutcome::Unknown(_)), "{outcome:?}");
    // Waits, as the truncated request may still be in transit to the worker.
    thread::sleep(Duration::from_millis(200));
    assert_eq!(setup.runs_count(&request), 0);
}

/// A server that answers each connection with given bytes, whatever the request is.
struct FixedAnswerServer {
    address: String,
    answers: flume::Sender<Vec<u8>>,
}

impl FixedAnswerServer {
    fn spawn() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("it is bound").to_string();
        let (answers, next) = flume::bounded::<Vec<u8>>(1);
        thread::spawn(move || {
            for answer in next {
                let (mut stream, _) = listener.accept().expect("the adapter connects");
                drop(stream.read(&mut [0; 4_096]));
                drop(stream.write_all(&answer));
            }
        });
        Self { address, answers }
    }

    /// Returns the outcome of the attempt `mine` if the server answers with `answer`.
    fn outcome_of(&self, answer: Vec<u8>) -> WorkerOutcome {
        self.answers.send(answer).expect("the server runs");
        let request = attempt("mine", b"");
        HttpWorkers::default().run(
            &self.address,
            &request,
            SUCCESS_TIMEOUT_MS,
            ANSWER_MAX_BYTES,
        )
    }
}

#[test]
fn a_refusal_proves_something_only_if_it_names_the_attempt() {
    let server = FixedAnswerServer::spawn();
    let unknown = |reason: &str| WorkerOutcome::Unknown(reason.into());
    let busy = WorkerOutcome::NotStarted(NotStarted::Busy);
    let killed = WorkerOutcome::Stopped(TaskStop::Killed);
    for (headers, expected) in [
        ("x-attempt-id: mine\r\nx-not-started: busy", busy),
        (
            "x-attempt-id: yours\r\nx-not-started: busy",
            unknown("crossed"),
        ),
        ("x-not-started: busy", unknown("worker_failed")),
        (
            "x-attempt-id: mine\r\nx-not-started: bored",
            unknown("worker_failed"),
        ),
        ("x-attempt-id: mine\r\nx-loss: killed", killed),
        ("x-attempt-id: yours\r\nx-loss: killed", unknown("crossed")),
        ("x-loss: killed", unknown("worker_failed")),
        ("x-attempt-id: mine", unknown("worker_failed")),
    ] {
        let answer = format!("HTTP/1.1 429 X\r\n{headers}\r\ncontent-length: 0\r\n\r\n");
        assert_eq!(
            server.outcome_of(answer.into_bytes()),
            expected,
            "{headers}"
        );
    }
}

#[test]
fn invalid_answers_prove_nothing() {
    let server = FixedAnswerServer::spawn();
    let id = "x-attempt-id: mine\r\n";
    let status = prop::sample::select(vec!["200", "429", "503", "409", "500", "x"]);
    let header = prop::sample::select(vec![
        "x-success: true\r\n",
        "x-answer-bytes: 2\r\n",
        "x-answer-blake3: 00\r\n",
        "content-length: 2\r\n",
        "content-length: 99999999999\r\n",
        "transfer-encoding: chunked\r\n",
        "x-loss: killed\r\n",
        "no header\r\n",
    ]);
    let head = (status, prop::collection::vec(header, 0..6), any::<bool>());
    let answer = prop_oneof![
        prop::collection::vec(any::<u8>(), 0..200),
        (head, prop::collection::vec(any::<u8>(), 0..20)).prop_map(
            move |((status, headers, is_named), body)| {
                let named = if is_named { id } else { "" };
                let head = format!("HTTP/1.1 {status} X\r\n{named}{}\r\n", headers.concat());
                [head.as_bytes(), &body].concat()
            }
        ),
    ];
    let mut runner = TestRunner::new(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(23),
        failure_persistence: None,
        ..ProptestConfig::default()
    });
    let checked = runner.run(&answer, |answer| {
        // A loss that names the attempt is a valid answer: the worker killed the task.
        let text = String::from_utf8_lossy(&answer).into_owned();
        let is_named_loss = text.contains(id) && text.contains("x-loss: killed");
        let outcome = server.outcome_of(answer);
        let is_allowed = match &outcome {
            WorkerOutcome::Unknown(_) => true,
            WorkerOutcome::Stopped(TaskStop::Killed) => {
                is_named_loss && !text.starts_with("HTTP/1.1 200")
            }
            _ => false,
        };
        prop_assert!(is_allowed, "{outcome:?}");
        Ok(())
    });
    checked.expect("no invalid answer proves an outcome");
}

#[test]
fn killed_and_paused_processes_are_detected() {
    let mut platform = StandIns::spawn("examples/lahore/fleet.jsonc", &[]);
    let timeouts = ServiceTimeouts::default();
    let list = HttpInstances::open(&platform.instances_address, timeouts);
    let page = list.list(0, 0).expect("the instance list answers");
    assert_eq!(page.rows.len(), platform.worker_addresses.len());
    let log = HttpLog::open(&platform.log_address, timeouts);
    assert_eq!(log.append(&["one".to_owned()]), Ok(0));
    let lossy = LogFaults {
        answer_lost_count: 1,
        ..LogFaults::default()
    };
    admin_call(&platform.log_address, Method::POST, "/faults", &lossy);
    let lost = log.append(&["two".to_owned()]);
    assert!(matches!(lost, Err(PortError::AnswerLost(_))), "{lost:?}");

    let workers = HttpWorkers::default();
    let run = |id: &str, timeout_ms| {
        let request = WorkerRequest {
            incarnation: page.rows[0].incarnation.clone(),
            ..attempt(id, b"")
        };
        let outcome = workers.run(&page.rows[0].address, &request, timeout_ms, 1_000);
        (outcome, request)
    };
    let (outcome, request) = run("up", SUCCESS_TIMEOUT_MS);
    assert!(is_complete_answer(&outcome, &request), "{outcome:?}");
    assert_eq!(platform.runs().len(), 1);
    platform.workers.pause();
    let (outcome, _) = run("paused", FAILURE_TIMEOUT_MS);
    assert_eq!(outcome, WorkerOutcome::Unknown("timed_out".into()));
    platform.workers.resume();
    platform.workers.kill();
    let (outcome, _) = run("killed", SUCCESS_TIMEOUT_MS);
    let unreachable = WorkerOutcome::NotStarted(NotStarted::Unreachable);
    assert_eq!(outcome, unreachable);
    platform.log.terminate();
    assert!(matches!(log.read(0, 0), Err(PortError::NotSent(_))));
    platform.instances.kill();
    assert!(matches!(list.list(0, 0), Err(PortError::NotSent(_))));
}

/// The end of a stream, which reports every read after the first as a timeout.
struct EndOnce {
    is_reached: bool,
}

impl Read for EndOnce {
    fn read(&mut self, _: &mut [u8]) -> io::Result<usize> {
        match std::mem::replace(&mut self.is_reached, true) {
            true => Err(io::ErrorKind::TimedOut.into()),
            false => Ok(0),
        }
    }
}

/// An answer that ends early must not be reported as one that timed out.
#[test]
fn the_end_of_an_answer_is_read_once() {
    for kept_max_bytes in [2, 4, 5] {
        let answer = b"half".chain(EndOnce { is_reached: false });
        let body = read_body(answer, kept_max_bytes, 100).expect("the end is read once");
        assert_eq!(body.bytes.len() as u64, kept_max_bytes.min(4));
        assert_eq!(body.excess_bytes, 4 - kept_max_bytes.min(4));
    }
}
