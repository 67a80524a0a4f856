//! Tickets of the eligibility service, which decides which workers may run a step. One request
//! covers all tasks of a step until its tickets expire.

use std::collections::HashMap;

use smol_str::SmolStr;

use crate::jobs::engine::Engine;
use crate::jobs::keys::{JobKey, TaskKey, WorkerKey};
use crate::jobs::orders::{Action, TicketRequest};
use crate::logging::Event;

/// Most workers in one request.
const WORKERS_MAX_COUNT: usize = 30;
/// Time after which an unanswered request is sent again, in milliseconds.
const REQUEST_RETRY_MS: u64 = 1_500;
/// Time before their expiry at which tickets are no longer used, in milliseconds.
const EXPIRY_RESERVE_MS: u64 = 300;

type StepKey = (JobKey, u32, u16);

/// Tickets of one step.
#[derive(Clone, Debug, Default)]
struct StepTickets {
    requested_ms: Option<u64>,
    valid_until_ms: u64,
    tickets: HashMap<SmolStr, SmolStr>,
}

/// Tickets by step.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tickets {
    steps: HashMap<StepKey, StepTickets>,
}

fn step_key(task: TaskKey) -> StepKey {
    (task.job, task.round, task.step)
}

impl Tickets {
    /// Returns the ticket for a task on a worker.
    pub(crate) fn of(&self, task: TaskKey, worker: &SmolStr) -> Option<SmolStr> {
        self.steps
            .get(&step_key(task))?
            .tickets
            .get(worker)
            .cloned()
    }

    /// Drops a ticket that a worker refused, so that new ones are requested.
    pub(crate) fn drop_worker(&mut self, task: TaskKey, worker: &SmolStr) {
        if let Some(step) = self.steps.get_mut(&step_key(task)) {
            step.tickets.remove(worker);
            step.valid_until_ms = 0;
        }
    }

    /// Drops all tickets of a job.
    pub(crate) fn forget(&mut self, job: JobKey) {
        self.steps.retain(|(of, _, _), _| *of != job);
    }
}

impl Engine {
    /// Returns the workers that accept tasks and have a valid ticket for the task's step. Without
    /// valid tickets it requests some and returns `None`.
    pub(crate) fn with_tickets(&mut self, task: TaskKey) -> Option<Vec<WorkerKey>> {
        let now_ms = self.now_ms;
        let pool = self.job(task.job).pool.clone();
        let step = self.tickets.steps.entry(step_key(task)).or_default();
        if now_ms < step.valid_until_ms {
            let ids = step.tickets.keys();
            let mut keys: Vec<WorkerKey> = ids
                .filter_map(|id| self.worker_keys.get(id).copied())
                .collect();
            keys.retain(|key| {
                let worker = self.worker(*key);
                worker.info.pool == pool && worker.takes_tasks(now_ms)
            });
            return Some(keys);
        }
        let is_in_flight = step
            .requested_ms
            .is_some_and(|requested_ms| now_ms < requested_ms + REQUEST_RETRY_MS);
        let mut by_load = self.accepting_workers(&pool);
        if is_in_flight || by_load.is_empty() {
            return None;
        }
        if let Some(step) = self.tickets.steps.get_mut(&step_key(task)) {
            step.requested_ms = Some(now_ms);
        }
        by_load.sort_by_key(|key| self.worker(*key).used.cpu_millis);
        let ids = by_load.iter().map(|key| self.worker(*key).info.id.clone());
        let request = TicketRequest {
            job: self.job(task.job).id,
            round: task.round,
            step: task.step,
            workers: ids.take(WORKERS_MAX_COUNT).collect(),
        };
        self.actions.push(Action::RequestTickets(request));
        None
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
        let Some(step) = self.tickets.steps.get_mut(&key) else {
            return;
        };
        let (tickets, valid_ms) = answer.unwrap_or_default();
        Event::new("tickets")
            .with("job", request.job)
            .with("step", request.step)
            .with("asked_count", request.workers.len())
            .with("eligible_count", tickets.len())
            .with("valid_ms", valid_ms)
            .info();
        if valid_ms > 0 {
            step.requested_ms = None;
        }
        step.valid_until_ms = now_ms + valid_ms.saturating_sub(EXPIRY_RESERVE_MS);
        step.tickets = tickets.into_iter().collect();
        self.needs_dispatch = true;
    }
}
