//! Callers in the simulated world: sending requests to entries, and retries after refusals.

use std::sync::Arc;

use rand::RngExt;

use super::{Event, JobKey, Stage, World, CALLER_DETECTION_MS};
use crate::fleet::Resources;
use crate::load::world::spec::{clip, SchedulingPolicy};
use crate::policy::keys::{PoolKey, QueueKey, RequestKey, TeamKey};
use crate::policy::lane::WaitingRequest;

impl World<'_> {
    /// Handles a request that reaches an entry, for the first time or as a retry.
    pub(super) fn arrive(&mut self, job: JobKey, entry: usize) {
        let arrival = &self.arrivals[job];
        let queue = self.spec.queues[arrival.queue];
        let entry = match self.entries[entry].is_up {
            true => entry,
            false => (entry + 1) % self.spec.entries_count,
        };
        let state = &mut self.jobs[job];
        state.submissions_count += 1;
        state.attempts_count = 0;
        state.deadline_ms = self.now_ms + queue.deadline_ms;
        let submission = state.submissions_count;
        let latest_start_ms = state.deadline_ms.saturating_sub(arrival.run_ms);
        self.outcome.arrived_count += u64::from(submission == 1);
        self.outcome.urgent_count += u64::from(submission == 1 && queue.is_urgent);
        self.set_servable(job, true);
        self.at(latest_start_ms, Event::Expire(job, submission));
        match self.spec.policy {
            SchedulingPolicy::Owner => self.forward(job, entry, queue.pool),
            _ => self.push(job, entry),
        }
    }

    /// Forwards a request to the entry that owns its pool.
    pub(super) fn forward(&mut self, job: JobKey, entry: usize, pool: usize) {
        let owner = self.owner_of(pool);
        let hop_ms = match owner == entry {
            true => 0,
            false => self.spec.hop_ms,
        };
        self.jobs[job].holder = owner;
        let lost_owner = self.spec.lost_entry.map(|(lost, _)| lost);
        let wait_ms = match lost_owner {
            Some(lost) if self.owner_before_loss(pool) == lost => {
                self.failover_end_ms.saturating_sub(self.now_ms)
            }
            _ => 0,
        };
        self.after(hop_ms + wait_ms, Event::Forwarded(job, owner));
    }

    pub(super) fn owner_of(&self, pool: usize) -> usize {
        (0..self.spec.entries_count)
            .filter(|entry| self.entries[*entry].is_up)
            .max_by_key(|entry| rendezvous_weight(pool, *entry))
            .unwrap_or(0)
    }

    pub(super) fn owner_before_loss(&self, pool: usize) -> usize {
        (0..self.spec.entries_count)
            .max_by_key(|entry| rendezvous_weight(pool, *entry))
            .unwrap_or(0)
    }

    pub(super) fn push(&mut self, job: JobKey, entry: usize) {
        if !self.entries[entry].is_up {
            return self.after(CALLER_DETECTION_MS, Event::Arrive(job, entry));
        }
        let waiting = self.waiting_of(job, entry);
        let (now_ms, pool) = (self.now_ms, self.jobs[job].pool);
        let size_max = Resources {
            cores_milli: u64::MAX,
            memory_mb: u64::MAX,
            accelerators_count: u64::MAX,
        };
        match self.entries[entry].push(now_ms, waiting, &size_max) {
            Ok(()) => {
                self.jobs[job].stage = Stage::Waiting;
                self.jobs[job].holder = entry;
                self.waiting[pool] += 1;
                self.dispatch(entry);
            }
            Err(refusal) => self.caller_refused(job, refusal.retry_after_ms),
        }
    }

    pub(super) fn waiting_of(&self, job: JobKey, entry: usize) -> WaitingRequest {
        let (arrival, state) = (&self.arrivals[job], &self.jobs[job]);
        let team = arrival.team.map(|team| TeamKey(team as u32));
        let queue = QueueKey(arrival.queue as u16);
        let sizes = &self.entries[entry].sizes;
        let declared = clip(&arrival.declared_size);
        WaitingRequest {
            key: RequestKey(job as u64),
            team,
            queue,
            pools: Arc::from([PoolKey(state.pool as u16)]),
            size: sizes.size_of(team, queue, &declared),
            enqueued_ms: self.now_ms,
            deadline_ms: state.deadline_ms,
            is_urgent: self.spec.queues[arrival.queue].is_urgent,
            declared_run_ms: arrival.declared_run_ms,
            failed_on: None,
        }
    }

    /// Handles a refused or abandoned request: its caller retries after `retry_after_ms`, unless it
    /// has used up its retries.
    pub(super) fn caller_refused(&mut self, job: JobKey, retry_after_ms: Option<u64>) {
        self.jobs[job].stage = Stage::WithCaller;
        let Some(retry_after_ms) = retry_after_ms else {
            return;
        };
        if self.jobs[job].submissions_count > self.spec.returns_max_count {
            return;
        }
        let at_ms = self.now_ms + retry_after_ms + self.spec.hop_ms;
        if self.jobs[job].submissions_count == 1 {
            self.outcome.returned_count += 1;
        }
        if let Some(count) = self.outcome.returns_by_100_ms.get_mut(at_ms as usize / 100) {
            *count += 1;
        }
        let entry = self.rng.random_range(0..self.spec.entries_count);
        self.at(at_ms, Event::Arrive(job, entry));
    }
}

/// Highest-random-weight hash (Thaler and Ravishankar, 1998).
fn rendezvous_weight(pool: usize, entry: usize) -> [u8; 32] {
    *blake3::hash(format!("{pool}/{entry}").as_bytes()).as_bytes()
}
