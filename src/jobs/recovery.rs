//! Failover: restoring the state that earlier leaders persisted.

use smol_str::SmolStr;

use crate::collections::IndexMap;
use crate::jobs::capacity::REVIEW_MS;
use crate::jobs::engine::{index, Engine};
use crate::jobs::keys::JobId;
use crate::jobs::progress::StoredProgress;
use crate::jobs::record::{JobRecord, Record, WorkerRecord};
use crate::jobs::requests::{Acceptance, Submission};
use crate::jobs::terms::JobTerms;
use crate::jobs::worker::WorkerInfo;
use crate::logging::Event;

/// How far the arrivals of restored jobs have been replayed.
#[derive(Default)]
struct RestoredArrivals {
    /// Whether the size of the fleet is known, in which the share of a team counts from the first job
    /// on.
    is_fleet_known: bool,
    /// Time up to which the demand has been reviewed, in milliseconds.
    reviewed_ms: u64,
}

impl Engine {
    /// Restores the state from all persisted records, in any order.
    pub fn restore(&mut self, records: Vec<Record>) {
        let mut progress: IndexMap<JobId, StoredProgress> = IndexMap::default();
        let mut records = records;
        // The forecast and the rates of teams need arrivals in the order of time, and a wave its
        // parts in their order.
        records.sort_by_key(|record| match record {
            Record::Job(_, record) => record.accepted_unix_ms,
            Record::WavePart(key, _) => u64::from(key.number),
            _ => 0,
        });
        let mut arrivals = RestoredArrivals::default();
        for record in records {
            match record {
                Record::Job(id, record) => self.restore_job(id, record, &mut arrivals),
                Record::Progress(id, record) => progress.entry(id).or_default().set_first(record),
                Record::ProgressPart(key, part) => {
                    progress
                        .entry(key.of)
                        .or_default()
                        .add_part(key.number, part);
                }
                Record::Worker(id, record) => self.restore_worker(id, record),
                Record::Wave(number, record) => self.restore_wave(number, record),
                Record::WavePart(key, done) => self.restore_wave_part(key.of, done),
                Record::Order(instance, number) => {
                    self.order_numbers.restore_last(instance, number);
                }
                Record::Orders(record) => self.order_numbers.restore_settled(record),
                Record::ForgetJob(_)
                | Record::ForgetProgressPart(_)
                | Record::ForgetWorker(_)
                | Record::ForgetOrder(_) => {}
            }
        }
        for (id, stored) in progress {
            self.restore_progress(id, &stored);
        }
        self.restore_pools();
        self.demand_cycle
            .catch_up(arrivals.reviewed_ms, self.now_ms, REVIEW_MS);
        Event::new("state_restored")
            .with("fence", self.settings.fence)
            .with("jobs_count", self.jobs.len())
            .with("live_count", self.live.len())
            .with("workers_count", self.present.len())
            .info();
        self.needs_dispatch = true;
    }

    fn restore_job(&mut self, id: JobId, record: JobRecord, arrivals: &mut RestoredArrivals) {
        if self.job_keys.contains_key(&id) {
            return;
        }
        let submission = Submission {
            id,
            queue: record.queue,
            team: record.team,
            spec: record.spec,
        };
        // Newer lists may have moved the queue since.
        let queue = self.catalog.queues.get(&submission.queue);
        let pool = queue.map_or(&record.pool, |queue| &queue.pool).clone();
        let acceptance = Acceptance {
            accepted_unix_ms: record.accepted_unix_ms,
            arrived_unix_ms: record.arrived_unix_ms.unwrap_or(record.accepted_unix_ms),
            is_over_rate: Some(record.is_over_rate),
            terms: record.terms.or_else(|| queue.map(JobTerms::of)),
        };
        self.review_until(record.accepted_unix_ms, arrivals);
        let key = self.add_job(submission, pool, acceptance);
        let job = self.job_mut(key);
        job.pools = vec![record.pool];
        job.is_persisted = true;
        job.is_inherited = true;
    }

    /// Brings the demand forecast up to the acceptance of the next restored job.
    fn review_until(&mut self, accepted_unix_ms: u64, arrivals: &mut RestoredArrivals) {
        let age_ms = self.unix_ms.saturating_sub(accepted_unix_ms);
        let accepted_ms = self.now_ms.saturating_sub(age_ms);
        self.demand_cycle
            .catch_up(arrivals.reviewed_ms, accepted_ms, REVIEW_MS);
        let steps_count = accepted_ms.saturating_sub(arrivals.reviewed_ms) / REVIEW_MS;
        arrivals.reviewed_ms += steps_count * REVIEW_MS;
        if !std::mem::replace(&mut arrivals.is_fleet_known, true) {
            self.refresh_fleet_size();
        }
    }

    /// Moves the restored jobs to the pools of the newest lists. Of a queue that these do not have, the
    /// last known pool stays.
    fn restore_pools(&mut self) {
        for key in self.live.clone() {
            let job = &mut self.jobs[index(key.0)];
            let queue = self.catalog.queues.get(&job.queue);
            let last = job.pools.last().unwrap_or(&job.pool).clone();
            let pool = queue.map_or(last, |queue| queue.pool.clone());
            if job.move_to(&pool) {
                self.mark_dirty(key);
            }
        }
    }

    fn restore_progress(&mut self, id: JobId, stored: &StoredProgress) {
        let Some(key) = self.job_keys.get(&id).copied() else {
            if !stored.has_first() {
                // The records of the job were deleted, but not all parts of its progress.
                stored
                    .forget_parts(id)
                    .for_each(|record| self.persist(record));
            }
            return;
        };
        let now_ms = self.now_ms;
        let job = self.job_mut(key);
        stored.apply(job);
        if job.state.is_final() {
            job.ended_ms = now_ms;
            self.live.swap_remove(&key);
            self.recurring.swap_remove(&key);
            self.ended.push_back(key);
            // The parts are no longer needed.
            if self.job(key).stored_parts_count > 0 {
                self.mark_dirty(key);
            }
        } else if stored.has_suspicions() {
            self.restore_suspicions(key);
        }
    }

    /// Logs for which pools the jobs of earlier leaders start to wait, or no longer wait, for workers
    /// that have not answered this leader.
    pub(crate) fn log_recovering_pools(&mut self) {
        let now_ms = self.now_ms;
        let is_over = !self.may_have_inherited_runs();
        for name in self.catalog.pools.keys() {
            let unseen_count = match self.free_capacity.pool(name) {
                Some(pool) if !is_over => pool.unseen_count(),
                _ => 0,
            };
            let is_known = self.recovering_pools.contains(name);
            match (unseen_count > 0, is_known) {
                (true, false) => {
                    self.recovering_pools.insert(name.clone());
                    Event::new("pool_recovering")
                        .with("pool", name)
                        .with("unseen_workers_count", unseen_count)
                        .info();
                }
                (false, true) => {
                    self.recovering_pools.swap_remove(name);
                    Event::new("pool_recovered")
                        .with("pool", name)
                        .with("after_ms", now_ms.saturating_sub(self.opened_ms))
                        .info();
                }
                _ => {}
            }
        }
    }

    fn restore_worker(&mut self, id: SmolStr, record: WorkerRecord) {
        let Ok(address) = record.address.parse() else {
            Event::new("record_unreadable")
                .with("worker", &id)
                .with("address", &record.address)
                .warn();
            return;
        };
        let info = WorkerInfo {
            id,
            started_unix_ms: 0,
            address,
            pool: record.pool,
            zone: record.zone,
            labels: record.labels,
            // A leader of an earlier version may have recorded any figure.
            capacity: record.capacity.bounded(),
            is_draining: false,
            cold_ms: 0,
            instance: None,
        };
        let key = self.add_worker(info);
        self.worker_mut(key).is_persisted = true;
        self.apply_evacuation(key);
    }
}
