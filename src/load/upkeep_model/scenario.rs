//! What happens in an experiment, and which policies answer it.

use crate::lists::MeasureWeights;
use crate::upkeep::budget::RackRule;
use crate::upkeep::buffers::SurvivedFailure;
use crate::upkeep::keys::{RackKey, ZoneKey};
use crate::upkeep::moves::MoveSettings;
use crate::upkeep::rollout::RolloutSettings;

/// How roll-outs are driven.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum RolloutPolicy {
    /// As fast as the budgets allow, each return followed by the next stop.
    Budgets,
    /// Whole waves: the next begins when the last instance of the one before is back.
    WholeWaves,
    /// One instance of the fleet at a time.
    OneByOne,
    /// As `Budgets`, but reboots after a fixed time whether the drain has ended or not.
    FixedDrain,
}

/// How moves are decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum MovePolicy {
    /// Nothing is ever moved.
    Never,
    /// Instances follow the demand of the last seconds.
    FollowDemand,
    /// The decision of [`crate::upkeep::moves`].
    Evidence,
}

/// How a bad image shows itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadImageKind {
    /// The instance does not come back from its reboot.
    NoReturn,
    /// The instance comes back and fails soon after.
    FailsOnTrial,
}

/// A fault that the maintenance itself brings about.
#[derive(Clone, Copy, Debug)]
pub struct BadImage {
    /// Reboots from this time on are affected.
    pub from_ms: u64,
    /// Reboots from this time on are sound again.
    pub until_ms: u64,
    /// Part of the reboots that are affected, in thousandths.
    pub part_permille: u32,
    /// How it shows.
    pub kind: BadImageKind,
}

/// A change of one queue's mean demand for a long time.
#[derive(Clone, Copy, Debug)]
pub struct DemandShift {
    /// Pool that runs the queue.
    pub pool: u16,
    /// Start.
    pub from_ms: u64,
    /// End.
    pub until_ms: u64,
    /// Demand in thousandths of what it would be otherwise.
    pub factor_permille: u32,
}

/// What is lost at once.
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

/// Script and settings of a run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Length of the run in milliseconds; a run with a roll-out ends with it if that is sooner.
    pub duration_ms: u64,
    /// Time between two steps of the model, in milliseconds.
    pub step_ms: u64,
    /// Start of a roll-out.
    pub rollout_at_ms: Option<u64>,
    /// Fault brought about by the roll-out.
    pub bad_image: Option<BadImage>,
    /// Time at which the entry that drives the roll-out is lost.
    pub driver_lost_at_ms: Option<u64>,
    /// Entries that drive at the same time; more than one models entries with different views.
    pub drivers_count: u32,
    /// Failures of single instances, in thousandths of the fleet a day.
    pub failures_permille_per_day: u32,
    /// Loss of a rack or a zone.
    pub loss: Option<DomainLoss>,
    /// Whether work arrives; without, only roll-outs are of interest.
    pub has_demand: bool,
    /// Long changes of demand.
    pub shifts: Vec<DemandShift>,
    /// Racks of a pool in which stops may be under way together.
    pub racks: RackRule,
    /// Policy of roll-outs.
    pub rollout_policy: RolloutPolicy,
    /// Policy of moves.
    pub move_policy: MovePolicy,
    /// Settings of roll-outs.
    pub rollout_settings: RolloutSettings,
    /// Settings of moves.
    pub move_settings: MoveSettings,
    /// Failure that buffers are kept for.
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
