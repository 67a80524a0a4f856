//! What lies between a simulated leader and the others: which workers it reaches, what becomes of the
//! calls that do not arrive, and how long its lease lasts.

use std::collections::HashMap;
use std::mem;

use hawthornladder::jobs::{OrderFailure, PollOrder, StartOrder, StopOrder, Target};
use smol_str::SmolStr;

use super::simulation::Simulation;

/// Lease of a leader, in milliseconds.
pub(crate) const LEADER_LEASE_MS: u64 = 1_000;
/// Time after the end of its lease for which a leader goes on with accepted work, in milliseconds.
pub(crate) const ACTS_AFTER_LEASE_MS: u64 = 6_000;
/// Time between two renewals of the lease of a leader, in milliseconds.
const RENEW_MS: u64 = 250;

/// What becomes of the calls of a leader to a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Reach {
    /// They arrive, and so do the answers.
    #[default]
    Full,
    /// They arrive, but the answers are lost.
    AnswersLost,
    /// They are held back, and arrive once the worker is reached again.
    HeldBack,
    /// They are lost.
    Dropped,
    /// No connection is made: they are not sent.
    NoConnection,
}

impl Reach {
    /// Returns the failure that the leader sees, unless its calls arrive.
    fn failure(self) -> Option<OrderFailure> {
        match self {
            Self::Full | Self::AnswersLost => None,
            Self::HeldBack | Self::Dropped => Some(OrderFailure::Lost),
            Self::NoConnection => Some(OrderFailure::NotSent),
        }
    }
}

/// A call to a worker.
#[derive(Clone, Debug)]
pub(crate) enum WorkerCall {
    Start(StartOrder),
    Stop(StopOrder),
    Poll(PollOrder),
}

impl WorkerCall {
    /// Returns whether it is the order of a start.
    pub(crate) fn is_start(&self) -> bool {
        matches!(self, Self::Start(_))
    }

    pub(crate) fn worker(&self) -> &SmolStr {
        &self.target().id
    }

    /// Returns the incarnation that it is meant for.
    pub(crate) fn target(&self) -> &Target {
        match self {
            Self::Start(order) => &order.target,
            Self::Stop(order) => &order.target,
            Self::Poll(order) => &order.target,
        }
    }
}

/// The connections of a leader, and its lease.
#[derive(Clone, Debug)]
pub(crate) struct Link {
    /// The leader can neither persist records nor renew its lease.
    pub(crate) is_cut_from_store: bool,
    /// The leader cannot read the list of workers.
    pub(crate) is_cut_from_worker_list: bool,
    /// The leader can neither read the list of instances nor give them orders.
    pub(crate) is_cut_from_instances: bool,
    reach: HashMap<SmolStr, Reach>,
    /// Reach of all other workers.
    pub(crate) other_reach: Reach,
    /// Time at which the cut ends, in milliseconds; none without a cut.
    pub(crate) cut_until_ms: Option<u64>,
    held_back: Vec<WorkerCall>,
    /// The next call for which this is true is held back, whatever the reach.
    pub(crate) holds_next: Option<fn(&WorkerCall) -> bool>,
    /// End of the lease, in milliseconds; none if the simulation leaves it out.
    pub(crate) leased_until_ms: Option<u64>,
}

impl Link {
    /// Returns the link of a leader that reaches all, without a lease.
    pub(crate) fn open() -> Self {
        Self {
            is_cut_from_store: false,
            is_cut_from_worker_list: false,
            is_cut_from_instances: false,
            reach: HashMap::new(),
            other_reach: Reach::Full,
            cut_until_ms: None,
            held_back: Vec::new(),
            holds_next: None,
            leased_until_ms: None,
        }
    }

    /// Returns the link of a leader whose lease begins at `now_ms`.
    pub(crate) fn leased(now_ms: u64) -> Self {
        Self {
            leased_until_ms: Some(now_ms + LEADER_LEASE_MS),
            ..Self::open()
        }
    }

    pub(crate) fn reach(&self, worker: &SmolStr) -> Reach {
        self.reach.get(worker).copied().unwrap_or(self.other_reach)
    }

    pub(crate) fn set_reach(&mut self, worker: SmolStr, reach: Reach) {
        self.reach.insert(worker, reach);
    }

    /// Returns the failure of a call that does not arrive, and keeps the call if it is held back.
    pub(crate) fn failure_of(&mut self, call: WorkerCall) -> Option<OrderFailure> {
        if self.holds_next.is_some_and(|is_held| is_held(&call)) {
            self.holds_next = None;
            self.held_back.push(call);
            return Some(OrderFailure::Lost);
        }
        let reach = self.reach(call.worker());
        if reach == Reach::HeldBack {
            self.held_back.push(call);
        }
        reach.failure()
    }

    /// Returns whether the answers of a worker arrive.
    pub(crate) fn hears(&self, worker: &SmolStr) -> bool {
        self.reach(worker) == Reach::Full
    }

    /// Takes the calls that are no longer held back.
    pub(crate) fn take_released(&mut self) -> Vec<WorkerCall> {
        let (held, released) = mem::take(&mut self.held_back)
            .into_iter()
            .partition(|call| self.reach(call.worker()) == Reach::HeldBack);
        self.held_back = held;
        released
    }

    /// Takes all calls that are held back, with the time at which the cut ends.
    pub(crate) fn take_held_back(&mut self) -> Vec<(u64, WorkerCall)> {
        let until_ms = self.cut_until_ms.unwrap_or(0);
        let held = mem::take(&mut self.held_back);
        held.into_iter().map(|call| (until_ms, call)).collect()
    }

    /// Ends the cut.
    pub(crate) fn mend(&mut self) {
        self.is_cut_from_store = false;
        self.is_cut_from_worker_list = false;
        self.is_cut_from_instances = false;
        self.reach.clear();
        self.other_reach = Reach::Full;
        self.cut_until_ms = None;
    }

    /// Returns whether the lease is valid.
    pub(crate) fn is_leased(&self, now_ms: u64) -> bool {
        self.leased_until_ms
            .is_none_or(|until_ms| now_ms < until_ms)
    }

    /// Returns whether the leader still gives orders.
    pub(crate) fn may_act(&self, now_ms: u64) -> bool {
        self.leased_until_ms
            .is_none_or(|until_ms| now_ms < until_ms + ACTS_AFTER_LEASE_MS)
    }
}

impl Simulation {
    /// Renews the lease of the leader if that is due and the store can be reached, and tells the
    /// engine when it ends.
    pub(crate) fn renew_lease(&mut self) {
        let Some(leased_until_ms) = &mut self.link.leased_until_ms else {
            return;
        };
        let is_due = self.now_ms + LEADER_LEASE_MS >= *leased_until_ms + RENEW_MS;
        if is_due && !self.link.is_cut_from_store && !self.is_store_unavailable {
            *leased_until_ms = self.now_ms + LEADER_LEASE_MS;
        }
        self.engine.set_exclusive_until_ms(*leased_until_ms);
    }

    /// Lets the calls that are no longer held back arrive, each after a delay.
    pub(crate) fn release_calls(&mut self, mut delay_ms: impl FnMut() -> u64) {
        let mut released = self.link.take_released();
        for cut_off in &mut self.cut_off {
            released.extend(cut_off.link.take_released());
        }
        for call in released {
            self.late_calls.push((self.now_ms + delay_ms(), call));
        }
    }

    /// Lets the late calls that are due arrive. Nobody waits for their answers any more.
    pub(crate) fn deliver_late_calls(&mut self) {
        let now_ms = self.now_ms;
        let (due, later): (Vec<_>, Vec<_>) = mem::take(&mut self.late_calls)
            .into_iter()
            .partition(|(due_ms, _)| *due_ms <= now_ms);
        self.late_calls = later;
        for (_, call) in due {
            let worker = &self.workers[call.worker()];
            if worker.is_dead || worker.is_disconnected {
                continue;
            }
            match call {
                WorkerCall::Start(order) => self.start_late(&order),
                WorkerCall::Stop(order) => self.stop_at_worker(&order),
                WorkerCall::Poll(order) => self.receive_poll(&order),
            }
        }
    }

    /// Starts a run whose order arrives late, unless the worker refuses it.
    fn start_late(&mut self, order: &StartOrder) {
        let now_ms = self.now_ms;
        let key = (order.name, order.run.run);
        let worker = &mut self.workers[&order.target.id];
        if order.target.fence < worker.fence || order.lease_end_worker_ms <= worker.clock_ms(now_ms)
        {
            return;
        }
        worker.fence = order.target.fence;
        worker.extend_leases(order.lease_end_worker_ms, now_ms);
        let is_outdated = worker.has_blocked(&key);
        let is_there = worker.running.contains_key(&key);
        let reservation = order.spec.steps[usize::from(order.name.step)].reservation();
        if !is_outdated && !is_there && worker.has_room(&reservation) {
            self.start_run_late(order);
        }
    }
}
