//! Instances: each belongs to exactly one pool. A planned stop or a move is checked at its offset
//! against all stops and failures known so far. It proceeds only when every seat has shown that it
//! can no longer dispatch to the instance.

use std::collections::VecDeque;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};
use smol_str::{format_smolstr, SmolStr};

use crate::{
    fleet::{InstanceName, InstanceRow, Offset, PoolName, RackName, Standing, UnixMs, ZoneName},
    lists::Lists,
    upkeep::{
        can_release, check_stop, strictest_budget, BudgetBreach, BudgetView, FleetCounts,
        InstanceKey, Member, PoolBudget, PoolKey, RackKey, ZoneKey,
    },
};

/// Number of earlier incarnations that are stored for each instance, so that an outdated instance
/// list does not restore one of them.
const PAST_INCARNATIONS_MAX_COUNT: usize = 4;

/// Number of release times that are stored, to limit the moves in an hour.
const RELEASES_MAX_COUNT: usize = 256;

/// Reason for a planned stop of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum PlannedStopReason {
    /// A roll-out reboots the instance.
    Maintenance,
    /// The instance moves to the named pool.
    Move(PoolName),
}

/// State of one instance in the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Row of the instance list, with the pool to which the instance currently belongs.
    pub row: InstanceRow,
    /// Version of this state; increases with every change.
    pub version: u64,
    /// Availability of the instance.
    pub standing: Standing,
    /// Reason for the planned stop in progress, if there is one.
    pub stop: Option<PlannedStopReason>,
    /// Offset at which the stop or the release was claimed.
    pub stop_offset: Offset,
    /// Whether the instance was suspect (`doubtful`) when its latest stop or release was claimed.
    /// It is suspect again once that has ended, until a probe succeeds.
    #[serde(default)]
    pub was_doubtful: bool,
    /// Log time of the latest reboot by a roll-out or, before the first one, of the instance's
    /// first listing.
    pub maintained_at_unix_ms: UnixMs,
    /// Log time at which the instance last failed to return from maintenance or failed after it, or
    /// 0.
    #[serde(default)]
    pub bad_at_unix_ms: UnixMs,
    /// Log time of the latest change of `standing`.
    pub standing_at_unix_ms: UnixMs,
    /// Earlier incarnations, from oldest to latest.
    pub past_incarnations: Vec<SmolStr>,
}

impl InstanceEntry {
    /// Returns the standing that the instance had when its stop was claimed.
    fn standing_before_stop(&self) -> Standing {
        match self.was_doubtful {
            true => Standing::Doubtful,
            false => Standing::Serving,
        }
    }
}

/// All instances, with the counts used to check availability budgets.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Instances {
    entries: IndexMap<InstanceName, InstanceEntry>,
    pools: IndexSet<PoolName>,
    zones: IndexSet<ZoneName>,
    racks: IndexSet<RackName>,
    /// Log time of the latest halt of a roll-out, or 0.
    #[serde(default)]
    halted_at_unix_ms: UnixMs,
    /// Log times of recent releases for a move, from oldest to latest.
    #[serde(default)]
    releases_at_unix_ms: VecDeque<UnixMs>,
    /// Log time of the latest release from or to each pool.
    #[serde(default)]
    moved_at_unix_ms: IndexMap<PoolName, UnixMs>,
    /// Number of instance changes that this process has folded.
    #[serde(skip)]
    changes_count: u64,
    #[serde(skip)]
    counts: FleetCounts,
    #[serde(skip)]
    budgets: Vec<PoolBudget>,
}

impl PartialEq for Instances {
    fn eq(&self, other: &Self) -> bool {
        self.entries == other.entries && self.pools == other.pools
    }
}

impl Instances {
    /// Returns an instance.
    pub fn get(&self, name: &str) -> Option<&InstanceEntry> {
        self.entries.get(name)
    }

    /// Returns the key of an instance in the budget counts.
    pub fn key(&self, name: &str) -> Option<InstanceKey> {
        self.entries
            .get_index_of(name)
            .map(|index| InstanceKey(index as u32))
    }

    /// Returns an instance by its key.
    pub fn by_key(&self, key: InstanceKey) -> Option<&InstanceEntry> {
        self.entries.get_index(key.index()).map(|(_, entry)| entry)
    }

    /// Returns all instances; one that left the instance list remains with the standing `down`.
    pub fn iter(&self) -> impl Iterator<Item = &InstanceEntry> {
        self.entries.values()
    }

    /// Returns the key of a pool in the budget counts.
    pub fn pool_key(&self, pool: &str) -> Option<PoolKey> {
        self.pools
            .get_index_of(pool)
            .map(|index| PoolKey(index as u16))
    }

    /// Returns the pools in the order of their keys.
    pub fn pools(&self) -> impl Iterator<Item = &PoolName> {
        self.pools.iter()
    }

    /// Returns the name of a pool.
    pub fn pool_name(&self, key: PoolKey) -> Option<&PoolName> {
        self.pools.get_index(key.index())
    }

    /// Returns the counts and budgets against which planned stops are checked.
    pub fn budget_view(&self) -> BudgetView<'_> {
        BudgetView {
            counts: &self.counts,
            budgets: &self.budgets,
        }
    }

    /// Checks whether a planned stop of the instance would be accepted now.
    ///
    /// # Errors
    ///
    /// Returns the budget that the stop would breach, or [`BudgetBreach::UnknownInstance`].
    pub fn check_stop(&self, name: &str) -> Result<(), BudgetBreach> {
        let key = self.key(name).ok_or(BudgetBreach::UnknownInstance)?;
        check_stop(&self.budget_view(), key)
    }

    /// Checks whether a release of the instance from its pool would be accepted now.
    ///
    /// # Errors
    ///
    /// Returns the budget that the release would breach, or [`BudgetBreach::UnknownInstance`].
    pub fn check_release(&self, name: &str) -> Result<(), BudgetBreach> {
        let key = self.key(name).ok_or(BudgetBreach::UnknownInstance)?;
        can_release(&self.budget_view(), key)
    }

    /// Returns the number of instance changes that this process has folded; no instance has changed
    /// while the number is the same.
    pub fn changes_count(&self) -> u64 {
        self.changes_count
    }

    /// Returns the log time of the latest halt of a roll-out, if there was one.
    pub fn halted_at_unix_ms(&self) -> Option<UnixMs> {
        Some(self.halted_at_unix_ms).filter(|at| *at > 0)
    }

    /// Returns the number of instances released for a move since `since_unix_ms`.
    pub fn moves_since_count(&self, since_unix_ms: UnixMs) -> u32 {
        let times = self.releases_at_unix_ms.iter();
        times.filter(|at| **at >= since_unix_ms).count() as u32
    }

    /// Returns the log time of the latest release of an instance from or to a pool.
    pub fn moved_at_unix_ms(&self, pool: &str) -> Option<UnixMs> {
        self.moved_at_unix_ms.get(pool).copied()
    }

    /// Records that a roll-out halted.
    pub(crate) fn record_halt(&mut self, at_unix_ms: UnixMs) {
        self.halted_at_unix_ms = at_unix_ms;
    }

    /// Records that an instance of a roll-out wave failed; one that did not return from its stop
    /// becomes `down`.
    pub(crate) fn mark_bad(
        &mut self,
        name: &str,
        version: u64,
        at_unix_ms: UnixMs,
    ) -> Result<(), SmolStr> {
        self.check_version(name, version)?;
        self.update(name, |entry| {
            entry.bad_at_unix_ms = at_unix_ms;
            if entry.standing == Standing::Stopped {
                entry.standing = Standing::Down;
                entry.stop = None;
                entry.standing_at_unix_ms = at_unix_ms;
            }
        });
        Ok(())
    }

    /// Sets the budgets from newly published lists.
    pub(crate) fn set_budgets(&mut self, lists: &Lists) {
        for pool in &lists.entitlements.pools {
            self.pools.insert(pool.name.clone());
        }
        let budget_of = |name: &PoolName| {
            let mut pools = lists.entitlements.pools.iter();
            pools
                .find(|pool| pool.name == *name)
                .map_or_else(PoolBudget::default, |pool| strictest_budget(lists, pool))
        };
        self.budgets = self.pools.iter().map(budget_of).collect();
    }

    /// Rebuilds the counts after the state was restored from a snapshot.
    pub(crate) fn rebuild_counts(&mut self) {
        self.counts = FleetCounts::new();
        for index in 0..self.entries.len() {
            self.update_counts(index);
        }
    }

    /// Records an instance found in the instance list; returns whether that had an effect.
    pub(crate) fn mark_seen(&mut self, row: &InstanceRow, at_unix_ms: UnixMs) -> bool {
        let past = match self.entries.get(&row.name) {
            Some(entry) if entry.row.incarnation == row.incarnation => {
                return self.update_known_incarnation(row)
            }
            Some(entry) if entry.past_incarnations.contains(&row.incarnation) => return false,
            Some(entry) => Some(entry.clone()),
            None => None,
        };
        let entry = match past {
            None => InstanceEntry {
                row: row.clone(),
                version: 1,
                standing: Standing::Serving,
                stop: None,
                stop_offset: 0,
                was_doubtful: false,
                // A new instance needs no maintenance, like one that has just been maintained.
                maintained_at_unix_ms: at_unix_ms,
                bad_at_unix_ms: 0,
                standing_at_unix_ms: at_unix_ms,
                past_incarnations: Vec::new(),
            },
            Some(old) => next_incarnation(old, row, at_unix_ms),
        };
        let (index, _) = self.entries.insert_full(row.name.clone(), entry);
        self.update_counts(index);
        true
    }

    /// Records that a known incarnation is leaving, or is listed again after it was `down`; returns
    /// whether that had an effect.
    ///
    /// An incarnation that is listed again is suspect until it answers, since the list may be
    /// outdated. `standing_at_unix_ms` does not change, so that an instance of a wave that failed
    /// still counts as failed.
    fn update_known_incarnation(&mut self, row: &InstanceRow) -> bool {
        match self.entries.get(&row.name) {
            Some(entry) if row.leaving && !entry.row.leaving => {
                self.update(&row.name, |entry| entry.row.leaving = true)
            }
            Some(entry) if entry.standing == Standing::Down && !row.leaving => {
                self.update(&row.name, |entry| entry.standing = Standing::Doubtful)
            }
            Some(_) | None => false,
        }
    }

    /// Records that an incarnation left the instance list; returns whether that had an effect.
    pub(crate) fn mark_gone(&mut self, name: &str, incarnation: &str, at_unix_ms: UnixMs) -> bool {
        match self.entries.get(name) {
            Some(entry) if entry.row.incarnation != incarnation => false,
            Some(entry) if entry.standing == Standing::Down => false,
            // A stopped instance is expected to leave the list while it reboots.
            Some(entry) if entry.standing == Standing::Stopped => false,
            Some(_) => self.update(name, |entry| {
                entry.standing = Standing::Down;
                entry.stop = None;
                entry.standing_at_unix_ms = at_unix_ms;
            }),
            None => false,
        }
    }

    /// Changes the standing between `serving` and `doubtful`; returns whether that had an effect.
    pub(crate) fn set_standing(
        &mut self,
        name: &str,
        incarnation: &str,
        standing: Standing,
        at_unix_ms: UnixMs,
    ) -> bool {
        let is_settable = |standing| matches!(standing, Standing::Serving | Standing::Doubtful);
        match self.entries.get(name) {
            Some(entry) if entry.row.incarnation != incarnation => false,
            Some(entry) if !is_settable(entry.standing) || !is_settable(standing) => false,
            Some(entry) if entry.standing == standing => false,
            Some(_) => self.update(name, |entry| {
                entry.standing = standing;
                entry.standing_at_unix_ms = at_unix_ms;
            }),
            None => false,
        }
    }

    /// Claims a planned stop or a release.
    pub(crate) fn claim_stop(
        &mut self,
        name: &str,
        version: u64,
        why: &PlannedStopReason,
        offset: Offset,
        at_unix_ms: UnixMs,
    ) -> Result<(), SmolStr> {
        self.check_version(name, version)?;
        let verdict = match why {
            PlannedStopReason::Maintenance => self.check_stop(name),
            PlannedStopReason::Move(to_pool) if !self.pools.contains(to_pool) => {
                return Err(SmolStr::new_static("unknown_pool"))
            }
            PlannedStopReason::Move(_) => self.check_release(name),
        };
        verdict.map_err(|breach| SmolStr::new(breach.to_string()))?;
        if let PlannedStopReason::Move(to_pool) = why {
            self.record_release(name, to_pool, at_unix_ms);
        }
        self.update(name, |entry| {
            entry.was_doubtful = entry.standing == Standing::Doubtful;
            entry.standing = Standing::Draining;
            entry.stop = Some(why.clone());
            entry.stop_offset = offset;
            entry.standing_at_unix_ms = at_unix_ms;
        });
        Ok(())
    }

    /// Proceeds with a claimed stop; the caller has checked that the seats are clean.
    pub(crate) fn proceed(
        &mut self,
        name: &str,
        version: u64,
        at_unix_ms: UnixMs,
    ) -> Result<(), SmolStr> {
        self.check_version(name, version)?;
        match self
            .entries
            .get(name)
            .map(|entry| (entry.standing, &entry.stop))
        {
            Some((Standing::Draining, Some(PlannedStopReason::Maintenance))) => {}
            Some(_) | None => return Err(SmolStr::new_static("not_draining")),
        }
        self.update(name, |entry| {
            entry.standing = Standing::Stopped;
            entry.standing_at_unix_ms = at_unix_ms;
        });
        Ok(())
    }

    /// Cancels a claimed stop or release.
    pub(crate) fn cancel_stop(
        &mut self,
        name: &str,
        version: u64,
        at_unix_ms: UnixMs,
    ) -> Result<(), SmolStr> {
        self.check_version(name, version)?;
        match self.entries.get(name).map(|entry| entry.standing) {
            Some(Standing::Draining) => {}
            Some(_) | None => return Err(SmolStr::new_static("not_draining")),
        }
        self.update(name, |entry| {
            entry.standing = entry.standing_before_stop();
            entry.stop = None;
            entry.standing_at_unix_ms = at_unix_ms;
        });
        Ok(())
    }

    /// Assigns a released instance to its new pool; the caller has checked that the seats are
    /// clean.
    pub(crate) fn assign(
        &mut self,
        name: &str,
        version: u64,
        at_unix_ms: UnixMs,
    ) -> Result<(), SmolStr> {
        self.check_version(name, version)?;
        let to_pool = match self
            .entries
            .get(name)
            .map(|entry| (entry.standing, &entry.stop))
        {
            Some((Standing::Draining, Some(PlannedStopReason::Move(to_pool)))) => to_pool.clone(),
            Some(_) | None => return Err(SmolStr::new_static("not_released")),
        };
        self.update(name, |entry| {
            entry.row.pool = to_pool;
            entry.standing = entry.standing_before_stop();
            entry.stop = None;
            entry.standing_at_unix_ms = at_unix_ms;
        });
        Ok(())
    }

    /// Returns the offset at which all seats must be clean before the instance's stop can proceed.
    pub(crate) fn stop_offset(&self, name: &str) -> Option<Offset> {
        self.entries.get(name).map(|entry| entry.stop_offset)
    }

    fn record_release(&mut self, name: &str, to_pool: &PoolName, at_unix_ms: UnixMs) {
        self.releases_at_unix_ms.push_back(at_unix_ms);
        if self.releases_at_unix_ms.len() > RELEASES_MAX_COUNT {
            self.releases_at_unix_ms.pop_front();
        }
        if let Some(entry) = self.entries.get(name) {
            let from_pool = entry.row.pool.clone();
            self.moved_at_unix_ms.insert(from_pool, at_unix_ms);
        }
        self.moved_at_unix_ms.insert(to_pool.clone(), at_unix_ms);
    }

    fn check_version(&self, name: &str, version: u64) -> Result<(), SmolStr> {
        match self.entries.get(name) {
            Some(entry) if entry.version == version => Ok(()),
            Some(_) => Err(SmolStr::new_static("version_conflict")),
            None => Err(SmolStr::new_static("unknown_instance")),
        }
    }

    fn update(&mut self, name: &str, change: impl FnOnce(&mut InstanceEntry)) -> bool {
        let Some((index, _, entry)) = self.entries.get_full_mut(name) else {
            return false;
        };
        change(entry);
        entry.version += 1;
        self.update_counts(index);
        true
    }

    fn update_counts(&mut self, index: usize) {
        self.changes_count += 1;
        let Some((_, entry)) = self.entries.get_index(index) else {
            return;
        };
        let (pool, _) = self.pools.insert_full(entry.row.pool.clone());
        let (zone, _) = self.zones.insert_full(entry.row.zone.clone());
        // A rack's name may be unique only within its zone.
        let rack = format_smolstr!("{}/{}", entry.row.zone, entry.row.rack);
        let (rack, _) = self.racks.insert_full(rack);
        let member = Member {
            pool: PoolKey(pool as u16),
            zone: ZoneKey(zone as u16),
            rack: RackKey(rack as u32),
            standing: entry.standing,
        };
        self.counts.add(InstanceKey(index as u32), member);
    }
}

/// Returns the state of a new incarnation; it stays in the pool that the ledger assigned.
fn next_incarnation(old: InstanceEntry, row: &InstanceRow, at_unix_ms: UnixMs) -> InstanceEntry {
    let mut past_incarnations = old.past_incarnations;
    past_incarnations.push(old.row.incarnation);
    if past_incarnations.len() > PAST_INCARNATIONS_MAX_COUNT {
        past_incarnations.remove(0);
    }
    let was_maintained = old.standing == Standing::Stopped;
    InstanceEntry {
        row: InstanceRow {
            pool: old.row.pool,
            ..row.clone()
        },
        version: old.version + 1,
        standing: Standing::Serving,
        stop: None,
        stop_offset: old.stop_offset,
        was_doubtful: false,
        maintained_at_unix_ms: match was_maintained {
            true => at_unix_ms,
            false => old.maintained_at_unix_ms,
        },
        bad_at_unix_ms: old.bad_at_unix_ms,
        standing_at_unix_ms: at_unix_ms,
        past_incarnations,
    }
}
