//! The engine's thread: receives events and calls, steps the engine and passes its actions to the
//! threads that carry them out.

use std::{
    sync::{atomic::Ordering, Arc},
    time::{Duration, Instant},
};

use smol_str::SmolStr;

use crate::{
    adapters::peers_rpc::CancelAtPeer,
    callers::{CallerAnswer, CallerCall, CallerOutcome},
    entry::{
        daemon::{lock, peers, Append, PeerAddress, Replies, Shared},
        engine::Engine,
        event::{Action, AttemptKey, Event},
    },
    error::ErrorKind,
    ports::{Clock, InstancePort, NotStarted, Platform, PortError, WorkerOutcome, WorkerPort},
};

/// Time between two ticks of the engine.
const TICK_INTERVAL: Duration = Duration::from_millis(5);

/// Time between two ticks of an engine that holds no request and proposes nothing.
const IDLE_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two publications of status and metrics.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two updates of the gossip sent to peers.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of events, and of calls, handled in one round, so that ticks are not delayed.
const ROUND_MAX_COUNT: usize = 512;

/// The engine with the callers that wait for its answers.
pub(crate) struct CoreLoop<P: Platform> {
    shared: Arc<Shared<P>>,
    engine: Engine,
    replies: Replies,
    ticked_at: Instant,
    published_at: Instant,
    gossiped_at: Instant,
}

impl<P: Platform> CoreLoop<P> {
    /// Creates the loop with a new engine.
    pub(crate) fn open(shared: Arc<Shared<P>>, incarnation: &str) -> Self {
        let engine = Engine::open(shared.settings.engine.clone(), incarnation);
        let now = Instant::now();
        Self {
            shared,
            engine,
            replies: Replies::new(),
            ticked_at: now,
            published_at: now,
            gossiped_at: now,
        }
    }

    /// Runs until the process stops.
    pub(crate) fn run(
        mut self,
        events: &flume::Receiver<Event>,
        calls: &flume::Receiver<CallerCall>,
    ) {
        while !self.shared.is_stopped() {
            let wait =
                (self.ticked_at + self.tick_interval()).saturating_duration_since(Instant::now());
            let first = flume::Selector::new()
                .recv(events, |event| event.ok().map(Input::Event))
                .recv(calls, |call| call.ok().map(Input::Call))
                .wait_timeout(wait);
            if let Ok(Some(input)) = first {
                self.handle_input(input);
            }
            self.handle_waiting_inputs(events, calls);
            self.tick_if_due();
        }
    }

    fn handle_waiting_inputs(
        &mut self,
        events: &flume::Receiver<Event>,
        calls: &flume::Receiver<CallerCall>,
    ) {
        for event in events.try_iter().take(ROUND_MAX_COUNT) {
            self.step(event);
        }
        for call in calls.try_iter().take(ROUND_MAX_COUNT) {
            self.handle_input(Input::Call(call));
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Event(event) => self.step(event),
            Input::Call(call) => self.handle_call(call),
        }
    }

    fn handle_call(&mut self, call: CallerCall) {
        let event = match call {
            CallerCall::Run {
                call_id,
                request,
                reply,
            } => {
                self.replies.insert(call_id, reply);
                Event::Call { call_id, request }
            }
            CallerCall::Cancel {
                call_id,
                cancel,
                reply,
            } => {
                self.replies.insert(call_id, reply);
                Event::Cancel { call_id, cancel }
            }
            CallerCall::Fetch {
                call_id,
                fetch,
                reply,
            } => {
                self.replies.insert(call_id, reply);
                Event::Fetch { call_id, fetch }
            }
            CallerCall::Gone { call_id, .. } => Event::CallerGone { call_id },
        };
        self.step(event);
    }

    fn tick_if_due(&mut self) {
        if self.ticked_at.elapsed() < self.tick_interval() {
            return;
        }
        self.ticked_at = Instant::now();
        self.step(Event::Tick);
        if self.published_at.elapsed() >= PUBLISH_INTERVAL {
            self.published_at = Instant::now();
            self.publish_status();
        }
    }

    /// Returns the time between two ticks; it is short while requests are held or changes proposed.
    fn tick_interval(&self) -> Duration {
        match self.engine.is_idle() {
            true => IDLE_TICK_INTERVAL,
            false => TICK_INTERVAL,
        }
    }

    fn step(&mut self, event: Event) {
        let is_withdrawal = matches!(event, Event::Withdraw { .. });
        let actions = self.engine.step(self.shared.now(), event);
        for action in actions {
            self.carry_out(action);
        }
        let wanted_offset = self.engine.wanted_offset();
        self.shared
            .wanted_offset
            .store(wanted_offset, Ordering::Release);
        self.shared
            .is_serving
            .store(self.engine.is_serving(), Ordering::Release);
        // A withdrawal is acknowledged only once it is in the gossip to peers.
        if is_withdrawal || self.gossiped_at.elapsed() >= GOSSIP_INTERVAL {
            self.gossiped_at = Instant::now();
            self.publish_gossip();
        }
    }

    fn publish_gossip(&mut self) {
        let gossip = self.engine.gossip();
        let mut published = lock(&self.shared.published);
        published.gossip = gossip;
        published.log_head_seen_ms = self.engine.log_head_seen_ms();
    }

    fn publish_status(&mut self) {
        let status = self.engine.status();
        let peers = self
            .engine
            .ledger()
            .seats
            .iter_live()
            .filter(|(seat, _)| **seat != status.seat)
            .map(|(seat, row)| PeerAddress {
                seat: seat.clone(),
                address: row.peers_address.clone(),
            })
            .collect();
        let mut published = lock(&self.shared.published);
        self.shared.metrics.publish(&status, &published.status);
        published.status = status;
        published.peers = peers;
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Answer { call_id, answer } => self.answer(call_id, answer),
            Action::Append { seq, payload } => {
                let append = Append::Batch { seq, payload };
                if self.shared.appends.try_send(append).is_err() {
                    let error = PortError::NotSent("ring_full".into());
                    let result = Err(error);
                    self.step(Event::Appended { seq, result });
                }
            }
            Action::AppendSnapshot { payloads } => {
                let append = Append::Snapshot { payloads };
                if self.shared.appends.try_send(append).is_err() {
                    self.step(Event::SnapshotAppended { is_done: false });
                }
            }
            Action::Run {
                attempt,
                address,
                request,
                timeout_ms,
                queued_ms,
            } => {
                self.shared.metrics.start_delay_ms.observe(queued_ms as f64);
                self.run_attempt(attempt, address, request, timeout_ms);
            }
            action => self.run_in_background(action),
        }
    }

    fn answer(&mut self, call_id: u64, answer: CallerAnswer) {
        match answer.outcome {
            CallerOutcome::Failed(kind) => self.shared.metrics.count_refusal(kind),
            CallerOutcome::Done => drop(self.shared.metrics.answered.inc()),
            CallerOutcome::Accepted => {}
        }
        if let Some(reply) = self.replies.remove(&call_id) {
            // The caller may have disconnected; then no answer is needed.
            let _ = reply.try_send(answer);
        }
    }

    fn run_attempt(
        &mut self,
        attempt: AttemptKey,
        address: SmolStr,
        request: Box<crate::ports::WorkerRequest>,
        timeout_ms: u64,
    ) {
        let shared = Arc::clone(&self.shared);
        let is_taken = self.shared.attempts.run(move || {
            // The process may have been paused since the decision. The worker also refuses a late
            // start by its own clock.
            let is_late = shared.platform.clock().unix_ms() > request.start_before_unix_ms;
            let outcome = match is_late {
                true => WorkerOutcome::NotStarted(NotStarted::Late),
                false => shared.platform.workers().run(
                    &address,
                    &request,
                    timeout_ms,
                    shared.settings.answer_max_bytes,
                ),
            };
            shared.send_event(Event::AttemptEnded { attempt, outcome });
        });
        if !is_taken {
            let outcome = WorkerOutcome::NotStarted(NotStarted::Late);
            self.step(Event::AttemptEnded { attempt, outcome });
        }
    }

    fn run_in_background(&self, action: Action) {
        let shared = Arc::clone(&self.shared);
        match action {
            Action::CancelAttempt {
                address,
                attempt_id,
            } => {
                self.shared.cancels.run(move || {
                    let _ = shared.platform.workers().cancel(&address, &attempt_id);
                });
            }
            Action::Probe {
                name,
                incarnation,
                address,
            } => {
                self.shared.background_tasks.run(move || {
                    let status = shared.platform.workers().status(&address);
                    let is_reachable = status.is_ok_and(|row| row.incarnation == incarnation);
                    shared.send_event(Event::Probed {
                        name,
                        incarnation,
                        is_reachable,
                    });
                });
            }
            Action::DrainWorker {
                address,
                is_draining,
            } => {
                self.shared.background_tasks.run(move || {
                    // Entries follow the ledger and send no work anyway; the worker's refusal is
                    // a second safeguard.
                    let _ = shared.platform.workers().drain(&address, is_draining);
                });
            }
            Action::Reboot { name, incarnation } => {
                self.shared.background_tasks.run(move || {
                    let result = shared.platform.instances().reboot(&name, &incarnation);
                    log::info!(
                        "event=reboot_ordered instance={name} incarnation={incarnation} is_taken={}",
                        result.is_ok()
                    );
                });
            }
            Action::RelayCancel { team, request_id } => {
                let addresses = lock(&self.shared.published).peers.clone();
                for peer in addresses {
                    let cancel = CancelAtPeer {
                        request_id: request_id.clone(),
                        team: team.clone(),
                    };
                    peers::relay_cancel(&self.shared, peer.address, cancel);
                }
            }
            Action::PullTail {
                peers_address,
                from_offset,
            } => {
                self.shared
                    .background_tasks
                    .run(move || peers::pull_tail(&shared, &peers_address, from_offset));
            }
            Action::PullLedger { peers_address } => {
                self.shared
                    .background_tasks
                    .run(move || peers::pull_ledger(&shared, &peers_address));
            }
            Action::Drained => self.shared.is_drained.store(true, Ordering::Release),
            Action::Append { .. }
            | Action::AppendSnapshot { .. }
            | Action::Answer { .. }
            | Action::Run { .. } => {}
        }
    }
}

impl<P: Platform> Drop for CoreLoop<P> {
    fn drop(&mut self) {
        let entry = self.shared.settings.engine.entry.clone();
        for (_, reply) in self.replies.drain() {
            let answer = CallerAnswer::failed(entry.clone(), ErrorKind::Internal, 0);
            let _ = reply.try_send(answer);
        }
    }
}

enum Input {
    Event(Event),
    Call(CallerCall),
}
