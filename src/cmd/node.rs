//! `node`: runs one node on the users' platform.

use clap::{ArgMatches, Command};
use error_stack::ResultExt;
use hawthornladder::{
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
}

/// Executes `node`.
pub(crate) fn execute(_: &ArgMatches) -> CmdResult {
    let settings = settings::read().change_context(CmdError::Refused)?;
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
