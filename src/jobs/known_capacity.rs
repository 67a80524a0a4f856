//! Whether the capacity that a worker reported is current. Where workers do not refuse tasks beyond
//! their capacity, no task is started by an outdated one: that of an earlier incarnation, or one that
//! may have shrunk since the list was last read.

use crate::jobs::engine::Engine;
use crate::jobs::keys::WorkerKey;

/// State of the list of workers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WorkersList {
    /// Time at which the last complete read was sent; none before the first.
    read_ms: Option<u64>,
    is_outdated: bool,
}

impl Engine {
    /// Records that all changes of the list up to `sent_ms`, when a read was sent, are applied.
    pub fn workers_list_read(&mut self, sent_ms: u64) {
        let read_ms = self.workers_list.read_ms.unwrap_or(0).max(sent_ms);
        self.workers_list.read_ms = Some(read_ms);
    }

    /// Checks whether the list has become outdated, or is current again.
    pub(crate) fn review_workers_list(&mut self) {
        let max_age_ms = self.settings.capacity_age_max_ms;
        let is_outdated = self
            .workers_list
            .read_ms
            .is_some_and(|read_ms| max_age_ms > 0 && self.now_ms >= read_ms + max_age_ms);
        if is_outdated == self.workers_list.is_outdated {
            return;
        }
        self.workers_list.is_outdated = is_outdated;
        for key in self.present.clone() {
            self.update_known_capacity(key);
        }
        self.needs_dispatch = true;
    }

    /// Brings up to date whether the capacity of a worker is known.
    pub(crate) fn update_known_capacity(&mut self, key: WorkerKey) {
        let is_list_outdated = self.workers_list.is_outdated;
        let pool = self.catalog.pools.get(&self.worker(key).info.pool);
        let is_enforced = pool.is_some_and(|pool| pool.enforces_capacity);
        let worker = self.worker_mut(key);
        let is_of_earlier = worker.listed_started_unix_ms < worker.info.started_unix_ms
            && worker.listed_started_unix_ms != 0;
        worker.is_capacity_unknown = !is_enforced && (is_list_outdated || is_of_earlier);
    }
}
