//! `keys`: grant, withdraw and list the teams' keys.

use std::{net::SocketAddr, sync::Arc, thread};

use attohttpc::Method;
use clap::{Arg, ArgAction, ArgMatches, Command};
use error_stack::Report;
use hawthornladder::{
    adapters::{
        http_client::HttpCall,
        log_http::{service_call, ServiceTimeouts},
        peers_rpc::{PeerAnswer, PeerCall, PeerClient, WithdrawAtPeer},
    },
    keys,
    ledger::{KeyRow, Ledger, OperatorChange},
    operator::Settled,
};

use crate::cmd::{log_access, say, CmdError, CmdResult, Exit};

/// Timeouts of a withdrawal at an entry, which tells its peers before it answers.
const ENTRY_TIMEOUTS: ServiceTimeouts = ServiceTimeouts {
    connect_ms: 500,
    call_ms: 4_000,
};

/// Time that one seat has to acknowledge a withdrawal, in milliseconds.
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
                .help("Team that the key stands for")
                .required(true),
        )
        .args(log_access::args())
        .arg(output_arg())
}

fn make_withdraw_command() -> Command {
    Command::new("withdraw")
        .about("Withdraw a key for good")
        .long_about(
            "Withdraw a key for good.\n\n\
             The withdrawal is told to the entries named with `--entry` first, which refuse the \
             key at once and tell their peers, so that it holds even while the log is down; then \
             every entry that holds a seat by the ledger is told, and it is put on record in the \
             log. The exit code is 0 once it is on record, and 5 while \
             it is in force at the entries but not on record yet.",
        )
        .arg(
            Arg::new("key")
                .value_name("KEY_ID")
                .help("Public id of the key: the part before the dot")
                .required(true),
        )
        .arg(
            Arg::new("entry")
                .long("entry")
                .value_name("IP:PORT")
                .help("Operators' address of an entry to tell; may be given more than once")
                .action(ArgAction::Append),
        )
        .args(log_access::args())
}

fn output_arg() -> Arg {
    Arg::new("output")
        .long("output")
        .value_name("FORMAT")
        .help("How to print")
        .value_parser(["text", "json"])
        .default_value("text")
}

/// Carries out `keys`.
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
        Settled::Accepted { .. } => {
            say(&match is_json(matches) {
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
        settled => Err(unsettled(settled)),
    }
}

fn withdraw(matches: &ArgMatches) -> CmdResult {
    let key_id = text(matches, "key");
    // A whole key is taken too, so that nobody has to split one in a hurry.
    let key_id = key_id.split('.').next().unwrap_or(key_id);
    let mut is_in_force = false;
    for entry in matches.get_many::<String>("entry").unwrap_or_default() {
        match tell_entry(entry, key_id) {
            Ok(answer) => {
                is_in_force |= answer["is_in_force_everywhere"] == true;
                say(&format!("event=entry_told entry={entry} answer={answer}"))?;
            }
            Err(error) => say(&format!("event=entry_not_told entry={entry} error={error}"))?,
        }
    }
    let change = OperatorChange::WithdrawKey {
        key_id: key_id.into(),
    };
    let access = log_access::open(matches)?;
    let settled = match access.read() {
        Ok(mut reader) => {
            let (told_count, seats_count) = tell_seats(reader.ledger(), key_id);
            say(&format!(
                "event=seats_told told_count={told_count} seats_count={seats_count}"
            ))?;
            reader.propose(&access.operator, change, access.timeout)
        }
        Err(report) => {
            say(&format!(
                "event=key_withdrawn key_id={key_id} is_on_record=false is_in_force={is_in_force}"
            ))?;
            return Err(report.change_context(CmdError::Unsettled).attach(
                "withdraw again when the log answers, so that the withdrawal is on record",
            ));
        }
    };
    match settled {
        Settled::Accepted { .. } => {}
        Settled::Rejected { reason, .. } if reason == "already_withdrawn" => {}
        settled => return Err(unsettled(settled)),
    }
    say(&format!(
        "event=key_withdrawn key_id={key_id} is_on_record=true"
    ))?;
    Ok(Exit::Done)
}

/// Tells every live seat that the ledger names, since entries may not reach a log that this command
/// reaches; returns how many acknowledged, of how many.
fn tell_seats(ledger: &Ledger, key_id: &str) -> (usize, usize) {
    let call = PeerCall::WithdrawKey(WithdrawAtPeer {
        key_id: key_id.into(),
    });
    let tell = |address: &str| {
        let answer = PeerClient::open(address, SEAT_TIMEOUT_MS).and_then(|peer| peer.call(&call));
        matches!(answer, Ok(PeerAnswer::Ordered { .. }))
    };
    let addresses: Vec<_> = ledger
        .seats
        .iter_live()
        .map(|(_, row)| row.peers_address.clone())
        .collect();
    let told_count = thread::scope(|scope| {
        let calls: Vec<_> = addresses
            .iter()
            .map(|address| scope.spawn(|| tell(address)))
            .collect();
        let told = calls.into_iter().map(|call| call.join().unwrap_or(false));
        told.filter(|is_told| *is_told).count()
    });
    (told_count, addresses.len())
}

/// Tells one entry; returns its answer.
fn tell_entry(entry: &str, key_id: &str) -> Result<serde_json::Value, String> {
    entry
        .parse::<SocketAddr>()
        .map_err(|_| "write IP:PORT".to_owned())?;
    let body = serde_json::json!({ "key_id": key_id }).to_string();
    let path = "/v1/keys/withdraw".into();
    let call = HttpCall {
        body: Arc::from(body.into_bytes()),
        ..service_call(entry, ENTRY_TIMEOUTS, Method::POST, path)
    };
    match call.send() {
        Ok(answer) if answer.status == 200 => {
            serde_json::from_slice(&answer.body).map_err(|error| error.to_string())
        }
        Ok(answer) => Err(format!("status {}", answer.status)),
        Err(error) => Err(format!("{error:?}")),
    }
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
        say(&serde_json::Value::from(rows).to_string())?;
        return Ok(Exit::Done);
    }
    for (key_id, row) in keys.iter() {
        say(&format!(
            "key_id={key_id} team={} is_withdrawn={}",
            row.team, row.is_withdrawn
        ))?;
    }
    Ok(Exit::Done)
}

fn unsettled(settled: Settled) -> Report<CmdError> {
    match settled {
        Settled::Rejected { reason, .. } => Report::new(CmdError::Refused).attach(reason),
        Settled::Unsettled { proposal_id, error } => Report::new(CmdError::Unsettled)
            .attach(format!("proposal {proposal_id}: {error}"))
            .attach("run `keys list` when the log answers: it tells what is on record"),
        Settled::Accepted { .. } => Report::new(CmdError::Fault),
    }
}

fn is_json(matches: &ArgMatches) -> bool {
    matches.get_one::<String>("output").map(String::as_str) == Some("json")
}

fn text<'m>(matches: &'m ArgMatches, name: &str) -> &'m str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}
