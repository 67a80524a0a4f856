//! The choice of a worker for one task.

use smol_str::SmolStr;

use crate::jobs::engine::{index, Engine};
use crate::jobs::keys::{TaskKey, WorkerKey};
use crate::jobs::spec::StepSpec;

/// A task that needs a worker.
pub(crate) struct PlacementRequest<'s> {
    /// Task.
    pub(crate) task: TaskKey,
    /// Its step.
    pub(crate) step: &'s StepSpec,
    /// Rack in which it runs fastest.
    pub(crate) rack: Option<&'s SmolStr>,
}

/// Chooses the best worker for `request` among those of `workers` that have the capacity. In this
/// order, it prefers workers in the requested rack, those that are not slow, those that already
/// have long-running tasks, and those with the least free capacity. The last two leave whole
/// instances free to be moved.
pub(crate) fn choose(
    engine: &Engine,
    workers: &[WorkerKey],
    request: &PlacementRequest<'_>,
) -> Option<WorkerKey> {
    let fitting = workers
        .iter()
        .copied()
        .filter(|key| fits(engine, *key, request));
    fitting.min_by_key(|key| {
        let worker = engine.worker(*key);
        let is_far = request.rack.is_some_and(|rack| *rack != worker.rack);
        let long_running_count = match request.step.is_long_running {
            true => worker.long_running_count(),
            false => usize::from(worker.long_running_count() > 0),
        };
        let free_millis = worker
            .info
            .capacity
            .cpu_millis
            .saturating_sub(worker.used.cpu_millis);
        let is_slow = worker.slowness_permille > SLOW_PERMILLE;
        (
            is_far,
            is_slow,
            std::cmp::Reverse(long_running_count),
            free_millis,
            *key,
        )
    })
}

/// Slowness above which other workers are preferred, in thousandths.
const SLOW_PERMILLE: u64 = 1_600;

fn fits(engine: &Engine, key: WorkerKey, request: &PlacementRequest<'_>) -> bool {
    let worker = engine.worker(key);
    let step = request.step;
    let has_label = step
        .label
        .as_ref()
        .is_none_or(|label| worker.info.labels.contains(label));
    has_label
        && worker
            .used
            .fits_with(&step.reservation(), &worker.info.capacity)
        && (step.per_worker_max == 0 || here_count(engine, key, request.task) < step.per_worker_max)
}

/// Returns how many runs of the same step and occurrence are at a worker.
fn here_count(engine: &Engine, key: WorkerKey, task: TaskKey) -> u32 {
    let progress = &engine.job(task.job).rounds[index(task.round)].steps[usize::from(task.step)];
    let runs = progress.tasks.iter().flat_map(|task| &task.runs);
    u32::try_from(runs.filter(|(worker, _)| *worker == key).count()).unwrap_or(u32::MAX)
}
