//! Exit codes of the program and errors of its subcommands.

use std::backtrace::Backtrace;
use std::panic::Location;
use std::process::ExitCode;

use error_stack::fmt::{Charset, ColorMode};
use error_stack::Report;

/// The exit codes, as shown in the help.
pub(crate) const HELP: &str = "\
Exit codes:
  0  done
  1  refused: a file has an error, or a guarantee that the command checks was broken
  2  the command line is wrong
  3  a race was lost: somebody else's change came first, and yours was not applied
  4  a file or address that the command needs cannot be read or reached; nothing was changed
  5  the outcome is unknown: an answer was lost and reading did not reveal the outcome
  70 an internal error of the program";

/// Exit code of a subcommand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The input is refused, or a check failed.
    Refused = 1,
    /// The command line is wrong; `clap` exits with the same code.
    Usage = 2,
    /// Another operator's change came first.
    RaceLost = 3,
    /// A file or address that the command needs cannot be read or reached.
    Unavailable = 4,
    /// Whether the command took effect could not be determined.
    Unsettled = 5,
    /// An internal error of the program.
    Fault = 70,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        // The discriminants are the documented exit codes.
        #[allow(clippy::as_conversions)]
        ExitCode::from(exit as u8)
    }
}

/// Why a subcommand failed.
// One list for all subcommands; not every build uses every variant.
#[allow(dead_code)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub(crate) enum CmdError {
    /// The command line is wrong.
    #[strum(serialize = "the command line is wrong")]
    Usage,
    /// The input or the change is refused.
    #[strum(serialize = "refused")]
    Refused,
    /// Another operator's change came first.
    #[strum(serialize = "another change came first")]
    RaceLost,
    /// A file cannot be read, or an address does not answer.
    #[strum(serialize = "a file or service that the command needs is not available")]
    Unavailable,
    /// An answer was lost and the outcome could not be determined.
    #[strum(serialize = "the outcome is unknown")]
    Unsettled,
    /// An internal error of the program.
    #[strum(serialize = "internal error")]
    Fault,
}

impl std::error::Error for CmdError {}

impl CmdError {
    /// Returns the exit code for the error.
    pub(crate) fn exit(self) -> Exit {
        match self {
            Self::Usage => Exit::Usage,
            Self::Refused => Exit::Refused,
            Self::RaceLost => Exit::RaceLost,
            Self::Unavailable => Exit::Unavailable,
            Self::Unsettled => Exit::Unsettled,
            Self::Fault => Exit::Fault,
        }
    }
}

/// Makes error reports plain text for operators, without source locations and backtraces.
pub(crate) fn configure_error_reports() {
    Report::set_color_mode(ColorMode::None);
    Report::set_charset(Charset::Ascii);
    Report::install_debug_hook::<Location<'static>>(|_, _| {});
    Report::install_debug_hook::<Backtrace>(|_, _| {});
}
