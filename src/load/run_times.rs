//! Errors of the expected and the remaining run times, copies and slow workers: the smoothed ratio
//! against the distribution of each kind.
//!
//! Ten workers with four slots each run one task after another in virtual time. Both rules see the
//! same runs. What a copy would gain is computed from a run time drawn for it; no copy is played.

use std::fmt::Write;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use smol_str::{format_smolstr, SmolStr};
use strum::IntoEnumIterator;

use crate::jobs::{
    copy_after_ms, copy_recheck_ms, is_copy_faster, remaining_of, FinishedRun, JobKey, RunTimes,
    Slowness, StepSpec,
};

/// Estimate of each task, in milliseconds.
const ESTIMATE_MS: u64 = 1_000;
/// Workers.
const WORKERS_COUNT: usize = 10;
/// Slots of all workers.
const SLOTS_COUNT: usize = 40;
/// Tasks of a job.
const JOB_TASKS_COUNT: u32 = 8;
/// Runs of one play.
const RUNS_COUNT: u32 = 3_000;
/// Plays of each load.
const PLAYS_COUNT: u64 = 10;
/// Time between two forecasts of the remaining work, in milliseconds.
const SAMPLE_MS: u64 = 100;
/// Factor by which runs take longer on the slow worker.
const SLOW_FACTOR: f64 = 3.0;
/// Number of runs between two shifts.
const SHIFT_RUNS_COUNT: u32 = 600;
/// Runs of each kind of the load with few of them.
const FEW_RUNS_COUNT: u32 = 31;
/// Factor by which estimates are off, either way.
const ERROR_FACTOR: f64 = 2.5;

/// How run times relate to estimates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display, strum::EnumIter)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RunTimesLoad {
    /// Within a fifth of the estimate.
    Even,
    /// The same, but one run in thirty takes seven times the mean of the others.
    HeavyTail,
    /// The heavy tail, with estimates too low by `ERROR_FACTOR`.
    TooLow,
    /// The heavy tail, with estimates too high by `ERROR_FACTOR`.
    TooHigh,
    /// Each estimate is off by up to `ERROR_FACTOR` either way.
    SpreadTasks,
    /// The same, but the tasks of a job share the error.
    SpreadJobs,
    /// The run times change by `ERROR_FACTOR` after each `SHIFT_RUNS_COUNT` runs.
    Shift,
    /// The heavy tail with `FEW_RUNS_COUNT` runs of each kind.
    FewRuns,
}

impl RunTimesLoad {
    /// Returns the part of the ratio that the tasks of a job share.
    fn job_ratio(self, number: u32, rng: &mut ChaCha8Rng) -> f64 {
        match self {
            Self::TooLow => ERROR_FACTOR,
            Self::TooHigh => 1.0 / ERROR_FACTOR,
            Self::SpreadJobs => spread(rng),
            Self::Shift if number / SHIFT_RUNS_COUNT % 2 == 1 => ERROR_FACTOR,
            _ => 1.0,
        }
    }

    /// Draws the part of the ratio that is each task's own.
    fn task_ratio(self, rng: &mut ChaCha8Rng) -> f64 {
        let even = rng.random_range(0.8..1.2);
        match self {
            Self::SpreadTasks => spread(rng),
            Self::Even | Self::SpreadJobs | Self::Shift => even,
            _ if rng.random_range(0..30) == 0 => 7.0 * even,
            _ => even,
        }
    }

    /// Returns the mean of the ratio at a run.
    fn mean_ratio(self, number: u32, rng: &mut ChaCha8Rng) -> f64 {
        let spread_mean = (ERROR_FACTOR - 1.0 / ERROR_FACTOR) / (2.0 * ERROR_FACTOR.ln());
        match self {
            Self::Even => 1.0,
            Self::SpreadTasks | Self::SpreadJobs => spread_mean,
            Self::Shift => self.job_ratio(number, rng),
            _ => self.job_ratio(number, rng) * 36.0 / 30.0,
        }
    }
}

fn spread(rng: &mut ChaCha8Rng) -> f64 {
    ERROR_FACTOR.powf(rng.random_range(-1.0..1.0))
}

/// Which rule reckons run times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RunTimesRule {
    /// The smoothed ratio.
    Smoothed,
    /// The distribution.
    Distribution,
}

const RULES: [RunTimesRule; 2] = [RunTimesRule::Smoothed, RunTimesRule::Distribution];

/// Figures of one rule at one load.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RunTimesRow {
    /// Load.
    pub load: RunTimesLoad,
    /// Rule.
    pub rule: RunTimesRule,
    /// Mean error of the expected run time against the mean of the load, in percent.
    pub expected_error_percent: f64,
    /// Mean error of a run's remaining time, in percent of the mean remaining time.
    pub remaining_error_percent: f64,
    /// Mean error of the remaining work of all runs together, in percent.
    pub backlog_error_percent: f64,
    /// Copies for each 1,000 runs.
    pub copies_permille: f64,
    /// Share of the copies that end before the first run.
    pub useful_copies_percent: f64,
    /// Share of the ends at which a healthy worker seemed slow, in thousandths.
    pub healthy_slow_permille: f64,
    /// Median number of runs on a slow worker until it was found; none if most plays did not.
    pub found_after_count: Option<u32>,
}

/// A run in a slot.
#[derive(Clone, Copy)]
struct Playing {
    number: u32,
    job_ratio: f64,
    started_ms: u64,
    ends_ms: u64,
}

/// Sums of one rule.
#[derive(Clone, Default)]
struct Sums {
    expected_error: f64,
    remaining_error: f64,
    backlog_error: f64,
    remaining: f64,
    copies_count: u32,
    useful_copies_count: u32,
    healthy_slow_count: u32,
    found_after: Vec<Option<u32>>,
}

/// One play of a load.
struct Play<'s> {
    load: RunTimesLoad,
    rng: ChaCha8Rng,
    /// Whether the first worker is slow.
    has_slow_worker: bool,
    run_times: RunTimes,
    slots: Vec<Playing>,
    workers: Vec<[Slowness; RULES.len()]>,
    next_number: u32,
    job_ratio: f64,
    sums: &'s mut [Sums; RULES.len()],
}

/// Plays all loads.
pub fn measure_run_times(seed: u64) -> Vec<RunTimesRow> {
    RunTimesLoad::iter()
        .flat_map(|load| measure_load(load, seed))
        .collect()
}

fn measure_load(load: RunTimesLoad, seed: u64) -> impl Iterator<Item = RunTimesRow> {
    let mut sums = <[Sums; RULES.len()]>::default();
    for play in 0..PLAYS_COUNT {
        for has_slow_worker in [false, true] {
            let rng = ChaCha8Rng::seed_from_u64(seed * PLAYS_COUNT + play);
            Play::open(load, rng, has_slow_worker, &mut sums).run();
        }
    }
    let runs_count = f64::from(RUNS_COUNT) * PLAYS_COUNT as f64;
    RULES.into_iter().zip(sums).map(move |(rule, mut sums)| {
        sums.found_after
            .sort_by_key(|found| found.unwrap_or(u32::MAX));
        let percent = |part: f64, whole: f64| 100.0 * part / whole.max(1.0);
        RunTimesRow {
            load,
            rule,
            expected_error_percent: percent(sums.expected_error, runs_count),
            remaining_error_percent: percent(sums.remaining_error, sums.remaining),
            backlog_error_percent: percent(sums.backlog_error, sums.remaining),
            copies_permille: f64::from(sums.copies_count) * 1_000.0 / runs_count,
            useful_copies_percent: percent(
                f64::from(sums.useful_copies_count),
                f64::from(sums.copies_count),
            ),
            healthy_slow_permille: f64::from(sums.healthy_slow_count) * 1_000.0 / runs_count,
            found_after_count: sums.found_after[sums.found_after.len() / 2],
        }
    })
}

impl<'s> Play<'s> {
    fn open(
        load: RunTimesLoad,
        rng: ChaCha8Rng,
        has_slow_worker: bool,
        sums: &'s mut [Sums; RULES.len()],
    ) -> Self {
        Self {
            load,
            rng,
            has_slow_worker,
            run_times: RunTimes::default(),
            slots: Vec::new(),
            workers: vec![<[Slowness; RULES.len()]>::default(); WORKERS_COUNT],
            next_number: 0,
            job_ratio: 1.0,
            sums,
        }
    }

    fn run(mut self) {
        for slot in 0..SLOTS_COUNT {
            let playing = self.start(slot, 0);
            self.slots.push(playing);
        }
        let mut slow_runs_count = 0;
        let mut found_after = [None; RULES.len()];
        let mut sample_at_ms = SAMPLE_MS;
        for _ in 0..RUNS_COUNT {
            let Some(slot) = (0..SLOTS_COUNT).min_by_key(|slot| self.slots[*slot].ends_ms) else {
                return;
            };
            let now_ms = self.slots[slot].ends_ms;
            while sample_at_ms < now_ms {
                self.sample(sample_at_ms);
                sample_at_ms += SAMPLE_MS;
            }
            let worker = slot % WORKERS_COUNT;
            self.end(slot);
            slow_runs_count += u32::from(worker == 0);
            for (rule, found) in found_after.iter_mut().enumerate() {
                if worker == 0 && self.workers[0][rule].is_slow() {
                    *found = found.or(Some(slow_runs_count));
                }
            }
            self.slots[slot] = self.start(slot, now_ms);
        }
        if self.has_slow_worker {
            for (sums, found) in self.sums.iter_mut().zip(found_after) {
                sums.found_after.push(found);
            }
        }
    }

    fn start(&mut self, slot: usize, now_ms: u64) -> Playing {
        let number = self.next_number;
        self.next_number += 1;
        if number % JOB_TASKS_COUNT == 0 {
            self.job_ratio = self.load.job_ratio(number, &mut self.rng);
        }
        let is_slow = self.has_slow_worker && slot % WORKERS_COUNT == 0;
        let worker_factor = if is_slow { SLOW_FACTOR } else { 1.0 };
        let ratio = self.job_ratio * self.load.task_ratio(&mut self.rng) * worker_factor;
        Playing {
            number,
            job_ratio: self.job_ratio,
            started_ms: now_ms,
            ends_ms: now_ms + scaled_ms(ratio),
        }
    }

    /// Returns the queue and the step of a task.
    fn task(&self, number: u32) -> (SmolStr, StepSpec) {
        let queue = match self.load {
            RunTimesLoad::FewRuns => format_smolstr!("queue-{}", number / FEW_RUNS_COUNT),
            _ => "queue".into(),
        };
        let step = StepSpec {
            estimate_ms: ESTIMATE_MS,
            ..StepSpec::default()
        };
        (queue, step)
    }

    /// Returns the expected run time by each rule, in milliseconds.
    fn expected_ms(&self, queue: &SmolStr, step: &StepSpec) -> [u64; RULES.len()] {
        [
            self.run_times.smoothed_ms(queue, step),
            self.run_times.expected_ms(queue, step),
        ]
    }

    /// Compares the forecasts of the remaining times with the actual ones.
    fn sample(&mut self, at_ms: u64) {
        if self.has_slow_worker {
            return;
        }
        let mut backlog_errors = [0.0; RULES.len()];
        for playing in &self.slots {
            let (queue, step) = self.task(playing.number);
            let ran_ms = at_ms.saturating_sub(playing.started_ms);
            let smoothed_ms = self.run_times.smoothed_ms(&queue, &step);
            let forecasts_ms = [
                remaining_of(smoothed_ms, ran_ms),
                self.run_times.remaining_ms(&queue, &step, ran_ms),
            ];
            let remaining_ms = (playing.ends_ms - at_ms) as f64;
            for (rule, forecast_ms) in forecasts_ms.into_iter().enumerate() {
                let error = forecast_ms as f64 - remaining_ms;
                self.sums[rule].remaining += remaining_ms;
                self.sums[rule].remaining_error += error.abs();
                backlog_errors[rule] += error;
            }
        }
        for (sums, error) in self.sums.iter_mut().zip(backlog_errors) {
            sums.backlog_error += error.abs();
        }
    }

    fn end(&mut self, slot: usize) {
        let playing = self.slots[slot];
        let ran_ms = playing.ends_ms - playing.started_ms;
        let (queue, step) = self.task(playing.number);
        let expected_ms = self.expected_ms(&queue, &step);
        let verdict = self.run_times.verdict(&queue, &step, ran_ms);
        let worker = &mut self.workers[slot % WORKERS_COUNT];
        worker[0].observe(ran_ms, expected_ms[0], None);
        worker[1].observe(ran_ms, expected_ms[1], verdict);
        if !self.has_slow_worker {
            let seem_slow = worker.map(|slowness| slowness.is_slow());
            let mean = self.load.mean_ratio(playing.number, &mut self.rng);
            for rule in 0..RULES.len() {
                let expected = expected_ms[rule] as f64 / ESTIMATE_MS as f64;
                self.sums[rule].expected_error += (expected - mean).abs() / mean;
                self.sums[rule].healthy_slow_count += u32::from(seem_slow[rule]);
            }
            self.count_copies(&playing, ran_ms, &queue, &step);
        }
        let run = FinishedRun {
            job: JobKey(playing.number / JOB_TASKS_COUNT),
            ran_ms,
            is_adopted: false,
        };
        self.run_times.observe(&queue, &step, &run);
    }

    /// Counts the copy that each rule would start of a run, by what is known at its end.
    fn count_copies(&mut self, playing: &Playing, ran_ms: u64, queue: &SmolStr, step: &StepSpec) {
        let smoothed = self.run_times.smoothed_ms(queue, step) * 3 / 2;
        let mut checked_ms = copy_after_ms(&self.run_times, queue, step);
        while checked_ms < ran_ms
            && !is_copy_faster(&self.run_times, queue, step, checked_ms, false)
        {
            checked_ms += copy_recheck_ms(&self.run_times, queue, step);
        }
        let copy_ms = scaled_ms(playing.job_ratio * self.load.task_ratio(&mut self.rng));
        for (sums, due_ms) in self.sums.iter_mut().zip([smoothed, checked_ms]) {
            sums.copies_count += u32::from(due_ms < ran_ms);
            sums.useful_copies_count += u32::from(due_ms + copy_ms < ran_ms);
        }
    }
}

/// Converts a ratio, which is positive and small, to a run time.
fn scaled_ms(ratio: f64) -> u64 {
    (ratio * ESTIMATE_MS as f64).max(1.0) as u64
}

/// Returns the rows as a table.
pub fn run_times_table(rows: &[RunTimesRow]) -> String {
    let mut table = String::from(
        "load          rule          expected %  remaining %  backlog %  copies/1000  useful %  \
         slow/1000  found after\n",
    );
    for row in rows {
        let found = row
            .found_after_count
            .map_or("-".to_owned(), |count| count.to_string());
        let _ = writeln!(
            table,
            "{:<13} {:<12} {:>11.1} {:>12.1} {:>10.1} {:>12.1} {:>9.1} {:>10.1} {:>12}",
            row.load.to_string(),
            row.rule.to_string(),
            row.expected_error_percent,
            row.remaining_error_percent,
            row.backlog_error_percent,
            row.copies_permille,
            row.useful_copies_percent,
            row.healthy_slow_permille,
            found,
        );
    }
    table
}
