//! The seat of this entry: opened once the head of the log is reached, renewed, and replaced by a
//! new seat after it expired.

use crate::entry::engine::{new_proposer, Engine};

use smol_str::format_smolstr;

use crate::{
    entry::{escrow::SeatEscrow, seat::Lease},
    fleet::Offset,
    ledger::{KeyId, SeatChange},
};

impl Engine {
    pub(crate) fn open_seat_if_none(&mut self) {
        if self.seats_opened_count == 0 && !self.is_draining {
            self.open_seat();
        }
    }

    pub(crate) fn open_seat(&mut self) {
        self.seats_opened_count += 1;
        self.is_seat_confirmed = false;
        self.seat = match self.seats_opened_count {
            1 => self.incarnation.clone(),
            count => format_smolstr!("{}.{count}", self.incarnation),
        };
        self.proposer = new_proposer(&self.settings, &self.seat);
        self.lease = Lease::new(self.settings.seat_lease_ms, self.settings.seat_renew_ms);
        self.escrow = SeatEscrow::new(self.settings.escrow_idle_ms);
        self.propose(SeatChange::Open {
            peers_address: self.settings.peers_address.clone(),
            zone: self.settings.zone.clone(),
            lease_ms: self.settings.seat_lease_ms,
        });
        let withdrawn: Vec<KeyId> = self.withdrawn.iter().cloned().collect();
        for key_id in withdrawn {
            self.propose(SeatChange::WithdrawKey { key_id });
        }
        log_event!(self, "seat_opening", seat = self.seat);
    }

    /// Opens a new seat if other seats have expired this one.
    pub(crate) fn reopen_seat_if_expired(&mut self) {
        if self.is_closing {
            return;
        }
        if !self.is_seat_confirmed || self.ledger.seats.live(&self.seat).is_some() {
            return;
        }
        self.counts.seats_lost_count += 1;
        log_event!(self, "seat_lost", seat = self.seat);
        self.drop_claims_of_lost_seat();
        self.open_seat();
    }

    pub(crate) fn poll_seat(&mut self) {
        let now_ms = self.now.mono_ms;
        if self.ledger.seats.live(&self.seat).is_none() || self.is_closing {
            return;
        }
        self.update_placement_rank();
        let is_stop_pending = self.workers.has_stop_pending();
        if self.lease.is_renewal_due(now_ms, is_stop_pending) {
            let clean_offset = self.clean_offset();
            self.propose(SeatChange::Renew { clean_offset });
        }
        let max_age_ms = self.settings.config_stale_max_ms;
        if self.contact.is_log_fresh(now_ms, max_age_ms) {
            let run_max_ms = crate::ledger::RUN_MAX_MS;
            let changes = self
                .watch
                .poll(now_ms, &self.ledger, &self.seat, run_max_ms);
            for change in changes {
                self.propose(change);
            }
        }
        self.contact.forget_ended(&self.ledger);
    }

    /// Updates this entry's rank among the live seats for the placement, so that each entry starts
    /// with different workers.
    pub(crate) fn update_placement_rank(&mut self) {
        let seats = &self.ledger.seats;
        let before = seats.iter_live().filter(|(seat, _)| **seat < self.seat);
        let rank = before.count() as u32;
        let count = seats.iter_live().count() as u32;
        self.placement.set_rank(rank, count);
    }

    /// Returns the offset below which this seat is clean: for each stop or move claimed below it,
    /// no attempt decided up to that claim may still be running on the instance. Other attempts do
    /// not hold the offset back.
    pub(crate) fn clean_offset(&self) -> Offset {
        let held_back = |instance: &str, decided_offset: Offset| {
            let entry = self.ledger.instances.get(instance)?;
            let is_held = entry.stop.is_some() && decided_offset <= entry.stop_offset;
            is_held.then_some(entry.stop_offset)
        };
        self.requests
            .may_run()
            .filter_map(|attempt| held_back(&attempt.instance, attempt.decided_offset))
            .min()
            .unwrap_or(self.ledger.next_offset)
    }

    /// Decides whether any withdrawal that is not in the log yet would have reached this entry.
    ///
    /// A withdrawal is in force everywhere once a majority of the seats knows of it. A seat that
    /// knows of it and reaches the log persists it there in less than `config_stale_max_ms`. So
    /// either contact with a majority is enough, or a wait of that time after the head of the log
    /// was reached.
    pub(crate) fn poll_withdrawal_sync(&mut self) {
        let now_ms = self.now.mono_ms;
        let max_age_ms = self.settings.config_stale_max_ms;
        let Some(head_reached_ms) = self
            .head_reached_ms
            .filter(|_| !self.has_synced_withdrawals)
        else {
            return;
        };
        let has_majority_contact =
            self.contact
                .has_majority_contact(now_ms, max_age_ms, &self.ledger, &self.seat);
        self.has_synced_withdrawals =
            has_majority_contact || now_ms >= head_reached_ms + max_age_ms;
    }
}
