//! Arguments for, and access to, the log service.

use std::time::Duration;

use clap::{value_parser, Arg, ArgMatches};
use error_stack::{Report, ResultExt};
use hawthornladder::{
    adapters::{log_http::ServiceTimeouts, platform_http::FailoverHttpLog},
    operator::LedgerReader,
};

use crate::cmd::CmdError;

/// Timeouts of a call to the log.
const CALL_TIMEOUTS: ServiceTimeouts = ServiceTimeouts {
    connect_ms: 1_000,
    call_ms: 2_000,
};

/// Access to the log for one command.
pub(crate) struct LogAccess {
    pub(crate) log: FailoverHttpLog,
    /// Name of the operator, written to the log.
    pub(crate) operator: String,
    /// Time within which the log must answer the command.
    pub(crate) timeout: Duration,
}

/// Makes the arguments of access to the log.
pub(crate) fn args() -> [Arg; 3] {
    [
        Arg::new("log")
            .long("log")
            .value_name("IP:PORT")
            .help("Address of the log service; may be given more than once")
            .required(true)
            .action(clap::ArgAction::Append),
        Arg::new("operator")
            .long("operator")
            .value_name("NAME")
            .help("Name of the operator, written to the log [default: the user's name]"),
        Arg::new("timeout-ms")
            .long("timeout-ms")
            .value_name("MS")
            .help("Time within which the log must answer the command")
            .default_value("10000")
            .value_parser(value_parser!(u64)),
    ]
}

/// Returns access to the log according to the arguments.
pub(crate) fn open(matches: &ArgMatches) -> Result<LogAccess, Report<CmdError>> {
    let mut addresses = Vec::new();
    for address in matches.get_many::<String>("log").unwrap_or_default() {
        let parsed: std::net::SocketAddr = address
            .parse()
            .change_context(CmdError::Usage)
            .attach_with(|| format!("--log {address}: write IP:PORT"))?;
        addresses.push(parsed.to_string());
    }
    let operator = matches
        .get_one::<String>("operator")
        .cloned()
        .or_else(|| std::env::var("USER").ok())
        .unwrap_or_else(|| "unknown".to_owned());
    let timeout_ms = matches.get_one::<u64>("timeout-ms").copied();
    Ok(LogAccess {
        log: FailoverHttpLog::open(&addresses, CALL_TIMEOUTS),
        operator,
        timeout: Duration::from_millis(timeout_ms.unwrap_or(10_000)),
    })
}

impl LogAccess {
    /// Reads the ledger up to the head of the log.
    pub(crate) fn read(&self) -> Result<LedgerReader<'_>, Report<CmdError>> {
        LedgerReader::open(&self.log, self.timeout).map_err(|error| {
            Report::new(CmdError::Unavailable)
                .attach(format!("the log does not answer: {error}: {error:?}"))
        })
    }
}
