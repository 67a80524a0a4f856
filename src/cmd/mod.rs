//! The subcommands of the program, one module each, with a `make_command` for `clap` and an
//! `execute`.

mod check;
mod entry;
mod entry_access;
mod exit;
mod experiment;
mod explain;
mod explain_job;
mod keys;
mod lists;
mod load;
mod log_access;
mod node;
mod stand_in;
mod standalone;
mod status;
mod table;
mod upkeep_experiment;

use std::io::{self, Write};

use clap::{Arg, ArgMatches, Command};
use error_stack::{Report, ResultExt};

pub(crate) use exit::{configure_error_reports, CmdError, Exit};

/// Result of a subcommand.
pub(crate) type CmdResult = Result<Exit, Report<CmdError>>;

/// A subcommand of the program.
struct Subcommand {
    /// Makes its `clap` command; the name of the command selects the subcommand.
    make: fn() -> Command,
    /// Executes it.
    execute: fn(&ArgMatches) -> CmdResult,
}

/// Every subcommand, in the order of the help.
const SUBCOMMANDS: &[Subcommand] = &[
    Subcommand {
        make: check::make_command,
        execute: check::execute,
    },
    Subcommand {
        make: entry::make_command,
        execute: entry::execute,
    },
    Subcommand {
        make: node::make_command,
        execute: node::execute,
    },
    Subcommand {
        make: lists::make_command,
        execute: lists::execute,
    },
    Subcommand {
        make: keys::make_command,
        execute: keys::execute,
    },
    Subcommand {
        make: status::make_command,
        execute: status::execute,
    },
    Subcommand {
        make: explain::make_command,
        execute: explain::execute,
    },
    Subcommand {
        make: standalone::make_command,
        execute: standalone::execute,
    },
    Subcommand {
        make: load::make_command,
        execute: load::execute,
    },
    Subcommand {
        make: stand_in::make_command,
        execute: stand_in::execute,
    },
    Subcommand {
        make: experiment::make_command,
        execute: experiment::execute,
    },
    Subcommand {
        make: upkeep_experiment::make_command,
        execute: upkeep_experiment::execute,
    },
];

/// Overview of the program, for readers who have only its help.
const LONG_ABOUT: &str = "\
Manages the capacity and the maintenance of a shared fleet.

Callers send requests to any of several entries. An entry checks the team's key, runs the request once \
on a worker of a pool that the team's plan may use, and returns the complete answer. Operators control \
it with two lists and the teams' keys.

  try it             standalone, standalone --requests 1000
  run it             entry: one process on each instance of the system
                     node: the same on the users' platform
  change the lists   check, lists diff, lists publish --from VERSION
  keys               keys grant, keys withdraw, keys list
  inspect it         status: what is in force, and every refusal reason with its count
                     explain: why something would be refused or delayed now
  trials             stand-in, load, experiment, experiment-upkeep

Every command has a guide: hawthornladder COMMAND --help. Commands whose output scripts may read \
have --output json.";

/// Prints one line to the standard output and flushes it.
pub(crate) fn print_line(line: &str) -> Result<(), Report<CmdError>> {
    let mut out = io::stdout().lock();
    writeln!(out, "{line}")
        .and_then(|()| out.flush())
        .change_context(CmdError::Unavailable)
        .attach("cannot write to the standard output")
}

/// Makes the `--output` argument, which selects text or JSON.
pub(crate) fn output_arg() -> Arg {
    Arg::new("output")
        .long("output")
        .value_name("FORMAT")
        .help("Output format")
        .value_parser(["text", "json"])
        .default_value("text")
}

/// Returns whether [`output_arg`] selects JSON.
pub(crate) fn is_json(matches: &ArgMatches) -> bool {
    matches.get_one::<String>("output").map(String::as_str) == Some("json")
}

/// Makes the command line of the program.
pub(crate) fn make_command() -> Command {
    Command::new("hawthornladder")
        .version(clap::crate_version!())
        .about("Manages the capacity and the maintenance of a shared fleet")
        .long_about(LONG_ABOUT)
        .after_help(exit::HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands(SUBCOMMANDS.iter().map(|subcommand| (subcommand.make)()))
}

/// Executes the selected subcommand.
pub(crate) fn execute(matches: &ArgMatches) -> CmdResult {
    let Some((name, matches)) = matches.subcommand() else {
        return Err(Report::new(CmdError::Usage));
    };
    let selected = SUBCOMMANDS
        .iter()
        .find(|subcommand| (subcommand.make)().get_name() == name);
    match selected {
        Some(subcommand) => (subcommand.execute)(matches),
        None => Err(Report::new(CmdError::Usage)),
    }
}
