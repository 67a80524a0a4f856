//! One caller of an entry: sends its request, obeys refusals that say when to come back, goes to
//! another entry when a call is lost, fetches what was accepted for later, and cancels.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::{Method, Request};
use smol_str::{format_smolstr, SmolStr};
use tokio::time::{sleep, timeout};

use super::balancer::Balancer;
use super::client::{CallLoss, Reply};
use super::outcome::{End, Outcome};
use super::schedule::Shot;
use super::targets::{CallerSettings, TeamKeys};
use crate::error::RunState;
use crate::stand_in::task::{TaskAnswer, TaskSpec};

/// Pause before a lost call is repeated elsewhere.
const LOST_PAUSE: Duration = Duration::from_millis(20);
/// Time between two fetches of work accepted for later.
const FETCH_PAUSE: Duration = Duration::from_millis(50);
/// Answers to a fetch that speak of the entry and not of the work.
const FETCH_AGAIN_KINDS: [&str; 8] = [
    "entry_not_ready",
    "seat_lapsed",
    "configuration_stale",
    "draining",
    "log_unavailable",
    "too_many_connections",
    "queue_full",
    "unknown_job",
];

/// What all callers of a run share.
pub(crate) struct Callers {
    pub(crate) balancer: Arc<Balancer>,
    pub(crate) keys: TeamKeys,
    pub(crate) settings: CallerSettings,
}

/// One request on its way.
pub(crate) struct Errand {
    pub(crate) shot: Shot,
    pub(crate) index: usize,
    pub(crate) request_id: SmolStr,
    pub(crate) due: Instant,
    pub(crate) sent_unix_us: u64,
    pub(crate) body: Bytes,
}

/// How one chain of calls ended.
struct Chase {
    end: End,
    entry: SmolStr,
    ran: RunState,
    is_proved_not_run: bool,
    is_own_answer: bool,
    calls_count: u32,
    retried_after: Vec<SmolStr>,
}

/// One answer, read.
struct Answered {
    end: End,
    entry: SmolStr,
    ran: RunState,
    is_own_answer: bool,
    retry_after: Option<Duration>,
}

impl Errand {
    /// Makes the errand of a shot; `started` is the start of the schedule.
    pub(crate) fn new(shot: &Shot, index: usize, started: Instant, started_unix_us: u64) -> Self {
        Self {
            request_id: shot.request_id(started_unix_us / 1_000),
            due: started + Duration::from_micros(shot.at_us),
            sent_unix_us: started_unix_us + shot.at_us,
            body: task_body(shot),
            shot: shot.clone(),
            index,
        }
    }

    fn left(&self) -> Duration {
        Duration::from_millis(self.shot.deadline_ms).saturating_sub(self.due.elapsed())
    }

    /// Returns the outcome with an end that came just now.
    pub(crate) fn outcome(&self, end: End, ran: RunState, is_own_answer: bool) -> Outcome {
        Outcome {
            shot: self.index,
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

/// Returns the order of the task, filled up with spaces to the length of the body.
fn task_body(shot: &Shot) -> Bytes {
    let order = TaskSpec {
        run_ms: shot.run_ms,
        ..TaskSpec::default()
    };
    let mut body = serde_json::to_vec(&order).unwrap_or_default();
    let wanted_len = usize::try_from(shot.body_bytes).unwrap_or(0);
    body.resize(body.len().max(wanted_len), b' ');
    body.into()
}

impl Callers {
    /// Serves one request to its end.
    pub(crate) async fn serve(&self, errand: Errand) -> Outcome {
        let key = self.key_of(&errand);
        let cancel = self.cancel_later(&errand, key.as_ref().map(|(_, key)| key));
        let calls = async {
            match errand.shot.twin_entry {
                None => (self.chase(&errand, errand.shot.entry, &key).await, None),
                Some(twin) => {
                    let first = self.chase(&errand, errand.shot.entry, &key);
                    let second = self.chase(&errand, twin, &key);
                    let (first, second) = tokio::join!(first, second);
                    (first, Some(second))
                }
            }
        };
        let ((first, second), is_cancelled) = match errand.shot.cancel_after_ms {
            None => (calls.await, false),
            Some(_) => (tokio::join!(calls, cancel).0, true),
        };
        let (chase, other) = match second {
            // The twin that was answered speaks for both.
            Some(second) if second.end == End::Done => (second, Some(first)),
            second => (first, second),
        };
        Outcome {
            entry: chase.entry,
            key: key.as_ref().map_or(0, |(place, _)| *place),
            is_proved_not_run: chase.is_proved_not_run
                && other.as_ref().is_none_or(|other| other.is_proved_not_run),
            is_own_answer: chase.is_own_answer
                && other.as_ref().is_none_or(|other| other.is_own_answer),
            calls_count: chase.calls_count + other.map_or(0, |other| other.calls_count),
            is_cancelled,
            retried_after: chase.retried_after,
            ..errand.outcome(chase.end, chase.ran, true)
        }
    }

    /// Returns the key of the request and its place among the team's.
    fn key_of(&self, errand: &Errand) -> Option<(usize, SmolStr)> {
        let keys = self.keys.get(errand.shot.team.as_ref()?)?;
        let place = errand.index.checked_rem(keys.len())?;
        keys.get(place).map(|key| (place, key.clone()))
    }

    async fn chase(&self, errand: &Errand, entry: usize, key: &Option<(usize, SmolStr)>) -> Chase {
        let key = key.as_ref().map(|(_, key)| key);
        let mut entry = entry;
        let mut chase = Chase {
            end: End::Done,
            entry: SmolStr::default(),
            ran: RunState::NotRun,
            is_proved_not_run: true,
            is_own_answer: true,
            calls_count: 0,
            retried_after: Vec::new(),
        };
        loop {
            let answered = self.call_once(errand, entry, key).await;
            chase.calls_count += 1;
            chase.is_proved_not_run &= answered.ran == RunState::NotRun;
            chase.is_own_answer &= answered.is_own_answer;
            let pause = answered.retry_after.filter(|_| self.settings.is_obeying);
            match pause {
                Some(pause) if pause < errand.left() => {
                    chase.retried_after.push(answered.end.name().into());
                    sleep(pause).await;
                    entry += 1;
                }
                _ => {
                    chase.end = answered.end;
                    chase.entry = answered.entry;
                    chase.ran = answered.ran;
                    return chase;
                }
            }
        }
    }

    async fn call_once(&self, errand: &Errand, entry: usize, key: Option<&SmolStr>) -> Answered {
        let shot = &errand.shot;
        let path = match shot.is_for_later {
            true => format!("/v1/queues/{}/jobs", shot.queue),
            false => format!("/v1/queues/{}/call", shot.queue),
        };
        let deadline_ms = errand.left().as_millis().max(1);
        let request = head(Method::POST, &path, key)
            .header("x-request-id", errand.request_id.as_str())
            .header(
                "x-idempotent",
                if shot.is_idempotent { "true" } else { "false" },
            )
            .header("x-deadline-ms", deadline_ms.to_string())
            .header("x-run-ms", shot.run_ms)
            .header("x-cores-milli", shot.size.cores_milli)
            .header("x-memory-mb", shot.size.memory_mb)
            .header("x-accelerators-count", shot.size.accelerators_count)
            .body(Full::new(errand.body.clone()));
        let Ok(request) = request else {
            return lost("malformed_schedule", RunState::NotRun);
        };
        match self.send(errand, entry, request).await {
            Ok(reply) if reply.status == 202 => self.fetch(errand, entry, key).await,
            Ok(reply) => read(errand, &reply),
            Err(answered) => answered,
        }
    }

    async fn send(
        &self,
        errand: &Errand,
        entry: usize,
        request: Request<Full<Bytes>>,
    ) -> Result<Reply, Answered> {
        let Some((_, backend)) = self.balancer.pick(entry) else {
            return Err(lost("no_entry", RunState::NotRun));
        };
        let patience = errand.left() + Duration::from_millis(self.settings.grace_ms);
        let unknown = RunState::OutcomeUnknown;
        tokio::select! {
            answer = timeout(patience, backend.pool.call(request)) => match answer {
                Ok(Ok(reply)) => Ok(reply),
                Ok(Err(CallLoss::NotConnected)) => Err(lost_for_now("not_connected", RunState::NotRun)),
                Ok(Err(CallLoss::Broken)) => Err(lost_for_now("connection_broken", unknown)),
                Err(_) => Err(lost("timed_out", unknown)),
            },
            () = backend.died.notified() => Err(lost_for_now("entry_silent", unknown)),
        }
    }

    /// Fetches work that was accepted for later until it is finished.
    async fn fetch(&self, errand: &Errand, entry: usize, key: Option<&SmolStr>) -> Answered {
        let path = format!("/v1/jobs/{}", errand.request_id);
        let mut entry = entry;
        while !errand.left().is_zero() {
            sleep(FETCH_PAUSE).await;
            entry += 1;
            let Ok(request) = head(Method::GET, &path, key).body(Full::default()) else {
                break;
            };
            match self.send(errand, entry, request).await {
                Ok(reply) if reply.status == 202 => {}
                Ok(reply) if is_about_the_entry(&reply) => {}
                Ok(reply) => return read_fetched(errand, &reply),
                Err(_) => {}
            }
        }
        lost("not_finished_by_deadline", RunState::OutcomeUnknown)
    }

    async fn cancel_later(&self, errand: &Errand, key: Option<&SmolStr>) {
        let after = Duration::from_millis(errand.shot.cancel_after_ms.unwrap_or(0));
        sleep(after.saturating_sub(errand.due.elapsed())).await;
        let path = format!("/v1/requests/{}", errand.request_id);
        if let Ok(request) = head(Method::DELETE, &path, key).body(Full::default()) {
            // A cancel whose answer is lost is no fault of the run.
            drop(self.send(errand, errand.shot.entry + 1, request).await);
        }
    }
}

fn head(method: Method, path: &str, key: Option<&SmolStr>) -> hyper::http::request::Builder {
    let builder = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "entry");
    match key {
        Some(key) => builder.header("authorization", format!("Bearer {key}")),
        None => builder,
    }
}

fn read(errand: &Errand, reply: &Reply) -> Answered {
    let ran = match reply.header("x-ran") {
        Some("not_run") => RunState::NotRun,
        Some("ran") => RunState::Ran,
        _ => RunState::OutcomeUnknown,
    };
    let entry = SmolStr::new(reply.header("x-entry").unwrap_or_default());
    if reply.status == 200 {
        let answer = TaskAnswer::decode(&reply.body);
        let is_own = answer.is_some_and(|row| row.is_for(&errand.request_id, &errand.body));
        return Answered {
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
    Answered {
        end: End::Failed { kind },
        entry,
        ran,
        is_own_answer: true,
        retry_after: retry_after
            .filter(|_| ran == RunState::NotRun)
            .map(Duration::from_millis),
    }
}

/// Reads the end of accepted work. A refusal for the key speaks of the fetch alone.
fn read_fetched(errand: &Errand, reply: &Reply) -> Answered {
    let answered = read(errand, reply);
    let is_about_the_key = answered.end.name().starts_with("key_");
    Answered {
        retry_after: None,
        ran: match is_about_the_key {
            true => RunState::OutcomeUnknown,
            false => answered.ran,
        },
        ..answered
    }
}

fn is_about_the_entry(reply: &Reply) -> bool {
    let kind = reply.header("x-kind").unwrap_or_default();
    FETCH_AGAIN_KINDS.contains(&kind)
}

fn lost(reason: &'static str, ran: RunState) -> Answered {
    Answered {
        end: End::Lost {
            reason: SmolStr::new_static(reason),
        },
        entry: SmolStr::default(),
        ran,
        is_own_answer: true,
        retry_after: None,
    }
}

/// A call that was lost with its entry; another entry may answer it.
fn lost_for_now(reason: &'static str, ran: RunState) -> Answered {
    Answered {
        retry_after: Some(LOST_PAUSE),
        ..lost(reason, ran)
    }
}
