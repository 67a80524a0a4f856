//! The order in which jobs get capacity: first those with long-running tasks, then jobs that can
//! still meet their targets, by least slack, then postponed jobs (see
//! [`feasibility`](crate::jobs::feasibility)), then late ones. Jobs over the rate of their team (see
//! [`team_rates`](crate::jobs::team_rates)) go after all others, in the same order among themselves.

use crate::jobs::job::Job;

/// Position of a job in the order; smaller goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    is_over_rate: bool,
    tier: Tier,
    /// Latest start that meets the target, or the time of acceptance for late jobs and for those
    /// with long-running tasks.
    by_ms: u64,
}

/// Groups of jobs, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    /// Some task runs until the job is cancelled.
    LongRunning,
    /// The target can still be met.
    InTime,
    /// The target can still be met, but not together with those of all others.
    Postponed,
    /// The target can no longer be met.
    Late,
}

/// Allowance for an underestimated chain, in thousandths of the chain.
const CHAIN_GRACE_PERMILLE: u64 = 250;

/// Returns the rank of a job, or `None` if it has no task to start.
pub(crate) fn rank(job: &Job, now_ms: u64) -> Option<Rank> {
    if !job.has_startable_task() {
        return None;
    }
    if job.spec.is_long_running() {
        return Some(Rank {
            is_over_rate: false,
            tier: Tier::LongRunning,
            by_ms: job.accepted_ms,
        });
    }
    let (tier, by_ms) = match (is_in_time(job, now_ms), job.is_postponed) {
        (true, false) => (Tier::InTime, latest_start_ms(job)),
        (true, true) => (Tier::Postponed, latest_start_ms(job)),
        (false, _) => (Tier::Late, job.accepted_ms),
    };
    Some(Rank {
        is_over_rate: job.is_over_rate,
        tier,
        by_ms,
    })
}

/// Returns the latest start that meets the target, by the expected run times.
pub(crate) fn latest_start_ms(job: &Job) -> u64 {
    job.target_ms.saturating_sub(remaining_chain_ms(job))
}

/// Returns the allowance for an underestimated chain, in milliseconds.
pub(crate) fn chain_grace_ms(chain_ms: u64) -> u64 {
    chain_ms * CHAIN_GRACE_PERMILLE / 1_000
}

/// Returns whether the target of a job can still be met.
pub(crate) fn is_in_time(job: &Job, now_ms: u64) -> bool {
    now_ms <= in_time_until_ms(job)
}

/// Returns the time until which the target of a job can still be met, in milliseconds.
pub(crate) fn in_time_until_ms(job: &Job) -> u64 {
    let chain_ms = remaining_chain_ms(job);
    job.target_ms.saturating_sub(chain_ms) + chain_grace_ms(chain_ms)
}

/// Returns the longest chain of expected run times through steps that are not done, in
/// milliseconds.
pub(crate) fn remaining_chain_ms(job: &Job) -> u64 {
    let of_round = |round: &crate::jobs::job::Round| {
        let open = round
            .steps
            .iter()
            .zip(&job.chains_ms)
            .filter(|(step, _)| !step.is_done());
        open.map(|(_, chain_ms)| *chain_ms).max().unwrap_or(0)
    };
    job.rounds.iter().map(of_round).max().unwrap_or(0)
}
