//! Forecast of when a task can start in a rack, from the runs on the rack's workers, the tasks that
//! wait before it for the same rack, and the instances that arrive there.

use crate::jobs::keys::WorkerKey;
use crate::jobs::spec::Size;

/// End of a run that has no expected end.
pub const NEVER_MS: u64 = u64::MAX;

/// A run, or a task that is expected to run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpectedRun {
    /// Part of its worker's capacity that it takes.
    pub reservation: Size,
    /// Time at which it is expected to end, in milliseconds; [`NEVER_MS`] for none.
    pub ends_ms: u64,
}

/// A worker of the rack, or an instance that arrives there.
#[derive(Clone, Debug, PartialEq)]
pub struct RackWorker {
    /// Its key; none for an instance that is arriving.
    pub key: Option<WorkerKey>,
    /// Total capacity.
    pub capacity: Size,
    /// Time from which it takes tasks, in milliseconds.
    pub ready_ms: u64,
    /// What runs there, by expected end.
    runs: Vec<ExpectedRun>,
}

impl RackWorker {
    /// Returns a worker with these runs.
    pub fn new(
        key: Option<WorkerKey>,
        capacity: Size,
        ready_ms: u64,
        mut runs: Vec<ExpectedRun>,
    ) -> Self {
        runs.sort_by_key(|run| run.ends_ms);
        Self {
            key,
            capacity,
            ready_ms,
            runs,
        }
    }

    /// Returns the earliest time at which a task fits, or `None` if it never does. Runs that are
    /// forecast to start later count as running, so that no task starts before those ahead of it.
    fn fits_from_ms(&self, reservation: &Size) -> Option<u64> {
        let mut used = Size::default();
        for run in &self.runs {
            used.add(&run.reservation);
        }
        let mut from_ms = self.ready_ms;
        let mut running = self.runs.iter();
        while !used.fits_with(reservation, &self.capacity) {
            let ended = running.next().filter(|run| run.ends_ms != NEVER_MS)?;
            used.remove(&ended.reservation);
            from_ms = from_ms.max(ended.ends_ms);
        }
        Some(from_ms)
    }

    fn add(&mut self, run: ExpectedRun) {
        let at = self
            .runs
            .partition_point(|known| known.ends_ms <= run.ends_ms);
        self.runs.insert(at, run);
    }
}

/// Expected start of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectedStart {
    /// Index of its worker in the forecast.
    pub worker: usize,
    /// Time, in milliseconds.
    pub at_ms: u64,
}

/// The workers of one rack with all that is expected to run there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RackForecast {
    workers: Vec<RackWorker>,
    added_count: usize,
}

impl RackForecast {
    /// Returns the forecast for a rack of these workers.
    pub fn new(workers: Vec<RackWorker>) -> Self {
        Self {
            workers,
            added_count: 0,
        }
    }

    /// Returns when and where a task starts first among the workers that `may_run` it, or `None` if
    /// it starts on none.
    pub fn earliest_start(
        &self,
        reservation: &Size,
        may_run: impl Fn(&RackWorker) -> bool,
    ) -> Option<ExpectedStart> {
        let workers = self.workers.iter().enumerate();
        let allowed = workers.filter(|(_, worker)| may_run(worker));
        let starts = allowed.filter_map(|(index, worker)| {
            let at_ms = worker.fits_from_ms(reservation)?;
            Some(ExpectedStart {
                worker: index,
                at_ms,
            })
        });
        starts.min_by_key(|start| (start.at_ms, start.worker))
    }

    /// Adds a task that is expected to run for `run_ms` from `start`.
    pub fn add_task(&mut self, start: ExpectedStart, reservation: Size, run_ms: u64) {
        self.added_count += 1;
        self.workers[start.worker].add(ExpectedRun {
            reservation,
            ends_ms: start.at_ms.saturating_add(run_ms),
        });
    }

    /// Adds a run that has started on a worker, if the rack has it.
    pub(crate) fn add_run(&mut self, key: WorkerKey, run: ExpectedRun) {
        let mut workers = self.workers.iter_mut();
        if let Some(worker) = workers.find(|worker| worker.key == Some(key)) {
            worker.add(run);
        }
    }

    /// Returns the number of tasks that were added.
    pub(crate) fn added_count(&self) -> usize {
        self.added_count
    }

    /// Returns the key of a worker, if it is not one that is arriving.
    pub(crate) fn key_of(&self, worker: usize) -> Option<WorkerKey> {
        self.workers[worker].key
    }
}
