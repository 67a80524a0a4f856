//! Incarnations of workers: what ends with one, and what the next one may still carry out of the calls
//! that were meant for it.

use crate::jobs::engine::Engine;
use crate::jobs::keys::{RunKey, WorkerKey};
use crate::jobs::lost_runs::{LossReason, LostRun};
use crate::jobs::orders::{Action, PollOrder, PollReply, StopOrder};
use crate::jobs::polls::FAILED_POLL_RETRY_MS;
use crate::jobs::worker::{PollState, Slot, SlotState, LATE_CALL_MS};
use crate::logging::Event;

/// Longest time for which a leader takes an incarnation that has ended for the present one, in milliseconds:
/// its last poll fails, or its own lease ends.
const UNNOTICED_END_MS: u64 = 6_000;

impl Engine {
    /// Records until when calls may arrive that were meant for an earlier incarnation than the one that
    /// answers this leader for the first time.
    pub(crate) fn expect_late_calls(&mut self, key: WorkerKey, reply: &PollReply) {
        let late_calls_until_ms = self.earlier_calls_sent_until_ms(key).map(|sent_until_ms| {
            let ended_ms = self.now_ms + UNNOTICED_END_MS;
            let by_age_ms = (ended_ms + LATE_CALL_MS).saturating_sub(self.least_age_ms(reply));
            by_age_ms.min(sent_until_ms + LATE_CALL_MS)
        });
        self.worker_mut(key).late_calls_until_ms = late_calls_until_ms;
    }

    /// Returns the time until which calls may have been sent that were meant for an earlier incarnation of a
    /// worker; none if nobody has called one. What an earlier leader sends after this one has followed it, it
    /// sends only where the incarnation has answered that is meant.
    fn earlier_calls_sent_until_ms(&self, key: WorkerKey) -> Option<u64> {
        match self.worker(key).is_known_from_start {
            true => Some(self.now_ms),
            false if self.settings.has_earlier_leaders() => Some(self.opened_ms),
            false => None,
        }
    }

    /// Returns for how long the incarnation that answers has run at least, in milliseconds. Its clock and the
    /// time of day each tell an age.
    fn least_age_ms(&self, reply: &PollReply) -> u64 {
        let by_time_of_day_ms = match reply.started_unix_ms {
            0 => 0,
            started_unix_ms => self.unix_ms.saturating_sub(started_unix_ms),
        };
        by_time_of_day_ms.min(reply.clock_ms)
    }

    /// Starts nothing on a worker that has restarted, and polls it again later. It knows no fence any
    /// more, and a later leader may have taken note of what it did before.
    pub(crate) fn put_off_restart(&mut self, key: WorkerKey) {
        let due_ms = self.now_ms + FAILED_POLL_RETRY_MS;
        let worker = self.worker_mut(key);
        worker.is_fenced = false;
        worker.poll = PollState::Idle { due_ms };
    }

    /// Loses the runs of the incarnation before the one that answers a poll. Runs that were ordered since
    /// may be in the new one, and the next poll shows them.
    pub(crate) fn restart_worker(&mut self, order: &PollOrder, reply: &PollReply) {
        let key = order.target.worker;
        let worker = self.worker(key);
        let slots = worker.slots.iter();
        let earlier =
            slots.filter(|(_, slot)| slot.since_ms < order.sent_ms && !slot.is_in_next_incarnation);
        let runs: Vec<RunKey> = earlier.map(|(run, _)| *run).collect();
        Event::new("worker_restarted")
            .with("worker", &worker.info.id)
            .with("born_unix_ms", reply.started_unix_ms)
            .with("former_born_unix_ms", worker.info.started_unix_ms)
            .with("clock_ms", reply.clock_ms)
            .with(
                "lease_end_worker_ms",
                order.lease_end_worker_ms.unwrap_or(0),
            )
            .with("read_through", worker.seen_through)
            .with("acknowledged_through", worker.dropped_through)
            .with("lost_count", runs.len())
            .warn();
        let lost = self.lose_runs(key, runs, LossReason::WorkerRestarted);
        let (now_ms, lease_max_ms) = (self.now_ms, self.settings.run_lease_max_ms);
        self.worker_mut(key)
            .start_incarnation(reply.started_unix_ms, now_ms);
        self.update_known_capacity(key);
        self.block_late_starts(key, &lost);
        // The ends of their leases are times of the earlier clock, which the worker shortens.
        let worker = self.worker_mut(key);
        for slot in worker.slots.values_mut() {
            slot.is_in_next_incarnation = false;
        }
        if !worker.slots.is_empty() {
            worker.leased_until_worker_ms = reply.clock_ms + lease_max_ms;
        }
    }

    /// Prevents the orders among lost runs that are still on their way from starting runs in the next
    /// incarnation of a worker.
    pub(crate) fn block_late_starts(&mut self, key: WorkerKey, lost: &[LostRun]) {
        let late = lost.iter().filter(|lost| lost.slot.state.may_start_late());
        late.for_each(|late| self.block_late_start(key, late));
    }

    /// Waits no longer for late starts at a worker that does not come back under its id.
    pub(crate) fn forget_late_starts(&mut self, key: WorkerKey) {
        let runs: Vec<RunKey> = self.worker(key).slots.keys().copied().collect();
        runs.into_iter().for_each(|run| self.remove_run(key, run));
    }

    /// Prevents an order whose answer was lost from starting the run in the new incarnation. Until the
    /// worker has acknowledged that, the run may be there, and its task is not started elsewhere.
    fn block_late_start(&mut self, key: WorkerKey, late: &LostRun) {
        let run = late.run;
        let is_needed = self.task(run.task).is_some_and(|task| !task.is_done);
        if !is_needed || self.job(run.task.job).state.is_final() {
            return self.stop_untracked(key, run);
        }
        let now_ms = self.now_ms;
        let slot = Slot {
            state: SlotState::OutcomeUnknown { since_ms: now_ms },
            since_ms: now_ms,
            may_start_until_ms: now_ms + LATE_CALL_MS,
            ..late.slot.clone()
        };
        self.change_task(run.task, |task| task.runs.push((key, run.run)));
        self.put_slot(key, run, slot);
        self.stop_run(key, run, "late_start");
    }

    /// Orders a worker to stop, and never to start, a run that the engine does not track.
    fn stop_untracked(&mut self, key: WorkerKey, run: RunKey) {
        let order = StopOrder {
            target: self.target(key),
            run: None,
            name: self.task_name(run.task),
            run_number: run.run,
        };
        self.actions.push(Action::Stop(order));
    }
}
