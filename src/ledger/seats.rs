//! Seats: each entry process holds one at a time by a lease, and opens another one after it has
//! lost its seat. The holder counts its lease from before it sent the renewal; the other entries
//! wait longer, from the time at which they read it.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::fleet::{Offset, UnixMs};

/// Id of a seat: the incarnation of the entry process, with a number from its second seat on.
pub type SeatId = SmolStr;

/// State of a seat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum SeatState {
    /// The lease has not been declared expired.
    Live,
    /// The lease has expired; tasks that the seat started may still run.
    Expired {
        /// Log time at which the lease was declared expired.
        at_unix_ms: UnixMs,
    },
}

/// A seat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatRow {
    /// State of the seat.
    pub state: SeatState,
    /// Address of the entry's peer port as `ip:port`.
    pub peers_address: SmolStr,
    /// Availability zone of the entry.
    pub zone: SmolStr,
    /// Duration of the lease that each renewal starts, in milliseconds.
    pub lease_ms: u64,
    /// Offset of the record that opened the seat.
    pub opened_offset: Offset,
    /// Offset of the latest renewal.
    pub renewed_offset: Offset,
    /// Every dispatch still in flight was decided after all records below this offset were folded.
    pub clean_offset: Offset,
    /// Sequence number of the last accepted batch.
    pub last_seq: u64,
}

/// All seats that are live, or expired and not yet reclaimed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seats {
    rows: IndexMap<SeatId, SeatRow>,
}

impl Seats {
    /// Returns a seat.
    pub fn get(&self, seat: &str) -> Option<&SeatRow> {
        self.rows.get(seat)
    }

    /// Returns a seat if it is live.
    pub fn live(&self, seat: &str) -> Option<&SeatRow> {
        self.rows
            .get(seat)
            .filter(|row| row.state == SeatState::Live)
    }

    /// Returns all seats in the order in which they were opened.
    pub fn iter(&self) -> impl Iterator<Item = (&SeatId, &SeatRow)> {
        self.rows.iter()
    }

    /// Returns the live seats.
    pub fn iter_live(&self) -> impl Iterator<Item = (&SeatId, &SeatRow)> {
        self.rows
            .iter()
            .filter(|(_, row)| row.state == SeatState::Live)
    }

    /// Returns whether no seat can still start or run a task that it decided on before it had
    /// folded the record at `offset`.
    ///
    /// A live seat shows this by its clean offset. An expired seat cannot, so the result is false
    /// until that seat is reclaimed, unless it was opened after `offset`.
    pub fn are_clean_at(&self, offset: Offset) -> bool {
        self.rows.values().all(|row| match row.state {
            SeatState::Live => row.clean_offset > offset || row.opened_offset > offset,
            SeatState::Expired { .. } => row.opened_offset > offset,
        })
    }

    /// Returns the live seat with the highest rendezvous weight for `topic`.
    ///
    /// Rendezvous hashing: Thaler and Ravishankar, "Using name-based mappings to increase hit
    /// rates", IEEE/ACM Transactions on Networking 6(1), 1998.
    pub fn choose(&self, topic: &str) -> Option<&SeatId> {
        self.choose_among(topic, |_| true)
    }

    /// Returns the live seat with the highest rendezvous weight for `topic` among those that pass
    /// `is_fit`, or among all live seats if none does.
    pub fn choose_among(&self, topic: &str, is_fit: impl Fn(&SeatId) -> bool) -> Option<&SeatId> {
        self.iter_live()
            .map(|(seat, _)| seat)
            .max_by_key(|seat| (is_fit(seat), rendezvous_weight(topic, seat)))
    }

    pub(crate) fn insert(&mut self, seat: SeatId, row: SeatRow) {
        self.rows.insert(seat, row);
    }

    pub(crate) fn get_mut(&mut self, seat: &str) -> Option<&mut SeatRow> {
        self.rows.get_mut(seat)
    }

    pub(crate) fn remove(&mut self, seat: &str) {
        self.rows.shift_remove(seat);
    }
}

fn rendezvous_weight(topic: &str, seat: &str) -> [u8; 8] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(topic.as_bytes());
    hasher.update(&[0]);
    hasher.update(seat.as_bytes());
    let mut weight = [0; 8];
    hasher.finalize_xof().fill(&mut weight);
    weight
}
