//! A worker over HTTP; `docs/platform.md` describes the protocol.

use std::io::{self, Cursor, Read};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rouille::{Request, Response, ResponseBody};

use crate::adapters::http_client::{percent_decode, percent_encode};
use crate::adapters::worker_answer::{Loss, RawAnswer};
use crate::adapters::workers_http::{
    CancelAck, X_ACCELERATORS_COUNT, X_ANSWER_BLAKE3, X_ANSWER_BYTES, X_ATTEMPT_ID, X_CORES_MILLI,
    X_INCARNATION, X_LEASE_MS, X_LOSS, X_MEMORY_MB, X_NOT_STARTED, X_QUEUE, X_REQUEST_ID,
    X_START_BEFORE_MS, X_SUCCESS, X_TEAM,
};
use crate::fleet::{InstanceRow, Resources};
use crate::ports::{NotStarted, WorkerRequest};
use crate::stand_in::http::{
    done, no_such_call, query_number, read_body, read_json, refused, response_or_refusal,
    RunningServer,
};
use crate::stand_in::worker::{Attempt, MemoryWorker};
use crate::stand_in::worker_state::{AnswerFault, Refusal};
use crate::stand_in::workers::{crossed_attempt_id, worker_settings};

/// Largest accepted body of a request.
pub const BODY_MAX_BYTES: u64 = 64 * 1_024 * 1_024;
/// Length at which an endless answer ends if the client has not closed the connection before.
const ENDLESS_BYTES: u64 = 16 * 1_024 * 1_024 * 1_024;
/// Longest time that an attempt's connection is held open beyond the lease of its task.
const HOLD_MAX_MS: u64 = 600_000;

/// Serves `worker` at `address`.
pub fn serve_worker(address: &str, worker: Arc<MemoryWorker>) -> io::Result<RunningServer> {
    RunningServer::bind(address, move |request| {
        response_or_refusal(answer(&worker, request))
    })
}

fn answer(worker: &MemoryWorker, request: &Request) -> Result<Response, Response> {
    let url = request.url();
    let hold_until = Instant::now() + Duration::from_millis(HOLD_MAX_MS);
    let is_administrative = url == "/faults" || url == "/journal";
    if !is_administrative && !worker.wait_while_frozen(hold_until) {
        return Err(Response::empty_404());
    }
    match (request.method(), url.as_str()) {
        ("POST", "/run") => run(worker, request),
        ("GET", "/status") => Ok(Response::json(&worker.status())),
        ("POST", "/drain") => {
            worker.set_draining(query_number(request, "on", 1)? != 0);
            Ok(done())
        }
        ("POST", "/boot") => {
            let row: InstanceRow = read_json(request)?;
            worker.begin_boot(worker_settings(&row));
            Ok(done())
        }
        ("POST", "/boot/end") => Ok(Response::json(&worker.end_boot())),
        ("GET", "/journal") => Ok(Response::json(&worker.journal())),
        ("GET", "/faults") => Ok(Response::json(&worker.faults())),
        ("POST", "/faults") => {
            worker.set_faults(read_json(request)?);
            Ok(done())
        }
        ("POST", path) => match path.strip_prefix("/cancel/") {
            Some(attempt_id) => Ok(Response::json(&CancelAck {
                was_running: worker.cancel(attempt_id),
            })),
            None => Err(no_such_call()),
        },
        _ => Err(no_such_call()),
    }
}

fn run(worker: &MemoryWorker, request: &Request) -> Result<Response, Response> {
    let worker_request = read_worker_request(request).ok_or_else(|| refused(400, "malformed"))?;
    let hold = Duration::from_millis(
        worker_request
            .lease_ms
            .saturating_add(HOLD_MAX_MS)
            .min(HOLD_MAX_MS * 2),
    );
    let deadline = Instant::now() + hold;
    let attempt = worker.run(&worker_request, deadline);
    let response = match attempt {
        Attempt::Answered(answer, AnswerFault::Silent) => {
            worker.wait_while_silent(&worker_request.attempt_id, deadline);
            answer_response(answer)
        }
        Attempt::Answered(answer, fault) => faulty_response(answer, fault),
        Attempt::Refused(Refusal::NotStarted(reason)) => not_started_response(reason),
        Attempt::Refused(Refusal::OutcomeUnknown(loss)) => loss_response(409, loss),
        Attempt::Stopped(loss) => loss_response(500, loss),
        Attempt::StillRunning => loss_response(500, Loss::WorkerFailed),
    };
    let incarnation = worker.status().incarnation;
    Ok(with_attempt_id(response, &worker_request.attempt_id)
        .with_unique_header(X_INCARNATION, percent_encode(&incarnation)))
}

/// Parses an attempt; `None` if a header is missing or malformed, or the body is incomplete, so
/// that an attempt whose sender was cut off never starts.
fn read_worker_request(request: &Request) -> Option<WorkerRequest> {
    let text = |name| request.header(name).and_then(percent_decode);
    let number = |name| request.header(name)?.parse::<u64>().ok();
    // Without a declared length, a truncated body could not be recognised.
    request.header("content-length")?;
    Some(WorkerRequest {
        attempt_id: text(X_ATTEMPT_ID).filter(|id| !id.is_empty())?,
        incarnation: text(X_INCARNATION)?,
        request_id: text(X_REQUEST_ID)?,
        team: text(X_TEAM)?,
        queue: text(X_QUEUE)?,
        start_before_unix_ms: number(X_START_BEFORE_MS)?,
        lease_ms: number(X_LEASE_MS)?,
        size: Resources {
            cores_milli: number(X_CORES_MILLI)?,
            memory_mb: number(X_MEMORY_MB)?,
            accelerators_count: number(X_ACCELERATORS_COUNT)?,
        },
        body: Arc::from(read_body(request, BODY_MAX_BYTES)?),
    })
}

fn not_started_response(reason: NotStarted) -> Response {
    let status = match reason {
        NotStarted::Busy => 429,
        _ => 503,
    };
    Response::text("not started\n")
        .with_status_code(status)
        .with_unique_header(X_NOT_STARTED, reason.to_string())
}

fn loss_response(status: u16, loss: Loss) -> Response {
    Response::text("no answer\n")
        .with_status_code(status)
        .with_unique_header(X_LOSS, loss.to_string())
}

/// Adds the attempt id to `response`, unless a fault has already set another one.
fn with_attempt_id(response: Response, attempt_id: &str) -> Response {
    let has_attempt_id = response
        .headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case(X_ATTEMPT_ID));
    match has_attempt_id {
        true => response,
        false => response.with_unique_header(X_ATTEMPT_ID, percent_encode(attempt_id)),
    }
}

fn answer_response(answer: RawAnswer) -> Response {
    Response::from_data("application/json", answer.body.to_vec())
        .with_unique_header(X_ATTEMPT_ID, percent_encode(&answer.attempt_id))
        .with_unique_header(X_SUCCESS, answer.is_success.to_string())
        .with_unique_header(X_ANSWER_BYTES, answer.declared_bytes.to_string())
        .with_unique_header(X_ANSWER_BLAKE3, answer.declared_blake3.to_string())
}

/// Returns the response with `answer`, altered by `fault`.
fn faulty_response(mut answer: RawAnswer, fault: AnswerFault) -> Response {
    let body = Arc::clone(&answer.body);
    let body_bytes = body.len();
    match fault {
        AnswerFault::None | AnswerFault::Silent => answer_response(answer),
        AnswerFault::Crossed => {
            answer.attempt_id = crossed_attempt_id(&answer.attempt_id);
            answer_response(answer)
        }
        AnswerFault::Truncated => {
            let half = Cursor::new(body[..body_bytes / 2].to_vec());
            with_body(answer_response(answer), half, Some(body_bytes))
        }
        AnswerFault::Doubled => {
            let doubled = [&*body, &*body].concat();
            with_body(
                answer_response(answer),
                Cursor::new(doubled),
                Some(2 * body_bytes),
            )
        }
        AnswerFault::Endless => {
            let endless = io::repeat(b'x').take(ENDLESS_BYTES);
            with_body(answer_response(answer), endless, None)
        }
    }
}

fn with_body(
    mut response: Response,
    body: impl Read + Send + 'static,
    declared_bytes: Option<usize>,
) -> Response {
    response.data = match declared_bytes {
        Some(bytes) => ResponseBody::from_reader_and_size(body, bytes),
        None => ResponseBody::from_reader(body),
    };
    response
}
