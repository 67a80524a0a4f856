//! The ledger's checks on planned stops and moves that several entries drive at once. The test sets
//! the time of the log.

use hawthornladder::config_files::ConfigSource;
use hawthornladder::fleet::{InstanceRow, Resources, Standing};
use hawthornladder::ledger::{
    Effect, Ledger, ListsPatch, OperatorChange, OperatorProposal, PlannedStopReason, Record,
    SeatBatch, SeatChange, Verdict, RUN_MAX_MS,
};
use hawthornladder::lists::{check_texts, Lists};
use hawthornladder::ports::LogRecord;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use uuid::Uuid;

use crate::small_cluster::{lists_with_min, MAPS_COUNT, MAPS_UNAVAILABLE_MAX_COUNT};

const SEATS: [&str; 3] = ["a", "b", "c"];

/// A ledger with two open seats and eight instances, of which two may be stopped at once.
struct Log {
    ledger: Ledger,
    at_unix_ms: u64,
    seqs: [u64; 3],
}

impl Log {
    fn open() -> Self {
        let mut log = Self {
            ledger: Ledger::default(),
            at_unix_ms: 1_000_000,
            seqs: [0; 3],
        };
        let [plans, entitlements] = lists_with_min(4);
        let sources = [("plans", &plans), ("entitlements", &entitlements)];
        let sources = sources.map(|(file, text)| ConfigSource { file, text });
        let Ok((lists, _)) = check_texts(&sources) else {
            panic!("the lists are valid");
        };
        let patch = ListsPatch::between(&Lists::default(), &lists);
        let record = Record::Operator(OperatorProposal {
            proposal_id: Uuid::nil(),
            operator: "operator".into(),
            change: OperatorChange::Publish {
                base_version: 0,
                patch: Box::new(patch),
            },
        });
        log.apply(&record);
        (0..2).for_each(|seat| log.open_seat(seat));
        for index in 0..MAPS_COUNT {
            let row = row(index);
            assert!(log.append(0, SeatChange::InstanceSeen { row }));
        }
        log
    }

    fn apply(&mut self, record: &Record) -> Effect {
        self.at_unix_ms += 1;
        self.ledger.apply(&LogRecord {
            offset: self.ledger.next_offset,
            at_unix_ms: self.at_unix_ms,
            payload: serde_json::to_string(record)
                .expect("records serialize")
                .into(),
        })
    }

    /// Appends a change of a seat; returns whether it was accepted.
    fn append(&mut self, seat: usize, change: SeatChange) -> bool {
        self.seqs[seat] += 1;
        let batch = SeatBatch {
            seat: SEATS[seat].into(),
            seq: self.seqs[seat],
            changes: vec![change],
        };
        match self.apply(&Record::Seat(batch)) {
            Effect::Batch { verdicts, .. } => verdicts == [Verdict::Accepted],
            _ => false,
        }
    }

    fn open_seat(&mut self, seat: usize) {
        let change = SeatChange::Open {
            peers_address: "127.0.0.1:1".into(),
            zone: "lahore-a".into(),
            lease_ms: 1_000,
        };
        assert!(self.append(seat, change));
    }

    /// Renews a seat that has nothing in flight.
    fn renew(&mut self, seat: usize) {
        let clean_offset = self.ledger.next_offset;
        assert!(self.append(seat, SeatChange::Renew { clean_offset }));
    }

    fn version(&self, index: usize) -> u64 {
        let entry = self.ledger.instances.get(&name(index));
        entry.expect("the instance is in the ledger").version
    }

    fn claim(&mut self, seat: usize, index: usize, version: u64) -> bool {
        let change = SeatChange::StopClaim {
            name: name(index),
            version,
            why: PlannedStopReason::Maintenance,
        };
        self.append(seat, change)
    }

    fn release(&mut self, seat: usize, index: usize, to_pool: &str) -> bool {
        let change = SeatChange::PoolRelease {
            name: name(index),
            version: self.version(index),
            to_pool: to_pool.into(),
        };
        self.append(seat, change)
    }

    fn proceed(&mut self, seat: usize, index: usize) -> bool {
        let version = self.version(index);
        let name = name(index);
        self.append(seat, SeatChange::StopProceed { name, version })
    }

    fn assign(&mut self, seat: usize, index: usize) -> bool {
        let version = self.version(index);
        let name = name(index);
        self.append(seat, SeatChange::PoolAssign { name, version })
    }

    fn unavailable_count(&self) -> usize {
        let entries = self.ledger.instances.iter();
        let of_pool = entries.filter(|entry| entry.row.pool == "maps");
        of_pool
            .filter(|entry| entry.standing != Standing::Serving)
            .count()
    }
}

fn name(index: usize) -> smol_str::SmolStr {
    format!("maps-{index}").into()
}

pub(crate) fn row(index: usize) -> InstanceRow {
    InstanceRow {
        name: name(index),
        incarnation: format!("maps-{index}.1").into(),
        address: format!("127.0.0.1:{}", 10 + index).into(),
        pool: "maps".into(),
        zone: ["lahore-a", "lahore-b"][index % 2].into(),
        rack: format!("rack-{}", index / 2).into(),
        leaving: false,
        capacity: Resources {
            cores_milli: 1_000,
            memory_mb: 1_000,
            accelerators_count: 0,
        },
        slots_count: 1,
    }
}

#[test]
fn two_drivers_that_decided_on_the_same_state_stay_within_the_budget() {
    let mut log = Log::open();
    // Both drivers saw every instance serving, and each claims as many as the budget allows.
    let claims = [(0, 0), (0, 2), (1, 4), (1, 6), (0, 0)];
    let accepted = claims.map(|(seat, index)| log.claim(seat, index, 1));
    assert_eq!(accepted, [true, true, false, false, false]);
    assert_eq!(log.unavailable_count(), MAPS_UNAVAILABLE_MAX_COUNT);
}

#[test]
fn a_stop_proceeds_only_after_every_seat_is_clean_or_reclaimed() {
    let mut log = Log::open();
    assert!(log.claim(0, 0, 1));
    log.renew(0);
    assert!(!log.proceed(0, 0), "one seat may still dispatch");
    let renewed_offset = log
        .ledger
        .seats
        .get("b")
        .expect("the seat is live")
        .renewed_offset;
    let target: smol_str::SmolStr = "b".into();
    let expire = SeatChange::ExpireSeat {
        target: target.clone(),
        renewed_offset,
    };
    assert!(log.append(0, expire));
    log.renew(0);
    assert!(
        !log.proceed(0, 0),
        "tasks of the expired seat may still run"
    );
    let reclaim = SeatChange::ReclaimSeat { target };
    assert!(!log.append(0, reclaim.clone()));
    log.at_unix_ms += RUN_MAX_MS;
    assert!(log.append(0, reclaim));
    // The entry that replaced the lost one proceeds with the stop.
    log.open_seat(2);
    assert!(log.proceed(2, 0));
    assert!(!log.proceed(0, 0), "the stop proceeded twice");
}

#[test]
fn an_instance_moved_by_two_drivers_goes_to_one_pool() {
    let mut log = Log::open();
    let version = log.version(0);
    assert!(log.release(0, 0, "gauges"));
    let other = SeatChange::PoolRelease {
        name: name(0),
        version,
        to_pool: "spare".into(),
    };
    assert!(!log.append(1, other));
    assert!(
        !log.assign(0, 0),
        "seats may still dispatch for the old pool"
    );
    log.renew(0);
    log.renew(1);
    assert!(log.assign(1, 0));
    assert!(!log.assign(0, 0));
    let entry = log
        .ledger
        .instances
        .get("maps-0")
        .expect("the instance is in the ledger");
    assert_eq!(entry.row.pool, "gauges");
    // The platform's list still names the pool from which the instance was moved.
    assert!(!log.append(0, SeatChange::InstanceSeen { row: row(0) }));
    let restarted = InstanceRow {
        incarnation: "maps-0.2".into(),
        ..row(0)
    };
    assert!(log.append(0, SeatChange::InstanceSeen { row: restarted }));
    let entry = log
        .ledger
        .instances
        .get("maps-0")
        .expect("the instance is in the ledger");
    assert_eq!(entry.row.pool, "gauges");
}

#[test]
fn a_claim_decided_before_a_reboot_does_not_stop_the_instance_again() {
    let mut log = Log::open();
    let version = log.version(0);
    assert!(log.claim(0, 0, version));
    (0..2).for_each(|seat| log.renew(seat));
    assert!(log.proceed(0, 0));
    let restarted = InstanceRow {
        incarnation: "maps-0.2".into(),
        ..row(0)
    };
    assert!(log.append(0, SeatChange::InstanceSeen { row: restarted }));
    // The append of the other driver's claim was delayed.
    assert!(!log.claim(1, 0, version));
    assert_eq!(log.unavailable_count(), 0);
}

#[test]
fn an_outdated_list_does_not_restore_an_old_incarnation() {
    let mut log = Log::open();
    let restarted = InstanceRow {
        incarnation: "maps-0.2".into(),
        ..row(0)
    };
    assert!(log.append(
        0,
        SeatChange::InstanceSeen {
            row: restarted.clone()
        }
    ));
    assert!(!log.append(1, SeatChange::InstanceSeen { row: row(0) }));
    let gone = SeatChange::InstanceGone {
        name: name(0),
        incarnation: "maps-0.1".into(),
    };
    assert!(!log.append(1, gone));
    let entry = log
        .ledger
        .instances
        .get("maps-0")
        .expect("the instance is in the ledger");
    assert_eq!(entry.row, restarted);
}

#[test]
fn an_instance_listed_again_is_available_only_after_it_answers() {
    let mut log = Log::open();
    let gone = SeatChange::InstanceGone {
        name: name(0),
        incarnation: row(0).incarnation,
    };
    assert!(log.append(0, gone));
    assert!(log.append(1, SeatChange::InstanceSeen { row: row(0) }));
    assert_eq!(log.unavailable_count(), 1);
    let answered = SeatChange::Standing {
        name: name(0),
        incarnation: row(0).incarnation,
        standing: Standing::Serving,
    };
    assert!(log.append(1, answered));
    assert_eq!(log.unavailable_count(), 0);
}

proptest! {
    #![proptest_config(Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Drivers that act at random on outdated states never breach the budget by their planned
    /// stops, and no stop proceeds while a seat may still dispatch to the instance.
    #[test]
    fn random_drivers_never_breach_the_budget(
        steps in prop::collection::vec((0usize..2, 0usize..MAPS_COUNT, 0u8..7, 0u64..3), 1..120),
    ) {
        let mut log = Log::open();
        for (seat, index, action, versions_behind) in steps {
            let version = log.version(index).saturating_sub(versions_behind);
            match action {
                0 | 1 => drop(log.claim(seat, index, version)),
                2 => drop(log.release(seat, index, "spare")),
                3 => log.renew(seat),
                4 => {
                    let is_clean = log.ledger.instances.get(&name(index))
                        .is_some_and(|entry| log.ledger.is_clean_at(entry.stop_offset));
                    let is_accepted = log.proceed(seat, index);
                    prop_assert!(is_clean || !is_accepted, "a stop proceeded too early");
                }
                5 => drop(log.assign(seat, index)),
                _ => {
                    let row = InstanceRow {
                        incarnation: format!("maps-{index}.{}", log.at_unix_ms).into(),
                        ..row(index)
                    };
                    log.append(seat, SeatChange::InstanceSeen { row });
                }
            }
            let members = log.ledger.instances.iter()
                .filter(|entry| entry.row.pool == "maps").count();
            prop_assert!(
                log.unavailable_count() <= members / 4,
                "{} of {members} instances unavailable",
                log.unavailable_count()
            );
        }
    }
}
