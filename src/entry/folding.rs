//! Applies pages of the log and the effects of folded records to the engine's state.

use crate::entry::engine::Engine;

use crate::{
    entry::event::Source,
    fleet::{MonoMs, Offset},
    ledger::{Effect, Ledger, SeatChange, Verdict},
    policy::keys::TeamKey,
    ports::LogPage,
};

impl Engine {
    pub(crate) fn apply_log_page(
        &mut self,
        sent_ms: MonoMs,
        from_offset: Offset,
        page: &LogPage,
        source: &Source,
    ) {
        let was_log_stale = !self
            .contact
            .is_log_fresh(self.now.mono_ms, self.settings.config_stale_max_ms);
        if *source == Source::Log {
            self.is_log_reachable = true;
            self.contact.record_log_answer(sent_ms);
            self.oldest_offset = self.oldest_offset.max(page.oldest_offset);
        }
        let first = self.ledger.next_offset;
        let progress = self.reader.apply_page(&mut self.ledger, from_offset, page);
        if progress.is_replaced {
            self.rebuild_from_ledger();
        }
        for (effect, offset) in progress.effects.iter().zip(first..) {
            let bytes = payload_bytes(page, offset);
            self.snapshots.record_folded(effect, bytes);
            self.apply_effect(effect);
        }
        self.contact
            .record_folded(self.now.mono_ms, self.ledger.next_offset);
        let is_at_head = progress.is_at_head && *source == Source::Log;
        if is_at_head {
            self.open_seat_if_none();
        }
        if is_at_head
            && self.was_seat_confirmed
            && self.contact.may_be_head(self.ledger.next_offset)
        {
            if was_log_stale {
                self.watch.reset();
            }
            self.contact.record_log_head(sent_ms);
            self.head_reached_ms.get_or_insert(self.now.mono_ms);
        }
        self.sync_lists();
    }

    pub(crate) fn apply_peer_ledger(&mut self, text: &str) {
        let Ok(ledger) = Ledger::from_snapshot(text) else {
            return;
        };
        if ledger.next_offset > self.ledger.next_offset {
            self.ledger = ledger;
            self.reader.follow();
            self.contact
                .record_folded(self.now.mono_ms, self.ledger.next_offset);
            self.rebuild_from_ledger();
            self.sync_lists();
        }
    }

    /// Rebuilds all derived state after the ledger was replaced.
    pub(crate) fn rebuild_from_ledger(&mut self) {
        self.lists_version = 0;
        self.sync_lists();
        self.sync_all_workers();
        self.reset_upkeep();
        // The new ledger may contain changes of this seat whose effects were not seen here.
        if self.seats_opened_count > 0 {
            self.counts.seats_lost_count += 1;
            self.drop_claims_of_lost_seat();
            self.open_seat();
        }
    }

    pub(crate) fn sync_lists(&mut self) {
        if self.lists_version == self.ledger.lists_version {
            return;
        }
        self.lists_version = self.ledger.lists_version;
        let lists = self.ledger.lists.clone();
        for team in &lists.plans.teams {
            let (index, _) = self.teams.insert_full(team.name.clone());
            let weight = lists.share_weight(team);
            self.usage.set_weight(TeamKey(index as u32), weight);
        }
        for queue in &lists.entitlements.queues {
            self.queues.insert(queue.name.clone());
        }
        self.mark_all_pools_changed();
        log_event!(self, "lists_in_force", version = self.lists_version);
    }

    pub(crate) fn apply_effect(&mut self, effect: &Effect) {
        match effect {
            Effect::Batch { batch, verdicts } => {
                let is_own = batch.seat == self.seat;
                if is_own {
                    self.apply_own_batch(batch.seq, &batch.changes);
                }
                for (change, verdict) in batch.changes.iter().zip(verdicts) {
                    self.apply_change(is_own, change, verdict);
                }
            }
            Effect::BatchIgnored { seat, seq } if *seat == self.seat => {
                self.proposer.record_folded(*seq);
                self.reopen_seat_if_expired();
            }
            Effect::Operator { proposal, verdict } => {
                log_event!(
                    self,
                    "operator_change",
                    proposal = proposal.proposal_id,
                    is_accepted = *verdict == Verdict::Accepted
                );
            }
            Effect::BatchIgnored { .. } | Effect::Snapshot(_) | Effect::Unreadable => {}
        }
    }

    pub(crate) fn apply_own_batch(&mut self, seq: u64, changes: &[SeatChange]) {
        let sent_ms = self.proposer.record_folded(seq);
        self.is_seat_confirmed = true;
        self.was_seat_confirmed = true;
        let is_renewal = |change: &SeatChange| {
            matches!(change, SeatChange::Open { .. } | SeatChange::Renew { .. })
        };
        if let Some(sent_ms) = sent_ms.filter(|_| changes.iter().any(is_renewal)) {
            self.lease.renewed(sent_ms);
        }
        for change in changes {
            self.escrow.record_folded(change);
        }
    }

    pub(crate) fn apply_change(&mut self, is_own: bool, change: &SeatChange, verdict: &Verdict) {
        match (change, verdict) {
            (SeatChange::Claim { team, request_id }, verdict) if is_own => {
                self.apply_claim_verdict(team, request_id, verdict);
            }
            (SeatChange::JobSubmit { job }, verdict) if is_own => {
                self.apply_submit_verdict(job, verdict);
            }
            (
                SeatChange::JobAdopt {
                    team, request_id, ..
                },
                Verdict::Accepted,
            ) if is_own => self.enqueue_job(team, request_id, true),
            (SeatChange::JobStart { team, request_id }, verdict) if is_own => {
                self.apply_job_start_verdict(team, request_id, verdict);
            }
            (SeatChange::ExpireSeat { target, .. }, Verdict::Accepted) => {
                log_event!(self, "seat_expired", seat = target);
                self.reopen_seat_if_expired();
            }
            (SeatChange::InstanceSeen { row }, Verdict::Accepted) => self.sync_worker(&row.name),
            (
                SeatChange::InstanceGone { name, .. }
                | SeatChange::Standing { name, .. }
                | SeatChange::StopClaim { name, .. }
                | SeatChange::StopProceed { name, .. }
                | SeatChange::StopCancel { name, .. }
                | SeatChange::PoolRelease { name, .. }
                | SeatChange::PoolAssign { name, .. }
                | SeatChange::MarkBad { name, .. },
                verdict,
            ) => {
                self.record_instance_change(change, verdict);
                self.sync_worker(name);
            }
            _ => {}
        }
    }
}

fn payload_bytes(page: &LogPage, offset: Offset) -> u64 {
    let first = page.records.first().map_or(0, |record| record.offset);
    let index = offset.saturating_sub(first) as usize;
    page.records
        .get(index)
        .map_or(0, |record| record.payload.len() as u64)
}
