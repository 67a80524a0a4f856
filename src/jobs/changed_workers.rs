//! Workers that have changed: their free capacity, and the times at which something about them becomes due
//! without any event.

use crate::jobs::engine::{index, Engine};
use crate::jobs::free_capacity::{Position, WorkerEntry};
use crate::jobs::keys::WorkerKey;
use crate::jobs::worker::PollState;

impl Engine {
    /// Marks that the free capacity of a worker, or the time of its next poll, may have changed.
    pub(crate) fn touch_worker(&mut self, key: WorkerKey) {
        let worker = &mut self.workers[index(key.0)];
        if !std::mem::replace(&mut worker.is_touched, true) {
            self.touched_workers.push(key);
        }
    }

    /// Brings the free capacity of all workers that have changed up to date.
    pub(crate) fn refresh_workers(&mut self) {
        while let Some((due_ms, key)) = self.worker_timers.first().copied() {
            if due_ms > self.now_ms {
                break;
            }
            self.worker_timers.pop_first();
            self.touch_worker(key);
        }
        for key in std::mem::take(&mut self.touched_workers) {
            self.workers[index(key.0)].is_touched = false;
            self.refresh_worker(key);
            self.poll_checks.push(key);
        }
    }

    /// Brings the free capacity of one worker up to date, and sets the timers for what changes
    /// without any event.
    pub(crate) fn refresh_worker(&mut self, key: WorkerKey) {
        let now_ms = self.now_ms;
        let worker = &self.workers[index(key.0)];
        let free_cpu_millis = worker
            .info
            .capacity
            .cpu_millis
            .saturating_sub(worker.used.cpu_millis);
        let position = Position {
            is_slow: worker.is_slow() || worker.is_cold(now_ms),
            is_without_long_running: worker.long_running_count == 0,
            free_cpu_millis,
            worker: key,
        };
        let entry = WorkerEntry {
            pool: worker.info.pool.clone(),
            rack: worker.rack.clone(),
            position: worker.takes_tasks(now_ms).then_some(position),
            unseen: worker
                .may_have_unseen_runs()
                .then_some(worker.largest_capacity),
            has_more_ends: worker.has_more_ends,
        };
        for due_ms in [
            worker.avoided_until_ms,
            worker.cold_until_ms,
            worker.next_start_ms,
        ] {
            if due_ms > now_ms {
                self.worker_timers.insert((due_ms, key));
            }
        }
        match worker.poll {
            PollState::Idle { due_ms } if due_ms > now_ms && due_ms < u64::MAX => {
                self.worker_timers.insert((due_ms, key));
            }
            _ => {}
        }
        let has_changed = self.free_capacity.update(key, entry);
        // Tasks may wait for this worker, or for one that it can replace.
        self.needs_dispatch |= has_changed && !self.place_waits.is_empty();
    }
}
