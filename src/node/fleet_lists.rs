//! Follows the list of workers and the list of instances, on the leader.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexSet;
use smol_str::SmolStr;

use crate::logging::Event;
use crate::node::{KeyedRecord, Node, StoreFailure};
use crate::platform::store::Topic;
use crate::platform::{instances, lists};

/// Interval between reads of the list of workers, in milliseconds.
const WORKERS_READ_MS: u64 = 100;
/// Timeout of a read, in milliseconds.
const READ_TIMEOUT_MS: u64 = 1_200;
/// Time after an outage of the store in which removals of workers are not applied yet, in
/// milliseconds. Entries that were removed during the outage may be written again in this time.
const REMOVAL_GRACE_MS: u64 = 2_300;
/// Interval between reads of the list of instances, in milliseconds.
const INSTANCES_READ_MS: u64 = 1_000;

/// Follows the list of workers for as long as this node leads under `fence`.
pub(crate) async fn follow_workers(node: Rc<Node>, fence: u64) {
    let mut follower = WorkersFollower::default();
    while node.with_leader(fence, |_| ()).is_some() {
        follower.read(&node, fence).await;
        follower.apply_due_removals(&node, fence);
        node.request_step();
        tokio::time::sleep(Duration::from_millis(WORKERS_READ_MS)).await;
    }
}

#[derive(Default)]
struct WorkersFollower {
    next_offset: Option<u64>,
    listed: IndexSet<SmolStr>,
    /// Workers whose entries were removed, with the time from which the removal applies, in
    /// milliseconds.
    pending_removals: HashMap<SmolStr, u64>,
    is_unavailable: bool,
    removals_from_ms: u64,
}

impl WorkersFollower {
    async fn read(&mut self, node: &Rc<Node>, fence: u64) {
        let sent_ms = node.now_ms();
        let read = match self.next_offset {
            None => self.read_newest(node).await,
            Some(offset) => node
                .store
                .read(Topic::Workers, offset, 0, READ_TIMEOUT_MS)
                .await
                .map(|page| (page.records, page.next_offset)),
        };
        let now_ms = node.now_ms();
        match read {
            Ok((records, next_offset)) => {
                if self.is_unavailable {
                    self.is_unavailable = false;
                    self.removals_from_ms = now_ms + REMOVAL_GRACE_MS;
                    Event::new("store_available")
                        .with("topic", "workers")
                        .info();
                }
                for record in records {
                    self.apply_record(node, fence, &record, now_ms);
                }
                self.next_offset = Some(next_offset);
                node.with_leader(fence, |leader| leader.engine.workers_list_read(sent_ms));
            }
            Err(StoreFailure::Trimmed { .. }) => self.next_offset = None,
            Err(failure) => {
                if !self.is_unavailable {
                    Event::new("store_unavailable")
                        .with("topic", "workers")
                        .with("failure", failure)
                        .warn();
                }
                self.is_unavailable = true;
            }
        }
    }

    async fn read_newest(
        &mut self,
        node: &Rc<Node>,
    ) -> Result<(Vec<KeyedRecord>, u64), StoreFailure> {
        let (all, end_offset) = node
            .store
            .read_newest(Topic::Workers, READ_TIMEOUT_MS)
            .await?;
        let found: IndexSet<&SmolStr> = all.iter().map(|record| &record.key).collect();
        let due_ms = self.removals_from_ms.max(node.now_ms());
        for id in &self.listed {
            if !found.contains(id) {
                self.pending_removals.entry(id.clone()).or_insert(due_ms);
            }
        }
        Ok((all, end_offset))
    }

    fn apply_record(&mut self, node: &Rc<Node>, fence: u64, record: &KeyedRecord, now_ms: u64) {
        let id = &record.key;
        if id.is_empty() {
            return;
        }
        match &record.value {
            None => {
                let due_ms = self.removals_from_ms.max(now_ms);
                self.pending_removals.entry(id.clone()).or_insert(due_ms);
            }
            Some(value) => match lists::parse_worker_info(id, value) {
                Some(worker) => {
                    self.pending_removals.remove(id);
                    self.listed.insert(id.clone());
                    node.with_leader(fence, |leader| leader.engine.worker_listed(worker, now_ms));
                }
                None => {
                    Event::new("entry_unusable")
                        .with("worker", id)
                        .with("offset", record.offset)
                        .warn();
                    self.pending_removals.entry(id.clone()).or_insert(now_ms);
                }
            },
        }
    }

    fn apply_due_removals(&mut self, node: &Rc<Node>, fence: u64) {
        let now_ms = node.now_ms();
        let due: Vec<SmolStr> = self
            .pending_removals
            .iter()
            .filter(|(_, due_ms)| **due_ms <= now_ms && !self.is_unavailable)
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            self.pending_removals.remove(&id);
            self.listed.swap_remove(&id);
            node.with_leader(fence, |leader| leader.engine.worker_unlisted(&id, now_ms));
        }
    }
}

/// Follows the list of instances for as long as this node leads under `fence`.
pub(crate) async fn follow_instances(node: Rc<Node>, fence: u64) {
    let Some(address) = node.settings.instances_address else {
        return;
    };
    let mut is_unavailable = false;
    while node.with_leader(fence, |_| ()).is_some() {
        let sent_ms = node.now_ms();
        let listed = instances::list(&node.client, address).await;
        let now_ms = node.now_ms();
        match listed {
            Ok(found) => {
                if is_unavailable {
                    Event::new("instance_list_available").info();
                }
                is_unavailable = false;
                node.with_leader(fence, |leader| {
                    leader.engine.instances_listed(found, sent_ms, now_ms);
                });
            }
            Err(failure) => {
                if !is_unavailable {
                    Event::new("instance_list_unavailable")
                        .with("failure", failure)
                        .warn();
                }
                is_unavailable = true;
            }
        }
        tokio::time::sleep(Duration::from_millis(INSTANCES_READ_MS)).await;
    }
}
