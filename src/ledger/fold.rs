//! The fold: applies one record at a time to the state and returns the verdict on each change.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    fleet::{Offset, UnixMs},
    ledger::{
        claims::{issued_at_unix_ms, Claims},
        escrow::Escrow,
        instances::{Instances, PlannedStopReason},
        jobs::{JobState, Jobs},
        keys::Keys,
        protocol::{
            CLAIM_AHEAD_MAX_MS, CLAIM_WINDOW_MS, FORGET_EVERY_RECORDS, JOB_RETENTION_MS, RUN_MAX_MS,
        },
        record::{OperatorChange, OperatorProposal, Record, SeatBatch, SeatChange, SnapshotChunk},
        seats::{SeatId, SeatRow, SeatState, Seats},
    },
    lists::Lists,
    ports::LogRecord,
};

/// Verdict on a proposed change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The change took effect.
    Accepted,
    /// The change took effect for this number of requests, which may be lower than proposed.
    AcceptedCount(u32),
    /// The change had no effect, for the given reason.
    Rejected(SmolStr),
}

/// Result of folding one record.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// A batch was accepted; there is one verdict for each change.
    Batch {
        /// The batch.
        batch: SeatBatch,
        /// The verdicts in the order of the changes.
        verdicts: Vec<Verdict>,
    },
    /// A batch was ignored: it was a duplicate, out of order, or from a seat that has ended.
    BatchIgnored {
        /// Seat that proposed the batch.
        seat: SeatId,
        /// Sequence number of the batch.
        seq: u64,
    },
    /// An operator's proposal was accepted or rejected.
    Operator {
        /// The proposal.
        proposal: OperatorProposal,
        /// The verdict.
        verdict: Verdict,
    },
    /// The record is a chunk of a snapshot; the state is unchanged.
    Snapshot(SnapshotChunk),
    /// The payload is not a valid record; every reader skips it.
    Unreadable,
}

/// Origin of the lists in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publication {
    /// Name of the operator, as given in the proposal.
    pub operator: SmolStr,
    /// Log time of the record that published the lists.
    pub at_unix_ms: UnixMs,
}

/// The state on which all readers of the log agree.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    /// Offset of the next record to fold; all records below it are folded.
    pub next_offset: Offset,
    /// Latest timestamp seen in the log; never decreases.
    pub clock_unix_ms: UnixMs,
    /// Version of the lists in force; increases with each publication.
    pub lists_version: u64,
    /// Origin of that version.
    #[serde(default)]
    pub lists_published: Publication,
    /// The lists in force.
    pub lists: Arc<Lists>,
    /// API keys of the teams.
    pub keys: Keys,
    /// Live and expired seats of the entries.
    pub seats: Seats,
    /// Division of the teams' upper limits among the seats.
    pub escrow: Escrow,
    /// Claims on request ids.
    pub claims: Claims,
    /// Requests accepted to run later.
    pub jobs: Jobs,
    /// Instances and their pools.
    pub instances: Instances,
}

impl Ledger {
    /// Folds the record at `next_offset`.
    ///
    /// # Panics
    ///
    /// Panics if the record has another offset: after a gap, the state would permanently differ
    /// from that of other readers.
    pub fn apply(&mut self, record: &LogRecord) -> Effect {
        assert_eq!(
            record.offset, self.next_offset,
            "record at an unexpected offset of the log"
        );
        let offset = record.offset;
        self.next_offset += 1;
        self.clock_unix_ms = self.clock_unix_ms.max(record.at_unix_ms);
        if offset % FORGET_EVERY_RECORDS == 0 {
            self.forget();
        }
        match serde_json::from_str(&record.payload) {
            Ok(Record::Seat(batch)) => self.apply_batch(batch, offset),
            Ok(Record::Operator(proposal)) => self.apply_operator(proposal),
            Ok(Record::Snapshot(chunk)) => Effect::Snapshot(chunk),
            Err(_) => Effect::Unreadable,
        }
    }

    /// Returns whether no seat can still start or run a task that it decided on before it had
    /// folded the record at `offset`.
    pub fn is_clean_at(&self, offset: Offset) -> bool {
        self.seats.are_clean_at(offset)
    }

    /// Returns the oldest timestamp that the id of a non-idempotent request may carry.
    pub fn oldest_claim_unix_ms(&self) -> UnixMs {
        self.clock_unix_ms.saturating_sub(CLAIM_WINDOW_MS)
    }

    fn forget(&mut self) {
        let oldest_unix_ms = self.oldest_claim_unix_ms();
        self.claims.forget_before(oldest_unix_ms);
        let oldest_unix_ms = self.clock_unix_ms.saturating_sub(JOB_RETENTION_MS);
        self.jobs.forget_before(oldest_unix_ms);
    }

    fn apply_operator(&mut self, proposal: OperatorProposal) -> Effect {
        let verdict = match &proposal.change {
            OperatorChange::Publish { base_version, .. } if *base_version != self.lists_version => {
                rejected("version_conflict")
            }
            OperatorChange::Publish { patch, .. } => {
                let mut lists = Lists::clone(&self.lists);
                patch.apply_to(&mut lists);
                self.put_in_force(lists);
                self.lists_published = Publication {
                    operator: proposal.operator.clone(),
                    at_unix_ms: self.clock_unix_ms,
                };
                Verdict::Accepted
            }
            OperatorChange::GrantKey { key_id, row } => {
                accepted_if(self.keys.grant(key_id, row), "key_exists")
            }
            OperatorChange::WithdrawKey { key_id } => {
                accepted_if(self.keys.withdraw(key_id), "already_withdrawn")
            }
        };
        Effect::Operator { proposal, verdict }
    }

    fn put_in_force(&mut self, lists: Lists) {
        let teams = &lists.plans.teams;
        let limits = teams
            .iter()
            .map(|team| (&team.name, lists.running_max_requests(team)));
        self.escrow.set_limits(limits);
        self.instances.set_budgets(&lists);
        self.lists = Arc::new(lists);
        self.lists_version += 1;
    }

    fn apply_batch(&mut self, batch: SeatBatch, offset: Offset) -> Effect {
        if !self.accept_batch(&batch, offset) {
            return Effect::BatchIgnored {
                seat: batch.seat,
                seq: batch.seq,
            };
        }
        let verdicts = batch
            .changes
            .iter()
            .map(|change| self.apply_change(&batch.seat, change, offset))
            .collect();
        Effect::Batch { batch, verdicts }
    }

    /// Records the sequence number of the batch, or opens the seat; returns whether the batch is
    /// accepted.
    fn accept_batch(&mut self, batch: &SeatBatch, offset: Offset) -> bool {
        match (self.seats.get_mut(&batch.seat), batch.changes.first()) {
            (Some(row), _) if row.state != SeatState::Live => false,
            (Some(row), _) if row.last_seq >= batch.seq => false,
            (Some(row), _) => {
                row.last_seq = batch.seq;
                true
            }
            (
                None,
                Some(SeatChange::Open {
                    peers_address,
                    zone,
                    lease_ms,
                }),
            ) if batch.seq == 1 => {
                let row = SeatRow {
                    state: SeatState::Live,
                    peers_address: peers_address.clone(),
                    zone: zone.clone(),
                    lease_ms: *lease_ms,
                    opened_offset: offset,
                    renewed_offset: offset,
                    clean_offset: offset,
                    last_seq: batch.seq,
                };
                self.seats.insert(batch.seat.clone(), row);
                true
            }
            (None, _) => false,
        }
    }

    fn apply_change(&mut self, seat: &SeatId, change: &SeatChange, offset: Offset) -> Verdict {
        let at_unix_ms = self.clock_unix_ms;
        match change {
            // An earlier change of the same batch may have ended the seat.
            _ if self.seats.live(seat).is_none() => rejected("seat_ended"),
            SeatChange::Open { .. } => Verdict::Accepted,
            SeatChange::Renew { clean_offset } => self.renew(seat, *clean_offset, offset),
            SeatChange::Close => self.close(seat),
            SeatChange::ExpireSeat {
                target,
                renewed_offset,
            } => self.expire(target, *renewed_offset),
            SeatChange::ReclaimSeat { target } => self.reclaim(target),
            SeatChange::EscrowTake {
                team,
                wanted_requests,
            } => Verdict::AcceptedCount(self.escrow.take(team, seat, *wanted_requests)),
            SeatChange::EscrowGive { team, to, requests } => {
                let to = to.as_ref().filter(|to| self.seats.live(to).is_some());
                Verdict::AcceptedCount(self.escrow.give(team, seat, to, *requests))
            }
            SeatChange::Claim { team, request_id } => match issued_at_unix_ms(request_id) {
                None => rejected("not_version_7"),
                Some(at) if at < self.oldest_claim_unix_ms() => rejected("stale_request_id"),
                Some(at) if at > at_unix_ms + CLAIM_AHEAD_MAX_MS => rejected("request_id_ahead"),
                Some(_) => accepted_if(self.claims.claim(team, request_id, seat), "claimed"),
            },
            SeatChange::ClaimEnd {
                team,
                request_id,
                state,
            } => accepted_if(
                self.claims.end(team, request_id, seat, *state),
                "not_claimed",
            ),
            SeatChange::JobSubmit { job } => self.submit_job(seat, job),
            SeatChange::JobAdopt {
                team,
                request_id,
                from,
            } => match self.seats.get(from) {
                Some(_) => rejected("owner_not_reclaimed"),
                None => accepted_if(self.jobs.adopt(team, request_id, from, seat), "not_adopted"),
            },
            SeatChange::JobStart { team, request_id } => {
                let started = JobState::Started;
                accepted_if(
                    self.jobs.advance(team, request_id, seat, started),
                    "not_owned",
                )
            }
            SeatChange::JobEnd {
                team,
                request_id,
                state,
            } => accepted_if(
                self.jobs.advance(team, request_id, seat, state.clone()),
                "not_owned",
            ),
            SeatChange::InstanceSeen { row } => {
                accepted_if(self.instances.mark_seen(row, at_unix_ms), "already_seen")
            }
            SeatChange::InstanceGone { name, incarnation } => accepted_if(
                self.instances.mark_gone(name, incarnation, at_unix_ms),
                "not_listed",
            ),
            SeatChange::Standing {
                name,
                incarnation,
                standing,
            } => accepted_if(
                self.instances
                    .set_standing(name, incarnation, *standing, at_unix_ms),
                "no_change",
            ),
            SeatChange::StopClaim { name, version, why } => verdict(
                self.instances
                    .claim_stop(name, *version, why, offset, at_unix_ms),
            ),
            SeatChange::PoolRelease {
                name,
                version,
                to_pool,
            } => {
                let why = PlannedStopReason::Move(to_pool.clone());
                verdict(
                    self.instances
                        .claim_stop(name, *version, &why, offset, at_unix_ms),
                )
            }
            SeatChange::StopProceed { name, .. } | SeatChange::PoolAssign { name, .. }
                if !self.may_proceed(name) =>
            {
                rejected("seats_not_clean")
            }
            SeatChange::StopProceed { name, version } => {
                verdict(self.instances.proceed(name, *version, at_unix_ms))
            }
            SeatChange::PoolAssign { name, version } => {
                verdict(self.instances.assign(name, *version, at_unix_ms))
            }
            SeatChange::StopCancel { name, version } => {
                verdict(self.instances.cancel_stop(name, *version, at_unix_ms))
            }
            SeatChange::MarkBad { name, version } => {
                verdict(self.instances.mark_bad(name, *version, at_unix_ms))
            }
            SeatChange::HaltRollout => {
                self.instances.record_halt(at_unix_ms);
                Verdict::Accepted
            }
            SeatChange::WithdrawKey { key_id } => {
                accepted_if(self.keys.withdraw(key_id), "already_withdrawn")
            }
        }
    }

    fn may_proceed(&self, name: &str) -> bool {
        let offset = self.instances.stop_offset(name);
        offset.is_some_and(|offset| self.seats.are_clean_at(offset))
    }

    fn renew(&mut self, seat: &SeatId, clean_offset: Offset, offset: Offset) -> Verdict {
        match self.seats.get_mut(seat) {
            Some(row) => {
                row.renewed_offset = offset;
                row.clean_offset = row.clean_offset.max(clean_offset.min(offset));
                Verdict::Accepted
            }
            None => rejected("unknown_seat"),
        }
    }

    fn close(&mut self, seat: &SeatId) -> Verdict {
        self.end_seat(seat);
        Verdict::Accepted
    }

    fn expire(&mut self, target: &SeatId, renewed_offset: Offset) -> Verdict {
        let at_unix_ms = self.clock_unix_ms;
        match self.seats.get_mut(target) {
            Some(row) if row.state != SeatState::Live => rejected("already_expired"),
            Some(row) if row.renewed_offset != renewed_offset => rejected("renewed"),
            Some(row) => {
                row.state = SeatState::Expired { at_unix_ms };
                Verdict::Accepted
            }
            None => rejected("unknown_seat"),
        }
    }

    fn reclaim(&mut self, target: &SeatId) -> Verdict {
        match self.seats.get(target).map(|row| row.state) {
            Some(SeatState::Expired { at_unix_ms })
                if at_unix_ms + RUN_MAX_MS > self.clock_unix_ms =>
            {
                rejected("tasks_may_run")
            }
            Some(SeatState::Expired { .. }) => {
                self.end_seat(target);
                Verdict::Accepted
            }
            Some(SeatState::Live) => rejected("live"),
            None => rejected("unknown_seat"),
        }
    }

    fn end_seat(&mut self, seat: &str) {
        self.escrow.free_seat(seat);
        self.claims.mark_seat_unknown(seat);
        self.seats.remove(seat);
    }

    fn submit_job(&mut self, seat: &SeatId, job: &crate::ledger::jobs::JobRow) -> Verdict {
        match issued_at_unix_ms(&job.request_id) {
            None => rejected("not_version_7"),
            Some(at) if at < self.oldest_claim_unix_ms() => rejected("stale_request_id"),
            Some(at) if at > self.clock_unix_ms + CLAIM_AHEAD_MAX_MS => {
                rejected("request_id_ahead")
            }
            Some(_) => match self.claims.claim(&job.team, &job.request_id, seat) {
                true => accepted_if(self.jobs.submit(job, seat), "claimed"),
                false => rejected("claimed"),
            },
        }
    }
}

fn rejected(reason: &'static str) -> Verdict {
    Verdict::Rejected(SmolStr::new_static(reason))
}

fn accepted_if(is_accepted: bool, reason: &'static str) -> Verdict {
    match is_accepted {
        true => Verdict::Accepted,
        false => rejected(reason),
    }
}

fn verdict(result: Result<(), SmolStr>) -> Verdict {
    match result {
        Ok(()) => Verdict::Accepted,
        Err(reason) => Verdict::Rejected(reason),
    }
}
