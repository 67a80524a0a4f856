//! Targets of a load test, and the behaviour of its callers.

use std::net::SocketAddr;

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::fleet::{InstanceRow, TeamName};

/// Keys of each team; the callers of a team use them in round-robin order.
pub type TeamKeys = IndexMap<TeamName, Vec<SmolStr>>;

/// Targets of the requests.
#[derive(Clone, Debug)]
pub enum Targets {
    /// The entries.
    Entries {
        /// Callers' addresses of the entries.
        addresses: Vec<SocketAddr>,
        /// Keys of the teams, sent with the requests.
        keys: TeamKeys,
    },
    /// The workers directly, in round-robin order: the baseline.
    Workers {
        /// Rows of the instance list.
        rows: Vec<InstanceRow>,
    },
}

/// Behaviour of the callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerSettings {
    /// Whether callers retry: after the time given in a refusal, and at another entry after a lost
    /// call.
    pub is_retrying: bool,
    /// Largest number of requests in flight; further requests are counted as lost and not sent.
    pub in_flight_max_count: usize,
    /// Number of threads of the callers' runtime.
    pub threads_count: usize,
    /// How long a caller waits for an answer after the deadline.
    pub grace_ms: u64,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            is_retrying: false,
            in_flight_max_count: 20_000,
            threads_count: 2,
            grace_ms: 2_000,
        }
    }
}
