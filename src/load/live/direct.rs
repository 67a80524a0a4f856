//! The baseline: sends the scheduled requests directly to the workers, without entries.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http_body_util::Full;
use hyper::Request;
use smol_str::SmolStr;
use tokio::time::timeout;

use super::caller::InFlightRequest;
use super::client::{CallError, HttpPool, Reply};
use super::outcome::{End, Outcome};
use super::targets::CallerSettings;
use crate::adapters::workers_http::{
    X_ACCELERATORS_COUNT, X_ATTEMPT_ID, X_CORES_MILLI, X_INCARNATION, X_LEASE_MS, X_MEMORY_MB,
    X_NOT_STARTED, X_QUEUE, X_REQUEST_ID, X_START_BEFORE_MS, X_TEAM,
};
use crate::error::RunState;
use crate::fleet::InstanceRow;
use crate::stand_in::task::TaskAnswer;

/// Length of the tasks' leases beyond their run time, in milliseconds.
const LEASE_MARGIN_MS: u64 = 60_000;

struct Worker {
    row: InstanceRow,
    pool: HttpPool,
}

/// Callers that send requests to the workers in round-robin order.
pub(crate) struct DirectCallers {
    workers: Vec<Worker>,
    next: AtomicUsize,
    settings: CallerSettings,
}

impl DirectCallers {
    /// Returns callers of the workers in `rows`; rows without a valid address are left out.
    pub(crate) fn open(rows: &[InstanceRow], settings: CallerSettings) -> Self {
        let workers = rows.iter().filter_map(|row| {
            let address = row.address.parse().ok()?;
            Some(Worker {
                row: row.clone(),
                pool: HttpPool::open(address),
            })
        });
        Self {
            workers: workers.collect(),
            next: AtomicUsize::new(0),
            settings,
        }
    }

    /// Sends one request and waits for its end.
    pub(crate) async fn serve(&self, in_flight: InFlightRequest) -> Outcome {
        let call_number = self.next.fetch_add(1, Ordering::Relaxed);
        let index = call_number.checked_rem(self.workers.len()).unwrap_or(0);
        let Some(worker) = self.workers.get(index) else {
            return in_flight.outcome(lost("no_worker"), RunState::NotRun, true);
        };
        let Some(request) = request_for(&in_flight, &worker.row) else {
            return in_flight.outcome(lost("malformed_schedule"), RunState::NotRun, true);
        };
        let wait_max_ms = in_flight.scheduled.deadline_ms + self.settings.grace_ms;
        let call = worker.pool.call(request);
        match timeout(Duration::from_millis(wait_max_ms), call).await {
            Ok(Ok(reply)) => parse_reply(&in_flight, &reply),
            Ok(Err(CallError::NotConnected)) => {
                in_flight.outcome(lost("not_connected"), RunState::NotRun, true)
            }
            Ok(Err(CallError::Broken)) => {
                in_flight.outcome(lost("connection_broken"), RunState::OutcomeUnknown, true)
            }
            Err(_) => in_flight.outcome(lost("timed_out"), RunState::OutcomeUnknown, true),
        }
    }
}

fn request_for(
    in_flight: &InFlightRequest,
    row: &InstanceRow,
) -> Option<Request<Full<hyper::body::Bytes>>> {
    let scheduled = &in_flight.scheduled;
    let deadline_unix_ms = in_flight.sent_unix_us / 1_000 + scheduled.deadline_ms;
    Request::post("/run")
        .header("host", "worker")
        .header(X_ATTEMPT_ID, format!("direct-{}", in_flight.request_id))
        .header(X_INCARNATION, row.incarnation.as_str())
        .header(X_REQUEST_ID, in_flight.request_id.as_str())
        .header(X_TEAM, scheduled.team.as_deref().unwrap_or_default())
        .header(X_QUEUE, scheduled.queue.as_str())
        .header(X_START_BEFORE_MS, deadline_unix_ms)
        .header(X_LEASE_MS, scheduled.run_ms + LEASE_MARGIN_MS)
        .header(X_CORES_MILLI, scheduled.size.cores_milli)
        .header(X_MEMORY_MB, scheduled.size.memory_mb)
        .header(X_ACCELERATORS_COUNT, scheduled.size.accelerators_count)
        .body(Full::new(in_flight.body.clone()))
        .ok()
}

fn parse_reply(in_flight: &InFlightRequest, reply: &Reply) -> Outcome {
    match (reply.status, reply.header(X_NOT_STARTED)) {
        (200, _) => {
            let answer = TaskAnswer::decode(&reply.body);
            let is_own =
                answer.is_some_and(|row| row.is_for(&in_flight.request_id, &in_flight.body));
            in_flight.outcome(End::Done, RunState::Ran, is_own)
        }
        (_, Some(reason)) => {
            let kind = SmolStr::new(reason);
            in_flight.outcome(End::Failed { kind }, RunState::NotRun, true)
        }
        (_, None) => in_flight.outcome(lost("worker_failed"), RunState::OutcomeUnknown, true),
    }
}

fn lost(reason: &'static str) -> End {
    End::Lost {
        reason: SmolStr::new_static(reason),
    }
}
