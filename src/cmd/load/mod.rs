//! `load`: an open-loop load test of running entries, with a baseline, fault injection and a check
//! of every request against the workers' journals.

mod args;

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

use clap::ArgMatches;
use error_stack::{Report as ErrorReport, ResultExt};
use hawthornladder::adapters::instances_http::HttpInstances;
use hawthornladder::adapters::log_http::ServiceTimeouts;
use hawthornladder::examples;
use hawthornladder::fleet::{InstanceName, InstanceRow, TeamName};
use hawthornladder::fleet_file::{self, FleetFile};
use hawthornladder::load::live::driver::{play, Started};
use hawthornladder::load::live::faults::{self, MixedSettings, Step};
use hawthornladder::load::live::guarantees::{check_guarantees, Evidence};
use hawthornladder::load::live::injector::{Injected, Injector};
use hawthornladder::load::live::plot;
use hawthornladder::load::live::report::{Figures, Report};
use hawthornladder::load::live::schedule::{
    self, Arrivals, Mix, ScheduleSettings, ScheduledRequest,
};
use hawthornladder::load::live::site::{
    journals, log_counts, team_limits, usage_between, usages, Site,
};
use hawthornladder::load::live::targets::{CallerSettings, Targets, TeamKeys};
use hawthornladder::ports::InstancePort;
use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::cmd::{print_line, CmdError, CmdResult, Exit};

pub(crate) use args::make_command;
use args::{count, optional, text, to_u32_saturating};

/// Timeouts of a call to the instance list.
const TIMEOUTS: ServiceTimeouts = ServiceTimeouts {
    connect_ms: 1_000,
    call_ms: 10_000,
};
/// Pause between the end of the load and reading the workers' journals.
const JOURNAL_SETTLE_PAUSE: Duration = Duration::from_millis(500);

/// Executes `load`.
pub(crate) fn execute(matches: &ArgMatches) -> CmdResult {
    let entries = addresses(matches)?;
    let settings = schedule_settings(matches, entries.len());
    let requests = schedule::make(&settings, &read_fleet(matches)?);
    let site = read_site(matches);
    let rows = HttpInstances::open(&site.instances, TIMEOUTS)
        .list(0, 0)
        .map_err(|error| {
            ErrorReport::new(CmdError::Unavailable)
                .attach(format!("the instance list did not answer: {error}"))
        })?
        .rows;
    let callers = caller_settings(matches);
    let mut report = Report {
        seed: settings.seed,
        duration_ms: settings.duration_ms,
        ..Report::default()
    };
    if matches.get_flag("direct") || entries.is_empty() {
        report.direct = Some(run_direct(&requests, &rows, callers)?);
    }
    if !entries.is_empty() {
        let keys = read_keys(matches)?;
        let steps = read_faults(matches, &settings, &rows, &site, &keys)?;
        let load = LoadRun {
            requests: &requests,
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
        load.run(&mut report)?;
    }
    report.compare();
    print(matches, &report)?;
    Ok(match report.guarantees.violations_count() {
        0 => Exit::Done,
        _ => Exit::Refused,
    })
}

/// A load run through the entries.
struct LoadRun<'a> {
    requests: &'a [ScheduledRequest],
    targets: Targets,
    callers: CallerSettings,
    steps: Vec<Step>,
    injector: Injector,
    rows: Vec<InstanceRow>,
}

impl LoadRun<'_> {
    fn run(&self, report: &mut Report) -> Result<(), ErrorReport<CmdError>> {
        let site = &self.injector.site;
        let limits = team_limits(site);
        let counts_before = log_counts(site);
        let usage_before = usages(site);
        let started_at = Instant::now();
        let (outcomes, injected) = thread::scope(|scope| {
            let mut faults = None;
            let on_start = |started: Started| {
                faults = Some(scope.spawn(move || self.injector.run(&self.steps, started.at)));
            };
            let played = play(self.requests, &self.targets, self.callers, on_start);
            let injected = faults.and_then(|thread| thread.join().ok());
            played.map(|(_, outcomes)| (outcomes, injected.unwrap_or_default()))
        })
        .change_context(CmdError::Fault)?;
        report.usage = usage_between(&usage_before, &usages(site), started_at.elapsed());
        let counts = log_counts(site);
        report.appends_count = counts
            .appends_count
            .saturating_sub(counts_before.appends_count);
        report.appended_bytes = counts
            .appended_bytes
            .saturating_sub(counts_before.appended_bytes);
        thread::sleep(JOURNAL_SETTLE_PAUSE);
        let (runs, dropped_count) = journals(&self.rows);
        report.journal_dropped_count = dropped_count;
        report.entries = Figures::of(self.requests, &outcomes, &runs);
        report.guarantees = check_guarantees(&Evidence {
            requests: self.requests,
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

fn run_direct(
    requests: &[ScheduledRequest],
    rows: &[InstanceRow],
    callers: CallerSettings,
) -> Result<Figures, ErrorReport<CmdError>> {
    let targets = Targets::Workers {
        rows: rows.to_vec(),
    };
    let (_, outcomes) =
        play(requests, &targets, callers, |_| {}).change_context(CmdError::Fault)?;
    thread::sleep(JOURNAL_SETTLE_PAUSE);
    Ok(Figures::of(requests, &outcomes, &journals(rows).0))
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
        Some("json") => print_line(&json),
        _ => report.lines().iter().try_for_each(|line| print_line(line)),
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
    let permille = |name| to_u32_saturating(count(matches, name));
    let arrivals = match optional(matches, "rate") {
        Some(rate_per_s) => Arrivals::Flat {
            rate_per_s: to_u32_saturating(rate_per_s),
        },
        None => Arrivals::DemandCycle {
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
            idempotent_permille: optional(matches, "idempotent-permille").map(to_u32_saturating),
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
        is_retrying: matches.get_flag("obey"),
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
        .attach_with(|| format!("{path}: write a JSON object with a list of keys for each team"))
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
