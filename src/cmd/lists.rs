//! `lists`: publish, show and compare the two lists.

use std::{fs, path::PathBuf};

use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};
use error_stack::{Report, ResultExt};
use hawthornladder::{
    config_files::ConfigSource,
    ledger::{ListsPatch, OperatorChange, Publication},
    lists::{self, Lists},
    operator::ProposalOutcome,
};

use crate::cmd::{is_json, log_access, output_arg, print_line, CmdError, CmdResult, Exit};

/// Makes the command line of `lists`.
pub(crate) fn make_command() -> Command {
    Command::new("lists")
        .about("Publish, show and compare the two lists")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(make_publish_command())
        .subcommand(make_show_command())
        .subcommand(make_diff_command())
}

fn make_publish_command() -> Command {
    Command::new("publish")
        .about("Put edited lists in force, unless somebody else has published meanwhile")
        .long_about(
            "Put edited lists in force, unless somebody else has published meanwhile.\n\n\
             Both lists are checked first. The publication names the version that they were edited \
             from (`--from`, as printed by `lists show`). If another version is in force by then, \
             nothing is changed, the operator who published it is named and the exit code is 3. \
             After a lost answer the outcome is found by reading the log.",
        )
        .arg(files_arg())
        .arg(
            Arg::new("from")
                .long("from")
                .value_name("VERSION")
                .help("Version that the lists were edited from")
                .required(true)
                .value_parser(value_parser!(u64)),
        )
        .args(log_access::args())
}

fn make_show_command() -> Command {
    Command::new("show")
        .about("Print the lists in force and their version")
        .args(log_access::args())
        .arg(output_arg())
}

fn make_diff_command() -> Command {
    Command::new("diff")
        .about("Compare edited lists with those in force")
        .arg(files_arg())
        .args(log_access::args())
}

fn files_arg() -> Arg {
    Arg::new("files")
        .value_name("FILE")
        .help("The plans file and the entitlements file, in any order")
        .required(true)
        .num_args(2)
        .action(ArgAction::Append)
        .value_parser(value_parser!(PathBuf))
}

/// Executes `lists`.
pub(crate) fn execute(matches: &ArgMatches) -> CmdResult {
    match matches.subcommand() {
        Some(("publish", matches)) => publish(matches),
        Some(("show", matches)) => show(matches),
        Some(("diff", matches)) => diff(matches),
        _ => Err(Report::new(CmdError::Usage)),
    }
}

fn publish(matches: &ArgMatches) -> CmdResult {
    let new = read_lists(matches)?;
    let base_version = matches.get_one::<u64>("from").copied().unwrap_or(0);
    let access = log_access::open(matches)?;
    let mut reader = access.read()?;
    let in_force = reader.ledger().lists_version;
    if in_force != base_version {
        return race_lost(base_version, in_force, &reader.ledger().lists_published);
    }
    let patch = ListsPatch::between(&reader.ledger().lists, &new);
    if patch.is_empty() {
        print_line(&format!("event=unchanged version={in_force}"))?;
        return Ok(Exit::Done);
    }
    let change = OperatorChange::Publish {
        base_version,
        patch: Box::new(patch),
    };
    let outcome = reader.propose(&access.operator, change, access.timeout);
    report(outcome, base_version)
}

fn report(outcome: ProposalOutcome, base_version: u64) -> CmdResult {
    match outcome {
        ProposalOutcome::Accepted { .. } => {
            let version = base_version + 1;
            print_line(&format!("event=published version={version}"))?;
            Ok(Exit::Done)
        }
        ProposalOutcome::Rejected {
            lists_version,
            winner,
            ..
        } => race_lost(base_version, lists_version, &winner),
        ProposalOutcome::Unsettled { proposal_id, error } => Err(Report::new(CmdError::Unsettled)
            .attach(format!("proposal {proposal_id}: {error}"))
            .attach("run `lists show` when the log answers; it shows the version in force")),
    }
}

/// Reports who published first and how to proceed.
fn race_lost(base_version: u64, in_force: u64, winner: &Publication) -> CmdResult {
    print_line(&format!(
        "event=race_lost edited_from={base_version} in_force={in_force} winner={} \
         published_at_unix_ms={}",
        winner.operator, winner.at_unix_ms
    ))?;
    eprintln!(
        "nothing was published and your files are unchanged; `lists diff` shows how they differ \
         from the lists in force: merge the other changes and publish with --from {in_force}"
    );
    Ok(Exit::RaceLost)
}

fn show(matches: &ArgMatches) -> CmdResult {
    let access = log_access::open(matches)?;
    let reader = access.read()?;
    let ledger = reader.ledger();
    let lists = &*ledger.lists;
    let text = match is_json(matches) {
        true => {
            let document = serde_json::json!({
                "version": ledger.lists_version,
                "published_by": ledger.lists_published.operator,
                "plans": lists.plans,
                "entitlements": lists.entitlements,
            });
            document.to_string()
        }
        false => format!(
            "// version {}\n// published by {}\n// plans\n{}\n// entitlements\n{}",
            ledger.lists_version,
            ledger.lists_published.operator,
            pretty(&lists.plans)?,
            pretty(&lists.entitlements)?,
        ),
    };
    print_line(&text)?;
    Ok(Exit::Done)
}

fn pretty(value: &impl serde::Serialize) -> Result<String, Report<CmdError>> {
    serde_json::to_string_pretty(value).change_context(CmdError::Fault)
}

fn diff(matches: &ArgMatches) -> CmdResult {
    let new = read_lists(matches)?;
    let access = log_access::open(matches)?;
    let reader = access.read()?;
    let changes = lists::diff(&reader.ledger().lists, &new);
    print_line(&format!("// version {}", reader.ledger().lists_version))?;
    for change in changes {
        print_line(&change.to_string())?;
    }
    Ok(Exit::Done)
}

/// Reads and checks both lists. Warnings are printed; on errors, all findings are attached to the
/// report.
fn read_lists(matches: &ArgMatches) -> Result<Lists, Report<CmdError>> {
    let mut texts = Vec::new();
    for path in matches.get_many::<PathBuf>("files").unwrap_or_default() {
        let file = path.display().to_string();
        let text = fs::read_to_string(path)
            .change_context(CmdError::Unavailable)
            .attach_with(|| format!("cannot read {file}"))?;
        texts.push((file, text));
    }
    let sources: Vec<ConfigSource<'_>> = texts
        .iter()
        .map(|(file, text)| ConfigSource { file, text })
        .collect();
    let (lists, warnings) = lists::check_texts(&sources).map_err(|findings| {
        findings
            .iter()
            .fold(Report::new(CmdError::Refused), |report, finding| {
                report.attach(finding.to_string())
            })
    })?;
    for warning in warnings {
        eprintln!("{warning}");
    }
    Ok(lists)
}
