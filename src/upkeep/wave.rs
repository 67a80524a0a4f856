//! Choice of the next wave: the largest set of due instances, in the order of zones and racks, that
//! the budgets allow to stop at once.

use super::budget::{allowed_count, check_stop, BudgetBreach, BudgetView};
use super::counts::{FleetCounts, Member};
use super::keys::{InstanceKey, PoolKey};
use super::progress::{maintenance_of, FleetProgress};
use super::rollout::{RolloutSettings, RolloutView};
use crate::fleet::Standing;
use crate::lists::MeasureWeights;

/// A wave under construction. Its stops are applied to a copy of the counts.
struct Wave<'a> {
    view: &'a RolloutView<'a>,
    weights: &'a MeasureWeights,
    counts: FleetCounts,
    /// Whether no further instance of the pool may be added, indexed by [`PoolKey`].
    is_pool_closed: Vec<bool>,
    claims: Vec<InstanceKey>,
}

/// Returns at most `max_count` instances to stop now. Instances that went bad before come last.
/// Instances on probation count as still stopped, so that the budgets hold even if they fail.
pub(super) fn next_wave(
    view: &RolloutView<'_>,
    settings: &RolloutSettings,
    weights: &MeasureWeights,
    progress: FleetProgress,
    max_count: usize,
) -> Vec<InstanceKey> {
    if max_count == 0 || progress.due.is_empty() {
        return Vec::new();
    }
    let mut counts = view.budget.counts.clone();
    for key in &progress.on_probation {
        counts.change(*key, Standing::Stopped);
    }
    let is_pool_closed = progress
        .pools
        .iter()
        .map(|counts| counts.has_too_many_bad(settings));
    let mut wave = Wave {
        view,
        weights,
        counts,
        is_pool_closed: is_pool_closed.collect(),
        claims: Vec::new(),
    };
    for (key, member) in in_order(view, progress.due) {
        if wave.claims.len() >= max_count {
            break;
        }
        wave.try_add(key, member.pool);
    }
    wave.claims
}

fn in_order(
    view: &RolloutView<'_>,
    mut due: Vec<(InstanceKey, Member)>,
) -> Vec<(InstanceKey, Member)> {
    due.sort_by_key(|(key, member)| {
        let went_bad = maintenance_of(view, *key).bad_at_unix_ms.is_some();
        (went_bad, member.zone, member.rack, *key)
    });
    due
}

impl Wave<'_> {
    fn try_add(&mut self, key: InstanceKey, pool: PoolKey) {
        if self.is_pool_closed[pool.index()] {
            return;
        }
        match self.check(key) {
            _ if self.has_reached_pace(pool) => self.is_pool_closed[pool.index()] = true,
            Ok(()) => {
                self.counts.change(key, Standing::Draining);
                self.claims.push(key);
            }
            Err(breach) => self.is_pool_closed[pool.index()] = closes_pool(breach),
        }
    }

    fn check(&self, key: InstanceKey) -> Result<(), BudgetBreach> {
        let budget = BudgetView {
            counts: &self.counts,
            ..self.view.budget
        };
        check_stop(&budget, key)
    }

    /// Returns whether the pool has reached the number of stops that the weights allow while work
    /// waits. This is the number that the budget allows, times the weight of roll-out time over the
    /// sum of the weights of roll-out time and nearness to share, rounded up. It is therefore at
    /// least one unless roll-out time has no weight.
    fn has_reached_pace(&self, pool: PoolKey) -> bool {
        let is_under_pressure = self.view.is_under_pressure.get(pool.index());
        match self.counts.pool(pool) {
            Some(counts) if is_under_pressure == Some(&true) => {
                let total = counts.total;
                let availability = self.view.budget.budget(pool).availability;
                let permille = availability.pool_unavailable_max_permille;
                let allowed = allowed_count(total.members_count, permille);
                total.planned_count >= paced_count(allowed, self.weights)
            }
            _ => false,
        }
    }
}

fn paced_count(allowed_count: u32, weights: &MeasureWeights) -> u32 {
    let allowed = u64::from(allowed_count);
    let roll_out = u64::from(weights.roll_out_time);
    let part = match roll_out + u64::from(weights.share_nearness) {
        0 => allowed,
        both => (allowed * roll_out).div_ceil(both),
    };
    u32::try_from(part).unwrap_or(allowed_count)
}

/// Returns whether the breach rules out every other instance of the pool too.
fn closes_pool(breach: BudgetBreach) -> bool {
    matches!(
        breach,
        BudgetBreach::PoolBudget { .. } | BudgetBreach::PoolMinimum { .. }
    )
}
