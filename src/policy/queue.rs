//! The bounded queue of one entry. It refuses at once what it cannot serve in time, gives up early
//! on what it no longer can, and hands out the next request of a pool by weighted max-min.
//!
//! How the engine drives it, on one thread:
//!
//! 1. A request arrives: [`WaitQueue::push`]. On a refusal, answer "not run" with its reason and
//!    time to come back.
//! 2. Every few milliseconds, and before handing out: [`WaitQueue::expire`]; answer each request
//!    given up.
//! 3. Whenever a worker of a pool may be free: [`WaitQueue::next`] with a closure that takes the
//!    team's permit (upper limit) and a place on a worker, and says whether it got both. What is
//!    returned is to be started at once; call [`UsageView::started`] for it.
//! 4. An attempt ends: [`UsageView::ended`], and [`WaitQueue::observe_run`] if the task ran.
//! 5. An attempt that is proved not started may go back: [`WaitQueue::put_back`].
//! 6. A caller cancels or goes away: [`WaitQueue::cancel`].
//! 7. The instance list or the lists change: [`WaitQueue::set_pool_largest`].

use std::collections::HashMap;

use indexmap::{IndexMap, IndexSet};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fleet::{MonoMs, Resources};
use crate::policy::estimate::RunTimes;
use crate::policy::keys::{PoolKey, QueueKey, RequestKey};
use crate::policy::lane::{Lane, Place, PlaceOrder, RetryAfterLimits, Waiting};
use crate::policy::refusal::{GivenUp, Refusal, RefusalReason};
use crate::policy::share::{TeamSlot, UsageRow, UsageView};

/// Settings of the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueSettings {
    /// Requests that may wait at once.
    pub waiting_max_count: usize,
    /// Part of the free places that one team may take, in thousandths.
    pub team_part_permille: u32,
    /// Part of the recent starts of a pool that urgent work may take ahead of other work.
    pub urgent_max_permille: u32,
    /// Mean deviations of the run time that are reserved before a deadline.
    pub run_deviations: f64,
    /// Factor on the time left before a waiting request is given up by the observed rate.
    pub give_up_slack: f64,
    /// Time that a request waits for a preferred pool before the next one may take it.
    pub spill_after_ms: u64,
    /// Limits of the time that callers are told to stay away.
    pub retry_after: RetryAfterLimits,
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            waiting_max_count: 8_192,
            team_part_permille: 1_000,
            urgent_max_permille: 750,
            run_deviations: 2.0,
            give_up_slack: 1.5,
            spill_after_ms: 20,
            retry_after: RetryAfterLimits {
                min_ms: 100,
                max_ms: 30_000,
            },
        }
    }
}

/// Index of a lane.
type LaneKey = usize;

/// Starts over which the part of urgent work is smoothed.
const URGENT_WINDOW_STARTS: f64 = 64.0;

/// What decides between lanes: class, level and deadline; the lowest is served first.
type Rank = (u8, f64, MonoMs);

/// The waiting requests of one entry.
#[derive(Clone, Debug)]
pub struct WaitQueue {
    settings: QueueSettings,
    lanes: Vec<Lane>,
    /// Lanes that are empty and that no team and queue refers to any more.
    free_lanes: Vec<LaneKey>,
    lane_of: HashMap<(TeamSlot, QueueKey), LaneKey>,
    /// Where each waiting request is; its size is that of the queue.
    places: HashMap<RequestKey, (LaneKey, PlaceOrder)>,
    waiting_by_team: HashMap<TeamSlot, usize>,
    /// Lanes in use of each pool.
    busy_lanes: IndexMap<PoolKey, IndexSet<LaneKey>>,
    largest_worker: HashMap<PoolKey, Resources>,
    urgent_part: HashMap<PoolKey, f64>,
    run_times: RunTimes,
    refused: IndexMap<RefusalReason, u64>,
    rng: ChaCha8Rng,
}

impl WaitQueue {
    /// Makes an empty queue; `seed` fixes the jitter of the times to come back.
    pub fn new(settings: QueueSettings, seed: u64) -> Self {
        Self {
            settings,
            lanes: Vec::new(),
            free_lanes: Vec::new(),
            lane_of: HashMap::new(),
            places: HashMap::new(),
            waiting_by_team: HashMap::new(),
            busy_lanes: IndexMap::new(),
            largest_worker: HashMap::new(),
            urgent_part: HashMap::new(),
            run_times: RunTimes::default(),
            refused: IndexMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Sets the component-wise largest offer of a single worker of `pool`.
    pub fn set_pool_largest(&mut self, pool: PoolKey, largest: Resources) {
        self.largest_worker.insert(pool, largest);
    }

    /// Takes in how long a request ran.
    pub fn observe_run(&mut self, team: TeamSlot, queue: QueueKey, run_ms: u64) {
        self.run_times.observe(team, queue, run_ms);
    }

    /// Returns the observed run times.
    pub fn run_times(&self) -> &RunTimes {
        &self.run_times
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns whether any request may start in `pool`.
    pub fn has_work_for(&self, pool: PoolKey) -> bool {
        self.busy_lanes
            .get(&pool)
            .is_some_and(|lanes| !lanes.is_empty())
    }

    /// Returns how many requests were refused or given up, by reason.
    pub fn refused_count(&self) -> &IndexMap<RefusalReason, u64> {
        &self.refused
    }

    /// Takes a request to wait, or refuses it at once. `size_max` is the largest size that the
    /// plan allows.
    pub fn push(
        &mut self,
        now_ms: MonoMs,
        waiting: Waiting,
        size_max: &Resources,
    ) -> Result<(), Refusal> {
        if let Some(reason) = self.never_runs(&waiting, size_max) {
            return Err(self.refuse(reason, None));
        }
        let lane_key = self.lane_for(now_ms, &waiting);
        let latest_start_ms = self.latest_start_ms(&waiting);
        match self.cannot_take(now_ms, lane_key, latest_start_ms) {
            Some(reason) => {
                let retry_after_ms = self.book_return_ms(now_ms, lane_key);
                Err(self.refuse(reason, Some(retry_after_ms)))
            }
            None => {
                self.insert(now_ms, lane_key, waiting, latest_start_ms);
                Ok(())
            }
        }
    }

    /// Takes in that a worker turned a request away, so that its lane drains slower than it seemed.
    pub fn turned_away(&mut self, waiting: &Waiting) {
        if let Some(lane_key) = self.lane_of.get(&(waiting.team, waiting.queue)) {
            self.lanes[*lane_key].take_back_start();
        }
    }

    /// Returns a request that was handed out and is proved not started. It keeps its deadline and
    /// is not refused for lack of room, as its place was given to it before.
    pub fn put_back(&mut self, now_ms: MonoMs, waiting: Waiting) {
        if self.places.contains_key(&waiting.key) {
            return;
        }
        let lane_key = self.lane_for(now_ms, &waiting);
        let latest_start_ms = self.latest_start_ms(&waiting);
        self.insert(now_ms, lane_key, waiting, latest_start_ms);
    }

    /// Hands out the request that `pool` is to start next, if any waits that may.
    ///
    /// `can_start` is asked in order of preference and takes what the start needs (the permit of
    /// the team, a place on a worker); the first request for which it says yes is returned.
    pub fn next(
        &mut self,
        now_ms: MonoMs,
        pool: PoolKey,
        view: &UsageView,
        can_start: &mut dyn FnMut(&Waiting) -> bool,
    ) -> Option<Waiting> {
        let mut candidates = self.candidates(now_ms, pool, view);
        while !candidates.is_empty() {
            let best = index_of_lowest(&candidates);
            let (_, lane_key, order) = candidates.swap_remove(best);
            let head = self.lanes[lane_key].head(now_ms)?;
            if can_start(head) {
                return self.start(now_ms, pool, lane_key, order);
            }
        }
        None
    }

    /// Takes out a request; returns it unless it was started, given up or cancelled before.
    pub fn cancel(&mut self, now_ms: MonoMs, key: RequestKey) -> Option<Waiting> {
        let (lane_key, order) = self.places.get(&key).copied()?;
        let place = self.lanes[lane_key].remove(now_ms, order)?;
        self.forget(lane_key, key);
        Some(place.waiting)
    }

    /// Gives up what can no longer be served in time, so that each can be answered at once.
    pub fn expire(&mut self, now_ms: MonoMs) -> Vec<GivenUp> {
        let slack = self.settings.give_up_slack;
        let busy: IndexSet<LaneKey> = self.busy_lanes.values().flatten().copied().collect();
        let mut given_up = Vec::new();
        for lane_key in busy {
            for key in self.lanes[lane_key].unreachable(now_ms, slack) {
                self.cancel(now_ms, key);
                self.refuse(RefusalReason::GivenUp, None);
                let retry_after_ms = self.book_return_ms(now_ms, lane_key);
                given_up.push(GivenUp {
                    key,
                    retry_after_ms,
                });
            }
        }
        given_up
    }

    /// Returns what to tell peers: the usage rows of `view` and the counts of what waits here.
    pub fn report_rows(&self, view: &UsageView) -> Vec<UsageRow> {
        let mut rows: IndexMap<(TeamSlot, PoolKey), UsageRow> = view
            .own_rows()
            .into_iter()
            .map(|row| ((row.team, row.pool), row))
            .collect();
        for lane in self.lanes.iter().filter(|lane| !lane.is_empty()) {
            let pool = lane.pools[0];
            rows.entry((lane.team, pool))
                .or_insert_with(|| UsageRow::idle(lane.team, pool))
                .waiting_count += lane.len() as u32;
        }
        rows.into_values().collect()
    }

    fn never_runs(&self, waiting: &Waiting, size_max: &Resources) -> Option<RefusalReason> {
        let is_known = |pool: &PoolKey| self.largest_worker.contains_key(pool);
        let fits = |pool: &PoolKey| waiting.size.fits_in(&self.largest_worker[pool]);
        match &waiting.pools {
            _ if self.places.contains_key(&waiting.key) => Some(RefusalReason::DuplicateKey),
            pools if pools.is_empty() => Some(RefusalReason::NoPool),
            _ if !waiting.size.fits_in(size_max) => Some(RefusalReason::TooLarge),
            pools if pools.iter().all(|pool| is_known(pool) && !fits(pool)) => {
                Some(RefusalReason::TooLarge)
            }
            _ => None,
        }
    }

    fn cannot_take(
        &mut self,
        now_ms: MonoMs,
        lane_key: LaneKey,
        latest_start_ms: MonoMs,
    ) -> Option<RefusalReason> {
        let lane = &self.lanes[lane_key];
        let left_ms = latest_start_ms.saturating_sub(now_ms) as f64;
        let of_team = self.waiting_by_team.get(&lane.team).copied().unwrap_or(0);
        let free = self
            .settings
            .waiting_max_count
            .saturating_sub(self.places.len());
        // Dynamic thresholds (Choudhury and Hahne, 1998): the fewer places are free, the fewer
        // one team may hold, so some are always left for the others.
        let team_max = free * self.settings.team_part_permille as usize / 1_000;
        match () {
            () if latest_start_ms < now_ms => Some(RefusalReason::DeadlinePassed),
            () if free == 0 => Some(RefusalReason::QueueFull),
            () if of_team >= team_max.max(1) => Some(RefusalReason::TeamQueueFull),
            () if lane.wait_ms(lane.len()).is_some_and(|ms| ms > left_ms) => {
                Some(RefusalReason::DeadlineUnreachable)
            }
            () => None,
        }
    }

    fn refuse(&mut self, reason: RefusalReason, retry_after_ms: Option<u64>) -> Refusal {
        *self.refused.entry(reason).or_insert(0) += 1;
        Refusal {
            reason,
            retry_after_ms,
        }
    }

    fn book_return_ms(&mut self, now_ms: MonoMs, lane_key: LaneKey) -> u64 {
        let limits = self.settings.retry_after;
        self.lanes[lane_key].book_return_ms(now_ms, limits, &mut self.rng)
    }

    /// Returns the last moment at which a start still leaves the observed run time.
    fn latest_start_ms(&self, waiting: &Waiting) -> MonoMs {
        let deviations = self.settings.run_deviations;
        let run_ms = self
            .run_times
            .reserve_ms(waiting.team, waiting.queue, deviations);
        waiting.deadline_ms.saturating_sub(run_ms)
    }

    /// Returns the lane of a request, a fresh one if the lists changed what the lane stands for.
    fn lane_for(&mut self, now_ms: MonoMs, waiting: &Waiting) -> LaneKey {
        let id = (waiting.team, waiting.queue);
        match self.lane_of.get(&id) {
            Some(lane_key) if self.lanes[*lane_key].is_for(waiting) => *lane_key,
            Some(lane_key) if self.lanes[*lane_key].is_empty() => {
                self.lanes[*lane_key] = Lane::new(now_ms, waiting);
                *lane_key
            }
            _ => {
                let lane_key = self.add_lane(Lane::new(now_ms, waiting));
                self.lane_of.insert(id, lane_key);
                lane_key
            }
        }
    }

    fn add_lane(&mut self, lane: Lane) -> LaneKey {
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

    fn insert(
        &mut self,
        now_ms: MonoMs,
        lane_key: LaneKey,
        waiting: Waiting,
        latest_start_ms: MonoMs,
    ) {
        let order = (waiting.deadline_ms, waiting.key);
        self.places.insert(waiting.key, (lane_key, order));
        *self.waiting_by_team.entry(waiting.team).or_insert(0) += 1;
        for pool in waiting.pools.iter() {
            self.busy_lanes.entry(*pool).or_default().insert(lane_key);
        }
        let place = Place {
            waiting,
            latest_start_ms,
        };
        self.lanes[lane_key].insert(now_ms, place);
    }

    fn candidates(
        &self,
        now_ms: MonoMs,
        pool: PoolKey,
        view: &UsageView,
    ) -> Vec<(Rank, LaneKey, PlaceOrder)> {
        let Some(lanes) = self.busy_lanes.get(&pool) else {
            return Vec::new();
        };
        let urgent_part = self.urgent_part.get(&pool).copied().unwrap_or(0.0);
        let is_urgent_bounded =
            urgent_part * 1_000.0 > f64::from(self.settings.urgent_max_permille);
        lanes
            .iter()
            .filter_map(|lane_key| {
                let lane = &self.lanes[*lane_key];
                let head = lane.head(now_ms)?;
                let rank = lane.pools.iter().position(|known| *known == pool)? as u64;
                let waited_ms = now_ms.saturating_sub(head.enqueued_ms);
                let may_spill = waited_ms >= rank * self.settings.spill_after_ms;
                let class = u8::from(!lane.is_urgent || is_urgent_bounded);
                let level = view.level(now_ms, lane.team, pool);
                let order = (head.deadline_ms, head.key);
                may_spill.then_some(((class, level, head.deadline_ms), *lane_key, order))
            })
            .collect()
    }

    fn start(
        &mut self,
        now_ms: MonoMs,
        pool: PoolKey,
        lane_key: LaneKey,
        order: PlaceOrder,
    ) -> Option<Waiting> {
        let place = self.lanes[lane_key].start(now_ms, order)?;
        self.forget(lane_key, place.waiting.key);
        let sample = f64::from(u8::from(place.waiting.is_urgent));
        let part = self.urgent_part.entry(pool).or_insert(0.0);
        *part += (sample - *part) / URGENT_WINDOW_STARTS;
        Some(place.waiting)
    }

    /// Removes what the queue holds of a request that has left its lane.
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
            if let Some(lanes) = self.busy_lanes.get_mut(pool) {
                lanes.swap_remove(&lane_key);
            }
        }
        if self.lane_of.get(&(lane.team, lane.queue)) != Some(&lane_key) {
            self.free_lanes.push(lane_key);
        }
    }
}

fn index_of_lowest(candidates: &[(Rank, LaneKey, PlaceOrder)]) -> usize {
    let compare = |left: &Rank, right: &Rank| {
        left.0
            .cmp(&right.0)
            .then(left.1.total_cmp(&right.1))
            .then(left.2.cmp(&right.2))
    };
    (1..candidates.len()).fold(0, |best, index| {
        match compare(&candidates[index].0, &candidates[best].0) {
            std::cmp::Ordering::Less => index,
            _ => best,
        }
    })
}
