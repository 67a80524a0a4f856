//! The slots of runs at workers: what each takes of the worker's capacity and of the team's limit, and the
//! orders that end it.

use crate::jobs::engine::Engine;
use crate::jobs::keys::{JobKey, RunKey, WorkerKey};
use crate::jobs::orders::{Action, StopOrder};
use crate::jobs::worker::Slot;
use crate::logging::Event;

impl Engine {
    /// Removes a slot from its worker and releases its reservation and its share of the team's
    /// limit.
    pub(crate) fn drop_slot(&mut self, worker: WorkerKey, run: RunKey) -> Option<Slot> {
        let now_ms = self.now_ms;
        let team = self.job(run.task.job).team.clone();
        let holder = self.worker_mut(worker);
        let slot = holder.slots.swap_remove(&run)?;
        holder.used.remove(&slot.reservation);
        holder.long_running_count -= usize::from(slot.is_long_running);
        if holder.slots.is_empty() {
            holder.idle_since_ms = now_ms;
        }
        if let Some(used) = self.team_used.get_mut(&team) {
            used.remove(&slot.size);
        }
        self.job_mut(run.task.job).runs_count -= 1;
        self.end_watch(run.task, worker);
        self.needs_dispatch = true;
        Some(slot)
    }

    /// Adds a slot to a worker, with its reservation and its share of the team's limit.
    pub(crate) fn put_slot(&mut self, worker: WorkerKey, run: RunKey, slot: Slot) {
        let team = self.job(run.task.job).team.clone();
        let used = self.team_used.entry(team).or_default();
        used.add(&slot.size);
        let holder = self.worker_mut(worker);
        holder.used.add(&slot.reservation);
        holder.long_running_count += usize::from(slot.is_long_running);
        holder.slots.insert(run, slot);
        self.job_mut(run.task.job).runs_count += 1;
        self.present.insert(worker);
    }

    /// Orders a worker to stop a run.
    pub(crate) fn stop_run(&mut self, worker: WorkerKey, run: RunKey, reason: &'static str) {
        let now_ms = self.now_ms;
        let Some(slot) = self.worker_mut(worker).slots.get_mut(&run) else {
            return;
        };
        slot.is_stopping = true;
        slot.stop_sent_ms = now_ms;
        let order = StopOrder {
            target: self.target(worker),
            run: Some(run),
            name: self.task_name(run.task),
            run_number: run.run,
        };
        Event::new("stop_sent")
            .with("task", order.name)
            .with("run", run.run)
            .with("worker", &order.target.id)
            .with("reason", reason)
            .info();
        self.actions.push(Action::Stop(order));
    }

    /// Orders the stop of every run of a job's tasks. Other runs of the job are being stopped
    /// already.
    pub(crate) fn stop_job(&mut self, key: JobKey, reason: &'static str) {
        for (worker, run) in self.job(key).runs(key) {
            self.stop_run(worker, run, reason);
        }
    }
}
