//! A stand-in worker that runs attempts while their callers wait. It guards the worker's state with
//! a lock and applies the delays and faults of its answers.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::adapters::worker_answer::{digest, Loss, RawAnswer};
use crate::ports::{WorkerRequest, WorkerStatus};
use crate::stand_in::journal::{Ending, Journal, UnixUs};
use crate::stand_in::task::{TaskAnswer, TaskSpec};
use crate::stand_in::worker_state::{
    AnswerFault, Refusal, WorkerFaults, WorkerSettings, WorkerState,
};

/// Longest time that a wait continues without checking the state again.
const WAIT_STEP_MAX: Duration = Duration::from_millis(500);

/// Result of an attempt at the worker, before any response is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// The task did not start.
    Refused(Refusal),
    /// The task started and was stopped before it ended.
    Stopped(Loss),
    /// The task ran to its end; the fault is not yet applied to the answer.
    Answered(RawAnswer, AnswerFault),
    /// The caller's deadline passed first.
    StillRunning,
}

/// A stand-in worker.
#[derive(Debug)]
pub struct MemoryWorker {
    state: Mutex<WorkerState>,
    changed: Condvar,
}

impl MemoryWorker {
    /// Creates a worker without running tasks.
    pub fn open(settings: WorkerSettings) -> Self {
        Self {
            state: Mutex::new(WorkerState::new(settings)),
            changed: Condvar::new(),
        }
    }

    /// Runs one attempt and waits for its result until `deadline`.
    ///
    /// The attempt is refused if the request names another incarnation than the current one.
    pub fn run(&self, request: &WorkerRequest, deadline: Instant) -> Attempt {
        let start_delay = Duration::from_millis(self.faults().start_delay_ms);
        if !self.sleep(start_delay, deadline) || !self.wait_while_frozen(deadline) {
            return Attempt::StillRunning;
        }
        let started = self.lock().start(request, now_unix_us());
        let run_number = match started {
            Ok(run_number) => run_number,
            Err(refusal) => return Attempt::Refused(refusal),
        };
        match self.wait_for_end(run_number, deadline) {
            None => Attempt::StillRunning,
            Some(Ending::Cancelled) => Attempt::Stopped(Loss::Cancelled),
            Some(Ending::LeaseLapsed) => Attempt::Stopped(Loss::LeaseLapsed),
            Some(Ending::Killed) => Attempt::Stopped(Loss::Killed),
            Some(Ending::Failed) => self.answer(request, false, deadline),
            Some(Ending::Succeeded) => self.answer(request, true, deadline),
        }
    }

    /// Stops a running task; returns whether the worker ran it.
    pub fn cancel(&self, attempt_id: &str) -> bool {
        let was_running = self.lock().cancel(attempt_id, now_unix_us());
        self.changed.notify_all();
        was_running
    }

    /// Ends this boot and kills its running tasks; returns how many there were.
    pub fn end_boot(&self) -> u32 {
        let killed_count = self.lock().end_boot(now_unix_us());
        self.changed.notify_all();
        killed_count
    }

    /// Begins a boot, which may be of another instance than the last one.
    pub fn begin_boot(&self, settings: WorkerSettings) {
        self.lock().begin_boot(settings);
        self.changed.notify_all();
    }

    /// Sets whether the worker drains, that is, refuses new work.
    pub fn set_draining(&self, is_draining: bool) {
        self.lock().set_draining(is_draining);
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: WorkerFaults) {
        self.lock().set_faults(faults, now_unix_us());
        self.changed.notify_all();
    }

    /// Returns the current faults.
    pub fn faults(&self) -> WorkerFaults {
        self.lock().faults()
    }

    /// Returns the settings, with the incarnation of the current boot.
    pub fn settings(&self) -> WorkerSettings {
        self.lock().settings().clone()
    }

    /// Returns the worker's status.
    pub fn status(&self) -> WorkerStatus {
        self.lock().status(now_unix_us())
    }

    /// Returns a copy of the journal.
    pub fn journal(&self) -> Journal {
        self.lock().journal(now_unix_us()).clone()
    }

    /// Waits while the worker is frozen; returns whether that ended before `deadline`.
    pub fn wait_while_frozen(&self, deadline: Instant) -> bool {
        self.wait(deadline, |state| match state.faults().is_frozen {
            true => Err(None),
            false => Ok(()),
        })
        .is_some()
    }

    /// Waits while the fault [`AnswerFault::Silent`] holds back the answer to `attempt_id`; returns
    /// whether that ended before `deadline`.
    pub fn wait_while_silent(&self, attempt_id: &str, deadline: Instant) -> bool {
        self.wait(deadline, |state| {
            match state.faults().answer_fault(attempt_id) {
                AnswerFault::Silent => Err(None),
                _ => Ok(()),
            }
        })
        .is_some()
    }

    fn answer(&self, request: &WorkerRequest, is_success: bool, deadline: Instant) -> Attempt {
        let answer_delay = Duration::from_millis(self.faults().answer_delay_ms);
        if !self.sleep(answer_delay, deadline) || !self.wait_while_frozen(deadline) {
            return Attempt::StillRunning;
        }
        let settings = self.settings();
        let answer = TaskAnswer {
            request_id: request.request_id.clone(),
            attempt_id: request.attempt_id.clone(),
            worker: settings.name,
            incarnation: settings.incarnation,
            body_blake3: digest(&request.body),
            padding: String::new(),
        };
        let body = answer.encode(TaskSpec::from_body(&request.body).answer_bytes);
        Attempt::Answered(
            RawAnswer::of(request.attempt_id.clone(), is_success, body),
            self.faults().answer_fault(&request.attempt_id),
        )
    }

    fn wait_for_end(&self, run_number: u64, deadline: Instant) -> Option<Ending> {
        self.wait(deadline, |state| {
            // A frozen worker does not report how a task ended either.
            match state.faults().is_frozen {
                true => Err(None),
                false => state.ending(run_number, now_unix_us()).map_err(Some),
            }
        })
    }

    /// Waits until `check` succeeds. It is repeated at each change, and at the time that its error
    /// names, if any; returns `None` when `deadline` passes first.
    fn wait<T>(
        &self,
        deadline: Instant,
        mut check: impl FnMut(&mut WorkerState) -> Result<T, Option<UnixUs>>,
    ) -> Option<T> {
        let mut state = self.lock();
        loop {
            let check_again_at_us = match check(&mut state) {
                Ok(found) => return Some(found),
                Err(check_again_at_us) => check_again_at_us,
            };
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return None;
            }
            let until_check = check_again_at_us.map_or(WAIT_STEP_MAX, |at_us| {
                Duration::from_micros(at_us.saturating_sub(now_unix_us()).max(1))
            });
            state = self
                .changed
                .wait_timeout(state, remaining.min(until_check).min(WAIT_STEP_MAX))
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    /// Sleeps for `duration`, at most until `deadline`; returns whether all of it passed.
    fn sleep(&self, duration: Duration, deadline: Instant) -> bool {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if !duration.is_zero() {
            std::thread::sleep(duration.min(remaining));
        }
        duration <= remaining
    }

    fn lock(&self) -> MutexGuard<'_, WorkerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the wall clock in microseconds since the Unix epoch.
pub(crate) fn now_unix_us() -> UnixUs {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| {
            u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
        })
}
