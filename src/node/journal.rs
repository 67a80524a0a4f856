//! The leader's writes to the store: one append at a time, numbered under the leader's fence, repeated
//! with the same number until its outcome is known. A repeat has no further effect.

use std::rc::Rc;
use std::time::Duration;

use crate::jobs::{Record, StoredRecord};
use crate::logging::Event;
use crate::node::{Fence, Node, StoreFailure, StoreLimits};
use crate::platform::store::Topic;

/// Name under which all leaders write.
const WRITER: &str = "leader";
/// Time for which records wait for others before an append, in milliseconds.
const LINGER_MS: u64 = 12;
/// Time that an append may take, in milliseconds.
const TIMEOUT_MS: u64 = 1_200;
/// Shortest and longest pause before an append is repeated, in milliseconds.
const PAUSE_MS: (u64, u64) = (40, 400);
/// Bytes of an append beside its records' values.
const OVERHEAD_BYTES: usize = 16;

/// Where the writes of this leader stand.
#[derive(Debug, Default)]
pub(crate) struct Journal {
    /// Number of the next append.
    next_number: u64,
    /// Whether a writer is at work.
    pub(crate) is_writing: bool,
}

/// Raises the fence of the topic of jobs, after which no earlier leader can write there.
pub(crate) async fn raise_fence(node: &Rc<Node>, fence: u64) -> Result<(), StoreFailure> {
    let fence = Fence {
        writer: WRITER,
        fence,
        number: 0,
    };
    let appended = node
        .store
        .append(Topic::Jobs, &[], None, Some(&fence), TIMEOUT_MS)
        .await;
    appended.map(|_| ())
}

/// Starts the writer if there is something to write and none is at work.
pub(crate) fn wake(node: &Rc<Node>) {
    let mut leading = node.leading.borrow_mut();
    let Some(leading) = leading.as_mut() else {
        return;
    };
    if leading.journal.is_writing || !leading.engine.has_records() {
        return;
    }
    leading.journal.is_writing = true;
    let fence = leading.engine.fence();
    tokio::task::spawn_local(write_all(Rc::clone(node), fence));
}

async fn write_all(node: Rc<Node>, fence: u64) {
    loop {
        tokio::time::sleep(Duration::from_millis(LINGER_MS)).await;
        let records = node.with_leading(fence, |leading| {
            let records = leading.engine.take_records();
            leading.journal.is_writing = records.is_some();
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
        node.records_kept(fence);
    }
}

/// Divides what is kept into appends within the limits of the store.
fn chunks_of(records: &[Record], limits: StoreLimits) -> Vec<Vec<StoredRecord>> {
    let mut chunks = vec![Vec::new()];
    let mut bytes = 0;
    for (key, value) in records.iter().flat_map(Record::encode) {
        let length = key.len() + value.as_ref().map_or(0, Vec::len) + OVERHEAD_BYTES;
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
async fn write_chunk(node: &Rc<Node>, fence: u64, chunk: &[StoredRecord]) -> bool {
    let Some(number) = node.with_leading(fence, |leading| {
        leading.journal.next_number += 1;
        leading.journal.next_number
    }) else {
        return false;
    };
    let mut number = number;
    let mut pause_ms = PAUSE_MS.0;
    loop {
        let fenced = Fence {
            writer: WRITER,
            fence,
            number,
        };
        let sent_ms = node.now_ms();
        let appended = node
            .store
            .append(Topic::Jobs, chunk, None, Some(&fenced), TIMEOUT_MS)
            .await;
        node.note_store_call("append", &appended, sent_ms);
        match appended {
            Ok(_) => return true,
            Err(StoreFailure::Fenced) => {
                node.depose(fence, "store");
                return false;
            }
            Err(StoreFailure::Number { expected }) => match expected {
                // The append whose answer was lost has taken effect.
                Some(expected) if expected == number + 1 => return true,
                Some(expected) if number == 1 => {
                    number = expected;
                    node.with_leading(fence, |leading| leading.journal.next_number = expected);
                }
                _ => {
                    Event::new("journal_out_of_step")
                        .with("number", number)
                        .with("expected", format!("{expected:?}"))
                        .error();
                    node.depose(fence, "journal");
                    return false;
                }
            },
            Err(failure) => {
                Event::new("journal_delayed")
                    .with("number", number)
                    .with("records_count", chunk.len())
                    .with("failure", failure)
                    .with("took_ms", node.now_ms().saturating_sub(sent_ms))
                    .warn();
                tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                pause_ms = (pause_ms * 2).min(PAUSE_MS.1);
                if node.with_leading(fence, |_| ()).is_none() {
                    return false;
                }
            }
        }
    }
}
