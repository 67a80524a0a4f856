//! Moves of instances between pools: when to move an instance, and when to wait out a burst.
//!
//! During a move an instance does no work for the time of a drain and a reboot, which is longer
//! than a burst. Evidence is therefore accumulated for each pair of pools: the time for which the
//! receiver was late with work for one more instance, minus the time for which the donor would have
//! been late with one instance less. Bursts that queues and second pools absorb in time count on
//! neither side. An instance is moved once the evidence reaches the time that the move costs,
//! scaled by the weights of moves and of nearness to share. This is the solution of the ski rental
//! problem: waiting never loses more than the move would have cost.

use std::cmp::Reverse;

use serde::{Deserialize, Serialize};

use super::budget::{allowed_count, can_release, BudgetView};
use super::buffers::BufferPlan;
use super::counts::{is_planned_stop, Member};
use super::demand::PoolState;
use super::drain::DrainEvidence;
use super::evidence::{spare_low_watermark_count, MoveEvidence};
use super::keys::{InstanceKey, PoolKey};
use crate::fleet::UnixMs;
use crate::lists::MeasureWeights;

/// Settings of moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MoveSettings {
    /// Interval between samples of demand, in milliseconds.
    pub sample_interval_ms: u64,
    /// Number of samples in the window from which buffers are planned.
    pub samples_count: u32,
    /// Part of the time, in thousandths, that a gain must exceed to accumulate as evidence.
    pub drift_permille: u32,
    /// Time after a move during which its pools, except the spare pool, take part in no further
    /// move, in milliseconds.
    pub cool_down_ms: u64,
    /// Maximum moves per hour in the whole fleet.
    pub moves_max_per_hour_count: u32,
    /// Worth of a spare instance that the buffer needs, in thousandths of the worth of a busy one.
    pub buffer_worth_permille: u32,
}

impl Default for MoveSettings {
    fn default() -> Self {
        Self {
            sample_interval_ms: 1000,
            samples_count: 600,
            drift_permille: 50,
            cool_down_ms: 120_000,
            moves_max_per_hour_count: 60,
            buffer_worth_permille: 500,
        }
    }
}

/// Input of the decision on a move.
#[derive(Clone, Copy, Debug)]
pub struct MoveView<'a> {
    /// Counts and budgets.
    pub budget: BudgetView<'a>,
    /// The pools, indexed by [`PoolKey`].
    pub pools: &'a [PoolState],
    /// Planned buffers.
    pub buffers: &'a BufferPlan,
    /// Moves claimed within the last hour.
    pub moves_last_hour_count: u32,
    /// Time of the call.
    pub now_unix_ms: UnixMs,
}

/// Reason for a move.
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
pub enum MoveReason {
    /// The receiver has fewer instances than its minimum, counting those under a planned stop.
    Refill,
    /// The receiver would keep one more instance busy for longer than the donor does.
    Demand,
    /// The spare pool has fewer instances than the buffer needs for the next failure.
    Buffer,
}

/// A proposed move. The instance is released first, and assigned once its drain is proved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MoveProposal {
    /// Instance to move.
    pub instance: InstanceKey,
    /// Donor pool.
    pub from: PoolKey,
    /// Receiver pool.
    pub to: PoolKey,
    /// Reason for the move.
    pub reason: MoveReason,
    /// Instance time that the move would have gained so far, in milliseconds.
    pub gain_ms: u64,
}

/// Why no instance is moved now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum NoMove {
    /// No pool would gain from one more instance.
    NoNeed,
    /// The gain does not yet reach the cost of the move. It may come from a short burst.
    WaitingOutBurst,
    /// The moves of the last hour have reached the limit.
    HourlyLimit,
    /// The budgets of the donors allow no instance to leave.
    BudgetHolds,
}

/// A possible move between two pools.
#[derive(Clone, Copy)]
struct Candidate {
    from: PoolKey,
    to: PoolKey,
    reason: MoveReason,
    gain_ms: u64,
}

/// Returns the move to claim now, or the reason for no move. Each pool takes part in at most one
/// move at a time.
pub fn decide_move(
    view: &MoveView<'_>,
    evidence: &MoveEvidence,
    settings: &MoveSettings,
    weights: &MeasureWeights,
) -> Result<MoveProposal, NoMove> {
    if view.moves_last_hour_count >= settings.moves_max_per_hour_count {
        return Err(NoMove::HourlyLimit);
    }
    let mut candidates = candidates(view, evidence, settings);
    if candidates.is_empty() {
        return Err(NoMove::NoNeed);
    }
    candidates.retain(|candidate| is_worth_it(view, weights, candidate));
    if candidates.is_empty() {
        return Err(NoMove::WaitingOutBurst);
    }
    candidates.sort_by_key(|candidate| {
        let is_spare = view.pools[candidate.from.index()].is_spare;
        (candidate.reason, Reverse(candidate.gain_ms), !is_spare)
    });
    candidates
        .into_iter()
        .find_map(|candidate| propose(view, candidate))
        .ok_or(NoMove::BudgetHolds)
}

/// Returns whether the instance may be assigned to the receiver of its move.
pub fn may_assign(evidence: &DrainEvidence, now_unix_ms: UnixMs) -> bool {
    evidence.is_released(now_unix_ms)
}

fn candidates(
    view: &MoveView<'_>,
    evidence: &MoveEvidence,
    settings: &MoveSettings,
) -> Vec<Candidate> {
    let keys = || (0u16..).map(PoolKey).take(view.pools.len());
    let ready: Vec<PoolKey> = keys()
        .filter(|pool| is_ready(view, settings, *pool))
        .collect();
    let mut found = Vec::new();
    for to in &ready {
        let Some(reason) = receive_reason(view, *to) else {
            continue;
        };
        let donors = ready.iter().filter(|from| *from != to);
        for from in donors.filter(|from| can_donate(view, **from, reason)) {
            let gain_ms = evidence.gain_ms(*from, *to);
            if reason == MoveReason::Refill || gain_ms > 0 {
                found.push(Candidate {
                    from: *from,
                    to: *to,
                    reason,
                    gain_ms,
                });
            }
        }
    }
    found
}

/// Returns whether the pool may take part in a move now: no move is in progress, and the cool-down
/// of the last one is over. The spare pool needs no cool-down.
fn is_ready(view: &MoveView<'_>, settings: &MoveSettings, pool: PoolKey) -> bool {
    let state = &view.pools[pool.index()];
    let is_cooling = state
        .moved_at_unix_ms
        .is_some_and(|at| view.now_unix_ms < at.saturating_add(settings.cool_down_ms));
    let is_in_cool_down = is_cooling && !state.is_spare;
    !state.is_moving && !is_in_cool_down
}

/// Returns the reason for which the pool may receive an instance, if any.
fn receive_reason(view: &MoveView<'_>, to: PoolKey) -> Option<MoveReason> {
    let state = &view.pools[to.index()];
    let count = available_or_planned_count(view, to);
    match state.is_spare {
        true if count < spare_low_watermark_count(view.buffers.spare_count) => {
            Some(MoveReason::Buffer)
        }
        true => None,
        false if count < instances_min_count(view, to) => Some(MoveReason::Refill),
        false => Some(MoveReason::Demand),
    }
}

/// Returns whether the pool may donate an instance. It must retain its minimum and, except for a
/// refill, one more instance that may be stopped for maintenance. For the buffer it donates only
/// instances that it does not need itself.
fn can_donate(view: &MoveView<'_>, from: PoolKey, reason: MoveReason) -> bool {
    let left_count = available_or_planned_count(view, from).saturating_sub(1);
    let budget = view.budget.budget(from);
    let permille = budget.availability.pool_unavailable_max_permille;
    let can_be_maintained =
        left_count > budget.instances_min_count && allowed_count(left_count, permille) > 0;
    let required_count = view.buffers.required_counts.get(from.index()).copied();
    match reason {
        MoveReason::Refill => left_count >= budget.instances_min_count,
        MoveReason::Demand => can_be_maintained,
        MoveReason::Buffer => can_be_maintained && left_count >= required_count.unwrap_or_default(),
    }
}

/// Returns the number of instances of the pool that are available or under a planned stop. The
/// latter return without further action.
pub(super) fn available_or_planned_count(view: &MoveView<'_>, pool: PoolKey) -> u32 {
    let counts = view.budget.counts.pool(pool);
    counts.map_or(0, |counts| {
        counts.total.available_count + counts.total.planned_count
    })
}

/// Returns the minimum number of available instances of the pool.
pub(super) fn instances_min_count(view: &MoveView<'_>, pool: PoolKey) -> u32 {
    view.budget.budget(pool).instances_min_count
}

/// Returns whether the gain reaches the cost of the move. A refill is always worth it.
fn is_worth_it(view: &MoveView<'_>, weights: &MeasureWeights, candidate: &Candidate) -> bool {
    let cost_ms = cost_ms(view.pools[candidate.from.index()].move_ms, weights);
    match candidate.reason {
        MoveReason::Refill => true,
        MoveReason::Demand | MoveReason::Buffer => candidate.gain_ms >= cost_ms,
    }
}

/// Returns the gain that a move of `move_ms` must reach, in milliseconds: its duration, times the
/// weight of moves, divided by the weight of nearness to share.
pub fn cost_ms(move_ms: u64, weights: &MeasureWeights) -> u64 {
    let weighted = move_ms.saturating_mul(u64::from(weights.moves));
    match u64::from(weights.share_nearness) {
        0 => u64::MAX,
        weight => weighted / weight,
    }
}

/// Chooses the instance to move: one that the budgets allow to leave, from the zone where the
/// receiver has the fewest instances and the rack where the donor has the most.
fn propose(view: &MoveView<'_>, candidate: Candidate) -> Option<MoveProposal> {
    let counts = view.budget.counts;
    let to = counts.pool(candidate.to);
    let from = counts.pool(candidate.from)?;
    let rank = |member: &Member| {
        let receiver_count = to.map_or(0, |to| to.zone(member.zone).total.members_count);
        let donor_count = from.rack(member.rack).members_count;
        (receiver_count, Reverse(donor_count))
    };
    let mut members: Vec<(InstanceKey, Member)> = counts
        .members()
        .filter(|(_, member)| member.pool == candidate.from)
        .filter(|(_, member)| member.standing.is_available() && !is_planned_stop(member.standing))
        .collect();
    members.sort_by_key(|(key, member)| (rank(member), *key));
    let (instance, _) = members
        .into_iter()
        .find(|(key, _)| can_release(&view.budget, *key).is_ok())?;
    Some(MoveProposal {
        instance,
        from: candidate.from,
        to: candidate.to,
        reason: candidate.reason,
        gain_ms: candidate.gain_ms,
    })
}
