//! Explains where a job would start: a read-only call that any node serves on its internal port and
//! passes on to the leader.

use std::net::SocketAddr;
use std::rc::Rc;

use hyper::body::Bytes;
use hyper::Method;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::jobs::{JobExplanation, JobQuestion};
use crate::net::{Answer, Call};
use crate::node::{Node, Refusal, Role};

/// Path of the call.
pub const EXPLAIN_PATH: &str = "/v1/explain-job";
/// Timeout of a call that is passed on to the leader, in milliseconds.
const FORWARD_TIMEOUT_MS: u64 = 2_000;
/// Most bytes of an answer.
const ANSWER_MAX_BYTES: usize = 16_384;

/// The call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainCall {
    /// The job.
    pub question: JobQuestion,
    /// Whether another node has passed it on, which is done only once.
    #[serde(default)]
    pub is_forwarded: bool,
}

/// Answer to the call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExplainAnswer {
    /// The job would be accepted.
    Explained(Box<JobExplanation>),
    /// It would be refused, with this reason.
    Refused(SmolStr),
}

impl ExplainAnswer {
    fn refused(refusal: Refusal) -> Self {
        Self::Refused(<&'static str>::from(refusal).into())
    }
}

/// Answers the call, through the leader if this node does not lead.
pub(crate) async fn answer(node: &Rc<Node>, body: &[u8]) -> Answer {
    let Ok(call) = serde_json::from_slice::<ExplainCall>(body) else {
        return Answer::status(400);
    };
    let role = node.leadership.borrow().role(node.now_ms());
    let answer = match role {
        Role::Leader { is_valid: true, .. } => Some(explain(node, &call.question)),
        Role::Follower {
            leader: Some(address),
        } if !call.is_forwarded => forward(node, address, call).await,
        Role::Leader { .. } | Role::Follower { .. } => {
            Some(ExplainAnswer::refused(Refusal::NoLeader))
        }
    };
    match answer {
        None => Answer::status(502),
        Some(answer) => Answer {
            status: 200,
            body: Bytes::from(serde_json::to_vec(&answer).unwrap_or_default()),
            ..Answer::default()
        },
    }
}

fn explain(node: &Rc<Node>, question: &JobQuestion) -> ExplainAnswer {
    let now_ms = node.now_ms();
    let leader = node.leader_state.borrow();
    let Some(leader) = leader.as_ref().filter(|leader| leader.is_restored) else {
        return ExplainAnswer::refused(Refusal::NoLeader);
    };
    if leader.journal.is_stalled(now_ms) {
        return ExplainAnswer::refused(Refusal::StoreUnavailable);
    }
    match leader.engine.explain_job(question) {
        Ok(explanation) => ExplainAnswer::Explained(Box::new(explanation)),
        Err(refusal) => ExplainAnswer::Refused(<&'static str>::from(refusal).into()),
    }
}

/// Passes the call on to the leader; returns `None` without a usable answer.
async fn forward(node: &Rc<Node>, address: SocketAddr, call: ExplainCall) -> Option<ExplainAnswer> {
    let call = ExplainCall {
        is_forwarded: true,
        ..call
    };
    let sent = Call {
        address,
        method: Method::POST,
        path: EXPLAIN_PATH.to_owned(),
        headers: Vec::new(),
        body: Bytes::from(serde_json::to_vec(&call).unwrap_or_default()),
        timeout_ms: FORWARD_TIMEOUT_MS,
        answer_max_bytes: ANSWER_MAX_BYTES,
    };
    let reply = node.client.call(sent).await.ok()?;
    let is_ok = reply.status == 200;
    is_ok.then(|| serde_json::from_slice(&reply.body).ok())?
}
