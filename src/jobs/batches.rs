//! Batches of records: what has changed is collected until the store has persisted the batch before.
//! Callers are answered, and ends and orders acknowledged or sent, once their batch is persisted.

use crate::jobs::engine::{index, job_mut, Engine, Settled};
use crate::jobs::job::{Job, JobState};
use crate::jobs::keys::{JobKey, WorkerKey};
use crate::jobs::progress::progress_records;
use crate::jobs::record::{JobRecord, Record, WorkerRecord};
use crate::jobs::spec::Size;
use crate::jobs::worker::{PollState, WorkerInfo};
use crate::logging::Event;

/// A job of which the progress is in flight to the store.
#[derive(Clone, Copy, Debug)]
struct Progressed {
    job: JobKey,
    /// State that its record holds.
    state: JobState,
    /// Number of pools that its records hold.
    pools_count: usize,
}

/// Records in flight to the store.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    number: u64,
    accepted: Vec<JobKey>,
    progressed: Vec<Progressed>,
    workers: Vec<WorkerKey>,
}

impl Batch {
    /// Returns whether it holds the progress of a job.
    pub(crate) fn has_progress_of(&self, job: JobKey) -> bool {
        let mut progressed = self.progressed.iter();
        progressed.any(|progressed| progressed.job == job)
    }
}

impl Engine {
    /// Returns whether there are records to persist.
    pub fn has_records(&self) -> bool {
        !self.new_jobs.is_empty()
            || !self.dirty_jobs.is_empty()
            || !self.new_workers.is_empty()
            || !self.other_records.is_empty()
    }

    /// Takes the pending records, unless an earlier batch is still in flight.
    pub fn take_records(&mut self) -> Option<Vec<Record>> {
        if self.in_flight.is_some() || !self.has_records() {
            return None;
        }
        let value_max_bytes = self.settings.value_max_bytes();
        let mut records = std::mem::take(&mut self.other_records);
        let mut batch = Batch {
            number: self.next_batch,
            accepted: std::mem::take(&mut self.new_jobs),
            progressed: Vec::new(),
            workers: std::mem::take(&mut self.new_workers),
        };
        self.next_batch += 1;
        for key in &batch.accepted {
            let job = &self.jobs[index(key.0)];
            records.push(Record::Job(job.id, job_record(job)));
        }
        for key in std::mem::take(&mut self.dirty_jobs) {
            let job = job_mut(&mut self.jobs, key);
            job.is_dirty = false;
            batch.progressed.push(Progressed {
                job: key,
                state: job.state,
                pools_count: job.pools.len(),
            });
            let (progress, parts_count) = progress_records(job, value_max_bytes);
            records.extend(progress);
            job.stored_parts_count = parts_count;
        }
        for key in &batch.workers {
            let worker = &self.workers[index(key.0)];
            let record = worker_record(&worker.info, worker.largest_capacity);
            records.push(Record::Worker(worker.info.id.clone(), record));
        }
        self.in_flight = Some(batch);
        Some(records)
    }

    /// Marks the batch in flight as persisted, and returns the results that this confirms for
    /// callers.
    pub fn records_persisted(&mut self) -> Vec<Settled> {
        let Some(batch) = self.in_flight.take() else {
            return Vec::new();
        };
        let mut settled = Vec::new();
        for key in batch.accepted {
            let job = self.job_mut(key);
            job.is_persisted = true;
            settled.push(Settled::Accepted(job.id));
        }
        for progressed in batch.progressed {
            let state = progressed.state;
            let job = job_mut(&mut self.jobs, progressed.job);
            job.persisted_state = state;
            job.persisted_pools_count = progressed.pools_count;
            let id = job.id;
            if state.is_final() {
                settled.push(Settled::Ended(id));
            }
            if matches!(state, JobState::Complete | JobState::Failed) {
                Event::new("job_ended")
                    .with("job", id)
                    .with("state", state)
                    .info();
            }
        }
        for key in batch.workers {
            self.worker_mut(key).is_persisted = true;
            self.present.insert(key);
        }
        self.acknowledge_ends(batch.number);
        self.send_held_orders(batch.number);
        self.send_held_starts(batch.number);
        self.needs_dispatch = true;
        settled
    }

    /// Allows the acknowledgement of the ends whose records are in the batches up to `number`.
    fn acknowledge_ends(&mut self, number: u64) {
        for key in std::mem::take(&mut self.awaiting_workers) {
            let worker = self.worker_mut(key);
            match worker.awaited_batch {
                Some(awaited) if awaited <= number => {
                    worker.awaited_batch = None;
                    worker.persisted_through = worker.seen_through;
                    if let PollState::Idle { due_ms } = &mut worker.poll {
                        *due_ms = worker.next_poll_ms;
                    }
                }
                Some(_) => {
                    self.awaiting_workers.insert(key);
                }
                None => {}
            }
        }
    }

    /// Returns the number of the batch that will hold the records added now.
    pub(crate) fn next_batch_number(&self) -> u64 {
        self.next_batch
    }

    /// Delays the acknowledgement of a worker's ends until the records added now are persisted.
    pub(crate) fn persist_before_ack(&mut self, key: WorkerKey) {
        let batch = self.next_batch;
        self.worker_mut(key).awaited_batch = Some(batch);
        self.awaiting_workers.insert(key);
    }

    /// Delays the acknowledgement of a worker's ends until the present progress of a job is persisted.
    pub(crate) fn persist_progress_before_ack(&mut self, key: WorkerKey, job: JobKey) {
        let in_flight = self.in_flight.as_ref();
        let batch = match in_flight.filter(|batch| batch.has_progress_of(job)) {
            _ if self.job(job).is_dirty => Some(self.next_batch),
            Some(batch) => Some(batch.number),
            None => return,
        };
        let worker = self.worker_mut(key);
        worker.awaited_batch = worker.awaited_batch.max(batch);
        self.awaiting_workers.insert(key);
    }

    /// Queues the record of an accepted job.
    pub(crate) fn persist_new_job(&mut self, key: JobKey) {
        self.new_jobs.push(key);
    }

    /// Queues the record of a worker; tasks are started on the worker once it is persisted.
    pub(crate) fn persist_worker(&mut self, key: WorkerKey) {
        self.new_workers.push(key);
    }

    /// Queues the deletion of a worker's record. Nothing may run on the worker, and no task is
    /// started there until it is recorded again.
    pub(crate) fn forget_worker(&mut self, key: WorkerKey) {
        let worker = self.worker_mut(key);
        worker.is_persisted = false;
        let id = worker.info.id.clone();
        // The deletion follows a record of the worker that is on its way.
        self.new_workers.retain(|known| *known != key);
        if let Some(batch) = &mut self.in_flight {
            batch.workers.retain(|known| *known != key);
        }
        self.persist(Record::ForgetWorker(id));
    }

    /// Queues a record for the next batch.
    pub(crate) fn persist(&mut self, record: Record) {
        self.other_records.push(record);
    }
}

fn job_record(job: &Job) -> JobRecord {
    JobRecord {
        spec: (*job.spec).clone(),
        queue: job.queue.clone(),
        pool: job.pools.first().unwrap_or(&job.pool).clone(),
        team: job.team.clone(),
        accepted_unix_ms: job.accepted_unix_ms,
        arrived_unix_ms: (job.arrived_unix_ms != job.accepted_unix_ms)
            .then_some(job.arrived_unix_ms),
        is_over_rate: job.is_over_rate,
        terms: job.terms,
    }
}

fn worker_record(info: &WorkerInfo, capacity: Size) -> WorkerRecord {
    WorkerRecord {
        address: smol_str::format_smolstr!("{}", info.address),
        pool: info.pool.clone(),
        zone: info.zone.clone(),
        labels: info.labels.clone(),
        capacity,
    }
}
