//! Work accepted for later. A job is accepted once its record is folded, so it survives a failure
//! of the entry that accepted it. The seat that owns the job runs it and persists its end and
//! answer.

use std::sync::Arc;

use base64::{engine::general_purpose::STANDARD as BASE64, Engine as _};
use smol_str::SmolStr;
use uuid::Uuid;

use crate::{
    callers::{CallId, CallerAnswer, CallerOutcome, CallerRequest, Fetch, RanOn},
    entry::{
        admission::{self, Admitted},
        calls::RETRY_AFTER_MS,
        engine::Engine,
        requests::{Origin, PastAttempts, Request, Stage},
    },
    error::{ErrorKind, RunState},
    fleet::{Resources, TeamName},
    ledger::{JobEntry, JobRow, JobState, SeatChange, Verdict},
    policy::lane::WaitingRequest,
};

/// Time between two searches for jobs whose owner has ended, in milliseconds.
const ADOPT_INTERVAL_MS: u64 = 500;

impl Engine {
    /// Proposes a job; the caller is answered when its record is folded.
    pub(crate) fn submit_job(
        &mut self,
        call_id: CallId,
        request: &CallerRequest,
        admitted: &Admitted,
    ) {
        let Some(request_id) = admitted.claim_id else {
            return self.refuse(call_id, ErrorKind::MalformedRequest, 0, "x-request-id");
        };
        if request.body.len() > self.settings.later_body_max_bytes {
            return self.refuse(call_id, ErrorKind::BodyTooLarge, 0, "");
        }
        let job = JobRow {
            request_id,
            team: admitted.team.clone(),
            queue: request.queue.clone(),
            deadline_unix_ms: self.now.unix_ms.saturating_add(request.deadline_ms),
            is_idempotent: request.is_idempotent,
            size: request.size,
            declared_run_ms: request.declared_run_ms,
            body_base64: BASE64.encode(&request.body),
        };
        let id = (admitted.team.clone(), request_id);
        if self.submissions.contains_key(&id) {
            let retry_after_ms = self.jittered_ms(RETRY_AFTER_MS);
            return self.refuse(call_id, ErrorKind::DuplicateInFlight, retry_after_ms, "");
        }
        match self.propose(SeatChange::JobSubmit { job }) {
            true => {
                self.submissions.insert(id, call_id);
            }
            false => self.refuse(call_id, ErrorKind::QueueFull, 1_000, ""),
        }
    }

    /// Answers the callers whose submissions were not folded when the seat was lost. Their jobs may
    /// have been accepted nevertheless.
    pub(crate) fn drop_submissions_of_lost_seat(&mut self) {
        let detail = "the seat lapsed while the record of the job was on its way";
        for (_, call_id) in std::mem::take(&mut self.submissions) {
            self.refuse(call_id, ErrorKind::Internal, 0, detail);
        }
    }

    /// Applies the verdict on a submission.
    pub(crate) fn apply_submit_verdict(&mut self, job: &JobRow, verdict: &Verdict) {
        let id = (job.team.clone(), job.request_id);
        let call_id = self.submissions.shift_remove(&id);
        match (verdict, call_id) {
            (Verdict::Accepted, call_id) => {
                if let Some(call_id) = call_id {
                    let answer = CallerAnswer::accepted(self.settings.entry.clone());
                    self.answer(call_id, answer);
                }
                self.enqueue_job(&job.team, &job.request_id, false);
            }
            (_, Some(call_id)) => {
                let kind = admission::claim_error(&self.ledger, &job.team, &job.request_id)
                    .unwrap_or(ErrorKind::StaleRequestId);
                self.refuse(call_id, kind, 1_000, "");
            }
            (_, None) => {}
        }
    }

    /// Queues a job that this seat owns, either submitted here or adopted from an ended seat.
    pub(crate) fn enqueue_job(&mut self, team: &TeamName, request_id: &Uuid, is_adopted: bool) {
        let Some(entry) = self.ledger.jobs.get(team, request_id).cloned() else {
            return;
        };
        if entry.owner != self.seat || entry.state.is_final() || self.is_draining {
            return;
        }
        let text = SmolStr::new(request_id.hyphenated().to_string());
        if self.requests.find(team, &text).is_some() {
            return;
        }
        let mut request = self.job_request(text, &entry);
        // Attempts of idempotent jobs are not persisted, so the earlier owner may have made some.
        if is_adopted && request.is_idempotent {
            request.past_attempts = PastAttempts::Unknown;
        }
        let key = request.waiting.key;
        self.requests.insert(key, request);
        self.push_waiting(key);
    }

    fn job_request(&mut self, text: SmolStr, entry: &JobEntry) -> Request {
        let row = &entry.row;
        let key = self.requests.next_key();
        let now_ms = self.now.mono_ms;
        let left_ms = row.deadline_unix_ms.saturating_sub(self.now.unix_ms);
        let is_urgent = self
            .ledger
            .lists
            .entitlements
            .queues
            .iter()
            .any(|queue| queue.name == row.queue && queue.is_urgent);
        let waiting = WaitingRequest {
            key,
            team: self.team_slot(&row.team),
            queue: self.queue_key(&row.queue),
            pools: self.pools_of(&row.queue),
            size: row.size,
            enqueued_ms: now_ms,
            deadline_ms: now_ms + left_ms,
            is_urgent,
            declared_run_ms: row.declared_run_ms,
            failed_on: None,
        };
        let body = BASE64.decode(&row.body_base64).unwrap_or_default();
        Request {
            origin: Origin::Job,
            request_id: text,
            claim_id: Some(row.request_id),
            team: row.team.clone(),
            queue: row.queue.clone(),
            is_idempotent: row.is_idempotent,
            size: row.size,
            // The plan was checked when the job was accepted.
            size_max: Resources {
                cores_milli: u64::MAX,
                memory_mb: u64::MAX,
                accelerators_count: u64::MAX,
            },
            body: Arc::from(body),
            waiting,
            stage: Stage::Claiming,
            attempts_count: 0,
            past_attempts: PastAttempts::default(),
            // A second run of an idempotent job does no harm, so its start need not be persisted.
            is_start_persisted: row.is_idempotent,
        }
    }

    /// Proposes the start of a job, which must be persisted before its first attempt.
    pub(crate) fn propose_job_start(&mut self, key: crate::policy::keys::RequestKey) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        request.stage = Stage::Claiming;
        let Some(request_id) = request.claim_id else {
            return;
        };
        let team = request.team.clone();
        if !self.propose(SeatChange::JobStart { team, request_id }) {
            self.push_waiting(key);
        }
    }

    /// Applies the verdict on the start of a job.
    pub(crate) fn apply_job_start_verdict(
        &mut self,
        team: &TeamName,
        request_id: &Uuid,
        verdict: &Verdict,
    ) {
        let text = SmolStr::new(request_id.hyphenated().to_string());
        let Some(key) = self.requests.find(team, &text) else {
            return;
        };
        match verdict {
            Verdict::Accepted | Verdict::AcceptedCount(_) => {
                if let Some(request) = self.requests.get_mut(key) {
                    request.is_start_persisted = true;
                }
                self.push_waiting(key);
            }
            Verdict::Rejected(_) => {
                self.requests.remove(key);
            }
        }
    }

    /// Proposes the end of a job.
    pub(crate) fn end_job(&mut self, request: &Request, answer: &CallerAnswer) {
        let Some(request_id) = request.claim_id else {
            return;
        };
        if matches!(answer.outcome, CallerOutcome::Failed(ErrorKind::Draining)) {
            return;
        }
        self.propose(SeatChange::JobEnd {
            team: request.team.clone(),
            request_id,
            state: job_state(answer, self.settings.later_body_max_bytes),
        });
    }

    /// Drops the jobs that are not running, so that other seats adopt them when this seat ends. A
    /// start that was proposed and did not happen is reverted first: other seats could not know
    /// that the job has not run.
    pub(crate) fn hand_off_jobs(&mut self) {
        let keys: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, request)| request.origin == Origin::Job)
            .filter(|(_, request)| !matches!(request.stage, Stage::Running(_)))
            .map(|(key, _)| key)
            .collect();
        for key in keys {
            if self.revert_job_start(key) {
                self.wait.cancel(self.now.mono_ms, key);
                self.requests.remove(key);
            }
        }
    }

    /// Reverts the proposed start of a job, if there was one; returns whether other seats may adopt
    /// the job.
    fn revert_job_start(&mut self, key: crate::policy::keys::RequestKey) -> bool {
        let Some(request) = self.requests.get(key) else {
            return false;
        };
        let is_start_persisted = request.is_start_persisted || request.stage == Stage::Claiming;
        match request.claim_id {
            Some(request_id) if is_start_persisted && !request.is_idempotent => {
                let team = request.team.clone();
                self.propose(SeatChange::JobEnd {
                    team,
                    request_id,
                    state: JobState::Waiting,
                })
            }
            Some(_) | None => true,
        }
    }

    /// Adopts jobs whose owner has ended, each by the seat that its id chooses.
    pub(crate) fn poll_jobs(&mut self) {
        let now_ms = self.now.mono_ms;
        if now_ms < self.jobs_polled_ms + ADOPT_INTERVAL_MS || self.is_draining {
            return;
        }
        self.jobs_polled_ms = now_ms;
        if !self.lease.is_valid(now_ms) {
            return;
        }
        let seats = &self.ledger.seats;
        let orphans: Vec<SeatChange> = self
            .ledger
            .jobs
            .iter()
            .filter(|job| !job.state.is_final() && seats.get(&job.owner).is_none())
            .filter(|job| {
                let topic = job.row.request_id.hyphenated().to_string();
                seats.choose(&topic) == Some(&self.seat)
            })
            .map(|job| SeatChange::JobAdopt {
                team: job.row.team.clone(),
                request_id: job.row.request_id,
                from: job.owner.clone(),
            })
            .collect();
        for change in orphans {
            self.propose(change);
        }
    }

    /// Answers a caller's fetch of a job.
    pub(crate) fn fetch(&mut self, call_id: CallId, fetch: &Fetch) {
        let team = match self.team_of(fetch.key.as_deref()) {
            Ok(team) => team,
            Err((kind, detail)) => return self.refuse(call_id, kind, 0, &detail),
        };
        let id = Uuid::parse_str(&fetch.request_id).ok();
        let entry = id.and_then(|id| self.ledger.jobs.get(&team, &id));
        let answer = match entry {
            Some(entry) => job_answer(&self.settings.entry, &entry.state),
            None if !self.is_ready() => {
                CallerAnswer::failed(self.settings.entry.clone(), ErrorKind::EntryNotReady, 1_000)
            }
            None => CallerAnswer::failed(self.settings.entry.clone(), ErrorKind::UnknownJob, 0),
        };
        self.answer(call_id, answer);
    }
}

fn job_state(answer: &CallerAnswer, body_max_bytes: usize) -> JobState {
    let ran_on = answer.ran_on.as_ref();
    match answer.outcome {
        CallerOutcome::Done | CallerOutcome::Failed(ErrorKind::TaskFailed)
            if answer.body.len() > body_max_bytes =>
        {
            JobState::Ran {
                is_success: false,
                ran_on: SmolStr::new_static("answer_too_large"),
                body_base64: String::new(),
            }
        }
        CallerOutcome::Done | CallerOutcome::Accepted => JobState::Ran {
            is_success: true,
            ran_on: ran_on
                .map(|ran_on| ran_on.instance.clone())
                .unwrap_or_default(),
            body_base64: BASE64.encode(&answer.body),
        },
        CallerOutcome::Failed(ErrorKind::TaskFailed) => JobState::Ran {
            is_success: false,
            ran_on: ran_on
                .map(|ran_on| ran_on.instance.clone())
                .unwrap_or_default(),
            body_base64: BASE64.encode(&answer.body),
        },
        CallerOutcome::Failed(kind) if answer.ran == RunState::NotRun => JobState::NotRun {
            kind: SmolStr::new(kind.name()),
        },
        CallerOutcome::Failed(_) => JobState::Unknown,
    }
}

fn job_answer(entry: &SmolStr, state: &JobState) -> CallerAnswer {
    let entry = entry.clone();
    match state {
        JobState::Waiting | JobState::Started => CallerAnswer::accepted(entry),
        JobState::Ran {
            is_success,
            ran_on,
            body_base64,
        } => {
            let ran_on = RanOn {
                instance: ran_on.clone(),
                ..RanOn::default()
            };
            let body: Arc<[u8]> = BASE64.decode(body_base64).unwrap_or_default().into();
            match is_success {
                true => CallerAnswer::done(entry, ran_on, body),
                false => {
                    let mut answer = CallerAnswer::failed(entry, ErrorKind::TaskFailed, 0);
                    answer.ran_on = Some(ran_on);
                    answer.body = body;
                    answer
                }
            }
        }
        JobState::Unknown => CallerAnswer::failed(entry, ErrorKind::DuplicateOutcomeUnknown, 0),
        JobState::NotRun { kind } => {
            let kind = kind.parse().unwrap_or(ErrorKind::GivenUp);
            CallerAnswer::failed(entry, kind, 0)
        }
    }
}
