//! The decisions of a stand-in worker as a state machine: which attempts start, and when and how
//! their tasks end. It does not wait and reads no clock; callers pass the time.

use std::mem;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::adapters::worker_answer::Loss;
use crate::fleet::{Resources, UnixMs};
use crate::ports::{NotStarted, WorkerRequest, WorkerStatus};
use crate::stand_in::journal::{Ending, Journal, Run, UnixUs};
use crate::stand_in::task::TaskSpec;

/// Microseconds in a millisecond.
pub(crate) const US_PER_MS: u64 = 1_000;
/// Maximum number of attempt ids that a worker retains; at this number it starts nothing new.
const KNOWN_ATTEMPTS_MAX_COUNT: usize = 65_536;
/// How long an attempt id is retained after its latest permitted start, to recognise copies of the
/// attempt that the network delayed.
const KNOWN_ATTEMPT_RETENTION_MS: u64 = 60_000;
/// Number of attempt ids at which the worker removes the expired ones.
const KNOWN_ATTEMPTS_SWEEP_COUNT: usize = 4_096;

/// Identity and capacity of a stand-in worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerSettings {
    /// Name of the instance.
    pub name: SmolStr,
    /// Incarnation of this boot.
    pub incarnation: SmolStr,
    /// Total capacity.
    pub capacity: Resources,
    /// Maximum number of requests that run at the same time.
    pub slots_count: u32,
    /// Maximum number of runs in the journal.
    pub journal_max_count: usize,
}

/// Fault that a worker applies to the answers of its tasks.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum AnswerFault {
    /// Sends the answer unchanged.
    #[default]
    None,
    /// Sends the answer under the id of another attempt.
    Crossed,
    /// Closes the connection in the middle of the answer.
    Truncated,
    /// Sends an endless body.
    Endless,
    /// Sends the answer twice in one body.
    Doubled,
    /// Sends nothing and keeps the connection open.
    Silent,
}

/// Faults of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFaults {
    /// Every task reports failure immediately.
    pub is_failing_all: bool,
    /// Tasks, answers and leases make no progress, as if the machine were paused.
    pub is_frozen: bool,
    /// Delay before the worker handles an attempt.
    pub start_delay_ms: u64,
    /// Delay between the end of a task and its answer.
    pub answer_delay_ms: u64,
    /// Fault of the affected answers.
    pub answer: AnswerFault,
    /// Fraction of the answers that are affected, in thousandths; a hash of the attempt id selects
    /// them.
    pub answer_permille: u32,
    /// Factor applied to the specified run times, in thousandths.
    pub run_time_permille: u64,
}

impl Default for WorkerFaults {
    fn default() -> Self {
        Self {
            is_failing_all: false,
            is_frozen: false,
            start_delay_ms: 0,
            answer_delay_ms: 0,
            answer: AnswerFault::None,
            answer_permille: 1_000,
            run_time_permille: 1_000,
        }
    }
}

impl WorkerFaults {
    /// Returns the fault that affects the answer to `attempt_id`.
    pub fn answer_fault(&self, attempt_id: &str) -> AnswerFault {
        let hash = blake3::hash(attempt_id.as_bytes());
        let draw = u32::from(u16::from_le_bytes([hash.as_bytes()[0], hash.as_bytes()[1]]));
        match draw % 1_000 < self.answer_permille {
            true => self.answer,
            false => AnswerFault::None,
        }
    }
}

/// Why an attempt did not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It provably never starts.
    NotStarted(NotStarted),
    /// The answer does not show whether the attempt ran.
    OutcomeUnknown(Loss),
}

/// A running task.
#[derive(Clone, Debug)]
struct Task {
    run_number: u64,
    size: Resources,
    ends_at_us: UnixUs,
    lease_ends_at_us: UnixUs,
    is_failing: bool,
}

/// The state of one worker.
#[derive(Debug)]
pub struct WorkerState {
    settings: WorkerSettings,
    faults: WorkerFaults,
    is_off: bool,
    is_draining: bool,
    tasks: IndexMap<SmolStr, Task>,
    known_attempts: IndexMap<SmolStr, UnixMs>,
    sweep_at_count: usize,
    journal: Journal,
}

impl WorkerState {
    /// Creates a worker without running tasks.
    pub fn new(settings: WorkerSettings) -> Self {
        Self {
            settings,
            faults: WorkerFaults::default(),
            is_off: false,
            is_draining: false,
            tasks: IndexMap::new(),
            known_attempts: IndexMap::new(),
            sweep_at_count: KNOWN_ATTEMPTS_SWEEP_COUNT,
            journal: Journal::default(),
        }
    }

    /// Returns the settings, with the incarnation of the current boot.
    pub fn settings(&self) -> &WorkerSettings {
        &self.settings
    }

    /// Returns the current faults.
    pub fn faults(&self) -> WorkerFaults {
        self.faults
    }

    /// Replaces the faults; tasks that were due to end while the worker was frozen end at `now_us`.
    pub fn set_faults(&mut self, faults: WorkerFaults, now_us: UnixUs) {
        let was_frozen = mem::replace(&mut self.faults, faults).is_frozen;
        if was_frozen && !faults.is_frozen {
            for task in self.tasks.values_mut() {
                task.ends_at_us = task.ends_at_us.max(now_us);
                // A lease that expired while the worker was frozen stops its task now.
                task.lease_ends_at_us = task.lease_ends_at_us.max(now_us);
            }
        }
        self.advance(now_us);
    }

    /// Sets whether the worker drains, that is, refuses new work.
    pub fn set_draining(&mut self, is_draining: bool) {
        self.is_draining = is_draining;
    }

    /// Starts the task of `request` and returns the number of its run, or why it did not start.
    ///
    /// An attempt id that was seen before never starts, whether it ran or was refused, so that a
    /// copy of an attempt on the network cannot run it again.
    pub fn start(&mut self, request: &WorkerRequest, now_us: UnixUs) -> Result<u64, Refusal> {
        self.advance(now_us);
        self.record_attempt(request, now_us)?;
        self.admit(request, now_us).map_err(Refusal::NotStarted)?;
        let spec = TaskSpec::from_body(&request.body);
        let run_number = self.journal.push(
            self.new_run(request, now_us),
            self.settings.journal_max_count,
        );
        let task = self.new_task(request, spec, run_number, now_us);
        self.tasks.insert(request.attempt_id.clone(), task);
        Ok(run_number)
    }

    /// Ends the tasks that are due.
    pub fn advance(&mut self, now_us: UnixUs) {
        if self.faults.is_frozen {
            return;
        }
        let journal = &mut self.journal;
        self.tasks.retain(|_, task| {
            let ending = task.due_ending(now_us);
            if let Some((ending, at_us)) = ending {
                journal.end(task.run_number, ending, at_us);
            }
            ending.is_none()
        });
    }

    /// Stops a running task; returns whether the worker ran it.
    pub fn cancel(&mut self, attempt_id: &str, now_us: UnixUs) -> bool {
        self.advance(now_us);
        let task = self.tasks.swap_remove(attempt_id);
        if let Some(task) = &task {
            self.journal.end(task.run_number, Ending::Cancelled, now_us);
        }
        task.is_some()
    }

    /// Ends this boot and kills its running tasks; returns how many there were.
    pub fn end_boot(&mut self, now_us: UnixUs) -> u32 {
        self.advance(now_us);
        let killed = mem::take(&mut self.tasks);
        for task in killed.values() {
            self.journal.end(task.run_number, Ending::Killed, now_us);
        }
        self.is_off = true;
        u32::try_from(killed.len()).unwrap_or(u32::MAX)
    }

    /// Begins a boot, which may be of another instance than the last one.
    pub fn begin_boot(&mut self, settings: WorkerSettings) {
        self.settings = settings;
        self.is_off = false;
        self.is_draining = false;
        self.known_attempts.clear();
    }

    /// Returns how a run ended, or else the time at which to check again.
    pub fn ending(&mut self, run_number: u64, now_us: UnixUs) -> Result<Ending, UnixUs> {
        self.advance(now_us);
        let run = self.journal.get(run_number);
        match run.map(|run| (run.ending, &run.attempt_id)) {
            Some((Some(ending), _)) => Ok(ending),
            Some((None, attempt_id)) => {
                Err(self.tasks.get(attempt_id).map_or(now_us, Task::due_us))
            }
            // The run was dropped from the journal, which happens only when the journal is full.
            None => Ok(Ending::Killed),
        }
    }

    /// Returns the worker's status.
    pub fn status(&mut self, now_us: UnixUs) -> WorkerStatus {
        self.advance(now_us);
        WorkerStatus {
            incarnation: self.settings.incarnation.clone(),
            running_count: u32::try_from(self.tasks.len()).unwrap_or(u32::MAX),
            slots_count: self.settings.slots_count,
            is_draining: self.is_draining || self.is_off,
        }
    }

    /// Ends the tasks that are due and returns the journal.
    pub fn journal(&mut self, now_us: UnixUs) -> &Journal {
        self.advance(now_us);
        &self.journal
    }

    fn record_attempt(&mut self, request: &WorkerRequest, now_us: UnixUs) -> Result<(), Refusal> {
        if self.known_attempts.len() >= self.sweep_at_count {
            // A copy that arrives after its id was removed is refused as late.
            self.known_attempts.retain(|_, start_before_unix_ms| {
                let expires_at_unix_ms =
                    start_before_unix_ms.saturating_add(KNOWN_ATTEMPT_RETENTION_MS);
                expires_at_unix_ms.saturating_mul(US_PER_MS) >= now_us
            });
            self.sweep_at_count = KNOWN_ATTEMPTS_SWEEP_COUNT.max(2 * self.known_attempts.len());
        }
        match () {
            () if self.known_attempts.contains_key(&request.attempt_id) => {
                Err(Refusal::OutcomeUnknown(Loss::DuplicateAttempt))
            }
            () if self.known_attempts.len() >= KNOWN_ATTEMPTS_MAX_COUNT => {
                Err(Refusal::OutcomeUnknown(Loss::WorkerFailed))
            }
            () => {
                self.known_attempts
                    .insert(request.attempt_id.clone(), request.start_before_unix_ms);
                Ok(())
            }
        }
    }

    fn admit(&self, request: &WorkerRequest, now_us: UnixUs) -> Result<(), NotStarted> {
        let is_other_boot = request.incarnation != self.settings.incarnation;
        let used = self
            .tasks
            .values()
            .fold(request.size, |sum, task| sum.plus(&task.size));
        let slots_count = usize::try_from(self.settings.slots_count).unwrap_or(usize::MAX);
        match () {
            () if now_us > request.start_before_unix_ms.saturating_mul(US_PER_MS) => {
                Err(NotStarted::Late)
            }
            () if is_other_boot => Err(NotStarted::WrongIncarnation),
            () if self.is_off || self.is_draining => Err(NotStarted::Draining),
            () if !request.size.fits_in(&self.settings.capacity) => Err(NotStarted::TooLarge),
            () if self.tasks.len() >= slots_count => Err(NotStarted::Busy),
            () if !used.fits_in(&self.settings.capacity) => Err(NotStarted::Busy),
            () => Ok(()),
        }
    }

    fn new_run(&self, request: &WorkerRequest, now_us: UnixUs) -> Run {
        Run {
            request_id: request.request_id.clone(),
            attempt_id: request.attempt_id.clone(),
            team: request.team.clone(),
            queue: request.queue.clone(),
            worker: self.settings.name.clone(),
            incarnation: self.settings.incarnation.clone(),
            size: request.size,
            started_unix_us: now_us,
            ended_unix_us: None,
            ending: None,
        }
    }

    fn new_task(
        &self,
        request: &WorkerRequest,
        spec: TaskSpec,
        run_number: u64,
        now_us: UnixUs,
    ) -> Task {
        // Milliseconds times thousandths give microseconds.
        let run_us = spec.run_ms.saturating_mul(self.faults.run_time_permille);
        let run_us = match self.faults.is_failing_all {
            true => 0,
            false => run_us,
        };
        Task {
            run_number,
            size: request.size,
            ends_at_us: now_us.saturating_add(run_us),
            lease_ends_at_us: now_us.saturating_add(request.lease_ms.saturating_mul(US_PER_MS)),
            is_failing: spec.is_failing || self.faults.is_failing_all,
        }
    }
}

impl Task {
    fn due_us(&self) -> UnixUs {
        self.ends_at_us.min(self.lease_ends_at_us)
    }

    fn due_ending(&self, now_us: UnixUs) -> Option<(Ending, UnixUs)> {
        match () {
            () if self.due_us() > now_us => None,
            () if self.lease_ends_at_us < self.ends_at_us => {
                Some((Ending::LeaseLapsed, self.lease_ends_at_us))
            }
            () if self.is_failing => Some((Ending::Failed, self.ends_at_us)),
            () => Some((Ending::Succeeded, self.ends_at_us)),
        }
    }
}
