//! What the engine needs to know of the settings, in the units that it counts in.

use smol_str::SmolStr;

use crate::{
    policy::{
        health::HealthSettings, retry::RetrySettings, settings::QueueSettings, share::ShareSettings,
    },
    upkeep::{moves::MoveSettings, rollout::RolloutSettings},
};

/// Settings of one engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Name of the entry instance, for answers and logs.
    pub entry: SmolStr,
    /// Availability zone of the entry instance.
    pub zone: SmolStr,
    /// Address at which peers reach this entry.
    pub peers_address: SmolStr,
    /// Lease of the seat.
    pub seat_lease_ms: u64,
    /// Time between renewals.
    pub seat_renew_ms: u64,
    /// Age of the latest contact after which the configuration counts as stale.
    pub config_stale_max_ms: u64,
    /// Time between two appends.
    pub append_interval_ms: u64,
    /// Changes in one batch at most.
    pub append_batch_max_count: usize,
    /// Bytes of one batch at most, by a careful estimate.
    pub append_batch_max_bytes: usize,
    /// Attempts out at one worker at most.
    pub worker_connections_max_count: u32,
    /// Changes that may wait for an append.
    pub changes_max_count: usize,
    /// Records between two snapshots.
    pub snapshot_every_records: u64,
    /// Time within which a worker must have started an attempt.
    pub start_window_ms: u64,
    /// Longest task lease.
    pub run_max_ms: u64,
    /// Largest difference between two wall clocks.
    pub clock_skew_max_ms: u64,
    /// Longest body of work accepted for later, and longest answer kept of it.
    pub later_body_max_bytes: usize,
    /// Time that unused parts of a team's limit are kept.
    pub escrow_idle_ms: u64,
    /// Time between two looks at the instances.
    pub upkeep_every_ms: u64,
    /// Time for which a doubtful worker is left alone between two probes.
    pub probe_every_ms: u64,
    /// Roll-outs.
    pub roll_out: RolloutSettings,
    /// Moves.
    pub moves: MoveSettings,
    /// Waiting work.
    pub queue: QueueSettings,
    /// Shares.
    pub share: ShareSettings,
    /// Retries.
    pub retry: RetrySettings,
    /// Health of workers.
    pub health: HealthSettings,
    /// Seed of all random choices.
    pub seed: u64,
}
