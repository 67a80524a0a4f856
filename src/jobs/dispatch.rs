//! Starts tasks: jobs in the order of [`ranking`](crate::jobs::ranking), each task on the worker
//! that [`placement`](crate::jobs::placement) chooses.

use std::collections::HashMap;

use smol_str::SmolStr;

use crate::jobs::copies::{copy_after_ms, copy_recheck_ms, is_copy_faster};
use crate::jobs::engine::{index, Engine};
use crate::jobs::job::Job;
use crate::jobs::keys::{JobKey, RunKey, TaskKey, WorkerKey};
use crate::jobs::leases::LEASE_EXPIRY_RESERVE_MS;
use crate::jobs::place_pass::PlacePass;
use crate::jobs::place_waits::WaitOutcome;
use crate::jobs::placement::{choose, PlacementRequest};
use crate::jobs::quarantine::OtherTasks;
use crate::jobs::spec::{Size, StepSpec};
use crate::logging::Event;

/// Distance between the run numbers of two leaders. One leader starts a task fewer times than this.
pub(crate) const RUNS_PER_FENCE: u64 = 10_000;
/// Pause before a copy that found no capacity is tried again, in milliseconds.
const COPY_RETRY_MS: u64 = 20;

/// What became of a task that could be started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StartOutcome {
    Started,
    /// It waits for a slot near its data.
    Waits,
    /// No worker may or can run it now.
    NoWorker,
}

/// State of one pass over the waiting jobs.
#[derive(Default)]
struct Pass {
    refused: Refused,
    places: PlacePass,
}

/// Reservations that did not fit in a pool in this pass; none of them is as large as another.
#[derive(Default)]
struct Refused {
    by_pool: HashMap<SmolStr, Vec<Size>>,
}

impl Refused {
    /// Returns whether a reservation that is no larger has already failed to fit.
    fn covers(&self, pool: &SmolStr, reservation: &Size) -> bool {
        let refused = self.by_pool.get(pool);
        refused.is_some_and(|refused| refused.iter().any(|size| is_within(size, reservation)))
    }

    fn add(&mut self, pool: &SmolStr, reservation: Size) {
        let refused = self.by_pool.entry(pool.clone()).or_default();
        refused.retain(|size| !is_within(&reservation, size));
        refused.push(reservation);
    }
}

fn is_within(size: &Size, limit: &Size) -> bool {
    size.fits_with(&Size::default(), limit)
}

/// Returns whether only the size of a step decides on which workers of its pool it may run.
pub(crate) fn is_plain(step: &StepSpec) -> bool {
    step.label.is_none() && step.per_worker_max == 0
}

fn wait_outcome(is_remote: bool) -> WaitOutcome {
    match is_remote {
        true => WaitOutcome::Lost,
        false => WaitOutcome::Won,
    }
}

impl Engine {
    /// Starts all tasks that can be started now. A pass visits the waiting jobs of pools with free
    /// capacity; a job with nothing that fits costs O(log n) for n workers.
    pub(crate) fn dispatch(&mut self) {
        let is_copy_due = self
            .copies_due
            .first()
            .is_some_and(|(due_ms, _)| *due_ms <= self.now_ms);
        let is_wait_due = self.place_waits.is_check_due(self.now_ms);
        if !self.needs_dispatch && !is_copy_due && !is_wait_due {
            return;
        }
        self.needs_dispatch = false;
        self.refresh_workers();
        self.start_suspects(OtherTasks::MayStart);
        self.refresh_waiting_jobs();
        self.place_waits.begin_pass();
        let mut pass = Pass::default();
        for key in self.jobs_that_may_start() {
            if self.starts_left == 0 {
                break;
            }
            if !self.is_held_back(key) {
                self.start_tasks_of(key, &mut pass);
            }
        }
        self.start_suspects(OtherTasks::HaveStarted);
        if self.starts_left > 0 {
            self.start_copies(&mut pass);
        }
        let starts_count = self.settings.starts_per_step_max - self.starts_left;
        let starts_count = u64::try_from(starts_count).unwrap_or(u64::MAX);
        let is_full = self.starts_left == 0;
        // No event may come before the next step.
        self.needs_dispatch |= is_full;
        self.start_rate
            .observe_step(starts_count, is_full, self.now_ms);
    }

    /// Returns the workers of a pool that accept tasks.
    pub(crate) fn accepting_workers(&self, pool: &SmolStr) -> Vec<WorkerKey> {
        let pool = self.free_capacity.pool(pool);
        pool.map(|pool| pool.accepting()).unwrap_or_default()
    }

    /// Returns whether runs of an earlier leader may still be at workers that have not been polled, or
    /// may have ended at workers that have not listed all ends.
    pub(crate) fn is_held_back(&self, key: JobKey) -> bool {
        let job = self.job(key);
        if !job.is_persisted || !job.is_pool_persisted() {
            return true;
        }
        let is_lease_left = self.may_have_inherited_runs();
        let mut pools = job.pools.iter();
        job.is_inherited
            && pools.any(|pool| {
                let pool = self.free_capacity.pool(pool);
                pool.is_some_and(|pool| {
                    pool.has_more_ends() || (is_lease_left && pool.has_unseen_runs())
                })
            })
    }

    /// Returns whether it is still unknown which runs an earlier leader left at a worker, or how they
    /// ended.
    pub(crate) fn may_have_unknown_runs(&self, key: WorkerKey) -> bool {
        let worker = self.worker(key);
        worker.has_more_ends || (self.may_have_inherited_runs() && worker.may_have_unseen_runs())
    }

    /// Returns whether runs of an earlier leader can be left at an unreachable worker: their leases
    /// may last, or a later leader may have extended them.
    pub(crate) fn may_have_inherited_runs(&self) -> bool {
        let max_ms = self.settings.inherited_runs_max_ms;
        let end_ms = self.opened_ms + max_ms + LEASE_EXPIRY_RESERVE_MS;
        max_ms > 0 && !self.has_passed_exclusively(end_ms)
    }

    fn start_tasks_of(&mut self, key: JobKey, pass: &mut Pass) {
        let spec = self.job(key).spec.clone();
        for round in (0u32..).take(self.job(key).rounds.len()) {
            for (step, number) in spec.steps.iter().zip(0u16..) {
                let job = self.job(key);
                let progress = &job.rounds[index(round)];
                let is_due = progress.steps[usize::from(number)].waiting_count > 0
                    && progress.is_ready(step)
                    && !(is_plain(step) && pass.refused.covers(&job.pool, &step.reservation()));
                if !is_due {
                    continue;
                }
                let at = TaskKey {
                    job: key,
                    round,
                    step: number,
                    index: 0,
                };
                match step.is_gang {
                    true => self.start_gang(at, step, &mut pass.places),
                    false => self.start_step(at, step, pass),
                }
            }
        }
    }

    fn start_step(&mut self, at: TaskKey, step: &StepSpec, pass: &mut Pass) {
        let needs_tickets = self.needs_tickets(at.job);
        for index in 0..step.tasks_count {
            let task = TaskKey { index, ..at };
            let is_waiting = self.task(task).is_some_and(|task| task.is_waiting());
            if !is_waiting || self.is_isolated(task) {
                continue;
            }
            if self.starts_left == 0 {
                return;
            }
            match self.try_start(task, step, None, &mut pass.places) {
                StartOutcome::Started | StartOutcome::Waits => continue,
                StartOutcome::NoWorker => {}
            }
            // Another reason than the size says nothing about larger tasks of other steps.
            if is_plain(step) && !needs_tickets && self.team_has_capacity(at.job, &step.size) {
                let pool = self.job(at.job).pool.clone();
                pass.refused.add(&pool, step.reservation());
                self.queue_near(at, step, &mut pass.places);
            }
            return;
        }
    }

    /// Starts a task if a worker other than `except` has free capacity, the team's limit allows it
    /// and the task does not wait for its rack. A copy, which has such a worker, waits for none.
    fn try_start(
        &mut self,
        task: TaskKey,
        step: &StepSpec,
        except: Option<WorkerKey>,
        places: &mut PlacePass,
    ) -> StartOutcome {
        if !self.team_has_capacity(task.job, &step.size) {
            return StartOutcome::NoWorker;
        }
        let eligible = match self.needs_tickets(task.job) {
            false => None,
            true => {
                let has_place = |engine: &Self, key| u32::from(engine.has_place(key, task, step));
                match self.with_tickets(task, 1, has_place) {
                    None => return StartOutcome::NoWorker,
                    with_tickets => with_tickets,
                }
            }
        };
        let pool = self.job(task.job).pool.clone();
        let request = PlacementRequest {
            task,
            pool: &pool,
            step,
            rack: step.near_rack.as_ref(),
            eligible: eligible.as_deref(),
            except,
        };
        let Some(worker) = choose(self, &request) else {
            return StartOutcome::NoWorker;
        };
        let is_copy = except.is_some();
        if !is_copy && self.waits_near(task, step, worker, eligible.as_deref(), places) {
            return StartOutcome::Waits;
        }
        let is_remote = self.is_outside_rack(worker, step);
        self.end_place_wait(task, wait_outcome(is_remote));
        let number = self.next_run_number(task);
        let run = self.order_start(worker, task, number, step, is_remote);
        self.note_start(worker, &run, places);
        StartOutcome::Started
    }

    /// Returns whether a worker is outside the rack in which a task of `step` runs fastest.
    pub(crate) fn is_outside_rack(&self, key: WorkerKey, step: &StepSpec) -> bool {
        let rack = &self.worker(key).rack;
        step.near_rack.as_ref().is_some_and(|near| near != rack)
    }

    /// Starts all members of a gang together, in one rack where the step asks for it and a rack has
    /// the capacity, or is expected to have it soon enough.
    fn start_gang(&mut self, at: TaskKey, step: &StepSpec, places: &mut PlacePass) {
        let members: Vec<TaskKey> = at.siblings(step.tasks_count).collect();
        let are_all_waiting = members
            .iter()
            .all(|task| self.task(*task).is_some_and(|task| task.is_waiting()));
        if !are_all_waiting {
            self.end_place_wait(at, WaitOutcome::Dropped);
            return;
        }
        if self.is_gang_isolated(&members) || !self.team_has_capacity(at.job, &step.size_of_all()) {
            return;
        }
        let eligible = match self.needs_tickets(at.job) {
            false => self.accepting_workers(&self.job(at.job).pool),
            true => {
                let places_count = |engine: &Self, key| engine.gang_places_count(key, step);
                match self.with_tickets(at, step.tasks_count, places_count) {
                    None => return,
                    Some(with_tickets) => with_tickets,
                }
            }
        };
        let mut groups: Vec<Vec<WorkerKey>> = Vec::new();
        if step.in_one_rack {
            for worker in eligible.iter() {
                let rack = &self.worker(*worker).rack;
                let same = |group: &&mut Vec<WorkerKey>| self.worker(group[0]).rack == *rack;
                match groups.iter_mut().find(same) {
                    Some(group) => group.push(*worker),
                    None => groups.push(vec![*worker]),
                }
            }
        }
        let in_rack = groups.iter().find_map(|group| self.place_gang(group, step));
        let Some(workers) = in_rack.or_else(|| self.place_gang(&eligible, step)) else {
            return;
        };
        let spans_racks = step.in_one_rack && self.has_remote_factor() && self.span_racks(&workers);
        if spans_racks && self.gang_waits(at, step, &groups, places) {
            return;
        }
        self.end_place_wait(at, wait_outcome(spans_racks));
        let runs = self.order_gang(&members, &workers, step, spans_racks);
        for (run, worker) in runs.iter().zip(workers) {
            self.note_start(worker, run, places);
        }
    }

    /// Orders the members of a gang to start, each on its worker; returns their runs.
    pub(crate) fn order_gang(
        &mut self,
        members: &[TaskKey],
        workers: &[WorkerKey],
        step: &StepSpec,
        spans_racks: bool,
    ) -> Vec<RunKey> {
        let numbers = members.iter().map(|task| self.next_run_number(*task));
        let number = numbers.max().unwrap_or(0);
        let checkpoints = members
            .iter()
            .filter_map(|task| self.task(*task).map(|task| task.checkpoint.clone()));
        let checkpoint = checkpoints.max().unwrap_or_default();
        let mut runs = Vec::new();
        for (task, worker) in members.iter().zip(workers) {
            self.change_task(*task, |task| {
                task.checkpoint = checkpoint.clone();
                task.numbered_count = task.numbered_count.max(number % RUNS_PER_FENCE);
            });
            let is_remote = spans_racks || self.is_outside_rack(*worker, step);
            runs.push(self.order_start(*worker, *task, number, step, is_remote));
        }
        runs
    }

    /// Returns whether workers are in more than one rack.
    pub(crate) fn span_racks(&self, workers: &[WorkerKey]) -> bool {
        let racks = workers.iter().map(|key| &self.worker(*key).rack);
        let first = racks.clone().next();
        racks.into_iter().any(|rack| Some(rack) != first)
    }

    /// Finds a worker for each member of a gang among `group`.
    pub(crate) fn place_gang(
        &self,
        group: &[WorkerKey],
        step: &StepSpec,
    ) -> Option<Vec<WorkerKey>> {
        let mut places = Vec::new();
        for worker in group {
            let free_count = index(self.gang_places_count(*worker, step));
            let missing_count = index(step.tasks_count) - places.len();
            places.extend(std::iter::repeat_n(*worker, free_count.min(missing_count)));
        }
        (places.len() == index(step.tasks_count)).then_some(places)
    }

    /// Returns how many members of a gang a worker can run beside its present runs.
    fn gang_places_count(&self, key: WorkerKey, step: &StepSpec) -> u32 {
        let worker = self.worker(key);
        if !self.has_label(key, step) {
            return 0;
        }
        let most_count = match step.per_worker_max {
            0 => step.tasks_count,
            per_worker_max => step.tasks_count.min(per_worker_max),
        };
        let reservation = step.reservation();
        let mut used = worker.used;
        let mut count = 0;
        while count < most_count && used.fits_with(&reservation, &worker.info.capacity) {
            used.add(&reservation);
            count += 1;
        }
        count
    }

    pub(crate) fn needs_tickets(&self, key: JobKey) -> bool {
        self.job_needs_tickets(self.job(key))
    }

    /// Returns whether the newest lists ask for tickets for the steps of a job, or the terms of the job
    /// if the lists do not have its queue.
    pub(crate) fn job_needs_tickets(&self, job: &Job) -> bool {
        match (self.catalog.queues.get(&job.queue), job.terms) {
            (Some(queue), _) => queue.needs_tickets,
            (None, Some(terms)) => terms.needs_tickets,
            (None, None) => false,
        }
    }

    pub(crate) fn team_has_capacity(&self, key: JobKey, more: &Size) -> bool {
        self.team_has_room(&self.job(key).team, more)
    }

    /// Returns whether a team may have `more` running within its upper limit.
    pub(crate) fn team_has_room(&self, team: &SmolStr, more: &Size) -> bool {
        let Some(limit) = self.catalog.teams.get(team).map(|team| team.limit) else {
            return true;
        };
        let mut used = self.team_used.get(team).copied().unwrap_or_default();
        if self.may_have_inherited_runs() {
            // Runs of an earlier leader on an unreachable worker may belong to this team.
            used.add(self.free_capacity.unseen());
        }
        let unlimited = Size {
            cpu_millis: u64::MAX,
            memory_mb: u64::MAX,
            gpu_count: u64::MAX,
        };
        let or_unlimited = |value: u64, unlimited: u64| if value == 0 { unlimited } else { value };
        let limit = Size {
            cpu_millis: or_unlimited(limit.cpu_millis, unlimited.cpu_millis),
            memory_mb: or_unlimited(limit.memory_mb, unlimited.memory_mb),
            gpu_count: or_unlimited(limit.gpu_count, unlimited.gpu_count),
        };
        used.fits_with(more, &limit)
    }

    /// Starts a second run of each task that takes too long, where its step allows copies.
    fn start_copies(&mut self, pass: &mut Pass) {
        let now_ms = self.now_ms;
        while let Some((due_ms, task)) = self.copies_due.first().copied() {
            if due_ms > now_ms {
                return;
            }
            self.copies_due.pop_first();
            let Some(state) = self.task(task) else {
                continue;
            };
            // A copy of a task that crashes its workers would crash another one.
            if state.is_done || state.runs.len() != 1 || !state.crashes.is_empty() {
                continue;
            }
            let (started_ms, current) = (state.started_ms, state.runs[0].0);
            if self.may_have_crashed(task, current) {
                self.copies_due.insert((now_ms + COPY_RETRY_MS, task));
                continue;
            }
            let spec = self.job(task.job).spec.clone();
            let step = &spec.steps[usize::from(task.step)];
            if !step.may_have_copies() {
                // The key of an ended job was reused.
                continue;
            }
            let queue = &self.job(task.job).queue;
            let slow_ms = started_ms + copy_after_ms(&self.run_times, queue, step);
            if slow_ms >= now_ms {
                self.copies_due.insert((slow_ms + 1, task));
                continue;
            }
            let is_on_slow_worker = self.worker(current).is_slow();
            let ran_ms = now_ms.saturating_sub(started_ms);
            if !is_copy_faster(&self.run_times, queue, step, ran_ms, is_on_slow_worker) {
                let recheck_ms = copy_recheck_ms(&self.run_times, queue, step);
                self.copies_due.insert((now_ms + recheck_ms, task));
                continue;
            }
            let is_started = !self.is_held_back(task.job)
                && self.try_start(task, step, Some(current), &mut pass.places)
                    == StartOutcome::Started;
            if is_started {
                Event::new("copy_started")
                    .with("task", self.task_name(task))
                    .info();
            } else {
                self.copies_due.insert((now_ms + COPY_RETRY_MS, task));
            }
        }
    }
}
