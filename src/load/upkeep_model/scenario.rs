//! Scenarios of the maintenance experiments: their events, policies and settings.

use crate::lists::MeasureWeights;
use crate::upkeep::budget::RackRule;
use crate::upkeep::buffers::SurvivedFailure;
use crate::upkeep::keys::{RackKey, ZoneKey};
use crate::upkeep::moves::MoveSettings;
use crate::upkeep::rollout::RolloutSettings;

/// Policies of roll-outs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum RolloutPolicy {
    /// As fast as the budgets allow; the next stop follows each return.
    Budgets,
    /// Whole waves: the next wave starts when the last instance of the previous one has returned.
    WholeWaves,
    /// One instance at a time.
    OneByOne,
    /// As `Budgets`, but with a reboot after a fixed time, even if the drain has not ended.
    FixedDrain,
}

/// Policies of moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum MovePolicy {
    /// No moves.
    Never,
    /// Baseline: instances follow the demand of the last seconds.
    FollowDemand,
    /// The decisions of [`crate::upkeep::moves`].
    Evidence,
}

/// Symptom of a bad image.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadImageKind {
    /// The instance does not return from its reboot.
    NoReturn,
    /// The instance returns and fails soon after.
    FailsOnProbation,
}

/// A bad image that maintenance installs.
#[derive(Clone, Copy, Debug)]
pub struct BadImage {
    /// Reboots from this time on are affected.
    pub from_ms: u64,
    /// Reboots from this time on are good again.
    pub until_ms: u64,
    /// Part of the reboots that are affected, in thousandths.
    pub part_permille: u32,
    /// Symptom.
    pub kind: BadImageKind,
}

/// A long change of one queue's mean demand.
#[derive(Clone, Copy, Debug)]
pub struct DemandShift {
    /// Pool that runs the queue.
    pub pool: u16,
    /// Start.
    pub from_ms: u64,
    /// End.
    pub until_ms: u64,
    /// Demand in thousandths of the demand without the change.
    pub factor_permille: u32,
}

/// A group of instances that can fail together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureDomain {
    /// One rack.
    Rack(RackKey),
    /// One availability zone.
    Zone(ZoneKey),
}

/// The loss of a failure domain.
#[derive(Clone, Copy, Debug)]
pub struct DomainLoss {
    /// The domain.
    pub domain: FailureDomain,
    /// Time of the loss.
    pub at_ms: u64,
}

/// Events, policies and settings of a run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Length of the run in milliseconds. A run without demand ends once its roll-out has finished.
    pub duration_ms: u64,
    /// Time between two steps of the simulation, in milliseconds.
    pub step_ms: u64,
    /// Start of a roll-out.
    pub rollout_at_ms: Option<u64>,
    /// Bad image that the roll-out installs.
    pub bad_image: Option<BadImage>,
    /// Time at which the entry that drives the roll-out is lost.
    pub driver_lost_at_ms: Option<u64>,
    /// Number of entries that act as the driver at the same time; more than one simulates entries
    /// with different views.
    pub drivers_count: u32,
    /// Failures of single instances, in thousandths of the fleet per day.
    pub failures_permille_per_day: u32,
    /// Loss of a rack or a zone.
    pub loss: Option<DomainLoss>,
    /// Whether work arrives; if not, the run only tests roll-outs.
    pub has_demand: bool,
    /// Long changes of demand.
    pub shifts: Vec<DemandShift>,
    /// Rule on the racks of a pool in which stops may be in progress at the same time.
    pub racks: RackRule,
    /// Policy of roll-outs.
    pub rollout_policy: RolloutPolicy,
    /// Policy of moves.
    pub move_policy: MovePolicy,
    /// Settings of roll-outs.
    pub rollout_settings: RolloutSettings,
    /// Settings of moves.
    pub move_settings: MoveSettings,
    /// Failure that the buffers must cover.
    pub survived_failure: SurvivedFailure,
    /// Weights of the four measures.
    pub weights: MeasureWeights,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            duration_ms: 6 * 3_600_000,
            step_ms: 1000,
            rollout_at_ms: None,
            bad_image: None,
            driver_lost_at_ms: None,
            drivers_count: 1,
            failures_permille_per_day: 0,
            loss: None,
            has_demand: false,
            shifts: Vec::new(),
            racks: RackRule::default(),
            rollout_policy: RolloutPolicy::Budgets,
            move_policy: MovePolicy::Never,
            rollout_settings: RolloutSettings::default(),
            move_settings: MoveSettings::default(),
            survived_failure: SurvivedFailure::Rack,
            weights: MeasureWeights::default(),
        }
    }
}
