//! stub
use crate::cmd::{CmdResult, Exit};
use clap::{ArgMatches, Command};
pub(crate) fn make_command() -> Command {
    Command::new("standalone")
}
pub(crate) fn execute(_: &ArgMatches) -> CmdResult {
    Ok(Exit::Done)
}
