//! State shared by all specifications: two entries that hold seats, the log between them, appends
//! in flight, and tasks on workers.

use std::rc::Rc;

use hawthornladder::ledger::{
    Ledger, OperatorChange, OperatorProposal, Record, SeatBatch, SeatChange,
};
use uuid::Uuid;

use super::folds::{FoldCache, LedgerId, PayloadId};

/// Seats of the two entries.
pub(crate) const SEATS: [&str; 2] = ["a", "b"];
/// Lease of a seat, in ticks.
pub(crate) const LEASE_TICKS: u8 = 2;
/// Time for which a task of an expired seat may still run, in ticks.
pub(crate) const RUN_MAX_TICKS: u8 = 2;
/// Longest wait for the other entry's seat, in ticks.
const WAIT_MAX_TICKS: u8 = 2;

/// State of a task at its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// The task may still arrive.
    Sent,
    /// The task has been running since this tick.
    Running(u8),
    /// The task ran.
    Ran,
    /// The task never started and never will.
    NeverStarted,
}

/// One attempt to run work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct Task {
    /// Entry that dispatched the task.
    pub(crate) by: u8,
    /// Tick at which it was dispatched.
    pub(crate) decided_tick: u8,
    /// Offset up to which the entry had folded the log at that time.
    pub(crate) decided_offset: u64,
    /// Number by which the specification distinguishes tasks, such as a call or a pool.
    pub(crate) label: u8,
    pub(crate) phase: Phase,
    /// Whether the entry still counts the task as running.
    pub(crate) is_counted: bool,
}

impl Task {
    /// Returns whether the task runs or may still start.
    pub(crate) fn is_alive(&self) -> bool {
        matches!(self.phase, Phase::Sent | Phase::Running(_))
    }
}

/// A batch that was sent and that its entry has not yet folded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct InFlightBatch {
    pub(super) seq: u64,
    pub(super) sent_tick: u8,
}

/// One entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Entry {
    /// Index in `chain` of the ledger that the entry has folded.
    pub(crate) view: usize,
    /// Tick at which the entry's lease ends.
    pub(crate) lease_end_tick: u8,
    pub(crate) seq: u64,
    pub(crate) in_flight: Option<InFlightBatch>,
    /// Tick at which the entry read the other seat's latest renewal or expiry.
    pub(super) other_read_tick: u8,
}

/// One state of a specification; `X` is the state that the specification adds.
#[derive(Clone, PartialEq, Eq, Hash)]
pub(crate) struct World<X> {
    pub(crate) now: u8,
    /// States of the ledger after each record, from the oldest that an entry has folded to the
    /// head.
    pub(crate) chain: Vec<LedgerId>,
    pub(crate) entries: [Entry; 2],
    /// Records in flight; each is appended once, or again while `repeats_left` is not 0, or never.
    pub(super) pending: Vec<PayloadId>,
    pub(super) repeats_left: u8,
    pub(crate) tasks: Vec<Task>,
    pub(crate) extra: X,
}

/// Returns the record with which an entry opens its seat, with more changes in the same batch.
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
    /// Starts after `records`, which open both seats at tick 0. Up to `repeats_count` times, a
    /// record is appended again.
    pub(crate) fn start(
        folds: &FoldCache,
        records: &[Record],
        pending: &[Record],
        repeats_count: u8,
        extra: X,
    ) -> Self {
        let head = folds.start(records);
        let entry = Entry {
            view: 0,
            lease_end_tick: LEASE_TICKS,
            seq: 1,
            in_flight: None,
            other_read_tick: 0,
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

    /// Returns the ledger that an entry has folded.
    pub(crate) fn view(&self, folds: &FoldCache, entry: usize) -> Rc<Ledger> {
        folds.ledger(self.chain[self.entries[entry].view])
    }

    /// Returns the ledger at the head of the log.
    pub(crate) fn head(&self, folds: &FoldCache) -> Rc<Ledger> {
        folds.ledger(self.chain[self.chain.len() - 1])
    }

    /// Returns whether an entry's lease is valid by its local clock.
    pub(crate) fn is_lease_valid(&self, entry: usize) -> bool {
        self.now < self.entries[entry].lease_end_tick
    }

    /// Returns the tasks that an entry counts as running.
    pub(crate) fn counted(&self, entry: usize) -> impl Iterator<Item = &Task> {
        let is_own = move |task: &&Task| usize::from(task.by) == entry && task.is_counted;
        self.tasks.iter().filter(is_own)
    }

    /// Appends a record to the log now.
    pub(crate) fn append(&mut self, folds: &FoldCache, payload: PayloadId) {
        let head = self.chain[self.chain.len() - 1];
        self.chain.push(folds.fold(head, payload, self.now));
    }

    /// Sends a record that is appended now, later, or never.
    pub(crate) fn send(&mut self, folds: &FoldCache, record: &Record) {
        let payload = folds.payload(record);
        self.pending.push(payload);
        self.pending.sort_unstable();
    }

    /// Sends a batch of an entry, which also renews its lease.
    pub(crate) fn propose(
        &mut self,
        folds: &FoldCache,
        entry: usize,
        clean_offset: u64,
        changes: Vec<SeatChange>,
    ) {
        let row = &mut self.entries[entry];
        row.seq += 1;
        row.in_flight = Some(InFlightBatch {
            seq: row.seq,
            sent_tick: self.now,
        });
        let renewal = SeatChange::Renew { clean_offset };
        let record = Record::Seat(SeatBatch {
            seat: SEATS[entry].into(),
            seq: row.seq,
            changes: [vec![renewal], changes].concat(),
        });
        self.send(folds, &record);
    }

    /// Dispatches a task.
    pub(crate) fn dispatch(&mut self, entry: usize, decided_offset: u64, label: u8) {
        self.tasks.push(Task {
            by: entry as u8,
            decided_tick: self.now,
            decided_offset,
            label,
            phase: Phase::Sent,
            is_counted: true,
        });
        self.tasks.sort_unstable();
    }

    /// Normalizes the state, so that equivalent states are equal.
    pub(super) fn normalize(&mut self, folds: &FoldCache) {
        let now = self.now;
        for (entry, seat) in self.entries.iter_mut().zip(SEATS) {
            // A seat that has ended does nothing more, regardless of how far its holder has read.
            let is_live = folds
                .ledger(self.chain[entry.view])
                .seats
                .live(seat)
                .is_some();
            if !is_live {
                entry.view = self.chain.len() - 1;
            }
            // Beyond these bounds, the age of an event makes no difference.
            entry.lease_end_tick = entry.lease_end_tick.max(now);
            entry.other_read_tick = entry
                .other_read_tick
                .max(now.saturating_sub(WAIT_MAX_TICKS));
            if let Some(batch) = &mut entry.in_flight {
                batch.sent_tick = batch.sent_tick.max(now.saturating_sub(LEASE_TICKS));
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
