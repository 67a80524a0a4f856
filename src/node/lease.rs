//! Reads the topic of the leadership lease, and writes to it when a renewal or a claim is due.

use std::rc::Rc;
use std::time::Duration;

use crate::logging::Event;
use crate::node::{
    leader, KeyedRecord, LeaseWrite, Node, ReadRecord, Role, StoreFailure, WriteOutcome,
};
use crate::platform::store::Topic;

/// Key of the lease record.
const KEY: &str = "lead";
/// Longest time that the store may hold a read that finds nothing new, in milliseconds.
const READ_WAIT_MS: u64 = 1_000;
/// Timeout of a read beyond its wait, in milliseconds.
const READ_TIMEOUT_MS: u64 = 700;
/// Timeout of a write, in milliseconds.
const WRITE_TIMEOUT_MS: u64 = 2_000;
/// Pause after a failed read or write, in milliseconds.
const RETRY_PAUSE_MS: u64 = 100;
/// Longest time between two checks whether a write is due, in milliseconds.
const SLEEP_MAX_MS: u64 = 500;

fn decode(records: &[KeyedRecord]) -> Vec<ReadRecord> {
    let mut found = Vec::new();
    for KeyedRecord { value, offset, .. } in records {
        let Some(value) = value else {
            continue;
        };
        match serde_json::from_slice(value) {
            Ok(record) => found.push(ReadRecord {
                offset: *offset,
                record,
            }),
            Err(error) => Event::new("record_unreadable")
                .with("topic", "lead")
                .with("offset", offset)
                .with("error", error)
                .warn(),
        }
    }
    found
}

/// Follows the topic for as long as the process runs.
pub(crate) async fn follow(node: Rc<Node>) {
    let mut must_read_newest = true;
    let mut is_unavailable = false;
    loop {
        let offset = node.leadership.borrow().end_offset();
        let read = match must_read_newest {
            true => {
                node.store
                    .read_newest(Topic::Leadership, READ_TIMEOUT_MS)
                    .await
            }
            false => {
                // After an outage the first read does not wait for a record, so that the store is
                // known to be reachable at once.
                let wait_ms = if is_unavailable { 0 } else { READ_WAIT_MS };
                let timeout_ms = wait_ms + READ_TIMEOUT_MS;
                node.store
                    .read(Topic::Leadership, offset, wait_ms, timeout_ms)
                    .await
                    .map(|page| (page.records, page.next_offset))
            }
        };
        match read {
            Ok((records, next_offset)) => {
                must_read_newest = false;
                if is_unavailable {
                    is_unavailable = false;
                    Event::new("store_available").with("topic", "lead").info();
                }
                let now_ms = node.now_ms();
                node.leadership
                    .borrow_mut()
                    .apply_read(decode(&records), next_offset, now_ms);
                leader::apply_role(&node);
                node.lease_changed.notify_one();
            }
            Err(StoreFailure::Trimmed { .. }) => must_read_newest = true,
            Err(failure) => {
                if !is_unavailable {
                    is_unavailable = true;
                    Event::new("store_unavailable")
                        .with("topic", "lead")
                        .with("failure", failure)
                        .warn();
                }
                node.leadership.borrow_mut().mark_store_unreachable();
                tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
            }
        }
    }
}

/// Writes renewals and claims for as long as the process runs.
pub(crate) async fn write(node: Rc<Node>) {
    loop {
        let now_ms = node.now_ms();
        let due = node.leadership.borrow_mut().next_write(now_ms);
        match due {
            Some(write) => write_one(&node, write).await,
            None => {
                let due_ms = node.leadership.borrow().next_due_ms(now_ms);
                let sleep_ms = due_ms
                    .saturating_sub(now_ms)
                    .clamp(RETRY_PAUSE_MS, SLEEP_MAX_MS);
                // A change of the lease may make a write due before `due_ms`.
                let _ = tokio::time::timeout(
                    Duration::from_millis(sleep_ms),
                    node.lease_changed.notified(),
                )
                .await;
            }
        }
    }
}

/// Reads the records that moved the end of the topic, without waiting for the long poll, which may
/// return them only later.
async fn read_newer(node: &Rc<Node>) {
    let offset = node.leadership.borrow().end_offset();
    let read = node
        .store
        .read(Topic::Leadership, offset, 0, READ_TIMEOUT_MS);
    match read.await {
        Ok(page) => {
            let now_ms = node.now_ms();
            node.leadership.borrow_mut().apply_read(
                decode(&page.records),
                page.next_offset,
                now_ms,
            );
        }
        Err(failure) => Event::new("lease_read_failed")
            .with("failure", failure)
            .warn(),
    }
}

/// Returns once the outcome of the write in flight is known from a read of the topic. The answer to
/// the write may be late or lost.
async fn wait_until_settled(node: &Rc<Node>) {
    while node.leadership.borrow().is_writing() {
        node.lease_changed.notified().await;
    }
}

async fn write_one(node: &Rc<Node>, write: LeaseWrite) {
    let value = serde_json::to_vec(&write.record).unwrap_or_default();
    let records = [(KEY.into(), Some(value))];
    let append = node.store.append(
        Topic::Leadership,
        &records,
        Some(write.at_offset),
        None,
        WRITE_TIMEOUT_MS,
    );
    let appended = tokio::select! {
        appended = append => appended,
        () = wait_until_settled(node) => return,
    };
    let outcome = match appended {
        Ok(end_offset) => WriteOutcome::Persisted { end_offset },
        Err(StoreFailure::Lost | StoreFailure::Unreadable) => WriteOutcome::Unknown,
        Err(_) => WriteOutcome::NotPersisted,
    };
    if let Err(failure) = appended {
        Event::new("lease_write_failed")
            .with("fence", write.record.fence)
            .with("at_offset", write.at_offset)
            .with("failure", failure)
            .warn();
        tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
    }
    if let Err(StoreFailure::Moved { .. }) = appended {
        read_newer(node).await;
    }
    let now_ms = node.now_ms();
    node.leadership
        .borrow_mut()
        .apply_write_outcome(&write, outcome, now_ms);
    leader::apply_role(node);
    if let Role::Leader { .. } = node.leadership.borrow().role(now_ms) {
        node.metrics.leading_fence.set(write.record.fence);
    }
}
