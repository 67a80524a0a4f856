//! The `hawthornladder` program.

mod cmd;

fn main() {
    let matches = clap::Command::new("hawthornladder")
        .subcommand(cmd::experiment::make_command())
        .get_matches();
    if let Some(("experiment", args)) = matches.subcommand() {
        cmd::experiment::execute(args)
    }
}
