//! Workers over HTTP behind the [`WorkerPort`]: a connection for each attempt, and only outcomes
//! that the answer proves.

use std::str::FromStr;
use std::sync::Arc;

use attohttpc::Method;
use serde::{Deserialize, Serialize};
use smol_str::{format_smolstr, SmolStr};

use crate::adapters::http_client::{
    percent_decode, percent_encode, HttpAnswer, HttpCall, HttpFailure,
};
use crate::adapters::log_http::{decode, require_ok, service_call, ServiceTimeouts, STATUS_OK};
use crate::adapters::worker_answer::{Loss, RawAnswer};
use crate::ports::{NotStarted, PortError, WorkerOutcome, WorkerPort, WorkerRequest, WorkerStatus};

/// Attempt that a request or an answer belongs to.
pub const X_ATTEMPT_ID: &str = "x-attempt-id";
/// Caller's id of the request.
pub const X_REQUEST_ID: &str = "x-request-id";
/// Team, or empty.
pub const X_TEAM: &str = "x-team";
/// Queue.
pub const X_QUEUE: &str = "x-queue";
/// Unix time in milliseconds after which the worker must refuse to start.
pub const X_START_BEFORE_MS: &str = "x-start-before-ms";
/// Lease of the task in milliseconds.
pub const X_LEASE_MS: &str = "x-lease-ms";
/// Declared size in thousandths of a core.
pub const X_CORES_MILLI: &str = "x-cores-milli";
/// Declared size in megabytes of memory.
pub const X_MEMORY_MB: &str = "x-memory-mb";
/// Declared size in accelerators.
pub const X_ACCELERATORS_COUNT: &str = "x-accelerators-count";
/// Incarnation that must answer (in a request, optional) or that does (in an answer).
pub const X_INCARNATION: &str = "x-incarnation";
/// Whether the task reported success.
pub const X_SUCCESS: &str = "x-success";
/// Length of the answer.
pub const X_ANSWER_BYTES: &str = "x-answer-bytes";
/// BLAKE3 digest of the answer in lower-case hexadecimal.
pub const X_ANSWER_BLAKE3: &str = "x-answer-blake3";
/// Proof that the attempt did not start and never will, with the reason.
pub const X_NOT_STARTED: &str = "x-not-started";
/// Why a task that started, or may have, gave no answer.
pub const X_LOSS: &str = "x-loss";

/// Answer to a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelAck {
    /// Whether the worker ran the attempt when the order came.
    pub was_running: bool,
}

/// Workers reached over HTTP.
#[derive(Clone, Copy, Debug, Default)]
pub struct HttpWorkers {
    timeouts: ServiceTimeouts,
}

impl HttpWorkers {
    /// Returns an adapter; `timeouts` hold for the connections of all calls, and for the whole of
    /// the calls that run nothing.
    pub fn open(timeouts: ServiceTimeouts) -> Self {
        Self { timeouts }
    }

    fn call(&self, address: &str, method: Method, path: String) -> Result<HttpAnswer, PortError> {
        let answer = service_call(address, self.timeouts, method, path).send()?;
        require_ok(answer)
    }
}

impl WorkerPort for HttpWorkers {
    fn run(
        &self,
        address: &str,
        request: &WorkerRequest,
        timeout_ms: u64,
        answer_max_bytes: u64,
    ) -> WorkerOutcome {
        let sent = HttpCall {
            headers: headers_of(request),
            body: Arc::clone(&request.body),
            timeout_ms,
            answer_max_bytes,
            length_header: Some(X_ANSWER_BYTES),
            ..service_call(address, self.timeouts, Method::POST, "/run".into())
        }
        .send();
        match sent {
            Ok(answer) => outcome_of(answer, &request.attempt_id, answer_max_bytes),
            Err(HttpFailure::NotSent(_)) => WorkerOutcome::NotStarted(NotStarted::Unreachable),
            Err(HttpFailure::Lost(loss)) => loss.outcome(),
        }
    }

    fn cancel(&self, address: &str, attempt_id: &str) -> Result<bool, PortError> {
        let path = format!("/cancel/{}", percent_encode(attempt_id));
        let ack: CancelAck = decode(&self.call(address, Method::POST, path)?)?;
        Ok(ack.was_running)
    }

    fn status(&self, address: &str) -> Result<WorkerStatus, PortError> {
        decode(&self.call(address, Method::GET, "/status".into())?)
    }

    fn drain(&self, address: &str, is_draining: bool) -> Result<(), PortError> {
        let path = format!("/drain?on={}", u8::from(is_draining));
        self.call(address, Method::POST, path).map(drop)
    }
}

fn headers_of(request: &WorkerRequest) -> Vec<(&'static str, SmolStr)> {
    let number = |value: u64| format_smolstr!("{value}");
    vec![
        (X_ATTEMPT_ID, request.attempt_id.clone()),
        (X_INCARNATION, request.incarnation.clone()),
        (X_REQUEST_ID, request.request_id.clone()),
        (X_TEAM, request.team.clone()),
        (X_QUEUE, request.queue.clone()),
        (X_START_BEFORE_MS, number(request.start_before_unix_ms)),
        (X_LEASE_MS, number(request.lease_ms)),
        (X_CORES_MILLI, number(request.size.cores_milli)),
        (X_MEMORY_MB, number(request.size.memory_mb)),
        (
            X_ACCELERATORS_COUNT,
            number(request.size.accelerators_count),
        ),
    ]
}

/// Returns what `answer` proves; a refusal proves something only if it names the attempt.
fn outcome_of(answer: HttpAnswer, attempt_id: &str, answer_max_bytes: u64) -> WorkerOutcome {
    let named = answer.header(X_ATTEMPT_ID).and_then(percent_decode);
    let not_started = answer
        .header(X_NOT_STARTED)
        .and_then(|reason| NotStarted::from_str(reason).ok());
    let loss = answer
        .header(X_LOSS)
        .and_then(|reason| Loss::from_str(reason).ok());
    match (answer.status, named) {
        (STATUS_OK, Some(named)) => raw_answer(answer, named).map_or_else(
            || Loss::Malformed.outcome(),
            |raw| raw.check(attempt_id, answer_max_bytes),
        ),
        (STATUS_OK, None) => Loss::Malformed.outcome(),
        (_, Some(named)) if named != attempt_id => Loss::Crossed.outcome(),
        (_, Some(_)) if not_started.is_some() => {
            not_started.map_or_else(|| Loss::Malformed.outcome(), WorkerOutcome::NotStarted)
        }
        (_, Some(_)) => loss.unwrap_or(Loss::WorkerFailed).outcome(),
        // Whose loss it is remains open, so it proves nothing.
        (_, None) => Loss::WorkerFailed.outcome(),
    }
}

fn raw_answer(answer: HttpAnswer, attempt_id: SmolStr) -> Option<RawAnswer> {
    Some(RawAnswer {
        attempt_id,
        is_success: answer.header(X_SUCCESS)?.parse().ok()?,
        declared_bytes: answer.header(X_ANSWER_BYTES)?.parse().ok()?,
        declared_blake3: answer.header(X_ANSWER_BLAKE3)?.into(),
        body: Arc::from(answer.body),
    })
}
