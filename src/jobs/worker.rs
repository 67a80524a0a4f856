//! What is believed of one worker: its room, what may run there, and how long that holds.

use std::net::SocketAddr;

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::jobs::keys::RunKey;
use crate::jobs::spec::Size;

/// Share by which a worker's clock may run slow, in thousandths, with some reserve.
const CLOCK_DRIFT_PERMILLE: u64 = 30;
/// Reserve on a computed end of a lease, in milliseconds.
const LEASE_EXPIRY_RESERVE_MS: u64 = 60;

/// A worker as the platform's list shows it.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerInfo {
    /// Id.
    pub id: SmolStr,
    /// Unix time at which this life began, in milliseconds; 0 if it is not told.
    pub started_unix_ms: u64,
    /// Address of its interface.
    pub address: SocketAddr,
    /// Pool.
    pub pool: SmolStr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Labels, its rack among them.
    pub labels: Vec<SmolStr>,
    /// Room that it has.
    pub capacity: Size,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// Instance whose life it is, if it says so.
    pub instance: Option<SmolStr>,
}

/// How far a start has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotState {
    /// The order is on its way.
    Sent,
    /// The worker took it, as known since the time given.
    Placed {
        /// Time of the answer or of the first look that showed it.
        since_ms: u64,
    },
    /// The answer was lost at the time given: it may run, or be started later.
    OutcomeUnknown {
        /// Time at which the answer was given up.
        since_ms: u64,
    },
    /// A stop that makes a late start impossible was acknowledged at the time given.
    StartBlocked {
        /// Time of the acknowledgement.
        since_ms: u64,
    },
}

/// One run that is at a worker, or may be.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    /// Room that it takes.
    pub(crate) reservation: Size,
    /// What it counts for its team.
    pub(crate) size: Size,
    /// How far its start has come.
    pub(crate) state: SlotState,
    /// Time of the order, or of the look that showed it first.
    pub(crate) since_ms: u64,
    /// Whether it is meant to end.
    pub(crate) is_stopping: bool,
    /// Time of the last stop sent; 0 for none.
    pub(crate) stop_sent_ms: u64,
    /// Whether the task runs until its job is cancelled.
    pub(crate) is_long_running: bool,
    /// Whether it uses what others leave.
    pub(crate) is_best_effort: bool,
    /// Progress, or the share of the time that an endless task is at work, in percent.
    pub(crate) percent: u64,
    /// The worker's metric: tail latency in milliseconds, or thousandths of a core in use.
    pub(crate) metric: u64,
    /// Share at which it was last told to work, in percent.
    pub(crate) pace_percent: u64,
    /// Bound of its tail latency, in milliseconds; 0 for none.
    pub(crate) tail_target_ms: u64,
}

/// The worker's clock, read at some time of the own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClockReading {
    /// What the worker's clock showed.
    pub(crate) worker_ms: u64,
    /// When its answer arrived.
    pub(crate) read_ms: u64,
}

/// Where the calls that renew the lease and list the runs stand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PollState {
    /// None is on its way, and none is due before the time given.
    Idle {
        /// Earliest time of the next.
        due_ms: u64,
    },
    /// One was sent at the time given.
    InFlight {
        /// Time of sending.
        sent_ms: u64,
    },
}

/// One worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    /// What the list shows.
    pub(crate) info: WorkerInfo,
    /// Rack, by its labels.
    pub(crate) rack: SmolStr,
    /// Whether the list has it.
    pub(crate) is_listed: bool,
    /// Whether it is on record as one that tasks may have been started on.
    pub(crate) is_persisted: bool,
    /// Whether this leader's fence was raised there in this life.
    pub(crate) is_fenced: bool,
    /// Whether its life is known to be over: nothing runs there, and nothing will.
    pub(crate) is_removed: bool,
    /// Whether it is kept free of new starts for a planned stop.
    pub(crate) is_cordoned: bool,
    /// Runs that are there, or may be.
    pub(crate) slots: IndexMap<RunKey, Slot>,
    /// Sum of the rooms of the slots.
    pub(crate) used: Size,
    /// Last reading of its clock.
    pub(crate) clock: Option<ClockReading>,
    /// Time on its clock up to which its runs were let.
    pub(crate) leased_until_worker_ms: u64,
    /// Highest number of an end that was taken in.
    pub(crate) seen_through: u64,
    /// Highest number of an end that is on record, or needs none.
    pub(crate) persisted_through: u64,
    /// Batch of records after which `seen_through` is settled.
    pub(crate) awaited_batch: Option<u64>,
    /// Where the looks stand.
    pub(crate) poll: PollState,
    /// Looks or orders in a row without an answer.
    pub(crate) unanswered_count: u32,
    /// No task is started there before this time.
    pub(crate) avoided_until_ms: u64,
    /// Runs in a row that ended as failed there.
    pub(crate) failed_streak_count: u32,
    /// Time since which nothing was there to run.
    pub(crate) idle_since_ms: u64,
    /// Time at which the list showed it first under this leader; 0 for never.
    pub(crate) listed_ms: u64,
    /// Time at which the list lost it, if it did.
    pub(crate) unlisted_since_ms: u64,
    /// Run times here against those elsewhere, smoothed, in thousandths.
    pub(crate) slowness_permille: u64,
}

impl Worker {
    pub(crate) fn open(info: WorkerInfo, now_ms: u64) -> Self {
        Self {
            rack: rack_of(&info.labels),
            info,
            is_listed: false,
            is_persisted: false,
            is_fenced: false,
            is_removed: false,
            is_cordoned: false,
            slots: IndexMap::new(),
            used: Size::default(),
            clock: None,
            leased_until_worker_ms: 0,
            seen_through: 0,
            persisted_through: 0,
            awaited_batch: None,
            poll: PollState::Idle { due_ms: 0 },
            unanswered_count: 0,
            avoided_until_ms: 0,
            failed_streak_count: 0,
            idle_since_ms: now_ms,
            listed_ms: 0,
            unlisted_since_ms: now_ms,
            slowness_permille: 1_000,
        }
    }

    /// Returns the time on the worker's clock that corresponds to `now_ms`, or later.
    pub(crate) fn worker_time_ms(&self, now_ms: u64) -> Option<u64> {
        let clock = self.clock?;
        Some(clock.worker_ms + now_ms.saturating_sub(clock.read_ms))
    }

    /// Returns the time on the own clock at which all that was let has lapsed for sure.
    pub(crate) fn leases_expired_at_ms(&self) -> u64 {
        match self.clock {
            // Nothing was let yet, or it is not known until when; a look will tell.
            None => u64::MAX,
            Some(clock) => {
                let left_ms = self.leased_until_worker_ms.saturating_sub(clock.worker_ms);
                let drift_ms = left_ms * CLOCK_DRIFT_PERMILLE / 1_000;
                clock.read_ms + left_ms + drift_ms + LEASE_EXPIRY_RESERVE_MS
            }
        }
    }

    /// Notes a reading of the worker's clock.
    pub(crate) fn read_clock(&mut self, worker_ms: u64, now_ms: u64) {
        let is_newer = self.clock.is_none_or(|clock| worker_ms >= clock.worker_ms);
        if is_newer {
            self.clock = Some(ClockReading {
                worker_ms,
                read_ms: now_ms,
            });
        }
    }

    /// Returns whether an earlier leader's runs may be there that this one has not seen.
    pub(crate) fn may_have_unseen_runs(&self) -> bool {
        self.is_persisted && !self.is_fenced && !self.is_removed
    }

    /// Returns whether new tasks may go there.
    pub(crate) fn takes_tasks(&self, now_ms: u64) -> bool {
        self.is_listed
            && self.is_persisted
            && self.is_fenced
            && !self.info.is_draining
            && !self.is_cordoned
            && self.unanswered_count == 0
            && now_ms >= self.avoided_until_ms
    }

    /// Returns whether endless tasks run there.
    pub(crate) fn long_running_count(&self) -> usize {
        self.slots
            .values()
            .filter(|slot| slot.is_long_running)
            .count()
    }

    /// Forgets what held for an earlier life, and returns the runs that were there.
    pub(crate) fn start_incarnation(&mut self, started_unix_ms: u64) -> Vec<RunKey> {
        self.info.started_unix_ms = started_unix_ms;
        self.clock = None;
        self.leased_until_worker_ms = 0;
        self.seen_through = 0;
        self.persisted_through = 0;
        self.awaited_batch = None;
        self.is_fenced = false;
        self.failed_streak_count = 0;
        self.slots.keys().copied().collect()
    }
}

/// Finds the rack among a worker's labels: the one that numbers a row and a place.
fn rack_of(labels: &[SmolStr]) -> SmolStr {
    labels
        .iter()
        .find(|label| label.contains('-'))
        .or(labels.last())
        .cloned()
        .unwrap_or_default()
}
