//! Admission control: whether a call is accepted. This depends on the ledger, on the withdrawals
//! received from peers and operators, and on how recent both are.

use indexmap::IndexSet;
use smol_str::SmolStr;
use uuid::Uuid;

use crate::{
    callers::CallerRequest,
    entry::event::{parse_request_id, Now},
    error::ErrorKind,
    fleet::{Resources, TeamName, UnixMs},
    keys,
    ledger::{issued_at_unix_ms, ClaimState, KeyId, Ledger},
    lists::Queue,
};

/// Maximum time by which the time inside a request id may be ahead of this entry's wall clock, in
/// milliseconds.
const REQUEST_ID_AHEAD_MAX_MS: u64 = 30_000;

/// Kind and detail of a refusal.
pub(crate) type Refused = (ErrorKind, SmolStr);

/// The state of this entry that admission depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdmissionState {
    /// Whether the process is stopping.
    pub(crate) is_draining: bool,
    /// Whether this entry has reached the head of the log and knows the withdrawals of its peers.
    pub(crate) is_ready: bool,
    /// Whether the configuration is fresh.
    pub(crate) is_config_fresh: bool,
    /// Whether the seat's lease is valid.
    pub(crate) is_lease_valid: bool,
    /// Whether the head of the log was seen recently.
    pub(crate) is_log_fresh: bool,
}

/// An accepted call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Admitted {
    /// Team of the key; empty for a queue open to all.
    pub(crate) team: TeamName,
    /// Largest request size that the plan allows.
    pub(crate) size_max: Resources,
    /// Id to claim, for work that must run at most once or is accepted for later.
    pub(crate) claim_id: Option<Uuid>,
    /// Whether the queue's work is urgent.
    pub(crate) is_urgent: bool,
}

/// Accepts or refuses a call.
///
/// # Errors
///
/// The kind and detail of the refusal.
pub(crate) fn admit(
    now: Now,
    ledger: &Ledger,
    withdrawn: &IndexSet<KeyId>,
    state: AdmissionState,
    request: &CallerRequest,
) -> Result<Admitted, Refused> {
    check_admission_state(state)?;
    let queue = find_queue(ledger, &request.queue)?;
    let team = find_team(ledger, withdrawn, queue, request.key.as_deref())?;
    let size_max = check_plan(ledger, queue, &team, request)?;
    let needs_claim = !request.is_idempotent || request.is_for_later;
    let claim_id = match needs_claim {
        true => Some(check_request_id(now, ledger, &request.request_id)?),
        false => None,
    };
    if needs_claim && !(state.is_log_fresh && state.is_lease_valid) {
        return refuse(ErrorKind::LogUnavailable, "");
    }
    // The lease protects the teams' limits and the moves and stops of instances.
    if !state.is_lease_valid {
        return refuse(ErrorKind::SeatLapsed, "");
    }
    if let Some(kind) = claim_id.and_then(|id| claim_error(ledger, &team, &id)) {
        return refuse(kind, "");
    }
    Ok(Admitted {
        team,
        size_max,
        claim_id,
        is_urgent: queue.is_urgent,
    })
}

fn refuse<T>(kind: ErrorKind, detail: &str) -> Result<T, Refused> {
    Err((kind, SmolStr::new(detail)))
}

fn check_admission_state(state: AdmissionState) -> Result<(), Refused> {
    match state {
        AdmissionState {
            is_draining: true, ..
        } => refuse(ErrorKind::Draining, ""),
        AdmissionState {
            is_ready: false, ..
        } => refuse(ErrorKind::EntryNotReady, ""),
        AdmissionState {
            is_config_fresh: false,
            ..
        } => refuse(ErrorKind::ConfigurationStale, ""),
        _ => Ok(()),
    }
}

fn find_queue<'a>(ledger: &'a Ledger, name: &str) -> Result<&'a Queue, Refused> {
    let mut queues = ledger.lists.entitlements.queues.iter();
    match queues.find(|queue| queue.name == name) {
        Some(queue) => Ok(queue),
        None => refuse(ErrorKind::UnknownQueue, name),
    }
}

/// Returns the team whose key admits work for `queue`; empty if the queue is open to all.
fn find_team(
    ledger: &Ledger,
    withdrawn: &IndexSet<KeyId>,
    queue: &Queue,
    key: Option<&str>,
) -> Result<TeamName, Refused> {
    match key {
        _ if queue.is_open_to_all => Ok(TeamName::default()),
        None => refuse(ErrorKind::KeyMissing, ""),
        Some(key) => team_of_key(ledger, withdrawn, key),
    }
}

/// Returns the team of a key that is in force.
pub(crate) fn team_of_key(
    ledger: &Ledger,
    withdrawn: &IndexSet<KeyId>,
    key: &str,
) -> Result<TeamName, Refused> {
    let Some((key_id, digest)) = keys::split(key) else {
        return refuse(ErrorKind::KeyUnknown, "");
    };
    match ledger.keys.get(key_id) {
        Some(row) if !row.has_digest(&digest) => refuse(ErrorKind::KeyUnknown, ""),
        Some(row) if row.is_withdrawn => refuse(ErrorKind::KeyWithdrawn, key_id),
        Some(_) if withdrawn.contains(key_id) => refuse(ErrorKind::KeyWithdrawn, key_id),
        Some(row) => Ok(row.team.clone()),
        None => refuse(ErrorKind::KeyUnknown, ""),
    }
}

/// Returns the largest request size that the team's plan allows.
fn check_plan(
    ledger: &Ledger,
    queue: &Queue,
    team: &str,
    request: &CallerRequest,
) -> Result<Resources, Refused> {
    const NO_BOUND: Resources = Resources {
        cores_milli: u64::MAX,
        memory_mb: u64::MAX,
        accelerators_count: u64::MAX,
    };
    if queue.is_open_to_all {
        return Ok(NO_BOUND);
    }
    let entitlement = ledger
        .lists
        .plan_of(team)
        .and_then(|plan| ledger.lists.entitlement_of(&plan.name));
    match entitlement {
        Some(row) if !row.queues.contains(&queue.name) => {
            refuse(ErrorKind::NotEntitled, &queue.name)
        }
        Some(row) if !request.size.fits_in(&row.request_max) => refuse(ErrorKind::TooLarge, ""),
        Some(row) => Ok(row.request_max),
        None => refuse(ErrorKind::NotEntitled, &queue.name),
    }
}

fn check_request_id(now: Now, ledger: &Ledger, text: &str) -> Result<Uuid, Refused> {
    const DETAIL: &str =
        "x-request-id: work that must run at most once needs a UUID of version 7, issued now";
    let id = parse_request_id(text);
    let issued_at: Option<UnixMs> = id.as_ref().and_then(issued_at_unix_ms);
    match (id, issued_at) {
        (Some(_), Some(at)) if at < ledger.oldest_claim_unix_ms() => {
            refuse(ErrorKind::StaleRequestId, text)
        }
        (Some(_), Some(at)) if at > now.unix_ms + REQUEST_ID_AHEAD_MAX_MS => {
            refuse(ErrorKind::MalformedRequest, DETAIL)
        }
        (Some(id), Some(_)) => Ok(id),
        _ => refuse(ErrorKind::MalformedRequest, DETAIL),
    }
}

/// Returns the reason why a request id with a claim in the ledger cannot be used again, if any.
pub(crate) fn claim_error(ledger: &Ledger, team: &str, request_id: &Uuid) -> Option<ErrorKind> {
    match ledger.claims.get(team, request_id)?.state {
        ClaimState::Open => Some(ErrorKind::DuplicateInFlight),
        ClaimState::Ran => Some(ErrorKind::DuplicateFinished),
        ClaimState::Unknown => Some(ErrorKind::DuplicateOutcomeUnknown),
        ClaimState::NotRun => None,
    }
}
