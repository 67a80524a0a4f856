//! Simulated instances: the requests that run on them when a drain starts, the duration of reboots,
//! and failures.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::scenario::{BadImage, BadImageKind};

/// Number of requests that an instance runs at the same time.
const SLOTS_COUNT: usize = 8;

/// Mean run time of a request, in milliseconds.
const RUN_MEAN_MS: f64 = 10_000.0;

/// Probability that a request runs ten times as long.
const LONG_RUN_PART: f64 = 0.05;

/// Shortest and longest reboot, in milliseconds.
const REBOOT_MS: std::ops::Range<u64> = 120_000..240_000;

/// Time from the return of a bad instance to its failure, in milliseconds.
const PROBATION_FAILURE_MS: u64 = 20_000;

/// Time after which a failed instance is repaired, in milliseconds.
pub(super) const REPAIR_MS: u64 = 1_800_000;

/// State of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Condition {
    Up,
    Rebooting { until_ms: u64 },
    Failed { until_ms: u64 },
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Worker {
    pub(super) condition: Condition,
    /// End times of the requests that run when the drain starts.
    run_ends_ms: [u64; SLOTS_COUNT],
    /// Time at which the instance fails because of a bad image.
    fails_at_ms: Option<u64>,
    /// Symptom of the bad image that the current reboot installs, if it is bad.
    bad: Option<BadImageKind>,
}

/// All instances, indexed by key.
pub(super) struct Workers {
    workers: Vec<Worker>,
    rng: ChaCha8Rng,
    bad_image: Option<BadImage>,
    failures_permille_per_day: u32,
    /// Number of instances that failed because of the bad image.
    pub(super) broken_count: u32,
    /// First time at which an instance failed because of the bad image.
    pub(super) first_broken_at_ms: Option<u64>,
    /// Time of the last repair of such an instance.
    pub(super) last_repair_at_ms: Option<u64>,
}

impl Workers {
    pub(super) fn new(
        count: usize,
        seed: u64,
        bad_image: Option<BadImage>,
        failures_permille_per_day: u32,
    ) -> Self {
        let worker = Worker {
            condition: Condition::Up,
            run_ends_ms: [0; SLOTS_COUNT],
            fails_at_ms: None,
            bad: None,
        };
        Self {
            workers: vec![worker; count],
            rng: ChaCha8Rng::seed_from_u64(seed),
            bad_image,
            failures_permille_per_day,
            broken_count: 0,
            first_broken_at_ms: None,
            last_repair_at_ms: None,
        }
    }

    pub(super) fn is_up(&self, index: usize) -> bool {
        self.workers[index].condition == Condition::Up
    }

    /// Draws the requests that run on the instance when its drain starts.
    pub(super) fn begin_drain(&mut self, index: usize, now_ms: u64) {
        for slot in 0..SLOTS_COUNT {
            let left_ms = self.draw_run_ms();
            self.workers[index].run_ends_ms[slot] = now_ms + left_ms;
        }
    }

    fn draw_run_ms(&mut self) -> u64 {
        let scale = match self.rng.random_bool(LONG_RUN_PART) {
            true => 10.0,
            false => 1.0,
        };
        let unit: f64 = self.rng.random();
        (-(1.0 - unit).ln() * RUN_MEAN_MS * scale) as u64
    }

    /// Returns the number of requests that are still running.
    pub(super) fn running_count(&self, index: usize, now_ms: u64) -> u32 {
        let worker = &self.workers[index];
        let running = worker.run_ends_ms.iter().filter(|end| **end > now_ms);
        match worker.condition {
            Condition::Up => u32::try_from(running.count()).unwrap_or(u32::MAX),
            _ => 0,
        }
    }

    /// Reboots an instance. Returns the number of requests that the reboot interrupts.
    pub(super) fn reboot(&mut self, index: usize, now_ms: u64) -> u32 {
        let cut_count = self.running_count(index, now_ms);
        let until_ms = now_ms + self.rng.random_range(REBOOT_MS);
        let draw = self.rng.random_range(0..1000);
        let bad = self
            .bad_image
            .filter(|bad| (bad.from_ms..bad.until_ms).contains(&now_ms))
            .filter(|bad| draw < bad.part_permille)
            .map(|bad| bad.kind);
        let worker = &mut self.workers[index];
        worker.bad = bad;
        worker.run_ends_ms = [0; SLOTS_COUNT];
        worker.condition = match worker.condition {
            Condition::Failed { .. } => worker.condition,
            _ => Condition::Rebooting { until_ms },
        };
        cut_count
    }

    /// Fails an instance until it is repaired.
    pub(super) fn fail(&mut self, index: usize, now_ms: u64) {
        let until_ms = now_ms + REPAIR_MS;
        self.workers[index].condition = Condition::Failed { until_ms };
    }

    /// Advances all instances to `now_ms`.
    pub(super) fn step(&mut self, now_ms: u64, step_ms: u64) {
        self.draw_failures(now_ms, step_ms);
        for index in 0..self.workers.len() {
            let worker = self.workers[index];
            match worker.condition {
                Condition::Rebooting { until_ms } if now_ms >= until_ms => {
                    self.end_reboot(index, now_ms);
                }
                Condition::Failed { until_ms } if now_ms >= until_ms => {
                    self.repair(index, now_ms);
                }
                Condition::Up if worker.fails_at_ms.is_some_and(|at| now_ms >= at) => {
                    self.workers[index].fails_at_ms = None;
                    self.break_instance(index, now_ms);
                }
                _ => {}
            }
        }
    }

    fn draw_failures(&mut self, now_ms: u64, step_ms: u64) {
        const DAY_MS: f64 = 86_400_000.0;
        let fleet = self.workers.len() as f64;
        let per_day = fleet * f64::from(self.failures_permille_per_day) / 1000.0;
        let chance = (per_day * step_ms as f64 / DAY_MS).min(1.0);
        if self.rng.random_bool(chance) {
            let index = self.rng.random_range(0..self.workers.len());
            self.fail(index, now_ms);
        }
    }

    fn end_reboot(&mut self, index: usize, now_ms: u64) {
        match self.workers[index].bad.take() {
            Some(BadImageKind::NoReturn) => self.break_instance(index, now_ms),
            bad => {
                let worker = &mut self.workers[index];
                worker.condition = Condition::Up;
                worker.fails_at_ms = bad.map(|_| now_ms + PROBATION_FAILURE_MS);
            }
        }
    }

    fn break_instance(&mut self, index: usize, now_ms: u64) {
        self.broken_count += 1;
        self.first_broken_at_ms.get_or_insert(now_ms);
        self.last_repair_at_ms = Some(now_ms + REPAIR_MS);
        self.fail(index, now_ms);
    }

    fn repair(&mut self, index: usize, _now_ms: u64) {
        self.workers[index].condition = Condition::Up;
    }
}
