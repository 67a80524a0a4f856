//! The shape of demand peaks: how the rate of arrivals of a pool rises and falls from the start of
//! its peak to the start of the next one. Pools have peaks of different heights and the same shape.

use std::collections::VecDeque;

use crate::jobs::arrivals::{as_float, ArrivalBins, BIN_MS};

/// Most shapes stored.
const SHAPES_MAX_COUNT: usize = 4;
/// Bins on either side over which a shape is smoothed.
const SMOOTHING_BINS_COUNT: u64 = 1;
/// Least share of its highest rate from which a shape is carried on, in thousandths.
const CARRIED_MIN_PERMILLE: u64 = 100;

/// Rate by bin since the start of a peak, relative to its mean, in thousandths.
type Shape = Vec<u64>;

/// Shapes of the last peaks.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeakShapes {
    shapes: VecDeque<Shape>,
}

impl PeakShapes {
    /// Adds the shape of a peak that has ended.
    pub(crate) fn add(&mut self, arrivals: &ArrivalBins, start_ms: u64, end_ms: u64) {
        let (first, last) = (start_ms / BIN_MS, end_ms / BIN_MS);
        let rates: Vec<u64> = (first..last).map(|bin| smoothed(arrivals, bin)).collect();
        let count = u64::try_from(rates.len()).unwrap_or(u64::MAX);
        let mean = rates.iter().sum::<u64>() / count.max(1);
        if mean == 0 {
            return;
        }
        self.shapes
            .push_back(rates.iter().map(|rate| rate * 1_000 / mean).collect());
        if self.shapes.len() > SHAPES_MAX_COUNT {
            self.shapes.pop_front();
        }
    }

    /// Returns the rate `ahead_ms` later relative to that `since_ms` after the start of a peak, on
    /// the mean of the stored shapes; `None` if they tell nothing of that time.
    pub(crate) fn change(&self, since_ms: u64, ahead_ms: u64) -> Option<f64> {
        let highest = (0..self.longest_count()).map(|at| self.rate_at(at)).max()?;
        let present = self.rate_at(bin_of(since_ms));
        if present * 1_000 <= highest * CARRIED_MIN_PERMILLE {
            return None;
        }
        let later = self.rate_at(bin_of(since_ms + ahead_ms));
        Some(as_float(later) / as_float(present))
    }

    fn longest_count(&self) -> usize {
        self.shapes.iter().map(Vec::len).max().unwrap_or(0)
    }

    /// Returns the sum of the rates of all shapes in one bin.
    fn rate_at(&self, at: usize) -> u64 {
        let rates = self.shapes.iter().filter_map(|shape| shape.get(at));
        rates.sum()
    }
}

fn bin_of(since_ms: u64) -> usize {
    usize::try_from(since_ms / BIN_MS).unwrap_or(usize::MAX)
}

fn smoothed(arrivals: &ArrivalBins, bin: u64) -> u64 {
    let first = bin.saturating_sub(SMOOTHING_BINS_COUNT);
    let last = bin + SMOOTHING_BINS_COUNT;
    let sum: u64 = (first..=last).map(|bin| arrivals.cpu_millis_in(bin)).sum();
    sum / (last - first + 1)
}
