//! Capacity that follows demand. Each review divides the fleet by the needs of the pools (see
//! [`capacity_plan`](crate::jobs::capacity_plan)). Instances move to pools that lack capacity, from
//! pools that have more than their part and from standby; idle instances move to standby. A pool above
//! its part stops starting tasks on some of its instances, which move once they are idle (see
//! [`reclaim`](crate::jobs::reclaim)).

use indexmap::{IndexMap, IndexSet};
use smol_str::SmolStr;

use crate::jobs::capacity_plan::{allot, Allotment, Need, Needs};
use crate::jobs::engine::{index, Engine};
use crate::jobs::instances::InstanceState;
use crate::jobs::keys::WorkerKey;
use crate::jobs::orders::InstanceOrder;
use crate::jobs::pool_needs::PoolNeed;
use crate::jobs::worker::Worker;
use crate::logging::Event;

/// Interval between reviews, in milliseconds.
pub(crate) const REVIEW_MS: u64 = 200;
/// Time after which an idle instance moves to standby, in milliseconds.
const STANDBY_AFTER_IDLE_MS: u64 = 1_500;
/// Share of all instances that are prepared for the next demand peak, divided equally among the
/// pools that may have it, in percent.
const PREPARED_PERCENT: usize = 12;
/// Capacity that a pool should have for its rate of arrivals, relative to the capacity that the
/// arriving jobs keep busy, in thousandths.
const ARRIVAL_RATE_PERMILLE: u64 = 900;
/// Capacity that a pool should have when its next demand peak starts, relative to the expected
/// demand, in thousandths.
const EXPECTED_DEMAND_PERMILLE: u64 = 900;
/// Time before a demand peak at which its pool is prepared, in addition to the time of a move, in
/// milliseconds.
const PREPARE_AHEAD_MS: u64 = 500;

/// Time by which an instance may arrive later than a move takes, in milliseconds.
const ARRIVAL_RESERVE_MS: u64 = 600;

/// State of the capacity policy between reviews.
#[derive(Clone, Debug, Default)]
pub(crate) struct CapacityPolicy {
    /// Instances that are moving, with the pool that they join and the latest time of arrival.
    pub(crate) arriving: IndexMap<SmolStr, (SmolStr, u64)>,
    /// Last logged counts of each pool: instances wanted, allotted and available.
    logged: IndexMap<SmolStr, (usize, usize, usize)>,
    /// Workers that get no more tasks, so that their instances can move to pools that lack capacity.
    pub(crate) reclaimed: IndexSet<WorkerKey>,
}

impl CapacityPolicy {
    /// Returns the number of instances that are moving to a pool.
    pub(crate) fn arriving_count(&self, pool: &SmolStr) -> usize {
        self.arriving.values().filter(|(to, _)| to == pool).count()
    }

    /// Returns the names of the instances that are moving to a pool, with the latest times of
    /// arrival.
    pub(crate) fn arriving_at<'c>(
        &'c self,
        pool: &'c SmolStr,
    ) -> impl Iterator<Item = (&'c SmolStr, u64)> {
        let arriving = self.arriving.iter().filter(move |(_, (to, _))| to == pool);
        arriving.map(|(name, (_, arrives_ms))| (name, *arrives_ms))
    }
}

impl Engine {
    /// Reviews pace, waves and capacity if a review is due.
    pub(crate) fn review(&mut self) {
        if self.now_ms < self.next_review_ms {
            return;
        }
        self.next_review_ms = self.now_ms + REVIEW_MS;
        self.log_recovering_pools();
        self.refresh_fleet_size();
        self.review_pace();
        self.review_evacuations();
        self.demand_cycle.advance(self.now_ms);
        if self.instances.is_list_read {
            self.retry_instance_orders();
            self.review_order_numbers();
            self.review_waves();
            self.review_capacity();
        }
        // A copy can become due, and a job late, without any event.
        self.needs_dispatch = true;
    }

    fn review_capacity(&mut self) {
        self.drop_arrived();
        let mut needs = self.pool_needs();
        self.add_forecast(&mut needs);
        let counts: IndexMap<SmolStr, Needs> = needs
            .iter()
            .map(|(pool, need)| (pool.clone(), need.counts(&self.instance_size(pool))))
            .collect();
        let plan = allot(&counts, self.available_count(&needs));
        let mut short: Vec<(SmolStr, usize)> = Vec::new();
        self.forget_reclaimed();
        let mut donors = Vec::new();
        for (pool, need) in &needs {
            let allotted_count = plan[pool].count;
            self.log_capacity(pool, need, &counts[pool], &plan[pool]);
            let lacking_count = allotted_count.saturating_sub(need.usable_count);
            let have_count = need.usable_count + self.reopen_reclaimed(pool, lacking_count);
            let surplus_count = self.surplus_count(pool, need.retained_count(&plan[pool]));
            if allotted_count > have_count {
                short.push((pool.clone(), allotted_count - have_count));
            } else if surplus_count > 0 {
                let mut idle = self.idle_workers(pool);
                let kept_count = idle.len().saturating_sub(surplus_count);
                donors.extend(idle.split_off(kept_count));
            }
        }
        donors.extend(self.idle_reclaimed());
        short.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        let mut missing_count = 0;
        for (pool, count) in short {
            let is_moved = |_: &usize| self.request_instance(&pool, &mut donors);
            missing_count += count - (0..count).take_while(is_moved).count();
        }
        missing_count = missing_count.saturating_sub(self.reclaimed_count());
        for (pool, need) in &needs {
            let surplus_count = self.surplus_count(pool, need.retained_count(&plan[pool]));
            missing_count -= self.reclaim(pool, surplus_count.min(missing_count));
        }
        self.move_idle_to_standby(&donors);
        self.move_evacuated_to_standby();
    }

    /// Returns how many workers of a pool accept tasks beyond those that it keeps. Listed workers that
    /// have not answered may be gone, and instances that are joining the pool may be late.
    fn surplus_count(&self, pool: &SmolStr, retained_count: usize) -> usize {
        let accepts =
            |worker: &&Worker| worker.info.pool == *pool && worker.takes_tasks(self.now_ms);
        let accepting_count = self.present_workers().filter(accepts).count();
        accepting_count.saturating_sub(retained_count)
    }

    /// Returns how many instances the pools have, or can get from standby.
    fn available_count(&self, needs: &IndexMap<SmolStr, PoolNeed>) -> usize {
        let in_pools_count: usize = needs.values().map(|need| need.usable_count).sum();
        let standby = self.catalog.standby_pool();
        let rows = self.instances.rows.values();
        let in_standby = rows.filter(|row| {
            Some(&row.info.pool) == standby
                && row.info.state == InstanceState::Up
                && row.order.is_none()
                && !self.evacuated_zones.contains(&row.info.zone)
        });
        in_pools_count + in_standby.count() + self.reclaimed_count()
    }

    /// Stops counting instances as moving once their workers are listed or their time has passed.
    fn drop_arrived(&mut self) {
        let now_ms = self.now_ms;
        let arriving = &mut self.capacity.arriving;
        for key in &self.present {
            let worker = &self.workers[index(key.0)];
            if !worker.is_listed {
                continue;
            }
            let Some(instance) = &worker.info.instance else {
                continue;
            };
            let has_arrived = arriving
                .get(instance)
                .is_some_and(|(pool, _)| *pool == worker.info.pool);
            if has_arrived {
                arriving.swap_remove(instance);
            }
        }
        arriving.retain(|_, (_, arrives_ms)| *arrives_ms > now_ms);
    }

    /// Logs what a pool needs and has, if that has changed.
    fn log_capacity(
        &mut self,
        pool: &SmolStr,
        need: &PoolNeed,
        counts: &Needs,
        allotment: &Allotment,
    ) {
        let wanted_count = counts.last().copied().unwrap_or(0);
        let logged = (wanted_count, allotment.count, need.usable_count);
        if self.capacity.logged.insert(pool.clone(), logged) == Some(logged) {
            return;
        }
        Event::new("capacity")
            .with("pool", pool)
            .with("wanted_count", wanted_count)
            .with("allotted_count", allotment.count)
            .with("unmet", allotment.unmet.map_or("", Need::into))
            .with("have_count", need.usable_count)
            .with("endless_hosts_count", need.long_running_hosts_count)
            .with("needed_cpu_millis", need.needed.cpu_millis)
            .with("needed_memory_mb", need.needed.memory_mb)
            .info();
    }

    /// Raises the needs of pools to their rate of arrivals and to the demand of the next expected
    /// peak, and prepares the pools that may have the next peak.
    fn add_forecast(&mut self, needs: &mut IndexMap<SmolStr, PoolNeed>) {
        let now_ms = self.now_ms;
        let arrival_ms = self.settings.move_ms + ARRIVAL_RESERVE_MS;
        let method = self.settings.forecast;
        let fleet_count = self.instances.rows.len();
        for (pool, need) in needs.iter_mut() {
            let cycle = &mut self.demand_cycle;
            let demand = cycle.forecast(method, pool, now_ms, arrival_ms);
            need.needed = need.raised(&demand, ARRIVAL_RATE_PERMILLE);
            need.at_peak = need.needed;
        }
        let ahead_ms = self.settings.move_ms + PREPARE_AHEAD_MS;
        let candidates = self.demand_cycle.candidates(now_ms, ahead_ms);
        let candidates_count = needs
            .keys()
            .filter(|pool| candidates.contains(pool))
            .count();
        for (pool, need) in needs.iter_mut() {
            if candidates.contains(pool) {
                need.prepared_count =
                    (PREPARED_PERCENT * fleet_count / 100) / candidates_count.max(1);
            }
        }
        let next = self.demand_cycle.expected(now_ms);
        let due = next.filter(|next| now_ms + ahead_ms >= next.start_ms);
        if let Some(next) = due {
            if let Some(need) = needs.get_mut(&next.pool) {
                need.at_peak = need.raised(&next.demand, EXPECTED_DEMAND_PERMILLE);
            }
        }
    }

    /// Moves one instance to `pool`, from a donor or from standby; returns whether one was
    /// available.
    fn request_instance(&mut self, pool: &SmolStr, donors: &mut Vec<WorkerKey>) -> bool {
        while let Some(key) = donors.pop() {
            if self.move_worker(key, pool) {
                return true;
            }
        }
        let Some(standby) = self.catalog.standby_pool().cloned() else {
            return false;
        };
        let in_standby = |name: &&SmolStr| {
            self.instances.rows[*name].info.pool == standby
                && self.is_orderable(name)
                && !self.is_instance_evacuated(name)
        };
        let Some(name) = self.instances.rows.keys().find(in_standby).cloned() else {
            return false;
        };
        self.move_instance(name, pool);
        true
    }

    fn move_worker(&mut self, key: WorkerKey, pool: &SmolStr) -> bool {
        let Some(name) = self.instance_of(key) else {
            return false;
        };
        if !self.is_orderable(&name) {
            return false;
        }
        self.worker_mut(key).is_cordoned = true;
        self.capacity.reclaimed.swap_remove(&key);
        self.move_instance(name, pool);
        true
    }

    fn move_instance(&mut self, instance: SmolStr, pool: &SmolStr) {
        let arrives_ms = self.now_ms + self.settings.move_ms + ARRIVAL_RESERVE_MS;
        self.capacity
            .arriving
            .insert(instance.clone(), (pool.clone(), arrives_ms));
        self.order_instance(InstanceOrder::Move {
            instance,
            pool: pool.clone(),
        });
    }

    pub(crate) fn move_idle_to_standby(&mut self, donors: &[WorkerKey]) {
        let Some(standby) = self.catalog.standby_pool().cloned() else {
            return;
        };
        for key in donors {
            let worker = self.worker(*key);
            let is_long_idle = worker.slots.is_empty()
                && (!worker.is_cordoned || self.is_reclaimed(*key))
                && worker.idle_since_ms + STANDBY_AFTER_IDLE_MS < self.now_ms;
            if is_long_idle {
                self.move_worker(*key, &standby);
            }
        }
    }

    /// Returns the workers of a pool that have no runs and may leave it, the longest idle last.
    fn idle_workers(&self, pool: &SmolStr) -> Vec<WorkerKey> {
        let mut idle: Vec<WorkerKey> = self
            .present_keys()
            .filter(|key| {
                let worker = self.worker(*key);
                worker.info.pool == *pool
                    && worker.slots.is_empty()
                    && worker.awaited_batch.is_none()
                    && !worker.has_more_ends
                    && worker.takes_tasks(self.now_ms)
            })
            .collect();
        idle.sort_by_key(|key| std::cmp::Reverse(self.worker(*key).idle_since_ms));
        idle
    }
}
