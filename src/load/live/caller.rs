//! Callers of the entries. A caller sends its request, retries after refusals that say when to
//! retry, goes to another entry after a lost call, polls the results of requests for later, and
//! cancels requests.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::{Method, Request};
use smol_str::{format_smolstr, SmolStr};
use tokio::time::{sleep, timeout};

use super::balancer::Balancer;
use super::client::{CallError, Reply};
use super::outcome::{End, Outcome};
use super::schedule::ScheduledRequest;
use super::targets::{CallerSettings, TeamKeys};
use crate::error::RunState;
use crate::stand_in::task::{TaskAnswer, TaskSpec};

/// Pause before a lost call is repeated at another entry.
const LOST_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Interval of the result polls of a request for later.
const RESULT_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Error kinds of a result poll that concern the entry and not the request. The poll is repeated.
const REPEAT_POLL_KINDS: [&str; 8] = [
    "entry_not_ready",
    "seat_lapsed",
    "configuration_stale",
    "draining",
    "log_unavailable",
    "too_many_connections",
    "queue_full",
    "unknown_job",
];

/// Shared state of all callers of a load test.
pub(crate) struct Callers {
    pub(crate) balancer: Arc<Balancer>,
    pub(crate) keys: TeamKeys,
    pub(crate) settings: CallerSettings,
}

/// One request in flight.
pub(crate) struct InFlightRequest {
    pub(crate) scheduled: ScheduledRequest,
    pub(crate) index: usize,
    pub(crate) request_id: SmolStr,
    pub(crate) due: Instant,
    pub(crate) sent_unix_us: u64,
    pub(crate) body: Bytes,
}

/// Result of the calls of a request, retries included.
struct CallChain {
    end: End,
    entry: SmolStr,
    ran: RunState,
    is_proved_not_run: bool,
    is_own_answer: bool,
    calls_count: u32,
    retried_after: Vec<SmolStr>,
}

/// Result of one call.
struct CallResult {
    end: End,
    entry: SmolStr,
    ran: RunState,
    is_own_answer: bool,
    retry_after: Option<Duration>,
}

impl InFlightRequest {
    /// Returns the state of a scheduled request; `started` is the start of the schedule.
    pub(crate) fn new(
        scheduled: &ScheduledRequest,
        index: usize,
        started: Instant,
        started_unix_us: u64,
    ) -> Self {
        Self {
            request_id: scheduled.request_id(started_unix_us / 1_000),
            due: started + Duration::from_micros(scheduled.at_us),
            sent_unix_us: started_unix_us + scheduled.at_us,
            body: task_body(scheduled),
            scheduled: scheduled.clone(),
            index,
        }
    }

    fn remaining(&self) -> Duration {
        Duration::from_millis(self.scheduled.deadline_ms).saturating_sub(self.due.elapsed())
    }

    /// Returns the outcome of the request, with the current time as its end.
    pub(crate) fn outcome(&self, end: End, ran: RunState, is_own_answer: bool) -> Outcome {
        Outcome {
            schedule_index: self.index,
            request_id: self.request_id.clone(),
            entry: SmolStr::default(),
            key: 0,
            sent_unix_us: self.sent_unix_us,
            latency_us: u64::try_from(self.due.elapsed().as_micros()).unwrap_or(u64::MAX),
            end,
            ran,
            is_proved_not_run: ran == RunState::NotRun,
            is_own_answer,
            calls_count: 1,
            is_cancelled: false,
            retried_after: Vec::new(),
        }
    }
}

/// Returns the description of the task, padded with spaces to the length of the body.
fn task_body(scheduled: &ScheduledRequest) -> Bytes {
    let spec = TaskSpec {
        run_ms: scheduled.run_ms,
        ..TaskSpec::default()
    };
    let mut body = serde_json::to_vec(&spec).unwrap_or_default();
    let body_len = usize::try_from(scheduled.body_bytes).unwrap_or(0);
    body.resize(body.len().max(body_len), b' ');
    body.into()
}

impl Callers {
    /// Sends one request and waits for its end.
    pub(crate) async fn serve(&self, in_flight: InFlightRequest) -> Outcome {
        let key = self.key_of(&in_flight);
        let cancel = self.cancel_after_delay(&in_flight, key.as_ref().map(|(_, key)| key));
        let calls = async {
            match in_flight.scheduled.twin_entry {
                None => (
                    self.call_with_retries(&in_flight, in_flight.scheduled.entry, &key)
                        .await,
                    None,
                ),
                Some(twin) => {
                    let first = self.call_with_retries(&in_flight, in_flight.scheduled.entry, &key);
                    let second = self.call_with_retries(&in_flight, twin, &key);
                    let (first, second) = tokio::join!(first, second);
                    (first, Some(second))
                }
            }
        };
        let ((first, second), is_cancelled) = match in_flight.scheduled.cancel_after_ms {
            None => (calls.await, false),
            Some(_) => (tokio::join!(calls, cancel).0, true),
        };
        let (chain, other) = match second {
            // A successful second twin determines the outcome of the request.
            Some(second) if second.end == End::Done => (second, Some(first)),
            second => (first, second),
        };
        Outcome {
            entry: chain.entry,
            key: key.as_ref().map_or(0, |(key_index, _)| *key_index),
            is_proved_not_run: chain.is_proved_not_run
                && other.as_ref().is_none_or(|other| other.is_proved_not_run),
            is_own_answer: chain.is_own_answer
                && other.as_ref().is_none_or(|other| other.is_own_answer),
            calls_count: chain.calls_count + other.map_or(0, |other| other.calls_count),
            is_cancelled,
            retried_after: chain.retried_after,
            ..in_flight.outcome(chain.end, chain.ran, true)
        }
    }

    /// Returns the key of the request and its index among the team's keys.
    fn key_of(&self, in_flight: &InFlightRequest) -> Option<(usize, SmolStr)> {
        let keys = self.keys.get(in_flight.scheduled.team.as_ref()?)?;
        let key_index = in_flight.index.checked_rem(keys.len())?;
        keys.get(key_index).map(|key| (key_index, key.clone()))
    }

    async fn call_with_retries(
        &self,
        in_flight: &InFlightRequest,
        entry: usize,
        key: &Option<(usize, SmolStr)>,
    ) -> CallChain {
        let key = key.as_ref().map(|(_, key)| key);
        let mut entry = entry;
        let mut chain = CallChain {
            end: End::Done,
            entry: SmolStr::default(),
            ran: RunState::NotRun,
            is_proved_not_run: true,
            is_own_answer: true,
            calls_count: 0,
            retried_after: Vec::new(),
        };
        loop {
            let result = self.call_once(in_flight, entry, key).await;
            chain.calls_count += 1;
            chain.is_proved_not_run &= result.ran == RunState::NotRun;
            chain.is_own_answer &= result.is_own_answer;
            let retry_delay = result.retry_after.filter(|_| self.settings.is_retrying);
            match retry_delay {
                Some(retry_delay) if retry_delay < in_flight.remaining() => {
                    chain.retried_after.push(result.end.name().into());
                    sleep(retry_delay).await;
                    entry += 1;
                }
                _ => {
                    chain.end = result.end;
                    chain.entry = result.entry;
                    chain.ran = result.ran;
                    return chain;
                }
            }
        }
    }

    async fn call_once(
        &self,
        in_flight: &InFlightRequest,
        entry: usize,
        key: Option<&SmolStr>,
    ) -> CallResult {
        let scheduled = &in_flight.scheduled;
        let path = match scheduled.is_for_later {
            true => format!("/v1/queues/{}/jobs", scheduled.queue),
            false => format!("/v1/queues/{}/call", scheduled.queue),
        };
        let deadline_ms = in_flight.remaining().as_millis().max(1);
        let request = request_builder(Method::POST, &path, key)
            .header("x-request-id", in_flight.request_id.as_str())
            .header(
                "x-idempotent",
                if scheduled.is_idempotent {
                    "true"
                } else {
                    "false"
                },
            )
            .header("x-deadline-ms", deadline_ms.to_string())
            .header("x-run-ms", scheduled.run_ms)
            .header("x-cores-milli", scheduled.size.cores_milli)
            .header("x-memory-mb", scheduled.size.memory_mb)
            .header("x-accelerators-count", scheduled.size.accelerators_count)
            .body(Full::new(in_flight.body.clone()));
        let Ok(request) = request else {
            return lost("malformed_schedule", RunState::NotRun);
        };
        match self.send(in_flight, entry, request).await {
            Ok(reply) if reply.status == 202 => self.poll_result(in_flight, entry, key).await,
            Ok(reply) => parse_reply(in_flight, &reply),
            Err(result) => result,
        }
    }

    async fn send(
        &self,
        in_flight: &InFlightRequest,
        entry: usize,
        request: Request<Full<Bytes>>,
    ) -> Result<Reply, CallResult> {
        let Some((_, backend)) = self.balancer.pick(entry) else {
            return Err(lost("no_entry", RunState::NotRun));
        };
        let wait_max = in_flight.remaining() + Duration::from_millis(self.settings.grace_ms);
        let unknown = RunState::OutcomeUnknown;
        tokio::select! {
            answer = timeout(wait_max, backend.pool.call(request)) => match answer {
                Ok(Ok(reply)) => Ok(reply),
                Ok(Err(CallError::NotConnected)) => Err(lost_retryable("not_connected", RunState::NotRun)),
                Ok(Err(CallError::Broken)) => Err(lost_retryable("connection_broken", unknown)),
                Err(_) => Err(lost("timed_out", unknown)),
            },
            () = backend.unresponsive.notified() => Err(lost_retryable("entry_silent", unknown)),
        }
    }

    /// Polls the result of a request for later until the request has ended.
    async fn poll_result(
        &self,
        in_flight: &InFlightRequest,
        entry: usize,
        key: Option<&SmolStr>,
    ) -> CallResult {
        let path = format!("/v1/jobs/{}", in_flight.request_id);
        let mut entry = entry;
        while !in_flight.remaining().is_zero() {
            sleep(RESULT_POLL_INTERVAL).await;
            entry += 1;
            let Ok(request) = request_builder(Method::GET, &path, key).body(Full::default()) else {
                break;
            };
            match self.send(in_flight, entry, request).await {
                Ok(reply) if reply.status == 202 => {}
                Ok(reply) if is_entry_error(&reply) => {}
                Ok(reply) => return parse_poll_reply(in_flight, &reply),
                Err(_) => {}
            }
        }
        lost("not_finished_by_deadline", RunState::OutcomeUnknown)
    }

    async fn cancel_after_delay(&self, in_flight: &InFlightRequest, key: Option<&SmolStr>) {
        let after = Duration::from_millis(in_flight.scheduled.cancel_after_ms.unwrap_or(0));
        sleep(after.saturating_sub(in_flight.due.elapsed())).await;
        let path = format!("/v1/requests/{}", in_flight.request_id);
        if let Ok(request) = request_builder(Method::DELETE, &path, key).body(Full::default()) {
            // A lost answer to a cancellation does not affect the outcome.
            drop(
                self.send(in_flight, in_flight.scheduled.entry + 1, request)
                    .await,
            );
        }
    }
}

fn request_builder(
    method: Method,
    path: &str,
    key: Option<&SmolStr>,
) -> hyper::http::request::Builder {
    let builder = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "entry");
    match key {
        Some(key) => builder.header("authorization", format!("Bearer {key}")),
        None => builder,
    }
}

fn parse_reply(in_flight: &InFlightRequest, reply: &Reply) -> CallResult {
    let ran = match reply.header("x-ran") {
        Some("not_run") => RunState::NotRun,
        Some("ran") => RunState::Ran,
        _ => RunState::OutcomeUnknown,
    };
    let entry = SmolStr::new(reply.header("x-entry").unwrap_or_default());
    if reply.status == 200 {
        let answer = TaskAnswer::decode(&reply.body);
        let is_own = answer.is_some_and(|row| row.is_for(&in_flight.request_id, &in_flight.body));
        return CallResult {
            end: End::Done,
            entry,
            ran,
            is_own_answer: is_own,
            retry_after: None,
        };
    }
    let kind = match reply.header("x-kind") {
        Some(kind) => SmolStr::new(kind),
        None => format_smolstr!("status_{}", reply.status),
    };
    let body: serde_json::Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    let retry_after = body["retry_after_ms"].as_u64();
    CallResult {
        end: End::Failed { kind },
        entry,
        ran,
        is_own_answer: true,
        retry_after: retry_after
            .filter(|_| ran == RunState::NotRun)
            .map(Duration::from_millis),
    }
}

/// Reads the answer of a result poll. A refusal of the key concerns only the poll, not the request.
fn parse_poll_reply(in_flight: &InFlightRequest, reply: &Reply) -> CallResult {
    let result = parse_reply(in_flight, reply);
    let is_key_refusal = result.end.name().starts_with("key_");
    CallResult {
        retry_after: None,
        ran: match is_key_refusal {
            true => RunState::OutcomeUnknown,
            false => result.ran,
        },
        ..result
    }
}

fn is_entry_error(reply: &Reply) -> bool {
    let kind = reply.header("x-kind").unwrap_or_default();
    REPEAT_POLL_KINDS.contains(&kind)
}

fn lost(reason: &'static str, ran: RunState) -> CallResult {
    CallResult {
        end: End::Lost {
            reason: SmolStr::new_static(reason),
        },
        entry: SmolStr::default(),
        ran,
        is_own_answer: true,
        retry_after: None,
    }
}

/// Returns the result of a lost call that may be retried at another entry.
fn lost_retryable(reason: &'static str, ran: RunState) -> CallResult {
    CallResult {
        retry_after: Some(LOST_RETRY_DELAY),
        ..lost(reason, ran)
    }
}
