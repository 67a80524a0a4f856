//! [`LogPort`] over HTTP.

use std::sync::Arc;

use attohttpc::Method;
use serde::{Deserialize, Serialize};
use smol_str::{format_smolstr, SmolStr};

use crate::adapters::http_client::{HttpAnswer, HttpCall};
use crate::adapters::worker_answer::Loss;
use crate::fleet::Offset;
use crate::ports::{LogPage, LogPort, PortError};

/// Header by which a service reports that a call had no effect; its value is the reason.
pub const X_REFUSED: &str = "x-refused";
/// Longest answer to a read, in bytes, including JSON escapes.
const PAGE_MAX_BYTES: u64 = 8 * 1_024 * 1_024;
/// Longest answer to an append, in bytes; also the default for other calls.
const ACK_MAX_BYTES: u64 = 4 * 1_024;

/// Timeouts of calls to a service of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceTimeouts {
    /// Timeout for establishing a connection.
    pub connect_ms: u64,
    /// Timeout of a call, in addition to the time for which it asks the service to wait.
    pub call_ms: u64,
}

impl Default for ServiceTimeouts {
    fn default() -> Self {
        Self {
            connect_ms: 500,
            call_ms: 2_000,
        }
    }
}

/// Answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendAck {
    /// Offset of the first appended record.
    pub first_offset: Offset,
}

/// Answer to a read of records that were trimmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrimmedNotice {
    /// Oldest offset that is still in the log.
    pub oldest_offset: Offset,
}

/// Adapter to the log service at one address.
#[derive(Clone, Debug)]
pub struct HttpLog {
    address: SmolStr,
    timeouts: ServiceTimeouts,
}

impl HttpLog {
    /// Returns an adapter to the log service at `address`. Each call opens a new connection.
    pub fn open(address: &str, timeouts: ServiceTimeouts) -> Self {
        Self {
            address: address.into(),
            timeouts,
        }
    }

    fn call(&self, method: Method, path: String) -> HttpCall {
        service_call(&self.address, self.timeouts, method, path)
    }
}

impl LogPort for HttpLog {
    fn append(&self, payloads: &[String]) -> Result<Offset, PortError> {
        let body = serde_json::to_vec(payloads)
            .map_err(|_| PortError::NotSent(SmolStr::new_static("encoding")))?;
        let answer = HttpCall {
            body: Arc::from(body),
            answer_max_bytes: ACK_MAX_BYTES,
            ..self.call(Method::POST, "/records".into())
        }
        .send()?;
        let ack: AppendAck = decode(&require_ok(answer)?)?;
        Ok(ack.first_offset)
    }

    fn read(&self, from_offset: Offset, wait_ms: u64) -> Result<LogPage, PortError> {
        let path = format!("/records?from={from_offset}&wait_ms={wait_ms}");
        let answer = HttpCall {
            timeout_ms: self.timeouts.call_ms.saturating_add(wait_ms),
            answer_max_bytes: PAGE_MAX_BYTES,
            ..self.call(Method::GET, path)
        }
        .send()?;
        if answer.status == STATUS_GONE {
            let notice: TrimmedNotice = decode(&answer)?;
            return Err(PortError::Trimmed {
                oldest_offset: notice.oldest_offset,
            });
        }
        let page: LogPage = decode(&require_ok(answer)?)?;
        match is_consecutive(&page, from_offset) {
            true => Ok(page),
            false => Err(PortError::AnswerLost(Loss::Malformed.into())),
        }
    }
}

/// HTTP status of a successful call.
pub(crate) const STATUS_OK: u16 = 200;
/// HTTP status of a read of trimmed records.
pub(crate) const STATUS_GONE: u16 = 410;

/// Returns a call to a service of the platform, with no headers and no body.
pub fn service_call(
    address: &str,
    timeouts: ServiceTimeouts,
    method: Method,
    path: String,
) -> HttpCall {
    HttpCall {
        method,
        address: address.into(),
        path,
        headers: Vec::new(),
        body: Arc::default(),
        connect_timeout_ms: timeouts.connect_ms,
        timeout_ms: timeouts.call_ms,
        answer_max_bytes: ACK_MAX_BYTES,
        length_header: None,
    }
}

/// Returns a successful answer. Any other answer is a refusal only if it has the header
/// [`X_REFUSED`]; otherwise the call may have had its effect.
pub(crate) fn require_ok(answer: HttpAnswer) -> Result<HttpAnswer, PortError> {
    match (answer.status, answer.header(X_REFUSED)) {
        (STATUS_OK, _) => Ok(answer),
        (_, Some(reason)) => Err(PortError::Refused(reason.into())),
        (status, None) => Err(PortError::AnswerLost(format_smolstr!("status_{status}"))),
    }
}

/// Decodes an answer. After an answer that cannot be decoded the call may have had its effect.
pub(crate) fn decode<'a, T: Deserialize<'a>>(answer: &'a HttpAnswer) -> Result<T, PortError> {
    serde_json::from_slice(&answer.body).map_err(|_| PortError::AnswerLost(Loss::Malformed.into()))
}

fn is_consecutive(page: &LogPage, from_offset: Offset) -> bool {
    (from_offset..)
        .zip(&page.records)
        .all(|(offset, record)| record.offset == offset)
}
