//! Starts tasks: jobs in the order of [`ranking`](crate::jobs::ranking), each task on the worker
//! that [`placement`](crate::jobs::placement) chooses.

use std::borrow::Cow;

use smol_str::SmolStr;

use crate::jobs::engine::Engine;
use crate::jobs::keys::{JobKey, RunKey, TaskKey, WorkerKey};
use crate::jobs::orders::{Action, StartOrder};
use crate::jobs::placement::{choose, PlacementRequest};
use crate::jobs::polls::new_slot;
use crate::jobs::ranking::rank;
use crate::jobs::spec::{Size, StepSpec};
use crate::jobs::worker::SlotState;
use crate::logging::Event;

/// Distance between the run numbers of two leaders. One leader starts a task fewer times than this.
const RUNS_PER_FENCE: u64 = 10_000;
/// Run time from which a task gets a copy where its step allows copies, in thousandths of the
/// expected one.
const COPY_AFTER_PERMILLE: u64 = 1_500;
/// Shortest run time after which a task gets a copy, in milliseconds.
const COPY_AFTER_MIN_MS: u64 = 250;

/// Workers of one pool that accept tasks, and the reservations that did not fit in this pass.
struct Candidates {
    pool: SmolStr,
    workers: Vec<WorkerKey>,
    refused: Vec<Size>,
}

impl Candidates {
    /// Returns whether a reservation that is no larger has already failed to fit in this pass.
    fn cannot_fit(&self, step: &StepSpec) -> bool {
        let reservation = step.reservation();
        let is_plain = step.label.is_none() && step.per_worker_max == 0;
        is_plain
            && self
                .refused
                .iter()
                .any(|refused| refused.fits_with(&Size::default(), &reservation))
    }
}

impl Engine {
    /// Starts all tasks that can be started now.
    pub(crate) fn dispatch(&mut self) {
        if !self.needs_dispatch {
            return;
        }
        self.needs_dispatch = false;
        let mut waiting: Vec<_> = self
            .live
            .iter()
            .filter_map(|key| Some((rank(self.job(*key), self.now_ms)?, *key)))
            .collect();
        waiting.sort_unstable();
        let mut pools: Vec<Candidates> = Vec::new();
        for (_, key) in waiting {
            if self.is_held_back(key) {
                continue;
            }
            let at = self.candidates_at(&mut pools, key);
            self.start_tasks_of(key, &mut pools[at]);
        }
        self.start_copies(&mut pools);
    }

    fn candidates_at(&self, pools: &mut Vec<Candidates>, key: JobKey) -> usize {
        let pool = &self.job(key).pool;
        if let Some(at) = pools.iter().position(|known| known.pool == *pool) {
            return at;
        }
        let takes = |worker: &WorkerKey| {
            let worker = self.worker(*worker);
            worker.info.pool == *pool && worker.takes_tasks(self.now_ms)
        };
        pools.push(Candidates {
            pool: pool.clone(),
            workers: self.present_keys().filter(takes).collect(),
            refused: Vec::new(),
        });
        pools.len() - 1
    }

    /// Returns whether runs of an earlier leader may still be at workers that have not been polled.
    fn is_held_back(&self, key: JobKey) -> bool {
        let job = self.job(key);
        if !job.is_persisted {
            return true;
        }
        job.is_inherited
            && self.now_ms < self.inherited_runs_end_at_ms()
            && self
                .present_workers()
                .any(|worker| worker.may_have_unseen_runs() && worker.info.pool == job.pool)
    }

    /// Returns the time from which no run of an earlier leader can be left at an unreachable
    /// worker.
    pub(crate) fn inherited_runs_end_at_ms(&self) -> u64 {
        self.opened_ms + self.settings.inherited_runs_max_ms
    }

    fn start_tasks_of(&mut self, key: JobKey, candidates: &mut Candidates) {
        let spec = self.job(key).spec.clone();
        for round in (0u32..).take(self.job(key).rounds.len()) {
            for (step, number) in spec.steps.iter().zip(0u16..) {
                let progress = &self.job(key).rounds[crate::jobs::engine::index(round)];
                let is_due = progress.steps[usize::from(number)].waiting_count > 0
                    && progress.is_ready(step)
                    && !candidates.cannot_fit(step);
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
                    true => self.start_gang(at, step, candidates),
                    false => self.start_step(at, step, candidates),
                }
            }
        }
    }

    fn start_step(&mut self, at: TaskKey, step: &StepSpec, candidates: &mut Candidates) {
        for index in 0..step.tasks_count {
            let task = TaskKey { index, ..at };
            let is_waiting = self.task(task).is_some_and(|task| task.is_waiting());
            if !is_waiting {
                continue;
            }
            if !self.try_start(task, step, candidates) {
                return;
            }
        }
    }

    /// Starts a task if a worker has free capacity and the team's limit allows it; returns whether
    /// it did.
    fn try_start(&mut self, task: TaskKey, step: &StepSpec, candidates: &mut Candidates) -> bool {
        if !self.team_has_capacity(task.job, &step.size) {
            return false;
        }
        let Some(eligible) = self.eligible(task, &candidates.workers) else {
            return false;
        };
        let request = PlacementRequest {
            task,
            step,
            rack: step.near_rack.as_ref(),
        };
        match choose(self, &eligible, &request) {
            Some(worker) => {
                let number = self.next_run_number(task);
                self.order_start(worker, task, number, step);
                true
            }
            None => {
                candidates.refused.push(step.reservation());
                false
            }
        }
    }

    /// Starts all members of a gang together, in one rack where the step asks for it and a rack has
    /// the capacity.
    fn start_gang(&mut self, at: TaskKey, step: &StepSpec, candidates: &mut Candidates) {
        let members: Vec<TaskKey> = (0..step.tasks_count)
            .map(|index| TaskKey { index, ..at })
            .collect();
        let are_all_waiting = members
            .iter()
            .all(|task| self.task(*task).is_some_and(|task| task.is_waiting()));
        let mut all = step.size;
        for _ in 1..step.tasks_count {
            all.add(&step.size);
        }
        if !are_all_waiting || !self.team_has_capacity(at.job, &all) {
            return;
        }
        let Some(eligible) = self.eligible(at, &candidates.workers) else {
            return;
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
        groups.push(eligible.into_owned());
        let Some(places) = groups.iter().find_map(|group| self.place_gang(group, step)) else {
            candidates.refused.push(all);
            return;
        };
        let number = members
            .iter()
            .map(|task| self.next_run_number(*task))
            .max()
            .unwrap_or(0);
        let checkpoint = members
            .iter()
            .filter_map(|task| self.task(*task).map(|task| task.checkpoint.clone()))
            .max()
            .unwrap_or_default();
        for (task, worker) in members.into_iter().zip(places) {
            let gang_checkpoint = checkpoint.clone();
            self.change_task(task, |task| {
                task.checkpoint = gang_checkpoint;
                task.numbered_count = task.numbered_count.max(number % RUNS_PER_FENCE);
            });
            self.order_start(worker, task, number, step);
        }
    }

    /// Finds a worker for each member of a gang among `group`.
    fn place_gang(&self, group: &[WorkerKey], step: &StepSpec) -> Option<Vec<WorkerKey>> {
        let reservation = step.reservation();
        let mut places = Vec::new();
        for worker in group {
            let worker_state = self.worker(*worker);
            let is_fit = step
                .label
                .as_ref()
                .is_none_or(|label| worker_state.info.labels.contains(label));
            let mut used = worker_state.used;
            let mut here_count = 0;
            while is_fit
                && places.len() < crate::jobs::engine::index(step.tasks_count)
                && used.fits_with(&reservation, &worker_state.info.capacity)
                && (step.per_worker_max == 0 || here_count < step.per_worker_max)
            {
                used.add(&reservation);
                here_count += 1;
                places.push(*worker);
            }
        }
        (places.len() == crate::jobs::engine::index(step.tasks_count)).then_some(places)
    }

    /// Returns the workers that may run the task's step, or `None` while that is unknown.
    fn eligible<'w>(
        &mut self,
        task: TaskKey,
        workers: &'w [WorkerKey],
    ) -> Option<Cow<'w, [WorkerKey]>> {
        let needs_tickets = self
            .catalog
            .queues
            .get(&self.job(task.job).queue)
            .is_some_and(|queue| queue.needs_tickets);
        if !needs_tickets {
            return Some(Cow::Borrowed(workers));
        }
        self.with_tickets(task, workers).map(Cow::Owned)
    }

    fn team_has_capacity(&self, key: JobKey, more: &Size) -> bool {
        let team = &self.job(key).team;
        let Some(limit) = self.catalog.teams.get(team).map(|team| team.limit) else {
            return true;
        };
        let mut used = self.team_used.get(team).copied().unwrap_or_default();
        if self.now_ms < self.inherited_runs_end_at_ms() {
            // Runs of an earlier leader on an unreachable worker may belong to this team.
            let unseen = |worker: &&crate::jobs::worker::Worker| worker.may_have_unseen_runs();
            for worker in self.present_workers().filter(unseen) {
                used.add(&worker.info.capacity);
            }
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

    fn next_run_number(&mut self, task: TaskKey) -> u64 {
        let base = self.settings.fence.saturating_sub(1) * RUNS_PER_FENCE;
        let count = self.change_task(task, |task| {
            task.numbered_count += 1;
            task.numbered_count
        });
        base + count.unwrap_or(1)
    }

    fn order_start(&mut self, key: WorkerKey, task: TaskKey, number: u64, step: &StepSpec) {
        let now_ms = self.now_ms;
        let run = RunKey { task, run: number };
        let lease_ms = self.settings.run_lease_ms;
        let ticket = self.tickets.of(task, &self.worker(key).info.id);
        let worker = self.worker_mut(key);
        let lease_end_worker_ms = worker.worker_time_ms(now_ms).unwrap_or(0) + lease_ms;
        worker.leased_until_worker_ms = worker.leased_until_worker_ms.max(lease_end_worker_ms);
        self.put_slot(key, run, new_slot(step, SlotState::Sent, now_ms));
        let checkpoint = self.change_task(task, |state| {
            state.runs.push((key, number));
            state.started_ms = now_ms;
            state.checkpoint.clone()
        });
        let job = self.job_mut(task.job);
        if job.state == crate::jobs::job::JobState::Queued {
            job.state = crate::jobs::job::JobState::Active;
        }
        let waited_ms = now_ms.saturating_sub(job.accepted_ms);
        let (spec, target_ms) = (job.spec.clone(), job.target_ms);
        let order = StartOrder {
            target: self.target(key),
            run,
            name: self.task_name(task),
            spec,
            lease_end_worker_ms,
            checkpoint: checkpoint.unwrap_or_default(),
            ticket,
        };
        Event::new("start_sent")
            .with("task", order.name)
            .with("run", number)
            .with("worker", &order.target.id)
            .with("fence", order.target.fence)
            .with("since_accepted_ms", waited_ms)
            .with("target_in_ms", target_ms.saturating_sub(now_ms))
            .info();
        self.actions.push(Action::Start(order));
    }

    /// Starts a second run of each task that takes too long, where its step allows copies.
    fn start_copies(&mut self, pools: &mut Vec<Candidates>) {
        let mut slow = Vec::new();
        for key in &self.live {
            let job = self.job(*key);
            for (round, round_number) in job.rounds.iter().zip(0u32..) {
                for (number, step) in job.spec.steps.iter().enumerate() {
                    let progress = &round.steps[number];
                    let active_count = step.tasks_count
                        - progress.done_count.min(step.tasks_count)
                        - progress.waiting_count.min(step.tasks_count);
                    if !step.may_have_copies() || active_count == 0 {
                        continue;
                    }
                    let expected_ms = self.run_times.expected_ms(&job.queue, step);
                    let after_ms =
                        (expected_ms * COPY_AFTER_PERMILLE / 1_000).max(COPY_AFTER_MIN_MS);
                    for (task, index) in progress.tasks.iter().zip(0u32..) {
                        let is_slow = !task.is_done
                            && task.runs.len() == 1
                            && task.started_ms + after_ms < self.now_ms;
                        if is_slow {
                            let step = u16::try_from(number).unwrap_or(u16::MAX);
                            slow.push(TaskKey {
                                job: *key,
                                round: round_number,
                                step,
                                index,
                            });
                        }
                    }
                }
            }
        }
        for task in slow {
            let spec = self.job(task.job).spec.clone();
            let step = &spec.steps[usize::from(task.step)];
            let at = self.candidates_at(pools, task.job);
            let current = self
                .task(task)
                .and_then(|task| task.runs.first().map(|(worker, _)| *worker));
            let others = pools[at].workers.iter().copied();
            let mut elsewhere = Candidates {
                pool: pools[at].pool.clone(),
                workers: others.filter(|worker| Some(*worker) != current).collect(),
                refused: Vec::new(),
            };
            if self.is_held_back(task.job) {
                continue;
            }
            if self.try_start(task, step, &mut elsewhere) {
                Event::new("copy_started")
                    .with("task", self.task_name(task))
                    .info();
            }
        }
    }
}
