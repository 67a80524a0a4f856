//! Claims on the ids of non-idempotent requests. The first claim of an id wins. It is retained for
//! the claim window, counted from the timestamp inside the id; an older id is rejected.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::{format_smolstr, SmolStr};
use uuid::Uuid;

use crate::{
    fleet::{TeamName, UnixMs},
    ledger::seats::SeatId,
};

/// State of a claimed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ClaimState {
    /// The claiming seat may dispatch the request, or has already done so.
    Open,
    /// The request ran to completion.
    Ran,
    /// The request may have run.
    Unknown,
    /// The request is known never to have started; its id may be claimed again.
    NotRun,
}

/// One claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Seat that claimed the id.
    pub seat: SeatId,
    /// State of the request.
    pub state: ClaimState,
}

/// All claims within the claim window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    rows: IndexMap<SmolStr, ClaimRow>,
}

/// Returns the timestamp inside a UUID of version 7, or none for another version.
pub fn issued_at_unix_ms(id: &Uuid) -> Option<UnixMs> {
    let (seconds, nanos) = id
        .get_timestamp()
        .filter(|_| id.get_version_num() == 7)?
        .to_unix();
    Some(seconds * 1_000 + u64::from(nanos) / 1_000_000)
}

/// Returns the map key of a team's request.
pub(crate) fn request_key(team: &str, request_id: &Uuid) -> SmolStr {
    format_smolstr!("{request_id}/{team}")
}

fn issued_at_of_key(key: &str) -> UnixMs {
    let id = key.split('/').next().and_then(|id| id.parse().ok());
    id.as_ref().and_then(issued_at_unix_ms).unwrap_or(0)
}

impl Claims {
    /// Returns the claim on a request id.
    pub fn get(&self, team: &str, request_id: &Uuid) -> Option<&ClaimRow> {
        self.rows.get(&request_key(team, request_id))
    }

    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Claims an id; returns whether the claim succeeded.
    pub(crate) fn claim(&mut self, team: &TeamName, request_id: &Uuid, seat: &SeatId) -> bool {
        let key = request_key(team, request_id);
        match self.rows.get(&key) {
            Some(row) if row.state != ClaimState::NotRun => false,
            Some(_) | None => {
                let row = ClaimRow {
                    seat: seat.clone(),
                    state: ClaimState::Open,
                };
                self.rows.insert(key, row);
                true
            }
        }
    }

    /// Ends an open claim of `seat`; returns whether there was one.
    pub(crate) fn end(
        &mut self,
        team: &TeamName,
        request_id: &Uuid,
        seat: &SeatId,
        state: ClaimState,
    ) -> bool {
        match self.rows.get_mut(&request_key(team, request_id)) {
            Some(row) if row.seat == *seat && row.state == ClaimState::Open => {
                row.state = state;
                true
            }
            Some(_) | None => false,
        }
    }

    /// Marks the open claims of an ended seat as unknown.
    pub(crate) fn mark_seat_unknown(&mut self, seat: &str) {
        let open = |row: &&mut ClaimRow| row.seat == seat && row.state == ClaimState::Open;
        for row in self.rows.values_mut().filter(open) {
            row.state = ClaimState::Unknown;
        }
    }

    /// Drops the claims on ids that were issued before `oldest_unix_ms`.
    pub(crate) fn forget_before(&mut self, oldest_unix_ms: UnixMs) {
        self.rows
            .retain(|key, _| issued_at_of_key(key) >= oldest_unix_ms);
    }
}
