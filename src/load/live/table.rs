//! The result of a load test as lines of text.

use indexmap::IndexMap;
use smol_str::SmolStr;

use super::report::{Group, Report};

impl Report {
    /// Returns the result as lines of text.
    pub fn lines(&self) -> Vec<String> {
        let mut lines = vec![
            format!("seed={} duration_ms={}", self.seed, self.duration_ms),
            TABLE_HEAD.to_owned(),
        ];
        if let Some(direct) = &self.direct {
            lines.push(table_row("direct", &direct.total));
        }
        lines.push(table_row("entries", &self.entries.total));
        for (name, group) in &self.entries.groups {
            lines.push(table_row(name, group));
        }
        if let (Some(p50_us), Some(p99_us)) = (self.added_p50_us, self.added_p99_us) {
            lines.push(format!("added_p50_us={p50_us} added_p99_us={p99_us}"));
        }
        lines.push(counts_line("ends", &self.entries.ends));
        lines.push(counts_line("retried_after", &self.entries.retried_after));
        for (index, entry) in self.usage.iter().enumerate() {
            lines.push(format!(
                "entry={index} cpu_permille={} resident_kb={} resident_peak_kb={} threads_count={}",
                entry.cpu_permille,
                entry.usage.resident_kb,
                entry.usage.resident_peak_kb,
                entry.usage.threads_count
            ));
        }
        lines.push(format!(
            "appends_count={} appended_bytes={} runs_count={} journal_dropped_count={} \
             faults_count={} faults_failed={:?}",
            self.appends_count,
            self.appended_bytes,
            self.guarantees.runs_count,
            self.journal_dropped_count,
            self.faults.len(),
            self.faults_failed
        ));
        lines.extend(self.violation_lines());
        lines
    }

    fn violation_lines(&self) -> Vec<String> {
        let guarantees = &self.guarantees;
        let rows = [
            ("doubled", &guarantees.doubled),
            ("lost", &guarantees.lost),
            ("crossed", &guarantees.crossed),
            ("not_run_ran", &guarantees.not_run_ran),
            ("over_limit", &guarantees.over_limit),
            ("late_to_leaving", &guarantees.late_to_leaving),
            ("withdrawn_key", &guarantees.withdrawn_key),
        ];
        let counts: Vec<String> = rows
            .iter()
            .map(|(name, row)| format!("{name}={}", row.count))
            .collect();
        let mut lines = vec![format!("violations: {}", counts.join(" "))];
        for (name, row) in rows {
            for example in &row.examples {
                lines.push(format!("violation={name} {example}"));
            }
        }
        let peaks = guarantees.peak_running.iter();
        let peaks: Vec<String> = peaks.map(|(team, peak)| format!("{team}={peak}")).collect();
        lines.push(format!("peak_running: {}", peaks.join(" ")));
        lines
    }
}

const TABLE_HEAD: &str = "group                                            requests     done  on_time \
                          unservable permille   p50_ms   p99_ms  p999_ms   max_ms start_p50 start_p99";

fn table_row(name: &str, group: &Group) -> String {
    let ms = |us: u64| us as f64 / 1e3;
    format!(
        "{name:<48} {:>8} {:>8} {:>8} {:>10} {:>8} {:>8.2} {:>8.2} {:>8.2} {:>8.1} {:>9.2} {:>9.2}",
        group.requests_count,
        group.done_count,
        group.on_time_count,
        group.not_servable_count,
        group.on_time_permille,
        ms(group.latency.p50_us),
        ms(group.latency.p99_us),
        ms(group.latency.p999_us),
        ms(group.latency.max_us),
        ms(group.start_delay.p50_us),
        ms(group.start_delay.p99_us),
    )
}

fn counts_line(name: &str, counts: &IndexMap<SmolStr, u64>) -> String {
    let counts: Vec<String> = counts
        .iter()
        .map(|(name, count)| format!("{name}={count}"))
        .collect();
    format!("{name}: {}", counts.join(" "))
}
