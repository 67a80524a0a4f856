//! Client of the operators' HTTP interface of one entry, for the command line.

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

/// Timeouts of a call; an entry answers a withdrawal only after it has told its peers.
const TIMEOUTS: ServiceTimeouts = ServiceTimeouts {
    connect_ms: 1_000,
    call_ms: 4_000,
};

/// Most bytes of an answer: the status of 14,000 workers and 440 teams fits several times.
const ANSWER_MAX_BYTES: u64 = 16 * 1_024 * 1_024;

/// Why an entry gave no answer that can be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorsFailure {
    /// Nothing answered at the address, or the answer was lost.
    NoAnswer(SmolStr),
    /// The entry refused the call.
    Refused(SmolStr),
    /// Something answered that does not speak this protocol.
    Malformed(SmolStr),
}

impl fmt::Display for OperatorsFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoAnswer(reason) => write!(f, "silent: {reason}"),
            Self::Refused(reason) => write!(f, "refused: {reason}"),
            Self::Malformed(reason) => write!(f, "not an entry's answer: {reason}"),
        }
    }
}

/// How far the withdrawal of a key has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawalAck {
    /// Seats that are live.
    pub seats_count: u64,
    /// Seats that refuse the key from now on.
    pub acknowledged_count: u64,
    /// Whether so many refuse it that no other entry can still accept it for long.
    pub is_in_force_everywhere: bool,
}

/// The operators' interface at one address.
#[derive(Clone, Copy, Debug)]
pub struct OperatorsClient {
    address: SocketAddr,
}

impl OperatorsClient {
    /// Returns a client of the entry at `address`; nothing is connected yet.
    pub fn open(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Asks what is in force at the entry and what it counted.
    ///
    /// # Errors
    ///
    /// Why the entry gave no such answer.
    pub fn status(&self) -> Result<EntryStatus, OperatorsFailure> {
        self.call(Method::GET, "/v1/status", Vec::new())
    }

    /// Asks why something would be refused or delayed now.
    ///
    /// # Errors
    ///
    /// Why the entry gave no such answer.
    pub fn explain(&self, question: &Explain) -> Result<Explanation, OperatorsFailure> {
        self.call(Method::POST, "/v1/explain", encode(question)?)
    }

    /// Tells the entry and, through it, its peers to refuse a key.
    ///
    /// # Errors
    ///
    /// Why the entry gave no such answer; the key may be refused even so.
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
        let answer = call.send().map_err(silent)?;
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

fn silent(failure: HttpFailure) -> OperatorsFailure {
    OperatorsFailure::NoAnswer(match failure {
        HttpFailure::NotSent(reason) => reason,
        HttpFailure::Lost(loss) => format_smolstr!("{loss}"),
    })
}
