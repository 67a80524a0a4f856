//! Exit codes of the program and the errors that subcommands end with.

use std::backtrace::Backtrace;
use std::panic::Location;
use std::process::ExitCode;

use error_stack::fmt::{Charset, ColorMode};
use error_stack::Report;

/// The exit codes as the help shows them.
pub(crate) const HELP: &str = "\
Exit codes:
  0  done
  1  refused: a file is faulty, or a promise that the command checks does not hold
  2  the command line is wrong
  3  a race was lost: somebody else's change came first, and nothing of yours was done
  4  a file or address that the command needs cannot be read or reached; nothing was changed
  5  the outcome is unknown: an answer was lost and could not be settled by reading
  70 a fault of the program";

/// How a subcommand ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum Exit {
    /// It did what it was asked.
    Done = 0,
    /// The input is refused, or what was checked does not hold.
    Refused = 1,
    /// The command line is wrong; `clap` ends with the same code.
    Usage = 2,
    /// Another change came first.
    RaceLost = 3,
    /// Something that is needed cannot be read or reached.
    Unavailable = 4,
    /// Whether it took effect could not be found out.
    Unsettled = 5,
    /// A fault of the program.
    Fault = 70,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        // The discriminants are the documented codes.
        #[allow(clippy::as_conversions)]
        ExitCode::from(exit as u8)
    }
}

/// Why a subcommand could not do what it was asked.
// One closed list for all subcommands, whichever of them are built in.
#[allow(dead_code)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub(crate) enum CmdError {
    /// The command line asks for nothing that there is.
    #[strum(serialize = "the command line is wrong")]
    Usage,
    /// What was given or asked is refused.
    #[strum(serialize = "refused")]
    Refused,
    /// Another change came first.
    #[strum(serialize = "another change came first")]
    RaceLost,
    /// A file or an address is not there or does not answer.
    #[strum(serialize = "something that the command needs is not available")]
    Unavailable,
    /// An answer was lost and could not be settled.
    #[strum(serialize = "the outcome is unknown")]
    Unsettled,
    /// A fault of the program.
    #[strum(serialize = "the program has a fault")]
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

/// Makes error reports plain text for operators, without places in the code.
pub(crate) fn configure_error_reports() {
    Report::set_color_mode(ColorMode::None);
    Report::set_charset(Charset::Ascii);
    Report::install_debug_hook::<Location<'static>>(|_, _| {});
    Report::install_debug_hook::<Backtrace>(|_, _| {});
}
