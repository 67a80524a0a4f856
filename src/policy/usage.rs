//! Units of usage: the load of requests, and the rows in which entries report usage to each other.

use crate::fleet::Resources;
use crate::policy::keys::{PoolKey, TeamKey};

/// Team of a request. `None` is the work from all queues open to all, counted together.
pub type TeamOrOpen = Option<TeamKey>;

/// Usage of one team in one pool, as one peer reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageRow {
    /// Team, or `None` for work from queues open to all.
    pub team: TeamOrOpen,
    /// Pool.
    pub pool: PoolKey,
    /// Sum of the sizes of the requests that the peer runs.
    pub running: Resources,
    /// Number of requests that the peer runs.
    pub running_count: u32,
    /// Number of requests that wait at the peer and prefer this pool.
    pub waiting_count: u32,
}

impl UsageRow {
    /// Returns a row with nothing running and nothing waiting.
    pub fn idle(team: TeamOrOpen, pool: PoolKey) -> Self {
        Self {
            team,
            pool,
            running: Resources::default(),
            running_count: 0,
            waiting_count: 0,
        }
    }
}

/// Total load of a set of requests: the sum of their sizes, and one worker slot each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Sum of the sizes.
    pub size: Resources,
    /// Number of requests, each of which holds one slot.
    pub slots_count: u64,
}

impl Load {
    /// Returns the load of one request.
    pub fn of_request(size: &Resources) -> Self {
        Self {
            size: *size,
            slots_count: 1,
        }
    }

    pub(crate) fn of_row(row: &UsageRow) -> Self {
        Self {
            size: row.running,
            slots_count: u64::from(row.running_count),
        }
    }

    /// Returns the sum of both.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            size: self.size.plus(&other.size),
            slots_count: self.slots_count + other.slots_count,
        }
    }

    /// Returns the difference, with each part at least zero.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            size: self.size.minus(&other.size),
            slots_count: self.slots_count.saturating_sub(other.slots_count),
        }
    }

    /// Returns the dominant share of `capacity`. Slots count as one more resource, because workers
    /// run out of slots first and a declared size that is far too small cannot hide them.
    pub fn dominant_share(&self, capacity: &Self) -> f64 {
        let of_slots = match (self.slots_count, capacity.slots_count) {
            (0, _) => 0.0,
            (_, 0) => f64::INFINITY,
            (part, whole) => part as f64 / whole as f64,
        };
        of_slots.max(self.size.dominant_share(&capacity.size))
    }
}
