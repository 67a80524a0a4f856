//! Runs of suspected tasks (see [`crashes`](crate::jobs::crashes)). Each gets a worker of its own, so
//! that a crash tells whether it is the cause and harms nobody else. A busy worker is reserved and
//! gets no other task until its runs have ended. A suspect that gets no worker in time starts beside
//! others.

use indexmap::{IndexMap, IndexSet};
use smol_str::SmolStr;

use crate::jobs::crashes::{is_suspect, SETTLED_LONG_RUN_MS};
use crate::jobs::dispatch::is_plain;
use crate::jobs::engine::{index, Engine};
use crate::jobs::keys::{JobKey, TaskKey, WorkerKey};
use crate::jobs::spec::{Size, StepSpec};
use crate::jobs::worker::SlotState;
use crate::logging::Event;

/// Longest wait of a suspect in a pool where no worker can be reserved, or of one without an end, in
/// milliseconds.
const RESERVATION_WAIT_MS: u64 = 5_000;
/// Longest time for which a worker is reserved before its suspect starts, in milliseconds.
const RESERVATION_MAX_MS: u64 = 4_000;
/// Number of workers of a pool of which one may be reserved while it is busy; each pool may have one.
const WORKERS_PER_BUSY_RESERVATION: usize = 4;
/// The same for idle workers while other tasks may need them.
const WORKERS_PER_IDLE_RESERVATION: usize = 2;
/// One of this many instances of the fleet may be for the suspects of a pool.
const INSTANCES_PER_SUSPECT_INSTANCE: usize = 8;
/// Bounds of the number of these instances.
const SUSPECT_INSTANCES_COUNTS: (usize, usize) = (4, 16);

/// Whether other waiting tasks may still need the workers of a pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OtherTasks {
    MayStart,
    HaveStarted,
}

/// What an attempt to reserve a worker shows about the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reserved {
    /// No worker of the pool can be reserved now, whatever the task.
    NoneOfPool,
    /// Nothing about other tasks.
    Other,
}

/// A worker that takes only one task, or members of its gang.
#[derive(Clone, Copy, Debug)]
struct Reservation {
    task: TaskKey,
    since_ms: u64,
}

/// Suspected tasks, and the workers that are reserved for them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Quarantine {
    /// Tasks against which a crash is held, and some that have ended since.
    tasks: IndexSet<TaskKey>,
    reservations: IndexMap<WorkerKey, Reservation>,
}

impl Quarantine {
    /// Adds a task against which a crash is held.
    pub(crate) fn add_task(&mut self, task: TaskKey) {
        self.tasks.insert(task);
    }

    /// Returns the tasks against which crashes are held.
    pub(crate) fn tasks(&self) -> Vec<TaskKey> {
        self.tasks.iter().copied().collect()
    }

    /// Forgets the tasks of a job that has ended.
    pub(crate) fn forget_job(&mut self, job: JobKey) {
        self.tasks.retain(|task| task.job != job);
    }

    /// Returns the task for which a worker is reserved.
    pub(crate) fn task_of(&self, worker: WorkerKey) -> Option<TaskKey> {
        let reservation = self.reservations.get(&worker);
        reservation.map(|reservation| reservation.task)
    }
}

impl Engine {
    /// Starts the suspects that may start and have a worker of their own, and gives up the jobs of
    /// those that have crashed too many workers. The most suspected go first.
    pub(crate) fn start_suspects(&mut self, others: OtherTasks) {
        self.drop_cleared_tasks();
        let mut suspects: Vec<TaskKey> = self.quarantine.tasks();
        suspects.retain(|task| self.is_waiting_suspect(*task));
        suspects.sort_by_cached_key(|task| {
            let crashes = self.task(*task).map_or(&[][..], |state| &state.crashes);
            let strong = crashes.iter().filter(|crash| crash.is_strong());
            std::cmp::Reverse((strong.count(), crashes.len()))
        });
        let mut full_pools = IndexSet::new();
        for task in suspects {
            // Another one may have ended their job, or started its gang.
            if !self.is_waiting_suspect(task)
                || !self.may_start(task)
                || self.give_up_if_spent(task)
            {
                continue;
            }
            let pool = self.job(task.job).pool.clone();
            if full_pools.contains(&pool) && self.reserved_for(task).is_empty() {
                let spec = self.job(task.job).spec.clone();
                let step = &spec.steps[usize::from(task.step)];
                self.limit_isolation(task, step, true);
                continue;
            }
            if self.start_alone(task, others) == Reserved::NoneOfPool {
                full_pools.insert(pool);
            }
        }
    }

    /// Sets until when a suspect starts only alone. Where a pool has workers that can be reserved, a task
    /// that ends waits for its turn. One without an end, and a gang, wait for a limited time.
    fn limit_isolation(&mut self, task: TaskKey, step: &StepSpec, has_workers: bool) {
        let until_ms = self.now_ms + RESERVATION_WAIT_MS;
        let has_turn = has_workers && !step.is_long_running && !step.is_gang;
        self.change_task(task, |state| {
            state.isolated_until_ms = match has_turn {
                true => Some(until_ms),
                false => state.isolated_until_ms.or(Some(until_ms)),
            };
        });
    }

    /// Returns how many instances each pool needs for its suspects: one for each that waits or runs
    /// alone, up to a part of the fleet.
    pub(crate) fn suspect_instances(&self) -> IndexMap<SmolStr, usize> {
        let mut counts = IndexMap::new();
        let part = self.instances.rows.len() / INSTANCES_PER_SUSPECT_INSTANCE;
        let (least_count, most_count) = SUSPECT_INSTANCES_COUNTS;
        let max_count = part.clamp(least_count, most_count);
        let tasks = self.quarantine.tasks.iter();
        let waiting =
            tasks.filter(|task| self.is_waiting_suspect(**task) && self.may_start(**task));
        let waiting = waiting.map(|task| &self.job(task.job).pool);
        let reserved = self.quarantine.reservations.keys();
        let reserved = reserved.map(|worker| &self.worker(*worker).info.pool);
        for pool in waiting.chain(reserved) {
            let count: &mut usize = counts.entry(pool.clone()).or_default();
            *count = (*count + 1).min(max_count);
        }
        counts
    }

    /// Forgets the tasks that are done, and those that have been cleared of all crashes.
    fn drop_cleared_tasks(&mut self) {
        let mut tasks = std::mem::take(&mut self.quarantine.tasks);
        tasks.retain(|task| {
            let state = self.task(*task);
            state.is_some_and(|state| !state.is_done && !state.crashes.is_empty())
        });
        self.quarantine.tasks = tasks;
    }

    fn is_waiting_suspect(&self, task: TaskKey) -> bool {
        let state = self.task(task);
        state.is_some_and(|state| state.is_waiting() && is_suspect(&state.crashes))
    }

    /// Returns whether the job of a waiting task is due and no other rule holds it back.
    fn may_start(&self, task: TaskKey) -> bool {
        let job = self.job(task.job);
        let step = &job.spec.steps[usize::from(task.step)];
        let is_ready = job
            .rounds
            .get(index(task.round))
            .is_some_and(|round| round.is_ready(step));
        is_ready && !job.state.is_final() && !self.is_held_back(task.job)
    }

    /// Returns whether a waiting task starts only alone, for now.
    pub(crate) fn is_isolated(&self, task: TaskKey) -> bool {
        let until_ms = self.task(task).and_then(|state| state.isolated_until_ms);
        self.is_waiting_suspect(task) && until_ms.is_none_or(|until_ms| self.now_ms < until_ms)
    }

    /// Returns whether some member of a gang starts only alone, for now.
    pub(crate) fn is_gang_isolated(&self, members: &[TaskKey]) -> bool {
        members.iter().any(|task| self.is_isolated(*task))
    }

    /// Starts a suspect on a worker of its own, or reserves one for it. As long as there are workers
    /// that can be reserved, a task that ends waits for its turn.
    fn start_alone(&mut self, task: TaskKey, others: OtherTasks) -> Reserved {
        let spec = self.job(task.job).spec.clone();
        let step = &spec.steps[usize::from(task.step)];
        let Some(eligible) = self.workers_for_suspect(task, step) else {
            return Reserved::Other;
        };
        self.limit_isolation(task, step, !eligible.is_empty());
        match step.is_gang {
            _ if !self.is_isolated(task) => Reserved::Other,
            true => {
                self.start_gang_alone(task, step, &eligible);
                Reserved::Other
            }
            false => self.start_task_alone(task, step, &eligible, others),
        }
    }

    /// Returns the workers on which a suspect may start alone: those that are reserved for it, and
    /// those without tasks that have no end. Returns `None` while tickets are awaited.
    fn workers_for_suspect(&mut self, task: TaskKey, step: &StepSpec) -> Option<Vec<WorkerKey>> {
        let mut workers = match self.needs_tickets(task.job) {
            false => {
                let mut workers = self.accepting_workers(&self.job(task.job).pool);
                workers.extend(self.reserved_for(task));
                workers
            }
            true => self.with_tickets(task, 1, |engine, key| {
                u32::from(engine.may_run_suspect(key, task, step))
            })?,
        };
        workers.retain(|key| self.may_run_suspect(*key, task, step));
        Some(workers)
    }

    /// Returns whether a suspect fits on a worker that has no other tasks.
    fn may_run_suspect(&self, key: WorkerKey, task: TaskKey, step: &StepSpec) -> bool {
        let worker = self.worker(key);
        let fits = Size::default().fits_with(&step.reservation(), &worker.info.capacity);
        worker.long_running_count == 0
            && fits
            && self.has_label(key, step)
            && self.is_below_worker_max(key, task, step)
    }

    /// Returns the workers that are reserved for a task or its gang and are otherwise usable.
    pub(crate) fn reserved_for(&self, task: TaskKey) -> Vec<WorkerKey> {
        let reservations = self.quarantine.reservations.iter();
        reservations
            .filter(|(key, reservation)| {
                self.belong_together(task, reservation.task)
                    && self.worker(**key).takes_reserved_tasks(self.now_ms)
            })
            .map(|(key, _)| *key)
            .collect()
    }

    fn start_task_alone(
        &mut self,
        task: TaskKey,
        step: &StepSpec,
        eligible: &[WorkerKey],
        others: OtherTasks,
    ) -> Reserved {
        if !self.team_has_capacity(task.job, &step.size) {
            return Reserved::Other;
        }
        let mut by_preference = eligible.to_vec();
        by_preference.sort_by_cached_key(|key| {
            let worker = self.worker(*key);
            (
                self.quarantine.task_of(*key).is_none(),
                self.has_crashed_instance(task, &worker.incarnation().instance)
                    || self.crash_history.is_unreliable(worker, self.now_ms),
                !worker.slots.is_empty(),
                worker.is_slow(),
                self.crash_history.last_crash_ms(worker),
                self.busy_for_ms(*key),
            )
        });
        let mut workers = by_preference.into_iter();
        let reserved = workers.find(|key| self.reserve(*key, task, others));
        if reserved.is_none() && !eligible.is_empty() && !self.has_own_conditions(task, step) {
            return Reserved::NoneOfPool;
        }
        let Some(worker) = reserved.filter(|key| self.worker(*key).slots.is_empty()) else {
            return Reserved::Other;
        };
        let number = self.next_run_number(task);
        let is_remote = self.is_outside_rack(worker, step);
        self.order_start(worker, task, number, step, is_remote);
        Reserved::Other
    }

    /// Returns whether more than the size of a task decides on which workers it may run.
    fn has_own_conditions(&self, task: TaskKey, step: &StepSpec) -> bool {
        !is_plain(step) || step.is_long_running || self.needs_tickets(task.job)
    }

    /// Returns whether a crash of the same instance is held against a task already.
    pub(crate) fn has_crashed_instance(&self, task: TaskKey, instance: &SmolStr) -> bool {
        let crashes = self.task(task).map_or(&[][..], |state| &state.crashes);
        let mut instances = crashes.iter().map(|crash| &crash.incarnation.instance);
        !instance.is_empty() && instances.any(|known| known == instance)
    }

    /// Starts a gang on workers that run nothing else, if there are enough of them.
    fn start_gang_alone(&mut self, task: TaskKey, step: &StepSpec, eligible: &[WorkerKey]) {
        let idle = eligible.iter().copied();
        let idle: Vec<WorkerKey> = idle
            .filter(|key| self.worker(*key).slots.is_empty())
            .collect();
        let members: Vec<TaskKey> = task.siblings(step.tasks_count).collect();
        let all = step.size_of_all();
        let are_waiting = |task: &TaskKey| self.task(*task).is_some_and(|state| state.is_waiting());
        if !members.iter().all(are_waiting) || !self.team_has_capacity(task.job, &all) {
            return;
        }
        let Some(workers) = self.place_gang(&idle, step) else {
            return;
        };
        for (worker, member) in workers.iter().zip(&members) {
            self.reserve_beyond_limit(*worker, *member);
        }
        let spans_racks = step.in_one_rack && self.span_racks(&workers);
        self.order_gang(&members, &workers, step, spans_racks);
    }

    /// Reserves a worker for a suspect, unless it is reserved already; returns whether it is.
    fn reserve(&mut self, worker: WorkerKey, task: TaskKey, others: OtherTasks) -> bool {
        if self.quarantine.reservations.contains_key(&worker) {
            return true;
        }
        let is_idle = self.worker(worker).slots.is_empty();
        let pool = self.worker(worker).info.pool.clone();
        let reserved = self.quarantine.reservations.keys();
        let reserved_count = reserved
            .filter(|key| self.worker(**key).info.pool == pool)
            .count();
        let accepting = self.free_capacity.pool(&pool);
        let accepting_count = accepting.map_or(0, |pool| pool.accepting_count());
        let workers_per_reservation = match (is_idle, others) {
            (true, OtherTasks::HaveStarted) => 1,
            (true, OtherTasks::MayStart) => WORKERS_PER_IDLE_RESERVATION,
            (false, _) => WORKERS_PER_BUSY_RESERVATION,
        };
        let max_count = (accepting_count + reserved_count) / workers_per_reservation;
        if reserved_count >= max_count.max(1) {
            return false;
        }
        self.reserve_beyond_limit(worker, task);
        true
    }

    /// Reserves a worker for a suspect, however many are reserved.
    pub(crate) fn reserve_beyond_limit(&mut self, worker: WorkerKey, task: TaskKey) {
        let since_ms = self.now_ms;
        let reservation = Reservation { task, since_ms };
        self.quarantine.reservations.insert(worker, reservation);
        let until_ms = since_ms + RESERVATION_MAX_MS;
        self.change_task(task, |state| state.isolated_until_ms = Some(until_ms));
        self.worker_mut(worker).is_reserved = true;
        self.refresh_worker(worker);
        Event::new("worker_reserved")
            .with("worker", &self.worker(worker).info.id)
            .with("task", self.task_name(task))
            .with("runs_count", self.worker(worker).slots.len())
            .info();
    }

    /// Ends the reservations that have served their purpose, and lets suspects try again.
    pub(crate) fn review_quarantine(&mut self) {
        let reservations = self.quarantine.reservations.clone();
        for (key, reservation) in reservations {
            if !self.is_reservation_needed(key, &reservation) {
                self.end_reservation(key);
            }
        }
        let mut tasks = self.quarantine.tasks.iter();
        self.needs_dispatch |= tasks.any(|task| self.is_waiting_suspect(*task));
    }

    fn is_reservation_needed(&self, key: WorkerKey, reservation: &Reservation) -> bool {
        let now_ms = self.now_ms;
        let task = reservation.task;
        let mut slots = self.worker(key).slots.iter();
        match slots.find(|(run, _)| self.belong_together(task, run.task)) {
            Some((_, slot)) => match slot.state {
                SlotState::Placed { since_ms } if slot.is_long_running => {
                    now_ms < since_ms + SETTLED_LONG_RUN_MS
                }
                _ => true,
            },
            None => {
                now_ms < reservation.since_ms + RESERVATION_MAX_MS
                    && !self.job(task.job).state.is_final()
                    && self.is_waiting_suspect(task)
                    && self.worker(key).takes_reserved_tasks(now_ms)
            }
        }
    }

    /// Lets other tasks start on a worker again.
    pub(crate) fn end_reservation(&mut self, key: WorkerKey) {
        if self.quarantine.reservations.swap_remove(&key).is_some() {
            self.worker_mut(key).is_reserved = false;
            self.needs_dispatch = true;
        }
    }
}
