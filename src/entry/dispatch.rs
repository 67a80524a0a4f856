//! Dispatch of waiting requests to workers. The conditions that the guarantees depend on (seat
//! lease, team limit, deadline, persisted job start) are checked again right before each start.

use std::{collections::HashMap, sync::Arc};

use smol_str::SmolStr;
use uuid::Uuid;

use crate::{
    entry::{
        engine::Engine,
        event::{attempt_id, Action},
        requests::{Attempt, Request, Stage},
    },
    fleet::TeamName,
    policy::{
        health::WorkKey,
        keys::{PoolKey, QueueKey, TeamKey, WorkerKey},
        lane::WaitingRequest,
        share::TeamOrOpen,
    },
    ports::WorkerRequest,
};

/// Time by which a task's lease outlasts the deadline of its request, in milliseconds.
const LEASE_SLACK_MS: u64 = 100;

/// Maximum number of attempts started in one step, which keeps steps short.
const STARTS_MAX_COUNT: usize = 256;

impl Request {
    /// Returns whether the request is queued or backing off.
    pub(crate) fn is_waiting(&self) -> bool {
        matches!(self.stage, Stage::Waiting | Stage::BackingOff)
    }
}

impl Engine {
    pub(crate) fn team_slot(&mut self, team: &TeamName) -> TeamOrOpen {
        match team.is_empty() {
            true => None,
            false => Some(TeamKey(self.teams.insert_full(team.clone()).0 as u32)),
        }
    }

    pub(crate) fn queue_key(&mut self, queue: &SmolStr) -> QueueKey {
        QueueKey(self.queues.insert_full(queue.clone()).0 as u16)
    }

    pub(crate) fn pools_of(&self, queue: &str) -> Arc<[PoolKey]> {
        let mut queues = self.ledger.lists.entitlements.queues.iter();
        let pools = queues
            .find(|row| row.name == queue)
            .map(|row| row.pools.as_slice())
            .unwrap_or_default();
        pools
            .iter()
            .filter_map(|pool| self.ledger.instances.pool_key(pool))
            .collect()
    }

    /// Starts all waiting requests that may start now.
    pub(crate) fn start_waiting_requests(&mut self) {
        if self.wait.is_empty() || !self.admission_state().is_config_fresh {
            return;
        }
        let pools_count = self.ledger.instances.pools().count();
        let mut starts_count = 0;
        for index in 0..pools_count {
            let pool = PoolKey(index as u16);
            while starts_count < STARTS_MAX_COUNT && self.wait.has_work_for(pool) {
                let Some((waiting, worker)) = self.choose_start(pool) else {
                    break;
                };
                starts_count += 1;
                self.start(pool, waiting, worker);
            }
        }
    }

    pub(crate) fn choose_start(&mut self, pool: PoolKey) -> Option<(WaitingRequest, WorkerKey)> {
        let now_ms = self.now.mono_ms;
        let mut chosen = None;
        let Self {
            wait,
            usage,
            placement,
            rng,
            escrow,
            ledger,
            seat,
            teams,
            lease,
            ..
        } = self;
        let is_lease_valid = lease.is_valid(now_ms);
        let mut can_start = |waiting: &WaitingRequest| {
            // Moves and stops of instances wait until every live seat is clean, so nothing may
            // start without a valid seat.
            let has_permit = match waiting.team {
                _ if !is_lease_valid => false,
                None => true,
                Some(TeamKey(team)) => teams
                    .get_index(team as usize)
                    .is_some_and(|team| escrow.can_start(ledger, seat, team)),
            };
            chosen = match has_permit {
                true => placement.choose(now_ms, pool, &waiting.size, waiting.failed_on, rng),
                false => None,
            };
            chosen.is_some()
        };
        let waiting = wait.next(now_ms, pool, usage, &mut can_start)?;
        Some((waiting, chosen?))
    }

    pub(crate) fn start(&mut self, pool: PoolKey, waiting: WaitingRequest, worker: WorkerKey) {
        let key = waiting.key;
        let attempt_key = self.requests.next_attempt();
        let Some(request) = self.requests.get(key) else {
            return;
        };
        if !request.is_start_persisted {
            self.propose_job_start(key);
            return;
        }
        let now_ms = self.now.mono_ms;
        let left_ms = request.waiting.deadline_ms.saturating_sub(now_ms);
        // Nothing may start after the seat's lease, however long the process was paused: from then
        // on, others may use the seat's part of the team's limit and stop the instance.
        let lease_left_ms = self.lease.left_ms(now_ms);
        let start_window_ms = self
            .settings
            .start_window_ms
            .min(left_ms)
            .min(lease_left_ms);
        let lease_max_ms = self.lease_max_ms();
        let lease_ms = (left_ms + LEASE_SLACK_MS).min(lease_max_ms);
        let ended_by_ms = now_ms + start_window_ms + lease_ms + self.settings.clock_skew_max_ms;
        let Some((name, found)) = self.workers.by_key(worker) else {
            return;
        };
        let attempt = Attempt {
            request: key,
            attempt_id: attempt_id(&self.seat, attempt_key),
            worker,
            instance: name.clone(),
            address: found.address.clone(),
            pool,
            pool_name: self.pool_name(pool),
            team: request.team.clone(),
            team_slot: waiting.team,
            size: waiting.size,
            work: work_key(waiting.team, waiting.queue, &request.request_id),
            seat: self.seat.clone(),
            started_ms: now_ms,
            ended_by_ms,
            decided_offset: self.ledger.next_offset,
        };
        let worker_request = WorkerRequest {
            attempt_id: attempt.attempt_id.clone(),
            incarnation: found.incarnation.clone(),
            request_id: request.request_id.clone(),
            team: request.team.clone(),
            queue: request.queue.clone(),
            start_before_unix_ms: self.now.unix_ms + start_window_ms,
            lease_ms,
            size: request.size,
            body: request.body.clone(),
        };
        self.actions.push(Action::Run {
            attempt: attempt_key,
            address: attempt.address.clone(),
            request: Box::new(worker_request),
            timeout_ms: start_window_ms + lease_ms,
            queued_ms: now_ms.saturating_sub(waiting.enqueued_ms),
        });
        self.occupy(&attempt);
        self.requests.start(attempt_key, attempt);
        self.counts.attempts_count += 1;
        if let Some(request) = self.requests.get_mut(key) {
            request.stage = Stage::Running(attempt_key);
            request.attempts_count += 1;
        }
    }

    /// Returns the longest task lease that ends before the parts of an expired seat are given to
    /// other seats.
    pub(crate) fn lease_max_ms(&self) -> u64 {
        let settings = &self.settings;
        let delays_ms = settings.start_window_ms + settings.clock_skew_max_ms;
        let protocol_max_ms = crate::ledger::RUN_MAX_MS.saturating_sub(delays_ms);
        settings.run_max_ms.min(protocol_max_ms)
    }

    pub(crate) fn pool_name(&self, pool: PoolKey) -> SmolStr {
        let name = self.ledger.instances.pool_name(pool);
        name.cloned().unwrap_or_default()
    }

    pub(crate) fn occupy(&mut self, attempt: &Attempt) {
        let now_ms = self.now.mono_ms;
        self.placement.started(attempt.worker, &attempt.size);
        self.usage
            .started(now_ms, attempt.team_slot, attempt.pool, &attempt.size);
        if !attempt.team.is_empty() {
            self.escrow.started(&attempt.team);
        }
    }

    pub(crate) fn release(&mut self, attempt: &Attempt) {
        let now_ms = self.now.mono_ms;
        self.placement.ended(attempt.worker, &attempt.size);
        self.usage
            .ended(now_ms, attempt.team_slot, attempt.pool, &attempt.size);
        if !attempt.team.is_empty() && attempt.seat == self.seat {
            self.escrow.ended(&attempt.team);
        }
    }
}

/// Claims of requests that were answered while their attempt was in flight, by attempt id.
pub(crate) type OrphanClaims = HashMap<SmolStr, (TeamName, Uuid)>;

fn work_key(team: TeamOrOpen, queue: QueueKey, request_id: &str) -> WorkKey {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&team.map_or(u32::MAX, |team| team.0).to_le_bytes());
    hasher.update(&queue.0.to_le_bytes());
    hasher.update(request_id.as_bytes());
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    WorkKey(u64::from_le_bytes(bytes))
}
