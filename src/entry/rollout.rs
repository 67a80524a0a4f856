//! Roll-outs and moves proposed by the driving seat: prepares the inputs for the policies of
//! [`crate::upkeep`] and proposes their decisions as changes.

use std::collections::HashMap;

use indexmap::IndexMap;

use crate::{
    entry::{engine::Engine, gossip::PoolLoad},
    fleet::{MonoMs, PoolName, Standing},
    ledger::{InstanceEntry, PlannedStopReason, SeatChange},
    upkeep::{
        buffers::{plan_buffers, BufferPlan, BufferView, SurvivedFailure},
        demand::{DemandSample, DemandWindow, ObservedWork, PoolState},
        evidence::MoveEvidence,
        maintenance::{InstanceMaintenance, StopClaim, StopStage},
        moves::{decide_move, MoveView},
        rollout::{propose, Rollout, RolloutAction, RolloutView},
    },
};

/// Time between two decisions on roll-outs and moves, in milliseconds.
const DECIDE_EVERY_MS: u64 = 1_000;

/// Assumed duration of a move, in milliseconds.
const MOVE_ESTIMATE_MS: u64 = 10_000;

/// One hour, in milliseconds.
const HOUR_MS: u64 = 3_600_000;

/// Observations over time on which the driver bases its decisions.
#[derive(Clone, Debug, Default)]
pub(crate) struct Observed {
    decided_ms: MonoMs,
    sampled_ms: MonoMs,
    demand: HashMap<PoolName, DemandWindow>,
    evidence: MoveEvidence,
}

impl Engine {
    /// Decides on the next stops and moves, if a decision is due.
    pub(crate) fn poll_decisions(&mut self) {
        let now_ms = self.now.mono_ms;
        if now_ms < self.observed.decided_ms + DECIDE_EVERY_MS {
            return;
        }
        self.observed.decided_ms = now_ms;
        self.decide_stops();
        self.decide_move();
    }

    /// Samples the demand on every pool. Every seat does so, so that any of them can become the
    /// driver.
    pub(crate) fn sample_demand(&mut self) {
        let now_ms = self.now.mono_ms;
        let settings = self.settings.moves;
        if now_ms < self.observed.sampled_ms + settings.sample_interval_ms {
            return;
        }
        self.observed.sampled_ms = now_ms;
        let loads = self.fleet_loads();
        let pools: Vec<PoolName> = self.ledger.instances.pools().cloned().collect();
        for pool in pools {
            let load = loads.get(&pool).copied().unwrap_or_default();
            let work = ObservedWork {
                running_count: load.running_requests,
                waiting_count: load.waiting_requests,
                size_instance_permille: self.size_permille(&pool),
            };
            self.observed
                .demand
                .entry(pool)
                .or_insert_with(|| DemandWindow::new(settings.samples_count as usize))
                .push(DemandSample {
                    busy_instances_milli: work.busy_instances_milli(),
                    waited_permille: load.waited_permille,
                });
        }
        self.gather_evidence();
    }

    fn gather_evidence(&mut self) {
        let pools = self.pool_states();
        let buffers = self.buffers(&pools);
        let mut evidence = std::mem::take(&mut self.observed.evidence);
        let weights = self.ledger.lists.plans.measure_weights;
        let view = self.move_view(&pools, &buffers);
        evidence.observe(&view, &self.settings.moves, &weights);
        self.observed.evidence = evidence;
    }

    /// Adds an accepted move to the evidence for further moves.
    pub(crate) fn record_move(&mut self, name: &str, to_pool: &PoolName) {
        let instances = &self.ledger.instances;
        let from = instances
            .get(name)
            .and_then(|entry| instances.pool_key(&entry.row.pool));
        if let (Some(from), Some(to)) = (from, instances.pool_key(to_pool)) {
            self.observed.evidence.record_move(from, to);
        }
    }

    /// Returns the requests of all live seats by pool, as reported by their gossip.
    fn fleet_loads(&self) -> IndexMap<PoolName, PoolLoad> {
        let mut loads = self.pool_loads();
        let live = self
            .peers
            .iter()
            .filter(|(seat, _)| self.ledger.seats.live(seat).is_some());
        for (pool, load) in live.flat_map(|(_, hint)| &hint.gossip.pools) {
            let sum = loads.entry(pool.clone()).or_default();
            sum.running_requests += load.running_requests;
            sum.waiting_requests += load.waiting_requests;
            sum.waited_permille = sum.waited_permille.max(load.waited_permille);
        }
        loads
    }

    /// Returns the part of an instance of the pool that one request occupies, in thousandths.
    fn size_permille(&self, pool: &str) -> u32 {
        let mut entries = self.ledger.instances.iter();
        let slots_count = entries
            .find(|entry| entry.row.pool == pool)
            .map_or(1, |entry| entry.row.slots_count);
        1_000 / slots_count.max(1)
    }

    fn decide_stops(&mut self) {
        let now_unix_ms = self.now.unix_ms;
        let lists = self.ledger.lists.clone();
        let Some(due_before) = lists.entitlements.maintenance.due_before(now_unix_ms) else {
            return;
        };
        let maintenance: Vec<InstanceMaintenance> =
            self.ledger.instances.iter().map(maintenance_of).collect();
        let is_under_pressure = self.pools_under_pressure();
        let view = RolloutView {
            budget: self.ledger.instances.budget_view(),
            maintenance: &maintenance,
            rollout: Rollout {
                started_at_unix_ms: due_before,
                halted_at_unix_ms: self.ledger.instances.halted_at_unix_ms(),
            },
            is_under_pressure: &is_under_pressure,
            now_unix_ms,
        };
        let weights = lists.plans.measure_weights;
        for action in propose(&view, &self.settings.rollout, &weights) {
            self.apply_rollout_action(action);
        }
    }

    fn apply_rollout_action(&mut self, action: RolloutAction) {
        let (key, is_claim) = match action {
            RolloutAction::Halt => {
                log_event!(self, "roll_out_halted");
                self.propose(SeatChange::HaltRollout);
                return;
            }
            RolloutAction::MarkBad(key) => (key, false),
            RolloutAction::Claim(key) => (key, true),
        };
        let Some(entry) = self.ledger.instances.by_key(key) else {
            return;
        };
        let (row, version) = (entry.row.clone(), entry.version);
        let name = row.name.clone();
        let change = match is_claim {
            true => SeatChange::StopClaim {
                name,
                version,
                why: PlannedStopReason::Maintenance,
            },
            false => SeatChange::MarkBad { name, version },
        };
        self.propose_once(&row, change);
    }

    fn pools_under_pressure(&self) -> Vec<bool> {
        let loads = self.fleet_loads();
        let is_waiting = |pool: &PoolName| {
            let load = loads.get(pool);
            load.is_some_and(|load| load.waiting_requests > 0)
        };
        self.ledger.instances.pools().map(is_waiting).collect()
    }

    fn buffers(&self, pools: &[PoolState]) -> BufferPlan {
        let view = BufferView {
            budget: self.ledger.instances.budget_view(),
            pools,
        };
        let weights = self.ledger.lists.plans.measure_weights;
        plan_buffers(&view, SurvivedFailure::Rack, &weights)
    }

    fn move_view<'a>(&'a self, pools: &'a [PoolState], buffers: &'a BufferPlan) -> MoveView<'a> {
        let now_unix_ms = self.now.unix_ms;
        let instances = &self.ledger.instances;
        MoveView {
            budget: instances.budget_view(),
            pools,
            buffers,
            moves_last_hour_count: instances.moves_since_count(now_unix_ms.saturating_sub(HOUR_MS)),
            now_unix_ms,
        }
    }

    fn decide_move(&mut self) {
        let weights = self.ledger.lists.plans.measure_weights;
        let pools = self.pool_states();
        let buffers = self.buffers(&pools);
        let view = self.move_view(&pools, &buffers);
        let evidence = &self.observed.evidence;
        let Ok(proposal) = decide_move(&view, evidence, &self.settings.moves, &weights) else {
            return;
        };
        let instances = &self.ledger.instances;
        let entry = instances.by_key(proposal.instance);
        let to_pool = instances.pool_name(proposal.to);
        let (Some(entry), Some(to_pool)) = (entry, to_pool.cloned()) else {
            return;
        };
        let (row, version) = (entry.row.clone(), entry.version);
        log_event!(
            self,
            "move_proposed",
            instance = row.name,
            to_pool = to_pool,
            reason = proposal.reason,
            gain_ms = proposal.gain_ms
        );
        let change = SeatChange::PoolRelease {
            name: row.name.clone(),
            version,
            to_pool,
        };
        self.propose_once(&row, change);
    }

    fn pool_states(&self) -> Vec<PoolState> {
        let instances = &self.ledger.instances;
        let is_moving = |pool: &PoolName| {
            self.workers.stopping().any(|name| {
                let entry = instances.get(name);
                entry.is_some_and(|entry| match &entry.stop {
                    Some(PlannedStopReason::Move(to_pool)) => {
                        to_pool == pool || entry.row.pool == *pool
                    }
                    Some(PlannedStopReason::Maintenance) | None => false,
                })
            })
        };
        let pools = &self.ledger.lists.entitlements.pools;
        let is_spare =
            |name: &PoolName| pools.iter().any(|pool| pool.name == *name && pool.is_spare);
        instances
            .pools()
            .map(|pool| PoolState {
                demand: match self.observed.demand.get(pool) {
                    Some(history) => history.clone(),
                    None => DemandWindow::new(0),
                },
                is_spare: is_spare(pool),
                move_ms: MOVE_ESTIMATE_MS,
                moved_at_unix_ms: instances.moved_at_unix_ms(pool),
                is_moving: is_moving(pool),
            })
            .collect()
    }
}

fn maintenance_of(entry: &InstanceEntry) -> InstanceMaintenance {
    let is_maintenance = entry.stop == Some(PlannedStopReason::Maintenance);
    let stage = match entry.standing {
        Standing::Stopped => StopStage::Rebooting,
        _ => StopStage::Draining,
    };
    let nonzero = |at_unix_ms: u64| Some(at_unix_ms).filter(|at| *at > 0);
    InstanceMaintenance {
        maintained_at_unix_ms: nonzero(entry.maintained_at_unix_ms),
        bad_at_unix_ms: nonzero(entry.bad_at_unix_ms),
        claim: is_maintenance.then_some(StopClaim {
            stage,
            since_unix_ms: entry.standing_at_unix_ms,
        }),
        availability_since_unix_ms: entry.standing_at_unix_ms,
    }
}
