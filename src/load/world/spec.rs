//! Settings and results of the simulated world.

use hdrhistogram::Histogram;
use indexmap::IndexMap;

use crate::fleet::{MonoMs, Resources};
use crate::load::demand::{QueueSpec, REQUEST_SIZE};
use crate::load::entry::EntrySpec;
use crate::load::measure::ShareDistance;
use crate::policy::keys::{PoolKey, ZoneKey};
use crate::policy::settings::{QueueSettings, Sharing};
use crate::policy::share::ShareSettings;
use crate::policy::worker::WorkerFacts;

/// How the entries schedule requests.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    strum::Display,
    strum::EnumString,
    strum::EnumIter,
    serde::Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum SchedulingPolicy {
    /// Baseline: FIFO at each entry, without shares.
    Fifo,
    /// Each entry starts a request of the team with the lowest usage level, known from gossip.
    Levels,
    /// Each entry uses its part of a division of the capacity that is computed from gossip.
    Divided,
    /// One entry owns each pool, by rendezvous hash; the other entries forward requests to it.
    Owner,
}

/// Settings of the simulated deployment.
#[derive(Clone, Debug)]
pub struct WorldSpec {
    /// Seed of all random choices except the demand.
    pub seed: u64,
    /// Scheduling policy.
    pub policy: SchedulingPolicy,
    /// Number of entries.
    pub entries_count: usize,
    /// Number of workers of each pool.
    pub workers_of_pools: Vec<u32>,
    /// Number of slots of a worker.
    pub slots_count: u32,
    /// Queues.
    pub queues: Vec<QueueSpec>,
    /// Weight of each team.
    pub weights: Vec<u32>,
    /// Settings of the wait queue of each entry.
    pub queue: QueueSettings,
    /// Settings of the shares.
    pub share: ShareSettings,
    /// Whether an entry notifies the next peer of a free slot that it does not use itself.
    pub has_free_slot_hints: bool,
    /// Interval of an entry's usage reports to its peers.
    pub gossip_period_ms: u64,
    /// One-way latency of every message.
    pub hop_ms: u64,
    /// How many times a refused caller retries.
    pub returns_max_count: u32,
    /// Entry that fails, and the time of its failure.
    pub lost_entry: Option<(usize, MonoMs)>,
    /// Time from the failure of an entry until others own its pools.
    pub failover_ms: u64,
    /// Worker that fails every request, and the time from which it does.
    pub bad_worker: Option<(u32, MonoMs)>,
    /// End of the experiment.
    pub duration_ms: MonoMs,
}

/// Result of a simulation.
#[derive(Clone, Debug)]
pub struct WorldOutcome {
    /// Requests that arrived, without retries.
    pub arrived_count: u64,
    /// Requests answered before their deadline.
    pub on_time_count: u64,
    /// Requests answered after their deadline.
    pub late_count: u64,
    /// Requests whose caller retried after a refusal.
    pub returned_count: u64,
    /// Retried requests that were answered before their deadline.
    pub returned_served_count: u64,
    /// Retries of refused callers in each tenth of a second.
    pub returns_by_100_ms: Vec<u64>,
    /// Refusals by reason, over all entries.
    pub refused: IndexMap<String, u64>,
    /// Repeated attempts by reason, over all entries.
    pub retried: IndexMap<String, u64>,
    /// Notifications to peers about a free slot.
    pub hints_count: u64,
    /// Distance from the ideal shares, for each length of window.
    pub distances: Vec<ShareDistance>,
    /// Misplaced capacity in each second, for a plot.
    pub misplaced_by_s: Vec<f64>,
    /// Part of the capacity that was idle while requests waited for it.
    pub idle_while_waiting_permille: f64,
    /// Time from arrival to start of urgent work.
    pub urgent_start_ms: Histogram<u64>,
    /// Urgent requests that did not start within the target.
    pub urgent_missed_count: u64,
    /// Urgent requests that arrived.
    pub urgent_count: u64,
}

/// Time from arrival within which urgent work must start.
pub const URGENT_START_TARGET_MS: u64 = 1_600;

impl WorldOutcome {
    pub(crate) fn empty(duration_ms: MonoMs) -> Self {
        Self {
            arrived_count: 0,
            on_time_count: 0,
            late_count: 0,
            returned_count: 0,
            returned_served_count: 0,
            returns_by_100_ms: vec![0; duration_ms as usize / 100 + 1],
            refused: IndexMap::new(),
            retried: IndexMap::new(),
            hints_count: 0,
            distances: Vec::new(),
            misplaced_by_s: Vec::new(),
            idle_while_waiting_permille: 0.0,
            urgent_start_ms: Histogram::new_with_bounds(1, 3_600_000, 3)
                .expect("the bounds are valid constants"),
            urgent_missed_count: 0,
            urgent_count: 0,
        }
    }
}

/// Returns a worker of the smaller deployment, in one of four zones.
pub(crate) fn worker_facts(pool: usize, index: u32, slots_count: u32) -> WorkerFacts {
    WorkerFacts {
        pool: PoolKey(pool as u16),
        zone: ZoneKey((index % 4) as u16),
        capacity: WORKER_CAPACITY,
        slots_count,
        is_usable: true,
    }
}

/// Eight times the size of a request.
const WORKER_CAPACITY: Resources = Resources {
    cores_milli: REQUEST_SIZE.cores_milli * 8,
    memory_mb: REQUEST_SIZE.memory_mb * 8,
    accelerators_count: 0,
};

/// Limits a declared size to the capacity of a worker, as a caller does after its first refusal.
pub(crate) fn clip(declared: &Resources) -> Resources {
    Resources {
        cores_milli: declared.cores_milli.min(WORKER_CAPACITY.cores_milli),
        memory_mb: declared.memory_mb.min(WORKER_CAPACITY.memory_mb),
        accelerators_count: declared.accelerators_count,
    }
}

/// Returns the settings of entry `index`.
pub(crate) fn entry_spec(spec: &WorldSpec, index: usize) -> EntrySpec {
    let sharing = match spec.policy {
        SchedulingPolicy::Divided => Sharing::Divided,
        _ => Sharing::Levels,
    };
    EntrySpec {
        seed: spec.seed.wrapping_mul(31).wrapping_add(index as u64),
        zone: ZoneKey((index % 4) as u16),
        rank: index as u32,
        entries_count: spec.entries_count as u32,
        queue: (spec.policy != SchedulingPolicy::Fifo).then_some(QueueSettings {
            sharing,
            ..spec.queue
        }),
        share: spec.share,
        waiting_max_count: spec.queue.waiting_max_count,
        has_retry_budget: spec.policy != SchedulingPolicy::Fifo,
    }
}
