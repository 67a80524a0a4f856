//! Failover: restoring the state that earlier leaders persisted; and updates from the platform's
//! list of workers.

use smol_str::SmolStr;

use crate::collections::IndexMap;
use crate::jobs::capacity::REVIEW_MS;
use crate::jobs::engine::{index, Engine};
use crate::jobs::keys::{JobId, WorkerKey};
use crate::jobs::progress::StoredProgress;
use crate::jobs::record::{Record, WorkerRecord};
use crate::jobs::requests::{Acceptance, Submission};
use crate::jobs::terms::JobTerms;
use crate::jobs::worker::{PollState, Worker, WorkerInfo};
use crate::logging::Event;

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
        // The share of a team in the fleet counts from the first job on.
        let mut is_fleet_known = false;
        let mut reviewed_ms = 0;
        for record in records {
            match record {
                Record::Job(id, record) => {
                    if self.job_keys.contains_key(&id) {
                        continue;
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
                    let terms = record.terms.or_else(|| queue.map(JobTerms::of));
                    let age_ms = self.unix_ms.saturating_sub(record.accepted_unix_ms);
                    let accepted_ms = self.now_ms.saturating_sub(age_ms);
                    self.demand_cycle
                        .catch_up(reviewed_ms, accepted_ms, REVIEW_MS);
                    let steps_count = accepted_ms.saturating_sub(reviewed_ms) / REVIEW_MS;
                    reviewed_ms += steps_count * REVIEW_MS;
                    if !std::mem::replace(&mut is_fleet_known, true) {
                        self.refresh_fleet_size();
                    }
                    let acceptance = Acceptance {
                        accepted_unix_ms: record.accepted_unix_ms,
                        arrived_unix_ms: record.arrived_unix_ms.unwrap_or(record.accepted_unix_ms),
                        is_over_rate: Some(record.is_over_rate),
                        terms,
                    };
                    let key = self.add_job(submission, pool, acceptance);
                    let job = self.job_mut(key);
                    job.pools = vec![record.pool];
                    job.is_persisted = true;
                    job.is_inherited = true;
                }
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
            .catch_up(reviewed_ms, self.now_ms, REVIEW_MS);
        Event::new("state_restored")
            .with("fence", self.settings.fence)
            .with("jobs_count", self.jobs.len())
            .with("live_count", self.live.len())
            .with("workers_count", self.present.len())
            .info();
        self.needs_dispatch = true;
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
        let is_over = now_ms >= self.inherited_runs_end_at_ms();
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

    fn add_worker(&mut self, info: WorkerInfo) -> WorkerKey {
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
        self.apply_evacuation(key);
        self.update_known_capacity(key);
        if needs_new_record || (needs_record && self.worker(key).is_fenced) {
            self.persist_worker(key);
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
