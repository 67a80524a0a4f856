//! The lease of an entry's own seat, and the watch on the seats of others. The holder counts its
//! lease from before the renewal was sent. A watcher counts a longer time from when it read the
//! renewal, and starts again after each loss of contact with the log.

use std::collections::HashMap;

use crate::{
    fleet::{MonoMs, Offset},
    ledger::{Ledger, SeatChange, SeatId, SeatState},
};

/// Part by which watchers wait longer than the lease, in thousandths. It is many times the
/// difference in rate between two monotonic clocks.
const WATCH_MARGIN_PERMILLE: u64 = 100;

/// The lease of this entry's own seat.
#[derive(Clone, Debug)]
pub(crate) struct Lease {
    lease_ms: u64,
    renew_ms: u64,
    valid_until_ms: MonoMs,
    last_proposed_ms: Option<MonoMs>,
}

impl Lease {
    /// Returns a lease that is not valid yet.
    pub(crate) fn new(lease_ms: u64, renew_ms: u64) -> Self {
        Self {
            lease_ms,
            renew_ms,
            valid_until_ms: 0,
            last_proposed_ms: None,
        }
    }

    /// Records that a renewal first sent at `sent_ms` took effect.
    pub(crate) fn renewed(&mut self, sent_ms: MonoMs) {
        self.valid_until_ms = self.valid_until_ms.max(sent_ms + self.lease_ms);
    }

    /// Returns whether the lease is valid, so that actions guarded by it may be taken.
    pub(crate) fn is_valid(&self, now_ms: MonoMs) -> bool {
        now_ms < self.valid_until_ms
    }

    /// Returns the time left of the lease, in milliseconds.
    pub(crate) fn left_ms(&self, now_ms: MonoMs) -> u64 {
        self.valid_until_ms.saturating_sub(now_ms)
    }

    /// Returns whether to propose a renewal now; if so, records the proposal.
    pub(crate) fn is_renewal_due(&mut self, now_ms: MonoMs, is_urgent: bool) -> bool {
        let every_ms = match is_urgent {
            true => self.renew_ms / 8,
            false => self.renew_ms,
        };
        let is_due = self
            .last_proposed_ms
            .is_none_or(|at_ms| now_ms >= at_ms + every_ms);
        if is_due {
            self.last_proposed_ms = Some(now_ms);
        }
        is_due
    }
}

/// State of the watch on one seat.
#[derive(Clone, Copy, Debug)]
struct WatchedSeat {
    /// Offset of the latest renewal; the maximum for an expired seat.
    offset: Offset,
    read_ms: MonoMs,
    proposed_ms: Option<MonoMs>,
}

/// The watch on the seats of others.
#[derive(Clone, Debug, Default)]
pub(crate) struct SeatWatch {
    seats: HashMap<SeatId, WatchedSeat>,
}

/// Time between two proposals about the same seat, in milliseconds.
const PROPOSE_AGAIN_MS: u64 = 2_000;

impl SeatWatch {
    /// Restarts all waits, since renewals may have been missed.
    pub(crate) fn reset(&mut self) {
        self.seats.clear();
    }

    /// Returns the changes that expire seats whose lease has lapsed and reclaim expired seats.
    pub(crate) fn poll(
        &mut self,
        now_ms: MonoMs,
        ledger: &Ledger,
        own: &SeatId,
        run_max_ms: u64,
    ) -> Vec<SeatChange> {
        self.seats
            .retain(|seat, _| ledger.seats.get(seat).is_some());
        let mut changes = Vec::new();
        for (seat, row) in ledger.seats.iter().filter(|(seat, _)| *seat != own) {
            let (offset, wait_ms) = match row.state {
                SeatState::Live => (row.renewed_offset, row.lease_ms),
                // Above the offset of any renewal, so the wait starts when the expiry is read.
                SeatState::Expired { .. } => (Offset::MAX, run_max_ms),
            };
            let watched = self.seats.entry(seat.clone()).or_insert(WatchedSeat {
                offset,
                read_ms: now_ms,
                proposed_ms: None,
            });
            if watched.offset != offset {
                *watched = WatchedSeat {
                    offset,
                    read_ms: now_ms,
                    proposed_ms: None,
                };
            }
            let wait_ms = wait_ms + wait_ms * WATCH_MARGIN_PERMILLE / 1_000;
            let may_propose = watched
                .proposed_ms
                .is_none_or(|at_ms| now_ms >= at_ms + PROPOSE_AGAIN_MS);
            if now_ms < watched.read_ms + wait_ms || !may_propose {
                continue;
            }
            watched.proposed_ms = Some(now_ms);
            changes.push(match row.state {
                SeatState::Live => SeatChange::ExpireSeat {
                    target: seat.clone(),
                    renewed_offset: offset,
                },
                SeatState::Expired { .. } => SeatChange::ReclaimSeat {
                    target: seat.clone(),
                },
            });
        }
        changes
    }
}
