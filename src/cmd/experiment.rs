//! `experiment`: measures the policies in virtual time, baselines and candidates in one run.

use std::path::Path;

use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};
use error_stack::Report;
use hawthornladder::load::cost::{cost_table, measure_cost, FLEET_SIZES};
use hawthornladder::load::engine_cost::{engine_table, measure_engine, WORKERS_COUNTS};
use hawthornladder::load::forecasts::{forecasts_table, measure_forecasts};
use hawthornladder::load::overload::{run_overload_experiment, OverloadConfig};
use hawthornladder::load::places::{run_places_experiment, PlacesConfig};
use hawthornladder::load::plot::{plot_overload, plot_places, plot_share, plot_teams};
use hawthornladder::load::run_times::{measure_run_times, run_times_table};
use hawthornladder::load::share::{run_share_experiment, ShareConfig};
use hawthornladder::load::state_cost::{measure_state, state_table};
use hawthornladder::load::teams::{run_teams_experiment, TeamsConfig};
use serde::Serialize;

use crate::cmd::{CmdError, CmdResult, Exit};

/// Makes the command line of `experiment`.
pub(crate) fn make_command() -> Command {
    Command::new("experiment")
        .about("Measure the policies in virtual time, baselines and candidates in one run")
        .subcommand_required(true)
        .subcommand(
            with_common_args(Command::new("share"))
                .about("Distance from share while one queue after another overloads its pool")
                .arg(
                    Arg::new("entries")
                        .long("entries")
                        .value_name("COUNT")
                        .value_parser(value_parser!(u16).range(1..))
                        .default_value("9")
                        .help("Number of entries"),
                )
                .arg(
                    Arg::new("workers")
                        .long("workers")
                        .value_name("COUNT")
                        .value_parser(value_parser!(u32).range(1..))
                        .help("Workers of each pool, instead of 8 to 12"),
                )
                .arg(
                    Arg::new("duration")
                        .long("duration-ms")
                        .value_name("MS")
                        .value_parser(value_parser!(u64))
                        .default_value("150000")
                        .help("Duration of the run in virtual milliseconds"),
                )
                .arg(
                    Arg::new("gossip")
                        .long("gossip-period-ms")
                        .value_name("MS")
                        .value_parser(value_parser!(u64).range(1..))
                        .default_value("100")
                        .help("Time between two gossip messages of an entry to its peers"),
                )
                .arg(
                    Arg::new("without-slot-hints")
                        .long("without-slot-hints")
                        .action(ArgAction::SetTrue)
                        .help("Do not notify the next peer of a slot that an entry leaves free"),
                ),
        )
        .subcommand(
            with_common_args(Command::new("overload"))
                .about("Goodput at half to ten times capacity, with bursts and a failing worker"),
        )
        .subcommand(
            Command::new("run-times")
                .about("Errors of expected and remaining run times, copies and slow workers")
                .arg(seed_arg())
                .arg(output_arg()),
        )
        .subcommand(
            Command::new("forecasts")
                .about("Errors of the forecasts of demand, by pattern and method")
                .arg(seed_arg())
                .arg(output_arg()),
        )
        .subcommand(
            with_common_args(Command::new("teams"))
                .about("Late jobs of each team beside one busy team, with and without rates"),
        )
        .subcommand(
            with_common_args(Command::new("places"))
                .about("Mean completion time with and without waits for the rack of the data")
                .arg(
                    Arg::new("duration")
                        .long("duration-ms")
                        .value_name("MS")
                        .value_parser(value_parser!(u64).range(1..))
                        .default_value("60000")
                        .help("Time for which jobs arrive, in virtual milliseconds"),
                ),
        )
        .subcommand(
            Command::new("state-cost")
                .about("Cost of the ledger, the snapshot and the engine by size of the fleet")
                .arg(output_arg()),
        )
        .subcommand(
            Command::new("engine")
                .about("Processor time of the job engine in a demand peak by the number of workers")
                .arg(output_arg()),
        )
        .subcommand(
            Command::new("cost")
                .about("Processor time of the policies' steps by size of the fleet")
                .arg(output_arg()),
        )
}

fn with_common_args(command: Command) -> Command {
    command.arg(seed_arg()).arg(output_arg()).arg(
        Arg::new("plot")
            .long("plot")
            .value_name("FILE")
            .help("Also write a plot as SVG to this file"),
    )
}

fn seed_arg() -> Arg {
    Arg::new("seed")
        .long("seed")
        .value_name("N")
        .value_parser(value_parser!(u64))
        .default_value("1")
        .help("Seed; the same seed gives the same figures")
}

fn output_arg() -> Arg {
    Arg::new("output")
        .long("output")
        .value_name("FORM")
        .value_parser(["table", "json"])
        .default_value("table")
        .help("How to print the figures")
}

/// Executes `experiment`.
pub(crate) fn execute(args: &ArgMatches) -> CmdResult {
    let result = match args.subcommand() {
        Some(("share", args)) => execute_share(args),
        Some(("overload", args)) => execute_overload(args),
        Some(("run-times", args)) => {
            let rows = measure_run_times(number(args, "seed"));
            print_report(args, &run_times_table(&rows), &rows)
        }
        Some(("forecasts", args)) => {
            let rows = measure_forecasts(number(args, "seed"));
            print_report(args, &forecasts_table(&rows), &rows)
        }
        Some(("teams", args)) => execute_teams(args),
        Some(("places", args)) => execute_places(args),
        Some(("state-cost", args)) => {
            let rows = measure_state();
            print_report(args, &state_table(&rows), &rows)
        }
        Some(("engine", args)) => {
            let rows = measure_engine(&WORKERS_COUNTS);
            print_report(args, &engine_table(&rows), &rows)
        }
        Some(("cost", args)) => {
            let rows = measure_cost(&FLEET_SIZES);
            print_report(args, &cost_table(&rows), &rows)
        }
        _ => return Err(Report::new(CmdError::Usage)),
    };
    match result {
        Ok(()) => Ok(Exit::Done),
        Err(text) => Err(Report::new(CmdError::Unavailable).attach(text)),
    }
}

fn execute_share(args: &ArgMatches) -> Result<(), String> {
    let mut config = ShareConfig {
        seed: number(args, "seed"),
        entries_count: usize::from(*args.get_one::<u16>("entries").unwrap_or(&9)),
        duration_ms: number(args, "duration"),
        gossip_period_ms: number(args, "gossip"),
        has_free_slot_hints: !args.get_flag("without-slot-hints"),
        ..ShareConfig::default()
    };
    if let Some(workers_count) = args.get_one::<u32>("workers") {
        config.workers_of_pools.fill(*workers_count);
    }
    let report = run_share_experiment(&config);
    print_report(args, &report.table(), &report)?;
    match args.get_one::<String>("plot") {
        Some(file) => plot_share(&report, Path::new(file)),
        None => Ok(()),
    }
}

fn execute_overload(args: &ArgMatches) -> Result<(), String> {
    let config = OverloadConfig {
        seed: number(args, "seed"),
        ..OverloadConfig::default()
    };
    let report = run_overload_experiment(&config);
    print_report(args, &report.table(), &report)?;
    match args.get_one::<String>("plot") {
        Some(file) => plot_overload(&report, Path::new(file)),
        None => Ok(()),
    }
}

fn execute_teams(args: &ArgMatches) -> Result<(), String> {
    let config = TeamsConfig {
        seed: number(args, "seed"),
        ..TeamsConfig::default()
    };
    let report = run_teams_experiment(&config);
    print_report(args, &report.table(), &report)?;
    match args.get_one::<String>("plot") {
        Some(file) => plot_teams(&report, Path::new(file)),
        None => Ok(()),
    }
}

fn execute_places(args: &ArgMatches) -> Result<(), String> {
    let config = PlacesConfig {
        seed: number(args, "seed"),
        duration_ms: number(args, "duration"),
        ..PlacesConfig::default()
    };
    let report = run_places_experiment(&config);
    print_report(args, &report.table(), &report)?;
    match args.get_one::<String>("plot") {
        Some(file) => plot_places(&report, Path::new(file)),
        None => Ok(()),
    }
}

fn number(args: &ArgMatches, name: &str) -> u64 {
    args.get_one(name).copied().unwrap_or_default()
}

fn print_report<R: Serialize>(args: &ArgMatches, table: &str, report: &R) -> Result<(), String> {
    let is_json = args
        .get_one::<String>("output")
        .is_some_and(|form| form == "json");
    let text = match is_json {
        true => serde_json::to_string_pretty(report).map_err(|error| error.to_string())? + "\n",
        false => table.to_owned(),
    };
    print!("{text}");
    Ok(())
}
