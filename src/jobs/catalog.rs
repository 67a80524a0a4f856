//! The operators' lists as the job engine uses them: queues, pools, teams and keys.

use std::collections::HashMap;

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::jobs::spec::Size;

/// A queue that callers hand jobs to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Queue {
    /// Name, which stays when the address of the queue changes.
    pub name: SmolStr,
    /// Host that calls to the queue name.
    pub host: SmolStr,
    /// Path that calls to the queue begin with.
    pub path_prefix: SmolStr,
    /// Pool whose workers run the queue's tasks.
    pub pool: SmolStr,
    /// 0 goes first.
    pub priority: u32,
    /// Failed runs after which a task is not run again.
    pub attempts_max: u32,
    /// Part of a job's target, as a multiple of its longest chain.
    pub target_chain_factor: f64,
    /// Part of a job's target that does not depend on its size, in milliseconds.
    pub target_latency_ms: u64,
    /// Whether calls need no key.
    pub is_open: bool,
    /// Whether the eligibility service says which workers may run a step.
    pub needs_tickets: bool,
}

/// A pool of workers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pool {
    /// Its instances are off.
    pub is_standby: bool,
}

/// A team and what it may use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Team {
    /// Name.
    pub name: SmolStr,
    /// Share when the fleet is full.
    pub weight: f64,
    /// Most that it may have running; 0 in a field sets no limit there.
    pub limit: Size,
}

/// One version of the lists.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Rises with each change.
    pub version: u64,
    /// Queues by name.
    pub queues: IndexMap<SmolStr, Queue>,
    /// Pools by name.
    pub pools: IndexMap<SmolStr, Pool>,
    /// Teams by name.
    pub teams: IndexMap<SmolStr, Team>,
    /// Team of each key.
    pub keys: HashMap<SmolStr, SmolStr>,
    /// Largest body that is taken, in bytes.
    pub body_max_bytes: usize,
}

/// Why a call is not let through.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Denial {
    /// No queue has this host and path.
    NoQueue,
    /// The key is missing or nobody's.
    BadKey,
}

impl Catalog {
    /// Finds the queue of a call: the one of its host with the longest prefix of its path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let matches = |queue: &&Queue| {
            queue.host.eq_ignore_ascii_case(host) && path.starts_with(queue.path_prefix.as_str())
        };
        let queues = self.queues.values().filter(matches);
        queues.max_by_key(|queue| queue.path_prefix.len())
    }

    /// Finds the team of a call to `queue`: nobody's for an open queue.
    pub fn team_of(&self, queue: &Queue, key: Option<&str>) -> Result<SmolStr, Denial> {
        match key.and_then(|key| self.keys.get(key)) {
            Some(team) => Ok(team.clone()),
            None if queue.is_open => Ok(SmolStr::default()),
            None => Err(Denial::BadKey),
        }
    }

    /// Returns the first pool whose instances are off.
    pub fn standby_pool(&self) -> Option<&SmolStr> {
        let mut pools = self.pools.iter();
        pools
            .find(|(_, pool)| pool.is_standby)
            .map(|(name, _)| name)
    }
}
