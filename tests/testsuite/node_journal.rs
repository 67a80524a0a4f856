//! The leader's writes to the store: when new jobs are refused because the store accepts no records.

use hawthornladder::node::Journal;

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
