//! Ended jobs: they are kept for some time, in which their state can be queried, and then dropped.

use crate::jobs::engine::Engine;
use crate::jobs::job::JobState;
use crate::jobs::keys::JobKey;
use crate::jobs::record::Record;

impl Engine {
    /// Ends a job in `state`: no more of its tasks are started, and its runs are stopped.
    pub(crate) fn end_job(&mut self, key: JobKey, state: JobState, reason: &'static str) {
        let now_ms = self.now_ms;
        self.stop_job(key, reason);
        let job = self.job_mut(key);
        job.state = state;
        job.ended_ms = now_ms;
        job.rounds = Vec::new();
        self.live.swap_remove(&key);
        self.recurring.swap_remove(&key);
        self.ended.push_back(key);
        self.tickets.forget(key);
        self.drop_place_waits(key);
        self.quarantine.forget_job(key);
        self.mark_dirty(key);
        self.needs_dispatch = true;
    }

    /// Drops the jobs whose retention time has passed.
    pub(crate) fn drop_ended_jobs(&mut self) {
        while let Some(key) = self.ended.front().copied() {
            let job = self.job(key);
            let is_expired = job.persisted_state.is_final()
                && self.now_ms >= job.ended_ms + self.settings.ended_retention_ms;
            if !is_expired || self.is_referenced(key) {
                break;
            }
            let id = job.id;
            self.ended.pop_front();
            self.job_keys.remove(&id);
            self.free_jobs.push(key);
            self.persist(Record::ForgetJob(id));
        }
    }

    /// Returns whether a run, an unsaved change or a record in flight refers to a job.
    fn is_referenced(&self, key: JobKey) -> bool {
        let in_flight = self.in_flight.as_ref();
        let is_in_flight = in_flight.is_some_and(|batch| batch.has_progress_of(key));
        let job = self.job(key);
        is_in_flight || job.is_dirty || job.runs_count > 0
    }
}
