//! Where a load run sends its requests.

use std::net::SocketAddr;

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::fleet::{InstanceRow, TeamName};

/// Keys of each team; the callers of a team use them in turn.
pub type TeamKeys = IndexMap<TeamName, Vec<SmolStr>>;

/// Where requests go.
#[derive(Clone, Debug)]
pub enum Targets {
    /// To the entries, with the teams' keys.
    Entries {
        /// Callers' addresses of the entries.
        addresses: Vec<SocketAddr>,
        /// Keys of the teams.
        keys: TeamKeys,
    },
    /// Straight to the workers in turn: the baseline.
    Workers {
        /// Rows of the instance list.
        rows: Vec<InstanceRow>,
    },
}

/// How the callers behave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerSettings {
    /// Whether they come back when a refusal says so, and elsewhere when a call was lost.
    pub is_retrying: bool,
    /// Requests in flight at most; more are counted and not sent.
    pub in_flight_max_count: usize,
    /// Threads that serve the callers.
    pub threads_count: usize,
    /// Time past the deadline for which a caller waits.
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
