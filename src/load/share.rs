//! The share experiment: the demand of each queue in turn exceeds the capacity of its pool. All
//! scheduling policies run on the same demand.

use indexmap::IndexMap;
use serde::Serialize;
use strum::IntoEnumIterator;

use crate::fleet::MonoMs;
use crate::load::demand::{arrivals, Pattern, QueueSpec, Stream};
use crate::load::measure::ShareDistance;
use crate::load::world::{run, SchedulingPolicy, WorldOutcome, WorldSpec};
use crate::policy::settings::QueueSettings;
use crate::policy::share::ShareSettings;

/// Settings of the share experiment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ShareConfig {
    /// Seed of the demand and of all random choices.
    pub seed: u64,
    /// Number of entries.
    pub entries_count: usize,
    /// Number of workers of each pool.
    pub workers_of_pools: Vec<u32>,
    /// Number of slots of a worker.
    pub slots_count: u32,
    /// Weight of each team.
    pub weights: Vec<u32>,
    /// Demand of a queue during its peak, as a multiple of the capacity of its pool.
    #[serde(rename = "turn_demand")]
    pub peak_demand: f64,
    /// Length of a peak.
    #[serde(rename = "turn_ms")]
    pub peak_ms: u64,
    /// Demand for urgent work in each pool, as a multiple of the capacity of the pool.
    pub urgent_demand: f64,
    /// Whether an entry notifies the next peer of a free slot that it does not use itself.
    #[serde(rename = "tells_free_slots")]
    pub has_free_slot_hints: bool,
    /// Interval of an entry's usage reports to its peers.
    pub gossip_period_ms: u64,
    /// Time at which one entry fails, if one does.
    pub lost_entry_at_ms: Option<MonoMs>,
    /// End of the experiment.
    pub duration_ms: MonoMs,
}

impl Default for ShareConfig {
    fn default() -> Self {
        Self {
            seed: 1,
            entries_count: 9,
            workers_of_pools: vec![8, 10, 12, 10],
            slots_count: 8,
            weights: vec![4, 2, 2, 1, 1, 1],
            peak_demand: 2.0,
            peak_ms: 6_000,
            urgent_demand: 0.05,
            has_free_slot_hints: true,
            gossip_period_ms: 100,
            lost_entry_at_ms: Some(100_000),
            duration_ms: 150_000,
        }
    }
}

/// Figures of one scheduling policy.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ShareRow {
    /// Scheduling policy.
    #[serde(rename = "way")]
    pub policy: SchedulingPolicy,
    /// Requests that arrived.
    pub arrived_count: u64,
    /// Requests answered before their deadline.
    pub on_time_count: u64,
    /// Distance from the ideal shares, for each length of window.
    pub distances: Vec<ShareDistance>,
    /// Part of the capacity that was idle while requests waited for it.
    pub idle_while_waiting_permille: f64,
    /// Median time from arrival to start of urgent work.
    pub urgent_start_p50_ms: u64,
    /// 99th percentile of the time from arrival to start of urgent work.
    pub urgent_start_p99_ms: u64,
    /// Urgent requests that started later than the target, or not at all.
    pub urgent_missed_permille: f64,
    /// Attempts that found the chosen worker without a free slot.
    pub worker_busy_count: u64,
    /// Notifications to peers about a free slot.
    pub hints_count: u64,
    /// Refusals by reason.
    pub refused: IndexMap<String, u64>,
    /// Capacity that ran requests of the wrong team, for each second.
    #[serde(skip)]
    pub misplaced_by_s: Vec<f64>,
}

/// Figures of all scheduling policies.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ShareReport {
    /// Settings of the experiment.
    pub config: ShareConfig,
    /// One row for each scheduling policy.
    pub rows: Vec<ShareRow>,
}

/// Time from arrival to deadline of ordinary work.
const DEADLINE_MS: u64 = 8_000;

/// Time from arrival to deadline of urgent work.
const URGENT_DEADLINE_MS: u64 = 4_000;

/// Median run time of a request.
const RUN_MS: u64 = 300;

/// Mean of the log-normal run times, divided by their median.
const RUN_MEAN_FACTOR: f64 = 1.133;

/// Demand of a queue over its mean during its peak.
const PEAK_FACTOR: f64 = 5.0;
/// Demand of a queue over its mean outside its peak.
const OFF_PEAK_FACTOR: f64 = 0.05;

/// Runs all scheduling policies on the same demand.
pub fn run_share_experiment(config: &ShareConfig) -> ShareReport {
    let (queues, streams) = deployment(config);
    let demand = arrivals(
        config.seed,
        config.duration_ms,
        config.entries_count,
        &queues,
        &streams,
    );
    let rows = SchedulingPolicy::iter()
        .map(|policy| share_row(policy, &run(&world(config, policy, &queues), &demand)))
        .collect();
    ShareReport {
        config: config.clone(),
        rows,
    }
}

/// Returns one ordinary and one urgent queue for each pool, and one queue open to all.
fn deployment(config: &ShareConfig) -> (Vec<QueueSpec>, Vec<Stream>) {
    let pools_count = config.workers_of_pools.len();
    let capacity_per_s = |pool: usize| {
        let slots = f64::from(config.workers_of_pools[pool] * config.slots_count);
        slots * 1_000.0 / (RUN_MS as f64 * RUN_MEAN_FACTOR)
    };
    let queue = |pool, is_open_to_all, is_urgent| QueueSpec {
        pool,
        is_open_to_all,
        is_urgent,
        deadline_ms: match is_urgent {
            true => URGENT_DEADLINE_MS,
            false => DEADLINE_MS,
        },
        run_ms: RUN_MS,
    };
    let mut queues = Vec::new();
    let mut streams = Vec::new();
    let teams_count = config.weights.len();
    for peak in 0..=pools_count {
        let pool = peak % pools_count;
        queues.push(queue(pool, peak == pools_count, false));
        streams.push(Stream {
            queue: peak,
            mean_per_s: capacity_per_s(pool) * config.peak_demand / PEAK_FACTOR,
            pattern: Pattern::DemandCycle {
                peak_ms: config.peak_ms,
                peaks_count: pools_count as u64 + 1,
                peak: peak as u64,
                high_factor: PEAK_FACTOR,
                low_factor: OFF_PEAK_FACTOR,
            },
            team_parts: team_parts(teams_count, peak),
        });
    }
    for pool in 0..pools_count {
        queues.push(queue(pool, false, true));
        streams.push(Stream {
            queue: queues.len() - 1,
            mean_per_s: capacity_per_s(pool) * config.urgent_demand,
            pattern: Pattern::Constant,
            team_parts: team_parts(teams_count, pool),
        });
    }
    (queues, streams)
}

/// Returns the parts of the teams in the demand of a queue. They differ from the weights of the
/// teams, and a different team has the largest part in each queue.
fn team_parts(teams_count: usize, shift: usize) -> Vec<f64> {
    (0..teams_count)
        .map(|team| 1.0 / ((team + shift) % teams_count + 1) as f64)
        .collect()
}

fn world(config: &ShareConfig, policy: SchedulingPolicy, queues: &[QueueSpec]) -> WorldSpec {
    WorldSpec {
        seed: config.seed,
        policy,
        entries_count: config.entries_count,
        workers_of_pools: config.workers_of_pools.clone(),
        slots_count: config.slots_count,
        queues: queues.to_vec(),
        weights: config.weights.clone(),
        queue: QueueSettings::default(),
        share: ShareSettings::default(),
        has_free_slot_hints: config.has_free_slot_hints,
        gossip_period_ms: config.gossip_period_ms,
        hop_ms: 1,
        returns_max_count: 0,
        lost_entry: config.lost_entry_at_ms.map(|at_ms| (LOST_ENTRY, at_ms)),
        failover_ms: FAILOVER_MS,
        bad_worker: None,
        duration_ms: config.duration_ms,
    }
}

/// Entry that fails; it owns some pools under the rendezvous hash.
const LOST_ENTRY: usize = 2;

/// Lease of the owner of a pool; after it expires, another entry becomes the owner.
const FAILOVER_MS: u64 = 3_000;

fn share_row(policy: SchedulingPolicy, outcome: &WorldOutcome) -> ShareRow {
    let urgent = &outcome.urgent_start_ms;
    let urgent_count = outcome.urgent_count.max(1) as f64;
    ShareRow {
        policy,
        arrived_count: outcome.arrived_count,
        on_time_count: outcome.on_time_count,
        distances: outcome.distances.clone(),
        idle_while_waiting_permille: outcome.idle_while_waiting_permille,
        urgent_start_p50_ms: urgent.value_at_quantile(0.5),
        urgent_start_p99_ms: urgent.value_at_quantile(0.99),
        urgent_missed_permille: outcome.urgent_missed_count as f64 / urgent_count * 1_000.0,
        worker_busy_count: outcome.retried.get("worker_busy").copied().unwrap_or(0),
        hints_count: outcome.hints_count,
        refused: outcome.refused.clone(),
        misplaced_by_s: outcome.misplaced_by_s.clone(),
    }
}

impl ShareReport {
    /// Returns the figures as a table of text.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{:<8} {:>8} {:>8} {:>9} {:>9} {:>9} {:>9} {:>7} {:>7} {:>7} {:>8} {:>7} {:>7}\n",
            "way",
            "arrived",
            "on_time",
            "max_1s",
            "mean_1s",
            "max_10s",
            "mean_10s",
            "idle",
            "urg_p50",
            "urg_p99",
            "urg_miss",
            "busy",
            "hints",
        );
        for row in &self.rows {
            text.push_str(&row.line());
        }
        text.push_str("distances, idle and urg_miss in permille; urg_p50 and urg_p99 in ms\n");
        text
    }
}

impl ShareRow {
    fn line(&self) -> String {
        let distance = |index: usize| self.distances.get(index).copied().unwrap_or_default();
        let (short, long) = (distance(0), distance(1));
        format!(
            "{:<8} {:>8} {:>8} {:>9.1} {:>9.1} {:>9.1} {:>9.1} {:>7.1} {:>7} {:>7} {:>8.1} {:>7} {:>7}\n",
            self.policy.to_string(),
            self.arrived_count,
            self.on_time_count,
            short.largest_permille,
            short.mean_misplaced_permille,
            long.largest_permille,
            long.mean_misplaced_permille,
            self.idle_while_waiting_permille,
            self.urgent_start_p50_ms,
            self.urgent_start_p99_ms,
            self.urgent_missed_permille,
            self.worker_busy_count,
            self.hints_count,
        )
    }
}
