//! Evidence for moves: for each pair of pools the time that an instance would have been worth more
//! in the one than in the other, added up as long as it is.
//!
//! This is the cumulative sum of Page, "Continuous Inspection Schemes", Biometrika 1954: what speaks
//! against a move takes evidence away, never below zero, so an old pattern of demand is forgotten as
//! soon as the new one speaks against it, and a small gain that lasts adds up. A steady drift lets
//! gains fade that are too small to matter.

use std::collections::HashMap;

use super::budget::PERMILLE_WHOLE;
use super::demand::DemandSample;
use super::keys::PoolKey;
use super::moves::{cost_ms, floor, lasting_count, MoveSettings, MoveView};
use crate::lists::MeasureWeights;

/// Part of its time to start, in thousandths, from which waiting work counts as late: what is left
/// is needed to place and start it.
const LATE_WAIT_PERMILLE: u32 = 500;

/// Part of its time to start, in thousandths, from which waiting work would be late if the pool had
/// an instance less. The distance to [`LATE_WAIT_PERMILLE`] keeps instances from going back and
/// forth.
const CLOSE_WAIT_PERMILLE: u32 = 250;

/// Part of the evidence that is left to the receiver after a move, in thousandths: its demand has
/// proved to last, but whether one more instance is needed must show again.
const KEPT_PERMILLE: i64 = 750;

/// Evidence for moves between each two pools.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MoveEvidence {
    /// Gain of each pair in thousandths of a millisecond of an instance, by donor and receiver;
    /// pairs without evidence are left out.
    gains: HashMap<(PoolKey, PoolKey), i64>,
}

impl MoveEvidence {
    /// Adds the latest sample of each pool, which stands for one sample interval, up to what a move
    /// costs. Pools with a move under way are left out.
    pub fn observe(
        &mut self,
        view: &MoveView<'_>,
        settings: &MoveSettings,
        weights: &MeasureWeights,
    ) {
        let keys = || (0u16..).map(PoolKey).take(view.pools.len());
        let resting = keys().filter(|pool| !view.pools[pool.index()].is_moving);
        let resting: Vec<(PoolKey, i64, i64)> = resting
            .map(|pool| {
                let worth = worth_permille(view, settings, pool);
                (pool, worth, loss_permille(view, settings, pool))
            })
            .collect();
        for (to, worth, _) in &resting {
            for (from, _, loss) in resting.iter().filter(|(from, ..)| from != to) {
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

    /// Takes a move into account: the receiver keeps a part of its evidence, and the donor has none
    /// to get an instance back.
    pub fn record_move(&mut self, from: PoolKey, to: PoolKey) {
        self.gains.retain(|(_, receiver), _| *receiver != from);
        let of_receiver = self.gains.iter_mut().filter(|((_, other), _)| *other == to);
        for (_, gain) in of_receiver {
            *gain = *gain * KEPT_PERMILLE / i64::from(PERMILLE_WHOLE as u32);
        }
    }

    /// Returns the time that an instance would have been worth more in `to` than in `from`, in
    /// milliseconds.
    pub fn gain_ms(&self, from: PoolKey, to: PoolKey) -> u64 {
        let gain = self.gains.get(&(from, to)).copied().unwrap_or_default();
        u64::try_from(gain).unwrap_or_default() / PERMILLE_WHOLE
    }
}

/// Returns the worth of one more instance now, in thousandths of its time.
fn worth_permille(view: &MoveView<'_>, settings: &MoveSettings, pool: PoolKey) -> i64 {
    let state = &view.pools[pool.index()];
    let count = lasting_count(view, pool);
    let is_wanted = match state.is_spare {
        true => count < low_spare_count(view.buffers.spare_count),
        false => is_waiting(state.demand.latest(), LATE_WAIT_PERMILLE, count),
    };
    worth_if(is_wanted, state.is_spare, settings)
}

/// Returns the loss by one instance less now, in thousandths of its time.
fn loss_permille(view: &MoveView<'_>, settings: &MoveSettings, pool: PoolKey) -> i64 {
    let state = &view.pools[pool.index()];
    let count = lasting_count(view, pool);
    let is_needed = match state.is_spare {
        true => count <= view.buffers.spare_count,
        false if count <= floor(view, pool) => true,
        false => is_waiting(
            state.demand.latest(),
            CLOSE_WAIT_PERMILLE,
            count.saturating_sub(1),
        ),
    };
    worth_if(is_needed, state.is_spare, settings)
}

fn worth_if(is_needed: bool, is_spare: bool, settings: &MoveSettings) -> i64 {
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

/// Returns the spare instances below which the spare pool asks for more; the distance to what the
/// buffer needs keeps an instance from going back and forth.
pub(super) fn low_spare_count(spare_count: u32) -> u32 {
    spare_count - spare_count / 4
}
