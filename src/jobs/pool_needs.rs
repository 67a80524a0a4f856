//! What each pool needs: for what runs there, for what waits, and for what is about to arrive.

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::jobs::capacity_plan::{Allotment, Needs};
use crate::jobs::engine::{index, Engine};
use crate::jobs::instances::InstanceState;
use crate::jobs::job::Job;
use crate::jobs::ranking::is_in_time;
use crate::jobs::spec::{Size, StepSpec};
use crate::jobs::worker::Worker;

/// Share of an instance's capacity that tasks of mixed sizes can fill, in thousandths.
pub(crate) const FILLABLE_PERMILLE: u64 = 880;
/// Number of instances that a pool keeps beyond those with long-running tasks.
const SPARE_COUNT: usize = 2;

/// Share of the demand of late jobs, and of jobs over the rate of their team, that counts as needed,
/// in thousandths.
const LATE_DEMAND_PERMILLE: u64 = 250;

/// What one pool has and needs.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolNeed {
    /// Capacity for running tasks and for waiting work that can still meet its targets.
    pub(crate) needed: Size,
    /// Capacity for work that can no longer meet its targets, in addition.
    late: Size,
    /// Capacity for a demand peak that is about to start, with all that is needed now.
    pub(crate) at_peak: Size,
    /// Instances that the pool can use now, and those that are joining it.
    pub(crate) usable_count: usize,
    /// Instances, among those usable now, that have long-running tasks.
    pub(crate) long_running_hosts_count: usize,
    /// Instances needed for the waiting gang, or the waiting long-running step with a limit per
    /// worker, that needs most of them; includes those that already have long-running tasks.
    all_at_once_count: usize,
    /// Instances to prepare because the pool may have the next demand peak.
    pub(crate) prepared_count: usize,
    /// Part of `needed` that long-running tasks take.
    long_running: Size,
}

impl PoolNeed {
    /// Returns `needed`, raised to a share of `demand` plus the size of the long-running tasks.
    pub(crate) fn raised(&self, demand: &Size, share_permille: u64) -> Size {
        let with = |demand: u64, long_running: u64| demand * share_permille / 1_000 + long_running;
        let cpu_millis = with(demand.cpu_millis, self.long_running.cpu_millis);
        let memory_mb = with(demand.memory_mb, self.long_running.memory_mb);
        Size {
            cpu_millis: self.needed.cpu_millis.max(cpu_millis),
            memory_mb: self.needed.memory_mb.max(memory_mb),
            ..self.needed
        }
    }

    /// Returns the number of instances that the pool keeps.
    pub(crate) fn retained_count(&self, allotment: &Allotment) -> usize {
        let spare_count = self.long_running_hosts_count + SPARE_COUNT;
        allotment.count.max(spare_count)
    }

    /// Returns the numbers of instances of `size` that the pool needs.
    pub(crate) fn counts(&self, size: &Size) -> Needs {
        let held_count = self.all_at_once_count.max(self.long_running_hosts_count);
        let in_time_count = instances_for(&self.needed, size).max(held_count);
        let at_peak_count = instances_for(&self.at_peak, size).max(in_time_count);
        let mut with_late = self.needed;
        with_late.add(&self.late);
        let with_late_count = instances_for(&with_late, size).max(at_peak_count);
        let prepared_count = self.prepared_count.max(with_late_count);
        [
            held_count,
            in_time_count,
            at_peak_count,
            with_late_count,
            prepared_count,
        ]
    }
}

impl Engine {
    /// Returns the size of the instances of a pool, or of any if it has none.
    pub(crate) fn instance_size(&self, pool: &SmolStr) -> Size {
        let of_pool = |worker: &&Worker| worker.info.pool == *pool;
        // The capacity of single workers may have shrunk.
        let workers = self.present_workers().filter(of_pool);
        let largest = workers.max_by_key(|worker| worker.info.capacity.cpu_millis);
        let first = || self.instances.rows.values().next();
        largest
            .map(|worker| worker.info.capacity)
            .or_else(|| first().map(|row| row.info.capacity))
            .unwrap_or_default()
    }

    /// Computes what each pool that is not standby needs now, and what it has or will have.
    pub(crate) fn pool_needs(&self) -> IndexMap<SmolStr, PoolNeed> {
        let mut needs: IndexMap<SmolStr, PoolNeed> = IndexMap::new();
        for (name, pool) in &self.catalog.pools {
            if !pool.is_standby {
                needs.insert(name.clone(), PoolNeed::default());
            }
        }
        for worker in self.present_workers() {
            let Some(need) = needs.get_mut(&worker.info.pool) else {
                continue;
            };
            need.needed.add(&worker.used);
            for slot in worker.slots.values().filter(|slot| slot.is_long_running) {
                need.long_running.add(&slot.reservation);
            }
            if worker.is_usable() {
                need.usable_count += 1;
                need.long_running_hosts_count += usize::from(worker.long_running_count > 0);
            }
        }
        for (name, (pool, _)) in &self.capacity.arriving {
            if self.is_instance_evacuated(name) {
                continue;
            }
            if let Some(need) = needs.get_mut(pool) {
                need.usable_count += 1;
            }
        }
        for row in self.instances.rows.values() {
            let is_arriving = row.info.state != InstanceState::Up
                && row.info.state != InstanceState::Down
                && !self.evacuated_zones.contains(&row.info.zone)
                && !self.capacity.arriving.contains_key(&row.info.name);
            if let (true, Some(need)) = (is_arriving, needs.get_mut(&row.info.pool)) {
                need.usable_count += 1;
            }
        }
        let sizes: IndexMap<SmolStr, Size> = needs
            .keys()
            .map(|pool| (pool.clone(), self.instance_size(pool)))
            .collect();
        for (pool, count) in self.suspect_instances() {
            if let Some(need) = needs.get_mut(&pool) {
                need.all_at_once_count = need.long_running_hosts_count + count;
            }
        }
        for key in &self.live {
            let job = self.job(*key);
            if let Some(need) = needs.get_mut(&job.pool) {
                let waiting = waiting_size(job);
                let is_in_time = job.spec.is_long_running() || is_in_time(job, self.now_ms);
                match is_in_time && !job.is_over_rate {
                    true => need.needed.add(&waiting),
                    false => need.late.add(&Size {
                        cpu_millis: waiting.cpu_millis.saturating_mul(LATE_DEMAND_PERMILLE) / 1_000,
                        memory_mb: waiting.memory_mb.saturating_mul(LATE_DEMAND_PERMILLE) / 1_000,
                        gpu_count: waiting.gpu_count,
                    }),
                }
                let size = sizes.get(&job.pool).copied().unwrap_or_default();
                let all_at_once_count = instances_for_all_at_once(job, &size);
                if all_at_once_count > 0 {
                    need.all_at_once_count = need
                        .all_at_once_count
                        .max(need.long_running_hosts_count + all_at_once_count);
                }
            }
        }
        needs
    }
}

/// Returns the total size of the tasks that could start now, and of those that wait only for
/// running tasks.
fn waiting_size(job: &Job) -> Size {
    let mut all = Size::default();
    for round in &job.rounds {
        for (step, spec) in round.steps.iter().zip(&job.spec.steps) {
            let is_next = spec.after.iter().all(|earlier| {
                let earlier = &round.steps[usize::from(*earlier)];
                earlier.waiting_count == 0
            });
            if !is_next {
                continue;
            }
            all.add(&spec.reservation().times(u64::from(step.waiting_count)));
        }
    }
    all
}

/// Returns how many instances of `size` a job needs for its waiting gangs and for its steps of
/// long-running tasks with a limit per worker. Fewer instances may have enough capacity in total
/// and still be unable to hold such a step.
fn instances_for_all_at_once(job: &Job, size: &Size) -> usize {
    let mut most_count = 0;
    for round in &job.rounds {
        for (step, spec) in round.steps.iter().zip(&job.spec.steps) {
            let is_spread = spec.is_long_running && spec.per_worker_max > 0;
            if step.waiting_count == 0 || !(spec.is_gang || is_spread) || !round.is_ready(spec) {
                continue;
            }
            let per_instance = tasks_per_instance(spec, size).max(1);
            most_count = most_count.max(step.waiting_count.div_ceil(per_instance));
        }
    }
    index(most_count)
}

/// Returns how many tasks of a step an empty instance of `size` can run at once.
pub(crate) fn tasks_per_instance(spec: &StepSpec, size: &Size) -> u32 {
    let reservation = spec.reservation();
    let by = |reservation: u64, size: u64| size.checked_div(reservation).unwrap_or(u64::MAX);
    let count = by(reservation.cpu_millis, size.cpu_millis)
        .min(by(reservation.memory_mb, size.memory_mb))
        .min(by(reservation.gpu_count, size.gpu_count));
    let spread = match spec.per_worker_max {
        0 => u32::MAX,
        max => max,
    };
    u32::try_from(count).unwrap_or(u32::MAX).min(spread)
}

/// Returns how many instances of `size` are needed to hold `needed`.
fn instances_for(needed: &Size, size: &Size) -> usize {
    let share = |needed: u64, size: u64| {
        let fillable = size * FILLABLE_PERMILLE / 1_000;
        match fillable {
            0 => 0,
            fillable => needed.div_ceil(fillable),
        }
    };
    let count = share(needed.cpu_millis, size.cpu_millis)
        .max(share(needed.memory_mb, size.memory_mb))
        .max(share(needed.gpu_count, size.gpu_count));
    usize::try_from(count).unwrap_or(usize::MAX)
}
