//! Client of an entry's HTTP interface for operators, for the command line.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use attohttpc::Method;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smol_str::{format_smolstr, SmolStr};

use crate::adapters::http_client::{HttpCall, HttpFailure};
use crate::adapters::log_http::{service_call, ServiceTimeouts};
use crate::adapters::operators_http::{Explain, WithdrawKey};
use crate::entry::{EntryStatus, Explanation};

/// Timeouts of a call. An entry answers a withdrawal only after it has notified its peers.
const TIMEOUTS: ServiceTimeouts = ServiceTimeouts {
    connect_ms: 1_000,
    call_ms: 4_000,
};

/// Longest answer, in bytes: several times the status of 14,000 workers and 440 teams.
const ANSWER_MAX_BYTES: u64 = 16 * 1_024 * 1_024;

/// Reason for which a call returned no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorsFailure {
    /// The call was not sent, or its answer was lost.
    NoAnswer(SmolStr),
    /// The entry refused the call.
    Refused(SmolStr),
    /// The request could not be encoded, or the answer not decoded.
    Malformed(SmolStr),
}

impl fmt::Display for OperatorsFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoAnswer(reason) => write!(f, "no answer: {reason}"),
            Self::Refused(reason) => write!(f, "refused: {reason}"),
            Self::Malformed(reason) => write!(f, "invalid answer: {reason}"),
        }
    }
}

/// Progress of the withdrawal of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawalAck {
    /// Number of live seats.
    pub seats_count: u64,
    /// Number of seats that refuse the key from now on.
    pub acknowledged_count: u64,
    /// Whether a majority of the live seats refuses the key. An entry that has contact neither with
    /// the log nor with a majority refuses work, so no entry accepts the key for much longer.
    pub is_in_force_everywhere: bool,
}

/// Client of the operators' interface at one address.
#[derive(Clone, Copy, Debug)]
pub struct OperatorsClient {
    address: SocketAddr,
}

impl OperatorsClient {
    /// Returns a client of the entry at `address`, without connecting.
    pub fn open(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Returns what is in force at the entry, and its counters.
    ///
    /// # Errors
    ///
    /// The reason for which no usable answer arrived.
    pub fn status(&self) -> Result<EntryStatus, OperatorsFailure> {
        self.call(Method::GET, "/v1/status", Vec::new())
    }

    /// Returns the reasons for which something would be refused or delayed now.
    ///
    /// # Errors
    ///
    /// The reason for which no usable answer arrived.
    pub fn explain(&self, explain: &Explain) -> Result<Explanation, OperatorsFailure> {
        self.call(Method::POST, "/v1/explain", encode(explain)?)
    }

    /// Orders the entry, and through it its peers, to refuse a key.
    ///
    /// # Errors
    ///
    /// The reason for which no usable answer arrived; the key may be refused nevertheless.
    pub fn withdraw_key(&self, key_id: &str) -> Result<WithdrawalAck, OperatorsFailure> {
        let order = WithdrawKey {
            key_id: key_id.into(),
        };
        self.call(Method::POST, "/v1/keys/withdraw", encode(&order)?)
    }

    fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<T, OperatorsFailure> {
        let address = self.address.to_string();
        let call = HttpCall {
            body: Arc::from(body),
            answer_max_bytes: ANSWER_MAX_BYTES,
            ..service_call(&address, TIMEOUTS, method, path.to_owned())
        };
        let answer = call.send().map_err(no_answer)?;
        match answer.status {
            200 => serde_json::from_slice(&answer.body)
                .map_err(|error| OperatorsFailure::Malformed(format_smolstr!("{error}"))),
            status => Err(OperatorsFailure::Refused(format_smolstr!(
                "status {status} {}",
                String::from_utf8_lossy(&answer.body)
            ))),
        }
    }
}

fn encode(body: &impl Serialize) -> Result<Vec<u8>, OperatorsFailure> {
    serde_json::to_vec(body)
        .map_err(|error| OperatorsFailure::Malformed(format_smolstr!("{error}")))
}

fn no_answer(failure: HttpFailure) -> OperatorsFailure {
    OperatorsFailure::NoAnswer(match failure {
        HttpFailure::NotSent(reason) => reason,
        HttpFailure::Lost(loss) => format_smolstr!("{loss}"),
    })
}
