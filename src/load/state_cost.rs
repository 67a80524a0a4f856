//! Cost of an entry's state over the size of the fleet: bytes of the ledger, of its snapshot and of
//! gossip, and time of folds, of a recovery and of the engine's steps.
//!
//! The times are measured in this process with the real clock. They depend on the machine; what
//! matters is how they grow with the fleet.

use std::{fs, hint::black_box, sync::Arc, time::Instant};

use serde::Serialize;
use smol_str::{format_smolstr, SmolStr};
use uuid::Uuid;

use crate::{
    callers::CallerRequest,
    entry::{Action, AttemptKey, Engine, EngineSettings, EntrySettings, Event, Now, Source},
    fleet::{InstanceRow, Resources},
    keys,
    ledger::{
        KeyRow, Ledger, ListsPatch, OperatorChange, OperatorProposal, Record, SeatBatch, SeatChange,
    },
    lists::{AvailabilityBudget, Entitlement, Lists, Plan, Pool, Queue, Team},
    load::cost::{FleetSize, FLEET_SIZES},
    ports::{InstancePage, LogPage, LogRecord, WorkerOutcome},
    settings::Settings,
};

/// Number of seats in the measured ledgers.
const SEATS_COUNT: u32 = 9;

/// Claims of non-idempotent requests in a ledger, at every fleet size.
const CLAIMS_COUNT: u32 = 10_000;

/// Nanoseconds in a microsecond.
const NS_PER_US: u64 = 1_000;

/// Repetitions of a measured step.
const REPEATS_COUNT: u32 = 2_000;

/// Instances in one batch of changes.
const BATCH_INSTANCES_COUNT: usize = 100;

/// Interval of the steps of a measured engine, in milliseconds.
const STEP_MS: u64 = 1;

/// Costs at one fleet size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StateCostRow {
    /// Size of the fleet.
    pub size: FleetSize,
    /// Bytes of the snapshot of a ledger without claims.
    pub snapshot_bytes: u64,
    /// Parts of that snapshot; each part is one append.
    pub snapshot_parts_count: u64,
    /// Time to encode that snapshot.
    pub snapshot_us: u64,
    /// Time to restore a ledger from it.
    pub restore_us: u64,
    /// Growth of the resident memory for one such ledger, in kilobytes.
    pub ledger_kb: u64,
    /// Time to fold a record that changes one row of the lists.
    pub fold_publish_us: u64,
    /// Bytes of that record.
    pub publish_bytes: u64,
    /// Time to fold the renewal of a seat's lease.
    pub fold_renew_ns: u64,
    /// Time to fold a claim into a ledger with ten thousand claims.
    pub fold_claim_ns: u64,
    /// Time of one tick of an idle engine.
    pub tick_ns: u64,
    /// Time in the engine for one call: its dispatch and its end.
    pub request_ns: u64,
    /// Time to apply an instance list in which one row changed.
    pub list_change_us: u64,
    /// Bytes of the gossip of an engine without requests.
    pub gossip_idle_bytes: u64,
    /// Bytes of the gossip of an engine with one waiting request of each team.
    pub gossip_bytes: u64,
}

/// Measures the costs at all fleet sizes.
pub fn measure_state() -> Vec<StateCostRow> {
    FLEET_SIZES.iter().map(measure_size).collect()
}

/// Returns the rows as a table.
pub fn state_table(rows: &[StateCostRow]) -> String {
    let mut table = String::from(
        "workers pools teams | snap_kB parts write_us read_us ledger_kB | publish_us publish_B renew_us claim_us | tick_ns request_ns list_us idle_gossip_B gossip_B\n",
    );
    for row in rows {
        table.push_str(&format!(
            "{:>7} {:>5} {:>5} | {:>7} {:>5} {:>8} {:>7} {:>9} | {:>10} {:>9} {:>8} {:>8} | {:>7} {:>10} {:>7} {:>13} {:>8}\n",
            row.size.workers_count,
            row.size.pools_count,
            row.size.teams_count,
            row.snapshot_bytes / 1_000,
            row.snapshot_parts_count,
            row.snapshot_us,
            row.restore_us,
            row.ledger_kb,
            row.fold_publish_us,
            row.publish_bytes,
            row.fold_renew_ns,
            row.fold_claim_ns,
            row.tick_ns,
            row.request_ns,
            row.list_change_us,
            row.gossip_idle_bytes,
            row.gossip_bytes,
        ));
    }
    table
}

fn measure_size(size: &FleetSize) -> StateCostRow {
    let mut log = FakeLog::default();
    log.fill(size);
    let mut ledger = Ledger::default();
    for record in &log.records {
        black_box(ledger.apply(record));
    }
    let ledger_kb = ledger_kb(&ledger);
    let (snapshot, snapshot_ns) = timed(|| ledger.to_snapshot());
    let (restored, restore_ns) = timed(|| Ledger::from_snapshot(&snapshot));
    drop(restored);
    let snapshot_parts_count = ledger.to_chunks(Uuid::now_v7()).len() as u64;
    let publish = log.push(&publish_record(&ledger));
    let (_, fold_publish_ns) = timed(|| ledger.apply(&publish));
    let fold_renew_ns = time_folds(&mut ledger, &mut log, |_| SeatChange::Renew {
        clean_offset: 0,
    });
    for _ in 0..CLAIMS_COUNT {
        let record = log.push_seat(claim());
        ledger.apply(&record);
    }
    let fold_claim_ns = time_folds(&mut ledger, &mut log, |_| claim());
    let mut engine = MeasuredEngine::open(size);
    StateCostRow {
        size: *size,
        snapshot_bytes: snapshot.len() as u64,
        snapshot_parts_count,
        snapshot_us: snapshot_ns / NS_PER_US,
        restore_us: restore_ns / NS_PER_US,
        ledger_kb,
        fold_publish_us: fold_publish_ns / NS_PER_US,
        publish_bytes: publish.payload.len() as u64,
        fold_renew_ns,
        fold_claim_ns,
        tick_ns: engine.time_ticks(),
        request_ns: engine.time_requests(),
        list_change_us: engine.time_list_changes(),
        gossip_idle_bytes: engine.gossip_idle_bytes(),
        gossip_bytes: engine.gossip_bytes(),
    }
}

/// Returns the memory of one ledger, as the mean of several copies.
fn ledger_kb(ledger: &Ledger) -> u64 {
    const COPIES_COUNT: u64 = 8;
    let before_kb = resident_kb();
    let copies: Vec<Ledger> = (0..COPIES_COUNT).map(|_| ledger.clone()).collect();
    let after_kb = resident_kb();
    drop(black_box(copies));
    after_kb.saturating_sub(before_kb) / COPIES_COUNT
}

fn timed<T>(run: impl FnOnce() -> T) -> (T, u64) {
    let start = Instant::now();
    let result = black_box(run());
    (result, start.elapsed().as_nanos() as u64)
}

fn time_folds(ledger: &mut Ledger, log: &mut FakeLog, change: impl Fn(u32) -> SeatChange) -> u64 {
    let records: Vec<LogRecord> = (0..REPEATS_COUNT)
        .map(|index| log.push_seat(change(index)))
        .collect();
    let ((), total_ns) = timed(|| {
        for record in &records {
            black_box(ledger.apply(record));
        }
    });
    total_ns / u64::from(REPEATS_COUNT)
}

fn claim() -> SeatChange {
    SeatChange::Claim {
        team: "team-0".into(),
        request_id: Uuid::now_v7(),
    }
}

fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// A log in memory, without delays and faults.
#[derive(Default)]
struct FakeLog {
    records: Vec<LogRecord>,
    seqs: Vec<u64>,
}

impl FakeLog {
    /// Appends the records of a ledger for a fleet of the given size.
    fn fill(&mut self, size: &FleetSize) {
        for index in 0..SEATS_COUNT {
            self.push_batch(
                index,
                vec![SeatChange::Open {
                    peers_address: format_smolstr!("10.0.0.{index}:7101"),
                    zone: "zone-0".into(),
                    lease_ms: 120_000,
                }],
            );
        }
        let patch = ListsPatch::between(&Lists::default(), &lists_of(size));
        self.push(&operator(OperatorChange::Publish {
            base_version: 0,
            patch: Box::new(patch),
        }));
        for index in 0..size.teams_count {
            let key = keys::generate();
            let row = KeyRow {
                team: format_smolstr!("team-{index}"),
                digest: key.digest,
                is_withdrawn: false,
            };
            self.push(&operator(OperatorChange::GrantKey {
                key_id: key.key_id,
                row,
            }));
        }
        let rows = rows_of(size);
        for rows in rows.chunks(BATCH_INSTANCES_COUNT) {
            let seen = |row: &InstanceRow| SeatChange::InstanceSeen { row: row.clone() };
            self.push_batch(0, rows.iter().map(seen).collect());
        }
    }

    fn push_seat(&mut self, change: SeatChange) -> LogRecord {
        self.push_batch(0, vec![change])
    }

    fn push_batch(&mut self, seat: u32, changes: Vec<SeatChange>) -> LogRecord {
        let index = seat as usize;
        if self.seqs.len() <= index {
            self.seqs.resize(index + 1, 0);
        }
        self.seqs[index] += 1;
        self.push(&Record::Seat(SeatBatch {
            seat: format_smolstr!("seat-{seat}"),
            seq: self.seqs[index],
            changes,
        }))
    }

    fn push(&mut self, record: &Record) -> LogRecord {
        let payload = serde_json::to_string(record).unwrap_or_default();
        let record = LogRecord {
            offset: self.records.len() as u64,
            at_unix_ms: now().unix_ms,
            payload: payload.into(),
        };
        self.records.push(record.clone());
        record
    }
}

fn operator(change: OperatorChange) -> Record {
    Record::Operator(OperatorProposal {
        proposal_id: Uuid::now_v7(),
        operator: "measure".into(),
        change,
    })
}

fn publish_record(ledger: &Ledger) -> Record {
    let mut changed = Lists::clone(&ledger.lists);
    if let Some(team) = changed.plans.teams.first_mut() {
        team.share_weight = Some(7);
    }
    operator(OperatorChange::Publish {
        base_version: ledger.lists_version,
        patch: Box::new(ListsPatch::between(&ledger.lists, &changed)),
    })
}

fn lists_of(size: &FleetSize) -> Lists {
    let mut lists = Lists::default();
    lists.plans.plans.push(Plan {
        name: "plan".into(),
        share_weight: 1,
        running_max_requests: 1_000,
        start_target_ms: 1_600,
        on_time_target_permille: 990,
        availability: AvailabilityBudget {
            pool_unavailable_max_permille: 100,
            zone_unavailable_max_permille: 500,
        },
    });
    let pool_name = |index: u16| format_smolstr!("pool-{index}");
    let queue_name = |index: u16| format_smolstr!("queue-{index}");
    for index in 0..size.pools_count {
        lists.entitlements.pools.push(Pool {
            name: pool_name(index),
            is_spare: false,
            instances_min_count: 1,
        });
        lists.entitlements.queues.push(Queue {
            name: queue_name(index),
            pools: vec![pool_name(index)],
            is_open_to_all: false,
            is_urgent: true,
        });
    }
    lists.entitlements.entitlements.push(Entitlement {
        plan: "plan".into(),
        queues: (0..size.pools_count).map(queue_name).collect(),
        request_max: REQUEST_MAX,
    });
    for index in 0..size.teams_count {
        lists.plans.teams.push(Team {
            name: format_smolstr!("team-{index}"),
            plan: "plan".into(),
            running_max_requests: None,
            share_weight: None,
        });
    }
    lists
}

const REQUEST_MAX: Resources = Resources {
    cores_milli: 32_000,
    memory_mb: 128_000,
    accelerators_count: 2,
};

fn rows_of(size: &FleetSize) -> Vec<InstanceRow> {
    let row = |index: u32| InstanceRow {
        name: format_smolstr!("worker-{index:05}"),
        incarnation: format_smolstr!("worker-{index:05}.1796334846971"),
        address: format_smolstr!(
            "10.{}.{}.{}:7200",
            index >> 16,
            (index >> 8) & 255,
            index & 255
        ),
        pool: format_smolstr!("pool-{}", index % u32::from(size.pools_count)),
        zone: format_smolstr!("zone-{}", index % 9),
        rack: format_smolstr!("zone-{}-rack-{}", index % 9, index / 36),
        leaving: false,
        capacity: REQUEST_MAX,
        slots_count: 8,
    };
    (0..size.workers_count).map(row).collect()
}

fn now() -> Now {
    let since = std::time::UNIX_EPOCH.elapsed().unwrap_or_default();
    let unix_ms = since.as_millis() as u64;
    Now {
        mono_ms: unix_ms,
        unix_ms,
    }
}

/// An engine for a fleet of one size, stepped by the measurement.
struct MeasuredEngine {
    engine: Engine,
    now: Now,
    log: FakeLog,
    rows: Vec<InstanceRow>,
    list_version: u64,
    key: SmolStr,
    next_call: u64,
    /// Attempts in flight.
    started: Vec<AttemptKey>,
}

impl MeasuredEngine {
    fn open(size: &FleetSize) -> Self {
        let mut log = FakeLog::default();
        log.fill(size);
        let key = keys::generate();
        log.push(&operator(OperatorChange::GrantKey {
            key_id: key.key_id,
            row: KeyRow {
                team: "team-0".into(),
                digest: key.digest,
                is_withdrawn: false,
            },
        }));
        let settings = EntrySettings::from_settings(&Settings::default(), "measured");
        let settings = EngineSettings {
            peers_address: "10.0.0.99:7101".into(),
            ..settings.engine
        };
        let mut measured = Self {
            engine: Engine::open(settings, "seat-99"),
            now: now(),
            log,
            rows: rows_of(size),
            list_version: 1,
            key: key.text,
            next_call: 0,
            started: Vec::new(),
        };
        let rows = measured.rows.clone();
        let page = InstancePage { version: 1, rows };
        measured.step(Event::Instances { sent_ms: 0, page });
        measured.advance_until_serving();
        measured
    }

    /// Steps the engine; its appends are acknowledged at once.
    fn step(&mut self, event: Event) -> Vec<Action> {
        self.timed_step(event).0
    }

    /// Steps the engine and returns how long the step took, in nanoseconds.
    fn timed_step(&mut self, event: Event) -> (Vec<Action>, u64) {
        let now = self.now;
        let engine = &mut self.engine;
        let (actions, ns) = timed(|| engine.step(now, event));
        for action in &actions {
            if let Action::Run { attempt, .. } = action {
                self.started.push(*attempt);
            }
            if let Action::Append { seq, payload } = action {
                let offset = self.log.records.len() as u64;
                self.log.records.push(LogRecord {
                    offset,
                    at_unix_ms: self.now.unix_ms,
                    payload: payload.as_str().into(),
                });
                let appended = Event::Appended {
                    seq: *seq,
                    result: Ok(offset),
                };
                self.engine.step(self.now, appended);
            }
        }
        (actions, ns)
    }

    /// Advances the time and reads the log for long enough that the engine holds its seat and its
    /// part of the team's limit.
    fn advance_until_serving(&mut self) {
        for _ in 0..400 {
            self.advance_ms(STEP_MS * 10);
            self.read_log();
            self.step(Event::Tick);
        }
    }

    fn advance_ms(&mut self, ms: u64) {
        self.now.mono_ms += ms;
        self.now.unix_ms += ms;
    }

    fn read_log(&mut self) {
        let from_offset = self.engine.wanted_offset();
        let first = (from_offset as usize).min(self.log.records.len());
        let head = self.log.records.len() as u64;
        let page = LogPage {
            records: self.log.records[first..].to_vec(),
            head_offset: head,
            oldest_offset: 0,
        };
        self.step(Event::LogPage {
            sent_ms: self.now.mono_ms,
            from_offset,
            page,
            source: Source::Log,
        });
    }

    fn time_ticks(&mut self) -> u64 {
        let mut total_ns = 0;
        for _ in 0..REPEATS_COUNT {
            self.advance_ms(5);
            total_ns += self.timed_step(Event::Tick).1;
            self.read_log();
        }
        total_ns / u64::from(REPEATS_COUNT)
    }

    fn time_requests(&mut self) -> u64 {
        let mut total_ns = 0;
        let mut started_count = 0;
        for _ in 0..REPEATS_COUNT {
            self.advance_ms(STEP_MS);
            let call = self.call();
            total_ns += self.timed_step(call).1;
            for attempt in std::mem::take(&mut self.started) {
                let outcome = WorkerOutcome::Ran {
                    is_success: true,
                    body: Arc::default(),
                };
                total_ns += self.timed_step(Event::AttemptEnded { attempt, outcome }).1;
                started_count += 1;
            }
            self.read_log();
            self.step(Event::Tick);
        }
        total_ns / started_count.max(1)
    }

    fn call(&mut self) -> Event {
        self.next_call += 1;
        Event::Call {
            call_id: self.next_call,
            request: CallerRequest {
                request_id: format_smolstr!("{}", Uuid::now_v7()),
                key: Some(self.key.clone()),
                queue: "queue-0".into(),
                deadline_ms: 30_000,
                is_idempotent: true,
                size: Resources {
                    cores_milli: 1_000,
                    memory_mb: 1_000,
                    accelerators_count: 0,
                },
                declared_run_ms: 0,
                is_for_later: false,
                body: Arc::default(),
            },
        }
    }

    fn time_list_changes(&mut self) -> u64 {
        const CHANGES_COUNT: u64 = 50;
        let mut total_ns = 0;
        for index in 0..CHANGES_COUNT {
            let row = index as usize % self.rows.len();
            self.rows[row].leaving = !self.rows[row].leaving;
            self.list_version += 1;
            let page = InstancePage {
                version: self.list_version,
                rows: self.rows.clone(),
            };
            let event = Event::Instances { sent_ms: 0, page };
            total_ns += self.timed_step(event).1;
        }
        total_ns / CHANGES_COUNT / NS_PER_US
    }

    /// Returns the bytes of a gossip message once no requests are left.
    fn gossip_idle_bytes(&mut self) -> u64 {
        self.advance_until_serving();
        let gossip = self.engine.gossip();
        serde_json::to_vec(&gossip).unwrap_or_default().len() as u64
    }

    /// Returns the bytes of a gossip message with a row of demand and of usage for every team.
    fn gossip_bytes(&mut self) -> u64 {
        let mut gossip = self.engine.gossip();
        let pools: Vec<SmolStr> = self.engine.ledger().instances.pools().cloned().collect();
        for (index, (team, _)) in self.engine.ledger().escrow.iter().enumerate() {
            gossip.demand.insert(
                team.clone(),
                crate::entry::Demand {
                    running_requests: 4,
                    waiting_requests: 1,
                    oldest_wait_ms: 100,
                },
            );
            gossip.usage.push(crate::entry::GossipUsage {
                team: team.clone(),
                pool: pools[index % pools.len()].clone(),
                running: REQUEST_MAX,
                running_requests: 4,
                waiting_requests: 1,
            });
        }
        serde_json::to_vec(&gossip).unwrap_or_default().len() as u64
    }
}
