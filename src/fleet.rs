//! Names, resources and instance states of the fleet, shared by all other modules: availability
//! zones, racks, pools, instances, teams and queues.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Name of an instance, for example `lhr-a-r1-w03`; it stays the same across reboots.
pub type InstanceName = SmolStr;

/// Name of a pool.
pub type PoolName = SmolStr;

/// Name of a team.
pub type TeamName = SmolStr;

/// Name of a queue.
pub type QueueName = SmolStr;

/// Name of a plan.
pub type PlanName = SmolStr;

/// Name of an availability zone.
pub type ZoneName = SmolStr;

/// Name of a rack; unique within the fleet.
pub type RackName = SmolStr;

/// A duration or a point in monotonic time, in milliseconds; code without a clock of its own gets
/// it from its caller.
pub type MonoMs = u64;

/// Milliseconds since the Unix epoch.
pub type UnixMs = u64;

/// Position of a record in the log.
pub type Offset = u64;

/// Resources that a request needs or a worker offers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// Processor capacity in thousandths of a core.
    pub cores_milli: u64,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Whole accelerators.
    pub accelerators_count: u64,
}

impl Resources {
    /// Returns whether every component of `self` is at most that of `other`.
    pub fn fits_in(&self, other: &Self) -> bool {
        self.cores_milli <= other.cores_milli
            && self.memory_mb <= other.memory_mb
            && self.accelerators_count <= other.accelerators_count
    }

    /// Returns the component-wise sum.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cores_milli: self.cores_milli + other.cores_milli,
            memory_mb: self.memory_mb + other.memory_mb,
            accelerators_count: self.accelerators_count + other.accelerators_count,
        }
    }

    /// Returns the component-wise difference, at least zero in each component.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cores_milli: self.cores_milli.saturating_sub(other.cores_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators_count: self
                .accelerators_count
                .saturating_sub(other.accelerators_count),
        }
    }

    /// Returns the largest fraction that a component of `self` takes of the same component of
    /// `capacity`.
    ///
    /// This is the dominant share of Ghodsi et al., "Dominant Resource Fairness", NSDI 2011.
    pub fn dominant_share(&self, capacity: &Self) -> f64 {
        let fraction = |part: u64, whole: u64| match (part, whole) {
            (0, _) => 0.0,
            (_, 0) => f64::INFINITY,
            (part, whole) => part as f64 / whole as f64,
        };
        fraction(self.cores_milli, capacity.cores_milli)
            .max(fraction(self.memory_mb, capacity.memory_mb))
            .max(fraction(
                self.accelerators_count,
                capacity.accelerators_count,
            ))
    }
}

/// One row of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRow {
    /// Name, which stays the same across reboots.
    pub name: InstanceName,
    /// Incarnation of the instance: every boot has a new one, even at the same address.
    pub incarnation: SmolStr,
    /// Address of the worker's HTTP port as `ip:port`.
    pub address: SmolStr,
    /// Pool that the platform delivered the instance to; from then on the ledger assigns its pool.
    pub pool: PoolName,
    /// Availability zone.
    pub zone: ZoneName,
    /// Rack.
    pub rack: RackName,
    /// Whether the platform is about to remove the instance.
    pub leaving: bool,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Maximum number of requests that the worker runs at once.
    pub slots_count: u32,
}

/// State of an instance, as far as this process knows.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    /// Listed, reachable and accepting work.
    Serving,
    /// Suspect: listed, but unreachable or ejected because of its outcomes. Counts as unavailable
    /// in budgets.
    Doubtful,
    /// Finishing its running work and accepting no new work.
    Draining,
    /// Stopped for maintenance or a move.
    Stopped,
    /// Failed, or no longer in the instance list.
    Down,
}

impl Standing {
    /// Returns whether an availability budget counts the instance as available.
    pub fn is_available(self) -> bool {
        matches!(self, Self::Serving)
    }
}
