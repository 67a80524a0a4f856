//! Work that arrives in one pool, in bins of time: its present rate, and how fast the rate changes.

use std::collections::VecDeque;

use crate::jobs::spec::Size;

/// Length of a bin, in milliseconds.
pub(crate) const BIN_MS: u64 = 200;
/// Fewest and most bins over which a rate is computed; more are used until they hold enough jobs.
pub(crate) const RATE_BINS_BOUNDS: (u64, u64) = (3, 10);
/// Number of jobs that are enough for a rate.
const RATE_MIN_JOBS_COUNT: u64 = 8;
/// Number of bins over which a slope is computed.
const SLOPE_BINS_COUNT: u64 = 8;
/// Most bins stored for a pool.
const BINS_MAX_COUNT: usize = 64;

/// Reserved capacity multiplied by run time, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Work {
    cpu: u64,
    memory: u64,
    jobs_count: u64,
    /// Sum of the squares of the processor work of each job.
    cpu_squares: f64,
}

impl Work {
    /// Returns the work of one job: the sums of its tasks' processor and memory reservations, each
    /// multiplied by the run time.
    pub(crate) fn of_job((cpu, memory): (u64, u64)) -> Self {
        Self {
            cpu,
            memory,
            jobs_count: 1,
            cpu_squares: as_float(cpu) * as_float(cpu),
        }
    }

    pub(crate) fn add(&mut self, more: Self) {
        self.cpu += more.cpu;
        self.memory += more.memory;
        self.jobs_count += more.jobs_count;
        self.cpu_squares += more.cpu_squares;
    }

    /// Returns the capacity that the work keeps busy if it arrives within `span_ms`.
    pub(crate) fn over(&self, span_ms: u64) -> Size {
        Size {
            cpu_millis: self.cpu / span_ms.max(1),
            memory_mb: self.memory / span_ms.max(1),
            gpu_count: 0,
        }
    }
}

/// Capacity that recent arrivals keep busy.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ArrivalRate {
    /// Capacity.
    pub(crate) size: Size,
    /// Span of the arrivals, up to the present, in milliseconds.
    pub(crate) span_ms: u64,
}

/// Work by bin, the newest last. Bins without arrivals are left out.
#[derive(Clone, Debug, Default)]
pub(crate) struct ArrivalBins {
    bins: VecDeque<(u64, Work)>,
}

impl ArrivalBins {
    /// Adds the work of a job.
    pub(crate) fn record(&mut self, work: Work, at_ms: u64) {
        let bin = at_ms / BIN_MS;
        let is_new = self.bins.back().is_none_or(|(newest, _)| *newest < bin);
        if is_new {
            self.bins.push_back((bin, Work::default()));
        }
        if self.bins.len() > BINS_MAX_COUNT {
            self.bins.pop_front();
        }
        if let Some((_, sum)) = self.bins.back_mut() {
            sum.add(work);
        }
    }

    fn work_in(&self, bin: u64) -> Work {
        let known = self.bins.iter().rev().find(|(known, _)| *known == bin);
        known.map(|(_, work)| *work).unwrap_or_default()
    }

    /// Returns the work since `from_ms`.
    pub(crate) fn since(&self, from_ms: u64) -> Work {
        let mut sum = Work::default();
        let recent = self.bins.iter().filter(|(bin, _)| bin * BIN_MS >= from_ms);
        recent.for_each(|(_, work)| sum.add(*work));
        sum
    }

    /// Returns the capacity that the arrivals of a bin keep busy, in thousandths of a core.
    pub(crate) fn cpu_millis_in(&self, bin: u64) -> u64 {
        self.work_in(bin).over(BIN_MS).cpu_millis
    }

    /// Returns the starts of the bins from `from_ms` in which at least `cpu_millis` arrived, in
    /// milliseconds.
    pub(crate) fn busy_since(
        &self,
        from_ms: u64,
        cpu_millis: u64,
    ) -> impl Iterator<Item = u64> + '_ {
        let recent = self.bins.iter().filter(move |(bin, work)| {
            bin * BIN_MS >= from_ms && work.over(BIN_MS).cpu_millis >= cpu_millis
        });
        recent.map(|(bin, _)| bin * BIN_MS)
    }

    /// Returns the present rate.
    pub(crate) fn rate(&self, now_ms: u64) -> ArrivalRate {
        let bin = now_ms / BIN_MS;
        let mut sum = Work::default();
        let mut bins_count = 0;
        for back in 0..=RATE_BINS_BOUNDS.1 {
            sum.add(self.work_in(bin.saturating_sub(back)));
            bins_count = back;
            if back >= RATE_BINS_BOUNDS.0 && sum.jobs_count >= RATE_MIN_JOBS_COUNT {
                break;
            }
        }
        let span_ms = bins_count * BIN_MS + now_ms % BIN_MS;
        ArrivalRate {
            size: sum.over(span_ms),
            span_ms,
        }
    }

    /// Returns by how many thousandths of a core the rate changes in a millisecond: the slope of the
    /// line of least squares through the last complete bins, less its standard error. The error is
    /// that of arrivals at random times, so that a few large jobs make no slope.
    pub(crate) fn slope(&self, now_ms: u64) -> f64 {
        let last = (now_ms / BIN_MS).saturating_sub(1);
        let middle = as_float(SLOPE_BINS_COUNT - 1) / 2.0;
        let (mut product, mut variance, mut squares) = (0.0, 0.0, 0.0);
        for back in 0..SLOPE_BINS_COUNT {
            let distance_ms = (middle - as_float(back)) * as_float(BIN_MS);
            let work = self.work_in(last.saturating_sub(back));
            product += distance_ms * as_float(work.cpu) / as_float(BIN_MS);
            variance += (distance_ms / as_float(BIN_MS)).powi(2) * work.cpu_squares;
            squares += distance_ms * distance_ms;
        }
        let slope = product / squares;
        let error = variance.sqrt() / squares;
        slope.signum() * (slope.abs() - error).max(0.0)
    }
}

// Rates and times are far below the 2^52 that a float represents exactly.
#[allow(clippy::cast_precision_loss, clippy::as_conversions)]
pub(crate) fn as_float(value: u64) -> f64 {
    value as f64
}
