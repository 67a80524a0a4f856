//! The persisted progress of a job. It is one record, as long as that fits in a record of the store.
//! What does not fit goes into further records, its parts.
//!
//! Each part stands on its own, so that the parts need not be written all at once: that a task is
//! done, or that a run of it has failed, holds in whichever part it is found.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::jobs::crashes::{CrashRecord, WatchedRun};
use crate::jobs::job::{Job, JobState, Round, Task};
use crate::jobs::keys::JobId;
use crate::jobs::progress_packing::Packing;
use crate::jobs::record::{PartKey, Record};

/// Persisted state of one task that is not done.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
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

/// Progress of a job, or as much of it as fits in one record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProgressRecord {
    /// State.
    pub state: JobState,
    /// For each occurrence and step, the tasks that are done, as hexadecimal digits of four tasks
    /// each; empty once the job has ended.
    pub done: Vec<Vec<String>>,
    /// Tasks that are not done and of which more than that is known.
    pub tasks: Vec<TaskRecord>,
    /// Pools that the queue has had after that of the job's acceptance, in the order of time.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub later_pools: Vec<SmolStr>,
    /// Number of the parts that hold the rest.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub parts_count: u32,
}

/// A further part of the progress of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ProgressPart {
    /// Time of acceptance of the job, in Unix milliseconds. It tells the part from one of an earlier
    /// job under the same id.
    pub accepted_unix_ms: u64,
    /// Tasks that are done.
    pub done: Vec<DoneTasks>,
    /// Tasks that are not done and of which more than that is known.
    pub tasks: Vec<TaskRecord>,
}

/// Which of consecutive tasks of a step are done.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DoneTasks {
    /// Occurrence, from 0.
    pub round: u32,
    /// Step, from 0.
    pub step: u16,
    /// Number of the first of the tasks within the step, from 0.
    pub first_index: u32,
    /// Hexadecimal digits of four tasks each.
    pub digits: String,
}

// The serializer requires this signature.
#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_zero(value: &u32) -> bool {
    *value == 0
}

/// Returns the records of the progress of `job`, none with a value above `value_max_bytes`, and the
/// number of its parts. Parts that the store has beyond these are deleted.
pub(crate) fn progress_records(job: &Job, value_max_bytes: usize) -> (Vec<Record>, u32) {
    let (first, parts) = packed(job, value_max_bytes);
    let parts_count = first.parts_count;
    let key_of = |number| PartKey { of: job.id, number };
    let parts = (0u32..).zip(parts);
    let mut records: Vec<Record> = parts
        .map(|(number, part)| Record::ProgressPart(key_of(number), part))
        .collect();
    records.push(Record::Progress(job.id, first));
    let outdated = parts_count..job.stored_parts_count;
    records.extend(outdated.map(|number| Record::ForgetProgressPart(key_of(number))));
    (records, parts_count)
}

/// Returns the first record of the progress of `job`, and the parts that hold the rest.
fn packed(job: &Job, value_max_bytes: usize) -> (ProgressRecord, Vec<ProgressPart>) {
    let mut packing = Packing::open(job, value_max_bytes);
    for (round, number) in job.rounds.iter().zip(0u32..) {
        for (step, step_number) in round.steps.iter().zip(0u16..) {
            let digits = digits_of(step.tasks.iter().map(|task| task.is_done));
            packing.add_done(number, step_number, digits);
        }
    }
    for (round, number) in job.rounds.iter().zip(0u32..) {
        for (step, step_number) in round.steps.iter().zip(0u16..) {
            for (task, index) in step.tasks.iter().zip(0u32..) {
                if task.needs_record() {
                    packing.add_task(TaskRecord {
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
        }
    }
    packing.finish()
}

impl TaskRecord {
    /// Sets what is persisted of a task.
    fn apply(&self, task: &mut Task) {
        self.apply_failed_runs(task);
        if !self.checkpoint.is_empty() {
            task.checkpoint = self.checkpoint.clone();
        }
        for crash in &self.crashes {
            if !task.crashes.contains(crash) {
                task.crashes.push(crash.clone());
            }
        }
        if self.watched_run.is_some() {
            task.watched_run.clone_from(&self.watched_run);
        }
    }

    fn apply_failed_runs(&self, task: &mut Task) {
        for run in &self.failed_runs {
            if !task.failed_runs.contains(run) {
                task.failed_runs.push(*run);
            }
        }
    }

    fn is_suspicious(&self) -> bool {
        !self.crashes.is_empty() || self.watched_run.is_some()
    }

    fn task_of<'j>(&self, job: &'j mut Job) -> Option<&'j mut Task> {
        let round = job.rounds.get_mut(usize::try_from(self.round).ok()?)?;
        let step = round.steps.get_mut(usize::from(self.step))?;
        step.tasks.get_mut(usize::try_from(self.index).ok()?)
    }
}

/// All records that hold the progress of one job.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoredProgress {
    first: Option<ProgressRecord>,
    parts: Vec<(u32, ProgressPart)>,
}

impl StoredProgress {
    pub(crate) fn set_first(&mut self, record: ProgressRecord) {
        self.first = Some(record);
    }

    pub(crate) fn add_part(&mut self, number: u32, part: ProgressPart) {
        self.parts.push((number, part));
    }

    /// Returns the records that delete the parts.
    pub(crate) fn forget_parts(&self, id: JobId) -> impl Iterator<Item = Record> + '_ {
        let numbers = self.parts.iter().map(|(number, _)| *number);
        numbers.map(move |number| Record::ForgetProgressPart(PartKey { of: id, number }))
    }

    /// Returns whether there is a first record.
    pub(crate) fn has_first(&self) -> bool {
        self.first.is_some()
    }

    /// Returns whether a task is suspected, or was watched, for crashes of its workers.
    pub(crate) fn has_suspicions(&self) -> bool {
        let of_first = self.first.iter().flat_map(|first| &first.tasks);
        let of_parts = self.parts.iter().flat_map(|(_, part)| &part.tasks);
        of_first.chain(of_parts).any(TaskRecord::is_suspicious)
    }

    /// Sets the progress of `job` to the persisted one.
    pub(crate) fn apply(&self, job: &mut Job) {
        let numbers = self.parts.iter().map(|(number, _)| number + 1);
        job.stored_parts_count = numbers.max().unwrap_or(0);
        let mut parts_count = 0;
        if let Some(first) = &self.first {
            job.state = first.state;
            job.persisted_state = first.state;
            if first.state.is_final() {
                job.rounds.clear();
                return;
            }
            parts_count = first.parts_count;
            job.pools.extend(first.later_pools.iter().cloned());
            job.persisted_pools_count = job.pools.len();
            first.apply(job);
        }
        for (number, part) in &self.parts {
            if part.accepted_unix_ms == job.accepted_unix_ms {
                part.apply(job, *number < parts_count);
            }
        }
        for round in &mut job.rounds {
            round.steps.iter_mut().for_each(|step| step.recount());
        }
    }
}

impl ProgressRecord {
    fn apply(&self, job: &mut Job) {
        for (number, steps) in (0u32..).zip(&self.done) {
            for (step, digits) in (0u16..).zip(steps) {
                set_done(job, number, step, 0, digits);
            }
        }
        for record in &self.tasks {
            if let Some(task) = record.task_of(job) {
                record.apply(task);
            }
        }
    }
}

impl ProgressPart {
    /// Applies the part. Of one that the first record does not count, only what holds for good is
    /// applied: it is left from an earlier state of the job.
    fn apply(&self, job: &mut Job, is_current: bool) {
        for done in &self.done {
            set_done(job, done.round, done.step, done.first_index, &done.digits);
        }
        for record in &self.tasks {
            match record.task_of(job) {
                Some(task) if is_current => record.apply(task),
                Some(task) => record.apply_failed_runs(task),
                None => {}
            }
        }
    }
}

/// Marks tasks of a step as done, from the one at `first_index` on.
fn set_done(job: &mut Job, round: u32, step: u16, first_index: u32, digits: &str) {
    let (Ok(at), Ok(first)) = (usize::try_from(round), usize::try_from(first_index)) else {
        return;
    };
    if round >= job.spec.rounds_count() {
        return;
    }
    while job.rounds.len() <= at {
        job.rounds.push(Round::open(&job.spec));
    }
    let Some(step) = job.rounds[at].steps.get_mut(usize::from(step)) else {
        return;
    };
    let tasks = step.tasks.iter_mut().skip(first);
    for (task, is_done) in tasks.zip(flags_of(digits)) {
        task.is_done |= is_done;
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
