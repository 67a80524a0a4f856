//! The leader's work: runs the engine, passes its actions on, and hands leadership off.

use std::rc::Rc;
use std::time::Duration;

use crate::jobs::{Catalog, Engine, EngineSettings};
use crate::logging::Event;
use crate::node::journal::{self, Journal};
use crate::node::restore::restore;
use crate::node::{Node, Role, StoreFailure, Waiters, WaveReports};

/// Most starts that a step of the engine orders. Further ones wait in the engine, in the order of
/// their jobs, and not in this process, in the order in which they came.
pub const STARTS_PER_STEP_MAX: usize = 64;
/// Lease granted to the runs of a worker, in milliseconds, unless the platform's limit is lower.
const RUN_LEASE_MS: u64 = 4_000;
/// Longest time that a poll waits at the worker for a run to end, in milliseconds.
const POLL_WAIT_MS: u64 = 800;
/// Time for which a leader that cannot renew its lease continues with accepted work, in
/// milliseconds. The next leader first raises its fence wherever it can, and waits this long where
/// it cannot.
const LEASE_GRACE_MS: u64 = 6_000;
/// Interval between steps of the engine when no event occurs, in milliseconds.
const TICK_MS: u64 = 100;
/// Shortest time between two steps of the engine, in milliseconds. Answers that arrive within it
/// share one step.
pub const STEP_PAUSE_MS: u64 = 4;
/// Longest wait for the journal before leadership is handed off, in milliseconds.
const HAND_OFF_JOURNAL_WAIT_MS: u64 = 600;
/// Longest wait for the record that releases the lease, in milliseconds.
const RELEASE_WAIT_MS: u64 = 2_500;
/// Interval between checks whether the hand-off is done, in milliseconds.
const HAND_OFF_POLL_MS: u64 = 20;

/// State that only the leader has.
pub(crate) struct LeaderState {
    pub(crate) engine: Engine,
    pub(crate) journal: Journal,
    pub(crate) waiters: Waiters,
    pub(crate) wave_reports: WaveReports,
    /// Whether all job records have been read.
    pub(crate) is_restored: bool,
    /// Whether it is logged that the lease is over.
    is_lease_over: bool,
}

impl LeaderState {
    /// Logs when the lease of this leader is over, and when it is renewed after all.
    fn log_lease(&mut self, now_ms: u64) {
        let is_over = !self.engine.was_exclusive_at(now_ms);
        if is_over == std::mem::replace(&mut self.is_lease_over, is_over) {
            return;
        }
        let event = match is_over {
            true => Event::new("leader_lease_over"),
            false => Event::new("leader_lease_renewed"),
        };
        event.with("fence", self.engine.fence()).warn();
    }
}

impl Node {
    /// Calls `act` with the engine and the lists in force, if this node leads.
    pub(crate) fn with_engine(&self, act: impl FnOnce(&mut Engine, &Catalog)) {
        let catalog = self.catalog.borrow().clone();
        let mut leader = self.leader_state.borrow_mut();
        if let (Some(leader), Some(catalog)) = (leader.as_mut(), catalog) {
            self.update_lease(leader);
            act(&mut leader.engine, &catalog);
        }
    }

    /// Calls `act` with the leader's state and returns its result, if this node still leads under
    /// `fence`.
    pub(crate) fn with_leader<T>(
        &self,
        fence: u64,
        act: impl FnOnce(&mut LeaderState) -> T,
    ) -> Option<T> {
        let mut leader = self.leader_state.borrow_mut();
        let leader = leader
            .as_mut()
            .filter(|leader| leader.engine.fence() == fence)?;
        self.update_lease(leader);
        Some(act(leader))
    }

    /// Tells the engine until when no other node can lead.
    fn update_lease(&self, leader: &mut LeaderState) {
        let exclusive_until_ms = self.leadership.borrow().exclusive_until_ms();
        leader.engine.set_exclusive_until_ms(exclusive_until_ms);
    }

    /// Records that this node has lost the leadership that it held under `fence`.
    pub(crate) fn lose_leadership(self: &Rc<Self>, fence: u64, source: &'static str) {
        self.with_leader(fence, |leader| leader.engine.lose_leadership(source));
        self.request_step();
    }

    /// Counts a call to the store and observes its duration.
    pub(crate) fn record_store_call<T>(
        &self,
        kind: &'static str,
        result: &Result<T, StoreFailure>,
        sent_ms: u64,
    ) {
        let outcome = match result {
            Ok(_) => "ok",
            Err(_) => "failed",
        };
        self.metrics.count_store_call(kind, outcome);
        self.metrics
            .store_ms
            .observe(to_f64(self.now_ms().saturating_sub(sent_ms)));
    }

    /// Records that the records taken last are persisted, and answers the callers that waited for
    /// them.
    pub(crate) fn records_persisted(self: &Rc<Self>, fence: u64) {
        self.with_leader(fence, |leader| {
            for settled in leader.engine.records_persisted() {
                leader.waiters.answer(settled);
            }
        });
        self.request_step();
    }

    /// Returns whether the leader may still give orders to workers: its lease is valid, or expired
    /// less than `LEASE_GRACE_MS` ago.
    pub(crate) fn may_act(&self) -> bool {
        let now_ms = self.now_ms();
        now_ms < self.leadership.borrow().valid_until_ms() + LEASE_GRACE_MS
    }

    /// Requests a step of the engine. Requests that come close together share one step.
    pub(crate) fn request_step(&self) {
        self.step_due.notify_one();
    }

    /// Runs one step of the engine and executes the actions that result.
    fn step(self: &Rc<Self>) {
        let actions = {
            let mut leader = self.leader_state.borrow_mut();
            let Some(leader) = leader.as_mut() else {
                return;
            };
            if !leader.is_restored {
                return;
            }
            self.update_lease(leader);
            leader.log_lease(self.now_ms());
            if !self.may_act() {
                return;
            }
            let delay_ms = self.loop_delay.get().mean_ms();
            leader.engine.set_loop_delay_ms(delay_ms);
            leader.engine.advance(self.now_ms(), self.unix_ms());
            leader.engine.take_actions()
        };
        self.count_load(|load| load.steps_count += 1);
        for action in actions {
            self.execute(action);
        }
        journal::start_writer(self);
        let lost_fence = self
            .leader_state
            .borrow()
            .as_ref()
            .filter(|leader| leader.engine.has_lost_leadership())
            .map(|leader| leader.engine.fence());
        if let Some(fence) = lost_fence {
            depose(self, fence);
        }
    }
}

/// Spawns a task on this thread.
pub(crate) fn spawn(task: impl std::future::Future<Output = ()> + 'static) {
    tokio::task::spawn_local(task);
}

// Times of calls are far below the 2^52 ms that a float holds exactly.
#[allow(clippy::cast_precision_loss, clippy::as_conversions)]
pub(crate) fn to_f64(time_ms: u64) -> f64 {
    time_ms as f64
}

/// Starts or ends leadership, as the lease says.
pub(crate) fn apply_role(node: &Rc<Node>) {
    let role = node.leadership.borrow().role(node.now_ms());
    let leading_fence = node
        .leader_state
        .borrow()
        .as_ref()
        .map(|leader| leader.engine.fence());
    match (role, leading_fence) {
        (Role::Leader { fence, .. }, Some(known)) if fence == known => {}
        (Role::Leader { .. }, None) if node.is_stopping.get() => {}
        (Role::Leader { fence, .. }, _) => start_leading(node, fence),
        (Role::Follower { .. }, Some(_)) => step_down(node, "lease_lost"),
        (Role::Follower { .. }, None) => {}
    }
}

/// Ends the leadership under `fence`, as another leader has followed or the journal cannot go on. Does
/// nothing if this node leads under another fence by now.
pub(crate) fn depose(node: &Rc<Node>, fence: u64) {
    if node.with_leader(fence, |_| ()).is_none() {
        return;
    }
    node.leadership.borrow_mut().supersede(fence);
    node.lease_changed.notify_one();
    step_down(node, "deposed");
}

fn step_down(node: &Rc<Node>, reason: &'static str) {
    // Dropping the channels reports to the waiting callers that the outcome is not known.
    if let Some(leader) = node.leader_state.borrow_mut().take() {
        Event::new("leadership_ended")
            .with("fence", leader.engine.fence())
            .with("reason", reason)
            .with("waiters_count", leader.waiters.count())
            .info();
        node.metrics.leading_fence.set(0);
    }
}

fn start_leading(node: &Rc<Node>, fence: u64) {
    let Some(catalog) = node.catalog.borrow().clone() else {
        // Nothing can be decided without lists. The next renewal of the lease tries again.
        return;
    };
    let bounds = &node.settings.bounds;
    let run_lease_ms = RUN_LEASE_MS.min(bounds.run_lease_max_ms);
    let settings = EngineSettings {
        fence,
        run_lease_ms,
        run_lease_max_ms: bounds.run_lease_max_ms,
        poll_wait_ms: POLL_WAIT_MS,
        starts_per_step_max: STARTS_PER_STEP_MAX,
        stop_ms: bounds.run_stop_ms,
        inherited_runs_max_ms: match fence {
            1 => 0,
            _ => LEASE_GRACE_MS + run_lease_ms * 21 / 20,
        },
        ended_retention_ms: bounds.ended_retention_ms,
        move_ms: bounds.move_ms,
        maintain_ms: bounds.maintain_ms,
        instance_lease_ms: bounds.instance_lease_ms + TICK_MS,
        earlier_orders_wait_ms: match fence {
            1 => 0,
            _ => bounds.instance_lease_ms + TICK_MS,
        },
        remote_factor_permille: bounds.remote_factor_permille,
        capacity_age_max_ms: bounds.capacity_age_max_ms,
        forecast: node.settings.forecast,
        record_max_bytes: node.settings.store.record_bytes,
    };
    Event::new("leadership_acquired")
        .with("fence", fence)
        .info();
    let engine = Engine::open(settings, (*catalog).clone(), node.now_ms(), node.unix_ms());
    *node.leader_state.borrow_mut() = Some(LeaderState {
        engine,
        journal: Journal::default(),
        waiters: Waiters::default(),
        wave_reports: WaveReports::default(),
        is_restored: false,
        is_lease_over: false,
    });
    node.metrics.leading_fence.set(fence);
    spawn(restore(Rc::clone(node), fence));
}

/// Runs a step of the engine whenever one is requested, for as long as the process runs.
pub(crate) async fn run_steps(node: Rc<Node>) {
    loop {
        node.step_due.notified().await;
        node.step();
        let slept_from_ms = node.now_ms();
        tokio::time::sleep(Duration::from_millis(STEP_PAUSE_MS)).await;
        let slept_ms = node.now_ms().saturating_sub(slept_from_ms);
        node.observe_loop_delay(STEP_PAUSE_MS, slept_ms);
    }
}

/// Requests a step at a fixed interval, for what becomes due by time alone.
pub(crate) async fn tick(node: Rc<Node>, fence: u64) {
    while node.with_leader(fence, |_| ()).is_some() {
        node.request_step();
        node.update_gauges();
        node.log_load();
        tokio::time::sleep(Duration::from_millis(TICK_MS)).await;
    }
}

impl Node {
    fn update_gauges(&self) {
        if let Some(leader) = self.leader_state.borrow_mut().as_mut() {
            let waits = leader.engine.take_place_wait_counts();
            self.metrics.count_place_waits(&waits);
            let losses = leader.engine.take_loss_counts();
            self.metrics.count_losses(&losses);
            let acknowledgements = leader.engine.take_acknowledgement_counts();
            self.metrics.count_acknowledgements(&acknowledgements);
            let count = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
            self.metrics
                .live_jobs_count
                .set(count(leader.engine.live_count()));
            self.metrics
                .kept_jobs_count
                .set(count(leader.engine.jobs_in_memory_count()));
            self.metrics
                .runs_count
                .set(count(leader.engine.runs_count()));
            self.metrics
                .evacuated_zone_runs
                .set(count(leader.engine.evacuated_runs_count()));
            self.metrics
                .over_rate_jobs
                .inc_by(leader.engine.take_over_rate_count());
        }
    }
}

/// Hands leadership off, after the records in flight are persisted.
pub(crate) async fn hand_off(node: &Rc<Node>) {
    let until_ms = node.now_ms() + HAND_OFF_JOURNAL_WAIT_MS;
    let is_writing = || {
        node.leader_state
            .borrow()
            .as_ref()
            .is_some_and(|leader| leader.journal.is_writing)
    };
    node.with_engine(|engine, _| engine.stop_instance_orders());
    while is_writing() && node.now_ms() < until_ms {
        tokio::time::sleep(Duration::from_millis(HAND_OFF_POLL_MS)).await;
    }
    node.leadership.borrow_mut().release();
    node.lease_changed.notify_one();
    // No other node leads until the release is persisted. The next leader finds the runs that are
    // started meanwhile when it raises its fence.
    let until_ms = node.now_ms() + RELEASE_WAIT_MS;
    while !node.leadership.borrow().is_released() && node.now_ms() < until_ms {
        tokio::time::sleep(Duration::from_millis(HAND_OFF_POLL_MS)).await;
    }
    step_down(node, "handed_over");
}
