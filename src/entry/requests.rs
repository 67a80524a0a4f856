//! The requests held by one entry and their attempts in flight, with the times at which deadlines
//! pass, backoffs end and unresolved attempts are known to have ended.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use smol_str::SmolStr;
use uuid::Uuid;

use crate::{
    callers::CallId,
    entry::event::AttemptKey,
    fleet::{InstanceName, MonoMs, Offset, PoolName, QueueName, Resources, TeamName},
    ledger::SeatId,
    policy::{
        health::WorkKey,
        keys::{PoolKey, RequestKey, WorkerKey},
        lane::WaitingRequest,
        share::TeamOrOpen,
    },
};

/// Where the outcome of a request is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// The caller waiting for it.
    Call(CallId),
    /// The ledger: the request is a job.
    Job,
}

/// Stage of a request's processing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Its claim or the start of its job is proposed and not folded yet.
    Claiming,
    /// Waits in the queue.
    Waiting,
    /// Waits for the backoff before its next attempt to end.
    BackingOff,
    /// An attempt is in flight.
    Running(AttemptKey),
}

/// One request.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) origin: Origin,
    pub(crate) request_id: SmolStr,
    /// Id under which a non-idempotent request or a job is persisted in the ledger.
    pub(crate) claim_id: Option<Uuid>,
    /// Empty for work from a queue open to all.
    pub(crate) team: TeamName,
    pub(crate) queue: QueueName,
    pub(crate) is_idempotent: bool,
    pub(crate) size: Resources,
    pub(crate) size_max: Resources,
    pub(crate) body: Arc<[u8]>,
    pub(crate) waiting: WaitingRequest,
    pub(crate) stage: Stage,
    pub(crate) attempts_count: u32,
    /// Outcome of the earlier attempts of a request that is retried.
    pub(crate) past_attempts: PastAttempts,
    /// Whether the job may start: its start is persisted, or does not need to be.
    pub(crate) is_start_persisted: bool,
}

/// One attempt to run a request.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) request: RequestKey,
    pub(crate) attempt_id: SmolStr,
    pub(crate) worker: WorkerKey,
    pub(crate) instance: InstanceName,
    pub(crate) address: SmolStr,
    pub(crate) pool: PoolKey,
    pub(crate) pool_name: PoolName,
    pub(crate) team: TeamName,
    pub(crate) team_slot: TeamOrOpen,
    pub(crate) size: Resources,
    pub(crate) work: WorkKey,
    /// Seat whose part of the team's limit the attempt counts against.
    pub(crate) seat: SeatId,
    pub(crate) started_ms: MonoMs,
    /// Time from which the worker cannot be running the task any more.
    pub(crate) ended_by_ms: MonoMs,
    /// Offset up to which the ledger was folded when the attempt was started.
    pub(crate) decided_offset: Offset,
}

/// All requests and attempts of one entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct Requests {
    rows: HashMap<RequestKey, Request>,
    by_id: HashMap<(TeamName, SmolStr), RequestKey>,
    by_call: HashMap<CallId, RequestKey>,
    deadlines: BTreeSet<(MonoMs, RequestKey)>,
    backoffs: BTreeSet<(MonoMs, RequestKey)>,
    attempts: HashMap<AttemptKey, Attempt>,
    /// Attempts of unknown outcome whose task may still be running, by the time at which it ends.
    unresolved: BTreeSet<(MonoMs, AttemptKey)>,
    unresolved_rows: HashMap<AttemptKey, Attempt>,
    next_request: u64,
    next_attempt: u64,
}

/// Outcome of the earlier attempts of a request; the worst one counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PastAttempts {
    /// No attempt ran.
    #[default]
    NotRun,
    /// An attempt ran and failed.
    Failed,
    /// An attempt may have run or may still be running.
    Unknown,
}

impl Requests {
    /// Returns the key of the next request.
    pub(crate) fn next_key(&mut self) -> RequestKey {
        self.next_request += 1;
        RequestKey(self.next_request)
    }

    pub(crate) fn insert(&mut self, key: RequestKey, request: Request) {
        let id = (request.team.clone(), request.request_id.clone());
        self.by_id.insert(id, key);
        if let Origin::Call(call_id) = request.origin {
            self.by_call.insert(call_id, key);
        }
        self.deadlines.insert((request.waiting.deadline_ms, key));
        self.rows.insert(key, request);
    }

    pub(crate) fn get(&self, key: RequestKey) -> Option<&Request> {
        self.rows.get(&key)
    }

    pub(crate) fn get_mut(&mut self, key: RequestKey) -> Option<&mut Request> {
        self.rows.get_mut(&key)
    }

    pub(crate) fn find(&self, team: &TeamName, request_id: &SmolStr) -> Option<RequestKey> {
        self.by_id.get(&(team.clone(), request_id.clone())).copied()
    }

    pub(crate) fn find_call(&self, call_id: CallId) -> Option<RequestKey> {
        self.by_call.get(&call_id).copied()
    }

    pub(crate) fn remove(&mut self, key: RequestKey) -> Option<Request> {
        let request = self.rows.remove(&key)?;
        let id = (request.team.clone(), request.request_id.clone());
        if self.by_id.get(&id) == Some(&key) {
            self.by_id.remove(&id);
        }
        if let Origin::Call(call_id) = request.origin {
            self.by_call.remove(&call_id);
        }
        self.deadlines.remove(&(request.waiting.deadline_ms, key));
        Some(request)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (RequestKey, &Request)> {
        self.rows.iter().map(|(key, request)| (*key, request))
    }

    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns the requests whose deadline has passed and drops their timers. The requests stay.
    pub(crate) fn pop_overdue(&mut self, now_ms: MonoMs) -> Vec<RequestKey> {
        pop_due(&mut self.deadlines, now_ms)
    }

    pub(crate) fn back_off(&mut self, key: RequestKey, until_ms: MonoMs) {
        self.backoffs.insert((until_ms, key));
    }

    /// Returns the requests whose backoff has ended and drops their timers.
    pub(crate) fn pop_backed_off(&mut self, now_ms: MonoMs) -> Vec<RequestKey> {
        pop_due(&mut self.backoffs, now_ms)
    }

    pub(crate) fn next_attempt(&mut self) -> AttemptKey {
        self.next_attempt += 1;
        AttemptKey(self.next_attempt)
    }

    pub(crate) fn start(&mut self, key: AttemptKey, attempt: Attempt) {
        self.attempts.insert(key, attempt);
    }

    pub(crate) fn attempt(&self, key: AttemptKey) -> Option<&Attempt> {
        self.attempts.get(&key)
    }

    pub(crate) fn end(&mut self, key: AttemptKey) -> Option<Attempt> {
        self.attempts.remove(&key)
    }

    /// Returns the attempts that may be running, including those of unknown outcome.
    pub(crate) fn may_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.values().chain(self.unresolved_rows.values())
    }

    /// Tracks an attempt of unknown outcome until its task's lease has ended.
    pub(crate) fn track_unresolved(&mut self, key: AttemptKey, attempt: Attempt) {
        self.unresolved.insert((attempt.ended_by_ms, key));
        self.unresolved_rows.insert(key, attempt);
    }

    /// Removes and returns the attempts of unknown outcome whose lease has ended.
    pub(crate) fn pop_ended_unresolved(&mut self, now_ms: MonoMs) -> Vec<Attempt> {
        pop_due(&mut self.unresolved, now_ms)
            .into_iter()
            .filter_map(|key| self.unresolved_rows.remove(&key))
            .collect()
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.rows.is_empty() && self.attempts.is_empty() && self.unresolved.is_empty()
    }
}

fn pop_due<K: Ord + Copy>(times: &mut BTreeSet<(MonoMs, K)>, now_ms: MonoMs) -> Vec<K> {
    let mut due = Vec::new();
    while let Some((at_ms, key)) = times.first().copied() {
        if at_ms > now_ms {
            break;
        }
        times.pop_first();
        due.push(key);
    }
    due
}
