//! The fold with random records that are appended twice, late and out of order: the invariants hold
//! after each record, and a snapshot with the rest of the log gives the same state as the whole
//! log.

use hawthornladder::fleet::{InstanceRow, Standing};
use hawthornladder::ledger::{
    ClaimState, Effect, JobRow, JobState, KeyRow, Ledger, ListsPatch, OperatorChange,
    OperatorProposal, PlannedStopReason, Record, SeatBatch, SeatChange, SnapshotAssembler,
};
use hawthornladder::lists::{AvailabilityBudget, Entitlement, Lists, Plan, Pool, Queue, Team};
use hawthornladder::ports::LogRecord;
use proptest::collection::vec;
use proptest::prelude::*;
use uuid::{Builder, Uuid};

use crate::support::{assert_property, fixed_runner};

/// Number of records between two sweeps that drop expired claims and jobs.
const FORGET_EVERY_RECORDS: u64 = 256;
const START_UNIX_MS: u64 = 1_800_000_000_000;
const SEATS: [&str; 3] = ["a", "b", "c"];
const TEAMS: [&str; 2] = ["t0", "t1"];
const POOLS: [&str; 2] = ["p", "q"];
const INSTANCES: [&str; 5] = ["w0", "w1", "w2", "w3", "w4"];

/// Random numbers from which one change is made; each kind of change uses as many as it needs.
type Draw = (u8, u8, u8, u8);

/// A record before it is numbered: the number that selects the proposer, the distance from the next
/// sequence number (or the way in which it is appended), the changes, and the time in milliseconds
/// before it is appended.
type Proposal = (u8, i8, Vec<Draw>, u16);

fn lists(limit_requests: u32) -> Lists {
    let mut lists = Lists::default();
    lists.plans.plans.push(Plan {
        name: "gold".into(),
        share_weight: 1,
        running_max_requests: limit_requests,
        start_target_ms: 1,
        on_time_target_permille: 1,
        availability: AvailabilityBudget {
            pool_unavailable_max_permille: 400,
            zone_unavailable_max_permille: 500,
        },
    });
    lists.plans.teams = TEAMS
        .map(|name| Team {
            name: name.into(),
            plan: "gold".into(),
            running_max_requests: None,
            share_weight: None,
        })
        .to_vec();
    lists.entitlements.pools = POOLS
        .map(|name| Pool {
            name: name.into(),
            is_spare: false,
            instances_min_count: 0,
        })
        .to_vec();
    lists.entitlements.queues.push(Queue {
        name: "maps".into(),
        pools: POOLS.map(Into::into).to_vec(),
        is_open_to_all: false,
        is_urgent: false,
    });
    lists.entitlements.entitlements.push(Entitlement {
        plan: "gold".into(),
        queues: vec!["maps".into()],
        request_max: Default::default(),
    });
    lists
}

fn request_id(number: u8) -> Uuid {
    let issued_at = START_UNIX_MS + u64::from(number) * 40_000;
    Builder::from_unix_timestamp_millis(issued_at, &[number; 10]).into_uuid()
}

fn row(name: &str, incarnation: u8) -> InstanceRow {
    InstanceRow {
        name: name.into(),
        incarnation: incarnation.to_string().into(),
        address: "".into(),
        pool: POOLS[usize::from(incarnation) % POOLS.len()].into(),
        zone: if name < "w2" { "z0" } else { "z1" }.into(),
        rack: name.into(),
        leaving: false,
        capacity: Default::default(),
        slots_count: 1,
    }
}

fn escrow_change(ledger: &Ledger, (kind, a, b, c): Draw) -> SeatChange {
    let target = SEATS[usize::from(a) % SEATS.len()].into();
    let team = TEAMS[usize::from(b) % TEAMS.len()].into();
    let renewed_offset = ledger.seats.get(SEATS[usize::from(a) % SEATS.len()]);
    match kind % 6 {
        0 => SeatChange::Renew {
            clean_offset: ledger.next_offset.saturating_sub(u64::from(a) % 3),
        },
        1 => SeatChange::ExpireSeat {
            target,
            renewed_offset: renewed_offset.map_or(0, |row| row.renewed_offset),
        },
        2 => SeatChange::ReclaimSeat { target },
        3 => SeatChange::EscrowTake {
            team,
            wanted_requests: u32::from(c) % 5,
        },
        4 if c % 8 == 0 => SeatChange::Close,
        _ => SeatChange::EscrowGive {
            team,
            to: (c % 2 == 0).then_some(target),
            requests: u32::from(c) % 4,
        },
    }
}

fn request_change((kind, a, b, c): Draw) -> SeatChange {
    let team = TEAMS[usize::from(b) % TEAMS.len()].into();
    let request_id = request_id(a % 12);
    let states = [ClaimState::Ran, ClaimState::Unknown, ClaimState::NotRun];
    match kind % 6 {
        0 => SeatChange::Claim { team, request_id },
        1 => SeatChange::ClaimEnd {
            team,
            request_id,
            state: states[usize::from(c) % states.len()],
        },
        2 => SeatChange::JobSubmit {
            job: JobRow {
                request_id,
                team,
                queue: "maps".into(),
                deadline_unix_ms: START_UNIX_MS + u64::from(a) * 1_000,
                is_idempotent: c % 2 == 0,
                size: Default::default(),
                declared_run_ms: 1,
                body_base64: String::new(),
            },
        },
        3 => SeatChange::JobAdopt {
            team,
            request_id,
            from: SEATS[usize::from(c) % SEATS.len()].into(),
        },
        4 => SeatChange::JobStart { team, request_id },
        _ => SeatChange::JobEnd {
            team,
            request_id,
            state: JobState::Unknown,
        },
    }
}

fn instance_change(ledger: &Ledger, (kind, a, b, c): Draw) -> SeatChange {
    let name = INSTANCES[usize::from(a) % INSTANCES.len()];
    let entry = ledger.instances.get(name);
    let version = entry.map_or(0, |entry| entry.version) - u64::from(c % 8 == 0 && entry.is_some());
    let incarnation = entry.map_or("0".into(), |entry| entry.row.incarnation.clone());
    match kind % 10 {
        0 | 1 => SeatChange::InstanceSeen {
            row: row(name, b % 4),
        },
        2 => SeatChange::InstanceGone {
            name: name.into(),
            incarnation,
        },
        3 => SeatChange::Standing {
            name: name.into(),
            incarnation,
            standing: [Standing::Serving, Standing::Doubtful][usize::from(c) % 2],
        },
        4 | 5 => SeatChange::StopClaim {
            name: name.into(),
            version,
            why: PlannedStopReason::Maintenance,
        },
        6 => SeatChange::StopProceed {
            name: name.into(),
            version,
        },
        7 => SeatChange::StopCancel {
            name: name.into(),
            version,
        },
        8 => SeatChange::PoolRelease {
            name: name.into(),
            version,
            to_pool: POOLS[usize::from(b) % POOLS.len()].into(),
        },
        _ => SeatChange::PoolAssign {
            name: name.into(),
            version,
        },
    }
}

fn operator_change(ledger: &Ledger, (kind, a, b, _): Draw) -> OperatorChange {
    let key_id = format!("k{}", a % 3).into();
    match kind % 3 {
        0 => OperatorChange::Publish {
            base_version: ledger.lists_version.saturating_sub(u64::from(a % 3 == 0)),
            patch: Box::new(ListsPatch::between(&ledger.lists, &lists(u32::from(b) % 6))),
        },
        1 => OperatorChange::GrantKey {
            key_id,
            row: KeyRow {
                team: TEAMS[usize::from(b) % TEAMS.len()].into(),
                digest: "d".into(),
                is_withdrawn: false,
            },
        },
        _ => OperatorChange::WithdrawKey { key_id },
    }
}

/// Returns the text of a proposal that is decided on the state of `ledger`.
fn payload(ledger: &Ledger, (who, step, draws, _): &Proposal) -> String {
    let first = draws.first().copied().unwrap_or_default();
    let record = match who % 10 {
        0 | 1 => Record::Operator(OperatorProposal {
            proposal_id: Uuid::nil(),
            operator: "".into(),
            change: operator_change(ledger, first),
        }),
        2 if first.0 % 4 == 0 => return "no record".into(),
        _ => {
            let seat = SEATS[usize::from(*who) % SEATS.len()];
            let last_seq = ledger.seats.get(seat).map_or(0, |row| row.last_seq);
            let open = SeatChange::Open {
                peers_address: "".into(),
                zone: "".into(),
                lease_ms: 1,
            };
            let change = |draw: &Draw| match draw.3 % 3 {
                0 => escrow_change(ledger, *draw),
                1 => request_change(*draw),
                _ => instance_change(ledger, *draw),
            };
            let opening = (last_seq == 0).then_some(open);
            Record::Seat(SeatBatch {
                seat: seat.into(),
                seq: (last_seq + 1).saturating_add_signed(i64::from(*step).min(0)),
                changes: opening
                    .into_iter()
                    .chain(draws.iter().map(change))
                    .collect(),
            })
        }
    };
    serde_json::to_string(&record).expect("records serialize")
}

/// Makes a log: each proposal is appended at once, after later ones, or twice.
fn make_log(proposals: &[Proposal]) -> Vec<LogRecord> {
    let mut ledger = Ledger::default();
    let mut records: Vec<LogRecord> = Vec::new();
    let mut late: Vec<String> = Vec::new();
    let mut at_unix_ms = START_UNIX_MS;
    let mut append = |ledger: &mut Ledger, payload: &str, at_unix_ms: u64| {
        let record = LogRecord {
            offset: ledger.next_offset,
            at_unix_ms,
            payload: payload.into(),
        };
        ledger.apply(&record);
        records.push(record);
    };
    let publish = Record::Operator(OperatorProposal {
        proposal_id: Uuid::nil(),
        operator: "".into(),
        change: OperatorChange::Publish {
            base_version: 0,
            patch: Box::new(ListsPatch::between(&Lists::default(), &lists(4))),
        },
    });
    let publish = serde_json::to_string(&publish).expect("records serialize");
    append(&mut ledger, &publish, at_unix_ms);
    for proposal in proposals {
        let payload = payload(&ledger, proposal);
        at_unix_ms += u64::from(proposal.3);
        match proposal.1 {
            2 => late.push(payload),
            3 => {
                append(&mut ledger, &payload, at_unix_ms);
                late.push(payload);
            }
            4 if !late.is_empty() => {
                let index = usize::from(proposal.0) % late.len();
                let payload = late.remove(index);
                append(&mut ledger, &payload, at_unix_ms);
            }
            _ => append(&mut ledger, &payload, at_unix_ms),
        }
    }
    records
}

fn proposals() -> impl Strategy<Value = Vec<Proposal>> {
    let draw = any::<Draw>();
    vec(
        (any::<u8>(), -1..6_i8, vec(draw, 1..5), 0..20_000_u16),
        0..400,
    )
}

/// Returns the instances for which a record started a planned stop or a move.
fn newly_stopped(before: &Ledger, after: &Ledger) -> Vec<&'static str> {
    let is_draining = |ledger: &Ledger, name: &str| {
        let entry = ledger.instances.get(name);
        entry.is_some_and(|entry| entry.standing == Standing::Draining)
    };
    let is_new = |name: &&str| !is_draining(before, name) && is_draining(after, name);
    INSTANCES.into_iter().filter(is_new).collect()
}

/// Checks that the newly stopped instances, with those that were unavailable before, are within the
/// budget. Instances that fail later in the same record do not count against the planned stops.
fn check_budget(
    before: &Ledger,
    after: &Ledger,
    stopped: &[&str],
    name: &str,
) -> Result<(), TestCaseError> {
    let pool = after
        .instances
        .get(name)
        .map(|entry| entry.row.pool.clone());
    let members = after
        .instances
        .iter()
        .filter(|entry| Some(&entry.row.pool) == pool.as_ref());
    let names: Vec<&str> = members.map(|entry| entry.row.name.as_str()).collect();
    let is_unavailable = |ledger: &Ledger, name: &str| {
        let entry = ledger.instances.get(name);
        entry.is_some_and(|entry| !entry.standing.is_available())
    };
    let counts = |name: &&&str| {
        stopped.contains(*name) || (is_unavailable(before, name) && is_unavailable(after, name))
    };
    let unavailable_count = names.iter().filter(counts).count();
    prop_assert!(
        unavailable_count * 1_000 <= names.len() * 400,
        "stop of {name}: {unavailable_count} instances unavailable of {names:?}"
    );
    Ok(())
}

fn check_step(before: &Ledger, after: &Ledger, effect: &Effect) -> Result<(), TestCaseError> {
    prop_assert!(after.lists_version >= before.lists_version);
    prop_assert!(after.clock_unix_ms >= before.clock_unix_ms);
    for (team, escrow) in after.escrow.iter() {
        let held = escrow.held_requests();
        let was_held = before
            .escrow
            .get(team)
            .map_or(0, |escrow| escrow.held_requests());
        prop_assert!(
            held <= escrow.limit_requests || held <= was_held,
            "team {team} holds more than its limit: {escrow:?}"
        );
        for seat in escrow.parts.keys() {
            prop_assert!(
                after.seats.get(seat).is_some(),
                "seat {seat} holds a part after it ended"
            );
        }
    }
    for (key_id, row) in before.keys.iter().filter(|(_, row)| row.is_withdrawn) {
        let is_withdrawn = after.keys.get(key_id).is_some_and(|row| row.is_withdrawn);
        prop_assert!(
            is_withdrawn,
            "withdrawn key {key_id} is valid again: {row:?}"
        );
    }
    for number in 0..12 {
        for team in TEAMS {
            let state = |ledger: &Ledger| {
                let row = ledger.claims.get(team, &request_id(number));
                row.map(|row| row.state)
            };
            // A claim on work that may have run does not change until it expires.
            if let Some(old @ (ClaimState::Ran | ClaimState::Unknown)) = state(before) {
                prop_assert!(state(after).is_none_or(|new| new == old));
            }
        }
    }
    for entry in before.instances.iter() {
        let new = after.instances.get(&entry.row.name);
        prop_assert!(new.is_some_and(|new| new.version >= entry.version));
    }
    let stopped = newly_stopped(before, after);
    for name in &stopped {
        check_budget(before, after, &stopped, name)?;
    }
    if let Effect::BatchIgnored { .. } | Effect::Unreadable = effect {
        prop_assert_eq!(&before.seats, &after.seats);
        prop_assert_eq!(&before.escrow, &after.escrow);
        prop_assert_eq!(&before.instances, &after.instances);
        let is_sweep = before.next_offset % FORGET_EVERY_RECORDS == 0;
        let jobs_count = |ledger: &Ledger| ledger.jobs.iter().count();
        prop_assert!(is_sweep || jobs_count(before) == jobs_count(after));
    }
    Ok(())
}

#[test]
fn invariants_hold_after_each_record() {
    let mut runner = fixed_runner(300, 5);
    let outcome = runner.run(&proposals(), |proposals| {
        let mut ledger = Ledger::default();
        for record in make_log(&proposals) {
            let before = ledger.clone();
            let effect = ledger.apply(&record);
            check_step(&before, &ledger, &effect)?;
        }
        Ok(())
    });
    assert_property(outcome);
}

/// The only batch that may be accepted twice is the one that opens a seat, after that seat has
/// ended: the fold does not store ended seats.
#[test]
fn a_repeated_batch_is_ignored() {
    let mut runner = fixed_runner(100, 6);
    let outcome = runner.run(&proposals(), |proposals| {
        let mut ledger = Ledger::default();
        for record in make_log(&proposals) {
            ledger.apply(&record);
            let effect = ledger.clone().apply(&LogRecord {
                offset: record.offset + 1,
                ..record
            });
            if let Effect::Batch { batch, .. } = effect {
                prop_assert_eq!(batch.seq, 1);
                prop_assert!(ledger.seats.get(&batch.seat).is_none());
            }
        }
        Ok(())
    });
    assert_property(outcome);
}

#[test]
fn a_snapshot_with_the_log_tail_gives_the_same_state() {
    let mut runner = fixed_runner(150, 7);
    let input = (proposals(), any::<u16>(), any::<u64>());
    let outcome = runner.run(&input, |(proposals, at, shuffle)| {
        let log = make_log(&proposals);
        let cut = usize::from(at) % (log.len() + 1);
        let mut whole = Ledger::default();
        for record in &log[..cut] {
            whole.apply(record);
        }
        let mut chunks = whole.to_chunks(Uuid::from_u64_pair(1, shuffle));
        let rotation = shuffle as usize % chunks.len();
        chunks.rotate_left(rotation);
        chunks.insert(0, chunks[0].clone());
        let mut assembler = SnapshotAssembler::default();
        let mut text = None;
        for chunk in chunks {
            text = text.or(assembler.add(chunk).expect("the digest is right"));
        }
        let (next_offset, text) = text.expect("the snapshot is complete");
        prop_assert_eq!(next_offset, whole.next_offset);
        let mut resumed = Ledger::from_snapshot(&text).expect("the snapshot is readable");
        for record in &log[cut..] {
            let expected = whole.apply(record);
            prop_assert_eq!(resumed.apply(record), expected);
        }
        prop_assert_eq!(resumed.to_snapshot(), whole.to_snapshot());
        for name in INSTANCES {
            let expected = whole.instances.check_stop(name);
            prop_assert_eq!(resumed.instances.check_stop(name), expected);
        }
        Ok(())
    });
    assert_property(outcome);
}
