//! Client of the service that issues tickets for the workers that may run a step. The platform's
//! protocol calls its answer advice.

use std::net::SocketAddr;

use hyper::body::Bytes;
use hyper::Method;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::jobs::TicketRequest;
use crate::net::{Call, Client};

/// Timeout of a request, in milliseconds; the service answers one request at a time.
const TIMEOUT_MS: u64 = 5_000;
/// Most bytes of an answer.
const ANSWER_MAX_BYTES: usize = 1 << 18;

#[derive(Serialize)]
struct RequestWire<'q> {
    step: String,
    workers: Vec<&'q SmolStr>,
}

#[derive(Deserialize)]
struct AnswerWire {
    #[serde(default)]
    eligible: Vec<(SmolStr, SmolStr)>,
    valid_ms: u64,
}

/// Workers with their tickets, and the time for which these are valid, in milliseconds.
pub type TicketAnswer = (Vec<(SmolStr, SmolStr)>, u64);

/// Requests tickets for a step: which of the workers may run it. Returns none without a
/// usable answer.
pub async fn request_tickets(
    client: &Client,
    address: SocketAddr,
    request: &TicketRequest,
) -> Option<TicketAnswer> {
    let TicketRequest {
        job,
        round,
        step,
        workers,
    } = request;
    let wire = RequestWire {
        step: format!("{job}.{round}.{step}"),
        workers: workers.iter().map(|worker| &worker.id).collect(),
    };
    let call = Call {
        address,
        method: Method::POST,
        path: "/hawthornladder/advise".to_owned(),
        headers: Vec::new(),
        body: Bytes::from(serde_json::to_vec(&wire).ok()?),
        timeout_ms: TIMEOUT_MS,
        answer_max_bytes: ANSWER_MAX_BYTES,
    };
    let reply = client.call(call).await.ok()?;
    if reply.status != 200 {
        return None;
    }
    let answer: AnswerWire = serde_json::from_slice(&reply.body).ok()?;
    Some((answer.eligible, answer.valid_ms))
}
