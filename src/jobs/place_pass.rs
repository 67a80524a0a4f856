//! Waits for racks in one pass over the waiting jobs: the forecasts of the racks, and the decisions
//! that they lead to. A forecast is made when the first task of the pass could start elsewhere but
//! not near its data.

use std::collections::HashMap;

use smol_str::SmolStr;

use crate::jobs::engine::{index, Engine};
use crate::jobs::keys::{JobKey, RunKey, TaskKey, WorkerKey};
use crate::jobs::place_waits::PlaceVerdict;
use crate::jobs::pool_needs::tasks_per_instance;
use crate::jobs::rack_forecast::{ExpectedRun, RackForecast, RackWorker, NEVER_MS};
use crate::jobs::spec::{Size, StepSpec};
use crate::jobs::worker::{rack_of, Slot, SlotState};

/// Most tasks in the forecast of one rack; beyond them, tasks start elsewhere.
const FORECAST_TASKS_MAX_COUNT: usize = 256;
/// Most racks that are considered for one gang.
const GANG_RACKS_MAX_COUNT: usize = 16;

/// A rack of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RackKey {
    pool: SmolStr,
    rack: SmolStr,
}

/// Tasks of one step that wait for a rack without a choice, because they fit nowhere.
#[derive(Clone, Copy, Debug)]
struct QueuedTasks {
    reservation: Size,
    run_ms: u64,
    count: u32,
}

/// Forecasts of the racks for which tasks wait, for one pass over the waiting jobs in their order.
#[derive(Default)]
pub(crate) struct PlacePass {
    forecasts: HashMap<RackKey, RackForecast>,
    queued: HashMap<RackKey, Vec<QueuedTasks>>,
}

impl Engine {
    /// Decides whether a task that could start on `worker` waits for a slot in the rack of its data.
    pub(crate) fn waits_near(
        &mut self,
        task: TaskKey,
        step: &StepSpec,
        worker: WorkerKey,
        eligible: Option<&[WorkerKey]>,
        pass: &mut PlacePass,
    ) -> bool {
        let Some(rack) = step.near_rack.as_ref() else {
            return false;
        };
        if !self.may_wait(step) || self.worker(worker).rack == *rack {
            return false;
        }
        let run_ms = self.expected_run_ms(task.job, step);
        let reservation = step.reservation();
        let key = self.rack_key(task.job, rack);
        let forecast = self.rack_forecast(&key, pass);
        let may_run = |worker: &RackWorker| self.may_run_near(worker, task, step, eligible);
        let start = forecast.earliest_start(&reservation, may_run);
        let start = start.filter(|_| forecast.added_count() < FORECAST_TASKS_MAX_COUNT);
        let verdict = self.verdict(task, run_ms, start.map(|start| start.at_ms));
        let (PlaceVerdict::Wait { until_ms }, Some(start)) = (verdict, start) else {
            return false;
        };
        if !self.hold_wait(task, rack, until_ms, start.at_ms) {
            return false;
        }
        forecast.add_task(start, reservation, run_ms);
        true
    }

    /// Decides whether a gang that could start across racks waits for a rack with room for all of
    /// its members. `racks` holds the eligible workers of each rack.
    pub(crate) fn gang_waits(
        &mut self,
        at: TaskKey,
        step: &StepSpec,
        racks: &[Vec<WorkerKey>],
        pass: &mut PlacePass,
    ) -> bool {
        if !self.may_wait(step) {
            return false;
        }
        let run_ms = self.expected_run_ms(at.job, step);
        let mut best: Option<(u64, RackKey, RackForecast)> = None;
        for group in self.racks_for_gang(step, racks) {
            let key = self.rack_key(at.job, &self.worker(group[0]).rack);
            let mut forecast = self.rack_forecast(&key, pass).clone();
            let start_ms = add_gang(&mut forecast, step, run_ms, &group);
            let is_earlier = |start_ms: &u64| best.as_ref().is_none_or(|best| *start_ms < best.0);
            if let Some(start_ms) = start_ms.filter(is_earlier) {
                best = Some((start_ms, key, forecast));
            }
        }
        let start_ms = best.as_ref().map(|(start_ms, _, _)| *start_ms);
        let verdict = self.verdict(at, run_ms, start_ms);
        let (PlaceVerdict::Wait { until_ms }, Some((start_ms, key, forecast))) = (verdict, best)
        else {
            return false;
        };
        if !self.hold_wait(at, &key.rack, until_ms, start_ms) {
            return false;
        }
        pass.forecasts.insert(key, forecast);
        true
    }

    /// Returns the workers that a gang may use in each rack that can hold all of its members, the
    /// racks with the most free processor time first.
    fn racks_for_gang(&self, step: &StepSpec, racks: &[Vec<WorkerKey>]) -> Vec<Vec<WorkerKey>> {
        let labelled = racks.iter().map(|group| {
            let workers = group.iter().copied();
            workers.filter(|key| self.has_label(*key, step)).collect()
        });
        let can_hold = |group: &Vec<WorkerKey>| {
            let capacities = group.iter().map(|key| self.worker(*key).info.capacity);
            let counts = capacities.map(|capacity| u64::from(tasks_per_instance(step, &capacity)));
            counts.sum::<u64>() >= u64::from(step.tasks_count)
        };
        let mut holding: Vec<Vec<WorkerKey>> = labelled.filter(can_hold).collect();
        holding.sort_by_cached_key(|group| std::cmp::Reverse(self.free_cpu_millis(group)));
        holding.truncate(GANG_RACKS_MAX_COUNT);
        holding
    }

    fn free_cpu_millis(&self, workers: &[WorkerKey]) -> u64 {
        let workers = workers.iter().map(|key| self.worker(*key));
        let free = workers.map(|worker| {
            let capacity = worker.info.capacity.cpu_millis;
            capacity.saturating_sub(worker.used.cpu_millis)
        });
        free.sum()
    }

    /// Notes that the waiting tasks of a step fit nowhere: they are ahead of later tasks for their
    /// rack.
    pub(crate) fn queue_near(&self, at: TaskKey, step: &StepSpec, pass: &mut PlacePass) {
        let Some(rack) = step.near_rack.as_ref().filter(|_| self.may_wait(step)) else {
            return;
        };
        let progress = &self.job(at.job).rounds[index(at.round)].steps[usize::from(at.step)];
        let tasks = QueuedTasks {
            reservation: step.reservation(),
            run_ms: self.expected_run_ms(at.job, step),
            count: progress.waiting_count,
        };
        let key = self.rack_key(at.job, rack);
        match pass.forecasts.get_mut(&key) {
            Some(forecast) => add_queued(forecast, &tasks),
            None => pass.queued.entry(key).or_default().push(tasks),
        }
    }

    /// Notes a start in this pass in the forecast of the worker's rack.
    pub(crate) fn note_start(&self, key: WorkerKey, run: &RunKey, pass: &mut PlacePass) {
        if pass.forecasts.is_empty() {
            return;
        }
        let worker = self.worker(key);
        let rack = RackKey {
            pool: worker.info.pool.clone(),
            rack: worker.rack.clone(),
        };
        let forecast = pass.forecasts.get_mut(&rack);
        if let (Some(forecast), Some(slot)) = (forecast, worker.slots.get(run)) {
            forecast.add_run(key, self.expected_run(run, slot));
        }
    }

    /// Returns the run time near its data that is expected of a task, in milliseconds.
    fn expected_run_ms(&self, job: JobKey, step: &StepSpec) -> u64 {
        self.run_times.expected_ms(&self.job(job).queue, step)
    }

    fn rack_key(&self, job: JobKey, rack: &SmolStr) -> RackKey {
        RackKey {
            pool: self.job(job).pool.clone(),
            rack: rack.clone(),
        }
    }

    /// Returns the forecast of a rack, and makes it first if this pass has none.
    fn rack_forecast<'p>(&self, key: &RackKey, pass: &'p mut PlacePass) -> &'p mut RackForecast {
        if !pass.forecasts.contains_key(key) {
            let mut forecast = RackForecast::new(self.rack_workers(key));
            for tasks in pass.queued.remove(key).unwrap_or_default() {
                add_queued(&mut forecast, &tasks);
            }
            pass.forecasts.insert(key.clone(), forecast);
        }
        pass.forecasts.entry(key.clone()).or_default()
    }

    /// Returns the forecast of a rack with all tasks that wait for it now.
    pub(crate) fn forecast_with_waits<'p>(
        &self,
        pool: &SmolStr,
        rack: &SmolStr,
        pass: &'p mut PlacePass,
    ) -> &'p mut RackForecast {
        let key = RackKey {
            pool: pool.clone(),
            rack: rack.clone(),
        };
        let forecast = self.rack_forecast(&key, pass);
        for task in self.place_waits.for_rack(rack) {
            let job = self.job(task.job);
            let step = &job.spec.steps[usize::from(task.step)];
            if job.pool == *pool {
                let tasks = QueuedTasks {
                    reservation: step.reservation(),
                    run_ms: self.expected_run_ms(task.job, step),
                    count: if step.is_gang { step.tasks_count } else { 1 },
                };
                add_queued(forecast, &tasks);
            }
        }
        forecast
    }

    /// Returns the workers of a pool that accept tasks.
    pub(crate) fn pool_workers(&self, pool: &SmolStr) -> Vec<RackWorker> {
        let workers = self.accepting_workers(pool);
        workers
            .into_iter()
            .map(|key| self.rack_worker(key))
            .collect()
    }

    /// Returns the workers of a rack that accept tasks, and the instances that arrive there.
    fn rack_workers(&self, key: &RackKey) -> Vec<RackWorker> {
        let pool = self.free_capacity.pool(&key.pool);
        let accepting = pool.into_iter().flat_map(|pool| pool.in_rack(&key.rack));
        let present = accepting.map(|worker| self.rack_worker(worker));
        let arriving = self.capacity.arriving_at(&key.pool);
        let here = arriving.filter_map(|(name, arrives_ms)| {
            let row = self.instances.rows.get(name)?;
            let is_here =
                rack_of(&row.info.labels) == key.rack && !self.is_instance_evacuated(name);
            is_here.then(|| RackWorker::new(None, row.info.capacity, arrives_ms, Vec::new()))
        });
        present.chain(here).collect()
    }

    fn rack_worker(&self, key: WorkerKey) -> RackWorker {
        let worker = self.worker(key);
        let runs = worker.slots.iter();
        let runs = runs.map(|(run, slot)| self.expected_run(run, slot));
        RackWorker::new(Some(key), worker.info.capacity, self.now_ms, runs.collect())
    }

    fn expected_run(&self, run: &RunKey, slot: &Slot) -> ExpectedRun {
        let ends_ms = match slot.state {
            SlotState::OutcomeUnknown { .. } | SlotState::StartBlocked { .. } => NEVER_MS,
            _ if slot.is_stopping => self.now_ms + self.settings.stop_ms,
            _ if slot.is_long_running => NEVER_MS,
            SlotState::Held | SlotState::Sent | SlotState::Placed { .. } => {
                self.now_ms + self.remaining_run_ms(run, slot)
            }
        };
        ExpectedRun {
            reservation: slot.reservation,
            ends_ms,
        }
    }

    fn may_run_near(
        &self,
        worker: &RackWorker,
        task: TaskKey,
        step: &StepSpec,
        eligible: Option<&[WorkerKey]>,
    ) -> bool {
        match worker.key {
            // The labels and tickets of an arriving instance are not known yet.
            None => step.label.is_none() && eligible.is_none(),
            Some(key) => {
                eligible.is_none_or(|eligible| eligible.contains(&key))
                    && self.has_label(key, step)
                    && self.is_below_worker_max(key, task, step)
            }
        }
    }
}

/// Adds tasks that fit nowhere to the forecast of their rack, as far as it has room for them.
fn add_queued(forecast: &mut RackForecast, tasks: &QueuedTasks) {
    for _ in 0..tasks.count {
        let start = forecast.earliest_start(&tasks.reservation, |_| true);
        match start {
            Some(start) if forecast.added_count() < FORECAST_TASKS_MAX_COUNT => {
                forecast.add_task(start, tasks.reservation, tasks.run_ms);
            }
            _ => return,
        }
    }
}

/// Adds all members of a gang to the forecast of a rack; returns when the last of them has room, or
/// `None` if one of them has none.
fn add_gang(
    forecast: &mut RackForecast,
    step: &StepSpec,
    run_ms: u64,
    eligible: &[WorkerKey],
) -> Option<u64> {
    let members_count = index(step.tasks_count);
    if forecast.added_count() + members_count > FORECAST_TASKS_MAX_COUNT {
        return None;
    }
    let reservation = step.reservation();
    let mut here: HashMap<WorkerKey, u32> = HashMap::new();
    let mut start_ms = 0;
    for _ in 0..step.tasks_count {
        let may_run = |worker: &RackWorker| {
            worker.key.is_some_and(|key| {
                let count = here.get(&key).copied().unwrap_or(0);
                eligible.contains(&key) && (step.per_worker_max == 0 || count < step.per_worker_max)
            })
        };
        let start = forecast.earliest_start(&reservation, may_run)?;
        forecast.add_task(start, reservation, run_ms);
        if let Some(key) = forecast.key_of(start.worker) {
            *here.entry(key).or_default() += 1;
        }
        start_ms = start_ms.max(start.at_ms);
    }
    Some(start_ms)
}
