//! Admission control. A job over the rate of its team is refused if its pool cannot complete it by
//! its target: if the pool's running and queued work, at the rate of the instances present and
//! arriving, leaves no time for the job's chain of run times. The work and the rate come from the
//! plan of the pools (see [`feasibility`](crate::jobs::feasibility)); work accepted since is added.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::jobs::engine::Engine;
use crate::jobs::keys::{JobId, JobKey};
use crate::jobs::requests::Submission;
use crate::jobs::spec::{JobSpec, StepSpec};
use crate::logging::Event;

/// Part of the difference to a new forecast error by which the mean error changes, as a divisor.
const MEAN_DIVISOR: i64 = 8;
/// Bounds of one forecast error, in thousandths of the forecast, so that a straggler does not
/// dominate the mean.
const ERROR_BOUNDS_PERMILLE: (i64, i64) = (-500, 500);
/// Time without a new forecast error after which the margin halves, in milliseconds. A margin that
/// refuses all jobs would get no further errors to learn from.
const MARGIN_HALVES_MS: u64 = 2_000;
/// Longest backlog that `Retry-After` states, in seconds; the jitter comes on top of it.
const RETRY_BASE_MAX_S: u64 = 3;
/// Number of seconds over which the retries of refused callers are spread.
const RETRY_SPREAD_S: u64 = 3;
/// Time for which a refused id keeps its first arrival, in milliseconds.
const REFUSED_RETENTION_MS: u64 = 5_000;
/// Most refused ids that keep their first arrival.
const REFUSED_MAX_COUNT: usize = 4_096;

/// Bound of a time in the error of a forecast, in milliseconds, so that no product overflows.
const TIME_MAX_MS: u64 = 1 << 50;

/// What a pool can do and has to do.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PoolOutlook {
    /// Capacity for tasks that are not long-running, in thousandths of a core.
    pub(crate) rate: u64,
    /// Work that running tasks have left and that has not started yet, in thousandths of a core
    /// times milliseconds.
    pub(crate) work: u64,
    /// Capacity that running tasks and those that could start take, in thousandths of a core.
    pub(crate) demand_cpu_millis: u64,
}

impl PoolOutlook {
    /// Returns whether tasks of this total size can start without waiting for others.
    fn has_room(&self, cpu_millis: u64) -> bool {
        self.work == 0 || self.demand_cpu_millis + cpu_millis <= self.rate
    }

    /// Returns the time that the pool needs for `work`, in milliseconds.
    fn time_ms(&self, work: u64) -> u64 {
        work / self.rate.max(1)
    }
}

/// Errors of the earlier forecasts of one pool, in thousandths of the forecast times.
#[derive(Clone, Copy, Debug, Default)]
struct ForecastError {
    mean_permille: i64,
    observed_ms: u64,
}

impl ForecastError {
    fn observe(&mut self, forecast_ms: u64, took_ms: u64, now_ms: u64) {
        let signed = |time_ms: u64| i64::try_from(time_ms.min(TIME_MAX_MS)).unwrap_or(0);
        let late_ms = signed(took_ms) - signed(forecast_ms);
        let error_permille = late_ms * 1_000 / signed(forecast_ms).max(1);
        let error_permille = error_permille.clamp(ERROR_BOUNDS_PERMILLE.0, ERROR_BOUNDS_PERMILLE.1);
        self.mean_permille += (error_permille - self.mean_permille) / MEAN_DIVISOR;
        self.observed_ms = now_ms;
    }

    /// Returns the margin for a forecast, in milliseconds; none if earlier forecasts were too high.
    fn margin_ms(&self, forecast_ms: u64, now_ms: u64) -> u64 {
        let halvings = now_ms.saturating_sub(self.observed_ms) / MARGIN_HALVES_MS;
        let permille = u64::try_from(self.mean_permille).unwrap_or(0) >> halvings.min(16);
        forecast_ms.saturating_mul(permille) / 1_000
    }
}

/// First arrivals of refused ids, the oldest first.
#[derive(Clone, Debug, Default)]
struct RefusedIds {
    arrivals: HashMap<JobId, u64>,
    order: VecDeque<(u64, JobId)>,
}

impl RefusedIds {
    /// Returns the time at which the id first arrived, in Unix milliseconds, if it was refused
    /// lately.
    fn first_arrival(&self, id: JobId, unix_ms: u64) -> Option<u64> {
        let arrived_unix_ms = self.arrivals.get(&id).copied()?;
        (unix_ms < arrived_unix_ms + REFUSED_RETENTION_MS).then_some(arrived_unix_ms)
    }

    fn record(&mut self, id: JobId, unix_ms: u64) {
        while let Some((arrived_unix_ms, oldest)) = self.order.front().copied() {
            let is_expired = unix_ms >= arrived_unix_ms + REFUSED_RETENTION_MS;
            if !is_expired && self.order.len() < REFUSED_MAX_COUNT {
                break;
            }
            self.order.pop_front();
            if self.arrivals.get(&oldest) == Some(&arrived_unix_ms) {
                self.arrivals.remove(&oldest);
            }
        }
        if let Entry::Vacant(entry) = self.arrivals.entry(id) {
            entry.insert(unix_ms);
            self.order.push_back((unix_ms, id));
        }
    }
}

/// State of admission control.
#[derive(Clone, Debug, Default)]
pub(crate) struct Admission {
    outlooks: IndexMap<SmolStr, PoolOutlook>,
    /// Starts that this leader has to carry out, in thousandths; none if it keeps up with them.
    starts: Option<PoolOutlook>,
    planned_ms: u64,
    errors: HashMap<SmolStr, ForecastError>,
    refused: RefusedIds,
    /// Jobs over the rate that were accepted since the count was last taken.
    accepted_over_rate_count: u64,
}

impl Admission {
    /// Replaces what is known of the pools, and of the leader's own work, by the results of a plan.
    pub(crate) fn planned(
        &mut self,
        outlooks: IndexMap<SmolStr, PoolOutlook>,
        starts: Option<PoolOutlook>,
        now_ms: u64,
    ) {
        self.starts = starts;
        self.errors.retain(|pool, _| outlooks.contains_key(pool));
        self.outlooks = outlooks;
        self.planned_ms = now_ms;
    }

    /// Returns the time at which a submission first arrived, in Unix milliseconds.
    pub(crate) fn first_arrival(&self, id: JobId, unix_ms: u64) -> u64 {
        self.refused.first_arrival(id, unix_ms).unwrap_or(unix_ms)
    }
}

/// Expected course of a submitted job in its pool.
#[derive(Clone, Copy, Debug)]
struct Forecast {
    has_room: bool,
    /// Time until the pool is done with its present work, in milliseconds.
    backlog_ms: u64,
    chain_ms: u64,
    /// Time until the job is complete, in milliseconds.
    total_ms: u64,
}

/// Why a submission is refused.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OverRateRefusal {
    forecast: Forecast,
    margin_ms: u64,
    target_in_ms: u64,
    waited_ms: u64,
    retry_after_s: u64,
}

impl Engine {
    /// Refuses a submission over the rate of its team that the pool cannot complete by its target;
    /// returns the time after which to retry, in seconds, if it is refused.
    pub(crate) fn refuse_over_rate(
        &mut self,
        submission: &Submission,
        pool: &SmolStr,
    ) -> Option<u64> {
        let refusal = self.over_rate_refusal(submission, pool)?;
        let Submission {
            id, queue, team, ..
        } = submission;
        self.admission.refused.record(*id, self.unix_ms);
        let backlog_age_ms = self.now_ms.saturating_sub(self.admission.planned_ms);
        Event::new("job_refused")
            .with("job", id)
            .with("reason", "team_over_rate")
            .with("queue", queue)
            .with("pool", pool)
            .with("team", team)
            .with("weight", self.bought_rate(team).unwrap_or(0.0))
            .with("backlog_ms", refusal.forecast.backlog_ms)
            .with("backlog_age_ms", backlog_age_ms)
            .with("margin_ms", refusal.margin_ms)
            .with("chain_ms", refusal.forecast.chain_ms)
            .with("target_in_ms", refusal.target_in_ms)
            .with("waited_ms", refusal.waited_ms)
            .with("retry_after_s", refusal.retry_after_s)
            .info();
        Some(refusal.retry_after_s)
    }

    /// Returns why a submission over the rate of its team would be refused now, if it would be.
    pub(crate) fn over_rate_refusal(
        &self,
        submission: &Submission,
        pool: &SmolStr,
    ) -> Option<OverRateRefusal> {
        let Submission {
            id,
            queue,
            team,
            spec,
        } = submission;
        if !self.would_be_over_rate(team, spec) {
            return None;
        }
        let forecast = self.completion_forecast(queue, pool, spec)?;
        let arrived_unix_ms = self.admission.first_arrival(*id, self.unix_ms);
        let waited_ms = self.unix_ms.saturating_sub(arrived_unix_ms);
        let target_after_ms = self.target_after_ms(queue, forecast.chain_ms);
        let target_in_ms = target_after_ms.saturating_sub(waited_ms);
        let end_ms = forecast.backlog_ms.saturating_add(forecast.chain_ms);
        let errors = self.admission.errors.get(pool).copied().unwrap_or_default();
        let margin_ms = errors.margin_ms(end_ms, self.now_ms);
        let is_refused = !forecast.has_room && end_ms.saturating_add(margin_ms) > target_in_ms;
        is_refused.then(|| OverRateRefusal {
            forecast,
            margin_ms,
            target_in_ms,
            waited_ms,
            retry_after_s: retry_after_s(*id, forecast.backlog_ms),
        })
    }

    /// Returns whether a job that is accepted now would be over the rate of its team.
    pub(crate) fn would_be_over_rate(&self, team: &SmolStr, spec: &JobSpec) -> bool {
        let rate = self.rate_for(team, spec);
        rate.is_some_and(|rate| !self.team_rates.has_token(team, rate, self.unix_ms))
    }

    /// Forecasts a job in a pool; `None` for a pool that no plan has seen.
    fn completion_forecast(
        &self,
        queue: &SmolStr,
        pool: &SmolStr,
        spec: &JobSpec,
    ) -> Option<Forecast> {
        let outlook = self.admission.outlooks.get(pool)?;
        let run_ms = |step: &StepSpec| self.run_times.expected_ms(queue, step);
        let chain_ms = spec.chains_ms(run_ms).into_iter().max().unwrap_or(0);
        let starts = self.admission.starts;
        let starts_backlog_ms = starts.map_or(0, |starts| starts.time_ms(starts.work));
        let backlog_ms = outlook.time_ms(outlook.work).max(starts_backlog_ms);
        let own_ms = outlook.time_ms(spec.work_ms(run_ms).0);
        Some(Forecast {
            has_room: outlook.has_room(first_cpu_millis(spec)) && starts_backlog_ms == 0,
            backlog_ms,
            chain_ms,
            total_ms: backlog_ms.saturating_add(chain_ms.max(own_ms)),
        })
    }

    /// Adds a job that was accepted just now to the work of its pool, and keeps the forecast of a
    /// job over the rate, to be compared with its end.
    pub(crate) fn job_admitted(&mut self, key: JobKey) {
        let job = self.job(key);
        let (id, is_over_rate) = (job.id, job.is_over_rate);
        let (queue, pool, spec) = (job.queue.clone(), job.pool.clone(), job.spec.clone());
        self.admission.refused.arrivals.remove(&id);
        if is_over_rate {
            self.admission.accepted_over_rate_count += 1;
            let forecast = self.completion_forecast(&queue, &pool, &spec);
            let waiting = forecast.filter(|forecast| !forecast.has_room);
            self.job_mut(key).forecast_ms = waiting.map(|forecast| forecast.total_ms);
        }
        if spec.is_long_running() || spec.recurrence.is_some() {
            return;
        }
        let run_ms = |step: &StepSpec| self.run_times.expected_ms(&queue, step);
        let work = spec.work_ms(run_ms).0;
        if let Some(outlook) = self.admission.outlooks.get_mut(&pool) {
            outlook.work = outlook.work.saturating_add(work);
            let first_cpu_millis = first_cpu_millis(&spec);
            outlook.demand_cpu_millis = outlook.demand_cpu_millis.saturating_add(first_cpu_millis);
        }
        if let Some(starts) = &mut self.admission.starts {
            starts.work += spec.tasks_count() * 1_000;
        }
    }

    /// Compares the forecast of a job, if there is one, with its end.
    pub(crate) fn observe_forecast(&mut self, key: JobKey) {
        let took_ms = self.now_ms.saturating_sub(self.job(key).accepted_ms);
        self.observe_took(key, took_ms);
    }

    /// Counts the forecast of a job that can no longer meet its target as the greatest error. Its
    /// end is not known yet and may be far away, as late jobs go after the others; if only ends
    /// counted, the jobs in time would hide those that are not.
    pub(crate) fn observe_missed_forecast(&mut self, key: JobKey) {
        self.observe_took(key, u64::MAX);
    }

    fn observe_took(&mut self, key: JobKey, took_ms: u64) {
        let now_ms = self.now_ms;
        let job = self.job_mut(key);
        let Some(forecast_ms) = job.forecast_ms.take() else {
            return;
        };
        let pool = job.pool.clone();
        let errors = self.admission.errors.entry(pool).or_default();
        errors.observe(forecast_ms, took_ms, now_ms);
    }

    /// Returns the number of jobs over the rate of their team that were accepted since the last
    /// call.
    pub fn take_over_rate_count(&mut self) -> u64 {
        std::mem::take(&mut self.admission.accepted_over_rate_count)
    }
}

/// Returns the size of the tasks that a job can start at once, in thousandths of a core.
fn first_cpu_millis(spec: &JobSpec) -> u64 {
    let first = spec.steps.iter().filter(|step| step.after.is_empty());
    first
        .map(|step| {
            step.reservation()
                .times(u64::from(step.tasks_count))
                .cpu_millis
        })
        .fold(0, u64::saturating_add)
}

/// Returns the time after which a refused caller should retry, in seconds: the time until the pool
/// is done with its work, and a jitter by the id, so that the callers do not all come back in the
/// same second.
fn retry_after_s(id: JobId, backlog_ms: u64) -> u64 {
    let base_s = backlog_ms.div_ceil(1_000).clamp(1, RETRY_BASE_MAX_S);
    // Multiplying by an odd constant spreads ids that differ only in their low digits.
    let mixed = id.0.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
    base_s + mixed % RETRY_SPREAD_S
}
