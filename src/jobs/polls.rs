//! Polls of workers: when they are due, and how the runs that they list are applied.

use crate::collections::IndexSet;
use crate::jobs::engine::{index, Engine};
use crate::jobs::keys::{RunKey, WorkerKey};
use crate::jobs::lost_runs::LossReason;
use crate::jobs::orders::{Action, OrderFailure, PollOrder, PollReply, RunRow, StopOrder};
use crate::jobs::watched_runs::WorkerFate;
use crate::jobs::worker::{PollState, Slot, SlotState};
use crate::logging::Event;

/// Time to the next poll of a worker whose ends may not be acknowledged yet, in milliseconds.
const UNACKNOWLEDGED_POLL_MS: u64 = 600;
/// Time to the next poll after a failed one, in milliseconds.
pub(crate) const FAILED_POLL_RETRY_MS: u64 = 350;
/// Time after which a stop without effect is sent again, beyond the time that a stop may take, in
/// milliseconds.
pub(crate) const STOP_RETRY_MS: u64 = 300;

impl Engine {
    /// Sends the polls that are due. Only workers that have changed, or whose time has come, are
    /// checked.
    pub(crate) fn send_due_polls(&mut self) {
        self.refresh_workers();
        for key in std::mem::take(&mut self.poll_checks) {
            if self.is_poll_due(key) {
                self.send_poll(key);
            }
        }
    }

    fn is_poll_due(&self, key: WorkerKey) -> bool {
        let worker = self.worker(key);
        let is_due = matches!(worker.poll, PollState::Idle { due_ms } if due_ms <= self.now_ms);
        if !is_due || !self.present.contains(&key) {
            return false;
        }
        let is_inherited = worker.may_have_unseen_runs() && self.may_have_inherited_runs();
        let is_standby = self
            .catalog
            .pools
            .get(&worker.info.pool)
            .is_some_and(|pool| pool.is_standby);
        let needs_fence = !worker.is_fenced && !is_standby && (worker.is_listed || is_inherited);
        // It gets no task before it has answered, also if it has no runs left to ask for.
        let must_answer = worker.failed_polls_count > 0 && worker.is_listed && !is_standby;
        let has_persisted_ends = worker.awaited_batch.is_none() && worker.persisted_through > 0;
        let needs_ack = has_persisted_ends && worker.seen_through == worker.persisted_through;
        needs_fence || must_answer || !worker.slots.is_empty() || needs_ack
    }

    fn send_poll(&mut self, key: WorkerKey) {
        let (now_ms, wait_ms) = (self.now_ms, self.settings.poll_wait_ms);
        let lease_ms = self.settings.run_lease_ms;
        let lease_max_ms = self.settings.run_lease_max_ms;
        let target = self.target(key);
        let acknowledged_through = self.next_acknowledgement(key);
        let worker = self.worker_mut(key);
        let has_persisted_all = worker.awaited_batch.is_none();
        let has_runs = !worker.slots.is_empty();
        // A worker whose answers are lost may still receive polls; its leases have to expire
        // eventually.
        let is_renewal = has_runs && worker.failed_polls_count == 0;
        let lease_end_worker_ms = worker
            .worker_time_ms(now_ms)
            .map(|time_ms| time_ms + lease_ms)
            .filter(|_| is_renewal);
        if lease_end_worker_ms.is_some() {
            worker.count_lease(lease_ms, lease_max_ms, now_ms);
        }
        worker.poll = PollState::InFlight { sent_ms: now_ms };
        let order = PollOrder {
            target,
            lease_end_worker_ms,
            acknowledged_through,
            confirms_first: worker.deferred_since_ms.is_some(),
            wait_ms: match has_persisted_all && has_runs && worker.is_fenced {
                true => wait_ms,
                false => 0,
            },
            sent_ms: now_ms,
        };
        self.actions.push(Action::Poll(order));
    }

    /// Applies the reply to a poll.
    pub fn poll_answered(&mut self, order: &PollOrder, reply: PollReply, now_ms: u64) {
        self.now_ms = now_ms.max(self.now_ms);
        let key = order.target.worker;
        self.note_acknowledgement(order, &reply);
        let is_restarted = {
            let worker = self.worker_mut(key);
            worker.dropped_through = worker.dropped_through.max(reply.acknowledged_through);
            worker.info.started_unix_ms != 0
                && reply.started_unix_ms != 0
                && worker.info.started_unix_ms != reply.started_unix_ms
        };
        match is_restarted {
            true if !self.is_exclusive() => return self.put_off_restart(key),
            true => self.restart_worker(order, &reply),
            false => {}
        }
        self.note_answer(order, &reply);
        // A worker that answers for the first time may have restarted, and may have forgotten the fence
        // of a later leader with what it did under that one.
        if !self.worker(key).is_fenced && self.is_exclusive() {
            self.note_fence(order, &reply);
        }
        self.note_missing_ends(key, &reply);
        for end in &reply.ended {
            self.apply_end(key, end);
        }
        let mut listed = IndexSet::default();
        for row in &reply.running {
            listed.extend(self.apply_row(key, row, order.sent_ms));
        }
        // A run that is not listed may be among the ends that are not listed either.
        if !reply.has_more_ends {
            self.check_unlisted_runs(key, &listed, order.sent_ms);
        }
        self.settle_inherited_runs(
            key,
            WorkerFate::Answers {
                started_unix_ms: reply.started_unix_ms,
            },
        );
        self.schedule_next_poll(key);
    }

    /// Records that a worker has answered a poll, and when.
    fn note_answer(&mut self, order: &PollOrder, reply: &PollReply) {
        let (now_ms, lease_max_ms) = (self.now_ms, self.settings.run_lease_max_ms);
        let key = order.target.worker;
        let worker = self.worker_mut(key);
        let is_first_answer = worker.clock.is_none();
        if worker.info.started_unix_ms == 0 {
            worker.info.started_unix_ms = reply.started_unix_ms;
        }
        if reply.has_more_ends && !worker.has_more_ends {
            Event::new("worker_ends_left_out")
                .with("worker", &worker.info.id)
                .with("listed_count", reply.ended.len())
                .with("runs_count", worker.slots.len())
                .info();
        }
        worker.has_more_ends = reply.has_more_ends;
        worker.silent_since_ms = None;
        worker.answered_ms = now_ms;
        if worker.failed_polls_count > 0 {
            Event::new("worker_responsive")
                .with("worker", &worker.info.id)
                .with("silent_count", worker.failed_polls_count)
                .info();
        }
        worker.failed_polls_count = 0;
        worker.confirm_leases(lease_max_ms, order.sent_ms);
        worker.read_clock(reply.clock_ms, order.sent_ms, now_ms);
        if is_first_answer {
            self.count_unknown_leases(key);
        }
    }

    /// Records that the fence of this leader is raised at a worker, which takes tasks from now on.
    fn note_fence(&mut self, order: &PollOrder, reply: &PollReply) {
        let key = order.target.worker;
        self.worker_mut(key).is_fenced = true;
        self.needs_dispatch = true;
        Event::new("worker_fenced")
            .with("worker", &order.target.id)
            .with("born_unix_ms", reply.started_unix_ms)
            .with("clock_ms", reply.clock_ms)
            .with("fence", order.target.fence)
            .with("running_count", reply.running.len())
            .with("ended_count", reply.ended.len())
            .info();
        // Listed workers that never answer are not recorded, so that no later leader waits for them.
        if !self.worker(key).is_persisted && self.worker(key).is_listed {
            self.persist_worker(key);
        }
    }

    fn schedule_next_poll(&mut self, key: WorkerKey) {
        let (now_ms, pause_ms) = (self.now_ms, self.poll_pace.pause_ms());
        let worker = self.worker_mut(key);
        worker.next_poll_ms = now_ms + pause_ms;
        if worker.awaited_batch.is_none() {
            worker.persisted_through = worker.seen_through;
        }
        let is_idle = worker.slots.is_empty() && worker.dropped_through == worker.persisted_through;
        let due_ms = match worker.awaited_batch {
            Some(_) => now_ms + UNACKNOWLEDGED_POLL_MS,
            None if !worker.is_fenced => now_ms + FAILED_POLL_RETRY_MS,
            None if is_idle => u64::MAX,
            // It answers at once, as long as it lists ends.
            None if worker.withholds_acknowledgement() => now_ms + UNACKNOWLEDGED_POLL_MS,
            None => worker.next_poll_ms,
        };
        worker.poll = PollState::Idle { due_ms };
    }

    /// Handles a failed poll.
    pub fn poll_failed(&mut self, order: &PollOrder, failure: OrderFailure, now_ms: u64) {
        self.now_ms = now_ms.max(self.now_ms);
        let now_ms = self.now_ms;
        self.note_lost_acknowledgement(order);
        if order.lease_end_worker_ms.is_some() && !failure.is_not_carried_out() {
            self.note_lost_lease(order.target.worker, order.sent_ms);
        }
        let worker = self.worker_mut(order.target.worker);
        worker.failed_polls_count += 1;
        worker.poll = PollState::Idle {
            due_ms: now_ms + FAILED_POLL_RETRY_MS,
        };
        if worker.failed_polls_count == 1 {
            let silent_since_ms = match failure {
                // Nothing accepted the connection: the worker was gone before the poll.
                OrderFailure::NotSent if worker.answered_ms > 0 => worker.answered_ms,
                _ => now_ms,
            };
            worker.silent_since_ms = Some(silent_since_ms);
            self.crash_history
                .note_silence(order.target.worker, silent_since_ms);
            let worker = &self.workers[index(order.target.worker.0)];
            let event = Event::new("worker_unresponsive")
                .with("worker", &order.target.id)
                .with("failure", failure)
                .with("born_unix_ms", order.target.started_unix_ms)
                .with("acknowledged_through", order.acknowledged_through)
                .with(
                    "lease_end_worker_ms",
                    order.lease_end_worker_ms.unwrap_or(0),
                )
                .with("runs_count", worker.slots.len());
            worker.with_lease_left(event, now_ms).warn();
        }
        self.apply_failure(order.target.worker, failure);
    }

    /// Records that a poll was not sent, as this leader may not act for the moment. That shows nothing
    /// about the worker.
    pub fn poll_withheld(&mut self, order: &PollOrder, now_ms: u64) {
        self.now_ms = now_ms.max(self.now_ms);
        let due_ms = self.now_ms + FAILED_POLL_RETRY_MS;
        self.worker_mut(order.target.worker).poll = PollState::Idle { due_ms };
    }

    /// Applies what a failed call shows about the worker or about this leader.
    pub(crate) fn apply_failure(&mut self, key: WorkerKey, failure: OrderFailure) {
        match failure {
            OrderFailure::Fenced => self.lose_leadership("worker"),
            OrderFailure::OtherIncarnation => {
                let now_ms = self.now_ms;
                let worker = self.worker_mut(key);
                worker.is_listed = false;
                worker.unlisted_since_ms = now_ms;
            }
            OrderFailure::Restarted => {
                self.worker_mut(key).is_fenced = false;
                self.request_poll(key);
            }
            _ => {}
        }
    }

    /// Records that another leader has taken over.
    pub fn lose_leadership(&mut self, source: &'static str) {
        if !self.has_lost_leadership {
            self.has_lost_leadership = true;
            Event::new("leadership_lost")
                .with("fence", self.settings.fence)
                .with("source", source)
                .warn();
        }
    }

    /// Applies one run that the worker lists; returns its key if the engine tracks it.
    fn apply_row(&mut self, key: WorkerKey, row: &RunRow, sent_ms: u64) -> Option<RunKey> {
        let run = self.task_key(&row.name).map(|task| RunKey {
            task,
            run: row.run_number,
        });
        let known = run.filter(|run| self.worker(key).slots.contains_key(run));
        let adopted = known.or_else(|| run.filter(|run| self.adopt(key, *run)));
        let run = match (adopted, run) {
            (Some(run), _) => run,
            (None, Some(run)) => self.stop_orphan_run(key, run),
            (None, None) => {
                self.stop_unknown_run(key, row);
                return None;
            }
        };
        self.mark_begun(run.task.job);
        let worker = self.worker_mut(key);
        if let Some(slot) = worker.slots.get_mut(&run) {
            if !matches!(slot.state, SlotState::Placed { .. }) {
                slot.state = SlotState::Placed { since_ms: sent_ms };
            }
            slot.percent = row.percent;
            slot.metric = row.metric;
        }
        if let Some(checkpoint) = self.usable_checkpoint(&row.checkpoint) {
            if !self.job(run.task.job).state.is_final() {
                self.change_task(run.task, |state| state.checkpoint = checkpoint);
            }
        }
        Some(run)
    }

    /// Adopts a run that an earlier leader started, or that a delayed order started, if its task
    /// can use it; returns whether it did.
    fn adopt(&mut self, key: WorkerKey, run: RunKey) -> bool {
        if self.job(run.task.job).state.is_final() {
            return false;
        }
        self.open_round(run.task);
        let spec = self.job(run.task.job).spec.clone();
        let step = &spec.steps[usize::from(run.task.step)];
        let is_free = self
            .task(run.task)
            .is_some_and(|task| task.is_waiting() || (step.may_have_copies() && !task.is_done));
        if !is_free {
            return false;
        }
        let now_ms = self.now_ms;
        self.change_task(run.task, |task| {
            task.runs.push((key, run.run));
            task.started_ms = now_ms;
        });
        self.schedule_copy(run.task, step);
        let lease_ms = self.settings.run_lease_ms;
        let lease_max_ms = self.settings.run_lease_max_ms;
        // The order that started the run may have given it a lease of this length.
        self.worker_mut(key)
            .count_lease(lease_ms, lease_max_ms, now_ms);
        let mut slot = new_slot(step, SlotState::Placed { since_ms: now_ms }, now_ms);
        slot.is_remote = self.is_outside_rack(key, step);
        self.put_slot(key, run, slot);
        let worker = self.worker(key);
        let event = Event::new("run_adopted")
            .with("task", self.task_name(run.task))
            .with("run", run.run)
            .with("worker", &worker.info.id)
            .with("born_unix_ms", worker.info.started_unix_ms)
            .with("fence", self.settings.fence);
        worker.with_lease_left(event, now_ms).info();
        true
    }

    /// Stops a run that its task cannot use. Its reservation and its share of the team's limit
    /// count until it has ended.
    fn stop_orphan_run(&mut self, key: WorkerKey, run: RunKey) -> RunKey {
        let now_ms = self.now_ms;
        let spec = self.job(run.task.job).spec.clone();
        let step = &spec.steps[usize::from(run.task.step)];
        let slot = new_slot(step, SlotState::Placed { since_ms: now_ms }, now_ms);
        self.put_slot(key, run, slot);
        self.stop_run(key, run, "stray");
        run
    }

    /// Stops a run of an unknown job.
    fn stop_unknown_run(&mut self, key: WorkerKey, row: &RunRow) {
        let order = StopOrder {
            target: self.target(key),
            run: None,
            name: row.name,
            run_number: row.run_number,
        };
        Event::new("orphan_run_stopped")
            .with("task", row.name)
            .with("run", row.run_number)
            .with("worker", &order.target.id)
            .warn();
        self.actions.push(Action::Stop(order));
    }

    /// Handles the tracked runs that the worker does not list: those known to have started are
    /// lost, and those of unknown outcome are stopped.
    fn check_unlisted_runs(&mut self, key: WorkerKey, listed: &IndexSet<RunKey>, sent_ms: u64) {
        let mut lost = Vec::new();
        let mut unknown = Vec::new();
        for (run, slot) in &self.worker(key).slots {
            match slot.state {
                _ if listed.contains(run) => {}
                SlotState::Placed { since_ms } | SlotState::StartBlocked { since_ms }
                    if since_ms < sent_ms =>
                {
                    lost.push(*run);
                }
                SlotState::OutcomeUnknown { since_ms }
                    if since_ms < sent_ms && slot.stop_sent_ms + STOP_RETRY_MS < self.now_ms =>
                {
                    unknown.push(*run);
                }
                _ => {}
            }
        }
        // A worker may answer late, after a later leader has acknowledged ends.
        if self.is_exclusive() {
            self.lose_runs(key, lost, LossReason::NotListed);
        }
        for run in unknown {
            self.stop_run(key, run, "outcome_unknown");
        }
    }
}

/// Returns a slot for a task of `step`.
pub(crate) fn new_slot(step: &crate::jobs::spec::StepSpec, state: SlotState, now_ms: u64) -> Slot {
    Slot {
        reservation: step.reservation(),
        size: step.size,
        is_adopted: !matches!(state, SlotState::Held | SlotState::Sent),
        state,
        since_ms: now_ms,
        is_stopping: false,
        stop_sent_ms: 0,
        may_start_until_ms: 0,
        is_in_next_incarnation: false,
        is_long_running: step.is_long_running,
        is_best_effort: step.is_best_effort,
        percent: 0,
        metric: 0,
        pace_percent: 100,
        tail_target_ms: step.tail_target_ms,
        is_remote: false,
    }
}
