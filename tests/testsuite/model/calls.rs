//! The calls of one piece of work, as two entries see them: what a caller was told, and what an entry
//! takes in from the ledger.

use hawthornladder::ledger::{ClaimState, SeatChange};
use uuid::{Builder, Uuid};

use super::folds::{Folds, START_UNIX_MS};
use super::world::{World, SEATS};

/// Team of the work.
pub(super) const TEAM: &str = "t";
/// Entry that each call of the same request goes to, in the order of the calls of one entry.
pub(super) const CALLS: [usize; 3] = [0, 1, 0];

/// How far one call has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Call {
    NotMade,
    Claiming,
    Waiting,
    Sent,
    AnsweredNotRun,
    Answered,
}

/// What the calls add to a state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Calls {
    pub(super) calls: [CallState; CALLS.len()],
    /// How often the work started, up to 2.
    pub(super) starts_count: u8,
    /// How each entry's claim is to end.
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

pub(super) fn in_flight(world: &CallWorld, entry: usize) -> bool {
    [Call::Claiming, Call::Waiting, Call::Sent]
        .into_iter()
        .any(|state| find(world, entry, state).is_some())
}

/// Takes in what an entry has folded: the verdict on its claim, or the end of its seat.
pub(super) fn on_fold(folds: &Folds, world: &mut CallWorld, entry: usize) {
    if world.entries[entry].flight.is_some() {
        return;
    }
    let ledger = world.view(folds, entry);
    let is_live = ledger.seats.live(SEATS[entry]).is_some();
    let row = ledger.claims.get(TEAM, &request_id());
    let is_own = row.is_some_and(|row| row.seat == SEATS[entry] && row.state == ClaimState::Open);
    let claiming = find(world, entry, Call::Claiming);
    let has_user = find(world, entry, Call::Waiting).is_some()
        || world.counted(entry).next().is_some()
        || world.extra.ends[entry].is_some();
    match claiming {
        _ if !is_live => drop_unsent(world, entry),
        Some(call) if is_own => world.extra.calls[call].call = Call::Waiting,
        Some(call) => world.extra.calls[call].call = Call::Answered,
        // Nobody waits for it any more, so it is never sent.
        None if is_own && !has_user => world.extra.ends[entry] = Some(ClaimState::NotRun),
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
