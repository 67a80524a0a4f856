//! `stand-in log|instances|workers`: daemons that emulate parts of the platform in trials and
//! tests.

use std::fs;
use std::io;
use std::net::IpAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;

use attohttpc::Method;
use clap::{value_parser, Arg, ArgMatches, Command};
use error_stack::{Report, ResultExt};
use hawthornladder::adapters::clock::SystemClock;
use hawthornladder::adapters::http_client::HttpCall;
use hawthornladder::adapters::log_http::{service_call, ServiceTimeouts};
use hawthornladder::fleet::InstanceRow;
use hawthornladder::fleet_file;
use hawthornladder::ports::Clock;
use hawthornladder::stand_in::http::RunningServer;
use hawthornladder::stand_in::instances::MemoryInstances;
use hawthornladder::stand_in::instances_server::{notify_workers, serve_instances};
use hawthornladder::stand_in::log::{LogLimits, MemoryLog};
use hawthornladder::stand_in::log_server::serve_log;
use hawthornladder::stand_in::worker::MemoryWorker;
use hawthornladder::stand_in::worker_server::serve_worker;
use hawthornladder::stand_in::workers::worker_settings;
use smol_str::{format_smolstr, SmolStr};

use crate::cmd::{print_line, CmdError, CmdResult};

/// Timeouts of registering the workers at the instance list.
const REGISTER_TIMEOUTS: ServiceTimeouts = ServiceTimeouts {
    connect_ms: 2_000,
    call_ms: 30_000,
};

/// Makes the command line of `stand-in`.
pub(crate) fn make_command() -> Command {
    Command::new("stand-in")
        .about("Emulate a part of the platform in trials and tests")
        .long_about(
            "Emulate a part of the platform in trials and tests.\n\n\
             Each daemon keeps its state in memory, prints `event=bound role=ROLE address=IP:PORT` \
             for each address that it serves (port 0 selects any free port) and then \
             `event=ready`, and runs until it is killed. `POST /faults` injects faults while it \
             runs; docs/platform.md lists them.",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(make_log_command())
        .subcommand(make_instances_command())
        .subcommand(make_workers_command())
}

fn make_log_command() -> Command {
    Command::new("log")
        .about("Serve an append-only log")
        .arg(address_arg())
        .arg(number_arg(
            "appends-per-s",
            "Maximum number of appends per second [default: 400]",
        ))
        .arg(number_arg(
            "records-max-count",
            "Maximum number of records kept [default: 200000]",
        ))
        .arg(number_arg(
            "record-age-max-ms",
            "Age in milliseconds after which a record is trimmed [default: a day]",
        ))
}

fn make_instances_command() -> Command {
    Command::new("instances")
        .about("Serve an instance list, empty until workers register")
        .arg(address_arg())
}

fn make_workers_command() -> Command {
    Command::new("workers")
        .about("Serve the workers of a fleet and register them at an instance list")
        .arg(
            Arg::new("fleet")
                .long("fleet")
                .value_name("FILE")
                .help("Fleet file that defines the workers")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("instances")
                .long("instances")
                .value_name("IP:PORT")
                .help("Address of the instance list to register at"),
        )
        .arg(
            Arg::new("ip")
                .long("ip")
                .help("IP address to serve at")
                .default_value("127.0.0.1")
                .value_parser(value_parser!(IpAddr)),
        )
        .arg(
            Arg::new("port-base")
                .long("port-base")
                .value_name("PORT")
                .help("Port of the first worker; the others follow. 0 selects any free ports")
                .default_value("0")
                .value_parser(value_parser!(u16)),
        )
        .arg(filter_arg("pool", "Serve only the workers of this pool"))
        .arg(filter_arg(
            "zone",
            "Serve only the workers of this availability zone",
        ))
        .arg(filter_arg("name", "Serve only the worker with this name"))
}

fn address_arg() -> Arg {
    Arg::new("address")
        .long("address")
        .value_name("IP:PORT")
        .help("Address to serve at")
        .default_value("127.0.0.1:0")
}

fn number_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .help(help)
        .value_parser(value_parser!(u64))
}

fn filter_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("NAME").help(help)
}

/// Executes `stand-in`; returns only if it could not start.
pub(crate) fn execute(matches: &ArgMatches) -> CmdResult {
    let servers = match matches.subcommand() {
        Some(("log", matches)) => vec![start_log(matches)?],
        Some(("instances", matches)) => vec![start_instances(matches)?],
        Some(("workers", matches)) => start_workers(matches)?,
        _ => return Err(Report::new(CmdError::Usage)),
    };
    print_line(&format!("event=ready servers_count={}", servers.len()))?;
    loop {
        thread::park();
    }
}

fn start_log(matches: &ArgMatches) -> Result<RunningServer, Report<CmdError>> {
    let default = LogLimits::default();
    let number = |name| matches.get_one::<u64>(name).copied();
    let records_max_count = number("records-max-count").map(usize::try_from);
    let limits = LogLimits {
        appends_per_s: number("appends-per-s").map_or(default.appends_per_s, |count| {
            u32::try_from(count).unwrap_or(u32::MAX)
        }),
        records_max_count: records_max_count.map_or(default.records_max_count, |count| {
            count.unwrap_or(usize::MAX)
        }),
        record_age_max_ms: number("record-age-max-ms").unwrap_or(default.record_age_max_ms),
    };
    let server = bound(serve_log(address(matches), MemoryLog::open(limits)))?;
    print_line(&format!(
        "event=bound role=log address={}",
        server.address()
    ))?;
    Ok(server)
}

fn start_instances(matches: &ArgMatches) -> Result<RunningServer, Report<CmdError>> {
    let instances = MemoryInstances::open(Vec::new(), notify_workers());
    let server = bound(serve_instances(address(matches), instances))?;
    print_line(&format!(
        "event=bound role=instances address={}",
        server.address()
    ))?;
    Ok(server)
}

fn start_workers(matches: &ArgMatches) -> Result<Vec<RunningServer>, Report<CmdError>> {
    let mut rows = read_rows(matches)?;
    let mut servers = Vec::new();
    for row in &mut rows {
        let worker = Arc::new(MemoryWorker::open(worker_settings(row)));
        let server = bound(serve_worker(&row.address, worker))?;
        row.address = format_smolstr!("{}", server.address());
        print_line(&format!(
            "event=bound role=worker name={} pool={} zone={} address={}",
            row.name, row.pool, row.zone, row.address
        ))?;
        servers.push(server);
    }
    if let Some(list) = text(matches, "instances") {
        register(list, &rows)?;
    }
    Ok(servers)
}

/// Returns the rows of the workers to serve, each with a new incarnation.
fn read_rows(matches: &ArgMatches) -> Result<Vec<InstanceRow>, Report<CmdError>> {
    let path = matches
        .get_one::<PathBuf>("fleet")
        .ok_or_else(|| Report::new(CmdError::Usage))?;
    let file = path.display().to_string();
    let content = fs::read_to_string(path)
        .change_context(CmdError::Unavailable)
        .attach_with(|| format!("cannot read {file}"))?;
    let (fleet, _) = fleet_file::check_text(&file, &content).map_err(|findings| {
        findings
            .iter()
            .fold(Report::new(CmdError::Usage), |report, finding| {
                report.attach(finding.to_string())
            })
    })?;
    let passes_filter =
        |name, value: &str| text(matches, name).is_none_or(|filter| filter == value);
    let mut rows = fleet.instance_rows(|at, _| worker_address(matches, at));
    rows.retain(|row| {
        passes_filter("pool", &row.pool)
            && passes_filter("zone", &row.zone)
            && passes_filter("name", &row.name)
    });
    let started_unix_ms = SystemClock.unix_ms();
    for row in &mut rows {
        row.incarnation = format_smolstr!("{}.{started_unix_ms}", row.name);
    }
    Ok(rows)
}

fn worker_address(matches: &ArgMatches, at: usize) -> SmolStr {
    let ip = matches
        .get_one::<IpAddr>("ip")
        .copied()
        .unwrap_or(IpAddr::from([127, 0, 0, 1]));
    let port_base = matches.get_one::<u16>("port-base").copied().unwrap_or(0);
    let port = match port_base {
        0 => 0,
        _ => port_base.saturating_add(u16::try_from(at).unwrap_or(u16::MAX)),
    };
    format_smolstr!("{}", std::net::SocketAddr::from((ip, port)))
}

fn register(list: &str, rows: &[InstanceRow]) -> Result<(), Report<CmdError>> {
    let body = serde_json::to_vec(rows).change_context(CmdError::Fault)?;
    let answer = HttpCall {
        body: Arc::from(body),
        ..service_call(list, REGISTER_TIMEOUTS, Method::POST, "/instances".into())
    }
    .send();
    match answer {
        Ok(answer) if answer.status == 200 => Ok(()),
        answer => Err(Report::new(CmdError::Unavailable)
            .attach(format!("the instance list at {list} answered {answer:?}"))),
    }
}

fn bound(server: io::Result<RunningServer>) -> Result<RunningServer, Report<CmdError>> {
    server
        .change_context(CmdError::Unavailable)
        .attach("cannot bind the address")
}

fn address(matches: &ArgMatches) -> &str {
    text(matches, "address").unwrap_or("127.0.0.1:0")
}

fn text<'m>(matches: &'m ArgMatches, name: &str) -> Option<&'m str> {
    matches.get_one::<String>(name).map(String::as_str)
}
