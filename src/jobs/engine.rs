//! The job engine of the leader: a deterministic state machine. Its inputs are events and the
//! current time; its outputs are orders to workers, records to persist and replies to callers. It
//! reads no clock and does no I/O.
//!
//! Only what a later leader cannot learn from the workers is persisted: accepted jobs, acknowledged
//! ends of runs, cancels, and the workers on which tasks may run. Starts are not persisted: a new
//! leader raises its fence at each worker and reads there which runs exist.

use std::collections::{BTreeSet, VecDeque};

use smol_str::SmolStr;

use crate::collections::{HashMap, IndexSet};
use crate::jobs::acknowledgements::AcknowledgementCounts;
use crate::jobs::admission::Admission;
use crate::jobs::batches::Batch;
use crate::jobs::capacity::CapacityPolicy;
use crate::jobs::catalog::Catalog;
use crate::jobs::crash_history::CrashHistory;
use crate::jobs::demand::DemandCycle;
use crate::jobs::evacuation::EvacuatedZones;
use crate::jobs::free_capacity::FreeCapacity;
use crate::jobs::instances::Instances;
use crate::jobs::job::{Job, Round, Task};
use crate::jobs::keys::{JobId, JobKey, TaskKey, TaskName, WorkerKey};
use crate::jobs::known_capacity::WorkersList;
use crate::jobs::lost_runs::LossCounts;
use crate::jobs::order_numbers::OrderNumbers;
use crate::jobs::orders::{Action, Target};
use crate::jobs::place_waits::{PlaceWaits, WaitOutcome};
use crate::jobs::poll_pace::PollPace;
use crate::jobs::quarantine::Quarantine;
use crate::jobs::record::Record;
use crate::jobs::run_times::RunTimes;
use crate::jobs::settings::EngineSettings;
use crate::jobs::spec::Size;
use crate::jobs::start_orders::HeldStart;
use crate::jobs::start_rate::StartRate;
use crate::jobs::team_rates::TeamRates;
use crate::jobs::terms::JobTerms;
use crate::jobs::tickets::Tickets;
use crate::jobs::waiting::WaitingJobs;
use crate::jobs::watched_runs::InheritedRuns;
use crate::jobs::worker::Worker;
use crate::logging::Event;

/// Interval between checks for expired leases and for stops without effect, in milliseconds.
const SWEEP_MS: u64 = 20;

/// Result that a caller gets once the batch with its record is persisted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Settled {
    /// The job is accepted.
    Accepted(JobId),
    /// The end of the job is persisted, such as that it was cancelled.
    Ended(JobId),
}

/// The state machine of the leader.
pub struct Engine {
    pub(crate) settings: EngineSettings,
    pub(crate) now_ms: u64,
    pub(crate) unix_ms: u64,
    pub(crate) opened_ms: u64,
    /// Time until which no other leader can have acted, in milliseconds.
    exclusive_until_ms: u64,
    pub(crate) catalog: Catalog,
    pub(crate) jobs: Vec<Job>,
    /// Keys of dropped jobs, to be reused.
    pub(crate) free_jobs: Vec<JobKey>,
    pub(crate) job_keys: HashMap<JobId, JobKey>,
    pub(crate) live: IndexSet<JobKey>,
    /// Live jobs with occurrences at set times.
    pub(crate) recurring: IndexSet<JobKey>,
    pub(crate) waiting_jobs: WaitingJobs,
    /// Jobs that have changed since their places among the waiting jobs were brought up to date.
    pub(crate) touched_jobs: Vec<JobKey>,
    /// Tasks that get a copy unless they are done by the time.
    pub(crate) copies_due: BTreeSet<(u64, TaskKey)>,
    pub(crate) ended: VecDeque<JobKey>,
    pub(crate) workers: Vec<Worker>,
    pub(crate) free_capacity: FreeCapacity,
    /// Workers that have changed since `free_capacity` was brought up to date.
    pub(crate) touched_workers: Vec<WorkerKey>,
    /// Workers that have changed since it was last checked whether they have to be polled.
    pub(crate) poll_checks: Vec<WorkerKey>,
    /// Times at which something about a worker becomes due without any event.
    pub(crate) worker_timers: BTreeSet<(u64, WorkerKey)>,
    /// Workers whose ends are acknowledged once a batch of records is persisted.
    pub(crate) awaiting_workers: IndexSet<WorkerKey>,
    pub(crate) worker_keys: HashMap<SmolStr, WorkerKey>,
    /// Workers by the instance that their entries name.
    pub(crate) instance_workers: HashMap<SmolStr, Vec<WorkerKey>>,
    /// Workers that are listed, persisted or have runs; all others are ignored.
    pub(crate) present: IndexSet<WorkerKey>,
    /// Pools in which jobs of earlier leaders wait for workers that have not answered this leader.
    pub(crate) recovering_pools: IndexSet<SmolStr>,
    pub(crate) team_used: HashMap<SmolStr, Size>,
    pub(crate) team_rates: TeamRates,
    pub(crate) admission: Admission,
    pub(crate) run_times: RunTimes,
    pub(crate) tickets: Tickets,
    pub(crate) place_waits: PlaceWaits,
    pub(crate) loss_counts: LossCounts,
    pub(crate) acknowledgement_counts: AcknowledgementCounts,
    pub(crate) crash_history: CrashHistory,
    pub(crate) quarantine: Quarantine,
    pub(crate) held_starts: Vec<HeldStart>,
    pub(crate) inherited_runs: InheritedRuns,
    pub(crate) workers_list: WorkersList,
    pub(crate) instances: Instances,
    pub(crate) evacuated_zones: EvacuatedZones,
    pub(crate) order_numbers: OrderNumbers,
    pub(crate) capacity: CapacityPolicy,
    pub(crate) demand_cycle: DemandCycle,
    pub(crate) actions: Vec<Action>,
    pub(crate) needs_dispatch: bool,
    /// Starts that the present step may still order.
    pub(crate) starts_left: usize,
    pub(crate) start_rate: StartRate,
    pub(crate) poll_pace: PollPace,
    /// Delay of the event loop of this process, in milliseconds.
    loop_delay_ms: u64,
    pub(crate) next_review_ms: u64,
    pub(crate) next_plan_ms: u64,
    next_sweep_ms: u64,
    /// Set once a worker, the instance service or the store has reported a higher fence.
    pub(crate) has_lost_leadership: bool,
    has_stopped_instance_orders: bool,
    pub(crate) new_jobs: Vec<JobKey>,
    pub(crate) dirty_jobs: IndexSet<JobKey>,
    pub(crate) new_workers: Vec<WorkerKey>,
    pub(crate) other_records: Vec<Record>,
    pub(crate) next_batch: u64,
    pub(crate) in_flight: Option<Batch>,
}

impl Engine {
    /// Creates an engine without jobs, workers or instances.
    pub fn open(settings: EngineSettings, catalog: Catalog, now_ms: u64, unix_ms: u64) -> Self {
        Self {
            starts_left: settings.starts_per_step_max,
            start_rate: StartRate::default(),
            poll_pace: PollPace::default(),
            loop_delay_ms: 0,
            settings,
            now_ms,
            unix_ms,
            opened_ms: now_ms,
            exclusive_until_ms: u64::MAX,
            catalog,
            jobs: Vec::new(),
            free_jobs: Vec::new(),
            job_keys: HashMap::default(),
            live: IndexSet::default(),
            recurring: IndexSet::default(),
            waiting_jobs: WaitingJobs::default(),
            touched_jobs: Vec::new(),
            copies_due: BTreeSet::new(),
            ended: VecDeque::new(),
            workers: Vec::new(),
            free_capacity: FreeCapacity::default(),
            touched_workers: Vec::new(),
            poll_checks: Vec::new(),
            worker_timers: BTreeSet::new(),
            awaiting_workers: IndexSet::default(),
            worker_keys: HashMap::default(),
            instance_workers: HashMap::default(),
            present: IndexSet::default(),
            recovering_pools: IndexSet::default(),
            team_used: HashMap::default(),
            team_rates: TeamRates::default(),
            admission: Admission::default(),
            run_times: RunTimes::default(),
            tickets: Tickets::default(),
            place_waits: PlaceWaits::default(),
            loss_counts: LossCounts::default(),
            acknowledgement_counts: AcknowledgementCounts::default(),
            crash_history: CrashHistory::default(),
            quarantine: Quarantine::default(),
            held_starts: Vec::new(),
            inherited_runs: InheritedRuns::default(),
            workers_list: WorkersList::default(),
            instances: Instances::default(),
            evacuated_zones: EvacuatedZones::default(),
            order_numbers: OrderNumbers::default(),
            capacity: CapacityPolicy::default(),
            demand_cycle: DemandCycle::default(),
            actions: Vec::new(),
            needs_dispatch: true,
            next_review_ms: now_ms,
            next_plan_ms: now_ms,
            next_sweep_ms: now_ms,
            has_lost_leadership: false,
            has_stopped_instance_orders: false,
            new_jobs: Vec::new(),
            dirty_jobs: IndexSet::default(),
            new_workers: Vec::new(),
            other_records: Vec::new(),
            next_batch: 1,
            in_flight: None,
        }
    }

    /// Returns whether another leader has taken over.
    pub fn has_lost_leadership(&self) -> bool {
        self.has_lost_leadership
    }

    /// Returns the fencing token of this leader.
    pub fn fence(&self) -> u64 {
        self.settings.fence
    }

    /// Returns the version of the lists in force.
    pub fn catalog_version(&self) -> u64 {
        self.catalog.version
    }

    /// Puts the lists of `catalog` in force if they are newer than the present ones.
    pub fn set_catalog(&mut self, catalog: Catalog) {
        if catalog.version <= self.catalog.version {
            return;
        }
        for key in self.live.clone() {
            let job = self.job_mut(key);
            let Some(queue) = catalog.queues.get(&job.queue) else {
                continue;
            };
            job.terms.get_or_insert(JobTerms::of(queue));
            if job.move_to(&queue.pool) {
                self.mark_dirty(key);
            }
        }
        self.team_rates.retain_teams(&catalog.teams);
        self.catalog = catalog;
        for key in self.present.clone() {
            self.update_known_capacity(key);
        }
        self.needs_dispatch = true;
    }

    /// Sets the time and does all work that is due.
    pub fn advance(&mut self, now_ms: u64, unix_ms: u64) {
        self.now_ms = now_ms.max(self.now_ms);
        self.unix_ms = unix_ms;
        if self.has_lost_leadership {
            return;
        }
        self.starts_left = self.settings.starts_per_step_max;
        self.open_due_rounds();
        self.drop_ended_jobs();
        if self.now_ms >= self.next_sweep_ms {
            self.next_sweep_ms = self.now_ms + SWEEP_MS;
            self.apply_late_answers();
            self.expire_leases();
            self.resend_stops();
            self.review_quarantine();
            self.review_workers_list();
        }
        self.plan_job_order();
        self.dispatch();
        let is_full = self.starts_left == 0;
        self.poll_pace.observe_step(is_full, self.loop_delay_ms);
        if !self.has_stopped_instance_orders {
            self.review();
        }
        self.send_due_polls();
    }

    /// Sets the time until which no other leader can act, in milliseconds; without a call there is
    /// none. It moves on with each renewal of this leader's lease.
    pub fn set_exclusive_until_ms(&mut self, exclusive_until_ms: u64) {
        self.exclusive_until_ms = exclusive_until_ms;
    }

    /// Returns whether no other leader can have acted before `at_ms`. A later leader may have extended
    /// the leases of runs that this one does not reach, or may know that they are done.
    pub fn was_exclusive_at(&self, at_ms: u64) -> bool {
        at_ms < self.exclusive_until_ms
    }

    /// Returns whether no other leader can have acted yet.
    pub(crate) fn is_exclusive(&self) -> bool {
        self.was_exclusive_at(self.now_ms)
    }

    /// Returns whether a time has passed, and no other leader can have acted before it.
    pub(crate) fn has_passed_exclusively(&self, at_ms: u64) -> bool {
        self.now_ms >= at_ms && self.was_exclusive_at(at_ms)
    }

    /// Adds to a log event for how long this leader has been without its lease, if it is.
    pub(crate) fn with_lease_state(&self, event: Event) -> Event {
        match self.now_ms.checked_sub(self.exclusive_until_ms) {
            Some(over_ms) => event.with("without_lease_ms", over_ms),
            None => event,
        }
    }

    /// Sets how much later than planned the tasks of this process run now, in milliseconds.
    pub fn set_loop_delay_ms(&mut self, delay_ms: u64) {
        self.loop_delay_ms = delay_ms;
    }

    /// Takes the pending orders.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Stops giving orders to instances, so that the next leader can give its own at once.
    pub fn stop_instance_orders(&mut self) {
        self.has_stopped_instance_orders = true;
    }

    /// Marks that the progress of a job has to be persisted.
    pub(crate) fn mark_dirty(&mut self, key: JobKey) {
        job_mut(&mut self.jobs, key).is_dirty = true;
        self.dirty_jobs.insert(key);
    }

    pub(crate) fn job(&self, key: JobKey) -> &Job {
        &self.jobs[index(key.0)]
    }

    pub(crate) fn job_mut(&mut self, key: JobKey) -> &mut Job {
        self.touch_job(key);
        job_mut(&mut self.jobs, key)
    }

    /// Marks that the place of a job among the waiting jobs may have changed.
    pub(crate) fn touch_job(&mut self, key: JobKey) {
        let job = job_mut(&mut self.jobs, key);
        if !std::mem::replace(&mut job.is_touched, true) {
            self.touched_jobs.push(key);
        }
    }

    pub(crate) fn worker(&self, key: WorkerKey) -> &Worker {
        &self.workers[index(key.0)]
    }

    pub(crate) fn worker_mut(&mut self, key: WorkerKey) -> &mut Worker {
        self.touch_worker(key);
        &mut self.workers[index(key.0)]
    }

    /// Returns the keys of the workers in [`present`](Self::present).
    pub(crate) fn present_keys(&self) -> impl Iterator<Item = WorkerKey> + '_ {
        self.present.iter().copied()
    }

    /// Returns the workers in [`present`](Self::present).
    pub(crate) fn present_workers(&self) -> impl Iterator<Item = &Worker> {
        self.present.iter().map(|key| self.worker(*key))
    }

    pub(crate) fn task(&self, key: TaskKey) -> Option<&Task> {
        let round = self.job(key.job).rounds.get(index(key.round))?;
        let step = round.steps.get(usize::from(key.step))?;
        step.tasks.get(index(key.index))
    }

    /// Changes a task and updates the counts of its step.
    pub(crate) fn change_task<T>(
        &mut self,
        key: TaskKey,
        change: impl FnOnce(&mut Task) -> T,
    ) -> Option<T> {
        let round = self
            .job_mut(key.job)
            .rounds
            .get_mut(usize::try_from(key.round).ok()?)?;
        let step = round.steps.get_mut(usize::from(key.step))?;
        let task = step.tasks.get_mut(index(key.index))?;
        let before = (task.is_done, task.is_waiting());
        let result = change(task);
        let after = (task.is_done, task.is_waiting());
        step.done_count += u32::from(after.0 && !before.0);
        step.waiting_count += u32::from(after.1 && !before.1);
        step.waiting_count -= u32::from(!after.1 && before.1);
        if before.1 && !after.1 && !self.place_waits.is_empty() {
            self.end_place_wait(key, WaitOutcome::Dropped);
        }
        Some(result)
    }

    pub(crate) fn task_name(&self, key: TaskKey) -> TaskName {
        TaskName {
            job: self.job(key.job).id,
            round: key.round,
            step: key.step,
            index: key.index,
        }
    }

    /// Finds the task with this name, if its job is known and has such a task.
    pub(crate) fn task_key(&self, name: &TaskName) -> Option<TaskKey> {
        let job = *self.job_keys.get(&name.job)?;
        let spec = &self.job(job).spec;
        let step = spec.steps.get(usize::from(name.step))?;
        let exists = name.index < step.tasks_count && name.round < spec.rounds_count();
        exists.then_some(TaskKey {
            job,
            round: name.round,
            step: name.step,
            index: name.index,
        })
    }

    pub(crate) fn target(&self, key: WorkerKey) -> Target {
        let info = &self.worker(key).info;
        Target {
            worker: key,
            address: info.address,
            id: info.id.clone(),
            started_unix_ms: info.started_unix_ms,
            fence: self.settings.fence,
        }
    }

    /// Opens the occurrences that are due.
    fn open_due_rounds(&mut self) {
        let unix_ms = self.unix_ms;
        for key in self.recurring.iter().copied().collect::<Vec<_>>() {
            let job = self.job(key);
            let Some(recurrence) = job.spec.recurrence else {
                continue;
            };
            let opened_count = u32::try_from(job.rounds.len()).unwrap_or(u32::MAX);
            let is_due = opened_count < recurrence.times.max(1)
                && unix_ms >= recurrence.due_unix_ms(opened_count);
            if is_due {
                let job = self.job_mut(key);
                job.rounds.push(Round::open(&job.spec));
                self.needs_dispatch = true;
            }
        }
    }
}

/// Converts a key to an index. Keys have 32 bits, and `usize` is at least as wide on all supported
/// machines.
pub(crate) fn index(key: u32) -> usize {
    usize::try_from(key).unwrap_or(usize::MAX)
}

pub(crate) fn job_mut(jobs: &mut [Job], key: JobKey) -> &mut Job {
    &mut jobs[index(key.0)]
}
