//! Persisted records: jobs, their progress, the workers on which tasks may run, and waves of
//! maintenance. Each record has a key; the newest record of a key replaces the earlier ones.

use serde::{Deserialize, Serialize};
use smol_str::{format_smolstr, SmolStr};

use crate::jobs::crashes::{CrashRecord, WatchedRun};
use crate::jobs::job::{Job, JobState, Round};
use crate::jobs::keys::JobId;
use crate::jobs::spec::{JobSpec, Size};

/// First letter of the key of an accepted job.
const JOB_PREFIX: char = 'j';
/// First letter of the key of a job's progress.
const PROGRESS_PREFIX: char = 'p';
/// First letter of the key of a worker.
const WORKER_PREFIX: char = 'w';
/// First letter of the key of a wave of maintenance.
const WAVE_PREFIX: char = 'm';
/// First letter of the key of the last order to an instance.
const ORDER_PREFIX: char = 'o';
/// Key of the settled orders to instances.
const ORDERS_KEY: &str = "s";

/// An accepted job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Specification, as submitted.
    pub spec: JobSpec,
    /// Queue.
    pub queue: SmolStr,
    /// Pool of the queue at the time of acceptance.
    pub pool: SmolStr,
    /// Team; empty for an open queue.
    pub team: SmolStr,
    /// Time of acceptance, in Unix milliseconds.
    pub accepted_unix_ms: u64,
    /// Time of the first arrival, in Unix milliseconds, if the job was refused before it was
    /// accepted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub arrived_unix_ms: Option<u64>,
    /// Whether it was over the rate of its team when it was accepted.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_over_rate: bool,
}

/// Persisted state of one task that is not done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Occurrence, from 0.
    pub round: u32,
    /// Step, from 0.
    pub step: u16,
    /// Number within the step, from 0.
    pub index: u32,
    /// Numbers of the runs that failed.
    pub failed_runs: Vec<u64>,
    /// Newest checkpoint; empty for none.
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    pub checkpoint: SmolStr,
    /// Crashes of workers of which the task may be the cause.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashRecord>,
    /// Its run, if it has lost a worker before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub watched_run: Option<WatchedRun>,
}

/// Progress of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProgressRecord {
    /// State.
    pub state: JobState,
    /// For each occurrence and step, the tasks that are done, as hexadecimal digits of four tasks
    /// each; empty once the job has ended.
    pub done: Vec<Vec<String>>,
    /// Tasks that are not done and of which more than that is known.
    pub tasks: Vec<TaskRecord>,
}

/// A worker on which tasks may have been started.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// Address of its interface, as `ip:port`.
    pub address: SmolStr,
    /// Pool.
    pub pool: SmolStr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Labels.
    pub labels: Vec<SmolStr>,
    /// Most capacity that it is known to have had.
    pub capacity: Size,
}

/// Progress of a wave of maintenance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WaveRecord {
    /// Time at which a leader first received the wave, in Unix milliseconds; 0 in records of
    /// earlier versions.
    #[serde(default)]
    pub requested_unix_ms: u64,
    /// Instances that have been maintained.
    pub done: Vec<SmolStr>,
}

/// Which orders to instances are older than the lease of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrdersRecord {
    /// Fencing token of the leader that wrote the record.
    pub fence: u64,
    /// Number up to which all orders are that old.
    pub settled: u64,
    /// Whether the numbers of all orders that are not that old are persisted.
    pub is_complete: bool,
}

/// One record.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A job was accepted.
    Job(JobId, JobRecord),
    /// The progress of a job.
    Progress(JobId, ProgressRecord),
    /// Tasks may be started on this worker from now on.
    Worker(SmolStr, WorkerRecord),
    /// The progress of a wave of maintenance.
    Wave(u64, WaveRecord),
    /// An order with this number may have been given to an instance.
    Order(SmolStr, u64),
    /// Which orders to instances are settled.
    Orders(OrdersRecord),
    /// The instance is no longer listed: the record of its last order is deleted.
    ForgetOrder(SmolStr),
    /// The job is no longer needed: both its records are deleted.
    ForgetJob(JobId),
    /// No task runs on this worker any more: its record is deleted.
    ForgetWorker(SmolStr),
}

/// A record in the form in which it is stored: its key, and its value, or `None` to delete the key.
pub type StoredRecord = (SmolStr, Option<Vec<u8>>);

fn to_text(value: &impl Serialize) -> Option<Vec<u8>> {
    // The records consist of text keys and numbers, which cannot fail to encode.
    Some(serde_json::to_vec(value).unwrap_or_default())
}

fn job_key(prefix: char, id: JobId) -> SmolStr {
    format_smolstr!("{prefix}{id}")
}

impl Record {
    /// Returns the stored form of the record.
    pub fn encode(&self) -> Vec<StoredRecord> {
        match self {
            Self::Job(id, record) => vec![(job_key(JOB_PREFIX, *id), to_text(record))],
            Self::Progress(id, record) => vec![(job_key(PROGRESS_PREFIX, *id), to_text(record))],
            Self::Worker(id, record) => {
                vec![(format_smolstr!("{WORKER_PREFIX}{id}"), to_text(record))]
            }
            Self::Wave(number, record) => {
                vec![(format_smolstr!("{WAVE_PREFIX}{number}"), to_text(record))]
            }
            Self::Order(instance, number) => {
                vec![(format_smolstr!("{ORDER_PREFIX}{instance}"), to_text(number))]
            }
            Self::Orders(record) => vec![(SmolStr::new_static(ORDERS_KEY), to_text(record))],
            Self::ForgetOrder(instance) => {
                vec![(format_smolstr!("{ORDER_PREFIX}{instance}"), None)]
            }
            Self::ForgetJob(id) => vec![
                (job_key(JOB_PREFIX, *id), None),
                (job_key(PROGRESS_PREFIX, *id), None),
            ],
            Self::ForgetWorker(id) => vec![(format_smolstr!("{WORKER_PREFIX}{id}"), None)],
        }
    }

    /// Parses a stored record; returns `None` if the key or the value is not valid.
    pub fn decode(key: &str, text: &[u8]) -> Option<Self> {
        if key == ORDERS_KEY {
            return serde_json::from_slice(text).ok().map(Self::Orders);
        }
        let prefix = key.chars().next()?;
        let rest = &key[prefix.len_utf8()..];
        match prefix {
            JOB_PREFIX => Some(Self::Job(
                JobId::parse(rest)?,
                serde_json::from_slice(text).ok()?,
            )),
            PROGRESS_PREFIX => Some(Self::Progress(
                JobId::parse(rest)?,
                serde_json::from_slice(text).ok()?,
            )),
            WORKER_PREFIX => Some(Self::Worker(
                rest.into(),
                serde_json::from_slice(text).ok()?,
            )),
            ORDER_PREFIX => Some(Self::Order(rest.into(), serde_json::from_slice(text).ok()?)),
            WAVE_PREFIX => Some(Self::Wave(
                rest.parse().ok()?,
                serde_json::from_slice(text).ok()?,
            )),
            _ => None,
        }
    }
}

impl ProgressRecord {
    /// Returns the progress of `job`.
    pub(crate) fn of(job: &Job) -> Self {
        let state = job.state;
        if state.is_final() {
            return Self {
                state,
                done: Vec::new(),
                tasks: Vec::new(),
            };
        }
        let mut tasks = Vec::new();
        let mut done = Vec::new();
        for (round, number) in job.rounds.iter().zip(0u32..) {
            let mut steps = Vec::new();
            for (step, step_number) in round.steps.iter().zip(0u16..) {
                steps.push(digits_of(step.tasks.iter().map(|task| task.is_done)));
                for (task, index) in step.tasks.iter().zip(0u32..) {
                    if !task.needs_record() {
                        continue;
                    }
                    tasks.push(TaskRecord {
                        round: number,
                        step: step_number,
                        index,
                        failed_runs: task.failed_runs.clone(),
                        checkpoint: task.checkpoint.clone(),
                        crashes: task.crashes.clone(),
                        watched_run: task.watched_run.clone(),
                    });
                }
            }
            done.push(steps);
        }
        Self { state, done, tasks }
    }

    /// Returns whether a task is suspected, or was watched, for crashes of its workers.
    pub(crate) fn has_suspicions(&self) -> bool {
        let mut tasks = self.tasks.iter();
        tasks.any(|task| !task.crashes.is_empty() || task.watched_run.is_some())
    }

    /// Sets the progress of `job` to the persisted one.
    pub(crate) fn apply(&self, job: &mut Job) {
        job.state = self.state;
        job.persisted_state = self.state;
        if self.state.is_final() {
            job.rounds.clear();
            return;
        }
        for (number, steps) in self.done.iter().enumerate() {
            while job.rounds.len() <= number {
                job.rounds.push(Round::open(&job.spec));
            }
            for (step, digits) in job.rounds[number].steps.iter_mut().zip(steps) {
                for (task, is_done) in step.tasks.iter_mut().zip(flags_of(digits)) {
                    task.is_done = is_done;
                }
            }
        }
        for persisted in &self.tasks {
            let round = usize::try_from(persisted.round).ok();
            let task = round
                .and_then(|round| job.rounds.get_mut(round))
                .and_then(|round| round.steps.get_mut(usize::from(persisted.step)))
                .and_then(|step| step.tasks.get_mut(usize::try_from(persisted.index).ok()?));
            if let Some(task) = task {
                task.failed_runs.clone_from(&persisted.failed_runs);
                task.checkpoint = persisted.checkpoint.clone();
                task.crashes.clone_from(&persisted.crashes);
                task.watched_run.clone_from(&persisted.watched_run);
            }
        }
        for round in &mut job.rounds {
            round.steps.iter_mut().for_each(|step| step.recount());
        }
    }
}

/// Encodes flags as hexadecimal digits, the first flag as the lowest bit of the first digit.
fn digits_of(flags: impl Iterator<Item = bool>) -> String {
    let mut digits = String::new();
    let mut digit = 0;
    let mut count = 0;
    for flag in flags {
        digit |= u32::from(flag) << (count % 4);
        count += 1;
        if count % 4 == 0 {
            digits.extend(char::from_digit(digit, 16));
            digit = 0;
        }
    }
    if count % 4 != 0 {
        digits.extend(char::from_digit(digit, 16));
    }
    digits
}

fn flags_of(digits: &str) -> impl Iterator<Item = bool> + '_ {
    let values = digits.chars().map(|digit| digit.to_digit(16).unwrap_or(0));
    values.flat_map(|digit| (0..4).map(move |bit| digit >> bit & 1 == 1))
}
