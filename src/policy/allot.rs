//! Division of a pool's capacity by weighted max-min: every entry computes the same division from
//! the gossiped demand and takes of each team's part what its own demand is of the team's whole.

use indexmap::IndexMap;
use rand::{Rng, RngExt};

use crate::fleet::MonoMs;
use crate::policy::hash::KeyMap;
use crate::policy::keys::{PeerKey, PoolKey};
use crate::policy::share::UsageView;
use crate::policy::usage::{TeamOrOpen, UsageRow};

/// What one team asks of a pool. All amounts are slots, or other resources in slots' worth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Weight of the team.
    pub weight: f64,
    /// What it holds elsewhere and is counted against its share here.
    pub held: f64,
    /// What it has running and waiting here.
    pub wanted: f64,
}

impl Claim {
    fn filled_to(&self, level: f64) -> f64 {
        (self.weight * level - self.held).clamp(0.0, self.wanted)
    }
}

/// Halvings of the interval in which the common level is sought.
const LEVEL_HALVINGS_COUNT: u32 = 50;

/// Returns what each claim gets of `capacity` by weighted max-min (water-filling): claims are
/// raised to a common level of what they hold for each unit of weight, and none gets more than it
/// wants.
pub fn fill(claims: &[Claim], capacity: f64) -> Vec<f64> {
    let wanted: f64 = claims.iter().map(|claim| claim.wanted).sum();
    if wanted <= capacity {
        return claims.iter().map(|claim| claim.wanted).collect();
    }
    let top = |claim: &Claim| (claim.held + claim.wanted) / claim.weight;
    let (mut low, mut high) = (0.0, claims.iter().map(top).fold(0.0, f64::max));
    for _ in 0..LEVEL_HALVINGS_COUNT {
        let level = (low + high) / 2.0;
        let filled: f64 = claims.iter().map(|claim| claim.filled_to(level)).sum();
        match filled > capacity {
            true => high = level,
            false => low = level,
        }
    }
    claims.iter().map(|claim| claim.filled_to(low)).collect()
}

/// Demand of one team for a pool, at this entry and at the others.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Weight of the team.
    pub weight: f64,
    /// What it holds in other pools, fleet-wide.
    pub held_elsewhere: f64,
    /// What it has running here by this entry.
    pub own_running: f64,
    /// What waits for this pool at this entry.
    pub own_waiting: f64,
    /// What it has running here by other entries.
    pub peers_running: f64,
    /// What waits for this pool at other entries.
    pub peers_waiting: f64,
}

impl Demand {
    fn own(&self) -> f64 {
        self.own_running + self.own_waiting
    }

    fn whole(&self) -> f64 {
        self.own() + self.peers_running + self.peers_waiting
    }
}

/// Least part of a slot for which a peer is told of a free one.
const OWED_MIN: f64 = 0.5;

/// This entry's part of a pool, team by team, valid until the next gossip round.
#[derive(Clone, Debug, Default)]
struct Allotment {
    own: KeyMap<TeamOrOpen, f64>,
    /// What each peer has yet to take up of its part.
    owed: IndexMap<PeerKey, f64>,
    /// What is free beyond the parts that other entries have yet to take up.
    spare: f64,
}

impl Allotment {
    /// Divides `capacity` by the demand. Fractions of a slot are rounded up as often as they are
    /// large, so that small parts come true over time and in sum over the entries.
    fn divide(
        view: &UsageView,
        pool: PoolKey,
        demand: &IndexMap<TeamOrOpen, Demand>,
        offset: f64,
    ) -> Self {
        let capacity = view.slots_count(pool) as f64;
        let claims: Vec<Claim> = demand
            .values()
            .map(|one| Claim {
                weight: one.weight,
                held: one.held_elsewhere,
                wanted: one.whole(),
            })
            .collect();
        let parts = fill(&claims, capacity);
        let mut allotment = Self::default();
        let mut taken = 0.0;
        // Systematic rounding: the sum over the teams is never off by more than one.
        let mut own_sum = offset;
        for ((team, one), part) in demand.iter().zip(&parts) {
            let own_part = part * one.own() / one.whole().max(f64::MIN_POSITIVE);
            let peers_part = part - own_part;
            taken += one.own_running + peers_part.max(one.peers_running);
            let own_sum_before = own_sum;
            own_sum += own_part;
            allotment
                .own
                .insert(*team, own_sum.floor() - own_sum_before.floor());
        }
        allotment.spare = (capacity - taken).max(0.0);
        allotment.count_owed(view, pool, demand, &parts);
        allotment
    }

    /// Works out what each peer has yet to take up, from its last report.
    fn count_owed(
        &mut self,
        view: &UsageView,
        pool: PoolKey,
        demand: &IndexMap<TeamOrOpen, Demand>,
        parts: &[f64],
    ) {
        for (peer, rows) in view.peer_rows(pool) {
            let owed_in = |row: &UsageRow| {
                let index = demand.get_index_of(&row.team)?;
                let whole = demand[index].whole().max(f64::MIN_POSITIVE);
                let running = f64::from(row.running_count);
                let peers_part = parts[index] * (running + f64::from(row.waiting_count)) / whole;
                Some((peers_part - running).max(0.0))
            };
            let owed: f64 = rows.iter().filter_map(owed_in).sum();
            self.owed.insert(peer, owed);
        }
    }

    /// Returns the peer that is owed most, if any is owed half a slot, and counts one slot to it.
    fn take_owed(&mut self) -> Option<PeerKey> {
        let (peer, owed) = self
            .owed
            .iter_mut()
            .max_by(|left, right| left.1.total_cmp(right.1))?;
        (*owed >= OWED_MIN).then(|| {
            *owed -= 1.0;
            *peer
        })
    }

    /// Returns this entry's part of the team's part, in whole slots.
    fn own_part(&self, team: TeamOrOpen) -> f64 {
        self.own.get(&team).copied().unwrap_or(0.0)
    }
}

/// Time for which a division is used before the next is computed.
const DIVISION_PERIOD_MS: u64 = 50;

/// Time for which fractions of slots are rounded the same way. Longer than requests commonly run,
/// so that parts do not change faster than work can follow.
const OFFSET_PERIOD_MS: u64 = 1_000;

/// The divisions of all pools that this entry starts work in, and how long it has yielded.
#[derive(Clone, Debug, Default)]
pub(crate) struct Divider {
    pools: KeyMap<PoolKey, Division>,
}

#[derive(Clone, Debug)]
struct Division {
    computed_ms: MonoMs,
    allotment: Allotment,
    /// Where the systematic rounding starts, in slots.
    offset: f64,
    offset_drawn_ms: MonoMs,
    /// Since when this entry leaves free slots to others although work waits here.
    yielding_since_ms: Option<MonoMs>,
}

impl Divider {
    /// Returns whether the division of `pool` is due for [`Divider::divide`].
    pub(crate) fn is_due(&self, now_ms: MonoMs, pool: PoolKey) -> bool {
        self.pools
            .get(&pool)
            .is_none_or(|known| known.computed_ms + DIVISION_PERIOD_MS <= now_ms)
    }

    /// Divides `pool` anew.
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

    /// Returns whether this entry may start work of `team` in `pool` now: within its part, or in
    /// what is spare.
    pub(crate) fn may_start(&self, team: TeamOrOpen, pool: PoolKey, view: &UsageView) -> bool {
        let Some(division) = self.pools.get(&pool) else {
            return true;
        };
        let running = view.own_running_count(team, pool) as f64;
        running < division.allotment.own_part(team) || division.allotment.spare >= 1.0
    }

    /// Returns the peer that is owed a slot of `pool` most, and counts one slot to it.
    pub(crate) fn next_peer_to_notify(&mut self, pool: PoolKey) -> Option<PeerKey> {
        self.pools.get_mut(&pool)?.allotment.take_owed()
    }

    /// Counts a start, which ends the yielding.
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

    /// Counts that this entry has a worker to offer and work for it, but leaves it to others;
    /// returns whether it has done so for `max_ms`, and then starts counting afresh.
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
