//! The leader's writes to the store: when new jobs are refused because the store accepts no records,
//! and which reports on waves are still worth writing.

use hawthornladder::jobs::Record;
use hawthornladder::node::{appends_of, Journal, StoreLimits, WaveReports};
use smol_str::format_smolstr;

/// Limits of a store that takes little at a time.
const LIMITS: StoreLimits = StoreLimits {
    call_bytes: 400,
    record_bytes: 200,
};

/// Returns a record with a key of this many bytes.
fn record(key_bytes: usize) -> Record {
    Record::ForgetWorker("w".repeat(key_bytes - 1).into())
}

#[test]
fn an_append_without_effect_for_long_stalls_the_journal() {
    let mut journal = Journal::default();
    assert!(!journal.is_stalled(10_000), "nothing is in flight");
    journal.append_sent(10_000);
    assert!(!journal.is_stalled(10_300), "a slow store answers later");
    // Sending the append again does not start the time anew.
    journal.append_sent(10_800);
    assert!(journal.is_stalled(11_000));
    journal.append_persisted();
    assert!(!journal.is_stalled(20_000));
    journal.append_sent(20_000);
    assert!(!journal.is_stalled(20_500));
}

/// The report that a wave is in progress, which an outage of the store has held up, does not replace
/// the report that it is complete.
#[test]
fn a_report_on_a_wave_is_not_retried_once_a_newer_one_follows() {
    let mut reports = WaveReports::default();
    let in_progress = reports.add(1);
    let of_another_wave = reports.add(2);
    assert!(reports.is_newest(1, in_progress));
    let complete = reports.add(1);
    assert!(!reports.is_newest(1, in_progress));
    assert!(reports.is_newest(1, complete));
    assert!(reports.is_newest(2, of_another_wave));
}

/// Guards against one record that stops all others, as the store rejects it again and again, and
/// against an empty append, after which the store expects another sequence number.
#[test]
fn a_record_that_the_store_would_reject_is_left_out() {
    let appends = appends_of(&[record(20), record(250), record(30)], LIMITS);
    let keys: Vec<usize> = appends[0].iter().map(|(key, _)| key.len()).collect();
    assert_eq!((appends.len(), keys), (1, vec![20, 30]));
    assert!(appends_of(&[record(250)], LIMITS).is_empty());
}

#[test]
fn appends_stay_within_the_bytes_of_a_call() {
    let records: Vec<Record> = (0..9).map(|_| record(150)).collect();
    let appends = appends_of(&records, LIMITS);
    assert_eq!(appends.iter().map(Vec::len).sum::<usize>(), 9);
    for append in &appends {
        let bytes: usize = append.iter().map(|(key, _)| key.len()).sum();
        assert!((1..=LIMITS.call_bytes).contains(&bytes));
    }
    let small = [Record::ForgetOrder(format_smolstr!("maps-1"))];
    assert_eq!(appends_of(&small, LIMITS).len(), 1);
}
