//! Health of workers by the outcomes of what they were given. A worker that fails all it starts
//! looks idle and attracts work, so it is ejected; work that fails wherever it runs is no fault of
//! the workers; and never more than a part of a pool is ejected, so that a fault common to all
//! does not empty it.

use indexmap::IndexMap;

use crate::fleet::MonoMs;
use crate::policy::hash::KeyMap;
use crate::policy::keys::{PoolKey, WorkerKey};

/// Work whose failures are compared over workers, for example a hash of team and queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkKey(pub u64);

/// How an attempt ended, as far as it tells something of the worker.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumString, strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The task ran and reported success.
    Succeeded,
    /// The task ran and reported failure, or its answer was not whole.
    Failed,
    /// Nothing was heard up to the timeout, or the connection broke.
    Silent,
    /// No connection could be made.
    Unreachable,
}

/// An ended attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Worker that it was sent to.
    pub worker: WorkerKey,
    /// What it ran.
    pub work: WorkKey,
    /// When it was sent.
    pub started_ms: MonoMs,
    /// How it ended.
    pub outcome: Outcome,
}

/// What a worker may be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Access {
    /// Everything that fits.
    Open,
    /// One request at a time, until enough of them succeeded.
    Probation,
    /// Nothing.
    Ejected,
}

/// A change of what a worker may be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccessChange {
    /// The worker.
    pub worker: WorkerKey,
    /// What it may be given from now on.
    pub access: Access,
}

/// Settings of the health tracking.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthSettings {
    /// Part of a pool's workers that may be ejected at once, in thousandths.
    pub eject_max_permille: u32,
    /// Smoothed part of failures, in thousandths, from which a worker is ejected.
    pub eject_from_permille: u32,
    /// First period of ejection; each further one is twice as long.
    pub eject_first_ms: u64,
    /// Longest period of ejection.
    pub eject_max_ms: u64,
    /// Successes in a row that end a probation.
    pub probation_successes_count: u32,
    /// Distinct workers at which work must have failed, and at no other succeeded, to count as bad.
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

/// Gain of the smoothed part of failures for a task that failed.
const FAILED_GAIN: f64 = 1.0 / 8.0;

/// Gain for silence and refused connections, which cost more time each.
const SILENT_GAIN: f64 = 1.0 / 4.0;

/// Workers of which the last outcome is kept for each kind of work.
const WORK_WORKERS_MAX_COUNT: usize = 32;

/// Kinds of work that are remembered; the one first seen is forgotten first.
const WORK_MAX_COUNT: usize = 4_096;

/// Share of the blame that a worker takes while its work is not known from other workers.
const UNKNOWN_WORK_BLAME: f64 = 0.75;

/// Successes after which one earlier ejection no longer lengthens the next.
const FORGIVE_SUCCESSES_COUNT: u32 = 100;

#[derive(Clone, Debug)]
struct Tracked {
    pool: PoolKey,
    access: Access,
    fault: f64,
    last_success_ms: Option<MonoMs>,
    ejections_count: u32,
    ejected_until_ms: MonoMs,
    successes_count: u32,
}

/// Health of all workers that this entry gives work to.
///
/// The engine calls [`Health::observe`] for each ended attempt that tells something of the worker
/// and [`Health::tick`] every few hundred milliseconds, and hands each change to
/// [`crate::policy::placement::Placement::set_access`].
#[derive(Clone, Debug)]
pub struct Health {
    settings: HealthSettings,
    workers: IndexMap<WorkerKey, Tracked>,
    pools: KeyMap<PoolKey, PoolCounts>,
    works: IndexMap<WorkKey, IndexMap<WorkerKey, bool>>,
    suppressed_count: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct PoolCounts {
    workers_count: usize,
    ejected_count: usize,
}

impl Health {
    /// Makes a tracker without workers.
    pub fn new(settings: HealthSettings) -> Self {
        Self {
            settings,
            workers: IndexMap::new(),
            pools: KeyMap::default(),
            works: IndexMap::new(),
            suppressed_count: 0,
        }
    }

    /// Adds a worker as healthy, or moves a known one to another pool.
    pub fn set_worker(&mut self, worker: WorkerKey, pool: PoolKey) {
        if self.workers.get(&worker).is_some_and(|t| t.pool == pool) {
            return;
        }
        self.remove_worker(worker);
        self.pools.entry(pool).or_default().workers_count += 1;
        self.workers.insert(worker, Tracked::healthy(pool));
    }

    /// Forgets a worker.
    pub fn remove_worker(&mut self, worker: WorkerKey) {
        let Some(tracked) = self.workers.swap_remove(&worker) else {
            return;
        };
        let counts = self.pools.entry(tracked.pool).or_default();
        counts.workers_count -= 1;
        counts.ejected_count -= usize::from(tracked.access == Access::Ejected);
    }

    /// Returns what a worker may be given; an unknown one gets nothing.
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

    /// Returns how often an ejection was not made because too much of the pool was ejected.
    pub fn suppressed_count(&self) -> u64 {
        self.suppressed_count
    }

    /// Returns whether work has failed at enough distinct workers, and at none of the last ones
    /// succeeded, to be taken as work that can never run.
    pub fn has_failed_everywhere(&self, work: WorkKey) -> bool {
        self.works.get(&work).is_some_and(|outcomes| {
            outcomes.len() >= self.settings.failed_everywhere_workers_count
                && outcomes.values().all(|is_failed| *is_failed)
        })
    }

    /// Takes in the outcome of an attempt.
    pub fn observe(&mut self, now_ms: MonoMs, attempt: &Attempt) -> Option<AccessChange> {
        let blame = self.blame(attempt);
        self.remember_work(attempt);
        let tracked = self.workers.get_mut(&attempt.worker)?;
        match (attempt.outcome, tracked.access) {
            (Outcome::Succeeded, _) => {
                tracked.succeeded(now_ms, self.settings.probation_successes_count)
            }
            // Others have answered on other connections since: one connection died, no more.
            (Outcome::Silent, _) if tracked.last_success_ms > Some(attempt.started_ms) => None,
            (_, Access::Ejected) => None,
            (_, Access::Probation) if blame > 0.0 => self.eject(now_ms, attempt.worker),
            (outcome, _) => {
                tracked.fault += (blame - tracked.fault) * outcome.gain();
                let is_over =
                    tracked.fault * 1_000.0 >= f64::from(self.settings.eject_from_permille);
                is_over.then_some(())?;
                self.eject(now_ms, attempt.worker)
            }
        }
        .map(|access| AccessChange {
            worker: attempt.worker,
            access,
        })
    }

    /// Lets the workers whose ejection has ended prove themselves.
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

    /// Returns the part of a failure that the worker is blamed for: the part of the other workers
    /// at which the same work succeeded last. Workers are counted, not attempts, as a worker that
    /// fails all at once takes most of the attempts.
    fn blame(&self, attempt: &Attempt) -> f64 {
        if attempt.outcome == Outcome::Unreachable {
            return 1.0;
        }
        let Some(outcomes) = self.works.get(&attempt.work) else {
            return UNKNOWN_WORK_BLAME;
        };
        let others = outcomes.iter().filter(|(key, _)| **key != attempt.worker);
        let (others_count, failed_count) = others.fold((0u32, 0u32), |(all, failed), (_, is)| {
            (all + 1, failed + u32::from(*is))
        });
        match others_count {
            0 => UNKNOWN_WORK_BLAME,
            _ => 1.0 - f64::from(failed_count) / f64::from(others_count),
        }
    }

    fn remember_work(&mut self, attempt: &Attempt) {
        if attempt.outcome == Outcome::Unreachable {
            return;
        }
        if self.works.len() >= WORK_MAX_COUNT && !self.works.contains_key(&attempt.work) {
            self.works.shift_remove_index(0);
        }
        let outcomes = self.works.entry(attempt.work).or_default();
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
            Self::Silent | Self::Unreachable => SILENT_GAIN,
        }
    }
}

impl Tracked {
    fn healthy(pool: PoolKey) -> Self {
        Self {
            pool,
            access: Access::Open,
            fault: 0.0,
            last_success_ms: None,
            ejections_count: 0,
            ejected_until_ms: 0,
            successes_count: 0,
        }
    }

    fn succeeded(&mut self, now_ms: MonoMs, needed_count: u32) -> Option<Access> {
        self.last_success_ms = Some(now_ms);
        self.fault -= self.fault * FAILED_GAIN;
        self.successes_count += 1;
        match self.access {
            Access::Probation if self.successes_count >= needed_count => {
                self.access = Access::Open;
                self.fault = 0.0;
                Some(Access::Open)
            }
            Access::Open if self.successes_count >= FORGIVE_SUCCESSES_COUNT => {
                self.successes_count = 0;
                self.ejections_count = self.ejections_count.saturating_sub(1);
                None
            }
            _ => None,
        }
    }
}
