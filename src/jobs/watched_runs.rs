//! Runs that an earlier leader recorded (see [`start_orders`](crate::jobs::start_orders)): whether
//! they are still there, or their workers have crashed since.

use std::collections::HashMap;

use smol_str::SmolStr;

use crate::jobs::crashes::{CrashRecord, WatchedRun};
use crate::jobs::engine::{index, Engine};
use crate::jobs::keys::{JobKey, TaskKey, WorkerKey};
use crate::logging::Event;

/// Recorded runs whose workers have not answered this leader, by the ids of the workers.
#[derive(Clone, Debug, Default)]
pub(crate) struct InheritedRuns {
    by_worker: HashMap<SmolStr, Vec<TaskKey>>,
}

/// What has become of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WorkerFate {
    /// It answers.
    Answers {
        /// Unix time at which the incarnation that answers started, in milliseconds.
        started_unix_ms: u64,
    },
    /// Its instance has another worker, or none.
    Replaced,
    /// It has not answered for as long as a run can be left there.
    Silent,
}

impl WorkerFate {
    /// Returns whether the incarnation of a run is gone.
    fn is_crash_of(self, run: &WatchedRun) -> bool {
        match self {
            Self::Answers { started_unix_ms } => {
                let recorded_unix_ms = run.incarnation.started_unix_ms;
                let are_known = recorded_unix_ms != 0 && started_unix_ms != 0;
                are_known && recorded_unix_ms != started_unix_ms
            }
            Self::Replaced | Self::Silent => true,
        }
    }
}

impl Engine {
    /// Finds the crashes and the recorded runs of a job that has been restored.
    pub(crate) fn restore_suspicions(&mut self, job: JobKey) {
        for task in self.job(job).task_keys(job) {
            let Some(state) = self.task(task) else {
                continue;
            };
            let has_crashes = !state.crashes.is_empty();
            if let Some(run) = &state.watched_run {
                let id = run.incarnation.worker.clone();
                let runs = self.inherited_runs.by_worker.entry(id);
                runs.or_default().push(task);
            }
            if has_crashes {
                self.quarantine.add_task(task);
            }
        }
    }

    /// Decides what became of the recorded runs at a worker, once its fate is known. A worker that
    /// was about to leave has not crashed.
    pub(crate) fn settle_inherited_runs(&mut self, key: WorkerKey, fate: WorkerFate) {
        let info = &self.workers[index(key.0)].info;
        let is_leaving = info.is_draining;
        let Some(tasks) = self.inherited_runs.by_worker.remove(&info.id) else {
            return;
        };
        for task in tasks {
            let state = self.task(task);
            let run = state.and_then(|state| state.watched_run.clone());
            let id = &self.worker(key).info.id;
            let Some(run) = run.filter(|run| run.incarnation.worker == *id) else {
                continue;
            };
            let is_there = state.is_some_and(|state| state.runs.iter().any(|(at, _)| *at == key));
            match fate.is_crash_of(&run) {
                true if !is_leaving => self.blame_inherited_run(task, run, fate),
                false if is_there && run.is_alone => self.reserve_beyond_limit(key, task),
                _ if !is_there => self.end_watch(task, key),
                _ => {}
            }
        }
    }

    fn blame_inherited_run(&mut self, task: TaskKey, run: WatchedRun, fate: WorkerFate) {
        Event::new("inherited_run_crashed")
            .with("task", self.task_name(task))
            .with("worker", &run.incarnation.worker)
            .with("was_alone", run.is_alone)
            .warn();
        self.change_task(task, |state| state.watched_run = None);
        let crash = CrashRecord {
            is_early: false,
            is_conclusive: run.is_alone && fate != WorkerFate::Silent,
            incarnation: run.incarnation,
        };
        self.blame_task(task, crash);
        self.needs_dispatch = true;
    }
}
