//! Observed run times relative to the submitters' estimates, by image, or by queue for steps
//! without an image.

use std::collections::HashMap;

use smol_str::SmolStr;

use crate::jobs::spec::StepSpec;

/// Weight of a new observation.
const SMOOTHING: f64 = 0.08;
/// Bounds of one observation, so that a straggler does not dominate the ratio.
const RATIO_BOUNDS: (f64, f64) = (0.1, 6.0);

/// Smoothed ratios of run time to estimate.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunTimes {
    ratios: HashMap<SmolStr, f64>,
}

fn class_of<'s>(queue: &'s SmolStr, step: &'s StepSpec) -> &'s SmolStr {
    match step.image.is_empty() {
        true => queue,
        false => &step.image,
    }
}

impl RunTimes {
    /// Returns the expected run time of a task of `step`, in milliseconds.
    pub(crate) fn expected_ms(&self, queue: &SmolStr, step: &StepSpec) -> u64 {
        let ratio = self
            .ratios
            .get(class_of(queue, step))
            .copied()
            .unwrap_or(1.0);
        scale_ms(step.estimate_ms, ratio)
    }

    /// Records that a task of `step` ran for `ran_ms`.
    pub(crate) fn observe(&mut self, queue: &SmolStr, step: &StepSpec, ran_ms: u64) {
        if step.estimate_ms == 0 {
            return;
        }
        let ratio = ratio_of(ran_ms, step.estimate_ms).clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        let known = self
            .ratios
            .entry(class_of(queue, step).clone())
            .or_insert(1.0);
        *known += (ratio - *known) * SMOOTHING;
    }
}

// Times of tasks are far below the 2^52 ms that a float represents exactly.
#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::as_conversions
)]
fn scale_ms(time_ms: u64, ratio: f64) -> u64 {
    (time_ms as f64 * ratio) as u64
}

#[allow(clippy::cast_precision_loss, clippy::as_conversions)]
fn ratio_of(part_ms: u64, whole_ms: u64) -> f64 {
    part_ms as f64 / whole_ms as f64
}
