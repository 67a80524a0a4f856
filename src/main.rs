//! The `hawthornladder` program.

use std::process::ExitCode;

mod cmd;

fn main() -> ExitCode {
    let matches = clap::Command::new("hawthornladder")
        .subcommand_required(true)
        .subcommand(cmd::experiment::make_command())
        .get_matches();
    let result = match matches.subcommand() {
        Some(("experiment", args)) => cmd::experiment::execute(args),
        _ => Ok(()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            eprintln!("{text}");
            ExitCode::FAILURE
        }
    }
}
