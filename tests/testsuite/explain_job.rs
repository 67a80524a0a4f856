//! `hawthornladder explain job` run as a process, against a stand-in for a node.

use std::net::SocketAddr;
use std::process::{Command, Output};

use hawthornladder::jobs::{JobExplanation, JobStart, StartReason, WorkerState};
use hawthornladder::net::{self, Answer, IncomingRequest, ServerSettings};
use hawthornladder::node::{ExplainAnswer, ExplainCall, EXPLAIN_PATH};
use indexmap::IndexMap;

/// Runs the command against a node that gives `answer`, and checks the call that arrives there.
async fn run_against_node(address: SocketAddr, answer: ExplainAnswer) -> Output {
    let settings = ServerSettings {
        body_max_bytes: 65_536,
        connections_max_count: 4,
    };
    let answer = move |request: IncomingRequest| {
        let body = request.body.expect("the call has a body");
        let call: ExplainCall = serde_json::from_slice(&body).expect("the call can be read");
        let is_right = request.path == EXPLAIN_PATH
            && !call.is_forwarded
            && call.question.queue == "maps"
            && call.question.size.cpu_millis == 4_000
            && call.question.near_rack.as_deref() == Some("r1-2");
        std::future::ready(Answer {
            status: if is_right { 200 } else { 400 },
            body: serde_json::to_vec(&answer)
                .expect("it can be written")
                .into(),
            ..Answer::default()
        })
    };
    let _server = net::serve(address, settings, answer)
        .await
        .expect("it starts");
    tokio::task::spawn_blocking(move || explain(&address.to_string()))
        .await
        .expect("the command runs")
}

fn explain(node: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hawthornladder"))
        .args([
            "explain",
            "job",
            "--queue",
            "maps",
            "--team",
            "crews",
            "--cores-milli",
            "4000",
        ])
        .args(["--near-rack", "r1-2", "--node", node])
        .output()
        .expect("the program runs")
}

/// Runs the command against such a node on a free port; returns its exit code and output.
fn answered(answer: ExplainAnswer) -> (Option<i32>, String) {
    let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = free.local_addr().expect("an address");
    drop(free);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    let output = local.block_on(&runtime, run_against_node(address, answer));
    let text = String::from_utf8(output.stdout).expect("UTF-8");
    (output.status.code(), text)
}

/// Guards against a command that drops an argument, hides a refusal, or takes an absent node for one.
#[test]
fn explain_job_passes_on_its_arguments_and_reports_refusals() {
    let (code, text) = answered(ExplainAnswer::Refused("no_leader".into()));
    assert_eq!(text, "it would be refused: no_leader\n");
    assert_eq!(code, Some(1));
    assert_eq!(explain("127.0.0.1:1").status.code(), Some(4));
}

/// Guards against an output that leaves out why the job does not start at once.
#[test]
fn explain_job_reports_the_wait_for_a_rack() {
    let near_workers: IndexMap<_, _> = [(WorkerState::Full, 4)].into_iter().collect();
    let mut workers = near_workers.clone();
    workers.insert(WorkerState::Free, 4);
    let (code, text) = answered(ExplainAnswer::Explained(Box::new(JobExplanation {
        pool: "maps".into(),
        waiting_jobs_count: 3,
        jobs_ahead_count: 2,
        target_in_ms: 2_200,
        workers,
        near_workers,
        start: JobStart {
            reason: StartReason::WaitsForRack,
            first_in_ms: Some(510),
            last_in_ms: Some(510),
            is_lower_bound: false,
            worker: None,
            wait_max_ms: Some(1_200),
        },
    })));
    let expected = "pool maps: 2 of 3 waiting jobs go first; target in 2200 ms\n\
        workers: 4 full, 4 free\n\
        workers in the rack: 4 full\n\
        first start in 510 ms, last start in 510 ms: waits_for_rack\n\
        it waits for the rack for at most 1200 ms\n";
    assert_eq!((code, text.as_str()), (Some(1), expected));
}
