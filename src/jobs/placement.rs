//! The choice of a worker for one task.

use smol_str::SmolStr;

use crate::jobs::engine::{index, Engine};
use crate::jobs::keys::{TaskKey, WorkerKey};
use crate::jobs::spec::StepSpec;

/// A task that needs a worker.
pub(crate) struct PlacementRequest<'s> {
    /// Task.
    pub(crate) task: TaskKey,
    /// Pool of its job.
    pub(crate) pool: &'s SmolStr,
    /// Its step.
    pub(crate) step: &'s StepSpec,
    /// Rack in which it runs fastest.
    pub(crate) rack: Option<&'s SmolStr>,
    /// Workers that may run it; none if all of its pool may.
    pub(crate) eligible: Option<&'s [WorkerKey]>,
    /// Worker that may not run it, because another run of the task is there.
    pub(crate) except: Option<WorkerKey>,
}

/// Chooses the best worker for `request` among those of the job's pool that accept tasks and have
/// the capacity. In this order, it prefers workers in the requested rack, those that are not slow,
/// those that already have long-running tasks, and those with the least free processor time.
///
/// A plain task costs O(log n) for a pool of n workers, and one step for each worker that has the
/// processor time but not the memory, the label or the accelerators. A long-running task visits all
/// workers with enough processor time.
pub(crate) fn choose(engine: &Engine, request: &PlacementRequest<'_>) -> Option<WorkerKey> {
    let may_run = |key: &WorkerKey| request.except != Some(*key) && fits(engine, *key, request);
    if let Some(eligible) = request.eligible {
        let fitting = eligible.iter().copied().filter(may_run);
        return fitting.min_by_key(|key| preference(engine, *key, request));
    }
    let pool = engine.free_capacity.pool(request.pool)?;
    let by_preference = |key: &WorkerKey| preference(engine, *key, request);
    let near = request.rack.and_then(|rack| {
        let fitting = pool.in_rack(rack).filter(may_run);
        fitting.min_by_key(by_preference)
    });
    if near.is_some() {
        return near;
    }
    let cpu_millis = request.step.reservation().cpu_millis;
    let mut fitting = pool.with_free_cpu(cpu_millis).filter(may_run);
    match request.step.is_long_running {
        true => fitting.min_by_key(by_preference),
        false => fitting.next(),
    }
}

/// Returns the position of a worker among those that fit; smaller is preferred.
fn preference(
    engine: &Engine,
    key: WorkerKey,
    request: &PlacementRequest<'_>,
) -> (bool, bool, std::cmp::Reverse<usize>, u64, WorkerKey) {
    let worker = engine.worker(key);
    let long_running_count = match request.step.is_long_running {
        true => worker.long_running_count,
        false => usize::from(worker.long_running_count > 0),
    };
    let free_cpu_millis = worker
        .info
        .capacity
        .cpu_millis
        .saturating_sub(worker.used.cpu_millis);
    (
        request.rack.is_some_and(|rack| *rack != worker.rack),
        worker.is_slow(),
        std::cmp::Reverse(long_running_count),
        free_cpu_millis,
        key,
    )
}

fn fits(engine: &Engine, key: WorkerKey, request: &PlacementRequest<'_>) -> bool {
    engine.has_place(key, request.task, request.step)
}

impl Engine {
    /// Returns whether a worker has the label and the capacity for a task.
    pub(crate) fn has_place(&self, key: WorkerKey, task: TaskKey, step: &StepSpec) -> bool {
        let worker = self.worker(key);
        let has_capacity = worker
            .used
            .fits_with(&step.reservation(), &worker.info.capacity);
        has_capacity && self.has_label(key, step) && self.is_below_worker_max(key, task, step)
    }

    /// Returns whether a worker has the label that a step needs.
    pub(crate) fn has_label(&self, key: WorkerKey, step: &StepSpec) -> bool {
        let labels = &self.worker(key).info.labels;
        step.label
            .as_ref()
            .is_none_or(|label| labels.contains(label))
    }

    /// Returns whether a worker may run one more task of a step.
    pub(crate) fn is_below_worker_max(
        &self,
        key: WorkerKey,
        task: TaskKey,
        step: &StepSpec,
    ) -> bool {
        step.per_worker_max == 0 || here_count(self, key, task) < step.per_worker_max
    }
}

/// Returns how many runs of the same step and occurrence are at a worker.
fn here_count(engine: &Engine, key: WorkerKey, task: TaskKey) -> u32 {
    let progress = &engine.job(task.job).rounds[index(task.round)].steps[usize::from(task.step)];
    let runs = progress.tasks.iter().flat_map(|task| &task.runs);
    u32::try_from(runs.filter(|(worker, _)| *worker == key).count()).unwrap_or(u32::MAX)
}
