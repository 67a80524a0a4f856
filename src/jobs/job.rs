//! A job and the progress of its tasks.

use std::sync::Arc;

use smol_str::SmolStr;

use crate::jobs::crashes::{CrashRecord, WatchedRun};
use crate::jobs::keys::{JobId, JobKey, RunKey, TaskKey, WorkerKey};
use crate::jobs::spec::{JobSpec, StepSpec};
use crate::jobs::terms::JobTerms;
use crate::jobs::waiting::Place;

/// State of a job.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum JobState {
    /// No worker has begun a task.
    Queued,
    /// A worker has begun some task, and not all are done.
    Active,
    /// All tasks are done.
    Complete,
    /// A task failed as often as its queue allows.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

impl JobState {
    /// Returns whether the job has ended.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Complete | Self::Failed | Self::Cancelled)
    }
}

/// One task.
#[derive(Clone, Debug, Default)]
pub(crate) struct Task {
    /// Whether all its work is done.
    pub(crate) is_done: bool,
    /// Numbers of the runs that failed.
    pub(crate) failed_runs: Vec<u64>,
    /// Runs that may exist, with their workers.
    pub(crate) runs: Vec<(WorkerKey, u64)>,
    /// Number of run numbers that this leader has assigned.
    pub(crate) numbered_count: u64,
    /// Newest checkpoint; empty for none.
    pub(crate) checkpoint: SmolStr,
    /// Time of the newest start order, or of the adoption of a run.
    pub(crate) started_ms: u64,
    /// Crashes of workers that had a run of the task and of which it may be the cause.
    pub(crate) crashes: Vec<CrashRecord>,
    /// Its run, if it has lost a worker before; recorded for later leaders.
    pub(crate) watched_run: Option<WatchedRun>,
    /// Time until which it starts only alone, if it is suspected to crash its workers; none before
    /// the first attempt.
    pub(crate) isolated_until_ms: Option<u64>,
}

impl Task {
    /// Returns whether more is known of it than that it is not done.
    pub(crate) fn needs_record(&self) -> bool {
        let has_attempts = !self.failed_runs.is_empty() || !self.checkpoint.is_empty();
        let has_crashes = !self.crashes.is_empty() || self.watched_run.is_some();
        !self.is_done && (has_attempts || has_crashes)
    }

    /// Returns whether it is neither done nor has a run.
    pub(crate) fn is_waiting(&self) -> bool {
        !self.is_done && self.runs.is_empty()
    }
}

/// Progress of one step in one occurrence.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepProgress {
    /// Its tasks.
    pub(crate) tasks: Vec<Task>,
    /// Number of tasks that are done.
    pub(crate) done_count: u32,
    /// Number of tasks that are neither done nor have a run.
    pub(crate) waiting_count: u32,
}

impl StepProgress {
    fn open(spec: &StepSpec) -> Self {
        Self {
            tasks: vec![Task::default(); usize::try_from(spec.tasks_count).unwrap_or(0)],
            done_count: 0,
            waiting_count: spec.tasks_count,
        }
    }

    /// Returns whether all tasks are done.
    pub(crate) fn is_done(&self) -> bool {
        usize::try_from(self.done_count).is_ok_and(|count| count == self.tasks.len())
    }

    /// Recomputes the counts after the fields of tasks have been set.
    pub(crate) fn recount(&mut self) {
        let count = |test: fn(&Task) -> bool, tasks: &[Task]| {
            u32::try_from(tasks.iter().filter(|task| test(task)).count()).unwrap_or(u32::MAX)
        };
        self.done_count = count(|task| task.is_done, &self.tasks);
        self.waiting_count = count(Task::is_waiting, &self.tasks);
    }
}

/// Progress of one occurrence.
#[derive(Clone, Debug)]
pub(crate) struct Round {
    /// Its steps.
    pub(crate) steps: Vec<StepProgress>,
}

impl Round {
    pub(crate) fn open(spec: &JobSpec) -> Self {
        Self {
            steps: spec.steps.iter().map(StepProgress::open).collect(),
        }
    }

    /// Returns whether all steps are done.
    pub(crate) fn is_done(&self) -> bool {
        self.steps.iter().all(StepProgress::is_done)
    }

    /// Returns whether all steps on which `spec` depends are done.
    pub(crate) fn is_ready(&self, spec: &StepSpec) -> bool {
        let is_done = |earlier: &u16| self.steps[usize::from(*earlier)].is_done();
        spec.after.iter().all(is_done)
    }
}

/// One job.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// Id that the caller chose.
    pub(crate) id: JobId,
    /// Queue to which it was submitted.
    pub(crate) queue: SmolStr,
    /// Pool of the queue in the newest lists that have it.
    pub(crate) pool: SmolStr,
    /// Pools in which its tasks may have been started: those that its queue has had since the job was
    /// accepted.
    pub(crate) pools: Vec<SmolStr>,
    /// Number of these, from the first on, of which the store has a record.
    pub(crate) persisted_pools_count: usize,
    /// Terms of its queue when it was accepted. None for a job that an earlier version accepted, as
    /// long as no lists have had its queue.
    pub(crate) terms: Option<JobTerms>,
    /// Team of the key in the request; empty for an open queue.
    pub(crate) team: SmolStr,
    /// Specification, as submitted.
    pub(crate) spec: Arc<JobSpec>,
    /// Time of acceptance, in Unix milliseconds.
    pub(crate) accepted_unix_ms: u64,
    /// Time of acceptance on the local monotonic clock, in milliseconds.
    pub(crate) accepted_ms: u64,
    /// Whether it found no token of its team when it was accepted.
    pub(crate) is_over_rate: bool,
    /// Time of its first arrival, in Unix milliseconds: earlier than its acceptance if it was refused
    /// before. Its target counts from this time.
    pub(crate) arrived_unix_ms: u64,
    /// Time from its acceptance to its end by the forecast, in milliseconds; only for jobs over the
    /// rate that had to wait.
    pub(crate) forecast_ms: Option<u64>,
    /// Whether an earlier leader may have started tasks of it.
    pub(crate) is_inherited: bool,
    /// Whether its acceptance is persisted.
    pub(crate) is_persisted: bool,
    /// Current state in memory.
    pub(crate) state: JobState,
    /// State that is persisted; callers are shown this one.
    pub(crate) persisted_state: JobState,
    /// Number of the parts of its progress that the store has beside the first record.
    pub(crate) stored_parts_count: u32,
    /// Whether its progress has changed since it was last taken into a batch of records.
    pub(crate) is_dirty: bool,
    /// Occurrences that have been opened, in order; empty once the job has ended.
    pub(crate) rounds: Vec<Round>,
    /// Longest chain of expected run times from each step to the end, in milliseconds.
    pub(crate) chains_ms: Vec<u64>,
    /// Time by which it should be complete, on the local monotonic clock, in milliseconds.
    pub(crate) target_ms: u64,
    /// Whether other jobs go first, because not all can meet their targets.
    pub(crate) is_postponed: bool,
    /// Time at which it ended, on the local monotonic clock, in milliseconds.
    pub(crate) ended_ms: u64,
    /// Number of runs of its tasks that are, or may be, at workers.
    pub(crate) runs_count: usize,
    /// Its place among the waiting jobs, if it is one.
    pub(crate) place: Option<Place>,
    /// Whether it has changed since its place was brought up to date.
    pub(crate) is_touched: bool,
}

impl Job {
    /// Sets the pool in which its tasks are started from now on; returns whether it needs a record
    /// first, so that a later leader waits for the workers there.
    pub(crate) fn move_to(&mut self, pool: &SmolStr) -> bool {
        self.pool = pool.clone();
        if !self.pools.contains(pool) {
            self.pools.push(pool.clone());
        }
        !self.is_pool_persisted()
    }

    /// Returns whether the store has a record that its tasks may be started in its pool.
    pub(crate) fn is_pool_persisted(&self) -> bool {
        let mut persisted = self.pools.iter().take(self.persisted_pools_count);
        persisted.any(|pool| *pool == self.pool)
    }

    /// Returns the longest chain of expected run times of the whole job, in milliseconds.
    pub(crate) fn chain_ms(&self) -> u64 {
        self.chains_ms.iter().copied().max().unwrap_or(0)
    }

    /// Returns the steps with waiting tasks that may run, with the numbers of these tasks.
    pub(crate) fn startable_steps(&self) -> impl Iterator<Item = (u32, &StepSpec)> {
        self.rounds.iter().flat_map(|round| {
            let steps = round.steps.iter().zip(&self.spec.steps);
            let startable =
                steps.filter(|(step, spec)| step.waiting_count > 0 && round.is_ready(spec));
            startable.map(|(step, spec)| (step.waiting_count, spec))
        })
    }

    /// Returns whether some waiting task may run.
    pub(crate) fn has_startable_task(&self) -> bool {
        self.startable_steps().next().is_some()
    }

    /// Returns the least processor time that a waiting task which may run needs, in thousandths of
    /// a core.
    pub(crate) fn least_startable_cpu_millis(&self) -> Option<u64> {
        let steps = self.startable_steps();
        steps.map(|(_, step)| step.reservation().cpu_millis).min()
    }

    /// Returns the keys of the tasks of all occurrences that have been opened.
    pub(crate) fn task_keys(&self, key: JobKey) -> Vec<TaskKey> {
        let mut keys = Vec::new();
        for (round, round_number) in self.rounds.iter().zip(0u32..) {
            for (step, step_number) in round.steps.iter().zip(0u16..) {
                let indexes = (0u32..).zip(&step.tasks).map(|(index, _)| index);
                keys.extend(indexes.map(|index| TaskKey {
                    job: key,
                    round: round_number,
                    step: step_number,
                    index,
                }));
            }
        }
        keys
    }

    /// Returns the runs that may exist, with the keys of their workers.
    pub(crate) fn runs(&self, key: JobKey) -> Vec<(WorkerKey, RunKey)> {
        let mut runs = Vec::new();
        for (round, round_number) in self.rounds.iter().zip(0u32..) {
            for (step, step_number) in round.steps.iter().zip(0u16..) {
                for (task, index) in step.tasks.iter().zip(0u32..) {
                    let of_task = TaskKey {
                        job: key,
                        round: round_number,
                        step: step_number,
                        index,
                    };
                    runs.extend(task.runs.iter().map(|(worker, run)| {
                        let run = RunKey {
                            task: of_task,
                            run: *run,
                        };
                        (*worker, run)
                    }));
                }
            }
        }
        runs
    }

    /// Returns whether all occurrences have been opened and are done.
    pub(crate) fn is_all_done(&self) -> bool {
        let rounds_count = usize::try_from(self.spec.rounds_count()).unwrap_or(usize::MAX);
        self.rounds.len() >= rounds_count && self.rounds.iter().all(Round::is_done)
    }
}
