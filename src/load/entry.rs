//! A simulated entry. It drives the policy code as the engine does, or implements the baseline.

use std::collections::VecDeque;

use indexmap::IndexMap;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fleet::{MonoMs, Resources};
use crate::policy::estimate::ObservedSizes;
use crate::policy::health::{Access, Health, HealthSettings};
use crate::policy::keys::{PeerKey, PoolKey, WorkerKey, ZoneKey};
use crate::policy::lane::WaitingRequest;
use crate::policy::placement::{Placement, PlacementSettings};
use crate::policy::queue::WaitQueue;
use crate::policy::refusal::{GivenUp, Refusal, RefusalReason};
use crate::policy::retry::{RetryBudget, RetrySettings};
use crate::policy::settings::QueueSettings;
use crate::policy::share::{ShareSettings, UsageView};
use crate::policy::usage::{Load, UsageRow};
use crate::policy::worker::WorkerFacts;

/// Retry-after time in every refusal of the baseline.
const BASELINE_RETRY_AFTER_MS: u64 = 1_000;

/// Queue of the waiting requests.
pub(crate) enum EntryQueue {
    /// Baseline: one FIFO queue for each pool, with a bound on all waiting requests together. A
    /// request waits until its deadline.
    Fifo {
        queues: IndexMap<PoolKey, VecDeque<WaitingRequest>>,
        waiting_max_count: usize,
        refused: IndexMap<RefusalReason, u64>,
    },
    /// The wait queue of the policy code.
    Policy(Box<WaitQueue>),
}

impl EntryQueue {
    fn push(
        &mut self,
        now_ms: MonoMs,
        waiting: WaitingRequest,
        size_max: &Resources,
        view: &UsageView,
    ) -> Result<(), Refusal> {
        match self {
            Self::Policy(queue) => queue.push(now_ms, waiting, size_max, view),
            Self::Fifo {
                queues,
                waiting_max_count,
                refused,
            } => {
                let count: usize = queues.values().map(VecDeque::len).sum();
                if count >= *waiting_max_count {
                    *refused.entry(RefusalReason::QueueFull).or_insert(0) += 1;
                    return Err(Refusal {
                        reason: RefusalReason::QueueFull,
                        retry_after_ms: Some(BASELINE_RETRY_AFTER_MS),
                    });
                }
                queues
                    .entry(waiting.pools[0])
                    .or_default()
                    .push_back(waiting);
                Ok(())
            }
        }
    }

    pub(crate) fn put_back(&mut self, now_ms: MonoMs, waiting: WaitingRequest) {
        match self {
            Self::Policy(queue) => queue.put_back(now_ms, waiting),
            Self::Fifo { queues, .. } => {
                queues
                    .entry(waiting.pools[0])
                    .or_default()
                    .push_front(waiting);
            }
        }
    }

    fn expire(&mut self, now_ms: MonoMs, view: &UsageView) -> Vec<GivenUp> {
        match self {
            Self::Policy(queue) => queue.expire(now_ms, view),
            Self::Fifo {
                queues, refused, ..
            } => {
                let mut given_up = Vec::new();
                for wait_queue in queues.values_mut() {
                    wait_queue.retain(|waiting| {
                        let is_late = waiting.deadline_ms < now_ms;
                        if is_late {
                            given_up.push(GivenUp {
                                key: waiting.key,
                                retry_after_ms: BASELINE_RETRY_AFTER_MS,
                            });
                        }
                        !is_late
                    });
                }
                *refused.entry(RefusalReason::GivenUp).or_insert(0) += given_up.len() as u64;
                given_up
            }
        }
    }

    pub(crate) fn refused(&self) -> &IndexMap<RefusalReason, u64> {
        match self {
            Self::Policy(queue) => queue.refused_count(),
            Self::Fifo { refused, .. } => refused,
        }
    }

    fn next(
        &mut self,
        now_ms: MonoMs,
        pool: PoolKey,
        view: &UsageView,
        can_start: &mut dyn FnMut(&WaitingRequest) -> bool,
    ) -> Option<WaitingRequest> {
        match self {
            Self::Policy(queue) => queue.next(now_ms, pool, view, can_start),
            Self::Fifo { queues, .. } => {
                let wait_queue = queues.get_mut(&pool)?;
                wait_queue.front().is_some_and(can_start).then_some(())?;
                wait_queue.pop_front()
            }
        }
    }
}

/// Settings of a simulated entry.
#[derive(Clone, Debug)]
pub(crate) struct EntrySpec {
    pub(crate) seed: u64,
    pub(crate) zone: ZoneKey,
    pub(crate) rank: u32,
    pub(crate) entries_count: u32,
    /// Settings of the wait queue; `None` selects the baseline.
    pub(crate) queue: Option<QueueSettings>,
    pub(crate) share: ShareSettings,
    pub(crate) waiting_max_count: usize,
    pub(crate) has_retry_budget: bool,
}

/// A simulated entry.
pub(crate) struct Entry {
    pub(crate) wait_queue: EntryQueue,
    pub(crate) view: UsageView,
    pub(crate) placement: Placement,
    pub(crate) health: Health,
    pub(crate) sizes: ObservedSizes,
    pub(crate) retries: Option<RetryBudget>,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) is_up: bool,
}

impl Entry {
    pub(crate) fn new(spec: &EntrySpec) -> Self {
        let wait_queue = match spec.queue {
            Some(settings) => EntryQueue::Policy(Box::new(WaitQueue::new(settings, spec.seed))),
            None => EntryQueue::Fifo {
                queues: IndexMap::new(),
                waiting_max_count: spec.waiting_max_count,
                refused: IndexMap::new(),
            },
        };
        Self {
            wait_queue,
            view: UsageView::new(spec.share),
            placement: Placement::new(PlacementSettings {
                entry_rank: spec.rank,
                entries_count: spec.entries_count,
                ..PlacementSettings::in_zone(spec.zone)
            }),
            health: Health::new(HealthSettings::default()),
            sizes: ObservedSizes::default(),
            retries: spec
                .has_retry_budget
                .then(|| RetryBudget::new(RetrySettings::default())),
            rng: ChaCha8Rng::seed_from_u64(spec.seed ^ 0x5eed),
            is_up: true,
        }
    }

    pub(crate) fn set_pool(
        &mut self,
        pool: PoolKey,
        capacity: Load,
        workers: &[(WorkerKey, WorkerFacts)],
    ) {
        self.view.set_pool_capacity(pool, capacity);
        for (key, facts) in workers {
            self.placement.set_worker(*key, *facts);
            self.health.set_worker(*key, pool);
        }
        if let (EntryQueue::Policy(queue), Some((_, facts))) =
            (&mut self.wait_queue, workers.first())
        {
            queue.set_pool_largest(pool, facts.capacity);
        }
    }

    pub(crate) fn push(
        &mut self,
        now_ms: MonoMs,
        waiting: WaitingRequest,
        size_max: &Resources,
    ) -> Result<(), Refusal> {
        self.wait_queue.push(now_ms, waiting, size_max, &self.view)
    }

    /// Returns the next request of `pool` and the worker to send it to.
    pub(crate) fn dispatch(
        &mut self,
        now_ms: MonoMs,
        pool: PoolKey,
    ) -> Option<(WaitingRequest, WorkerKey)> {
        if self.placement.free_workers_count(pool) == 0 {
            return None;
        }
        let (placement, rng) = (&mut self.placement, &mut self.rng);
        let mut chosen = None;
        let mut can_start = |waiting: &WaitingRequest| {
            chosen = placement.choose(now_ms, pool, &waiting.size, waiting.failed_on, rng);
            chosen.is_some()
        };
        let waiting = self
            .wait_queue
            .next(now_ms, pool, &self.view, &mut can_start)?;
        let worker = chosen?;
        self.placement.started(worker, &waiting.size);
        self.view.started(now_ms, waiting.team, pool, &waiting.size);
        Some((waiting, worker))
    }

    /// Records the end of an attempt and the running requests that the worker reported.
    pub(crate) fn ended(
        &mut self,
        now_ms: MonoMs,
        waiting: &WaitingRequest,
        pool: PoolKey,
        worker: WorkerKey,
        running_count: u32,
    ) {
        self.placement.ended(worker, &waiting.size);
        self.placement.report(now_ms, worker, running_count);
        self.view.ended(now_ms, waiting.team, pool, &waiting.size);
    }

    /// Returns the peer to notify of a slot that is free and that this entry does not use itself.
    pub(crate) fn next_peer_to_notify(
        &mut self,
        now_ms: MonoMs,
        pool: PoolKey,
        worker: WorkerKey,
    ) -> Option<PeerKey> {
        match &mut self.wait_queue {
            EntryQueue::Policy(queue) if self.placement.is_free(worker) => {
                queue.next_peer_to_notify(now_ms, pool, &self.view)
            }
            _ => None,
        }
    }

    pub(crate) fn tick(&mut self, now_ms: MonoMs) -> Vec<GivenUp> {
        self.placement.tick(now_ms);
        self.view.expire_peers(now_ms);
        for change in self.health.tick(now_ms) {
            self.placement.set_access(change.worker, change.access);
        }
        self.wait_queue.expire(now_ms, &self.view)
    }

    pub(crate) fn set_access(&mut self, worker: WorkerKey, access: Access) {
        self.placement.set_access(worker, access);
    }

    pub(crate) fn report_rows(&self) -> Vec<UsageRow> {
        match &self.wait_queue {
            EntryQueue::Policy(queue) => queue.report_rows(&self.view),
            EntryQueue::Fifo { .. } => Vec::new(),
        }
    }

    pub(crate) fn apply_report(&mut self, now_ms: MonoMs, from: PeerKey, rows: Vec<UsageRow>) {
        self.view.apply_peer_report(now_ms, from, rows);
    }

    /// Draws a time of at most `max_ms`.
    pub(crate) fn draw_ms(&mut self, max_ms: u64) -> u64 {
        self.rng.random_range(0..=max_ms)
    }
}
