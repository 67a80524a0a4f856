//! Ends of requests and cancellation. Each request gets exactly one answer, which says whether the
//! work ran, did not run or may have run.

use std::sync::Arc;

use smol_str::SmolStr;

use crate::{
    callers::{CallId, CallerAnswer, Cancel, RanOn},
    entry::{
        engine::Engine,
        event::Action,
        requests::{Attempt, Origin, PastAttempts, Stage},
    },
    error::ErrorKind,
    fleet::TeamName,
    ledger::ClaimState,
    policy::keys::RequestKey,
};

impl Engine {
    pub(crate) fn finish_ran(&mut self, key: RequestKey, attempt: &Attempt, body: Arc<[u8]>) {
        let answer = CallerAnswer::done(self.settings.entry.clone(), ran_on(attempt), body);
        self.finish(key, answer, ClaimState::Ran);
    }

    pub(crate) fn finish_failed(&mut self, key: RequestKey, attempt: &Attempt, body: Arc<[u8]>) {
        let entry = self.settings.entry.clone();
        let mut answer = CallerAnswer::failed(entry, ErrorKind::TaskFailed, 0);
        answer.ran_on = Some(ran_on(attempt));
        answer.body = body;
        self.finish(key, answer, ClaimState::Ran);
    }

    /// Ends a request without an attempt in flight: as not run, unless an earlier attempt ran or
    /// may have run.
    pub(crate) fn finish_not_run(&mut self, key: RequestKey, kind: ErrorKind, retry_after_ms: u64) {
        self.wait.cancel(self.now.mono_ms, key);
        let entry = self.settings.entry.clone();
        match self.requests.get(key).map(|request| request.past_attempts) {
            Some(PastAttempts::Unknown) => self.finish_unknown(key, unknown_outcome_kind(kind)),
            Some(PastAttempts::Failed) => {
                let answer = CallerAnswer::failed(entry, ErrorKind::TaskFailed, 0);
                self.finish(key, answer, ClaimState::Ran);
            }
            Some(PastAttempts::NotRun) | None => {
                let answer = CallerAnswer::failed(entry, kind, retry_after_ms);
                self.finish(key, answer, ClaimState::NotRun);
            }
        }
    }

    /// Ends a request whose claim was rejected; the claim of that id belongs to an earlier request.
    pub(crate) fn finish_claim_refused(
        &mut self,
        key: RequestKey,
        kind: ErrorKind,
        retry_after_ms: u64,
    ) {
        let Some(request) = self.requests.remove(key) else {
            return;
        };
        if let Origin::Call(call_id) = request.origin {
            self.refuse(call_id, kind, retry_after_ms, "");
        }
    }

    /// Ends a request whose attempt may have run or may still be running.
    pub(crate) fn finish_unknown(&mut self, key: RequestKey, kind: ErrorKind) {
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
            // The attempt is still in flight; its outcome will end the claim.
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

    pub(crate) fn finish(&mut self, key: RequestKey, answer: CallerAnswer, state: ClaimState) {
        let Some(request) = self.requests.remove(key) else {
            return;
        };
        match request.origin {
            Origin::Job => self.end_job(&request, &answer),
            Origin::Call(call_id) => {
                // A claim that is not folded yet is ended when its verdict arrives.
                let is_folded = request.stage != Stage::Claiming;
                if let Some(request_id) = request.claim_id.filter(|_| is_folded) {
                    self.end_claim(&request.team, &request_id, state);
                }
                self.answer(call_id, answer);
            }
        }
    }

    /// Cancels a request for a caller; if this entry does not hold it, the cancel is relayed to all
    /// peers.
    pub(crate) fn cancel_for_caller(&mut self, call_id: CallId, cancel: &Cancel) {
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

    /// Cancels a request held by this entry; returns whether it was found.
    pub(crate) fn cancel_request(&mut self, team: &TeamName, request_id: &SmolStr) -> bool {
        match self.requests.find(team, request_id) {
            Some(key) => {
                self.stop_request(key);
                true
            }
            None => false,
        }
    }

    /// Handles a caller that disconnected before its answer.
    pub(crate) fn handle_caller_gone(&mut self, call_id: CallId) {
        let Some(key) = self.requests.find_call(call_id) else {
            return;
        };
        let Some(request) = self.requests.get(key) else {
            return;
        };
        // Running work that must run at most once is left to finish, so that its outcome becomes
        // known.
        let may_finish = matches!(request.stage, Stage::Running(_)) && !request.is_idempotent;
        if !may_finish {
            self.stop_request(key);
        }
    }

    pub(crate) fn stop_request(&mut self, key: RequestKey) {
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
}

/// Returns the kind to report instead of `kind`, which implies "not run", when an earlier attempt
/// may have run.
pub(crate) fn unknown_outcome_kind(kind: ErrorKind) -> ErrorKind {
    match kind {
        ErrorKind::DeadlinePassed => ErrorKind::DeadlinePassedWhileRunning,
        ErrorKind::CancelledNotRun => ErrorKind::CancelledWhileRunning,
        _ => ErrorKind::WorkerLost,
    }
}

pub(crate) fn ran_on(attempt: &Attempt) -> RanOn {
    RanOn {
        instance: attempt.instance.clone(),
        pool: attempt.pool_name.clone(),
        attempt_id: attempt.attempt_id.clone(),
    }
}
