//! The metrics of one entry, in the Prometheus text format: counters of refusals, retries and
//! dropped answers by reason, gauges of the entry's state, and histograms of the latency that it
//! adds.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{exponential_buckets, Histogram};
use prometheus_client::registry::{Metric, Registry};
use strum::IntoEnumIterator;

use crate::entry::EntryStatus;
use crate::error::{ErrorKind, RetryReason};

/// Prefix of the names of all metrics.
const PREFIX: &str = "hawthornladder";
/// Lowest bucket bound of the histograms, in milliseconds.
const BUCKET_FIRST_MS: f64 = 0.125;
/// Ratio of each bucket bound to the previous one.
const BUCKET_FACTOR: f64 = 2.0;
/// Number of buckets of a histogram; the highest bound is 16 s.
const BUCKETS_COUNT: u16 = 18;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabel {
    kind: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

/// Reason for which an answer of a worker was dropped.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    strum::Display,
    strum::EnumIter,
    strum::EnumCount,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum DroppedAnswer {
    /// It arrived after its request was answered.
    Late,
    /// It belonged to another attempt.
    Crossed,
    /// It was a duplicate.
    Doubled,
    /// It was shorter than its declared length.
    Truncated,
    /// It was longer than the entry forwards.
    TooLong,
}

/// A gauge for non-negative integers.
pub type CountGauge = Gauge<u64, AtomicU64>;

/// The metrics of one entry. Gauges and histograms are updated through the fields.
pub struct Metrics {
    registry: Registry,
    refusals: Family<KindLabel, Counter>,
    retries: Family<ReasonLabel, Counter>,
    dropped_answers: Family<ReasonLabel, Counter>,
    /// Requests that were answered by a task.
    pub answered: Counter,
    /// Requests waiting at this entry.
    pub waiting_count: CountGauge,
    /// Requests running for this entry.
    pub running_count: CountGauge,
    /// Remaining time of the lease on this entry's seat, in milliseconds.
    pub seat_lease_left_ms: CountGauge,
    /// Next offset of the log that the entry will fold into its ledger.
    pub ledger_offset: CountGauge,
    /// Version of the lists in force.
    pub in_force_version: CountGauge,
    /// Open connections of callers.
    pub caller_connections_count: CountGauge,
    /// Time from the arrival of a call to its answer, without the run itself, in milliseconds.
    pub added_latency_ms: Histogram,
    /// Time from the arrival of a call to its start on a worker, in milliseconds.
    pub start_delay_ms: Histogram,
}

impl Metrics {
    /// Registers all metrics; every counter starts at 0.
    pub fn open() -> Self {
        let mut registry = Registry::with_prefix(PREFIX);
        let into = &mut registry;
        Self {
            refusals: add(
                into,
                "refusals",
                "Calls refused or failed.",
                refusals_by_kind(),
            ),
            retries: add(into, "retries", "Tries made again.", retries_by_reason()),
            dropped_answers: add(
                into,
                "dropped_answers",
                "Answers of workers dropped.",
                dropped_answers_by_reason(),
            ),
            answered: add(into, "answered", "Requests done.", Counter::default()),
            waiting_count: gauge(into, "waiting_count", "Requests waiting."),
            running_count: gauge(into, "running_count", "Requests running."),
            seat_lease_left_ms: gauge(into, "seat_lease_left_ms", "Lease left on the seat."),
            ledger_offset: gauge(into, "ledger_offset", "Offset folded up to."),
            in_force_version: gauge(into, "in_force_version", "Version of the lists in force."),
            caller_connections_count: gauge(
                into,
                "caller_connections_count",
                "Open connections of callers.",
            ),
            added_latency_ms: add(
                into,
                "added_latency_ms",
                "Time added to a run.",
                histogram_ms(),
            ),
            start_delay_ms: add(into, "start_delay_ms", "Time to start.", histogram_ms()),
            registry,
        }
    }

    /// Counts a refusal or failure.
    pub fn count_refusal(&self, kind: ErrorKind) {
        self.refusals
            .get_or_create(&KindLabel { kind: kind.name() })
            .inc();
    }

    /// Returns the number of counted refusals and failures of `kind`.
    pub fn refusals_count(&self, kind: ErrorKind) -> u64 {
        self.refusals
            .get_or_create(&KindLabel { kind: kind.name() })
            .get()
    }

    /// Counts a retry.
    pub fn count_retry(&self, reason: RetryReason) {
        self.retries.get_or_create(&reason_label(reason)).inc();
    }

    /// Returns the number of counted retries for `reason`.
    pub fn retries_count(&self, reason: RetryReason) -> u64 {
        self.retries.get_or_create(&reason_label(reason)).get()
    }

    /// Counts a dropped answer of a worker.
    pub fn count_dropped_answer(&self, reason: DroppedAnswer) {
        self.dropped_answers
            .get_or_create(&reason_label(reason))
            .inc();
    }

    /// Sets the gauges from `status`, and counts the retries made since the `previous` status.
    pub fn publish(&self, status: &EntryStatus, previous: &EntryStatus) {
        self.waiting_count.set(status.waiting_count);
        self.running_count.set(status.running_count);
        self.seat_lease_left_ms.set(status.lease_left_ms);
        self.ledger_offset.set(status.next_offset);
        self.in_force_version.set(status.lists_version);
        for (reason, count) in &status.retried {
            let counted = previous.retried.get(reason).copied().unwrap_or(0);
            if let Ok(reason) = reason.parse::<RetryReason>() {
                let retries = self.retries.get_or_create(&reason_label(reason));
                retries.inc_by(count.saturating_sub(counted));
            }
        }
    }

    /// Returns all metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a `String` does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

fn reason_label(reason: impl Into<&'static str>) -> ReasonLabel {
    ReasonLabel {
        reason: reason.into(),
    }
}

fn refusals_by_kind() -> Family<KindLabel, Counter> {
    let family = Family::default();
    for kind in ErrorKind::iter() {
        drop(family.get_or_create(&KindLabel { kind: kind.name() }));
    }
    family
}

fn retries_by_reason() -> Family<ReasonLabel, Counter> {
    let family = Family::default();
    for reason in RetryReason::iter() {
        drop(family.get_or_create(&reason_label(reason)));
    }
    family
}

fn dropped_answers_by_reason() -> Family<ReasonLabel, Counter> {
    let family = Family::default();
    for reason in DroppedAnswer::iter() {
        drop(family.get_or_create(&reason_label(reason)));
    }
    family
}

fn histogram_ms() -> Histogram {
    Histogram::new(exponential_buckets(
        BUCKET_FIRST_MS,
        BUCKET_FACTOR,
        BUCKETS_COUNT,
    ))
}

fn gauge(registry: &mut Registry, name: &str, help: &str) -> CountGauge {
    add(registry, name, help, CountGauge::default())
}

fn add<T: Metric + Clone>(registry: &mut Registry, name: &str, help: &str, metric: T) -> T {
    registry.register(name, help, metric.clone());
    metric
}
