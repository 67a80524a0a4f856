//! Moves of instances between pools: when to move one, and when to wait out a burst.
//!
//! A move takes an instance out of work for the length of a drain and a reboot, which is longer
//! than a burst. So it is decided from a window of several such lengths: the part of the window for
//! which the receiver would have kept one more instance busy, less the part for which the donor
//! kept its last one busy. What is symmetric, such as bursts that go round by turns, cancels out.
//! The gain must beat the part of the window that the move itself costs, scaled by the weights of
//! moves and of nearness to share. After a move the opposite one has the negative gain, so a move
//! is only undone once demand has changed by twice the threshold.

use serde::{Deserialize, Serialize};

use super::budget::{can_release, BudgetView, PERMILLE_WHOLE};
use super::buffers::BufferPlan;
use super::counts::{is_planned_stop, Member};
use super::demand::PoolState;
use super::drain::DrainEvidence;
use super::keys::{InstanceKey, PoolKey};
use crate::fleet::UnixMs;
use crate::lists::MeasureWeights;

/// Settings of moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MoveSettings {
    /// Interval of the samples of demand, in milliseconds.
    pub sample_interval_ms: u64,
    /// Samples in the window.
    pub samples_count: u32,
    /// Time for which a pool rests after it gave or got an instance, in milliseconds.
    pub cool_down_ms: u64,
    /// Moves in the whole fleet within an hour.
    pub moves_max_per_hour_count: u32,
    /// Least gain for which an instance is moved, in thousandths, whatever the weights.
    pub gain_min_permille: u32,
    /// Worth of a spare instance that the buffer needs, in thousandths of the time of a busy one.
    pub buffer_worth_permille: u32,
}

impl Default for MoveSettings {
    fn default() -> Self {
        Self {
            sample_interval_ms: 1000,
            samples_count: 600,
            cool_down_ms: 120_000,
            moves_max_per_hour_count: 60,
            gain_min_permille: 50,
            buffer_worth_permille: 500,
        }
    }
}

impl MoveSettings {
    /// Returns the length of the window in milliseconds.
    pub fn window_ms(&self) -> u64 {
        self.sample_interval_ms * u64::from(self.samples_count)
    }
}

/// What a move is decided from.
#[derive(Clone, Copy, Debug)]
pub struct MoveView<'a> {
    /// Counts and budgets.
    pub budget: BudgetView<'a>,
    /// The pools, indexed by [`PoolKey`].
    pub pools: &'a [PoolState],
    /// Buffers to keep.
    pub buffers: &'a BufferPlan,
    /// Moves claimed within the last hour.
    pub moves_last_hour_count: u32,
    /// Time of the call.
    pub now_unix_ms: UnixMs,
}

/// What a move is for.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display, strum::EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum MoveReason {
    /// The receiver has fewer instances than its budget promises or its minimum asks for.
    Refill,
    /// The receiver would keep one more instance busy for longer than the donor does.
    Demand,
    /// The spare pool holds fewer instances than the next failure may take.
    Buffer,
}

/// A move to claim: release first, assign once the drain is proven.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MoveProposal {
    /// Instance to move.
    pub instance: InstanceKey,
    /// Pool that gives it.
    pub from: PoolKey,
    /// Pool that gets it.
    pub to: PoolKey,
    /// What it is for.
    pub reason: MoveReason,
    /// Gain in thousandths of the time of an instance.
    pub gain_permille: u32,
}

/// Why nothing is moved now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum NoMove {
    /// No pool would gain from another instance.
    NoNeed,
    /// The gain is not yet worth the move: it may be a burst that passes sooner.
    WaitingOutBurst,
    /// The moves of the last hour have reached their limit.
    HourlyLimit,
    /// Every instance of the donor is needed by a budget.
    BudgetHolds,
}

/// One way to move an instance.
#[derive(Clone, Copy)]
struct Candidate {
    from: PoolKey,
    to: PoolKey,
    reason: MoveReason,
    gain_permille: i64,
}

/// Returns the move to claim now, or why there is none. At most one is under way for each pool.
pub fn decide_move(
    view: &MoveView<'_>,
    settings: &MoveSettings,
    weights: &MeasureWeights,
) -> Result<MoveProposal, NoMove> {
    if view.moves_last_hour_count >= settings.moves_max_per_hour_count {
        return Err(NoMove::HourlyLimit);
    }
    let mut candidates = candidates(view, settings);
    if candidates.is_empty() {
        return Err(NoMove::NoNeed);
    }
    candidates.retain(|candidate| is_worth_it(view, settings, weights, candidate));
    if candidates.is_empty() {
        return Err(NoMove::WaitingOutBurst);
    }
    candidates.sort_by_key(|candidate| (candidate.reason as u8, -candidate.gain_permille));
    candidates
        .into_iter()
        .find_map(|candidate| propose(view, candidate))
        .ok_or(NoMove::BudgetHolds)
}

/// Returns whether the instance may be assigned to the receiver of its move.
pub fn may_assign(evidence: &DrainEvidence, now_unix_ms: UnixMs) -> bool {
    evidence.is_released(now_unix_ms)
}

fn candidates(view: &MoveView<'_>, settings: &MoveSettings) -> Vec<Candidate> {
    let keys = || (0u16..).map(PoolKey).take(view.pools.len());
    let mut found = Vec::new();
    for to in keys().filter(|to| is_free(view, settings, *to)) {
        let Some((reason, worth)) = worth_to_receiver(view, settings, to) else {
            continue;
        };
        for from in keys().filter(|from| *from != to && is_free(view, settings, *from)) {
            let Some(loss) = loss_to_donor(view, settings, from, reason) else {
                continue;
            };
            let gain_permille = i64::from(worth) - i64::from(loss);
            if gain_permille > 0 {
                found.push(Candidate {
                    from,
                    to,
                    reason,
                    gain_permille,
                });
            }
        }
    }
    found
}

fn is_free(view: &MoveView<'_>, settings: &MoveSettings, pool: PoolKey) -> bool {
    let state = &view.pools[pool.index()];
    let is_cooling = state
        .moved_at_unix_ms
        .is_some_and(|at| view.now_unix_ms < at.saturating_add(settings.cool_down_ms));
    let rests = is_cooling && !state.is_spare;
    !state.is_moving && !rests
}

fn worth_to_receiver(
    view: &MoveView<'_>,
    settings: &MoveSettings,
    pool: PoolKey,
) -> Option<(MoveReason, u32)> {
    let state = &view.pools[pool.index()];
    let available_count = available_count(view, pool);
    match state.is_spare {
        true if available_count < view.buffers.spare_count => {
            Some((MoveReason::Buffer, settings.buffer_worth_permille))
        }
        true => None,
        false if available_count + planned_count(view, pool) < floor(view, pool) => {
            Some((MoveReason::Refill, PERMILLE_WHOLE as u32))
        }
        false if !state.demand.is_full() => None,
        false => {
            let worth = state.demand.marginal_worth_permille(available_count);
            (worth > 0).then_some((MoveReason::Demand, worth))
        }
    }
}

/// Returns what the donor loses, or `None` if it needs every instance that it has.
fn loss_to_donor(
    view: &MoveView<'_>,
    settings: &MoveSettings,
    pool: PoolKey,
    reason: MoveReason,
) -> Option<u32> {
    let state = &view.pools[pool.index()];
    let available_count = available_count(view, pool);
    match state.is_spare {
        _ if available_count == 0 => None,
        true if reason == MoveReason::Refill => Some(0),
        true if available_count <= view.buffers.spare_count => Some(settings.buffer_worth_permille),
        true => Some(0),
        false if available_count <= floor(view, pool) => None,
        false if !state.demand.is_full() => None,
        false => Some(state.demand.marginal_worth_permille(available_count - 1)),
    }
}

fn available_count(view: &MoveView<'_>, pool: PoolKey) -> u32 {
    let counts = view.budget.counts.pool(pool);
    counts.map_or(0, |counts| counts.total.available_count)
}

fn planned_count(view: &MoveView<'_>, pool: PoolKey) -> u32 {
    let counts = view.budget.counts.pool(pool);
    counts.map_or(0, |counts| counts.total.planned_count)
}

fn floor(view: &MoveView<'_>, pool: PoolKey) -> u32 {
    let floors = &view.buffers.floors;
    floors.get(pool.index()).copied().unwrap_or_default()
}

/// Returns whether the gain beats the cost of the move. A refill always does: without it the next
/// failure breaches a budget.
fn is_worth_it(
    view: &MoveView<'_>,
    settings: &MoveSettings,
    weights: &MeasureWeights,
    candidate: &Candidate,
) -> bool {
    let move_ms = view.pools[candidate.from.index()].move_ms;
    let threshold = gain_threshold_permille(settings, weights, move_ms);
    match candidate.reason {
        MoveReason::Refill => true,
        MoveReason::Demand | MoveReason::Buffer => candidate.gain_permille >= i64::from(threshold),
    }
}

/// Returns the least gain, in thousandths, for which an instance is moved: the part of the window
/// that the move takes, times the weight of moves over that of nearness to share.
pub fn gain_threshold_permille(
    settings: &MoveSettings,
    weights: &MeasureWeights,
    move_ms: u64,
) -> u32 {
    let cost = move_ms * PERMILLE_WHOLE * u64::from(weights.moves);
    let worth = settings.window_ms() * u64::from(weights.share_nearness);
    let threshold = match worth {
        0 => PERMILLE_WHOLE,
        worth => cost / worth,
    };
    u32::try_from(threshold.min(PERMILLE_WHOLE))
        .unwrap_or(u32::MAX)
        .max(settings.gain_min_permille)
}

/// Picks the instance: one that the budgets let go, from the zone where the receiver has fewest and
/// from the rack where the donor has most.
fn propose(view: &MoveView<'_>, candidate: Candidate) -> Option<MoveProposal> {
    let counts = view.budget.counts;
    let to = counts.pool(candidate.to);
    let from = counts.pool(candidate.from)?;
    let rank = |member: &Member| {
        let receiver_count = to.map_or(0, |to| to.zone(member.zone).total.members_count);
        let donor_count = from.rack(member.rack).members_count;
        (receiver_count, std::cmp::Reverse(donor_count))
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
        gain_permille: u32::try_from(candidate.gain_permille).unwrap_or_default(),
    })
}
