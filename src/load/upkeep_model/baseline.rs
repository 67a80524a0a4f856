//! Baseline of moves: follow the demand of the last seconds.

use crate::upkeep::budget::can_release;
use crate::upkeep::keys::{InstanceKey, PoolKey};
use crate::upkeep::moves::MoveView;

/// Load, in thousandths of the pool, above which a pool requests another instance.
const HIGH_PERMILLE: u32 = 1000;

/// Load, in thousandths of the pool, below which a pool may release an instance.
const LOW_PERMILLE: u32 = 500;

/// Returns an instance to move and its new pool, based only on the demand of the last seconds. The
/// new pool is the one with the highest load above `HIGH_PERMILLE`. The instance comes from a pool
/// below `LOW_PERMILLE`, spare pools first and then the one with the lowest load.
pub(super) fn follow_demand(
    view: &MoveView<'_>,
    recent_milli: &[u32],
) -> Option<(InstanceKey, PoolKey)> {
    let load_permille = |pool: &PoolKey| {
        let counts = view.budget.counts.pool(*pool);
        let available = counts.map_or(0, |counts| counts.total.available_count);
        recent_milli[pool.index()] / available.max(1)
    };
    let free = || {
        (0u16..)
            .map(PoolKey)
            .take(view.pools.len())
            .filter(|pool| !view.pools[pool.index()].is_moving)
    };
    let to = free()
        .filter(|pool| load_permille(pool) > HIGH_PERMILLE)
        .max_by_key(load_permille)?;
    let mut donors: Vec<PoolKey> = free()
        .filter(|pool| *pool != to && load_permille(pool) < LOW_PERMILLE)
        .collect();
    donors.sort_by_key(|pool| (!view.pools[pool.index()].is_spare, load_permille(pool)));
    donors.into_iter().find_map(|from| {
        let mut members = view.budget.counts.members();
        let (instance, _) = members.find(|(key, member)| {
            member.pool == from
                && member.standing.is_available()
                && can_release(&view.budget, *key).is_ok()
        })?;
        Some((instance, to))
    })
}
