//! The command line of `load`.

use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};

/// Makes the command line of `load`.
pub(crate) fn make_command() -> Command {
    Command::new("load")
        .about("Send load to running entries and check every request against the workers' journals")
        .long_about(
            "Send load to running entries and check every request against the workers' journals.\n\n\
             The requests follow the demand of a fleet file with a fixed seed. They are sent on \
             schedule whether or not earlier ones were answered (an open loop); latency is \
             measured from the scheduled time. With `--direct` the same schedule is first sent \
             directly to the workers; the difference is the latency that the entries add. Faults \
             are injected into the stand-ins and into the processes given by `--entry-pid-file`; \
             the command starts no process. The exit code is 1 if a guarantee was broken.",
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
            "Fleet file whose demand is sent [default: the Lahore example]",
        ),
    ]
}

fn schedule_args() -> Vec<Arg> {
    vec![
        number_arg("seed", "1", "Seed of the schedule"),
        number_arg("seconds", "20", "Duration of the load in seconds"),
        optional_number_arg(
            "rate",
            "Constant number of requests per second, instead of the demand peaks",
        ),
        number_arg(
            "scale-permille",
            "1000",
            "Factor of the fleet file's demand, in thousandths",
        ),
        optional_number_arg(
            "run-ms",
            "Run time of every request in milliseconds [default: the stream's]",
        ),
        optional_number_arg(
            "body-bytes",
            "Length of every body in bytes [default: the stream's]",
        ),
        optional_number_arg(
            "idempotent-permille",
            "Fraction of idempotent requests, in thousandths [default: the stream's]",
        ),
        number_arg(
            "later-permille",
            "0",
            "Fraction of the requests submitted for later, in thousandths",
        ),
        number_arg(
            "cancel-permille",
            "0",
            "Fraction of the requests that are cancelled in flight, in thousandths",
        ),
        number_arg(
            "twin-permille",
            "0",
            "Fraction of the requests that are sent to two entries at once, in thousandths",
        ),
        flag_arg("skewed", "Let each team prefer some entries"),
        flag_arg(
            "obey",
            "Let callers retry when a refusal says so, and at another entry after a lost answer",
        ),
        number_arg(
            "in-flight-max-count",
            "20000",
            "Maximum number of requests in flight",
        ),
        number_arg("threads", "2", "Number of caller threads"),
        flag_arg(
            "direct",
            "First send the same schedule directly to the workers",
        ),
    ]
}

fn fault_and_output_args() -> Vec<Arg> {
    vec![
        value_arg("faults", "FILE", "Fault script, in JSON with comments"),
        value_arg("fault-script", "NAME", "Built-in fault script")
            .value_parser(["mixed"])
            .conflicts_with("faults"),
        value_arg(
            "plot",
            "FILE",
            "Write a plot of the latency distribution to this file, as SVG",
        ),
        value_arg(
            "report",
            "FILE",
            "Write the complete result to this file, as JSON",
        ),
        value_arg("output", "FORMAT", "Output format")
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

/// Returns the value of a text argument, if it is given.
pub(super) fn text<'m>(matches: &'m ArgMatches, name: &str) -> Option<&'m str> {
    matches.get_one::<String>(name).map(String::as_str)
}

/// Returns the value of a number argument, if it is given.
pub(super) fn optional(matches: &ArgMatches, name: &str) -> Option<u64> {
    matches.get_one::<u64>(name).copied()
}

/// Returns the value of a number argument that has a default.
pub(super) fn count(matches: &ArgMatches, name: &str) -> u64 {
    optional(matches, name).unwrap_or(0)
}

/// Returns `number`, or the largest `u32` if it does not fit.
pub(super) fn to_u32_saturating(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
