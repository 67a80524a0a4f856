//! The threads that read and append the log and read the instance list.

use std::{
    io,
    sync::{atomic::Ordering, Arc},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    entry::{
        daemon::{lock, spawn_thread, Append, Shared},
        event::{Event, Source},
    },
    error::RetryReason,
    ports::{Clock, InstancePort, LogPage, LogPort, Platform, PortError},
};

/// Pause before a failed call to the log is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Pause between two reads of the log by an entry that does not accept work yet.
const UNREADY_PAUSE: Duration = Duration::from_millis(10);

/// Maximum time for which a thread waits without checking whether the process stops.
const STOP_POLL: Duration = Duration::from_millis(50);

/// Pause between the appends of two parts of a snapshot, which leaves capacity for other appends.
const SNAPSHOT_PAUSE: Duration = Duration::from_millis(50);

/// Number of attempts to append one part of a snapshot before the snapshot is given up.
const SNAPSHOT_TRIES_COUNT: u32 = 5;

/// Starts the threads.
pub(crate) fn spawn<P: Platform>(
    shared: &Arc<Shared<P>>,
    appends: flume::Receiver<Append>,
) -> io::Result<Vec<JoinHandle<()>>> {
    let (reader, appender) = (Arc::clone(shared), Arc::clone(shared));
    let list_reader = Arc::clone(shared);
    Ok(vec![
        spawn_thread("log_reader", move || read_log(&reader))?,
        spawn_thread("log_appender", move || append_log(&appender, &appends))?,
        spawn_thread("instance_list", move || read_instances(&list_reader))?,
    ])
}

fn read_log<P: Platform>(shared: &Shared<P>) {
    while !shared.is_stopped() {
        // An entry that does not accept work yet must learn the head without waiting for the next
        // record.
        let is_serving = shared.is_serving.load(Ordering::Acquire);
        let wait_ms = match is_serving {
            true => shared.settings.log_read_wait_ms,
            false => 0,
        };
        let from_offset = shared.wanted_offset.load(Ordering::Acquire);
        let sent_ms = shared.platform.clock().mono_ms();
        match shared.platform.log().read(from_offset, wait_ms) {
            Ok(page) => {
                relay(shared, &page);
                let is_empty = page.records.is_empty();
                shared.send_event(Event::LogPage {
                    sent_ms,
                    from_offset,
                    page,
                    source: Source::Log,
                });
                match is_empty {
                    true if !is_serving => thread::sleep(UNREADY_PAUSE),
                    true => {}
                    false => await_progress(shared, from_offset),
                }
            }
            Err(error) => {
                log::warn!("event=log_read_failed error={error}");
                // A trimmed offset is an answer, not an outage: the reader restarts from a
                // snapshot.
                if !matches!(error, PortError::Trimmed { .. }) {
                    shared.metrics.count_retry(RetryReason::LogUnreachable);
                }
                shared.send_event(Event::LogFailed { error });
                thread::sleep(RETRY_PAUSE);
            }
        }
    }
}

/// Waits until the engine has applied the page, so that no page is read twice.
fn await_progress<P: Platform>(shared: &Shared<P>, from_offset: u64) {
    let end = Instant::now() + STOP_POLL;
    while shared.wanted_offset.load(Ordering::Acquire) == from_offset && Instant::now() < end {
        thread::sleep(Duration::from_micros(100));
    }
}

/// Adds the records that were read to those kept for peers.
pub(crate) fn relay<P: Platform>(shared: &Shared<P>, page: &LogPage) {
    let mut relay = lock(&shared.relay);
    for record in &page.records {
        relay.push(record);
    }
    relay.head_offset = relay.head_offset.max(page.head_offset);
    relay.oldest_offset = relay.oldest_offset.max(page.oldest_offset);
}

fn append_log<P: Platform>(shared: &Shared<P>, appends: &flume::Receiver<Append>) {
    while !shared.is_stopped() {
        match appends.recv_timeout(STOP_POLL) {
            Ok(Append::Batch { seq, payload }) => append_batch(shared, seq, payload),
            Ok(Append::Snapshot { payloads }) => append_snapshot(shared, appends, payloads),
            Err(_) => {}
        }
    }
}

fn append_batch<P: Platform>(shared: &Shared<P>, seq: u64, payload: String) {
    let result = shared.platform.log().append(&[payload]);
    if let Err(error) = &result {
        log::warn!("event=append_failed seq={seq} error={error}");
        shared.metrics.count_retry(match error {
            PortError::AnswerLost(_) => RetryReason::AppendLost,
            _ => RetryReason::LogUnreachable,
        });
    }
    shared.send_event(Event::Appended { seq, result });
}

/// Appends the parts of a snapshot; waiting batches go first.
fn append_snapshot<P: Platform>(
    shared: &Shared<P>,
    appends: &flume::Receiver<Append>,
    payloads: Vec<String>,
) {
    let mut is_done = true;
    for payload in payloads {
        for waiting in appends.try_iter() {
            match waiting {
                Append::Batch { seq, payload } => append_batch(shared, seq, payload),
                Append::Snapshot { .. } => {}
            }
        }
        let payload = [payload];
        let mut is_appended = false;
        for _ in 0..SNAPSHOT_TRIES_COUNT {
            is_appended = shared.platform.log().append(&payload).is_ok();
            if is_appended || shared.is_stopped() {
                break;
            }
            thread::sleep(RETRY_PAUSE);
        }
        is_done &= is_appended;
        if !is_done {
            break;
        }
        thread::sleep(SNAPSHOT_PAUSE);
    }
    shared.send_event(Event::SnapshotAppended { is_done });
}

fn read_instances<P: Platform>(shared: &Shared<P>) {
    let poll = Duration::from_millis(shared.settings.instance_list_poll_ms);
    let mut version = 0;
    while !shared.is_stopped() {
        let sent_ms = shared.platform.clock().mono_ms();
        match shared.platform.instances().list(version, 0) {
            Ok(page) => {
                version = page.version;
                shared.send_event(Event::Instances { sent_ms, page });
            }
            Err(error) => {
                log::warn!("event=instance_list_failed error={error}");
                let reason = RetryReason::InstanceListUnreachable;
                shared.metrics.count_retry(reason);
            }
        }
        sleep_unless_stopped(shared, poll);
    }
}

pub(crate) fn sleep_unless_stopped<P: Platform>(shared: &Shared<P>, time: Duration) {
    let end = Instant::now() + time;
    while !shared.is_stopped() {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        thread::sleep(left.min(STOP_POLL));
    }
}
