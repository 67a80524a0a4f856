//! Escrow of the teams' upper limits: each seat may run at most the part of the limit that it
//! holds, and the parts together never exceed the limit unless the limit itself was lowered.
//!
//! Based on O'Neil, "The Escrow Transactional Method", ACM TODS 11(4), 1986.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{fleet::TeamName, ledger::seats::SeatId};

/// Division of one team's upper limit among the seats.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamEscrow {
    /// Upper limit in force, in requests.
    pub limit_requests: u32,
    /// Part that each seat holds, in requests; never zero.
    pub parts: IndexMap<SeatId, u32>,
}

impl TeamEscrow {
    /// Returns the total that all seats hold, in requests.
    ///
    /// It exceeds the limit only after the limit was lowered, until the seats have given back the
    /// parts that were still in use under the older limit.
    pub fn held_requests(&self) -> u32 {
        self.parts.values().sum()
    }

    /// Returns the part of the limit that no seat holds, in requests.
    pub fn free_requests(&self) -> u32 {
        self.limit_requests.saturating_sub(self.held_requests())
    }

    /// Returns the number of requests that `seat` may have running.
    ///
    /// It is 0 while the seats together hold more than the limit: each seat gives back what it does
    /// not use, but none knows how much the others still run.
    pub fn allowance_requests(&self, seat: &str) -> u32 {
        match self.held_requests() > self.limit_requests {
            true => 0,
            false => self.parts.get(seat).copied().unwrap_or(0),
        }
    }
}

/// The escrow of all teams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Escrow {
    teams: IndexMap<TeamName, TeamEscrow>,
}

impl Escrow {
    /// Returns the escrow of a team.
    pub fn get(&self, team: &str) -> Option<&TeamEscrow> {
        self.teams.get(team)
    }

    /// Returns the escrow of all teams.
    pub fn iter(&self) -> impl Iterator<Item = (&TeamName, &TeamEscrow)> {
        self.teams.iter()
    }

    /// Sets the upper limits; the limit of a team that is not in `limits` becomes 0.
    pub(crate) fn set_limits<'a>(&mut self, limits: impl Iterator<Item = (&'a TeamName, u32)>) {
        for escrow in self.teams.values_mut() {
            escrow.limit_requests = 0;
        }
        for (team, limit_requests) in limits {
            self.teams.entry(team.clone()).or_default().limit_requests = limit_requests;
        }
        self.teams
            .retain(|_, escrow| escrow.limit_requests > 0 || !escrow.parts.is_empty());
    }

    /// Moves up to `wanted_requests` from the free part to `seat`; returns the number moved.
    pub(crate) fn take(&mut self, team: &str, seat: &SeatId, wanted_requests: u32) -> u32 {
        let Some(escrow) = self.teams.get_mut(team) else {
            return 0;
        };
        let taken = wanted_requests.min(escrow.free_requests());
        if taken > 0 {
            *escrow.parts.entry(seat.clone()).or_default() += taken;
        }
        taken
    }

    /// Moves up to `requests` from one seat to another, or to the free part; returns the number
    /// that `from` gave up.
    pub(crate) fn give(
        &mut self,
        team: &str,
        from: &SeatId,
        to: Option<&SeatId>,
        requests: u32,
    ) -> u32 {
        let Some(escrow) = self.teams.get_mut(team) else {
            return 0;
        };
        let Some(part) = escrow.parts.get_mut(from) else {
            return 0;
        };
        let given = requests.min(*part);
        *part -= given;
        if *part == 0 {
            escrow.parts.shift_remove(from);
        }
        // If the limit was lowered in the meantime, the receiver gets no more than is free under
        // it.
        let passed_on = given.min(escrow.free_requests());
        if let Some(to) = to.filter(|_| passed_on > 0) {
            *escrow.parts.entry(to.clone()).or_default() += passed_on;
        }
        given
    }

    /// Frees all parts that `seat` holds.
    pub(crate) fn free_seat(&mut self, seat: &str) {
        for escrow in self.teams.values_mut() {
            escrow.parts.shift_remove(seat);
        }
    }
}
