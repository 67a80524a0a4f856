//! Maintenance of one instance: claim, drain, reboot, return. The stage is stored in the ledger, so
//! that any entry can take the next step.

use serde::{Deserialize, Serialize};

use super::drain::DrainEvidence;
use crate::fleet::UnixMs;

/// Stage of the maintenance of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum StopStage {
    /// The instance accepts no new work and finishes its running requests.
    Draining,
    /// The reboot of the instance has been ordered.
    Rebooting,
}

/// An accepted claim to stop an instance for maintenance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopClaim {
    /// Current stage.
    pub stage: StopStage,
    /// Time at which the stage began.
    pub since_unix_ms: UnixMs,
}

/// The ledger's record of the maintenance of one instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceMaintenance {
    /// Time of its last return from maintenance.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub maintained_at_unix_ms: Option<UnixMs>,
    /// Last time at which it failed to return, or went bad soon after its return.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub bad_at_unix_ms: Option<UnixMs>,
    /// Claim in progress.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub claim: Option<StopClaim>,
    /// Time at which it last became available or unavailable.
    pub availability_since_unix_ms: UnixMs,
}

/// State of an instance under a claim, as observed by this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopObservation {
    /// State of its drain.
    pub drain: DrainEvidence,
    /// Whether an incarnation newer than the reboot order is listed and answers as healthy.
    pub has_returned: bool,
}

/// Next step of the maintenance of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum StopStep {
    /// Nothing to do for now.
    Wait,
    /// Record the stage `Rebooting`, then order the reboot of the drained incarnation.
    Reboot,
    /// Record the return. The instance serves again.
    Return,
    /// Record that the instance failed to return. It counts as down.
    MarkBad,
}

/// Returns the next step for an instance under `claim`.
pub fn next_step(
    claim: &StopClaim,
    seen: &StopObservation,
    return_timeout_ms: u64,
    now_unix_ms: UnixMs,
) -> StopStep {
    let in_stage_ms = now_unix_ms.saturating_sub(claim.since_unix_ms);
    match claim.stage {
        StopStage::Draining if seen.drain.is_empty(now_unix_ms) => StopStep::Reboot,
        StopStage::Draining => StopStep::Wait,
        StopStage::Rebooting if seen.has_returned => StopStep::Return,
        StopStage::Rebooting if in_stage_ms > return_timeout_ms => StopStep::MarkBad,
        StopStage::Rebooting => StopStep::Wait,
    }
}
