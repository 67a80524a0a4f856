//! The journal of the runs on stand-in workers. Tests use it to check that requests ran at most
//! once, and how many requests of each team ran at the same time.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::fleet::Resources;

/// Microseconds since the Unix epoch; a run can start and end within one millisecond.
pub type UnixUs = u64;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Ending {
    /// The task ran to its end and reported success.
    Succeeded,
    /// The task ran to its end and reported failure.
    Failed,
    /// The worker stopped the task because its lease had expired.
    LeaseLapsed,
    /// The worker stopped the task because it was cancelled.
    Cancelled,
    /// The instance was rebooted or removed while the task ran.
    Killed,
}

/// One run of a task on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Caller's id of the request.
    pub request_id: SmolStr,
    /// Attempt that started the run.
    pub attempt_id: SmolStr,
    /// Team; empty for work from a queue that is open to all.
    pub team: SmolStr,
    /// Queue that the request named.
    pub queue: SmolStr,
    /// Name of the worker.
    pub worker: SmolStr,
    /// Incarnation of the worker.
    pub incarnation: SmolStr,
    /// Resources that the request declared.
    pub size: Resources,
    /// When the task started.
    pub started_unix_us: UnixUs,
    /// When it ended; absent while it runs.
    pub ended_unix_us: Option<UnixUs>,
    /// How it ended; absent while it runs.
    pub ending: Option<Ending>,
}

/// A bounded list of runs; the oldest are dropped first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Journal {
    /// The retained runs, ordered by start.
    pub runs: VecDeque<Run>,
    /// Runs dropped because the journal was full; the journal is complete only while this is 0.
    pub dropped_count: u64,
}

impl Journal {
    /// Adds a run and returns its number.
    pub fn push(&mut self, run: Run, runs_max_count: usize) -> u64 {
        while self.runs.len() >= runs_max_count.max(1) {
            self.runs.pop_front();
            self.dropped_count += 1;
        }
        self.runs.push_back(run);
        self.dropped_count + self.runs.len() as u64 - 1
    }

    /// Returns run `number`, if it is still retained.
    pub fn get(&self, number: u64) -> Option<&Run> {
        self.runs.get(self.index(number)?)
    }

    /// Records how run `number` ended.
    pub fn end(&mut self, number: u64, ending: Ending, at_unix_us: UnixUs) {
        let run = self
            .index(number)
            .and_then(|index| self.runs.get_mut(index));
        if let Some(run) = run {
            run.ended_unix_us = Some(at_unix_us);
            run.ending = Some(ending);
        }
    }

    fn index(&self, number: u64) -> Option<usize> {
        usize::try_from(number.checked_sub(self.dropped_count)?).ok()
    }
}

/// Counts the runs of each request.
pub fn run_counts_by_request<'a>(
    runs: impl IntoIterator<Item = &'a Run>,
) -> IndexMap<SmolStr, u32> {
    let mut counts = IndexMap::new();
    for run in runs {
        *counts.entry(run.request_id.clone()).or_default() += 1;
    }
    counts
}

/// Returns the highest number of requests that each team had running at the same time.
///
/// A run that ends in the microsecond in which another starts is counted as ended before it.
pub fn peak_running_by_team<'a>(runs: impl IntoIterator<Item = &'a Run>) -> IndexMap<SmolStr, u32> {
    let mut steps: Vec<(UnixUs, bool, &SmolStr)> = Vec::new();
    for run in runs {
        steps.push((run.started_unix_us, true, &run.team));
        let ended = run
            .ended_unix_us
            // A run that starts and ends in the same microsecond would sort before its own start.
            .map(|ended| ended.max(run.started_unix_us + 1));
        steps.extend(ended.map(|ended| (ended, false, &run.team)));
    }
    steps.sort_unstable();
    let mut running: IndexMap<&SmolStr, u32> = IndexMap::new();
    let mut peaks: IndexMap<SmolStr, u32> = IndexMap::new();
    for (_, is_start, team) in steps {
        let count = running.entry(team).or_default();
        *count = match is_start {
            true => *count + 1,
            false => *count - 1,
        };
        let peak = peaks.entry(team.clone()).or_default();
        *peak = (*peak).max(*count);
    }
    peaks
}
