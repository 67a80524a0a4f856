//! The steps that every specification shares: time passes, appends land late, twice or never, entries
//! read late, and tasks run for a while after they were decided.

use hawthornladder::ledger::{Ledger, SeatChange, SeatState};

use super::checker::Step;
use super::folds::Folds;
use super::world::{Phase, World, LEASE_TICKS, RUN_MAX_TICKS, SEATS};

/// Ticks after its decision within which a task must have started.
const START_WINDOW_TICKS: u8 = 1;
/// Ticks for which a task may run.
const TASK_TICKS: u8 = 1;

/// The steps from one state.
pub(crate) type Steps<X> = Vec<Step<World<X>>>;

/// What a specification adds to the shared steps.
pub(crate) struct Rules<'a, X> {
    pub(crate) folds: &'a Folds,
    pub(crate) ticks_max: u8,
    /// Batches of one entry at most, the opening of its seat included.
    pub(crate) batches_max: [u64; 2],
    /// Whether a worker's refusal differs from a task that ran for no time.
    pub(crate) has_refusals: bool,
    /// Called when an entry has folded one record.
    pub(crate) on_fold: &'a dyn Fn(&mut World<X>, usize),
    /// Adds the steps of the specification's own.
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
        row.flight.is_none() && row.seq < self.batches_max[entry] && is_live
    }

    /// Returns the change by which an entry ends the other's seat, if its wait is over.
    pub(crate) fn end_other_seat(&self, world: &World<X>, entry: usize) -> Option<SeatChange> {
        let other = SEATS[1 - entry];
        let waited = world.now - world.entries[entry].other_read;
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

    /// Returns every step from `world`.
    pub(crate) fn next(&self, world: &World<X>) -> Steps<X> {
        let mut steps = Vec::new();
        self.add_tick(world, &mut steps);
        self.add_landings(world, &mut steps);
        self.add_folds(world, &mut steps);
        self.add_task_steps(world, &mut steps);
        (self.own_steps)(world, &mut steps);
        for (_, _, after) in &mut steps {
            after.tidy(self.folds);
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
                Phase::Sent if now > task.decided + START_WINDOW_TICKS => Phase::NeverStarted,
                Phase::Running(since) if now >= since + TASK_TICKS => Phase::Ran,
                phase => phase,
            };
        }
        steps.push(("tick", now, after));
    }

    fn add_landings(&self, world: &World<X>, steps: &mut Steps<X>) {
        for index in 0..world.pending.len() {
            let mut after = world.clone();
            let payload = after.pending.remove(index);
            after.append(self.folds, payload);
            steps.push(("lands", index as u8, after));
            if world.repeats_left > 0 {
                let mut after = world.clone();
                after.repeats_left -= 1;
                after.append(self.folds, payload);
                steps.push(("lands_and_will_again", index as u8, after));
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
            row.other_read = world.now;
        }
        let folded_seq = after.seats.live(SEATS[entry]).map(|row| row.last_seq);
        match (row.flight, folded_seq) {
            (Some(_), None) => row.flight = None,
            (Some(flight), Some(last_seq)) if last_seq >= flight.seq => {
                row.lease_until = row.lease_until.max(flight.sent + LEASE_TICKS);
                row.flight = None;
            }
            _ => {}
        }
    }

    fn add_task_steps(&self, world: &World<X>, steps: &mut Steps<X>) {
        for (index, task) in world.tasks.iter().enumerate() {
            let mut become_phase = |what, phase| {
                let mut after = world.clone();
                after.tasks[index].phase = phase;
                steps.push((what, task.by, after));
            };
            match task.phase {
                Phase::Sent => {
                    become_phase("starts", Phase::Running(world.now));
                    if self.has_refusals {
                        become_phase("never_starts", Phase::NeverStarted);
                    }
                }
                Phase::Running(_) => become_phase("ends", Phase::Ran),
                Phase::Ran | Phase::NeverStarted => {}
            }
        }
    }
}
