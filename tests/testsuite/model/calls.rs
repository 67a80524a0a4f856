//! The calls of one request at two entries: what each caller was answered, and what an entry learns
//! from the ledger.

use hawthornladder::ledger::{ClaimState, SeatChange};
use uuid::{Builder, Uuid};

use super::folds::{FoldCache, START_UNIX_MS};
use super::world::{World, SEATS};

/// Team of the request.
pub(super) const TEAM: &str = "t";
/// Entry that receives each call of the request; the calls of one entry are made in this order.
pub(super) const CALLS: [usize; 3] = [0, 1, 0];

/// State of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Call {
    NotMade,
    Claiming,
    Waiting,
    Sent,
    AnsweredNotRun,
    Answered,
}

/// State of the calls, added to the shared state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Calls {
    pub(super) calls: [CallState; CALLS.len()],
    /// Number of times that the work has started, counted up to 2.
    pub(super) starts_count: u8,
    /// State with which each entry is about to end its claim.
    pub(super) ends: [Option<ClaimState>; 2],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct CallState {
    pub(super) call: Call,
    pub(super) has_started: bool,
}

impl Default for CallState {
    fn default() -> Self {
        Self {
            call: Call::NotMade,
            has_started: false,
        }
    }
}

pub(super) type CallWorld = World<Calls>;

pub(super) fn request_id() -> Uuid {
    Builder::from_unix_timestamp_millis(START_UNIX_MS, &[0; 10]).into_uuid()
}

pub(super) fn claim() -> SeatChange {
    SeatChange::Claim {
        team: TEAM.into(),
        request_id: request_id(),
    }
}

pub(super) fn end_claim(state: ClaimState) -> SeatChange {
    SeatChange::ClaimEnd {
        team: TEAM.into(),
        request_id: request_id(),
        state,
    }
}

/// Returns the calls of one entry.
pub(super) fn calls_of(entry: usize) -> impl Iterator<Item = usize> {
    (0..CALLS.len()).filter(move |call| CALLS[*call] == entry)
}

pub(super) fn find(world: &CallWorld, entry: usize, state: Call) -> Option<usize> {
    calls_of(entry).find(|call| world.extra.calls[*call].call == state)
}

pub(super) fn has_call_in_flight(world: &CallWorld, entry: usize) -> bool {
    [Call::Claiming, Call::Waiting, Call::Sent]
        .into_iter()
        .any(|state| find(world, entry, state).is_some())
}

/// Applies what an entry has folded: the verdict on its claim, or the end of its seat.
pub(super) fn on_fold(folds: &FoldCache, world: &mut CallWorld, entry: usize) {
    if world.entries[entry].in_flight.is_some() {
        return;
    }
    let ledger = world.view(folds, entry);
    let is_live = ledger.seats.live(SEATS[entry]).is_some();
    let row = ledger.claims.get(TEAM, &request_id());
    let is_own = row.is_some_and(|row| row.seat == SEATS[entry] && row.state == ClaimState::Open);
    let claiming = find(world, entry, Call::Claiming);
    let is_needed = find(world, entry, Call::Waiting).is_some()
        || world.counted(entry).next().is_some()
        || world.extra.ends[entry].is_some();
    match claiming {
        _ if !is_live => drop_unsent(world, entry),
        Some(call) if is_own => world.extra.calls[call].call = Call::Waiting,
        Some(call) => world.extra.calls[call].call = Call::Answered,
        // No call is waiting for the claim any more, so the work is never sent.
        None if is_own && !is_needed => world.extra.ends[entry] = Some(ClaimState::NotRun),
        None => {}
    }
}

fn drop_unsent(world: &mut CallWorld, entry: usize) {
    for call in calls_of(entry) {
        let state = &mut world.extra.calls[call].call;
        if matches!(state, Call::Claiming | Call::Waiting) {
            *state = Call::AnsweredNotRun;
        }
    }
    world.extra.ends[entry] = None;
}
