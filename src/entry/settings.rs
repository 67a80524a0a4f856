//! Settings of the engine, in the units that it uses.

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
    /// Duration of the seat's lease, in milliseconds.
    pub seat_lease_ms: u64,
    /// Time between two renewals of the lease, in milliseconds.
    pub seat_renew_ms: u64,
    /// Age of the latest contact above which the configuration is stale, in milliseconds.
    pub config_stale_max_ms: u64,
    /// Minimum time between two appends, in milliseconds.
    pub append_interval_ms: u64,
    /// Maximum number of changes in one batch.
    pub append_batch_max_count: usize,
    /// Maximum size of one batch in bytes, by an estimate on the safe side.
    pub append_batch_max_bytes: usize,
    /// Maximum number of attempts in flight to one worker.
    pub worker_connections_max_count: u32,
    /// Maximum number of changes waiting for an append.
    pub changes_max_count: usize,
    /// Number of records after which a new snapshot may be due.
    pub snapshot_every_records: u64,
    /// Time within which a worker must start an attempt, in milliseconds.
    pub start_window_ms: u64,
    /// Maximum task lease, in milliseconds.
    pub run_max_ms: u64,
    /// Maximum difference between two wall clocks, in milliseconds.
    pub clock_skew_max_ms: u64,
    /// Maximum size of the body of work accepted for later, and of its persisted answer, in bytes.
    pub later_body_max_bytes: usize,
    /// Time for which unused parts of a team's limit are held, in milliseconds.
    pub escrow_idle_ms: u64,
    /// Time between two polls of the maintenance of instances, in milliseconds.
    pub upkeep_every_ms: u64,
    /// Minimum time between two probes of one worker, in milliseconds.
    pub probe_every_ms: u64,
    /// Roll-outs.
    pub rollout: RolloutSettings,
    /// Moves between pools.
    pub moves: MoveSettings,
    /// The queue of waiting requests.
    pub queue: QueueSettings,
    /// Fair shares of teams.
    pub share: ShareSettings,
    /// Retries.
    pub retry: RetrySettings,
    /// Health of workers.
    pub health: HealthSettings,
    /// Seed of the engine's random choices.
    pub seed: u64,
}
