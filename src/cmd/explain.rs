//! `explain`: reports why a request, a move or a stop would be refused or delayed now.

use clap::{value_parser, Arg, ArgMatches, Command};
use error_stack::Report;
use hawthornladder::{
    adapters::{operators_client::OperatorsClient, operators_http::Explain},
    entry::Explanation,
    fleet::Resources,
};
use smol_str::SmolStr;

use crate::cmd::{
    entry_access, explain_job, is_json, output_arg, print_line, CmdError, CmdResult, Exit,
};

/// Makes the command line of `explain`.
pub(crate) fn make_command() -> Command {
    Command::new("explain")
        .about("Explain why a request, a move, a stop or a job would be refused or delayed now")
        .long_about(
            "Explain why a request, a move or a stop would be refused or delayed now.\n\n\
             Each entry answers from its present state; nothing is run, moved or stopped. Each \
             reason is one line that begins with its name; docs/operators.md has a section for \
             each name. A job is explained by a node of the users' platform.",
        )
        .after_help(
            "Exit codes:\n  0  it would be let through at once\n  1  it would be refused or \
             delayed\n  4  an entry gave no answer; the others are printed\n\n\
             Example:\n  hawthornladder explain request --queue delay-maps --team survey-crews \\\n    \
             --cores-milli 4000 --memory-mb 8000 --entry 127.0.0.1:7102",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(make_request_command())
        .subcommand(make_move_command())
        .subcommand(make_stop_command())
        .subcommand(explain_job::make_command())
}

fn make_request_command() -> Command {
    Command::new("request")
        .about("Explain a caller's request")
        .arg(text_arg("queue", "QUEUE", "Queue that the request would be sent to").required(true))
        .arg(text_arg(
            "team",
            "TEAM",
            "Team whose key the request would carry; none for a queue open to all",
        ))
        .arg(number_arg(
            "cores-milli",
            "1000",
            "Declared size in thousandths of a core",
        ))
        .arg(number_arg("memory-mb", "256", "Declared size in megabytes"))
        .arg(number_arg(
            "accelerators-count",
            "0",
            "Declared size in accelerators",
        ))
        .arg(number_arg(
            "deadline-ms",
            "30000",
            "Time from the request to its deadline",
        ))
        .args(common_args())
}

fn make_move_command() -> Command {
    Command::new("move")
        .about("Explain the move of an instance to another pool")
        .arg(instance_arg())
        .arg(text_arg("to-pool", "POOL", "Pool that the instance would move to").required(true))
        .args(common_args())
}

fn make_stop_command() -> Command {
    Command::new("stop")
        .about("Explain the planned stop of an instance")
        .arg(instance_arg())
        .args(common_args())
}

fn common_args() -> [Arg; 2] {
    [entry_access::arg().required(true), output_arg()]
}

fn instance_arg() -> Arg {
    Arg::new("instance")
        .value_name("INSTANCE")
        .help("Name of the instance")
        .required(true)
}

pub(crate) fn text_arg(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

pub(crate) fn number_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .help(help)
        .default_value(default)
        .value_parser(value_parser!(u64))
}

/// Executes `explain`.
pub(crate) fn execute(matches: &ArgMatches) -> CmdResult {
    let (question, matches) = match matches.subcommand() {
        Some(("request", matches)) => (request_question(matches), matches),
        Some(("move", matches)) => (
            Explain::Move {
                instance: text(matches, "instance"),
                to_pool: text(matches, "to-pool"),
            },
            matches,
        ),
        Some(("stop", matches)) => (
            Explain::Stop {
                instance: text(matches, "instance"),
            },
            matches,
        ),
        Some(("job", matches)) => return explain_job::execute(matches),
        _ => return Err(Report::new(CmdError::Usage)),
    };
    let is_json = is_json(matches);
    let mut exit = Exit::Done;
    for address in entry_access::addresses(matches)? {
        let answer = OperatorsClient::open(address).explain(&question);
        exit = match (&answer, exit) {
            (Err(_), _) | (_, Exit::Unavailable) => Exit::Unavailable,
            (Ok(explanation), exit) if explanation.is_free => exit,
            (Ok(_), _) => Exit::Refused,
        };
        match answer {
            Ok(explanation) if is_json => print_line(&serde_json::json!({
                "entry": address, "is_free": explanation.is_free, "reasons": explanation.reasons,
            })
            .to_string())?,
            Ok(explanation) => print_text(&address.to_string(), &explanation)?,
            Err(failure) if is_json => print_line(&serde_json::json!({
                "entry": address, "error": failure.to_string(),
            })
            .to_string())?,
            Err(failure) => print_line(&format!("entry {address}: {failure}"))?,
        }
    }
    Ok(exit)
}

fn request_question(matches: &ArgMatches) -> Explain {
    let number = |name| matches.get_one::<u64>(name).copied().unwrap_or(0);
    Explain::Request {
        queue: text(matches, "queue"),
        team: matches.get_one::<String>("team").map(SmolStr::new),
        size: Resources {
            cores_milli: number("cores-milli"),
            memory_mb: number("memory-mb"),
            accelerators_count: number("accelerators-count"),
        },
        deadline_ms: number("deadline-ms"),
    }
}

fn print_text(entry: &str, explanation: &Explanation) -> Result<(), Report<CmdError>> {
    if explanation.is_free {
        return print_line(&format!("entry {entry}: it would be let through at once"));
    }
    print_line(&format!("entry {entry}: it would be refused or delayed"))?;
    for reason in &explanation.reasons {
        print_line(&format!("  {reason}"))?;
    }
    Ok(())
}

pub(crate) fn text(matches: &ArgMatches, name: &str) -> SmolStr {
    matches
        .get_one::<String>(name)
        .map_or_else(SmolStr::default, SmolStr::new)
}
