//! Checks the guarantees of the service after a load test, by comparing the runs in the workers'
//! journals with the answers that the callers received.

use indexmap::IndexMap;
use serde::Serialize;
use smol_str::SmolStr;

use super::outcome::{End, Outcome};
use super::schedule::ScheduledRequest;
use crate::fleet::{InstanceName, TeamName};
use crate::stand_in::journal::{peak_running_by_team, Run};

/// Time after which a leaving instance must not start requests any more, in microseconds.
const LEAVING_GRACE_US: u64 = 3_000_000;
/// Time after which requests with a withdrawn key must not succeed, in microseconds.
const WITHDRAWN_GRACE_US: u64 = 5_000_000;
/// Largest number of examples for each kind of violation.
const EXAMPLES_MAX_COUNT: usize = 5;

/// Period in which an instance was leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LeavingInstance {
    /// Instance.
    pub instance: InstanceName,
    /// Time of the announcement.
    pub from_unix_us: u64,
    /// Time at which the instance was removed or replaced, if it was.
    pub until_unix_us: Option<u64>,
}

/// A key that was withdrawn during the load test.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct WithdrawnKey {
    /// Team.
    pub team: TeamName,
    /// Index of the key among the team's keys.
    pub key: usize,
    /// Time at which the withdrawal was acknowledged.
    pub at_unix_us: u64,
}

/// Data that the guarantees are checked on.
#[derive(Clone, Copy, Debug)]
pub struct Evidence<'a> {
    /// The schedule.
    pub requests: &'a [ScheduledRequest],
    /// Outcomes of the scheduled requests.
    pub outcomes: &'a [Outcome],
    /// All runs in the workers' journals.
    pub runs: &'a [Run],
    /// Limits of the teams on running requests.
    pub limits: &'a IndexMap<TeamName, u32>,
    /// Instances that were leaving.
    pub leaving: &'a [LeavingInstance],
    /// Keys that were withdrawn.
    pub withdrawn: &'a [WithdrawnKey],
}

/// Number of violations of one kind, with examples.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Violations {
    /// Number of violations.
    pub count: u64,
    /// Descriptions of the first violations.
    pub examples: Vec<SmolStr>,
}

impl Violations {
    fn add(&mut self, example: impl FnOnce() -> String) {
        self.count += 1;
        if self.examples.len() < EXAMPLES_MAX_COUNT {
            self.examples.push(example().into());
        }
    }
}

/// Result of the guarantee check of one load test.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct GuaranteeReport {
    /// Runs at the workers that belong to the scheduled requests.
    pub runs_count: u64,
    /// Non-idempotent requests that ran more than once.
    pub doubled: Violations,
    /// Requests with a successful answer that no worker ran.
    pub lost: Violations,
    /// Answers that belong to another request or are incomplete.
    pub crossed: Violations,
    /// Requests that were refused as not run but ran.
    pub not_run_ran: Violations,
    /// Teams that exceeded their limit on running requests at some instant.
    pub over_limit: Violations,
    /// Runs that started on an instance more than 3 s after it was announced as leaving.
    pub late_to_leaving: Violations,
    /// Requests that succeeded although their key had been withdrawn more than 5 s before.
    pub withdrawn_key: Violations,
    /// Largest number of requests of each team that ran at the same time.
    pub peak_running: IndexMap<TeamName, u32>,
    /// Idempotent requests that ran more than once, which is allowed.
    pub repeated_idempotent_count: u64,
}

impl GuaranteeReport {
    /// Returns the number of violations of all kinds.
    pub fn violations_count(&self) -> u64 {
        let rows = [
            &self.doubled,
            &self.lost,
            &self.crossed,
            &self.not_run_ran,
            &self.over_limit,
            &self.late_to_leaving,
            &self.withdrawn_key,
        ];
        rows.iter().map(|violations| violations.count).sum()
    }
}

/// Checks the guarantees.
pub fn check_guarantees(evidence: &Evidence<'_>) -> GuaranteeReport {
    let mut runs_of: IndexMap<&str, Vec<&Run>> = IndexMap::new();
    for outcome in evidence.outcomes {
        runs_of.insert(&outcome.request_id, Vec::new());
    }
    for run in evidence.runs {
        if let Some(runs) = runs_of.get_mut(run.request_id.as_str()) {
            runs.push(run);
        }
    }
    let mut guarantees = GuaranteeReport::default();
    for outcome in evidence.outcomes {
        let runs = runs_of.get(outcome.request_id.as_str());
        let runs = runs.map_or(&[][..], Vec::as_slice);
        if let Some(scheduled) = evidence.requests.get(outcome.schedule_index) {
            check_request(&mut guarantees, evidence, scheduled, outcome, runs);
        }
    }
    let own_runs: Vec<&Run> = runs_of.into_values().flatten().collect();
    guarantees.runs_count = own_runs.len() as u64;
    check_limits(&mut guarantees, evidence, &own_runs);
    check_leaving(&mut guarantees, evidence, &own_runs);
    guarantees
}

fn check_request(
    guarantees: &mut GuaranteeReport,
    evidence: &Evidence<'_>,
    scheduled: &ScheduledRequest,
    outcome: &Outcome,
    runs: &[&Run],
) {
    let describe = || {
        let runs: Vec<String> = runs
            .iter()
            .map(|run| format!("{}@{}:{:?}", run.attempt_id, run.worker, run.ending))
            .collect();
        let end = outcome.end.name();
        format!(
            "request_id={} is_for_later={} has_twin={} end={end} retried_after={:?} runs={runs:?}",
            outcome.request_id,
            scheduled.is_for_later,
            scheduled.twin_entry.is_some(),
            outcome.retried_after,
        )
    };
    match runs.len() {
        0 | 1 => {}
        _ if scheduled.is_idempotent => guarantees.repeated_idempotent_count += 1,
        _ => guarantees.doubled.add(describe),
    }
    let is_done = outcome.end == End::Done;
    if is_done && runs.is_empty() {
        guarantees.lost.add(describe);
    }
    if !outcome.is_own_answer {
        guarantees.crossed.add(describe);
    }
    if outcome.is_proved_not_run && !runs.is_empty() {
        guarantees.not_run_ran.add(describe);
    }
    let is_withdrawn = |row: &WithdrawnKey| {
        scheduled.team.as_ref() == Some(&row.team)
            && outcome.key == row.key
            && outcome.sent_unix_us > row.at_unix_us + WITHDRAWN_GRACE_US
    };
    if is_done && evidence.withdrawn.iter().any(is_withdrawn) {
        guarantees.withdrawn_key.add(describe);
    }
}

fn check_limits(guarantees: &mut GuaranteeReport, evidence: &Evidence<'_>, runs: &[&Run]) {
    guarantees.peak_running = peak_running_by_team(runs.iter().copied());
    for (team, peak) in &guarantees.peak_running {
        match evidence.limits.get(team) {
            Some(limit) if peak > limit => guarantees
                .over_limit
                .add(|| format!("team={team} peak={peak} limit={limit}")),
            _ => {}
        }
    }
}

fn check_leaving(guarantees: &mut GuaranteeReport, evidence: &Evidence<'_>, runs: &[&Run]) {
    for run in runs {
        let is_late = |row: &LeavingInstance| {
            row.instance == run.worker
                && run.started_unix_us > row.from_unix_us + LEAVING_GRACE_US
                && row
                    .until_unix_us
                    .is_none_or(|until| run.started_unix_us < until)
        };
        if evidence.leaving.iter().any(is_late) {
            guarantees
                .late_to_leaving
                .add(|| format!("attempt_id={} worker={}", run.attempt_id, run.worker));
        }
    }
}
