//! Restores the state of a new leader from the records in the store.

use std::rc::Rc;
use std::time::Duration;

use crate::jobs::Record;
use crate::logging::Event;
use crate::node::leader::{depose, spawn, tick};
use crate::node::{fleet_lists, journal, Node, StoreFailure};
use crate::platform::store::Topic;

/// Timeout of reading the job records, in milliseconds.
const RESTORE_TIMEOUT_MS: u64 = 2_000;
/// Pause before a failed restore is retried, in milliseconds.
const RESTORE_RETRY_MS: u64 = 100;

/// Raises the fence, restores the engine from all records, and starts the leader's tasks.
pub(crate) async fn restore(node: Rc<Node>, fence: u64) {
    let Some(records) = read_records_with_retries(&node, fence).await else {
        return;
    };
    let waves = node.waves.borrow().clone();
    let zones = node.evacuations.borrow().zones();
    node.with_leader(fence, |leader| {
        leader.engine.restore(records);
        leader.engine.set_evacuated_zones(&zones);
        for wave in waves {
            leader.engine.wave_requested(wave);
        }
        leader.is_restored = true;
    });
    spawn(fleet_lists::follow_workers(Rc::clone(&node), fence));
    spawn(fleet_lists::follow_instances(Rc::clone(&node), fence));
    spawn(tick(node, fence));
}

async fn read_records_with_retries(node: &Rc<Node>, fence: u64) -> Option<Vec<Record>> {
    loop {
        node.with_leader(fence, |_| ())?;
        match read_records(node, fence).await {
            Ok(records) => return Some(records),
            Err(StoreFailure::Fenced) => {
                depose(node, fence);
                return None;
            }
            Err(failure) => {
                Event::new("restore_delayed")
                    .with("fence", fence)
                    .with("failure", failure)
                    .warn();
                tokio::time::sleep(Duration::from_millis(RESTORE_RETRY_MS)).await;
            }
        }
    }
}

async fn read_records(node: &Rc<Node>, fence: u64) -> Result<Vec<Record>, StoreFailure> {
    journal::raise_fence(node, fence).await?;
    let (persisted, _) = node
        .store
        .read_newest(Topic::Jobs, RESTORE_TIMEOUT_MS)
        .await?;
    let mut records = Vec::new();
    for persisted in &persisted {
        let value = persisted.value.as_deref().unwrap_or(&[]);
        match Record::decode(&persisted.key, value) {
            Some(record) => records.push(record),
            None => Event::new("record_unreadable")
                .with("topic", "jobs")
                .with("key", &persisted.key)
                .with("offset", persisted.offset)
                .error(),
        }
    }
    Ok(records)
}
