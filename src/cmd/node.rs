//! `node`: runs one node on the users' platform.

use std::str::FromStr;

use clap::{builder::PossibleValuesParser, Arg, ArgMatches, Command};
use error_stack::ResultExt;
use hawthornladder::{
    jobs::ForecastMethod,
    logging::{BufferedLog, Event},
    node::NodeHandle,
    platform::settings,
};
use tokio::signal::unix::{signal, SignalKind};

use crate::cmd::{CmdError, CmdResult, Exit};

/// Log level.
const LOG_LEVEL: &str = "info";

/// Makes the command line of `node`.
pub(crate) fn make_command() -> Command {
    Command::new("node")
        .about("Run one node on the users' platform")
        .long_about(
            "Run one node on the users' platform: it accepts jobs, and is the leader or passes the \
             jobs on to the leader.\n\n\
             It reads its settings from the file that the platform writes; \
             docs/platform-deployment.md lists the fields. Log lines go to the standard output. \
             SIGTERM stops it gracefully: it hands over leadership, answers the requests that it \
             has read and exits within the time given in the settings. SIGHUP has no effect: none \
             of its settings changes while it runs.",
        )
        .arg(
            Arg::new("demand-forecast")
                .long("demand-forecast")
                .value_name("METHOD")
                .help("How the leader forecasts the demand of a pool for the time that a move takes")
                .value_parser(PossibleValuesParser::new(ForecastMethod::names()))
                .default_value(<&str>::from(ForecastMethod::default())),
        )
}

/// Executes `node`.
pub(crate) fn execute(matches: &ArgMatches) -> CmdResult {
    let mut settings = settings::read().change_context(CmdError::Refused)?;
    settings.forecast = forecast_method(matches);
    let log = BufferedLog::open(LOG_LEVEL).change_context(CmdError::Unavailable)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(CmdError::Fault)?;
    let local = tokio::task::LocalSet::new();
    let ended = local.block_on(&runtime, run(settings, &log));
    log.flush();
    log.close();
    ended
}

/// Returns the forecast method that the command line selects.
fn forecast_method(matches: &ArgMatches) -> ForecastMethod {
    let name = matches.get_one::<String>("demand-forecast");
    let method = name.and_then(|name| ForecastMethod::from_str(name).ok());
    method.unwrap_or_default()
}

async fn run(settings: hawthornladder::node::NodeSettings, log: &BufferedLog) -> CmdResult {
    let mut stop = signal(SignalKind::terminate()).change_context(CmdError::Fault)?;
    let mut interrupt = signal(SignalKind::interrupt()).change_context(CmdError::Fault)?;
    let mut reload = signal(SignalKind::hangup()).change_context(CmdError::Fault)?;
    let node = NodeHandle::spawn(settings)
        .await
        .change_context(CmdError::Unavailable)
        .attach("cannot bind an address of the settings")?;
    let flush = node.flush_log(log);
    tokio::pin!(flush);
    loop {
        tokio::select! {
            _ = stop.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => Event::new("reloaded").info(),
            () = &mut flush => {}
        }
    }
    tokio::select! {
        () = node.stop() => {}
        () = &mut flush => {}
    }
    Ok(Exit::Done)
}
