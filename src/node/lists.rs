//! Follows the operators' lists by a long poll of their topic. Each node holds the newest version
//! and the time at which it was last confirmed to be the newest.

use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexSet;

use crate::logging::Event;
use crate::node::{KeyedRecord, Node, StoreFailure};
use crate::platform::lists::{evacuated_zone, parse_operator_record, OperatorRecord};
use crate::platform::store::Topic;

/// Longest time that the store may hold a read that finds nothing new, in milliseconds. While the
/// store answers, the lists are confirmed to be the newest at least this often.
const READ_WAIT_MS: u64 = 800;
/// Timeout of a read beyond its wait, in milliseconds.
const READ_TIMEOUT_MS: u64 = 900;
/// Pause after a failed read, in milliseconds.
const RETRY_PAUSE_MS: u64 = 120;

/// Follows the lists for as long as the process runs.
pub(crate) async fn follow(node: Rc<Node>) {
    let mut next_offset = None;
    let mut is_unavailable = false;
    loop {
        let sent_ms = node.now_ms();
        let read = match next_offset {
            None => read_newest(&node).await,
            // After an outage the first read does not wait for a record, so that the lists are
            // confirmed at once.
            Some(offset) if is_unavailable => read_newer(&node, offset, 0).await,
            Some(offset) => read_newer(&node, offset, READ_WAIT_MS).await,
        };
        match read {
            Ok((records, offset, is_at_end)) => {
                for record in &records {
                    apply_record(&node, record);
                }
                next_offset = Some(offset);
                if is_at_end {
                    node.lists_confirmed_ms.set(sent_ms);
                }
                if is_unavailable {
                    is_unavailable = false;
                    Event::new("store_available")
                        .with("topic", "operators")
                        .info();
                }
            }
            Err(StoreFailure::Trimmed { first_offset }) => {
                Event::new("history_trimmed")
                    .with("topic", "operators")
                    .with("first_offset", first_offset)
                    .info();
                next_offset = None;
            }
            Err(failure) => {
                if !is_unavailable {
                    is_unavailable = true;
                    Event::new("store_unavailable")
                        .with("topic", "operators")
                        .with("failure", failure)
                        .with("lists_age_ms", node.lists_age_ms().unwrap_or(0))
                        .warn();
                }
                tokio::time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
            }
        }
    }
}

/// Records, the offset after them, and whether that is the end of the topic.
type Read = (Vec<KeyedRecord>, u64, bool);

/// Reads the newest record of each key. A zone without a record is not evacuated any more; its
/// removal may be among the records that the store no longer has.
async fn read_newest(node: &Rc<Node>) -> Result<Read, StoreFailure> {
    let (records, offset) = node
        .store
        .read_newest(Topic::Operators, READ_TIMEOUT_MS)
        .await?;
    let keys = records.iter().map(|record| &record.key);
    let requested: IndexSet<_> = keys.filter_map(|key| evacuated_zone(key)).collect();
    let now_ms = node.now_ms();
    let is_changed = node
        .evacuations
        .borrow_mut()
        .withdraw_all_but(&requested, offset, now_ms);
    if is_changed {
        apply_evacuations(node);
    }
    Ok((records, offset, true))
}

async fn read_newer(node: &Rc<Node>, offset: u64, wait_ms: u64) -> Result<Read, StoreFailure> {
    let timeout_ms = wait_ms + READ_TIMEOUT_MS;
    let page = node
        .store
        .read(Topic::Operators, offset, wait_ms, timeout_ms)
        .await?;
    let is_at_end = page.next_offset >= page.end_offset;
    Ok((page.records, page.next_offset, is_at_end))
}

fn apply_record(node: &Rc<Node>, record: &KeyedRecord) {
    let Some(value) = &record.value else {
        withdraw_evacuation(node, record);
        return;
    };
    match parse_operator_record(&record.key, value) {
        Ok(OperatorRecord::Lists(catalog)) => {
            let known_version = node
                .catalog
                .borrow()
                .as_ref()
                .map_or(0, |catalog| catalog.version);
            if catalog.version <= known_version {
                return;
            }
            Event::new("lists_in_force")
                .with("version", catalog.version)
                .with("before", known_version)
                .with("queues_count", catalog.queues.len())
                .with("teams_count", catalog.teams.len())
                .with("keys_count", catalog.keys.len())
                .with("offset", record.offset)
                .info();
            node.metrics.lists_version.set(catalog.version);
            *node.catalog.borrow_mut() = Some(Rc::new(*catalog));
            node.with_engine(|engine, catalog| engine.set_catalog(catalog.clone()));
            node.request_step();
        }
        Ok(OperatorRecord::Wave(wave)) => {
            node.waves.borrow_mut().push(wave.clone());
            node.with_engine(|engine, _| engine.wave_requested(wave));
        }
        Ok(OperatorRecord::Evacuation(zone)) => {
            let now_ms = node.now_ms();
            let is_new = node
                .evacuations
                .borrow_mut()
                .request(&zone, record.offset, now_ms);
            if is_new {
                apply_evacuations(node);
            }
        }
        Ok(OperatorRecord::Other) => {}
        Err(error) => {
            Event::new("record_unreadable")
                .with("topic", "operators")
                .with("key", &record.key)
                .with("offset", record.offset)
                .with("error", error)
                .warn();
        }
    }
}

/// Applies the removal of a record, if the record evacuates a zone.
fn withdraw_evacuation(node: &Rc<Node>, record: &KeyedRecord) {
    let Some(zone) = evacuated_zone(&record.key) else {
        return;
    };
    let now_ms = node.now_ms();
    let is_changed = node
        .evacuations
        .borrow_mut()
        .withdraw(&zone, record.offset, now_ms);
    if is_changed {
        apply_evacuations(node);
    }
}

/// Passes the evacuated zones on to the engine, if this node leads, and to the metrics.
fn apply_evacuations(node: &Rc<Node>) {
    let zones = node.evacuations.borrow().zones();
    let zones_count = u64::try_from(zones.len()).unwrap_or(u64::MAX);
    node.metrics.zones_evacuated.set(zones_count);
    node.with_engine(|engine, _| engine.set_evacuated_zones(&zones));
    node.request_step();
}
