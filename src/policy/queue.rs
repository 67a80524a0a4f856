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
//! 5. After that, if [`Placement::is_free`] says that the worker has a free slot left and
//!    [`WaitQueue::next_peer_to_notify`] names a peer, tell that peer the worker and what it runs;
//!    the peer hands it to [`Placement::report`] and tries step 3 at once.
//! 6. An attempt that is proved not started may go back: [`WaitQueue::put_back`].
//! 7. A caller cancels or goes away: [`WaitQueue::cancel`].
//! 8. The instance list or the lists change: [`WaitQueue::set_pool_largest`].
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

/// Time between two requests of a team and a queue that are taken although the run times observed
/// last leave no room for them.
const PROBE_EVERY_MS: u64 = 250;

/// Least time between two searches for requests to give up.
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
    /// When the last probe of each team and queue was taken.
    probed_ms: KeyMap<(TeamOrOpen, QueueKey), MonoMs>,
    refused: IndexMap<RefusalReason, u64>,
    rng: ChaCha8Rng,
}

impl WaitQueue {
    /// Makes an empty queue; `seed` fixes the jitter of the times to come back.
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

    /// Sets the component-wise largest offer of a single worker of `pool`.
    pub fn set_pool_largest(&mut self, pool: PoolKey, largest: Resources) {
        self.largest_worker.insert(pool, largest);
    }

    /// Takes in how long a request ran.
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

    /// Takes a request to wait, or refuses it at once. `size_max` is the largest size that the
    /// plan allows.
    pub fn push(
        &mut self,
        now_ms: MonoMs,
        waiting: WaitingRequest,
        size_max: &Resources,
        view: &UsageView,
    ) -> Result<(), Refusal> {
        if let Some(reason) = self.never_runs(&waiting, size_max) {
            return Err(self.refuse(reason, None));
        }
        let lane_key = self.lanes.lane_for(&waiting);
        let deviations = self.settings.run_deviations;
        let latest_start_ms = self.forecast.latest_start_ms(&waiting, deviations);
        self.forecast
            .count_backlog(now_ms, &self.lanes, waiting.pools[0], view);
        match self.cannot_take(now_ms, lane_key, latest_start_ms, view) {
            // Only work that runs can show that run times are short again.
            Some(RefusalReason::DeadlinePassed) if self.is_probe_due(now_ms, &waiting) => {
                let deadline_ms = waiting.deadline_ms;
                self.lanes.insert(now_ms, lane_key, waiting, deadline_ms);
                Ok(())
            }
            Some(reason) => {
                let retry_after_ms = self.book_return_ms(now_ms, lane_key, view);
                Err(self.refuse(reason, Some(retry_after_ms)))
            }
            None => {
                self.lanes
                    .insert(now_ms, lane_key, waiting, latest_start_ms);
                Ok(())
            }
        }
    }

    /// Returns whether a request that observed run times leave no room for is taken all the same, as
    /// a probe: the first one once such requests were refused for a while, and then one in each
    /// period.
    fn is_probe_due(&mut self, now_ms: MonoMs, waiting: &WaitingRequest) -> bool {
        let key = (waiting.team, waiting.queue);
        let probed_ms = *self.probed_ms.entry(key).or_insert(now_ms);
        let is_due = waiting.deadline_ms > now_ms && now_ms >= probed_ms + PROBE_EVERY_MS;
        if is_due {
            self.probed_ms.insert(key, now_ms);
        }
        is_due
    }

    /// Returns a request that was handed out and is proved not started. It keeps its deadline and
    /// is not refused for lack of room, as its place was given to it before.
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

    /// Hands out the request that `pool` is to start next, if any waits that may.
    ///
    /// `can_start` is asked in order of preference and takes what the start needs (the permit of
    /// the team, a place on a worker); the first request for which it says yes is returned.
    pub fn next(
        &mut self,
        now_ms: MonoMs,
        pool: PoolKey,
        view: &UsageView,
        can_start: &mut dyn FnMut(&WaitingRequest) -> bool,
    ) -> Option<WaitingRequest> {
        let mut candidates = self.candidates(now_ms, pool, view);
        self.yield_to_others(now_ms, pool, view, &mut candidates);
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

    /// Returns the peer to tell of a slot in `pool` that an attempt of this entry has freed and that
    /// this entry leaves free: the one that by gossip has most to take up of its part.
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

    /// Takes out a request; returns it unless it was started, given up or cancelled before.
    pub fn cancel(&mut self, now_ms: MonoMs, key: RequestKey) -> Option<WaitingRequest> {
        self.lanes.remove(now_ms, key)
    }

    /// Gives up what can no longer be served in time, so that each can be answered at once. Calls
    /// within [`EXPIRE_PERIOD_MS`] of the last one do nothing.
    pub fn expire(&mut self, now_ms: MonoMs, view: &UsageView) -> Vec<GivenUp> {
        if now_ms < self.next_expire_ms {
            return Vec::new();
        }
        self.next_expire_ms = now_ms + EXPIRE_PERIOD_MS;
        let mut given_up = Vec::new();
        for lane_key in self.lanes.busy() {
            let pool = self.lanes.get(lane_key).pools[0];
            self.forecast.count_backlog(now_ms, &self.lanes, pool, view);
            for key in self.unreachable(now_ms, lane_key, view) {
                self.lanes.remove(now_ms, key);
                self.refuse(RefusalReason::GivenUp, None);
                let retry_after_ms = self.book_return_ms(now_ms, lane_key, view);
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
        let mut rows: IndexMap<(TeamOrOpen, PoolKey), UsageRow> = view
            .own_rows()
            .into_iter()
            .map(|row| ((row.team, row.pool), row))
            .collect();
        for lane_key in self.lanes.busy() {
            let lane = self.lanes.get(lane_key);
            let pool = lane.pools[0];
            rows.entry((lane.team, pool))
                .or_insert_with(|| UsageRow::idle(lane.team, pool))
                .waiting_count += lane.len() as u32;
        }
        rows.into_values().collect()
    }

    fn never_runs(&self, waiting: &WaitingRequest, size_max: &Resources) -> Option<RefusalReason> {
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

    fn cannot_take(
        &self,
        now_ms: MonoMs,
        lane_key: LaneKey,
        latest_start_ms: MonoMs,
        view: &UsageView,
    ) -> Option<RefusalReason> {
        let lane = self.lanes.get(lane_key);
        let drain_ms = self.forecast.drain_ms(&self.lanes, lane, view);
        let left_ms = latest_start_ms.saturating_sub(now_ms) as f64;
        let of_team = self.lanes.waiting_of(lane.team);
        let free = self
            .settings
            .waiting_max_count
            .saturating_sub(self.lanes.len());
        // Dynamic thresholds (Choudhury and Hahne, 1998): the fewer places are free, the fewer
        // one team may hold, so some are always left for the others.
        let team_max = free * self.settings.team_part_permille as usize / 1_000;
        match () {
            () if latest_start_ms < now_ms => Some(RefusalReason::DeadlinePassed),
            () if free == 0 => Some(RefusalReason::QueueFull),
            () if of_team >= team_max.max(1) => Some(RefusalReason::TeamQueueFull),
            () if drain_ms.is_some_and(|drain_ms| drain_ms > left_ms) => {
                Some(RefusalReason::DeadlineUnreachable)
            }
            () => None,
        }
    }

    fn unreachable(&self, now_ms: MonoMs, lane_key: LaneKey, view: &UsageView) -> Vec<RequestKey> {
        let lane = self.lanes.get(lane_key);
        let per_ms = self
            .forecast
            .drain_ms(&self.lanes, lane, view)
            .map(|drain_ms| lane.len() as f64 / drain_ms.max(1.0));
        lane.unreachable(now_ms, per_ms, self.settings.give_up_slack)
    }

    fn refuse(&mut self, reason: RefusalReason, retry_after_ms: Option<u64>) -> Refusal {
        *self.refused.entry(reason).or_insert(0) += 1;
        Refusal {
            reason,
            retry_after_ms,
        }
    }

    fn book_return_ms(&mut self, now_ms: MonoMs, lane_key: LaneKey, view: &UsageView) -> u64 {
        let lane = self.lanes.get(lane_key);
        let pool = lane.pools[0];
        let pace = PoolPace {
            pool,
            per_ms: self.forecast.own_per_ms(&self.lanes, lane, view),
            waiting_count: self.lanes.waiting_for(pool).values().sum(),
        };
        let limits = self.settings.retry_after;
        self.pacing.book_ms(now_ms, pace, limits, &mut self.rng)
    }

    fn candidates(&self, now_ms: MonoMs, pool: PoolKey, view: &UsageView) -> Vec<Candidate> {
        let urgent_part = self.urgent_part.get(&pool).copied().unwrap_or(0.0);
        let is_urgent_bounded =
            urgent_part * 1_000.0 > f64::from(self.settings.urgent_max_permille);
        self.lanes
            .of_pool(pool)
            .filter_map(|lane_key| {
                let lane = self.lanes.get(lane_key);
                let head = lane.head(now_ms)?;
                let choice = lane.pools.iter().position(|known| *known == pool)? as u64;
                let waited_ms = now_ms.saturating_sub(head.enqueued_ms);
                let may_spill = waited_ms >= choice * self.settings.spill_after_ms;
                let class = u8::from(!lane.is_urgent || is_urgent_bounded);
                let level = view.level(now_ms, lane.team, pool);
                let rank = Rank {
                    class,
                    level,
                    deadline_ms: head.deadline_ms,
                };
                may_spill.then_some(Candidate {
                    rank,
                    lane_key,
                    key: head.key,
                })
            })
            .collect()
    }

    /// Removes the candidates that are to leave the pool's free slots to other entries.
    fn yield_to_others(
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
