//! `status`: shows what is in force on each entry, and counts refusals and retries by reason.

use std::{net::SocketAddr, thread};

use clap::{ArgMatches, Command};
use error_stack::{Report, ResultExt};
use hawthornladder::{
    adapters::operators_client::{OperatorsClient, OperatorsFailure},
    entry::EntryStatus,
};
use indexmap::{IndexMap, IndexSet};
use serde::Serialize;
use smol_str::SmolStr;

use crate::cmd::{
    entry_access, is_json, output_arg, print_line, table::Table, CmdError, CmdResult, Exit,
};

/// Makes the command line of `status`.
pub(crate) fn make_command() -> Command {
    Command::new("status")
        .about("Show what is in force on each entry, and why calls were refused")
        .long_about(
            "Show what is in force on each entry, and why calls were refused.\n\n\
             Give the operators' address of each entry. The tables show, for each entry, the \
             version of the lists in force, up to where it has applied the log and when it last \
             heard from it, its seat's lease and what it holds; the instances by standing; each \
             team's upper limit and how much of it each entry may have running; and every refusal \
             and retry reason with its count since the entry's start. An entry whose version is \
             older than another's is marked `behind`. docs/operators.md has a section for each \
             reason.",
        )
        .after_help(
            "Exit codes:\n  0  every entry answered\n  4  an entry gave no answer; the others are \
             printed\n\n\
             Example:\n  hawthornladder status --entry 127.0.0.1:7102 127.0.0.1:7202",
        )
        .arg(entry_access::arg().required(true))
        .arg(output_arg())
}

/// Answer of one entry.
#[derive(Serialize)]
struct EntryReport {
    address: SocketAddr,
    /// Whether another entry has a newer version of the lists in force.
    is_behind: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<EntryStatus>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

/// Answers of all entries, as printed by `--output json`.
#[derive(Serialize)]
struct StatusReport {
    /// Newest version of the lists that is in force on any entry.
    lists_version: u64,
    /// Whether this version is in force on every entry.
    is_in_force_everywhere: bool,
    /// Number of entries that did not answer.
    silent_count: usize,
    entries: Vec<EntryReport>,
}

/// Executes `status`.
pub(crate) fn execute(matches: &ArgMatches) -> CmdResult {
    let addresses = entry_access::addresses(matches)?;
    let report = make_report(ask_all(&addresses)?);
    match is_json(matches) {
        true => print_line(&serde_json::to_string(&report).change_context(CmdError::Fault)?)?,
        false => print_text(&report)?,
    }
    Ok(match report.silent_count {
        0 => Exit::Done,
        _ => Exit::Unavailable,
    })
}

type Answer = (SocketAddr, Result<EntryStatus, OperatorsFailure>);

/// Calls all entries in parallel, so that the timeouts of unresponsive entries do not add up.
fn ask_all(addresses: &[SocketAddr]) -> Result<Vec<Answer>, Report<CmdError>> {
    thread::scope(|scope| {
        let calls: Vec<_> = addresses
            .iter()
            .map(|address| scope.spawn(|| (*address, OperatorsClient::open(*address).status())))
            .collect();
        calls
            .into_iter()
            .map(|thread| thread.join().map_err(|_| Report::new(CmdError::Fault)))
            .collect()
    })
}

fn make_report(answers: Vec<Answer>) -> StatusReport {
    let statuses = answers
        .iter()
        .filter_map(|(_, answer)| answer.as_ref().ok());
    let newest = statuses.map(|status| status.lists_version).max();
    let lists_version = newest.unwrap_or(0);
    let entries: Vec<EntryReport> = answers
        .into_iter()
        .map(|(address, answer)| match answer {
            Ok(status) => EntryReport {
                address,
                is_behind: status.lists_version < lists_version,
                status: Some(status),
                error: None,
            },
            Err(failure) => EntryReport {
                address,
                is_behind: false,
                status: None,
                error: Some(failure.to_string()),
            },
        })
        .collect();
    let silent_count = entries.iter().filter(|row| row.status.is_none()).count();
    StatusReport {
        lists_version,
        is_in_force_everywhere: silent_count == 0 && entries.iter().all(|row| !row.is_behind),
        silent_count,
        entries,
    }
}

fn print_text(report: &StatusReport) -> Result<(), Report<CmdError>> {
    print_line(&format!(
        "lists_version={} is_in_force_everywhere={} entries_count={} silent_count={}",
        report.lists_version,
        report.is_in_force_everywhere,
        report.entries.len(),
        report.silent_count
    ))?;
    let answered: Vec<&EntryStatus> = report
        .entries
        .iter()
        .filter_map(|row| row.status.as_ref())
        .collect();
    print_table("entries", &entries_table(report))?;
    print_table("work since the entry's start", &work_table(&answered))?;
    print_table("seats", &seats_table(&answered))?;
    print_table(
        "instances",
        &counts_table("STANDING", &answered, |s| &s.instances),
    )?;
    print_table("teams, in requests", &teams_table(&answered))?;
    print_table("refusals", &counts_table("KIND", &answered, |s| &s.refused))?;
    print_table(
        "retries",
        &counts_table("REASON", &answered, |s| &s.retried),
    )?;
    print_table(
        "retries not made",
        &counts_table("REASON", &answered, |s| &s.not_retried),
    )
}

fn print_table(title: &str, table: &Table) -> Result<(), Report<CmdError>> {
    print_line(&format!("\n{title}:"))?;
    match table.is_empty() {
        true => print_line("  none"),
        false => table
            .lines()
            .iter()
            .try_for_each(|line| print_line(&format!("  {line}"))),
    }
}

fn entries_table(report: &StatusReport) -> Table {
    let mut table = Table::new(&[
        "ADDRESS",
        "ENTRY",
        "VERSION",
        "STATE",
        "OFFSET",
        "LOG_AGE_MS",
        "LEASE_LEFT_MS",
        "KEYS",
    ]);
    for row in &report.entries {
        let address = row.address.to_string();
        let Some(status) = &row.status else {
            let error = row.error.clone().unwrap_or_default();
            table.push(vec![address, "-".into(), "-".into(), error]);
            continue;
        };
        let log_age = status.log_age_ms.map(|age_ms| age_ms.to_string());
        table.push(vec![
            address,
            status.entry.to_string(),
            status.lists_version.to_string(),
            state(status, row.is_behind),
            status.next_offset.to_string(),
            log_age.unwrap_or_else(|| "never".to_owned()),
            status.lease_left_ms.to_string(),
            status.keys_count.to_string(),
        ]);
    }
    table
}

fn state(status: &EntryStatus, is_behind: bool) -> String {
    let marks = [
        (status.is_draining, "draining"),
        (!status.is_draining && status.is_serving, "serving"),
        (!status.is_draining && !status.is_serving, "not_serving"),
        (is_behind, "behind"),
        (status.withdrawn_unlogged_count > 0, "withdrawal_not_logged"),
    ];
    let marks: Vec<&str> = marks
        .iter()
        .filter_map(|(is_set, mark)| is_set.then_some(*mark))
        .collect();
    marks.join(",")
}

fn work_table(answered: &[&EntryStatus]) -> Table {
    let mut table = Table::new(&[
        "ENTRY",
        "WAITING",
        "RUNNING",
        "CALLS",
        "ANSWERED",
        "REFUSED",
        "ATTEMPTS",
        "APPENDS",
        "SEATS_LOST",
        "PLANNED",
        "PLANNED_REJECTED",
    ]);
    for status in answered {
        let refused_count: u64 = status.refused.values().sum();
        let numbers = [
            status.waiting_count,
            status.running_count,
            status.calls_count,
            status.answered_count,
            refused_count,
            status.attempts_count,
            status.appends_count,
            status.seats_lost_count,
            status.planned_judged_count,
            status.planned_rejected_count,
        ];
        let cells = numbers.iter().map(ToString::to_string);
        table.push(
            [status.entry.to_string()]
                .into_iter()
                .chain(cells)
                .collect(),
        );
    }
    table
}

/// Returns a table with a row for each seat that an entry counts as live, and the names of these
/// entries.
fn seats_table(answered: &[&EntryStatus]) -> Table {
    let mut table = Table::new(&["SEAT", "HELD_BY", "LIVE_FOR"]);
    let seats: IndexSet<_> = answered
        .iter()
        .flat_map(|status| &status.live_seats)
        .collect();
    for seat in seats {
        let holder = answered.iter().find(|status| status.seat == *seat);
        let live_for: Vec<&str> = answered
            .iter()
            .filter(|status| status.live_seats.contains(seat))
            .map(|status| status.entry.as_str())
            .collect();
        table.push(vec![
            seat.to_string(),
            holder.map_or("-", |status| &status.entry).to_owned(),
            live_for.join(","),
        ]);
    }
    table
}

/// Returns a table with a row for each counted name and a column for each entry.
fn counts_table(
    heading: &str,
    answered: &[&EntryStatus],
    counts: impl Fn(&EntryStatus) -> &IndexMap<SmolStr, u64>,
) -> Table {
    let entries = answered.iter().map(|status| status.entry.as_str());
    let mut table = Table::new(&[heading].into_iter().chain(entries).collect::<Vec<_>>());
    let names: IndexSet<_> = answered
        .iter()
        .flat_map(|status| counts(status).keys())
        .collect();
    for name in names {
        let cells = answered
            .iter()
            .map(|status| counts(status).get(name).copied().unwrap_or(0).to_string());
        table.push([name.to_string()].into_iter().chain(cells).collect());
    }
    table
}

/// Returns a table with a row for each team: its limit, the part that no seat holds, and the part
/// of each entry.
fn teams_table(answered: &[&EntryStatus]) -> Table {
    let entries = answered.iter().map(|status| status.entry.as_str());
    let heading: Vec<&str> = ["TEAM", "LIMIT", "FREE"]
        .into_iter()
        .chain(entries)
        .collect();
    let mut table = Table::new(&heading);
    // All entries apply the same log; the one that has read furthest has the newest teams.
    let Some(furthest) = answered.iter().max_by_key(|status| status.next_offset) else {
        return table;
    };
    for (team, row) in &furthest.teams {
        let allowances = answered.iter().map(|status| {
            let row = status.teams.get(team);
            row.map_or(0, |row| row.allowance_requests).to_string()
        });
        let shared = [
            team.to_string(),
            row.limit_requests.to_string(),
            row.free_requests.to_string(),
        ];
        table.push(shared.into_iter().chain(allowances).collect());
    }
    table
}
