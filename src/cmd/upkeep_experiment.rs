//! `experiment-upkeep`: measures moves, roll-outs, buffers and weights in virtual time, and their
//! baselines.

use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};
use hawthornladder::load::upkeep_model::cost;
use hawthornladder::load::upkeep_model::experiments::{self, Row};

use crate::cmd::{CmdResult, Exit};

/// Columns of the table for roll-outs.
const ROLLOUT_COLUMNS: &[&str] = &[
    "is_finished",
    "rollout_ms",
    "bound_ms",
    "cut_count",
    "breaches_count",
    "over_budget_ms",
    "refused_count",
    "spoilt_count",
    "stop_bad_ms",
    "resume_ms",
    "driver_gap_ms",
];

/// Columns of the table for moves.
const MOVE_COLUMNS: &[&str] = &[
    "moves_per_hour",
    "spare_instance_hours",
    "missed_permille",
    "distance_mean_permille",
    "distance_max_permille",
    "breaches_count",
];

/// Columns of the table for buffers.
const BUFFER_COLUMNS: &[&str] = &[
    "spare_planned_count",
    "spare_instance_hours",
    "moves_per_hour",
    "missed_permille",
    "distance_mean_permille",
];

/// Columns of the table for weights.
const WEIGHT_COLUMNS: &[&str] = &[
    "rollout_ms",
    "moves_per_hour",
    "spare_instance_hours",
    "distance_mean_permille",
    "missed_permille",
];

/// Makes the command line of `experiment-upkeep`.
pub(crate) fn make_command() -> Command {
    let seed = Arg::new("seed")
        .long("seed")
        .value_name("N")
        .help("Seed of all random numbers; the same seed gives the same figures")
        .value_parser(value_parser!(u64))
        .global(true)
        .default_value("1");
    let output = Arg::new("output")
        .long("output")
        .value_name("FORMAT")
        .help("How to print the figures")
        .value_parser(["table", "json"])
        .global(true)
        .default_value("table");
    let large = Arg::new("large")
        .long("large")
        .help("Also run the fleet of 14,000 instances in 33 pools")
        .action(ArgAction::SetTrue)
        .global(true);
    Command::new("experiment-upkeep")
        .about("Measure roll-outs, moves, buffers and weights in virtual time, and their baselines")
        .subcommand_required(true)
        .args([seed, output, large])
        .subcommand(
            Command::new("rollout").about(
                "Roll-outs: healthy, with a bad image, with a lost driver, with two drivers",
            ),
        )
        .subcommand(
            Command::new("moves").about(
                "Moves: alternating demand peaks, a long shift of demand, the loss of a rack",
            ),
        )
        .subcommand(Command::new("buffers").about("Buffers for the loss of a rack and of a zone"))
        .subcommand(
            Command::new("weights")
                .about("Weights: the same scenario with several weights of the measures"),
        )
        .subcommand(
            Command::new("cost")
                .about("Cost: wall-clock time of each decision at several fleet sizes"),
        )
}

/// Executes `experiment-upkeep`.
pub(crate) fn execute(matches: &ArgMatches) -> CmdResult {
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or_default();
    let is_json = matches.get_one::<String>("output").map(String::as_str) == Some("json");
    let with_large = matches.get_flag("large");
    match matches.subcommand_name() {
        Some("rollout") => print(
            &experiments::rollouts(seed, with_large),
            ROLLOUT_COLUMNS,
            is_json,
        ),
        Some("moves") => print(&experiments::moves(seed, with_large), MOVE_COLUMNS, is_json),
        Some("buffers") => print(&experiments::buffers(seed), BUFFER_COLUMNS, is_json),
        Some("weights") => print(&experiments::weights(seed), WEIGHT_COLUMNS, is_json),
        _ => print_cost(&cost::measure(), is_json),
    }
    Ok(Exit::Done)
}

fn print(rows: &[Row], columns: &[&str], is_json: bool) {
    match is_json {
        true => print_json(rows),
        false => print!("{}", experiments::table(rows, columns)),
    }
}

fn print_cost(rows: &[cost::CostRow], is_json: bool) {
    match is_json {
        true => print_json(rows),
        false => print!("{}", cost::table(rows)),
    }
}

fn print_json<T: serde::Serialize>(rows: &[T]) {
    for row in rows {
        println!("{}", serde_json::to_string(row).unwrap_or_default());
    }
}
