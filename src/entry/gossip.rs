//! The gossip that entries exchange several times a second. All of it is a hint, except withdrawals
//! of keys, which take effect at every entry that receives them.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    fleet::{Offset, PoolName, Resources, TeamName},
    ledger::{KeyId, SeatId},
};

/// The state that one entry reports to its peers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Seat of the sender.
    pub seat: SeatId,
    /// Name of the entry instance.
    pub entry: SmolStr,
    /// Address of its peer port.
    pub peers_address: SmolStr,
    /// All records below this offset are folded at the sender.
    pub next_offset: Offset,
    /// Version of the lists in force at the sender.
    pub lists_version: u64,
    /// Whether the sender accepts work.
    pub is_ready: bool,
    /// Whether the sender is stopping.
    pub is_draining: bool,
    /// Whether the sender's instance list is stale.
    #[serde(default)]
    pub is_list_stale: bool,
    /// Keys whose withdrawal the sender knows and has not read from the log yet.
    pub withdrawn: Vec<KeyId>,
    /// Demand on the limits of teams.
    pub demand: IndexMap<TeamName, Demand>,
    /// Requests running and waiting by pool.
    pub pools: IndexMap<PoolName, PoolLoad>,
    /// Usage by team and pool.
    pub usage: Vec<GossipUsage>,
}

/// Requests of one entry in one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// Requests running.
    pub running_requests: u32,
    /// Requests waiting whose first choice is this pool.
    pub waiting_requests: u32,
    /// Largest part of its time to start that a waiting request has used up, in thousandths.
    pub waited_permille: u32,
}

/// Demand of one entry on a team's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Requests running.
    pub running_requests: u32,
    /// Requests waiting.
    pub waiting_requests: u32,
    /// Time that the oldest request has waited, in milliseconds.
    pub oldest_wait_ms: u64,
}

/// One team's running and waiting requests in one pool at one entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipUsage {
    /// Team; empty for work from queues open to all.
    pub team: TeamName,
    /// Pool.
    pub pool: PoolName,
    /// Sum of the sizes of the running requests.
    pub running: Resources,
    /// Requests running.
    pub running_requests: u32,
    /// Requests waiting.
    pub waiting_requests: u32,
}
