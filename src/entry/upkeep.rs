//! Maintenance of the instances by the driving seat: syncs the ledger with the instance list and
//! advances claimed stops and moves. Any seat may drive. Each proposal is checked at its offset in
//! the log, so two drivers at the same time do no harm.

use std::collections::HashMap;

use smol_str::SmolStr;

use crate::{
    entry::{
        engine::{Engine, PEER_MAX_AGE_MS},
        event::Action,
    },
    fleet::{InstanceName, InstanceRow, MonoMs, Standing},
    ledger::{InstanceEntry, PlannedStopReason, SeatChange, SeatId, Verdict},
};

/// Time after which a proposal or order about the same instance may be repeated, in milliseconds.
const REPEAT_AFTER_MS: u64 = 2_000;

/// Maximum number of instance proposals in one poll.
const PROPOSALS_MAX_COUNT: usize = 128;

/// Returns whether the ledger already reflects a row of the instance list.
fn is_up_to_date(entry: &InstanceEntry, row: &InstanceRow) -> bool {
    let is_same = entry.row.incarnation == row.incarnation;
    let is_available_again = entry.standing == Standing::Down && !row.leaving;
    let has_begun_leaving = row.leaving && !entry.row.leaving;
    is_same && !is_available_again && !has_begun_leaving
}

/// State of the driver between two polls.
#[derive(Clone, Debug, Default)]
pub(crate) struct Upkeep {
    polled_ms: MonoMs,
    acted_ms: HashMap<(InstanceName, SmolStr), MonoMs>,
    /// Version of the list and change count of the ledger at which the two were found in sync.
    synced_at: Option<(u64, u64)>,
    pub(crate) verdicts_count: u64,
    pub(crate) rejected_count: u64,
}

impl Engine {
    /// Polls jobs and demand, and maintains the instances if this seat drives that.
    pub(crate) fn poll_upkeep(&mut self) {
        self.poll_jobs();
        self.sample_demand();
        let now_ms = self.now.mono_ms;
        if now_ms < self.upkeep.polled_ms + self.settings.upkeep_every_ms {
            return;
        }
        self.upkeep.polled_ms = now_ms;
        let is_driver = self.drives_upkeep();
        let max_age_ms = self.settings.config_stale_max_ms;
        let is_fresh = self.contact.is_log_fresh(now_ms, max_age_ms);
        if !is_driver || !is_fresh || !self.lease.is_valid(now_ms) || self.is_draining {
            return;
        }
        self.upkeep
            .acted_ms
            .retain(|_, acted_ms| now_ms < *acted_ms + REPEAT_AFTER_MS);
        self.sync_instance_list();
        self.advance_stops();
        self.poll_decisions();
        self.probe_doubtful();
    }

    /// Returns whether this seat drives the maintenance. A seat whose instance list is stale leaves
    /// it to the others, unless the lists of all seats are stale.
    fn drives_upkeep(&self) -> bool {
        let now_ms = self.now.mono_ms;
        let is_in_touch = |seat: &SeatId| match self.peers.get(seat) {
            _ if *seat == self.seat => !self.is_list_stale(),
            Some(hint) if now_ms <= hint.received_ms + PEER_MAX_AGE_MS => {
                !hint.gossip.is_list_stale
            }
            Some(_) | None => true,
        };
        self.ledger.seats.choose_among("upkeep", is_in_touch) == Some(&self.seat)
    }

    /// Forces a new comparison of the list and the ledger, after the ledger was replaced.
    pub(crate) fn reset_upkeep(&mut self) {
        self.upkeep.synced_at = None;
    }

    /// Proposes the changes that sync the ledger with the instance list.
    fn sync_instance_list(&mut self) {
        if !self.workers.is_list_known() {
            return;
        }
        let current = (
            self.workers.list_version(),
            self.ledger.instances.changes_count(),
        );
        if self.upkeep.synced_at == Some(current) {
            return;
        }
        let mut changes = Vec::new();
        for row in self.workers.iter_listed() {
            let is_known = self
                .ledger
                .instances
                .get(&row.name)
                .is_some_and(|entry| is_up_to_date(entry, row));
            if !is_known {
                let change = SeatChange::InstanceSeen { row: row.clone() };
                changes.push((row.clone(), change));
            }
        }
        for entry in self.ledger.instances.iter() {
            let is_listed = self.workers.listed(&entry.row.name).is_some();
            let is_settled = matches!(entry.standing, Standing::Down | Standing::Stopped);
            if !is_listed && !is_settled {
                let change = SeatChange::InstanceGone {
                    name: entry.row.name.clone(),
                    incarnation: entry.row.incarnation.clone(),
                };
                changes.push((entry.row.clone(), change));
            }
        }
        self.upkeep.synced_at = changes.is_empty().then_some(current);
        changes.truncate(PROPOSALS_MAX_COUNT);
        for (row, change) in changes {
            self.propose_once(&row, change);
        }
    }

    /// Advances claimed stops and moves by their next step.
    fn advance_stops(&mut self) {
        let entries: Vec<InstanceEntry> = self
            .workers
            .stopping()
            .filter_map(|name| self.ledger.instances.get(name))
            .cloned()
            .collect();
        for entry in entries {
            self.advance_stop(&entry);
        }
    }

    fn advance_stop(&mut self, entry: &InstanceEntry) {
        let name = entry.row.name.clone();
        let version = entry.version;
        let is_clean = self.ledger.is_clean_at(entry.stop_offset);
        match (&entry.stop, entry.standing) {
            (Some(PlannedStopReason::Maintenance), Standing::Draining) if is_clean => {
                self.propose_once(&entry.row, SeatChange::StopProceed { name, version });
            }
            (Some(PlannedStopReason::Move(_)), Standing::Draining) if is_clean => {
                self.propose_once(&entry.row, SeatChange::PoolAssign { name, version });
            }
            (Some(PlannedStopReason::Maintenance), Standing::Stopped)
                if self.is_action_due(&entry.row) =>
            {
                self.actions.push(Action::Reboot {
                    name,
                    incarnation: entry.row.incarnation.clone(),
                });
            }
            _ => {}
        }
    }

    fn probe_doubtful(&mut self) {
        let doubtful: Vec<InstanceName> = self
            .ledger
            .instances
            .iter()
            .filter(|entry| entry.standing == Standing::Doubtful)
            .map(|entry| entry.row.name.clone())
            .collect();
        for name in doubtful {
            self.probe(&name);
        }
    }

    pub(crate) fn propose_once(&mut self, row: &InstanceRow, change: SeatChange) {
        if self.is_action_due(row) {
            self.propose(change);
        }
    }

    /// Returns whether it is time to act on an incarnation again; if so, records the action.
    fn is_action_due(&mut self, row: &InstanceRow) -> bool {
        let now_ms = self.now.mono_ms;
        let key = (row.name.clone(), row.incarnation.clone());
        let acted_ms = self.upkeep.acted_ms.get(&key);
        let is_due = acted_ms.is_none_or(|acted_ms| now_ms >= acted_ms + REPEAT_AFTER_MS);
        if is_due {
            self.upkeep.acted_ms.insert(key, now_ms);
        }
        is_due
    }

    /// Orders a worker to drain when its stop or release is accepted, and to accept work again when
    /// that is cancelled or its move is done, if this seat drives the maintenance.
    fn drain_worker(&mut self, change: &SeatChange, verdict: &Verdict) {
        let (name, is_draining) = match change {
            SeatChange::StopClaim { name, .. } | SeatChange::PoolRelease { name, .. } => {
                (name, true)
            }
            SeatChange::StopCancel { name, .. } | SeatChange::PoolAssign { name, .. } => {
                (name, false)
            }
            _ => return,
        };
        let is_driver = self.drives_upkeep();
        let entry = self.ledger.instances.get(name);
        if let Some(entry) = entry.filter(|_| is_driver && *verdict == Verdict::Accepted) {
            self.actions.push(Action::DrainWorker {
                address: entry.row.address.clone(),
                is_draining,
            });
        }
    }

    /// Counts and logs the verdict on a planned stop or a move.
    pub(crate) fn record_instance_change(&mut self, change: &SeatChange, verdict: &Verdict) {
        let name = match change {
            SeatChange::StopClaim { name, .. }
            | SeatChange::StopProceed { name, .. }
            | SeatChange::StopCancel { name, .. }
            | SeatChange::PoolRelease { name, .. }
            | SeatChange::PoolAssign { name, .. } => name,
            _ => return,
        };
        self.drain_worker(change, verdict);
        if let (SeatChange::PoolRelease { name, to_pool, .. }, Verdict::Accepted) =
            (change, verdict)
        {
            self.record_move(name, to_pool);
        }
        self.upkeep.verdicts_count += 1;
        // The next step does not wait for the repeat time of this one.
        self.upkeep.acted_ms.retain(|(acted, _), _| acted != name);
        let reason = match verdict {
            Verdict::Rejected(reason) => {
                self.upkeep.rejected_count += 1;
                reason.clone()
            }
            Verdict::Accepted | Verdict::AcceptedCount(_) => "accepted".into(),
        };
        log_event!(self, "planned_change", instance = name, verdict = reason);
    }
}
