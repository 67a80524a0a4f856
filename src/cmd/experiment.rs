//! `experiment`: measures the policies in virtual time.

use clap::{value_parser, Arg, ArgMatches, Command};
use hawthornladder::load::share::{run_share_experiment, ShareConfig};

/// Makes the `clap` command.
pub(crate) fn make_command() -> Command {
    Command::new("experiment").subcommand(
        Command::new("share").arg(
            Arg::new("seed")
                .long("seed")
                .value_parser(value_parser!(u64))
                .default_value("1"),
        ),
    )
}

/// Runs the command.
pub(crate) fn execute(args: &ArgMatches) {
    let args = args.subcommand_matches("share").unwrap();
    let config = ShareConfig {
        seed: *args.get_one("seed").unwrap(),
        ..ShareConfig::default()
    };
    print!("{}", run_share_experiment(&config).table());
}
