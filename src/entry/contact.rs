//! How recently this entry heard the log and its peers, and what may be trusted for that. With the
//! log out of reach, the configuration is trusted only while more than half of the live seats are
//! heard: an operator's withdrawal counts as done once more than half have acknowledged it, and two
//! such halves share a seat.

use std::collections::HashMap;

use crate::{
    fleet::MonoMs,
    ledger::{Ledger, SeatId},
};

/// Times of the latest contacts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Contact {
    log_heard_ms: Option<MonoMs>,
    peers_heard_ms: HashMap<SeatId, MonoMs>,
}

impl Contact {
    /// Notes that a read sent at `sent_ms` showed the head of the log, and all of it is folded.
    pub(crate) fn heard_log(&mut self, sent_ms: MonoMs) {
        self.log_heard_ms = self.log_heard_ms.max(Some(sent_ms));
    }

    /// Notes that a peer answered an exchange that began at `sent_ms`.
    pub(crate) fn heard_peer(&mut self, seat: &SeatId, sent_ms: MonoMs) {
        let heard_ms = self.peers_heard_ms.entry(seat.clone()).or_default();
        *heard_ms = (*heard_ms).max(sent_ms);
    }

    /// Forgets the peers that hold no seat any more.
    pub(crate) fn forget_ended(&mut self, ledger: &Ledger) {
        self.peers_heard_ms
            .retain(|seat, _| ledger.seats.get(seat).is_some());
    }

    /// Returns whether the log was heard within `max_age_ms`.
    pub(crate) fn is_log_fresh(&self, now_ms: MonoMs, max_age_ms: u64) -> bool {
        is_fresh(self.log_heard_ms, now_ms, max_age_ms)
    }

    /// Returns how long ago the log was heard.
    pub(crate) fn log_age_ms(&self, now_ms: MonoMs) -> Option<u64> {
        self.log_heard_ms
            .map(|heard_ms| now_ms.saturating_sub(heard_ms))
    }

    /// Returns whether the configuration may be trusted.
    pub(crate) fn is_config_fresh(
        &self,
        now_ms: MonoMs,
        max_age_ms: u64,
        ledger: &Ledger,
        own: &SeatId,
    ) -> bool {
        self.is_log_fresh(now_ms, max_age_ms)
            || self.hears_majority(now_ms, max_age_ms, ledger, own)
    }

    fn hears_majority(
        &self,
        now_ms: MonoMs,
        max_age_ms: u64,
        ledger: &Ledger,
        own: &SeatId,
    ) -> bool {
        let is_heard = |seat: &SeatId| {
            seat == own || is_fresh(self.peers_heard_ms.get(seat).copied(), now_ms, max_age_ms)
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

fn is_fresh(heard_ms: Option<MonoMs>, now_ms: MonoMs, max_age_ms: u64) -> bool {
    heard_ms.is_some_and(|heard_ms| now_ms.saturating_sub(heard_ms) <= max_age_ms)
}
