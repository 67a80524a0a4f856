//! Decodes callers' calls to the queues and encodes the answers. The platform's protocol calls a
//! step a phase.

use hyper::body::Bytes;
use hyper::header::{HeaderName, HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::Method;
use serde::Deserialize;
use smol_str::SmolStr;

use crate::jobs::{step_list, JobId, JobSpec, JobState, Recurrence, Size, StepSpec};
use crate::net::{Answer, RequestHead};
use crate::node::{CallAnswer, CallKind, Refusal, Refused};

/// Path of the readiness probe.
pub const READY_PATH: &str = "/hawthornladder/readiness";
/// Header with the caller's key.
const KEY_HEADER: &str = "api-key";
/// Header with the time for which the caller waits, in milliseconds.
const DEADLINE_HEADER: &str = "x-hawthornladder-deadline-ms";
/// Assumed waiting time of a caller that does not send the header, in milliseconds.
const DEADLINE_DEFAULT_MS: u64 = 3_000;

#[derive(Deserialize)]
struct JobWire {
    #[serde(default)]
    spec: String,
    #[serde(deserialize_with = "step_list::deserialize")]
    phases: Vec<PhaseWire>,
    #[serde(default)]
    repetitions: u32,
    #[serde(default)]
    first_ms: u64,
    #[serde(default)]
    interval_ms: u64,
}

#[derive(Deserialize)]
struct PhaseWire {
    count: u32,
    #[serde(default)]
    cpu: u64,
    #[serde(default)]
    memory_request_mb: u64,
    #[serde(default)]
    gpu: u64,
    #[serde(default)]
    estimated_ms: u64,
    #[serde(default)]
    after: Vec<u16>,
    #[serde(default)]
    checkpointing: bool,
    #[serde(default)]
    gang: bool,
    #[serde(default)]
    rack_local: bool,
    #[serde(default)]
    requirements: Option<SmolStr>,
    #[serde(default)]
    affinity: Option<SmolStr>,
    #[serde(default)]
    anti_affinity: u32,
    #[serde(default)]
    speculative: bool,
    #[serde(default)]
    long_running: bool,
    #[serde(default)]
    image: SmolStr,
    #[serde(default)]
    target_ms: u64,
    #[serde(default)]
    fills: bool,
    #[serde(default)]
    may_miss: Option<u32>,
}

fn step_of(wire: PhaseWire) -> StepSpec {
    StepSpec {
        tasks_count: wire.count,
        size: Size {
            cpu_millis: wire.cpu,
            memory_mb: wire.memory_request_mb,
            gpu_count: wire.gpu,
        },
        estimate_ms: wire.estimated_ms,
        after: wire.after,
        has_checkpoints: wire.checkpointing,
        is_gang: wire.gang,
        in_one_rack: wire.rack_local,
        label: wire.requirements.filter(|label| !label.is_empty()),
        near_rack: wire.affinity.filter(|rack| !rack.is_empty()),
        per_worker_max: wire.anti_affinity,
        allows_copies: wire.speculative,
        is_long_running: wire.long_running,
        image: wire.image,
        tail_target_ms: wire.target_ms,
        is_best_effort: wire.fills,
        unavailable_max: wire.may_miss.filter(|count| *count > 0),
    }
}

/// Parses the body of a job.
pub fn parse_job_spec(body: &[u8]) -> Result<JobSpec, serde_json::Error> {
    let wire: JobWire = serde_json::from_slice(body)?;
    Ok(JobSpec {
        payload: wire.spec,
        steps: wire.phases.into_iter().map(step_of).collect(),
        recurrence: (wire.repetitions > 0).then_some(Recurrence {
            times: wire.repetitions,
            first_unix_ms: wire.first_ms,
            interval_ms: wire.interval_ms,
        }),
    })
}

/// Parsed head of a call: its route, key and deadline.
pub struct CallHead<'a> {
    /// Host, without its port.
    pub host: &'a str,
    /// Path of the call.
    pub path: &'a str,
    /// Key, if there is one.
    pub key: Option<&'a str>,
    /// Time for which the caller waits, in milliseconds.
    pub deadline_ms: u64,
}

/// Parses the head of a call.
pub fn parse_head(request: &RequestHead) -> CallHead<'_> {
    let host = request.header("host").unwrap_or("");
    CallHead {
        host: host.split(':').next().unwrap_or(""),
        path: &request.path,
        key: request.header(KEY_HEADER),
        deadline_ms: request
            .header(DEADLINE_HEADER)
            .and_then(|text| text.parse().ok())
            .unwrap_or(DEADLINE_DEFAULT_MS),
    }
}

/// Parses the kind of a call; `rest` is its path after the prefix of the queue.
pub fn parse_call_kind(method: &Method, rest: &str) -> Option<CallKind> {
    let id = JobId::parse(rest);
    match (method, id) {
        (&Method::GET, None) if rest.is_empty() => Some(CallKind::Count),
        (&Method::POST, Some(id)) => Some(CallKind::Submit(id)),
        (&Method::GET, Some(id)) => Some(CallKind::State(id)),
        (&Method::DELETE, Some(id)) => Some(CallKind::Cancel(id)),
        _ => None,
    }
}

fn json(status: u16, body: String) -> Answer {
    Answer {
        status,
        headers: vec![(CONTENT_TYPE, HeaderValue::from_static("application/json"))],
        body: Bytes::from(body),
    }
}

fn state_name(state: JobState) -> &'static str {
    match state {
        JobState::Queued => "queued",
        JobState::Active => "active",
        JobState::Complete => "complete",
        JobState::Failed => "failed",
        JobState::Cancelled => "cancelled",
    }
}

/// Encodes an answer.
pub fn encode_answer(answer: &CallAnswer) -> Answer {
    match answer {
        CallAnswer::Accepted | CallAnswer::Cancelled => json(200, "{}".to_owned()),
        CallAnswer::State(state) => json(200, format!("{{\"state\":\"{}\"}}", state_name(*state))),
        CallAnswer::Count(count) => json(200, format!("{{\"pending\":{count}}}")),
        CallAnswer::UnknownJob => Answer::status(410),
        CallAnswer::OutcomeUnknown => Answer::status(504),
        CallAnswer::Refused(refused) => encode_refusal(*refused),
    }
}

fn encode_refusal(refused: Refused) -> Answer {
    let status = match refused.refusal {
        Refusal::NoQueue => 404,
        Refusal::BadKey => 401,
        Refusal::BadCall => 400,
        Refusal::TooLarge => 413,
        Refusal::TooSlow => 408,
        Refusal::TeamOverRate => 429,
        Refusal::NoLists
        | Refusal::NoMemory
        | Refusal::NoLeader
        | Refusal::StoreUnavailable
        | Refusal::ZonesEvacuated => 503,
    };
    let mut answer = Answer::status(status);
    if let Some(retry_after_s) = refused.retry_after_s {
        let header: (HeaderName, HeaderValue) = (RETRY_AFTER, HeaderValue::from(retry_after_s));
        answer.headers.push(header);
    }
    answer
}
