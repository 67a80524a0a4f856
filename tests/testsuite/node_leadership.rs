//! The state machine of the leadership lease, with the topic in memory.

use hawthornladder::node::{Leadership, LeaseRecord, LeaseWrite, ReadRecord, Role, WriteOutcome};

/// Shortest lease, in milliseconds.
const LEASE_MS: u64 = 1_000;
/// Time without a new record after which another node may claim, in milliseconds: the lease, a
/// margin, the clock drift and the claim delay.
const CLAIM_MS: u64 = 1_300;

/// The leadership topic: its records in order.
#[derive(Default)]
struct Topic {
    records: Vec<LeaseRecord>,
}

impl Topic {
    fn end(&self) -> u64 {
        u64::try_from(self.records.len()).expect("the count fits")
    }

    /// Appends the record if the topic ends at the offset that the write requires.
    fn append(&mut self, write: &LeaseWrite) -> WriteOutcome {
        if write.at_offset != self.end() {
            return WriteOutcome::NotPersisted;
        }
        self.records.push(write.record.clone());
        WriteOutcome::Persisted {
            end_offset: self.end(),
        }
    }

    fn read(&self, node: &mut Leadership, now_ms: u64) {
        node.apply_read(self.records_from(node.end_offset()), self.end(), now_ms);
    }

    fn records_from(&self, from_offset: u64) -> Vec<ReadRecord> {
        let records = (0..).zip(&self.records);
        let records = records.filter(|(offset, _)| *offset >= from_offset);
        let read = records.map(|(offset, record)| ReadRecord {
            offset,
            record: record.clone(),
        });
        read.collect()
    }

    fn write(&mut self, node: &mut Leadership, now_ms: u64) -> Option<WriteOutcome> {
        let write = node.next_write(now_ms)?;
        let outcome = self.append(&write);
        node.apply_write_outcome(&write, outcome, now_ms);
        Some(outcome)
    }
}

fn node(name: &str) -> Leadership {
    Leadership::open(name.into(), "1".into(), ([10, 0, 0, 1], 7_000).into(), 10)
}

fn is_valid_leader(node: &Leadership, now_ms: u64) -> bool {
    matches!(node.role(now_ms), Role::Leader { is_valid: true, .. })
}

/// Returns a topic with one record, the leader that wrote it, and a follower that has read it, at
/// 1,020 ms.
fn leader_and_follower() -> (Topic, Leadership, Leadership) {
    let mut topic = Topic::default();
    let (mut first, mut second) = (node("first"), node("second"));
    topic.read(&mut first, 1_000);
    topic.read(&mut second, 1_000);
    assert!(topic.write(&mut first, 1_020).is_some());
    topic.read(&mut second, 1_020);
    assert!(is_valid_leader(&first, 1_020));
    (topic, first, second)
}

#[test]
fn one_of_two_concurrent_claims_wins() {
    let mut topic = Topic::default();
    let (mut first, mut second) = (node("first"), node("second"));
    topic.read(&mut first, 1_000);
    topic.read(&mut second, 1_000);
    let claims = [
        first.next_write(1_020).expect("a write is due"),
        second.next_write(1_020).expect("a write is due"),
    ];
    for (node, write) in [&mut first, &mut second].into_iter().zip(&claims) {
        let outcome = topic.append(write);
        node.apply_write_outcome(write, outcome, 1_020);
    }
    topic.read(&mut second, 1_030);
    assert!(is_valid_leader(&first, 1_030));
    assert!(matches!(
        second.role(1_030),
        Role::Follower { leader: Some(_) }
    ));
}

#[test]
fn a_leader_renews_without_having_read_its_topic() {
    let (mut topic, mut first, _) = leader_and_follower();
    first.mark_store_unreachable();
    let renewed = topic.write(&mut first, 1_520);
    assert!(matches!(renewed, Some(WriteOutcome::Persisted { .. })));
    assert!(is_valid_leader(&first, 1_520 + LEASE_MS - 1));
    assert!(!is_valid_leader(&first, 1_520 + LEASE_MS));
}

#[test]
fn nobody_claims_while_the_leader_renews_or_the_store_is_unreachable() {
    let (mut topic, mut first, mut second) = leader_and_follower();
    for now_ms in (1_100..8_000).step_by(100) {
        topic.write(&mut first, now_ms);
        topic.read(&mut second, now_ms);
        assert!(second.next_write(now_ms).is_none());
    }
    second.mark_store_unreachable();
    assert!(second.next_write(20_000).is_none());
    // The time without a new record counts from when the store is reachable again.
    topic.read(&mut second, 20_000);
    assert!(second.next_write(20_000 + CLAIM_MS - 100).is_none());
    assert!(second.next_write(20_000 + CLAIM_MS).is_some());
}

#[test]
fn a_claim_follows_the_expiry_of_the_lease_and_fences_the_holder_out() {
    let (mut topic, mut first, mut second) = leader_and_follower();
    assert!(second.next_write(1_020 + LEASE_MS).is_none());
    assert!(topic.write(&mut second, 1_020 + CLAIM_MS).is_some());
    assert!(is_valid_leader(&second, 1_020 + CLAIM_MS));
    assert!(!is_valid_leader(&first, 1_020 + CLAIM_MS));
    assert_eq!(
        topic.write(&mut first, 3_000),
        Some(WriteOutcome::NotPersisted),
        "the fenced holder's renewal took effect"
    );
    topic.read(&mut first, 3_000);
    assert!(matches!(
        first.role(3_000),
        Role::Follower { leader: Some(_) }
    ));
}

#[test]
fn a_released_lease_is_claimed_at_once() {
    let (mut topic, mut first, mut second) = leader_and_follower();
    first.release();
    assert!(topic.write(&mut first, 1_100).is_some());
    assert!(first.is_released());
    assert!(
        first.next_write(1_200).is_none(),
        "the node claimed again after its release"
    );
    topic.read(&mut second, 1_110);
    assert!(topic.write(&mut second, 1_130).is_some());
    assert!(is_valid_leader(&second, 1_130));
}

#[test]
fn a_lease_whose_renewal_was_not_answered_counts_from_the_first_sending() {
    let (mut topic, mut first, _) = leader_and_follower();
    let write = first.next_write(1_600).expect("a write is due");
    first.apply_write_outcome(&write, WriteOutcome::Unknown, 1_900);
    assert!(first.next_write(1_950).is_none(), "sent again too early");
    let again = first.next_write(2_000).expect("a retry is due");
    assert_eq!((&again.record, again.at_offset), (&write.record, 1));
    // The first sending takes effect late, so that the second does not.
    assert!(matches!(
        topic.append(&write),
        WriteOutcome::Persisted { .. }
    ));
    assert_eq!(topic.append(&again), WriteOutcome::NotPersisted);
    first.apply_write_outcome(&again, WriteOutcome::NotPersisted, 2_100);
    topic.read(&mut first, 2_500);
    assert!(is_valid_leader(&first, 1_600 + LEASE_MS - 1));
    assert!(!is_valid_leader(&first, 1_600 + LEASE_MS));
}

#[test]
fn a_restarted_process_does_not_hold_the_lease_of_its_predecessor() {
    let (topic, _, _) = leader_and_follower();
    let mut restarted = Leadership::open(
        "first".into(),
        "2".into(),
        ([10, 0, 0, 1], 7_000).into(),
        10,
    );
    topic.read(&mut restarted, 1_100);
    assert!(matches!(
        restarted.role(1_100),
        Role::Follower { leader: Some(_) }
    ));
}

#[test]
fn a_lost_renewal_is_sent_again_before_the_lease_expires() {
    let (mut topic, mut first, _) = leader_and_follower();
    let lost = first.next_write(1_320).expect("a write is due");
    first.apply_write_outcome(&lost, WriteOutcome::Unknown, 1_820);
    assert!(matches!(
        topic.write(&mut first, 1_920),
        Some(WriteOutcome::Persisted { .. })
    ));
    assert!(is_valid_leader(&first, 1_920 + LEASE_MS - 1));
    assert_eq!(topic.append(&lost), WriteOutcome::NotPersisted);
}

#[test]
fn a_restarted_leader_claims_at_once() {
    let (mut topic, _, mut second) = leader_and_follower();
    let address = ([10, 0, 0, 1], 7_000).into();
    let mut restarted = Leadership::open("first".into(), "2".into(), address, 10);
    topic.read(&mut restarted, 1_100);
    assert!(topic.write(&mut restarted, 1_110).is_some());
    assert!(is_valid_leader(&restarted, 1_110));
    topic.read(&mut second, 1_120);
    assert_eq!(second.newest().map(|newest| newest.fence), Some(2));
}

#[test]
fn a_slow_store_makes_leases_longer_and_claims_later() {
    let (mut topic, mut first, mut second) = leader_and_follower();
    let slow = first.next_write(1_320).expect("a write is due");
    let outcome = topic.append(&slow);
    first.apply_write_outcome(&slow, outcome, 2_220);
    topic.read(&mut second, 2_220);
    // The write took 900 ms. The next lease lasts four times as long.
    let next = first.next_write(2_230).expect("a write is due");
    let outcome = topic.append(&next);
    first.apply_write_outcome(&next, outcome, 2_830);
    topic.read(&mut second, 2_830);
    assert!(is_valid_leader(&first, 2_230 + 3_599));
    assert!(!is_valid_leader(&first, 2_230 + 3_600));
    assert!(second.next_write(2_830 + 3_600).is_none());
    assert!(second.next_write(2_830 + 3_600 + 400).is_some());
}

/// An earlier renewal, read late, was taken for a newer one that equals it and never took effect, so
/// that the lease lasted beyond the time after which another node claims.
#[test]
fn a_late_read_of_an_earlier_renewal_does_not_prove_a_newer_one() {
    let (mut topic, mut first, _) = leader_and_follower();
    let asked_from = first.end_offset();
    assert!(topic.write(&mut first, 1_320).is_some());
    let late = topic.records_from(asked_from);
    let unsent = first.next_write(1_600).expect("a write is due");
    assert_eq!(topic.records[1], unsent.record, "the renewals are equal");
    first.apply_read(late, topic.end(), 1_650);
    assert!(first.is_writing(), "the newer renewal counts as settled");
    assert!(is_valid_leader(&first, 1_320 + LEASE_MS - 1));
    assert!(!is_valid_leader(&first, 1_320 + LEASE_MS));
}

/// A node that shortened its lease, and did not learn that the store had taken the record, counted on
/// the longer lease before it, after the others had claimed by the shorter one.
#[test]
fn a_renewal_does_not_end_the_lease_before_it() {
    let (mut topic, mut first, mut second) = leader_and_follower();
    let slow = first.next_write(1_320).expect("a write is due");
    let outcome = topic.append(&slow);
    first.apply_write_outcome(&slow, outcome, 2_220);
    // The write took 900 ms, so that the next lease is long. This one takes 10 ms.
    let long = first.next_write(2_230).expect("a write is due");
    let outcome = topic.append(&long);
    first.apply_write_outcome(&long, outcome, 2_240);
    let unanswered = first.next_write(2_490).expect("a write is due");
    topic.append(&unanswered);
    first.apply_write_outcome(&unanswered, WriteOutcome::Unknown, 2_500);
    topic.read(&mut second, 2_500);
    for now_ms in (2_500..9_000).step_by(10) {
        topic.write(&mut second, now_ms);
        let are_both_valid = is_valid_leader(&first, now_ms) && is_valid_leader(&second, now_ms);
        assert!(!are_both_valid, "two leaders at {now_ms} ms");
    }
    assert!(is_valid_leader(&second, 8_990) || second.next_write(9_500).is_some());
}

/// A leader whose release was on its way answered callers from its own state, while the next leader
/// already accepted and ended jobs.
#[test]
fn a_lease_ends_when_its_release_is_sent() {
    let (mut topic, mut first, mut second) = leader_and_follower();
    first.release();
    assert!(is_valid_leader(&first, 1_050), "no release is sent yet");
    let release = first.next_write(1_060).expect("a write is due");
    topic.append(&release);
    topic.read(&mut second, 1_070);
    assert!(topic.write(&mut second, 1_090).is_some());
    assert!(is_valid_leader(&second, 1_090));
    // The answer to the release is still on its way.
    assert_eq!(first.exclusive_until_ms(), 1_060);
    assert!(
        !is_valid_leader(&first, 1_090),
        "two leaders answer callers"
    );
}

/// The time in which a leader may go on without a lease counted from the end of the lease that it had
/// released, which the next leader does not wait for.
#[test]
fn a_leader_that_hands_off_acts_no_longer_than_one_that_loses_its_lease() {
    let (mut topic, mut first, _) = leader_and_follower();
    assert_eq!(first.valid_until_ms(), 1_020 + LEASE_MS);
    first.release();
    let release = first.next_write(1_060).expect("a write is due");
    topic.append(&release);
    first.apply_write_outcome(&release, WriteOutcome::Unknown, 1_500);
    assert_eq!(first.valid_until_ms(), 1_060);
    // A retry does not move the time at which the next leader may have begun.
    assert!(first.next_write(1_600).is_some());
    assert_eq!(first.valid_until_ms(), 1_060);
}

/// A release that was certainly not sent leaves the lease as it was.
#[test]
fn a_release_that_was_not_sent_does_not_end_the_lease() {
    let (_, mut first, _) = leader_and_follower();
    first.release();
    assert_eq!(first.exclusive_until_ms(), 1_020 + LEASE_MS);
    let release = first.next_write(1_060).expect("a write is due");
    first.apply_write_outcome(&release, WriteOutcome::NotPersisted, 1_100);
    assert!(is_valid_leader(&first, 1_110));
    assert_eq!(first.exclusive_until_ms(), 1_020 + LEASE_MS);
}

/// A leader that had been replaced, or whose journal was out of step, went on renewing its lease
/// without leading, so that nobody led any more.
#[test]
fn a_superseded_leader_does_not_keep_its_lease() {
    let (mut topic, mut first, mut second) = leader_and_follower();
    first.supersede(1);
    assert!(matches!(first.role(1_100), Role::Follower { leader: None }));
    for now_ms in (1_100..4_000).step_by(100) {
        topic.write(&mut first, now_ms);
        topic.read(&mut second, now_ms);
        topic.write(&mut second, now_ms);
        topic.read(&mut first, now_ms);
    }
    let fences: Vec<u64> = topic.records.iter().map(|record| record.fence).collect();
    assert_eq!(fences[..2], [1, 2], "the superseded lease was renewed");
    assert!(is_valid_leader(&first, 4_000) != is_valid_leader(&second, 4_000));
}

/// Guards against two leaders at once: a process that was started on another machine under the name of
/// a live one claimed without waiting for the end of its lease.
#[test]
fn a_process_of_the_same_name_at_another_address_waits_for_the_lease() {
    let (mut topic, first, _) = leader_and_follower();
    let address = ([10, 0, 0, 2], 7_000).into();
    let mut moved = Leadership::open("first".into(), "2".into(), address, 10);
    topic.read(&mut moved, 1_100);
    assert!(topic.write(&mut moved, 1_110).is_none());
    assert!(is_valid_leader(&first, 1_110));
    assert!(topic.write(&mut moved, 1_100 + CLAIM_MS).is_some());
}
