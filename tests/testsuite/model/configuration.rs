//! A withdrawn key never comes back and the version in force only rises, with operators that race,
//! records that land late or twice, a log that shows an old head, and entries that are replaced.

use hawthornladder::ledger::{KeyRow, Ledger, ListsPatch, OperatorChange, Record, SeatChange};
use hawthornladder::lists::{Lists, Pool};

use super::checker::{assert_found, assert_holds, explore, Explored};
use super::folds::Folds;
use super::rules::{Rules, Steps};
use super::world::{open_record, operator_record, World, SEATS};

const KEY: &str = "k";
const KEY_BACK: &str = "an entry takes a key that it refused before";
const KEY_LATE: &str = "an entry takes a key long after its withdrawal";
const REVERTED: &str = "the version in force went down";
const OVERWRITTEN: &str = "a publication overwrote one that its operator had not read";

/// Age up to which an entry trusts its configuration, in ticks.
const STALE_MAX_TICKS: u8 = 1;

/// A guard that is left out.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Broken {
    Nothing,
    /// An entry takes the ledger of a peer that is behind.
    PeerBehind,
    /// An entry takes an old head of the log for the head.
    OldHead,
    /// An entry trusts its configuration however old it is.
    Staleness,
    /// An entry takes any word of a peer for one from the log.
    PeerWord,
    /// A fresh entry serves on the word of a peer, before it has known the head of the log.
    FreshByPeer,
    /// An operator who lost a race sends the same lists for the new version.
    BlindRebase,
}

/// What is explored; the whole at once would have too many states.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Scenario {
    /// A key is withdrawn, by the log and at an entry, while its grant lands again.
    Keys,
    /// Two operators publish from the same version.
    Versions,
}

/// What one entry has in memory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Memory {
    /// Withdrawal that it was told and has not read from the log.
    is_told: bool,
    /// Tick at which it last knew the head of the log.
    heard: Option<u8>,
    /// Whether this incarnation has refused the key.
    has_refused: bool,
    /// Highest version that was in force here, in all incarnations.
    version_seen: u64,
}

/// What operators and memories add to a state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Control {
    memories: [Memory; 2],
    /// Tick at which the withdrawal was put on record.
    withdrawn_at: Option<u8>,
    is_overwritten: bool,
    tellings_left: u8,
    replacements_left: u8,
}

type ControlWorld = World<Control>;

/// Returns the publication of one more pool, edited from version `base_version`.
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
    let heard = world.extra.memories[entry].heard;
    heard.is_some_and(|heard| world.now - heard <= STALE_MAX_TICKS || broken == Broken::Staleness)
}

fn takes_key(folds: &Folds, world: &ControlWorld, entry: usize, broken: Broken) -> bool {
    let is_told = world.extra.memories[entry].is_told;
    is_serving(world, entry, broken) && !is_told && !is_withdrawn(&world.view(folds, entry))
}

/// Notes what a step has brought about.
fn note(folds: &Folds, before: &ControlWorld, after: &mut ControlWorld, broken: Broken) {
    let (old, new) = (before.head(folds), after.head(folds));
    if !is_withdrawn(&old) && is_withdrawn(&new) {
        after.extra.withdrawn_at = Some(after.now);
    }
    // The second operator edited from version 0, whatever the record says.
    let has = |ledger: &Ledger| ledger.instances.pool_key("second").is_some();
    after.extra.is_overwritten |= !has(&old) && has(&new) && old.lists_version > 0;
    for entry in 0..SEATS.len() {
        let view = after.view(folds, entry);
        let is_serving = is_serving(after, entry, broken);
        let memory = &mut after.extra.memories[entry];
        memory.has_refused |= memory.is_told || is_withdrawn(&view);
        // How long a word from the log has been too old makes no difference.
        let oldest = after.now.saturating_sub(STALE_MAX_TICKS + 1);
        memory.heard = memory.heard.map(|heard| heard.max(oldest));
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
    let mut add = |what, change: &dyn Fn(&mut ControlWorld)| {
        let mut after = world.clone();
        change(&mut after);
        steps.push((what, entry as u8, after));
    };
    if world.extra.tellings_left > 0 {
        add("is_told_by_operator", &|after| {
            after.extra.tellings_left -= 1;
            after.extra.memories[entry].is_told = true;
        });
    }
    if memory.is_told && !world.extra.memories[1 - entry].is_told {
        add("tells_peer", &|after| {
            after.extra.memories[1 - entry].is_told = true;
        });
    }
    let must_record = memory.is_told && !is_withdrawn(&world.view(folds, entry));
    if must_record && rules.can_propose(world, entry) {
        let change = SeatChange::WithdrawKey { key_id: KEY.into() };
        add("proposes", &|after| {
            after.propose(folds, entry, 0, vec![change.clone()])
        });
    }
    let is_at_head = world.entries[entry].view + 1 == world.chain.len();
    if (is_at_head || broken == Broken::OldHead) && memory.heard != Some(world.now) {
        add("hears_head", &|after| {
            after.extra.memories[entry].heard = Some(after.now);
        });
    }
    let peer = world.extra.memories[1 - entry];
    let has_caught_up = world.entries[entry].view >= world.entries[1 - entry].view;
    let was_ready = memory.heard.is_some() || broken == Broken::FreshByPeer;
    match broken {
        Broken::PeerWord if was_ready => add("hears_peer", &|after| {
            after.extra.memories[entry].heard = Some(after.now);
        }),
        // What the peer knew of the head then, this entry knows too.
        _ if was_ready && has_caught_up && peer.heard > memory.heard => {
            add("hears_peer", &|after| {
                after.extra.memories[entry].heard = peer.heard;
            })
        }
        _ => {}
    }
    let (own, other) = (world.entries[entry].view, world.entries[1 - entry].view);
    if other > own || (other < own && broken == Broken::PeerBehind) {
        add("takes_peer_ledger", &|after| {
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
            // It starts from the oldest snapshot, and takes no seat in this model.
            after.entries[entry].view = 0;
            after.entries[entry].flight = None;
            after.entries[entry].seq = u64::MAX;
        });
    }
}

fn violation(folds: &Folds, world: &ControlWorld, broken: Broken) -> Option<&'static str> {
    if world.extra.is_overwritten {
        return Some(OVERWRITTEN);
    }
    let long_withdrawn = world
        .extra
        .withdrawn_at
        .is_some_and(|at| world.now > at + STALE_MAX_TICKS);
    for entry in 0..SEATS.len() {
        let memory = world.extra.memories[entry];
        let takes_key = takes_key(folds, world, entry, broken);
        let version = world.view(folds, entry).lists_version;
        match () {
            () if takes_key && memory.has_refused => return Some(KEY_BACK),
            () if takes_key && long_withdrawn => return Some(KEY_LATE),
            () if is_serving(world, entry, broken) && version < memory.version_seen => {
                return Some(REVERTED)
            }
            () => {}
        }
    }
    None
}

fn run(scenario: Scenario, broken: Broken) -> Explored {
    let folds = Folds::default();
    let own_steps = |world: &ControlWorld, steps: &mut Steps<Control>| {
        let rules = rules_of(&folds, &|_, _| ());
        for entry in 0..SEATS.len() {
            add_entry_steps(&rules, broken, world, entry, steps);
        }
        for (_, _, after) in steps.iter_mut() {
            note(&folds, world, after, broken);
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
        tellings_left: u8::from(scenario == Scenario::Keys),
        replacements_left: 1,
        ..Control::default()
    };
    let records = [grant(), open_record(0, &[]), open_record(1, &[])];
    let repeats_count = u8::from(scenario == Scenario::Versions);
    let start = ControlWorld::start(&folds, &records, &pending, repeats_count, control);
    // The key is off record, or the lists of one operator are in force, at both entries.
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
    folds: &'a Folds,
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
fn a_ledger_of_a_peer_that_is_behind_is_found() {
    let explored = run(Scenario::Versions, Broken::PeerBehind);
    assert_found("configuration with peers behind", &explored, REVERTED);
}

#[test]
fn an_old_head_taken_for_the_head_is_found() {
    let explored = run(Scenario::Keys, Broken::OldHead);
    assert_found("configuration with an old head", &explored, KEY_LATE);
}

#[test]
fn a_configuration_that_is_never_stale_is_found() {
    let explored = run(Scenario::Keys, Broken::Staleness);
    assert_found("configuration without staleness", &explored, KEY_LATE);
}

#[test]
fn a_word_of_a_peer_taken_for_the_log_is_found() {
    let explored = run(Scenario::Keys, Broken::PeerWord);
    assert_found("configuration with peers' words", &explored, KEY_LATE);
}

#[test]
fn a_fresh_entry_that_serves_on_a_word_of_a_peer_is_found() {
    let explored = run(Scenario::Versions, Broken::FreshByPeer);
    assert_found("configuration with fresh entries", &explored, REVERTED);
}

#[test]
fn a_publication_over_one_not_read_is_found() {
    let explored = run(Scenario::Versions, Broken::BlindRebase);
    assert_found("configuration with blind rebase", &explored, OVERWRITTEN);
}
