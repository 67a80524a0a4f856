//! Tickets of the eligibility service, which decides which workers may run a step. One ticket covers
//! all tasks of a step until it expires. A pool may have more workers than a request names, so that the
//! engine remembers the answer about each worker and asks about further ones while it needs them.

use std::collections::{BTreeSet, HashMap};

use smol_str::SmolStr;

use crate::jobs::engine::Engine;
use crate::jobs::keys::{JobKey, TaskKey, WorkerKey};
use crate::jobs::orders::{Action, TicketCandidate, TicketRequest};
use crate::logging::Event;

/// Most workers in one request.
const WORKERS_MAX_COUNT: usize = 30;
/// Time after which an unanswered request is sent again, in milliseconds.
const REQUEST_RETRY_MS: u64 = 1_500;
/// Time before their expiry at which tickets are no longer used, in milliseconds.
const EXPIRY_RESERVE_MS: u64 = 300;
/// Time after which it is checked again whether there is a worker to ask about, in milliseconds.
const CANDIDATES_CHECK_MS: u64 = 100;

type StepKey = (JobKey, u32, u16);

/// What the service has answered about a worker.
#[derive(Clone, Debug)]
struct Eligibility {
    /// Incarnation that the answer is about.
    started_unix_ms: u64,
    /// Ticket; none if the worker may not run the step.
    ticket: Option<SmolStr>,
    valid_until_ms: u64,
}

/// Tickets of one step.
#[derive(Clone, Debug, Default)]
struct StepTickets {
    requested_ms: Option<u64>,
    /// Time before which there is no worker to ask about.
    next_check_ms: u64,
    answers: HashMap<WorkerKey, Eligibility>,
    /// Workers in `answers` that have a ticket.
    eligible: BTreeSet<WorkerKey>,
}

impl StepTickets {
    fn insert(&mut self, worker: WorkerKey, eligibility: Eligibility) {
        match eligibility.ticket {
            Some(_) => self.eligible.insert(worker),
            None => self.eligible.remove(&worker),
        };
        self.answers.insert(worker, eligibility);
    }

    fn remove(&mut self, worker: WorkerKey) {
        self.eligible.remove(&worker);
        self.answers.remove(&worker);
    }
}

/// Tickets by step.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tickets {
    steps: HashMap<StepKey, StepTickets>,
}

/// How much a worker is worth a question, the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Interest {
    /// It may run the step and has a place, but its ticket has expired.
    Expired,
    /// It has a place, and was not asked about yet.
    Unknown,
    /// It may run the step, but its ticket has expired, and it has no place now.
    ExpiredFull,
    /// It has no place now, and was not asked about yet.
    UnknownFull,
    /// It could not run the step when it was asked about.
    NotEligible,
}

fn step_key(task: TaskKey) -> StepKey {
    (task.job, task.round, task.step)
}

impl Tickets {
    /// Returns the ticket for a task on a worker.
    pub(crate) fn of(&self, task: TaskKey, worker: WorkerKey) -> Option<SmolStr> {
        let step = self.steps.get(&step_key(task))?;
        step.answers.get(&worker)?.ticket.clone()
    }

    /// Drops a ticket that a worker refused, so that it is asked about again.
    pub(crate) fn drop_worker(&mut self, task: TaskKey, worker: WorkerKey) {
        if let Some(step) = self.steps.get_mut(&step_key(task)) {
            step.remove(worker);
            step.next_check_ms = 0;
        }
    }

    /// Drops all tickets of a job.
    pub(crate) fn forget(&mut self, job: JobKey) {
        self.steps.retain(|(of, _, _), _| *of != job);
    }
}

impl Engine {
    /// Returns the workers that accept the task and have a valid ticket for its step, or `None` if there
    /// are none. If they have fewer than `wanted_count` places, it requests further tickets;
    /// `places_count` counts the places of a worker.
    pub(crate) fn with_tickets(
        &mut self,
        task: TaskKey,
        wanted_count: u32,
        places_count: impl Fn(&Self, WorkerKey) -> u32,
    ) -> Option<Vec<WorkerKey>> {
        let workers = self.ticketed_workers(task);
        let counts = workers.iter().map(|key| places_count(self, *key));
        if counts.sum::<u32>() < wanted_count {
            self.request_tickets(task, |engine, key| places_count(engine, key) > 0);
        }
        (!workers.is_empty()).then_some(workers)
    }

    /// Returns the workers that accept the task and have a valid ticket for its step.
    fn ticketed_workers(&self, task: TaskKey) -> Vec<WorkerKey> {
        let now_ms = self.now_ms;
        let Some(step) = self.tickets.steps.get(&step_key(task)) else {
            return Vec::new();
        };
        let reserved = self.reserved_for(task);
        let is_usable = |key: &WorkerKey| {
            let worker = self.worker(*key);
            let answer = self.eligibility(task, *key);
            answer.is_some_and(|answer| now_ms < answer.valid_until_ms)
                && worker.info.pool == self.job(task.job).pool
                && (worker.takes_tasks(now_ms) || reserved.contains(key))
        };
        step.eligible.iter().copied().filter(is_usable).collect()
    }

    /// Requests tickets for the workers that are worth it most, unless a request is under way.
    fn request_tickets(&mut self, task: TaskKey, has_place: impl Fn(&Self, WorkerKey) -> bool) {
        let now_ms = self.now_ms;
        let step = self.tickets.steps.entry(step_key(task)).or_default();
        let retry_ms = step
            .requested_ms
            .map_or(0, |sent_ms| sent_ms + REQUEST_RETRY_MS);
        if now_ms < retry_ms.max(step.next_check_ms) {
            return;
        }
        let candidates = self.ticket_candidates(task, has_place);
        let step = self.tickets.steps.entry(step_key(task)).or_default();
        if candidates.is_empty() {
            step.next_check_ms = now_ms + CANDIDATES_CHECK_MS;
            return;
        }
        step.requested_ms = Some(now_ms);
        let workers = candidates.iter().map(|key| {
            let info = &self.worker(*key).info;
            TicketCandidate {
                id: info.id.clone(),
                started_unix_ms: info.started_unix_ms,
            }
        });
        let request = TicketRequest {
            job: self.job(task.job).id,
            round: task.round,
            step: task.step,
            workers: workers.collect(),
        };
        self.actions.push(Action::RequestTickets(request));
    }

    /// Returns the workers to ask about next: those of the greatest interest, the least loaded first.
    fn ticket_candidates(
        &self,
        task: TaskKey,
        has_place: impl Fn(&Self, WorkerKey) -> bool,
    ) -> Vec<WorkerKey> {
        let mut accepting = self.accepting_workers(&self.job(task.job).pool);
        accepting.extend(self.reserved_for(task));
        let is_eligible_known = accepting.iter().any(|key| self.is_eligible(task, *key));
        let mut interested: Vec<(Interest, u64, WorkerKey)> = Vec::new();
        for key in accepting {
            let Some(interest) = self.ticket_interest(task, key, has_place(self, key)) else {
                continue;
            };
            let is_last_resort = interest > Interest::ExpiredFull;
            if !is_last_resort || !is_eligible_known {
                interested.push((interest, self.worker(key).used.cpu_millis, key));
            }
        }
        interested.sort_unstable();
        let best = interested.first().map(|(interest, ..)| *interest);
        let of_best = interested
            .into_iter()
            .filter(|(interest, ..)| Some(*interest) == best);
        of_best
            .map(|(.., key)| key)
            .take(WORKERS_MAX_COUNT)
            .collect()
    }

    /// Returns the answer about the present incarnation of a worker.
    fn eligibility(&self, task: TaskKey, key: WorkerKey) -> Option<&Eligibility> {
        let step = self.tickets.steps.get(&step_key(task))?;
        let started_unix_ms = self.worker(key).info.started_unix_ms;
        let answer = step.answers.get(&key);
        answer.filter(|answer| answer.started_unix_ms == started_unix_ms)
    }

    fn is_eligible(&self, task: TaskKey, key: WorkerKey) -> bool {
        let answer = self.eligibility(task, key);
        answer.is_some_and(|answer| answer.ticket.is_some())
    }

    /// Returns how much a worker is worth a question; `None` while an answer about it is valid.
    fn ticket_interest(&self, task: TaskKey, key: WorkerKey, has_place: bool) -> Option<Interest> {
        match self.eligibility(task, key) {
            Some(answer) if self.now_ms < answer.valid_until_ms => None,
            Some(answer) if answer.ticket.is_none() => Some(Interest::NotEligible),
            Some(_) if has_place => Some(Interest::Expired),
            Some(_) => Some(Interest::ExpiredFull),
            None if has_place => Some(Interest::Unknown),
            None => Some(Interest::UnknownFull),
        }
    }

    /// Handles the answer to a request; `answer` is `None` if there was none.
    pub fn tickets_answered(
        &mut self,
        request: &TicketRequest,
        answer: Option<(Vec<(SmolStr, SmolStr)>, u64)>,
        now_ms: u64,
    ) {
        self.now_ms = now_ms.max(self.now_ms);
        let Some(job) = self.job_keys.get(&request.job).copied() else {
            return;
        };
        let key = (job, request.round, request.step);
        let (tickets, valid_ms) = answer.unwrap_or_default();
        Event::new("tickets")
            .with("job", request.job)
            .with("step", request.step)
            .with("asked_count", request.workers.len())
            .with("eligible_count", tickets.len())
            .with("valid_ms", valid_ms)
            .info();
        let Some(step) = self.tickets.steps.get_mut(&key).filter(|_| valid_ms > 0) else {
            return;
        };
        step.requested_ms = None;
        step.next_check_ms = 0;
        let valid_until_ms = now_ms + valid_ms.saturating_sub(EXPIRY_RESERVE_MS);
        let tickets: HashMap<SmolStr, SmolStr> = tickets.into_iter().collect();
        for TicketCandidate {
            id,
            started_unix_ms,
        } in &request.workers
        {
            let Some(worker) = self.worker_keys.get(id).copied() else {
                continue;
            };
            let info = &self.workers[crate::jobs::engine::index(worker.0)].info;
            // The worker has restarted since it was asked about.
            if info.started_unix_ms != *started_unix_ms {
                continue;
            }
            let eligibility = Eligibility {
                started_unix_ms: *started_unix_ms,
                ticket: tickets.get(id).cloned(),
                valid_until_ms,
            };
            step.insert(worker, eligibility);
        }
        self.needs_dispatch = true;
    }
}
