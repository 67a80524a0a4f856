//! The account of a run compares what callers received with what the workers ran.

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::{
    adapters::callers_client::{ReceivedAnswer, STATUS_DONE},
    error::RunState,
    stand_in::{
        journal::{Ending, Run},
        task::TaskAnswer,
    },
    standalone::{callers::Outcome, plan::CallPattern},
};

/// Maximum number of faults that are described; all are counted.
const FAULTS_MAX_COUNT: usize = 20;

/// Counts over all requests of a run. A request is answered, refused or lost.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Account {
    /// Requests sent.
    pub requests_count: u64,
    /// Requests that were answered with the result of their work.
    pub answered_count: u64,
    /// Requests that were refused, failed or cancelled.
    pub refused_count: u64,
    /// Requests without an answer, or whose answer claims a run that no worker made.
    pub lost_count: u64,
    /// Non-idempotent requests that workers ran more than once.
    pub doubled_count: u64,
    /// Requests that received another request's answer or an incomplete one.
    pub crossed_count: u64,
    /// Requests that ran although the answer said "not run", that ran for a team whose key they did
    /// not carry, or that had to be refused, and runs that belong to no request.
    pub untrue_count: u64,
    /// Runs in the workers' journals.
    pub runs_count: u64,
    /// Descriptions of the first faults, one line each.
    pub faults: Vec<String>,
}

/// Kind of fault of a request; see the counts of [`Account`].
#[derive(Clone, Copy, Debug, strum::Display)]
#[strum(serialize_all = "snake_case")]
enum Fault {
    Lost,
    Doubled,
    Crossed,
    Untrue,
}

impl Account {
    /// Compares what callers received with the runs in the workers' journals.
    pub fn of(outcomes: &[Outcome], runs: &[Run]) -> Self {
        let mut account = Self {
            requests_count: outcomes.len() as u64,
            runs_count: runs.len() as u64,
            ..Self::default()
        };
        let mut runs_by_request: IndexMap<&SmolStr, Vec<&Run>> = IndexMap::new();
        for run in runs {
            runs_by_request
                .entry(&run.request_id)
                .or_default()
                .push(run);
        }
        for outcome in outcomes {
            let runs = runs_by_request.swap_remove(&outcome.example.request.request_id);
            account.add(outcome, &runs.unwrap_or_default());
        }
        for (request_id, _) in runs_by_request {
            account.record_fault(Fault::Untrue, request_id, "no request caused this run");
        }
        account
    }

    /// Returns whether every request was answered or refused, and no fault was found.
    pub fn is_fault_free(&self) -> bool {
        self.answered_count + self.refused_count == self.requests_count
            && self.lost_count + self.doubled_count + self.crossed_count + self.untrue_count == 0
    }

    /// Returns the counts as one line of key=value pairs.
    pub fn line(&self) -> String {
        format!(
            "requests={} answered={} refused={} lost={} doubled={} crossed={} untrue={} runs={}",
            self.requests_count,
            self.answered_count,
            self.refused_count,
            self.lost_count,
            self.doubled_count,
            self.crossed_count,
            self.untrue_count,
            self.runs_count
        )
    }

    fn add(&mut self, outcome: &Outcome, runs: &[&Run]) {
        let answers: Vec<&ReceivedAnswer> = outcome.answers.iter().flatten().collect();
        match answers.as_slice() {
            [] => {}
            answers if answers.iter().any(|answer| answer.status == STATUS_DONE) => {
                self.answered_count += 1;
            }
            _ => self.refused_count += 1,
        }
        let request_id = outcome.example.request.request_id.clone();
        if let Some(why) = loss_reason(outcome, &answers, runs) {
            self.record_fault(Fault::Lost, &request_id, &why);
        }
        if !outcome.example.request.is_idempotent && runs.len() > 1 {
            self.record_fault(Fault::Doubled, &request_id, "it ran more than once");
        }
        if answers.iter().any(|answer| is_crossed(outcome, answer)) {
            self.record_fault(
                Fault::Crossed,
                &request_id,
                "the answer belongs to another request or is incomplete",
            );
        }
        if let Some(why) = contradiction(outcome, &answers, runs) {
            self.record_fault(Fault::Untrue, &request_id, why);
        }
    }

    fn record_fault(&mut self, fault: Fault, request_id: &str, why: &str) {
        let count = match fault {
            Fault::Lost => &mut self.lost_count,
            Fault::Doubled => &mut self.doubled_count,
            Fault::Crossed => &mut self.crossed_count,
            Fault::Untrue => &mut self.untrue_count,
        };
        *count += 1;
        if self.faults.len() < FAULTS_MAX_COUNT {
            self.faults
                .push(format!("fault={fault} request_id={request_id} why={why:?}"));
        }
    }
}

/// Returns why a request counts as lost, if it does.
fn loss_reason(outcome: &Outcome, answers: &[&ReceivedAnswer], runs: &[&Run]) -> Option<String> {
    if let Some(Err(why)) = outcome.answers.iter().find(|answer| answer.is_err()) {
        return Some(format!("no answer received: {why}"));
    }
    let is_unproved = |answer: &&ReceivedAnswer| match answer.ran {
        _ if answer.status == STATUS_DONE => !has_succeeded(answer, runs),
        Some(RunState::Ran) => runs.is_empty(),
        _ => false,
    };
    answers
        .iter()
        .any(is_unproved)
        .then(|| "no worker ran the work that the answer reports".to_owned())
}

/// Returns whether a worker ran the answer's attempt to a successful end.
fn has_succeeded(answer: &ReceivedAnswer, runs: &[&Run]) -> bool {
    let Some(task) = TaskAnswer::decode(&answer.body) else {
        return false;
    };
    runs.iter().any(|run| {
        run.attempt_id == task.attempt_id
            && run.worker == task.worker
            && run.ending == Some(Ending::Succeeded)
    })
}

fn is_crossed(outcome: &Outcome, answer: &ReceivedAnswer) -> bool {
    let request = &outcome.example.request;
    // A refusal that precedes the parsing of the request's headers names no request.
    if !answer.request_id.is_empty() && answer.request_id != request.request_id {
        return true;
    }
    if answer.status != STATUS_DONE {
        return false;
    }
    let Some(task) = TaskAnswer::decode(&answer.body) else {
        return true;
    };
    let is_attempt_consistent =
        answer.attempt_id.is_empty() || answer.attempt_id == task.attempt_id;
    !(is_attempt_consistent && task.is_for(&request.request_id, &request.body))
}

/// Returns why a request counts as untrue, if it does: its runs contradict its answers, its call
/// pattern or its team.
fn contradiction(
    outcome: &Outcome,
    answers: &[&ReceivedAnswer],
    runs: &[&Run],
) -> Option<&'static str> {
    let example = &outcome.example;
    let is_denied = !answers.is_empty()
        && answers
            .iter()
            .all(|answer| answer.ran == Some(RunState::NotRun));
    match example.pattern {
        _ if runs.is_empty() => None,
        _ if is_denied => Some("it ran although the answer says that it did not"),
        CallPattern::Faulty(_) => Some("it ran although it had to be refused"),
        _ if runs.iter().any(|run| run.team != example.team) => Some("it ran for another team"),
        _ => None,
    }
}
