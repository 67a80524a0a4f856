//! The settings of an entry process, read from a file in JSON with comments and checked.

mod checks;
mod numbers;
mod read;
mod with_fleet;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use serde::Serialize;
use smol_str::SmolStr;

use crate::config_files::{self, ConfigSource};
use crate::findings::{finish_check, Checked, Finding};
use crate::fleet::ZoneName;

pub use numbers::{NumberField, NUMBER_FIELDS};
pub(crate) use read::{field_names, read};
pub(crate) use with_fleet::check_with_fleet;

/// How much is logged.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display, strum::EnumString, strum::EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum LogLevel {
    /// Faults only.
    Error,
    /// Faults, and conditions that may lead to one.
    Warn,
    /// Every event that an operator may need later.
    Info,
    /// Every decision.
    Debug,
    /// Every message.
    Trace,
}

/// Settings of one entry process.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Settings {
    /// Availability zone that the entry runs in.
    pub zone: ZoneName,
    /// Region that the zone belongs to.
    pub region: SmolStr,
    /// Address that callers connect to; with port 0 the system chooses one.
    pub callers_address: SocketAddr,
    /// Address that the other entries connect to; with port 0 the system chooses one.
    pub peers_address: SocketAddr,
    /// Address of the operators' interface, readiness and metrics; with port 0 the system chooses
    /// one.
    pub operators_address: SocketAddr,
    /// Addresses of the log service, tried one after another.
    pub log_addresses: Vec<SocketAddr>,
    /// Address of the instance list.
    pub instance_list_address: SocketAddr,
    /// Addresses of peers to ask if the log is down at start-up; later the ledger lists the peers.
    pub peer_addresses: Vec<SocketAddr>,
    /// Address at which the other entries reach this one; `peers_address` if it is not set.
    pub peers_advertised_address: Option<SocketAddr>,
    /// File that logs go to; standard error if it is not set.
    pub log_file: Option<SmolStr>,
    /// How much is logged.
    pub log_level: LogLevel,
    /// Duration of the lease of the entry's seat in the ledger, in milliseconds. Until it expires,
    /// no other entry takes over what the seat holds.
    pub seat_lease_ms: u64,
    /// Time between two renewals of the seat's lease, in milliseconds.
    pub seat_renew_ms: u64,
    /// Time after which an entry that has heard from neither the log nor a peer refuses requests,
    /// in milliseconds. It bounds how long an entry that is cut off may accept a withdrawn key.
    pub config_stale_max_ms: u64,
    /// Largest difference between the wall clocks of two instances, in milliseconds.
    pub clock_skew_max_ms: u64,
    /// Shortest time between two appends by one entry, in milliseconds; records that become due in
    /// between are sent together in the next append.
    pub append_interval_min_ms: u64,
    /// Maximum number of records in one append.
    pub append_batch_max_records: u64,
    /// Maximum size of one append, in bytes.
    pub append_batch_max_bytes: u64,
    /// Timeout of a call to the log, in milliseconds.
    pub log_timeout_ms: u64,
    /// Longest time that the log holds a read open to wait for the next record, in milliseconds.
    pub log_read_wait_ms: u64,
    /// Number of log records after which the next snapshot of the ledger is written.
    pub snapshot_every_records: u64,
    /// Time between two reads of the instance list, in milliseconds.
    pub instance_list_poll_ms: u64,
    /// Timeout of a call to the instance list, in milliseconds.
    pub instance_list_timeout_ms: u64,
    /// Time between two gossip messages to a peer (usage, pressure and the newest records), in
    /// milliseconds.
    pub peer_gossip_ms: u64,
    /// Timeout of a call to a peer, in milliseconds.
    pub peer_timeout_ms: u64,
    /// Largest body of a request, in bytes.
    pub body_max_bytes: u64,
    /// Largest answer of a worker that is passed on to the caller, in bytes.
    pub answer_max_bytes: u64,
    /// Largest body of a request that is accepted for later, in bytes; it is persisted in the log.
    pub later_body_max_bytes: u64,
    /// Maximum total size of the request bodies that are being read or wait for their answer, in
    /// bytes.
    pub bodies_max_bytes: u64,
    /// Maximum number of open connections from callers.
    pub callers_max_connections: u64,
    /// Time within which the head of a request must be received, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest pause while a body or an answer is transferred, in milliseconds.
    pub body_idle_timeout_ms: u64,
    /// Maximum number of requests that wait for a worker; further ones are refused as not run.
    pub waiting_max_requests: u64,
    /// Longest lease of a task on a worker, in milliseconds.
    pub run_max_ms: u64,
    /// Shortest wait that a refused caller is asked for, in milliseconds.
    pub retry_after_min_ms: u64,
    /// Longest wait that a refused caller is asked for, in milliseconds.
    pub retry_after_max_ms: u64,
    /// Time for which a stopping entry waits for requests in flight, in milliseconds.
    pub drain_timeout_ms: u64,
    /// Maximum number of connections to one worker.
    pub worker_connections_max_count: u64,
    /// Time within which a connection to a worker must be established, in milliseconds.
    pub worker_connect_timeout_ms: u64,
    /// Number of dispatch threads; each handles one attempt on a worker at a time.
    pub dispatch_threads_count: u64,
    /// Maximum number of retries of one request. Refusals by a healthy worker that is busy, draining
    /// or of another incarnation do not count.
    pub retries_max_count: u64,
    /// Retries that a thousand successful requests add to the retry budget.
    pub retry_budget_permille: u64,
    /// Duration of the first ejection of an instance, in milliseconds; it doubles with each further
    /// one.
    pub eject_ms: u64,
    /// Longest ejection of an instance, in milliseconds.
    pub eject_longest_ms: u64,
    /// Largest fraction of a pool that may be ejected at the same time, in thousandths, so that a
    /// common fault does not empty the pool.
    pub eject_max_permille: u64,
    /// Time over which usage is averaged for the shares, in milliseconds.
    pub share_window_ms: u64,
    /// Window over which a pool's demand is observed to size its buffer, in milliseconds.
    pub move_wait_ms: u64,
    /// Time after a move during which its pools, except the spare pool, take part in no further
    /// move, in milliseconds.
    pub move_rest_ms: u64,
    /// Time after which an instance that is still not available after a reboot counts as failed, in
    /// milliseconds.
    pub reboot_max_ms: u64,
    /// Probation time of an instance after its return from maintenance, in milliseconds.
    pub wave_trial_ms: u64,
    /// Maximum number of moves of instances between pools per hour.
    pub moves_max_per_hour_count: u64,
    /// Fraction of the recently maintained instances that may be bad before the roll-out is halted,
    /// in thousandths.
    pub wave_failures_max_permille: u64,
}

impl Default for Settings {
    /// Returns the settings of an entry on the loopback interface, on ports that the system
    /// chooses.
    fn default() -> Self {
        let loopback = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        let mut settings = Self {
            zone: "zone-a".into(),
            region: "region-1".into(),
            callers_address: loopback,
            peers_address: loopback,
            operators_address: loopback,
            log_addresses: Vec::new(),
            instance_list_address: loopback,
            peer_addresses: Vec::new(),
            peers_advertised_address: None,
            log_file: None,
            log_level: LogLevel::Info,
            seat_lease_ms: 0,
            seat_renew_ms: 0,
            config_stale_max_ms: 0,
            clock_skew_max_ms: 0,
            append_interval_min_ms: 0,
            append_batch_max_records: 0,
            append_batch_max_bytes: 0,
            log_timeout_ms: 0,
            log_read_wait_ms: 0,
            snapshot_every_records: 0,
            instance_list_poll_ms: 0,
            instance_list_timeout_ms: 0,
            peer_gossip_ms: 0,
            peer_timeout_ms: 0,
            body_max_bytes: 0,
            answer_max_bytes: 0,
            later_body_max_bytes: 0,
            bodies_max_bytes: 0,
            callers_max_connections: 0,
            header_timeout_ms: 0,
            body_idle_timeout_ms: 0,
            waiting_max_requests: 0,
            run_max_ms: 0,
            retry_after_min_ms: 0,
            retry_after_max_ms: 0,
            drain_timeout_ms: 0,
            worker_connections_max_count: 0,
            worker_connect_timeout_ms: 0,
            dispatch_threads_count: 0,
            retries_max_count: 0,
            retry_budget_permille: 0,
            eject_ms: 0,
            eject_longest_ms: 0,
            eject_max_permille: 0,
            share_window_ms: 0,
            move_wait_ms: 0,
            move_rest_ms: 0,
            reboot_max_ms: 0,
            wave_trial_ms: 0,
            moves_max_per_hour_count: 0,
            wave_failures_max_permille: 0,
        };
        for field in NUMBER_FIELDS {
            *(field.value_mut)(&mut settings) = field.default;
        }
        settings
    }
}

/// Checks the text of a settings file and returns the settings with the warnings, or every finding
/// if one is an error.
///
/// # Errors
///
/// All findings, if one of them is an error or the file is not a settings file.
pub fn check_text(file: &str, text: &str) -> Checked<Settings> {
    let (mut files, mut findings) = config_files::check(&[ConfigSource { file, text }])?;
    let settings = files.settings.pop();
    if settings.is_none() {
        findings.push(Finding::of_file(
            file,
            "the file is not a settings file",
            "pass a settings file such as `examples/lahore/entry.jsonc`",
        ));
    }
    finish_check(settings, findings)
}
