//! Derives the settings of the daemon and of the engine from the settings file.

use rand::RngExt;
use smol_str::{format_smolstr, SmolStr};

use crate::{
    adapters::callers_http::CallersLimits,
    entry::{daemon::EntrySettings, settings::EngineSettings},
    policy::{
        health::HealthSettings, pacing::RetryAfterLimits, retry::RetrySettings,
        settings::QueueSettings, share::ShareSettings,
    },
    settings::Settings,
    upkeep::{moves::MoveSettings, rollout::RolloutSettings},
};

/// Time within which a worker must start an attempt, in milliseconds.
const START_WINDOW_MS: u64 = 2_000;

/// Time for which unused parts of a team's limit are held, in milliseconds.
const ESCROW_IDLE_MS: u64 = 2_000;

/// Time between two polls of the maintenance of instances, in milliseconds.
const UPKEEP_EVERY_MS: u64 = 200;

/// Minimum time between two probes of one worker, in milliseconds.
const PROBE_EVERY_MS: u64 = 1_000;

/// Maximum number of changes waiting for an append.
const CHANGES_MAX_COUNT: usize = 16_384;

/// Time beyond a request's deadline after which the callers' interface stops waiting, in
/// milliseconds.
const REPLY_GRACE_MS: u64 = 2_000;

/// Maximum deadline of a request, in milliseconds.
const DEADLINE_MAX_MS: u64 = 600_000;

/// Deadline of a request that gives none, in milliseconds.
const DEADLINE_DEFAULT_MS: u64 = 30_000;

/// Number of threads that serve the callers' connections.
const CALLERS_THREADS_COUNT: usize = 2;

/// Maximum number of connections above the limit that get a refusal as an answer.
const REFUSALS_MAX_COUNT: usize = 64;

impl EntrySettings {
    /// Returns the settings of the daemon of the entry instance `entry`.
    pub fn from_settings(settings: &Settings, entry: &str) -> Self {
        Self {
            engine: engine_settings(settings, entry),
            callers_address: settings.callers_address,
            peers_address: settings.peers_address,
            operators_address: settings.operators_address,
            peer_addresses: settings
                .peer_addresses
                .iter()
                .map(|address| SmolStr::new(address.to_string()))
                .collect(),
            callers: callers_limits(settings),
            answer_max_bytes: settings.answer_max_bytes,
            log_read_wait_ms: settings.log_read_wait_ms,
            instance_list_poll_ms: settings.instance_list_poll_ms,
            peer_gossip_ms: settings.peer_gossip_ms,
            peer_timeout_ms: settings.peer_timeout_ms,
            dispatch_threads_count: settings.dispatch_threads_count as usize,
            drain_timeout_ms: settings.drain_timeout_ms,
        }
    }
}

/// Returns the default name of an entry.
pub fn entry_name(settings: &Settings) -> SmolStr {
    format_smolstr!("entry-{}", settings.callers_address)
}

fn callers_limits(settings: &Settings) -> CallersLimits {
    CallersLimits {
        connections_max_count: settings.callers_max_connections as usize,
        refusals_max_count: REFUSALS_MAX_COUNT,
        header_timeout_ms: settings.header_timeout_ms,
        body_idle_timeout_ms: settings.body_idle_timeout_ms,
        write_idle_timeout_ms: settings.body_idle_timeout_ms,
        body_max_bytes: settings.body_max_bytes,
        bodies_total_max_bytes: settings.bodies_max_bytes,
        deadline_default_ms: DEADLINE_DEFAULT_MS,
        deadline_max_ms: DEADLINE_MAX_MS,
        reply_grace_ms: REPLY_GRACE_MS,
        retry_after_ms: settings.retry_after_min_ms,
        threads_count: CALLERS_THREADS_COUNT,
    }
}

fn engine_settings(settings: &Settings, entry: &str) -> EngineSettings {
    EngineSettings {
        entry: SmolStr::new(entry),
        zone: settings.zone.clone(),
        // If none is configured, it is set once the port is bound.
        peers_address: settings
            .peers_advertised_address
            .map(|address| SmolStr::new(address.to_string()))
            .unwrap_or_default(),
        seat_lease_ms: settings.seat_lease_ms,
        seat_renew_ms: settings.seat_renew_ms,
        config_stale_max_ms: settings.config_stale_max_ms,
        append_interval_ms: settings.append_interval_min_ms,
        append_batch_max_count: settings.append_batch_max_records as usize,
        append_batch_max_bytes: settings.append_batch_max_bytes as usize,
        worker_connections_max_count: settings.worker_connections_max_count as u32,
        changes_max_count: CHANGES_MAX_COUNT,
        snapshot_every_records: settings.snapshot_every_records,
        start_window_ms: START_WINDOW_MS,
        run_max_ms: settings.run_max_ms,
        clock_skew_max_ms: settings.clock_skew_max_ms,
        later_body_max_bytes: settings.later_body_max_bytes as usize,
        escrow_idle_ms: ESCROW_IDLE_MS,
        upkeep_every_ms: UPKEEP_EVERY_MS,
        probe_every_ms: PROBE_EVERY_MS,
        rollout: RolloutSettings {
            return_timeout_ms: settings.reboot_max_ms,
            probation_ms: settings.wave_trial_ms,
            bad_max_permille: settings.wave_failures_max_permille as u32,
            ..RolloutSettings::default()
        },
        moves: MoveSettings {
            samples_count: (settings.move_wait_ms / MoveSettings::default().sample_interval_ms)
                .max(1) as u32,
            cool_down_ms: settings.move_rest_ms,
            moves_max_per_hour_count: settings.moves_max_per_hour_count as u32,
            ..MoveSettings::default()
        },
        queue: QueueSettings {
            waiting_max_count: settings.waiting_max_requests as usize,
            retry_after: RetryAfterLimits {
                min_ms: settings.retry_after_min_ms,
                max_ms: settings.retry_after_max_ms,
            },
            ..QueueSettings::default()
        },
        share: ShareSettings {
            history_window_ms: settings.share_window_ms,
            ..ShareSettings::default()
        },
        retry: RetrySettings {
            attempts_max_count: settings.retries_max_count as u32 + 1,
            earned_permille: settings.retry_budget_permille as u32,
            ..RetrySettings::default()
        },
        health: HealthSettings {
            eject_max_permille: settings.eject_max_permille as u32,
            eject_first_ms: settings.eject_ms,
            eject_max_ms: settings.eject_longest_ms,
            ..HealthSettings::default()
        },
        seed: rand::rng().random(),
    }
}
