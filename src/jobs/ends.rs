//! Ends of runs: what the end of a run means for its task, its job and its worker.

use smol_str::SmolStr;

use crate::jobs::engine::Engine;
use crate::jobs::job::{JobState, Round};
use crate::jobs::keys::{RunKey, TaskKey, WorkerKey};
use crate::jobs::orders::{EndKind, RunEnd};
use crate::jobs::run_times::FinishedRun;
use crate::jobs::worker::{Slot, SlotState};
use crate::logging::Event;

/// Number of failed runs in a row from which each failure keeps new tasks off the worker for
/// [`FAILED_AVOID_MS`].
const FAILED_STREAK_MAX: u32 = 3;
/// Time for which a worker with repeated failures gets no task, in milliseconds.
const FAILED_AVOID_MS: u64 = 1_500;

impl Engine {
    /// Applies the end of a run that a worker reports, unless it was applied before.
    pub(crate) fn apply_end(&mut self, key: WorkerKey, end: &RunEnd) {
        let worker = self.worker_mut(key);
        if end.number <= worker.seen_through {
            return;
        }
        worker.seen_through = end.number;
        let Some(task) = self.task_key(&end.name) else {
            return;
        };
        let run = RunKey {
            task,
            run: end.run_number,
        };
        let slot = self.drop_slot(key, run);
        let is_live = !self.job(task.job).state.is_final();
        Event::new("run_ended")
            .with("task", end.name)
            .with("run", end.run_number)
            .with("worker", &self.worker(key).info.id)
            .with("born_unix_ms", self.worker(key).info.started_unix_ms)
            .with("number", end.number)
            .with("end", end.kind)
            .with(
                "ran_ms",
                slot.as_ref()
                    .map_or(0, |slot| self.now_ms.saturating_sub(slot.since_ms)),
            )
            .with(
                "confirmed_after_ms",
                slot.as_ref().map_or(0, confirmed_after_ms),
            )
            .info();
        self.record_outcome(key, end.kind, slot.as_ref(), task);
        if !is_live {
            // Until the end of the job is persisted, a later leader still needs this end.
            if !self.job(task.job).persisted_state.is_final() {
                self.persist_progress_before_ack(key, task.job);
            }
            return;
        }
        self.open_round(task);
        let checkpoint = self.usable_checkpoint(&end.checkpoint);
        self.change_task(task, |state| {
            state.runs.retain(|known| *known != (key, end.run_number));
            if let Some(checkpoint) = checkpoint {
                state.checkpoint = checkpoint;
            }
        });
        match end.kind {
            EndKind::Done => self.task_done(key, task),
            EndKind::Failed => self.task_failed(key, run),
            _ => {}
        }
        self.needs_dispatch = true;
    }

    /// Returns a checkpoint that a worker reports, unless it is empty or too large to be persisted.
    pub(crate) fn usable_checkpoint(&self, checkpoint: &SmolStr) -> Option<SmolStr> {
        let is_usable =
            !checkpoint.is_empty() && checkpoint.len() <= self.settings.checkpoint_max_bytes();
        is_usable.then(|| checkpoint.clone())
    }

    /// Opens the occurrences up to the one of a task that a worker reports, which has begun.
    pub(crate) fn open_round(&mut self, task: TaskKey) {
        let job = self.job_mut(task.job);
        while job.rounds.len() <= crate::jobs::engine::index(task.round) {
            job.rounds.push(Round::open(&job.spec));
        }
        self.mark_begun(task.job);
    }

    /// Updates the worker's failure streak and the run-time estimates after a run has ended.
    fn record_outcome(
        &mut self,
        key: WorkerKey,
        kind: EndKind,
        slot: Option<&Slot>,
        task: TaskKey,
    ) {
        let now_ms = self.now_ms;
        let worker = self.worker_mut(key);
        match kind {
            EndKind::Done => worker.failed_streak_count = 0,
            EndKind::Failed => {
                worker.failed_streak_count += 1;
                if worker.failed_streak_count >= FAILED_STREAK_MAX {
                    worker.avoided_until_ms = now_ms + FAILED_AVOID_MS;
                    Event::new("worker_avoided")
                        .with("worker", &worker.info.id)
                        .with("failed_streak_count", worker.failed_streak_count)
                        .with("for_ms", FAILED_AVOID_MS)
                        .warn();
                }
            }
            _ => {}
        }
        let ran = slot.filter(|slot| kind == EndKind::Done && !slot.is_long_running);
        if let Some(slot) = ran {
            let ran_ms = now_ms.saturating_sub(slot.since_ms);
            let job = self.job(task.job);
            let (queue, spec) = (job.queue.clone(), job.spec.clone());
            let step = &spec.steps[usize::from(task.step)];
            let expected_ms = self.run_times.expected_ms(&queue, step);
            let near_ms = self.near_run_ms(slot, ran_ms);
            let verdict = self.run_times.verdict(&queue, step, near_ms);
            // Only a part of an adopted run is known, and it would seem short.
            let is_comparable = verdict.is_none() || !slot.is_adopted;
            // Far from its rack a task takes longer on any worker.
            if !slot.is_remote && is_comparable && expected_ms > 0 {
                let worker = self.worker_mut(key);
                worker.slowness.observe(ran_ms, expected_ms, verdict);
            }
            let run = FinishedRun {
                job: task.job,
                ran_ms: near_ms,
                is_adopted: slot.is_adopted,
            };
            self.run_times.observe(&queue, step, &run);
        }
    }

    fn task_done(&mut self, key: WorkerKey, task: TaskKey) {
        let spec = self.job(task.job).spec.clone();
        let is_gang = spec.steps[usize::from(task.step)].is_gang;
        let members = match is_gang {
            true => 0..spec.steps[usize::from(task.step)].tasks_count,
            false => task.index..task.index + 1,
        };
        let mut is_first = false;
        for index in members {
            let member = TaskKey { index, ..task };
            let was_done =
                self.change_task(member, |state| std::mem::replace(&mut state.is_done, true));
            is_first |= was_done == Some(false);
        }
        if !is_first {
            // The end that is known may be lost with its worker before it is persisted.
            self.persist_progress_before_ack(key, task.job);
            return;
        }
        self.stop_copies(task);
        if self.job(task.job).is_all_done() {
            self.complete_job(task);
        } else {
            self.mark_dirty(task.job);
        }
        self.persist_before_ack(key);
    }

    fn stop_copies(&mut self, task: TaskKey) {
        let runs = self.task(task).map(|state| state.runs.clone());
        for (worker, run) in runs.unwrap_or_default() {
            self.stop_run(worker, RunKey { task, run }, "copy_done");
        }
    }

    fn complete_job(&mut self, task: TaskKey) {
        let job = self.job(task.job);
        let (now_ms, target_ms) = (self.now_ms, job.target_ms);
        Event::new("job_done")
            .with("job", job.id)
            .with("queue", &job.queue)
            .with("took_ms", now_ms.saturating_sub(job.accepted_ms))
            .with("late_ms", now_ms.saturating_sub(target_ms))
            .info();
        self.observe_forecast(task.job);
        self.end_job(task.job, JobState::Complete, "complete");
    }

    fn task_failed(&mut self, key: WorkerKey, run: RunKey) {
        let job = self.job(run.task.job);
        let attempts_max = job.terms.map_or(u32::MAX, |terms| terms.attempts_max);
        let is_long_running = job.spec.steps[usize::from(run.task.step)].is_long_running;
        if is_long_running {
            return;
        }
        let failed_count = self.change_task(run.task, |state| {
            if !state.failed_runs.contains(&run.run) {
                state.failed_runs.push(run.run);
            }
            state.failed_runs.len()
        });
        let is_spent = failed_count
            .is_some_and(|count| u32::try_from(count).is_ok_and(|count| count >= attempts_max));
        match is_spent {
            true => self.end_job(run.task.job, JobState::Failed, "attempts_spent"),
            false => self.mark_dirty(run.task.job),
        }
        self.persist_before_ack(key);
    }
}

/// Returns the time from a start order until its worker confirmed the run, in milliseconds.
fn confirmed_after_ms(slot: &Slot) -> u64 {
    match slot.state {
        SlotState::Placed { since_ms } => since_ms.saturating_sub(slot.since_ms),
        _ => 0,
    }
}
