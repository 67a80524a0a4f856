//! Outcomes of attempts: records what they show about the worker, and ends, requeues or retries the
//! request.

use crate::entry::calls::RETRY_AFTER_MS;

use uuid::Uuid;

use crate::{
    entry::{
        engine::Engine,
        event::AttemptKey,
        requests::{Attempt, PastAttempts, Stage},
    },
    error::ErrorKind,
    fleet::TeamName,
    ledger::{ClaimState, SeatChange},
    policy::{
        health::{self, Outcome},
        keys::RequestKey,
        retry::{FailedAttempt, RetryDecision, RetryReason, StopReason},
    },
    ports::{NotStarted, TaskStop, WorkerOutcome},
};

impl Engine {
    /// Handles the end of an attempt.
    pub(crate) fn end_attempt(&mut self, key: AttemptKey, outcome: WorkerOutcome) {
        let Some(attempt) = self.requests.end(key) else {
            self.counts.late_outcomes_count += 1;
            return;
        };
        self.record_outcome(&attempt, &outcome);
        match &outcome {
            // The task may still be running, so it occupies its slot until its lease has ended.
            WorkerOutcome::Unknown(_) => self.requests.track_unresolved(key, attempt.clone()),
            WorkerOutcome::Ran { .. }
            | WorkerOutcome::NotStarted(_)
            | WorkerOutcome::Stopped(_) => self.release(&attempt),
        }
        let is_current = self
            .requests
            .get(attempt.request)
            .is_some_and(|request| request.stage == Stage::Running(key));
        match is_current {
            true => self.end_or_retry(&attempt, outcome),
            false => self.end_orphan(&attempt, &outcome),
        }
    }

    pub(crate) fn record_outcome(&mut self, attempt: &Attempt, outcome: &WorkerOutcome) {
        let now_ms = self.now.mono_ms;
        // Both can occur without any answer from the worker.
        let is_without_answer = matches!(
            outcome,
            WorkerOutcome::NotStarted(NotStarted::Unreachable | NotStarted::Late)
        );
        if outcome.has_ended() && !is_without_answer {
            self.record_worker_answer(&attempt.instance);
        }
        let seen = match outcome {
            WorkerOutcome::Ran {
                is_success: true, ..
            } => Outcome::Succeeded,
            WorkerOutcome::Ran { .. } => Outcome::Failed,
            // A cancellation says nothing about the worker.
            WorkerOutcome::Stopped(TaskStop::Cancelled) => return,
            WorkerOutcome::Stopped(TaskStop::LeaseLapsed) => Outcome::Failed,
            WorkerOutcome::Stopped(TaskStop::Killed) | WorkerOutcome::Unknown(_) => Outcome::Silent,
            WorkerOutcome::NotStarted(NotStarted::Unreachable) => Outcome::Unreachable,
            WorkerOutcome::NotStarted(NotStarted::Busy) => {
                self.placement.refused_busy(now_ms, attempt.worker);
                return;
            }
            WorkerOutcome::NotStarted(NotStarted::Draining) => {
                self.handle_draining_refusal(&attempt.instance);
                return;
            }
            WorkerOutcome::NotStarted(NotStarted::WrongIncarnation) => {
                self.back_off_worker(&attempt.instance);
                return;
            }
            WorkerOutcome::NotStarted(NotStarted::Late | NotStarted::TooLarge) => return,
        };
        if seen == Outcome::Succeeded {
            let run_ms = now_ms.saturating_sub(attempt.started_ms);
            self.retry.succeeded();
            if let Some(request) = self.requests.get(attempt.request) {
                let queue = request.waiting.queue;
                self.wait.observe_run(attempt.team_slot, queue, run_ms);
            }
        }
        let observed = health::Attempt {
            worker: attempt.worker,
            work: attempt.work,
            started_ms: attempt.started_ms,
            outcome: seen,
        };
        if let Some(change) = self.health.observe(now_ms, &observed) {
            self.apply_access(change.worker, change.access);
        }
        if matches!(seen, Outcome::Silent | Outcome::Unreachable) {
            self.probe(&attempt.instance);
        }
    }

    /// Ends or retries the request of an attempt.
    pub(crate) fn end_or_retry(&mut self, attempt: &Attempt, outcome: WorkerOutcome) {
        let key = attempt.request;
        self.avoid_worker_of(attempt);
        match outcome {
            WorkerOutcome::Ran {
                is_success: true,
                body,
            } => self.finish_ran(key, attempt, body),
            WorkerOutcome::Ran { body, .. } => {
                let is_bad_work = self.health.has_failed_everywhere(attempt.work);
                match is_bad_work || !self.is_idempotent(key) {
                    true => self.finish_failed(key, attempt, body),
                    false if self.schedule_retry(key, RetryReason::TaskFailed) => {}
                    false => self.finish_failed(key, attempt, body),
                }
            }
            WorkerOutcome::NotStarted(
                reason @ (NotStarted::Busy | NotStarted::Draining | NotStarted::WrongIncarnation),
            ) => self.requeue(key, retry_reason(reason)),
            WorkerOutcome::NotStarted(reason) => {
                if !self.schedule_retry(key, retry_reason(reason)) {
                    let kind = match reason {
                        NotStarted::TooLarge => ErrorKind::CanNeverRun,
                        _ => ErrorKind::GivenUp,
                    };
                    let retry_after_ms = self.jittered_ms(RETRY_AFTER_MS);
                    self.finish_not_run(key, kind, retry_after_ms);
                }
            }
            WorkerOutcome::Stopped(_) | WorkerOutcome::Unknown(_) => {
                if !self.schedule_retry(key, RetryReason::OutcomeUnknown) {
                    self.finish_unknown(key, ErrorKind::WorkerLost);
                }
            }
        }
    }

    pub(crate) fn is_idempotent(&self, key: RequestKey) -> bool {
        self.requests
            .get(key)
            .is_some_and(|request| request.is_idempotent)
    }

    /// Requeues a request that a healthy worker refused. Entries do not see each other's attempts,
    /// so refusals are common on a full pool and say nothing about the request: they count neither
    /// against the request's attempts nor against the retry budget. The request waits in the queue,
    /// where it is given up early if its time runs out. The worker gets no new work for a short
    /// time.
    pub(crate) fn requeue(&mut self, key: RequestKey, reason: RetryReason) {
        let now_ms = self.now.mono_ms;
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.attempts_count = request.attempts_count.saturating_sub(1);
        request.stage = Stage::Waiting;
        let waiting = request.waiting.clone();
        self.retry.count_unbudgeted_retry(reason);
        self.wait.put_back(now_ms, waiting);
    }

    /// Keeps the retry of a request off the worker on which it failed, while there are others.
    fn avoid_worker_of(&mut self, attempt: &Attempt) {
        if let Some(request) = self.requests.get_mut(attempt.request) {
            request.waiting.failed_on = Some(attempt.worker);
        }
    }

    /// Schedules another attempt after a backoff, if one is allowed; returns whether it is.
    pub(crate) fn schedule_retry(&mut self, key: RequestKey, reason: RetryReason) -> bool {
        let now_ms = self.now.mono_ms;
        let Some(request) = self.requests.get_mut(key) else {
            return false;
        };
        let failed = FailedAttempt {
            reason,
            attempts_count: request.attempts_count,
            is_idempotent: request.is_idempotent,
            latest_start_ms: request.waiting.deadline_ms,
        };
        match self.retry.decide(now_ms, &failed, &mut self.rng) {
            RetryDecision::After { delay_ms } => {
                request.past_attempts = request.past_attempts.max(past_attempts_of(reason));
                request.stage = Stage::BackingOff;
                self.requests.back_off(key, now_ms + delay_ms);
                true
            }
            RetryDecision::Stop(
                StopReason::MayHaveRun
                | StopReason::AttemptsSpent
                | StopReason::BudgetSpent
                | StopReason::DeadlineTooNear,
            ) => false,
        }
    }

    /// Records the outcome of an attempt whose request has already been answered.
    pub(crate) fn end_orphan(&mut self, attempt: &Attempt, outcome: &WorkerOutcome) {
        self.counts.late_outcomes_count += 1;
        let state = match outcome {
            WorkerOutcome::Ran { .. } => ClaimState::Ran,
            WorkerOutcome::NotStarted(_) => ClaimState::NotRun,
            WorkerOutcome::Stopped(_) | WorkerOutcome::Unknown(_) => ClaimState::Unknown,
        };
        if let Some((team, request_id)) = self.orphan_claims.remove(&attempt.attempt_id) {
            self.end_claim(&team, &request_id, state);
        }
    }

    pub(crate) fn end_claim(&mut self, team: &TeamName, request_id: &Uuid, state: ClaimState) {
        self.propose(SeatChange::ClaimEnd {
            team: team.clone(),
            request_id: *request_id,
            state,
        });
    }
}

pub(crate) fn retry_reason(reason: NotStarted) -> RetryReason {
    match reason {
        NotStarted::Busy => RetryReason::WorkerBusy,
        NotStarted::Draining | NotStarted::WrongIncarnation => RetryReason::WorkerDraining,
        NotStarted::Late => RetryReason::WorkerLate,
        NotStarted::TooLarge => RetryReason::WorkerTooSmall,
        NotStarted::Unreachable => RetryReason::Unreachable,
    }
}

pub(crate) fn past_attempts_of(reason: RetryReason) -> PastAttempts {
    match reason {
        RetryReason::OutcomeUnknown => PastAttempts::Unknown,
        RetryReason::TaskFailed => PastAttempts::Failed,
        _ => PastAttempts::NotRun,
    }
}
