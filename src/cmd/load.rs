//! `load`: an open-loop load run against running entries, with baseline, faults and accounts.

use std::collections::HashSet;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};
use error_stack::{Report as ErrorReport, ResultExt};
use hawthornladder::adapters::http_client::HttpCall;
use hawthornladder::adapters::instances_http::HttpInstances;
use hawthornladder::adapters::log_http::{service_call, ServiceTimeouts};
use hawthornladder::entry::EntryStatus;
use hawthornladder::examples;
use hawthornladder::fleet::{InstanceName, InstanceRow, TeamName};
use hawthornladder::fleet_file::{self, FleetFile};
use hawthornladder::load::live::account::{settle, Evidence};
use hawthornladder::load::live::driver::{play, Started};
use hawthornladder::load::live::faults::{self, MixedSettings, Step};
use hawthornladder::load::live::injector::{Injected, Injector};
use hawthornladder::load::live::plot;
use hawthornladder::load::live::process::{read_pid, read_usage, Usage};
use hawthornladder::load::live::report::{EntryUsage, Figures, Report, Site};
use hawthornladder::load::live::schedule::{self, Arrivals, Mix, ScheduleSettings, Shot};
use hawthornladder::load::live::targets::{CallerSettings, Targets, TeamKeys};
use hawthornladder::platform::journal::{Journal, Run};
use hawthornladder::platform::log::LogCounts;
use hawthornladder::ports::InstancePort;
use indexmap::IndexMap;
use serde::de::DeserializeOwned;
use smol_str::SmolStr;

use crate::cmd::{say, CmdError, CmdResult, Exit};

const TIMEOUTS: ServiceTimeouts = ServiceTimeouts {
    connect_ms: 1_000,
    call_ms: 10_000,
};
/// Largest journal or status that is read.
const ANSWER_MAX_BYTES: u64 = 256 << 20;
/// Pause between the end of the load and the reading of the journals.
const SETTLE: Duration = Duration::from_millis(500);

/// Makes the command line of `load`.
pub(crate) fn make_command() -> Command {
    Command::new("load")
        .about("Send a load to running entries and account for it at the workers")
        .long_about(
            "Send a load to running entries and account for it at the workers.\n\n\
             The requests follow the demand of a fleet file at a fixed seed, whatever becomes of \
             them on the way (an open loop); latency counts from the time at which a request was \
             to be sent. With `--direct` the same schedule goes straight to the workers first, so \
             that the difference is what the entries add. Faults are done to stand-ins and to the \
             processes named by `--entry-pid-file`; the command starts no process. The exit code \
             is 1 if a promise was broken.",
        )
        .args(target_args())
        .args(schedule_args())
        .args(fault_and_output_args())
}

fn target_args() -> Vec<Arg> {
    vec![
        many("entry", "IP:PORT", "Callers' address of an entry"),
        many(
            "operators",
            "IP:PORT",
            "Operators' address of an entry, in the same order",
        ),
        many(
            "entry-pid-file",
            "FILE",
            "File with the process id of an entry, in the same order",
        ),
        one("log", "IP:PORT", "Address of the stand-in log"),
        one("instances", "IP:PORT", "Address of the instance list").required(true),
        one(
            "keys",
            "FILE",
            "JSON file with a list of keys for each team",
        ),
        one(
            "fleet",
            "FILE",
            "Fleet file whose demand is played [default: the Lahore example]",
        ),
    ]
}

fn schedule_args() -> Vec<Arg> {
    vec![
        number("seed", "1", "Seed of the schedule"),
        number("seconds", "20", "Length of the load"),
        optional_number(
            "rate",
            "Requests a second, constant, in place of the turns of demand",
        ),
        number(
            "scale-permille",
            "1000",
            "Factor of the demand in turns, in thousandths",
        ),
        optional_number(
            "run-ms",
            "Run time of every request [default: the stream's]",
        ),
        optional_number("body-bytes", "Length of every body [default: the stream's]"),
        optional_number(
            "idempotent-permille",
            "Part of idempotent requests [default: the stream's]",
        ),
        number(
            "later-permille",
            "0",
            "Part of the requests submitted for later",
        ),
        number(
            "cancel-permille",
            "0",
            "Part of the requests that are cancelled on the way",
        ),
        number(
            "twin-permille",
            "0",
            "Part of the requests sent to two entries at once",
        ),
        flag("skewed", "Let each team favour some entries"),
        flag(
            "obey",
            "Let callers come back when a refusal says so, and elsewhere after a loss",
        ),
        number("in-flight-max-count", "20000", "Requests in flight at most"),
        number("threads", "2", "Threads of the callers"),
        flag(
            "direct",
            "Send the same schedule straight to the workers first",
        ),
    ]
}

fn fault_and_output_args() -> Vec<Arg> {
    vec![
        one("faults", "FILE", "Script of faults, in JSON with comments"),
        one("fault-script", "NAME", "Built-in script of faults")
            .value_parser(["mixed"])
            .conflicts_with("faults"),
        one(
            "plot",
            "FILE",
            "Write the distribution of the latency to this file, as SVG",
        ),
        one(
            "report",
            "FILE",
            "Write the whole result to this file, as JSON",
        ),
        one("output", "FORMAT", "How to print")
            .value_parser(["text", "json"])
            .default_value("text"),
    ]
}

fn one(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

fn many(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    one(name, value, help).action(ArgAction::Append)
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .action(ArgAction::SetTrue)
}

fn optional_number(name: &'static str, help: &'static str) -> Arg {
    one(name, "N", help).value_parser(value_parser!(u64))
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    optional_number(name, help).default_value(default)
}

/// Carries out `load`.
pub(crate) fn execute(matches: &ArgMatches) -> CmdResult {
    let entries = addresses(matches)?;
    let settings = schedule_settings(matches, entries.len());
    let shots = schedule::make(&settings, &read_fleet(matches)?);
    let site = read_site(matches);
    let rows = HttpInstances::open(&site.instances, TIMEOUTS)
        .list(0, 0)
        .map_err(|error| {
            ErrorReport::new(CmdError::Unavailable)
                .attach(format!("the instance list does not answer: {error}"))
        })?
        .rows;
    let callers = caller_settings(matches);
    let mut report = Report {
        seed: settings.seed,
        duration_ms: settings.duration_ms,
        ..Report::default()
    };
    if matches.get_flag("direct") || entries.is_empty() {
        report.direct = Some(play_direct(&shots, &rows, callers)?);
    }
    if !entries.is_empty() {
        let keys = read_keys(matches)?;
        let steps = read_faults(matches, &settings, &rows, &site, &keys)?;
        let load = Load {
            shots: &shots,
            targets: Targets::Entries {
                addresses: entries,
                keys: keys.clone(),
            },
            callers,
            steps,
            injector: Injector {
                workers: worker_addresses(&rows),
                site,
                keys,
            },
            rows,
        };
        load.play(&mut report)?;
    }
    report.compare();
    print(matches, &report)?;
    Ok(match report.accounts.violations_count() {
        0 => Exit::Done,
        _ => Exit::Refused,
    })
}

/// A run through the entries.
struct Load<'a> {
    shots: &'a [Shot],
    targets: Targets,
    callers: CallerSettings,
    steps: Vec<Step>,
    injector: Injector,
    rows: Vec<InstanceRow>,
}

impl Load<'_> {
    fn play(&self, report: &mut Report) -> Result<(), ErrorReport<CmdError>> {
        let site = &self.injector.site;
        let limits = team_limits(site);
        let counts_before = log_counts(site);
        let usage_before = usages(site);
        let begun = Instant::now();
        let (outcomes, injected) = thread::scope(|scope| {
            let mut faults = None;
            let on_start = |started: Started| {
                faults = Some(scope.spawn(move || self.injector.run(&self.steps, started.at)));
            };
            let played = play(self.shots, &self.targets, self.callers, on_start);
            let injected = faults.and_then(|thread| thread.join().ok());
            played.map(|(_, outcomes)| (outcomes, injected.unwrap_or_default()))
        })
        .change_context(CmdError::Fault)?;
        report.usage = usage_between(&usage_before, &usages(site), begun.elapsed());
        let counts = log_counts(site);
        report.appends_count = counts
            .appends_count
            .saturating_sub(counts_before.appends_count);
        report.appended_bytes = counts
            .appended_bytes
            .saturating_sub(counts_before.appended_bytes);
        thread::sleep(SETTLE);
        let (runs, dropped_count) = journals(&self.rows);
        report.journal_dropped_count = dropped_count;
        report.entries = Figures::of(self.shots, &outcomes, &runs);
        report.accounts = settle(&Evidence {
            shots: self.shots,
            outcomes: &outcomes,
            runs: &runs,
            limits: &limits,
            leaving: &injected.leaving,
            withdrawn: &injected.withdrawn,
        });
        let Injected { done, failed, .. } = injected;
        report.faults = done;
        report.faults_failed = failed;
        Ok(())
    }
}

fn play_direct(
    shots: &[Shot],
    rows: &[InstanceRow],
    callers: CallerSettings,
) -> Result<Figures, ErrorReport<CmdError>> {
    let targets = Targets::Workers {
        rows: rows.to_vec(),
    };
    let (_, outcomes) = play(shots, &targets, callers, |_| {}).change_context(CmdError::Fault)?;
    thread::sleep(SETTLE);
    Ok(Figures::of(shots, &outcomes, &journals(rows).0))
}

fn print(matches: &ArgMatches, report: &Report) -> Result<(), ErrorReport<CmdError>> {
    if let Some(path) = text(matches, "plot") {
        let svg =
            plot::svg(report).map_err(|error| ErrorReport::new(CmdError::Fault).attach(error))?;
        fs::write(path, svg)
            .change_context(CmdError::Unavailable)
            .attach_with(|| format!("cannot write {path}"))?;
    }
    let json = serde_json::to_string_pretty(report).change_context(CmdError::Fault)?;
    if let Some(path) = text(matches, "report") {
        fs::write(path, &json)
            .change_context(CmdError::Unavailable)
            .attach_with(|| format!("cannot write {path}"))?;
    }
    match text(matches, "output") {
        Some("json") => say(&json),
        _ => report.lines().iter().try_for_each(|line| say(line)),
    }
}

fn addresses(matches: &ArgMatches) -> Result<Vec<SocketAddr>, ErrorReport<CmdError>> {
    let parse = |address: &String| {
        address
            .parse()
            .change_context(CmdError::Usage)
            .attach_with(|| format!("--entry {address}: write IP:PORT"))
    };
    let entries = matches.get_many::<String>("entry").unwrap_or_default();
    entries.map(parse).collect()
}

fn schedule_settings(matches: &ArgMatches, entries_count: usize) -> ScheduleSettings {
    let permille = |name| small(count(matches, name));
    let arrivals = match optional(matches, "rate") {
        Some(rate_per_s) => Arrivals::Flat {
            rate_per_s: small(rate_per_s),
        },
        None => Arrivals::Turns {
            scale_permille: permille("scale-permille"),
        },
    };
    ScheduleSettings {
        seed: count(matches, "seed"),
        duration_ms: count(matches, "seconds").saturating_mul(1_000),
        arrivals,
        mix: Mix {
            run_ms: optional(matches, "run-ms"),
            body_bytes: optional(matches, "body-bytes"),
            idempotent_permille: optional(matches, "idempotent-permille").map(small),
            later_permille: permille("later-permille"),
            cancel_permille: permille("cancel-permille"),
            twin_permille: permille("twin-permille"),
        },
        entries_count,
        is_skewed: matches.get_flag("skewed"),
    }
}

fn caller_settings(matches: &ArgMatches) -> CallerSettings {
    let as_usize = |name| usize::try_from(count(matches, name)).unwrap_or(usize::MAX);
    CallerSettings {
        is_obeying: matches.get_flag("obey"),
        in_flight_max_count: as_usize("in-flight-max-count"),
        threads_count: as_usize("threads"),
        ..CallerSettings::default()
    }
}

fn read_fleet(matches: &ArgMatches) -> Result<FleetFile, ErrorReport<CmdError>> {
    let (file, content) = match text(matches, "fleet") {
        Some(path) => (path.to_owned(), read_file(path)?),
        None => ("the example".to_owned(), examples::LAHORE.fleet.to_owned()),
    };
    let checked = fleet_file::check_text(&file, &content);
    checked.map(|(fleet, _)| fleet).map_err(|findings| {
        let report = ErrorReport::new(CmdError::Refused);
        findings
            .iter()
            .fold(report, |report, finding| report.attach(finding.to_string()))
    })
}

fn read_site(matches: &ArgMatches) -> Site {
    let one = |name| SmolStr::new(text(matches, name).unwrap_or_default());
    let many = |name| matches.get_many::<String>(name).unwrap_or_default();
    Site {
        log: one("log"),
        instances: one("instances"),
        operators: many("operators").map(SmolStr::new).collect(),
        entry_pid_files: many("entry-pid-file").map(PathBuf::from).collect(),
    }
}

fn read_keys(matches: &ArgMatches) -> Result<TeamKeys, ErrorReport<CmdError>> {
    let Some(path) = text(matches, "keys") else {
        return Ok(TeamKeys::new());
    };
    serde_json::from_str(&read_file(path)?)
        .change_context(CmdError::Refused)
        .attach_with(|| format!("{path}: write a list of keys for each team"))
}

fn read_faults(
    matches: &ArgMatches,
    settings: &ScheduleSettings,
    rows: &[InstanceRow],
    site: &Site,
    keys: &TeamKeys,
) -> Result<Vec<Step>, ErrorReport<CmdError>> {
    if let Some(path) = text(matches, "faults") {
        return faults::parse(&read_file(path)?).map_err(|error| {
            ErrorReport::new(CmdError::Refused).attach(format!("{path}: {error}"))
        });
    }
    let teams: Vec<TeamName> = keys
        .iter()
        .filter(|(_, keys)| keys.len() > 1)
        .map(|(team, _)| team.clone())
        .collect();
    Ok(match text(matches, "fault-script") {
        None => Vec::new(),
        Some(_) => faults::mixed(&MixedSettings {
            seed: settings.seed,
            duration_ms: settings.duration_ms,
            rows,
            entries_count: site.entry_pid_files.len(),
            teams: &teams,
        }),
    })
}

fn read_file(path: &str) -> Result<String, ErrorReport<CmdError>> {
    fs::read_to_string(path)
        .change_context(CmdError::Unavailable)
        .attach_with(|| format!("cannot read {path}"))
}

fn worker_addresses(rows: &[InstanceRow]) -> IndexMap<InstanceName, SmolStr> {
    rows.iter()
        .map(|row| (row.name.clone(), row.address.clone()))
        .collect()
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

fn team_limits(site: &Site) -> IndexMap<TeamName, u32> {
    let mut statuses = site.operators.iter();
    let status = statuses.find_map(|address| get::<EntryStatus>(address, "/v1/status"));
    let teams = status.unwrap_or_default().teams.into_iter();
    teams
        .map(|(team, row)| (team, row.limit_requests))
        .collect()
}

fn log_counts(site: &Site) -> LogCounts {
    get(&site.log, "/counts").unwrap_or_default()
}

/// Reads the journals of all workers; returns the runs and how many were dropped.
fn journals(rows: &[InstanceRow]) -> (Vec<Run>, u64) {
    let addresses: HashSet<&SmolStr> = rows.iter().map(|row| &row.address).collect();
    let mut runs = Vec::new();
    let mut dropped_count = 0;
    for address in addresses {
        match get::<Journal>(address, "/journal") {
            Some(journal) => {
                dropped_count += journal.dropped_count;
                runs.extend(journal.runs);
            }
            None => eprintln!("event=journal_missing worker={address}"),
        }
    }
    (runs, dropped_count)
}

fn usages(site: &Site) -> Vec<Usage> {
    let read = |path: &PathBuf| read_usage(read_pid(path).ok()?);
    let files = site.entry_pid_files.iter();
    files.map(|path| read(path).unwrap_or_default()).collect()
}

/// Returns what was used between two readings; a process that began in between counts whole.
fn usage_between(before: &[Usage], after: &[Usage], elapsed: Duration) -> Vec<EntryUsage> {
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

fn text<'m>(matches: &'m ArgMatches, name: &str) -> Option<&'m str> {
    matches.get_one::<String>(name).map(String::as_str)
}

fn optional(matches: &ArgMatches, name: &str) -> Option<u64> {
    matches.get_one::<u64>(name).copied()
}

fn count(matches: &ArgMatches, name: &str) -> u64 {
    optional(matches, name).unwrap_or(0)
}

fn small(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
