//! Distribution of the ratio of run time to estimate for one kind of work, weighted towards the most
//! recent runs. Of two histograms, one takes new runs, and the other holds the runs before them; its
//! weight decreases to 0 until the first one is full and takes its place.

use hdrhistogram::Histogram;

use crate::jobs::keys::JobKey;
use crate::jobs::run_shift::{ShiftTest, Side};

/// Number of runs from which the distribution is used.
const RUNS_MIN_COUNT: u64 = 32;
/// Number of runs of a full histogram.
const FULL_COUNT: u64 = 512;
/// Bounds of one ratio, in thousandths. A straggler whose estimate is too low by 2.5 takes some 18
/// times its estimate.
const RATIO_BOUNDS_PERMILLE: (u64, u64) = (1, 64_000);
/// Significant digits of a ratio.
const DIGITS: u8 = 2;
/// Number of new runs, relative to all, after which the summary is computed again, and the most such
/// runs.
const SUMMARY_INTERVAL_DIVISOR: u64 = 32;
const SUMMARY_INTERVAL_MAX_COUNT: u64 = 16;
/// Difference below which two ratios count as equal, in thousandths of the larger one.
const EQUAL_PERMILLE: u64 = 10;
/// Distance from the median within which a run is neither long nor short, in thousandths.
const NEAR_PERMILLE: u64 = 100;
/// Run time from which a run is long, relative to the median.
const LONG_FACTOR: u64 = 2;
/// Number of runs over which the share of long runs is smoothed.
const LONG_SHARE_SMOOTHING: f64 = 8.0;

/// One histogram.
#[derive(Clone, Debug)]
struct Ratios {
    histogram: Histogram<u16>,
    /// Sum of its ratios.
    sum_permille: u64,
}

impl Ratios {
    fn new() -> Self {
        let (low, high) = RATIO_BOUNDS_PERMILLE;
        Self {
            histogram: Histogram::new_with_bounds(low, high, DIGITS)
                .expect("the bounds are valid constants"),
            sum_permille: 0,
        }
    }

    fn record(&mut self, ratio_permille: u64) {
        self.histogram.saturating_record(ratio_permille);
        self.sum_permille += ratio_permille;
    }
}

/// One ratio of the summary. Single precision has more digits than the histograms.
#[derive(Clone, Copy, Debug)]
struct Point {
    ratio_permille: f32,
    /// Mean of all ratios that are at least as large.
    mean_from_permille: f32,
    /// Share of the runs whose ratios are at most as large.
    share: f32,
}

/// A run, compared with the distribution of its kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunVerdict {
    /// Whether it took more than twice the median.
    pub is_long: bool,
    /// Share of long runs that is usual for its kind, or that the last runs had if that is larger.
    pub long_share: f64,
}

/// Distribution of the ratios of one kind.
#[derive(Clone, Debug)]
pub(crate) struct RunDistribution {
    current: Ratios,
    previous: Option<Ratios>,
    /// Runs since the summary was computed.
    unsummarized_count: u64,
    /// Ratios in increasing order; empty until there are enough runs.
    points: Vec<Point>,
    /// Median of the summary, in thousandths; 0 without one.
    median_permille: u64,
    /// Share of the runs in the summary that are long.
    long_share: f64,
    /// Smoothed share of long runs among the last ones.
    recent_long_share: f64,
    shift: ShiftTest,
}

impl RunDistribution {
    pub(crate) fn new() -> Self {
        Self {
            current: Ratios::new(),
            previous: None,
            unsummarized_count: 0,
            points: Vec::new(),
            median_permille: 0,
            long_share: 0.0,
            recent_long_share: 0.0,
            shift: ShiftTest::default(),
        }
    }

    /// Adds a run of `job`. If the run times have shifted, only the runs since then are retained;
    /// returns whether they have.
    pub(crate) fn observe(&mut self, job: JobKey, ratio_permille: u64) -> bool {
        let (low, high) = RATIO_BOUNDS_PERMILLE;
        let ratio_permille = ratio_permille.clamp(low, high);
        self.record(ratio_permille);
        if !self.is_known() {
            return false;
        }
        let is_long = f64::from(u8::from(self.is_long(ratio_permille)));
        self.recent_long_share += (is_long - self.recent_long_share) / LONG_SHARE_SMOOTHING;
        let tail = self.tail(ratio_permille);
        let shifted = self.shift.observe(job, ratio_permille, tail);
        let Some(ratios_permille) = shifted else {
            return false;
        };
        *self = Self::new();
        for ratio_permille in ratios_permille {
            self.record(ratio_permille);
        }
        true
    }

    fn record(&mut self, ratio_permille: u64) {
        self.current.record(ratio_permille);
        if self.current.histogram.len() == FULL_COUNT {
            let full = std::mem::replace(&mut self.current, Ratios::new());
            self.previous = Some(full);
        }
        self.unsummarized_count += 1;
        let count = self.count();
        let interval_count = (count / SUMMARY_INTERVAL_DIVISOR).min(SUMMARY_INTERVAL_MAX_COUNT);
        if count >= RUNS_MIN_COUNT && self.unsummarized_count >= interval_count {
            self.summarize();
            self.unsummarized_count = 0;
        }
    }

    /// Returns the number of runs in both histograms.
    fn count(&self) -> u64 {
        let previous = self.previous.as_ref();
        self.current.histogram.len() + previous.map_or(0, |previous| previous.histogram.len())
    }

    /// Returns whether there are enough runs.
    pub(crate) fn is_known(&self) -> bool {
        !self.points.is_empty()
    }

    /// Returns the weights of a run in the current and in the previous histogram.
    fn weights(&self) -> (u64, u64) {
        (FULL_COUNT, FULL_COUNT - self.current.histogram.len())
    }

    /// Returns the mean ratio, if there are enough runs.
    pub(crate) fn mean(&self) -> Option<f64> {
        if !self.is_known() {
            return None;
        }
        let (weight, previous_weight) = self.weights();
        let mut count = self.current.histogram.len() * weight;
        let mut sum_permille = self.current.sum_permille * weight;
        if let Some(previous) = &self.previous {
            count += previous.histogram.len() * previous_weight;
            sum_permille += previous.sum_permille * previous_weight;
        }
        Some(as_float(sum_permille) / as_float(count.max(1)) / 1_000.0)
    }

    /// Returns the ratio that a share of the runs does not exceed, if there are enough runs.
    pub(crate) fn quantile(&self, share: f64) -> Option<f64> {
        let at = self
            .points
            .partition_point(|point| f64::from(point.share) < share);
        let point = self.points.get(at).or(self.points.last())?;
        Some(f64::from(point.ratio_permille) / 1_000.0)
    }

    /// Returns the mean ratio of the runs with a larger ratio than `ratio`, if there are any.
    pub(crate) fn mean_above(&self, ratio: f64) -> Option<f64> {
        let ratio_permille = ratio * 1_000.0;
        let at = self
            .points
            .partition_point(|point| f64::from(point.ratio_permille) <= ratio_permille);
        let point = self.points.get(at)?;
        Some(f64::from(point.mean_from_permille) / 1_000.0)
    }

    /// Compares a run with the others, if there are enough.
    pub(crate) fn verdict(&self, ratio_permille: u64) -> Option<RunVerdict> {
        self.is_known().then(|| RunVerdict {
            is_long: self.is_long(ratio_permille),
            long_share: self.long_share.max(self.recent_long_share),
        })
    }

    /// Returns the share of the runs whose ratios are at most `ratio_permille`.
    fn share_until(&self, ratio_permille: u64) -> f64 {
        let limit = as_float(ratio_permille);
        let at = self
            .points
            .partition_point(|point| f64::from(point.ratio_permille) <= limit);
        let last = at.checked_sub(1).map(|at| self.points[at].share);
        f64::from(last.unwrap_or(0.0))
    }

    /// Returns on which side of the median a ratio lies, and the share of the runs that are at least
    /// as far out.
    fn tail(&self, ratio_permille: u64) -> (Side, f64) {
        // Ratios within the resolution of the histograms are equal.
        let tolerance_permille = ratio_permille * EQUAL_PERMILLE / 1_000 + 1;
        let margin_permille = self.median_permille * NEAR_PERMILLE / 1_000;
        match ratio_permille {
            ratio if ratio > self.median_permille + margin_permille => {
                let shorter_share = self.share_until(ratio.saturating_sub(tolerance_permille));
                (Side::Above, 1.0 - shorter_share)
            }
            ratio if ratio < self.median_permille - margin_permille => {
                (Side::Below, self.share_until(ratio + tolerance_permille))
            }
            _ => (Side::Near, 1.0),
        }
    }

    fn is_long(&self, ratio_permille: u64) -> bool {
        ratio_permille > self.median_permille * LONG_FACTOR
    }

    /// Computes the summary of both histograms. The tail is read for every running task, and so must
    /// not be summed up each time.
    fn summarize(&mut self) {
        let (weight, previous_weight) = self.weights();
        let mut ratios = weighted_ratios(&self.current, weight);
        if let Some(previous) = &self.previous {
            ratios.extend(weighted_ratios(previous, previous_weight));
        }
        // Both parts are sorted, which the stable sort makes use of.
        ratios.sort();
        let total = ratios.iter().map(|(_, weight)| weight).sum::<u64>().max(1);
        self.points.clear();
        let (mut above, mut sum_permille) = (0, 0);
        for (ratio_permille, weight) in ratios.into_iter().rev() {
            let share = 1.0 - as_float(above) / as_float(total);
            above += weight;
            sum_permille += ratio_permille * weight;
            let point = Point {
                ratio_permille: as_single(as_float(ratio_permille)),
                mean_from_permille: as_single(as_float(sum_permille) / as_float(above)),
                share: as_single(share),
            };
            // Both histograms can have the same ratio.
            match self.points.last_mut() {
                Some(last) if last.ratio_permille == point.ratio_permille => {
                    last.mean_from_permille = point.mean_from_permille;
                }
                _ => self.points.push(point),
            }
        }
        self.points.reverse();
        self.median_permille = self.quantile(0.5).map_or(0, as_permille);
        self.long_share = 1.0 - self.share_until(self.median_permille * LONG_FACTOR);
    }
}

/// Returns the ratios in a histogram, in thousandths, each with `weight` for each of its runs.
fn weighted_ratios(ratios: &Ratios, weight: u64) -> Vec<(u64, u64)> {
    let histogram = &ratios.histogram;
    histogram
        .iter_recorded()
        .map(|entry| {
            let ratio_permille = histogram.median_equivalent(entry.value_iterated_to());
            (ratio_permille, u64::from(entry.count_at_value()) * weight)
        })
        .filter(|(_, weight)| *weight > 0)
        .collect()
}

// Sums of ratios are far below the 2^52 that a float represents exactly.
#[allow(clippy::cast_precision_loss, clippy::as_conversions)]
fn as_float(value: u64) -> f64 {
    value as f64
}

#[allow(clippy::cast_possible_truncation, clippy::as_conversions)]
fn as_single(value: f64) -> f32 {
    value as f32
}

/// Converts a ratio, which is positive and small, to thousandths.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::as_conversions
)]
pub(crate) fn as_permille(ratio: f64) -> u64 {
    (ratio * 1_000.0).round() as u64
}
