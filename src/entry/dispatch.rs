//! From an admitted call to its answer: claims, the queue, attempts on workers and retries. Each act
//! that a promise hangs on is checked again right before it is done.

use std::{collections::HashMap, sync::Arc};

use indexmap::IndexMap;
use smol_str::SmolStr;
use uuid::Uuid;

use crate::{
    callers::{CallId, CallerAnswer, CallerRequest, Cancel, RanOn},
    entry::{
        admission::{self, Admitted, Refused, Standing},
        engine::Engine,
        event::{attempt_id, Action, AttemptKey},
        gossip::{Gossip, GossipUsage, PoolLoad},
        requests::{Attempt, Origin, Past, Request, Stage},
    },
    error::ErrorKind,
    fleet::{PoolName, TeamName, UnixMs},
    ledger::{ClaimState, SeatChange, Verdict},
    policy::{
        health::{self, Outcome, WorkKey},
        keys::{PeerKey, PoolKey, QueueKey, RequestKey, TeamKey, WorkerKey},
        lane::Waiting,
        refusal::RefusalReason,
        retry::{FailedAttempt, RetryDecision, RetryReason, StopReason},
        share::{TeamSlot, UsageRow},
    },
    ports::{NotStarted, TaskStop, WorkerOutcome, WorkerRequest},
};

/// Time after which a caller may come back when nothing better is known, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Time beyond a request's deadline for which its task's lease runs, in milliseconds.
const LEASE_SLACK_MS: u64 = 100;

/// Attempts started in one step at most, so that one step stays short.
const STARTS_MAX_COUNT: usize = 256;

impl Request {
    /// Returns whether the request waits for its next attempt.
    pub(crate) fn is_waiting(&self) -> bool {
        matches!(self.stage, Stage::Waiting | Stage::BackingOff)
    }
}

impl Engine {
    /// Takes a call.
    pub(crate) fn take_call(&mut self, call_id: CallId, request: CallerRequest) {
        self.counts.calls_count += 1;
        let admitted = admission::admit(
            self.now,
            &self.ledger,
            &self.withdrawn,
            self.standing(),
            &request,
        );
        match admitted {
            Err((kind, detail)) => {
                let retry_after_ms = self.jittered_ms(RETRY_AFTER_MS);
                self.refuse(call_id, kind, retry_after_ms, &detail);
            }
            Ok(admitted) if request.is_for_later => {
                self.submit_job(call_id, &request, &admitted);
            }
            Ok(admitted) => self.take_request(call_id, request, admitted),
        }
    }

    /// Returns the team of a key that comes without work; empty without a key.
    ///
    /// An entry that cannot know of a withdrawal answers nothing to a key.
    pub(crate) fn team_of(&self, key: Option<&str>) -> Result<TeamName, Refused> {
        match key {
            None => Ok(TeamName::default()),
            Some(_) if !self.is_ready() => Err((ErrorKind::EntryNotReady, SmolStr::default())),
            Some(_) if !self.standing().is_config_fresh => {
                Err((ErrorKind::ConfigurationStale, SmolStr::default()))
            }
            Some(key) => admission::team_of_key(&self.ledger, &self.withdrawn, key),
        }
    }

    pub(crate) fn standing(&self) -> Standing {
        let now_ms = self.now.mono_ms;
        let max_age_ms = self.settings.config_stale_max_ms;
        Standing {
            is_draining: self.is_draining,
            is_ready: self.is_ready(),
            is_config_fresh: self.contact.is_config_fresh(
                now_ms,
                max_age_ms,
                &self.ledger,
                &self.seat,
            ),
            is_lease_valid: self.lease.is_valid(now_ms),
            is_log_fresh: self.contact.is_log_fresh(now_ms, max_age_ms),
        }
    }

    /// Returns a time around `base_ms` that differs from call to call.
    pub(crate) fn jittered_ms(&mut self, base_ms: u64) -> u64 {
        base_ms / 2 + rand::RngExt::random_range(&mut self.rng, 0..=base_ms)
    }

    fn take_request(&mut self, call_id: CallId, call: CallerRequest, admitted: Admitted) {
        let is_in_flight = self
            .requests
            .find(&admitted.team, &call.request_id)
            .is_some();
        if is_in_flight {
            let retry_after_ms = self.jittered_ms(RETRY_AFTER_MS);
            self.refuse(call_id, ErrorKind::DuplicateInFlight, retry_after_ms, "");
            return;
        }
        let key = self.requests.next_key();
        let waiting = self.waiting_of(key, &call, &admitted);
        let request = Request {
            origin: Origin::Call(call_id),
            request_id: call.request_id,
            claim_id: admitted.claim_id,
            team: admitted.team,
            queue: call.queue,
            is_idempotent: call.is_idempotent,
            size: call.size,
            size_max: admitted.size_max,
            body: call.body,
            waiting,
            stage: Stage::Claiming,
            attempts_count: 0,
            past: Past::default(),
            is_announced: true,
        };
        self.admit_request(key, request);
    }

    /// Takes a request on, after its claim if it needs one.
    pub(crate) fn admit_request(&mut self, key: RequestKey, request: Request) {
        let claim = request
            .claim_id
            .filter(|_| matches!(request.origin, Origin::Call(_)))
            .map(|request_id| SeatChange::Claim {
                team: request.team.clone(),
                request_id,
            });
        self.requests.insert(key, request);
        match claim.map(|claim| self.propose(claim)) {
            None => self.push_waiting(key),
            Some(true) => {}
            Some(false) => self.finish_not_run(key, ErrorKind::QueueFull, RETRY_AFTER_MS),
        }
    }

    fn waiting_of(
        &mut self,
        key: RequestKey,
        call: &CallerRequest,
        admitted: &Admitted,
    ) -> Waiting {
        let now_ms = self.now.mono_ms;
        Waiting {
            key,
            team: self.team_slot(&admitted.team),
            queue: self.queue_key(&call.queue),
            pools: self.pools_of(&call.queue),
            size: call.size,
            enqueued_ms: now_ms,
            deadline_ms: now_ms + call.deadline_ms,
            is_urgent: admitted.is_urgent,
            declared_run_ms: call.declared_run_ms,
        }
    }

    pub(crate) fn team_slot(&mut self, team: &TeamName) -> TeamSlot {
        match team.is_empty() {
            true => None,
            false => Some(TeamKey(self.teams.insert_full(team.clone()).0 as u32)),
        }
    }

    pub(crate) fn queue_key(&mut self, queue: &SmolStr) -> QueueKey {
        QueueKey(self.queues.insert_full(queue.clone()).0 as u16)
    }

    pub(crate) fn pools_of(&self, queue: &str) -> Arc<[PoolKey]> {
        let mut queues = self.ledger.lists.entitlements.queues.iter();
        let pools = queues
            .find(|row| row.name == queue)
            .map(|row| row.pools.as_slice())
            .unwrap_or_default();
        pools
            .iter()
            .filter_map(|pool| self.ledger.instances.pool_key(pool))
            .collect()
    }

    /// Takes in the verdict on a claim.
    pub(crate) fn take_claim(&mut self, team: &TeamName, request_id: &Uuid, verdict: &Verdict) {
        let text = SmolStr::new(request_id.hyphenated().to_string());
        let key = self.find_claiming(team, &text, request_id);
        match (key, verdict) {
            (Some(key), Verdict::Accepted) => self.push_waiting(key),
            // Nobody waits for it any more, so it is never dispatched.
            (None, Verdict::Accepted) => self.end_claim(team, request_id, ClaimState::NotRun),
            (Some(key), _) => {
                let kind = admission::claimed(&self.ledger, team, request_id)
                    .unwrap_or(ErrorKind::StaleRequestId);
                self.finish_refused(key, kind, RETRY_AFTER_MS);
            }
            (None, _) => {}
        }
    }

    fn find_claiming(
        &self,
        team: &TeamName,
        text: &SmolStr,
        request_id: &Uuid,
    ) -> Option<RequestKey> {
        // The caller may have written the id in another form of the same UUID.
        let found = self.requests.find(team, text).or_else(|| {
            let is_it = |request: &Request| {
                request.team == *team && request.claim_id.as_ref() == Some(request_id)
            };
            let mut rows = self.requests.iter();
            rows.find(|(_, request)| is_it(request)).map(|(key, _)| key)
        })?;
        let request = self.requests.get(found)?;
        (request.stage == Stage::Claiming).then_some(found)
    }

    /// Drops what was only claimed under a seat that is lost; its claims are no longer this
    /// entry's to use.
    pub(crate) fn drop_claims_of_lost_seat(&mut self) {
        let keys: Vec<RequestKey> = self
            .requests
            .iter()
            .filter(|(_, request)| request.claim_id.is_some())
            .filter(|(_, request)| !matches!(request.stage, Stage::Running(_)))
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            self.finish_not_run(key, ErrorKind::SeatLapsed, RETRY_AFTER_MS);
        }
    }

    /// Puts a request into the queue, or answers it at once if it cannot be served.
    pub(crate) fn push_waiting(&mut self, key: RequestKey) {
        let now_ms = self.now.mono_ms;
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.stage = Stage::Waiting;
        let (waiting, size_max) = (request.waiting.clone(), request.size_max);
        match self.wait.push(now_ms, waiting, &size_max, &self.usage) {
            Ok(()) => {}
            Err(refusal) => {
                let retry_after_ms = refusal.retry_after_ms.unwrap_or(RETRY_AFTER_MS);
                self.finish_not_run(key, kind_of(refusal.reason), retry_after_ms);
            }
        }
    }

    /// Looks after deadlines, back-offs and attempts that are over.
    pub(crate) fn poll_requests(&mut self) {
        let now_ms = self.now.mono_ms;
        for key in self.requests.overdue(now_ms) {
            self.miss_deadline(key);
        }
        for given_up in self.wait.expire(now_ms, &self.usage) {
            self.finish_not_run(given_up.key, ErrorKind::GivenUp, given_up.retry_after_ms);
        }
        for key in self.requests.backed_off(now_ms) {
            self.resume(key);
        }
        for attempt in self.requests.over(now_ms) {
            self.release(&attempt);
        }
        let waiting_max = self.settings.queue.waiting_max_count.max(1);
        let pressure_permille = self.wait.len() * 1_000 / waiting_max;
        self.retry.set_pressure(pressure_permille as u32);
    }

    fn resume(&mut self, key: RequestKey) {
        let now_ms = self.now.mono_ms;
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        if request.stage == Stage::BackingOff {
            request.stage = Stage::Waiting;
            let waiting = request.waiting.clone();
            self.wait.put_back(now_ms, waiting);
        }
    }

    fn miss_deadline(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        match request.stage {
            Stage::Running(_) => {
                // The attempt goes on until its lease ends; its outcome ends the claim.
                self.finish_unknown(key, ErrorKind::DeadlinePassedWhileRunning);
            }
            Stage::Claiming | Stage::Waiting | Stage::BackingOff => {
                let retry_after_ms = self.jittered_ms(RETRY_AFTER_MS);
                self.finish_not_run(key, ErrorKind::DeadlinePassed, retry_after_ms);
            }
        }
    }

    /// Starts whatever may start now.
    pub(crate) fn pump(&mut self) {
        if self.wait.is_empty() || !self.standing().is_config_fresh {
            return;
        }
        let pools_count = self.ledger.instances.pools().count();
        let mut starts_count = 0;
        for index in 0..pools_count {
            let pool = PoolKey(index as u16);
            while starts_count < STARTS_MAX_COUNT && self.wait.has_work_for(pool) {
                let Some((waiting, worker)) = self.next_start(pool) else {
                    break;
                };
                starts_count += 1;
                self.start(pool, waiting, worker);
            }
        }
    }

    fn next_start(&mut self, pool: PoolKey) -> Option<(Waiting, WorkerKey)> {
        let now_ms = self.now.mono_ms;
        let mut chosen = None;
        let Self {
            wait,
            usage,
            placement,
            rng,
            escrow,
            ledger,
            seat,
            teams,
            lease,
            ..
        } = self;
        let is_lease_valid = lease.is_valid(now_ms);
        let mut can_start = |waiting: &Waiting| {
            // Moves and stops wait for every seat, so nothing starts without one.
            let has_permit = match waiting.team {
                _ if !is_lease_valid => false,
                None => true,
                Some(TeamKey(team)) => teams
                    .get_index(team as usize)
                    .is_some_and(|team| escrow.can_start(ledger, seat, team)),
            };
            chosen = match has_permit {
                true => placement.choose(now_ms, pool, &waiting.size, rng),
                false => None,
            };
            chosen.is_some()
        };
        let waiting = wait.next(now_ms, pool, usage, &mut can_start)?;
        Some((waiting, chosen?))
    }

    fn start(&mut self, pool: PoolKey, waiting: Waiting, worker: WorkerKey) {
        let key = waiting.key;
        let attempt_key = self.requests.next_attempt();
        let Some(request) = self.requests.get(key) else {
            return;
        };
        if !request.is_announced {
            self.announce_job(key);
            return;
        }
        let now_ms = self.now.mono_ms;
        let left_ms = request.waiting.deadline_ms.saturating_sub(now_ms);
        // Nothing guarded by the lease starts after its end, however long the process was paused.
        let lease_left_ms = match request.team.is_empty() {
            true => u64::MAX,
            false => self.lease.left_ms(now_ms),
        };
        let start_window_ms = self
            .settings
            .start_window_ms
            .min(left_ms)
            .min(lease_left_ms);
        let lease_max_ms = self.lease_max_ms();
        let lease_ms = (left_ms + LEASE_SLACK_MS).min(lease_max_ms);
        let over_ms = now_ms + start_window_ms + lease_ms + self.settings.clock_skew_max_ms;
        let Some((name, found)) = self.workers.by_key(worker) else {
            return;
        };
        let attempt = Attempt {
            request: key,
            attempt_id: attempt_id(&self.seat, attempt_key),
            worker,
            instance: name.clone(),
            address: found.address.clone(),
            pool,
            pool_name: self.pool_name(pool),
            team: request.team.clone(),
            team_slot: waiting.team,
            size: waiting.size,
            work: work_key(waiting.team, waiting.queue, &request.request_id),
            seat: self.seat.clone(),
            started_ms: now_ms,
            over_ms,
            decided_offset: self.ledger.next_offset,
        };
        let worker_request = WorkerRequest {
            attempt_id: attempt.attempt_id.clone(),
            incarnation: found.incarnation.clone(),
            request_id: request.request_id.clone(),
            team: request.team.clone(),
            queue: request.queue.clone(),
            start_before_unix_ms: self.now.unix_ms + start_window_ms,
            lease_ms,
            size: request.size,
            body: request.body.clone(),
        };
        self.actions.push(Action::Run {
            attempt: attempt_key,
            address: attempt.address.clone(),
            request: Box::new(worker_request),
            timeout_ms: start_window_ms + lease_ms,
            queued_ms: now_ms.saturating_sub(waiting.enqueued_ms),
        });
        self.occupy(&attempt);
        self.requests.start(attempt_key, attempt);
        self.counts.attempts_count += 1;
        if let Some(request) = self.requests.get_mut(key) {
            request.stage = Stage::Running(attempt_key);
            request.attempts_count += 1;
        }
    }

    /// Returns the longest task lease that ends before a seat's parts are given to others.
    fn lease_max_ms(&self) -> u64 {
        let settings = &self.settings;
        let delays_ms = settings.start_window_ms + settings.clock_skew_max_ms;
        let of_protocol_ms = crate::ledger::RUN_MAX_MS.saturating_sub(delays_ms);
        settings.run_max_ms.min(of_protocol_ms)
    }

    fn pool_name(&self, pool: PoolKey) -> SmolStr {
        let name = self.ledger.instances.pool_name(pool);
        name.cloned().unwrap_or_default()
    }

    fn occupy(&mut self, attempt: &Attempt) {
        let now_ms = self.now.mono_ms;
        self.placement.started(attempt.worker, &attempt.size);
        self.usage
            .started(now_ms, attempt.team_slot, attempt.pool, &attempt.size);
        if !attempt.team.is_empty() {
            self.escrow.started(&attempt.team);
        }
    }

    fn release(&mut self, attempt: &Attempt) {
        let now_ms = self.now.mono_ms;
        self.placement.ended(attempt.worker, &attempt.size);
        self.usage
            .ended(now_ms, attempt.team_slot, attempt.pool, &attempt.size);
        if !attempt.team.is_empty() && attempt.seat == self.seat {
            self.escrow.ended(&attempt.team);
        }
    }

    /// Takes in how an attempt ended.
    pub(crate) fn end_attempt(&mut self, key: AttemptKey, outcome: WorkerOutcome) {
        let Some(attempt) = self.requests.end(key) else {
            self.counts.late_outcomes_count += 1;
            return;
        };
        self.observe(&attempt, &outcome);
        match &outcome {
            // The task may still run, so it keeps its permit until its lease has ended.
            WorkerOutcome::Unknown(_) => self.requests.haunt(key, attempt.clone()),
            WorkerOutcome::Ran { .. }
            | WorkerOutcome::NotStarted(_)
            | WorkerOutcome::Stopped(_) => self.release(&attempt),
        }
        let is_current = self
            .requests
            .get(attempt.request)
            .is_some_and(|request| request.stage == Stage::Running(key));
        match is_current {
            true => self.settle(&attempt, outcome),
            false => self.end_orphan(&attempt, &outcome),
        }
    }

    fn observe(&mut self, attempt: &Attempt, outcome: &WorkerOutcome) {
        let now_ms = self.now.mono_ms;
        // Both may come about without a word from the worker.
        let is_own_word = matches!(
            outcome,
            WorkerOutcome::NotStarted(NotStarted::Unreachable | NotStarted::Late)
        );
        if outcome.has_ended() && !is_own_word {
            self.heard_worker(&attempt.instance);
        }
        let seen = match outcome {
            WorkerOutcome::Ran {
                is_success: true, ..
            } => Outcome::Succeeded,
            WorkerOutcome::Ran { .. } => Outcome::Failed,
            // The caller's wish says nothing about the worker.
            WorkerOutcome::Stopped(TaskStop::Cancelled) => return,
            WorkerOutcome::Stopped(TaskStop::LeaseLapsed) => Outcome::Failed,
            WorkerOutcome::Stopped(TaskStop::Killed) | WorkerOutcome::Unknown(_) => Outcome::Silent,
            WorkerOutcome::NotStarted(NotStarted::Unreachable) => Outcome::Unreachable,
            WorkerOutcome::NotStarted(NotStarted::Busy) => {
                self.placement.refused_busy(now_ms, attempt.worker);
                return;
            }
            WorkerOutcome::NotStarted(NotStarted::Draining) => {
                self.take_draining(&attempt.instance);
                return;
            }
            WorkerOutcome::NotStarted(NotStarted::WrongIncarnation) => {
                self.hold_worker(&attempt.instance);
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

    /// Ends or retries the request that an attempt was for.
    fn settle(&mut self, attempt: &Attempt, outcome: WorkerOutcome) {
        let key = attempt.request;
        match outcome {
            WorkerOutcome::Ran {
                is_success: true,
                body,
            } => self.finish_ran(key, attempt, body),
            WorkerOutcome::Ran { body, .. } => {
                let is_bad_work = self.health.is_bad_work(attempt.work);
                match is_bad_work || !self.is_idempotent(key) {
                    true => self.finish_failed(key, attempt, body),
                    false if self.retry_later(key, RetryReason::TaskFailed) => {}
                    false => self.finish_failed(key, attempt, body),
                }
            }
            WorkerOutcome::NotStarted(
                reason @ (NotStarted::Busy | NotStarted::Draining | NotStarted::WrongIncarnation),
            ) => self.place_again(key, retry_reason(reason)),
            WorkerOutcome::NotStarted(reason) => {
                if !self.retry_later(key, retry_reason(reason)) {
                    let kind = match reason {
                        NotStarted::TooLarge => ErrorKind::CanNeverRun,
                        _ => ErrorKind::GivenUp,
                    };
                    let retry_after_ms = self.jittered_ms(RETRY_AFTER_MS);
                    self.finish_not_run(key, kind, retry_after_ms);
                }
            }
            WorkerOutcome::Stopped(_) | WorkerOutcome::Unknown(_) => {
                if !self.retry_later(key, RetryReason::OutcomeUnknown) {
                    self.finish_unknown(key, ErrorKind::WorkerLost);
                    self.end_orphan_claim(attempt, key, ClaimState::Unknown);
                }
            }
        }
    }

    fn is_idempotent(&self, key: RequestKey) -> bool {
        self.requests
            .get(key)
            .is_some_and(|request| request.is_idempotent)
    }

    /// Lets a request that a sound worker turned away wait for another place. Entries do not see
    /// each other's attempts, so this is common on a full pool and says nothing about the request:
    /// it costs neither the request's attempts nor the budget of retries. The request waits in the
    /// queue, where it is given up early if its time runs out; the worker is left alone for a moment.
    fn place_again(&mut self, key: RequestKey, reason: RetryReason) {
        let now_ms = self.now.mono_ms;
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.attempts_count = request.attempts_count.saturating_sub(1);
        request.stage = Stage::Waiting;
        let waiting = request.waiting.clone();
        self.retry.turned_away(reason);
        self.wait.put_back(now_ms, waiting);
    }

    /// Plans another attempt, if one is allowed; returns whether it is.
    fn retry_later(&mut self, key: RequestKey, reason: RetryReason) -> bool {
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
                request.past = request.past.max(past_of(reason));
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

    /// Records the outcome of an attempt whose request was answered before.
    fn end_orphan(&mut self, attempt: &Attempt, outcome: &WorkerOutcome) {
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

    fn end_orphan_claim(&mut self, attempt: &Attempt, _key: RequestKey, state: ClaimState) {
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

    // How requests end.

    fn finish_ran(&mut self, key: RequestKey, attempt: &Attempt, body: Arc<[u8]>) {
        let answer = CallerAnswer::done(self.settings.entry.clone(), ran_on(attempt), body);
        self.finish(key, answer, ClaimState::Ran);
    }

    fn finish_failed(&mut self, key: RequestKey, attempt: &Attempt, body: Arc<[u8]>) {
        let entry = self.settings.entry.clone();
        let mut answer = CallerAnswer::failed(entry, ErrorKind::TaskFailed, 0);
        answer.ran_on = Some(ran_on(attempt));
        answer.body = body;
        self.finish(key, answer, ClaimState::Ran);
    }

    /// Ends a request that has no attempt out, as not run unless an earlier attempt did run.
    pub(crate) fn finish_not_run(&mut self, key: RequestKey, kind: ErrorKind, retry_after_ms: u64) {
        self.wait.cancel(self.now.mono_ms, key);
        let entry = self.settings.entry.clone();
        match self.requests.get(key).map(|request| request.past) {
            Some(Past::Unknown) => self.finish_unknown(key, unknown_kind(kind)),
            Some(Past::Failed) => {
                let answer = CallerAnswer::failed(entry, ErrorKind::TaskFailed, 0);
                self.finish(key, answer, ClaimState::Ran);
            }
            Some(Past::NotRun) | None => {
                let answer = CallerAnswer::failed(entry, kind, retry_after_ms);
                self.finish(key, answer, ClaimState::NotRun);
            }
        }
    }

    /// Ends a request whose claim is somebody else's.
    fn finish_refused(&mut self, key: RequestKey, kind: ErrorKind, retry_after_ms: u64) {
        let Some(request) = self.requests.remove(key) else {
            return;
        };
        if let Origin::Call(call_id) = request.origin {
            self.refuse(call_id, kind, retry_after_ms, "");
        }
    }

    /// Ends a request whose attempt may have run or still runs.
    fn finish_unknown(&mut self, key: RequestKey, kind: ErrorKind) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let claim = request
            .claim_id
            .map(|request_id| (request.team.clone(), request_id));
        let attempt = match request.stage {
            Stage::Running(attempt) => self.requests.attempt(attempt),
            Stage::Claiming | Stage::Waiting | Stage::BackingOff => None,
        };
        let is_job = request.origin == Origin::Job;
        match (attempt, claim) {
            // The attempt is still out: its outcome, when it comes, ends the claim.
            (Some(attempt), Some(claim)) if !is_job => {
                let attempt_id = attempt.attempt_id.clone();
                self.orphan_claims.insert(attempt_id, claim);
            }
            (None, Some((team, request_id))) if !is_job => {
                self.end_claim(&team, &request_id, ClaimState::Unknown);
            }
            _ => {}
        }
        let answer = CallerAnswer::failed(self.settings.entry.clone(), kind, 0);
        let Some(request) = self.requests.remove(key) else {
            return;
        };
        match request.origin {
            Origin::Call(call_id) => self.answer(call_id, answer),
            Origin::Job => self.end_job(&request, &answer),
        }
    }

    fn finish(&mut self, key: RequestKey, answer: CallerAnswer, state: ClaimState) {
        let Some(request) = self.requests.remove(key) else {
            return;
        };
        match request.origin {
            Origin::Job => self.end_job(&request, &answer),
            Origin::Call(call_id) => {
                // A claim that was never folded is ended when its verdict comes.
                let is_folded = request.stage != Stage::Claiming;
                if let Some(request_id) = request.claim_id.filter(|_| is_folded) {
                    self.end_claim(&request.team, &request_id, state);
                }
                self.answer(call_id, answer);
            }
        }
    }

    // Cancellation.

    /// Cancels on a caller's behalf, here or at whichever peer has the request.
    pub(crate) fn cancel_for(&mut self, call_id: CallId, cancel: &Cancel) {
        let team = match self.team_of(cancel.key.as_deref()) {
            Ok(team) => team,
            Err((kind, detail)) => return self.refuse(call_id, kind, 0, &detail),
        };
        let entry = self.settings.entry.clone();
        if self.cancel_request(&team, &cancel.request_id) {
            let mut answer = CallerAnswer::accepted(entry);
            answer.outcome = crate::callers::CallerOutcome::Done;
            self.answer(call_id, answer);
            return;
        }
        self.actions.push(Action::RelayCancel {
            team,
            request_id: cancel.request_id.clone(),
        });
        self.answer(call_id, CallerAnswer::accepted(entry));
    }

    /// Cancels a request of this entry; returns whether there was one.
    pub(crate) fn cancel_request(&mut self, team: &TeamName, request_id: &SmolStr) -> bool {
        match self.requests.find(team, request_id) {
            Some(key) => {
                self.stop_request(key);
                true
            }
            None => false,
        }
    }

    /// Takes in that a caller went away before its answer.
    pub(crate) fn lose_caller(&mut self, call_id: CallId) {
        let Some(key) = self.requests.find_call(call_id) else {
            return;
        };
        let Some(request) = self.requests.get(key) else {
            return;
        };
        // Work that must run at most once is let finish, so that its outcome can be told.
        let is_let_run = matches!(request.stage, Stage::Running(_)) && !request.is_idempotent;
        if !is_let_run {
            self.stop_request(key);
        }
    }

    fn stop_request(&mut self, key: RequestKey) {
        let stage = self.requests.get(key).map(|request| request.stage);
        let running = match stage {
            Some(Stage::Running(attempt)) => self.requests.attempt(attempt),
            Some(_) | None => None,
        };
        match running {
            Some(attempt) => {
                self.actions.push(Action::CancelAttempt {
                    address: attempt.address.clone(),
                    attempt_id: attempt.attempt_id.clone(),
                });
                self.finish_unknown(key, ErrorKind::CancelledWhileRunning);
            }
            None => self.finish_not_run(key, ErrorKind::CancelledNotRun, 0),
        }
    }

    // Hints from and for peers.

    pub(crate) fn take_peer_usage(&mut self, peer: PeerKey, gossip: &Gossip) {
        let rows: Vec<UsageRow> = gossip
            .usage
            .iter()
            .filter_map(|row| {
                let pool = self.ledger.instances.pool_key(&row.pool)?;
                Some(UsageRow {
                    team: self.team_slot(&row.team),
                    pool,
                    running: row.running,
                    running_count: row.running_requests,
                    waiting_count: row.waiting_requests,
                })
            })
            .collect();
        self.usage.apply_peer_report(self.now.mono_ms, peer, rows);
    }

    /// Returns this entry's own requests by pool.
    pub(crate) fn pool_loads(&self) -> IndexMap<PoolName, PoolLoad> {
        let mut loads: IndexMap<PoolName, PoolLoad> = IndexMap::new();
        for attempt in self.requests.may_run() {
            let load = loads.entry(attempt.pool_name.clone()).or_default();
            load.running_requests += 1;
        }
        let waiting = self.requests.iter().map(|(_, request)| request);
        for request in waiting.filter(|request| request.is_waiting()) {
            let Some(pool) = request.waiting.pools.first() else {
                continue;
            };
            let load = loads.entry(self.pool_name(*pool)).or_default();
            load.waiting_requests += 1;
            load.waited_permille = load.waited_permille.max(self.waited_permille(request));
        }
        loads
    }

    /// Returns the part of its time to start that a request has waited, in thousandths.
    fn waited_permille(&self, request: &Request) -> u32 {
        let waiting = &request.waiting;
        let waited_ms = self.now.mono_ms.saturating_sub(waiting.enqueued_ms);
        let plan = self.ledger.lists.plan_of(&request.team);
        let start_ms = match plan.filter(|_| waiting.is_urgent) {
            Some(plan) => plan.start_target_ms,
            None => waiting.deadline_ms.saturating_sub(waiting.enqueued_ms),
        };
        let permille = waited_ms * 1_000 / start_ms.max(1);
        permille.min(1_000) as u32
    }

    /// Returns what to tell peers now.
    pub fn gossip(&self) -> Gossip {
        let usage = self
            .wait
            .report_rows(&self.usage)
            .into_iter()
            .map(|row| GossipUsage {
                team: row
                    .team
                    .and_then(|team| self.teams.get_index(team.0 as usize).cloned())
                    .unwrap_or_default(),
                pool: self.pool_name(row.pool),
                running: row.running,
                running_requests: row.running_count,
                waiting_requests: row.waiting_count,
            })
            .collect();
        Gossip {
            seat: self.seat.clone(),
            entry: self.settings.entry.clone(),
            peers_address: self.settings.peers_address.clone(),
            next_offset: self.ledger.next_offset,
            lists_version: self.ledger.lists_version,
            is_ready: self.is_serving(),
            is_draining: self.is_draining,
            is_list_stale: self.is_list_stale(),
            withdrawn: self.withdrawn.iter().cloned().collect(),
            demand: self.escrow.demand(self.now.mono_ms),
            pools: self.pool_loads(),
            usage,
        }
    }
}

/// Claims of answered requests whose attempt is still out, by attempt id.
pub(crate) type OrphanClaims = HashMap<SmolStr, (TeamName, Uuid)>;

fn ran_on(attempt: &Attempt) -> RanOn {
    RanOn {
        instance: attempt.instance.clone(),
        pool: attempt.pool_name.clone(),
        attempt_id: attempt.attempt_id.clone(),
    }
}

fn work_key(team: TeamSlot, queue: QueueKey, request_id: &str) -> WorkKey {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&team.map_or(u32::MAX, |team| team.0).to_le_bytes());
    hasher.update(&queue.0.to_le_bytes());
    hasher.update(request_id.as_bytes());
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    WorkKey(u64::from_le_bytes(bytes))
}

fn retry_reason(reason: NotStarted) -> RetryReason {
    match reason {
        NotStarted::Busy => RetryReason::WorkerBusy,
        NotStarted::Draining | NotStarted::WrongIncarnation => RetryReason::WorkerDraining,
        NotStarted::Late => RetryReason::WorkerLate,
        NotStarted::TooLarge => RetryReason::WorkerTooSmall,
        NotStarted::Unreachable => RetryReason::Unreachable,
    }
}

fn past_of(reason: RetryReason) -> Past {
    match reason {
        RetryReason::OutcomeUnknown => Past::Unknown,
        RetryReason::TaskFailed => Past::Failed,
        _ => Past::NotRun,
    }
}

/// Returns what to tell in place of `kind`, which says "not run", if an earlier attempt may have run.
fn unknown_kind(kind: ErrorKind) -> ErrorKind {
    match kind {
        ErrorKind::DeadlinePassed => ErrorKind::DeadlinePassedWhileRunning,
        ErrorKind::CancelledNotRun => ErrorKind::CancelledWhileRunning,
        _ => ErrorKind::WorkerLost,
    }
}

fn kind_of(reason: RefusalReason) -> ErrorKind {
    match reason {
        RefusalReason::QueueFull | RefusalReason::TeamQueueFull => ErrorKind::QueueFull,
        RefusalReason::DeadlineUnreachable => ErrorKind::DeadlineUnreachable,
        RefusalReason::DeadlinePassed => ErrorKind::DeadlinePassed,
        RefusalReason::TooLarge => ErrorKind::CanNeverRun,
        RefusalReason::NoPool => ErrorKind::NoWorker,
        RefusalReason::DuplicateKey => ErrorKind::DuplicateInFlight,
        RefusalReason::GivenUp => ErrorKind::GivenUp,
    }
}

/// Returns the wall-clock deadline of work accepted for later.
pub(crate) fn deadline_unix_ms(now_unix_ms: UnixMs, deadline_ms: u64) -> UnixMs {
    now_unix_ms.saturating_add(deadline_ms)
}
