//! Forecast of how long requests will wait and run, based on observed run times and on the requests
//! that wait and run in the whole fleet.

use crate::fleet::MonoMs;
use crate::policy::backlog::Backlog;
use crate::policy::estimate::RunTimes;
use crate::policy::hash::KeyMap;
use crate::policy::keys::{PoolKey, QueueKey};
use crate::policy::lane::{Lane, WaitingRequest};
use crate::policy::lanes::Lanes;
use crate::policy::share::UsageView;
use crate::policy::usage::TeamOrOpen;

/// Observed run times and backlogs from which the forecast is computed.
#[derive(Clone, Debug, Default)]
pub(crate) struct Forecast {
    run_times: RunTimes,
    backlogs: KeyMap<PoolKey, Backlog>,
}

impl Forecast {
    pub(crate) fn run_times(&self) -> &RunTimes {
        &self.run_times
    }

    /// Records how long a request ran. `pool` is the preferred pool of its queue.
    pub(crate) fn observe_run(
        &mut self,
        team: TeamOrOpen,
        queue: QueueKey,
        pool: Option<PoolKey>,
        run_ms: u64,
    ) {
        self.run_times.observe(team, queue, run_ms);
        if let Some(pool) = pool {
            self.run_times.observe_in_pool(pool, run_ms);
        }
    }

    /// Returns the latest start time that leaves the observed run time plus `deviations` times its
    /// mean deviation before the deadline.
    pub(crate) fn latest_start_ms(&self, waiting: &WaitingRequest, deviations: f64) -> MonoMs {
        let run_ms = self
            .run_times
            .reserve_ms(waiting.team, waiting.queue, deviations);
        waiting.deadline_ms.saturating_sub(run_ms)
    }

    /// Returns the starts per millisecond of this entry in the preferred pool of a lane. This is
    /// the observed rate while work waits, or the number of running requests divided by their run
    /// time if that is larger, since starts can be too rare to observe. `None` while the rate is
    /// unknown.
    pub(crate) fn own_starts_per_ms(
        &self,
        lanes: &Lanes,
        lane: &Lane,
        view: &UsageView,
    ) -> Option<f64> {
        let pool = lane.pools[0];
        let run_ms = self.run_times.reserve_ms(lane.team, lane.queue, 0.0).max(1);
        let by_running = view.own_running_in(pool) as f64 / run_ms as f64;
        Some(lanes.starts_per_ms(pool)?.max(by_running))
    }

    /// Returns how long a lane takes to drain, in milliseconds: the requests ahead of it in the
    /// whole fleet over the rate at which the pool finishes requests (Little's law). `None` while
    /// too little was observed.
    pub(crate) fn drain_ms(&self, lanes: &Lanes, lane: &Lane, view: &UsageView) -> Option<f64> {
        let pool = lane.pools[0];
        lanes.starts_per_ms(pool)?;
        let run_ms = self.run_times.mean_in_pool_ms(pool)?;
        let backlog = self.backlogs.get(&pool)?;
        let ahead_count = backlog.ahead_count(lane.team, lane.is_urgent);
        match (ahead_count, view.running_in(pool)) {
            (0.0, _) => Some(0.0),
            (_, 0) if view.slots_count(pool) > 0 => None,
            (_, running_count) => Some(ahead_count * run_ms / running_count as f64),
        }
    }

    /// Counts the backlog of a pool again if the last count is too old.
    pub(crate) fn count_backlog(
        &mut self,
        now_ms: MonoMs,
        lanes: &Lanes,
        pool: PoolKey,
        view: &UsageView,
    ) {
        let is_due = |backlog: &Backlog| backlog.is_due(now_ms);
        if self.backlogs.get(&pool).is_none_or(is_due) {
            let backlog = lanes.backlog(now_ms, pool, view);
            self.backlogs.insert(pool, backlog);
        }
    }
}
