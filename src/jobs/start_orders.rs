//! Start orders. The order of a task that has lost a worker before is sent once a record names the
//! worker, so that a later leader learns of another crash.

use crate::jobs::copies::copy_after_ms;
use crate::jobs::crashes::{is_suspect, WatchedRun};
use crate::jobs::dispatch::RUNS_PER_FENCE;
use crate::jobs::engine::Engine;
use crate::jobs::job::JobState;
use crate::jobs::keys::{JobKey, RunKey, TaskKey, WorkerKey};
use crate::jobs::orders::{Action, StartOrder};
use crate::jobs::polls::new_slot;
use crate::jobs::spec::{Size, StepSpec};
use crate::jobs::worker::{Slot, SlotState};
use crate::logging::Event;

/// A start order that is sent once its record is persisted.
#[derive(Debug)]
pub(crate) struct HeldStart {
    /// Batch of records that holds the record.
    batch: u64,
    worker: WorkerKey,
    run: RunKey,
}

impl Engine {
    /// Takes the next number for a run of a task.
    pub(crate) fn next_run_number(&mut self, task: TaskKey) -> u64 {
        let base = self.settings.fence.saturating_sub(1) * RUNS_PER_FENCE;
        let count = self.change_task(task, |task| {
            task.numbered_count += 1;
            task.numbered_count
        });
        base + count.unwrap_or(1)
    }

    /// Orders a worker to start a run of a task, now or once it is recorded that the run is there.
    pub(crate) fn order_start(
        &mut self,
        key: WorkerKey,
        task: TaskKey,
        number: u64,
        step: &StepSpec,
        is_remote: bool,
    ) -> RunKey {
        let now_ms = self.now_ms;
        self.starts_left = self.starts_left.saturating_sub(1);
        let run = RunKey { task, run: number };
        let is_held = self.watch_run(key, task, step);
        self.pace_cold_starts(key);
        self.lease_for_start(key);
        let state = match is_held {
            true => SlotState::Held,
            false => SlotState::Sent,
        };
        let slot = Slot {
            is_remote,
            ..new_slot(step, state, now_ms)
        };
        self.put_slot(key, run, slot);
        self.refresh_worker(key);
        self.change_task(task, |state| {
            state.runs.push((key, number));
            state.started_ms = now_ms;
        });
        self.schedule_copy(task, step);
        match is_held {
            true => self.held_starts.push(HeldStart {
                batch: self.next_batch_number(),
                worker: key,
                run,
            }),
            false => self.send_start(key, run),
        }
        run
    }

    /// Records that a worker has begun a task of a job. An order alone shows nothing: it may be refused,
    /// or wait for its record.
    pub(crate) fn mark_begun(&mut self, key: JobKey) {
        if self.job(key).state == JobState::Queued {
            self.job_mut(key).state = JobState::Active;
        }
    }

    /// Sets the time of the next start on a worker that is slow after its own start.
    fn pace_cold_starts(&mut self, key: WorkerKey) {
        let now_ms = self.now_ms;
        let pool = self.catalog.pools.get(&self.worker(key).info.pool);
        let cold_starts_per_s = pool.map_or(0.0, |pool| pool.cold_starts_per_s);
        self.worker_mut(key)
            .pace_cold_starts(cold_starts_per_s, now_ms);
    }

    /// Extends the leases of a worker for a start; returns their end on the worker's clock.
    fn lease_for_start(&mut self, key: WorkerKey) -> u64 {
        let (now_ms, lease_ms) = (self.now_ms, self.settings.run_lease_ms);
        let lease_max_ms = self.settings.run_lease_max_ms;
        let worker = self.worker_mut(key);
        worker.count_lease(lease_ms, lease_max_ms, now_ms);
        worker.worker_time_ms(now_ms).unwrap_or(0) + lease_ms
    }

    /// Records on which worker a task runs that has lost a worker before, or whose gang has. Returns
    /// whether its start has to wait for the record.
    fn watch_run(&mut self, key: WorkerKey, task: TaskKey, step: &StepSpec) -> bool {
        let members = match step.is_gang {
            true => 0..step.tasks_count,
            false => task.index..task.index + 1,
        };
        let tasks = members.filter_map(|index| self.task(TaskKey { index, ..task }));
        let crashes: Vec<_> = tasks.map(|state| &state.crashes[..]).collect();
        if crashes.iter().all(|crashes| crashes.is_empty()) {
            return false;
        }
        let is_held = crashes.iter().any(|crashes| is_suspect(crashes));
        let watch = WatchedRun {
            incarnation: self.worker(key).incarnation(),
            is_alone: self.quarantine.task_of(key).is_some(),
        };
        self.change_task(task, |state| state.watched_run = Some(watch));
        self.mark_dirty(task.job);
        is_held
    }

    /// Ends the watch of a task's run at a worker.
    pub(crate) fn end_watch(&mut self, task: TaskKey, key: WorkerKey) {
        let id = &self.worker(key).info.id;
        let watched = self.task(task).and_then(|state| state.watched_run.as_ref());
        if watched.is_some_and(|watched| watched.incarnation.worker == *id) {
            self.change_task(task, |state| state.watched_run = None);
            self.mark_dirty(task.job);
        }
    }

    fn send_start(&mut self, key: WorkerKey, run: RunKey) {
        let now_ms = self.now_ms;
        let task = run.task;
        let lease_end_worker_ms = self.lease_for_start(key);
        let ticket = self.tickets.of(task, key);
        let checkpoint = self.task(task).map(|state| state.checkpoint.clone());
        let job = self.job(task.job);
        let order = StartOrder {
            target: self.target(key),
            run,
            name: self.task_name(task),
            spec: job.spec.clone(),
            lease_end_worker_ms,
            checkpoint: checkpoint.unwrap_or_default(),
            ticket,
        };
        let event = Event::new("start_sent")
            .with("task", order.name)
            .with("run", run.run)
            .with("worker", &order.target.id)
            .with("born_unix_ms", order.target.started_unix_ms)
            .with("fence", order.target.fence)
            .with("lease_end_worker_ms", order.lease_end_worker_ms)
            .with("since_accepted_ms", now_ms.saturating_sub(job.accepted_ms))
            .with("target_in_ms", job.target_ms.saturating_sub(now_ms));
        self.with_lease_state(event).info();
        self.actions.push(Action::Start(order));
    }

    /// Sends the start orders whose records are in the batches up to `batch`, unless they have been
    /// stopped meanwhile, or their worker was lost or takes no tasks any more.
    pub(crate) fn send_held_starts(&mut self, batch: u64) {
        let held = std::mem::take(&mut self.held_starts);
        let (due, later): (Vec<_>, Vec<_>) = held.into_iter().partition(|held| held.batch <= batch);
        self.held_starts = later;
        for HeldStart { worker, run, .. } in due {
            let now_ms = self.now_ms;
            let may_start = self.may_send_start(worker, run);
            match self.worker_mut(worker).slots.get_mut(&run) {
                Some(slot) if slot.is_stopping || !may_start => self.remove_run(worker, run),
                Some(slot) => {
                    slot.state = SlotState::Sent;
                    slot.since_ms = now_ms;
                    self.send_start(worker, run);
                }
                None => {}
            }
        }
    }

    /// Returns whether a worker still is one on which a run that has waited for its record may start.
    fn may_send_start(&self, key: WorkerKey, run: RunKey) -> bool {
        let worker = self.worker(key);
        let is_usable = worker.takes_ordered_starts(self.now_ms);
        let is_within_capacity = worker
            .used
            .fits_with(&Size::default(), &worker.info.capacity);
        is_usable && is_within_capacity && worker.info.pool == self.job(run.task.job).pool
    }

    /// Schedules a copy of a task that has just started, where its step allows copies.
    pub(crate) fn schedule_copy(&mut self, task: TaskKey, step: &StepSpec) {
        if step.may_have_copies() {
            let queue = &self.job(task.job).queue;
            let due_ms = self.now_ms + copy_after_ms(&self.run_times, queue, step);
            self.copies_due.insert((due_ms, task));
        }
    }
}
