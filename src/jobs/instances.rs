//! Instances: the platform's list of them, and the orders to move or maintain one.

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::jobs::engine::Engine;
use crate::jobs::keys::{RunKey, WorkerKey};
use crate::jobs::lost_runs::LossReason;
use crate::jobs::orders::InstanceOrder;
use crate::jobs::spec::Size;
use crate::jobs::watched_runs::WorkerFate;
use crate::jobs::waves::Wave;
use crate::jobs::worker::SlotState;
use crate::logging::Event;

/// Time after which an unanswered order is sent again, in milliseconds.
const ORDER_RETRY_MS: u64 = 1_500;
/// Time of sending of an order that is not sent yet, in milliseconds; later than any other.
const UNSENT_MS: u64 = u64::MAX;
/// Time after which a refused order may be given again, in milliseconds.
const REFUSED_RETRY_MS: u64 = 600;

/// Longest delay of the instance list, in milliseconds.
const LIST_LAG_MS: u64 = 3_000;
/// Number of failed polls in a row from which the instance list decides whether a worker still
/// exists.
const FAILED_POLLS_MIN_COUNT: u32 = 2;
/// Time after a failover, in addition to the time of a stop, for which no long-running task is
/// stopped, in milliseconds.
const STOPS_SETTLE_MS: u64 = 1_000;

/// State of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum InstanceState {
    /// It is up, in its pool or in standby.
    Up,
    /// It is moving to another pool.
    Moving,
    /// It is under maintenance.
    Maintained,
    /// It is down.
    Down,
}

/// An instance as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceInfo {
    /// Name.
    pub name: SmolStr,
    /// Pool to which it belongs.
    pub pool: SmolStr,
    /// State.
    pub state: InstanceState,
    /// Availability zone.
    pub zone: SmolStr,
    /// Labels, including its rack.
    pub labels: Vec<SmolStr>,
    /// Total capacity.
    pub capacity: Size,
    /// Id of its worker, if it has one.
    pub worker: Option<SmolStr>,
}

impl InstanceInfo {
    fn is_up(&self) -> bool {
        self.state == InstanceState::Up
    }
}

/// Why an order to an instance failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum InstanceFailure {
    /// Another leader has taken over.
    Fenced,
    /// The instance is not up, or is about to leave.
    Busy,
    /// The instance is not part of the wave.
    NotOfWave,
    /// There is no such instance, or it may not join the pool.
    Unknown,
    /// The platform accepts no more calls at present.
    Refused,
    /// No answer arrived.
    Lost,
}

/// One instance.
#[derive(Clone, Debug)]
pub(crate) struct Instance {
    /// What the platform lists, updated by the orders carried out since.
    pub(crate) info: InstanceInfo,
    /// Last order and the time at which it was sent, until its outcome is known.
    pub(crate) order: Option<(InstanceOrder, u64)>,
    /// Worker of the instance when the order was given. The order does not affect a later worker.
    pub(crate) ordered_worker: Option<WorkerKey>,
    /// Time until which the instance is expected to be unavailable after the last order.
    pub(crate) unavailable_until_ms: u64,
    /// Time before which it gets no order.
    pub(crate) no_order_until_ms: u64,
}

/// How a worker is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Disappearance {
    /// Its instance is not up, and the worker may start again there under its id.
    Down,
    /// Its instance has another worker.
    Replaced,
}

/// All instances and waves.
#[derive(Clone, Debug, Default)]
pub(crate) struct Instances {
    pub(crate) rows: IndexMap<SmolStr, Instance>,
    pub(crate) waves: IndexMap<u64, Wave>,
    /// Orders that were answered as carried out while this leader was without its lease.
    pub(crate) unapplied: Vec<InstanceOrder>,
    /// Whether this leader has read the list.
    pub(crate) is_list_read: bool,
}

impl Engine {
    /// Applies the list of instances, read by a call that was sent at `sent_ms`.
    pub fn instances_listed(&mut self, infos: Vec<InstanceInfo>, sent_ms: u64, now_ms: u64) {
        self.now_ms = now_ms.max(self.now_ms);
        let known = std::mem::take(&mut self.instances.rows);
        for info in infos {
            let before = known.get(&info.name);
            let mut row = Instance {
                info,
                order: before.and_then(|row| row.order.clone()),
                ordered_worker: before.and_then(|row| row.ordered_worker),
                unavailable_until_ms: before.map_or(0, |row| row.unavailable_until_ms),
                no_order_until_ms: before.map_or(0, |row| row.no_order_until_ms),
            };
            // A list that was requested before the order does not show its outcome.
            let is_answered = row.order.as_ref().is_some_and(|(order, given_ms)| {
                *given_ms < sent_ms && shows_order(order, &row.info)
            });
            if is_answered {
                row.order = None;
            }
            if let (Some(before), true) = (before, row.unavailable_until_ms > sent_ms) {
                row.info.pool = before.info.pool.clone();
                row.info.state = before.info.state;
            }
            self.instances.rows.insert(row.info.name.clone(), row);
        }
        self.instances.is_list_read = true;
        self.forget_orders_of_removed_instances();
        for key in self.present.clone() {
            self.apply_evacuation(key);
        }
        self.remove_workers_without_instance(sent_ms);
    }

    /// Removes workers that are unresponsive, or only known from records, and that no instance in
    /// the list has. A worker may have gone after a later leader took note of what it had done.
    fn remove_workers_without_instance(&mut self, sent_ms: u64) {
        if !self.is_exclusive() {
            return;
        }
        let has_worker = |row: &Instance| row.info.is_up() && row.info.worker.is_some();
        if !self.instances.rows.values().any(has_worker) {
            return;
        }
        for key in self.present_keys().collect::<Vec<_>>() {
            let worker = self.worker(key);
            let is_list_current = self.opened_ms + LIST_LAG_MS < sent_ms;
            let is_unknown = worker.may_have_unseen_runs() && !worker.is_listed && is_list_current;
            // The list is delayed and may not show a new worker yet.
            let is_old = worker.listed_ms + LIST_LAG_MS < sent_ms;
            let is_unresponsive = worker.failed_polls_count >= FAILED_POLLS_MIN_COUNT
                && !worker.slots.is_empty()
                && is_old;
            match self.disappearance(key) {
                Some(how) if is_unknown || is_unresponsive => self.worker_disappeared(key, how),
                _ => {}
            }
        }
    }

    /// Returns how the list of instances shows that a worker is gone, if it does. A list without a row of
    /// its instance does not show that, as rows that cannot be read are left out, and instances may change
    /// while the list is read page by page. Nor does a row without a worker: the platform may not know the
    /// worker at present.
    fn disappearance(&self, key: WorkerKey) -> Option<Disappearance> {
        let info = &self.worker(key).info;
        let may_have_it = |row: &Instance| {
            let listed = row.info.worker.as_ref();
            row.info.is_up() && listed.is_none_or(|id| *id == info.id)
        };
        match &info.instance {
            Some(instance) => match self.instances.rows.get(instance)? {
                row if may_have_it(row) => None,
                row if row.info.is_up() => Some(Disappearance::Replaced),
                _ => Some(Disappearance::Down),
            },
            // Only its record is known, which does not name the instance.
            None => {
                let is_anywhere = self.instances.rows.values().any(|row| {
                    let is_of_pool = row.info.pool == info.pool;
                    may_have_it(row) && (is_of_pool || row.info.worker.is_some())
                });
                (!is_anywhere).then_some(Disappearance::Down)
            }
        }
    }

    /// Removes a worker that is gone. While it is down, it is removed once.
    fn worker_disappeared(&mut self, key: WorkerKey, how: Disappearance) {
        match how {
            Disappearance::Down if self.worker(key).is_removed => {}
            Disappearance::Down => self.remove_worker(key, LossReason::WorkerRemoved),
            Disappearance::Replaced => {
                self.remove_worker(key, LossReason::WorkerRemoved);
                self.forget_late_starts(key);
            }
        }
    }

    /// Records that a worker is gone: its runs are lost. Starts that are on their way may still begin there if
    /// it is back under its id.
    fn remove_worker(&mut self, key: WorkerKey, reason: LossReason) {
        let now_ms = self.now_ms;
        let worker = self.worker_mut(key);
        worker.is_listed = false;
        worker.unlisted_since_ms = now_ms;
        worker.is_removed = true;
        worker.has_more_ends = false;
        Event::new("worker_removed")
            .with("worker", &worker.info.id)
            .with("reason", reason)
            .with("lost_count", worker.slots.len())
            .info();
        let mut lost = self.lose_all_runs(key, reason);
        // A long-running task may not be without a run for as long as a start may be late.
        lost.retain(|lost| !lost.slot.is_long_running);
        self.block_late_starts(key, &lost);
        self.settle_inherited_runs(key, WorkerFate::Replaced);
    }

    /// Returns the instance of a worker.
    pub(crate) fn instance_of(&self, key: WorkerKey) -> Option<SmolStr> {
        let info = &self.worker(key).info;
        if let Some(instance) = &info.instance {
            return Some(instance.clone());
        }
        let rows = self.instances.rows.values();
        let mut of_worker = rows.filter(|row| row.info.worker.as_ref() == Some(&info.id));
        of_worker.next().map(|row| row.info.name.clone())
    }

    /// Returns the worker of an instance, if the list of workers has one. The entry of a worker that has
    /// crashed stays for a while beside that of the next one on its instance: the one with runs counts,
    /// or else the one that started last.
    pub(crate) fn worker_of(&self, name: &SmolStr) -> Option<WorkerKey> {
        let by_info = |key: &WorkerKey| {
            let worker = self.worker(*key);
            worker.is_listed && worker.info.instance.as_ref() == Some(name)
        };
        let of_instance = self.instance_workers.get(name).into_iter().flatten();
        let listed = of_instance.copied().filter(by_info);
        let found = listed.max_by_key(|key| {
            let worker = self.worker(*key);
            (!worker.slots.is_empty(), worker.info.started_unix_ms)
        });
        found.or_else(|| {
            let id = self.instances.rows.get(name)?.info.worker.as_ref()?;
            self.worker_keys.get(id).copied()
        })
    }

    /// Returns whether an earlier leader may have given an order to an instance so recently that
    /// this leader has to wait. An instance that is up with a worker older than that has had no
    /// such order.
    fn may_have_earlier_order(&self, name: &SmolStr) -> bool {
        let lease_ms = self.settings.earlier_orders_wait_ms;
        if self.now_ms >= self.opened_ms + lease_ms
            || self.order_numbers.is_settled(name, self.settings.fence)
        {
            return false;
        }
        let open_for_ms = self.now_ms - self.opened_ms;
        let opened_unix_ms = self.unix_ms.saturating_sub(open_for_ms);
        let started_unix_ms = self
            .worker_of(name)
            .map_or(u64::MAX, |key| self.worker(key).info.started_unix_ms);
        started_unix_ms == 0 || started_unix_ms.saturating_add(lease_ms) > opened_unix_ms
    }

    /// Returns whether an order may be given to an instance now.
    pub(crate) fn is_orderable(&self, name: &SmolStr) -> bool {
        let is_free = self.instances.rows.get(name).is_some_and(|row| {
            row.order.is_none()
                && row.info.state == InstanceState::Up
                && self.now_ms >= row.no_order_until_ms
                && self.now_ms >= row.unavailable_until_ms
        });
        is_free && !self.may_have_earlier_order(name)
    }

    /// Gives an order to an instance.
    pub(crate) fn order_instance(&mut self, order: InstanceOrder) {
        let worker = self.worker_of(order.instance());
        let Some(row) = self.instances.rows.get_mut(order.instance()) else {
            return;
        };
        row.ordered_worker = worker;
        // The time is set when the order is sent.
        row.order = Some((order.clone(), UNSENT_MS));
        let event = Event::new("instance_ordered").with("instance", order.instance());
        match &order {
            InstanceOrder::Move { pool, .. } => event.with("from", &row.info.pool).with("to", pool),
            InstanceOrder::Maintain { wave, .. } => event.with("wave", wave),
        }
        .info();
        self.hold_instance_order(order);
    }

    /// Sends orders again that were not answered.
    pub(crate) fn retry_instance_orders(&mut self) {
        let now_ms = self.now_ms;
        let mut unanswered = Vec::new();
        for row in self.instances.rows.values_mut() {
            if let Some((order, given_ms)) = &mut row.order {
                if given_ms.saturating_add(ORDER_RETRY_MS) < now_ms {
                    *given_ms = now_ms;
                    unanswered.push(order.clone());
                }
            }
        }
        for order in unanswered {
            self.send_order(order);
        }
    }

    /// Handles the answer to an order.
    pub fn instance_answered(
        &mut self,
        order: &InstanceOrder,
        answer: Result<(), InstanceFailure>,
        now_ms: u64,
    ) {
        self.now_ms = now_ms.max(self.now_ms);
        match answer {
            // A later leader may have taken note of what the worker had done before the order was
            // carried out.
            Ok(()) if !self.is_exclusive() => self.instances.unapplied.push(order.clone()),
            Ok(()) => self.order_done(order),
            Err(InstanceFailure::Lost) => {}
            Err(failure) => self.order_refused(order, failure),
        }
    }

    /// Applies the answers that arrived while this leader was without its lease, once it has it again.
    pub(crate) fn apply_late_answers(&mut self) {
        if !self.is_exclusive() {
            return;
        }
        for order in std::mem::take(&mut self.instances.unapplied) {
            self.order_done(&order);
        }
    }

    fn order_done(&mut self, order: &InstanceOrder) {
        let now_ms = self.now_ms;
        let unavailable_ms = match order {
            InstanceOrder::Move { .. } => self.settings.move_ms,
            InstanceOrder::Maintain { .. } => self.settings.maintain_ms,
        };
        let mut worker = None;
        if let Some(row) = self.instances.rows.get_mut(order.instance()) {
            worker = row.ordered_worker.take();
            row.order = None;
            row.unavailable_until_ms = now_ms + unavailable_ms;
            if let InstanceOrder::Move { pool, .. } = order {
                row.info.pool = pool.clone();
            }
            row.info.worker = None;
        }
        if let Some(key) = worker {
            self.remove_worker(key, LossReason::InstanceOrdered);
            self.worker_mut(key).has_ended = true;
        }
        if let InstanceOrder::Maintain { instance, wave } = order {
            self.wave_member_done(*wave, instance);
        }
        Event::new("instance_order_done")
            .with("instance", order.instance())
            .info();
    }

    fn order_refused(&mut self, order: &InstanceOrder, failure: InstanceFailure) {
        let now_ms = self.now_ms;
        Event::new("instance_order_refused")
            .with("instance", order.instance())
            .with("failure", failure)
            .warn();
        let mut worker = None;
        if let Some(row) = self.instances.rows.get_mut(order.instance()) {
            worker = row.ordered_worker.take();
            row.order = None;
            row.no_order_until_ms = now_ms + REFUSED_RETRY_MS;
        }
        if let Some(key) = worker {
            self.reopen_worker(key);
        }
        match (failure, order) {
            (InstanceFailure::Fenced, _) => self.lose_leadership("instances"),
            (
                InstanceFailure::NotOfWave | InstanceFailure::Unknown,
                InstanceOrder::Maintain { instance, wave },
            ) => self.wave_member_refused(*wave, instance),
            _ => {}
        }
    }

    /// Lets tasks start again on a worker whose instance got no order after all.
    pub(crate) fn reopen_worker(&mut self, key: WorkerKey) {
        let worker = self.worker_mut(key);
        worker.is_cordoned = false;
        if worker.is_listed && worker.is_fenced && !worker.is_persisted {
            self.persist_worker(key);
        }
        self.needs_dispatch = true;
    }

    /// Returns whether a planned stop of a run stays within the budget of its step, which limits
    /// how many tasks of the step may be unavailable at once.
    pub(crate) fn may_stop(&self, run: &RunKey) -> bool {
        let job = self.job(run.task.job);
        let step = &job.spec.steps[usize::from(run.task.step)];
        if !step.is_long_running || job.state.is_final() {
            return true;
        }
        let Some(unavailable_max) = step.unavailable_max else {
            return true;
        };
        // A run that an earlier leader ordered to stop may still be listed as available.
        let is_settled_ms = self.opened_ms + self.settings.stop_ms + STOPS_SETTLE_MS;
        if self.settings.fence > 1 && self.now_ms < is_settled_ms {
            return false;
        }
        let Some(round) = job.rounds.get(crate::jobs::engine::index(run.task.round)) else {
            return true;
        };
        let tasks = &round.steps[usize::from(run.task.step)].tasks;
        let unavailable_count = (0u32..)
            .zip(tasks)
            .filter(|(index, task)| {
                *index != run.task.index && !self.is_available(*run, *index, task)
            })
            .count();
        u32::try_from(unavailable_count).is_ok_and(|count| count < unavailable_max)
    }

    fn is_available(&self, of: RunKey, index: u32, task: &crate::jobs::job::Task) -> bool {
        let key = crate::jobs::keys::TaskKey { index, ..of.task };
        task.runs.iter().any(|(worker, run)| {
            let run = RunKey {
                task: key,
                run: *run,
            };
            let worker = self.worker(*worker);
            worker.slots.get(&run).is_some_and(|slot| {
                // While it does not answer, its runs may be gone, however long their leases are counted.
                worker.failed_polls_count == 0
                    && matches!(slot.state, SlotState::Placed { .. })
                    && !slot.is_stopping
                    && slot.percent >= 100
            })
        })
    }

    /// Stops the runs of a worker that has to be drained: long-running ones as far as their budgets
    /// allow, and those that save a checkpoint when they stop. The others are left to end. Returns
    /// whether the worker has no runs left.
    pub(crate) fn drain_worker(&mut self, key: WorkerKey) -> bool {
        let runs: Vec<RunKey> = self.worker(key).slots.keys().copied().collect();
        for run in &runs {
            let slot = &self.worker(key).slots[run];
            let step = &self.job(run.task.job).spec.steps[usize::from(run.task.step)];
            let keeps_work = step.has_checkpoints && !step.is_gang;
            let is_stoppable = (slot.is_long_running || keeps_work)
                && !slot.is_stopping
                && matches!(slot.state, SlotState::Placed { .. });
            if is_stoppable && self.may_stop(run) {
                self.stop_run(key, *run, "planned_stop");
            }
        }
        runs.is_empty()
    }
}

/// Returns whether the list shows an order as carried out or in progress.
fn shows_order(order: &InstanceOrder, info: &InstanceInfo) -> bool {
    match order {
        InstanceOrder::Move { pool, .. } => info.pool == *pool,
        InstanceOrder::Maintain { .. } => info.state == InstanceState::Maintained,
    }
}
