//! Steps shared by all specifications: time passes, records are appended late, twice or never,
//! entries read late, and tasks start and run for a while after they were dispatched.

use hawthornladder::ledger::{Ledger, SeatChange, SeatState};

use super::checker::Step;
use super::folds::FoldCache;
use super::world::{Phase, World, LEASE_TICKS, RUN_MAX_TICKS, SEATS};

/// Ticks after its dispatch within which a task must have started.
const START_WINDOW_TICKS: u8 = 1;
/// Longest run of a task, in ticks.
const TASK_TICKS: u8 = 1;

/// The steps from one state.
pub(crate) type Steps<X> = Vec<Step<World<X>>>;

/// What a specification adds to the shared steps.
pub(crate) struct Rules<'a, X> {
    pub(crate) folds: &'a FoldCache,
    pub(crate) ticks_max: u8,
    /// Maximum number of batches of each entry, including the one that opens its seat.
    pub(crate) batches_max: [u64; 2],
    /// Whether the specification distinguishes a refused task from one that ran for no time.
    pub(crate) has_refusals: bool,
    /// Called after an entry has folded one record.
    pub(crate) on_fold: &'a dyn Fn(&mut World<X>, usize),
    /// Adds the specification's own steps.
    pub(crate) own_steps: &'a dyn Fn(&World<X>, &mut Steps<X>),
}

impl<X: Clone> Rules<'_, X> {
    /// Returns whether an entry may send a batch.
    pub(crate) fn can_propose(&self, world: &World<X>, entry: usize) -> bool {
        let row = &world.entries[entry];
        let is_live = world
            .view(self.folds, entry)
            .seats
            .live(SEATS[entry])
            .is_some();
        row.in_flight.is_none() && row.seq < self.batches_max[entry] && is_live
    }

    /// Returns the change by which an entry ends the other entry's seat, if it has waited long
    /// enough.
    pub(crate) fn end_other_seat(&self, world: &World<X>, entry: usize) -> Option<SeatChange> {
        let other = SEATS[1 - entry];
        let waited = world.now - world.entries[entry].other_read_tick;
        let ledger = world.view(self.folds, entry);
        let row = ledger.seats.get(other)?;
        match row.state {
            SeatState::Live if waited >= LEASE_TICKS => Some(SeatChange::ExpireSeat {
                target: other.into(),
                renewed_offset: row.renewed_offset,
            }),
            SeatState::Expired { .. } if waited >= RUN_MAX_TICKS => Some(SeatChange::ReclaimSeat {
                target: other.into(),
            }),
            SeatState::Live | SeatState::Expired { .. } => None,
        }
    }

    /// Returns all steps from `world`.
    pub(crate) fn next(&self, world: &World<X>) -> Steps<X> {
        let mut steps = Vec::new();
        self.add_tick(world, &mut steps);
        self.add_appends(world, &mut steps);
        self.add_folds(world, &mut steps);
        self.add_task_steps(world, &mut steps);
        (self.own_steps)(world, &mut steps);
        for (_, _, after) in &mut steps {
            after.normalize(self.folds);
        }
        steps
    }

    fn add_tick(&self, world: &World<X>, steps: &mut Steps<X>) {
        if world.now >= self.ticks_max {
            return;
        }
        let mut after = world.clone();
        after.now += 1;
        let now = after.now;
        for task in &mut after.tasks {
            task.phase = match task.phase {
                Phase::Sent if now > task.decided_tick + START_WINDOW_TICKS => Phase::NeverStarted,
                Phase::Running(since) if now >= since + TASK_TICKS => Phase::Ran,
                phase => phase,
            };
        }
        steps.push(("tick", now, after));
    }

    fn add_appends(&self, world: &World<X>, steps: &mut Steps<X>) {
        for index in 0..world.pending.len() {
            let mut after = world.clone();
            let payload = after.pending.remove(index);
            after.append(self.folds, payload);
            steps.push(("is_appended", index as u8, after));
            if world.repeats_left > 0 {
                let mut after = world.clone();
                after.repeats_left -= 1;
                after.append(self.folds, payload);
                steps.push(("is_appended_and_may_repeat", index as u8, after));
            }
        }
    }

    fn add_folds(&self, world: &World<X>, steps: &mut Steps<X>) {
        for entry in 0..SEATS.len() {
            if world.entries[entry].view + 1 == world.chain.len() {
                continue;
            }
            let mut after = world.clone();
            self.fold(&mut after, entry);
            (self.on_fold)(&mut after, entry);
            steps.push(("folds", entry as u8, after));
        }
    }

    fn fold(&self, world: &mut World<X>, entry: usize) {
        let other = SEATS[1 - entry];
        let before = world.view(self.folds, entry);
        world.entries[entry].view += 1;
        let after = world.view(self.folds, entry);
        let row = &mut world.entries[entry];
        let latest = |ledger: &Ledger| {
            let row = ledger.seats.get(other);
            row.map(|row| (row.renewed_offset, row.state))
        };
        if latest(&before) != latest(&after) {
            row.other_read_tick = world.now;
        }
        let folded_seq = after.seats.live(SEATS[entry]).map(|row| row.last_seq);
        match (row.in_flight, folded_seq) {
            (Some(_), None) => row.in_flight = None,
            (Some(batch), Some(last_seq)) if last_seq >= batch.seq => {
                row.lease_end_tick = row.lease_end_tick.max(batch.sent_tick + LEASE_TICKS);
                row.in_flight = None;
            }
            _ => {}
        }
    }

    fn add_task_steps(&self, world: &World<X>, steps: &mut Steps<X>) {
        for (index, task) in world.tasks.iter().enumerate() {
            let mut enter_phase = |action, phase| {
                let mut after = world.clone();
                after.tasks[index].phase = phase;
                steps.push((action, task.by, after));
            };
            match task.phase {
                Phase::Sent => {
                    enter_phase("starts", Phase::Running(world.now));
                    if self.has_refusals {
                        enter_phase("never_starts", Phase::NeverStarted);
                    }
                }
                Phase::Running(_) => enter_phase("ends", Phase::Ran),
                Phase::Ran | Phase::NeverStarted => {}
            }
        }
    }
}
