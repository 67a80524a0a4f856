//! Explains where a job would start now, and why, without submitting it. The functions that decide
//! give the answer: the order of the waiting jobs, the choice of a worker and the wait for a rack.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::jobs::engine::Engine;
use crate::jobs::job::Job;
use crate::jobs::keys::{JobId, JobKey, TaskKey, WorkerKey};
use crate::jobs::place_pass::PlacePass;
use crate::jobs::place_waits::PlaceVerdict;
use crate::jobs::placement::{choose, PlacementRequest};
use crate::jobs::rack_forecast::RackForecast;
use crate::jobs::ranking::rank;
use crate::jobs::requests::{Acceptance, Submission};
use crate::jobs::spec::{JobSpec, Size, StepSpec};
use crate::jobs::terms::JobTerms;
use crate::jobs::worker::WorkerState;

/// Most tasks in the forecast of a pool, those ahead and those of the job; it bounds the time of an
/// answer, which the leader takes from its decisions.
const FORECAST_MAX_COUNT: u32 = 256;
/// Key of the job of a question, which is not among the jobs and comes after those of equal rank.
const NO_JOB: JobKey = JobKey(u32::MAX);

/// A job of one step that is not submitted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobQuestion {
    /// Queue to which it would be submitted.
    pub queue: SmolStr,
    /// Team whose key the call would carry; empty for an open queue.
    pub team: SmolStr,
    /// Resources that each task needs.
    pub size: Size,
    /// Number of tasks.
    pub tasks_count: u32,
    /// Estimated run time of a task near its data, in milliseconds.
    pub estimate_ms: u64,
    /// Rack in which its tasks run fastest.
    pub near_rack: Option<SmolStr>,
}

/// Why the job would be refused.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum JobRefusal {
    /// There is no such queue.
    NoQueue,
    /// The lists have no such team, and the queue is not open.
    BadKey,
    /// The specification is invalid.
    BadCall,
    /// Every zone is evacuated.
    ZonesEvacuated,
    /// The team is over its rate, and the pool could not complete the job by its target.
    TeamOverRate,
}

/// Why the first task would start when it would.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display, strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum StartReason {
    /// A worker has room; if the task has a rack, it is there.
    FreeWorker,
    /// The task waits for its rack, although a worker elsewhere has room.
    WaitsForRack,
    /// It starts elsewhere, because no worker of its rack will have room.
    NoRoomNear,
    /// It starts elsewhere, because it is expected to end there no later.
    NotFaster,
    /// It starts elsewhere, because a wait for its rack would exceed its bounds.
    BoundReached,
    /// No worker has room.
    NoFreeWorker,
    /// The running tasks of the team have reached its upper limit.
    TeamLimit,
    /// The eligibility service is asked first which workers may run it.
    NeedsTickets,
}

/// Where and when a job would start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobStart {
    /// Why.
    pub reason: StartReason,
    /// Time until the first task starts, in milliseconds; none if it cannot be told.
    pub first_in_ms: Option<u64>,
    /// Time until the last task starts, in milliseconds; none if it cannot be told.
    pub last_in_ms: Option<u64>,
    /// Whether more tasks are ahead than are counted, so that it may start later.
    pub is_lower_bound: bool,
    /// Worker of the first task; none if it is not free yet.
    pub worker: Option<SmolStr>,
    /// Longest wait for the rack, in milliseconds, if the task waits for it.
    pub wait_max_ms: Option<u64>,
}

impl JobStart {
    fn unknown(reason: StartReason) -> Self {
        Self {
            reason,
            first_in_ms: None,
            last_in_ms: None,
            is_lower_bound: false,
            worker: None,
            wait_max_ms: None,
        }
    }
}

/// Where a job would start now, and why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobExplanation {
    /// Pool whose workers would run it.
    pub pool: SmolStr,
    /// Jobs of the pool that wait for capacity.
    pub waiting_jobs_count: usize,
    /// Those of them that go first.
    pub jobs_ahead_count: usize,
    /// Time until the job should be complete, in milliseconds.
    pub target_in_ms: u64,
    /// Workers of the pool by what they can do for a task.
    pub workers: IndexMap<WorkerState, usize>,
    /// Workers of the pool in the requested rack, likewise.
    pub near_workers: IndexMap<WorkerState, usize>,
    /// Its start.
    pub start: JobStart,
}

impl Engine {
    /// Explains where a job would start now.
    ///
    /// # Errors
    ///
    /// The reason for which the job would be refused.
    pub fn explain_job(&self, question: &JobQuestion) -> Result<JobExplanation, JobRefusal> {
        let spec = JobSpec {
            payload: String::new(),
            steps: vec![StepSpec {
                tasks_count: question.tasks_count,
                size: question.size,
                estimate_ms: question.estimate_ms,
                near_rack: question.near_rack.clone(),
                ..StepSpec::default()
            }],
            recurrence: None,
        };
        let pool = self.pool_for(question, &spec)?;
        let submission = Submission {
            id: JobId(0),
            queue: question.queue.clone(),
            team: question.team.clone(),
            spec,
        };
        if self.over_rate_refusal(&submission, &pool).is_some() {
            return Err(JobRefusal::TeamOverRate);
        }
        let queue = self.catalog.queues.get(&question.queue);
        let acceptance = Acceptance {
            accepted_unix_ms: self.unix_ms,
            arrived_unix_ms: self.unix_ms,
            is_over_rate: None,
            terms: queue.map(JobTerms::of),
        };
        let mut job = self.new_job(submission, pool.clone(), acceptance);
        job.is_over_rate = self.would_be_over_rate(&job.team, &job.spec);
        let ahead = self.jobs_ahead(&job);
        let step = &job.spec.steps[0];
        let near = question.near_rack.as_ref();
        Ok(JobExplanation {
            waiting_jobs_count: self.waiting_jobs.count(&pool),
            jobs_ahead_count: ahead.len(),
            target_in_ms: job.target_ms.saturating_sub(self.now_ms),
            workers: self.worker_states(&pool, step, |_| true),
            near_workers: self.worker_states(&pool, step, |rack| Some(rack) == near),
            start: self.explain_start(&job, step, &ahead),
            pool,
        })
    }

    /// Returns the pool of a job that would be accepted.
    fn pool_for(&self, question: &JobQuestion, spec: &JobSpec) -> Result<SmolStr, JobRefusal> {
        let queue = self.catalog.queues.get(&question.queue);
        let queue = queue.ok_or(JobRefusal::NoQueue)?;
        let is_known = self.catalog.teams.contains_key(&question.team);
        match () {
            () if !queue.is_open && !is_known => Err(JobRefusal::BadKey),
            () if spec.check().is_err() => Err(JobRefusal::BadCall),
            () if self.are_all_zones_evacuated() => Err(JobRefusal::ZonesEvacuated),
            () => Ok(queue.pool.clone()),
        }
    }

    fn jobs_ahead(&self, job: &Job) -> Vec<JobKey> {
        let rank = rank(job, self.now_ms);
        rank.map(|rank| self.waiting_jobs.ahead(&job.pool, rank, NO_JOB))
            .unwrap_or_default()
    }

    /// Counts the workers of a pool, in the racks that `is_counted`, by what they can do for a task.
    fn worker_states(
        &self,
        pool: &SmolStr,
        step: &StepSpec,
        is_counted: impl Fn(&SmolStr) -> bool,
    ) -> IndexMap<WorkerState, usize> {
        let mut counts = IndexMap::new();
        let workers = self.present_workers();
        for worker in workers.filter(|worker| worker.info.pool == *pool && is_counted(&worker.rack))
        {
            let state = worker.state_for(&step.reservation(), self.now_ms);
            *counts.entry(state).or_default() += 1;
        }
        counts
    }

    fn explain_start(&self, job: &Job, step: &StepSpec, ahead: &[JobKey]) -> JobStart {
        let request = PlacementRequest {
            task: TaskKey {
                job: NO_JOB,
                round: 0,
                step: 0,
                index: 0,
            },
            pool: &job.pool,
            step,
            rack: step.near_rack.as_ref(),
            eligible: None,
            except: None,
        };
        let mut start = self.forecast_start(job, step, ahead);
        match choose(self, &request) {
            _ if !self.team_has_room(&job.team, &step.size) => {
                start = JobStart::unknown(StartReason::TeamLimit);
            }
            _ if self.job_needs_tickets(job) => {
                start = JobStart::unknown(StartReason::NeedsTickets);
            }
            None => start.reason = StartReason::NoFreeWorker,
            Some(worker) => self.explain_place(job, step, worker, &mut start),
        }
        start
    }

    /// Explains the start of a job for which `worker` has room.
    fn explain_place(&self, job: &Job, step: &StepSpec, worker: WorkerKey, start: &mut JobStart) {
        let rack = step.near_rack.as_ref();
        let rack = rack.filter(|_| self.may_wait(step) && self.is_outside_rack(worker, step));
        let place = rack.map(|rack| self.explain_wait(job, step, rack));
        start.reason = match place {
            None => StartReason::FreeWorker,
            Some((PlaceVerdict::NoRoomNear, _)) => StartReason::NoRoomNear,
            Some((PlaceVerdict::NotFaster, _)) => StartReason::NotFaster,
            Some((PlaceVerdict::BoundReached, _)) => StartReason::BoundReached,
            Some((PlaceVerdict::Wait { until_ms }, start_ms)) => {
                start.first_in_ms = start_ms.map(|at_ms| at_ms.saturating_sub(self.now_ms));
                start.last_in_ms = start.last_in_ms.max(start.first_in_ms);
                start.wait_max_ms = Some(until_ms.saturating_sub(self.now_ms));
                start.reason = StartReason::WaitsForRack;
                return;
            }
        };
        start.first_in_ms = Some(0);
        start.worker = Some(self.worker(worker).info.id.clone());
    }

    /// Decides whether the first task of a job would wait for its rack, behind all tasks that wait
    /// for it now; returns the expected start there as well.
    fn explain_wait(
        &self,
        job: &Job,
        step: &StepSpec,
        rack: &SmolStr,
    ) -> (PlaceVerdict, Option<u64>) {
        let mut pass = PlacePass::default();
        let forecast = self.forecast_with_waits(&job.pool, rack, &mut pass);
        let start = forecast.earliest_start(&step.reservation(), |_| true);
        let start_ms = start.map(|start| start.at_ms);
        let run_ms = self.run_times.expected_ms(&job.queue, step);
        (
            self.verdict_for(job, self.now_ms, run_ms, start_ms),
            start_ms,
        )
    }

    /// Returns when the tasks of a job start on any worker of its pool after the jobs ahead.
    fn forecast_start(&self, job: &Job, step: &StepSpec, ahead: &[JobKey]) -> JobStart {
        let mut forecast = RackForecast::new(self.pool_workers(&job.pool));
        let mut left_count = FORECAST_MAX_COUNT;
        for key in ahead {
            if left_count == 0 {
                break;
            }
            let ahead = self.job(*key);
            for (waiting_count, step) in ahead.startable_steps() {
                let count = waiting_count.min(left_count);
                left_count -= count;
                let run_ms = self.run_times.expected_ms(&ahead.queue, step);
                add_tasks(&mut forecast, step, run_ms, count);
            }
        }
        let is_lower_bound = left_count < step.tasks_count;
        let count = step.tasks_count.min(left_count.max(1));
        let run_ms = self.run_times.expected_ms(&job.queue, step);
        let starts_ms = add_tasks(&mut forecast, step, run_ms, count);
        let after = |at_ms: u64| at_ms.saturating_sub(self.now_ms);
        JobStart {
            reason: StartReason::NoFreeWorker,
            first_in_ms: starts_ms.map(|(first_ms, _)| after(first_ms)),
            last_in_ms: starts_ms.map(|(_, last_ms)| after(last_ms)),
            is_lower_bound,
            worker: None,
            wait_max_ms: None,
        }
    }
}

/// Adds tasks to a forecast; returns when the first and the last of them start, or `None` if one of
/// them fits nowhere.
fn add_tasks(
    forecast: &mut RackForecast,
    step: &StepSpec,
    run_ms: u64,
    count: u32,
) -> Option<(u64, u64)> {
    let reservation = step.reservation();
    let mut starts_ms = None;
    for _ in 0..count {
        let start = forecast.earliest_start(&reservation, |_| true)?;
        forecast.add_task(start, reservation, run_ms);
        let first_ms = starts_ms.map_or(start.at_ms, |(first_ms, _)| first_ms);
        starts_ms = Some((first_ms, start.at_ms));
    }
    starts_ms
}
