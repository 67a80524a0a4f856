//! Times of the latest contact with the log and with peers, which decide whether the configuration
//! is fresh.
//!
//! While the log is unavailable, the configuration is fresh only while this entry has contact with
//! a majority of the live seats. An operator's withdrawal counts as done once a majority has
//! acknowledged it, and any two majorities share a seat. Contact with a peer counts only once this
//! entry has folded everything that the peer had folded. A page of the log counts only if no
//! acknowledged append and no peer proves that the log has more records. If the log answers, but
//! does not show in time the records that are proved to be in it, the configuration is stale even
//! with contact to a majority.

use std::collections::HashMap;

use crate::{
    fleet::{MonoMs, Offset},
    ledger::{Ledger, SeatId},
};

/// Times of the latest contacts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Contact {
    log_head_seen_ms: Option<MonoMs>,
    /// Start of the latest read that the log answered, even if with an old view.
    log_answered_ms: Option<MonoMs>,
    /// All records below this offset are known to be in the log; a page whose head is lower is an
    /// old view.
    known_head_offset: Offset,
    /// Since when the log is known to have records that are not folded here, and the offset up to
    /// which it had them then.
    behind: Option<(MonoMs, Offset)>,
    peers: HashMap<SeatId, PeerContact>,
}

/// The latest contact with one peer.
#[derive(Clone, Copy, Debug, Default)]
struct PeerContact {
    /// Start of the latest exchange for which everything that the peer had folded is folded here.
    contact_ms: Option<MonoMs>,
    /// Start of a later exchange, and the offset up to which the peer had folded.
    ahead: Option<(MonoMs, Offset)>,
}

impl Contact {
    /// Records that a read sent at `sent_ms` showed the head of the log, and that all of it is
    /// folded.
    pub(crate) fn record_log_head(&mut self, sent_ms: MonoMs) {
        self.log_head_seen_ms = self.log_head_seen_ms.max(Some(sent_ms));
    }

    /// Records that the log answered a read sent at `sent_ms`.
    pub(crate) fn record_log_answer(&mut self, sent_ms: MonoMs) {
        self.log_answered_ms = self.log_answered_ms.max(Some(sent_ms));
    }

    /// Records that the log has all records below `offset`, even if its pages do not show them.
    pub(crate) fn record_known_head(
        &mut self,
        now_ms: MonoMs,
        offset: Offset,
        folded_offset: Offset,
    ) {
        self.known_head_offset = self.known_head_offset.max(offset);
        if self.behind.is_none() && offset > folded_offset {
            self.behind = Some((now_ms, offset));
        }
    }

    /// Returns whether a page with the head `offset` may show the current state of the log.
    pub(crate) fn may_be_head(&self, offset: Offset) -> bool {
        offset >= self.known_head_offset
    }

    /// Records that a peer that had folded up to `peer_offset` answered an exchange started at
    /// `sent_ms`. The contact counts once this entry has folded as much.
    pub(crate) fn record_peer_answer(
        &mut self,
        seat: &SeatId,
        sent_ms: MonoMs,
        peer_offset: Offset,
        folded_offset: Offset,
    ) {
        let contact = self.peers.entry(seat.clone()).or_default();
        match contact.ahead {
            _ if peer_offset <= folded_offset => {
                contact.contact_ms = contact.contact_ms.max(Some(sent_ms));
            }
            None => contact.ahead = Some((sent_ms, peer_offset)),
            // Wait for the earlier exchange first.
            Some(_) => {}
        }
    }

    /// Records that all records below `folded_offset` are folded.
    pub(crate) fn record_folded(&mut self, now_ms: MonoMs, folded_offset: Offset) {
        if self
            .behind
            .is_some_and(|(_, offset)| offset <= folded_offset)
        {
            let is_behind = self.known_head_offset > folded_offset;
            self.behind = is_behind.then_some((now_ms, self.known_head_offset));
        }
        for contact in self.peers.values_mut() {
            let reached = contact.ahead.filter(|(_, offset)| *offset <= folded_offset);
            if let Some((sent_ms, _)) = reached {
                contact.contact_ms = contact.contact_ms.max(Some(sent_ms));
                contact.ahead = None;
            }
        }
    }

    /// Forgets peers whose seat has ended.
    pub(crate) fn forget_ended(&mut self, ledger: &Ledger) {
        self.peers
            .retain(|seat, _| ledger.seats.get(seat).is_some());
    }

    /// Returns whether the head of the log was seen within `max_age_ms`.
    pub(crate) fn is_log_fresh(&self, now_ms: MonoMs, max_age_ms: u64) -> bool {
        is_fresh(self.log_head_seen_ms, now_ms, max_age_ms)
    }

    /// Returns the start of the latest read that showed the head of the log.
    pub(crate) fn log_head_seen_ms(&self) -> Option<MonoMs> {
        self.log_head_seen_ms
    }

    /// Returns the time since the head of the log was seen, in milliseconds.
    pub(crate) fn log_age_ms(&self, now_ms: MonoMs) -> Option<u64> {
        self.log_head_seen_ms
            .map(|contact_ms| now_ms.saturating_sub(contact_ms))
    }

    /// Returns whether the configuration is fresh.
    pub(crate) fn is_config_fresh(
        &self,
        now_ms: MonoMs,
        max_age_ms: u64,
        ledger: &Ledger,
        own: &SeatId,
    ) -> bool {
        // In an outage no entry can read the latest records, so contact with peers decides alone.
        let is_answering = is_fresh(self.log_answered_ms, now_ms, max_age_ms);
        let is_behind = self
            .behind
            .is_some_and(|(since_ms, _)| now_ms.saturating_sub(since_ms) > max_age_ms);
        let is_behind = is_behind && is_answering;
        self.is_log_fresh(now_ms, max_age_ms)
            || (!is_behind && self.has_majority_contact(now_ms, max_age_ms, ledger, own))
    }

    /// Returns whether this entry has recent contact with a majority of the live seats, its own
    /// included.
    pub(crate) fn has_majority_contact(
        &self,
        now_ms: MonoMs,
        max_age_ms: u64,
        ledger: &Ledger,
        own: &SeatId,
    ) -> bool {
        let has_contact = |seat: &SeatId| {
            let contact = self.peers.get(seat);
            let contact_ms = contact.and_then(|contact| contact.contact_ms);
            seat == own || is_fresh(contact_ms, now_ms, max_age_ms)
        };
        let live_count = ledger.seats.iter_live().count();
        let contact_count = ledger
            .seats
            .iter_live()
            .filter(|(seat, _)| has_contact(seat))
            .count();
        contact_count * 2 > live_count
    }
}

fn is_fresh(contact_ms: Option<MonoMs>, now_ms: MonoMs, max_age_ms: u64) -> bool {
    contact_ms.is_some_and(|contact_ms| now_ms.saturating_sub(contact_ms) <= max_age_ms)
}
