//! Division of a pool's capacity by weighted max-min fairness. Every entry computes the same
//! division from the gossiped demand. Of each team's part an entry takes a fraction equal to its
//! fraction of the team's total demand.

use indexmap::IndexMap;
use rand::{Rng, RngExt};

use crate::fleet::MonoMs;
use crate::policy::hash::KeyMap;
use crate::policy::keys::{PeerKey, PoolKey};
use crate::policy::share::UsageView;
use crate::policy::usage::{TeamOrOpen, UsageRow};

/// Demand of one team for a pool. All amounts are in slots, or in slot equivalents of other
/// resources.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Weight of the team.
    pub weight: f64,
    /// What the team holds in other pools, which counts against its share here.
    pub held: f64,
    /// What the team has running and waiting in this pool.
    pub wanted: f64,
}

impl Claim {
    fn amount_at(&self, level: f64) -> f64 {
        (self.weight * level - self.held).clamp(0.0, self.wanted)
    }
}

/// Steps of the bisection that finds the common level.
const LEVEL_HALVINGS_COUNT: u32 = 50;

/// Divides `capacity` among the claims by weighted max-min (water-filling) and returns the part of
/// each. All claims are raised to a common level of held amount per unit of weight. No claim gets
/// more than its `wanted` amount.
pub fn max_min_parts(claims: &[Claim], capacity: f64) -> Vec<f64> {
    let wanted: f64 = claims.iter().map(|claim| claim.wanted).sum();
    if wanted <= capacity {
        return claims.iter().map(|claim| claim.wanted).collect();
    }
    let top = |claim: &Claim| (claim.held + claim.wanted) / claim.weight;
    let (mut low, mut high) = (0.0, claims.iter().map(top).fold(0.0, f64::max));
    for _ in 0..LEVEL_HALVINGS_COUNT {
        let level = (low + high) / 2.0;
        let filled: f64 = claims.iter().map(|claim| claim.amount_at(level)).sum();
        match filled > capacity {
            true => high = level,
            false => low = level,
        }
    }
    claims.iter().map(|claim| claim.amount_at(low)).collect()
}

/// Demand of one team for a pool, at this entry and at its peers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Weight of the team.
    pub weight: f64,
    /// Load of the team in other pools, over the whole fleet.
    pub held_elsewhere: f64,
    /// Load in this pool that this entry runs.
    pub own_running: f64,
    /// Load that waits for this pool at this entry.
    pub own_waiting: f64,
    /// Load in this pool that other entries run.
    pub peers_running: f64,
    /// Load that waits for this pool at other entries.
    pub peers_waiting: f64,
}

impl Demand {
    fn own(&self) -> f64 {
        self.own_running + self.own_waiting
    }

    fn total(&self) -> f64 {
        self.own() + self.peers_running + self.peers_waiting
    }
}

/// Smallest unused part of a peer, in slots, for which the peer is notified of a free slot.
const PEER_UNUSED_MIN_SLOTS: f64 = 0.5;

/// This entry's part of a pool for each team, used until the next division.
#[derive(Clone, Debug, Default)]
struct Allotment {
    /// Part of this entry for each team, in whole slots.
    own_parts: KeyMap<TeamOrOpen, f64>,
    /// Slots of its part that each peer does not use yet.
    unused_by_peer: IndexMap<PeerKey, f64>,
    /// Free slots beyond the unused parts of other entries.
    spare: f64,
}

impl Allotment {
    /// Divides the capacity of `pool` by the demand. A fraction of a slot is rounded up with a
    /// probability equal to the fraction, so that small parts are granted on average over time and
    /// in sum over the entries.
    fn divide(
        view: &UsageView,
        pool: PoolKey,
        demand: &IndexMap<TeamOrOpen, Demand>,
        offset: f64,
    ) -> Self {
        let capacity = view.slots_count(pool) as f64;
        let claims: Vec<Claim> = demand
            .values()
            .map(|team_demand| Claim {
                weight: team_demand.weight,
                held: team_demand.held_elsewhere,
                wanted: team_demand.total(),
            })
            .collect();
        let parts = max_min_parts(&claims, capacity);
        let mut allotment = Self::default();
        let mut taken = 0.0;
        // Systematic rounding: the sum over the teams is off by at most one.
        let mut own_sum = offset;
        for ((team, team_demand), part) in demand.iter().zip(&parts) {
            let own_part = part * team_demand.own() / team_demand.total().max(f64::MIN_POSITIVE);
            let peers_part = part - own_part;
            taken += team_demand.own_running + peers_part.max(team_demand.peers_running);
            let own_sum_before = own_sum;
            own_sum += own_part;
            allotment
                .own_parts
                .insert(*team, own_sum.floor() - own_sum_before.floor());
        }
        allotment.spare = (capacity - taken).max(0.0);
        allotment.count_unused_by_peer(view, pool, demand, &parts);
        allotment
    }

    /// Computes from the last report of each peer how much of its part it does not use yet.
    fn count_unused_by_peer(
        &mut self,
        view: &UsageView,
        pool: PoolKey,
        demand: &IndexMap<TeamOrOpen, Demand>,
        parts: &[f64],
    ) {
        for (peer, rows) in view.peer_rows(pool) {
            let unused_in = |row: &UsageRow| {
                let index = demand.get_index_of(&row.team)?;
                let total = demand[index].total().max(f64::MIN_POSITIVE);
                let running = f64::from(row.running_count);
                let peers_part = parts[index] * (running + f64::from(row.waiting_count)) / total;
                Some((peers_part - running).max(0.0))
            };
            let unused: f64 = rows.iter().filter_map(unused_in).sum();
            self.unused_by_peer.insert(peer, unused);
        }
    }

    /// Returns the peer with the largest unused part, if that part is at least
    /// [`PEER_UNUSED_MIN_SLOTS`], and subtracts one slot from it.
    fn take_largest_unused(&mut self) -> Option<PeerKey> {
        let (peer, unused) = self
            .unused_by_peer
            .iter_mut()
            .max_by(|left, right| left.1.total_cmp(right.1))?;
        (*unused >= PEER_UNUSED_MIN_SLOTS).then(|| {
            *unused -= 1.0;
            *peer
        })
    }

    /// Returns this entry's part for `team`, in whole slots.
    fn own_part(&self, team: TeamOrOpen) -> f64 {
        self.own_parts.get(&team).copied().unwrap_or(0.0)
    }
}

/// Time for which a division is used before the next is computed.
const DIVISION_PERIOD_MS: u64 = 50;

/// Time for which fractions of slots are rounded the same way. It is longer than most requests run,
/// so that parts do not change faster than running work can follow.
const OFFSET_PERIOD_MS: u64 = 1_000;

/// Divisions of all pools in which this entry starts work. Also tracks for how long the entry has
/// left free slots to its peers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Divider {
    pools: KeyMap<PoolKey, Division>,
}

#[derive(Clone, Debug)]
struct Division {
    computed_ms: MonoMs,
    allotment: Allotment,
    /// Random start of the systematic rounding, in slots.
    offset: f64,
    offset_drawn_ms: MonoMs,
    /// Time since which this entry leaves free slots to its peers although work waits here.
    yielding_since_ms: Option<MonoMs>,
}

impl Divider {
    /// Returns whether the division of `pool` is due for [`Divider::divide`].
    pub(crate) fn is_due(&self, now_ms: MonoMs, pool: PoolKey) -> bool {
        self.pools
            .get(&pool)
            .is_none_or(|known| known.computed_ms + DIVISION_PERIOD_MS <= now_ms)
    }

    /// Computes the division of `pool` from the current demand.
    pub(crate) fn divide<R: Rng>(
        &mut self,
        now_ms: MonoMs,
        pool: PoolKey,
        view: &UsageView,
        own_waiting: &IndexMap<TeamOrOpen, usize>,
        rng: &mut R,
    ) {
        let demand = view.demand(pool, own_waiting);
        let mut draw = || rng.random_range(0.0..1.0);
        let division = self.pools.entry(pool).or_insert_with(|| Division {
            computed_ms: now_ms,
            allotment: Allotment::default(),
            offset: draw(),
            offset_drawn_ms: now_ms,
            yielding_since_ms: None,
        });
        if division.offset_drawn_ms + OFFSET_PERIOD_MS <= now_ms {
            division.offset = draw();
            division.offset_drawn_ms = now_ms;
        }
        division.computed_ms = now_ms;
        division.allotment = Allotment::divide(view, pool, &demand, division.offset);
    }

    /// Returns whether this entry may start work of `team` in `pool` now, either within its part or
    /// in a spare slot.
    pub(crate) fn may_start(&self, team: TeamOrOpen, pool: PoolKey, view: &UsageView) -> bool {
        let Some(division) = self.pools.get(&pool) else {
            return true;
        };
        let running = view.own_running_count(team, pool) as f64;
        running < division.allotment.own_part(team) || division.allotment.spare >= 1.0
    }

    /// Returns the peer with the largest unused part of `pool`, and subtracts one slot from it.
    pub(crate) fn next_peer_to_notify(&mut self, pool: PoolKey) -> Option<PeerKey> {
        self.pools.get_mut(&pool)?.allotment.take_largest_unused()
    }

    /// Records a start, which ends the time of leaving slots to peers.
    pub(crate) fn started(&mut self, team: TeamOrOpen, pool: PoolKey, view: &UsageView) {
        let running = view.own_running_count(team, pool) as f64;
        let Some(division) = self.pools.get_mut(&pool) else {
            return;
        };
        division.yielding_since_ms = None;
        if running >= division.allotment.own_part(team) {
            division.allotment.spare = (division.allotment.spare - 1.0).max(0.0);
        }
    }

    /// Records that this entry leaves a free worker to its peers although work for it waits here.
    /// Returns whether it has done so for `max_ms`; if so, the time starts again.
    pub(crate) fn has_yielded(&mut self, now_ms: MonoMs, pool: PoolKey, max_ms: u64) -> bool {
        let Some(division) = self.pools.get_mut(&pool) else {
            return true;
        };
        let since_ms = *division.yielding_since_ms.get_or_insert(now_ms);
        let is_over = now_ms.saturating_sub(since_ms) >= max_ms;
        if is_over {
            division.yielding_since_ms = None;
        }
        is_over
    }
}
