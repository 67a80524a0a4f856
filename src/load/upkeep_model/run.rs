//! One run: in each step, the drivers act on the simulated fleet, until the scenario ends.

use super::baseline::follow_demand;
use super::demand::DemandModel;
use super::deployment::Deployment;
use super::figures::{figures, Figures};
use super::scenario::{FailureDomain, MovePolicy, RolloutPolicy, Scenario};
use super::world::{Record, World, EPOCH_MS};
use crate::upkeep::buffers::{plan_buffers, BufferPlan, BufferView};
use crate::upkeep::demand::{DemandSample, DemandWindow, PoolState};
use crate::upkeep::drive::driver;
use crate::upkeep::evidence::MoveEvidence;
use crate::upkeep::keys::{InstanceKey, PoolKey};
use crate::upkeep::maintenance::{next_step, StopObservation, StopStage, StopStep};
use crate::upkeep::moves::{decide_move, may_assign, MoveView};
use crate::upkeep::rollout::{assess, propose, Rollout, RolloutAction, RolloutPhase, RolloutView};

/// Number of simulated entries.
const ENTRIES_COUNT: usize = 8;

/// Time after which the seat of a lost entry expires, in milliseconds.
const SEAT_EXPIRY_MS: u64 = 15_000;

/// Interval of the decisions on moves, in milliseconds.
const MOVE_INTERVAL_MS: u64 = 10_000;

/// Drain time of the baseline that does not wait for running requests, in milliseconds.
const FIXED_DRAIN_MS: u64 = 30_000;

/// Expected time of a drain and a reboot, in milliseconds.
const MOVE_MS: u64 = 240_000;

/// Number of demand samples, of the last seconds, that the baseline averages.
const RECENT_SAMPLES_COUNT: usize = 10;

const HOUR_MS: u64 = 3_600_000;

/// State of a run.
pub(super) struct Run<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) world: World,
    pub(super) demand: DemandModel,
    pools: Vec<PoolState>,
    evidence: MoveEvidence,
    pub(super) buffers: BufferPlan,
    recent: Vec<Vec<u32>>,
    seats: Vec<(String, Option<u64>)>,
    pub(super) spare_instance_ms: u64,
    pub(super) driver_lost_at_ms: Option<u64>,
    pub(super) is_finished: bool,
    pub(super) bad_max_count: u32,
}

/// Runs `scenario` on `deployment`.
pub fn run(deployment: &Deployment, scenario: &Scenario, seed: u64) -> Figures {
    let samples_count = scenario.move_settings.samples_count as usize;
    let pools = deployment.pools.iter().map(|spec| PoolState {
        demand: DemandWindow::new(samples_count),
        is_spare: spec.is_spare,
        move_ms: MOVE_MS,
        moved_at_unix_ms: None,
        is_moving: false,
    });
    let mut run = Run {
        scenario,
        world: World::new(deployment, scenario, seed),
        demand: DemandModel::new(deployment, &scenario.shifts, seed),
        pools: pools.collect(),
        evidence: MoveEvidence::default(),
        buffers: BufferPlan::default(),
        recent: vec![Vec::new(); deployment.pools.len()],
        seats: (0..ENTRIES_COUNT)
            .map(|index| (format!("entry-{index}"), None))
            .collect(),
        spare_instance_ms: 0,
        driver_lost_at_ms: None,
        is_finished: false,
        bad_max_count: 0,
    };
    let steps_count = scenario.duration_ms / scenario.step_ms;
    for _ in 0..steps_count {
        run.step();
        if run.is_finished && !scenario.has_demand {
            break;
        }
    }
    figures(&run)
}

impl Run<'_> {
    /// Returns the time since the start of the run.
    pub(super) fn at_ms(&self) -> u64 {
        self.world.now_ms - EPOCH_MS
    }

    fn step(&mut self) {
        self.world.step(self.scenario.step_ms);
        self.apply_script();
        self.world.observe();
        self.serve();
        for _ in 0..self.scenario.drivers_count {
            self.drive_rollout();
        }
        if self.scenario.has_demand {
            self.observe_moves();
        }
        if self.at_ms() % MOVE_INTERVAL_MS < self.scenario.step_ms {
            self.drive_moves();
        }
        self.continue_moves();
    }

    fn apply_script(&mut self) {
        let at_ms = self.at_ms();
        let is_now = |time: u64| time <= at_ms && at_ms < time + self.scenario.step_ms;
        if self.scenario.rollout_at_ms.is_some_and(is_now) {
            self.world.rollout = Some(Rollout {
                started_at_unix_ms: self.world.now_ms,
                halted_at_unix_ms: None,
            });
        }
        if self.scenario.driver_lost_at_ms.is_some_and(is_now) {
            self.lose_driver();
        }
        if let Some(loss) = self.scenario.loss.filter(|loss| is_now(loss.at_ms)) {
            self.lose_domain(loss.domain);
        }
    }

    fn lose_domain(&mut self, domain: FailureDomain) {
        let members = self.world.counts.members();
        let lost = members.filter(|(_, member)| match domain {
            FailureDomain::Rack(rack) => member.rack == rack,
            FailureDomain::Zone(zone) => member.zone == zone,
        });
        let lost: Vec<InstanceKey> = lost.map(|(key, _)| key).collect();
        for key in lost {
            self.world.workers.fail(key.index(), self.world.now_ms);
        }
    }

    fn lose_driver(&mut self) {
        let now_ms = self.world.now_ms;
        let name = self.driver_name("rollout");
        if let Some(seat) = self
            .seats
            .iter_mut()
            .find(|(seat, _)| Some(seat) == name.as_ref())
        {
            seat.1 = Some(now_ms + SEAT_EXPIRY_MS);
            self.driver_lost_at_ms = Some(now_ms);
        }
    }

    fn driver_name(&self, task: &str) -> Option<String> {
        let now_ms = self.world.now_ms;
        let is_valid = |expires_at: &Option<u64>| expires_at.is_none_or(|at| now_ms < at);
        let seats = self
            .seats
            .iter()
            .filter(|(_, expires_at)| is_valid(expires_at));
        driver(seats.map(|(name, _)| name.as_str()), task).map(str::to_owned)
    }

    fn has_driver(&self, task: &str) -> bool {
        let name = self.driver_name(task);
        let mut seats = self.seats.iter();
        seats.any(|(seat, expires_at)| Some(seat) == name.as_ref() && expires_at.is_none())
    }

    fn serve(&mut self) {
        let available: Vec<u32> = (0..self.pools.len())
            .map(|pool| self.available_count(pool))
            .collect();
        for (state, available) in self.pools.iter().zip(&available) {
            if state.is_spare {
                self.spare_instance_ms += u64::from(*available) * self.scenario.step_ms;
            }
        }
        if !self.scenario.has_demand {
            return;
        }
        let at_ms = self.at_ms();
        self.demand.step(at_ms, self.scenario.step_ms, &available);
        for pool in 0..self.pools.len() {
            let milli = self.demand.demand_milli(pool);
            self.pools[pool].demand.push(DemandSample {
                busy_instances_milli: milli,
                waited_permille: self.demand.waited_permille(pool, at_ms),
            });
            let recent = &mut self.recent[pool];
            recent.push(milli);
            if recent.len() > RECENT_SAMPLES_COUNT {
                recent.remove(0);
            }
        }
    }

    fn available_count(&self, pool: usize) -> u32 {
        let counts = self.world.counts.pool(PoolKey(pool as u16));
        counts.map_or(0, |counts| counts.total.available_count)
    }

    fn drive_rollout(&mut self) {
        let Some(rollout) = self.world.rollout.filter(|_| self.has_driver("rollout")) else {
            return;
        };
        let is_under_pressure: Vec<bool> = (0..self.pools.len())
            .map(|pool| self.scenario.has_demand && self.demand.is_waiting(pool))
            .collect();
        let view = RolloutView {
            budget: self.world.budget_view(),
            maintenance: &self.world.upkeep,
            rollout,
            is_under_pressure: &is_under_pressure,
            now_unix_ms: self.world.now_ms,
        };
        let settings = &self.scenario.rollout_settings;
        let actions = propose(&view, settings, &self.scenario.weights);
        if actions.is_empty() && !self.is_finished {
            let status = assess(&view, settings);
            self.is_finished = status.phase == RolloutPhase::Finished;
            self.bad_max_count = self.bad_max_count.max(status.bad_count);
        }
        self.continue_stops();
        for action in self.filter_actions(actions) {
            self.world.append(match action {
                RolloutAction::Halt => Record::Halt,
                RolloutAction::MarkBad(key) => Record::MarkBad(key),
                RolloutAction::Claim(key) => Record::Claim(key),
            });
        }
    }

    /// Removes the claims that the policy under test would not make now.
    fn filter_actions(&self, mut actions: Vec<RolloutAction>) -> Vec<RolloutAction> {
        let is_claim = |action: &RolloutAction| matches!(action, RolloutAction::Claim(_));
        let is_idle = self.world.stopping().is_empty();
        match self.scenario.rollout_policy {
            RolloutPolicy::Budgets | RolloutPolicy::FixedDrain => {}
            RolloutPolicy::WholeWaves if is_idle => {}
            RolloutPolicy::OneByOne if is_idle => actions.truncate(1),
            RolloutPolicy::WholeWaves | RolloutPolicy::OneByOne => {
                actions.retain(|action| !is_claim(action));
            }
        }
        actions
    }

    /// Appends the next step of each planned stop for maintenance.
    fn continue_stops(&mut self) {
        for key in self.world.stopping() {
            let Some(claim) = self.world.upkeep[key.index()].claim else {
                continue;
            };
            let now_ms = self.world.now_ms;
            let seen = StopObservation {
                drain: self.world.drain_evidence(key),
                has_returned: self.world.workers.is_up(key.index()),
            };
            let timeout_ms = self.scenario.rollout_settings.return_timeout_ms;
            let is_fixed = self.scenario.rollout_policy == RolloutPolicy::FixedDrain;
            let step = match claim.stage {
                StopStage::Draining if is_fixed => {
                    match now_ms - claim.since_unix_ms >= FIXED_DRAIN_MS {
                        true => StopStep::Reboot,
                        false => StopStep::Wait,
                    }
                }
                _ => next_step(&claim, &seen, timeout_ms, now_ms),
            };
            match step {
                StopStep::Wait => {}
                StopStep::Reboot => self.world.append(Record::Rebooting(key)),
                StopStep::Return => self.world.append(Record::Returned(key)),
                StopStep::MarkBad => self.world.append(Record::MarkBad(key)),
            }
        }
    }

    /// Updates the evidence for moves, as every entry does continuously.
    fn observe_moves(&mut self) {
        for pool in 0..self.pools.len() {
            let key = PoolKey(pool as u16);
            let mut moves = self.world.moves.values();
            let state = &mut self.pools[pool];
            state.is_moving = moves.any(|move_| move_.from == key || move_.to == key);
            state.moved_at_unix_ms = self.world.moved_at_ms[pool];
        }
        let mut evidence = std::mem::take(&mut self.evidence);
        let settings = &self.scenario.move_settings;
        evidence.observe(&self.move_view(), settings, &self.scenario.weights);
        self.evidence = evidence;
    }

    fn move_view(&self) -> MoveView<'_> {
        let hour_ago_ms = self.world.now_ms.saturating_sub(HOUR_MS);
        let recent_moves = self.world.tally.moves_at_ms.iter().rev();
        let moves_last_hour_count = recent_moves.take_while(|at| **at > hour_ago_ms).count();
        MoveView {
            budget: self.world.budget_view(),
            pools: &self.pools,
            buffers: &self.buffers,
            moves_last_hour_count: moves_last_hour_count as u32,
            now_unix_ms: self.world.now_ms,
        }
    }

    fn drive_moves(&mut self) {
        self.buffers = self.plan();
        let view = self.move_view();
        let settings = &self.scenario.move_settings;
        let chosen = match self.scenario.move_policy {
            MovePolicy::Never => None,
            MovePolicy::FollowDemand => follow_demand(&view, &self.recent_means()),
            MovePolicy::Evidence => {
                decide_move(&view, &self.evidence, settings, &self.scenario.weights)
                    .ok()
                    .map(|proposal| (proposal.instance, proposal.to))
            }
        };
        if let Some((instance, to)) = chosen.filter(|_| self.has_driver("moves")) {
            self.world.append(Record::Release(instance, to));
        }
    }

    fn recent_means(&self) -> Vec<u32> {
        let mean = |samples: &Vec<u32>| match samples.len() as u32 {
            0 => 0,
            count => samples.iter().sum::<u32>() / count,
        };
        self.recent.iter().map(mean).collect()
    }

    /// Computes the buffer plan from the view of the driver of moves.
    fn plan(&self) -> BufferPlan {
        let view = BufferView {
            budget: self.world.budget_view(),
            pools: &self.pools,
        };
        plan_buffers(
            &view,
            self.scenario.survived_failure,
            &self.scenario.weights,
        )
    }

    fn continue_moves(&mut self) {
        let moves: Vec<_> = self
            .world
            .moves
            .iter()
            .map(|(key, in_progress)| (*key, *in_progress))
            .collect();
        for (key, in_progress) in moves {
            let evidence = self.world.drain_evidence(key);
            let is_released = may_assign(&evidence, self.world.now_ms);
            let is_up = self.world.workers.is_up(key.index());
            match in_progress.is_rebooting {
                false if is_released => self.world.append(Record::Rebooting(key)),
                true if is_up => {
                    self.evidence.record_move(in_progress.from, in_progress.to);
                    self.world.append(Record::Assigned(key));
                }
                _ => {}
            }
        }
    }
}
