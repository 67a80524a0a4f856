//! How recently this entry heard the log and its peers, and what may be trusted for that. With the
//! log out of reach, the configuration is trusted only while more than half of the live seats are
//! heard: an operator's withdrawal counts as done once more than half have acknowledged it, and two
//! such halves share a seat. Whoever is heard vouches only for what this entry has folded as well,
//! and a page of the log only if no acknowledged append and no peer proves that there is more. A
//! log that answers, but without showing in time what is proved to be in it, makes the configuration
//! stale whoever is heard.

use std::collections::HashMap;

use crate::{
    fleet::{MonoMs, Offset},
    ledger::{Ledger, SeatId},
};

/// Times of the latest contacts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Contact {
    log_head_seen_ms: Option<MonoMs>,
    /// Beginning of the latest read that the log answered at all, be it with an old view.
    log_answered_ms: Option<MonoMs>,
    /// The log has at least this many records, so a page that shows fewer is an old view.
    known_head_offset: Offset,
    /// Since when more than what is folded here is proved to be in the log, and how much it was.
    behind: Option<(MonoMs, Offset)>,
    peers: HashMap<SeatId, PeerContact>,
}

/// The latest contact with one peer.
#[derive(Clone, Copy, Debug, Default)]
struct PeerContact {
    /// Beginning of the latest exchange of which everything that the peer knew is folded here.
    contact_ms: Option<MonoMs>,
    /// Beginning of a later exchange, and the offset that the peer had reached.
    ahead: Option<(MonoMs, Offset)>,
}

impl Contact {
    /// Notes that a read sent at `sent_ms` showed the head of the log, and all of it is folded.
    pub(crate) fn record_log_head(&mut self, sent_ms: MonoMs) {
        self.log_head_seen_ms = self.log_head_seen_ms.max(Some(sent_ms));
    }

    /// Notes that the log answered a read sent at `sent_ms`.
    pub(crate) fn record_log_answer(&mut self, sent_ms: MonoMs) {
        self.log_answered_ms = self.log_answered_ms.max(Some(sent_ms));
    }

    /// Notes that the log has all records below `offset`, whatever its pages show.
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

    /// Returns whether a page may be the present state of the log, with `offset` as its head.
    pub(crate) fn may_be_head(&self, offset: Offset) -> bool {
        offset >= self.known_head_offset
    }

    /// Notes that a peer that had reached `peer_offset` answered an exchange that began at
    /// `sent_ms`. It counts once this entry has folded as much.
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
            // The earlier one is caught up with first.
            Some(_) => {}
        }
    }

    /// Notes that all records below `folded_offset` are folded.
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

    /// Forgets the peers that hold no seat any more.
    pub(crate) fn forget_ended(&mut self, ledger: &Ledger) {
        self.peers
            .retain(|seat, _| ledger.seats.get(seat).is_some());
    }

    /// Returns whether the log was heard within `max_age_ms`.
    pub(crate) fn is_log_fresh(&self, now_ms: MonoMs, max_age_ms: u64) -> bool {
        is_fresh(self.log_head_seen_ms, now_ms, max_age_ms)
    }

    /// Returns how long ago the log was heard.
    pub(crate) fn log_age_ms(&self, now_ms: MonoMs) -> Option<u64> {
        self.log_head_seen_ms
            .map(|contact_ms| now_ms.saturating_sub(contact_ms))
    }

    /// Returns whether the configuration may be trusted.
    pub(crate) fn is_config_fresh(
        &self,
        now_ms: MonoMs,
        max_age_ms: u64,
        ledger: &Ledger,
        own: &SeatId,
    ) -> bool {
        // In an outage nobody can read what landed last, and peers are all that is left to go by.
        let is_answering = is_fresh(self.log_answered_ms, now_ms, max_age_ms);
        let is_behind = self
            .behind
            .is_some_and(|(since_ms, _)| now_ms.saturating_sub(since_ms) > max_age_ms);
        let is_behind = is_behind && is_answering;
        self.is_log_fresh(now_ms, max_age_ms)
            || (!is_behind && self.has_majority_contact(now_ms, max_age_ms, ledger, own))
    }

    /// Returns whether more than half of the live seats are heard.
    pub(crate) fn has_majority_contact(
        &self,
        now_ms: MonoMs,
        max_age_ms: u64,
        ledger: &Ledger,
        own: &SeatId,
    ) -> bool {
        let is_heard = |seat: &SeatId| {
            let contact = self.peers.get(seat);
            let contact_ms = contact.and_then(|contact| contact.contact_ms);
            seat == own || is_fresh(contact_ms, now_ms, max_age_ms)
        };
        let live_count = ledger.seats.iter_live().count();
        let heard_count = ledger
            .seats
            .iter_live()
            .filter(|(seat, _)| is_heard(seat))
            .count();
        heard_count * 2 > live_count
    }
}

fn is_fresh(contact_ms: Option<MonoMs>, now_ms: MonoMs, max_age_ms: u64) -> bool {
    contact_ms.is_some_and(|contact_ms| now_ms.saturating_sub(contact_ms) <= max_age_ms)
}
