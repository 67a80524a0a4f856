//! The deployment under load: where its parts are, and what is read from them before and after a run.

use std::collections::HashSet;
use std::path::PathBuf;
use std::time::Duration;

use indexmap::IndexMap;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;

use super::process::{read_pid, read_usage, Usage};
use super::report::EntryUsage;
use crate::adapters::http_client::HttpCall;
use crate::adapters::log_http::{service_call, ServiceTimeouts};
use crate::entry::EntryStatus;
use crate::fleet::{InstanceRow, TeamName};
use crate::stand_in::journal::{Journal, Run};
use crate::stand_in::log::LogCounts;

const TIMEOUTS: ServiceTimeouts = ServiceTimeouts {
    connect_ms: 1_000,
    call_ms: 10_000,
};
/// Largest journal or status that is read.
const ANSWER_MAX_BYTES: u64 = 256 << 20;

/// Where the parts of a deployment are.
#[derive(Clone, Debug, Default)]
pub struct Site {
    /// Address of the log.
    pub log: SmolStr,
    /// Address of the instance list.
    pub instances: SmolStr,
    /// Operators' addresses of the entries.
    pub operators: Vec<SmolStr>,
    /// Files that hold the entries' process ids.
    pub entry_pid_files: Vec<PathBuf>,
}

/// Reads a JSON document; `None` if it cannot be had.
fn get<T: DeserializeOwned>(address: &str, path: &str) -> Option<T> {
    let call = HttpCall {
        answer_max_bytes: ANSWER_MAX_BYTES,
        ..service_call(address, TIMEOUTS, attohttpc::Method::GET, path.to_owned())
    };
    let answer = call.send().ok().filter(|answer| answer.status == 200)?;
    serde_json::from_slice(&answer.body).ok()
}

/// Returns the upper limits of the teams, as the first entry that answers reports them.
pub fn team_limits(site: &Site) -> IndexMap<TeamName, u32> {
    let mut statuses = site.operators.iter();
    let status = statuses.find_map(|address| get::<EntryStatus>(address, "/v1/status"));
    let teams = status.unwrap_or_default().teams.into_iter();
    teams
        .map(|(team, row)| (team, row.limit_requests))
        .collect()
}

/// Returns what the stand-in log counted; nothing if it does not answer.
pub fn log_counts(site: &Site) -> LogCounts {
    get(&site.log, "/counts").unwrap_or_default()
}

/// Reads the journals of all workers; returns the runs and how many were dropped.
pub fn journals(rows: &[InstanceRow]) -> (Vec<Run>, u64) {
    let addresses: HashSet<&SmolStr> = rows.iter().map(|row| &row.address).collect();
    let mut runs = Vec::new();
    let mut dropped_count = 0;
    for address in addresses {
        match get::<Journal>(address, "/journal") {
            Some(journal) => {
                dropped_count += journal.dropped_count;
                runs.extend(journal.runs);
            }
            None => log::warn!("event=journal_missing worker={address}"),
        }
    }
    (runs, dropped_count)
}

/// Returns what each entry's process used up to now.
pub fn usages(site: &Site) -> Vec<Usage> {
    let read = |path: &PathBuf| read_usage(read_pid(path).ok()?);
    let files = site.entry_pid_files.iter();
    files.map(|path| read(path).unwrap_or_default()).collect()
}

/// Returns what was used between two readings; a process that began in between counts whole.
pub fn usage_between(before: &[Usage], after: &[Usage], elapsed: Duration) -> Vec<EntryUsage> {
    let elapsed_ms = u64::try_from(elapsed.as_millis())
        .unwrap_or(u64::MAX)
        .max(1);
    let between = |(before, usage): (&Usage, &Usage)| {
        let before_ms = match before.pid == usage.pid {
            true => before.cpu_ms,
            false => 0,
        };
        EntryUsage {
            usage: *usage,
            cpu_permille: usage.cpu_ms.saturating_sub(before_ms) * 1_000 / elapsed_ms,
        }
    };
    before.iter().zip(after).map(between).collect()
}
