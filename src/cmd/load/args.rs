//! The command line of `load`.

use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};

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
        repeated_arg("entry", "IP:PORT", "Callers' address of an entry"),
        repeated_arg(
            "operators",
            "IP:PORT",
            "Operators' address of an entry, in the same order",
        ),
        repeated_arg(
            "entry-pid-file",
            "FILE",
            "File with the process id of an entry, in the same order",
        ),
        value_arg("log", "IP:PORT", "Address of the stand-in log"),
        value_arg("instances", "IP:PORT", "Address of the instance list").required(true),
        value_arg(
            "keys",
            "FILE",
            "JSON file with a list of keys for each team",
        ),
        value_arg(
            "fleet",
            "FILE",
            "Fleet file whose demand is played [default: the Lahore example]",
        ),
    ]
}

fn schedule_args() -> Vec<Arg> {
    vec![
        number_arg("seed", "1", "Seed of the schedule"),
        number_arg("seconds", "20", "Length of the load"),
        optional_number_arg(
            "rate",
            "Requests a second, constant, in place of the turns of demand",
        ),
        number_arg(
            "scale-permille",
            "1000",
            "Factor of the demand in turns, in thousandths",
        ),
        optional_number_arg(
            "run-ms",
            "Run time of every request [default: the stream's]",
        ),
        optional_number_arg("body-bytes", "Length of every body [default: the stream's]"),
        optional_number_arg(
            "idempotent-permille",
            "Part of idempotent requests [default: the stream's]",
        ),
        number_arg(
            "later-permille",
            "0",
            "Part of the requests submitted for later",
        ),
        number_arg(
            "cancel-permille",
            "0",
            "Part of the requests that are cancelled on the way",
        ),
        number_arg(
            "twin-permille",
            "0",
            "Part of the requests sent to two entries at once",
        ),
        flag_arg("skewed", "Let each team favour some entries"),
        flag_arg(
            "obey",
            "Let callers come back when a refusal says so, and elsewhere after a loss",
        ),
        number_arg("in-flight-max-count", "20000", "Requests in flight at most"),
        number_arg("threads", "2", "Threads of the callers"),
        flag_arg(
            "direct",
            "Send the same schedule straight to the workers first",
        ),
    ]
}

fn fault_and_output_args() -> Vec<Arg> {
    vec![
        value_arg("faults", "FILE", "Script of faults, in JSON with comments"),
        value_arg("fault-script", "NAME", "Built-in script of faults")
            .value_parser(["mixed"])
            .conflicts_with("faults"),
        value_arg(
            "plot",
            "FILE",
            "Write the distribution of the latency to this file, as SVG",
        ),
        value_arg(
            "report",
            "FILE",
            "Write the whole result to this file, as JSON",
        ),
        value_arg("output", "FORMAT", "How to print")
            .value_parser(["text", "json"])
            .default_value("text"),
    ]
}

fn value_arg(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

fn repeated_arg(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    value_arg(name, value, help).action(ArgAction::Append)
}

fn flag_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .action(ArgAction::SetTrue)
}

fn optional_number_arg(name: &'static str, help: &'static str) -> Arg {
    value_arg(name, "N", help).value_parser(value_parser!(u64))
}

fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    optional_number_arg(name, help).default_value(default)
}

/// Returns a text argument, if it is given.
pub(super) fn text<'m>(matches: &'m ArgMatches, name: &str) -> Option<&'m str> {
    matches.get_one::<String>(name).map(String::as_str)
}

/// Returns a number, if it is given.
pub(super) fn optional(matches: &ArgMatches, name: &str) -> Option<u64> {
    matches.get_one::<u64>(name).copied()
}

/// Returns a number that has a default.
pub(super) fn count(matches: &ArgMatches, name: &str) -> u64 {
    optional(matches, name).unwrap_or(0)
}

/// Returns `number`, or the greatest that fits.
pub(super) fn to_u32_saturating(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
