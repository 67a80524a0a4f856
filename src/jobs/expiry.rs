//! What becomes due by time alone: leases that have expired, workers that are gone, and stops that
//! have had no effect.

use crate::jobs::engine::Engine;
use crate::jobs::keys::{RunKey, WorkerKey};
use crate::jobs::lost_runs::LossReason;
use crate::jobs::polls::STOP_RETRY_MS;
use crate::jobs::watched_runs::WorkerFate;
use crate::jobs::worker::Slot;

/// Time after which an unlisted worker without runs is dropped, in milliseconds.
const UNLISTED_FORGET_MS: u64 = 300;
/// Time without an answer, in leases, after which the ends that a worker has not listed no longer
/// matter.
const SILENT_LEASES_COUNT: u64 = 2;

impl Engine {
    /// Drops the runs of workers whose leases have expired, and the workers that are gone.
    pub(crate) fn expire_leases(&mut self) {
        let now_ms = self.now_ms;
        for key in self.present_keys().collect::<Vec<_>>() {
            let worker = self.worker(key);
            let are_expired = self.has_passed_exclusively(worker.leases_expired_at_ms());
            if !worker.slots.is_empty() && are_expired {
                let over = |slot: &Slot| self.has_passed_exclusively(slot.may_start_until_ms);
                let slots = worker.slots.iter().filter(|(_, slot)| over(slot));
                let runs: Vec<RunKey> = slots.map(|(run, _)| *run).collect();
                if !runs.is_empty() {
                    self.lose_runs(key, runs, LossReason::LeaseExpired);
                }
            }
            self.forget_ends_of_silent(key);
            // Without a list entry and without runs, and with this leader's fence raised, nothing
            // runs there or can start.
            let worker = self.worker(key);
            let is_known = !self.may_have_unknown_runs(key);
            let is_gone = !worker.is_listed
                && worker.slots.is_empty()
                && is_known
                && now_ms > worker.unlisted_since_ms + UNLISTED_FORGET_MS;
            if is_gone {
                self.settle_inherited_runs(key, WorkerFate::Silent);
            }
            match (is_gone, self.worker(key).is_persisted) {
                (true, true) => self.forget_worker(key),
                // Its record is deleted or was never written. Ends of this worker that are not
                // acknowledged yet no longer matter.
                (true, false) if self.worker(key).awaited_batch.is_none() => {
                    self.present.swap_remove(&key);
                }
                _ => {}
            }
        }
    }

    /// Waits no longer for the ends at a worker that has not answered for so long that its leases have
    /// expired, and no other leader can have extended them.
    fn forget_ends_of_silent(&mut self, key: WorkerKey) {
        let worker = self.worker(key);
        let wait_ms = self.settings.run_lease_ms * SILENT_LEASES_COUNT;
        let is_over = worker
            .silent_since_ms
            .is_some_and(|since_ms| self.has_passed_exclusively(since_ms + wait_ms));
        if worker.has_more_ends && is_over {
            self.worker_mut(key).has_more_ends = false;
        }
    }

    /// Sends stops again that have had no effect yet.
    pub(crate) fn resend_stops(&mut self) {
        let retry_ms = self.settings.stop_ms + STOP_RETRY_MS;
        let mut due = Vec::new();
        for key in self.present_keys() {
            let worker = self.worker(key);
            let is_due =
                |slot: &Slot| slot.is_stopping && slot.stop_sent_ms + retry_ms < self.now_ms;
            let of_worker = worker.slots.iter().filter(|(_, slot)| is_due(slot));
            due.extend(of_worker.map(|(run, _)| (key, *run)));
        }
        for (key, run) in due {
            self.stop_run(key, run, "again");
        }
    }
}
