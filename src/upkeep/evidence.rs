//! Evidence for moves: for each pair of pools the time that an instance would have been worth more
//! in the one than in the other, added up as long as it is.
//!
//! This is the cumulative sum of Page, "Continuous Inspection Schemes", Biometrika 1954: what speaks
//! against a move takes evidence away, never below zero, so an old pattern of demand is forgotten as
//! soon as the new one speaks against it, and a small gain that lasts adds up. A steady drift lets
//! gains fade that are too small to matter.

use super::budget::PERMILLE_WHOLE;
use super::demand::DemandSample;
use super::keys::PoolKey;
use super::moves::{floor, lasting_count, MoveSettings, MoveView};

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
    pools_count: usize,
    /// Gain of each pair in thousandths of a millisecond of an instance, by receiver and donor.
    gains: Vec<i64>,
}

impl MoveEvidence {
    /// Returns no evidence, for `pools_count` pools.
    pub fn new(pools_count: usize) -> Self {
        Self {
            pools_count,
            gains: vec![0; pools_count * pools_count],
        }
    }

    /// Adds the latest sample of each pool, which stands for one sample interval. Pools with a move
    /// under way are left out.
    pub fn observe(&mut self, view: &MoveView<'_>, settings: &MoveSettings) {
        let keys = || (0u16..).map(PoolKey).take(self.pools_count);
        let worths: Vec<i64> = keys()
            .map(|pool| worth_permille(view, settings, pool))
            .collect();
        let losses: Vec<i64> = keys()
            .map(|pool| loss_permille(view, settings, pool))
            .collect();
        let interval_ms = i64::try_from(settings.sample_interval_ms).unwrap_or_default();
        let drift = i64::from(settings.drift_permille);
        for (to, worth) in worths.iter().enumerate() {
            for (from, loss) in losses.iter().enumerate() {
                if view.pools[to].is_moving || view.pools[from].is_moving {
                    continue;
                }
                let gain = &mut self.gains[to * self.pools_count + from];
                *gain = (*gain + (worth - loss - drift) * interval_ms).max(0);
            }
        }
    }

    /// Takes a move into account that has ended.
    pub fn note_move(&mut self, from: PoolKey, to: PoolKey) {
        let whole = i64::from(PERMILLE_WHOLE as u32);
        for other in 0..self.pools_count {
            let kept = &mut self.gains[to.index() * self.pools_count + other];
            *kept = *kept * KEPT_PERMILLE / whole;
            self.gains[from.index() * self.pools_count + other] = 0;
        }
    }

    /// Returns the time that an instance would have been worth more in `to` than in `from`, in
    /// milliseconds.
    pub fn gain_ms(&self, from: PoolKey, to: PoolKey) -> u64 {
        let gain = self.gains[to.index() * self.pools_count + from.index()];
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
