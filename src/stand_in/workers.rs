//! The stand-in workers of an in-memory fleet behind the [`WorkerPort`], and the complete in-memory
//! platform.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::adapters::worker_answer::{Loss, RawAnswer};
use crate::fleet::InstanceRow;
use crate::ports::{NotStarted, PortError, WorkerOutcome, WorkerPort, WorkerRequest, WorkerStatus};
use crate::stand_in::instances::{InstanceEvent, MemoryInstances};
use crate::stand_in::journal::{Journal, Run};
use crate::stand_in::log::{LogLimits, MemoryLog};
use crate::stand_in::worker::{Attempt, MemoryWorker};
use crate::stand_in::worker_state::{AnswerFault, Refusal, WorkerSettings};

/// Maximum number of runs in the journal of each worker.
pub const JOURNAL_MAX_COUNT: usize = 100_000;

/// Stand-in workers by address; clones share them.
#[derive(Clone, Debug, Default)]
pub struct MemoryWorkers {
    by_address: Arc<Mutex<IndexMap<SmolStr, Arc<MemoryWorker>>>>,
    retired: Arc<Mutex<Journal>>,
}

impl MemoryWorkers {
    /// Creates a worker for each row.
    pub fn open(rows: &[InstanceRow]) -> Self {
        let workers = Self::default();
        rows.iter().for_each(|row| workers.begin_boot(row));
        workers
    }

    /// Returns the worker at `address`.
    pub fn at(&self, address: &str) -> Option<Arc<MemoryWorker>> {
        self.lock().get(address).cloned()
    }

    /// Returns the runs in the journals of all workers, including those of removed workers.
    pub fn runs(&self) -> Vec<Run> {
        let present: Vec<_> = self.lock().values().cloned().collect();
        let retired = self.lock_retired().runs.clone();
        retired
            .into_iter()
            .chain(present.iter().flat_map(|worker| worker.journal().runs))
            .collect()
    }

    /// Applies a change of the instance list.
    pub fn apply_event(&self, event: &InstanceEvent) {
        match event {
            InstanceEvent::Ended(row) => self.end_boot(row),
            InstanceEvent::Began(row) => self.begin_boot(row),
            InstanceEvent::Leaving(_) => {}
        }
    }

    fn begin_boot(&self, row: &InstanceRow) {
        let worker = Arc::new(MemoryWorker::open(worker_settings(row)));
        let replaced = self.lock().insert(row.address.clone(), worker);
        self.retire(replaced);
    }

    fn end_boot(&self, row: &InstanceRow) {
        let ended = self.lock().shift_remove(&row.address);
        self.retire(ended);
    }

    /// Kills the running tasks of a removed worker and retains its journal.
    fn retire(&self, worker: Option<Arc<MemoryWorker>>) {
        let Some(worker) = worker else { return };
        worker.end_boot();
        let mut retired = self.lock_retired();
        for run in worker.journal().runs {
            retired.push(run, JOURNAL_MAX_COUNT);
        }
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<SmolStr, Arc<MemoryWorker>>> {
        self.by_address
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_retired(&self) -> MutexGuard<'_, Journal> {
        self.retired.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn find(&self, address: &str) -> Result<Arc<MemoryWorker>, PortError> {
        self.at(address)
            .ok_or_else(|| PortError::NotSent("unreachable".into()))
    }
}

impl WorkerPort for MemoryWorkers {
    fn run(
        &self,
        address: &str,
        request: &WorkerRequest,
        timeout_ms: u64,
        answer_max_bytes: u64,
    ) -> WorkerOutcome {
        let Some(worker) = self.at(address) else {
            return WorkerOutcome::NotStarted(NotStarted::Unreachable);
        };
        let deadline = Instant::now() + Duration::from_millis(timeout_ms);
        let (answer, fault) = match worker.run(request, deadline) {
            Attempt::Answered(answer, fault) => (answer, fault),
            Attempt::Refused(Refusal::NotStarted(reason)) => {
                return WorkerOutcome::NotStarted(reason)
            }
            Attempt::Refused(Refusal::OutcomeUnknown(loss)) | Attempt::Stopped(loss) => {
                return loss.outcome()
            }
            Attempt::StillRunning => return Loss::TimedOut.outcome(),
        };
        if fault == AnswerFault::Silent {
            worker.wait_while_silent(&request.attempt_id, deadline);
            return Loss::TimedOut.outcome();
        }
        apply_fault(answer, fault, answer_max_bytes).check(&request.attempt_id, answer_max_bytes)
    }

    fn cancel(&self, address: &str, attempt_id: &str) -> Result<bool, PortError> {
        Ok(self.find(address)?.cancel(attempt_id))
    }

    fn status(&self, address: &str) -> Result<WorkerStatus, PortError> {
        Ok(self.find(address)?.status())
    }

    fn drain(&self, address: &str, is_draining: bool) -> Result<(), PortError> {
        self.find(address)?.set_draining(is_draining);
        Ok(())
    }
}

/// Alters an answer in memory as `fault` alters one on a connection.
fn apply_fault(mut answer: RawAnswer, fault: AnswerFault, answer_max_bytes: u64) -> RawAnswer {
    match fault {
        AnswerFault::None | AnswerFault::Silent => {}
        AnswerFault::Crossed => answer.attempt_id = crossed_attempt_id(&answer.attempt_id),
        AnswerFault::Truncated => answer.body = Arc::from(&answer.body[..answer.body.len() / 2]),
        AnswerFault::Doubled => answer.body = Arc::from([&*answer.body, &*answer.body].concat()),
        AnswerFault::Endless => answer.declared_bytes = answer_max_bytes.saturating_add(1),
    }
    answer
}

/// Returns an attempt id that differs from `attempt_id`.
pub(crate) fn crossed_attempt_id(attempt_id: &str) -> SmolStr {
    SmolStr::new(format!("{attempt_id}-crossed"))
}

/// Returns the settings of the worker that `row` lists.
pub fn worker_settings(row: &InstanceRow) -> WorkerSettings {
    WorkerSettings {
        name: row.name.clone(),
        incarnation: row.incarnation.clone(),
        capacity: row.capacity,
        slots_count: row.slots_count,
        journal_max_count: JOURNAL_MAX_COUNT,
    }
}

/// The complete platform in memory.
#[derive(Clone, Debug)]
pub struct MemoryPlatform {
    /// The log service.
    pub log: MemoryLog,
    /// The instance list.
    pub instances: MemoryInstances,
    /// The workers of the listed instances.
    pub workers: MemoryWorkers,
}

impl MemoryPlatform {
    /// Creates an empty log, an instance list of `rows` and a worker for each row.
    pub fn open(rows: Vec<InstanceRow>, limits: LogLimits) -> Self {
        let workers = MemoryWorkers::open(&rows);
        let event_workers = workers.clone();
        let on_event = Arc::new(move |event: &InstanceEvent| event_workers.apply_event(event));
        Self {
            log: MemoryLog::open(limits),
            instances: MemoryInstances::open(rows, on_event),
            workers,
        }
    }
}
