//! The maintenance experiments. Each runs candidates and baselines on the same scenarios and seed.

use serde::Serialize;

use super::deployment::Deployment;
use super::figures::Figures;
use super::run::run;
use super::scenario::{
    BadImage, BadImageKind, DemandShift, DomainLoss, FailureDomain, MovePolicy, RolloutPolicy,
    Scenario,
};
use crate::lists::MeasureWeights;
use crate::upkeep::budget::{rack_rule, RackRule};
use crate::upkeep::buffers::SurvivedFailure;
use crate::upkeep::keys::{RackKey, ZoneKey};
use crate::upkeep::rollout::RolloutSettings;

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;

/// Number of instances in the fleet expected in two years.
const LARGE_INSTANCES_COUNT: u32 = 14_000;

/// Failures of single instances: 200 of 14,000 on a normal day.
const FAILURES_PERMILLE_PER_DAY: u32 = 14;

/// Settings of a roll-out without a ramp.
const NO_RAMP: RolloutSettings = RolloutSettings {
    return_timeout_ms: 600_000,
    probation_ms: 60_000,
    window_ms: 1_200_000,
    bad_min_count: 2,
    bad_max_permille: 100,
    ramp_first_count: u32::MAX,
    ramp_factor: 1,
    claims_max_count: 64,
};

/// Ramps under test: name, instances that may be stopped or on probation at the start, and the
/// same per instance that returned healthy.
const RAMPS: &[(&str, u32, u32)] = &[
    ("ramp_1_2", 1, 2),
    ("ramp_1_4", 1, 4),
    ("ramp_2_4", 2, 4),
    ("ramp_4_4", 4, 4),
];

/// One run of an experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Fleet.
    pub deployment: &'static str,
    /// Name of the scenario.
    pub script: &'static str,
    /// Policy or setting under test.
    pub candidate: String,
    /// Results of the run.
    pub figures: Figures,
}

/// Roll-outs: healthy, with failures, with a bad image, with a lost driver, and with two drivers at
/// the same time.
pub fn rollouts(seed: u64, with_large: bool) -> Vec<Row> {
    let mut deployments = vec![Deployment::lahore(), Deployment::denmark()];
    if with_large {
        deployments.push(Deployment::large(LARGE_INSTANCES_COUNT));
    }
    let mut rows = Vec::new();
    for deployment in &deployments {
        for (script, scenario) in rollout_scripts(deployment) {
            for (candidate, scenario) in rollout_candidates(deployment, script, &scenario) {
                rows.push(Row {
                    deployment: deployment.name,
                    script,
                    candidate,
                    figures: run(deployment, &scenario, seed),
                });
            }
        }
    }
    rows
}

fn rollout_scripts(deployment: &Deployment) -> Vec<(&'static str, Scenario)> {
    let is_large = deployment.name == "large";
    let midway_ms = if is_large {
        3 * HOUR_MS / 2
    } else {
        15 * MINUTE_MS
    };
    let healthy = Scenario {
        duration_ms: 36 * HOUR_MS,
        step_ms: if is_large { 5000 } else { 1000 },
        rollout_at_ms: Some(MINUTE_MS),
        weights: deployment.weights,
        racks: rack_rule(&deployment.weights),
        ..Scenario::default()
    };
    let bad = |kind, from_ms, part_permille| Scenario {
        bad_image: Some(BadImage {
            from_ms: super::world::EPOCH_MS + from_ms,
            until_ms: super::world::EPOCH_MS + 2 * HOUR_MS,
            part_permille,
            kind,
        }),
        ..healthy.clone()
    };
    vec![
        ("healthy", healthy.clone()),
        (
            "failures",
            Scenario {
                failures_permille_per_day: FAILURES_PERMILLE_PER_DAY,
                ..healthy.clone()
            },
        ),
        (
            "rack_loss",
            Scenario {
                loss: Some(DomainLoss {
                    domain: FailureDomain::Rack(RackKey(6)),
                    at_ms: 15 * MINUTE_MS,
                }),
                ..healthy.clone()
            },
        ),
        ("bad_no_return", bad(BadImageKind::NoReturn, 0, 1000)),
        ("bad_on_trial", bad(BadImageKind::FailsOnProbation, 0, 1000)),
        (
            "bad_midway",
            bad(BadImageKind::FailsOnProbation, midway_ms, 1000),
        ),
        ("bad_part", bad(BadImageKind::FailsOnProbation, 0, 300)),
        (
            "driver_lost",
            Scenario {
                driver_lost_at_ms: Some(20 * MINUTE_MS),
                ..healthy.clone()
            },
        ),
        (
            "two_drivers",
            Scenario {
                drivers_count: 2,
                ..healthy
            },
        ),
    ]
}

fn rollout_candidates(
    deployment: &Deployment,
    script: &str,
    scenario: &Scenario,
) -> Vec<(String, Scenario)> {
    let is_large = deployment.name == "large";
    let with_policy = |rollout_policy, rollout_settings| Scenario {
        rollout_policy,
        rollout_settings,
        ..scenario.clone()
    };
    let ramp = RolloutSettings::default();
    let mut candidates = vec![
        ("budgets", with_policy(RolloutPolicy::Budgets, ramp)),
        (
            "budgets_no_ramp",
            with_policy(RolloutPolicy::Budgets, NO_RAMP),
        ),
    ];
    let with_racks = |racks| Scenario {
        racks,
        ..with_policy(RolloutPolicy::Budgets, ramp)
    };
    if script == "healthy" || script.starts_with("bad") {
        for (name, ramp_first_count, ramp_factor) in RAMPS {
            let settings = RolloutSettings {
                ramp_first_count: *ramp_first_count,
                ramp_factor: *ramp_factor,
                ..ramp
            };
            candidates.push((name, with_policy(RolloutPolicy::Budgets, settings)));
        }
    }
    if script == "healthy" || script == "rack_loss" {
        candidates.push(("one_rack", with_racks(RackRule::One)));
        candidates.push(("any_rack", with_racks(RackRule::Any)));
    }
    if script == "healthy" {
        candidates.push((
            "whole_waves",
            with_policy(RolloutPolicy::WholeWaves, NO_RAMP),
        ));
        candidates.push((
            "fixed_drain",
            with_policy(RolloutPolicy::FixedDrain, NO_RAMP),
        ));
    }
    if script == "healthy" && !is_large {
        candidates.push(("one_by_one", with_policy(RolloutPolicy::OneByOne, NO_RAMP)));
    }
    let named = candidates.into_iter();
    named
        .map(|(name, scenario)| (name.to_owned(), scenario))
        .collect()
}

/// Moves: cyclic demand, a long shift of demand and the loss of a rack.
pub fn moves(seed: u64, with_large: bool) -> Vec<Row> {
    let mut deployments = vec![Deployment::lahore(), Deployment::denmark()];
    if with_large {
        deployments.push(Deployment::large(LARGE_INSTANCES_COUNT));
    }
    let mut rows = Vec::new();
    for deployment in &deployments {
        for (script, scenario) in move_scripts(deployment) {
            for move_policy in [
                MovePolicy::Never,
                MovePolicy::FollowDemand,
                MovePolicy::Evidence,
            ] {
                let scenario = Scenario {
                    move_policy,
                    ..scenario.clone()
                };
                rows.push(Row {
                    deployment: deployment.name,
                    script,
                    candidate: move_policy.to_string(),
                    figures: run(deployment, &scenario, seed),
                });
            }
        }
    }
    rows
}

fn move_scripts(deployment: &Deployment) -> Vec<(&'static str, Scenario)> {
    let cyclic = Scenario {
        duration_ms: 6 * HOUR_MS,
        has_demand: true,
        failures_permille_per_day: FAILURES_PERMILLE_PER_DAY,
        weights: deployment.weights,
        racks: rack_rule(&deployment.weights),
        ..Scenario::default()
    };
    let shift = |pool, factor_permille| DemandShift {
        pool,
        from_ms: 2 * HOUR_MS,
        until_ms: 4 * HOUR_MS,
        factor_permille,
    };
    vec![
        ("turns", cyclic.clone()),
        (
            "shift",
            Scenario {
                shifts: vec![shift(0, 1800), shift(1, 500)],
                ..cyclic.clone()
            },
        ),
        (
            "rack_loss",
            Scenario {
                loss: Some(DomainLoss {
                    domain: FailureDomain::Rack(RackKey(0)),
                    at_ms: 2 * HOUR_MS,
                }),
                ..cyclic
            },
        ),
    ]
}

/// Buffers that cover the loss of a rack or of a zone, with and without such a loss.
pub fn buffers(seed: u64) -> Vec<Row> {
    let losses = [
        ("turns", None),
        ("rack_loss", Some(FailureDomain::Rack(RackKey(0)))),
        ("zone_loss", Some(FailureDomain::Zone(ZoneKey(0)))),
    ];
    let mut rows = Vec::new();
    for deployment in [Deployment::lahore(), Deployment::denmark()] {
        let (_, cyclic) = move_scripts(&deployment).swap_remove(0);
        for (script, domain) in losses {
            for survived_failure in [SurvivedFailure::Rack, SurvivedFailure::Zone] {
                let scenario = Scenario {
                    loss: domain.map(|domain| DomainLoss {
                        domain,
                        at_ms: 5 * HOUR_MS,
                    }),
                    move_policy: MovePolicy::Evidence,
                    survived_failure,
                    ..cyclic.clone()
                };
                rows.push(Row {
                    deployment: deployment.name,
                    script,
                    candidate: survived_failure.to_string(),
                    figures: run(&deployment, &scenario, seed),
                });
            }
        }
    }
    rows
}

/// Weights: the same scenario under equal weights and under the weights of each deployment.
pub fn weights(seed: u64) -> Vec<Row> {
    let (lahore, denmark) = (Deployment::lahore(), Deployment::denmark());
    let settings = [
        ("even", MeasureWeights::default()),
        ("lahore", lahore.weights),
        ("denmark", denmark.weights),
        (
            "buffer",
            MeasureWeights {
                buffer_cost: 100,
                ..MeasureWeights::default()
            },
        ),
    ];
    let mut rows = Vec::new();
    for deployment in [&lahore, &denmark] {
        let (_, shift) = move_scripts(deployment).swap_remove(1);
        for (name, weights) in settings {
            let scenario = Scenario {
                rollout_at_ms: Some(HOUR_MS),
                move_policy: MovePolicy::Evidence,
                weights,
                racks: rack_rule(&weights),
                ..shift.clone()
            };
            rows.push(Row {
                deployment: deployment.name,
                script: "shift_and_rollout",
                candidate: name.to_owned(),
                figures: run(deployment, &scenario, seed),
            });
        }
    }
    rows
}

/// Returns the rows as a table with one line per run and one column for each field in `columns`.
pub fn table(rows: &[Row], columns: &[&str]) -> String {
    let mut lines = vec![["deployment", "script", "candidate"]
        .iter()
        .chain(columns)
        .map(|name| (*name).to_owned())
        .collect::<Vec<String>>()];
    for row in rows {
        let figures = serde_json::to_value(row.figures).unwrap_or_default();
        let mut line = vec![
            row.deployment.to_owned(),
            row.script.to_owned(),
            row.candidate.clone(),
        ];
        line.extend(columns.iter().map(|column| cell(&figures[*column])));
        lines.push(line);
    }
    align(&lines)
}

fn cell(value: &serde_json::Value) -> String {
    match value.as_f64() {
        Some(number) if value.is_f64() => format!("{number:.1}"),
        _ => value.to_string(),
    }
}

fn align(lines: &[Vec<String>]) -> String {
    let width = |column: usize| lines.iter().map(|line| line[column].len()).max();
    let mut text = String::new();
    for line in lines {
        for (column, cell) in line.iter().enumerate() {
            text.push_str(&format!(
                "{cell:<width$}  ",
                width = width(column).unwrap_or_default()
            ));
        }
        text.truncate(text.trim_end().len());
        text.push('\n');
    }
    text
}
