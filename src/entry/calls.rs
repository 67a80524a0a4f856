//! Calls of callers from admission to the queue: claims of request ids, deadlines and backoffs.

use smol_str::SmolStr;
use uuid::Uuid;

use crate::{
    callers::{CallId, CallerRequest},
    entry::{
        admission::{self, AdmissionState, Admitted, Refused},
        engine::Engine,
        requests::{Origin, PastAttempts, Request, Stage},
    },
    error::ErrorKind,
    fleet::TeamName,
    ledger::{ClaimState, SeatChange, Verdict},
    policy::{keys::RequestKey, lane::WaitingRequest, refusal::RefusalReason},
};

/// Default time after which a caller may retry, in milliseconds.
pub(crate) const RETRY_AFTER_MS: u64 = 1_000;

impl Engine {
    /// Handles a caller's request for work.
    pub(crate) fn handle_call(&mut self, call_id: CallId, request: CallerRequest) {
        self.counts.calls_count += 1;
        let admitted = admission::admit(
            self.now,
            &self.ledger,
            &self.withdrawn,
            self.admission_state(),
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
            Ok(admitted) => self.accept_request(call_id, request, admitted),
        }
    }

    /// Returns the team of the key of a cancel or fetch; empty if it has no key.
    ///
    /// # Errors
    ///
    /// A key is refused while this entry might not know of its withdrawal, and if it is unknown or
    /// withdrawn.
    pub(crate) fn team_of(&self, key: Option<&str>) -> Result<TeamName, Refused> {
        match key {
            None => Ok(TeamName::default()),
            Some(_) if !self.is_ready() => Err((ErrorKind::EntryNotReady, SmolStr::default())),
            Some(_) if !self.admission_state().is_config_fresh => {
                Err((ErrorKind::ConfigurationStale, SmolStr::default()))
            }
            Some(key) => admission::team_of_key(&self.ledger, &self.withdrawn, key),
        }
    }

    pub(crate) fn admission_state(&self) -> AdmissionState {
        let now_ms = self.now.mono_ms;
        let max_age_ms = self.settings.config_stale_max_ms;
        AdmissionState {
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

    /// Returns `base_ms` with random jitter: between half of it and one and a half times.
    pub(crate) fn jittered_ms(&mut self, base_ms: u64) -> u64 {
        base_ms / 2 + rand::RngExt::random_range(&mut self.rng, 0..=base_ms)
    }

    pub(crate) fn accept_request(
        &mut self,
        call_id: CallId,
        call: CallerRequest,
        admitted: Admitted,
    ) {
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
            past_attempts: PastAttempts::default(),
            is_start_persisted: true,
        };
        self.admit_request(key, request);
    }

    /// Holds a request and queues it, or first proposes its claim if it needs one.
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

    pub(crate) fn waiting_of(
        &mut self,
        key: RequestKey,
        call: &CallerRequest,
        admitted: &Admitted,
    ) -> WaitingRequest {
        let now_ms = self.now.mono_ms;
        WaitingRequest {
            key,
            team: self.team_slot(&admitted.team),
            queue: self.queue_key(&call.queue),
            pools: self.pools_of(&call.queue),
            size: call.size,
            enqueued_ms: now_ms,
            deadline_ms: now_ms + call.deadline_ms,
            is_urgent: admitted.is_urgent,
            declared_run_ms: call.declared_run_ms,
            failed_on: None,
        }
    }

    /// Applies the verdict on a claim.
    pub(crate) fn apply_claim_verdict(
        &mut self,
        team: &TeamName,
        request_id: &Uuid,
        verdict: &Verdict,
    ) {
        let text = SmolStr::new(request_id.hyphenated().to_string());
        let key = self.find_claiming(team, &text, request_id);
        match (key, verdict) {
            (Some(key), Verdict::Accepted) => self.push_waiting(key),
            // The request has ended meanwhile, so it is never dispatched.
            (None, Verdict::Accepted) => self.end_claim(team, request_id, ClaimState::NotRun),
            (Some(key), _) => {
                let kind = admission::claim_error(&self.ledger, team, request_id)
                    .unwrap_or(ErrorKind::StaleRequestId);
                self.finish_claim_refused(key, kind, RETRY_AFTER_MS);
            }
            (None, _) => {}
        }
    }

    pub(crate) fn find_claiming(
        &self,
        team: &TeamName,
        text: &SmolStr,
        request_id: &Uuid,
    ) -> Option<RequestKey> {
        // The caller may have written the same UUID in another form.
        let found = self.requests.find(team, text).or_else(|| {
            let is_same_id = |request: &Request| {
                request.team == *team && request.claim_id.as_ref() == Some(request_id)
            };
            let mut rows = self.requests.iter();
            rows.find(|(_, request)| is_same_id(request))
                .map(|(key, _)| key)
        })?;
        let request = self.requests.get(found)?;
        (request.stage == Stage::Claiming).then_some(found)
    }

    /// Ends the claimed requests that are not running after the seat was lost, as this entry may no
    /// longer use its claims, and refuses the pending job submissions.
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
        self.drop_submissions_of_lost_seat();
    }

    /// Queues a request, or ends it at once if the queue refuses it.
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

    /// Handles missed deadlines, ended backoffs and unresolved attempts whose lease has ended.
    pub(crate) fn poll_requests(&mut self) {
        let now_ms = self.now.mono_ms;
        for key in self.requests.pop_overdue(now_ms) {
            self.handle_missed_deadline(key);
        }
        for given_up in self.wait.expire(now_ms, &self.usage) {
            self.finish_not_run(given_up.key, ErrorKind::GivenUp, given_up.retry_after_ms);
        }
        for key in self.requests.pop_backed_off(now_ms) {
            self.resume(key);
        }
        for attempt in self.requests.pop_ended_unresolved(now_ms) {
            self.release(&attempt);
        }
        let waiting_max = self.settings.queue.waiting_max_count.max(1);
        let pressure_permille = self.wait.len() * 1_000 / waiting_max;
        self.retry.set_pressure(pressure_permille as u32);
    }

    pub(crate) fn resume(&mut self, key: RequestKey) {
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

    pub(crate) fn handle_missed_deadline(&mut self, key: RequestKey) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        match request.stage {
            Stage::Running(_) => {
                // The attempt runs on until its lease ends; its outcome will end the claim.
                self.finish_unknown(key, ErrorKind::DeadlinePassedWhileRunning);
            }
            Stage::Claiming | Stage::Waiting | Stage::BackingOff => {
                let retry_after_ms = self.jittered_ms(RETRY_AFTER_MS);
                self.finish_not_run(key, ErrorKind::DeadlinePassed, retry_after_ms);
            }
        }
    }
}

pub(crate) fn kind_of(reason: RefusalReason) -> ErrorKind {
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
