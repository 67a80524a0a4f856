//! The settings of an entry process: one typed, documented and checked file in JSON with comments.

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
    /// Faults and what may become one.
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
    /// Address that callers reach; port 0 lets the system choose one.
    pub callers_address: SocketAddr,
    /// Address that the other entries reach; port 0 lets the system choose one.
    pub peers_address: SocketAddr,
    /// Address of the operators' interface, readiness and metrics; port 0 lets the system choose one.
    pub operators_address: SocketAddr,
    /// Addresses of the log service, tried in turn.
    pub log_addresses: Vec<SocketAddr>,
    /// Address of the instance list.
    pub instance_list_address: SocketAddr,
    /// Addresses of peers to ask while the log is down at the start; later ones come from the ledger.
    pub peer_addresses: Vec<SocketAddr>,
    /// Address that the other entries are told to reach this one at; `peers_address` if it is not set.
    pub peers_advertised_address: Option<SocketAddr>,
    /// File that logs go to; standard error if it is not set.
    pub log_file: Option<SmolStr>,
    /// How much is logged.
    pub log_level: LogLevel,
    /// Lease of the entry's seat in the ledger, in milliseconds. While it runs, no other entry takes
    /// over what the seat holds.
    pub seat_lease_ms: u64,
    /// Time between two renewals of the seat's lease, in milliseconds.
    pub seat_renew_ms: u64,
    /// Time after which an entry that heard neither the log nor a peer refuses work, in milliseconds.
    /// It bounds how long a withdrawn key may still work at an entry that is cut off.
    pub config_stale_max_ms: u64,
    /// Most by which the wall clocks of two instances may differ, in milliseconds.
    pub clock_skew_max_ms: u64,
    /// Shortest time between two appends of one entry, in milliseconds; records that come up in
    /// between share the next append.
    pub append_interval_min_ms: u64,
    /// Most records in one append.
    pub append_batch_max_records: u64,
    /// Largest append, in bytes.
    pub append_batch_max_bytes: u64,
    /// Time after which an unanswered call to the log counts as lost, in milliseconds.
    pub log_timeout_ms: u64,
    /// Longest time that a read waits at the log for the next record, in milliseconds.
    pub log_read_wait_ms: u64,
    /// Records of the log after which the ledger is written as a snapshot again.
    pub snapshot_every_records: u64,
    /// Time between two reads of the instance list, in milliseconds.
    pub instance_list_poll_ms: u64,
    /// Time after which an unanswered call to the instance list counts as lost, in milliseconds.
    pub instance_list_timeout_ms: u64,
    /// Time between two messages to a peer about usage, pressure and the newest records, in
    /// milliseconds.
    pub peer_gossip_ms: u64,
    /// Time after which an unanswered call to a peer counts as lost, in milliseconds.
    pub peer_timeout_ms: u64,
    /// Largest body of a request, in bytes.
    pub body_max_bytes: u64,
    /// Largest answer of a worker that is passed on, in bytes.
    pub answer_max_bytes: u64,
    /// Largest body of a request that is accepted for later, in bytes; it is kept in the log.
    pub later_body_max_bytes: u64,
    /// Memory for the bodies and answers of all requests together, in bytes.
    pub bodies_max_bytes: u64,
    /// Most connections of callers that are open at once.
    pub callers_max_connections: u64,
    /// Time within which the head of a request must have come, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest pause within a body or an answer, in milliseconds.
    pub body_idle_timeout_ms: u64,
    /// Most requests that wait for a worker at once; more are refused as not run.
    pub waiting_max_requests: u64,
    /// Longest lease of a task on a worker, in milliseconds.
    pub run_max_ms: u64,
    /// Shortest time that a refused caller is told to wait, in milliseconds.
    pub retry_after_min_ms: u64,
    /// Longest time that a refused caller is told to wait, in milliseconds.
    pub retry_after_max_ms: u64,
    /// Time for which a stopping entry waits for the requests in flight, in milliseconds.
    pub drain_timeout_ms: u64,
    /// Most connections to one worker.
    pub worker_connections_max_count: u64,
    /// Time within which a connection to a worker must stand, in milliseconds.
    pub worker_connect_timeout_ms: u64,
    /// Threads that each carry one attempt on a worker.
    pub dispatch_threads_count: u64,
    /// Most further attempts for one request that may run again.
    pub retries_max_count: u64,
    /// Retries allowed for each thousand first attempts.
    pub retry_budget_permille: u64,
    /// Time for which an instance is ejected the first time, in milliseconds; it doubles with each
    /// further time.
    pub eject_ms: u64,
    /// Longest time for which an instance is ejected, in milliseconds.
    pub eject_longest_ms: u64,
    /// Largest part of a pool that may be ejected at once, in thousandths, so that a common fault
    /// does not empty the pool.
    pub eject_max_permille: u64,
    /// Time over which use is averaged for the shares, in milliseconds.
    pub share_window_ms: u64,
    /// Window over which a pool's demand is observed for the buffers that it needs, in milliseconds.
    pub move_wait_ms: u64,
    /// Shortest time between two moves of one instance, in milliseconds.
    pub move_rest_ms: u64,
    /// Time after which an instance that did not come back from a reboot counts as failed, in
    /// milliseconds.
    pub reboot_max_ms: u64,
    /// Time after its return from maintenance for which an instance is on trial, in milliseconds.
    pub wave_trial_ms: u64,
    /// Moves of instances between pools within an hour at most.
    pub moves_max_per_hour_count: u64,
    /// Part of a wave that may fail before the roll-out stops, in thousandths.
    pub wave_failures_max_permille: u64,
}

impl Default for Settings {
    /// Returns the settings of an entry on the loopback interface, on ports that the system chooses.
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

/// Checks the text of a settings file and returns the settings with the warnings, or every finding if
/// one is an error.
///
/// # Errors
///
/// All findings, if one of them is an error or the file holds something else than settings.
pub fn check_text(file: &str, text: &str) -> Checked<Settings> {
    let (mut files, mut findings) = config_files::check(&[ConfigSource { file, text }])?;
    let settings = files.settings.pop();
    if settings.is_none() {
        findings.push(Finding::of_file(
            file,
            "the file holds no settings",
            "name a settings file, as `examples/lahore/entry.jsonc`",
        ));
    }
    finish_check(settings, findings)
}
