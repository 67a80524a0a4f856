//! Divides the progress of a job among records, so that none is larger than the store accepts. Sizes
//! are counted by an upper bound, which is cheaper than to encode a record for its size.

use smol_str::SmolStr;

use crate::jobs::crashes::{CrashRecord, Incarnation, WatchedRun};
use crate::jobs::job::Job;
use crate::jobs::progress::{DoneTasks, ProgressPart, ProgressRecord, TaskRecord};

/// Most bytes of an encoded record without its lists.
const RECORD_HEAD_BYTES: usize = 160;
/// Most bytes of an encoded task without its lists and texts.
const TASK_BYTES: usize = 128;
/// Most bytes of the encoded number of a run.
const RUN_NUMBER_BYTES: usize = 21;
/// Most bytes of an encoded incarnation without its texts.
const INCARNATION_BYTES: usize = 80;
/// Most bytes of an encoded crash, or of a watched run, without the incarnation.
const CRASH_BYTES: usize = 64;
/// Most bytes of encoded done tasks without their digits.
const DONE_BYTES: usize = 96;
/// Bytes with which texts in a list are separated.
const TEXT_OVERHEAD_BYTES: usize = 8;
/// Most bytes into which a byte of a text is encoded.
const ESCAPED_BYTES: usize = 6;
/// Tasks in one hexadecimal digit.
const TASKS_PER_DIGIT: u32 = 4;
/// Part of a record that one entry may take, as a divisor. Larger entries are divided.
const ENTRY_DIVISOR: usize = 4;

/// Records that are being filled.
pub(crate) struct Packing {
    value_max_bytes: usize,
    accepted_unix_ms: u64,
    first: ProgressRecord,
    first_bytes: usize,
    /// Whether done tasks still go into the first record, which holds them without gaps.
    is_first_open: bool,
    parts: Vec<ProgressPart>,
    /// Size of the last part, in bytes.
    part_bytes: usize,
}

impl Packing {
    /// Starts to pack the progress of `job` into records with values of up to `value_max_bytes`.
    pub(crate) fn open(job: &Job, value_max_bytes: usize) -> Self {
        let later_pools = job.pools.get(1..).unwrap_or_default();
        let bytes_of = |pool: &SmolStr| text_bytes(pool) + TEXT_OVERHEAD_BYTES;
        let pools_bytes: usize = later_pools.iter().map(bytes_of).sum();
        Self {
            value_max_bytes,
            accepted_unix_ms: job.accepted_unix_ms,
            first: ProgressRecord {
                state: job.state,
                done: Vec::new(),
                tasks: Vec::new(),
                later_pools: later_pools.to_vec(),
                parts_count: 0,
            },
            first_bytes: RECORD_HEAD_BYTES + pools_bytes,
            is_first_open: true,
            parts: Vec::new(),
            part_bytes: 0,
        }
    }

    /// Adds which tasks of a step are done. Steps are added in order.
    pub(crate) fn add_done(&mut self, round: u32, step: u16, digits: String) {
        let bytes = digits.len() + TEXT_OVERHEAD_BYTES;
        self.is_first_open &= self.first_bytes + bytes <= self.value_max_bytes;
        if self.is_first_open {
            self.first_bytes += bytes;
            if step == 0 {
                self.first.done.push(Vec::new());
            }
            if let Some(steps) = self.first.done.last_mut() {
                steps.push(digits);
            }
            return;
        }
        let entry_max_bytes = self.value_max_bytes / ENTRY_DIVISOR;
        let mut first_index = 0;
        let mut rest = digits.as_str();
        while !rest.is_empty() {
            let (chunk, more) = rest.split_at(rest.len().min(entry_max_bytes));
            let done = DoneTasks {
                round,
                step,
                first_index,
                digits: chunk.to_owned(),
            };
            self.part_for(DONE_BYTES + chunk.len()).done.push(done);
            let chunk_digits = u32::try_from(chunk.len()).unwrap_or(u32::MAX);
            first_index += chunk_digits * TASKS_PER_DIGIT;
            rest = more;
        }
    }

    /// Adds a task. One that is too large for a record is divided into several rows.
    pub(crate) fn add_task(&mut self, task: TaskRecord) {
        let entry_max_bytes = self.value_max_bytes / ENTRY_DIVISOR;
        for row in divided(task, entry_max_bytes) {
            let bytes = task_bytes(&row);
            if self.first_bytes + bytes <= self.value_max_bytes {
                self.first_bytes += bytes;
                self.first.tasks.push(row);
            } else {
                self.part_for(bytes).tasks.push(row);
            }
        }
    }

    /// Returns the first record and the parts.
    pub(crate) fn finish(mut self) -> (ProgressRecord, Vec<ProgressPart>) {
        self.first.parts_count = u32::try_from(self.parts.len()).unwrap_or(u32::MAX);
        (self.first, self.parts)
    }

    /// Returns the part for an entry of this size, and counts the entry.
    fn part_for(&mut self, bytes: usize) -> &mut ProgressPart {
        let is_full = self.part_bytes + bytes > self.value_max_bytes;
        if is_full || self.parts.is_empty() {
            self.parts.push(ProgressPart {
                accepted_unix_ms: self.accepted_unix_ms,
                ..ProgressPart::default()
            });
            self.part_bytes = RECORD_HEAD_BYTES;
        }
        self.part_bytes += bytes;
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}

/// Divides a task into rows of about `row_max_bytes` by its failed runs and its crashes.
fn divided(task: TaskRecord, row_max_bytes: usize) -> Vec<TaskRecord> {
    if task_bytes(&task) <= row_max_bytes {
        return vec![task];
    }
    let TaskRecord {
        failed_runs,
        crashes,
        ..
    } = &task;
    let place = TaskRecord {
        round: task.round,
        step: task.step,
        index: task.index,
        ..TaskRecord::default()
    };
    let mut rows = vec![TaskRecord {
        checkpoint: task.checkpoint.clone(),
        watched_run: task.watched_run.clone(),
        ..place.clone()
    }];
    let runs_per_row = (row_max_bytes / RUN_NUMBER_BYTES).max(1);
    rows.extend(failed_runs.chunks(runs_per_row).map(|runs| TaskRecord {
        failed_runs: runs.to_vec(),
        ..place.clone()
    }));
    let crash_max_bytes = crashes.iter().map(crash_bytes).max().unwrap_or(1);
    let crashes_per_row = (row_max_bytes / crash_max_bytes).max(1);
    rows.extend(crashes.chunks(crashes_per_row).map(|crashes| TaskRecord {
        crashes: crashes.to_vec(),
        ..place.clone()
    }));
    rows
}

fn task_bytes(task: &TaskRecord) -> usize {
    let crashes_bytes: usize = task.crashes.iter().map(crash_bytes).sum();
    let watched_bytes = task.watched_run.as_ref().map_or(0, watched_run_bytes);
    TASK_BYTES
        + task.failed_runs.len() * RUN_NUMBER_BYTES
        + text_bytes(&task.checkpoint)
        + crashes_bytes
        + watched_bytes
}

fn crash_bytes(crash: &CrashRecord) -> usize {
    CRASH_BYTES + incarnation_bytes(&crash.incarnation)
}

fn watched_run_bytes(run: &WatchedRun) -> usize {
    CRASH_BYTES + incarnation_bytes(&run.incarnation)
}

fn incarnation_bytes(incarnation: &Incarnation) -> usize {
    INCARNATION_BYTES + text_bytes(&incarnation.worker) + text_bytes(&incarnation.instance)
}

/// Returns the most bytes of an encoded text. Few characters need to be escaped.
fn text_bytes(text: &SmolStr) -> usize {
    let bytes_of = |byte: u8| match byte {
        b' ' | b'!' | b'#'..=b'[' | b']'..=b'~' | 0x80.. => 1,
        _ => ESCAPED_BYTES,
    };
    text.bytes().map(bytes_of).sum()
}
