//! Forecast of the demand that a pool will have when an instance that is ordered now arrives. Each
//! forecast is compared with what came, and the errors decide which method is used.

use std::collections::VecDeque;

use indexmap::IndexMap;
use smol_str::SmolStr;
use strum::IntoEnumIterator;

use crate::jobs::arrivals::{as_float, ArrivalBins, ArrivalRate};
use crate::jobs::peak_shape::PeakShapes;
use crate::jobs::run_distribution::as_permille;
use crate::jobs::spec::Size;
use crate::logging::Event;

/// Greatest factor by which a forecast exceeds the present rate, in thousandths.
const GROWTH_MAX_PERMILLE: u64 = 3_000;
/// Weight that a known error keeps when a new one is added.
const ERROR_RETENTION: f64 = 0.98;
/// Weight of capacity that is missing, relative to capacity that stands idle.
const SHORTAGE_WEIGHT: f64 = 3.0;
/// Interval between log lines on the errors, in milliseconds.
const LOG_INTERVAL_MS: u64 = 5_000;

/// How the present rate of arrivals is carried on.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
    strum::VariantNames,
)]
#[strum(serialize_all = "snake_case")]
pub enum ForecastMethod {
    /// It stays as it is.
    Level,
    /// It changes as it did in the last seconds.
    Trend,
    /// It follows the shape of earlier peaks; until there is one, it changes as it did.
    Shape,
    /// As the method says whose forecasts had the smallest errors lately.
    #[default]
    Adaptive,
}

/// Methods among which [`ForecastMethod::Adaptive`] chooses. The first one is used as long as no
/// error is known.
const CANDIDATES: [ForecastMethod; 3] = [
    ForecastMethod::Trend,
    ForecastMethod::Shape,
    ForecastMethod::Level,
];

/// What each candidate forecast for one time.
#[derive(Clone, Debug)]
struct Issued {
    due_ms: u64,
    cpu_millis: [u64; CANDIDATES.len()],
}

/// Forecasts that are not due yet, and the errors of earlier ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandForecast {
    issued: IndexMap<SmolStr, VecDeque<Issued>>,
    /// Weighted sum of the errors of each candidate, of all pools, in thousandths of a core.
    errors: [f64; CANDIDATES.len()],
    logged_ms: u64,
}

/// What a forecast starts from.
pub(crate) struct ForecastInput<'a> {
    /// Pool.
    pub(crate) pool: &'a SmolStr,
    /// Its arrivals.
    pub(crate) arrivals: &'a ArrivalBins,
    /// Shapes of peaks.
    pub(crate) shapes: &'a PeakShapes,
    /// Start of the present peak if the pool has it, in milliseconds.
    pub(crate) peak_start_ms: Option<u64>,
    /// Present time, in milliseconds.
    pub(crate) now_ms: u64,
    /// Time ahead, in milliseconds.
    pub(crate) ahead_ms: u64,
}

impl DemandForecast {
    /// Returns the demand of a pool after `ahead_ms`, and remembers it to be checked then.
    pub(crate) fn forecast(&mut self, method: ForecastMethod, input: &ForecastInput<'_>) -> Size {
        let rate = input.arrivals.rate(input.now_ms);
        self.check(input.pool, input.now_ms, rate.size.cpu_millis);
        let of_candidates = CANDIDATES.map(|candidate| demand(candidate, input));
        let issued = self.issued.entry(input.pool.clone()).or_default();
        issued.push_back(Issued {
            due_ms: input.now_ms + input.ahead_ms,
            cpu_millis: of_candidates.map(|demand| demand.cpu_millis),
        });
        let chosen = match method {
            ForecastMethod::Adaptive => self.best(),
            method => method,
        };
        let at = CANDIDATES.iter().position(|candidate| *candidate == chosen);
        of_candidates[at.unwrap_or(0)]
    }

    /// Returns the candidate with the smallest error.
    fn best(&self) -> ForecastMethod {
        let by_error = CANDIDATES.iter().zip(&self.errors);
        let best = by_error.min_by(|(_, one), (_, other)| one.total_cmp(other));
        best.map_or(ForecastMethod::default(), |(candidate, _)| *candidate)
    }

    /// Compares the forecasts of a pool that are due with its rate.
    fn check(&mut self, pool: &SmolStr, now_ms: u64, cpu_millis: u64) {
        let Some(issued) = self.issued.get_mut(pool) else {
            return;
        };
        while let Some(due) = issued.pop_front() {
            if due.due_ms > now_ms {
                issued.push_front(due);
                break;
            }
            for (error, forecast) in self.errors.iter_mut().zip(due.cpu_millis) {
                *error = *error * ERROR_RETENTION + cost(forecast, cpu_millis);
            }
        }
        self.log_errors(now_ms);
    }

    fn log_errors(&mut self, now_ms: u64) {
        let is_due = now_ms >= self.logged_ms + LOG_INTERVAL_MS;
        if !is_due || self.errors.iter().all(|error| *error < 1.0) {
            return;
        }
        self.logged_ms = now_ms;
        let mut event = Event::new("demand_forecast_checked");
        for (candidate, error) in CANDIDATES.iter().zip(self.errors) {
            let mean_cpu_millis = (error * (1.0 - ERROR_RETENTION)).round();
            event = event.with(candidate.into(), mean_cpu_millis);
        }
        event.with("best", <&str>::from(self.best())).info();
    }
}

impl ForecastMethod {
    /// Returns the names of all methods.
    pub fn names() -> Vec<&'static str> {
        Self::iter().map(Into::into).collect()
    }
}

/// Returns what a wrong forecast costs, in thousandths of a core.
fn cost(forecast: u64, actual: u64) -> f64 {
    let missing = as_float(actual.saturating_sub(forecast));
    let idle = as_float(forecast.saturating_sub(actual));
    missing * SHORTAGE_WEIGHT + idle
}

/// Returns the demand that a candidate forecasts.
fn demand(candidate: ForecastMethod, input: &ForecastInput<'_>) -> Size {
    let rate = input.arrivals.rate(input.now_ms);
    let by_trend = || trend_permille(&rate, input);
    let permille = match candidate {
        ForecastMethod::Level => 1_000,
        ForecastMethod::Shape => shape_permille(input).unwrap_or_else(by_trend),
        ForecastMethod::Trend | ForecastMethod::Adaptive => by_trend(),
    };
    scaled(&rate.size, permille.min(GROWTH_MAX_PERMILLE))
}

/// Returns the demand relative to the present rate if the rate goes on changing as it did, in
/// thousandths.
fn trend_permille(rate: &ArrivalRate, input: &ForecastInput<'_>) -> u64 {
    // The rate is that of the middle of its span.
    let over_ms = as_float(input.ahead_ms + rate.span_ms / 2);
    let change = input.arrivals.slope(input.now_ms) * over_ms;
    let present = as_float(rate.size.cpu_millis).max(1.0);
    as_permille((present + change).max(0.0) / present)
}

/// Returns the demand relative to the present rate by the shape of earlier peaks, in thousandths.
fn shape_permille(input: &ForecastInput<'_>) -> Option<u64> {
    let since_ms = input.now_ms.saturating_sub(input.peak_start_ms?);
    let ratio = input.shapes.change(since_ms, input.ahead_ms)?;
    Some(as_permille(ratio))
}

fn scaled(size: &Size, permille: u64) -> Size {
    Size {
        cpu_millis: size.cpu_millis * permille / 1_000,
        memory_mb: size.memory_mb * permille / 1_000,
        gpu_count: size.gpu_count,
    }
}
