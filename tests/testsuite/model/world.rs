//! What every specification shares: two entries that hold seats, the log between them, appends that
//! land late, twice or never, and tasks that run on workers for a while after they were decided.

use std::rc::Rc;

use hawthornladder::ledger::{
    Ledger, OperatorChange, OperatorProposal, Record, SeatBatch, SeatChange, SeatState,
};
use uuid::Uuid;

use super::checker::Step;
use super::folds::{Folds, NodeId, PayloadId};

/// Seats of the two entries.
pub(crate) const SEATS: [&str; 2] = ["a", "b"];
/// Lease of a seat in ticks.
pub(crate) const LEASE_TICKS: u8 = 2;
/// Time after an expiry for which a task of the seat may run, in ticks.
pub(crate) const RUN_MAX_TICKS: u8 = 2;
/// Longest wait of a watcher.
const WAIT_MAX_TICKS: u8 = 2;
/// Ticks after its decision within which a task must have started.
const START_WINDOW_TICKS: u8 = 1;
/// Ticks for which a task may run.
const TASK_TICKS: u8 = 1;

/// How far a task has come at its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// It may arrive.
    Sent,
    /// It runs since this tick.
    Running(u8),
    /// It ran.
    Ran,
    /// It never started and never will.
    NeverStarted,
}

/// One attempt to run work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Task {
    /// Entry that decided on it.
    pub(crate) by: u8,
    /// Tick of the decision.
    pub(crate) decided: u8,
    /// Offset up to which its entry had folded the log.
    pub(crate) decided_offset: u64,
    /// What the specification tells tasks apart by: a call or a pool.
    pub(crate) label: u8,
    pub(crate) phase: Phase,
    /// Whether its entry still counts it as running.
    pub(crate) is_counted: bool,
}

impl Task {
    /// Returns whether a worker could be running it by the entry's clock.
    pub(crate) fn may_run_at(&self, now: u8) -> bool {
        now < self.decided + START_WINDOW_TICKS + TASK_TICKS
    }

    /// Returns whether it runs or may still start.
    pub(crate) fn is_alive(&self) -> bool {
        matches!(self.phase, Phase::Sent | Phase::Running(_))
    }
}

/// A batch that was sent and is not known to be folded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Flight {
    seq: u64,
    sent: u8,
}

/// One entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Entry {
    /// Index in the chain of the state that it has folded.
    pub(crate) view: usize,
    /// Tick at which its lease ends.
    pub(crate) lease_until: u8,
    pub(crate) seq: u64,
    pub(crate) flight: Option<Flight>,
    /// Tick at which it read the other seat's latest renewal or expiry.
    other_read: u8,
}

/// One state of a specification; `X` is what it adds.
#[derive(Clone, PartialEq, Eq, Hash)]
pub(crate) struct World<X> {
    pub(crate) now: u8,
    /// States of the ledger, one after each record, from the oldest view to the head.
    pub(crate) chain: Vec<NodeId>,
    pub(crate) entries: [Entry; 2],
    /// Records that may land, once or, while `repeats_left`, again.
    pending: Vec<PayloadId>,
    repeats_left: u8,
    pub(crate) tasks: Vec<Task>,
    pub(crate) extra: X,
}

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
    pub(crate) own_steps: &'a dyn Fn(&World<X>, &mut Vec<Step<World<X>>>),
}

/// Returns the record with which an entry opens its seat, with more changes of the same batch.
pub(crate) fn open_record(entry: usize, changes: &[SeatChange]) -> Record {
    let open = SeatChange::Open {
        peers_address: "".into(),
        zone: "".into(),
        lease_ms: 1,
    };
    Record::Seat(SeatBatch {
        seat: SEATS[entry].into(),
        seq: 1,
        changes: [&[open], changes].concat(),
    })
}

/// Returns an operator's proposal.
pub(crate) fn operator_record(number: u128, change: OperatorChange) -> Record {
    Record::Operator(OperatorProposal {
        proposal_id: Uuid::from_u128(number),
        operator: "".into(),
        change,
    })
}

impl<X: Clone> World<X> {
    /// Starts after `records`, which open both seats at tick 0. `repeats_count` records land once
    /// more than they should.
    pub(crate) fn start(
        folds: &Folds,
        records: &[Record],
        pending: &[Record],
        repeats_count: u8,
        extra: X,
    ) -> Self {
        let head = folds.start(records);
        let entry = Entry {
            view: 0,
            lease_until: LEASE_TICKS,
            seq: 1,
            flight: None,
            other_read: 0,
        };
        Self {
            now: 0,
            chain: vec![head],
            entries: [entry; 2],
            pending: pending.iter().map(|record| folds.payload(record)).collect(),
            repeats_left: repeats_count,
            tasks: Vec::new(),
            extra,
        }
    }

    /// Returns what an entry has folded.
    pub(crate) fn view(&self, folds: &Folds, entry: usize) -> Rc<Ledger> {
        folds.ledger(self.chain[self.entries[entry].view])
    }

    /// Returns the ledger at the head of the log.
    pub(crate) fn head(&self, folds: &Folds) -> Rc<Ledger> {
        folds.ledger(self.chain[self.chain.len() - 1])
    }

    /// Returns whether an entry's lease holds by its own clock.
    pub(crate) fn is_lease_valid(&self, entry: usize) -> bool {
        self.now < self.entries[entry].lease_until
    }

    /// Returns the tasks that an entry counts as running.
    pub(crate) fn counted(&self, entry: usize) -> impl Iterator<Item = &Task> {
        let is_own = move |task: &&Task| usize::from(task.by) == entry && task.is_counted;
        self.tasks.iter().filter(is_own)
    }

    /// Lets a record land now.
    pub(crate) fn append(&mut self, folds: &Folds, payload: PayloadId) {
        let head = self.chain[self.chain.len() - 1];
        self.chain.push(folds.fold(head, payload, self.now));
    }

    /// Sends a record that lands sooner or later, or never.
    pub(crate) fn send(&mut self, folds: &Folds, record: &Record) {
        let payload = folds.payload(record);
        self.pending.push(payload);
        self.pending.sort_unstable();
    }

    /// Sends a batch of an entry, with a renewal of its lease.
    pub(crate) fn propose(
        &mut self,
        folds: &Folds,
        entry: usize,
        clean_offset: u64,
        changes: Vec<SeatChange>,
    ) {
        let row = &mut self.entries[entry];
        row.seq += 1;
        row.flight = Some(Flight {
            seq: row.seq,
            sent: self.now,
        });
        let renewal = SeatChange::Renew { clean_offset };
        let record = Record::Seat(SeatBatch {
            seat: SEATS[entry].into(),
            seq: row.seq,
            changes: [vec![renewal], changes].concat(),
        });
        self.send(folds, &record);
    }

    /// Decides on a task.
    pub(crate) fn dispatch(&mut self, entry: usize, decided_offset: u64, label: u8) {
        self.tasks.push(Task {
            by: entry as u8,
            decided: self.now,
            decided_offset,
            label,
            phase: Phase::Sent,
            is_counted: true,
        });
        self.tasks.sort_unstable();
    }

    /// Brings equal states into one form.
    fn tidy(&mut self, folds: &Folds) {
        let now = self.now;
        for (entry, seat) in self.entries.iter_mut().zip(SEATS) {
            // A seat that has ended does nothing more, however far its holder reads.
            let is_live = folds
                .ledger(self.chain[entry.view])
                .seats
                .live(seat)
                .is_some();
            if !is_live {
                entry.view = self.chain.len() - 1;
            }
            // How long ago something ended makes no difference any more.
            entry.lease_until = entry.lease_until.max(now);
            entry.other_read = entry.other_read.max(now.saturating_sub(WAIT_MAX_TICKS));
            if let Some(flight) = &mut entry.flight {
                flight.sent = flight.sent.max(now.saturating_sub(LEASE_TICKS));
            }
        }
        self.tasks.retain(|task| task.is_alive() || task.is_counted);
        self.tasks.sort_unstable();
        let oldest = self
            .entries
            .iter()
            .map(|entry| entry.view)
            .min()
            .unwrap_or(0);
        self.chain.drain(..oldest);
        for entry in &mut self.entries {
            entry.view -= oldest;
        }
    }
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
    pub(crate) fn next(&self, world: &World<X>) -> Vec<Step<World<X>>> {
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

    fn add_tick(&self, world: &World<X>, steps: &mut Vec<Step<World<X>>>) {
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

    fn add_landings(&self, world: &World<X>, steps: &mut Vec<Step<World<X>>>) {
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

    fn add_folds(&self, world: &World<X>, steps: &mut Vec<Step<World<X>>>) {
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

    fn add_task_steps(&self, world: &World<X>, steps: &mut Vec<Step<World<X>>>) {
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
