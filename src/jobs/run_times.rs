//! Observed run times relative to the submitters' estimates, by kind: by image, or by queue for
//! steps without an image. A kind with enough runs has a
//! [distribution](crate::jobs::run_distribution); before, one smoothed ratio stands for it.
//!
//! A kind takes less than 20 KiB: two histograms of 2.5 KiB and a summary of at most 1,024 ratios of
//! 12 bytes. At most [`KINDS_MAX_COUNT`] kinds are known, so that all take less than 10 MiB.

use smol_str::SmolStr;

use crate::collections::HashMap;
use crate::jobs::keys::JobKey;
use crate::jobs::run_distribution::{as_permille, RunDistribution, RunVerdict};
use crate::jobs::spec::StepSpec;
use crate::logging::Event;

/// Most kinds. Once half as many have had runs, the other half is forgotten.
const KINDS_MAX_COUNT: usize = 512;
/// Weight of a new observation in the smoothed ratio.
const SMOOTHING: f64 = 0.08;
/// Bounds of one observation, so that a straggler does not dominate the smoothed ratio.
const RATIO_BOUNDS: (f64, f64) = (0.1, 6.0);
/// Least share of its expected run time that a running task is assumed to have left, in percent.
const REMAINING_MIN_PERCENT: u64 = 20;

/// A run that has ended with its work done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinishedRun {
    /// Job of its task.
    pub job: JobKey,
    /// Time for which it ran, in milliseconds; less than that for a run that was adopted.
    pub ran_ms: u64,
    /// Whether it was adopted, so that the time of its start is not known.
    pub is_adopted: bool,
}

/// What is known of one kind.
#[derive(Clone, Debug)]
struct Kind {
    /// Smoothed ratio of run time to estimate.
    smoothed: f64,
    distribution: RunDistribution,
}

/// Run times by kind.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    /// Kinds that had runs since `earlier` was replaced.
    recent: HashMap<SmolStr, Kind>,
    earlier: HashMap<SmolStr, Kind>,
}

fn kind_of<'s>(queue: &'s SmolStr, step: &'s StepSpec) -> &'s SmolStr {
    match step.image.is_empty() {
        true => queue,
        false => &step.image,
    }
}

impl RunTimes {
    fn kind(&self, queue: &SmolStr, step: &StepSpec) -> Option<&Kind> {
        let name = kind_of(queue, step);
        self.recent.get(name).or_else(|| self.earlier.get(name))
    }

    /// Returns the distribution of a step's kind if it has enough runs.
    fn distribution(&self, queue: &SmolStr, step: &StepSpec) -> Option<&RunDistribution> {
        let kind = self.kind(queue, step)?;
        let is_used = step.estimate_ms > 0 && kind.distribution.is_known();
        is_used.then_some(&kind.distribution)
    }

    /// Returns the expected run time of a task of `step`, in milliseconds.
    pub fn expected_ms(&self, queue: &SmolStr, step: &StepSpec) -> u64 {
        let mean = self
            .distribution(queue, step)
            .and_then(RunDistribution::mean);
        match mean {
            Some(mean) => scale_ms(step.estimate_ms, mean),
            None => self.smoothed_ms(queue, step),
        }
    }

    /// Returns the run time of a task of `step` by the smoothed ratio of its kind, in milliseconds.
    pub fn smoothed_ms(&self, queue: &SmolStr, step: &StepSpec) -> u64 {
        let smoothed = self.kind(queue, step).map_or(1.0, |kind| kind.smoothed);
        scale_ms(step.estimate_ms, smoothed)
    }

    /// Returns the expected remaining time of a run that has already taken `ran_ms`: the mean over
    /// the runs of its kind that took longer.
    pub fn remaining_ms(&self, queue: &SmolStr, step: &StepSpec, ran_ms: u64) -> u64 {
        let Some(distribution) = self.distribution(queue, step) else {
            return remaining_of(self.smoothed_ms(queue, step), ran_ms);
        };
        let longer = distribution.mean_above(ratio_of(ran_ms, step.estimate_ms));
        match longer {
            Some(mean) => scale_ms(step.estimate_ms, mean).saturating_sub(ran_ms),
            // The run exceeds all others; the more it does, the less is known of its end.
            None => ran_ms * REMAINING_MIN_PERCENT / 100,
        }
    }

    /// Returns the run time that a share of the tasks of `step` does not exceed, in milliseconds,
    /// or `None` if its kind has too few runs.
    pub fn quantile_ms(&self, queue: &SmolStr, step: &StepSpec, share: f64) -> Option<u64> {
        let ratio = self.distribution(queue, step)?.quantile(share)?;
        Some(scale_ms(step.estimate_ms, ratio))
    }

    /// Returns whether a known run of the kind of `step` took longer than `ran_ms`, or `None` if
    /// its kind has too few runs.
    pub fn has_longer_run(&self, queue: &SmolStr, step: &StepSpec, ran_ms: u64) -> Option<bool> {
        let distribution = self.distribution(queue, step)?;
        let ratio = ratio_of(ran_ms, step.estimate_ms);
        Some(distribution.mean_above(ratio).is_some())
    }

    /// Compares a run of a task of `step` with the runs of its kind before it; returns `None` if
    /// they are too few.
    pub fn verdict(&self, queue: &SmolStr, step: &StepSpec, ran_ms: u64) -> Option<RunVerdict> {
        let ratio_permille = as_permille(ratio_of(ran_ms, step.estimate_ms));
        self.distribution(queue, step)?.verdict(ratio_permille)
    }

    /// Records a run of a task of `step`. A run that was adopted counts only in the smoothed ratio,
    /// because its run time is a lower bound.
    pub fn observe(&mut self, queue: &SmolStr, step: &StepSpec, run: &FinishedRun) {
        if step.estimate_ms == 0 {
            return;
        }
        let ratio = ratio_of(run.ran_ms, step.estimate_ms);
        let name = kind_of(queue, step);
        let kind = self.kind_mut(name);
        let bounded = ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        kind.smoothed += (bounded - kind.smoothed) * SMOOTHING;
        let has_shifted = !run.is_adopted && kind.distribution.observe(run.job, as_permille(ratio));
        if has_shifted {
            Event::new("run_times_shifted")
                .with("kind", name)
                .with("smoothed_permille", as_permille(kind.smoothed))
                .info();
        }
    }

    /// Returns a kind, which becomes one of the recent ones.
    fn kind_mut(&mut self, name: &SmolStr) -> &mut Kind {
        let is_full = self.recent.len() >= KINDS_MAX_COUNT / 2;
        if is_full && !self.recent.contains_key(name) {
            self.earlier = std::mem::take(&mut self.recent);
        }
        let earlier = &mut self.earlier;
        self.recent.entry(name.clone()).or_insert_with(|| {
            earlier.remove(name).unwrap_or_else(|| Kind {
                smoothed: 1.0,
                distribution: RunDistribution::new(),
            })
        })
    }
}

/// Returns the remaining time of a run of which only the expected time is known, in milliseconds.
pub(crate) fn remaining_of(expected_ms: u64, ran_ms: u64) -> u64 {
    let least_ms = expected_ms * REMAINING_MIN_PERCENT / 100;
    expected_ms.saturating_sub(ran_ms).max(least_ms)
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
    part_ms as f64 / whole_ms.max(1) as f64
}
