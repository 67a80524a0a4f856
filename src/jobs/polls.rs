//! Polls of workers: when they are due, and how their replies are applied.

use indexmap::IndexSet;

use crate::jobs::engine::Engine;
use crate::jobs::job::{JobState, Round};
use crate::jobs::keys::{RunKey, TaskKey, WorkerKey};
use crate::jobs::orders::{
    Action, EndKind, OrderFailure, PollOrder, PollReply, RunEnd, RunRow, StopOrder,
};
use crate::jobs::worker::{PollState, Slot, SlotState};
use crate::logging::Event;

/// Time to the next poll of a worker whose ends are not persisted yet, in milliseconds.
const UNPERSISTED_POLL_MS: u64 = 600;
/// Time to the next poll after a failed one, in milliseconds.
const FAILED_POLL_RETRY_MS: u64 = 350;
/// Time after which a stop without effect is sent again, beyond the time that a stop may take, in
/// milliseconds.
const STOP_RETRY_MS: u64 = 300;
/// Number of failed runs in a row from which each failure keeps new tasks off the worker for
/// [`FAILED_AVOID_MS`].
const FAILED_STREAK_MAX: u32 = 3;
/// Time for which a worker with repeated failures gets no task, in milliseconds.
const FAILED_AVOID_MS: u64 = 1_500;
/// Time after which an unlisted worker without runs is dropped, in milliseconds.
const UNLISTED_FORGET_MS: u64 = 300;

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
        let is_inherited =
            worker.may_have_unseen_runs() && self.now_ms < self.inherited_runs_end_at_ms();
        let is_standby = self
            .catalog
            .pools
            .get(&worker.info.pool)
            .is_some_and(|pool| pool.is_standby);
        let needs_fence = !worker.is_fenced && !is_standby && (worker.is_listed || is_inherited);
        let has_persisted_ends = worker.awaited_batch.is_none() && worker.persisted_through > 0;
        let needs_ack = has_persisted_ends && worker.seen_through == worker.persisted_through;
        needs_fence || !worker.slots.is_empty() || needs_ack
    }

    fn send_poll(&mut self, key: WorkerKey) {
        let (now_ms, wait_ms) = (self.now_ms, self.settings.poll_wait_ms);
        let lease_ms = self.settings.run_lease_ms;
        let target = self.target(key);
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
        if let Some(until_ms) = lease_end_worker_ms {
            worker.leased_until_worker_ms = worker.leased_until_worker_ms.max(until_ms);
        }
        worker.poll = PollState::InFlight { sent_ms: now_ms };
        let order = PollOrder {
            target,
            lease_end_worker_ms,
            acknowledged_through: worker.persisted_through,
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
        let now_ms = self.now_ms;
        let key = order.target.worker;
        let is_restarted = {
            let worker = self.worker(key);
            worker.info.started_unix_ms != 0
                && reply.started_unix_ms != 0
                && worker.info.started_unix_ms != reply.started_unix_ms
        };
        if is_restarted {
            self.restart_worker(key, reply.started_unix_ms);
        }
        let worker = self.worker_mut(key);
        if worker.info.started_unix_ms == 0 {
            worker.info.started_unix_ms = reply.started_unix_ms;
        }
        if worker.failed_polls_count > 0 {
            Event::new("worker_responsive")
                .with("worker", &worker.info.id)
                .with("silent_count", worker.failed_polls_count)
                .info();
        }
        worker.failed_polls_count = 0;
        worker.read_clock(reply.clock_ms, now_ms);
        if !worker.is_fenced {
            worker.is_fenced = true;
            self.needs_dispatch = true;
            Event::new("worker_fenced")
                .with("worker", &order.target.id)
                .with("fence", order.target.fence)
                .with("running_count", reply.running.len())
                .with("ended_count", reply.ended.len())
                .info();
            // Listed workers that never answer are not recorded, so that no later leader waits for
            // them.
            if !self.worker(key).is_persisted && self.worker(key).is_listed {
                self.persist_worker(key);
            }
        }
        for end in &reply.ended {
            self.apply_end(key, end);
        }
        let mut listed = IndexSet::new();
        for row in &reply.running {
            listed.extend(self.apply_row(key, row, order.sent_ms));
        }
        self.check_unlisted_runs(key, &listed, order.sent_ms);
        self.schedule_next_poll(key, order);
    }

    fn schedule_next_poll(&mut self, key: WorkerKey, order: &PollOrder) {
        let now_ms = self.now_ms;
        let worker = self.worker_mut(key);
        if worker.awaited_batch.is_none() {
            worker.persisted_through = worker.seen_through;
        }
        let is_idle =
            worker.slots.is_empty() && order.acknowledged_through == worker.persisted_through;
        let due_ms = match worker.awaited_batch {
            Some(_) => now_ms + UNPERSISTED_POLL_MS,
            None if is_idle => u64::MAX,
            None => now_ms,
        };
        worker.poll = PollState::Idle { due_ms };
    }

    /// Handles a failed poll.
    pub fn poll_failed(&mut self, order: &PollOrder, failure: OrderFailure, now_ms: u64) {
        self.now_ms = now_ms.max(self.now_ms);
        let now_ms = self.now_ms;
        let worker = self.worker_mut(order.target.worker);
        worker.failed_polls_count += 1;
        worker.poll = PollState::Idle {
            due_ms: now_ms + FAILED_POLL_RETRY_MS,
        };
        if worker.failed_polls_count == 1 {
            let event = Event::new("worker_unresponsive")
                .with("worker", &order.target.id)
                .with("failure", failure)
                .with("runs_count", worker.slots.len());
            worker.with_lease_left(event, now_ms).warn();
        }
        self.apply_failure(order.target.worker, failure);
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

    fn restart_worker(&mut self, key: WorkerKey, started_unix_ms: u64) {
        let worker = self.worker_mut(key);
        let lost = worker.start_incarnation(started_unix_ms);
        Event::new("worker_restarted")
            .with("worker", &worker.info.id)
            .with("born_unix_ms", started_unix_ms)
            .with("lost_count", lost.len())
            .warn();
        for run in lost {
            let may_start_late = self.drop_slot(key, run).is_some_and(|slot| {
                matches!(
                    slot.state,
                    SlotState::Sent | SlotState::OutcomeUnknown { .. }
                )
            });
            if may_start_late {
                self.block_late_start(key, run);
            }
            self.record_lost_run(key, run, "reborn");
        }
    }

    /// Prevents an order whose answer was lost from starting the run in a later incarnation.
    fn block_late_start(&mut self, key: WorkerKey, run: RunKey) {
        let order = StopOrder {
            target: self.target(key),
            run: None,
            name: self.task_name(run.task),
            run_number: run.run,
        };
        self.actions.push(Action::Stop(order));
    }

    fn apply_end(&mut self, key: WorkerKey, end: &RunEnd) {
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
            .with("end", end.kind)
            .with(
                "ran_ms",
                slot.as_ref()
                    .map_or(0, |slot| self.now_ms.saturating_sub(slot.since_ms)),
            )
            .info();
        self.record_outcome(key, end.kind, slot.as_ref(), task);
        if !is_live {
            // Until the end of the job is persisted, a later leader still needs this end.
            if !self.job(task.job).persisted_state.is_final() {
                self.persist_before_ack(key);
            }
            return;
        }
        self.open_round(task);
        self.change_task(task, |state| {
            state.runs.retain(|known| *known != (key, end.run_number));
            if !end.checkpoint.is_empty() {
                state.checkpoint = end.checkpoint.clone();
            }
        });
        match end.kind {
            EndKind::Done => self.task_done(key, task),
            EndKind::Failed => self.task_failed(key, run),
            _ => {}
        }
        self.needs_dispatch = true;
    }

    /// Opens the occurrences up to the one of a task that a worker reports.
    fn open_round(&mut self, task: TaskKey) {
        let job = self.job_mut(task.job);
        while job.rounds.len() <= crate::jobs::engine::index(task.round) {
            job.rounds.push(Round::open(&job.spec));
        }
        if job.state == JobState::Queued {
            job.state = JobState::Active;
        }
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
            let worker = self.worker_mut(key);
            // Far from its rack a task takes longer on any worker.
            let is_near = step
                .near_rack
                .as_ref()
                .is_none_or(|rack| *rack == worker.rack);
            if is_near && expected_ms > 0 {
                worker.observe_run(ran_ms, expected_ms);
            }
            self.run_times.observe(&queue, step, ran_ms);
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
        self.end_job(task.job, JobState::Complete, "complete");
    }

    fn task_failed(&mut self, key: WorkerKey, run: RunKey) {
        let job = self.job(run.task.job);
        let attempts_max = self
            .catalog
            .queues
            .get(&job.queue)
            .map_or(1, |queue| queue.attempts_max);
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
        let worker = self.worker_mut(key);
        if let Some(slot) = worker.slots.get_mut(&run) {
            if !matches!(slot.state, SlotState::Placed { .. }) {
                slot.state = SlotState::Placed { since_ms: sent_ms };
            }
            slot.percent = row.percent;
            slot.metric = row.metric;
        }
        if !row.checkpoint.is_empty() && !self.job(run.task.job).state.is_final() {
            let checkpoint = row.checkpoint.clone();
            self.change_task(run.task, |state| state.checkpoint = checkpoint);
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
        let worker = self.worker_mut(key);
        // The order that started the run may have given it a lease of this length.
        let lease_end_worker_ms = worker.worker_time_ms(now_ms).unwrap_or(0) + lease_ms;
        worker.leased_until_worker_ms = worker.leased_until_worker_ms.max(lease_end_worker_ms);
        let slot = new_slot(step, SlotState::Placed { since_ms: now_ms }, now_ms);
        self.put_slot(key, run, slot);
        Event::new("run_adopted")
            .with("task", self.task_name(run.task))
            .with("run", run.run)
            .with("worker", &self.worker(key).info.id)
            .info();
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
        for run in lost {
            self.drop_slot(key, run);
            self.record_lost_run(key, run, "not_listed");
        }
        for run in unknown {
            self.stop_run(key, run, "outcome_unknown");
        }
    }

    /// Records that a run no longer exists although its end was not reported.
    pub(crate) fn record_lost_run(&mut self, key: WorkerKey, run: RunKey, reason: &'static str) {
        Event::new("run_lost")
            .with("task", self.task_name(run.task))
            .with("run", run.run)
            .with("worker", &self.worker(key).info.id)
            .with("reason", reason)
            .info();
        self.change_task(run.task, |task| {
            task.runs.retain(|known| *known != (key, run.run));
        });
        self.needs_dispatch = true;
    }

    /// Drops the runs of workers whose leases have expired, and the workers that are gone.
    pub(crate) fn expire_leases(&mut self) {
        let now_ms = self.now_ms;
        for key in self.present_keys().collect::<Vec<_>>() {
            let worker = self.worker(key);
            if !worker.slots.is_empty() && now_ms >= worker.leases_expired_at_ms() {
                let runs: Vec<RunKey> = worker.slots.keys().copied().collect();
                for run in runs {
                    self.drop_slot(key, run);
                    self.record_lost_run(key, run, "lease_over");
                }
            }
            let worker = self.worker(key);
            // Without a list entry and without runs, and with this leader's fence raised, nothing
            // runs there or can start.
            let is_known =
                !worker.may_have_unseen_runs() || now_ms >= self.inherited_runs_end_at_ms();
            let is_gone = !worker.is_listed
                && worker.slots.is_empty()
                && is_known
                && now_ms > worker.unlisted_since_ms + UNLISTED_FORGET_MS;
            match (is_gone, worker.is_persisted) {
                (true, true) => self.forget_worker(key),
                // Its record is deleted or was never written. Ends of this worker that are not
                // acknowledged yet no longer matter.
                (true, false) if worker.awaited_batch.is_none() => {
                    self.present.swap_remove(&key);
                }
                _ => {}
            }
        }
    }

    /// Sends stops again that have had no effect yet.
    pub(crate) fn resend_stops(&mut self) {
        let retry_ms = self.settings.stop_ms + STOP_RETRY_MS;
        let mut due = Vec::new();
        for key in self.present_keys() {
            let worker = self.worker(key);
            let is_due =
                |slot: &Slot| slot.is_stopping && slot.stop_sent_ms + retry_ms < self.now_ms;
            let of_worker = worker.slots.iter().filter(|(_, slot)| is_due(slot));
            due.extend(of_worker.map(|(run, _)| (key, *run)));
        }
        for (key, run) in due {
            self.stop_run(key, run, "again");
        }
    }
}

/// Returns a slot for a task of `step`.
pub(crate) fn new_slot(step: &crate::jobs::spec::StepSpec, state: SlotState, now_ms: u64) -> Slot {
    Slot {
        reservation: step.reservation(),
        size: step.size,
        state,
        since_ms: now_ms,
        is_stopping: false,
        stop_sent_ms: 0,
        is_long_running: step.is_long_running,
        is_best_effort: step.is_best_effort,
        percent: 0,
        metric: 0,
        pace_percent: 100,
        tail_target_ms: step.tail_target_ms,
    }
}
