//! Estimates from what was observed: how long requests of a team in a queue run, and how fast a
//! lane of waiting requests drains. Declared run times are never used, as they can be far off.

use std::collections::HashMap;

use crate::fleet::MonoMs;
use crate::policy::keys::QueueKey;
use crate::policy::share::TeamSlot;

/// Gain of the mean and of the deviation, as for round-trip times in RFC 6298.
const MEAN_GAIN: f64 = 1.0 / 8.0;
const DEVIATION_GAIN: f64 = 1.0 / 4.0;

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
}

/// Observed run times for each team and queue, with the queue's own as the fallback.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    by_team: HashMap<(TeamSlot, QueueKey), Smoothed>,
    by_queue: HashMap<QueueKey, Smoothed>,
}

impl RunTimes {
    /// Takes in the run time of a request that ran to its end.
    pub fn observe(&mut self, team: TeamSlot, queue: QueueKey, run_ms: u64) {
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

    /// Returns the time to reserve for a run: the mean and `deviations` times the mean deviation.
    /// Nothing observed yet gives zero, so that no request is refused on a guess.
    pub fn reserve_ms(&self, team: TeamSlot, queue: QueueKey, deviations: f64) -> u64 {
        self.by_team
            .get(&(team, queue))
            .or_else(|| self.by_queue.get(&queue))
            .map_or(0, |smoothed| {
                (smoothed.mean_ms + smoothed.deviation_ms * deviations) as u64
            })
    }
}

/// Time constant of the memory of a drain rate.
const DRAIN_WINDOW_MS: f64 = 3_000.0;

/// Time with requests waiting that has to be seen before the rate counts as known.
const DRAIN_KNOWN_AFTER_MS: f64 = 100.0;

/// The same if nothing was started in that time.
const DRAIN_SILENT_AFTER_MS: f64 = 1_500.0;

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

    /// Takes a start back that did not happen after all.
    pub fn take_back_start(&mut self) {
        self.starts = (self.starts - 1.0).max(0.0);
    }

    /// Returns the starts for each millisecond of waiting, if enough was seen to tell.
    ///
    /// That nothing started for a moment, perhaps while the first permits are on their way, is no
    /// proof that nothing will: the rate is then not known for longer, and after that less than one
    /// start counts as one.
    pub fn per_ms(&self) -> Option<f64> {
        match self.busy_ms {
            busy_ms if busy_ms < DRAIN_KNOWN_AFTER_MS => None,
            busy_ms if self.starts < 1.0 && busy_ms < DRAIN_SILENT_AFTER_MS => None,
            busy_ms => Some(self.starts.max(1.0) / busy_ms),
        }
    }
}
