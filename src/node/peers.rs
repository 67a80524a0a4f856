//! Calls between nodes: each node forwards callers' calls to the leader, which answers them.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Bytes;
use hyper::Method;
use tokio::sync::oneshot;

use crate::jobs::{CancelOutcome, JobId, Settled, Submission, SubmitOutcome};
use crate::logging::Event;
use crate::net::{
    self, Answer, BodyError, Call, CallFailure, RequestBody, RequestHead, ServerHandle,
};
use crate::node::explain;
use crate::node::leader::LeaderState;
use crate::node::{CallAnswer, Node, PeerCall, Refusal, Refused, Role};

/// Path of calls between nodes.
const PATH: &str = "/v1/calls";
/// Most bytes of a call; the lists bound the body of a job.
const BODY_MAX_BYTES: usize = 2 << 20;
/// Most bytes of an answer.
const ANSWER_MAX_BYTES: usize = 4_096;
/// Most connections of peers.
const CONNECTIONS_MAX: usize = 512;
/// Pause before a call of unknown outcome is retried, in milliseconds.
const RETRY_PAUSE_MS: u64 = 150;
/// Longest time that the leader waits until the record of a call is persisted, in milliseconds.
const RECORD_WAIT_MS: u64 = 2_400;

/// Serves the peers of a node.
pub(crate) async fn serve(node: &Rc<Node>) -> io::Result<ServerHandle> {
    let address = node.settings.peers_address;
    let ingress = node.ingress.clone();
    let node = Rc::clone(node);
    let answer = move |head, body| answer_peer(Rc::clone(&node), head, body);
    net::serve_heads(address, CONNECTIONS_MAX, &ingress, answer).await
}

async fn answer_peer(node: Rc<Node>, head: RequestHead, body: RequestBody) -> Answer {
    if ![PATH, explain::EXPLAIN_PATH].contains(&head.path.as_str()) {
        return Answer::status(400);
    }
    let body = match body.read(BODY_MAX_BYTES).await {
        Ok(body) => body,
        Err(error) => return Answer::status(status_of(error)),
    };
    match head.path.as_str() {
        PATH => answer_call(node, body).await,
        _ => explain::answer(&node, &body).await,
    }
}

fn status_of(error: BodyError) -> u16 {
    match error {
        BodyError::TooLarge => 413,
        BodyError::TooSlow => 408,
        BodyError::NoMemory => 503,
        BodyError::Broken => 400,
    }
}

async fn answer_call(node: Rc<Node>, body: Bytes) -> Answer {
    let Ok(call) = serde_json::from_slice::<PeerCall>(&body) else {
        return Answer::status(400);
    };
    node.count_load(|load| load.peer_calls_count += 1);
    node.metrics.peer_calls.inc();
    let answer = answer_as_leader(&node, call).await;
    Answer {
        status: 200,
        body: Bytes::from(serde_json::to_vec(&answer).unwrap_or_default()),
        ..Answer::default()
    }
}

/// Answers a call if this node leads, else refuses it.
async fn answer_as_leader(node: &Rc<Node>, call: PeerCall) -> CallAnswer {
    let now_ms = node.now_ms();
    let role = node.leadership.borrow().role(now_ms);
    let is_valid = matches!(role, Role::Leader { is_valid: true, .. });
    let progress = {
        let mut leader = node.leader_state.borrow_mut();
        match leader.as_mut() {
            Some(leader) if leader.is_restored && is_valid => start_call(leader, call, now_ms),
            // Without a valid lease, another leader may have newer state.
            _ => return Refusal::NoLeader.into(),
        }
    };
    let waiting = match progress {
        CallProgress::Answered(answer) => return answer,
        CallProgress::Waiting(waiting) => waiting,
    };
    node.request_step();
    match tokio::time::timeout(Duration::from_millis(RECORD_WAIT_MS), waiting).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(_)) | Err(_) => CallAnswer::OutcomeUnknown,
    }
}

/// State of a call after the engine has handled it.
enum CallProgress {
    Answered(CallAnswer),
    Waiting(oneshot::Receiver<CallAnswer>),
}

fn start_call(leader: &mut LeaderState, call: PeerCall, now_ms: u64) -> CallProgress {
    match call {
        // Whoever waits for the record of an earlier submission of the job goes on waiting.
        PeerCall::Submit { id, .. }
            if leader.journal.is_stalled(now_ms) && !leader.engine.knows(JobId(id)) =>
        {
            CallProgress::Answered(Refusal::StoreUnavailable.into())
        }
        PeerCall::Submit {
            id,
            queue,
            team,
            spec,
        } => {
            let id = JobId(id);
            let submission = Submission {
                id,
                queue,
                team,
                spec,
            };
            match leader.engine.submit(submission) {
                SubmitOutcome::Accepted => CallProgress::Answered(CallAnswer::Accepted),
                SubmitOutcome::Pending => wait_for(leader, Settled::Accepted(id)),
                SubmitOutcome::Invalid(fault) => {
                    Event::new("job_rejected")
                        .with("job", id)
                        .with("fault", fault)
                        .info();
                    CallProgress::Answered(Refusal::BadCall.into())
                }
                SubmitOutcome::ZonesEvacuated => {
                    CallProgress::Answered(Refusal::ZonesEvacuated.into())
                }
                SubmitOutcome::TeamOverRate { retry_after_s } => {
                    CallProgress::Answered(CallAnswer::Refused(Refused {
                        refusal: Refusal::TeamOverRate,
                        retry_after_s: Some(retry_after_s),
                    }))
                }
                SubmitOutcome::NoQueue => CallProgress::Answered(Refusal::NoQueue.into()),
            }
        }
        PeerCall::State { id } => {
            CallProgress::Answered(match leader.engine.job_state(JobId(id)) {
                Some(state) => CallAnswer::State(state),
                None => CallAnswer::UnknownJob,
            })
        }
        PeerCall::Cancel { id } => match leader.engine.cancel(JobId(id)) {
            CancelOutcome::Unknown => CallProgress::Answered(CallAnswer::UnknownJob),
            CancelOutcome::Ended => CallProgress::Answered(CallAnswer::Cancelled),
            CancelOutcome::Pending => wait_for(leader, Settled::Ended(JobId(id))),
        },
        PeerCall::Count { queue } => {
            CallProgress::Answered(CallAnswer::Count(leader.engine.pending_count(&queue)))
        }
    }
}

fn wait_for(leader: &mut LeaderState, settled: Settled) -> CallProgress {
    CallProgress::Waiting(leader.waiters.add(settled))
}

/// Gets the answer of the leader, this node or another, within `timeout_ms`. All calls are
/// idempotent by the id of their job, so that a call of unknown outcome is retried, if need be at
/// the next leader.
pub(crate) async fn ask_leader(node: &Rc<Node>, call: PeerCall, timeout_ms: u64) -> CallAnswer {
    let until_ms = node.now_ms() + timeout_ms;
    let mut is_outcome_unknown = false;
    loop {
        let left_ms = until_ms.saturating_sub(node.now_ms());
        let answer = ask_once(node, call.clone(), left_ms).await;
        is_outcome_unknown |= answer == CallAnswer::OutcomeUnknown;
        let is_settled = match answer {
            CallAnswer::OutcomeUnknown => false,
            // After an attempt of unknown outcome, a refusal does not mean that nothing ran.
            CallAnswer::Refused(_) => !is_outcome_unknown,
            _ => true,
        };
        if is_settled {
            return answer;
        }
        if node.now_ms() + RETRY_PAUSE_MS >= until_ms {
            return CallAnswer::OutcomeUnknown;
        }
        tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
    }
}

async fn ask_once(node: &Rc<Node>, call: PeerCall, timeout_ms: u64) -> CallAnswer {
    let role = node.leadership.borrow().role(node.now_ms());
    match role {
        Role::Leader { .. } => {
            let answered = answer_as_leader(node, call);
            match tokio::time::timeout(Duration::from_millis(timeout_ms), answered).await {
                Ok(answer) => answer,
                Err(_) => CallAnswer::OutcomeUnknown,
            }
        }
        Role::Follower {
            leader: Some(address),
        } => forward(node, address, &call, timeout_ms).await,
        Role::Follower { leader: None } => Refusal::NoLeader.into(),
    }
}

async fn forward(
    node: &Rc<Node>,
    address: SocketAddr,
    call: &PeerCall,
    timeout_ms: u64,
) -> CallAnswer {
    let sent = Call {
        address,
        method: Method::POST,
        path: PATH.to_owned(),
        headers: Vec::new(),
        body: Bytes::from(serde_json::to_vec(call).unwrap_or_default()),
        timeout_ms,
        answer_max_bytes: ANSWER_MAX_BYTES,
    };
    match node.client.call(sent).await {
        Ok(reply) if reply.status == 200 => {
            serde_json::from_slice(&reply.body).unwrap_or(CallAnswer::OutcomeUnknown)
        }
        Ok(_) => CallAnswer::OutcomeUnknown,
        Err(CallFailure::NotSent) => Refusal::NoLeader.into(),
        Err(CallFailure::Lost) => CallAnswer::OutcomeUnknown,
    }
}
