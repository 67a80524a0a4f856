//! The overload experiment: goodput at loads from half to ten times the capacity of the pools, with
//! refused callers that retry when the refusal says so, a burst of demand, and a worker that fails
//! every request.

use indexmap::IndexMap;
use serde::Serialize;

use crate::load::demand::{arrivals, Pattern, QueueSpec, Stream};
use crate::load::world::{run, SchedulingPolicy, WorldOutcome, WorldSpec};
use crate::policy::settings::QueueSettings;
use crate::policy::share::ShareSettings;

/// Settings of the overload experiment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct OverloadConfig {
    /// Seed of the demand and of all random choices.
    pub seed: u64,
    /// Number of entries.
    pub entries_count: usize,
    /// Number of workers of the pool.
    pub workers_count: u32,
    /// Number of slots of a worker.
    pub slots_count: u32,
    /// Weight of each team.
    pub weights: Vec<u32>,
    /// Offered loads, as multiples of the capacity of the pool.
    pub loads: Vec<f64>,
    /// Time from a request's arrival to its deadline.
    pub deadline_ms: u64,
    /// How many times a refused caller retries.
    pub returns_max_count: u32,
    /// Length of each run.
    pub duration_ms: u64,
}

impl Default for OverloadConfig {
    fn default() -> Self {
        Self {
            seed: 1,
            entries_count: 9,
            workers_count: 10,
            slots_count: 8,
            weights: vec![4, 2, 2, 1, 1, 1],
            loads: vec![0.5, 0.8, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0],
            deadline_ms: 3_000,
            returns_max_count: 3,
            duration_ms: 40_000,
        }
    }
}

/// Course of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Scenario {
    /// Constant load.
    Constant,
    /// Five times the capacity of the pool for an eighth of the run, then a twentieth of that load.
    Burst,
    /// A load below the capacity; one worker fails every request after a quarter of the run.
    BadWorker,
}

/// Figures of one run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct OverloadRow {
    /// Course of the run.
    pub scenario: Scenario,
    /// Scheduling policy.
    #[serde(rename = "way")]
    pub policy: SchedulingPolicy,
    /// Offered load as a multiple of the capacity of the pool, without retries of refused callers.
    pub load: f64,
    /// Requests that arrived.
    pub arrived_count: u64,
    /// Requests answered before their deadline.
    pub on_time_count: u64,
    /// Requests answered before their deadline, in thousandths of the capacity.
    pub goodput_permille: f64,
    /// Requests answered after their deadline.
    pub late_count: u64,
    /// Requests whose caller retried after a refusal.
    pub returned_count: u64,
    /// Part of the retried requests that were answered before their deadline.
    pub returned_served_permille: f64,
    /// Largest number of retries within 100 ms, divided by the requests that the pool can start in
    /// that time.
    pub return_peak_factor: f64,
    /// Retries of refused callers in each tenth of a second.
    pub returns_by_100_ms: Vec<u64>,
    /// Refusals by reason.
    pub refused: IndexMap<String, u64>,
    /// Repeated attempts by reason.
    pub retried: IndexMap<String, u64>,
}

/// Figures of all runs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct OverloadReport {
    /// Settings of the experiment.
    pub config: OverloadConfig,
    /// One row for each scenario, load and scheduling policy.
    pub rows: Vec<OverloadRow>,
}

/// Median run time of a request.
const RUN_MS: u64 = 300;

/// Mean of the log-normal run times, divided by their median.
const RUN_MEAN_FACTOR: f64 = 1.133;

/// Scheduling policies under comparison: the baseline and the default.
const POLICIES: [SchedulingPolicy; 2] = [SchedulingPolicy::Fifo, SchedulingPolicy::Divided];

/// Load of the scenario with a failing worker.
const BAD_WORKER_LOAD: f64 = 0.7;

/// Number of equal periods of the burst scenario; the burst is the first.
const BURST_PERIODS_COUNT: u64 = 8;

/// Load during the burst.
const BURST_LOAD: f64 = 5.0;

/// Runs all scenarios, loads and scheduling policies.
pub fn run_overload_experiment(config: &OverloadConfig) -> OverloadReport {
    let constant = config.loads.iter().map(|load| (Scenario::Constant, *load));
    let others = [
        (Scenario::Burst, BURST_LOAD),
        (Scenario::BadWorker, BAD_WORKER_LOAD),
    ];
    let rows = constant
        .chain(others)
        .flat_map(|(scenario, load)| POLICIES.map(|policy| one_run(config, scenario, load, policy)))
        .collect();
    OverloadReport {
        config: config.clone(),
        rows,
    }
}

fn one_run(
    config: &OverloadConfig,
    scenario: Scenario,
    load: f64,
    policy: SchedulingPolicy,
) -> OverloadRow {
    let queues = [QueueSpec {
        pool: 0,
        is_open_to_all: false,
        is_urgent: false,
        deadline_ms: config.deadline_ms,
        run_ms: RUN_MS,
    }];
    let stream = Stream {
        queue: 0,
        mean_per_s: capacity_per_s(config) * load,
        pattern: pattern(config, scenario),
        team_parts: (1..=config.weights.len())
            .rev()
            .map(|rank| 1.0 / rank as f64)
            .collect(),
    };
    let entries_count = config.entries_count;
    let demand = arrivals(
        config.seed,
        config.duration_ms,
        entries_count,
        &queues,
        &[stream],
    );
    let outcome = run(&world(config, scenario, policy, &queues), &demand);
    overload_row(config, scenario, load, policy, &outcome)
}

fn capacity_per_s(config: &OverloadConfig) -> f64 {
    let slots = f64::from(config.workers_count * config.slots_count);
    slots * 1_000.0 / (RUN_MS as f64 * RUN_MEAN_FACTOR)
}

fn pattern(config: &OverloadConfig, scenario: Scenario) -> Pattern {
    match scenario {
        Scenario::Constant | Scenario::BadWorker => Pattern::Constant,
        Scenario::Burst => Pattern::DemandCycle {
            peak_ms: config.duration_ms / BURST_PERIODS_COUNT,
            peaks_count: BURST_PERIODS_COUNT,
            peak: 0,
            high_factor: 1.0,
            low_factor: 1.0 / 20.0,
        },
    }
}

fn world(
    config: &OverloadConfig,
    scenario: Scenario,
    policy: SchedulingPolicy,
    queues: &[QueueSpec],
) -> WorldSpec {
    WorldSpec {
        seed: config.seed,
        policy,
        entries_count: config.entries_count,
        workers_of_pools: vec![config.workers_count],
        slots_count: config.slots_count,
        queues: queues.to_vec(),
        weights: config.weights.clone(),
        queue: QueueSettings::default(),
        share: ShareSettings::default(),
        has_free_slot_hints: true,
        gossip_period_ms: 100,
        hop_ms: 1,
        returns_max_count: config.returns_max_count,
        lost_entry: None,
        failover_ms: 0,
        bad_worker: match scenario {
            Scenario::BadWorker => Some((0, config.duration_ms / 4)),
            _ => None,
        },
        duration_ms: config.duration_ms,
    }
}

fn overload_row(
    config: &OverloadConfig,
    scenario: Scenario,
    load: f64,
    policy: SchedulingPolicy,
    outcome: &WorldOutcome,
) -> OverloadRow {
    let capacity_requests = capacity_per_s(config) * config.duration_ms as f64 / 1_000.0;
    let returned = outcome.returned_count.max(1) as f64;
    let return_peak = outcome.returns_by_100_ms.iter().max().copied().unwrap_or(0);
    OverloadRow {
        scenario,
        policy,
        load,
        arrived_count: outcome.arrived_count,
        on_time_count: outcome.on_time_count,
        goodput_permille: outcome.on_time_count as f64 / capacity_requests * 1_000.0,
        late_count: outcome.late_count,
        returned_count: outcome.returned_count,
        returned_served_permille: outcome.returned_served_count as f64 / returned * 1_000.0,
        return_peak_factor: return_peak as f64 / (capacity_per_s(config) / 10.0),
        returns_by_100_ms: outcome.returns_by_100_ms.clone(),
        refused: outcome.refused.clone(),
        retried: outcome.retried.clone(),
    }
}

impl OverloadReport {
    /// Returns the lowest goodput at or above the load with the highest goodput, in thousandths of
    /// that highest goodput. Only runs with a constant load count.
    pub fn retained_goodput_permille(&self, policy: SchedulingPolicy) -> f64 {
        let goodput: Vec<f64> = self
            .rows
            .iter()
            .filter(|row| row.scenario == Scenario::Constant && row.policy == policy)
            .map(|row| row.goodput_permille)
            .collect();
        let peak = goodput.iter().copied().fold(0.0, f64::max);
        let after_peak = goodput.iter().skip_while(|value| **value < peak);
        after_peak.copied().fold(peak, f64::min) / peak.max(1.0) * 1_000.0
    }

    /// Returns the figures as a table of text.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{:<11} {:<8} {:>5} {:>8} {:>8} {:>8} {:>7} {:>9} {:>8} {:>6}  refused; retried\n",
            "scenario",
            "way",
            "load",
            "arrived",
            "on_time",
            "goodput",
            "late",
            "returned",
            "served",
            "peak",
        );
        for row in &self.rows {
            text.push_str(&row.line());
        }
        for policy in POLICIES {
            let retained_permille = self.retained_goodput_permille(policy);
            text.push_str(&format!(
                "goodput kept past the peak, {policy}: {retained_permille:.0} permille\n"
            ));
        }
        text.push_str("goodput: permille of capacity; served: permille of those that came back;\n");
        text.push_str("peak: most callers back within 100 ms over what the pool can start then\n");
        text
    }
}

impl OverloadRow {
    fn line(&self) -> String {
        let list = |counts: &IndexMap<String, u64>| {
            let items: Vec<String> = counts
                .iter()
                .map(|(reason, count)| format!("{reason}={count}"))
                .collect();
            items.join(" ")
        };
        format!(
            "{:<11} {:<8} {:>5} {:>8} {:>8} {:>8.0} {:>7} {:>9} {:>8.0} {:>6.1}  {}; {}\n",
            self.scenario.to_string(),
            self.policy.to_string(),
            self.load,
            self.arrived_count,
            self.on_time_count,
            self.goodput_permille,
            self.late_count,
            self.returned_count,
            self.returned_served_permille,
            self.return_peak_factor,
            list(&self.refused),
            list(&self.retried),
        )
    }
}
