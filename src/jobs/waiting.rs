//! The jobs that wait for capacity, by pool, in the order of [`ranking`](crate::jobs::ranking). The
//! engine updates the place of a job whenever the job changes, or becomes late by time alone, in
//! O(log n), so that a pass over a pool visits only jobs with a task that might fit.

use std::collections::{BTreeMap, BTreeSet};

use smol_str::SmolStr;

use crate::collections::HashMap;
use crate::jobs::engine::Engine;
use crate::jobs::job::Job;
use crate::jobs::keys::JobKey;
use crate::jobs::ranking::{in_time_until_ms, rank, Rank};

/// Place of a waiting job.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Place {
    pool: SmolStr,
    rank: Rank,
    /// Least processor time that one of its tasks needs, in thousandths of a core.
    least_cpu_millis: u64,
    /// Time at which its rank changes without any event, in milliseconds.
    changes_ms: Option<u64>,
}

impl Place {
    /// Returns the place of a job at `now_ms`, or `None` if it has no task to start.
    fn of(job: &Job, now_ms: u64) -> Option<Self> {
        if !job.is_persisted {
            return None;
        }
        let rank = rank(job, now_ms)?;
        let late_ms = in_time_until_ms(job) + 1;
        Some(Self {
            pool: job.pool.clone(),
            rank,
            least_cpu_millis: job.least_startable_cpu_millis()?,
            changes_ms: (late_ms > now_ms && !job.spec.is_long_running()).then_some(late_ms),
        })
    }
}

/// All waiting jobs.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitingJobs {
    /// Least processor time that a task of each job needs, by pool and place.
    pools: HashMap<SmolStr, BTreeMap<(Rank, JobKey), u64>>,
    /// Times at which the rank of a job changes without any event.
    changes: BTreeSet<(u64, JobKey)>,
}

impl WaitingJobs {
    fn insert(&mut self, job: JobKey, place: &Place) {
        let pool = self.pools.entry(place.pool.clone()).or_default();
        pool.insert((place.rank, job), place.least_cpu_millis);
        if let Some(changes_ms) = place.changes_ms {
            self.changes.insert((changes_ms, job));
        }
    }

    fn remove(&mut self, job: JobKey, place: &Place) {
        if let Some(pool) = self.pools.get_mut(&place.pool) {
            pool.remove(&(place.rank, job));
        }
        if let Some(changes_ms) = place.changes_ms {
            self.changes.remove(&(changes_ms, job));
        }
    }

    /// Returns the number of waiting jobs of a pool.
    pub(crate) fn count(&self, pool: &SmolStr) -> usize {
        self.pools.get(pool).map_or(0, BTreeMap::len)
    }

    /// Returns the waiting jobs of a pool that go before a job, in their order.
    pub(crate) fn ahead(&self, pool: &SmolStr, rank: Rank, job: JobKey) -> Vec<JobKey> {
        let pool = self.pools.get(pool);
        let ahead = pool.map(|pool| pool.range(..(rank, job)));
        ahead
            .into_iter()
            .flatten()
            .map(|((_, job), _)| *job)
            .collect()
    }

    /// Takes a job whose rank has changed by time alone.
    fn take_changed(&mut self, now_ms: u64) -> Option<JobKey> {
        let (changes_ms, job) = self.changes.first().copied()?;
        (changes_ms <= now_ms).then(|| {
            self.changes.pop_first();
            job
        })
    }
}

impl Engine {
    /// Brings the places of all jobs that have changed up to date.
    pub(crate) fn refresh_waiting_jobs(&mut self) {
        while let Some(key) = self.waiting_jobs.take_changed(self.now_ms) {
            self.touch_job(key);
        }
        for key in std::mem::take(&mut self.touched_jobs) {
            self.refresh_waiting_job(key);
        }
    }

    fn refresh_waiting_job(&mut self, key: JobKey) {
        let now_ms = self.now_ms;
        let job = &mut self.jobs[crate::jobs::engine::index(key.0)];
        job.is_touched = false;
        let place = Place::of(job, now_ms);
        if job.place == place {
            // The time of a change was taken from the set before.
            if let Some(place) = &place {
                self.waiting_jobs.insert(key, place);
            }
            return;
        }
        if let Some(before) = std::mem::replace(&mut job.place, place.clone()) {
            self.waiting_jobs.remove(key, &before);
        }
        if let Some(place) = &place {
            self.waiting_jobs.insert(key, place);
        }
    }

    /// Returns the jobs with a task that fits the free processor time of some worker of their pool,
    /// in their order.
    pub(crate) fn jobs_that_may_start(&self) -> Vec<JobKey> {
        let mut jobs = Vec::new();
        for (name, pool) in &self.waiting_jobs.pools {
            let capacity = self.free_capacity.pool(name);
            let Some(most) = capacity.and_then(|pool| pool.most_free_cpu_millis()) else {
                continue;
            };
            let may_fit = pool.iter().filter(|(_, least)| **least <= most);
            jobs.extend(may_fit.map(|(place, _)| *place));
        }
        // Each pool's part is sorted already, which a stable sort makes use of.
        jobs.sort();
        jobs.into_iter().map(|(_, job)| job).collect()
    }
}
