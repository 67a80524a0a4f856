//! The result of a load test: requests on time, refused, retried and lost, latencies, resource
//! usage of the entries, and the guarantee check.

use std::collections::HashMap;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;
use smol_str::{format_smolstr, SmolStr};

use super::guarantees::GuaranteeReport;
use super::outcome::{End, Outcome};
use super::process::Usage;
use super::schedule::ScheduledRequest;
use crate::stand_in::journal::{Ending, Run};

/// Largest value of the histograms, in microseconds.
const TIME_MAX_US: u64 = 3_600_000_000;
/// Significant digits of the histograms.
const DIGITS: u8 = 3;
const PERMILLE: u64 = 1_000;
const US_PER_S: u64 = 1_000_000;

/// Summary of a distribution of durations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DurationSummary {
    /// Number of values.
    pub count: u64,
    /// Median, in microseconds.
    pub p50_us: u64,
    /// 90th percentile, in microseconds.
    pub p90_us: u64,
    /// 99th percentile, in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile, in microseconds.
    pub p999_us: u64,
    /// Maximum, in microseconds.
    pub max_us: u64,
}

impl DurationSummary {
    fn of(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile);
        Self {
            count: histogram.len(),
            p50_us: at(0.5),
            p90_us: at(0.9),
            p99_us: at(0.99),
            p999_us: at(0.999),
            max_us: histogram.max(),
        }
    }
}

/// Figures of a group of requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Group {
    /// Scheduled requests.
    pub requests_count: u64,
    /// Requests with an answer of their task.
    pub done_count: u64,
    /// Requests with an answer of their task before their deadline.
    pub on_time_count: u64,
    /// Requests that no entry could answer on time: cancelled by their caller, refused for a
    /// withdrawn key, or not idempotent and interrupted by a fault of their worker.
    pub not_servable_count: u64,
    /// Part of the servable requests that were on time, in thousandths.
    pub on_time_permille: u64,
    /// Time from when a request was due to its answer, for answered requests.
    pub latency: DurationSummary,
    /// Time from when a request was due to its first start at a worker.
    pub start_delay: DurationSummary,
}

/// Figures of one pass through the schedule, by the entries or directly to the workers.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// All requests.
    pub total: Group,
    /// Requests by queue and team, and by mode (idempotent, not idempotent, for later).
    pub groups: IndexMap<SmolStr, Group>,
    /// Number of requests by their end.
    pub ends: IndexMap<SmolStr, u64>,
    /// Number of retries by the refusal or loss before them.
    pub retried_after: IndexMap<SmolStr, u64>,
    /// Number of servable requests that were not on time, by the second in which they were due and
    /// by queue, mode, end and entry.
    pub missed_by_s: IndexMap<u64, IndexMap<SmolStr, u64>>,
    /// Latencies in microseconds, for the plot.
    #[serde(skip)]
    pub latency: Option<Histogram<u64>>,
}

/// Resource usage of an entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EntryUsage {
    /// Usage at the end of the load test.
    pub usage: Usage,
    /// Processor time during the load test, in thousandths of a core.
    pub cpu_permille: u64,
}

/// Result of a load test.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Seed of the schedule.
    pub seed: u64,
    /// Length of the schedule, in milliseconds.
    pub duration_ms: u64,
    /// Figures of the requests through the entries.
    pub entries: Figures,
    /// Figures of the same requests sent directly to the workers.
    pub direct: Option<Figures>,
    /// Median latency through the entries minus that of the baseline, in microseconds.
    pub added_p50_us: Option<i64>,
    /// 99th percentile of the latency through the entries minus that of the baseline, in
    /// microseconds.
    pub added_p99_us: Option<i64>,
    /// Resource usage of each entry.
    pub usage: Vec<EntryUsage>,
    /// Appends to the log during the load test.
    pub appends_count: u64,
    /// Bytes appended to the log during the load test.
    pub appended_bytes: u64,
    /// Result of the guarantee check.
    #[serde(rename = "accounts")]
    pub guarantees: GuaranteeReport,
    /// Runs that the journals dropped because they were full. The guarantee check is complete only
    /// if this is 0.
    pub journal_dropped_count: u64,
    /// Steps of the fault script that were carried out, each with its time.
    pub faults: Vec<SmolStr>,
    /// Steps of the fault script that failed.
    pub faults_failed: Vec<SmolStr>,
}

struct Tally {
    group: Group,
    latency: Histogram<u64>,
    start_delay: Histogram<u64>,
}

impl Tally {
    fn new() -> Self {
        Self {
            group: Group::default(),
            latency: histogram(),
            start_delay: histogram(),
        }
    }

    fn add(&mut self, scheduled: &ScheduledRequest, outcome: &Outcome, runs: &[&Run]) {
        let group = &mut self.group;
        group.requests_count += 1;
        let is_on_time = outcome.is_on_time(scheduled.deadline_ms);
        group.on_time_count += u64::from(is_on_time);
        group.not_servable_count +=
            u64::from(!is_on_time && !is_servable(scheduled, outcome, runs));
        if outcome.end == End::Done {
            group.done_count += 1;
            self.latency.saturating_record(outcome.latency_us.max(1));
        }
        if let Some(started) = runs.iter().map(|run| run.started_unix_us).min() {
            let delay_us = started.saturating_sub(outcome.sent_unix_us);
            self.start_delay.saturating_record(delay_us.max(1));
        }
    }

    fn finish(&self) -> Group {
        let group = self.group.clone();
        let servable_count = group.requests_count - group.not_servable_count;
        Group {
            on_time_permille: (group.on_time_count * PERMILLE)
                .checked_div(servable_count)
                .unwrap_or(PERMILLE),
            latency: DurationSummary::of(&self.latency),
            start_delay: DurationSummary::of(&self.start_delay),
            ..group
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, TIME_MAX_US, DIGITS).expect("the bounds are valid constants")
}

fn is_servable(scheduled: &ScheduledRequest, outcome: &Outcome, runs: &[&Run]) -> bool {
    let is_cut = runs
        .iter()
        .any(|run| matches!(run.ending, Some(Ending::Killed | Ending::Failed)));
    match outcome.end.name() {
        "key_withdrawn" => false,
        _ if outcome.is_cancelled => false,
        _ => scheduled.is_idempotent || !is_cut,
    }
}

impl Figures {
    /// Returns the figures of one pass; `runs` are the runs in the workers' journals.
    pub fn of(requests: &[ScheduledRequest], outcomes: &[Outcome], runs: &[Run]) -> Self {
        let mut runs_of: HashMap<&str, Vec<&Run>> = HashMap::new();
        for run in runs {
            runs_of.entry(&run.request_id).or_default().push(run);
        }
        let mut total = Tally::new();
        let mut groups: IndexMap<SmolStr, Tally> = IndexMap::new();
        let mut figures = Self::default();
        for outcome in outcomes {
            let Some(scheduled) = requests.get(outcome.schedule_index) else {
                continue;
            };
            let runs = runs_of.get(outcome.request_id.as_str());
            let runs = runs.map_or(&[][..], Vec::as_slice);
            total.add(scheduled, outcome, runs);
            for name in group_names(scheduled) {
                let tally = groups.entry(name).or_insert_with(Tally::new);
                tally.add(scheduled, outcome, runs);
            }
            if !outcome.is_on_time(scheduled.deadline_ms) && is_servable(scheduled, outcome, runs) {
                let second = figures
                    .missed_by_s
                    .entry(scheduled.at_us / US_PER_S)
                    .or_default();
                let mode = mode_name(scheduled);
                let end = outcome.end.name();
                let name = format_smolstr!("{}:{mode}:{end}:{}", scheduled.queue, outcome.entry);
                *second.entry(name).or_default() += 1;
            }
            *figures.ends.entry(outcome.end.name().into()).or_default() += 1;
            for reason in &outcome.retried_after {
                *figures.retried_after.entry(reason.clone()).or_default() += 1;
            }
        }
        groups.sort_unstable_keys();
        figures.total = total.finish();
        figures.groups = groups
            .into_iter()
            .map(|(name, tally)| (name, tally.finish()))
            .collect();
        figures.latency = Some(total.latency);
        figures
    }
}

fn group_names(scheduled: &ScheduledRequest) -> [SmolStr; 2] {
    let team = scheduled.team.as_deref().unwrap_or("-");
    [
        format_smolstr!("queue={} team={team}", scheduled.queue),
        format_smolstr!("mode={}", mode_name(scheduled)),
    ]
}

fn mode_name(scheduled: &ScheduledRequest) -> &'static str {
    match (scheduled.is_idempotent, scheduled.is_for_later) {
        (true, false) => "idempotent",
        (false, false) => "not_idempotent",
        (_, true) => "for_later",
    }
}

impl Report {
    /// Sets the latency that the entries add, compared with the baseline.
    pub fn compare(&mut self) {
        let Some(direct) = &self.direct else { return };
        let candidate = self.entries.total.latency;
        let baseline = direct.total.latency;
        let difference = |a: u64, b: u64| a as i64 - b as i64;
        self.added_p50_us = Some(difference(candidate.p50_us, baseline.p50_us));
        self.added_p99_us = Some(difference(candidate.p99_us, baseline.p99_us));
    }
}
