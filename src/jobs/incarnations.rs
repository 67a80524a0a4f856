//! Incarnations of workers: what ends with one, and what the next one may still carry out of the calls
//! that were meant for it.

use crate::jobs::engine::Engine;
use crate::jobs::keys::{RunKey, WorkerKey};
use crate::jobs::lost_runs::{LossReason, LostRun};
use crate::jobs::orders::{Action, PollOrder, PollReply, StopOrder};
use crate::jobs::polls::FAILED_POLL_RETRY_MS;
use crate::jobs::worker::{PollState, Slot, SlotState, LATE_CALL_MS};
use crate::logging::Event;

impl Engine {
    /// Counts the leases that an incarnation may have by calls of which this leader knows nothing, at its first
    /// answer to it. From then on it refuses the calls of earlier leaders, and what these have given ends within
    /// the longest lease. Calls of this leader that were meant for an earlier incarnation may still arrive.
    pub(crate) fn count_unknown_leases(&mut self, key: WorkerKey) {
        let (now_ms, lease_max_ms) = (self.now_ms, self.settings.run_lease_max_ms);
        let has_earlier_leaders = self.settings.has_earlier_leaders();
        let worker = self.worker_mut(key);
        if worker.is_known_from_start {
            worker.late_calls_until_ms = Some(now_ms + LATE_CALL_MS);
        }
        if worker.is_known_from_start || has_earlier_leaders {
            worker.count_lease(lease_max_ms, lease_max_ms, now_ms);
        }
    }

    /// Counts leases on the clock of an incarnation that has accepted a start and of which nothing else is
    /// known.
    pub(crate) fn follow_unknown_incarnation(&mut self, key: WorkerKey, clock_ms: u64) {
        let (now_ms, lease_max_ms) = (self.now_ms, self.settings.run_lease_max_ms);
        let worker = self.worker_mut(key);
        worker.follow_clock(clock_ms, now_ms);
        worker.expect_lost_calls();
        worker.count_lease(lease_max_ms, lease_max_ms, now_ms);
    }

    /// Records that a call sent at `sent_ms`, which may give leases, has had no answer. If another
    /// incarnation is followed since, it may still arrive there.
    pub(crate) fn note_lost_lease(&mut self, key: WorkerKey, sent_ms: u64) {
        let (now_ms, lease_max_ms) = (self.now_ms, self.settings.run_lease_max_ms);
        let worker = self.worker_mut(key);
        worker.lost_lease_ms = Some(now_ms);
        if sent_ms < worker.followed_since_ms {
            worker.expect_lost_calls();
            worker.count_lease(0, lease_max_ms, now_ms);
        }
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
        let now_ms = self.now_ms;
        self.worker_mut(key)
            .start_incarnation(reply.started_unix_ms, now_ms);
        self.update_known_capacity(key);
        self.block_late_starts(key, &lost);
        for slot in self.worker_mut(key).slots.values_mut() {
            slot.is_in_next_incarnation = false;
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
    /// worker has acknowledged that, the run may be there, and its task is not started elsewhere, unless it
    /// may have copies.
    fn block_late_start(&mut self, key: WorkerKey, late: &LostRun) {
        let run = late.run;
        let is_done = self.task(run.task).is_none_or(|task| task.is_done);
        let job = self.job(run.task.job);
        let may_have_copies = job.spec.steps[usize::from(run.task.step)].may_have_copies();
        if is_done || may_have_copies || job.state.is_final() {
            return self.stop_untracked(key, run);
        }
        let now_ms = self.now_ms;
        let slot = Slot {
            state: SlotState::OutcomeUnknown { since_ms: now_ms },
            since_ms: now_ms,
            may_start_until_ms: match late.slot.may_start_until_ms {
                0 => now_ms + LATE_CALL_MS,
                until_ms => until_ms,
            },
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
