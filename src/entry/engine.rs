//! The engine: all decisions of one entry, as a deterministic state machine. Each step takes an
//! event and the time and returns actions. The threads of the daemon, the embedded platform and the
//! tests drive the same code.

use std::collections::BTreeSet;

use indexmap::{IndexMap, IndexSet};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;
use uuid::Uuid;

use crate::{
    callers::{CallId, CallerAnswer},
    entry::{
        contact::Contact,
        counts::Counts,
        dispatch::OrphanClaims,
        escrow::SeatEscrow,
        event::{Action, Event, Now},
        gossip::Gossip,
        proposer::{Proposer, ProposerLimits},
        reach::Reach,
        reader::{LogReader, SnapshotWriter},
        requests::Requests,
        rollout::Observed,
        seat::{Lease, SeatWatch},
        settings::EngineSettings,
        upkeep::Upkeep,
        workers::Workers,
    },
    error::ErrorKind,
    fleet::{InstanceName, MonoMs, Offset, QueueName, TeamName},
    ledger::{KeyId, Ledger, SeatChange, SeatId},
    policy::{
        health::Health,
        keys::{PeerKey, PoolKey},
        placement::{Placement, PlacementSettings},
        queue::WaitQueue,
        retry::RetryBudget,
        share::UsageView,
    },
};

/// Number of remembered withdrawals from which those already read from the log are dropped.
pub(crate) const WITHDRAWN_MAX_COUNT: usize = 4_096;

/// The latest gossip of a peer.
#[derive(Clone, Debug)]
pub(crate) struct PeerHint {
    pub(crate) key: PeerKey,
    pub(crate) received_ms: MonoMs,
    pub(crate) gossip: Gossip,
}

/// All state of one entry.
pub struct Engine {
    pub(crate) settings: EngineSettings,
    pub(crate) now: Now,
    pub(crate) incarnation: SmolStr,
    pub(crate) seat: SeatId,
    pub(crate) seats_opened_count: u32,
    /// Whether the `Open` change of the present seat has been folded.
    pub(crate) is_seat_confirmed: bool,
    /// Whether the `Open` change of any seat of this process has been folded. Only this proves that
    /// the log as read is not older than the start of this process.
    pub(crate) was_seat_confirmed: bool,
    /// Whether the latest read of the log was answered.
    pub(crate) is_log_reachable: bool,
    /// When the head of the log was first reached.
    pub(crate) head_reached_ms: Option<MonoMs>,
    /// Whether any withdrawal of a key that is known to peers and not yet in the log would have
    /// reached this entry by now.
    pub(crate) has_synced_withdrawals: bool,
    pub(crate) ledger: Ledger,
    pub(crate) reader: LogReader,
    pub(crate) snapshots: SnapshotWriter,
    pub(crate) oldest_offset: Offset,
    pub(crate) proposer: Proposer,
    pub(crate) lease: Lease,
    pub(crate) watch: SeatWatch,
    pub(crate) contact: Contact,
    pub(crate) escrow: SeatEscrow,
    pub(crate) withdrawn: IndexSet<KeyId>,
    pub(crate) peers: IndexMap<SeatId, PeerHint>,
    pub(crate) next_peer: u32,
    pub(crate) pulled_ms: MonoMs,
    pub(crate) teams: IndexSet<TeamName>,
    pub(crate) queues: IndexSet<QueueName>,
    pub(crate) lists_version: u64,
    pub(crate) workers: Workers,
    pub(crate) changed_pools: IndexSet<PoolKey>,
    /// Workers that get no new work until the given time.
    pub(crate) worker_backoffs: BTreeSet<(MonoMs, InstanceName)>,
    pub(crate) orphan_claims: OrphanClaims,
    /// Callers waiting for their job to be persisted.
    pub(crate) submissions: IndexMap<(TeamName, Uuid), CallId>,
    pub(crate) jobs_polled_ms: MonoMs,
    pub(crate) requests: Requests,
    pub(crate) wait: WaitQueue,
    pub(crate) usage: UsageView,
    pub(crate) placement: Placement,
    pub(crate) health: Health,
    pub(crate) reach: Reach,
    pub(crate) retry: RetryBudget,
    pub(crate) upkeep: Upkeep,
    pub(crate) observed: Observed,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) counts: Counts,
    pub(crate) is_draining: bool,
    pub(crate) is_closing: bool,
    pub(crate) is_drain_reported: bool,
    pub(crate) escrow_polled_ms: MonoMs,
    pub(crate) actions: Vec<Action>,
}

/// Time between two polls of the escrow, in milliseconds.
pub(crate) const ESCROW_EVERY_MS: u64 = 20;

/// Age above which a peer's demand is ignored, in milliseconds.
pub(crate) const PEER_MAX_AGE_MS: u64 = 3_000;

impl Engine {
    /// Creates the engine of a newly started entry process; `incarnation` is unique for each start.
    pub fn open(settings: EngineSettings, incarnation: &str) -> Self {
        let seat = SmolStr::new(incarnation);
        let proposer = new_proposer(&settings, &seat);
        let mut workers = Workers::default();
        let zone = workers.zone_key(&settings.zone);
        Self {
            now: Now::default(),
            incarnation: seat.clone(),
            seats_opened_count: 0,
            is_seat_confirmed: false,
            was_seat_confirmed: false,
            is_log_reachable: false,
            head_reached_ms: None,
            has_synced_withdrawals: false,
            ledger: Ledger::default(),
            reader: LogReader::new(),
            snapshots: SnapshotWriter::default(),
            oldest_offset: 0,
            proposer,
            lease: Lease::new(settings.seat_lease_ms, settings.seat_renew_ms),
            watch: SeatWatch::default(),
            contact: Contact::default(),
            escrow: SeatEscrow::new(settings.escrow_idle_ms),
            withdrawn: IndexSet::new(),
            peers: IndexMap::new(),
            next_peer: 0,
            pulled_ms: 0,
            teams: IndexSet::new(),
            queues: IndexSet::new(),
            lists_version: 0,
            workers,
            changed_pools: IndexSet::new(),
            worker_backoffs: BTreeSet::new(),
            orphan_claims: OrphanClaims::new(),
            submissions: IndexMap::new(),
            jobs_polled_ms: 0,
            requests: Requests::default(),
            wait: WaitQueue::new(settings.queue, settings.seed),
            usage: UsageView::new(settings.share),
            placement: Placement::new(PlacementSettings {
                connections_max_count: settings.worker_connections_max_count,
                ..PlacementSettings::in_zone(zone)
            }),
            health: Health::new(settings.health),
            reach: Reach::default(),
            retry: RetryBudget::new(settings.retry),
            upkeep: Upkeep::default(),
            observed: Observed::default(),
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            counts: Counts::default(),
            is_draining: false,
            is_closing: false,
            is_drain_reported: false,
            escrow_polled_ms: 0,
            actions: Vec::new(),
            seat,
            settings,
        }
    }

    /// Handles one event and returns the actions to carry out.
    pub fn step(&mut self, now: Now, event: Event) -> Vec<Action> {
        self.now = now;
        match event {
            Event::Tick => self.tick(),
            Event::LogPage {
                sent_ms,
                from_offset,
                page,
                source,
            } => self.apply_log_page(sent_ms, from_offset, &page, &source),
            Event::LogFailed { error } => {
                self.is_log_reachable = false;
                self.reader.handle_read_error(&error);
            }
            Event::PeerLedger { text } => self.apply_peer_ledger(&text),
            Event::Appended { seq, result } => {
                if let Ok(offset) = &result {
                    let folded_offset = self.ledger.next_offset;
                    self.contact
                        .record_known_head(now.mono_ms, offset + 1, folded_offset);
                }
                self.proposer
                    .handle_append_result(now.mono_ms, seq, &result);
            }
            Event::SnapshotAppended { .. } => self.snapshots.record_finished(),
            Event::Instances { sent_ms, page } => self.apply_instance_list(sent_ms, page),
            Event::Gossip { sent_ms, gossip } => self.handle_gossip(sent_ms, *gossip),
            Event::Hint { gossip } => self.apply_hint(*gossip),
            Event::GetLedger { reply } => {
                // The receiver may have timed out; then no answer is needed.
                let _ = reply.try_send((self.ledger.next_offset, self.ledger.to_snapshot()));
            }
            Event::Ping { reply } => {
                let _ = reply.try_send(());
            }
            Event::Explain { question, reply } => {
                let _ = reply.try_send(self.explain(&question));
            }
            Event::Call { call_id, request } => self.handle_call(call_id, request),
            Event::Cancel { call_id, cancel } => self.cancel_for_caller(call_id, &cancel),
            Event::PeerCancel { team, request_id } => {
                self.cancel_request(&team, &request_id);
            }
            Event::Fetch { call_id, fetch } => self.fetch(call_id, &fetch),
            Event::CallerGone { call_id } => self.handle_caller_gone(call_id),
            Event::AttemptEnded { attempt, outcome } => self.end_attempt(attempt, outcome),
            Event::Probed {
                name,
                incarnation,
                is_reachable,
            } => self.handle_probe(&name, &incarnation, is_reachable),
            Event::Withdraw { key_id } => self.withdraw(key_id),
            Event::Drain => self.is_draining = true,
        }
        self.start_waiting_requests();
        self.poll_proposer();
        std::mem::take(&mut self.actions)
    }

    /// Returns the offset from which to read the log next.
    pub fn wanted_offset(&self) -> Offset {
        self.reader.wanted_offset(&self.ledger)
    }

    /// Returns the ledger as folded so far.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the start of the latest read that showed the head of the log.
    pub fn log_head_seen_ms(&self) -> Option<MonoMs> {
        self.contact.log_head_seen_ms()
    }

    /// Returns whether this entry has reached the head of the log at least once and also knows the
    /// withdrawals of keys that peers know beyond it.
    pub fn is_ready(&self) -> bool {
        self.reader.is_following()
            && self.has_synced_withdrawals
            && self.contact.log_age_ms(self.now.mono_ms).is_some()
    }

    /// Returns whether the load balancer should send callers to this entry.
    pub fn is_serving(&self) -> bool {
        let now_ms = self.now.mono_ms;
        let max_age_ms = self.settings.config_stale_max_ms;
        self.is_ready()
            && !self.is_draining
            && self
                .contact
                .is_config_fresh(now_ms, max_age_ms, &self.ledger, &self.seat)
    }

    pub(crate) fn tick(&mut self) {
        let now_ms = self.now.mono_ms;
        self.poll_withdrawal_sync();
        self.poll_seat();
        self.poll_requests();
        self.poll_workers();
        if now_ms >= self.escrow_polled_ms + ESCROW_EVERY_MS {
            self.escrow_polled_ms = now_ms;
            self.poll_escrow();
        }
        self.poll_peers();
        self.poll_upkeep();
        self.poll_snapshot();
        self.poll_drain();
    }

    pub(crate) fn propose(&mut self, change: SeatChange) -> bool {
        let is_taken = self.proposer.propose(change);
        if !is_taken {
            self.counts.changes_dropped_count += 1;
        }
        is_taken
    }

    pub(crate) fn poll_proposer(&mut self) {
        if self.seats_opened_count == 0 {
            return;
        }
        if let Some(outgoing) = self.proposer.poll(self.now.mono_ms) {
            self.counts.appends_count += 1;
            self.actions.push(Action::Append {
                seq: outgoing.seq,
                payload: outgoing.payload,
            });
        }
    }

    pub(crate) fn poll_escrow(&mut self) {
        if !self.lease.is_valid(self.now.mono_ms) {
            return;
        }
        let mut waiting: IndexMap<&TeamName, (u32, MonoMs)> = IndexMap::new();
        for (_, request) in self.requests.iter() {
            if request.team.is_empty() || !request.is_waiting() {
                continue;
            }
            let enqueued_ms = request.waiting.enqueued_ms;
            let row = waiting.entry(&request.team).or_insert((0, enqueued_ms));
            *row = (row.0 + 1, row.1.min(enqueued_ms));
        }
        let rows = waiting
            .into_iter()
            .map(|(team, (requests, oldest_ms))| (team, requests, oldest_ms));
        self.escrow.set_waiting(rows);
        let max_age_ms = PEER_MAX_AGE_MS;
        let now_ms = self.now.mono_ms;
        let peers = self
            .peers
            .iter()
            .filter(|(seat, hint)| {
                now_ms.saturating_sub(hint.received_ms) <= max_age_ms
                    && self.ledger.seats.live(seat).is_some()
            })
            .map(|(seat, hint)| (seat.clone(), hint.gossip.demand.clone()))
            .collect();
        let changes = self.escrow.poll(
            now_ms,
            self.is_log_reachable,
            &self.ledger,
            &self.seat,
            &peers,
        );
        for change in changes {
            // The proposer's queue is full: treat the change as folded without effect.
            if !self.propose(change.clone()) {
                self.escrow.record_folded(&change);
            }
        }
    }

    pub(crate) fn withdraw(&mut self, key_id: KeyId) {
        let is_known = self
            .ledger
            .keys
            .get(&key_id)
            .is_some_and(|row| row.is_withdrawn);
        if is_known || self.withdrawn.contains(&key_id) {
            return;
        }
        if self.withdrawn.len() >= WITHDRAWN_MAX_COUNT {
            self.forget_logged_withdrawals();
        }
        log_event!(self, "key_withdrawn", key_id = key_id);
        self.withdrawn.insert(key_id.clone());
        self.propose(SeatChange::WithdrawKey { key_id });
    }

    pub(crate) fn forget_logged_withdrawals(&mut self) {
        let ledger = &self.ledger;
        let is_logged = |key_id: &KeyId| {
            let row = ledger.keys.get(key_id);
            row.is_some_and(|row| row.is_withdrawn)
        };
        self.withdrawn.retain(|key_id| !is_logged(key_id));
    }

    pub(crate) fn poll_snapshot(&mut self) {
        self.forget_logged_withdrawals();
        let is_writer = self.ledger.seats.choose("snapshot") == Some(&self.seat);
        if !is_writer || !self.lease.is_valid(self.now.mono_ms) {
            return;
        }
        let snapshot_id = uuid::Builder::from_random_bytes(rand::RngExt::random(&mut self.rng));
        let payloads = self.snapshots.poll(
            &self.ledger,
            self.oldest_offset,
            self.settings.snapshot_every_records,
            snapshot_id.into_uuid(),
        );
        if let Some(payloads) = payloads {
            log_event!(
                self,
                "snapshot",
                next_offset = self.ledger.next_offset,
                chunks_count = payloads.len()
            );
            self.actions.push(Action::AppendSnapshot { payloads });
        }
    }

    pub(crate) fn poll_drain(&mut self) {
        if !self.is_draining || self.is_drain_reported {
            return;
        }
        self.hand_off_jobs();
        if !self.requests.is_idle() {
            return;
        }
        if !self.is_closing && self.ledger.seats.live(&self.seat).is_some() {
            self.is_closing = true;
            self.propose(SeatChange::Close);
        }
        if self.proposer.is_idle() {
            self.is_drain_reported = true;
            self.actions.push(Action::Drained);
        }
    }

    pub(crate) fn answer(&mut self, call_id: CallId, answer: CallerAnswer) {
        self.counts.record_answer(&answer);
        self.actions.push(Action::Answer { call_id, answer });
    }

    pub(crate) fn refuse(
        &mut self,
        call_id: CallId,
        kind: ErrorKind,
        retry_after_ms: u64,
        detail: &str,
    ) {
        let answer = CallerAnswer::failed(self.settings.entry.clone(), kind, retry_after_ms)
            .with_detail(detail);
        log_event!(
            self,
            "refused",
            call = call_id,
            kind = kind,
            detail = detail
        );
        self.answer(call_id, answer);
    }
}

pub(crate) fn new_proposer(settings: &EngineSettings, seat: &SeatId) -> Proposer {
    let limits = ProposerLimits {
        waiting_max_count: settings.changes_max_count,
        batch_max_count: settings.append_batch_max_count,
        batch_max_bytes: settings.append_batch_max_bytes,
        interval_ms: settings.append_interval_ms,
    };
    Proposer::open(seat.clone(), limits)
}
