//! Usage of each team, own and gossiped, and the normalised level by which weighted max-min picks
//! the next team: the dominant share of the fleet that the team holds, now and over a recent
//! window, divided by its weight (Ghodsi et al., "Dominant Resource Fairness", NSDI 2011).

use std::collections::HashMap;

use indexmap::IndexMap;

use crate::fleet::{MonoMs, Resources};
use crate::policy::keys::{PeerKey, PoolKey, TeamKey};

/// Team of a request; `None` stands for all work from queues open to all together.
pub type TeamSlot = Option<TeamKey>;

/// Over what a team's level is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum ShareScope {
    /// Over all pools together, as the share of the fleet.
    Fleet,
    /// Over the pool that starts the request.
    Pool,
}

/// Settings of the share computation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareSettings {
    /// Over what the level is counted.
    pub scope: ShareScope,
    /// Time constant of the memory of past usage.
    pub history_window_ms: u64,
    /// Weight of past usage in the level, in thousandths; the rest is usage now.
    pub history_permille: u32,
    /// Weight of all work from queues open to all together.
    pub open_weight: u32,
    /// Age at which a peer's report no longer counts.
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

/// What one peer reports of one team in one pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageRow {
    /// Team, or `None` for work from queues open to all.
    pub team: TeamSlot,
    /// Pool.
    pub pool: PoolKey,
    /// Sum of the sizes that the peer has running.
    pub running: Resources,
    /// Requests that wait at the peer with this pool as the preferred one.
    pub waiting_count: u32,
}

impl UsageRow {
    /// Returns a row with nothing running and nothing waiting.
    pub fn idle(team: TeamSlot, pool: PoolKey) -> Self {
        Self {
            team,
            pool,
            running: Resources::default(),
            waiting_count: 0,
        }
    }
}

/// Usage of one team within one scope, integrated over time as it changes.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    own: Resources,
    peers: Resources,
    peers_waiting_count: u32,
    history: f64,
    history_at_ms: MonoMs,
}

impl Usage {
    fn share(&self, capacity: &Resources) -> f64 {
        let share = self.own.plus(&self.peers).dominant_share(capacity);
        share.min(SHARE_MAX)
    }

    fn history_at(&self, now_ms: MonoMs, capacity: &Resources, window_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.history_at_ms) as f64;
        let keep = (-elapsed_ms / window_ms.max(1) as f64).exp();
        self.history * keep + self.share(capacity) * (1.0 - keep)
    }
}

/// Largest share counted, so that a pool whose capacity is not known gives a finite level.
const SHARE_MAX: f64 = 1e6;

/// Scope of one usage entry: `None` is the fleet as a whole.
type UsageKey = (TeamSlot, Option<PoolKey>);

/// What this entry knows of usage: its own exactly, that of its peers from gossip.
///
/// The engine calls [`UsageView::started`] and [`UsageView::ended`] for its own attempts,
/// [`UsageView::apply_peer_report`] for each report of a peer, and the setters when the lists or
/// the instance list change. Gossip is a hint: a stale or lost report costs nearness to share and
/// breaks no promise.
#[derive(Clone, Debug)]
pub struct UsageView {
    settings: ShareSettings,
    weights: HashMap<TeamKey, u32>,
    pool_capacity: IndexMap<PoolKey, Resources>,
    fleet_capacity: Resources,
    usage: HashMap<UsageKey, Usage>,
    waiting_at_peers: IndexMap<PoolKey, IndexMap<TeamSlot, u32>>,
    reports: IndexMap<PeerKey, (MonoMs, Vec<UsageRow>)>,
}

impl UsageView {
    /// Makes a view without teams, pools or usage.
    pub fn new(settings: ShareSettings) -> Self {
        Self {
            settings,
            weights: HashMap::new(),
            pool_capacity: IndexMap::new(),
            fleet_capacity: Resources::default(),
            usage: HashMap::new(),
            waiting_at_peers: IndexMap::new(),
            reports: IndexMap::new(),
        }
    }

    /// Sets the weight of a team; a weight of zero counts as one.
    pub fn set_weight(&mut self, team: TeamKey, weight: u32) {
        self.weights.insert(team, weight.max(1));
    }

    /// Sets what the workers of a pool that take work offer together.
    pub fn set_pool_capacity(&mut self, pool: PoolKey, capacity: Resources) {
        self.pool_capacity.insert(pool, capacity);
        self.fleet_capacity = self
            .pool_capacity
            .values()
            .fold(Resources::default(), |sum, part| sum.plus(part));
    }

    /// Counts an attempt of this entry that starts.
    pub fn started(&mut self, now_ms: MonoMs, team: TeamSlot, pool: PoolKey, size: &Resources) {
        self.change(now_ms, team, pool, |usage| usage.own = usage.own.plus(size));
    }

    /// Counts an attempt of this entry that ended, whatever its outcome.
    pub fn ended(&mut self, now_ms: MonoMs, team: TeamSlot, pool: PoolKey, size: &Resources) {
        self.change(now_ms, team, pool, |usage| {
            usage.own = usage.own.minus(size);
        });
    }

    /// Replaces what `peer` reported before by `rows`.
    pub fn apply_peer_report(&mut self, now_ms: MonoMs, peer: PeerKey, rows: Vec<UsageRow>) {
        self.remove_peer(now_ms, peer);
        for row in &rows {
            self.change(now_ms, row.team, row.pool, |usage| {
                usage.peers = usage.peers.plus(&row.running);
                usage.peers_waiting_count += row.waiting_count;
            });
            self.count_waiting_at_peers(row);
        }
        self.reports.insert(peer, (now_ms, rows));
    }

    /// Forgets the reports that are too old to count; returns the peers that they came from.
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

    /// Forgets the report of one peer, for example because its seat was given up.
    pub fn remove_peer(&mut self, now_ms: MonoMs, peer: PeerKey) {
        let Some((_, rows)) = self.reports.swap_remove(&peer) else {
            return;
        };
        for row in &rows {
            self.change(now_ms, row.team, row.pool, |usage| {
                usage.peers = usage.peers.minus(&row.running);
                usage.peers_waiting_count =
                    usage.peers_waiting_count.saturating_sub(row.waiting_count);
            });
            self.uncount_waiting_at_peers(row);
        }
    }

    /// Returns the weight of a team.
    pub fn weight(&self, team: TeamSlot) -> u32 {
        match team {
            Some(team) => self.weights.get(&team).copied().unwrap_or(1),
            None => self.settings.open_weight.max(1),
        }
    }

    /// Returns the normalised level of `team` as `pool` sees it: its dominant share, now and over
    /// the window, divided by its weight. The lowest level is served first.
    pub fn level(&self, now_ms: MonoMs, team: TeamSlot, pool: PoolKey) -> f64 {
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

    /// Returns the lowest level among the teams that wait for `pool` at peers.
    pub fn lowest_level_at_peers(&self, now_ms: MonoMs, pool: PoolKey) -> Option<f64> {
        let teams = self.waiting_at_peers.get(&pool)?;
        teams
            .keys()
            .map(|team| self.level(now_ms, *team, pool))
            .min_by(f64::total_cmp)
    }

    /// Returns how many requests wait for `pool` at peers, by their last reports.
    pub fn waiting_at_peers_count(&self, pool: PoolKey) -> u32 {
        self.waiting_at_peers
            .get(&pool)
            .map_or(0, |teams| teams.values().sum())
    }

    /// Returns what `team` has running in `pool`, own and gossiped.
    pub fn running(&self, team: TeamSlot, pool: PoolKey) -> Resources {
        self.usage
            .get(&(team, Some(pool)))
            .map_or_else(Resources::default, |usage| usage.own.plus(&usage.peers))
    }

    /// Returns what this entry itself has running, one row for each team and pool in use, in the
    /// form that peers take. The waiting counts are left at zero for the caller to fill in.
    pub fn own_rows(&self) -> Vec<UsageRow> {
        let mut rows: Vec<UsageRow> = self
            .usage
            .iter()
            .filter(|(_, usage)| usage.own != Resources::default())
            .filter_map(|((team, pool), usage)| {
                Some(UsageRow {
                    team: *team,
                    pool: (*pool)?,
                    running: usage.own,
                    waiting_count: 0,
                })
            })
            .collect();
        rows.sort_by_key(|row| (row.team, row.pool));
        rows
    }

    fn usage_key(&self, team: TeamSlot, pool: PoolKey) -> UsageKey {
        match self.settings.scope {
            ShareScope::Fleet => (team, None),
            ShareScope::Pool => (team, Some(pool)),
        }
    }

    fn capacity_of(&self, pool: Option<PoolKey>) -> Resources {
        match pool {
            Some(pool) => self.pool_capacity.get(&pool).copied().unwrap_or_default(),
            None => self.fleet_capacity,
        }
    }

    /// Brings the history of the two scopes up to now, then changes their usage.
    fn change(
        &mut self,
        now_ms: MonoMs,
        team: TeamSlot,
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
