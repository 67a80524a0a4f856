//! Status of one entry, as reported to operators.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    entry::engine::Engine,
    error::RetryReason,
    fleet::{Offset, Standing, TeamName},
    ledger::SeatId,
};

/// Status of one entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EntryStatus {
    /// Name of the entry instance.
    pub entry: SmolStr,
    /// Seat of the entry.
    pub seat: SeatId,
    /// Whether it accepts work.
    pub is_serving: bool,
    /// Whether it is stopping.
    pub is_draining: bool,
    /// Time left of the seat's lease, in milliseconds.
    pub lease_left_ms: u64,
    /// Time since the head of the log was last seen, in milliseconds; none if it never was.
    pub log_age_ms: Option<u64>,
    /// All records below this offset are folded.
    pub next_offset: Offset,
    /// Version of the lists in force.
    pub lists_version: u64,
    /// Live seats.
    pub live_seats: Vec<SeatId>,
    /// Keys in force.
    pub keys_count: u64,
    /// Withdrawals of keys that are known and not read from the log yet.
    pub withdrawn_unlogged_count: u64,
    /// Requests held.
    pub requests_count: u64,
    /// Requests waiting.
    pub waiting_count: u64,
    /// Attempts that may be running, including those of unknown outcome.
    pub running_count: u64,
    /// Calls received since the start.
    pub calls_count: u64,
    /// Calls answered with success since the start.
    pub answered_count: u64,
    /// Refusals and failures since the start, by kind.
    pub refused: IndexMap<SmolStr, u64>,
    /// Retries since the start, by reason.
    pub retried: IndexMap<SmolStr, u64>,
    /// Retries that were not made since the start, by reason.
    pub not_retried: IndexMap<SmolStr, u64>,
    /// Attempts on workers since the start.
    pub attempts_count: u64,
    /// Appends since the start.
    pub appends_count: u64,
    /// Seats lost since the start.
    pub seats_lost_count: u64,
    /// Verdicts on planned stops and moves since the start.
    pub planned_judged_count: u64,
    /// Rejections among these verdicts.
    pub planned_rejected_count: u64,
    /// Instances by standing.
    pub instances: IndexMap<SmolStr, u64>,
    /// Limits of teams.
    pub teams: IndexMap<TeamName, TeamStatus>,
}

/// Status of one team's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamStatus {
    /// Limit for the whole fleet, in requests.
    pub limit_requests: u32,
    /// Part of it that this entry may use, in requests.
    pub allowance_requests: u32,
    /// Part of it that no seat holds, in requests.
    pub free_requests: u32,
}

impl Engine {
    /// Returns whether no request is held and no change is waiting or in flight.
    pub(crate) fn is_idle(&self) -> bool {
        self.requests.len() == 0 && self.proposer.is_idle()
    }

    /// Returns the status of this entry.
    pub fn status(&self) -> EntryStatus {
        let now_ms = self.now.mono_ms;
        let ledger = &self.ledger;
        let names = |rows: &IndexMap<SmolStr, u64>| rows.clone();
        let refused = self.counts.refused.iter();
        let refused = refused.map(|(kind, count)| (SmolStr::new(kind.name()), *count));
        let mut instances: IndexMap<Standing, u64> = IndexMap::new();
        for entry in ledger.instances.iter() {
            *instances.entry(entry.standing).or_default() += 1;
        }
        EntryStatus {
            entry: self.settings.entry.clone(),
            seat: self.seat.clone(),
            is_serving: self.is_serving(),
            is_draining: self.is_draining,
            lease_left_ms: self.lease.left_ms(now_ms),
            log_age_ms: self.contact.log_age_ms(now_ms),
            next_offset: ledger.next_offset,
            lists_version: ledger.lists_version,
            live_seats: ledger
                .seats
                .iter_live()
                .map(|(seat, _)| seat.clone())
                .collect(),
            keys_count: ledger
                .keys
                .iter()
                .filter(|(_, row)| !row.is_withdrawn)
                .count() as u64,
            withdrawn_unlogged_count: self.withdrawn.len() as u64,
            requests_count: self.requests.len() as u64,
            waiting_count: self.wait.len() as u64,
            running_count: self.requests.may_run().count() as u64,
            calls_count: self.counts.calls_count,
            answered_count: self.counts.answered_count,
            refused: names(&refused.collect()),
            retried: self.retried(),
            not_retried: named(self.retry.stopped_count()),
            attempts_count: self.counts.attempts_count,
            appends_count: self.counts.appends_count,
            seats_lost_count: self.counts.seats_lost_count,
            planned_judged_count: self.upkeep.verdicts_count,
            planned_rejected_count: self.upkeep.rejected_count,
            instances: named(&instances),
            teams: self.team_statuses(),
        }
    }

    fn retried(&self) -> IndexMap<SmolStr, u64> {
        let mut rows: IndexMap<SmolStr, u64> = IndexMap::new();
        for (reason, count) in self.retry.retried_count() {
            let name = SmolStr::new(RetryReason::from(*reason).to_string());
            *rows.entry(name).or_default() += count;
        }
        rows
    }

    fn team_statuses(&self) -> IndexMap<TeamName, TeamStatus> {
        self.ledger
            .escrow
            .iter()
            .map(|(team, escrow)| {
                let status = TeamStatus {
                    limit_requests: escrow.limit_requests,
                    allowance_requests: escrow.allowance_requests(&self.seat),
                    free_requests: escrow.free_requests(),
                };
                (team.clone(), status)
            })
            .collect()
    }
}

fn named<K: ToString>(rows: &IndexMap<K, u64>) -> IndexMap<SmolStr, u64> {
    rows.iter()
        .map(|(key, count)| (SmolStr::new(key.to_string()), *count))
        .collect()
}
