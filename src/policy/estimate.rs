//! Estimates from observations: the run time and the size of requests by team and queue, and the
//! rate at which waiting requests start. Declared run times are never used, and declared sizes only
//! until the first observation, because both can be far off.

use crate::fleet::{MonoMs, Resources};
use crate::policy::hash::KeyMap;
use crate::policy::keys::{PoolKey, QueueKey};
use crate::policy::usage::TeamOrOpen;

/// Gains of the smoothed mean and mean deviation, as for round-trip times in RFC 6298.
const MEAN_GAIN: f64 = 1.0 / 8.0;
const DEVIATION_GAIN: f64 = 1.0 / 4.0;

/// Gain of the mean over all work of a pool. Smaller, because the pool mixes queues.
const POOL_MEAN_GAIN: f64 = 1.0 / 64.0;

/// Smoothed mean and mean deviation of one series of run times.
#[derive(Clone, Copy, Debug)]
struct Smoothed {
    mean_ms: f64,
    deviation_ms: f64,
}

impl Smoothed {
    fn first(sample_ms: f64) -> Self {
        Self {
            mean_ms: sample_ms,
            deviation_ms: sample_ms / 2.0,
        }
    }

    fn observe(&mut self, sample_ms: f64) {
        let error_ms = (sample_ms - self.mean_ms).abs();
        self.deviation_ms += (error_ms - self.deviation_ms) * DEVIATION_GAIN;
        self.mean_ms += (sample_ms - self.mean_ms) * MEAN_GAIN;
    }

    fn observe_slowly(&mut self, sample_ms: f64) {
        self.mean_ms += (sample_ms - self.mean_ms) * POOL_MEAN_GAIN;
    }
}

/// Observed run times by team and queue. The mean of the queue is the fallback for a new team.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    by_team: KeyMap<(TeamOrOpen, QueueKey), Smoothed>,
    by_queue: KeyMap<QueueKey, Smoothed>,
    by_pool: KeyMap<PoolKey, Smoothed>,
}

impl RunTimes {
    /// Records the run time of a request that ran to its end.
    pub fn observe(&mut self, team: TeamOrOpen, queue: QueueKey, run_ms: u64) {
        let sample_ms = run_ms as f64;
        self.by_team
            .entry((team, queue))
            .and_modify(|smoothed| smoothed.observe(sample_ms))
            .or_insert_with(|| Smoothed::first(sample_ms));
        self.by_queue
            .entry(queue)
            .and_modify(|smoothed| smoothed.observe(sample_ms))
            .or_insert_with(|| Smoothed::first(sample_ms));
    }

    /// Records the run time of a request that ran in `pool`, for any queue.
    pub fn observe_in_pool(&mut self, pool: PoolKey, run_ms: u64) {
        let sample_ms = run_ms as f64;
        self.by_pool
            .entry(pool)
            .and_modify(|smoothed| smoothed.observe_slowly(sample_ms))
            .or_insert_with(|| Smoothed::first(sample_ms));
    }

    /// Returns the mean run time of the requests that ran in `pool`, or `None` before the first.
    pub fn mean_in_pool_ms(&self, pool: PoolKey) -> Option<f64> {
        self.by_pool
            .get(&pool)
            .map(|smoothed| smoothed.mean_ms.max(1.0))
    }

    /// Returns the time to reserve for a run: the mean plus `deviations` times the mean deviation.
    /// It is zero before the first observation, so that no request is refused on a guess.
    pub fn reserve_ms(&self, team: TeamOrOpen, queue: QueueKey, deviations: f64) -> u64 {
        self.by_team
            .get(&(team, queue))
            .or_else(|| self.by_queue.get(&queue))
            .map_or(0, |smoothed| {
                (smoothed.mean_ms + smoothed.deviation_ms * deviations) as u64
            })
    }
}

/// Observed request sizes by team and queue.
#[derive(Clone, Debug, Default)]
pub struct ObservedSizes {
    by_team: KeyMap<(TeamOrOpen, QueueKey), Resources>,
}

impl ObservedSizes {
    /// Records the size of a request that its worker reported.
    pub fn observe(&mut self, team: TeamOrOpen, queue: QueueKey, used: &Resources) {
        let known = self.by_team.entry((team, queue)).or_insert(*used);
        let smooth = |known: u64, used: u64| (known * 7 + used).div_ceil(8);
        known.cores_milli = smooth(known.cores_milli, used.cores_milli);
        known.memory_mb = smooth(known.memory_mb, used.memory_mb);
    }

    /// Returns the size with which a request is counted: the observed one if there is one, else the
    /// declared one. Accelerators are always counted as declared, because they are whole units.
    pub fn size_of(&self, team: TeamOrOpen, queue: QueueKey, declared: &Resources) -> Resources {
        match self.by_team.get(&(team, queue)) {
            Some(observed) => Resources {
                accelerators_count: declared.accelerators_count,
                ..*observed
            },
            None => *declared,
        }
    }
}

/// Time constant with which a drain rate forgets old starts.
const DRAIN_WINDOW_MS: f64 = 3_000.0;

/// Time with waiting requests that must be observed before the rate counts as known.
const DRAIN_KNOWN_AFTER_MS: f64 = 100.0;

/// Rate at which waiting requests start while any wait.
#[derive(Clone, Copy, Debug, Default)]
pub struct DrainRate {
    starts: f64,
    busy_ms: f64,
    at_ms: MonoMs,
}

impl DrainRate {
    /// Advances the rate to `now_ms`. `is_busy` says whether requests waited since the last call.
    pub fn advance(&mut self, now_ms: MonoMs, is_busy: bool) {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.at_ms = self.at_ms.max(now_ms);
        let decay = (-elapsed_ms / DRAIN_WINDOW_MS).exp();
        self.starts *= decay;
        self.busy_ms *= decay;
        if is_busy {
            self.busy_ms += DRAIN_WINDOW_MS * (1.0 - decay);
        }
    }

    /// Counts one start; call [`DrainRate::advance`] first.
    pub fn count_start(&mut self) {
        self.starts += 1.0;
    }

    /// Removes one start whose attempt is proved not to have started.
    pub fn uncount_start(&mut self) {
        self.starts = (self.starts - 1.0).max(0.0);
    }

    /// Returns the starts per millisecond of waiting, or `None` before enough was observed.
    ///
    /// One start is always added: requests that waited a moment without any start, because of a
    /// limit or a slow log, do not mean a rate of zero.
    pub fn starts_per_ms(&self) -> Option<f64> {
        match self.busy_ms {
            busy_ms if busy_ms < DRAIN_KNOWN_AFTER_MS => None,
            busy_ms => Some((self.starts + 1.0) / busy_ms),
        }
    }
}
