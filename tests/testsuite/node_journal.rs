//! The leader's writes to the store: when new jobs are refused because the store accepts no records,
//! and which reports on waves are still worth writing.

use hawthornladder::node::{Journal, WaveReports};

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
