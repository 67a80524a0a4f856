//! Updates from the platform's list of workers.

use smol_str::SmolStr;

use crate::jobs::engine::Engine;
use crate::jobs::keys::WorkerKey;
use crate::jobs::worker::{PollState, Worker, WorkerInfo};
use crate::logging::Event;

impl Engine {
    /// Adds a worker, unless one with its id is known; returns its key.
    pub(crate) fn add_worker(&mut self, info: WorkerInfo) -> WorkerKey {
        if let Some(key) = self.worker_keys.get(&info.id) {
            return *key;
        }
        let key = WorkerKey(u32::try_from(self.workers.len()).unwrap_or(u32::MAX));
        self.worker_keys.insert(info.id.clone(), key);
        self.workers.push(Worker::open(info, self.now_ms));
        self.present.insert(key);
        key
    }

    /// Applies a worker's entry in the platform's list.
    pub fn worker_listed(&mut self, info: WorkerInfo, now_ms: u64) {
        self.now_ms = now_ms.max(self.now_ms);
        let known = self.worker_keys.get(&info.id).copied();
        let key = known.unwrap_or_else(|| self.add_worker(info.clone()));
        let worker = self.worker(key);
        if worker.is_outdated_entry(&info) {
            return;
        }
        let started_unix_ms = worker.info.started_unix_ms;
        let is_restarted =
            worker.info.started_unix_ms != 0 && info.started_unix_ms > worker.info.started_unix_ms;
        let is_change = !worker.is_listed
            || worker.info.is_draining != info.is_draining
            || worker.info.pool != info.pool
            || worker.info.address != info.address
            || worker.info.capacity != info.capacity;
        let needs_record = !worker.is_persisted && !worker.is_listed;
        let largest_capacity = worker.largest_capacity.max(&info.capacity);
        let needs_new_record = worker.is_persisted
            && (worker.info.address != info.address
                || worker.info.pool != info.pool
                || worker.largest_capacity != largest_capacity);
        if is_change || is_restarted {
            Event::new("worker_listed")
                .with("worker", &info.id)
                .with("pool", &info.pool)
                .with("address", info.address)
                .with("is_draining", info.is_draining)
                .with("cpu_millis", info.capacity.cpu_millis)
                .with("memory_mb", info.capacity.memory_mb)
                .with("is_new_life", is_restarted)
                .info();
            self.needs_dispatch = true;
        }
        self.present.insert(key);
        let worker = self.worker_mut(key);
        worker.is_listed = true;
        worker.is_removed = false;
        worker.has_ended = false;
        if worker.listed_ms == 0 {
            worker.listed_ms = now_ms;
        }
        if info.cold_ms > 0 {
            worker.cold_until_ms = now_ms + info.cold_ms;
        }
        worker.largest_capacity = largest_capacity;
        worker.listed_started_unix_ms = info.started_unix_ms;
        worker.info = info;
        worker.info.started_unix_ms = worker.info.started_unix_ms.max(started_unix_ms);
        if is_restarted {
            // The first poll of the new incarnation shows which runs are lost.
            worker.info.started_unix_ms = started_unix_ms;
            worker.is_fenced = false;
            if let PollState::Idle { due_ms } = &mut worker.poll {
                *due_ms = 0;
            }
        } else if !worker.is_fenced {
            if let PollState::Idle { due_ms: u64::MAX } = worker.poll {
                worker.poll = PollState::Idle { due_ms: 0 };
            }
        }
        self.note_instance(key);
        self.apply_evacuation(key);
        self.update_known_capacity(key);
        if needs_new_record || (needs_record && self.worker(key).is_fenced) {
            self.persist_worker(key);
        }
    }

    /// Adds a worker to those of the instance that its entry names, and drops those that are gone.
    fn note_instance(&mut self, key: WorkerKey) {
        let Some(instance) = self.worker(key).info.instance.clone() else {
            return;
        };
        let workers = self.instance_workers.entry(instance).or_default();
        if !workers.contains(&key) {
            workers.retain(|known| self.present.contains(known));
            workers.push(key);
        }
    }

    /// Handles the removal of a worker from the platform's list.
    pub fn worker_unlisted(&mut self, id: &SmolStr, now_ms: u64) {
        self.now_ms = now_ms.max(self.now_ms);
        let Some(key) = self.worker_keys.get(id).copied() else {
            return;
        };
        let worker = self.worker_mut(key);
        if !worker.is_listed {
            return;
        }
        worker.is_listed = false;
        worker.unlisted_since_ms = now_ms;
        let event = Event::new("worker_unlisted")
            .with("worker", id)
            .with("runs_count", worker.slots.len());
        worker.with_lease_left(event, now_ms).info();
    }
}
