//! Roll-outs: rolling maintenance of every instance, in waves ordered by zone and rack, as fast as
//! the budgets allow.
//!
//! The driver has no state. Each call reads the ledger's fold and proposes the largest set of stops
//! that the budgets allow now, so that any entry can continue after the loss of another. A roll-out
//! starts with few instances and grows by a factor with the number that returned healthy. It halts
//! when too many members of its waves go bad, and starts small again once they are healthy or gone.

use serde::{Deserialize, Serialize};

use super::budget::BudgetView;
use super::keys::InstanceKey;
use super::maintenance::InstanceMaintenance;
use super::progress::{scan_fleet, ProgressCounts};
use super::wave::next_wave;
use crate::fleet::UnixMs;
use crate::lists::MeasureWeights;

/// Settings of roll-outs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RolloutSettings {
    /// Time after the reboot order within which an instance must return, in milliseconds.
    pub return_timeout_ms: u64,
    /// Time after its return during which an instance is on probation, in milliseconds.
    pub probation_ms: u64,
    /// Time after its return during which a member of a wave counts in the part of bad members, in
    /// milliseconds.
    pub window_ms: u64,
    /// Minimum number of bad members that halts a roll-out.
    pub bad_min_count: u32,
    /// Part of the members within the window that may be bad, in thousandths. A larger part halts
    /// the roll-out.
    pub bad_max_permille: u32,
    /// Instances that may be stopped or on probation at once at the start, and again after a halt.
    pub ramp_first_count: u32,
    /// Instances that may be stopped or on probation at once, per instance that returned healthy.
    pub ramp_factor: u32,
    /// Maximum stops proposed by one call, which limits the appends of the call.
    pub claims_max_count: u32,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self {
            return_timeout_ms: 600_000,
            probation_ms: 60_000,
            window_ms: 1_200_000,
            bad_min_count: 2,
            bad_max_permille: 100,
            ramp_first_count: 1,
            ramp_factor: 16,
            claims_max_count: 64,
        }
    }
}

/// The ledger's record of a roll-out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Start time. Instances last maintained before it are due.
    pub started_at_unix_ms: UnixMs,
    /// Time of the last halt, if any.
    pub halted_at_unix_ms: Option<UnixMs>,
}

/// Input of a roll-out: the fold, and the pressure that the entries observe.
#[derive(Clone, Copy, Debug)]
pub struct RolloutView<'a> {
    /// Counts and budgets.
    pub budget: BudgetView<'a>,
    /// Maintenance records of the instances, indexed by [`InstanceKey`].
    pub maintenance: &'a [InstanceMaintenance],
    /// The roll-out.
    pub rollout: Rollout,
    /// Whether work waits for the pool, indexed by [`crate::upkeep::PoolKey`]. For a pool beyond
    /// the end no work waits.
    pub is_under_pressure: &'a [bool],
    /// Time of the call.
    pub now_unix_ms: UnixMs,
}

/// Action that the driver appends to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutAction {
    /// Record that the roll-out halted.
    Halt,
    /// Record that a member of a wave went bad.
    MarkBad(InstanceKey),
    /// Claim a stop.
    Claim(InstanceKey),
}

/// Phase of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum RolloutPhase {
    /// Stops are claimed as far as the budgets and the ramp allow.
    Running,
    /// Too many members are bad. No stop is claimed.
    Halted,
    /// No instance is due, under a claim, on probation or bad.
    Finished,
}

/// Progress of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RolloutStatus {
    /// Phase.
    pub phase: RolloutPhase,
    /// Instances still to be maintained, not counting those under a claim.
    pub due_count: u32,
    /// Instances under a claim.
    pub stopping_count: u32,
    /// Instances on probation after their return.
    pub on_probation_count: u32,
    /// Instances that have returned and completed their probation.
    pub done_count: u32,
    /// Members of its waves that are currently bad.
    pub bad_count: u32,
    /// Instances that may be under a claim or on probation at once.
    pub ramp_max_count: u32,
}

/// Returns the status of the roll-out.
pub fn assess(view: &RolloutView<'_>, settings: &RolloutSettings) -> RolloutStatus {
    let fleet = scan_fleet(view, settings).fleet;
    let is_finished = fleet.due_count + fleet.due_unavailable_count == 0
        && fleet.stopping_count + fleet.on_probation_count + fleet.bad_count == 0;
    RolloutStatus {
        phase: match () {
            () if is_finished => RolloutPhase::Finished,
            () if fleet.has_too_many_bad(settings) => RolloutPhase::Halted,
            () => RolloutPhase::Running,
        },
        due_count: fleet.due_count + fleet.due_unavailable_count,
        stopping_count: fleet.stopping_count,
        on_probation_count: fleet.on_probation_count,
        done_count: fleet.done_count,
        bad_count: fleet.bad_count,
        ramp_max_count: ramp_max_count(&fleet, settings),
    }
}

/// Returns the actions that the driver appends now: bad members first, then either a halt or the
/// stops of the next wave.
pub fn propose(
    view: &RolloutView<'_>,
    settings: &RolloutSettings,
    weights: &MeasureWeights,
) -> Vec<RolloutAction> {
    let progress = scan_fleet(view, settings);
    let mut actions: Vec<RolloutAction> = progress
        .newly_bad
        .iter()
        .map(|key| RolloutAction::MarkBad(*key))
        .collect();
    match progress.fleet.has_too_many_bad(settings) {
        true if !progress.newly_bad.is_empty() => actions.push(RolloutAction::Halt),
        true => {}
        false => {
            let max_count = wave_max_count(&progress.fleet, settings);
            let wave = next_wave(view, settings, weights, progress, max_count);
            actions.extend(wave.into_iter().map(RolloutAction::Claim));
        }
    }
    actions
}

fn ramp_max_count(fleet: &ProgressCounts, settings: &RolloutSettings) -> u32 {
    let grown_count = fleet.healthy_count.saturating_mul(settings.ramp_factor);
    grown_count.max(settings.ramp_first_count)
}

fn wave_max_count(fleet: &ProgressCounts, settings: &RolloutSettings) -> usize {
    let in_progress_count = fleet.stopping_count + fleet.on_probation_count + fleet.bad_count;
    let ramp_left = ramp_max_count(fleet, settings).saturating_sub(in_progress_count);
    ramp_left.min(settings.claims_max_count) as usize
}
