//! The simulated fleet and its ledger. Appended records take effect at the next step, and are
//! checked then.

use std::collections::VecDeque;

use indexmap::IndexMap;

use super::deployment::Deployment;
use super::scenario::Scenario;
use super::workers::Workers;
use crate::fleet::Standing;
use crate::upkeep::budget::{allowed_count, can_release, check_stop, BudgetView, PoolBudget};
use crate::upkeep::counts::{is_planned_stop, FleetCounts, Member};
use crate::upkeep::drain::DrainEvidence;
use crate::upkeep::keys::{InstanceKey, PoolKey};
use crate::upkeep::maintenance::{InstanceMaintenance, StopClaim, StopStage};
use crate::upkeep::rollout::Rollout;

/// Time at which every run starts; not 0, so that no instance counts as maintained at time 0.
pub const EPOCH_MS: u64 = 1_000_000_000;

/// A record of the simulated log.
#[derive(Clone, Copy, Debug)]
pub enum Record {
    /// Claims a planned stop for maintenance.
    Claim(InstanceKey),
    /// Records that a reboot was ordered.
    Rebooting(InstanceKey),
    /// Records that the instance is available again.
    Returned(InstanceKey),
    /// Marks a member of a wave as bad.
    MarkBad(InstanceKey),
    /// Halts the roll-out.
    Halt,
    /// Releases an instance for a move to a pool.
    Release(InstanceKey, PoolKey),
    /// Assigns a released instance, which has drained and rebooted, to its new pool.
    Assigned(InstanceKey),
    /// Records that an instance failed or serves again.
    StandingChanged(InstanceKey, Standing),
}

/// A move in progress.
#[derive(Clone, Copy, Debug)]
pub struct MoveInProgress {
    /// Pool that releases the instance.
    pub from: PoolKey,
    /// Pool that receives the instance.
    pub to: PoolKey,
    /// Whether the reboot was ordered.
    pub is_rebooting: bool,
}

/// Counts and times of the changes of the ledger.
#[derive(Clone, Debug, Default)]
pub struct LedgerTally {
    /// Times at which planned stops took effect.
    pub stops_at_ms: Vec<u64>,
    /// Number of claims and releases that were refused.
    pub refused_count: u32,
    /// Number of accepted stops after which a recount found a breached budget.
    pub breaches_count: u32,
    /// Time that pools exceeded their budgets, failures included, summed over the pools.
    pub over_budget_ms: u64,
    /// Number of requests that reboots interrupted.
    pub cut_count: u32,
    /// Times at which moves ended.
    pub moves_at_ms: Vec<u64>,
    /// Drain and reboot time of each returned instance.
    pub cycles: Vec<(Member, u64)>,
}

/// The simulated fleet with its ledger.
pub struct World {
    /// Virtual time.
    pub now_ms: u64,
    /// Instances by pool, zone and standing.
    pub counts: FleetCounts,
    /// Budgets, indexed by pool.
    pub budgets: Vec<PoolBudget>,
    /// Maintenance state of each instance.
    pub upkeep: Vec<InstanceMaintenance>,
    /// Roll-out, once it has started.
    pub rollout: Option<Rollout>,
    /// Moves in progress.
    pub moves: IndexMap<InstanceKey, MoveInProgress>,
    /// Time of the last move of each pool.
    pub moved_at_ms: Vec<Option<u64>>,
    /// Counts and times of the changes so far.
    pub tally: LedgerTally,
    pub(super) workers: Workers,
    log: VecDeque<Record>,
    claimed_at_ms: Vec<u64>,
}

impl World {
    /// Returns a fleet in which all instances serve.
    pub fn new(deployment: &Deployment, scenario: &Scenario, seed: u64) -> Self {
        let counts = deployment.layout();
        let count = counts.members().count();
        Self {
            now_ms: EPOCH_MS,
            budgets: deployment.budgets(scenario.racks),
            upkeep: vec![InstanceMaintenance::default(); count],
            rollout: None,
            moves: IndexMap::new(),
            moved_at_ms: vec![None; deployment.pools.len()],
            tally: LedgerTally::default(),
            workers: Workers::new(
                count,
                seed,
                scenario.bad_image,
                scenario.failures_permille_per_day,
            ),
            log: VecDeque::new(),
            claimed_at_ms: vec![0; count],
            counts,
        }
    }

    /// Returns the state that budgets are checked against.
    pub fn budget_view(&self) -> BudgetView<'_> {
        BudgetView {
            counts: &self.counts,
            budgets: &self.budgets,
        }
    }

    /// Appends a record; it takes effect at the next step.
    pub fn append(&mut self, record: Record) {
        self.log.push_back(record);
    }

    /// Advances the fleet by one step and applies the appended records.
    pub fn step(&mut self, step_ms: u64) {
        self.now_ms += step_ms;
        self.workers.step(self.now_ms, step_ms);
        for record in std::mem::take(&mut self.log) {
            self.apply(record);
        }
        let over_count = (0u16..)
            .zip(&self.budgets)
            .filter(|(pool, budget)| self.is_pool_over(PoolKey(*pool), budget))
            .count();
        self.tally.over_budget_ms += over_count as u64 * step_ms;
    }

    fn is_pool_over(&self, pool: PoolKey, budget: &PoolBudget) -> bool {
        let permille = budget.availability.pool_unavailable_max_permille;
        self.counts.pool(pool).is_some_and(|counts| {
            let total = counts.total;
            total.unavailable_count() > allowed_count(total.members_count, permille)
        })
    }

    /// Appends the changes that the entries' health checks detect.
    pub fn observe(&mut self) {
        let seen: Vec<Record> = self
            .counts
            .members()
            .filter(|(key, _)| !self.moves.contains_key(key))
            .filter(|(key, _)| self.upkeep[key.index()].claim.is_none())
            .filter_map(|(key, member)| {
                let is_up = self.workers.is_up(key.index());
                match member.standing {
                    Standing::Serving if !is_up => {
                        Some(Record::StandingChanged(key, Standing::Down))
                    }
                    Standing::Down if is_up => {
                        Some(Record::StandingChanged(key, Standing::Serving))
                    }
                    _ => None,
                }
            })
            .collect();
        self.log.extend(seen);
    }

    /// Returns the evidence that a drain has ended.
    pub fn drain_evidence(&self, key: InstanceKey) -> DrainEvidence {
        DrainEvidence {
            is_worker_refusing: true,
            running_count: Some(self.workers.running_count(key.index(), self.now_ms)),
            task_leases_end_unix_ms: u64::MAX,
            entries_unconfirmed_count: 0,
            seat_leases_end_unix_ms: u64::MAX,
        }
    }

    fn apply(&mut self, record: Record) {
        match record {
            Record::Claim(key) => self.claim(key),
            Record::Rebooting(key) => self.reboot(key),
            Record::Returned(key) => self.returned(key),
            Record::MarkBad(key) => self.mark_bad(key),
            Record::Halt => {
                if let Some(rollout) = &mut self.rollout {
                    rollout.halted_at_unix_ms = Some(self.now_ms);
                }
            }
            Record::Release(key, to) => self.release(key, to),
            Record::Assigned(key) => self.assigned(key),
            Record::StandingChanged(key, standing) => {
                let is_reserved = self.moves.contains_key(&key) || self.claim_of(key).is_some();
                if !is_reserved {
                    self.set_standing(key, standing);
                }
            }
        }
    }

    fn claim_of(&self, key: InstanceKey) -> Option<StopClaim> {
        self.upkeep[key.index()].claim
    }

    fn claim(&mut self, key: InstanceKey) {
        if check_stop(&self.budget_view(), key).is_err() {
            self.tally.refused_count += 1;
            return;
        }
        self.begin_stop(key);
        self.claimed_at_ms[key.index()] = self.now_ms;
        self.tally.stops_at_ms.push(self.now_ms);
        self.set_stage(key, StopStage::Draining);
    }

    fn begin_stop(&mut self, key: InstanceKey) {
        self.set_standing(key, Standing::Draining);
        self.workers.begin_drain(key.index(), self.now_ms);
        if let Some(member) = self.counts.member(key) {
            self.tally.breaches_count += u32::from(self.is_breached(member));
        }
    }

    fn set_stage(&mut self, key: InstanceKey, stage: StopStage) {
        self.upkeep[key.index()].claim = Some(StopClaim {
            stage,
            since_unix_ms: self.now_ms,
        });
    }

    fn set_standing(&mut self, key: InstanceKey, standing: Standing) {
        let was_available = self
            .counts
            .member(key)
            .is_some_and(|member| member.standing.is_available());
        if was_available != standing.is_available() {
            self.upkeep[key.index()].availability_since_unix_ms = self.now_ms;
        }
        self.counts.change(key, standing);
    }

    /// Returns whether a stop breached a budget, by a recount over the whole fleet.
    fn is_breached(&self, stopped: Member) -> bool {
        let budget = self.budgets[stopped.pool.index()];
        let in_pool = |member: &Member| member.pool == stopped.pool;
        let in_zone = |member: &Member| in_pool(member) && member.zone == stopped.zone;
        let is_over = |of: &dyn Fn(&Member) -> bool, permille: u32| {
            let members = || self.counts.members().map(|(_, member)| member).filter(of);
            let unavailable = members().filter(|member| !member.standing.is_available());
            unavailable.count() > allowed_count(members().count() as u32, permille) as usize
        };
        is_over(&in_pool, budget.availability.pool_unavailable_max_permille)
            || is_over(&in_zone, budget.availability.zone_unavailable_max_permille)
    }

    fn reboot(&mut self, key: InstanceKey) {
        match (self.claim_of(key), self.moves.get_mut(&key)) {
            (Some(claim), _) if claim.stage == StopStage::Draining => {
                self.set_stage(key, StopStage::Rebooting);
            }
            (_, Some(in_progress)) if !in_progress.is_rebooting => in_progress.is_rebooting = true,
            _ => return,
        }
        self.set_standing(key, Standing::Stopped);
        self.tally.cut_count += self.workers.reboot(key.index(), self.now_ms);
    }

    fn returned(&mut self, key: InstanceKey) {
        match (self.claim_of(key), self.counts.member(key)) {
            (Some(claim), Some(member)) if claim.stage == StopStage::Rebooting => {
                let cycle_ms = self.now_ms - self.claimed_at_ms[key.index()];
                self.tally.cycles.push((member, cycle_ms));
                self.upkeep[key.index()].claim = None;
                self.upkeep[key.index()].maintained_at_unix_ms = Some(self.now_ms);
                self.set_standing(key, Standing::Serving);
            }
            _ => {}
        }
    }

    fn mark_bad(&mut self, key: InstanceKey) {
        self.upkeep[key.index()].claim = None;
        self.upkeep[key.index()].bad_at_unix_ms = Some(self.now_ms);
        self.set_standing(key, Standing::Down);
    }

    fn release(&mut self, key: InstanceKey, to: PoolKey) {
        let is_free = can_release(&self.budget_view(), key).is_ok();
        match self.counts.member(key) {
            Some(member) if is_free => {
                self.begin_stop(key);
                let in_progress = MoveInProgress {
                    from: member.pool,
                    to,
                    is_rebooting: false,
                };
                self.moves.insert(key, in_progress);
            }
            _ => self.tally.refused_count += 1,
        }
    }

    fn assigned(&mut self, key: InstanceKey) {
        if let Some(in_progress) = self.moves.swap_remove(&key) {
            self.counts.assign(key, in_progress.to, Standing::Stopped);
            self.set_standing(key, Standing::Serving);
            self.moved_at_ms[in_progress.from.index()] = Some(self.now_ms);
            self.moved_at_ms[in_progress.to.index()] = Some(self.now_ms);
            self.tally.moves_at_ms.push(self.now_ms);
        }
    }

    /// Returns the instances with a planned stop in progress.
    pub fn stopping(&self) -> Vec<InstanceKey> {
        self.counts
            .members()
            .filter(|(_, member)| is_planned_stop(member.standing))
            .map(|(key, _)| key)
            .collect()
    }
}
