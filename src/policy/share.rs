//! Usage of each team, at this entry and at its peers, and the normalised level computed from it.
//!
//! Weighted max-min serves the team with the lowest level next. The level is the dominant share of
//! the fleet that the team holds, now and over a recent window, divided by the team's weight
//! (Ghodsi et al., "Dominant Resource Fairness", NSDI 2011).

use indexmap::{IndexMap, IndexSet};

use crate::fleet::{MonoMs, Resources};
use crate::policy::allot::Demand;
use crate::policy::hash::KeyMap;
use crate::policy::keys::{PeerKey, PoolKey, TeamKey};

pub use crate::policy::usage::{Load, TeamOrOpen, UsageRow};

/// Capacity relative to which a team's level is computed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum ShareScope {
    /// All pools together: the share of the fleet.
    Fleet,
    /// The pool that starts the request.
    Pool,
}

/// Settings of the share computation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareSettings {
    /// Capacity relative to which the level is computed.
    pub scope: ShareScope,
    /// Time constant with which past usage is forgotten, in milliseconds.
    pub history_window_ms: u64,
    /// Weight of past usage in the level, in thousandths. The rest is current usage.
    pub history_permille: u32,
    /// Weight of the work from all queues open to all, counted together.
    pub open_weight: u32,
    /// Age beyond which a peer's report no longer counts, in milliseconds.
    pub peer_report_max_age_ms: u64,
}

impl Default for ShareSettings {
    fn default() -> Self {
        Self {
            scope: ShareScope::Fleet,
            history_window_ms: 2_000,
            history_permille: 500,
            open_weight: 1,
            peer_report_max_age_ms: 3_000,
        }
    }
}

/// Usage of one team within one scope. The history is integrated at each change.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    own: Load,
    peers: Load,
    history: f64,
    history_at_ms: MonoMs,
}

impl Usage {
    fn share(&self, capacity: &Load) -> f64 {
        let share = self.own.plus(&self.peers).dominant_share(capacity);
        share.min(SHARE_MAX)
    }

    fn is_idle(&self) -> bool {
        self.own == Load::default() && self.peers == Load::default()
    }

    fn history_at(&self, now_ms: MonoMs, capacity: &Load, window_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.history_at_ms) as f64;
        let decay = (-elapsed_ms / window_ms.max(1) as f64).exp();
        self.history * decay + self.share(capacity) * (1.0 - decay)
    }
}

/// Upper limit of a share, so that a pool of unknown capacity gives a finite level.
const SHARE_MAX: f64 = 1e6;

/// Team and scope of one usage value: a pool, or `None` for the whole fleet.
type UsageKey = (TeamOrOpen, Option<PoolKey>);

/// Usage as this entry knows it: its own exactly, that of its peers from gossip.
///
/// The engine calls [`UsageView::started`] and [`UsageView::ended`] for its own attempts,
/// [`UsageView::apply_peer_report`] for each report of a peer, and the setters when the lists or
/// the instance list change. Gossip is a hint: a stale or lost report makes sharing less accurate
/// but breaks no guarantee.
#[derive(Clone, Debug)]
pub struct UsageView {
    settings: ShareSettings,
    weights: KeyMap<TeamKey, u32>,
    pool_capacity: IndexMap<PoolKey, Load>,
    fleet_capacity: Load,
    usage: KeyMap<UsageKey, Usage>,
    own_running: KeyMap<PoolKey, u64>,
    peers_running: KeyMap<PoolKey, u64>,
    running_teams: IndexMap<PoolKey, IndexSet<TeamOrOpen>>,
    waiting_at_peers: IndexMap<PoolKey, IndexMap<TeamOrOpen, u32>>,
    reports: IndexMap<PeerKey, (MonoMs, Vec<UsageRow>)>,
}

impl UsageView {
    /// Creates a view without teams, pools or usage.
    pub fn new(settings: ShareSettings) -> Self {
        Self {
            settings,
            weights: KeyMap::default(),
            pool_capacity: IndexMap::new(),
            fleet_capacity: Load::default(),
            usage: KeyMap::default(),
            own_running: KeyMap::default(),
            peers_running: KeyMap::default(),
            running_teams: IndexMap::new(),
            waiting_at_peers: IndexMap::new(),
            reports: IndexMap::new(),
        }
    }

    /// Sets the weight of a team. A weight of zero counts as one.
    pub fn set_weight(&mut self, team: TeamKey, weight: u32) {
        self.weights.insert(team, weight.max(1));
    }

    /// Sets the total capacity of the workers of a pool that accept work.
    pub fn set_pool_capacity(&mut self, pool: PoolKey, capacity: Load) {
        self.pool_capacity.insert(pool, capacity);
        self.fleet_capacity = self
            .pool_capacity
            .values()
            .fold(Load::default(), |sum, part| sum.plus(part));
    }

    /// Counts the start of an attempt of this entry.
    pub fn started(&mut self, now_ms: MonoMs, team: TeamOrOpen, pool: PoolKey, size: &Resources) {
        let load = Load::of_request(size);
        *self.own_running.entry(pool).or_insert(0) += 1;
        self.change(now_ms, team, pool, |usage| {
            usage.own = usage.own.plus(&load);
        });
    }

    /// Counts the end of an attempt of this entry, whatever its outcome.
    pub fn ended(&mut self, now_ms: MonoMs, team: TeamOrOpen, pool: PoolKey, size: &Resources) {
        let load = Load::of_request(size);
        let count = self.own_running.entry(pool).or_insert(0);
        *count = count.saturating_sub(1);
        self.change(now_ms, team, pool, |usage| {
            usage.own = usage.own.minus(&load);
        });
    }

    /// Replaces the last report of `peer` by `rows`.
    pub fn apply_peer_report(&mut self, now_ms: MonoMs, peer: PeerKey, mut rows: Vec<UsageRow>) {
        self.remove_peer(now_ms, peer);
        rows.sort_by_key(|row| (row.pool, row.team));
        for row in &rows {
            self.change(now_ms, row.team, row.pool, |usage| {
                usage.peers = usage.peers.plus(&Load::of_row(row));
            });
            *self.peers_running.entry(row.pool).or_insert(0) += u64::from(row.running_count);
            self.count_waiting_at_peers(row);
        }
        self.reports.insert(peer, (now_ms, rows));
    }

    /// Removes the reports that are too old to count and returns the peers that sent them.
    pub fn expire_peers(&mut self, now_ms: MonoMs) -> Vec<PeerKey> {
        let max_age_ms = self.settings.peer_report_max_age_ms;
        let is_old = |at_ms: MonoMs| now_ms.saturating_sub(at_ms) > max_age_ms;
        let old: Vec<PeerKey> = self
            .reports
            .iter()
            .filter(|(_, (at_ms, _))| is_old(*at_ms))
            .map(|(peer, _)| *peer)
            .collect();
        for peer in &old {
            self.remove_peer(now_ms, *peer);
        }
        old
    }

    /// Removes the report of one peer, for example because it gave up its seat.
    pub fn remove_peer(&mut self, now_ms: MonoMs, peer: PeerKey) {
        let Some((_, rows)) = self.reports.swap_remove(&peer) else {
            return;
        };
        for row in &rows {
            self.change(now_ms, row.team, row.pool, |usage| {
                usage.peers = usage.peers.minus(&Load::of_row(row));
            });
            let running = self.peers_running.entry(row.pool).or_insert(0);
            *running = running.saturating_sub(u64::from(row.running_count));
            self.uncount_waiting_at_peers(row);
        }
    }

    /// Returns the weight of a team.
    pub fn weight(&self, team: TeamOrOpen) -> u32 {
        match team {
            Some(team) => self.weights.get(&team).copied().unwrap_or(1),
            None => self.settings.open_weight.max(1),
        }
    }

    /// Returns the normalised level of `team` for `pool`: its dominant share, now and over the
    /// window, divided by its weight. The lowest level is served first.
    pub fn level(&self, now_ms: MonoMs, team: TeamOrOpen, pool: PoolKey) -> f64 {
        let key = self.usage_key(team, pool);
        let Some(usage) = self.usage.get(&key) else {
            return 0.0;
        };
        let capacity = self.capacity_of(key.1);
        let part = f64::from(self.settings.history_permille) / 1_000.0;
        let history = usage.history_at(now_ms, &capacity, self.settings.history_window_ms);
        let share = usage.share(&capacity) * (1.0 - part) + history * part;
        share / f64::from(self.weight(team))
    }

    /// Returns how many requests wait for `pool` at peers, according to their last reports.
    pub fn waiting_at_peers_count(&self, pool: PoolKey) -> u32 {
        self.waiting_at_peers
            .get(&pool)
            .map_or(0, |teams| teams.values().sum())
    }

    /// Returns the load that `team` runs in `pool`, at this entry and at peers.
    pub fn running(&self, team: TeamOrOpen, pool: PoolKey) -> Load {
        self.usage
            .get(&(team, Some(pool)))
            .map_or_else(Load::default, |usage| usage.own.plus(&usage.peers))
    }

    /// Returns how many requests of `team` this entry runs in `pool`.
    pub fn own_running_count(&self, team: TeamOrOpen, pool: PoolKey) -> u64 {
        self.usage
            .get(&(team, Some(pool)))
            .map_or(0, |usage| usage.own.slots_count)
    }

    /// Returns how many requests this entry runs in `pool`.
    pub fn own_running_in(&self, pool: PoolKey) -> u64 {
        self.own_running.get(&pool).copied().unwrap_or(0)
    }

    /// Returns how many requests run in `pool`, for this entry and for peers.
    pub fn running_in(&self, pool: PoolKey) -> u64 {
        self.own_running_in(pool) + self.peers_running.get(&pool).copied().unwrap_or(0)
    }

    /// Returns how many requests wait for `pool` at peers, by team.
    pub fn waiting_at_peers(&self, pool: PoolKey) -> impl Iterator<Item = (TeamOrOpen, u32)> + '_ {
        let teams = self.waiting_at_peers.get(&pool).into_iter().flatten();
        teams.map(|(team, count)| (*team, *count))
    }

    /// Returns the total slots of the workers of `pool`.
    pub fn slots_count(&self, pool: PoolKey) -> u64 {
        self.capacity_of(Some(pool)).slots_count
    }

    /// Returns the demand for `pool` by team, in slot equivalents. `own_waiting` is the number of
    /// requests that wait for the pool at this entry.
    pub(crate) fn demand(
        &self,
        pool: PoolKey,
        own_waiting: &IndexMap<TeamOrOpen, usize>,
    ) -> IndexMap<TeamOrOpen, Demand> {
        let running = self.running_teams.get(&pool).into_iter().flatten();
        let at_peers = self.waiting_at_peers.get(&pool);
        let mut demand: IndexMap<TeamOrOpen, Demand> = running
            .chain(at_peers.into_iter().flat_map(IndexMap::keys))
            .chain(own_waiting.keys())
            .map(|team| (*team, Demand::default()))
            .collect();
        for (team, team_demand) in &mut demand {
            let waiting = own_waiting.get(team).copied().unwrap_or(0) as f64;
            let at_peers = at_peers.and_then(|teams| teams.get(team)).copied();
            *team_demand = self.demand_of(*team, pool, waiting, f64::from(at_peers.unwrap_or(0)));
        }
        demand
    }

    /// Returns the rows of `pool` in the last report of each peer.
    pub(crate) fn peer_rows(
        &self,
        pool: PoolKey,
    ) -> impl Iterator<Item = (PeerKey, &[UsageRow])> + '_ {
        self.reports.iter().map(move |(peer, (_, rows))| {
            let start = rows.partition_point(|row| row.pool < pool);
            let end = rows.partition_point(|row| row.pool <= pool);
            (*peer, &rows[start..end])
        })
    }

    fn demand_of(
        &self,
        team: TeamOrOpen,
        pool: PoolKey,
        own_waiting_count: f64,
        peers_waiting_count: f64,
    ) -> Demand {
        let usage = |scope| self.usage.get(&(team, scope)).copied().unwrap_or_default();
        let (here, fleet) = (usage(Some(pool)), usage(None));
        let capacity = self.capacity_of(Some(pool));
        let running_count = (here.own.slots_count + here.peers.slots_count) as f64;
        let load_slots = here.share(&capacity) * capacity.slots_count as f64;
        let cost = match running_count {
            0.0 => 1.0,
            running_count => (load_slots / running_count).max(1.0),
        };
        let fleet_count = (fleet.own.slots_count + fleet.peers.slots_count) as f64;
        let held_elsewhere = match self.settings.scope {
            ShareScope::Fleet => (fleet_count - running_count) * cost,
            ShareScope::Pool => 0.0,
        };
        Demand {
            weight: f64::from(self.weight(team)),
            held_elsewhere,
            own_running: here.own.slots_count as f64 * cost,
            own_waiting: own_waiting_count * cost,
            peers_running: here.peers.slots_count as f64 * cost,
            peers_waiting: peers_waiting_count * cost,
        }
    }

    /// Returns the requests that this entry runs, as report rows for peers, one for each team and
    /// pool in use. The waiting counts are zero; the calling code fills them in.
    pub fn own_rows(&self) -> Vec<UsageRow> {
        let mut rows: Vec<UsageRow> = self
            .usage
            .iter()
            .filter(|(_, usage)| usage.own != Load::default())
            .filter_map(|((team, pool), usage)| {
                Some(UsageRow {
                    team: *team,
                    pool: (*pool)?,
                    running: usage.own.size,
                    running_count: usage.own.slots_count as u32,
                    waiting_count: 0,
                })
            })
            .collect();
        rows.sort_by_key(|row| (row.team, row.pool));
        rows
    }

    fn usage_key(&self, team: TeamOrOpen, pool: PoolKey) -> UsageKey {
        match self.settings.scope {
            ShareScope::Fleet => (team, None),
            ShareScope::Pool => (team, Some(pool)),
        }
    }

    fn capacity_of(&self, pool: Option<PoolKey>) -> Load {
        match pool {
            Some(pool) => self.pool_capacity.get(&pool).copied().unwrap_or_default(),
            None => self.fleet_capacity,
        }
    }

    /// Advances the history of the pool and of the fleet to now, then changes the usage of both.
    fn change(
        &mut self,
        now_ms: MonoMs,
        team: TeamOrOpen,
        pool: PoolKey,
        change: impl Fn(&mut Usage),
    ) {
        let window_ms = self.settings.history_window_ms;
        for scope in [None, Some(pool)] {
            let capacity = self.capacity_of(scope);
            let usage = self.usage.entry((team, scope)).or_default();
            usage.history = usage.history_at(now_ms, &capacity, window_ms);
            usage.history_at_ms = now_ms;
            change(usage);
        }
        let teams = self.running_teams.entry(pool).or_default();
        match self.usage[&(team, Some(pool))].is_idle() {
            true => teams.swap_remove(&team),
            false => teams.insert(team),
        };
    }

    fn count_waiting_at_peers(&mut self, row: &UsageRow) {
        if row.waiting_count == 0 {
            return;
        }
        let teams = self.waiting_at_peers.entry(row.pool).or_default();
        *teams.entry(row.team).or_insert(0) += row.waiting_count;
    }

    fn uncount_waiting_at_peers(&mut self, row: &UsageRow) {
        let Some(teams) = self.waiting_at_peers.get_mut(&row.pool) else {
            return;
        };
        let Some(count) = teams.get_mut(&row.team) else {
            return;
        };
        *count = count.saturating_sub(row.waiting_count);
        if *count == 0 {
            teams.swap_remove(&row.team);
        }
    }
}
