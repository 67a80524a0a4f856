//! The real fold. Each state of the ledger is stored once and identified by a small number, so that
//! the states of the model are small and equal ledgers have equal ids.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use hawthornladder::ledger::{Ledger, Record};
use hawthornladder::ports::LogRecord;
use indexmap::IndexSet;

/// Id of a state of the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LedgerId(u32);

/// Id of the text of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct PayloadId(u32);

/// Duration of one tick of the model in milliseconds; the longest task lease takes two ticks.
pub(crate) const TICK_MS: u64 = hawthornladder::ledger::RUN_MAX_MS / 2;

/// Log time at the start of the model; request ids issued then are within the claim window.
pub(crate) const START_UNIX_MS: u64 = 1_800_000_000_000;

#[derive(Default)]
struct Inner {
    ledgers: Vec<Rc<Ledger>>,
    by_text: HashMap<String, LedgerId>,
    payloads: IndexSet<String>,
    folded: HashMap<(LedgerId, PayloadId, u8), LedgerId>,
}

/// All states of the ledger that the model has reached.
#[derive(Default)]
pub(crate) struct FoldCache {
    inner: RefCell<Inner>,
}

impl FoldCache {
    /// Returns the id of the ledger that has folded `records`, all at tick 0.
    pub(crate) fn start(&self, records: &[Record]) -> LedgerId {
        let empty = self.inner.borrow_mut().intern(Ledger::default());
        records.iter().fold(empty, |node, record| {
            self.fold(node, self.payload(record), 0)
        })
    }

    /// Returns the id of a record.
    pub(crate) fn payload(&self, record: &Record) -> PayloadId {
        let text = serde_json::to_string(record).expect("records serialize");
        PayloadId(self.inner.borrow_mut().payloads.insert_full(text).0 as u32)
    }

    /// Returns a state of the ledger.
    pub(crate) fn ledger(&self, node: LedgerId) -> Rc<Ledger> {
        Rc::clone(&self.inner.borrow().ledgers[node.0 as usize])
    }

    /// Folds a record that was appended at `tick`.
    ///
    /// Only the changes that end a seat depend on the log's time. Other records keep the time of
    /// the record before them, so that more ledgers are equal.
    pub(crate) fn fold(&self, node: LedgerId, payload: PayloadId, tick: u8) -> LedgerId {
        let mut inner = self.inner.borrow_mut();
        let text = &inner.payloads[payload.0 as usize];
        let tick = match text.contains("expire_seat") || text.contains("reclaim_seat") {
            true => tick,
            false => 0,
        };
        if let Some(folded) = inner.folded.get(&(node, payload, tick)) {
            return *folded;
        }
        let mut ledger = Ledger::clone(&inner.ledgers[node.0 as usize]);
        let record = LogRecord {
            offset: ledger.next_offset,
            at_unix_ms: START_UNIX_MS + u64::from(tick) * TICK_MS,
            payload: inner.payloads[payload.0 as usize].as_str().into(),
        };
        ledger.apply(&record);
        let folded = inner.intern(ledger);
        inner.folded.insert((node, payload, tick), folded);
        folded
    }
}

impl Inner {
    fn intern(&mut self, ledger: Ledger) -> LedgerId {
        let next = LedgerId(self.ledgers.len() as u32);
        let node = *self.by_text.entry(ledger.to_snapshot()).or_insert(next);
        if node == next {
            self.ledgers.push(Rc::new(ledger));
        }
        node
    }
}
