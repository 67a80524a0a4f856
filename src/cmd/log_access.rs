//! How commands reach the log service.

use std::time::Duration;

use clap::{value_parser, Arg, ArgMatches};
use error_stack::{Report, ResultExt};
use hawthornladder::{
    adapters::{log_http::ServiceTimeouts, platform_http::FailoverHttpLog},
    operator::LedgerReader,
};

use crate::cmd::CmdError;

/// Timeouts of one call to the log.
const CALL_TIMEOUTS: ServiceTimeouts = ServiceTimeouts {
    connect_ms: 1_000,
    call_ms: 2_000,
};

/// Access to the log for one command.
pub(crate) struct LogAccess {
    pub(crate) log: FailoverHttpLog,
    /// Who acts, for the record.
    pub(crate) operator: String,
    /// Time that the command gives the log.
    pub(crate) timeout: Duration,
}

/// Makes the arguments that name the log.
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
            .help("Who acts, for the record [default: the user's name]"),
        Arg::new("timeout-ms")
            .long("timeout-ms")
            .value_name("MS")
            .help("Time that the command gives the log")
            .default_value("10000")
            .value_parser(value_parser!(u64)),
    ]
}

/// Returns the access that the arguments name.
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
