//! All lanes of an entry: the lane of each waiting request, the lanes with work for each pool, and
//! the rate at which each pool starts that work.

use indexmap::{IndexMap, IndexSet};

use crate::fleet::MonoMs;
use crate::policy::backlog::{Backlog, TeamBacklog};
use crate::policy::estimate::DrainRate;
use crate::policy::hash::KeyMap;
use crate::policy::keys::{PoolKey, QueueKey, RequestKey};
use crate::policy::lane::{Lane, LaneOrder, QueuedRequest, WaitingRequest};
use crate::policy::share::UsageView;
use crate::policy::usage::TeamOrOpen;

/// Index of a lane.
pub(crate) type LaneKey = usize;

/// The lanes of one entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lanes {
    lanes: Vec<Lane>,
    /// Empty lanes that no team and queue refers to any more.
    free_lanes: Vec<LaneKey>,
    lane_of: KeyMap<(TeamOrOpen, QueueKey), LaneKey>,
    locations: KeyMap<RequestKey, (LaneKey, LaneOrder)>,
    waiting_by_team: KeyMap<TeamOrOpen, usize>,
    /// Lanes that are not empty, by the pools that may run their work.
    non_empty: IndexMap<PoolKey, IndexSet<LaneKey>>,
    /// Start rate of this entry in each pool while work waits for the pool.
    drain_rates: KeyMap<PoolKey, DrainRate>,
}

impl Lanes {
    pub(crate) fn get(&self, lane_key: LaneKey) -> &Lane {
        &self.lanes[lane_key]
    }

    /// Returns how many requests wait in all lanes.
    pub(crate) fn len(&self) -> usize {
        self.locations.len()
    }

    pub(crate) fn holds(&self, key: RequestKey) -> bool {
        self.locations.contains_key(&key)
    }

    pub(crate) fn waiting_of(&self, team: TeamOrOpen) -> usize {
        self.waiting_by_team.get(&team).copied().unwrap_or(0)
    }

    /// Returns the lanes that are not empty.
    pub(crate) fn non_empty(&self) -> IndexSet<LaneKey> {
        self.non_empty.values().flatten().copied().collect()
    }

    /// Returns the lanes with work that may run in `pool`.
    pub(crate) fn of_pool(&self, pool: PoolKey) -> impl Iterator<Item = LaneKey> + '_ {
        self.non_empty.get(&pool).into_iter().flatten().copied()
    }

    /// Returns how many requests prefer `pool` and wait for it, by team.
    pub(crate) fn waiting_for(&self, pool: PoolKey) -> IndexMap<TeamOrOpen, usize> {
        let mut waiting = IndexMap::new();
        for lane in self.preferring(pool) {
            *waiting.entry(lane.team).or_insert(0) += lane.len();
        }
        waiting
    }

    /// Returns the lane of a request. It is a new one if the lists have changed the queue's pools
    /// or urgency.
    pub(crate) fn lane_for(&mut self, waiting: &WaitingRequest) -> LaneKey {
        let id = (waiting.team, waiting.queue);
        match self.lane_of.get(&id) {
            Some(lane_key) if self.lanes[*lane_key].is_for(waiting) => *lane_key,
            Some(lane_key) if self.lanes[*lane_key].is_empty() => {
                self.lanes[*lane_key] = Lane::new(waiting);
                *lane_key
            }
            _ => {
                let lane_key = self.add(Lane::new(waiting));
                self.lane_of.insert(id, lane_key);
                lane_key
            }
        }
    }

    pub(crate) fn insert(
        &mut self,
        now_ms: MonoMs,
        lane_key: LaneKey,
        waiting: WaitingRequest,
        latest_start_ms: MonoMs,
    ) {
        self.advance_drain(now_ms, waiting.pools[0]);
        let order = (waiting.deadline_ms, waiting.key);
        self.locations.insert(waiting.key, (lane_key, order));
        *self.waiting_by_team.entry(waiting.team).or_insert(0) += 1;
        for pool in waiting.pools.iter() {
            self.non_empty.entry(*pool).or_default().insert(lane_key);
        }
        let request = QueuedRequest {
            waiting,
            latest_start_ms,
        };
        self.lanes[lane_key].insert(request);
    }

    /// Removes a request that is started in `pool` and counts the start.
    pub(crate) fn start(
        &mut self,
        now_ms: MonoMs,
        pool: PoolKey,
        key: RequestKey,
    ) -> Option<WaitingRequest> {
        let (lane_key, order) = self.locations.get(&key).copied()?;
        self.advance_drain(now_ms, pool);
        if let Some(rate) = self.drain_rates.get_mut(&pool) {
            rate.count_start();
        }
        let request = self.lanes[lane_key].remove(order)?;
        self.forget(lane_key, key);
        Some(request.waiting)
    }

    /// Removes the counted start of a request that is proved not started.
    pub(crate) fn uncount_start(&mut self, pool: PoolKey) {
        if let Some(rate) = self.drain_rates.get_mut(&pool) {
            rate.uncount_start();
        }
    }

    /// Removes a request that is not started.
    pub(crate) fn remove(&mut self, now_ms: MonoMs, key: RequestKey) -> Option<WaitingRequest> {
        let (lane_key, order) = self.locations.get(&key).copied()?;
        self.advance_drain(now_ms, self.lanes[lane_key].pools[0]);
        let request = self.lanes[lane_key].remove(order)?;
        self.forget(lane_key, key);
        Some(request.waiting)
    }

    /// Returns the starts per millisecond in `pool` while work waits, if known.
    pub(crate) fn starts_per_ms(&self, pool: PoolKey) -> Option<f64> {
        self.drain_rates.get(&pool)?.starts_per_ms()
    }

    /// Counts the requests that wait for `pool` in the whole fleet.
    pub(crate) fn backlog(&self, now_ms: MonoMs, pool: PoolKey, view: &UsageView) -> Backlog {
        let mut teams: KeyMap<TeamOrOpen, TeamBacklog> = KeyMap::default();
        let mut add = |team: TeamOrOpen, count: f64| {
            let backlog = teams.entry(team).or_insert_with(|| TeamBacklog {
                weight: f64::from(view.weight(team)),
                waiting_count: 0.0,
            });
            backlog.waiting_count += count;
        };
        let mut urgent_count = 0.0;
        for lane in self.preferring(pool) {
            match lane.is_urgent {
                true => urgent_count += lane.len() as f64,
                false => add(lane.team, lane.len() as f64),
            }
        }
        for (team, count) in view.waiting_at_peers(pool) {
            add(team, f64::from(count));
        }
        Backlog::new(now_ms, urgent_count, &teams)
    }

    /// Returns the preferred pool of a queue for a team that has sent work to the queue.
    pub(crate) fn pool_of(&self, team: TeamOrOpen, queue: QueueKey) -> Option<PoolKey> {
        let lane_key = self.lane_of.get(&(team, queue))?;
        Some(self.lanes[*lane_key].pools[0])
    }

    fn preferring(&self, pool: PoolKey) -> impl Iterator<Item = &Lane> + '_ {
        self.of_pool(pool)
            .map(|lane_key| &self.lanes[lane_key])
            .filter(move |lane| lane.pools[0] == pool)
    }

    fn add(&mut self, lane: Lane) -> LaneKey {
        match self.free_lanes.pop() {
            Some(lane_key) => {
                self.lanes[lane_key] = lane;
                lane_key
            }
            None => {
                self.lanes.push(lane);
                self.lanes.len() - 1
            }
        }
    }

    /// Advances the drain rate of a pool to now. Call it before a request enters or leaves a lane.
    fn advance_drain(&mut self, now_ms: MonoMs, pool: PoolKey) {
        let is_busy = self.of_pool(pool).next().is_some();
        let rate = self.drain_rates.entry(pool).or_default();
        rate.advance(now_ms, is_busy);
    }

    /// Updates the counts and indexes after a request has left its lane.
    fn forget(&mut self, lane_key: LaneKey, key: RequestKey) {
        self.locations.remove(&key);
        let lane = &self.lanes[lane_key];
        if let Some(count) = self.waiting_by_team.get_mut(&lane.team) {
            *count = count.saturating_sub(1);
        }
        if !lane.is_empty() {
            return;
        }
        for pool in lane.pools.iter() {
            if let Some(lanes) = self.non_empty.get_mut(pool) {
                lanes.swap_remove(&lane_key);
            }
        }
        if self.lane_of.get(&(lane.team, lane.queue)) != Some(&lane_key) {
            self.free_lanes.push(lane_key);
        }
    }
}
