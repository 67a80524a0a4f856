//! Counters and latency histograms of one node, in the OpenMetrics text format.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::Registry;

use crate::jobs::{AcknowledgementCounts, LossCounts, PlaceWaitCounts};
use crate::node::leader::to_f64;

/// Prefix of all metric names.
const PREFIX: &str = "hawthornladder_node";
/// Lowest bucket bound of the histograms, in milliseconds.
const BUCKET_FIRST_MS: f64 = 0.5;
/// Ratio of consecutive bucket bounds.
const BUCKET_FACTOR: f64 = 2.0;
/// Number of bucket bounds; the last one is 16 s.
const BUCKETS_COUNT: u16 = 16;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    call: &'static str,
    answer: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabels {
    kind: &'static str,
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct WaitLabels {
    event: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LossLabels {
    reason: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AcknowledgementLabels {
    outcome: &'static str,
}

/// The metrics of one node.
pub struct NodeMetrics {
    registry: Registry,
    calls: Family<CallLabels, Counter>,
    orders: Family<KindLabels, Counter>,
    store_calls: Family<KindLabels, Counter>,
    /// Jobs over the rate of their team that this node accepted as the leader.
    pub over_rate_jobs: Counter,
    place_waits: Family<WaitLabels, Counter>,
    crashed_workers: Counter,
    given_up_jobs: Counter,
    lost_runs: Family<LossLabels, Counter>,
    acknowledgements: Family<AcknowledgementLabels, Counter>,
    missing_ends: Counter,
    acknowledgement_deferral_ms: Histogram,
    /// Time from a caller's call to its answer, in milliseconds.
    pub call_ms: Histogram,
    /// Duration of a call to the store, without its wait, in milliseconds.
    pub store_ms: Histogram,
    /// Duration of an order to a worker or an instance, in milliseconds.
    pub order_ms: Histogram,
    /// Time by which a step of the engine came later than planned, in milliseconds.
    pub loop_delay_ms: Histogram,
    /// Calls of peers that this node answered as the leader.
    pub peer_calls: Counter,
    /// Fence under which this node leads; 0 if it does not lead.
    pub leading_fence: Gauge<u64, AtomicU64>,
    /// Jobs that have not ended; set on the leader.
    pub live_jobs_count: Gauge<u64, AtomicU64>,
    /// Jobs in memory, including ended ones whose state can still be queried; set on the leader.
    pub kept_jobs_count: Gauge<u64, AtomicU64>,
    /// Zones that operators have evacuated.
    pub zones_evacuated: Gauge<u64, AtomicU64>,
    /// Time since this node learned of the oldest evacuation in force, in milliseconds.
    pub evacuation_age_ms: Gauge<u64, AtomicU64>,
    /// Runs on workers of evacuated zones; set on the leader.
    pub evacuated_zone_runs: Gauge<u64, AtomicU64>,
    /// Runs on workers; set on the leader.
    pub runs_count: Gauge<u64, AtomicU64>,
    /// Time since the lists in force were confirmed to be the newest, in milliseconds.
    pub lists_age_ms: Gauge<u64, AtomicU64>,
    /// Version of the lists in force.
    pub lists_version: Gauge<u64, AtomicU64>,
}

fn histogram_ms() -> Histogram {
    Histogram::new(exponential_buckets(
        BUCKET_FIRST_MS,
        BUCKET_FACTOR,
        BUCKETS_COUNT,
    ))
}

impl NodeMetrics {
    /// Creates the metrics, all at 0.
    pub fn open() -> Self {
        let metrics = Self {
            registry: Registry::with_prefix(PREFIX),
            calls: Family::default(),
            orders: Family::default(),
            store_calls: Family::default(),
            over_rate_jobs: Counter::default(),
            place_waits: Family::default(),
            crashed_workers: Counter::default(),
            given_up_jobs: Counter::default(),
            lost_runs: Family::default(),
            acknowledgements: Family::default(),
            missing_ends: Counter::default(),
            acknowledgement_deferral_ms: histogram_ms(),
            call_ms: histogram_ms(),
            store_ms: histogram_ms(),
            order_ms: histogram_ms(),
            loop_delay_ms: histogram_ms(),
            peer_calls: Counter::default(),
            leading_fence: Gauge::default(),
            live_jobs_count: Gauge::default(),
            kept_jobs_count: Gauge::default(),
            runs_count: Gauge::default(),
            zones_evacuated: Gauge::default(),
            evacuation_age_ms: Gauge::default(),
            evacuated_zone_runs: Gauge::default(),
            lists_age_ms: Gauge::default(),
            lists_version: Gauge::default(),
        };
        metrics.registered()
    }

    fn registered(mut self) -> Self {
        let registry = &mut self.registry;
        registry.register("calls", "Calls by kind and answer.", self.calls.clone());
        registry.register(
            "orders",
            "Orders to workers and instances.",
            self.orders.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the store.",
            self.store_calls.clone(),
        );
        registry.register(
            "over_rate_jobs",
            "Accepted jobs over the rate of their team.",
            self.over_rate_jobs.clone(),
        );
        registry.register(
            "place_waits",
            "Waits of tasks for the rack of their data.",
            self.place_waits.clone(),
        );
        registry.register(
            "crashed_workers",
            "Workers that crashed, or may have, while they had runs.",
            self.crashed_workers.clone(),
        );
        registry.register(
            "given_up_jobs",
            "Jobs with a task that crashed its workers.",
            self.given_up_jobs.clone(),
        );
        registry.register(
            "lost_runs",
            "Runs that ended without a report.",
            self.lost_runs.clone(),
        );
        registry.register(
            "acknowledgements",
            "Polls with an acknowledgement of ended runs.",
            self.acknowledgements.clone(),
        );
        registry.register(
            "missing_ends",
            "Answers without ends that nobody has acknowledged here.",
            self.missing_ends.clone(),
        );
        registry.register(
            "acknowledgement_deferral_ms",
            "Time for which an acknowledgement was deferred.",
            self.acknowledgement_deferral_ms.clone(),
        );
        registry.register("call_ms", "Time to an answer.", self.call_ms.clone());
        registry.register("store_ms", "Time of a store call.", self.store_ms.clone());
        registry.register("order_ms", "Time of an order.", self.order_ms.clone());
        registry.register(
            "loop_delay_ms",
            "Delay of a step of the engine.",
            self.loop_delay_ms.clone(),
        );
        registry.register(
            "peer_calls",
            "Calls of peers to the leader.",
            self.peer_calls.clone(),
        );
        registry.register(
            "leading_fence",
            "Fence of the leader, here only.",
            self.leading_fence.clone(),
        );
        registry.register(
            "live_jobs_count",
            "Jobs not over.",
            self.live_jobs_count.clone(),
        );
        registry.register(
            "kept_jobs_count",
            "Jobs in memory.",
            self.kept_jobs_count.clone(),
        );
        registry.register("runs_count", "Runs at workers.", self.runs_count.clone());
        registry.register(
            "zones_evacuated",
            "Evacuated zones.",
            self.zones_evacuated.clone(),
        );
        registry.register(
            "evacuation_age_ms",
            "Age of the oldest evacuation.",
            self.evacuation_age_ms.clone(),
        );
        registry.register(
            "evacuated_zone_runs",
            "Runs in evacuated zones.",
            self.evacuated_zone_runs.clone(),
        );
        registry.register(
            "lists_age_ms",
            "Age of the lists.",
            self.lists_age_ms.clone(),
        );
        registry.register(
            "lists_version",
            "Version of the lists.",
            self.lists_version.clone(),
        );
        self
    }

    /// Counts a call and its answer.
    pub fn count_call(&self, call: &'static str, answer: &'static str) {
        self.calls.get_or_create(&CallLabels { call, answer }).inc();
    }

    /// Counts an order and its outcome.
    pub fn count_order(&self, kind: &'static str, outcome: &'static str) {
        self.orders
            .get_or_create(&KindLabels { kind, outcome })
            .inc();
    }

    /// Counts a call to the store and its outcome.
    pub fn count_store_call(&self, kind: &'static str, outcome: &'static str) {
        self.store_calls
            .get_or_create(&KindLabels { kind, outcome })
            .inc();
    }

    /// Adds to the counts of waits for racks.
    pub fn count_place_waits(&self, counts: &PlaceWaitCounts) {
        let events = [
            ("started", counts.started_count),
            ("won", counts.won_count),
            ("lost", counts.lost_count),
        ];
        for (event, count) in events {
            let counter = self.place_waits.get_or_create(&WaitLabels { event });
            counter.inc_by(count);
        }
    }

    /// Adds to the counts of crashed workers and lost runs.
    pub fn count_losses(&self, counts: &LossCounts) {
        self.crashed_workers.inc_by(counts.crashed_workers_count);
        self.given_up_jobs.inc_by(counts.given_up_jobs_count);
        for (reason, count) in &counts.lost_runs_counts {
            let reason = (*reason).into();
            let counter = self.lost_runs.get_or_create(&LossLabels { reason });
            counter.inc_by(*count);
        }
    }

    /// Adds to the counts of acknowledgements.
    pub fn count_acknowledgements(&self, counts: &AcknowledgementCounts) {
        for (outcome, count) in &counts.outcomes_counts {
            let outcome = (*outcome).into();
            let labels = AcknowledgementLabels { outcome };
            self.acknowledgements.get_or_create(&labels).inc_by(*count);
        }
        self.missing_ends.inc_by(counts.missing_ends_count);
        for deferral_ms in &counts.deferrals_ms {
            let deferral_ms = to_f64(*deferral_ms);
            self.acknowledgement_deferral_ms.observe(deferral_ms);
        }
    }

    /// Returns all metrics as text.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
