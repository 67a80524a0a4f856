//! Forecast of demand peaks. Pools have their peaks one after another: for some seconds a pool has
//! several times its mean demand, and next to none in between. From the work that arriving jobs
//! bring, this module derives the present rate of each pool, which pool has a peak, how long peaks
//! last, and which pool is next.

use std::collections::VecDeque;

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::jobs::arrivals::{ArrivalBins, Work, BIN_MS, RATE_BINS_BOUNDS};
use crate::jobs::demand_forecast::{DemandForecast, ForecastInput, ForecastMethod};
use crate::jobs::peak_shape::PeakShapes;
use crate::jobs::spec::Size;
use crate::logging::Event;

/// A pool has a peak if its rate is at least this many times that of any other pool.
const LEAD_FACTOR: u64 = 2;
/// Least rate of a peak, in thousandths of a core.
const PEAK_MIN_CPU_MILLIS: u64 = 40_000;
/// Shortest and longest plausible length of a peak, in milliseconds.
const PEAK_LENGTH_BOUNDS_MS: (u64, u64) = (1_500, 20_000);
/// Shortest time over which the mean rate of a peak is computed, in milliseconds.
const MEAN_SPAN_MIN_MS: u64 = 1_000;
/// Longest time without arrivals that is caught up with, in milliseconds; after it all rates are 0.
const CATCH_UP_MAX_MS: u64 = 4_000;
/// Most peaks stored.
const PEAKS_MAX_COUNT: usize = 32;
/// Time by which an expected peak may be overdue before the forecast drops it, in percent of its
/// length.
const OVERDUE_PERCENT: u64 = 35;

/// Arrivals of one pool.
#[derive(Clone, Debug, Default)]
struct Arrivals {
    bins: ArrivalBins,
    /// Work since the pool's last peak started.
    in_peak: Work,
    /// Mean rate of the pool's last peak.
    mean: Size,
}

/// A demand peak of one pool.
#[derive(Clone, Debug, PartialEq)]
struct DemandPeak {
    pool: SmolStr,
    start_ms: u64,
}

/// Arrivals and peaks so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandCycle {
    arrivals: IndexMap<SmolStr, Arrivals>,
    peaks: VecDeque<DemandPeak>,
    shapes: PeakShapes,
    forecasts: DemandForecast,
    /// Pool that met the conditions of a new peak in the last review.
    rising: Option<SmolStr>,
}

/// Expected next peak.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ExpectedPeak {
    /// Pool.
    pub(crate) pool: SmolStr,
    /// Expected start, on the local monotonic clock, in milliseconds.
    pub(crate) start_ms: u64,
    /// Capacity that it will need.
    pub(crate) demand: Size,
}

/// Pools that may have the next peak.
pub(crate) struct PeakCandidates<'t> {
    /// Pools that have had a peak.
    seen: Vec<&'t SmolStr>,
    /// Whether a peak may start soon.
    is_due: bool,
}

impl PeakCandidates<'_> {
    /// Returns whether a peak of `pool` may start soon.
    pub(crate) fn contains(&self, pool: &SmolStr) -> bool {
        self.is_due && !self.seen.contains(&pool)
    }
}

impl DemandCycle {
    /// Records a job that arrived in `pool`; `work` is the sum of its tasks' processor and memory
    /// reservations, each multiplied by the run time.
    pub(crate) fn record_arrival(&mut self, pool: &SmolStr, work: (u64, u64), at_ms: u64) {
        let arrivals = self.arrivals.entry(pool.clone()).or_default();
        let work = Work::of_job(work);
        arrivals.in_peak.add(work);
        arrivals.bins.record(work, at_ms);
    }

    /// Returns the capacity that the recent arrivals of a pool keep busy.
    pub(crate) fn rate(&self, pool: &SmolStr, now_ms: u64) -> Size {
        let arrivals = self.arrivals.get(pool);
        arrivals.map_or_else(Size::default, |arrivals| arrivals.bins.rate(now_ms).size)
    }

    /// Returns the capacity that the arrivals of a pool are expected to keep busy after `ahead_ms`.
    pub(crate) fn forecast(
        &mut self,
        method: ForecastMethod,
        pool: &SmolStr,
        now_ms: u64,
        ahead_ms: u64,
    ) -> Size {
        let Some(arrivals) = self.arrivals.get(pool) else {
            return Size::default();
        };
        let peak = self.peaks.back().filter(|peak| peak.pool == *pool);
        let input = ForecastInput {
            pool,
            arrivals: &arrivals.bins,
            shapes: &self.shapes,
            peak_start_ms: peak.map(|peak| peak.start_ms),
            now_ms,
            ahead_ms,
        };
        self.forecasts.forecast(method, &input)
    }

    /// Compares the rates of the pools at every review since `from_ms`, for arrivals that were
    /// recorded later than they came.
    pub(crate) fn catch_up(&mut self, from_ms: u64, to_ms: u64, interval_ms: u64) {
        let first_ms = from_ms.max(to_ms.saturating_sub(CATCH_UP_MAX_MS));
        let mut at_ms = first_ms;
        while at_ms + interval_ms <= to_ms {
            at_ms += interval_ms;
            self.advance(at_ms);
        }
    }

    /// Compares the rates of the pools: records the start of a new peak, or updates the mean rate
    /// of the present one.
    pub(crate) fn advance(&mut self, now_ms: u64) {
        let mut rates: Vec<(u64, SmolStr)> = self
            .arrivals
            .keys()
            .map(|pool| (self.rate(pool, now_ms).cpu_millis, pool.clone()))
            .collect();
        rates.sort_unstable_by_key(|(rate, _)| std::cmp::Reverse(*rate));
        let Some((rate, pool)) = rates.first().cloned() else {
            return;
        };
        let second = rates.get(1).map_or(0, |(rate, _)| *rate);
        let is_peak = rate >= PEAK_MIN_CPU_MILLIS && rate >= second * LEAD_FACTOR;
        if !is_peak {
            return;
        }
        let current = self.peaks.back().filter(|peak| peak.pool == pool);
        if let Some(peak) = current {
            if let Some(arrivals) = self.arrivals.get_mut(&pool) {
                let span_ms = now_ms.saturating_sub(peak.start_ms);
                arrivals.mean = arrivals.in_peak.over(span_ms.max(MEAN_SPAN_MIN_MS));
            }
            return;
        }
        if self.rising.as_ref() != Some(&pool) {
            self.rising = Some(pool);
            return;
        }
        self.start_peak(pool, now_ms);
    }

    fn start_peak(&mut self, pool: SmolStr, now_ms: u64) {
        let start_ms = self.rise_ms(&pool, now_ms);
        let rate = self.rate(&pool, now_ms);
        if let Some(arrivals) = self.arrivals.get_mut(&pool) {
            arrivals.in_peak = arrivals.bins.since(start_ms);
            arrivals.mean = rate;
        }
        self.rising = None;
        if let Some(last) = self.peaks.back() {
            if let Some(arrivals) = self.arrivals.get(&last.pool) {
                self.shapes.add(&arrivals.bins, last.start_ms, start_ms);
            }
        }
        self.peaks.push_back(DemandPeak {
            pool: pool.clone(),
            start_ms,
        });
        if self.peaks.len() > PEAKS_MAX_COUNT {
            self.peaks.pop_front();
        }
        let next = self.expected(now_ms);
        Event::new("demand_peak_started")
            .with("pool", &pool)
            .with("since_ms", now_ms.saturating_sub(start_ms))
            .with("rate_cpu_millis", rate.cpu_millis)
            .with("length_ms", self.length_ms().unwrap_or(0))
            .with("next", next.as_ref().map_or("", |next| next.pool.as_str()))
            .info();
    }

    /// Returns when the arrivals of a pool rose to half of their present rate.
    fn rise_ms(&self, pool: &SmolStr, now_ms: u64) -> u64 {
        let half = self.rate(pool, now_ms).cpu_millis / 2;
        let from_ms = (now_ms / BIN_MS).saturating_sub(RATE_BINS_BOUNDS.1) * BIN_MS;
        let mut risen = self.arrivals[pool].bins.busy_since(from_ms, half);
        risen.next().unwrap_or(now_ms)
    }

    /// Returns the median length of the stored peaks.
    fn length_ms(&self) -> Option<u64> {
        let starts = self.peaks.iter().map(|peak| peak.start_ms);
        let mut lengths: Vec<u64> = starts
            .clone()
            .zip(starts.skip(1))
            .map(|(start_ms, next_ms)| next_ms.saturating_sub(start_ms))
            .filter(|length_ms| {
                (PEAK_LENGTH_BOUNDS_MS.0..=PEAK_LENGTH_BOUNDS_MS.1).contains(length_ms)
            })
            .collect();
        lengths.sort_unstable();
        lengths.get(lengths.len().saturating_sub(1) / 2).copied()
    }

    /// Returns the pool that is expected to follow `pool`: the one that followed it last time;
    /// otherwise the only pool without a peak so far, or the first of the stored peaks if all pools
    /// have had one.
    fn successor(&self, pool: &SmolStr) -> Option<&SmolStr> {
        let peaks: Vec<&DemandPeak> = self.peaks.iter().collect();
        let mut pairs = peaks.windows(2).rev();
        let known = pairs.find(|pair| pair[0].pool == *pool);
        known.map(|pair| &pair[1].pool).or_else(|| {
            let had_peak = |pool: &&SmolStr| self.peaks.iter().any(|peak| peak.pool == **pool);
            let mut others = self.arrivals.keys().filter(|pool| !had_peak(pool));
            match (others.next(), others.next()) {
                (Some(only), None) => Some(only),
                (None, _) => self.peaks.front().map(|peak| &peak.pool),
                _ => None,
            }
        })
    }

    /// Returns the pools without a stored peak as candidates. They are due once the present peak is
    /// expected to end within `ahead_ms`, once it has lasted for the shortest length if no length
    /// is known, or before any peak is known.
    pub(crate) fn candidates(&self, now_ms: u64, ahead_ms: u64) -> PeakCandidates<'_> {
        let seen = self.peaks.iter().map(|peak| &peak.pool).collect();
        let is_due = match (self.peaks.back(), self.length_ms()) {
            (Some(current), Some(length_ms)) => now_ms + ahead_ms >= current.start_ms + length_ms,
            (Some(current), None) => now_ms >= current.start_ms + PEAK_LENGTH_BOUNDS_MS.0,
            (None, _) => true,
        };
        PeakCandidates { seen, is_due }
    }

    /// Returns the next peak that is expected.
    pub(crate) fn expected(&self, now_ms: u64) -> Option<ExpectedPeak> {
        let current = self.peaks.back()?;
        let length_ms = self.length_ms()?;
        let next = self.successor(&current.pool)?;
        let start_ms = current.start_ms + length_ms;
        if *next == current.pool || now_ms > start_ms + length_ms * OVERDUE_PERCENT / 100 {
            return None;
        }
        let own = self.arrivals.get(next).map(|arrivals| arrivals.mean);
        let demand = own
            .filter(|mean| mean.cpu_millis > 0)
            .unwrap_or(self.arrivals[&current.pool].mean);
        Some(ExpectedPeak {
            pool: next.clone(),
            start_ms,
            demand,
        })
    }
}
