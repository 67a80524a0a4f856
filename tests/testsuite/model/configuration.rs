//! An entry that has refused a withdrawn key never accepts it again, and the version in force never
//! decreases. The environment has operators that race, records that are appended late or twice, a
//! log that returns an outdated head, and entries that are replaced.

use hawthornladder::ledger::{KeyRow, Ledger, ListsPatch, OperatorChange, Record, SeatChange};
use hawthornladder::lists::{Lists, Pool};

use super::checker::{assert_found, assert_holds, explore, Explored};
use super::folds::FoldCache;
use super::rules::{Rules, Steps};
use super::world::{open_record, operator_record, World, SEATS};

const KEY: &str = "k";
const KEY_ACCEPTED_AGAIN: &str = "an entry accepts a key that it refused before";
const KEY_ACCEPTED_LATE: &str = "an entry takes a key long after its withdrawal";
const REVERTED: &str = "the version in force went down";
const OVERWRITTEN: &str = "a publication overwrote one that its operator had not read";

/// Maximum age of a configuration with which an entry still serves, in ticks.
const STALE_MAX_TICKS: u8 = 1;

/// The guard that a run disables.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Broken {
    Nothing,
    /// An entry adopts the ledger of a peer that is behind it.
    PeerBehind,
    /// An entry accepts an outdated head of the log as the current one.
    OldHead,
    /// An entry serves however old its configuration is.
    Staleness,
    /// An entry treats any contact with a peer as if it had read the head of the log.
    PeerAsHead,
    /// A new entry serves on a peer's information before it has known the head of the log itself.
    FreshByPeer,
    /// An operator who lost a race resubmits the same lists with the new base version.
    BlindRebase,
}

/// The scenario of a run; all of them together would have too many states.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Scenario {
    /// A key is withdrawn, through the log and at an entry, while its grant is appended again.
    Keys,
    /// Two operators publish from the same base version.
    Versions,
}

/// State that one entry holds in memory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Memory {
    /// Whether the entry was notified of the withdrawal, before or without reading it from the log.
    has_notice: bool,
    /// Tick at which the entry last knew the head of the log.
    head_known_tick: Option<u8>,
    /// Whether this incarnation has refused the key.
    has_refused: bool,
    /// Highest version that was in force at this entry, over all its incarnations.
    version_seen: u64,
}

/// State of the operators and of the entries' memories, added to the shared state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Control {
    memories: [Memory; 2],
    /// Tick at which the withdrawal was appended to the log.
    withdrawn_tick: Option<u8>,
    is_overwritten: bool,
    notices_left: u8,
    replacements_left: u8,
}

type ControlWorld = World<Control>;

/// Returns a publication that adds one pool, edited from version `base_version`.
fn publish(number: u128, base_version: u64, pool: &str) -> Record {
    let mut lists = Lists::default();
    lists.entitlements.pools.push(Pool {
        name: pool.into(),
        is_spare: false,
        instances_min_count: 0,
    });
    let patch = Box::new(ListsPatch::between(&Lists::default(), &lists));
    operator_record(
        number,
        OperatorChange::Publish {
            base_version,
            patch,
        },
    )
}

fn grant() -> Record {
    let row = KeyRow {
        team: "t".into(),
        digest: "d".into(),
        is_withdrawn: false,
    };
    let key_id = KEY.into();
    operator_record(1, OperatorChange::GrantKey { key_id, row })
}

fn withdrawal() -> Record {
    let key_id = KEY.into();
    operator_record(2, OperatorChange::WithdrawKey { key_id })
}

fn is_withdrawn(ledger: &Ledger) -> bool {
    ledger.keys.get(KEY).is_some_and(|row| row.is_withdrawn)
}

fn is_serving(world: &ControlWorld, entry: usize, broken: Broken) -> bool {
    let head_known_tick = world.extra.memories[entry].head_known_tick;
    head_known_tick
        .is_some_and(|tick| world.now - tick <= STALE_MAX_TICKS || broken == Broken::Staleness)
}

fn accepts_key(folds: &FoldCache, world: &ControlWorld, entry: usize, broken: Broken) -> bool {
    let has_notice = world.extra.memories[entry].has_notice;
    is_serving(world, entry, broken) && !has_notice && !is_withdrawn(&world.view(folds, entry))
}

/// Records the effects of a step.
fn record_step(folds: &FoldCache, before: &ControlWorld, after: &mut ControlWorld, broken: Broken) {
    let (old, new) = (before.head(folds), after.head(folds));
    if !is_withdrawn(&old) && is_withdrawn(&new) {
        after.extra.withdrawn_tick = Some(after.now);
    }
    // The second operator edited from version 0, even if the record has another base version.
    let has = |ledger: &Ledger| ledger.instances.pool_key("second").is_some();
    after.extra.is_overwritten |= !has(&old) && has(&new) && old.lists_version > 0;
    for entry in 0..SEATS.len() {
        let view = after.view(folds, entry);
        let is_serving = is_serving(after, entry, broken);
        let memory = &mut after.extra.memories[entry];
        memory.has_refused |= memory.has_notice || is_withdrawn(&view);
        // Beyond the staleness limit, the age of the entry's information makes no difference.
        let oldest = after.now.saturating_sub(STALE_MAX_TICKS + 1);
        memory.head_known_tick = memory.head_known_tick.map(|tick| tick.max(oldest));
        if is_serving {
            memory.version_seen = memory.version_seen.max(view.lists_version);
        }
    }
}

fn add_entry_steps(
    rules: &Rules<'_, Control>,
    broken: Broken,
    world: &ControlWorld,
    entry: usize,
    steps: &mut Steps<Control>,
) {
    let folds = rules.folds;
    let memory = world.extra.memories[entry];
    let mut add = |action, change: &dyn Fn(&mut ControlWorld)| {
        let mut after = world.clone();
        change(&mut after);
        steps.push((action, entry as u8, after));
    };
    if world.extra.notices_left > 0 {
        add("is_notified_by_operator", &|after| {
            after.extra.notices_left -= 1;
            after.extra.memories[entry].has_notice = true;
        });
    }
    if memory.has_notice && !world.extra.memories[1 - entry].has_notice {
        add("notifies_peer", &|after| {
            after.extra.memories[1 - entry].has_notice = true;
        });
    }
    let must_record = memory.has_notice && !is_withdrawn(&world.view(folds, entry));
    if must_record && rules.can_propose(world, entry) {
        let change = SeatChange::WithdrawKey { key_id: KEY.into() };
        add("proposes", &|after| {
            after.propose(folds, entry, 0, vec![change.clone()])
        });
    }
    let is_at_head = world.entries[entry].view + 1 == world.chain.len();
    if (is_at_head || broken == Broken::OldHead) && memory.head_known_tick != Some(world.now) {
        add("reads_head", &|after| {
            after.extra.memories[entry].head_known_tick = Some(after.now);
        });
    }
    let peer = world.extra.memories[1 - entry];
    let has_caught_up = world.entries[entry].view >= world.entries[1 - entry].view;
    let was_ready = memory.head_known_tick.is_some() || broken == Broken::FreshByPeer;
    match broken {
        Broken::PeerAsHead if was_ready => add("learns_head_from_peer", &|after| {
            after.extra.memories[entry].head_known_tick = Some(after.now);
        }),
        // This entry has folded at least as much as the peer, so the peer's knowledge of the head
        // applies to it too.
        _ if was_ready && has_caught_up && peer.head_known_tick > memory.head_known_tick => {
            add("learns_head_from_peer", &|after| {
                after.extra.memories[entry].head_known_tick = peer.head_known_tick;
            })
        }
        _ => {}
    }
    let (own, other) = (world.entries[entry].view, world.entries[1 - entry].view);
    if other > own || (other < own && broken == Broken::PeerBehind) {
        add("adopts_peer_ledger", &|after| {
            after.entries[entry].view = other
        });
    }
    if world.extra.replacements_left > 0 {
        add("is_replaced", &|after| {
            after.extra.replacements_left -= 1;
            let version_seen = memory.version_seen;
            after.extra.memories[entry] = Memory {
                version_seen,
                ..Memory::default()
            };
            // The new incarnation starts from the oldest snapshot and opens no seat in this model.
            after.entries[entry].view = 0;
            after.entries[entry].in_flight = None;
            after.entries[entry].seq = u64::MAX;
        });
    }
}

fn violation(folds: &FoldCache, world: &ControlWorld, broken: Broken) -> Option<&'static str> {
    if world.extra.is_overwritten {
        return Some(OVERWRITTEN);
    }
    let long_withdrawn = world
        .extra
        .withdrawn_tick
        .is_some_and(|at| world.now > at + STALE_MAX_TICKS);
    for entry in 0..SEATS.len() {
        let memory = world.extra.memories[entry];
        let accepts_key = accepts_key(folds, world, entry, broken);
        let version = world.view(folds, entry).lists_version;
        match () {
            () if accepts_key && memory.has_refused => return Some(KEY_ACCEPTED_AGAIN),
            () if accepts_key && long_withdrawn => return Some(KEY_ACCEPTED_LATE),
            () if is_serving(world, entry, broken) && version < memory.version_seen => {
                return Some(REVERTED)
            }
            () => {}
        }
    }
    None
}

fn run(scenario: Scenario, broken: Broken) -> Explored {
    let folds = FoldCache::default();
    let own_steps = |world: &ControlWorld, steps: &mut Steps<Control>| {
        let rules = rules_of(&folds, &|_, _| ());
        for entry in 0..SEATS.len() {
            add_entry_steps(&rules, broken, world, entry, steps);
        }
        for (_, _, after) in steps.iter_mut() {
            record_step(&folds, world, after, broken);
        }
    };
    let rules = rules_of(&folds, &own_steps);
    let second_base = match broken {
        Broken::BlindRebase => 1,
        _ => 0,
    };
    let pending = match scenario {
        Scenario::Keys => [grant(), withdrawal()],
        Scenario::Versions => [publish(3, 0, "first"), publish(4, second_base, "second")],
    };
    let control = Control {
        notices_left: u8::from(scenario == Scenario::Keys),
        replacements_left: 1,
        ..Control::default()
    };
    let records = [grant(), open_record(0, &[]), open_record(1, &[])];
    let repeats_count = u8::from(scenario == Scenario::Versions);
    let start = ControlWorld::start(&folds, &records, &pending, repeats_count, control);
    // At both entries, the key is withdrawn, or the lists of one operator are in force.
    let is_done = |world: &ControlWorld| {
        (0..SEATS.len()).all(|entry| {
            let view = world.view(&folds, entry);
            (is_withdrawn(&view) || view.lists_version == 1) && is_serving(world, entry, broken)
        })
    };
    explore(
        start,
        |world| rules.next(world),
        |world| violation(&folds, world, broken),
        is_done,
    )
}

fn rules_of<'a>(
    folds: &'a FoldCache,
    own_steps: &'a dyn Fn(&ControlWorld, &mut Steps<Control>),
) -> Rules<'a, Control> {
    Rules {
        folds,
        ticks_max: 2,
        batches_max: [2, 1],
        has_refusals: false,
        on_fold: &|_, _| (),
        own_steps,
    }
}

#[test]
fn keys_and_versions_hold_in_every_state() {
    let keys = run(Scenario::Keys, Broken::Nothing);
    assert_holds("configuration, keys", &keys);
    let versions = run(Scenario::Versions, Broken::Nothing);
    assert_holds("configuration, versions", &versions);
}

#[test]
fn adopting_an_older_ledger_of_a_peer_is_detected() {
    let explored = run(Scenario::Versions, Broken::PeerBehind);
    assert_found("configuration with peers behind", &explored, REVERTED);
}

#[test]
fn accepting_an_outdated_head_is_detected() {
    let explored = run(Scenario::Keys, Broken::OldHead);
    assert_found(
        "configuration with an old head",
        &explored,
        KEY_ACCEPTED_LATE,
    );
}

#[test]
fn a_missing_staleness_limit_is_detected() {
    let explored = run(Scenario::Keys, Broken::Staleness);
    assert_found(
        "configuration without staleness",
        &explored,
        KEY_ACCEPTED_LATE,
    );
}

#[test]
fn treating_a_peer_as_the_head_of_the_log_is_detected() {
    let explored = run(Scenario::Keys, Broken::PeerAsHead);
    assert_found(
        "configuration with peers' words",
        &explored,
        KEY_ACCEPTED_LATE,
    );
}

#[test]
fn a_new_entry_that_trusts_a_peer_before_the_log_is_detected() {
    let explored = run(Scenario::Versions, Broken::FreshByPeer);
    assert_found("configuration with fresh entries", &explored, REVERTED);
}

#[test]
fn overwriting_an_unread_publication_is_detected() {
    let explored = run(Scenario::Versions, Broken::BlindRebase);
    assert_found("configuration with blind rebase", &explored, OVERWRITTEN);
}
