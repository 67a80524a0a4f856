//! Errors of the forecasts of demand: what is missing or idle when an instance arrives that was
//! ordered by them. Jobs of random sizes arrive at random times, at rates that follow a pattern; all
//! methods see the same jobs.

use std::f64::consts::PI;
use std::fmt::Write;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use smol_str::{format_smolstr, SmolStr};
use strum::IntoEnumIterator;

use crate::jobs::{DemandCycle, ForecastMethod};

/// Pools.
const POOLS_COUNT: u32 = 4;
/// Interval between reviews, in milliseconds.
const REVIEW_MS: u64 = 200;
/// Interval between draws of arrivals, in milliseconds.
const DRAW_MS: u64 = 10;
/// Time that an instance takes to arrive, in milliseconds.
const AHEAD_MS: u64 = 2_100;
/// Length of a play, in milliseconds.
const PLAY_MS: u64 = 34_000;
/// Length of one pool's peak, in milliseconds.
const PEAK_MS: u64 = 8_000;
/// Mean work of a job, in core-seconds.
const JOB_WORK_S: f64 = 12.0;
/// Rate at the top of a peak, in cores.
const TOP_CORES: f64 = 3_000.0;
/// Rate outside of peaks, in cores.
const BASE_CORES: f64 = 100.0;
/// Plays of each pattern.
const PLAYS_COUNT: u64 = 5;

/// How the rates of arrivals change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display, strum::EnumIter)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum DemandPattern {
    /// The first pool has a constant rate.
    Flat,
    /// The first pool rises at once to the top and stays there.
    Step,
    /// The first pool rises to the top over the length of a peak and stays there.
    Ramp,
    /// The first pool has one peak with the shape of half a sine wave.
    HalfSine,
    /// The pools have such peaks one after another.
    Turns,
}

impl DemandPattern {
    /// Returns the rate of a pool, in cores.
    fn cores(self, pool: u32, at_ms: u64) -> f64 {
        let since = at_ms as f64 / PEAK_MS as f64;
        let half_sine = |since: f64| match since {
            since if (0.0..1.0).contains(&since) => (since * PI).sin(),
            _ => 0.0,
        };
        let share = match (self, pool) {
            (Self::Turns, pool) => half_sine(since - f64::from(pool)),
            (Self::Flat, 0) => 0.3,
            (Self::Step, 0) if at_ms >= PEAK_MS => 1.0,
            (Self::Ramp, 0) => since.min(1.0),
            (Self::HalfSine, 0) => half_sine(since - 1.0),
            _ => 0.0,
        };
        BASE_CORES + (TOP_CORES - BASE_CORES) * share
    }
}

/// Figures of one method for one pattern.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ForecastRow {
    /// Pattern.
    pub pattern: DemandPattern,
    /// Name of the method.
    pub method: &'static str,
    /// Mean demand, in cores.
    pub demand_cores: f64,
    /// Mean demand that was not forecast, in cores.
    pub missing_cores: f64,
    /// Mean forecast without demand, in cores.
    pub idle_cores: f64,
}

/// Plays all patterns with all methods.
pub fn measure_forecasts(seed: u64) -> Vec<ForecastRow> {
    let patterns = DemandPattern::iter();
    let pairs =
        patterns.flat_map(|pattern| ForecastMethod::iter().map(move |method| (pattern, method)));
    pairs
        .map(|(pattern, method)| measure(pattern, method, seed))
        .collect()
}

fn measure(pattern: DemandPattern, method: ForecastMethod, seed: u64) -> ForecastRow {
    let mut row = ForecastRow {
        pattern,
        method: method.into(),
        demand_cores: 0.0,
        missing_cores: 0.0,
        idle_cores: 0.0,
    };
    for play in 0..PLAYS_COUNT {
        let rng = ChaCha8Rng::seed_from_u64(seed * PLAYS_COUNT + play);
        play_pattern(&mut row, method, rng);
    }
    let reviews_count = (PLAYS_COUNT * (PLAY_MS / REVIEW_MS)) as f64;
    row.demand_cores /= reviews_count;
    row.missing_cores /= reviews_count;
    row.idle_cores /= reviews_count;
    row
}

fn play_pattern(row: &mut ForecastRow, method: ForecastMethod, mut rng: ChaCha8Rng) {
    let pools: Vec<SmolStr> = (0..POOLS_COUNT)
        .map(|pool| format_smolstr!("pool-{pool}"))
        .collect();
    let mut cycle = DemandCycle::default();
    for now_ms in (0..PLAY_MS).step_by(DRAW_MS as usize) {
        for (pool, number) in pools.iter().zip(0..) {
            arrive(
                &mut cycle,
                pool,
                row.pattern.cores(number, now_ms),
                now_ms,
                &mut rng,
            );
        }
        if now_ms % REVIEW_MS == 0 {
            cycle.advance(now_ms);
            for (pool, number) in pools.iter().zip(0..) {
                let forecast = cycle.forecast(method, pool, now_ms, AHEAD_MS);
                let cores = forecast.cpu_millis as f64 / 1_000.0;
                let actual = row.pattern.cores(number, now_ms + AHEAD_MS);
                row.demand_cores += actual;
                row.missing_cores += (actual - cores).max(0.0);
                row.idle_cores += (cores - actual).max(0.0);
            }
        }
    }
}

/// Draws whether a job arrives in a pool, and its size.
fn arrive(cycle: &mut DemandCycle, pool: &SmolStr, cores: f64, now_ms: u64, rng: &mut ChaCha8Rng) {
    let mut expected_count = cores * DRAW_MS as f64 / 1_000.0 / JOB_WORK_S;
    while expected_count > 0.0 {
        if rng.random_range(0.0..1.0) < expected_count {
            let size = -rng.random_range(f64::EPSILON..1.0).ln();
            let work = (size * JOB_WORK_S * 1_000_000.0) as u64;
            cycle.record_arrival(pool, (work, work), now_ms);
        }
        expected_count -= 1.0;
    }
}

/// Returns the rows as a table.
pub fn forecasts_table(rows: &[ForecastRow]) -> String {
    let mut table = String::from("pattern    method     demand  missing    idle  (mean cores)\n");
    for row in rows {
        let _ = writeln!(
            table,
            "{:<10} {:<9} {:>7.0} {:>8.1} {:>7.1}",
            row.pattern.to_string(),
            row.method,
            row.demand_cores,
            row.missing_cores,
            row.idle_cores,
        );
    }
    table
}
