//! Retries: only attempts that are proved not started, or requests that are idempotent, are tried
//! again, each with exponential back-off and full jitter, and all together within a budget that is
//! earned by successes and shrinks under overload.

use indexmap::IndexMap;
use rand::{Rng, RngExt};

use crate::fleet::MonoMs;

/// Why an attempt is to be tried again.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum RetryReason {
    /// The worker proved that it had no slot.
    WorkerBusy,
    /// The worker proved that it refused for draining or leaving.
    WorkerDraining,
    /// The attempt came to the worker after the last moment at which it may start.
    WorkerLate,
    /// The worker proved that the size is more than it has.
    WorkerTooSmall,
    /// No connection could be made, so nothing was sent.
    Unreachable,
    /// The outcome is unknown and the request is idempotent.
    OutcomeUnknown,
    /// The task failed and the request is idempotent.
    TaskFailed,
}

impl RetryReason {
    /// Returns whether the attempt is proved not to have started.
    pub fn is_not_started(self) -> bool {
        !matches!(self, Self::OutcomeUnknown | Self::TaskFailed)
    }
}

/// Why an attempt is not tried again.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
)]
#[strum(serialize_all = "snake_case")]
pub enum StopReason {
    /// The request may have run and is not idempotent.
    MayHaveRun,
    /// The request was tried as often as allowed.
    AttemptsSpent,
    /// The budget of retries is spent.
    BudgetSpent,
    /// A further attempt could not end by the deadline.
    DeadlineTooNear,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again after this time.
    After {
        /// Time to wait, in milliseconds.
        delay_ms: u64,
    },
    /// Answer now.
    Stop(StopReason),
}

/// A failed attempt, as far as the decision needs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Why it failed.
    pub reason: RetryReason,
    /// Attempts made so far, this one included.
    pub attempts_count: u32,
    /// Whether the request is idempotent.
    pub is_idempotent: bool,
    /// Last moment at which a further attempt is worth starting.
    pub latest_start_ms: MonoMs,
}

/// Settings of retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetrySettings {
    /// Attempts for one request at most, the first included.
    pub attempts_max_count: u32,
    /// Retries earned by each success, in thousandths.
    pub earned_permille: u32,
    /// Retries that can be saved up.
    pub tokens_max_count: u32,
    /// Longest back-off before the first retry.
    pub backoff_first_ms: u64,
    /// Longest back-off of all.
    pub backoff_max_ms: u64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            attempts_max_count: 4,
            earned_permille: 200,
            tokens_max_count: 100,
            backoff_first_ms: 20,
            backoff_max_ms: 2_000,
        }
    }
}

/// The budget of retries of one entry and pool: a token bucket filled by successes.
///
/// The engine calls [`RetryBudget::succeeded`] for each request that ran to its end,
/// [`RetryBudget::decide`] after each failed attempt, and [`RetryBudget::set_pressure`] whenever
/// the pressure changes (waiting requests over the most that may wait is a good measure).
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    saved: f64,
    pressure_permille: u32,
    retried: IndexMap<RetryReason, u64>,
    stopped: IndexMap<StopReason, u64>,
}

impl RetryBudget {
    /// Makes a budget that is full.
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            saved: f64::from(settings.tokens_max_count),
            pressure_permille: 0,
            retried: IndexMap::new(),
            stopped: IndexMap::new(),
        }
    }

    /// Sets how overloaded the pool is, from 0 (none) to 1000 (nothing more fits). Both what a
    /// success earns and what can be saved shrink in proportion.
    pub fn set_pressure(&mut self, pressure_permille: u32) {
        self.pressure_permille = pressure_permille.min(1_000);
        self.saved = self.saved.min(self.saved_max());
    }

    /// Earns the part of a retry that a success is worth.
    pub fn succeeded(&mut self) {
        let earned = f64::from(self.settings.earned_permille) / 1_000.0 * self.slack();
        self.saved = (self.saved + earned).min(self.saved_max());
    }

    /// Decides what to do after a failed attempt and spends the budget if it is to be retried.
    pub fn decide<R: Rng>(
        &mut self,
        now_ms: MonoMs,
        attempt: &FailedAttempt,
        rng: &mut R,
    ) -> RetryDecision {
        let delay_ms = self.backoff_ms(attempt.attempts_count, rng);
        let stop = match attempt {
            attempt if !attempt.reason.is_not_started() && !attempt.is_idempotent => {
                Some(StopReason::MayHaveRun)
            }
            attempt if attempt.attempts_count >= self.settings.attempts_max_count => {
                Some(StopReason::AttemptsSpent)
            }
            attempt if now_ms + delay_ms > attempt.latest_start_ms => {
                Some(StopReason::DeadlineTooNear)
            }
            _ if self.saved < 1.0 => Some(StopReason::BudgetSpent),
            _ => None,
        };
        match stop {
            Some(stop) => {
                *self.stopped.entry(stop).or_insert(0) += 1;
                RetryDecision::Stop(stop)
            }
            None => {
                self.saved -= 1.0;
                *self.retried.entry(attempt.reason).or_insert(0) += 1;
                RetryDecision::After { delay_ms }
            }
        }
    }

    /// Counts an attempt that a sound worker turned away. It costs no budget.
    pub fn count_unbudgeted_retry(&mut self, reason: RetryReason) {
        *self.retried.entry(reason).or_insert(0) += 1;
    }

    /// Returns how many retries were made, by reason.
    pub fn retried_count(&self) -> &IndexMap<RetryReason, u64> {
        &self.retried
    }

    /// Returns how many attempts were not tried again, by reason.
    pub fn stopped_count(&self) -> &IndexMap<StopReason, u64> {
        &self.stopped
    }

    /// Returns how many retries can be made now.
    pub fn saved_count(&self) -> u64 {
        self.saved as u64
    }

    fn slack(&self) -> f64 {
        1.0 - f64::from(self.pressure_permille) / 1_000.0
    }

    fn saved_max(&self) -> f64 {
        f64::from(self.settings.tokens_max_count) * self.slack()
    }

    /// Full jitter: anything from nothing to the exponentially growing bound.
    fn backoff_ms<R: Rng>(&self, attempts_count: u32, rng: &mut R) -> u64 {
        let doublings = attempts_count.saturating_sub(1).min(20);
        let bound_ms = self
            .settings
            .backoff_first_ms
            .saturating_mul(1 << doublings)
            .min(self.settings.backoff_max_ms);
        rng.random_range(0..=bound_ms)
    }
}
