//! Attempts in the simulated world, from an entry to a worker and back.

use super::{Answer, Event, JobKey, Stage, World, CALLER_DETECTION_MS};
use crate::load::entry::{Entry, EntryQueue};
use crate::load::world::spec::SchedulingPolicy;
use crate::policy::health::{Attempt, Outcome, WorkKey};
use crate::policy::keys::{PeerKey, PoolKey, QueueKey, TeamKey, WorkerKey};
use crate::policy::retry::{FailedAttempt, RetryDecision, RetryReason, StopReason};

/// Attempts of a failing request at an entry without a retry budget.
const BASELINE_ATTEMPTS_COUNT: u32 = 4;

impl World<'_> {
    pub(super) fn dispatch(&mut self, entry: usize) {
        if !self.entries[entry].is_up {
            return;
        }
        for pool in 0..self.spec.workers_of_pools.len() {
            let key = PoolKey(pool as u16);
            while let Some((waiting, worker)) = self.entries[entry].dispatch(self.now_ms, key) {
                let job = waiting.key.0 as JobKey;
                let state = &mut self.jobs[job];
                state.stage = Stage::Dispatched;
                state.attempts_count += 1;
                state.waiting = Some(waiting);
                self.waiting[pool] -= 1;
                self.after(self.spec.hop_ms, Event::ReachWorker(job, entry, worker));
            }
        }
    }

    /// Starts an attempt at its worker, or has the worker refuse or fail it.
    pub(super) fn reach_worker(&mut self, job: JobKey, entry: usize, worker: WorkerKey) {
        let now_ms = self.now_ms;
        let is_bad = self
            .spec
            .bad_worker
            .is_some_and(|(bad, from_ms)| bad == worker.0 && now_ms >= from_ms);
        let state = &mut self.workers[worker.0 as usize];
        let answer = match state.running_count >= self.spec.slots_count {
            true => Answer::Busy,
            false if is_bad => Answer::Failed,
            false => Answer::Ran,
        };
        if answer != Answer::Ran {
            let count = state.running_count;
            let answered = Event::Answered(job, entry, worker, answer, count);
            return self.after(self.spec.hop_ms, answered);
        }
        state.running_count += 1;
        let pool = state.pool;
        let team = self.team_index(job);
        self.running[team][pool] += 1;
        self.jobs[job].is_running = true;
        self.record_urgent_start(job);
        let run_ms = self.arrivals[job].run_ms;
        self.after(run_ms, Event::Finish(job, entry, worker));
    }

    pub(super) fn record_urgent_start(&mut self, job: JobKey) {
        let arrival = &self.arrivals[job];
        let is_first = !std::mem::replace(&mut self.jobs[job].has_started, true);
        if is_first && self.spec.queues[arrival.queue].is_urgent {
            let start_ms = self.now_ms - arrival.at_ms;
            self.outcome.urgent_start_ms.saturating_record(start_ms);
        }
    }

    pub(super) fn worker_ended(&mut self, job: JobKey, entry: usize, worker: WorkerKey) {
        let state = &mut self.workers[worker.0 as usize];
        state.running_count -= 1;
        let (count, pool) = (state.running_count, state.pool);
        let team = self.team_index(job);
        self.running[team][pool] -= 1;
        self.jobs[job].is_running = false;
        self.set_servable(job, false);
        let answered = Event::Answered(job, entry, worker, Answer::Ran, count);
        self.after(self.spec.hop_ms, answered);
    }

    pub(super) fn answered(
        &mut self,
        job: JobKey,
        entry: usize,
        worker: WorkerKey,
        answer: Answer,
        running_count: u32,
    ) {
        if !self.entries[entry].is_up {
            return;
        }
        let Some(waiting) = self.jobs[job].waiting.clone() else {
            return;
        };
        let (now_ms, pool) = (self.now_ms, PoolKey(self.jobs[job].pool as u16));
        self.entries[entry].ended(now_ms, &waiting, pool, worker, running_count);
        match answer {
            Answer::Busy => {
                self.entries[entry].placement.refused_busy(now_ms, worker);
                self.count_retry(RetryReason::WorkerBusy);
                self.put_back(job, entry);
            }
            Answer::Failed => self.failed(job, entry, worker),
            Answer::Ran => self.succeeded(job, entry, worker),
        }
        self.dispatch(entry);
        self.send_hint(entry, worker, running_count);
    }

    /// Notifies the next peer of a slot that is free and that this entry does not use itself.
    pub(super) fn send_hint(&mut self, entry: usize, worker: WorkerKey, running_count: u32) {
        if !self.spec.has_free_slot_hints {
            return;
        }
        let pool = PoolKey(self.workers[worker.0 as usize].pool as u16);
        let peer = self.entries[entry].next_peer_to_notify(self.now_ms, pool, worker);
        if let Some(PeerKey(to)) = peer {
            self.outcome.hints_count += 1;
            self.after(
                self.spec.hop_ms,
                Event::Hint(to as usize, worker, running_count),
            );
        }
    }

    pub(super) fn succeeded(&mut self, job: JobKey, entry: usize, worker: WorkerKey) {
        let arrival = &self.arrivals[job];
        let team = arrival.team.map(|team| TeamKey(team as u32));
        let queue = QueueKey(arrival.queue as u16);
        let state = &mut self.entries[entry];
        state.sizes.observe(team, queue, &arrival.size);
        if let EntryQueue::Policy(wait_queue) = &mut state.wait_queue {
            wait_queue.observe_run(team, queue, arrival.run_ms);
        }
        if let Some(retries) = &mut state.retries {
            retries.succeeded();
        }
        self.observe_health(job, entry, worker, Outcome::Succeeded);
        let job = &mut self.jobs[job];
        job.stage = Stage::Done;
        let forward_ms = match self.spec.policy {
            SchedulingPolicy::Owner => self.spec.hop_ms,
            _ => 0,
        };
        let is_on_time = self.now_ms + forward_ms <= job.deadline_ms;
        self.outcome.on_time_count += u64::from(is_on_time);
        self.outcome.late_count += u64::from(!is_on_time);
        self.outcome.returned_served_count += u64::from(is_on_time && job.submissions_count > 1);
    }

    pub(super) fn failed(&mut self, job: JobKey, entry: usize, worker: WorkerKey) {
        self.observe_health(job, entry, worker, Outcome::Failed);
        let state = &self.jobs[job];
        let attempt = FailedAttempt {
            reason: RetryReason::TaskFailed,
            attempts_count: state.attempts_count,
            is_idempotent: true,
            latest_start_ms: state.deadline_ms,
        };
        let now_ms = self.now_ms;
        let Entry { retries, rng, .. } = &mut self.entries[entry];
        let decision = match retries {
            Some(retries) => retries.decide(now_ms, &attempt, rng),
            None if attempt.attempts_count < BASELINE_ATTEMPTS_COUNT => {
                RetryDecision::After { delay_ms: 0 }
            }
            None => RetryDecision::Stop(StopReason::AttemptsSpent),
        };
        match decision {
            RetryDecision::After { delay_ms } => {
                self.count_retry(RetryReason::TaskFailed);
                self.after(delay_ms, Event::PutBack(job, entry));
            }
            RetryDecision::Stop(_) => {
                self.set_servable(job, false);
                self.jobs[job].stage = Stage::Done;
            }
        }
    }

    pub(super) fn observe_health(
        &mut self,
        job: JobKey,
        entry: usize,
        worker: WorkerKey,
        outcome: Outcome,
    ) {
        if self.spec.policy == SchedulingPolicy::Fifo {
            return;
        }
        let arrival = &self.arrivals[job];
        let attempt = Attempt {
            worker,
            work: WorkKey((arrival.queue * 1_000 + arrival.team.unwrap_or(999)) as u64),
            started_ms: self.now_ms,
            outcome,
        };
        let state = &mut self.entries[entry];
        if let Some(change) = state.health.observe(self.now_ms, &attempt) {
            state.set_access(change.worker, change.access);
        }
    }

    pub(super) fn put_back(&mut self, job: JobKey, entry: usize) {
        let (now_ms, pool) = (self.now_ms, self.jobs[job].pool);
        let Some(waiting) = self.jobs[job].waiting.take() else {
            return;
        };
        if !self.entries[entry].is_up {
            return self.after(CALLER_DETECTION_MS, Event::Arrive(job, entry));
        }
        self.jobs[job].stage = Stage::Waiting;
        self.waiting[pool] += 1;
        self.entries[entry].wait_queue.put_back(now_ms, waiting);
    }
}
