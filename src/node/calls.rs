//! Servers for calls from outside: callers of the queues, the readiness probe, and the metrics.

use std::io;
use std::rc::Rc;

use hyper::body::Bytes;
use hyper::header::{HeaderValue, CONNECTION, CONTENT_TYPE};
use hyper::Method;
use smol_str::SmolStr;

use crate::jobs::{Catalog, Denial, JobId, Queue};
use crate::logging::Event;
use crate::net::{self, Answer, BodyError, RequestBody, RequestHead, ServerHandle};
use crate::node::leader::to_f64;
use crate::node::{peers, CallAnswer, CallKind, Node, PeerCall, Refusal};
use crate::platform::callers::{self, CallHead};

/// Most bytes of a body that are read; the lists may set a lower limit.
const BODY_MAX_BYTES: usize = 1 << 20;
/// Share of the file descriptors that connections of callers may use, in thousandths.
const CALLER_CONNECTIONS_PERMILLE: usize = 600;
/// Most connections for the readiness probe and the metrics.
const PROBE_CONNECTIONS_MAX: usize = 32;
/// Margin before a caller's deadline, in milliseconds.
const ANSWER_MARGIN_MS: u64 = 150;
/// Longest timeout of a call that is forwarded to the leader, in milliseconds.
const FORWARD_TIMEOUT_MAX_MS: u64 = 2_600;
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Serves the readiness probe.
pub(crate) async fn serve_ready(node: &Rc<Node>) -> io::Result<ServerHandle> {
    let address = node.settings.ready_address;
    let ingress = node.ingress.clone();
    let node = Rc::clone(node);
    let answer = move |request: RequestHead, _: RequestBody| {
        let status = match request.path == callers::READY_PATH {
            true if node.is_ready() => 200,
            true => 503,
            false => 404,
        };
        std::future::ready(Answer::status(status))
    };
    net::serve_heads(address, PROBE_CONNECTIONS_MAX, &ingress, answer).await
}

/// Serves the metrics.
pub(crate) async fn serve_metrics(node: &Rc<Node>) -> io::Result<ServerHandle> {
    let address = node.settings.metrics_address;
    let ingress = node.ingress.clone();
    let node = Rc::clone(node);
    let answer = move |request: RequestHead, _: RequestBody| {
        node.metrics
            .lists_age_ms
            .set(node.lists_age_ms().unwrap_or(0));
        let evacuation_age_ms = node.evacuations.borrow().age_ms(node.now_ms());
        node.metrics.evacuation_age_ms.set(evacuation_age_ms);
        let answer = match request.path == METRICS_PATH {
            true => Answer {
                status: 200,
                headers: vec![(
                    CONTENT_TYPE,
                    HeaderValue::from_static("application/openmetrics-text; version=1.0.0"),
                )],
                body: Bytes::from(node.metrics.encode()),
            },
            false => Answer::status(404),
        };
        std::future::ready(answer)
    };
    net::serve_heads(address, PROBE_CONNECTIONS_MAX, &ingress, answer).await
}

/// Serves the callers.
pub(crate) async fn serve_callers(node: &Rc<Node>) -> io::Result<ServerHandle> {
    let connections_max_count =
        node.settings.descriptors_count * CALLER_CONNECTIONS_PERMILLE / 1_000;
    let address = node.settings.callers_address;
    let ingress = node.ingress.clone();
    let node = Rc::clone(node);
    let answer = move |head, body| answer_caller(Rc::clone(&node), head, body);
    net::serve_heads(address, connections_max_count, &ingress, answer).await
}

async fn answer_caller(node: Rc<Node>, head: RequestHead, body: RequestBody) -> Answer {
    let started_ms = node.now_ms();
    let (kind, answer) = match admit(&node, &head, body).await {
        Ok(admitted) => {
            let kind = admitted.kind;
            (Some(kind), forward(&node, admitted).await)
        }
        Err((kind, refusal)) => (kind, refusal.into()),
    };
    let took_ms = node.now_ms().saturating_sub(started_ms);
    node.metrics.call_ms.observe(to_f64(took_ms));
    node.metrics.count_call(kind_label(kind), answer.label());
    log_call(&node, kind, &answer, took_ms);
    let mut response = callers::encode_answer(&answer);
    if node.is_stopping.get() {
        response
            .headers
            .push((CONNECTION, HeaderValue::from_static("close")));
    }
    response
}

fn kind_label(kind: Option<CallKind>) -> &'static str {
    match kind {
        Some(CallKind::Submit(_)) => "submit",
        Some(CallKind::State(_)) => "state",
        Some(CallKind::Cancel(_)) => "cancel",
        Some(CallKind::Count) => "count",
        None => "other",
    }
}

/// Logs a call and its answer, except successful queries, and, beyond a bound, others that changed
/// nothing.
fn log_call(node: &Rc<Node>, kind: Option<CallKind>, answer: &CallAnswer, took_ms: u64) {
    let is_query_answer = matches!(answer, CallAnswer::State(_) | CallAnswer::Count(_));
    let has_effect = matches!(answer, CallAnswer::Accepted | CallAnswer::Cancelled);
    if is_query_answer || !has_effect && !may_log_call(node) {
        return;
    }
    let id = match kind {
        Some(CallKind::Submit(id) | CallKind::State(id) | CallKind::Cancel(id)) => Some(id),
        _ => None,
    };
    let event = Event::new("call_answered").with("call", kind_label(kind));
    let event = match id {
        Some(id) => event.with("job", id),
        None => event,
    };
    let version = node
        .catalog
        .borrow()
        .as_ref()
        .map_or(0, |lists| lists.version);
    event
        .with("answer", answer.label())
        .with("took_ms", took_ms)
        .with("lists_version", version)
        .with("lists_age_ms", node.lists_age_ms().unwrap_or(0))
        .info();
}

/// Returns whether a line about a call that changed nothing may be logged now.
fn may_log_call(node: &Node) -> bool {
    let now_ms = node.now_ms();
    match node.call_lines.take_left_out(now_ms) {
        0 => {}
        left_out_count => Event::new("calls_not_logged")
            .with("count", left_out_count)
            .warn(),
    }
    node.call_lines.take(now_ms)
}

/// A call that may be forwarded to the leader.
struct Admitted {
    kind: CallKind,
    call: PeerCall,
    timeout_ms: u64,
}

/// Why a call is refused, with its kind if that is known.
type AdmitError = (Option<CallKind>, Refusal);

/// Checks a call against the lists in force. The body is read only if the head is in order and the call
/// needs one.
async fn admit(
    node: &Rc<Node>,
    request: &RequestHead,
    body: RequestBody,
) -> Result<Admitted, AdmitError> {
    let head = callers::parse_head(request);
    let checked = check_head(node, &request.method, &head)?;
    let kind = checked.kind;
    let call = match kind {
        CallKind::Submit(JobId(id)) => {
            let refuse = |refusal| (Some(kind), refusal);
            let body = body.read(checked.body_max_bytes).await;
            let body = body.map_err(|error| refuse(refusal_of(error)))?;
            // The lists may have changed, or have become too old, while the body arrived.
            let checked = check_head(node, &request.method, &head)?;
            let spec = callers::parse_job_spec(&body).map_err(|_| refuse(Refusal::BadCall))?;
            PeerCall::Submit {
                id,
                queue: checked.queue,
                team: checked.team,
                spec,
            }
        }
        CallKind::State(JobId(id)) => PeerCall::State { id },
        CallKind::Cancel(JobId(id)) => PeerCall::Cancel { id },
        CallKind::Count => PeerCall::Count {
            queue: checked.queue,
        },
    };
    let timeout_ms = head
        .deadline_ms
        .saturating_sub(ANSWER_MARGIN_MS)
        .min(FORWARD_TIMEOUT_MAX_MS);
    Ok(Admitted {
        kind,
        call,
        timeout_ms,
    })
}

/// What the head of a call says, by the lists in force.
struct CheckedHead {
    kind: CallKind,
    queue: SmolStr,
    /// Team whose key the call carries; empty for an open queue.
    team: SmolStr,
    /// Longest body, in bytes.
    body_max_bytes: usize,
}

fn check_head(
    node: &Node,
    method: &Method,
    head: &CallHead<'_>,
) -> Result<CheckedHead, AdmitError> {
    let lists = node.catalog.borrow();
    let Some(lists) = lists.as_ref() else {
        return Err((None, Refusal::NoLists));
    };
    let Some(queue) = lists.route(head.host, head.path) else {
        return Err((None, Refusal::NoQueue));
    };
    let rest = &head.path[queue.path_prefix.len()..];
    let Some(kind) = callers::parse_call_kind(method, rest) else {
        return Err((None, Refusal::BadCall));
    };
    let team = team_of(node, lists, queue, head.key).map_err(|refusal| (Some(kind), refusal))?;
    Ok(CheckedHead {
        kind,
        queue: queue.name.clone(),
        team,
        body_max_bytes: lists.body_max_bytes.min(BODY_MAX_BYTES),
    })
}

/// Returns the team whose key a call carries; empty for an open queue.
fn team_of(
    node: &Node,
    lists: &Catalog,
    queue: &Queue,
    key: Option<&str>,
) -> Result<SmolStr, Refusal> {
    if !queue.is_open && !node.may_verify_keys() {
        return Err(Refusal::NoLists);
    }
    lists.team_of(queue, key).map_err(|denial| match denial {
        Denial::BadKey => Refusal::BadKey,
        Denial::NoQueue => Refusal::NoQueue,
    })
}

fn refusal_of(error: BodyError) -> Refusal {
    match error {
        BodyError::TooLarge => Refusal::TooLarge,
        BodyError::TooSlow => Refusal::TooSlow,
        BodyError::NoMemory => Refusal::NoMemory,
        BodyError::Broken => Refusal::BadCall,
    }
}

async fn forward(node: &Rc<Node>, admitted: Admitted) -> CallAnswer {
    peers::ask_leader(node, admitted.call, admitted.timeout_ms).await
}
