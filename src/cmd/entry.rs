//! `entry`: runs one entry process.

use std::{fs, path::PathBuf, sync::Arc};

use clap::{value_parser, Arg, ArgMatches, Command};
use error_stack::{Report, ResultExt};
use hawthornladder::{
    adapters::platform_http::HttpPlatform,
    entry::{entry_name, Entry, EntrySettings},
    logging::{self, LogTarget},
    settings::{self, Settings},
};
use uuid::Uuid;

use crate::cmd::{print_line, CmdError, CmdResult, Exit};

/// Makes the command line of `entry`.
pub(crate) fn make_command() -> Command {
    Command::new("entry")
        .about("Run one entry process")
        .long_about(
            "Run one entry process: it accepts callers' requests, places them on workers and \
             enforces the lists.\n\n\
             The settings are checked before any port is bound. When all ports are bound it prints \
             `event=bound role=callers|peers|operators address=IP:PORT` for each and \
             `event=ready`; `GET /ready` on the operators' port reports whether it accepts \
             requests. SIGTERM or SIGINT stops it gracefully: it refuses new requests, finishes \
             those in flight and hands over what it holds.",
        )
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help("Settings file, in JSON with comments")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("name")
                .long("name")
                .value_name("NAME")
                .help("Name of this entry in answers and logs [default: entry-ADDRESS]"),
        )
}

/// Executes `entry`.
pub(crate) fn execute(matches: &ArgMatches) -> CmdResult {
    let settings = read_settings(matches)?;
    let target = match &settings.log_file {
        Some(path) => LogTarget::File(PathBuf::from(path.as_str())),
        None => LogTarget::Stderr,
    };
    let _logger = logging::open(&settings.log_level.to_string(), &target)
        .change_context(CmdError::Unavailable)?;
    let name = match matches.get_one::<String>("name") {
        Some(name) => name.as_str().into(),
        None => entry_name(&settings),
    };
    let (stop, stopped) = flume::bounded(1);
    ctrlc::set_handler(move || {
        // A second signal is ignored: the channel is full by then.
        let _ = stop.try_send(());
    })
    .change_context(CmdError::Fault)?;
    let platform = Arc::new(HttpPlatform::open(&settings));
    let incarnation = Uuid::now_v7().simple().to_string();
    let entry = Entry::spawn(
        EntrySettings::from_settings(&settings, &name),
        platform,
        &incarnation,
    )
    .change_context(CmdError::Unavailable)
    .attach("cannot bind an address of the settings")?;
    print_line(&format!(
        "event=bound role=callers address={}",
        entry.callers_address()
    ))?;
    print_line(&format!(
        "event=bound role=peers address={}",
        entry.peers_address()
    ))?;
    print_line(&format!(
        "event=bound role=operators address={}",
        entry.operators_address()
    ))?;
    print_line("event=ready")?;
    // The signal handler owns the sender and lives as long as the process.
    let _ = stopped.recv();
    log::info!("event=stopping entry={name}");
    let cut_count = entry.stop();
    log::info!("event=stopped entry={name} cut_count={cut_count}");
    Ok(match cut_count {
        0 => Exit::Done,
        _ => Exit::Refused,
    })
}

fn read_settings(matches: &ArgMatches) -> Result<Settings, Report<CmdError>> {
    let path = matches
        .get_one::<PathBuf>("settings")
        .ok_or_else(|| Report::new(CmdError::Usage))?;
    let file = path.display().to_string();
    let text = fs::read_to_string(path)
        .change_context(CmdError::Unavailable)
        .attach_with(|| format!("cannot read {file}"))?;
    let checked = settings::check_text(&file, &text);
    let (settings, warnings) = checked.map_err(|findings| {
        let report = Report::new(CmdError::Refused);
        findings
            .iter()
            .fold(report, |report, finding| report.attach(finding.to_string()))
    })?;
    for warning in warnings {
        eprintln!("{warning}");
    }
    Ok(settings)
}
