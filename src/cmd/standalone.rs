//! `standalone`: the complete system in one process, on an in-memory platform.

use std::ops::RangeInclusive;

use clap::{value_parser, Arg, ArgMatches, Command};
use error_stack::{Report, ResultExt};
use hawthornladder::{
    examples::{Example, EXAMPLES},
    logging::{self, LogTarget},
    standalone::{Standalone, StartError},
};

use crate::cmd::{print_line, CmdError, CmdResult, Exit};

/// Allowed values of `--entries`.
const ENTRIES_COUNT: RangeInclusive<u64> = 1..=16;

/// Allowed values of `--requests`; the workers' journals have space for the largest.
const REQUESTS_COUNT: RangeInclusive<u64> = 1..=50_000;

/// Makes the command line of `standalone`.
pub(crate) fn make_command() -> Command {
    Command::new("standalone")
        .about("Run the complete system in one process, on an in-memory platform")
        .long_about(
            "Run the complete system in one process, on an in-memory platform.\n\n\
             It starts several entries and the workers of an example deployment, publishes the \
             example's lists, grants a key to each team and prints all addresses and keys. The log \
             is served as well, so that `lists`, `keys`, `status` and `explain` can use it. It \
             runs until SIGINT or SIGTERM and persists nothing.\n\n\
             With `--requests N` it sends N example requests over the callers' interface instead: \
             calls and work for later, idempotent and not, with and without keys, some repeated at \
             a second entry, some cancelled, some invalid. It compares what the callers received \
             with what the workers ran, prints one line, and exits:\n\n  \
             requests=N answered=A refused=R lost=0 doubled=0 crossed=0 untrue=0 runs=M\n\n\
             lost: there was no answer, or it reported a run that no worker had.\n\
             doubled: a non-idempotent request ran more than once.\n\
             crossed: an answer belonged to another request, or was incomplete.\n\
             untrue: a request ran although the answer was \"not run\", or without its key.",
        )
        .after_help(
            "Exit codes:\n  0  stopped, or every request of --requests was answered or refused \
             and none was lost, doubled, crossed or untrue\n  1  otherwise; the faults are printed \
             to the standard error\n  4  it could not start\n\n\
             Example:\n  hawthornladder standalone --requests 1000 --seed 7",
        )
        .arg(
            Arg::new("requests")
                .long("requests")
                .value_name("N")
                .help("Send this many example requests, print the result and exit")
                .value_parser(value_parser!(u64).range(REQUESTS_COUNT)),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("SEED")
                .help("Seed of the generated requests")
                .default_value("1")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("entries")
                .long("entries")
                .value_name("N")
                .help("Number of entries to start")
                .default_value("3")
                .value_parser(value_parser!(u64).range(ENTRIES_COUNT)),
        )
        .arg(
            Arg::new("example")
                .long("example")
                .value_name("NAME")
                .help("Example deployment to run")
                .default_value(EXAMPLES[0].name)
                .value_parser(EXAMPLES.map(|example| example.name)),
        )
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .value_name("LEVEL")
                .help("Level of the log on the standard error")
                .default_value("warn")
                .value_parser(["error", "warn", "info", "debug", "trace"]),
        )
}

/// Executes `standalone`.
pub(crate) fn execute(matches: &ArgMatches) -> CmdResult {
    let log_level = matches.get_one::<String>("log-level");
    let log_level = log_level.map_or("warn", String::as_str);
    let _logger =
        logging::open(log_level, &LogTarget::Stderr).change_context(CmdError::Unavailable)?;
    let number = |name| matches.get_one::<u64>(name).copied();
    let entries_count = number("entries").map_or(1, |count| count as usize);
    let example = example(matches)?;
    match number("requests") {
        Some(requests_count) => {
            let standalone = open(&example, entries_count)?;
            let seed = number("seed").unwrap_or(0);
            send_requests(standalone, requests_count as usize, seed)
        }
        None => run_until_stopped(&example, entries_count),
    }
}

fn example(matches: &ArgMatches) -> Result<Example, Report<CmdError>> {
    let name = matches.get_one::<String>("example").map(String::as_str);
    EXAMPLES
        .into_iter()
        .find(|example| Some(example.name) == name)
        .ok_or_else(|| Report::new(CmdError::Usage))
}

fn open(example: &Example, entries_count: usize) -> Result<Standalone, Report<CmdError>> {
    Standalone::open(example, entries_count).map_err(|error| {
        let context = match error {
            StartError::Example(_) => CmdError::Fault,
            _ => CmdError::Unavailable,
        };
        Report::new(context).attach(error.to_string())
    })
}

fn send_requests(standalone: Standalone, requests_count: usize, seed: u64) -> CmdResult {
    let account = standalone.run_requests(requests_count, seed);
    print_line(&account.line())?;
    for fault in &account.faults {
        eprintln!("{fault}");
    }
    Ok(match account.is_fault_free() {
        true => Exit::Done,
        false => Exit::Refused,
    })
}

fn run_until_stopped(example: &Example, entries_count: usize) -> CmdResult {
    let (stop, stopped) = flume::bounded(1);
    ctrlc::set_handler(move || {
        // A second signal is ignored: the channel is full by then.
        let _ = stop.try_send(());
    })
    .change_context(CmdError::Fault)?;
    let standalone = open(example, entries_count)?;
    print_start(&standalone)?;
    // The signal handler owns the sender and lives as long as the process.
    let _ = stopped.recv();
    print_line("event=stopping")?;
    let cut_count = standalone.stop();
    print_line(&format!("event=stopped cut_count={cut_count}"))?;
    Ok(match cut_count {
        0 => Exit::Done,
        _ => Exit::Refused,
    })
}

fn print_start(standalone: &Standalone) -> Result<(), Report<CmdError>> {
    print_line(&format!(
        "event=bound role=log address={}",
        standalone.log_address()
    ))?;
    for entry in standalone.entries() {
        for (role, address) in [
            ("callers", entry.callers),
            ("peers", entry.peers),
            ("operators", entry.operators),
        ] {
            let name = &entry.name;
            print_line(&format!(
                "event=bound role={role} entry={name} address={address}"
            ))?;
        }
    }
    for (team, key) in standalone.keys() {
        print_line(&format!("event=key_granted team={team} key={key}"))?;
    }
    print_line("event=ready")
}
