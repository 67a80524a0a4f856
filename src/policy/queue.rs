//! The bounded queue of waiting requests of one entry.
//!
//! It refuses at once requests that it cannot serve in time, gives up waiting requests early when
//! they can no longer be served in time, and returns the next request of a pool by weighted
//! max-min.
//!
//! The engine calls it on one thread, as follows:
//!
//! 1. When a request arrives, call [`WaitQueue::push`]. On a refusal, answer "not run" with its
//!    reason and retry-after time.
//! 2. Every few milliseconds, and before starting requests, call [`WaitQueue::expire`] and answer
//!    each request given up.
//! 3. Whenever a worker of a pool may be free, call [`WaitQueue::next`] with a closure that
//!    acquires the team's permit (upper limit) and a slot of a worker, and returns whether it got
//!    both. Start the returned request at once and call [`UsageView::started`] for it.
//! 4. When an attempt ends, call [`UsageView::ended`], and [`WaitQueue::observe_run`] if the task
//!    ran.
//! 5. After that, if [`Placement::is_free`] says that the worker has a free slot left and
//!    [`WaitQueue::next_peer_to_notify`] returns a peer, send that peer the worker and how many
//!    requests it runs. The peer passes this to [`Placement::report`] and tries step 3 at once.
//! 6. When an attempt is proved not started, its request may return with [`WaitQueue::put_back`].
//! 7. When a caller cancels or disconnects, call [`WaitQueue::cancel`].
//! 8. When the instance list or the lists change, call [`WaitQueue::set_pool_largest`].
//!
//! [`Placement::is_free`]: crate::policy::placement::Placement::is_free
//! [`Placement::report`]: crate::policy::placement::Placement::report

use indexmap::IndexMap;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::fleet::{MonoMs, Resources};
use crate::policy::allot::Divider;
use crate::policy::estimate::RunTimes;
use crate::policy::forecast::Forecast;
use crate::policy::hash::KeyMap;
use crate::policy::keys::{PeerKey, PoolKey, QueueKey, RequestKey};
use crate::policy::lane::WaitingRequest;
use crate::policy::lanes::{LaneKey, Lanes};
use crate::policy::pacing::{Pacing, PoolPace};
use crate::policy::ranking::{index_of_lowest, Candidate, Rank};
use crate::policy::refusal::{GivenUp, Refusal, RefusalReason};
use crate::policy::share::UsageView;
use crate::policy::usage::{TeamOrOpen, UsageRow};

pub use crate::policy::settings::{QueueSettings, Sharing};

/// Time between two probes of a team and a queue: requests that are accepted although the observed
/// run times exceed the time left.
const PROBE_INTERVAL_MS: u64 = 250;

/// Minimum time between two searches for requests to give up.
pub const EXPIRE_PERIOD_MS: u64 = 20;

/// Starts over which the part of urgent work is smoothed.
const URGENT_WINDOW_STARTS: f64 = 64.0;

/// The waiting requests of one entry.
#[derive(Clone, Debug)]
pub struct WaitQueue {
    settings: QueueSettings,
    lanes: Lanes,
    largest_worker: KeyMap<PoolKey, Resources>,
    urgent_part: KeyMap<PoolKey, f64>,
    forecast: Forecast,
    divider: Divider,
    pacing: Pacing,
    next_expire_ms: MonoMs,
    /// Time of the last probe of each team and queue, or of the first request that needed one.
    probed_ms: KeyMap<(TeamOrOpen, QueueKey), MonoMs>,
    refused: IndexMap<RefusalReason, u64>,
    rng: ChaCha8Rng,
}

impl WaitQueue {
    /// Creates an empty queue. `seed` makes the jitter of the retry-after times reproducible.
    pub fn new(settings: QueueSettings, seed: u64) -> Self {
        Self {
            settings,
            lanes: Lanes::default(),
            largest_worker: KeyMap::default(),
            urgent_part: KeyMap::default(),
            forecast: Forecast::default(),
            divider: Divider::default(),
            pacing: Pacing::default(),
            next_expire_ms: 0,
            probed_ms: KeyMap::default(),
            refused: IndexMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Sets the largest amount of each resource that a single worker of `pool` has.
    pub fn set_pool_largest(&mut self, pool: PoolKey, largest: Resources) {
        self.largest_worker.insert(pool, largest);
    }

    /// Records how long a request ran.
    pub fn observe_run(&mut self, team: TeamOrOpen, queue: QueueKey, run_ms: u64) {
        let pool = self.lanes.pool_of(team, queue);
        self.forecast.observe_run(team, queue, pool, run_ms);
    }

    /// Returns the observed run times.
    pub fn run_times(&self) -> &RunTimes {
        self.forecast.run_times()
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.lanes.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.lanes.len() == 0
    }

    /// Returns whether any request may start in `pool`.
    pub fn has_work_for(&self, pool: PoolKey) -> bool {
        self.lanes.of_pool(pool).next().is_some()
    }

    /// Returns how many requests were refused or given up, by reason.
    pub fn refused_count(&self) -> &IndexMap<RefusalReason, u64> {
        &self.refused
    }

    /// Accepts a request to wait, or refuses it at once. `size_max` is the largest size that the
    /// plan allows.
    pub fn push(
        &mut self,
        now_ms: MonoMs,
        waiting: WaitingRequest,
        size_max: &Resources,
        view: &UsageView,
    ) -> Result<(), Refusal> {
        if let Some(reason) = self.permanent_refusal(&waiting, size_max) {
            return Err(self.refuse(reason, None));
        }
        let lane_key = self.lanes.lane_for(&waiting);
        let deviations = self.settings.run_deviations;
        let latest_start_ms = self.forecast.latest_start_ms(&waiting, deviations);
        self.forecast
            .count_backlog(now_ms, &self.lanes, waiting.pools[0], view);
        match self.temporary_refusal(now_ms, lane_key, latest_start_ms, view) {
            // Only a request that runs can show that run times are short again.
            Some(RefusalReason::DeadlinePassed) if self.is_probe_due(now_ms, &waiting) => {
                let deadline_ms = waiting.deadline_ms;
                self.lanes.insert(now_ms, lane_key, waiting, deadline_ms);
                Ok(())
            }
            Some(reason) => {
                let retry_after_ms = self.reserve_retry_after_ms(now_ms, lane_key, view);
                Err(self.refuse(reason, Some(retry_after_ms)))
            }
            None => {
                self.lanes
                    .insert(now_ms, lane_key, waiting, latest_start_ms);
                Ok(())
            }
        }
    }

    /// Returns whether a request with less time left than the observed run times is accepted as a
    /// probe. The first such requests are refused for [`PROBE_INTERVAL_MS`]; after that one per
    /// interval is accepted.
    fn is_probe_due(&mut self, now_ms: MonoMs, waiting: &WaitingRequest) -> bool {
        let key = (waiting.team, waiting.queue);
        let probed_ms = *self.probed_ms.entry(key).or_insert(now_ms);
        let is_due = waiting.deadline_ms > now_ms && now_ms >= probed_ms + PROBE_INTERVAL_MS;
        if is_due {
            self.probed_ms.insert(key, now_ms);
        }
        is_due
    }

    /// Puts a request from [`WaitQueue::next`] that is proved not started back into the queue. It
    /// keeps its deadline and is not refused when the queue is full, because it was accepted
    /// before.
    pub fn put_back(&mut self, now_ms: MonoMs, waiting: WaitingRequest) {
        if self.lanes.holds(waiting.key) {
            return;
        }
        self.lanes.uncount_start(waiting.pools[0]);
        let lane_key = self.lanes.lane_for(&waiting);
        let deviations = self.settings.run_deviations;
        let latest_start_ms = self.forecast.latest_start_ms(&waiting, deviations);
        self.lanes
            .insert(now_ms, lane_key, waiting, latest_start_ms);
    }

    /// Removes and returns the request that `pool` is to start next, if any may start.
    ///
    /// `can_start` is called in order of rank. It acquires what the start needs (the permit of the
    /// team, a slot of a worker). The first request for which it returns true is returned.
    pub fn next(
        &mut self,
        now_ms: MonoMs,
        pool: PoolKey,
        view: &UsageView,
        can_start: &mut dyn FnMut(&WaitingRequest) -> bool,
    ) -> Option<WaitingRequest> {
        let mut candidates = self.candidates(now_ms, pool, view);
        self.yield_to_peers(now_ms, pool, view, &mut candidates);
        while !candidates.is_empty() {
            let best = index_of_lowest(&candidates);
            let Candidate { lane_key, key, .. } = candidates.swap_remove(best);
            let head = self.lanes.get(lane_key).head(now_ms)?;
            if can_start(head) {
                self.divider.started(head.team, pool, view);
                return self.start(now_ms, pool, key);
            }
        }
        None
    }

    /// Returns the peer to notify of a slot in `pool` that an attempt of this entry has freed and
    /// that this entry leaves free. According to gossip, it is the peer with the largest unused
    /// part.
    pub fn next_peer_to_notify(
        &mut self,
        now_ms: MonoMs,
        pool: PoolKey,
        view: &UsageView,
    ) -> Option<PeerKey> {
        if self.settings.sharing == Sharing::Levels || view.waiting_at_peers_count(pool) == 0 {
            return None;
        }
        self.divide_if_due(now_ms, pool, view);
        self.divider.next_peer_to_notify(pool)
    }

    /// Removes a request and returns it, unless it was already started, given up or cancelled.
    pub fn cancel(&mut self, now_ms: MonoMs, key: RequestKey) -> Option<WaitingRequest> {
        self.lanes.remove(now_ms, key)
    }

    /// Gives up the requests that can no longer be served in time, so that they can be answered at
    /// once. A call within [`EXPIRE_PERIOD_MS`] of the last search does nothing.
    pub fn expire(&mut self, now_ms: MonoMs, view: &UsageView) -> Vec<GivenUp> {
        if now_ms < self.next_expire_ms {
            return Vec::new();
        }
        self.next_expire_ms = now_ms + EXPIRE_PERIOD_MS;
        let mut given_up = Vec::new();
        for lane_key in self.lanes.non_empty() {
            let pool = self.lanes.get(lane_key).pools[0];
            self.forecast.count_backlog(now_ms, &self.lanes, pool, view);
            for key in self.unservable(now_ms, lane_key, view) {
                self.lanes.remove(now_ms, key);
                self.refuse(RefusalReason::GivenUp, None);
                let retry_after_ms = self.reserve_retry_after_ms(now_ms, lane_key, view);
                given_up.push(GivenUp {
                    key,
                    retry_after_ms,
                });
            }
        }
        given_up
    }

    /// Returns the report for peers: the usage rows of `view` with the counts of requests that wait
    /// here.
    pub fn report_rows(&self, view: &UsageView) -> Vec<UsageRow> {
        let mut rows: IndexMap<(TeamOrOpen, PoolKey), UsageRow> = view
            .own_rows()
            .into_iter()
            .map(|row| ((row.team, row.pool), row))
            .collect();
        for lane_key in self.lanes.non_empty() {
            let lane = self.lanes.get(lane_key);
            let pool = lane.pools[0];
            rows.entry((lane.team, pool))
                .or_insert_with(|| UsageRow::idle(lane.team, pool))
                .waiting_count += lane.len() as u32;
        }
        rows.into_values().collect()
    }

    fn permanent_refusal(
        &self,
        waiting: &WaitingRequest,
        size_max: &Resources,
    ) -> Option<RefusalReason> {
        let is_known = |pool: &PoolKey| self.largest_worker.contains_key(pool);
        let fits = |pool: &PoolKey| waiting.size.fits_in(&self.largest_worker[pool]);
        match &waiting.pools {
            _ if self.lanes.holds(waiting.key) => Some(RefusalReason::DuplicateKey),
            pools if pools.is_empty() => Some(RefusalReason::NoPool),
            _ if !waiting.size.fits_in(size_max) => Some(RefusalReason::TooLarge),
            pools if pools.iter().all(|pool| is_known(pool) && !fits(pool)) => {
                Some(RefusalReason::TooLarge)
            }
            _ => None,
        }
    }

    fn temporary_refusal(
        &self,
        now_ms: MonoMs,
        lane_key: LaneKey,
        latest_start_ms: MonoMs,
        view: &UsageView,
    ) -> Option<RefusalReason> {
        let lane = self.lanes.get(lane_key);
        let drain_ms = self.forecast.drain_ms(&self.lanes, lane, view);
        let left_ms = latest_start_ms.saturating_sub(now_ms) as f64;
        let team_count = self.lanes.waiting_of(lane.team);
        let free_count = self
            .settings
            .waiting_max_count
            .saturating_sub(self.lanes.len());
        // Dynamic thresholds (Choudhury and Hahne, 1998): the less capacity is free, the fewer
        // requests one team may have waiting, so that some capacity is always left for other teams.
        let team_max_count = free_count * self.settings.team_part_permille as usize / 1_000;
        match () {
            () if latest_start_ms < now_ms => Some(RefusalReason::DeadlinePassed),
            () if free_count == 0 => Some(RefusalReason::QueueFull),
            () if team_count >= team_max_count.max(1) => Some(RefusalReason::TeamQueueFull),
            () if drain_ms.is_some_and(|drain_ms| drain_ms > left_ms) => {
                Some(RefusalReason::DeadlineUnreachable)
            }
            () => None,
        }
    }

    fn unservable(&self, now_ms: MonoMs, lane_key: LaneKey, view: &UsageView) -> Vec<RequestKey> {
        let lane = self.lanes.get(lane_key);
        let starts_per_ms = self
            .forecast
            .drain_ms(&self.lanes, lane, view)
            .map(|drain_ms| lane.len() as f64 / drain_ms.max(1.0));
        lane.unservable(now_ms, starts_per_ms, self.settings.give_up_slack)
    }

    fn refuse(&mut self, reason: RefusalReason, retry_after_ms: Option<u64>) -> Refusal {
        *self.refused.entry(reason).or_insert(0) += 1;
        Refusal {
            reason,
            retry_after_ms,
        }
    }

    fn reserve_retry_after_ms(
        &mut self,
        now_ms: MonoMs,
        lane_key: LaneKey,
        view: &UsageView,
    ) -> u64 {
        let lane = self.lanes.get(lane_key);
        let pool = lane.pools[0];
        let pace = PoolPace {
            pool,
            starts_per_ms: self.forecast.own_starts_per_ms(&self.lanes, lane, view),
            waiting_count: self.lanes.waiting_for(pool).values().sum(),
        };
        let limits = self.settings.retry_after;
        self.pacing
            .reserve_retry_after_ms(now_ms, pace, limits, &mut self.rng)
    }

    fn candidates(&self, now_ms: MonoMs, pool: PoolKey, view: &UsageView) -> Vec<Candidate> {
        let urgent_part = self.urgent_part.get(&pool).copied().unwrap_or(0.0);
        let is_urgent_limit_reached =
            urgent_part * 1_000.0 > f64::from(self.settings.urgent_max_permille);
        self.lanes
            .of_pool(pool)
            .filter_map(|lane_key| {
                let lane = self.lanes.get(lane_key);
                let head = lane.head(now_ms)?;
                let preference = lane.pools.iter().position(|known| *known == pool)? as u64;
                let waited_ms = now_ms.saturating_sub(head.enqueued_ms);
                let has_waited_enough = waited_ms >= preference * self.settings.spill_after_ms;
                let class = u8::from(!lane.is_urgent || is_urgent_limit_reached);
                let level = view.level(now_ms, lane.team, pool);
                let rank = Rank {
                    class,
                    level,
                    deadline_ms: head.deadline_ms,
                };
                has_waited_enough.then_some(Candidate {
                    rank,
                    lane_key,
                    key: head.key,
                })
            })
            .collect()
    }

    /// Removes the candidates that must leave the pool's free slots to other entries.
    fn yield_to_peers(
        &mut self,
        now_ms: MonoMs,
        pool: PoolKey,
        view: &UsageView,
        candidates: &mut Vec<Candidate>,
    ) {
        if self.settings.sharing == Sharing::Levels || candidates.is_empty() {
            return;
        }
        self.divide_if_due(now_ms, pool, view);
        let (lanes, divider) = (&self.lanes, &self.divider);
        let may_start = |candidate: &Candidate| {
            let lane = lanes.get(candidate.lane_key);
            lane.is_urgent || divider.may_start(lane.team, pool, view)
        };
        let allowed: Vec<Candidate> = candidates.iter().copied().filter(may_start).collect();
        let max_ms = self.settings.yield_max_ms;
        if !allowed.is_empty() || !self.divider.has_yielded(now_ms, pool, max_ms) {
            *candidates = allowed;
        }
    }

    fn divide_if_due(&mut self, now_ms: MonoMs, pool: PoolKey, view: &UsageView) {
        if self.divider.is_due(now_ms, pool) {
            let own_waiting = self.lanes.waiting_for(pool);
            self.divider
                .divide(now_ms, pool, view, &own_waiting, &mut self.rng);
        }
    }

    fn start(&mut self, now_ms: MonoMs, pool: PoolKey, key: RequestKey) -> Option<WaitingRequest> {
        let waiting = self.lanes.start(now_ms, pool, key)?;
        let sample = f64::from(u8::from(waiting.is_urgent));
        let part = self.urgent_part.entry(pool).or_insert(0.0);
        *part += (sample - *part) / URGENT_WINDOW_STARTS;
        Some(waiting)
    }
}
