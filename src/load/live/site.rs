//! The deployment under test: addresses of its parts, and the data read from them before and after
//! a load test.

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
/// Largest answer that is read: a journal or a status.
const ANSWER_MAX_BYTES: u64 = 256 << 20;

/// Addresses and files of a deployment under test.
#[derive(Clone, Debug, Default)]
pub struct Site {
    /// Address of the stand-in log.
    pub log: SmolStr,
    /// Address of the stand-in instance list.
    pub instances: SmolStr,
    /// Operators' addresses of the entries.
    pub operators: Vec<SmolStr>,
    /// Files with the process ids of the entries.
    pub entry_pid_files: Vec<PathBuf>,
}

/// Reads a JSON document; `None` if it is not available.
fn get<T: DeserializeOwned>(address: &str, path: &str) -> Option<T> {
    let call = HttpCall {
        answer_max_bytes: ANSWER_MAX_BYTES,
        ..service_call(address, TIMEOUTS, attohttpc::Method::GET, path.to_owned())
    };
    let answer = call.send().ok().filter(|answer| answer.status == 200)?;
    serde_json::from_slice(&answer.body).ok()
}

/// Returns the teams' limits on running requests, from the first entry that answers.
pub fn team_limits(site: &Site) -> IndexMap<TeamName, u32> {
    let mut statuses = site.operators.iter();
    let status = statuses.find_map(|address| get::<EntryStatus>(address, "/v1/status"));
    let teams = status.unwrap_or_default().teams.into_iter();
    teams
        .map(|(team, row)| (team, row.limit_requests))
        .collect()
}

/// Returns the counts of the stand-in log; all zero if it does not answer.
pub fn log_counts(site: &Site) -> LogCounts {
    get(&site.log, "/counts").unwrap_or_default()
}

/// Reads the journals of all workers. Returns the runs and the number of dropped runs.
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

/// Returns the resource usage of each entry's process since its start.
pub fn usages(site: &Site) -> Vec<Usage> {
    let read = |path: &PathBuf| read_usage(read_pid(path).ok()?);
    let files = site.entry_pid_files.iter();
    files.map(|path| read(path).unwrap_or_default()).collect()
}

/// Returns the usage between two readings. A process that started in between counts from its start.
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
