//! Upkeep of the instances by the seat that drives it: the ledger is brought in line with the
//! instance list, and claimed stops and moves are carried on. Any seat may drive; what it proposes
//! is judged at its offset, so two drivers at once do no harm.

use std::collections::HashMap;

use crate::{
    entry::{engine::Engine, event::Action},
    fleet::{InstanceName, MonoMs, Standing},
    ledger::{InstanceEntry, SeatChange, StopWhy, Verdict},
};

/// Time between two proposals or orders about the same instance, in milliseconds.
const AGAIN_MS: u64 = 2_000;

/// Proposals about instances in one look at most.
const PROPOSALS_MAX_COUNT: usize = 128;

/// What the driver remembers between two looks.
#[derive(Clone, Debug, Default)]
pub(crate) struct Upkeep {
    polled_ms: MonoMs,
    acted_ms: HashMap<InstanceName, MonoMs>,
    pub(crate) judged_count: u64,
    pub(crate) rejected_count: u64,
}

impl Engine {
    /// Looks at the instances, if this seat drives their upkeep.
    pub(crate) fn poll_upkeep(&mut self) {
        self.poll_jobs();
        self.sample_demand();
        let now_ms = self.now.mono_ms;
        if now_ms < self.upkeep.polled_ms + self.settings.upkeep_every_ms {
            return;
        }
        self.upkeep.polled_ms = now_ms;
        let is_driver = self.ledger.seats.choose("upkeep") == Some(&self.seat);
        let max_age_ms = self.settings.config_stale_max_ms;
        let is_fresh = self.contact.is_log_fresh(now_ms, max_age_ms);
        if !is_driver || !is_fresh || !self.lease.is_valid(now_ms) || self.is_draining {
            return;
        }
        self.upkeep
            .acted_ms
            .retain(|_, acted_ms| now_ms < *acted_ms + AGAIN_MS);
        self.register_listed();
        self.carry_on_stops();
        self.poll_decisions();
        self.probe_doubtful();
    }

    /// Brings the ledger in line with the instance list.
    fn register_listed(&mut self) {
        if !self.workers.is_list_known() {
            return;
        }
        let mut changes = Vec::new();
        for row in self.workers.all_listed() {
            let entry = self.ledger.instances.get(&row.name);
            let is_known = entry.is_some_and(|entry| entry.row.incarnation == row.incarnation);
            if !is_known {
                changes.push((
                    row.name.clone(),
                    SeatChange::InstanceSeen { row: row.clone() },
                ));
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
                changes.push((entry.row.name.clone(), change));
            }
        }
        changes.truncate(PROPOSALS_MAX_COUNT);
        for (name, change) in changes {
            self.propose_once(&name, change);
        }
    }

    /// Carries claimed stops and moves on.
    fn carry_on_stops(&mut self) {
        let entries: Vec<InstanceEntry> = self
            .workers
            .stopping()
            .filter_map(|name| self.ledger.instances.get(name))
            .cloned()
            .collect();
        for entry in entries {
            self.carry_on_stop(&entry);
        }
    }

    fn carry_on_stop(&mut self, entry: &InstanceEntry) {
        let name = entry.row.name.clone();
        let version = entry.version;
        let is_clean = self.ledger.is_clean_at(entry.stop_offset);
        match (&entry.stop, entry.standing) {
            (Some(StopWhy::Maintenance), Standing::Draining) if is_clean => {
                let name = name.clone();
                self.propose_once(&name.clone(), SeatChange::StopProceed { name, version });
            }
            (Some(StopWhy::Move(_)), Standing::Draining) if is_clean => {
                let name = name.clone();
                self.propose_once(&name.clone(), SeatChange::PoolAssign { name, version });
            }
            (Some(StopWhy::Maintenance), Standing::Stopped) if self.may_act(&name) => {
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

    pub(crate) fn propose_once(&mut self, name: &InstanceName, change: SeatChange) {
        if self.may_act(name) {
            self.propose(change);
        }
    }

    /// Returns whether it is time to act on an instance again, and notes that this is done.
    fn may_act(&mut self, name: &InstanceName) -> bool {
        let now_ms = self.now.mono_ms;
        let acted_ms = self.upkeep.acted_ms.get(name);
        let is_due = acted_ms.is_none_or(|acted_ms| now_ms >= acted_ms + AGAIN_MS);
        if is_due {
            self.upkeep.acted_ms.insert(name.clone(), now_ms);
        }
        is_due
    }

    /// Tells the worker of an accepted stop or move, if this seat drives the upkeep.
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
        let is_driver = self.ledger.seats.choose("upkeep") == Some(&self.seat);
        let entry = self.ledger.instances.get(name);
        if let Some(entry) = entry.filter(|_| is_driver && *verdict == Verdict::Accepted) {
            self.actions.push(Action::DrainWorker {
                address: entry.row.address.clone(),
                is_draining,
            });
        }
    }

    /// Counts and logs the verdict on a planned stop or a move.
    pub(crate) fn note_instance_change(&mut self, change: &SeatChange, verdict: &Verdict) {
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
            self.note_move(name, to_pool);
        }
        self.upkeep.judged_count += 1;
        // The next step need not wait for the last one to be due again.
        self.upkeep.acted_ms.remove(name);
        let reason = match verdict {
            Verdict::Rejected(reason) => {
                self.upkeep.rejected_count += 1;
                reason.clone()
            }
            Verdict::Accepted | Verdict::AcceptedCount(_) => "accepted".into(),
        };
        tell!(self, "planned_change", instance = name, verdict = reason);
    }
}
