//! Evidence for moves: for each pair of pools, the accumulated time for which an instance would
//! have been worth more in the receiver than in the donor.
//!
//! This is the cumulative sum (CUSUM) of Page, "Continuous Inspection Schemes", Biometrika 1954.
//! Samples against a move reduce the evidence, but never below zero. An old pattern of demand
//! therefore loses its effect soon after demand changes, and a small persistent gain adds up. A
//! constant drift is subtracted, so that gains too small to matter never accumulate.

use std::collections::HashMap;

use super::budget::PERMILLE_WHOLE;
use super::demand::DemandSample;
use super::keys::PoolKey;
use super::moves::{
    available_or_planned_count, cost_ms, instances_min_count, MoveSettings, MoveView,
};
use crate::lists::MeasureWeights;

/// Used part of its time to start, in thousandths, at which waiting work counts as late. The rest
/// is needed to place and start it.
const LATE_WAIT_PERMILLE: u32 = 500;

/// Used part of its time to start, in thousandths, at which waiting work would be late if the pool
/// had one instance less. The distance to [`LATE_WAIT_PERMILLE`] is a hysteresis that prevents
/// instances from moving back and forth.
const NEARLY_LATE_WAIT_PERMILLE: u32 = 250;

/// Part of the evidence that the receiver retains after a move, in thousandths. Its demand is known
/// to be persistent, but the need for one more instance must be observed again.
const RETAINED_PERMILLE: i64 = 750;

/// Evidence for moves between all pairs of pools.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MoveEvidence {
    /// Gain by donor and receiver, in thousandths of an instance-millisecond. Pairs without
    /// evidence are absent.
    gains: HashMap<(PoolKey, PoolKey), i64>,
}

impl MoveEvidence {
    /// Adds the latest sample of each pool, which covers one sample interval. Evidence is capped at
    /// the cost of a move. Pools with a move in progress are skipped.
    pub fn observe(
        &mut self,
        view: &MoveView<'_>,
        settings: &MoveSettings,
        weights: &MeasureWeights,
    ) {
        let keys = || (0u16..).map(PoolKey).take(view.pools.len());
        let steady = keys().filter(|pool| !view.pools[pool.index()].is_moving);
        let steady: Vec<(PoolKey, i64, i64)> = steady
            .map(|pool| {
                let worth = worth_permille(view, settings, pool);
                (pool, worth, loss_permille(view, settings, pool))
            })
            .collect();
        for (to, worth, _) in &steady {
            for (from, _, loss) in steady.iter().filter(|(from, ..)| from != to) {
                let cost_ms = cost_ms(view.pools[from.index()].move_ms, weights);
                self.add((*from, *to), worth - loss, cost_ms, settings);
            }
        }
    }

    fn add(
        &mut self,
        pair: (PoolKey, PoolKey),
        rate_permille: i64,
        cost_ms: u64,
        settings: &MoveSettings,
    ) {
        let interval_ms = i64::try_from(settings.sample_interval_ms).unwrap_or_default();
        let drift_permille = i64::from(settings.drift_permille);
        let cost = i64::try_from(cost_ms.saturating_mul(PERMILLE_WHOLE)).unwrap_or(i64::MAX);
        let before = self.gains.get(&pair).copied().unwrap_or_default();
        match before + (rate_permille - drift_permille) * interval_ms {
            gain if gain > 0 => {
                self.gains.insert(pair, gain.min(cost));
            }
            _ => {
                self.gains.remove(&pair);
            }
        }
    }

    /// Records a move. The receiver retains a part of its evidence, and all evidence for moves to
    /// the donor is dropped.
    pub fn record_move(&mut self, from: PoolKey, to: PoolKey) {
        self.gains.retain(|(_, receiver), _| *receiver != from);
        let of_receiver = self.gains.iter_mut().filter(|((_, other), _)| *other == to);
        for (_, gain) in of_receiver {
            *gain = *gain * RETAINED_PERMILLE / i64::from(PERMILLE_WHOLE as u32);
        }
    }

    /// Returns the accumulated time for which an instance would have been worth more in `to` than
    /// in `from`, in milliseconds.
    pub fn gain_ms(&self, from: PoolKey, to: PoolKey) -> u64 {
        let gain = self.gains.get(&(from, to)).copied().unwrap_or_default();
        u64::try_from(gain).unwrap_or_default() / PERMILLE_WHOLE
    }
}

/// Returns the current worth of one more instance, in thousandths of its time.
fn worth_permille(view: &MoveView<'_>, settings: &MoveSettings, pool: PoolKey) -> i64 {
    let state = &view.pools[pool.index()];
    let count = available_or_planned_count(view, pool);
    let is_wanted = match state.is_spare {
        true => count < spare_low_watermark_count(view.buffers.spare_count),
        false => is_waiting(state.demand.latest(), LATE_WAIT_PERMILLE, count),
    };
    worth_when(is_wanted, state.is_spare, settings)
}

/// Returns the current loss from one instance less, in thousandths of its time.
fn loss_permille(view: &MoveView<'_>, settings: &MoveSettings, pool: PoolKey) -> i64 {
    let state = &view.pools[pool.index()];
    let count = available_or_planned_count(view, pool);
    let is_needed = match state.is_spare {
        true => count <= view.buffers.spare_count,
        false if count <= instances_min_count(view, pool) => true,
        false => is_waiting(
            state.demand.latest(),
            NEARLY_LATE_WAIT_PERMILLE,
            count.saturating_sub(1),
        ),
    };
    worth_when(is_needed, state.is_spare, settings)
}

fn worth_when(is_needed: bool, is_spare: bool, settings: &MoveSettings) -> i64 {
    match (is_needed, is_spare) {
        (false, _) => 0,
        (true, true) => i64::from(settings.buffer_worth_permille),
        (true, false) => i64::from(PERMILLE_WHOLE as u32),
    }
}

fn is_waiting(sample: DemandSample, waited_permille: u32, instances_count: u32) -> bool {
    let busy_milli = u64::from(sample.busy_instances_milli);
    sample.waited_permille >= waited_permille
        && busy_milli > u64::from(instances_count) * PERMILLE_WHOLE
}

/// Returns the number of spare instances below which the spare pool requests more. The distance to
/// the size of the buffer is a hysteresis that prevents instances from moving back and forth.
pub(super) fn spare_low_watermark_count(spare_count: u32) -> u32 {
    spare_count - spare_count / 4
}
