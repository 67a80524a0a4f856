//! Workers that a pool gives up although they are busy. They get no more tasks, none of their runs is
//! stopped, and their instances move once they are idle. If the pool needs them before, they take
//! tasks again at once.

use smol_str::SmolStr;

use crate::jobs::engine::Engine;
use crate::jobs::keys::WorkerKey;

/// Longest time for which the runs of a worker may be expected to go on when it is reclaimed, in
/// milliseconds. Until they end, the rest of the worker is unused.
const BUSY_MAX_MS: u64 = 1_000;

impl Engine {
    /// Returns whether a worker gets no more tasks so that its instance can move.
    pub(crate) fn is_reclaimed(&self, key: WorkerKey) -> bool {
        self.capacity.reclaimed.contains(&key)
    }

    /// Forgets the reclaimed workers that are gone, were opened for another reason, or whose instances
    /// have got an order, for a wave of maintenance for example. One that is missing from the list
    /// may come back, and stays.
    pub(crate) fn forget_reclaimed(&mut self) {
        let mut reclaimed = std::mem::take(&mut self.capacity.reclaimed);
        reclaimed.retain(|key| {
            let worker = self.worker(*key);
            worker.is_cordoned && !worker.is_removed && !self.has_instance_order(*key)
        });
        self.capacity.reclaimed = reclaimed;
    }

    fn has_instance_order(&self, key: WorkerKey) -> bool {
        let name = self.instance_of(key);
        let row = name.and_then(|name| self.instances.rows.get(&name));
        row.is_some_and(|row| row.order.is_some())
    }

    /// Returns the number of listed reclaimed workers.
    pub(crate) fn reclaimed_count(&self) -> usize {
        let reclaimed = self.capacity.reclaimed.iter();
        reclaimed.filter(|key| self.worker(**key).is_listed).count()
    }

    /// Returns the reclaimed workers that are idle by now.
    pub(crate) fn idle_reclaimed(&self) -> Vec<WorkerKey> {
        let is_idle = |key: &WorkerKey| {
            let worker = self.worker(*key);
            worker.is_listed
                && worker.slots.is_empty()
                && worker.awaited_batch.is_none()
                && !worker.has_more_ends
        };
        let reclaimed = self.capacity.reclaimed.iter().copied();
        reclaimed.filter(is_idle).collect()
    }

    /// Lets tasks start again on up to `count` reclaimed workers of a pool; returns their number.
    pub(crate) fn reopen_reclaimed(&mut self, pool: &SmolStr, count: usize) -> usize {
        let reclaimed = self.capacity.reclaimed.iter().copied();
        let of_pool = reclaimed.filter(|key| {
            let worker = self.worker(*key);
            worker.is_listed && worker.info.pool == *pool
        });
        let reopened: Vec<WorkerKey> = of_pool.take(count).collect();
        for key in &reopened {
            self.capacity.reclaimed.swap_remove(key);
            self.reopen_worker(*key);
        }
        reopened.len()
    }

    /// Stops starting tasks on up to `count` busy workers of a pool, those first whose runs are
    /// expected to end soonest; returns their number.
    pub(crate) fn reclaim(&mut self, pool: &SmolStr, count: usize) -> usize {
        if count == 0 {
            return 0;
        }
        let mut workers: Vec<(u64, WorkerKey)> = self
            .present_keys()
            .filter(|key| {
                let worker = self.worker(*key);
                worker.info.pool == *pool
                    && worker.long_running_count == 0
                    && !worker.slots.is_empty()
                    && worker.takes_tasks(self.now_ms)
            })
            .map(|key| (self.busy_for_ms(key), key))
            .filter(|(busy_ms, _)| *busy_ms <= BUSY_MAX_MS)
            .collect();
        workers.sort_unstable();
        workers.truncate(count);
        for (_, key) in &workers {
            self.worker_mut(*key).is_cordoned = true;
            self.capacity.reclaimed.insert(*key);
        }
        workers.len()
    }

    /// Returns the time after which all runs of a worker are expected to have ended, in
    /// milliseconds.
    pub(crate) fn busy_for_ms(&self, key: WorkerKey) -> u64 {
        let slots = self.worker(key).slots.iter();
        let left_ms = slots.map(|(run, slot)| self.remaining_run_ms(run, slot));
        left_ms.max().unwrap_or(0)
    }
}
