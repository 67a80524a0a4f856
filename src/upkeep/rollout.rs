//! Roll-outs: maintenance of every instance, in waves ordered by zone and rack, as fast as the
//! budgets allow.
//!
//! The driver keeps no state. Each call reads the ledger's fold and proposes the largest set of
//! stops that the budgets take now, so any entry carries on after the loss of another. A roll-out
//! begins with a few instances and grows by a factor with those that came back well; it halts when
//! members of its waves go bad, and begins again small once they are well or gone.

use serde::{Deserialize, Serialize};

use super::budget::BudgetView;
use super::keys::InstanceKey;
use super::maintenance::InstanceMaintenance;
use super::survey::{survey, Tally};
use super::wave::next_wave;
use crate::fleet::UnixMs;
use crate::lists::MeasureWeights;

/// Settings of roll-outs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RolloutSettings {
    /// Time from the reboot order within which an instance must be back, in milliseconds.
    pub return_timeout_ms: u64,
    /// Time after its return for which an instance is still on trial, in milliseconds.
    pub probation_ms: u64,
    /// Time for which a member of a wave counts towards the part that went bad, in milliseconds.
    pub window_ms: u64,
    /// Bad members that halt a roll-out at least.
    pub bad_min_count: u32,
    /// Part of the members within the window that may be bad, in thousandths.
    pub bad_max_permille: u32,
    /// Instances on trial at once at the start, and again after a halt.
    pub ramp_first_count: u32,
    /// Instances on trial at once for each one that came back well.
    pub ramp_factor: u32,
    /// Stops proposed at once, which bounds the appends of one call.
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
    /// Time of its start: instances maintained before are due.
    pub started_at_unix_ms: UnixMs,
    /// Last time that it halted, if it did.
    pub halted_at_unix_ms: Option<UnixMs>,
}

/// What a roll-out is driven from: the fold, and the pressure that entries see.
#[derive(Clone, Copy, Debug)]
pub struct RolloutView<'a> {
    /// Counts and budgets.
    pub budget: BudgetView<'a>,
    /// Records of the instances, indexed by [`InstanceKey`].
    pub maintenance: &'a [InstanceMaintenance],
    /// The roll-out.
    pub rollout: Rollout,
    /// Whether work waits for the pool, indexed by [`crate::upkeep::PoolKey`]; a pool left out has none
    /// waiting.
    pub is_under_pressure: &'a [bool],
    /// Time of the call.
    pub now_unix_ms: UnixMs,
}

/// What a driver appends to the log next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutAction {
    /// Record that the roll-out halted.
    Halt,
    /// Record that a member of a wave went bad.
    MarkBad(InstanceKey),
    /// Claim a stop.
    Claim(InstanceKey),
}

/// How a roll-out goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum RolloutPhase {
    /// Stops are claimed as the budgets and the ramp allow.
    Running,
    /// Too many members went bad; nothing is claimed.
    Halted,
    /// No instance is due, and none is under way or on trial.
    Finished,
}

/// Progress of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RolloutStatus {
    /// How it goes on.
    pub phase: RolloutPhase,
    /// Instances still to be maintained, those under way not included.
    pub due_count: u32,
    /// Instances under a claim.
    pub stopping_count: u32,
    /// Instances that came back within the probation time.
    pub on_probation_count: u32,
    /// Instances that have come back and stayed well.
    pub done_count: u32,
    /// Members of its waves that are bad now.
    pub bad_count: u32,
    /// Instances that may be on trial or under a claim at once.
    pub ramp_max_count: u32,
}

/// Returns how the roll-out stands.
pub fn assess(view: &RolloutView<'_>, settings: &RolloutSettings) -> RolloutStatus {
    let fleet = survey(view, settings).fleet;
    let is_finished = fleet.due_count + fleet.unable_count == 0
        && fleet.stopping_count + fleet.on_probation_count + fleet.bad_count == 0;
    RolloutStatus {
        phase: match () {
            () if is_finished => RolloutPhase::Finished,
            () if fleet.is_over(settings) => RolloutPhase::Halted,
            () => RolloutPhase::Running,
        },
        due_count: fleet.due_count + fleet.unable_count,
        stopping_count: fleet.stopping_count,
        on_probation_count: fleet.on_probation_count,
        done_count: fleet.done_count,
        bad_count: fleet.bad_count,
        ramp_max_count: ramp_max_count(&fleet, settings),
    }
}

/// Returns what the driver appends now: bad members first, then a halt, or the stops of the next
/// wave.
pub fn propose(
    view: &RolloutView<'_>,
    settings: &RolloutSettings,
    weights: &MeasureWeights,
) -> Vec<RolloutAction> {
    let survey = survey(view, settings);
    let mut actions: Vec<RolloutAction> = survey
        .turned_bad
        .iter()
        .map(|key| RolloutAction::MarkBad(*key))
        .collect();
    match survey.fleet.is_over(settings) {
        true if !survey.turned_bad.is_empty() => actions.push(RolloutAction::Halt),
        true => {}
        false => {
            let max_count = wave_max_count(&survey.fleet, settings);
            let wave = next_wave(view, settings, weights, survey, max_count);
            actions.extend(wave.into_iter().map(RolloutAction::Claim));
        }
    }
    actions
}

fn ramp_max_count(fleet: &Tally, settings: &RolloutSettings) -> u32 {
    let grown = fleet.well_count.saturating_mul(settings.ramp_factor);
    grown.max(settings.ramp_first_count)
}

fn wave_max_count(fleet: &Tally, settings: &RolloutSettings) -> usize {
    let on_probation_count = fleet.stopping_count + fleet.on_probation_count + fleet.bad_count;
    let ramp_left = ramp_max_count(fleet, settings).saturating_sub(on_probation_count);
    ramp_left.min(settings.claims_max_count) as usize
}
