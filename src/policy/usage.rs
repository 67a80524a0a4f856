//! What is counted of usage: the load of requests, and the rows in which entries tell each other.

use crate::fleet::Resources;
use crate::policy::keys::{PoolKey, TeamKey};

/// Team of a request; `None` stands for all work from queues open to all together.
pub type TeamOrOpen = Option<TeamKey>;

/// What one peer reports of one team in one pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageRow {
    /// Team, or `None` for work from queues open to all.
    pub team: TeamOrOpen,
    /// Pool.
    pub pool: PoolKey,
    /// Sum of the sizes that the peer has running.
    pub running: Resources,
    /// Requests that the peer has running.
    pub running_count: u32,
    /// Requests that wait at the peer with this pool as the preferred one.
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

/// What requests take together: their sizes, and a slot of a worker each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Sum of the sizes.
    pub size: Resources,
    /// Requests, each of which holds one slot.
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

    /// Returns the difference, at least zero in each part.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            size: self.size.minus(&other.size),
            slots_count: self.slots_count.saturating_sub(other.slots_count),
        }
    }

    /// Returns the dominant share of `capacity`, slots counted as one more resource: they are what
    /// workers run out of first, and a declared size far too small cannot hide them.
    pub fn dominant_share(&self, capacity: &Self) -> f64 {
        let of_slots = match (self.slots_count, capacity.slots_count) {
            (0, _) => 0.0,
            (_, 0) => f64::INFINITY,
            (part, whole) => part as f64 / whole as f64,
        };
        of_slots.max(self.size.dominant_share(&capacity.size))
    }
}
