//! The leader's writes to the store: one append at a time, numbered under the leader's fence, repeated
//! with the same number until its outcome is known. A repeat has no further effect.

use std::rc::Rc;
use std::time::Duration;

use crate::jobs::{KeptRecord, Record};
use crate::logging::Event;
use crate::node::{Fence, Node, StoreFailure, StoreLimits};
use crate::platform::store::Topic;

/// Name under which all leaders write.
const WRITER: &str = "leader";
/// Time for which records wait for others before an append, in milliseconds.
const LINGER_MS: u64 = 12;
/// Time that an append may take, in milliseconds.
const APPEND_TIMEOUT_MS: u64 = 1_200;
/// Shortest and longest pause before an append is repeated, in milliseconds.
const RETRY_PAUSE_MS: (u64, u64) = (40, 400);
/// Bytes of an append beside its records' values.
const RECORD_OVERHEAD_BYTES: usize = 16;

/// Where the writes of this leader stand.
#[derive(Debug, Default)]
pub(crate) struct Journal {
    /// Number of the next append.
    next_sequence: u64,
    /// Whether a writer is at work.
    pub(crate) is_writing: bool,
}

/// Raises the fence of the topic of jobs, after which no earlier leader can write there.
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

/// Starts the writer if there is something to write and none is at work.
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
        for chunk in chunks_of(&records, node.settings.store) {
            if !write_chunk(&node, fence, &chunk).await {
                return;
            }
        }
        node.records_persisted(fence);
    }
}

/// Divides what is kept into appends within the limits of the store.
fn chunks_of(records: &[Record], limits: StoreLimits) -> Vec<Vec<KeptRecord>> {
    let mut chunks = vec![Vec::new()];
    let mut bytes = 0;
    for (key, value) in records.iter().flat_map(Record::encode) {
        let length = key.len() + value.as_ref().map_or(0, Vec::len) + RECORD_OVERHEAD_BYTES;
        if length > limits.record_bytes {
            Event::new("record_too_large")
                .with("key", &key)
                .with("bytes", length)
                .error();
        }
        if bytes + length > limits.call_bytes {
            chunks.push(Vec::new());
            bytes = 0;
        }
        bytes += length;
        if let Some(chunk) = chunks.last_mut() {
            chunk.push((key, value));
        }
    }
    chunks
}

/// Appends one chunk, and returns whether it is kept; if not, another leader is in charge.
async fn write_chunk(node: &Rc<Node>, fence: u64, chunk: &[KeptRecord]) -> bool {
    let Some(sequence) = node.with_leader(fence, |leader| {
        leader.journal.next_sequence += 1;
        leader.journal.next_sequence
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
        let appended = node
            .store
            .append(Topic::Jobs, chunk, None, Some(&fenced), APPEND_TIMEOUT_MS)
            .await;
        node.record_store_call("append", &appended, sent_ms);
        match appended {
            Ok(_) => return true,
            Err(StoreFailure::Fenced) => {
                node.lose_leadership(fence, "store");
                return false;
            }
            Err(StoreFailure::OutOfSequence { expected }) => match expected {
                // The append whose answer was lost has taken effect.
                Some(expected) if expected == sequence + 1 => return true,
                Some(expected) if sequence == 1 => {
                    sequence = expected;
                    node.with_leader(fence, |leader| leader.journal.next_sequence = expected);
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
            Err(failure) => {
                Event::new("journal_delayed")
                    .with("number", sequence)
                    .with("records_count", chunk.len())
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
