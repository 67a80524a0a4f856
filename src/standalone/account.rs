//! The account of a run: what callers received, held against what the workers ran.

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

/// Faults that are described; all are counted.
const FAULTS_MAX_COUNT: usize = 20;

/// Counts over all requests of a run. Every request is either answered or refused, unless it is lost.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Account {
    /// Requests sent.
    pub requests_count: u64,
    /// Requests whose work was answered.
    pub answered_count: u64,
    /// Requests that were refused, failed or cancelled.
    pub refused_count: u64,
    /// Requests that got no answer, or an answer that says that the work ran while no worker did it.
    pub lost_count: u64,
    /// Non-idempotent requests that workers ran more than once.
    pub doubled_count: u64,
    /// Requests that got an answer that was not their own, or not whole.
    pub crossed_count: u64,
    /// Requests that ran although their callers were told "not run", or for a team whose key they
    /// did not carry, and runs that nobody asked for.
    pub untrue_count: u64,
    /// Runs in the workers' journals.
    pub runs_count: u64,
    /// The first faults, a line each.
    pub faults: Vec<String>,
}

/// A way in which a request can be at fault.
#[derive(Clone, Copy, Debug, strum::Display)]
#[strum(serialize_all = "snake_case")]
enum Fault {
    Lost,
    Doubled,
    Crossed,
    Untrue,
}

impl Account {
    /// Holds what callers received against the journals of the workers.
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
            account.note(Fault::Untrue, request_id, "nobody asked for this run");
        }
        account
    }

    /// Returns whether every request ended as promised.
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
        if let Some(why) = loss(outcome, &answers, runs) {
            self.note(Fault::Lost, &request_id, &why);
        }
        if !outcome.example.request.is_idempotent && runs.len() > 1 {
            self.note(Fault::Doubled, &request_id, "it ran more than once");
        }
        if answers.iter().any(|answer| is_crossed(outcome, answer)) {
            self.note(Fault::Crossed, &request_id, "the answer is not its own");
        }
        if let Some(why) = untruth(outcome, &answers, runs) {
            self.note(Fault::Untrue, &request_id, why);
        }
    }

    fn note(&mut self, fault: Fault, request_id: &str, why: &str) {
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

/// Returns why a request is lost, if it is.
fn loss(outcome: &Outcome, answers: &[&ReceivedAnswer], runs: &[&Run]) -> Option<String> {
    if let Some(Err(why)) = outcome.answers.iter().find(|answer| answer.is_err()) {
        return Some(format!("no answer came: {why}"));
    }
    let is_unproved = |answer: &&ReceivedAnswer| match answer.ran {
        _ if answer.status == STATUS_DONE => !has_succeeded(answer, runs),
        Some(RunState::Ran) => runs.is_empty(),
        _ => false,
    };
    answers
        .iter()
        .any(is_unproved)
        .then(|| "no worker ran what the answer says".to_owned())
}

/// Returns whether a worker ran the attempt that the answer speaks of to its end.
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
    // A refusal before the head was understood names no request.
    if !answer.request_id.is_empty() && answer.request_id != request.request_id {
        return true;
    }
    if answer.status != STATUS_DONE {
        return false;
    }
    let Some(task) = TaskAnswer::decode(&answer.body) else {
        return true;
    };
    let is_attempt_named = answer.attempt_id.is_empty() || answer.attempt_id == task.attempt_id;
    !(is_attempt_named && task.is_for(&request.request_id, &request.body))
}

/// Returns which promise besides the counted ones a request's runs break, if any.
fn untruth(outcome: &Outcome, answers: &[&ReceivedAnswer], runs: &[&Run]) -> Option<&'static str> {
    let example = &outcome.example;
    let is_denied = !answers.is_empty()
        && answers
            .iter()
            .all(|answer| answer.ran == Some(RunState::NotRun));
    match example.pattern {
        _ if runs.is_empty() => None,
        _ if is_denied => Some("the caller was told that it did not run"),
        CallPattern::Faulty(_) => Some("it had to be refused"),
        _ if runs.iter().any(|run| run.team != example.team) => Some("it ran for another team"),
        _ => None,
    }
}
