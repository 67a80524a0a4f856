//! The operators' lists in the form that the job engine uses: queues, pools, teams and keys.

use std::collections::HashMap;

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::jobs::spec::Size;

/// A queue to which callers submit jobs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Queue {
    /// Name, which stays the same when the address of the queue changes.
    pub name: SmolStr,
    /// Host that calls to the queue name.
    pub host: SmolStr,
    /// Path with which calls to the queue begin.
    pub path_prefix: SmolStr,
    /// Pool whose workers run the queue's tasks.
    pub pool: SmolStr,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs after which a task is not run again.
    pub attempts_max: u32,
    /// Part of a job's target time that is a multiple of its longest chain.
    pub target_chain_factor: f64,
    /// Part of a job's target time that does not depend on its size, in milliseconds.
    pub target_latency_ms: u64,
    /// Whether calls need no key.
    pub is_open: bool,
    /// Whether workers need a ticket of the eligibility service to run a step.
    pub needs_tickets: bool,
}

/// A pool of workers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pool {
    /// Whether its instances are switched off, in standby.
    pub is_standby: bool,
    /// Whether its workers refuse tasks that exceed their capacity.
    pub enforces_capacity: bool,
    /// Most starts a second on a worker that is still slow after its own start; 0 for no limit.
    pub cold_starts_per_s: f64,
}

/// A team and its limits.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Team {
    /// Name.
    pub name: SmolStr,
    /// Weight of its share of a full pool.
    pub weight: f64,
    /// Most resources that its running tasks may take; 0 in a field means no limit for it.
    pub limit: Size,
}

/// One version of the lists.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Version, which increases with each change.
    pub version: u64,
    /// Queues by name.
    pub queues: IndexMap<SmolStr, Queue>,
    /// Pools by name.
    pub pools: IndexMap<SmolStr, Pool>,
    /// Teams by name.
    pub teams: IndexMap<SmolStr, Team>,
    /// Team of each key.
    pub keys: HashMap<SmolStr, SmolStr>,
    /// Largest accepted body, in bytes.
    pub body_max_bytes: usize,
}

/// Why a call is denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Denial {
    /// No queue has this host and path.
    NoQueue,
    /// The key is missing or unknown.
    BadKey,
}

impl Catalog {
    /// Finds the queue of a call: the one with its host and the longest matching path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let matches = |queue: &&Queue| {
            queue.host.eq_ignore_ascii_case(host) && path.starts_with(queue.path_prefix.as_str())
        };
        let queues = self.queues.values().filter(matches);
        queues.max_by_key(|queue| queue.path_prefix.len())
    }

    /// Finds the team of a call to `queue`; empty for a call without a known key to an open queue.
    pub fn team_of(&self, queue: &Queue, key: Option<&str>) -> Result<SmolStr, Denial> {
        match key.and_then(|key| self.keys.get(key)) {
            Some(team) => Ok(team.clone()),
            None if queue.is_open => Ok(SmolStr::default()),
            None => Err(Denial::BadKey),
        }
    }

    /// Returns the first standby pool.
    pub fn standby_pool(&self) -> Option<&SmolStr> {
        let mut pools = self.pools.iter();
        pools
            .find(|(_, pool)| pool.is_standby)
            .map(|(name, _)| name)
    }
}
