//! Requests of callers: submitting a job, querying its state, cancelling it and counting jobs.

use std::sync::Arc;

use smol_str::SmolStr;

use crate::jobs::engine::{index, Engine};
use crate::jobs::job::{Job, JobState, Round};
use crate::jobs::keys::{JobId, JobKey};
use crate::jobs::record::encoded_bytes;
use crate::jobs::spec::{JobSpec, SpecError};
use crate::jobs::terms::JobTerms;
use crate::logging::Event;

/// Most bytes of a job's record beside its specification, its queue and its team.
const JOB_RECORD_HEAD_BYTES: usize = 1_024;

/// A submitted job.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Id that the caller chose.
    pub id: JobId,
    /// Queue to which it is submitted.
    pub queue: SmolStr,
    /// Team of the key in the request; empty for an open queue.
    pub team: SmolStr,
    /// Specification of the job.
    pub spec: JobSpec,
}

/// Result of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is accepted and persisted.
    Accepted,
    /// The job is accepted once its record is persisted.
    Pending,
    /// The specification is invalid.
    Invalid(SpecError),
    /// There is no such queue.
    NoQueue,
    /// Every zone is evacuated, so that no task could start.
    ZonesEvacuated,
    /// The job is over the rate of its team, and its pool cannot complete it by its target.
    TeamOverRate {
        /// Time after which to retry, in seconds.
        retry_after_s: u64,
    },
}

/// When a job came, in Unix milliseconds, and what was decided about it when it was accepted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Acceptance {
    pub(crate) accepted_unix_ms: u64,
    /// First arrival, from which the target counts.
    pub(crate) arrived_unix_ms: u64,
    /// Whether it is over the rate of its team, if that is recorded.
    pub(crate) is_over_rate: Option<bool>,
    /// Terms of its queue, if they are recorded or the lists have the queue.
    pub(crate) terms: Option<JobTerms>,
}

/// Result of a cancel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// No such job is known.
    Unknown,
    /// The job has already ended.
    Ended,
    /// The job is cancelled, or has ended, once the record is persisted.
    Pending,
}

impl Engine {
    /// Submits a job. A second submission under the same id has no effect.
    pub fn submit(&mut self, submission: Submission) -> SubmitOutcome {
        if let Some(key) = self.job_keys.get(&submission.id) {
            return match self.job(*key).is_persisted {
                true => SubmitOutcome::Accepted,
                false => SubmitOutcome::Pending,
            };
        }
        if let Err(fault) = submission.spec.check() {
            return SubmitOutcome::Invalid(fault);
        }
        if job_record_max_bytes(&submission) > self.settings.value_max_bytes() {
            return SubmitOutcome::Invalid(SpecError::RecordSize);
        }
        let Some(queue) = self.catalog.queues.get(&submission.queue) else {
            return SubmitOutcome::NoQueue;
        };
        let pool = queue.pool.clone();
        let terms = Some(JobTerms::of(queue));
        if self.are_all_zones_evacuated() {
            return SubmitOutcome::ZonesEvacuated;
        }
        if let Some(retry_after_s) = self.refuse_over_rate(&submission, &pool) {
            return SubmitOutcome::TeamOverRate { retry_after_s };
        }
        let acceptance = Acceptance {
            accepted_unix_ms: self.unix_ms,
            arrived_unix_ms: self.admission.first_arrival(submission.id, self.unix_ms),
            is_over_rate: None,
            terms,
        };
        let key = self.add_job(submission, pool, acceptance);
        self.job_admitted(key);
        let job = self.job(key);
        Event::new("job_accepted")
            .with("job", job.id)
            .with("queue", &job.queue)
            .with("team", &job.team)
            .with("steps_count", job.spec.steps.len())
            .with("tasks_count", job.spec.tasks_count())
            .with("work_millis_s", job.spec.work_millis_s())
            .with("is_endless", job.spec.is_long_running())
            .with("is_over_rate", job.is_over_rate)
            .with("chain_ms", job.chain_ms())
            .with("estimated_chain_ms", job.spec.estimated_chain_ms())
            .with("target_in_ms", job.target_ms.saturating_sub(self.now_ms))
            .with("lists_version", self.catalog.version)
            .info();
        self.persist_new_job(key);
        SubmitOutcome::Pending
    }

    /// Returns a job that was accepted at these times. It is not known yet whether it is over the rate
    /// of its team.
    pub(crate) fn new_job(
        &self,
        submission: Submission,
        pool: SmolStr,
        acceptance: Acceptance,
    ) -> Job {
        let Submission {
            id,
            queue,
            team,
            spec,
        } = submission;
        let Acceptance {
            accepted_unix_ms,
            arrived_unix_ms,
            terms,
            ..
        } = acceptance;
        let age_ms = self.unix_ms.saturating_sub(accepted_unix_ms);
        let accepted_ms = self.now_ms.saturating_sub(age_ms);
        let chains_ms = spec.chains_ms(|step| self.run_times.expected_ms(&queue, step));
        let rounds = match spec.recurrence {
            None => vec![Round::open(&spec)],
            Some(_) => Vec::new(),
        };
        let chain_ms = chains_ms.iter().copied().max().unwrap_or(0);
        let refused_for_ms = accepted_unix_ms.saturating_sub(arrived_unix_ms);
        let arrived_ms = accepted_ms.saturating_sub(refused_for_ms);
        let target_after_ms = terms.map_or(chain_ms, |terms| terms.target_after_ms(chain_ms));
        let target_ms = arrived_ms + target_after_ms;
        Job {
            id,
            queue,
            pools: vec![pool.clone()],
            persisted_pools_count: 1,
            pool,
            terms,
            team,
            spec: Arc::new(spec),
            accepted_unix_ms,
            accepted_ms,
            is_over_rate: false,
            arrived_unix_ms,
            forecast_ms: None,
            is_inherited: false,
            is_persisted: false,
            state: JobState::Queued,
            persisted_state: JobState::Queued,
            stored_parts_count: 0,
            is_dirty: false,
            rounds,
            chains_ms,
            target_ms,
            is_postponed: false,
            ended_ms: 0,
            runs_count: 0,
            place: None,
            is_touched: false,
        }
    }

    /// Adds an accepted job.
    pub(crate) fn add_job(
        &mut self,
        submission: Submission,
        pool: SmolStr,
        acceptance: Acceptance,
    ) -> JobKey {
        let id = submission.id;
        let mut job = self.new_job(submission, pool, acceptance);
        let spec = Arc::clone(&job.spec);
        job.is_over_rate = match acceptance.is_over_rate {
            None => self.take_token(&job.team, &job.queue, &spec, job.accepted_unix_ms),
            Some(is_over_rate) => {
                self.restore_token(&job, is_over_rate);
                is_over_rate
            }
        };
        let key = self.insert_job(job);
        self.job_keys.insert(id, key);
        self.record_arrival(key);
        self.live.insert(key);
        if self.job(key).spec.recurrence.is_some() {
            self.recurring.insert(key);
        }
        self.touch_job(key);
        self.needs_dispatch = true;
        key
    }

    /// Stores a job under the key of a dropped one, or under a new key.
    fn insert_job(&mut self, job: Job) -> JobKey {
        match self.free_jobs.pop() {
            Some(key) => {
                *self.job_mut(key) = job;
                key
            }
            None => {
                self.jobs.push(job);
                JobKey(u32::try_from(self.jobs.len() - 1).unwrap_or(u32::MAX))
            }
        }
    }

    /// Adds a job to the demand forecast, unless it is long-running or recurring.
    fn record_arrival(&mut self, key: JobKey) {
        let job = &self.jobs[index(key.0)];
        if job.spec.is_long_running() || job.spec.recurrence.is_some() {
            return;
        }
        let run_ms =
            |step: &crate::jobs::spec::StepSpec| self.run_times.expected_ms(&job.queue, step);
        let work = job.spec.work_ms(run_ms);
        self.demand_cycle
            .record_arrival(&job.pool, work, job.accepted_ms);
    }

    /// Returns the time after its arrival by which a job of `queue` should be complete.
    pub(crate) fn target_after_ms(&self, queue: &SmolStr, chain_ms: u64) -> u64 {
        let queue = self.catalog.queues.get(queue);
        queue.map_or(chain_ms, |queue| {
            JobTerms::of(queue).target_after_ms(chain_ms)
        })
    }

    /// Returns the state of a job that is shown to callers, or `None` if its acceptance is not
    /// persisted.
    pub fn job_state(&self, id: JobId) -> Option<JobState> {
        let job = self.job(*self.job_keys.get(&id)?);
        let shown = match (job.persisted_state, job.state) {
            (JobState::Queued, JobState::Active | JobState::Complete | JobState::Failed) => {
                JobState::Active
            }
            (recorded, _) => recorded,
        };
        job.is_persisted.then_some(shown)
    }

    /// Returns whether a job was submitted under this id, persisted or not.
    pub fn knows(&self, id: JobId) -> bool {
        self.job_keys.contains_key(&id)
    }

    /// Cancels a job.
    pub fn cancel(&mut self, id: JobId) -> CancelOutcome {
        let Some(key) = self.job_keys.get(&id).copied() else {
            return CancelOutcome::Unknown;
        };
        let job = self.job(key);
        match job.state {
            // A later leader does not know of an end that is not persisted.
            state if state.is_final() && !job.persisted_state.is_final() => CancelOutcome::Pending,
            state if state.is_final() => CancelOutcome::Ended,
            state => {
                Event::new("job_cancelled")
                    .with("job", id)
                    .with("state", state)
                    .info();
                self.end_job(key, JobState::Cancelled, "cancelled");
                CancelOutcome::Pending
            }
        }
    }

    /// Returns whether a job is over the rate of its team, or `None` if it is not known.
    pub fn is_over_rate(&self, id: JobId) -> Option<bool> {
        let key = self.job_keys.get(&id)?;
        Some(self.job(*key).is_over_rate)
    }

    /// Returns the number of accepted jobs of a queue that have not started.
    pub fn pending_count(&self, queue: &SmolStr) -> u64 {
        let is_pending = |key: &&JobKey| {
            let job = self.job(**key);
            job.queue == *queue && job.is_persisted && job.state == JobState::Queued
        };
        u64::try_from(self.live.iter().filter(is_pending).count()).unwrap_or(u64::MAX)
    }

    /// Returns the number of jobs that have not ended.
    pub fn live_count(&self) -> usize {
        self.live.len()
    }

    /// Returns the number of jobs in memory, including ended ones that can still be queried.
    pub fn jobs_in_memory_count(&self) -> usize {
        self.jobs.len() - self.free_jobs.len()
    }

    /// Returns the number of runs that are, or may be, at workers.
    pub fn runs_count(&self) -> usize {
        self.present_workers()
            .map(|worker| worker.slots.len())
            .sum()
    }
}

/// Returns the most bytes of the record of a submitted job.
fn job_record_max_bytes(submission: &Submission) -> usize {
    let names = [&submission.queue, &submission.team];
    let names_bytes: usize = names.into_iter().map(encoded_bytes).sum();
    encoded_bytes(&submission.spec) + names_bytes + JOB_RECORD_HEAD_BYTES
}

// Times of jobs are far below the 2^52 ms that a float represents exactly.
#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::as_conversions
)]
pub(crate) fn scaled_ms(time_ms: u64, factor: f64) -> u64 {
    (time_ms as f64 * factor) as u64
}
