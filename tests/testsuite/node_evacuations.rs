//! What a node knows of evacuations from the operators' records, read in order, twice, late or after
//! the store has forgotten some.

use hawthornladder::node::Evacuations;
use hawthornladder::platform::lists::{evacuated_zone, parse_operator_record, OperatorRecord};
use indexmap::IndexSet;

#[test]
fn records_of_operators_name_the_evacuated_zone() {
    let record = parse_operator_record("evacuate/lhr-a", b"{}").expect("readable");
    assert!(matches!(record, OperatorRecord::Evacuation(zone) if zone == "lhr-a"));
    assert_eq!(evacuated_zone("evacuate/"), None);
    assert_eq!(evacuated_zone("wave/1"), None);
}

/// Guards against a read that returns records again, as reads that begin before a page of the newest
/// records do: an old removal must not end a newer evacuation.
#[test]
fn records_that_are_read_again_change_nothing() {
    let mut evacuations = Evacuations::default();
    assert!(evacuations.request(&"a".into(), 5, 1_000));
    assert!(!evacuations.request(&"a".into(), 9, 2_000));
    assert!(!evacuations.withdraw(&"a".into(), 7, 2_000));
    assert_eq!(evacuations.age_ms(3_000), 2_000);
    assert!(evacuations.withdraw(&"a".into(), 10, 3_000));
    assert!(!evacuations.withdraw(&"a".into(), 10, 3_000));
    assert_eq!(evacuations.age_ms(4_000), 0);
    assert!(!evacuations.request(&"a".into(), 9, 4_000), "read again");
    assert!(evacuations.request(&"a".into(), 11, 4_000));
}

/// Guards against an evacuation that never ends because the store forgot the record that removed it.
#[test]
fn a_removal_that_the_store_forgot_is_found_in_the_newest_records() {
    let mut evacuations = Evacuations::default();
    evacuations.request(&"a".into(), 5, 1_000);
    evacuations.request(&"b".into(), 6, 1_000);
    let still: IndexSet<_> = ["b".into()].into_iter().collect();
    assert!(evacuations.withdraw_all_but(&still, 20, 2_000));
    assert_eq!(evacuations.zones(), still);
    assert!(!evacuations.withdraw_all_but(&still, 21, 2_000));
}
