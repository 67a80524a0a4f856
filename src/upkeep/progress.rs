//! Progress of a roll-out: a scan of the fleet for the progress of each instance, with counts for
//! each pool and the whole fleet.

use super::budget::PERMILLE_WHOLE;
use super::counts::Member;
use super::keys::InstanceKey;
use super::maintenance::{InstanceMaintenance, StopStage};
use super::rollout::{RolloutSettings, RolloutView};
use crate::fleet::{Standing, UnixMs};

/// Progress of one instance in a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// Not yet maintained, and available, so that it can drain.
    Due,
    /// Not yet maintained, and unavailable because it failed before its stop.
    DueUnavailable,
    /// Under a claim.
    Stopping,
    /// Bad, but not yet recorded as bad.
    NewlyBad,
    /// Bad, and recorded as bad.
    Bad,
    /// Returned, within the probation time.
    OnProbation,
    /// Returned and healthy after probation.
    Done,
}

/// Progress counts of a pool or of the whole fleet.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ProgressCounts {
    pub(super) due_count: u32,
    pub(super) due_unavailable_count: u32,
    pub(super) stopping_count: u32,
    pub(super) on_probation_count: u32,
    pub(super) done_count: u32,
    pub(super) bad_count: u32,
    /// Instances done since the start or the last halt.
    pub(super) healthy_count: u32,
    /// Members of waves within the window, including all bad members.
    pub(super) recent_count: u32,
}

impl ProgressCounts {
    /// Returns whether more members are bad than the settings allow.
    pub(super) fn has_too_many_bad(&self, settings: &RolloutSettings) -> bool {
        let bad_part = u64::from(self.bad_count) * PERMILLE_WHOLE;
        let max_part = u64::from(self.recent_count) * u64::from(settings.bad_max_permille);
        self.bad_count >= settings.bad_min_count && bad_part > max_part
    }
}

/// Result of a scan of the fleet.
pub(super) struct FleetProgress {
    pub(super) fleet: ProgressCounts,
    pub(super) pools: Vec<ProgressCounts>,
    pub(super) due: Vec<(InstanceKey, Member)>,
    pub(super) on_probation: Vec<InstanceKey>,
    pub(super) newly_bad: Vec<InstanceKey>,
}

/// Scans the fleet once.
pub(super) fn scan_fleet(view: &RolloutView<'_>, settings: &RolloutSettings) -> FleetProgress {
    let counts = view.budget.counts;
    let mut fleet_progress = FleetProgress {
        fleet: ProgressCounts::default(),
        pools: vec![ProgressCounts::default(); counts.pools_count()],
        due: Vec::new(),
        on_probation: Vec::new(),
        newly_bad: Vec::new(),
    };
    for (key, member) in counts.members() {
        let maintenance = maintenance_of(view, key);
        let progress = progress(view, settings, &maintenance, member);
        match progress {
            Progress::Due => fleet_progress.due.push((key, member)),
            Progress::OnProbation => fleet_progress.on_probation.push(key),
            Progress::NewlyBad => fleet_progress.newly_bad.push(key),
            _ => {}
        }
        for counts in [
            &mut fleet_progress.fleet,
            &mut fleet_progress.pools[member.pool.index()],
        ] {
            count_progress(counts, view, settings, &maintenance, progress);
        }
    }
    fleet_progress
}

pub(super) fn maintenance_of(view: &RolloutView<'_>, key: InstanceKey) -> InstanceMaintenance {
    view.maintenance
        .get(key.index())
        .copied()
        .unwrap_or_default()
}

fn progress(
    view: &RolloutView<'_>,
    settings: &RolloutSettings,
    maintenance: &InstanceMaintenance,
    member: Member,
) -> Progress {
    let start = view.rollout.started_at_unix_ms;
    let now = view.now_unix_ms;
    let is_available = member.standing.is_available();
    let has_failed = matches!(member.standing, Standing::Doubtful | Standing::Down);
    let failed_by = |at: UnixMs| has_failed && maintenance.availability_since_unix_ms <= at;
    let marked_at = maintenance.bad_at_unix_ms.filter(|at| *at >= start);
    let is_healthy_since = |at: UnixMs| maintenance.bad_at_unix_ms.is_none_or(|bad_at| bad_at < at);
    let maintained_at = maintenance
        .maintained_at_unix_ms
        .filter(|at| *at >= start && is_healthy_since(*at));
    let probation_end = maintained_at.map(|at| at.saturating_add(settings.probation_ms));
    match (maintenance.claim, probation_end) {
        (Some(claim), _) if is_overdue(claim.stage, claim.since_unix_ms, now, settings) => {
            Progress::NewlyBad
        }
        (Some(_), _) => Progress::Stopping,
        (None, _) if marked_at.is_some_and(failed_by) => Progress::Bad,
        (None, Some(end)) if failed_by(end) => Progress::NewlyBad,
        (None, Some(end)) if now < end => Progress::OnProbation,
        (None, Some(_)) => Progress::Done,
        (None, None) if is_available => Progress::Due,
        (None, None) => Progress::DueUnavailable,
    }
}

fn is_overdue(
    stage: StopStage,
    since_unix_ms: UnixMs,
    now_unix_ms: UnixMs,
    settings: &RolloutSettings,
) -> bool {
    let in_stage_ms = now_unix_ms.saturating_sub(since_unix_ms);
    stage == StopStage::Rebooting && in_stage_ms > settings.return_timeout_ms
}

fn count_progress(
    counts: &mut ProgressCounts,
    view: &RolloutView<'_>,
    settings: &RolloutSettings,
    maintenance: &InstanceMaintenance,
    progress: Progress,
) {
    let is_recent = maintenance
        .maintained_at_unix_ms
        .is_some_and(|at| view.now_unix_ms < at.saturating_add(settings.window_ms));
    let is_healthy_since_halt = maintenance
        .maintained_at_unix_ms
        .is_some_and(|at| at >= view.rollout.halted_at_unix_ms.unwrap_or_default());
    match progress {
        Progress::Due => counts.due_count += 1,
        Progress::DueUnavailable => counts.due_unavailable_count += 1,
        Progress::Stopping => counts.stopping_count += 1,
        Progress::OnProbation => counts.on_probation_count += 1,
        Progress::Bad | Progress::NewlyBad => counts.bad_count += 1,
        Progress::Done => {
            counts.done_count += 1;
            counts.healthy_count += u32::from(is_healthy_since_halt);
        }
    }
    let counts_as_recent = match progress {
        Progress::Due | Progress::DueUnavailable | Progress::Stopping => false,
        Progress::OnProbation | Progress::Done => is_recent,
        Progress::Bad | Progress::NewlyBad => true,
    };
    counts.recent_count += u32::from(counts_as_recent);
}
