//! Explanations for operators: why a request, stop or move would be refused or delayed now.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    adapters::operators_http::Explain,
    entry::engine::Engine,
    error::ErrorKind,
    fleet::{InstanceName, Resources, TeamName},
    upkeep::BudgetBreach,
};

/// Why a request, stop or move would be refused or delayed now.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Whether it would be accepted at once.
    pub is_free: bool,
    /// All reasons against it, one sentence each, the deciding one first.
    pub reasons: Vec<String>,
}

impl Explanation {
    fn of(reasons: Vec<String>) -> Self {
        Self {
            is_free: reasons.is_empty(),
            reasons,
        }
    }
}

impl Engine {
    /// Answers an operator's question.
    pub(crate) fn explain(&self, question: &Explain) -> Explanation {
        let mut reasons = self.explain_admission();
        match question {
            Explain::Request {
                queue,
                team,
                size,
                deadline_ms,
            } => reasons.extend(self.explain_request(queue, team.as_ref(), size, *deadline_ms)),
            Explain::Stop { instance } => {
                let verdict = self.ledger.instances.check_stop(instance);
                reasons.extend(self.explain_planned(instance, verdict));
            }
            Explain::Move { instance, to_pool } => {
                if self.ledger.instances.pool_key(to_pool).is_none() {
                    reasons.push(format!("unknown_pool: no pool is called {to_pool}."));
                }
                let verdict = self.ledger.instances.check_release(instance);
                reasons.extend(self.explain_planned(instance, verdict));
            }
        }
        Explanation::of(reasons)
    }

    fn explain_admission(&self) -> Vec<String> {
        let state = self.admission_state();
        let checks = [
            (state.is_draining, ErrorKind::Draining),
            (!state.is_ready, ErrorKind::EntryNotReady),
            (!state.is_config_fresh, ErrorKind::ConfigurationStale),
            (!state.is_log_fresh, ErrorKind::LogUnavailable),
            (!state.is_lease_valid, ErrorKind::SeatLapsed),
        ];
        checks
            .into_iter()
            .filter(|(is_met, _)| *is_met)
            .map(|(_, kind)| reason(kind))
            .collect()
    }

    fn explain_request(
        &self,
        queue: &str,
        team: Option<&TeamName>,
        size: &Resources,
        deadline_ms: u64,
    ) -> Vec<String> {
        let mut queues = self.ledger.lists.entitlements.queues.iter();
        let Some(row) = queues.find(|row| row.name == queue) else {
            return vec![reason(ErrorKind::UnknownQueue)];
        };
        let mut reasons = Vec::new();
        match team {
            _ if row.is_open_to_all => {}
            None => reasons.push(reason(ErrorKind::KeyMissing)),
            Some(team) => reasons.extend(self.explain_team(queue, team, size)),
        }
        let pools = self.pools_of(queue);
        let free_count: usize = pools
            .iter()
            .map(|pool| self.placement.free_workers_count(*pool))
            .sum();
        if free_count == 0 {
            reasons.push("no_free_worker: every worker of the queue's pools is taken, ejected or being stopped; the request would wait.".to_owned());
        }
        if self.wait.len() >= self.settings.queue.waiting_max_count {
            reasons.push(reason(ErrorKind::QueueFull));
        }
        if deadline_ms == 0 {
            reasons.push(reason(ErrorKind::DeadlinePassed));
        }
        reasons
    }

    fn explain_team(&self, queue: &str, team: &TeamName, size: &Resources) -> Vec<String> {
        let lists = &self.ledger.lists;
        let entitlement = lists
            .plan_of(team)
            .and_then(|plan| lists.entitlement_of(&plan.name));
        let mut reasons = Vec::new();
        match entitlement {
            Some(row) if row.queues.iter().any(|name| name == queue) => {
                if !size.fits_in(&row.request_max) {
                    reasons.push(reason(ErrorKind::TooLarge));
                }
            }
            Some(_) | None => reasons.push(reason(ErrorKind::NotEntitled)),
        }
        if !self.escrow.can_start(&self.ledger, &self.seat, team) {
            let escrow = self.ledger.escrow.get(team);
            let (limit, free) =
                escrow.map_or((0, 0), |row| (row.limit_requests, row.free_requests()));
            // A part of the limit that no seat holds is taken by one append, so only a fully held
            // limit delays the request.
            if free == 0 {
                reasons.push(format!(
                    "{}: the entries hold the team's whole limit of {limit} requests, and this one has no unused part of it; the request would wait for a part.",
                    ErrorKind::LimitReached.name()
                ));
            }
        }
        reasons
    }

    fn explain_planned(
        &self,
        instance: &InstanceName,
        verdict: Result<(), BudgetBreach>,
    ) -> Vec<String> {
        let mut reasons = Vec::new();
        match verdict {
            Ok(()) => {}
            Err(breach @ BudgetBreach::UnknownInstance) => {
                return vec![format!("{breach}: no instance is called {instance}.")];
            }
            Err(breach) => {
                let numbers = serde_json::to_string(&breach).unwrap_or_default();
                reasons.push(format!(
                    "{breach}: the budgets do not allow it now {numbers}."
                ));
            }
        }
        let entry = self.ledger.instances.get(instance);
        let stopping = entry.filter(|entry| entry.stop.is_some());
        if let Some(entry) = stopping.filter(|entry| !self.ledger.is_clean_at(entry.stop_offset)) {
            let waits_for: Vec<SmolStr> = self
                .ledger
                .seats
                .iter()
                .filter(|(_, row)| row.clean_offset <= entry.stop_offset)
                .map(|(seat, _)| seat.clone())
                .collect();
            reasons.push(format!(
                "seats_not_clean: it waits until these seats have nothing in flight there: {}.",
                waits_for.join(", ")
            ));
        }
        reasons
    }
}

fn reason(kind: ErrorKind) -> String {
    format!("{}: {}", kind.name(), kind.answer().text)
}
