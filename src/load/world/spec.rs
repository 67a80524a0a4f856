//! What the modelled world is made from, and what comes of it.

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

/// How the entries decide.
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
    /// Baseline: first in, first out at each entry, without shares.
    Fifo,
    /// Each entry starts the team with the lowest level by gossip.
    Levels,
    /// Each entry keeps to its part of a division computed from gossip.
    Divided,
    /// One entry decides for a pool, found by rendezvous hash; the others forward to it.
    Owner,
}

/// The modelled deployment.
#[derive(Clone, Debug)]
pub struct WorldSpec {
    /// Seed of all that is random but the demand.
    pub seed: u64,
    /// How the entries decide.
    pub policy: SchedulingPolicy,
    /// Entries.
    pub entries_count: usize,
    /// Workers of each pool.
    pub workers_of_pools: Vec<u32>,
    /// Slots of a worker.
    pub slots_count: u32,
    /// Queues.
    pub queues: Vec<QueueSpec>,
    /// Weight of each team.
    pub weights: Vec<u32>,
    /// Settings of the queue of each entry.
    pub queue: QueueSettings,
    /// Settings of the shares.
    pub share: ShareSettings,
    /// Whether an entry tells the peer whose turn it is of a slot that it leaves free.
    pub has_free_slot_hints: bool,
    /// Time between two reports of an entry to its peers.
    pub gossip_period_ms: u64,
    /// One-way time of any message.
    pub hop_ms: u64,
    /// Times that a caller that was refused comes back.
    pub returns_max_count: u32,
    /// An entry that is lost, and when.
    pub lost_entry: Option<(usize, MonoMs)>,
    /// Time until another entry has taken over what the lost one decided.
    pub failover_ms: u64,
    /// A worker that fails all it starts, and from when.
    pub bad_worker: Option<(u32, MonoMs)>,
    /// End of the experiment.
    pub duration_ms: MonoMs,
}

/// What came of it.
#[derive(Clone, Debug)]
pub struct WorldOutcome {
    /// Requests that first arrived.
    pub arrived_count: u64,
    /// Requests answered in time.
    pub on_time_count: u64,
    /// Runs that ended too late to count.
    pub late_count: u64,
    /// Requests whose caller was told to come back and did.
    pub returned_count: u64,
    /// Of these, answered in time after all.
    pub returned_served_count: u64,
    /// Callers that came back in each tenth of a second.
    pub returns_by_100_ms: Vec<u64>,
    /// Refusals by reason, over all entries.
    pub refused: IndexMap<String, u64>,
    /// Attempts tried again by reason, over all entries.
    pub retried: IndexMap<String, u64>,
    /// Messages to peers about a free slot.
    pub hints_count: u64,
    /// Distance from share, by window.
    pub distances: Vec<ShareDistance>,
    /// Misplaced capacity in each second, for a plot.
    pub misplaced_by_s: Vec<f64>,
    /// Part of the capacity that was idle while work for it waited.
    pub idle_while_waiting_permille: f64,
    /// Time from arrival to start of urgent work.
    pub urgent_start_ms: Histogram<u64>,
    /// Urgent requests that did not start within the target.
    pub urgent_missed_count: u64,
    /// Urgent requests that arrived.
    pub urgent_count: u64,
}

/// Time within which urgent work is to start.
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

/// A worker of the smaller deployment, in one of four zones.
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

/// Bounds a declared size to what a worker has, as a caller would after its first refusal.
pub(crate) fn clip(declared: &Resources) -> Resources {
    Resources {
        cores_milli: declared.cores_milli.min(WORKER_CAPACITY.cores_milli),
        memory_mb: declared.memory_mb.min(WORKER_CAPACITY.memory_mb),
        accelerators_count: declared.accelerators_count,
    }
}

/// Returns what entry `index` is made from.
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
