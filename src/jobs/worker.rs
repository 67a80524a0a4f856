//! The leader's view of one worker: its capacity, the runs that may be there, and their leases.

use std::net::SocketAddr;

use smol_str::SmolStr;

use crate::collections::IndexMap;
use crate::jobs::keys::RunKey;
use crate::jobs::leases::ClockReading;
use crate::jobs::slowness::Slowness;
use crate::jobs::spec::Size;

/// Time for which a call without an answer may still be carried out, in milliseconds. If the worker
/// restarts under its id meanwhile, its new incarnation carries it out.
pub(crate) const LATE_CALL_MS: u64 = 12_000;

/// A worker as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerInfo {
    /// Id of the worker.
    pub id: SmolStr,
    /// Unix time at which this incarnation started, in milliseconds; 0 if it is not reported.
    pub started_unix_ms: u64,
    /// Address of its interface.
    pub address: SocketAddr,
    /// Pool to which it belongs.
    pub pool: SmolStr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Labels, including its rack.
    pub labels: Vec<SmolStr>,
    /// Total capacity.
    pub capacity: Size,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// Time for which it is still slow after its start, in milliseconds.
    pub cold_ms: u64,
    /// Instance on which it runs, if it reports one.
    pub instance: Option<SmolStr>,
}

/// What a worker can do for a task now.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    serde::Serialize,
    serde::Deserialize,
    strum::Display,
    strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum WorkerState {
    /// It has room.
    Free,
    /// Its runs leave no room.
    Full,
    /// The task exceeds its capacity.
    TooSmall,
    /// The platform does not list it.
    Unlisted,
    /// It is about to leave.
    Draining,
    /// Its instance is about to be moved or maintained.
    Cordoned,
    /// Its zone is evacuated.
    Evacuated,
    /// The store has no record of it yet.
    NotPersisted,
    /// It has not answered this leader yet.
    NotFenced,
    /// Its last poll failed.
    Unresponsive,
    /// Its last runs failed.
    Avoided,
    /// It is slow after its start, and has had a start just now.
    ColdPaced,
    /// It would start tasks beyond its capacity, and may have less than it last reported.
    CapacityUnknown,
    /// It is kept for a task that is suspected to crash its workers.
    Reserved,
}

/// How far the start of a run has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotState {
    /// The start order is sent once its record is persisted.
    Held,
    /// The start order is in flight.
    Sent,
    /// The worker has accepted the start.
    Placed {
        /// Time of its answer, or of the first poll that listed the run.
        since_ms: u64,
    },
    /// The answer was lost: the run may exist, or the worker may still start it.
    OutcomeUnknown {
        /// Time at which the order failed without an answer.
        since_ms: u64,
    },
    /// The worker has acknowledged a stop, after which it refuses a late start.
    StartBlocked {
        /// Time of the acknowledgement.
        since_ms: u64,
    },
}

impl SlotState {
    /// Returns whether the order of the start may still be on its way, and begin the run in a later
    /// incarnation of the worker.
    pub(crate) fn may_start_late(self) -> bool {
        self == Self::Sent || self.is_unsettled()
    }

    /// Returns whether the order of the start was given up, and no poll has told since what became of it.
    pub(crate) fn is_unsettled(self) -> bool {
        match self {
            Self::OutcomeUnknown { .. } | Self::StartBlocked { .. } => true,
            Self::Held | Self::Sent | Self::Placed { .. } => false,
        }
    }
}

/// A run that is, or may be, at a worker.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    /// Part of the worker's capacity that it takes.
    pub(crate) reservation: Size,
    /// Size that counts towards the team's limit.
    pub(crate) size: Size,
    /// How far its start has come.
    pub(crate) state: SlotState,
    /// Time of the order, or of the poll that first listed the run.
    pub(crate) since_ms: u64,
    /// Whether a stop was ordered.
    pub(crate) is_stopping: bool,
    /// Time of the last stop order; 0 for none.
    pub(crate) stop_sent_ms: u64,
    /// Time until which its order may still be carried out although the incarnation has ended that it
    /// was meant for, in milliseconds; 0 for any other order.
    pub(crate) may_start_until_ms: u64,
    /// Whether a later incarnation of the worker than the known one has accepted the start.
    pub(crate) is_in_next_incarnation: bool,
    /// Whether the run was first seen in a poll, so that the time of its start is not known.
    pub(crate) is_adopted: bool,
    /// Whether the task runs until its job is cancelled.
    pub(crate) is_long_running: bool,
    /// Whether the task uses only processor time that other tasks leave unused.
    pub(crate) is_best_effort: bool,
    /// Progress, or for a long-running task the share of time for which it is available, in
    /// percent.
    pub(crate) percent: u64,
    /// Metric that the worker reports: tail latency in milliseconds, or thousandths of a core in
    /// use.
    pub(crate) metric: u64,
    /// Pace that was last ordered, in percent.
    pub(crate) pace_percent: u64,
    /// Bound of its tail latency, in milliseconds; 0 for none.
    pub(crate) tail_target_ms: u64,
    /// Whether it takes longer than near its data: it is in another rack, or it is a member of a
    /// gang that spans racks although one would be faster.
    pub(crate) is_remote: bool,
}

/// State of the polls of one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PollState {
    /// No poll is in flight.
    Idle {
        /// Earliest time of the next poll.
        due_ms: u64,
    },
    /// A poll is in flight.
    InFlight {
        /// Time of sending.
        sent_ms: u64,
    },
}

/// One worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    /// What the platform lists.
    pub(crate) info: WorkerInfo,
    /// Rack, taken from its labels.
    pub(crate) rack: SmolStr,
    /// Whether the platform lists it now.
    pub(crate) is_listed: bool,
    /// Whether the store has a record that tasks may have been started on it.
    pub(crate) is_persisted: bool,
    /// Whether this leader has raised its fence at this incarnation.
    pub(crate) is_fenced: bool,
    /// Whether the worker is known to be gone: nothing runs there. A start on its way may still begin there if it
    /// is back under its id.
    pub(crate) is_removed: bool,
    /// Whether this incarnation has ended with an order to its instance. The list may still have
    /// it for some time.
    pub(crate) has_ended: bool,
    /// Whether no new tasks are started on it, because of a planned stop.
    pub(crate) is_cordoned: bool,
    /// Whether no new tasks are started on it, because its zone is evacuated.
    pub(crate) is_evacuated: bool,
    /// Unix time of the start of the incarnation that the list shows, in milliseconds; 0 for none.
    pub(crate) listed_started_unix_ms: u64,
    /// Whether its capacity may have changed and it would start tasks beyond it.
    pub(crate) is_capacity_unknown: bool,
    /// Most capacity that it is known to have had; runs that started then may still be there.
    pub(crate) largest_capacity: Size,
    /// Whether it takes only a task that is suspected to crash its workers.
    pub(crate) is_reserved: bool,
    /// Runs that are, or may be, at the worker.
    pub(crate) slots: IndexMap<RunKey, Slot>,
    /// Sum of the reservations of the slots.
    pub(crate) used: Size,
    /// Number of slots of long-running tasks.
    pub(crate) long_running_count: usize,
    /// Last reading of its clock.
    pub(crate) clock: Option<ClockReading>,
    /// Time since which leases count on the clock of an incarnation of which nothing else is known, in
    /// milliseconds; 0 for never.
    pub(crate) followed_since_ms: u64,
    /// Latest end of the leases given to its runs, on its clock, in milliseconds.
    pub(crate) leased_until_worker_ms: u64,
    /// Time until which runs may last that were ordered without an answer, in milliseconds: the order
    /// may have been carried out by another incarnation, which counts the lease on another clock. 0 once
    /// the incarnation has answered since.
    pub(crate) unconfirmed_lease_end_ms: u64,
    /// Time at which the last call that may give leases was given up without an answer, in milliseconds.
    pub(crate) lost_lease_ms: Option<u64>,
    /// Time until which calls of this leader may arrive that were meant for an earlier incarnation, in
    /// milliseconds; none if it knows of none.
    pub(crate) late_calls_until_ms: Option<u64>,
    /// Highest number of the ends that were processed.
    pub(crate) seen_through: u64,
    /// Highest number of the ends that are persisted or need no record.
    pub(crate) persisted_through: u64,
    /// Highest number of the ends that it has dropped, as they were acknowledged.
    pub(crate) dropped_through: u64,
    /// Time of the first poll that went without an acknowledgement which is still due, in milliseconds.
    pub(crate) deferred_since_ms: Option<u64>,
    /// Whether this leader has known the incarnation since its start, so that nobody else has read ends.
    pub(crate) is_known_from_start: bool,
    /// Whether its last answer may have left out ends of runs.
    pub(crate) has_more_ends: bool,
    /// Batch that has to be persisted before the ends up to `seen_through` may be acknowledged.
    pub(crate) awaited_batch: Option<u64>,
    /// State of its polls.
    pub(crate) poll: PollState,
    /// Time before which it is not polled again, in milliseconds.
    pub(crate) next_poll_ms: u64,
    /// Time of its last answer to this leader, in milliseconds; 0 for none.
    pub(crate) answered_ms: u64,
    /// Number of polls in a row that failed.
    pub(crate) failed_polls_count: u32,
    /// Time of the first of these; none if it answers.
    pub(crate) silent_since_ms: Option<u64>,
    /// Time before which no task is started there.
    pub(crate) avoided_until_ms: u64,
    /// Time until which it is slow after its start.
    pub(crate) cold_until_ms: u64,
    /// Time before which no task is started there while it is cold.
    pub(crate) next_start_ms: u64,
    /// Number of runs in a row that failed there.
    pub(crate) failed_streak_count: u32,
    /// Time since which it has had no runs.
    pub(crate) idle_since_ms: u64,
    /// Time at which it was first listed under this leader, or seen to have restarted; 0 for never.
    pub(crate) listed_ms: u64,
    /// Time since which it has not been listed; has no meaning while it is listed.
    pub(crate) unlisted_since_ms: u64,
    /// Evidence of whether tasks take long there.
    pub(crate) slowness: Slowness,
    /// Whether it has changed since its free capacity was brought up to date.
    pub(crate) is_touched: bool,
}

impl Worker {
    pub(crate) fn open(info: WorkerInfo, now_ms: u64) -> Self {
        Self {
            rack: rack_of(&info.labels),
            largest_capacity: info.capacity,
            info,
            is_listed: false,
            is_persisted: false,
            is_fenced: false,
            is_removed: false,
            has_ended: false,
            is_cordoned: false,
            is_evacuated: false,
            listed_started_unix_ms: 0,
            is_capacity_unknown: false,
            is_reserved: false,
            slots: IndexMap::default(),
            used: Size::default(),
            long_running_count: 0,
            clock: None,
            followed_since_ms: 0,
            leased_until_worker_ms: 0,
            unconfirmed_lease_end_ms: 0,
            lost_lease_ms: None,
            late_calls_until_ms: None,
            seen_through: 0,
            persisted_through: 0,
            dropped_through: 0,
            deferred_since_ms: None,
            is_known_from_start: false,
            has_more_ends: false,
            awaited_batch: None,
            poll: PollState::Idle { due_ms: 0 },
            next_poll_ms: 0,
            answered_ms: 0,
            failed_polls_count: 0,
            silent_since_ms: None,
            avoided_until_ms: 0,
            cold_until_ms: 0,
            next_start_ms: 0,
            failed_streak_count: 0,
            idle_since_ms: now_ms,
            listed_ms: 0,
            unlisted_since_ms: now_ms,
            slowness: Slowness::default(),
            is_touched: false,
        }
    }

    /// Returns the time up to which it may have worked: that of the first failed poll if it does
    /// not answer, or else `now_ms`.
    pub(crate) fn last_heard_ms(&self, now_ms: u64) -> u64 {
        self.silent_since_ms.unwrap_or(now_ms)
    }

    /// Returns whether `info` is an entry of the incarnation that has ended.
    pub(crate) fn is_outdated_entry(&self, info: &WorkerInfo) -> bool {
        let is_same = info.started_unix_ms == self.info.started_unix_ms;
        self.has_ended && is_same && info.started_unix_ms != 0
    }

    /// Returns whether runs of an earlier leader may be there that this leader has not seen. A
    /// worker that this leader records has answered it before.
    pub(crate) fn may_have_unseen_runs(&self) -> bool {
        self.is_persisted && !self.is_fenced && !self.is_removed
    }

    /// Returns whether new tasks may be started there.
    pub(crate) fn takes_tasks(&self, now_ms: u64) -> bool {
        self.obstacle(now_ms).is_none()
    }

    /// Returns whether the task for which it is reserved may be started there.
    pub(crate) fn takes_reserved_tasks(&self, now_ms: u64) -> bool {
        self.obstacle(now_ms) == Some(WorkerState::Reserved)
    }

    /// Returns whether a start that was ordered before may be sent there.
    pub(crate) fn takes_ordered_starts(&self, now_ms: u64) -> bool {
        let own = [WorkerState::Reserved, WorkerState::ColdPaced];
        self.obstacle(now_ms)
            .is_none_or(|state| own.contains(&state))
    }

    /// Returns why no new tasks may be started there, if that is so.
    fn obstacle(&self, now_ms: u64) -> Option<WorkerState> {
        match () {
            () if !self.is_listed => Some(WorkerState::Unlisted),
            () if self.info.is_draining => Some(WorkerState::Draining),
            () if self.is_cordoned => Some(WorkerState::Cordoned),
            () if self.is_evacuated => Some(WorkerState::Evacuated),
            () if !self.is_persisted => Some(WorkerState::NotPersisted),
            () if !self.is_fenced => Some(WorkerState::NotFenced),
            () if self.failed_polls_count > 0 => Some(WorkerState::Unresponsive),
            () if now_ms < self.avoided_until_ms => Some(WorkerState::Avoided),
            () if self.is_capacity_unknown => Some(WorkerState::CapacityUnknown),
            () if now_ms < self.next_start_ms => Some(WorkerState::ColdPaced),
            () if self.is_reserved => Some(WorkerState::Reserved),
            () => None,
        }
    }

    /// Returns what it can do for a task with this reservation.
    pub(crate) fn state_for(&self, reservation: &Size, now_ms: u64) -> WorkerState {
        let capacity = &self.info.capacity;
        match self.obstacle(now_ms) {
            Some(obstacle) => obstacle,
            None if self.used.fits_with(reservation, capacity) => WorkerState::Free,
            None if Size::default().fits_with(reservation, capacity) => WorkerState::Full,
            None => WorkerState::TooSmall,
        }
    }

    /// Returns whether its capacity counts for its pool: it is listed, and neither leaves nor is
    /// kept free of new tasks.
    pub(crate) fn is_usable(&self) -> bool {
        self.is_listed && !self.info.is_draining && !self.is_cordoned && !self.is_evacuated
    }

    /// Returns whether it is still slow after its start.
    pub(crate) fn is_cold(&self, now_ms: u64) -> bool {
        now_ms < self.cold_until_ms
    }

    /// Sets the time of the next start on a cold worker that takes `starts_per_s` starts a second;
    /// 0 for no limit.
    // Rates are small positive numbers, and the interval is far below the limits of the type.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::as_conversions
    )]
    pub(crate) fn pace_cold_starts(&mut self, starts_per_s: f64, now_ms: u64) {
        if self.is_cold(now_ms) && starts_per_s > 0.0 {
            self.next_start_ms = now_ms + (1_000.0 / starts_per_s).ceil() as u64;
        }
    }

    /// Returns whether other workers are preferred because tasks take long there.
    pub(crate) fn is_slow(&self) -> bool {
        self.slowness.is_slow()
    }

    /// Resets the state that belongs to the previous incarnation, whose runs are lost.
    pub(crate) fn start_incarnation(&mut self, started_unix_ms: u64, now_ms: u64) {
        self.info.started_unix_ms = started_unix_ms;
        self.listed_ms = now_ms;
        self.has_ended = false;
        self.clock = None;
        self.followed_since_ms = 0;
        self.leased_until_worker_ms = 0;
        self.unconfirmed_lease_end_ms = 0;
        self.late_calls_until_ms = None;
        self.seen_through = 0;
        self.persisted_through = 0;
        self.dropped_through = 0;
        self.deferred_since_ms = None;
        self.is_known_from_start = true;
        self.has_more_ends = false;
        self.awaited_batch = None;
        self.is_fenced = false;
        self.failed_streak_count = 0;
        self.slowness = Slowness::default();
        self.next_start_ms = 0;
    }
}

/// Finds the rack among a worker's labels: the first that contains a hyphen, as racks are named by
/// row and place, or else the last label.
pub(crate) fn rack_of(labels: &[SmolStr]) -> SmolStr {
    labels
        .iter()
        .find(|label| label.contains('-'))
        .or(labels.last())
        .cloned()
        .unwrap_or_default()
}
