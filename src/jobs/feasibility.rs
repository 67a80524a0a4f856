//! Decides which jobs of a full pool can meet their targets together. Jobs are taken in the order
//! of their targets. Whenever the work taken so far cannot be done by the target of the last job,
//! one job is postponed: the largest one among the teams that have at least their share of the
//! work. With one team this is the rule of Moore and Hodgson (1968), which minimizes the number of
//! late jobs on one machine; a pool counts as one machine whose rate is its capacity.
//!
//! Jobs within the rate of their team are planned as if there were no others. Jobs over the rate are
//! planned for the time after all of them, so that they never postpone a job within the rate.

use std::collections::HashSet;

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::jobs::admission::PoolOutlook;
use crate::jobs::engine::Engine;
use crate::jobs::instances::{Instance, InstanceState};
use crate::jobs::job::Job;
use crate::jobs::keys::JobKey;
use crate::jobs::pool_needs::FILLABLE_PERMILLE;
use crate::jobs::ranking::{chain_grace_ms, is_in_time, latest_start_ms, remaining_chain_ms};
use crate::jobs::spec::Size;
use crate::logging::Event;

/// Interval between plans, in milliseconds.
const PLAN_MS: u64 = 100;

/// Demand of one job on its pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Claim {
    /// Job.
    pub job: JobKey,
    /// Index of its team.
    pub team: usize,
    /// Work that has not started yet, in thousandths of a core times milliseconds.
    pub work: u64,
    /// Time by which the work has to be done, in milliseconds.
    pub due_ms: u64,
}

/// Returns the jobs to postpone so that all others meet their targets, in a pool that works at a
/// rate of `rate` thousandths of a core and is busy until `free_ms`. `weights` holds the weight of
/// each team.
pub fn jobs_to_postpone(
    mut claims: Vec<Claim>,
    weights: &[f64],
    rate: u64,
    free_ms: u64,
) -> Vec<JobKey> {
    claims.sort_by_key(|claim| (claim.due_ms, claim.job));
    let mut taken: Vec<Claim> = Vec::new();
    let mut postponed = Vec::new();
    let mut by_team = vec![0; weights.len()];
    let mut work = 0;
    for claim in claims {
        let due_ms = claim.due_ms;
        work += claim.work;
        by_team[claim.team] += claim.work;
        taken.push(claim);
        while free_ms + work / rate.max(1) > due_ms {
            let Some(at) = largest_over_share(&taken, &by_team, weights) else {
                break;
            };
            let dropped = taken.swap_remove(at);
            work -= dropped.work;
            by_team[dropped.team] -= dropped.work;
            postponed.push(dropped.job);
        }
    }
    postponed
}

/// Finds the largest of the jobs whose teams have at least the mean work by weight.
// The sums of work are only compared with each other; rounding does not matter.
#[allow(clippy::cast_precision_loss, clippy::as_conversions)]
fn largest_over_share(taken: &[Claim], by_team: &[u64], weights: &[f64]) -> Option<usize> {
    let active = by_team.iter().zip(weights).filter(|(work, _)| **work > 0);
    let (work, weight) = active.fold((0.0, 0.0), |(work, weight), (of_team, its_weight)| {
        (work + *of_team as f64, weight + its_weight)
    });
    let has_share = |team: usize| by_team[team] as f64 * weight >= work * weights[team] * 0.999;
    let over_share = (0..taken.len()).filter(|at| has_share(taken[*at].team));
    over_share.max_by_key(|at| (taken[*at].work, taken[*at].due_ms))
}

/// What a pool can do, and the work that it has to do.
#[derive(Debug, Default)]
struct PoolPlan {
    /// Capacity for tasks that are not long-running, in thousandths of a core.
    rate: u64,
    /// Work that running tasks of jobs within the rate of their team have left, in thousandths of a
    /// core times milliseconds.
    running_within_rate: u64,
    /// The same for jobs over the rate.
    running_over_rate: u64,
    /// Work of jobs within the rate that has not started yet, late or not.
    waiting_within_rate: u64,
    /// Claims of jobs within the rate that can still meet their targets.
    within_rate: Vec<Claim>,
    /// Claims of jobs over the rate that can still meet their targets.
    over_rate: Vec<Claim>,
    /// All waiting work, including that of late jobs and of jobs not persisted yet.
    waiting: WaitingWork,
    /// Capacity that running tasks take, in thousandths of a core.
    running_cpu_millis: u64,
    /// Capacity that this leader has not seen itself yet, in thousandths of a core.
    unseen_rate: u64,
}

/// The plans of all pools, and that of the leader's own work.
#[derive(Debug, Default)]
struct Plans {
    pools: IndexMap<SmolStr, PoolPlan>,
    /// The starts that this leader has to carry out, as a pool whose work is counted in thousandths
    /// of a start; none if it keeps up with them.
    starts: Option<PoolPlan>,
    /// Weight of each team with claims.
    teams: IndexMap<SmolStr, f64>,
    /// Jobs with a forecast that can no longer meet their targets.
    missed_forecasts: Vec<JobKey>,
}

impl Plans {
    /// Returns the index of a job's team, which has this weight.
    fn team_index(&mut self, job: &Job, weight: f64) -> usize {
        self.teams.insert_full(job.team.clone(), weight).0
    }
}

/// Waiting work of jobs with a target.
#[derive(Clone, Copy, Debug, Default)]
struct WaitingWork {
    /// Work that has not started yet, in thousandths of a core times milliseconds.
    work: u64,
    /// Size of the tasks that could start, in thousandths of a core.
    startable_cpu_millis: u64,
    /// Number of tasks that have not started yet.
    tasks_count: u64,
}

impl WaitingWork {
    fn add(&mut self, more: &Self) {
        self.work = self.work.saturating_add(more.work);
        self.startable_cpu_millis = self
            .startable_cpu_millis
            .saturating_add(more.startable_cpu_millis);
        self.tasks_count += more.tasks_count;
    }

    /// Returns the starts that the work takes, in thousandths.
    fn starts(&self) -> u64 {
        self.tasks_count * 1_000
    }
}

impl PoolPlan {
    /// Adds the claim of a job, unless the job is not persisted yet. One that is not in time any more
    /// only takes time before the jobs over the rate.
    fn add_claim(&mut self, claim: Claim, job: &Job, is_in_time: bool) {
        if !job.is_persisted {
            return;
        }
        if !job.is_over_rate {
            self.waiting_within_rate += claim.work;
        }
        match job.is_over_rate {
            _ if !is_in_time => {}
            true => self.over_rate.push(claim),
            false => self.within_rate.push(claim),
        }
    }

    /// Returns what admission control has to know of the pool.
    fn outlook(&self) -> PoolOutlook {
        PoolOutlook {
            rate: self.rate + self.unseen_rate,
            work: self.running_within_rate + self.running_over_rate + self.waiting.work,
            demand_cpu_millis: self.running_cpu_millis + self.waiting.startable_cpu_millis,
        }
    }

    /// Returns the jobs to postpone in a pool with these weights of the teams.
    fn jobs_to_postpone(self, weights: &[f64], now_ms: u64) -> Vec<JobKey> {
        let time_ms = |work: u64| work / self.rate.max(1);
        let free_ms = now_ms + time_ms(self.running_within_rate);
        let work_before =
            self.running_within_rate + self.running_over_rate + self.waiting_within_rate;
        let free_over_rate_ms = now_ms + time_ms(work_before);
        let mut postponed = jobs_to_postpone(self.within_rate, weights, self.rate, free_ms);
        let over_rate = jobs_to_postpone(self.over_rate, weights, self.rate, free_over_rate_ms);
        postponed.extend(over_rate);
        postponed
    }
}

impl Engine {
    /// Decides, if a plan is due, which jobs are postponed so that others meet their targets.
    pub(crate) fn plan_job_order(&mut self) {
        if self.now_ms < self.next_plan_ms {
            return;
        }
        self.next_plan_ms = self.now_ms + PLAN_MS;
        let mut plans = Plans {
            pools: self.empty_plans(),
            starts: self.empty_starts_plan(),
            ..Plans::default()
        };
        for key in self.live.iter().copied() {
            self.add_waiting_job(key, &mut plans);
        }
        self.add_capacity(&mut plans.pools);
        for key in &plans.missed_forecasts {
            self.observe_missed_forecast(*key);
        }
        let outlooks = plans.pools.iter();
        let outlooks = outlooks.map(|(pool, plan)| (pool.clone(), plan.outlook()));
        let starts = plans.starts.as_ref().map(PoolPlan::outlook);
        self.admission
            .planned(outlooks.collect(), starts, self.now_ms);
        let weights: Vec<f64> = plans.teams.values().copied().collect();
        let mut postponed = HashSet::new();
        for plan in plans.pools.into_values().chain(plans.starts) {
            postponed.extend(plan.jobs_to_postpone(&weights, self.now_ms));
        }
        self.postpone(&postponed);
    }

    /// Adds a job to the plans if it has tasks that have not started.
    fn add_waiting_job(&self, key: JobKey, plans: &mut Plans) {
        let job = self.job(key);
        let waiting = self.waiting_work(job);
        if waiting.work == 0 {
            return;
        }
        let is_in_time = is_in_time(job, self.now_ms);
        let team = match job.is_persisted && is_in_time {
            true => plans.team_index(job, self.weight_of(&job.team)),
            false => 0,
        };
        let claim = Claim {
            job: key,
            team,
            work: waiting.work,
            due_ms: job.target_ms + chain_grace_ms(remaining_chain_ms(job)),
        };
        let start_claim = Claim {
            work: waiting.starts(),
            // The end of the last task is noticed up to a pause later.
            due_ms: latest_start_ms(job).saturating_sub(self.poll_pace.pause_ms()),
            ..claim
        };
        let pool = plans.pools.entry(job.pool.clone()).or_default();
        pool.waiting.add(&waiting);
        pool.add_claim(claim, job, is_in_time);
        if let Some(starts) = &mut plans.starts {
            starts.waiting.work += start_claim.work;
            starts.add_claim(start_claim, job, is_in_time);
        }
        if job.is_persisted && !is_in_time && job.forecast_ms.is_some() {
            plans.missed_forecasts.push(key);
        }
    }

    fn weight_of(&self, team: &SmolStr) -> f64 {
        let weight = self.catalog.teams.get(team).map(|team| team.weight);
        weight.filter(|weight| *weight > 0.0).unwrap_or(1.0)
    }

    /// Returns a plan of the starts without any, if there are more than this leader can carry out.
    fn empty_starts_plan(&self) -> Option<PoolPlan> {
        let starts_per_s = self.start_rate.limit_per_s(self.now_ms)?;
        Some(PoolPlan {
            rate: starts_per_s,
            ..PoolPlan::default()
        })
    }

    /// Returns a plan without work for each pool that can have some.
    fn empty_plans(&self) -> IndexMap<SmolStr, PoolPlan> {
        let pools = self.catalog.pools.iter();
        let pools = pools.filter(|(_, pool)| !pool.is_standby);
        pools
            .map(|(name, _)| (name.clone(), PoolPlan::default()))
            .collect()
    }

    /// Returns the work of a job's tasks that have not started; none for jobs without a target.
    fn waiting_work(&self, job: &Job) -> WaitingWork {
        let mut waiting = WaitingWork::default();
        if job.spec.is_long_running() || job.spec.recurrence.is_some() {
            return waiting;
        }
        for round in &job.rounds {
            for (step, spec) in round.steps.iter().zip(&job.spec.steps) {
                let time_ms = self.run_times.expected_ms(&job.queue, spec);
                let size = spec.reservation().times(u64::from(step.waiting_count));
                let cpu_millis = size.cpu_millis;
                waiting.work = waiting
                    .work
                    .saturating_add(cpu_millis.saturating_mul(time_ms));
                waiting.tasks_count += u64::from(step.waiting_count);
                if step.waiting_count > 0 && round.is_ready(spec) {
                    waiting.startable_cpu_millis =
                        waiting.startable_cpu_millis.saturating_add(cpu_millis);
                }
            }
        }
        waiting
    }

    /// Adds the rate of the pools' workers, and the work that they have left.
    fn add_capacity(&self, plans: &mut IndexMap<SmolStr, PoolPlan>) {
        for worker in self.present_workers() {
            let Some(plan) = plans.get_mut(&worker.info.pool) else {
                continue;
            };
            let mut free: Size = worker.info.capacity;
            for (run, slot) in &worker.slots {
                if slot.is_long_running {
                    free.remove(&slot.reservation);
                    continue;
                }
                let job = self.job(run.task.job);
                let step = &job.spec.steps[usize::from(run.task.step)];
                let ran_ms = self.now_ms.saturating_sub(slot.since_ms);
                let left_ms = self.run_times.remaining_ms(&job.queue, step, ran_ms);
                plan.running_cpu_millis += slot.reservation.cpu_millis;
                let work = slot.reservation.cpu_millis * left_ms;
                match job.is_over_rate {
                    true => plan.running_over_rate += work,
                    false => plan.running_within_rate += work,
                }
            }
            let rate = free.cpu_millis * FILLABLE_PERMILLE / 1_000;
            if worker.is_usable() {
                plan.rate += rate;
            } else if !worker.is_listed && worker.may_have_unseen_runs() && !worker.is_evacuated {
                plan.unseen_rate += rate;
            }
        }
        for (pool, plan) in plans.iter_mut() {
            let arriving_count = u64::try_from(self.capacity.arriving_count(pool)).unwrap_or(0);
            let instance_cpu_millis = self.instance_size(pool).cpu_millis;
            plan.rate += arriving_count * instance_cpu_millis * FILLABLE_PERMILLE / 1_000;
        }
        for row in self.instances.rows.values() {
            if let (true, Some(plan)) = (
                self.was_moved_by_earlier_leader(row),
                plans.get_mut(&row.info.pool),
            ) {
                plan.unseen_rate += row.info.capacity.cpu_millis * FILLABLE_PERMILLE / 1_000;
            }
        }
    }

    /// Returns whether an instance is on its way into its pool by an order of an earlier leader.
    fn was_moved_by_earlier_leader(&self, row: &Instance) -> bool {
        row.order.is_none()
            && row.unavailable_until_ms == 0
            && !matches!(row.info.state, InstanceState::Up | InstanceState::Down)
            && !self.evacuated_zones.contains(&row.info.zone)
    }

    fn postpone(&mut self, postponed: &HashSet<JobKey>) {
        for key in self.live.clone() {
            let now_ms = self.now_ms;
            let is_postponed = postponed.contains(&key);
            if self.job(key).is_postponed == is_postponed {
                continue;
            }
            let job = self.job_mut(key);
            job.is_postponed = is_postponed;
            Event::new("job_order_changed")
                .with("job", job.id)
                .with("pool", &job.pool)
                .with("team", &job.team)
                .with("is_postponed", is_postponed)
                .with("target_in_ms", job.target_ms.saturating_sub(now_ms))
                .info();
            self.needs_dispatch = true;
        }
    }
}
