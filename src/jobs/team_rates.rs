//! Rates of teams. The weight of a team in the lists is the number of jobs per second that it bought,
//! and its share of the fleet when everything is full. Each team has two token buckets: one refills
//! with jobs at its weight, the other with work at its share of the fleet. A job that finds a token in
//! both when it is accepted is within the rate of its team; one that does not is over it and takes
//! nothing, so that a team has no debt after a peak. The buckets follow from the acceptance times of
//! the jobs and from the size of the fleet, so that a new leader rebuilds them from the persisted
//! jobs.

use std::collections::HashMap;

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::jobs::catalog::Team;
use crate::jobs::engine::Engine;
use crate::jobs::job::Job;
use crate::jobs::keys::WorkerKey;
use crate::jobs::spec::{JobSpec, Size, StepSpec};

/// A job, in the unit of its bucket. At this size a rate in thousandths of a job per second is a
/// whole number of units in a millisecond.
const JOB_TOKEN: u64 = 1_000_000;
/// Refill of a rate of one job per second, in units per millisecond.
const JOB_REFILL_PER_MS: f64 = 1_000.0;
/// Time over which a bucket of jobs fills, in milliseconds.
const JOBS_FILL_MS: u64 = 1_000;
/// Time over which a bucket of work fills, in milliseconds. Jobs differ in size, so that their work
/// is less even than their number.
const WORK_FILL_MS: u64 = 2_000;

/// Token bucket.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: u64,
    /// Time up to which it is refilled, in Unix milliseconds.
    refilled_unix_ms: u64,
}

impl Bucket {
    /// Returns the bucket, full if it is new, as it is at `at_unix_ms`. A clock that goes back, as it
    /// may with a new leader, refills nothing until it advances again.
    fn refilled(bucket: Option<&Self>, refill_per_ms: u64, most: u64, at_unix_ms: u64) -> Self {
        let tokens = bucket.map_or(most, |bucket| {
            let passed_ms = at_unix_ms.saturating_sub(bucket.refilled_unix_ms);
            let refill = refill_per_ms.saturating_mul(passed_ms);
            bucket.tokens.saturating_add(refill).min(most)
        });
        Self {
            tokens,
            refilled_unix_ms: at_unix_ms,
        }
    }
}

/// What a team bought.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rate {
    /// Jobs per second.
    pub(crate) weight: f64,
    /// Its share of the fleet, in thousandths of a core; `None` while the fleet is not known.
    share_cpu_millis: Option<u64>,
}

/// The buckets of a team.
#[derive(Clone, Copy, Debug)]
struct Buckets {
    jobs: Bucket,
    /// Work, in thousandths of a core times milliseconds.
    work: Bucket,
}

/// Token buckets of all teams with a weight.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamRates {
    buckets: HashMap<SmolStr, Buckets>,
    /// Capacity of all instances, standby ones included.
    fleet: Size,
}

impl TeamRates {
    /// Returns whether a job of a team with this rate would find its tokens.
    pub(crate) fn has_token(&self, team: &SmolStr, rate: Rate, at_unix_ms: u64) -> bool {
        self.refilled(team, rate, at_unix_ms).has_token(rate)
    }

    /// Takes the tokens for a job of `work`; returns whether there were any. The last tokens are
    /// enough for a job of any size, so that a small team can have large jobs.
    pub(crate) fn take(&mut self, team: &SmolStr, rate: Rate, work: u64, at_unix_ms: u64) -> bool {
        let is_found = self.has_token(team, rate, at_unix_ms);
        self.restore(team, rate, work, at_unix_ms, is_found);
        is_found
    }

    /// Takes the tokens for a job of `work` that was within the rate, if it was.
    fn restore(
        &mut self,
        team: &SmolStr,
        rate: Rate,
        work: u64,
        at_unix_ms: u64,
        is_within_rate: bool,
    ) {
        let mut buckets = self.refilled(team, rate, at_unix_ms);
        if is_within_rate {
            buckets.jobs.tokens = buckets.jobs.tokens.saturating_sub(JOB_TOKEN);
            buckets.work.tokens = buckets.work.tokens.saturating_sub(work);
        }
        self.buckets.insert(team.clone(), buckets);
    }

    fn refilled(&self, team: &SmolStr, rate: Rate, at_unix_ms: u64) -> Buckets {
        let known = self.buckets.get(team);
        let jobs_per_ms = job_refill_per_ms(rate.weight);
        // A bucket that holds less than a token would never let a slow team have one.
        let jobs_most = jobs_per_ms.saturating_mul(JOBS_FILL_MS).max(JOB_TOKEN);
        let work_per_ms = rate.share_cpu_millis.unwrap_or(0);
        let work_most = work_per_ms.saturating_mul(WORK_FILL_MS);
        let jobs = known.map(|buckets| &buckets.jobs);
        let work = known.map(|buckets| &buckets.work);
        Buckets {
            jobs: Bucket::refilled(jobs, jobs_per_ms, jobs_most, at_unix_ms),
            work: Bucket::refilled(work, work_per_ms, work_most, at_unix_ms),
        }
    }

    /// Drops the buckets of teams that are no longer listed.
    pub(crate) fn retain_teams(&mut self, teams: &IndexMap<SmolStr, Team>) {
        self.buckets.retain(|team, _| teams.contains_key(team));
    }
}

impl Buckets {
    fn has_token(&self, rate: Rate) -> bool {
        let has_work = rate.share_cpu_millis.is_none() || self.work.tokens > 0;
        self.jobs.tokens >= JOB_TOKEN && has_work
    }
}

// Weights are small positive numbers.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::as_conversions
)]
fn job_refill_per_ms(weight: f64) -> u64 {
    ((weight * JOB_REFILL_PER_MS).round() as u64).max(1)
}

// The capacity of a fleet is far below the 2^52 that a float represents exactly.
#[allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::as_conversions
)]
fn share_of(fleet_cpu_millis: u64, weight: f64, weights: f64) -> u64 {
    (fleet_cpu_millis as f64 * weight / weights) as u64
}

impl Engine {
    /// Returns the weight of a team that bought a rate, or `None` if jobs of the team are always
    /// within the rate.
    pub(crate) fn bought_rate(&self, team: &SmolStr) -> Option<f64> {
        let weight = self.catalog.teams.get(team)?.weight;
        (weight > 0.0).then_some(weight)
    }

    /// Returns the rate that counts for a job, or `None` if the job takes no token: long-running and
    /// recurring jobs are always within the rate.
    pub(crate) fn rate_for(&self, team: &SmolStr, spec: &JobSpec) -> Option<Rate> {
        if spec.is_long_running() || spec.recurrence.is_some() {
            return None;
        }
        let weight = self.bought_rate(team)?;
        let weights: f64 = self.catalog.teams.values().map(|team| team.weight).sum();
        let fleet_cpu_millis = self.team_rates.fleet.cpu_millis;
        let share_cpu_millis = share_of(fleet_cpu_millis, weight, weights);
        Some(Rate {
            weight,
            share_cpu_millis: (share_cpu_millis > 0).then_some(share_cpu_millis),
        })
    }

    /// Takes the tokens for a job that was accepted at `accepted_unix_ms`; returns whether the job is
    /// over the rate of its team.
    pub(crate) fn take_token(
        &mut self,
        team: &SmolStr,
        queue: &SmolStr,
        spec: &JobSpec,
        accepted_unix_ms: u64,
    ) -> bool {
        let Some(rate) = self.rate_for(team, spec) else {
            return false;
        };
        let work = self.dominant_work(queue, spec);
        !self.team_rates.take(team, rate, work, accepted_unix_ms)
    }

    /// Takes the tokens that an earlier leader took for a job. Its records tell which jobs were over
    /// the rate, since this leader does not know how large the fleet was.
    pub(crate) fn restore_token(&mut self, job: &Job, is_over_rate: bool) {
        let Some(rate) = self.rate_for(&job.team, &job.spec) else {
            return;
        };
        let work = self.dominant_work(&job.queue, &job.spec);
        let at_unix_ms = job.accepted_unix_ms;
        self.team_rates
            .restore(&job.team, rate, work, at_unix_ms, !is_over_rate);
    }

    /// Returns the work of a job in processor time, or its work in memory if that is the larger part
    /// of the fleet, in thousandths of a core times milliseconds.
    fn dominant_work(&self, queue: &SmolStr, spec: &JobSpec) -> u64 {
        let run_ms = |step: &StepSpec| self.run_times.expected_ms(queue, step);
        let (cpu_work, memory_work) = spec.work_ms(run_ms);
        let fleet = &self.team_rates.fleet;
        let memory_part = u128::from(memory_work) * u128::from(fleet.cpu_millis)
            / u128::from(fleet.memory_mb.max(1));
        cpu_work.max(u64::try_from(memory_part).unwrap_or(u64::MAX))
    }

    /// Updates the size of the fleet: all listed instances, or before the first list all workers that
    /// are known.
    pub(crate) fn refresh_fleet_size(&mut self) {
        let mut fleet = Size::default();
        match self.instances.is_list_read {
            true => {
                let rows = self.instances.rows.values();
                rows.for_each(|row| fleet.add(&row.info.capacity));
            }
            false => {
                let known: Vec<WorkerKey> = self.present_keys().collect();
                let workers = known.into_iter().map(|key| self.worker(key));
                workers.for_each(|worker| fleet.add(&worker.info.capacity));
            }
        }
        self.team_rates.fleet = fleet;
    }
}
