//! When a task that takes long gets a second run, where its step allows copies.

use smol_str::SmolStr;

use crate::jobs::run_times::RunTimes;
use crate::jobs::spec::StepSpec;

/// Run time before which no copy is due, in thousandths of the expected one.
const COPY_AFTER_PERMILLE: u64 = 1_500;
/// Shortest run time after which a copy is due, in milliseconds.
const COPY_AFTER_MIN_MS: u64 = 250;
/// Share of the runs of a kind that end before a copy is due.
const COPY_AFTER_SHARE: f64 = 0.9;
/// Time between two checks of whether a new run would be faster, relative to the expected run time.
const RECHECK_DIVISOR: u64 = 4;
/// Least factor by which runs take longer on a slow worker.
const SLOW_WORKER_FACTOR: u64 = 2;

/// Returns the run time after which a copy of a task of `step` is due, in milliseconds.
pub(crate) fn copy_after_ms(run_times: &RunTimes, queue: &SmolStr, step: &StepSpec) -> u64 {
    let expected_ms = run_times.expected_ms(queue, step);
    let quantile_ms = run_times.quantile_ms(queue, step, COPY_AFTER_SHARE);
    (expected_ms * COPY_AFTER_PERMILLE / 1_000)
        .max(quantile_ms.unwrap_or(0))
        .max(COPY_AFTER_MIN_MS)
}

/// Returns whether a new run of a task is expected to end before the one that has taken `ran_ms`.
/// While too little is known of the kind, or no known run took this long, it is.
pub(crate) fn is_copy_faster(
    run_times: &RunTimes,
    queue: &SmolStr,
    step: &StepSpec,
    ran_ms: u64,
    is_on_slow_worker: bool,
) -> bool {
    if run_times.has_longer_run(queue, step, ran_ms) != Some(true) {
        return true;
    }
    let factor = match is_on_slow_worker {
        true => SLOW_WORKER_FACTOR,
        false => 1,
    };
    let remaining_ms = run_times.remaining_ms(queue, step, ran_ms / factor) * factor;
    run_times.expected_ms(queue, step) < remaining_ms
}

/// Returns the time after which it is checked again whether a new run would be faster, in
/// milliseconds.
pub(crate) fn copy_recheck_ms(run_times: &RunTimes, queue: &SmolStr, step: &StepSpec) -> u64 {
    (run_times.expected_ms(queue, step) / RECHECK_DIVISOR).max(COPY_AFTER_MIN_MS)
}
