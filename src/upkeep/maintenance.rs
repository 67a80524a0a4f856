//! Maintenance of one instance: claim, drain, reboot, return. The stage stands in the ledger, so
//! any entry can take the next step.

use serde::{Deserialize, Serialize};

use super::drain::DrainEvidence;
use crate::fleet::UnixMs;

/// How far the maintenance of an instance has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum StopStage {
    /// It takes no new work and ends what it runs.
    Draining,
    /// Its reboot has been ordered.
    Rebooting,
}

/// An accepted claim to stop an instance for maintenance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopClaim {
    /// Stage that the ledger records.
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
    /// Last time that it failed to return, or turned bad soon after it had.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub bad_at_unix_ms: Option<UnixMs>,
    /// Claim under way.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub claim: Option<StopClaim>,
    /// Time at which it last became available or ceased to be.
    pub availability_since_unix_ms: UnixMs,
}

/// What this process sees of an instance under a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopObservation {
    /// State of its drain.
    pub drain: DrainEvidence,
    /// Whether an incarnation younger than the reboot order is listed and answers as healthy.
    pub has_returned: bool,
}

/// Next step of a maintenance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum StopStep {
    /// Nothing to do yet.
    Wait,
    /// Record the stage `Rebooting`, then order the reboot of the incarnation that drained.
    Reboot,
    /// Record the return; the instance serves again.
    Return,
    /// Record that the instance failed to return; it counts as down.
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
