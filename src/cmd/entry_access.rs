//! The `--entry` argument: addresses of the entries that a command calls.

use std::net::SocketAddr;

use clap::{Arg, ArgAction, ArgMatches};
use error_stack::{Report, ResultExt};

use crate::cmd::CmdError;

/// Makes the `--entry` argument.
pub(crate) fn arg() -> Arg {
    Arg::new("entry")
        .long("entry")
        .value_name("IP:PORT")
        .help("Operators' address of an entry; may be given more than once")
        .action(ArgAction::Append)
        .num_args(1..)
}

/// Returns the addresses given with `--entry`.
pub(crate) fn addresses(matches: &ArgMatches) -> Result<Vec<SocketAddr>, Report<CmdError>> {
    let texts = matches.get_many::<String>("entry").unwrap_or_default();
    texts
        .map(|text| {
            text.parse()
                .change_context(CmdError::Usage)
                .attach_with(|| format!("--entry {text}: write IP:PORT"))
        })
        .collect()
}
