//! Health of workers, computed from the outcomes of their attempts.
//!
//! A worker that fails every attempt looks idle and attracts work, so it is ejected. Work that
//! fails on every worker is not counted against the workers. At most a part of a pool is ejected,
//! so that a fault common to all workers does not empty the pool.

use indexmap::IndexMap;

use crate::fleet::MonoMs;
use crate::policy::hash::KeyMap;
use crate::policy::keys::{PoolKey, WorkerKey};

/// Kind of work whose failures are compared across workers, for example a hash of team and queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkKey(pub u64);

/// Outcome of an attempt, as far as it says something about the worker.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumString, strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The task ran and reported success.
    Succeeded,
    /// The task ran and reported failure, or its answer was incomplete.
    Failed,
    /// The worker did not answer before the timeout, or the connection broke.
    Silent,
    /// No connection could be made.
    Unreachable,
}

/// An ended attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Worker to which the attempt was sent.
    pub worker: WorkerKey,
    /// Kind of work.
    pub work: WorkKey,
    /// Time at which it was sent.
    pub started_ms: MonoMs,
    /// Outcome.
    pub outcome: Outcome,
}

/// How much work a worker may receive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Access {
    /// All work for which it has capacity.
    Open,
    /// One request at a time, until enough have succeeded.
    Probation,
    /// No work.
    Ejected,
}

/// A change of the access of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccessChange {
    /// The worker.
    pub worker: WorkerKey,
    /// Its access from now on.
    pub access: Access,
}

/// Settings of the health tracking.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthSettings {
    /// Largest part of a pool's workers that may be ejected at once, in thousandths.
    pub eject_max_permille: u32,
    /// Smoothed failure rate, in thousandths, at which a worker is ejected.
    pub eject_from_permille: u32,
    /// First ejection period in milliseconds. Each further period is twice as long.
    pub eject_first_ms: u64,
    /// Longest ejection period in milliseconds.
    pub eject_max_ms: u64,
    /// Successes that end a probation. A failure attributed to the worker ejects it again.
    pub probation_successes_count: u32,
    /// Number of distinct workers on which work must have failed, and on none succeeded, before it
    /// counts as failing everywhere.
    pub failed_everywhere_workers_count: usize,
}

impl Default for HealthSettings {
    fn default() -> Self {
        Self {
            eject_max_permille: 300,
            eject_from_permille: 500,
            eject_first_ms: 5_000,
            eject_max_ms: 300_000,
            probation_successes_count: 3,
            failed_everywhere_workers_count: 4,
        }
    }
}

/// Gain of the smoothed failure rate for a task that failed.
const FAILED_GAIN: f64 = 1.0 / 8.0;

/// Gain for timeouts and refused connections, which cost more time each.
const NO_ANSWER_GAIN: f64 = 1.0 / 4.0;

/// Workers whose last outcome is stored for each kind of work.
const WORK_WORKERS_MAX_COUNT: usize = 32;

/// Kinds of work that are stored; the one first seen is dropped first.
const WORK_MAX_COUNT: usize = 4_096;

/// Part of a failure attributed to the worker while no other worker has run the same work.
const UNKNOWN_WORK_ATTRIBUTION: f64 = 0.75;

/// Successes after which one earlier ejection no longer lengthens the next.
const EJECTION_DECAY_SUCCESSES_COUNT: u32 = 100;

#[derive(Clone, Debug)]
struct Tracked {
    pool: PoolKey,
    access: Access,
    failure_rate: f64,
    last_success_ms: Option<MonoMs>,
    ejections_count: u32,
    ejected_until_ms: MonoMs,
    successes_count: u32,
}

/// Health of all workers to which this entry sends work.
///
/// The engine calls [`Health::observe`] for each ended attempt that says something about the
/// worker, and [`Health::tick`] every few hundred milliseconds. It passes each change to
/// [`crate::policy::placement::Placement::set_access`].
#[derive(Clone, Debug)]
pub struct Health {
    settings: HealthSettings,
    workers: IndexMap<WorkerKey, Tracked>,
    pools: KeyMap<PoolKey, PoolCounts>,
    /// Last outcome of each kind of work by worker: whether it failed.
    failed_by_work: IndexMap<WorkKey, IndexMap<WorkerKey, bool>>,
    suppressed_count: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct PoolCounts {
    workers_count: usize,
    ejected_count: usize,
}

impl Health {
    /// Creates a tracker without workers.
    pub fn new(settings: HealthSettings) -> Self {
        Self {
            settings,
            workers: IndexMap::new(),
            pools: KeyMap::default(),
            failed_by_work: IndexMap::new(),
            suppressed_count: 0,
        }
    }

    /// Adds a worker as healthy, or moves a known one to another pool.
    pub fn set_worker(&mut self, worker: WorkerKey, pool: PoolKey) {
        if self
            .workers
            .get(&worker)
            .is_some_and(|tracked| tracked.pool == pool)
        {
            return;
        }
        self.remove_worker(worker);
        self.pools.entry(pool).or_default().workers_count += 1;
        self.workers.insert(worker, Tracked::healthy(pool));
    }

    /// Removes a worker.
    pub fn remove_worker(&mut self, worker: WorkerKey) {
        let Some(tracked) = self.workers.swap_remove(&worker) else {
            return;
        };
        let counts = self.pools.entry(tracked.pool).or_default();
        counts.workers_count -= 1;
        counts.ejected_count -= usize::from(tracked.access == Access::Ejected);
    }

    /// Returns the access of a worker. An unknown worker gets no work.
    pub fn access(&self, worker: WorkerKey) -> Access {
        self.workers
            .get(&worker)
            .map_or(Access::Ejected, |tracked| tracked.access)
    }

    /// Returns how many workers of `pool` are ejected.
    pub fn ejected_count(&self, pool: PoolKey) -> usize {
        self.pools
            .get(&pool)
            .map_or(0, |counts| counts.ejected_count)
    }

    /// Returns how many ejections were suppressed because too much of the pool was already ejected.
    pub fn suppressed_count(&self) -> u64 {
        self.suppressed_count
    }

    /// Returns whether work has failed on enough distinct workers, and succeeded last on none, so
    /// that it is assumed to fail on every worker.
    pub fn has_failed_everywhere(&self, work: WorkKey) -> bool {
        self.failed_by_work.get(&work).is_some_and(|outcomes| {
            outcomes.len() >= self.settings.failed_everywhere_workers_count
                && outcomes.values().all(|is_failed| *is_failed)
        })
    }

    /// Records the outcome of an attempt and returns the change of access that follows, if any.
    pub fn observe(&mut self, now_ms: MonoMs, attempt: &Attempt) -> Option<AccessChange> {
        let attributed = self.attributed_part(attempt);
        self.record_work(attempt);
        let tracked = self.workers.get_mut(&attempt.worker)?;
        match (attempt.outcome, tracked.access) {
            (Outcome::Succeeded, _) => {
                tracked.succeeded(now_ms, self.settings.probation_successes_count)
            }
            // The worker has answered other attempts since, so only this connection was lost.
            (Outcome::Silent, _) if tracked.last_success_ms > Some(attempt.started_ms) => None,
            (_, Access::Ejected) => None,
            (_, Access::Probation) if attributed > 0.0 => self.eject(now_ms, attempt.worker),
            (outcome, _) => {
                tracked.failure_rate += (attributed - tracked.failure_rate) * outcome.gain();
                let is_over =
                    tracked.failure_rate * 1_000.0 >= f64::from(self.settings.eject_from_permille);
                is_over.then_some(())?;
                self.eject(now_ms, attempt.worker)
            }
        }
        .map(|access| AccessChange {
            worker: attempt.worker,
            access,
        })
    }

    /// Puts the workers whose ejection period has ended on probation and returns the changes.
    pub fn tick(&mut self, now_ms: MonoMs) -> Vec<AccessChange> {
        let mut changes = Vec::new();
        for (worker, tracked) in &mut self.workers {
            if tracked.access != Access::Ejected || tracked.ejected_until_ms > now_ms {
                continue;
            }
            tracked.access = Access::Probation;
            tracked.successes_count = 0;
            self.pools.entry(tracked.pool).or_default().ejected_count -= 1;
            changes.push(AccessChange {
                worker: *worker,
                access: Access::Probation,
            });
        }
        changes
    }

    /// Returns the part of a failure that is attributed to the worker: the part of the other
    /// workers on which the same work succeeded last. Workers are counted, not attempts, because a
    /// worker that fails fast gets most of the attempts.
    fn attributed_part(&self, attempt: &Attempt) -> f64 {
        if attempt.outcome == Outcome::Unreachable {
            return 1.0;
        }
        let Some(outcomes) = self.failed_by_work.get(&attempt.work) else {
            return UNKNOWN_WORK_ATTRIBUTION;
        };
        let others = outcomes.iter().filter(|(key, _)| **key != attempt.worker);
        let (others_count, failed_count) = others
            .fold((0u32, 0u32), |(all, failed), (_, is_failed)| {
                (all + 1, failed + u32::from(*is_failed))
            });
        match others_count {
            0 => UNKNOWN_WORK_ATTRIBUTION,
            _ => 1.0 - f64::from(failed_count) / f64::from(others_count),
        }
    }

    fn record_work(&mut self, attempt: &Attempt) {
        if attempt.outcome == Outcome::Unreachable {
            return;
        }
        if self.failed_by_work.len() >= WORK_MAX_COUNT
            && !self.failed_by_work.contains_key(&attempt.work)
        {
            self.failed_by_work.shift_remove_index(0);
        }
        let outcomes = self.failed_by_work.entry(attempt.work).or_default();
        outcomes.shift_remove(&attempt.worker);
        if outcomes.len() >= WORK_WORKERS_MAX_COUNT {
            outcomes.shift_remove_index(0);
        }
        let is_failed = attempt.outcome != Outcome::Succeeded;
        outcomes.insert(attempt.worker, is_failed);
    }

    fn eject(&mut self, now_ms: MonoMs, worker: WorkerKey) -> Option<Access> {
        let tracked = self.workers.get_mut(&worker)?;
        let counts = self.pools.entry(tracked.pool).or_default();
        let max_count = counts.workers_count * self.settings.eject_max_permille as usize / 1_000;
        if counts.ejected_count >= max_count {
            self.suppressed_count += 1;
            return None;
        }
        counts.ejected_count += 1;
        let doublings = tracked.ejections_count.min(20);
        let period_ms = self.settings.eject_first_ms.saturating_mul(1 << doublings);
        tracked.ejections_count += 1;
        tracked.ejected_until_ms = now_ms + period_ms.min(self.settings.eject_max_ms);
        tracked.access = Access::Ejected;
        Some(Access::Ejected)
    }
}

impl Outcome {
    fn gain(self) -> f64 {
        match self {
            Self::Succeeded | Self::Failed => FAILED_GAIN,
            Self::Silent | Self::Unreachable => NO_ANSWER_GAIN,
        }
    }
}

impl Tracked {
    fn healthy(pool: PoolKey) -> Self {
        Self {
            pool,
            access: Access::Open,
            failure_rate: 0.0,
            last_success_ms: None,
            ejections_count: 0,
            ejected_until_ms: 0,
            successes_count: 0,
        }
    }

    fn succeeded(&mut self, now_ms: MonoMs, needed_count: u32) -> Option<Access> {
        self.last_success_ms = Some(now_ms);
        self.failure_rate -= self.failure_rate * FAILED_GAIN;
        self.successes_count += 1;
        match self.access {
            Access::Probation if self.successes_count >= needed_count => {
                self.access = Access::Open;
                self.failure_rate = 0.0;
                Some(Access::Open)
            }
            Access::Open if self.successes_count >= EJECTION_DECAY_SUCCESSES_COUNT => {
                self.successes_count = 0;
                self.ejections_count = self.ejections_count.saturating_sub(1);
                None
            }
            _ => None,
        }
    }
}
