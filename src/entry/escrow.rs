//! The seat's side of the escrow: which part of each team's limit this seat may use, when it takes
//! more, and when it returns some or passes it to a peer.

use indexmap::IndexMap;

use crate::{
    entry::gossip::Demand,
    fleet::{MonoMs, TeamName},
    ledger::{Ledger, SeatChange, SeatId, TeamEscrow},
};

/// While idle, a seat holds its even share of a limit, divided by this number, as a reserve.
///
/// Nothing can be taken from the ledger while the log is down, so a seat that returned everything
/// could start nothing in a burst that begins during an outage. The other half stays free for seats
/// that need more. The reserve is still passed to a peer that needs it.
const IDLE_RESERVE_DIVISOR: u32 = 2;

/// This seat's use of one team's limit.
#[derive(Clone, Debug, Default)]
struct TeamHolding {
    /// Tasks that may be running under this seat.
    running_requests: u32,
    waiting_requests: u32,
    oldest_waiting_ms: Option<MonoMs>,
    /// Given away by changes that are not folded yet.
    pending_give_requests: u32,
    /// To be given to peers as soon as no task uses it.
    owed_requests: u32,
    is_take_pending: bool,
    idle_since_ms: Option<MonoMs>,
}

/// The parts of all teams' limits that one seat holds.
#[derive(Clone, Debug)]
pub(crate) struct SeatEscrow {
    idle_ms: u64,
    holdings: IndexMap<TeamName, TeamHolding>,
}

impl SeatEscrow {
    /// Creates the escrow of a new seat, which holds nothing.
    pub(crate) fn new(idle_ms: u64) -> Self {
        Self {
            idle_ms,
            holdings: IndexMap::new(),
        }
    }

    /// Returns whether one more request of `team` may start within the seat's part of the limit.
    pub(crate) fn can_start(&self, ledger: &Ledger, seat: &SeatId, team: &str) -> bool {
        let holding = self.holdings.get(team);
        let running = holding.map_or(0, |holding| holding.running_requests);
        running < self.usable_requests(ledger, seat, team)
    }

    fn usable_requests(&self, ledger: &Ledger, seat: &SeatId, team: &str) -> u32 {
        let allowance = ledger
            .escrow
            .get(team)
            .map_or(0, |escrow| escrow.allowance_requests(seat));
        let reserved = self.holdings.get(team).map_or(0, |holding| {
            holding.pending_give_requests + holding.owed_requests
        });
        allowance.saturating_sub(reserved)
    }

    /// Counts a task that may be running from now on.
    pub(crate) fn started(&mut self, team: &TeamName) {
        self.holdings
            .entry(team.clone())
            .or_default()
            .running_requests += 1;
    }

    /// Stops counting a task that cannot be running any more.
    pub(crate) fn ended(&mut self, team: &str) {
        if let Some(holding) = self.holdings.get_mut(team) {
            holding.running_requests = holding.running_requests.saturating_sub(1);
        }
    }

    /// Sets the waiting requests of all teams; teams not listed have none.
    pub(crate) fn set_waiting<'a>(
        &mut self,
        waiting: impl Iterator<Item = (&'a TeamName, u32, MonoMs)>,
    ) {
        for holding in self.holdings.values_mut() {
            holding.waiting_requests = 0;
            holding.oldest_waiting_ms = None;
        }
        for (team, requests, oldest_ms) in waiting {
            let holding = self.holdings.entry(team.clone()).or_default();
            holding.waiting_requests = requests;
            holding.oldest_waiting_ms = Some(oldest_ms);
        }
    }

    /// Records that a change of this seat was folded.
    pub(crate) fn record_folded(&mut self, change: &SeatChange) {
        match change {
            SeatChange::EscrowTake { team, .. } => {
                if let Some(holding) = self.holdings.get_mut(team) {
                    holding.is_take_pending = false;
                }
            }
            SeatChange::EscrowGive { team, requests, .. } => {
                if let Some(holding) = self.holdings.get_mut(team) {
                    holding.pending_give_requests =
                        holding.pending_give_requests.saturating_sub(*requests);
                }
            }
            _ => {}
        }
    }

    /// Returns the demand to report to peers.
    pub(crate) fn demand(&self, now_ms: MonoMs) -> IndexMap<TeamName, Demand> {
        self.holdings
            .iter()
            .filter(|(_, holding)| holding.running_requests + holding.waiting_requests > 0)
            .map(|(team, holding)| (team.clone(), holding.demand(now_ms)))
            .collect()
    }

    /// Returns the changes to propose now. `peers` is the demand reported by the other live seats.
    ///
    /// While the log is unreachable (`is_log_reachable` is false), nothing is given away: what is
    /// given could be used neither here nor elsewhere until the log is available again.
    pub(crate) fn poll(
        &mut self,
        now_ms: MonoMs,
        is_log_reachable: bool,
        ledger: &Ledger,
        seat: &SeatId,
        peers: &IndexMap<SeatId, IndexMap<TeamName, Demand>>,
    ) -> Vec<SeatChange> {
        let mut changes = Vec::new();
        if !is_log_reachable {
            for holding in self.holdings.values_mut() {
                holding.owed_requests = 0;
                holding.idle_since_ms = None;
            }
            return changes;
        }
        let seats_count = ledger.seats.iter_live().count().max(1) as u32;
        for (team, escrow) in ledger.escrow.iter() {
            let holding = match self.holdings.get_mut(team) {
                Some(holding) => holding,
                None if escrow.parts.contains_key(seat) => {
                    self.holdings.entry(team.clone()).or_default()
                }
                None => continue,
            };
            let demands: Vec<(&SeatId, Demand)> = peers
                .iter()
                .filter_map(|(peer, teams)| Some((peer, *teams.get(team)?)))
                .collect();
            let view = TeamView {
                now_ms,
                idle_ms: self.idle_ms,
                seats_count,
                team,
                escrow,
                seat,
                peers: &demands,
            };
            holding.poll(&view, &mut changes);
        }
        self.holdings.retain(|team, holding| {
            holding.running_requests + holding.waiting_requests + holding.pending_give_requests > 0
                || ledger.escrow.get(team).is_some()
        });
        changes
    }
}

/// Inputs of the decision for one team: how the ledger divides its limit, and the demand of peers.
struct TeamView<'a> {
    now_ms: MonoMs,
    idle_ms: u64,
    seats_count: u32,
    team: &'a TeamName,
    escrow: &'a TeamEscrow,
    seat: &'a SeatId,
    peers: &'a [(&'a SeatId, Demand)],
}

impl TeamHolding {
    fn demand(&self, now_ms: MonoMs) -> Demand {
        let oldest_wait = |at_ms: MonoMs| now_ms.saturating_sub(at_ms);
        Demand {
            running_requests: self.running_requests,
            waiting_requests: self.waiting_requests,
            oldest_wait_ms: self.oldest_waiting_ms.map_or(0, oldest_wait),
        }
    }

    fn poll(&mut self, view: &TeamView<'_>, changes: &mut Vec<SeatChange>) {
        let (team, escrow) = (view.team, view.escrow);
        let part = escrow.parts.get(view.seat).copied().unwrap_or(0);
        let held = part.saturating_sub(self.pending_give_requests);
        let spare = held.saturating_sub(self.running_requests);
        let is_over = escrow.held_requests() > escrow.limit_requests;
        let wanted = (self.running_requests + self.waiting_requests).saturating_sub(held);
        let peer_in_need = longest_waiting_peer(view.peers, escrow);
        self.owed_requests = match peer_in_need {
            Some(_) if escrow.free_requests() == 0 && !is_over => {
                held.saturating_sub(self.fair_part(view))
            }
            Some(_) | None => 0,
        };
        match peer_in_need {
            _ if is_over && spare > 0 => self.give(team, None, spare, changes),
            Some((peer, deficit)) if self.owed_requests > 0 && spare > 0 => {
                let requests = spare.min(self.owed_requests).min(deficit);
                self.owed_requests -= requests;
                self.give(team, Some(peer.clone()), requests, changes);
            }
            _ if wanted > 0 && escrow.free_requests() > 0 && !self.is_take_pending => {
                self.is_take_pending = true;
                changes.push(SeatChange::EscrowTake {
                    team: team.clone(),
                    wanted_requests: wanted,
                });
            }
            _ => {
                let reserve = escrow.limit_requests / (view.seats_count * IDLE_RESERVE_DIVISOR);
                let surplus = spare.min(held.saturating_sub(reserve));
                self.return_idle(view, surplus, changes);
            }
        }
    }

    fn return_idle(&mut self, view: &TeamView<'_>, surplus: u32, changes: &mut Vec<SeatChange>) {
        let now_ms = view.now_ms;
        match self.idle_since_ms {
            _ if surplus == 0 || self.waiting_requests > 0 => self.idle_since_ms = None,
            None => self.idle_since_ms = Some(now_ms),
            Some(since_ms) if now_ms >= since_ms + view.idle_ms => {
                self.idle_since_ms = None;
                self.give(view.team, None, surplus, changes);
            }
            Some(_) => {}
        }
    }

    fn give(
        &mut self,
        team: &TeamName,
        to: Option<SeatId>,
        requests: u32,
        changes: &mut Vec<SeatChange>,
    ) {
        if requests == 0 {
            return;
        }
        self.pending_give_requests += requests;
        changes.push(SeatChange::EscrowGive {
            team: team.clone(),
            to,
            requests,
        });
    }

    /// Returns the part of the limit due to this seat by demand.
    ///
    /// If the limit is at least one request for each seat with demand, parts are proportional to
    /// demand. Otherwise the seats whose oldest request has waited longest get one each, so that
    /// a limit of one rotates among the seats.
    fn fair_part(&self, view: &TeamView<'_>) -> u32 {
        let (seat, peers) = (view.seat, view.peers);
        let own = self.demand(view.now_ms);
        let limit = view.escrow.limit_requests;
        let demanded = |demand: &Demand| demand.running_requests + demand.waiting_requests;
        let seats_count = 1 + peers.iter().filter(|(_, peer)| demanded(peer) > 0).count() as u32;
        if limit < seats_count {
            let own_rank = (own.oldest_wait_ms, seat);
            let ahead = peers
                .iter()
                .filter(|(peer, demand)| {
                    demand.waiting_requests > 0 && (demand.oldest_wait_ms, *peer) > own_rank
                })
                .count() as u32;
            let is_served = own.waiting_requests > 0 && ahead < limit;
            return u32::from(is_served);
        }
        let total: u64 = peers
            .iter()
            .map(|(_, peer)| u64::from(demanded(peer)))
            .sum();
        let own_demanded = u64::from(demanded(&own));
        let total = (total + own_demanded).max(1);
        // Rounded up, so that no part of the limit stays unassigned.
        (u64::from(limit) * own_demanded).div_ceil(total) as u32
    }
}

/// Returns, of the peers with waiting requests and a part below their demand, the one whose oldest
/// request has waited longest, and by how many requests its part is too small.
fn longest_waiting_peer<'a>(
    peers: &[(&'a SeatId, Demand)],
    escrow: &TeamEscrow,
) -> Option<(&'a SeatId, u32)> {
    let deficit = |peer: &SeatId, demand: &Demand| {
        let part = escrow.parts.get(peer).copied().unwrap_or(0);
        (demand.running_requests + demand.waiting_requests).saturating_sub(part)
    };
    peers
        .iter()
        .filter(|(_, demand)| demand.waiting_requests > 0)
        .map(|(peer, demand)| (*peer, demand.oldest_wait_ms, deficit(peer, demand)))
        .filter(|(_, _, deficit)| *deficit > 0)
        .max_by_key(|(peer, oldest_wait_ms, _)| (*oldest_wait_ms, *peer))
        .map(|(peer, _, deficit)| (peer, deficit))
}
