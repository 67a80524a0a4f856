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
    done, either, no_such_call, query_number, read_body, read_json, refused, RunningServer,
};
use crate::stand_in::worker::{Attempt, MemoryWorker};
use crate::stand_in::worker_state::{AnswerFault, Refusal};
use crate::stand_in::workers::{crossed_attempt_id, worker_settings};

/// Largest body of a request.
pub const BODY_MAX_BYTES: u64 = 64 * 1_024 * 1_024;
/// Bytes after which an endless answer ends after all, if no one closed the connection before.
const ENDLESS_BYTES: u64 = 16 * 1_024 * 1_024 * 1_024;
/// Longest time that an attempt's connection is held beyond the lease of its task.
const HOLD_MAX_MS: u64 = 600_000;

/// Serves `worker` at `address`.
pub fn serve_worker(address: &str, worker: Arc<MemoryWorker>) -> io::Result<RunningServer> {
    RunningServer::bind(address, move |request| either(answer(&worker, request)))
}

fn answer(worker: &MemoryWorker, request: &Request) -> Result<Response, Response> {
    let url = request.url();
    let hold_until = Instant::now() + Duration::from_millis(HOLD_MAX_MS);
    let is_administrative = url == "/faults" || url == "/journal";
    if !is_administrative && !worker.wait_for_thaw(hold_until) {
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
    let order = read_order(request).ok_or_else(|| refused(400, "malformed"))?;
    let hold = Duration::from_millis(
        order
            .lease_ms
            .saturating_add(HOLD_MAX_MS)
            .min(HOLD_MAX_MS * 2),
    );
    let deadline = Instant::now() + hold;
    let attempt = worker.run(&order, deadline);
    let response = match attempt {
        Attempt::Answered(answer, AnswerFault::Silent) => {
            worker.wait_for_sound(&order.attempt_id, deadline);
            sound(answer)
        }
        Attempt::Answered(answer, fault) => struck(answer, fault),
        Attempt::Refused(Refusal::NotStarted(reason)) => not_started(reason),
        Attempt::Refused(Refusal::Unproved(loss)) => lost(409, loss),
        Attempt::Stopped(loss) => lost(500, loss),
        Attempt::StillRunning => lost(500, Loss::WorkerFailed),
    };
    let incarnation = worker.status().incarnation;
    Ok(named(response, &order.attempt_id)
        .with_unique_header(X_INCARNATION, percent_encode(&incarnation)))
}

/// Reads an attempt; `None` if anything is missing or the body is not whole, so that the attempt
/// of a sender that was cut off never starts.
fn read_order(request: &Request) -> Option<WorkerRequest> {
    let text = |name| request.header(name).and_then(percent_decode);
    let number = |name| request.header(name)?.parse::<u64>().ok();
    // The length must be declared, else a cut could pass for the end.
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

fn not_started(reason: NotStarted) -> Response {
    let status = match reason {
        NotStarted::Busy => 429,
        _ => 503,
    };
    Response::text("not started\n")
        .with_status_code(status)
        .with_unique_header(X_NOT_STARTED, reason.to_string())
}

fn lost(status: u16, loss: Loss) -> Response {
    Response::text("no answer\n")
        .with_status_code(status)
        .with_unique_header(X_LOSS, loss.to_string())
}

/// Names the attempt that a response is for, unless a fault named another one.
fn named(response: Response, attempt_id: &str) -> Response {
    let is_named = response
        .headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case(X_ATTEMPT_ID));
    match is_named {
        true => response,
        false => response.with_unique_header(X_ATTEMPT_ID, percent_encode(attempt_id)),
    }
}

fn sound(answer: RawAnswer) -> Response {
    Response::from_data("application/json", answer.body.to_vec())
        .with_unique_header(X_ATTEMPT_ID, percent_encode(&answer.attempt_id))
        .with_unique_header(X_SUCCESS, answer.is_success.to_string())
        .with_unique_header(X_ANSWER_BYTES, answer.declared_bytes.to_string())
        .with_unique_header(X_ANSWER_BLAKE3, answer.declared_blake3.to_string())
}

/// Sends `answer` as `fault` makes it.
fn struck(mut answer: RawAnswer, fault: AnswerFault) -> Response {
    let body = Arc::clone(&answer.body);
    let whole_bytes = body.len();
    match fault {
        AnswerFault::None | AnswerFault::Silent => sound(answer),
        AnswerFault::Crossed => {
            answer.attempt_id = crossed_attempt_id(&answer.attempt_id);
            sound(answer)
        }
        AnswerFault::Truncated => {
            let half = Cursor::new(body[..whole_bytes / 2].to_vec());
            with_body(sound(answer), half, Some(whole_bytes))
        }
        AnswerFault::Doubled => {
            let twice = [&*body, &*body].concat();
            with_body(sound(answer), Cursor::new(twice), Some(2 * whole_bytes))
        }
        AnswerFault::Endless => {
            let endless = io::repeat(b'x').take(ENDLESS_BYTES);
            with_body(sound(answer), endless, None)
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
