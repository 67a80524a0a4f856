//! Settings of the engine.

use crate::jobs::demand_forecast::ForecastMethod;
use crate::jobs::record::RECORD_OVERHEAD_BYTES;

/// Part of a record that a checkpoint may take, as a divisor.
const CHECKPOINT_DIVISOR: usize = 32;

/// Fencing token of the first leader.
const FIRST_FENCE: u64 = 1;

/// Settings of the engine, taken from the deployment.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Fencing token of this leader; each new leader has a higher one.
    pub fence: u64,
    /// Lease that each poll and each start gives to the runs of a worker, in milliseconds.
    pub run_lease_ms: u64,
    /// Longest lease that a worker grants, in milliseconds; it shortens longer ones.
    pub run_lease_max_ms: u64,
    /// Longest time that a worker holds a poll while it waits for a run to end, in milliseconds.
    pub poll_wait_ms: u64,
    /// Most starts that one step orders. What it leaves goes with the next step, in the order that
    /// holds then.
    pub starts_per_step_max: usize,
    /// Time that a worker may take to stop a run, in milliseconds.
    pub stop_ms: u64,
    /// Longest time, from the start of this leader, for which a run leased by an earlier leader can
    /// continue at an unreachable worker, in milliseconds.
    pub inherited_runs_max_ms: u64,
    /// Time for which the state of an ended job can be queried, in milliseconds.
    pub ended_retention_ms: u64,
    /// Time that moving an instance takes, in milliseconds.
    pub move_ms: u64,
    /// Time that the maintenance of an instance takes, in milliseconds.
    pub maintain_ms: u64,
    /// Time after which an order to an instance is old enough for one of another leader, in
    /// milliseconds.
    pub instance_lease_ms: u64,
    /// Time for which this leader waits for orders of earlier ones, in milliseconds; 0 for the first
    /// leader.
    pub earlier_orders_wait_ms: u64,
    /// Run time of a task outside the rack of its data relative to that inside, in thousandths.
    /// With 1,000 or less, no task waits for a rack.
    pub remote_factor_permille: u64,
    /// Age of the list of workers from which no task is started by the capacities in it, where
    /// workers do not enforce them, in milliseconds; 0 for no limit.
    pub capacity_age_max_ms: u64,
    /// How the demand of pools is forecast.
    pub forecast: ForecastMethod,
    /// Most bytes of a record of the store.
    pub record_max_bytes: usize,
}

impl EngineSettings {
    /// Returns whether other leaders may have acted before this one.
    pub(crate) fn has_earlier_leaders(&self) -> bool {
        self.fence > FIRST_FENCE
    }

    /// Returns the most bytes of the value of a record.
    pub(crate) fn value_max_bytes(&self) -> usize {
        self.record_max_bytes.saturating_sub(RECORD_OVERHEAD_BYTES)
    }

    /// Returns the most bytes of a checkpoint. Each is persisted with the progress of its job.
    pub(crate) fn checkpoint_max_bytes(&self) -> usize {
        self.value_max_bytes() / CHECKPOINT_DIVISOR
    }
}
