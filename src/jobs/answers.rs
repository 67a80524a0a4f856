//! Handling of the workers' answers to start and stop orders.

use crate::jobs::engine::Engine;
use crate::jobs::keys::{RunKey, WorkerKey};
use crate::jobs::orders::{OrderFailure, StartOrder, StopOrder};
use crate::jobs::worker::{PollState, SlotState};
use crate::logging::Event;

/// Time for which a worker gets no task after it lacked capacity, refused a late start, could not
/// be called or did not answer, in milliseconds.
const NO_CAPACITY_AVOID_MS: u64 = 120;
/// Time for which a worker gets no task after it refused a start as unhealthy or invalid, in
/// milliseconds.
const UNHEALTHY_AVOID_MS: u64 = 800;

impl Engine {
    /// Handles the acceptance of a start by a worker.
    pub fn start_accepted(&mut self, order: &StartOrder, clock_ms: Option<u64>, now_ms: u64) {
        self.now_ms = now_ms.max(self.now_ms);
        let now_ms = self.now_ms;
        let worker = self.worker_mut(order.target.worker);
        worker.answered_ms = now_ms;
        let sent_ms = worker.slots.get(&order.run).map(|slot| slot.since_ms);
        let is_same = order.target.started_unix_ms == worker.info.started_unix_ms;
        let mut is_in_next_incarnation = false;
        match (clock_ms, sent_ms) {
            (Some(clock_ms), Some(sent_ms)) if worker.is_later_incarnation(clock_ms, sent_ms) => {
                is_in_next_incarnation = true;
                self.follow_unknown_incarnation(order.target.worker, clock_ms);
            }
            // An answer of an earlier incarnation shows another clock.
            (Some(clock_ms), Some(sent_ms)) if is_same => {
                worker.read_clock(clock_ms, sent_ms, now_ms);
            }
            _ => {}
        }
        let worker = self.worker_mut(order.target.worker);
        if let Some(slot) = worker.slots.get_mut(&order.run) {
            slot.is_in_next_incarnation = is_in_next_incarnation;
            if matches!(slot.state, SlotState::Sent) {
                slot.state = SlotState::Placed { since_ms: now_ms };
            }
        }
        // The job may have been dropped meanwhile, and its key reused.
        if self.job(order.run.task.job).id == order.name.job {
            self.mark_begun(order.run.task.job);
        }
        self.request_poll(order.target.worker);
    }

    /// Handles a failed start.
    pub fn start_failed(&mut self, order: &StartOrder, failure: OrderFailure, now_ms: u64) {
        self.now_ms = now_ms.max(self.now_ms);
        let now_ms = self.now_ms;
        let key = order.target.worker;
        Event::new("start_failed")
            .with("task", order.name)
            .with("run", order.run.run)
            .with("worker", &order.target.id)
            .with("born_unix_ms", order.target.started_unix_ms)
            .with("lease_end_worker_ms", order.lease_end_worker_ms)
            .with("failure", failure)
            .info();
        self.apply_failure(key, failure);
        if !failure.is_not_carried_out() {
            let lease_max_ms = self.settings.run_lease_max_ms;
            let worker = self.worker_mut(key);
            worker.avoided_until_ms = worker.avoided_until_ms.max(now_ms + NO_CAPACITY_AVOID_MS);
            worker.count_unconfirmed_lease(lease_max_ms, now_ms);
            let sent_ms = worker.slots.get(&order.run).map(|slot| slot.since_ms);
            if let Some(slot) = worker.slots.get_mut(&order.run) {
                slot.state = SlotState::OutcomeUnknown { since_ms: now_ms };
            }
            self.note_lost_lease(key, sent_ms.unwrap_or(now_ms));
            self.request_poll(key);
            return;
        }
        self.avoid_after(key, failure);
        if failure == OrderFailure::NoTicket {
            self.tickets.drop_worker(order.run.task, key);
        }
        self.remove_run(key, order.run);
    }

    fn avoid_after(&mut self, key: WorkerKey, failure: OrderFailure) {
        let avoid_ms = match failure {
            OrderFailure::NoCapacity | OrderFailure::Late | OrderFailure::NotSent => {
                NO_CAPACITY_AVOID_MS
            }
            OrderFailure::Unhealthy | OrderFailure::Invalid => UNHEALTHY_AVOID_MS,
            _ => 0,
        };
        let now_ms = self.now_ms;
        let worker = self.worker_mut(key);
        worker.avoided_until_ms = worker.avoided_until_ms.max(now_ms + avoid_ms);
        self.request_poll(key);
    }

    pub(crate) fn remove_run(&mut self, key: WorkerKey, run: RunKey) {
        self.drop_slot(key, run);
        self.change_task(run.task, |task| {
            task.runs.retain(|known| *known != (key, run.run));
        });
        self.needs_dispatch = true;
    }

    /// Handles the acknowledgement of a stop by a worker.
    pub fn stop_accepted(&mut self, order: &StopOrder, now_ms: u64) {
        self.now_ms = now_ms.max(self.now_ms);
        let now_ms = self.now_ms;
        let Some(run) = order.run else {
            return;
        };
        let worker = self.worker_mut(order.target.worker);
        // What an earlier incarnation refuses to start, the present one may still start.
        let is_same = order.target.started_unix_ms == worker.info.started_unix_ms;
        if let Some(slot) = worker.slots.get_mut(&run) {
            if is_same && matches!(slot.state, SlotState::OutcomeUnknown { .. }) {
                slot.state = SlotState::StartBlocked { since_ms: now_ms };
            }
        }
    }

    /// Handles a failed stop; the order is sent again later.
    pub fn stop_failed(&mut self, order: &StopOrder, failure: OrderFailure, now_ms: u64) {
        self.now_ms = now_ms.max(self.now_ms);
        Event::new("stop_failed")
            .with("task", order.name)
            .with("run", order.run_number)
            .with("worker", &order.target.id)
            .with("failure", failure)
            .info();
        self.apply_failure(order.target.worker, failure);
    }

    /// Makes a poll due as soon as the pause since the last one is over, unless one is in flight.
    pub(crate) fn request_poll(&mut self, key: WorkerKey) {
        let now_ms = self.now_ms;
        let worker = self.worker_mut(key);
        let soonest_ms = worker.next_poll_ms.max(now_ms);
        if let PollState::Idle { due_ms } = &mut worker.poll {
            *due_ms = (*due_ms).min(soonest_ms);
        }
    }
}
