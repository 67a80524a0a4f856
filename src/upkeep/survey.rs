//! One walk over the fleet for a roll-out: how far each instance has come, and the numbers of each
//! pool and of the fleet.

use super::budget::PERMILLE_WHOLE;
use super::counts::Member;
use super::keys::InstanceKey;
use super::maintenance::{InstanceMaintenance, StopStage};
use super::rollout::{RolloutSettings, RolloutView};
use crate::fleet::{Standing, UnixMs};

/// What a roll-out knows of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// Not yet maintained, and able to drain.
    Due,
    /// Not yet maintained, failed before its turn.
    Unable,
    /// Under a claim.
    Stopping,
    /// Bad, and not yet recorded as such.
    TurnedBad,
    /// Bad, and recorded as such.
    Bad,
    /// Back, within the probation time.
    OnTrial,
    /// Back and well.
    Done,
}

/// Numbers of one scope: a pool or the fleet.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Tally {
    pub(super) due_count: u32,
    pub(super) unable_count: u32,
    pub(super) stopping_count: u32,
    pub(super) on_probation_count: u32,
    pub(super) done_count: u32,
    pub(super) bad_count: u32,
    /// Well since the start or the last halt.
    pub(super) well_count: u32,
    /// Members of waves within the window.
    pub(super) recent_count: u32,
}

impl Tally {
    /// Returns whether more members went bad than the settings allow.
    pub(super) fn is_over(&self, settings: &RolloutSettings) -> bool {
        let bad_part = u64::from(self.bad_count) * PERMILLE_WHOLE;
        let max_part = u64::from(self.recent_count) * u64::from(settings.bad_max_permille);
        self.bad_count >= settings.bad_min_count && bad_part > max_part
    }
}

/// Result of one walk over the fleet.
pub(super) struct Survey {
    pub(super) fleet: Tally,
    pub(super) pools: Vec<Tally>,
    pub(super) due: Vec<(InstanceKey, Member)>,
    pub(super) on_trial: Vec<InstanceKey>,
    pub(super) turned_bad: Vec<InstanceKey>,
}

/// Walks over the fleet once.
pub(super) fn survey(view: &RolloutView<'_>, settings: &RolloutSettings) -> Survey {
    let counts = view.budget.counts;
    let mut survey = Survey {
        fleet: Tally::default(),
        pools: vec![Tally::default(); counts.pools_count()],
        due: Vec::new(),
        on_trial: Vec::new(),
        turned_bad: Vec::new(),
    };
    for (key, member) in counts.members() {
        let upkeep = maintenance_of(view, key);
        let progress = progress(view, settings, &upkeep, member);
        match progress {
            Progress::Due => survey.due.push((key, member)),
            Progress::OnTrial => survey.on_trial.push(key),
            Progress::TurnedBad => survey.turned_bad.push(key),
            _ => {}
        }
        for tally in [&mut survey.fleet, &mut survey.pools[member.pool.index()]] {
            note(tally, view, settings, &upkeep, progress);
        }
    }
    survey
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
    upkeep: &InstanceMaintenance,
    member: Member,
) -> Progress {
    let start = view.rollout.started_at_unix_ms;
    let now = view.now_unix_ms;
    let is_available = member.standing.is_available();
    let has_failed = matches!(member.standing, Standing::Doubtful | Standing::Down);
    let failed_by = |at: UnixMs| has_failed && upkeep.availability_since_unix_ms <= at;
    let marked_at = upkeep.bad_at_unix_ms.filter(|at| *at >= start);
    let stayed_well = |at: UnixMs| upkeep.bad_at_unix_ms.is_none_or(|bad_at| bad_at < at);
    let maintained_at = upkeep
        .maintained_at_unix_ms
        .filter(|at| *at >= start && stayed_well(*at));
    let trial_end = maintained_at.map(|at| at.saturating_add(settings.probation_ms));
    match (upkeep.claim, trial_end) {
        (Some(claim), _) if is_overdue(claim.stage, claim.since_unix_ms, now, settings) => {
            Progress::TurnedBad
        }
        (Some(_), _) => Progress::Stopping,
        (None, _) if marked_at.is_some_and(failed_by) => Progress::Bad,
        (None, Some(end)) if failed_by(end) => Progress::TurnedBad,
        (None, Some(end)) if now < end => Progress::OnTrial,
        (None, Some(_)) => Progress::Done,
        (None, None) if is_available => Progress::Due,
        (None, None) => Progress::Unable,
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

fn note(
    tally: &mut Tally,
    view: &RolloutView<'_>,
    settings: &RolloutSettings,
    upkeep: &InstanceMaintenance,
    progress: Progress,
) {
    let is_recent = upkeep
        .maintained_at_unix_ms
        .is_some_and(|at| view.now_unix_ms < at.saturating_add(settings.window_ms));
    let is_well_since_halt = upkeep
        .maintained_at_unix_ms
        .is_some_and(|at| at >= view.rollout.halted_at_unix_ms.unwrap_or_default());
    match progress {
        Progress::Due => tally.due_count += 1,
        Progress::Unable => tally.unable_count += 1,
        Progress::Stopping => tally.stopping_count += 1,
        Progress::OnTrial => tally.on_probation_count += 1,
        Progress::Bad | Progress::TurnedBad => tally.bad_count += 1,
        Progress::Done => {
            tally.done_count += 1;
            tally.well_count += u32::from(is_well_since_halt);
        }
    }
    let counts_as_recent = match progress {
        Progress::Due | Progress::Unable | Progress::Stopping => false,
        Progress::OnTrial | Progress::Done => is_recent,
        Progress::Bad | Progress::TurnedBad => true,
    };
    tally.recent_count += u32::from(counts_as_recent);
}
