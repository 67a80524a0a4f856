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
pub(super) fn small(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
