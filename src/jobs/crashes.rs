//! Which task crashes its workers. Each crash of a worker is held against all tasks that had a run
//! there, since the worker cannot tell which of them was the cause. A suspected task runs alone
//! (see [`quarantine`](crate::jobs::quarantine)): if the worker crashes again, no other task can have
//! been the cause. A task that has crashed enough workers is given up, and the tasks that stood
//! beside it are cleared of those crashes.

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::jobs::engine::{index, Engine};
use crate::jobs::job::JobState;
use crate::jobs::keys::{TaskKey, WorkerKey};
use crate::jobs::lost_runs::{LossReason, LostRun};
use crate::jobs::worker::{Slot, SlotState, Worker};
use crate::logging::Event;

/// Longest time from a start order to the crash after which the start is the likely cause, in
/// milliseconds.
const EARLY_CRASH_MS: u64 = 200;
/// Time after which a run has worked for too long to be the cause of a crash, in milliseconds.
const SETTLED_RUN_MS: u64 = 10_000;
/// The same for a run without an end, which is there whenever a worker crashes, in milliseconds.
pub(crate) const SETTLED_LONG_RUN_MS: u64 = 3_000;
/// Longest time between the last answers of two workers that fail for the same reason, in
/// milliseconds.
const SAME_FAILURE_MS: u64 = 1_000;
/// Number of crashes, whatever stood beside the task, from which it runs alone.
const SUSPECT_CRASHES_COUNT: usize = 2;
/// Number of crashes with nothing else on the worker from which a task is given up.
const CONCLUSIVE_CRASHES_COUNT: usize = 2;
/// Number of instances whose workers crashed from which a task that ends is given up in any case.
const CRASHED_INSTANCES_MAX_COUNT: usize = 4;
/// Number of crashes, of any instances, from which a task that ends is given up in any case.
const CRASHES_MAX_COUNT: usize = 5;

/// One incarnation of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// Id of the worker.
    pub worker: SmolStr,
    /// Its instance; empty if it reports none.
    pub instance: SmolStr,
    /// Unix time at which it started, in milliseconds.
    pub started_unix_ms: u64,
}

/// A crash of a worker that had a run of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The worker that crashed.
    pub incarnation: Incarnation,
    /// Whether it crashed right after the start order.
    pub is_early: bool,
    /// Whether nothing but the task, or its gang, can have been the cause.
    pub is_conclusive: bool,
}

impl CrashRecord {
    /// Returns whether the task is likely to be the cause.
    pub(crate) fn is_strong(&self) -> bool {
        self.is_early || self.is_conclusive
    }
}

/// A run of a task that has lost a worker before. It is recorded before the start order is sent, so
/// that a later leader learns of the crash if the worker is gone by then.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchedRun {
    /// Its worker.
    pub incarnation: Incarnation,
    /// Whether the worker is reserved for the task or its gang.
    pub is_alone: bool,
}

/// Returns whether a task with these crashes has to run alone.
pub(crate) fn is_suspect(crashes: &[CrashRecord]) -> bool {
    crashes.len() >= SUSPECT_CRASHES_COUNT || crashes.iter().any(CrashRecord::is_strong)
}

/// Returns whether a task with these crashes is given up. For a task without an end, which is there
/// whenever a worker crashes, only crashes that are conclusive count.
pub(crate) fn is_crash_limit_reached(crashes: &[CrashRecord], is_long_running: bool) -> bool {
    let conclusive = crashes.iter().filter(|crash| crash.is_conclusive);
    let instances: IndexSet<&SmolStr> = crashes
        .iter()
        .map(|crash| &crash.incarnation.instance)
        .collect();
    let is_spent =
        instances.len() >= CRASHED_INSTANCES_MAX_COUNT || crashes.len() >= CRASHES_MAX_COUNT;
    conclusive.count() >= CONCLUSIVE_CRASHES_COUNT || (is_spent && !is_long_running)
}

/// Returns whether a run can have crashed a worker that was last heard at `heard_ms`.
fn may_be_cause(slot: &Slot, heard_ms: u64) -> bool {
    let settled_ms = match slot.is_long_running {
        true => SETTLED_LONG_RUN_MS,
        false => SETTLED_RUN_MS,
    };
    let ran_ms = heard_ms.saturating_sub(slot.since_ms);
    may_have_run(slot) && ran_ms < settled_ms
}

/// Returns whether the order of a run was sent to the incarnation that is known.
fn may_have_run(slot: &Slot) -> bool {
    slot.state != SlotState::Held && slot.may_start_until_ms == 0
}

/// Returns whether a worker that was last heard at `heard_ms` failed right after the start order of
/// a run.
fn is_early(slot: &Slot, heard_ms: u64) -> bool {
    let ran_ms = heard_ms.saturating_sub(slot.since_ms);
    ran_ms <= EARLY_CRASH_MS && !slot.is_adopted && may_have_run(slot)
}

impl Worker {
    /// Returns the present incarnation.
    pub(crate) fn incarnation(&self) -> Incarnation {
        Incarnation {
            worker: self.info.id.clone(),
            instance: self.info.instance.clone().unwrap_or_default(),
            started_unix_ms: self.info.started_unix_ms,
        }
    }
}

impl Engine {
    /// Holds the crash of a worker against the tasks that had runs there. If other workers failed at
    /// the same time without a likely cause of their own, only a start just before the crash counts.
    pub(crate) fn blame_runs(&mut self, key: WorkerKey, reason: LossReason, lost: &[LostRun]) {
        let worker = self.worker(key);
        let heard_ms = worker.last_heard_ms(self.now_ms);
        let incarnation = worker.incarnation();
        let has_failed_alone = !self.has_common_failure(key, heard_ms);
        let is_reliable = !self.crash_history.is_unreliable(worker, self.now_ms);
        let was_alone = reason != LossReason::LeaseExpired && self.was_alone(key, lost);
        let has_early_run = lost.iter().any(|lost| is_early(&lost.slot, heard_ms));
        let has_cause = has_early_run || self.quarantine.task_of(key).is_some();
        let worker = &self.workers[index(key.0)];
        self.crash_history
            .note_crash(worker, has_cause, self.now_ms);
        for LostRun { run, slot } in lost {
            let is_early = is_early(slot, heard_ms);
            let is_new = !self.has_crashed_instance(run.task, &incarnation.instance);
            let has_no_other_cause = has_failed_alone && is_reliable && is_new;
            if is_early || (has_failed_alone && may_be_cause(slot, heard_ms)) {
                let crash = CrashRecord {
                    incarnation: incarnation.clone(),
                    is_early,
                    is_conclusive: was_alone && (is_early || has_no_other_cause),
                };
                self.blame_task(run.task, crash);
            }
        }
    }

    /// Returns whether a worker has fallen silent right after the start order of a task.
    pub(crate) fn may_have_crashed(&self, task: TaskKey, key: WorkerKey) -> bool {
        let worker = self.worker(key);
        let mut of_task = worker.slots.iter().filter(|(run, _)| run.task == task);
        let silent_since_ms = worker.silent_since_ms;
        silent_since_ms.is_some_and(|heard_ms| of_task.any(|(_, slot)| is_early(slot, heard_ms)))
    }

    /// Returns whether a worker ran nothing but the task or the gang for which it was reserved.
    fn was_alone(&self, key: WorkerKey, lost: &[LostRun]) -> bool {
        let reserved = self.quarantine.task_of(key);
        reserved.is_some_and(|task| {
            lost.iter()
                .all(|lost| self.belong_together(task, lost.run.task))
        })
    }

    /// Returns whether two tasks are the same or members of one gang.
    pub(crate) fn belong_together(&self, one: TaskKey, other: TaskKey) -> bool {
        let is_gang = self.job(one.job).spec.steps[usize::from(one.step)].is_gang;
        let is_same_step = TaskKey { index: 0, ..one } == TaskKey { index: 0, ..other };
        one == other || (is_gang && is_same_step)
    }

    /// Returns whether another worker fell silent at the same time as this one without a likely cause
    /// of its own.
    fn has_common_failure(&self, key: WorkerKey, heard_ms: u64) -> bool {
        let near_ms = heard_ms.saturating_sub(SAME_FAILURE_MS)..=heard_ms + SAME_FAILURE_MS;
        let mut failures = self.crash_history.silences_in(near_ms);
        failures.any(|(silent_since_ms, other)| {
            let state = self.worker(other);
            let mut slots = state.slots.values();
            let is_explained = slots.any(|slot| is_early(slot, silent_since_ms))
                || self.quarantine.task_of(other).is_some()
                || self.crash_history.had_likely_cause(state);
            other != key && state.silent_since_ms == Some(silent_since_ms) && !is_explained
        })
    }

    /// Holds a crash against a task, unless it is known already.
    pub(crate) fn blame_task(&mut self, task: TaskKey, crash: CrashRecord) {
        let Some(state) = self.task(task).filter(|state| !state.is_done) else {
            return;
        };
        let mut known = state.crashes.iter();
        if known.any(|known| known.incarnation == crash.incarnation) {
            return;
        }
        Event::new("task_blamed")
            .with("task", self.task_name(task))
            .with("worker", &crash.incarnation.worker)
            .with("instance", &crash.incarnation.instance)
            .with("crashes_before_count", state.crashes.len())
            .with("is_early", crash.is_early)
            .with("is_conclusive", crash.is_conclusive)
            .info();
        self.change_task(task, |state| {
            state.crashes.push(crash);
            state.isolated_until_ms = None;
        });
        self.mark_dirty(task.job);
        self.quarantine.add_task(task);
    }

    /// Gives up the job of a task that has crashed too many workers; returns whether it did.
    pub(crate) fn give_up_if_spent(&mut self, task: TaskKey) -> bool {
        let step = &self.job(task.job).spec.steps[usize::from(task.step)];
        let is_long_running = step.is_long_running;
        let crashes = self.task(task).map(|state| state.crashes.clone());
        let crashes = crashes.unwrap_or_default();
        if !is_crash_limit_reached(&crashes, is_long_running) {
            return false;
        }
        let conclusive = crashes.iter().filter(|crash| crash.is_conclusive);
        Event::new("task_given_up")
            .with("task", self.task_name(task))
            .with("crashes_count", crashes.len())
            .with("conclusive_count", conclusive.count())
            .warn();
        self.loss_counts.given_up_jobs_count += 1;
        self.end_job(task.job, JobState::Failed, "crashes_spent");
        self.clear_of(&crashes);
        true
    }

    /// Clears all other tasks, and the instances, of crashes of which the cause is known. A task that
    /// was started just before a crash may be a second cause.
    fn clear_of(&mut self, crashes: &[CrashRecord]) {
        let is_explained = |known: &CrashRecord| {
            let mut crashes = crashes.iter();
            !known.is_early && crashes.any(|crash| crash.incarnation == known.incarnation)
        };
        self.crash_history.forget_crashes(crashes);
        for task in self.quarantine.tasks() {
            let has_changed = self.change_task(task, |state| {
                let before_count = state.crashes.len();
                state.crashes.retain(|known| !is_explained(known));
                state.crashes.len() != before_count
            });
            if has_changed == Some(true) {
                self.mark_dirty(task.job);
            }
        }
        self.needs_dispatch = true;
    }
}
