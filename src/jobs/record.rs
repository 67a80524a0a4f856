//! What lasts: the records of jobs, of their progress and of the workers that tasks may run on. Each
//! has a key; the newest record of a key replaces the ones before.

use serde::{Deserialize, Serialize};
use smol_str::{format_smolstr, SmolStr};

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

/// An accepted job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// What was handed in.
    pub spec: JobSpec,
    /// Queue.
    pub queue: SmolStr,
    /// Pool that the queue named then.
    pub pool: SmolStr,
    /// Team; empty for an open queue.
    pub team: SmolStr,
    /// Time of acceptance, in Unix milliseconds.
    pub accepted_unix_ms: u64,
}

/// What has to be kept of one task beside whether it is done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Occurrence.
    pub round: u32,
    /// Step.
    pub step: u16,
    /// Number within the step.
    pub index: u32,
    /// Numbers of the runs that failed.
    pub failed_runs: Vec<u64>,
    /// Newest checkpoint; empty for none.
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    pub checkpoint: SmolStr,
}

/// How far a job has come.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProgressRecord {
    /// State.
    pub state: JobState,
    /// For each occurrence and step, the tasks that are done, as hexadecimal digits of four tasks each;
    /// empty once the job is over.
    pub done: Vec<Vec<String>>,
    /// Tasks of which more has to be kept.
    pub tasks: Vec<TaskRecord>,
}

/// A worker that tasks may have been started on.
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
    /// Room.
    pub capacity: Size,
}

/// How far a wave of maintenance has come.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WaveRecord {
    /// Instances that were maintained.
    pub done: Vec<SmolStr>,
}

/// One record.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A job was accepted.
    Job(JobId, JobRecord),
    /// A job has come so far.
    Progress(JobId, ProgressRecord),
    /// Tasks may be started on this worker from now on.
    Worker(SmolStr, WorkerRecord),
    /// A wave of maintenance has come so far.
    Wave(u64, WaveRecord),
    /// The job need not be known any more: both its records go.
    ForgetJob(JobId),
    /// No task runs on this worker any more.
    ForgetWorker(SmolStr),
}

/// A record as it is kept: its key, and its text unless the key goes.
pub type StoredRecord = (SmolStr, Option<Vec<u8>>);

fn to_text(value: &impl Serialize) -> Option<Vec<u8>> {
    // Plain data of text keys and numbers; the encoder has no case in which it fails.
    Some(serde_json::to_vec(value).unwrap_or_default())
}

fn job_key(prefix: char, id: JobId) -> SmolStr {
    format_smolstr!("{prefix}{id}")
}

impl Record {
    /// Returns what is kept.
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
            Self::ForgetJob(id) => vec![
                (job_key(JOB_PREFIX, *id), None),
                (job_key(PROGRESS_PREFIX, *id), None),
            ],
            Self::ForgetWorker(id) => vec![(format_smolstr!("{WORKER_PREFIX}{id}"), None)],
        }
    }

    /// Reads a kept record; none if it is not one of these.
    pub fn decode(key: &str, text: &[u8]) -> Option<Self> {
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
            WAVE_PREFIX => Some(Self::Wave(
                rest.parse().ok()?,
                serde_json::from_slice(text).ok()?,
            )),
            _ => None,
        }
    }
}

impl ProgressRecord {
    /// Takes down how far `job` has come.
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
                    if task.is_done || (task.failed_runs.is_empty() && task.checkpoint.is_empty()) {
                        continue;
                    }
                    tasks.push(TaskRecord {
                        round: number,
                        step: step_number,
                        index,
                        failed_runs: task.failed_runs.clone(),
                        checkpoint: task.checkpoint.clone(),
                    });
                }
            }
            done.push(steps);
        }
        Self { state, done, tasks }
    }

    /// Sets the progress of `job` to what is recorded.
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
        for kept in &self.tasks {
            let round = usize::try_from(kept.round).ok();
            let task = round
                .and_then(|round| job.rounds.get_mut(round))
                .and_then(|round| round.steps.get_mut(usize::from(kept.step)))
                .and_then(|step| step.tasks.get_mut(usize::try_from(kept.index).ok()?));
            if let Some(task) = task {
                task.failed_runs.clone_from(&kept.failed_runs);
                task.checkpoint = kept.checkpoint.clone();
            }
        }
        for round in &mut job.rounds {
            round.steps.iter_mut().for_each(|step| step.recount());
        }
    }
}

/// Writes flags as hexadecimal digits, the first flag as the lowest bit of the first digit.
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
