//! Delay scheduling: whether a task that could start elsewhere waits for a slot in the rack of its
//! data. A waiting task reserves nothing; its wait is decided again in each pass, within bounds
//! that count from the first decision.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::jobs::engine::Engine;
use crate::jobs::job::Job;
use crate::jobs::keys::{JobKey, TaskKey};
use crate::jobs::ranking::{is_in_time, latest_start_ms};
use crate::jobs::spec::StepSpec;
use crate::logging::Event;

/// Factor of a deployment in which all racks are equal, in thousandths.
pub(crate) const FACTOR_NONE_PERMILLE: u64 = 1_000;
/// Longest wait while nothing else of the job is running, in milliseconds.
const NOTHING_RUNNING_MAX_MS: u64 = 1_500;
/// Longest time between two decisions on a wait, in milliseconds.
const RECHECK_MS: u64 = 200;
/// Most waits at once; beyond them, tasks start elsewhere.
const WAITS_MAX_COUNT: usize = 4_096;

/// What a decision depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlaceChoice {
    /// Time of the decision, in milliseconds.
    pub now_ms: u64,
    /// Expected run time near the data, in milliseconds.
    pub run_ms: u64,
    /// Run time elsewhere relative to that, in thousandths.
    pub remote_factor_permille: u64,
    /// Expected start near the data, in milliseconds; none if no worker there will have room.
    pub near_start_ms: Option<u64>,
    /// Time of the first decision to wait, in milliseconds; `now_ms` if there was none.
    pub since_ms: u64,
    /// Latest start that meets the job's target, in milliseconds; none if the job is late already.
    pub latest_start_ms: Option<u64>,
    /// Whether anything else of the job is running.
    pub has_running: bool,
}

/// Outcome of a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum PlaceVerdict {
    /// The task waits.
    Wait {
        /// Time at which the wait ends in any case, in milliseconds.
        until_ms: u64,
    },
    /// It starts elsewhere, because no worker near its data will have room.
    NoRoomNear,
    /// It starts elsewhere, because it is expected to end there no later.
    NotFaster,
    /// It starts elsewhere, because the wait would exceed its bounds.
    BoundReached,
}

/// Decides whether a task that could start elsewhere waits for a slot near its data.
pub fn choose_place(choice: &PlaceChoice) -> PlaceVerdict {
    let remote_ms = scaled(choice.run_ms, choice.remote_factor_permille);
    let gain_ms = remote_ms.saturating_sub(choice.run_ms);
    let until_ms = wait_until_ms(choice, gain_ms);
    match choice.near_start_ms {
        _ if gain_ms == 0 => PlaceVerdict::NotFaster,
        None => PlaceVerdict::NoRoomNear,
        Some(start_ms) if start_ms >= choice.now_ms + gain_ms => PlaceVerdict::NotFaster,
        Some(start_ms) if start_ms > until_ms || until_ms <= choice.now_ms => {
            PlaceVerdict::BoundReached
        }
        Some(_) => PlaceVerdict::Wait { until_ms },
    }
}

/// Returns the time at which a wait ends in any case, in milliseconds.
fn wait_until_ms(choice: &PlaceChoice, gain_ms: u64) -> u64 {
    let by_gain_ms = choice.since_ms + gain_ms;
    let by_target_ms = choice.latest_start_ms.unwrap_or(u64::MAX);
    let by_job_ms = match choice.has_running {
        true => u64::MAX,
        false => choice.since_ms + NOTHING_RUNNING_MAX_MS,
    };
    by_gain_ms.min(by_target_ms).min(by_job_ms)
}

pub(crate) fn scaled(time_ms: u64, factor_permille: u64) -> u64 {
    time_ms.saturating_mul(factor_permille) / 1_000
}

/// One wait.
#[derive(Clone, Debug)]
struct Wait {
    since_ms: u64,
    rack: SmolStr,
}

/// Numbers of waits since they were taken last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlaceWaitCounts {
    /// Waits that began.
    pub started_count: u64,
    /// Waits after which the task started near its data.
    pub won_count: u64,
    /// Waits after which the task started elsewhere.
    pub lost_count: u64,
}

/// How a wait ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum WaitOutcome {
    /// The task starts near its data.
    Won,
    /// It starts elsewhere.
    Lost,
    /// It is no longer to be started.
    Dropped,
}

/// The waits of all tasks; that of a gang is under its first task.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlaceWaits {
    waits: BTreeMap<TaskKey, Wait>,
    /// Time at which a wait has to be decided again without any event.
    check_ms: Option<u64>,
    counts: PlaceWaitCounts,
}

impl PlaceWaits {
    /// Returns the tasks that wait for a rack.
    pub(crate) fn for_rack<'w>(&'w self, rack: &'w SmolStr) -> impl Iterator<Item = TaskKey> + 'w {
        let waits = self
            .waits
            .iter()
            .filter(move |(_, wait)| wait.rack == *rack);
        waits.map(|(task, _)| *task)
    }

    /// Returns whether nothing waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.waits.is_empty()
    }

    /// Returns whether a wait has to be decided again.
    pub(crate) fn is_check_due(&self, now_ms: u64) -> bool {
        self.check_ms.is_some_and(|check_ms| check_ms <= now_ms)
    }

    /// Begins a pass, which decides again on the waits that it visits.
    pub(crate) fn begin_pass(&mut self) {
        self.check_ms = None;
    }

    fn check_by(&mut self, check_ms: u64) {
        let earlier_ms = self.check_ms.map_or(check_ms, |known| known.min(check_ms));
        self.check_ms = Some(earlier_ms);
    }
}

impl Engine {
    /// Returns whether tasks take longer outside the rack of their data.
    pub(crate) fn has_remote_factor(&self) -> bool {
        self.settings.remote_factor_permille > FACTOR_NONE_PERMILLE
    }

    /// Returns whether a task of `step` may wait for a rack.
    pub(crate) fn may_wait(&self, step: &StepSpec) -> bool {
        self.has_remote_factor() && !step.is_long_running
    }

    /// Decides whether a task that could start elsewhere waits for a start near its data.
    pub(crate) fn verdict(
        &self,
        task: TaskKey,
        run_ms: u64,
        near_start_ms: Option<u64>,
    ) -> PlaceVerdict {
        let wait = self.place_waits.waits.get(&task);
        let since_ms = wait.map_or(self.now_ms, |wait| wait.since_ms);
        self.verdict_for(self.job(task.job), since_ms, run_ms, near_start_ms)
    }

    /// Decides whether a task of `job` waits that was first decided on at `since_ms`.
    pub(crate) fn verdict_for(
        &self,
        job: &Job,
        since_ms: u64,
        run_ms: u64,
        near_start_ms: Option<u64>,
    ) -> PlaceVerdict {
        choose_place(&PlaceChoice {
            now_ms: self.now_ms,
            run_ms,
            remote_factor_permille: self.settings.remote_factor_permille,
            near_start_ms,
            since_ms,
            latest_start_ms: latest_start_of(job, self.now_ms),
            has_running: job.runs_count > 0,
        })
    }

    /// Begins or continues a wait; returns whether the task may wait.
    pub(crate) fn hold_wait(
        &mut self,
        task: TaskKey,
        rack: &SmolStr,
        until_ms: u64,
        start_ms: u64,
    ) -> bool {
        let now_ms = self.now_ms;
        let waits = &mut self.place_waits;
        if let Some(wait) = waits.waits.get_mut(&task) {
            // A gang may find another rack better by now.
            wait.rack = rack.clone();
        } else {
            if waits.waits.len() >= WAITS_MAX_COUNT {
                return false;
            }
            let wait = Wait {
                since_ms: now_ms,
                rack: rack.clone(),
            };
            waits.waits.insert(task, wait);
            waits.counts.started_count += 1;
            Event::new("place_wait_started")
                .with("task", self.task_name(task))
                .with("rack", rack)
                .with("expected_ms", start_ms.saturating_sub(now_ms))
                .with("at_most_ms", until_ms.saturating_sub(now_ms))
                .info();
        }
        self.place_waits.check_by(until_ms.min(now_ms + RECHECK_MS));
        true
    }

    /// Ends the wait of a task, if it waits.
    pub(crate) fn end_place_wait(&mut self, task: TaskKey, outcome: WaitOutcome) {
        let Some(wait) = self.place_waits.waits.remove(&task) else {
            return;
        };
        let counts = &mut self.place_waits.counts;
        match outcome {
            WaitOutcome::Won => counts.won_count += 1,
            WaitOutcome::Lost => counts.lost_count += 1,
            WaitOutcome::Dropped => {}
        }
        Event::new("place_wait_ended")
            .with("task", self.task_name(task))
            .with("rack", &wait.rack)
            .with("outcome", outcome)
            .with("waited_ms", self.now_ms.saturating_sub(wait.since_ms))
            .info();
    }

    /// Drops the waits of all tasks of a job.
    pub(crate) fn drop_place_waits(&mut self, job: JobKey) {
        let first = TaskKey {
            job,
            round: 0,
            step: 0,
            index: 0,
        };
        let last = TaskKey {
            job,
            round: u32::MAX,
            step: u16::MAX,
            index: u32::MAX,
        };
        let waits = self.place_waits.waits.range(first..=last);
        for task in waits.map(|(task, _)| *task).collect::<Vec<_>>() {
            self.end_place_wait(task, WaitOutcome::Dropped);
        }
    }

    /// Takes the numbers of waits since the last call.
    pub fn take_place_wait_counts(&mut self) -> PlaceWaitCounts {
        std::mem::take(&mut self.place_waits.counts)
    }

    /// Returns the number of tasks and gangs that wait for a rack.
    pub fn place_waits_count(&self) -> usize {
        self.place_waits.waits.len()
    }
}

/// Returns the latest start that meets the target of a job, or `None` if the job is late.
fn latest_start_of(job: &Job, now_ms: u64) -> Option<u64> {
    is_in_time(job, now_ms).then(|| latest_start_ms(job))
}
