//! Retries. An attempt is retried only if it is proved not started or the request is idempotent.
//!
//! Each retry waits for an exponential backoff with full jitter. All retries together stay within a
//! budget that successes fill and that shrinks under overload.

use indexmap::IndexMap;
use rand::{Rng, RngExt};

use crate::fleet::MonoMs;

/// Why an attempt is retried.
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
    /// The worker proved that it had no free slot.
    WorkerBusy,
    /// The worker proved that it refused because it is draining or leaving.
    WorkerDraining,
    /// The attempt reached the worker after its latest start time.
    WorkerLate,
    /// The worker proved that the size exceeds its resources.
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

/// Why an attempt is not retried.
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
    /// The request has reached its maximum number of attempts.
    AttemptsSpent,
    /// The retry budget is spent.
    BudgetSpent,
    /// A further attempt could not end by the deadline.
    DeadlineTooNear,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry after a delay.
    After {
        /// Delay in milliseconds.
        delay_ms: u64,
    },
    /// Do not retry; answer the caller now.
    Stop(StopReason),
}

/// The properties of a failed attempt on which the retry decision depends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Why it failed.
    pub reason: RetryReason,
    /// Attempts made so far, including this one.
    pub attempts_count: u32,
    /// Whether the request is idempotent.
    pub is_idempotent: bool,
    /// Latest time at which a further attempt is worth starting.
    pub latest_start_ms: MonoMs,
}

/// Settings of the retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetrySettings {
    /// Maximum attempts per request, including the first.
    pub attempts_max_count: u32,
    /// Part of a retry that each success adds to the budget, in thousandths.
    pub earned_permille: u32,
    /// Capacity of the budget in retries.
    pub tokens_max_count: u32,
    /// Longest backoff before the first retry, in milliseconds.
    pub backoff_first_ms: u64,
    /// Longest backoff before any retry, in milliseconds.
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

/// The retry budget of one entry: a token bucket that successes fill.
///
/// The engine calls [`RetryBudget::succeeded`] for each request that ran to its end,
/// [`RetryBudget::decide`] after each failed attempt, and [`RetryBudget::set_pressure`] whenever
/// the pressure changes. A good measure is the number of waiting requests over its maximum.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    tokens: f64,
    pressure_permille: u32,
    retried: IndexMap<RetryReason, u64>,
    stopped: IndexMap<StopReason, u64>,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            settings,
            tokens: f64::from(settings.tokens_max_count),
            pressure_permille: 0,
            retried: IndexMap::new(),
            stopped: IndexMap::new(),
        }
    }

    /// Sets the overload pressure, from 0 (none) to 1000 (no capacity left). The tokens that a
    /// success adds and the capacity of the budget shrink in proportion.
    pub fn set_pressure(&mut self, pressure_permille: u32) {
        self.pressure_permille = pressure_permille.min(1_000);
        self.tokens = self.tokens.min(self.tokens_max());
    }

    /// Adds the part of a token that a success earns.
    pub fn succeeded(&mut self) {
        let earned = f64::from(self.settings.earned_permille) / 1_000.0 * self.free_part();
        self.tokens = (self.tokens + earned).min(self.tokens_max());
    }

    /// Decides what to do after a failed attempt. A retry takes one token from the budget.
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
            _ if self.tokens < 1.0 => Some(StopReason::BudgetSpent),
            _ => None,
        };
        match stop {
            Some(stop) => {
                *self.stopped.entry(stop).or_insert(0) += 1;
                RetryDecision::Stop(stop)
            }
            None => {
                self.tokens -= 1.0;
                *self.retried.entry(attempt.reason).or_insert(0) += 1;
                RetryDecision::After { delay_ms }
            }
        }
    }

    /// Counts a retry of an attempt that a healthy worker refused. It takes no token.
    pub fn count_unbudgeted_retry(&mut self, reason: RetryReason) {
        *self.retried.entry(reason).or_insert(0) += 1;
    }

    /// Returns how many retries were made, by reason.
    pub fn retried_count(&self) -> &IndexMap<RetryReason, u64> {
        &self.retried
    }

    /// Returns how many attempts were not retried, by reason.
    pub fn stopped_count(&self) -> &IndexMap<StopReason, u64> {
        &self.stopped
    }

    /// Returns how many retries the budget allows now.
    pub fn tokens_count(&self) -> u64 {
        self.tokens as u64
    }

    /// Returns the part of the capacity that pressure leaves.
    fn free_part(&self) -> f64 {
        1.0 - f64::from(self.pressure_permille) / 1_000.0
    }

    fn tokens_max(&self) -> f64 {
        f64::from(self.settings.tokens_max_count) * self.free_part()
    }

    /// Returns a delay with full jitter, between zero and an exponentially growing bound.
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
