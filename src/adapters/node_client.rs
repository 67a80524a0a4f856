//! Client of a node's internal interface, for the command line.

use std::net::SocketAddr;
use std::sync::Arc;

use attohttpc::Method;
use smol_str::{format_smolstr, SmolStr};

use crate::adapters::http_client::{HttpCall, HttpFailure};
use crate::adapters::log_http::{service_call, ServiceTimeouts};
use crate::jobs::JobQuestion;
use crate::node::{ExplainAnswer, ExplainCall, EXPLAIN_PATH};

/// Timeouts of a call, longer than that with which a node passes it on.
const TIMEOUTS: ServiceTimeouts = ServiceTimeouts {
    connect_ms: 1_000,
    call_ms: 4_000,
};
/// Most bytes of an answer.
const ANSWER_MAX_BYTES: u64 = 65_536;

/// Asks a node where a job would start.
///
/// # Errors
///
/// The reason for which no usable answer arrived.
pub fn explain_job(address: SocketAddr, question: JobQuestion) -> Result<ExplainAnswer, SmolStr> {
    let call = ExplainCall {
        question,
        is_forwarded: false,
    };
    let body = serde_json::to_vec(&call).map_err(|error| format_smolstr!("{error}"))?;
    let address = address.to_string();
    let call = HttpCall {
        body: Arc::from(body),
        answer_max_bytes: ANSWER_MAX_BYTES,
        ..service_call(&address, TIMEOUTS, Method::POST, EXPLAIN_PATH.to_owned())
    };
    let answer = call.send().map_err(|failure| match failure {
        HttpFailure::NotSent(reason) => format_smolstr!("not sent: {reason}"),
        HttpFailure::Lost(loss) => format_smolstr!("no answer: {loss}"),
    })?;
    match answer.status {
        200 => serde_json::from_slice(&answer.body).map_err(|error| format_smolstr!("{error}")),
        status => Err(format_smolstr!("status {status}")),
    }
}
