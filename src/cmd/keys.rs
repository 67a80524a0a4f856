//! `keys`: grant, withdraw and list the teams' keys.

use std::thread;

use clap::{Arg, ArgMatches, Command};
use error_stack::Report;
use hawthornladder::{
    adapters::{
        operators_client::OperatorsClient,
        peers_rpc::{PeerAnswer, PeerCall, PeerClient, WithdrawAtPeer},
    },
    keys,
    ledger::{KeyRow, Ledger, OperatorChange},
    operator::ProposalOutcome,
};

use crate::cmd::{
    entry_access, is_json, log_access, output_arg, print_line, CmdError, CmdResult, Exit,
};

/// Timeout of notifying one seat of a withdrawal, in milliseconds.
const SEAT_TIMEOUT_MS: u64 = 1_000;

/// Makes the command line of `keys`.
pub(crate) fn make_command() -> Command {
    Command::new("keys")
        .about("Grant, withdraw and list the teams' keys")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(make_grant_command())
        .subcommand(make_withdraw_command())
        .subcommand(
            Command::new("list")
                .about("List all keys, without their secrets")
                .args(log_access::args())
                .arg(output_arg()),
        )
}

fn make_grant_command() -> Command {
    Command::new("grant")
        .about("Grant a new key to a team; the key is shown once")
        .arg(
            Arg::new("team")
                .value_name("TEAM")
                .help("Team that the key is granted to")
                .required(true),
        )
        .args(log_access::args())
        .arg(output_arg())
}

fn make_withdraw_command() -> Command {
    Command::new("withdraw")
        .about("Withdraw a key permanently")
        .long_about(
            "Withdraw a key permanently.\n\n\
             The entries given with `--entry` are notified first. They refuse the key at once and \
             notify their peers, so that the withdrawal takes effect even while the log is down. \
             Then every entry that holds a seat according to the ledger is notified, and the \
             withdrawal is persisted in the log. The exit code is 0 once it is persisted, 5 if \
             it is in force at the entries but not persisted yet, and 1 if no key of this id \
             was ever granted.",
        )
        .arg(
            Arg::new("key")
                .value_name("KEY_ID")
                .help("Public id of the key: the part before the dot")
                .required(true),
        )
        .arg(entry_access::arg())
        .args(log_access::args())
}

/// Executes `keys`.
pub(crate) fn execute(matches: &ArgMatches) -> CmdResult {
    match matches.subcommand() {
        Some(("grant", matches)) => grant(matches),
        Some(("withdraw", matches)) => withdraw(matches),
        Some(("list", matches)) => list(matches),
        _ => Err(Report::new(CmdError::Usage)),
    }
}

fn grant(matches: &ArgMatches) -> CmdResult {
    let team = text(matches, "team");
    let access = log_access::open(matches)?;
    let mut reader = access.read()?;
    let teams = &reader.ledger().lists.plans.teams;
    if !teams.iter().any(|row| row.name == team) {
        return Err(Report::new(CmdError::Refused)
            .attach(format!("TEAM {team}: no team of this name is in force")));
    }
    let key = keys::generate();
    let change = OperatorChange::GrantKey {
        key_id: key.key_id.clone(),
        row: KeyRow {
            team: team.into(),
            digest: key.digest.clone(),
            is_withdrawn: false,
        },
    };
    match reader.propose(&access.operator, change, access.timeout) {
        ProposalOutcome::Accepted { .. } => {
            print_line(&match is_json(matches) {
                true => serde_json::json!({
                    "team": team, "key_id": key.key_id, "key": key.text,
                })
                .to_string(),
                false => format!(
                    "event=key_granted team={team} key_id={} key={}",
                    key.key_id, key.text
                ),
            })?;
            Ok(Exit::Done)
        }
        outcome => Err(error_of(outcome)),
    }
}

fn withdraw(matches: &ArgMatches) -> CmdResult {
    let key_id = text(matches, "key");
    // A full key is accepted too, so that operators need not split it in an emergency.
    let key_id = key_id.split('.').next().unwrap_or(key_id);
    let mut is_in_force = false;
    for entry in entry_access::addresses(matches)? {
        match OperatorsClient::open(entry).withdraw_key(key_id) {
            Ok(ack) => {
                is_in_force |= ack.is_in_force_everywhere;
                print_line(&format!(
                    "event=entry_told entry={entry} seats_count={} acknowledged_count={} \
                     is_in_force_everywhere={}",
                    ack.seats_count, ack.acknowledged_count, ack.is_in_force_everywhere
                ))?;
            }
            Err(failure) => print_line(&format!(
                "event=entry_not_told entry={entry} error={:?}",
                failure.to_string()
            ))?,
        }
    }
    let change = OperatorChange::WithdrawKey {
        key_id: key_id.into(),
    };
    let access = log_access::open(matches)?;
    let (is_known, outcome) = match access.read() {
        Ok(mut reader) => {
            // The withdrawal of an id that was never granted has a row without a team.
            let row = reader.ledger().keys.get(key_id);
            let is_known = row.is_some_and(|row| !row.team.is_empty());
            let (notified_count, seats_count) = notify_seats(reader.ledger(), key_id);
            print_line(&format!(
                "event=seats_told told_count={notified_count} seats_count={seats_count}"
            ))?;
            let outcome = reader.propose(&access.operator, change, access.timeout);
            (is_known, outcome)
        }
        Err(report) => {
            print_line(&format!(
                "event=key_withdrawn key_id={key_id} is_on_record=false is_in_force={is_in_force}"
            ))?;
            return Err(report.change_context(CmdError::Unsettled).attach(
                "withdraw the key again when the log answers, so that the withdrawal is persisted",
            ));
        }
    };
    match outcome {
        ProposalOutcome::Accepted { .. } => {}
        ProposalOutcome::Rejected { reason, .. } if reason == "already_withdrawn" => {}
        outcome => return Err(error_of(outcome)),
    }
    print_line(&format!(
        "event=key_withdrawn key_id={key_id} is_on_record=true is_known={is_known}"
    ))?;
    // A mistyped id must not be reported as a withdrawn key.
    match is_known {
        true => Ok(Exit::Done),
        false => Err(Report::new(CmdError::Refused)
            .attach("no key of this id was ever granted; `keys list` shows those that were")),
    }
}

/// Notifies every live seat of the ledger, since an entry may be unable to reach a log that this
/// command can reach. Returns the number of seats that acknowledged, and the number of live seats.
fn notify_seats(ledger: &Ledger, key_id: &str) -> (usize, usize) {
    let call = PeerCall::WithdrawKey(WithdrawAtPeer {
        key_id: key_id.into(),
    });
    let notify = |address: &str| {
        let answer = PeerClient::open(address, SEAT_TIMEOUT_MS).and_then(|peer| peer.call(&call));
        matches!(answer, Ok(PeerAnswer::Ordered { .. }))
    };
    let addresses: Vec<_> = ledger
        .seats
        .iter_live()
        .map(|(_, row)| row.peers_address.clone())
        .collect();
    let notified_count = thread::scope(|scope| {
        let calls: Vec<_> = addresses
            .iter()
            .map(|address| scope.spawn(|| notify(address)))
            .collect();
        let results = calls.into_iter().map(|call| call.join().unwrap_or(false));
        results.filter(|is_notified| *is_notified).count()
    });
    (notified_count, addresses.len())
}

fn list(matches: &ArgMatches) -> CmdResult {
    let access = log_access::open(matches)?;
    let reader = access.read()?;
    let keys = &reader.ledger().keys;
    if is_json(matches) {
        let rows: Vec<_> = keys
            .iter()
            .map(|(key_id, row)| {
                serde_json::json!({
                    "key_id": key_id, "team": row.team, "is_withdrawn": row.is_withdrawn,
                })
            })
            .collect();
        print_line(&serde_json::Value::from(rows).to_string())?;
        return Ok(Exit::Done);
    }
    for (key_id, row) in keys.iter() {
        print_line(&format!(
            "key_id={key_id} team={} is_withdrawn={}",
            row.team, row.is_withdrawn
        ))?;
    }
    Ok(Exit::Done)
}

fn error_of(outcome: ProposalOutcome) -> Report<CmdError> {
    match outcome {
        ProposalOutcome::Rejected { reason, .. } => Report::new(CmdError::Refused).attach(reason),
        ProposalOutcome::Unsettled { proposal_id, error } => Report::new(CmdError::Unsettled)
            .attach(format!("proposal {proposal_id}: {error}"))
            .attach(
                "run `keys list` when the log answers; it shows the persisted state of the key",
            ),
        ProposalOutcome::Accepted { .. } => Report::new(CmdError::Fault),
    }
}

fn text<'m>(matches: &'m ArgMatches, name: &str) -> &'m str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}
