//! All lanes of an entry: where each waiting request is, which lanes have work for a pool, and how
//! fast the pool drains them.

use indexmap::{IndexMap, IndexSet};

use crate::fleet::MonoMs;
use crate::policy::estimate::DrainRate;
use crate::policy::hash::KeyMap;
use crate::policy::keys::{PoolKey, QueueKey, RequestKey};
use crate::policy::lane::{Lane, Place, PlaceOrder, Waiting};
use crate::policy::share::UsageView;
use crate::policy::usage::TeamSlot;

/// Index of a lane.
pub(crate) type LaneKey = usize;

/// The lanes of one entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lanes {
    lanes: Vec<Lane>,
    /// Lanes that are empty and that no team and queue refers to any more.
    free: Vec<LaneKey>,
    lane_of: KeyMap<(TeamSlot, QueueKey), LaneKey>,
    places: KeyMap<RequestKey, (LaneKey, PlaceOrder)>,
    waiting_by_team: KeyMap<TeamSlot, usize>,
    /// Lanes that are not empty, by the pools that may run their work.
    busy: IndexMap<PoolKey, IndexSet<LaneKey>>,
    /// Starts of this entry in each pool while work waits for it.
    drains: KeyMap<PoolKey, DrainRate>,
}

impl Lanes {
    pub(crate) fn get(&self, lane_key: LaneKey) -> &Lane {
        &self.lanes[lane_key]
    }

    /// Returns how many requests wait in all lanes.
    pub(crate) fn len(&self) -> usize {
        self.places.len()
    }

    pub(crate) fn holds(&self, key: RequestKey) -> bool {
        self.places.contains_key(&key)
    }

    pub(crate) fn waiting_of(&self, team: TeamSlot) -> usize {
        self.waiting_by_team.get(&team).copied().unwrap_or(0)
    }

    /// Returns the lanes that are not empty.
    pub(crate) fn busy(&self) -> IndexSet<LaneKey> {
        self.busy.values().flatten().copied().collect()
    }

    /// Returns the lanes that have work which may run in `pool`.
    pub(crate) fn of_pool(&self, pool: PoolKey) -> impl Iterator<Item = LaneKey> + '_ {
        self.busy.get(&pool).into_iter().flatten().copied()
    }

    /// Returns what waits for `pool` as the preferred one, by team.
    pub(crate) fn waiting_for(&self, pool: PoolKey) -> IndexMap<TeamSlot, usize> {
        let mut waiting = IndexMap::new();
        for lane in self.preferring(pool) {
            *waiting.entry(lane.team).or_insert(0) += lane.len();
        }
        waiting
    }

    /// Returns the lane of a request, a fresh one if the lists changed what the lane stands for.
    pub(crate) fn lane_for(&mut self, waiting: &Waiting) -> LaneKey {
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
        waiting: Waiting,
        latest_start_ms: MonoMs,
    ) {
        self.advance_drain(now_ms, waiting.pools[0]);
        let order = (waiting.deadline_ms, waiting.key);
        self.places.insert(waiting.key, (lane_key, order));
        *self.waiting_by_team.entry(waiting.team).or_insert(0) += 1;
        for pool in waiting.pools.iter() {
            self.busy.entry(*pool).or_default().insert(lane_key);
        }
        let place = Place {
            waiting,
            latest_start_ms,
        };
        self.lanes[lane_key].insert(place);
    }

    /// Takes out a request that is started in `pool`.
    pub(crate) fn start(
        &mut self,
        now_ms: MonoMs,
        pool: PoolKey,
        key: RequestKey,
    ) -> Option<Waiting> {
        let (lane_key, order) = self.places.get(&key).copied()?;
        self.advance_drain(now_ms, pool);
        if let Some(drain) = self.drains.get_mut(&pool) {
            drain.count_start();
        }
        let place = self.lanes[lane_key].remove(order)?;
        self.forget(lane_key, key);
        Some(place.waiting)
    }

    /// Takes back the start that was counted for a request, as it is proved not started.
    pub(crate) fn uncount_start(&mut self, pool: PoolKey) {
        if let Some(drain) = self.drains.get_mut(&pool) {
            drain.uncount_start();
        }
    }

    /// Takes out a request that is not started.
    pub(crate) fn remove(&mut self, now_ms: MonoMs, key: RequestKey) -> Option<Waiting> {
        let (lane_key, order) = self.places.get(&key).copied()?;
        self.advance_drain(now_ms, self.lanes[lane_key].pools[0]);
        let place = self.lanes[lane_key].remove(order)?;
        self.forget(lane_key, key);
        Some(place.waiting)
    }

    /// Returns the starts a millisecond in `pool` while work waits, if known.
    pub(crate) fn drain_per_ms(&self, pool: PoolKey) -> Option<f64> {
        self.drains.get(&pool)?.per_ms()
    }

    /// Returns how many requests start in the whole fleet before the lane is empty, its own
    /// included, if nothing more arrives: of each other team only as much goes ahead as its weight
    /// allows while this one drains (generalised processor sharing, Parekh and Gallager, 1993).
    /// Only urgent work of this entry goes ahead of urgent work.
    pub(crate) fn ahead_count(&self, lane_key: LaneKey, view: &UsageView) -> f64 {
        let lane = &self.lanes[lane_key];
        let pool = lane.pools[0];
        let mut waiting: KeyMap<TeamSlot, f64> = KeyMap::default();
        let mut urgent_count = 0.0;
        for other in self.preferring(pool) {
            match other.is_urgent {
                true => urgent_count += other.len() as f64,
                false => *waiting.entry(other.team).or_insert(0.0) += other.len() as f64,
            }
        }
        if lane.is_urgent {
            return urgent_count;
        }
        for (team, count) in view.waiting_at_peers(pool) {
            *waiting.entry(team).or_insert(0.0) += f64::from(count);
        }
        let own_count = waiting.get(&lane.team).copied().unwrap_or(0.0);
        let own_turns = own_count / f64::from(view.weight(lane.team));
        let ahead_of_lane =
            |(team, count): (&TeamSlot, &f64)| count.min(own_turns * f64::from(view.weight(*team)));
        urgent_count + waiting.iter().map(ahead_of_lane).sum::<f64>()
    }

    /// Returns the preferred pool of a queue for a team that has sent work to it.
    pub(crate) fn pool_of(&self, team: TeamSlot, queue: QueueKey) -> Option<PoolKey> {
        let lane_key = self.lane_of.get(&(team, queue))?;
        Some(self.lanes[*lane_key].pools[0])
    }

    fn preferring(&self, pool: PoolKey) -> impl Iterator<Item = &Lane> + '_ {
        self.of_pool(pool)
            .map(|lane_key| &self.lanes[lane_key])
            .filter(move |lane| lane.pools[0] == pool)
    }

    fn add(&mut self, lane: Lane) -> LaneKey {
        match self.free.pop() {
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

    /// Brings the drain rate of a pool up to now, before anything enters or leaves its lanes.
    fn advance_drain(&mut self, now_ms: MonoMs, pool: PoolKey) {
        let is_busy = self.of_pool(pool).next().is_some();
        let drain = self.drains.entry(pool).or_default();
        drain.advance(now_ms, is_busy);
    }

    /// Removes what is held of a request that has left its lane.
    fn forget(&mut self, lane_key: LaneKey, key: RequestKey) {
        self.places.remove(&key);
        let lane = &self.lanes[lane_key];
        if let Some(count) = self.waiting_by_team.get_mut(&lane.team) {
            *count = count.saturating_sub(1);
        }
        if !lane.is_empty() {
            return;
        }
        for pool in lane.pools.iter() {
            if let Some(lanes) = self.busy.get_mut(pool) {
                lanes.swap_remove(&lane_key);
            }
        }
        if self.lane_of.get(&(lane.team, lane.queue)) != Some(&lane_key) {
            self.free.push(lane_key);
        }
    }
}
