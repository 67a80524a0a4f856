//! Retries: which attempts may be retried, and the budget that limits them.

use hawthornladder::policy::retry::{
    FailedAttempt, RetryBudget, RetryDecision, RetryReason, RetrySettings, StopReason,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn failed(reason: RetryReason, attempts_count: u32, is_idempotent: bool) -> FailedAttempt {
    FailedAttempt {
        reason,
        attempts_count,
        is_idempotent,
        latest_start_ms: 10_000,
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 64,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn retries_stay_within_the_budget_earned_by_successes(
        events in prop::collection::vec((any::<bool>(), 0u32..1_000), 1..2_000),
    ) {
        let settings = RetrySettings::default();
        let mut budget = RetryBudget::new(settings);
        let mut rng = ChaCha8Rng::seed_from_u64(3);
        let (mut successes, mut retries) = (0u64, 0u64);
        for (is_success, pressure_permille) in events {
            budget.set_pressure(pressure_permille);
            match is_success {
                true => {
                    budget.succeeded();
                    successes += 1;
                }
                false => {
                    let attempt = failed(RetryReason::WorkerBusy, 1, false);
                    let decision = budget.decide(0, &attempt, &mut rng);
                    retries += u64::from(matches!(decision, RetryDecision::After { .. }));
                }
            }
            let earned = successes * u64::from(settings.earned_permille) / 1_000;
            prop_assert!(retries <= u64::from(settings.tokens_max_count) + earned);
        }
    }
}

#[test]
fn a_request_that_may_have_run_is_retried_only_if_idempotent() {
    let mut budget = RetryBudget::new(RetrySettings::default());
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let stop = RetryDecision::Stop(StopReason::MayHaveRun);
    let unknown = failed(RetryReason::OutcomeUnknown, 1, false);
    assert_eq!(budget.decide(0, &unknown, &mut rng), stop);
    let idempotent = failed(RetryReason::OutcomeUnknown, 1, true);
    assert_ne!(budget.decide(0, &idempotent, &mut rng), stop);
    assert_eq!(budget.retried_count()[&RetryReason::OutcomeUnknown], 1);
    assert_eq!(budget.stopped_count()[&StopReason::MayHaveRun], 1);
}

#[test]
fn full_pressure_allows_no_retries() {
    let mut budget = RetryBudget::new(RetrySettings::default());
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    budget.set_pressure(1_000);
    budget.succeeded();
    let busy = failed(RetryReason::WorkerBusy, 1, true);
    let stop = RetryDecision::Stop(StopReason::BudgetSpent);
    assert_eq!(budget.decide(0, &busy, &mut rng), stop);
}

#[test]
fn attempts_and_deadline_limit_the_retries() {
    let mut budget = RetryBudget::new(RetrySettings::default());
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let spent = failed(RetryReason::WorkerBusy, 4, true);
    let stop = RetryDecision::Stop(StopReason::AttemptsSpent);
    assert_eq!(budget.decide(0, &spent, &mut rng), stop);
    let first = failed(RetryReason::WorkerBusy, 1, true);
    let stop = RetryDecision::Stop(StopReason::DeadlineTooNear);
    assert_eq!(budget.decide(10_001, &first, &mut rng), stop);
}
