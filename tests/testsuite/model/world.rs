//! The state that every specification shares: two entries that hold seats, the log between them,
//! appends on their way, and tasks that run on workers.

use std::rc::Rc;

use hawthornladder::ledger::{
    Ledger, OperatorChange, OperatorProposal, Record, SeatBatch, SeatChange,
};
use uuid::Uuid;

use super::folds::{Folds, NodeId, PayloadId};

/// Seats of the two entries.
pub(crate) const SEATS: [&str; 2] = ["a", "b"];
/// Lease of a seat in ticks.
pub(crate) const LEASE_TICKS: u8 = 2;
/// Time after an expiry for which a task of the seat may run, in ticks.
pub(crate) const RUN_MAX_TICKS: u8 = 2;
/// Longest wait of a watcher.
const WAIT_MAX_TICKS: u8 = 2;

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
    /// Returns whether it runs or may still start.
    pub(crate) fn is_alive(&self) -> bool {
        matches!(self.phase, Phase::Sent | Phase::Running(_))
    }
}

/// A batch that was sent and is not known to be folded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Flight {
    pub(super) seq: u64,
    pub(super) sent: u8,
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
    pub(super) other_read: u8,
}

/// One state of a specification; `X` is what it adds.
#[derive(Clone, PartialEq, Eq, Hash)]
pub(crate) struct World<X> {
    pub(crate) now: u8,
    /// States of the ledger, one after each record, from the oldest view to the head.
    pub(crate) chain: Vec<NodeId>,
    pub(crate) entries: [Entry; 2],
    /// Records that may land, once or, while `repeats_left`, again.
    pub(super) pending: Vec<PayloadId>,
    pub(super) repeats_left: u8,
    pub(crate) tasks: Vec<Task>,
    pub(crate) extra: X,
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
    pub(super) fn tidy(&mut self, folds: &Folds) {
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
