//! Estimates from what was observed: how long requests of a team in a queue run, how large they
//! are, and how fast a lane of waiting requests drains. Declared run times are never used, and
//! declared sizes only until the first observation, as both can be far off.

use crate::fleet::{MonoMs, Resources};
use crate::policy::hash::KeyMap;
use crate::policy::keys::{PoolKey, QueueKey};
use crate::policy::usage::TeamOrOpen;

/// Gain of the mean and of the deviation, as for round-trip times in RFC 6298.
const MEAN_GAIN: f64 = 1.0 / 8.0;
const DEVIATION_GAIN: f64 = 1.0 / 4.0;

/// Gain of the mean over all work of a pool, which mixes queues.
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

/// Observed run times for each team and queue, with the queue's own as the fallback.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    by_team: KeyMap<(TeamOrOpen, QueueKey), Smoothed>,
    by_queue: KeyMap<QueueKey, Smoothed>,
    by_pool: KeyMap<PoolKey, Smoothed>,
}

impl RunTimes {
    /// Takes in the run time of a request that ran to its end.
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

    /// Takes in the run time of a request that ran in `pool`, whatever its queue.
    pub fn observe_in_pool(&mut self, pool: PoolKey, run_ms: u64) {
        let sample_ms = run_ms as f64;
        self.by_pool
            .entry(pool)
            .and_modify(|smoothed| smoothed.observe_slowly(sample_ms))
            .or_insert_with(|| Smoothed::first(sample_ms));
    }

    /// Returns the mean run time of what ran in `pool`, if any has.
    pub fn mean_in_pool_ms(&self, pool: PoolKey) -> Option<f64> {
        self.by_pool
            .get(&pool)
            .map(|smoothed| smoothed.mean_ms.max(1.0))
    }

    /// Returns the time to reserve for a run: the mean and `deviations` times the mean deviation.
    /// Nothing observed yet gives zero, so that no request is refused on a guess.
    pub fn reserve_ms(&self, team: TeamOrOpen, queue: QueueKey, deviations: f64) -> u64 {
        self.by_team
            .get(&(team, queue))
            .or_else(|| self.by_queue.get(&queue))
            .map_or(0, |smoothed| {
                (smoothed.mean_ms + smoothed.deviation_ms * deviations) as u64
            })
    }
}

/// Observed sizes for each team and queue.
#[derive(Clone, Debug, Default)]
pub struct ObservedSizes {
    by_team: KeyMap<(TeamOrOpen, QueueKey), Resources>,
}

impl ObservedSizes {
    /// Takes in the size that a request had by its worker's account.
    pub fn observe(&mut self, team: TeamOrOpen, queue: QueueKey, used: &Resources) {
        let known = self.by_team.entry((team, queue)).or_insert(*used);
        let smooth = |known: u64, used: u64| (known * 7 + used).div_ceil(8);
        known.cores_milli = smooth(known.cores_milli, used.cores_milli);
        known.memory_mb = smooth(known.memory_mb, used.memory_mb);
    }

    /// Returns the size to count a request with: the observed one if there is one, else the
    /// declared one. Accelerators are always counted as declared, since they are whole.
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

/// Time constant of the memory of a drain rate.
const DRAIN_WINDOW_MS: f64 = 3_000.0;

/// Time with requests waiting that has to be seen before the rate counts as known.
const DRAIN_KNOWN_AFTER_MS: f64 = 100.0;

/// Rate at which a lane drains while requests wait in it.
#[derive(Clone, Copy, Debug, Default)]
pub struct DrainRate {
    starts: f64,
    busy_ms: f64,
    at_ms: MonoMs,
}

impl DrainRate {
    /// Lets time pass up to `now_ms`, during which requests waited (`is_busy`) or not.
    pub fn advance(&mut self, now_ms: MonoMs, is_busy: bool) {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.at_ms = self.at_ms.max(now_ms);
        let keep = (-elapsed_ms / DRAIN_WINDOW_MS).exp();
        self.starts *= keep;
        self.busy_ms *= keep;
        if is_busy {
            self.busy_ms += DRAIN_WINDOW_MS * (1.0 - keep);
        }
    }

    /// Counts one start; call [`DrainRate::advance`] first.
    pub fn count_start(&mut self) {
        self.starts += 1.0;
    }

    /// Takes back one start, whose attempt is proved not to have started.
    pub fn uncount_start(&mut self) {
        self.starts = (self.starts - 1.0).max(0.0);
    }

    /// Returns the starts for each millisecond of waiting, if enough was seen to tell.
    ///
    /// One start is always taken to be due: a lane that has waited for a moment without any, for
    /// its turn under a limit or for a slow log, is not one that never drains.
    pub fn per_ms(&self) -> Option<f64> {
        match self.busy_ms {
            busy_ms if busy_ms < DRAIN_KNOWN_AFTER_MS => None,
            busy_ms => Some((self.starts + 1.0) / busy_ms),
        }
    }
}
