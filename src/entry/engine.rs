//! The engine: every decision of one entry, as a deterministic state machine. An event and the time
//! go in, actions come out; the threads of the daemon, the embedded platform and the tests drive the
//! same code.

use std::collections::BTreeSet;

use indexmap::{IndexMap, IndexSet};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use smol_str::{format_smolstr, SmolStr};
use uuid::Uuid;

use crate::{
    callers::{CallId, CallerAnswer},
    entry::{
        contact::Contact,
        counts::Counts,
        dispatch::OrphanClaims,
        escrow::EscrowKeeper,
        event::{Action, Event, Now, Source},
        gossip::Gossip,
        proposer::{Proposer, ProposerLimits},
        reach::Reach,
        reader::{Reader, SnapshotWriter},
        requests::Requests,
        roll_out::Observed,
        seat::{Lease, Watch},
        settings::EngineSettings,
        upkeep::Upkeep,
        workers::Workers,
    },
    error::ErrorKind,
    fleet::{InstanceName, MonoMs, Offset, QueueName, TeamName},
    ledger::{Effect, KeyId, Ledger, SeatChange, SeatId, Verdict},
    policy::{
        health::Health,
        keys::{PeerKey, PoolKey, TeamKey},
        placement::{Placement, PlacementSettings},
        queue::WaitQueue,
        retry::RetryBudget,
        share::UsageView,
    },
    ports::LogPage,
};

/// Withdrawals that are kept until they are read from the log.
const WITHDRAWN_MAX_COUNT: usize = 4_096;

/// What a peer told last.
#[derive(Clone, Debug)]
pub(crate) struct PeerHint {
    pub(crate) key: PeerKey,
    pub(crate) heard_ms: MonoMs,
    pub(crate) gossip: Gossip,
}

/// All state of one entry.
pub struct Engine {
    pub(crate) settings: EngineSettings,
    pub(crate) now: Now,
    pub(crate) incarnation: SmolStr,
    pub(crate) seat: SeatId,
    seats_opened_count: u32,
    /// Whether the opening of the seat was folded.
    is_seated: bool,
    /// Whether the opening of any seat was folded: only this proves that what is read of the log is
    /// not from before the start of this process.
    was_seated: bool,
    /// Whether the latest read of the log was answered.
    is_log_reached: bool,
    /// When the head of the log was first reached.
    first_head_ms: Option<MonoMs>,
    /// Whether withdrawals that only peers know would have been heard.
    is_introduced: bool,
    pub(crate) ledger: Ledger,
    pub(crate) reader: Reader,
    snapshots: SnapshotWriter,
    oldest_offset: Offset,
    pub(crate) proposer: Proposer,
    pub(crate) lease: Lease,
    watch: Watch,
    pub(crate) contact: Contact,
    pub(crate) escrow: EscrowKeeper,
    pub(crate) withdrawn: IndexSet<KeyId>,
    pub(crate) peers: IndexMap<SeatId, PeerHint>,
    next_peer: u32,
    pulled_ms: MonoMs,
    pub(crate) teams: IndexSet<TeamName>,
    pub(crate) queues: IndexSet<QueueName>,
    lists_version: u64,
    pub(crate) workers: Workers,
    pub(crate) workers_of_pool_changed: IndexSet<PoolKey>,
    /// Workers that are left alone until the time named.
    pub(crate) held: BTreeSet<(MonoMs, InstanceName)>,
    pub(crate) orphan_claims: OrphanClaims,
    /// Callers that wait for their job's record.
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
    is_closing: bool,
    is_drained_told: bool,
    escrow_polled_ms: MonoMs,
    pub(crate) actions: Vec<Action>,
}

/// Time between two looks at the escrow, in milliseconds.
const ESCROW_EVERY_MS: u64 = 20;

/// Time between two attempts to fetch from a peer what the log does not give, in milliseconds.
const PULL_EVERY_MS: u64 = 200;

/// Age of the last word from the log after which records are fetched from peers, in milliseconds.
const PULL_AFTER_MS: u64 = 1_000;

/// Age after which a peer's demand counts no more, in milliseconds.
pub(crate) const PEER_MAX_AGE_MS: u64 = 3_000;

impl Engine {
    /// Makes the engine of a fresh entry process; `incarnation` is unique for each start.
    pub fn open(settings: EngineSettings, incarnation: &str) -> Self {
        let seat = SmolStr::new(incarnation);
        let proposer = new_proposer(&settings, &seat);
        let mut workers = Workers::default();
        let zone = workers.zone_key(&settings.zone);
        Self {
            now: Now::default(),
            incarnation: seat.clone(),
            seats_opened_count: 0,
            is_seated: false,
            was_seated: false,
            is_log_reached: false,
            first_head_ms: None,
            is_introduced: false,
            ledger: Ledger::default(),
            reader: Reader::new(),
            snapshots: SnapshotWriter::default(),
            oldest_offset: 0,
            proposer,
            lease: Lease::new(settings.seat_lease_ms, settings.seat_renew_ms),
            watch: Watch::default(),
            contact: Contact::default(),
            escrow: EscrowKeeper::new(settings.escrow_idle_ms),
            withdrawn: IndexSet::new(),
            peers: IndexMap::new(),
            next_peer: 0,
            pulled_ms: 0,
            teams: IndexSet::new(),
            queues: IndexSet::new(),
            lists_version: 0,
            workers,
            workers_of_pool_changed: IndexSet::new(),
            held: BTreeSet::new(),
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
            is_drained_told: false,
            escrow_polled_ms: 0,
            actions: Vec::new(),
            seat,
            settings,
        }
    }

    /// Takes in one event and returns what is to be done.
    pub fn step(&mut self, now: Now, event: Event) -> Vec<Action> {
        self.now = now;
        match event {
            Event::Tick => self.tick(),
            Event::LogPage {
                sent_ms,
                from_offset,
                page,
                source,
            } => self.read_page(sent_ms, from_offset, &page, &source),
            Event::LogFailed { error } => {
                self.is_log_reached = false;
                self.reader.failed(&error);
            }
            Event::PeerLedger { text } => self.take_peer_ledger(&text),
            Event::Appended { seq, result } => {
                if let Ok(offset) = &result {
                    let folded_offset = self.ledger.next_offset;
                    self.contact
                        .prove_head(now.mono_ms, offset + 1, folded_offset);
                }
                self.proposer.appended(now.mono_ms, seq, &result);
            }
            Event::SnapshotAppended { .. } => self.snapshots.finished(),
            Event::Instances { sent_ms, page } => self.take_instances(sent_ms, page),
            Event::Gossip { sent_ms, gossip } => self.take_gossip(sent_ms, *gossip),
            Event::Hint { gossip } => self.take_hint(*gossip),
            Event::AskLedger { reply } => {
                // A peer that has gone needs no answer.
                let _ = reply.try_send((self.ledger.next_offset, self.ledger.to_snapshot()));
            }
            Event::Ping { reply } => {
                let _ = reply.try_send(());
            }
            Event::Explain { question, reply } => {
                let _ = reply.try_send(self.explain(&question));
            }
            Event::Call { call_id, request } => self.take_call(call_id, request),
            Event::Cancel { call_id, cancel } => self.cancel_for(call_id, &cancel),
            Event::PeerCancel { team, request_id } => {
                self.cancel_request(&team, &request_id);
            }
            Event::Fetch { call_id, fetch } => self.fetch(call_id, &fetch),
            Event::Gone { call_id } => self.lose_caller(call_id),
            Event::AttemptEnded { attempt, outcome } => self.end_attempt(attempt, outcome),
            Event::Probed {
                name,
                incarnation,
                is_reachable,
            } => self.take_probe(&name, &incarnation, is_reachable),
            Event::Withdraw { key_id } => self.withdraw(key_id),
            Event::Drain => self.is_draining = true,
        }
        self.pump();
        self.poll_proposer();
        std::mem::take(&mut self.actions)
    }

    /// Returns the offset that the log is to be read from next.
    pub fn wanted_offset(&self) -> Offset {
        self.reader.wanted_offset(&self.ledger)
    }

    /// Returns the ledger as far as it is folded.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns whether the head of the ledger was known at some time, and with it every withdrawal
    /// that peers may know beyond it.
    pub fn is_ready(&self) -> bool {
        self.reader.is_following()
            && self.is_introduced
            && self.contact.log_age_ms(self.now.mono_ms).is_some()
    }

    /// Returns whether the balancer should send callers here.
    pub fn is_serving(&self) -> bool {
        let now_ms = self.now.mono_ms;
        let max_age_ms = self.settings.config_stale_max_ms;
        self.is_ready()
            && !self.is_draining
            && self
                .contact
                .is_config_fresh(now_ms, max_age_ms, &self.ledger, &self.seat)
    }

    fn tick(&mut self) {
        let now_ms = self.now.mono_ms;
        self.poll_introduction();
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

    /// Notes once withdrawals that are not in the log yet would have been heard.
    ///
    /// Whoever knows of one and reaches the log has put it on record before the configuration of
    /// everybody else has become stale; more than half of the seats know of it before that.
    fn poll_introduction(&mut self) {
        let now_ms = self.now.mono_ms;
        let max_age_ms = self.settings.config_stale_max_ms;
        let Some(first_head_ms) = self.first_head_ms.filter(|_| !self.is_introduced) else {
            return;
        };
        let hears_majority =
            self.contact
                .hears_majority(now_ms, max_age_ms, &self.ledger, &self.seat);
        self.is_introduced = hears_majority || now_ms >= first_head_ms + max_age_ms;
    }

    // The log.

    fn read_page(&mut self, sent_ms: MonoMs, from_offset: Offset, page: &LogPage, source: &Source) {
        let was_silent = !self
            .contact
            .is_log_fresh(self.now.mono_ms, self.settings.config_stale_max_ms);
        if *source == Source::Log {
            self.is_log_reached = true;
            self.contact.log_answered(sent_ms);
            self.oldest_offset = self.oldest_offset.max(page.oldest_offset);
        }
        let first = self.ledger.next_offset;
        let progress = self.reader.read(&mut self.ledger, from_offset, page);
        if progress.is_replaced {
            self.adopt_ledger();
        }
        for (effect, offset) in progress.effects.iter().zip(first..) {
            let bytes = payload_bytes(page, offset);
            self.snapshots.folded(effect, bytes);
            self.take_effect(effect);
        }
        self.contact
            .caught_up(self.now.mono_ms, self.ledger.next_offset);
        let is_at_head = progress.is_at_head && *source == Source::Log;
        if is_at_head {
            self.open_seat_if_none();
        }
        if is_at_head && self.was_seated && self.contact.may_be_head(self.ledger.next_offset) {
            if was_silent {
                self.watch.start_afresh();
            }
            self.contact.heard_log(sent_ms);
            self.first_head_ms.get_or_insert(self.now.mono_ms);
        }
        self.sync_lists();
    }

    fn take_peer_ledger(&mut self, text: &str) {
        let Ok(ledger) = Ledger::from_snapshot(text) else {
            return;
        };
        if ledger.next_offset > self.ledger.next_offset {
            self.ledger = ledger;
            self.reader.follow();
            self.contact
                .caught_up(self.now.mono_ms, self.ledger.next_offset);
            self.adopt_ledger();
            self.sync_lists();
        }
    }

    /// Derives everything anew after the ledger was replaced.
    fn adopt_ledger(&mut self) {
        self.lists_version = 0;
        self.sync_lists();
        self.sync_all_workers();
        // What this seat had on the way may be inside the new state, unseen.
        if self.seats_opened_count > 0 {
            self.counts.seats_lost_count += 1;
            self.drop_claims_of_lost_seat();
            self.open_seat();
        }
    }

    fn sync_lists(&mut self) {
        if self.lists_version == self.ledger.lists_version {
            return;
        }
        self.lists_version = self.ledger.lists_version;
        let lists = self.ledger.lists.clone();
        for team in &lists.plans.teams {
            let (index, _) = self.teams.insert_full(team.name.clone());
            let weight = lists.share_weight(team);
            self.usage.set_weight(TeamKey(index as u32), weight);
        }
        for queue in &lists.entitlements.queues {
            self.queues.insert(queue.name.clone());
        }
        self.sync_pools();
        tell!(self, "lists_in_force", version = self.lists_version);
    }

    fn take_effect(&mut self, effect: &Effect) {
        match effect {
            Effect::Batch { batch, verdicts } => {
                let is_own = batch.seat == self.seat;
                if is_own {
                    self.fold_own_batch(batch.seq, &batch.changes);
                }
                for (change, verdict) in batch.changes.iter().zip(verdicts) {
                    self.take_change(is_own, change, verdict);
                }
            }
            Effect::BatchVoid { seat, seq } if *seat == self.seat => {
                self.proposer.folded(*seq);
                self.lose_seat_if_ended();
            }
            Effect::Operator { proposal, verdict } => {
                tell!(
                    self,
                    "operator_change",
                    proposal = proposal.proposal_id,
                    is_accepted = *verdict == Verdict::Accepted
                );
            }
            Effect::BatchVoid { .. } | Effect::Snapshot(_) | Effect::Unreadable => {}
        }
    }

    fn fold_own_batch(&mut self, seq: u64, changes: &[SeatChange]) {
        let sent_ms = self.proposer.folded(seq);
        self.is_seated = true;
        self.was_seated = true;
        let is_renewal = |change: &SeatChange| {
            matches!(change, SeatChange::Open { .. } | SeatChange::Renew { .. })
        };
        if let Some(sent_ms) = sent_ms.filter(|_| changes.iter().any(is_renewal)) {
            self.lease.renewed(sent_ms);
        }
        for change in changes {
            self.escrow.folded(change);
        }
    }

    fn take_change(&mut self, is_own: bool, change: &SeatChange, verdict: &Verdict) {
        match (change, verdict) {
            (SeatChange::Claim { team, request_id }, verdict) if is_own => {
                self.take_claim(team, request_id, verdict);
            }
            (SeatChange::JobSubmit { job }, verdict) if is_own => {
                self.take_submission(job, verdict);
            }
            (
                SeatChange::JobAdopt {
                    team, request_id, ..
                },
                Verdict::Accepted,
            ) if is_own => self.enqueue_job(team, request_id, true),
            (SeatChange::JobStart { team, request_id }, verdict) if is_own => {
                self.take_job_start(team, request_id, verdict);
            }
            (SeatChange::ExpireSeat { target, .. }, Verdict::Accepted) => {
                tell!(self, "seat_expired", seat = target);
                self.lose_seat_if_ended();
            }
            (SeatChange::InstanceSeen { row }, Verdict::Accepted) => self.sync_worker(&row.name),
            (
                SeatChange::InstanceGone { name, .. }
                | SeatChange::Standing { name, .. }
                | SeatChange::StopClaim { name, .. }
                | SeatChange::StopProceed { name, .. }
                | SeatChange::StopCancel { name, .. }
                | SeatChange::PoolRelease { name, .. }
                | SeatChange::PoolAssign { name, .. }
                | SeatChange::MarkBad { name, .. },
                verdict,
            ) => {
                self.note_instance_change(change, verdict);
                self.sync_worker(name);
            }
            _ => {}
        }
    }

    // The seat.

    fn open_seat_if_none(&mut self) {
        if self.seats_opened_count == 0 && !self.is_draining {
            self.open_seat();
        }
    }

    fn open_seat(&mut self) {
        self.seats_opened_count += 1;
        self.is_seated = false;
        self.seat = match self.seats_opened_count {
            1 => self.incarnation.clone(),
            count => format_smolstr!("{}.{count}", self.incarnation),
        };
        self.proposer = new_proposer(&self.settings, &self.seat);
        self.lease = Lease::new(self.settings.seat_lease_ms, self.settings.seat_renew_ms);
        self.escrow = EscrowKeeper::new(self.settings.escrow_idle_ms);
        self.propose(SeatChange::Open {
            peers_address: self.settings.peers_address.clone(),
            zone: self.settings.zone.clone(),
            lease_ms: self.settings.seat_lease_ms,
        });
        let withdrawn: Vec<KeyId> = self.withdrawn.iter().cloned().collect();
        for key_id in withdrawn {
            self.propose(SeatChange::WithdrawKey { key_id });
        }
        tell!(self, "seat_opening", seat = self.seat);
    }

    /// Takes a new seat if the others have declared this one lapsed.
    fn lose_seat_if_ended(&mut self) {
        if self.is_closing {
            return;
        }
        if !self.is_seated || self.ledger.seats.live(&self.seat).is_some() {
            return;
        }
        self.counts.seats_lost_count += 1;
        tell!(self, "seat_lost", seat = self.seat);
        self.drop_claims_of_lost_seat();
        self.open_seat();
    }

    fn poll_seat(&mut self) {
        let now_ms = self.now.mono_ms;
        if self.ledger.seats.live(&self.seat).is_none() || self.is_closing {
            return;
        }
        self.rank_among_seats();
        let is_stop_pending = self.workers.has_stop_pending();
        if self.lease.is_renewal_due(now_ms, is_stop_pending) {
            let clean_offset = self.clean_offset();
            self.propose(SeatChange::Renew { clean_offset });
        }
        let max_age_ms = self.settings.config_stale_max_ms;
        if self.contact.is_log_fresh(now_ms, max_age_ms) {
            let run_max_ms = crate::ledger::RUN_MAX_MS;
            let changes = self
                .watch
                .poll(now_ms, &self.ledger, &self.seat, run_max_ms);
            for change in changes {
                self.propose(change);
            }
        }
        self.contact.forget_ended(&self.ledger);
    }

    /// Gives the placement this entry's rank among the live seats, so that each entry begins with
    /// other workers.
    fn rank_among_seats(&mut self) {
        let seats = &self.ledger.seats;
        let before = seats.iter_live().filter(|(seat, _)| **seat < self.seat);
        let rank = before.count() as u32;
        let count = seats.iter_live().count() as u32;
        self.placement.set_rank(rank, count);
    }

    /// Returns the offset below which every decision of this seat is over.
    ///
    /// An attempt holds it back only while its instance is being stopped or moved.
    fn clean_offset(&self) -> Offset {
        let held_back = |instance: &str, decided_offset: Offset| {
            let entry = self.ledger.instances.get(instance)?;
            let is_held = entry.stop.is_some() && decided_offset <= entry.stop_offset;
            is_held.then_some(entry.stop_offset)
        };
        self.requests
            .may_run()
            .filter_map(|attempt| held_back(&attempt.instance, attempt.decided_offset))
            .min()
            .unwrap_or(self.ledger.next_offset)
    }

    pub(crate) fn propose(&mut self, change: SeatChange) -> bool {
        let is_taken = self.proposer.propose(change);
        if !is_taken {
            self.counts.changes_dropped_count += 1;
        }
        is_taken
    }

    fn poll_proposer(&mut self) {
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

    fn poll_escrow(&mut self) {
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
                now_ms.saturating_sub(hint.heard_ms) <= max_age_ms
                    && self.ledger.seats.live(seat).is_some()
            })
            .map(|(seat, hint)| (seat.clone(), hint.gossip.demand.clone()))
            .collect();
        let changes = self.escrow.poll(
            now_ms,
            self.is_log_reached,
            &self.ledger,
            &self.seat,
            &peers,
        );
        for change in changes {
            // A change that finds no room is as good as folded without effect.
            if !self.propose(change.clone()) {
                self.escrow.folded(&change);
            }
        }
    }

    // Peers.

    fn take_gossip(&mut self, sent_ms: MonoMs, gossip: Gossip) {
        if gossip.seat == self.seat {
            return;
        }
        for key_id in &gossip.withdrawn {
            self.withdraw(key_id.clone());
        }
        let (peer_offset, folded_offset) = (gossip.next_offset, self.ledger.next_offset);
        self.contact
            .heard_peer(&gossip.seat, sent_ms, peer_offset, folded_offset);
        self.take_hint(gossip);
    }

    /// Takes the hints of a peer that called, which proves nothing about now.
    fn take_hint(&mut self, gossip: Gossip) {
        if gossip.seat == self.seat || gossip.seat.is_empty() {
            return;
        }
        for key_id in &gossip.withdrawn {
            self.withdraw(key_id.clone());
        }
        let heard_ms = self.now.mono_ms;
        self.contact
            .prove_head(heard_ms, gossip.next_offset, self.ledger.next_offset);
        let key = match self.peers.get(&gossip.seat) {
            Some(hint) => hint.key,
            None => {
                self.next_peer += 1;
                PeerKey(self.next_peer)
            }
        };
        self.take_peer_usage(key, &gossip);
        let hint = PeerHint {
            key,
            heard_ms,
            gossip,
        };
        self.peers.insert(hint.gossip.seat.clone(), hint);
    }

    fn poll_peers(&mut self) {
        let now_ms = self.now.mono_ms;
        let is_recent =
            |hint: &PeerHint| now_ms.saturating_sub(hint.heard_ms) <= PEER_MAX_AGE_MS * 10;
        self.peers.retain(|_, hint| is_recent(hint));
        self.usage.expire_peers(now_ms);
        let is_log_silent = !self.contact.is_log_fresh(now_ms, PULL_AFTER_MS);
        if !is_log_silent || now_ms < self.pulled_ms + PULL_EVERY_MS {
            return;
        }
        let ahead: Vec<&PeerHint> = self
            .peers
            .values()
            .filter(|hint| hint.gossip.next_offset > self.ledger.next_offset)
            .collect();
        // Any of them: one may not have the records that another has.
        let Some(hint) = rand::seq::IndexedRandom::choose(&ahead[..], &mut self.rng) else {
            return;
        };
        self.pulled_ms = now_ms;
        let peers_address = hint.gossip.peers_address.clone();
        let from_offset = self.ledger.next_offset;
        self.actions.push(match self.reader.is_following() {
            true => Action::PullTail {
                peers_address,
                from_offset,
            },
            false => Action::PullLedger { peers_address },
        });
    }

    // Keys.

    fn withdraw(&mut self, key_id: KeyId) {
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
        tell!(self, "key_withdrawn", key_id = key_id);
        self.withdrawn.insert(key_id.clone());
        self.propose(SeatChange::WithdrawKey { key_id });
    }

    fn forget_logged_withdrawals(&mut self) {
        let ledger = &self.ledger;
        let is_logged = |key_id: &KeyId| {
            let row = ledger.keys.get(key_id);
            row.is_some_and(|row| row.is_withdrawn)
        };
        self.withdrawn.retain(|key_id| !is_logged(key_id));
    }

    // Snapshots and the end.

    fn poll_snapshot(&mut self) {
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
            tell!(
                self,
                "snapshot",
                next_offset = self.ledger.next_offset,
                chunks_count = payloads.len()
            );
            self.actions.push(Action::AppendSnapshot { payloads });
        }
    }

    fn poll_drain(&mut self) {
        if !self.is_draining || self.is_drained_told {
            return;
        }
        self.hand_over_jobs();
        if !self.requests.is_idle() {
            return;
        }
        if !self.is_closing && self.ledger.seats.live(&self.seat).is_some() {
            self.is_closing = true;
            self.propose(SeatChange::Close);
        }
        if self.proposer.is_idle() {
            self.is_drained_told = true;
            self.actions.push(Action::Drained);
        }
    }

    pub(crate) fn answer(&mut self, call_id: CallId, answer: CallerAnswer) {
        self.counts.answered(&answer);
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
        tell!(
            self,
            "refused",
            call = call_id,
            kind = kind,
            detail = detail
        );
        self.answer(call_id, answer);
    }
}

fn new_proposer(settings: &EngineSettings, seat: &SeatId) -> Proposer {
    let limits = ProposerLimits {
        waiting_max_count: settings.changes_max_count,
        batch_max_count: settings.append_batch_max_count,
        batch_max_bytes: settings.append_batch_max_bytes,
        interval_ms: settings.append_interval_ms,
    };
    Proposer::open(seat.clone(), limits)
}

fn payload_bytes(page: &LogPage, offset: Offset) -> u64 {
    let first = page.records.first().map_or(0, |record| record.offset);
    let index = offset.saturating_sub(first) as usize;
    page.records
        .get(index)
        .map_or(0, |record| record.payload.len() as u64)
}
