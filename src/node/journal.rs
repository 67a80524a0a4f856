//! The leader's writes to the store. One append is in flight at a time. It carries the leader's
//! fence and a sequence number, and is retried with the same number until its outcome is known. The
//! store applies an append once, however often it is sent.

use std::rc::Rc;
use std::time::Duration;

use crate::jobs::{Record, StoredRecord};
use crate::logging::Event;
use crate::node::{Fence, Node, StoreFailure, StoreLimits};
use crate::platform::store::Topic;

/// Producer name that all leaders share.
const WRITER: &str = "leader";
/// Time for which records are collected before an append, in milliseconds.
const LINGER_MS: u64 = 12;
/// Timeout of an append, in milliseconds.
const APPEND_TIMEOUT_MS: u64 = 1_200;
/// Shortest and longest pause before an append is retried, in milliseconds.
const RETRY_PAUSE_MS: (u64, u64) = (40, 400);
/// Bytes that a record takes in an append beside its key and value.
const APPEND_OVERHEAD_BYTES: usize = 16;

/// Time from which an append without an answer means that the store accepts no records, in
/// milliseconds. It is longer than an append to a slow store takes.
const STALLED_AFTER_MS: u64 = 900;

/// Progress of this leader's writes.
#[derive(Debug, Default)]
pub struct Journal {
    /// Sequence number of the last append; 0 before the first.
    last_sequence: u64,
    /// Whether the writer task runs.
    pub(crate) is_writing: bool,
    /// Time of the first sending of the append in flight, in milliseconds.
    sent_ms: Option<u64>,
}

impl Journal {
    /// Records that an append is sent, for the first time or again.
    pub fn append_sent(&mut self, now_ms: u64) {
        self.sent_ms.get_or_insert(now_ms);
    }

    /// Records that the append in flight is persisted.
    pub fn append_persisted(&mut self) {
        self.sent_ms = None;
    }

    /// Returns whether the store has left an append without effect for so long that the record of a
    /// new job would come too late.
    pub fn is_stalled(&self, now_ms: u64) -> bool {
        self.sent_ms
            .is_some_and(|sent_ms| now_ms >= sent_ms + STALLED_AFTER_MS)
    }
}

/// Raises the fence of the jobs topic. No earlier leader can write there afterwards.
pub(crate) async fn raise_fence(node: &Rc<Node>, fence: u64) -> Result<(), StoreFailure> {
    let fence = Fence {
        writer: WRITER,
        fence,
        sequence: 0,
    };
    let appended = node
        .store
        .append(Topic::Jobs, &[], None, Some(&fence), APPEND_TIMEOUT_MS)
        .await;
    appended.map(|_| ())
}

/// Starts the writer task if there are records to write and it does not run yet.
pub(crate) fn start_writer(node: &Rc<Node>) {
    let mut leader = node.leader_state.borrow_mut();
    let Some(leader) = leader.as_mut() else {
        return;
    };
    if leader.journal.is_writing || !leader.engine.has_records() {
        return;
    }
    leader.journal.is_writing = true;
    let fence = leader.engine.fence();
    tokio::task::spawn_local(write_all(Rc::clone(node), fence));
}

async fn write_all(node: Rc<Node>, fence: u64) {
    loop {
        tokio::time::sleep(Duration::from_millis(LINGER_MS)).await;
        let records = node.with_leader(fence, |leader| {
            let records = leader.engine.take_records();
            leader.journal.is_writing = records.is_some();
            records
        });
        let Some(Some(records)) = records else {
            return;
        };
        for append in appends_of(&records, node.settings.store) {
            if !write_append(&node, fence, &append).await {
                return;
            }
        }
        node.records_persisted(fence);
    }
}

/// Divides records among appends within the limits of the store, none of which is empty: the store
/// does not count an empty one in the sequence of the writer. The engine keeps its records within
/// them. One that is too large all the same is left out: the store would reject it, and all that
/// wait behind it, for ever.
pub fn appends_of(records: &[Record], limits: StoreLimits) -> Vec<Vec<StoredRecord>> {
    let mut appends: Vec<Vec<StoredRecord>> = Vec::new();
    let mut bytes = 0;
    for (key, value) in records.iter().flat_map(Record::encode) {
        let length = key.len() + value.as_ref().map_or(0, Vec::len) + APPEND_OVERHEAD_BYTES;
        if length > limits.record_bytes {
            Event::new("record_too_large")
                .with("key", &key)
                .with("bytes", length)
                .error();
            continue;
        }
        match appends.last_mut() {
            Some(append) if bytes + length <= limits.call_bytes => {
                append.push((key, value));
                bytes += length;
            }
            _ => {
                appends.push(vec![(key, value)]);
                bytes = length;
            }
        }
    }
    appends
}

/// Makes one append and returns whether it is persisted. It is not if this node has lost leadership.
async fn write_append(node: &Rc<Node>, fence: u64, records: &[StoredRecord]) -> bool {
    let Some(sequence) = node.with_leader(fence, |leader| {
        leader.journal.last_sequence += 1;
        leader.journal.last_sequence
    }) else {
        return false;
    };
    let mut sequence = sequence;
    let mut pause_ms = RETRY_PAUSE_MS.0;
    loop {
        let fenced = Fence {
            writer: WRITER,
            fence,
            sequence,
        };
        let sent_ms = node.now_ms();
        node.with_leader(fence, |leader| leader.journal.append_sent(sent_ms));
        let appended = node
            .store
            .append(Topic::Jobs, records, None, Some(&fenced), APPEND_TIMEOUT_MS)
            .await;
        node.record_store_call("append", &appended, sent_ms);
        let is_persisted = match &appended {
            Ok(_) => true,
            // The append took effect, and its answer was lost.
            Err(StoreFailure::OutOfSequence { expected }) => *expected == Some(sequence + 1),
            Err(_) => false,
        };
        if is_persisted {
            node.with_leader(fence, |leader| leader.journal.append_persisted());
            return true;
        }
        match appended {
            Err(StoreFailure::Fenced) => {
                node.lose_leadership(fence, "store");
                return false;
            }
            Err(StoreFailure::OutOfSequence { expected }) => match expected {
                Some(expected) if sequence == 1 => {
                    sequence = expected;
                    node.with_leader(fence, |leader| leader.journal.last_sequence = expected);
                }
                _ => {
                    Event::new("journal_out_of_step")
                        .with("number", sequence)
                        .with("expected", format!("{expected:?}"))
                        .error();
                    node.lose_leadership(fence, "journal");
                    return false;
                }
            },
            Ok(_) => {}
            Err(failure) => {
                Event::new("journal_delayed")
                    .with("number", sequence)
                    .with("records_count", records.len())
                    .with("failure", failure)
                    .with("took_ms", node.now_ms().saturating_sub(sent_ms))
                    .warn();
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                pause_ms = (pause_ms * 2).min(RETRY_PAUSE_MS.1);
                if node.with_leader(fence, |_| ()).is_none() {
                    return false;
                }
            }
        }
    }
}
