//! Roll-outs: they finish, respect every budget, interrupt no request, halt when members go bad,
//! and continue after the loss of their driver.

use hawthornladder::fleet::Standing;
use hawthornladder::lists::MeasureWeights;
use hawthornladder::load::upkeep_model::deployment::Deployment;
use hawthornladder::load::upkeep_model::figures::Figures;
use hawthornladder::load::upkeep_model::run::run;
use hawthornladder::load::upkeep_model::scenario::{
    BadImage, BadImageKind, DomainLoss, FailureDomain, RolloutPolicy, Scenario,
};
use hawthornladder::load::upkeep_model::world::EPOCH_MS;
use hawthornladder::upkeep::budget::{check_stop, rack_rule, BudgetView, PoolBudget, RackRule};
use hawthornladder::upkeep::counts::FleetCounts;
use hawthornladder::upkeep::drain::DrainEvidence;
use hawthornladder::upkeep::drive::driver;
use hawthornladder::upkeep::keys::{InstanceKey, RackKey};
use hawthornladder::upkeep::maintenance::{
    next_step, InstanceMaintenance, StopClaim, StopObservation, StopStage, StopStep,
};
use hawthornladder::upkeep::rollout::{
    assess, propose, Rollout, RolloutAction, RolloutPhase, RolloutSettings, RolloutView,
};

const MINUTE_MS: u64 = 60_000;
const SEEDS: [u64; 3] = [1, 2, 3];

fn scenario(deployment: &Deployment) -> Scenario {
    Scenario {
        duration_ms: 36 * 60 * MINUTE_MS,
        rollout_at_ms: Some(MINUTE_MS),
        weights: deployment.weights,
        racks: rack_rule(&deployment.weights),
        ..Scenario::default()
    }
}

/// Runs the scenario modified by `change` on both deployments with each seed.
fn on_both(change: impl Fn(&mut Scenario), check: impl Fn(&Deployment, Figures)) {
    for deployment in [Deployment::lahore(), Deployment::denmark()] {
        for seed in SEEDS {
            let mut scenario = scenario(&deployment);
            change(&mut scenario);
            check(&deployment, run(&deployment, &scenario, seed));
        }
    }
}

fn instances_count(deployment: &Deployment) -> u64 {
    deployment.layout().members().count() as u64
}

#[test]
fn a_healthy_roll_out_stops_each_instance_once_and_interrupts_no_request() {
    on_both(
        |_| {},
        |deployment, figures| {
            assert!(figures.is_finished);
            assert_eq!(figures.stops_count, instances_count(deployment));
            assert_eq!((figures.cut_count, figures.breaches_count), (0, 0));
            assert_eq!(figures.over_budget_ms, 0);
            assert!(figures.rollout_ms >= figures.bound_ms);
        },
    );
}

#[test]
fn a_fixed_drain_time_interrupts_requests() {
    on_both(
        |scenario| scenario.rollout_policy = RolloutPolicy::FixedDrain,
        |_, figures| assert!(figures.cut_count > 0),
    );
}

#[test]
fn a_roll_out_finishes_while_instances_and_a_rack_fail() {
    let change = |scenario: &mut Scenario| {
        scenario.failures_permille_per_day = 2000;
        scenario.loss = Some(DomainLoss {
            domain: FailureDomain::Rack(RackKey(3)),
            at_ms: 10 * MINUTE_MS,
        });
    };
    on_both(change, |_, figures| {
        assert!(figures.is_finished);
        assert_eq!((figures.cut_count, figures.breaches_count), (0, 0));
    });
}

#[test]
fn a_bad_image_never_breaches_a_budget_and_the_roll_out_finishes_after_its_fix() {
    for kind in [BadImageKind::NoReturn, BadImageKind::FailsOnProbation] {
        for from_ms in [0, 15 * MINUTE_MS] {
            let change = |scenario: &mut Scenario| {
                scenario.bad_image = Some(BadImage {
                    from_ms: EPOCH_MS + from_ms,
                    until_ms: EPOCH_MS + 120 * MINUTE_MS,
                    part_permille: 1000,
                    kind,
                });
            };
            on_both(change, |deployment, figures| {
                assert!(figures.is_finished);
                assert!(figures.broken_count > 0);
                assert!(u64::from(figures.broken_count) < instances_count(deployment) / 2);
                assert_eq!((figures.over_budget_ms, figures.breaches_count), (0, 0));
            });
        }
    }
}

#[test]
fn another_entry_continues_after_the_loss_of_the_driver() {
    on_both(
        |scenario| scenario.driver_lost_at_ms = Some(10 * MINUTE_MS),
        |deployment, figures| {
            assert!(figures.is_finished);
            assert_eq!(figures.stops_count, instances_count(deployment));
            assert_eq!((figures.cut_count, figures.breaches_count), (0, 0));
        },
    );
}

#[test]
fn two_drivers_at_once_stop_each_instance_once() {
    on_both(
        |scenario| scenario.drivers_count = 2,
        |deployment, figures| {
            assert!(figures.is_finished && figures.refused_count > 0);
            assert_eq!(figures.stops_count, instances_count(deployment));
            assert_eq!((figures.cut_count, figures.breaches_count), (0, 0));
        },
    );
}

#[test]
fn only_the_tasks_of_a_lost_entry_go_to_others() {
    let seats = ["a", "b", "c", "d", "e"];
    let tasks: Vec<String> = (0..100).map(|index| format!("duty-{index}")).collect();
    let lost = "c";
    for task in &tasks {
        let before = driver(seats, task).unwrap();
        let after = driver(seats.into_iter().filter(|seat| *seat != lost), task).unwrap();
        assert!(before == lost || before == after);
    }
    assert!(tasks.iter().any(|task| driver(seats, task) == Some(lost)));
    assert_eq!(driver([], "duty"), None);
}

/// A fleet in a roll-out that started at time [`STARTED_MS`].
struct Fleet {
    counts: FleetCounts,
    budgets: Vec<PoolBudget>,
    maintenance: Vec<InstanceMaintenance>,
    now_ms: u64,
    is_under_pressure: Vec<bool>,
}

const STARTED_MS: u64 = 1000;
const UNLIMITED: RolloutSettings = RolloutSettings {
    return_timeout_ms: 600_000,
    probation_ms: 60_000,
    window_ms: 1_200_000,
    bad_min_count: 2,
    bad_max_permille: 100,
    ramp_first_count: 1000,
    ramp_factor: 1,
    claims_max_count: 1000,
};

impl Fleet {
    fn new() -> Self {
        let deployment = Deployment::lahore();
        let counts = deployment.layout();
        Self {
            maintenance: vec![InstanceMaintenance::default(); counts.members().count()],
            counts,
            budgets: deployment.budgets(RackRule::Any),
            now_ms: STARTED_MS,
            is_under_pressure: Vec::new(),
        }
    }

    fn view(&self) -> RolloutView<'_> {
        RolloutView {
            budget: BudgetView {
                counts: &self.counts,
                budgets: &self.budgets,
            },
            maintenance: &self.maintenance,
            rollout: Rollout {
                started_at_unix_ms: STARTED_MS,
                halted_at_unix_ms: None,
            },
            is_under_pressure: &self.is_under_pressure,
            now_unix_ms: self.now_ms,
        }
    }

    fn propose(&self, weights: &MeasureWeights) -> Vec<RolloutAction> {
        propose(&self.view(), &UNLIMITED, weights)
    }

    fn claims(&self, weights: &MeasureWeights) -> Vec<InstanceKey> {
        let actions = self.propose(weights).into_iter();
        let claims = actions.filter_map(|action| match action {
            RolloutAction::Claim(key) => Some(key),
            _ => None,
        });
        claims.collect()
    }

    fn turn_bad(&mut self, key: u32) {
        let maintenance = &mut self.maintenance[key as usize];
        maintenance.maintained_at_unix_ms = Some(self.now_ms);
        maintenance.availability_since_unix_ms = self.now_ms;
        self.counts.change(InstanceKey(key), Standing::Down);
    }
}

#[test]
fn a_wave_is_the_largest_set_that_the_budgets_allow_in_the_order_of_zones_and_racks() {
    let mut fleet = Fleet::new();
    let claims = fleet.claims(&MeasureWeights::default());
    let place = |key: &InstanceKey| {
        let member = fleet.counts.member(*key).unwrap();
        (member.zone, member.rack, *key)
    };
    assert!(claims.is_sorted_by_key(place));
    for key in &claims {
        assert_eq!(check_stop(&fleet.view().budget, *key), Ok(()));
        fleet.counts.change(*key, Standing::Draining);
    }
    let keys = fleet.counts.members().map(|(key, _)| key);
    let more = keys.filter(|key| check_stop(&fleet.view().budget, *key).is_ok());
    assert_eq!(more.count(), 0);
}

#[test]
fn a_roll_out_halts_on_bad_members_and_continues_once_they_are_healthy() {
    let mut fleet = Fleet::new();
    let weights = MeasureWeights::default();
    fleet.turn_bad(0);
    fleet.turn_bad(20);
    let marks = [0, 20].map(|key| RolloutAction::MarkBad(InstanceKey(key)));
    assert_eq!(
        fleet.propose(&weights),
        [marks[0], marks[1], RolloutAction::Halt]
    );
    for key in [0, 20] {
        fleet.maintenance[key].bad_at_unix_ms = Some(fleet.now_ms);
    }
    assert_eq!(fleet.propose(&weights), []);
    let phase = assess(&fleet.view(), &UNLIMITED).phase;
    assert_eq!(phase, RolloutPhase::Halted);
    for key in [0, 20] {
        fleet.counts.change(InstanceKey(key), Standing::Serving);
    }
    assert!(!fleet.claims(&weights).is_empty());
}

#[test]
fn instances_on_probation_count_against_the_budgets() {
    let mut fleet = Fleet::new();
    let weights = MeasureWeights::default();
    let first = fleet.claims(&weights);
    for key in &first {
        fleet.maintenance[key.index()].maintained_at_unix_ms = Some(fleet.now_ms);
    }
    assert_eq!(fleet.claims(&weights), []);
    fleet.now_ms += UNLIMITED.probation_ms;
    assert!(!fleet.claims(&weights).is_empty());
}

#[test]
fn the_weights_limit_a_roll_out_while_work_waits() {
    let mut fleet = Fleet::new();
    fleet.is_under_pressure = vec![true; fleet.budgets.len()];
    let weights = |roll_out_time, share_nearness| MeasureWeights {
        roll_out_time,
        share_nearness,
        ..MeasureWeights::default()
    };
    let count = |weights| fleet.claims(&weights).len();
    assert_eq!(count(weights(0, 1)), 0);
    assert!(count(weights(1, 5)) < count(weights(5, 1)));
}

fn observation(running_count: Option<u32>, has_returned: bool) -> StopObservation {
    StopObservation {
        drain: DrainEvidence {
            is_worker_refusing: true,
            running_count,
            task_leases_end_unix_ms: 5000,
            entries_unconfirmed_count: 1,
            seat_leases_end_unix_ms: 3000,
        },
        has_returned,
    }
}

#[test]
fn an_instance_reboots_only_after_its_drain() {
    let claim = StopClaim {
        stage: StopStage::Draining,
        since_unix_ms: 0,
    };
    let step =
        |running_count, now_ms| next_step(&claim, &observation(running_count, false), 100, now_ms);
    assert_eq!(step(Some(1), 1_000_000), StopStep::Wait);
    assert_eq!(step(Some(0), 1), StopStep::Reboot);
    assert_eq!(step(None, 4999), StopStep::Wait);
    assert_eq!(step(None, 5000), StopStep::Reboot);
    let evidence = observation(Some(0), false).drain;
    assert!(!evidence.is_released(2999));
    assert!(evidence.is_released(3000));
}

#[test]
fn an_instance_that_does_not_return_in_time_is_bad() {
    let claim = StopClaim {
        stage: StopStage::Rebooting,
        since_unix_ms: 0,
    };
    let step =
        |has_returned, now_ms| next_step(&claim, &observation(None, has_returned), 100, now_ms);
    assert_eq!(step(false, 100), StopStep::Wait);
    assert_eq!(step(false, 101), StopStep::MarkBad);
    assert_eq!(step(true, 101), StopStep::Return);
}
