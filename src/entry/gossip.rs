//! What entries tell each other several times a second. All of it is a hint but for withdrawals of
//! keys, which take effect wherever they are heard.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    fleet::{Offset, PoolName, Resources, TeamName},
    ledger::{KeyId, SeatId},
};

/// One entry's view, as it tells its peers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Seat of the sender.
    pub seat: SeatId,
    /// Name of the entry instance.
    pub entry: SmolStr,
    /// Address of its peer port.
    pub peers_address: SmolStr,
    /// All records below this offset are folded there.
    pub next_offset: Offset,
    /// Version of the lists in force there.
    pub lists_version: u64,
    /// Whether the sender takes work.
    pub is_ready: bool,
    /// Whether the sender is stopping.
    pub is_draining: bool,
    /// Whether the sender is out of touch with the instance list.
    #[serde(default)]
    pub is_list_stale: bool,
    /// Withdrawals that the sender knows and has not read from the log yet.
    pub withdrawn: Vec<KeyId>,
    /// Demand on the upper limits of teams.
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
    /// Requests waiting with this pool as the preferred one.
    pub waiting_requests: u32,
    /// Part of its time to start that the longest waiting request has used up, in thousandths.
    pub waited_permille: u32,
}

/// What one entry wants of a team's upper limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Requests running.
    pub running_requests: u32,
    /// Requests waiting.
    pub waiting_requests: u32,
    /// How long the oldest has waited.
    pub oldest_wait_ms: u64,
}

/// What one entry has running and waiting of one team in one pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipUsage {
    /// Team; empty for work from queues open to all.
    pub team: TeamName,
    /// Pool.
    pub pool: PoolName,
    /// Sum of the sizes running.
    pub running: Resources,
    /// Requests running.
    pub running_requests: u32,
    /// Requests waiting.
    pub waiting_requests: u32,
}
