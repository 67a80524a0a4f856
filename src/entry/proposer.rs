//! The proposer batches the changes of this seat into numbered records, with one append in flight.
//! An append whose answer was lost is retried with the same number: the fold applies the first
//! record of that number and voids the others. A large batch of which every append was refused is
//! split.

use std::collections::VecDeque;

use crate::{
    fleet::MonoMs,
    ledger::{JobState, Record, SeatBatch, SeatChange, SeatId},
    ports::PortError,
};

/// Time after which an append that failed or whose answer was lost is retried, in milliseconds.
const RESEND_AFTER_MS: u64 = 250;

/// A batch that was sent and is not known to be appended.
#[derive(Clone, Debug)]
struct InFlightBatch {
    seq: u64,
    changes: Vec<SeatChange>,
    payload: String,
    first_sent_ms: MonoMs,
    resend_at_ms: Option<MonoMs>,
    /// Whether the answer to one of its appends was lost; its content must not change then.
    may_be_appended: bool,
}

/// Limits of the proposer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProposerLimits {
    /// Maximum number of waiting changes.
    pub(crate) waiting_max_count: usize,
    /// Maximum number of changes in one batch.
    pub(crate) batch_max_count: usize,
    /// Maximum size of one batch, in bytes.
    pub(crate) batch_max_bytes: usize,
    /// Minimum time between two batches, in milliseconds.
    pub(crate) interval_ms: u64,
}

/// Batches and numbers the changes of one seat.
#[derive(Clone, Debug)]
pub(crate) struct Proposer {
    seat: SeatId,
    next_seq: u64,
    waiting: VecDeque<SeatChange>,
    limits: ProposerLimits,
    last_sent_ms: Option<MonoMs>,
    /// The batch that was sent and is not known to be appended.
    in_flight: Option<InFlightBatch>,
    /// Batches appended and not folded yet: number and time at which each was first sent.
    appended: VecDeque<(u64, MonoMs)>,
}

/// A record to append.
pub(crate) struct Outgoing {
    pub(crate) seq: u64,
    pub(crate) payload: String,
}

impl Proposer {
    /// Creates the proposer of a new seat.
    pub(crate) fn open(seat: SeatId, limits: ProposerLimits) -> Self {
        Self {
            seat,
            next_seq: 1,
            waiting: VecDeque::new(),
            limits,
            last_sent_ms: None,
            in_flight: None,
            appended: VecDeque::new(),
        }
    }

    /// Queues a change; returns false if the queue is full.
    pub(crate) fn propose(&mut self, change: SeatChange) -> bool {
        let has_capacity = self.waiting.len() < self.limits.waiting_max_count;
        if has_capacity {
            self.waiting.push_back(change);
        }
        has_capacity
    }

    /// Returns whether no change is waiting, in flight or appended and not folded yet.
    pub(crate) fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.in_flight.is_none() && self.appended.is_empty()
    }

    /// Returns the record to append now, if one is due.
    pub(crate) fn poll(&mut self, now_ms: MonoMs) -> Option<Outgoing> {
        let is_due = self.is_due(now_ms);
        match &mut self.in_flight {
            Some(in_flight) if in_flight.resend_at_ms.is_some_and(|at| at <= now_ms) => {
                in_flight.resend_at_ms = None;
                Some(Outgoing {
                    seq: in_flight.seq,
                    payload: in_flight.payload.clone(),
                })
            }
            Some(_) => None,
            None if self.waiting.is_empty() || !is_due => None,
            None => Some(self.send_next(now_ms)),
        }
    }

    /// Handles the result of appending batch `seq`.
    pub(crate) fn handle_append_result<T>(
        &mut self,
        now_ms: MonoMs,
        seq: u64,
        result: &Result<T, PortError>,
    ) {
        let Some(in_flight) = self
            .in_flight
            .as_mut()
            .filter(|in_flight| in_flight.seq == seq)
        else {
            return;
        };
        match result {
            Ok(_) => return self.mark_appended(),
            Err(PortError::AnswerLost(_)) => in_flight.may_be_appended = true,
            Err(_) => {}
        }
        in_flight.resend_at_ms = Some(now_ms + RESEND_AFTER_MS);
        if matches!(result, Err(PortError::Refused(_))) {
            self.split_flight();
        }
    }

    /// Moves the later half of a large batch back into the queue, as the log may have refused it
    /// for its size.
    fn split_flight(&mut self) {
        let is_large = |in_flight: &&mut InFlightBatch| {
            in_flight.payload.len() > SPLIT_ABOVE_BYTES && in_flight.changes.len() > 1
        };
        let in_flight = self.in_flight.as_mut().filter(is_large);
        let Some(in_flight) = in_flight.filter(|in_flight| !in_flight.may_be_appended) else {
            return;
        };
        let later = in_flight.changes.split_off(in_flight.changes.len() / 2);
        in_flight.payload = payload_of(&self.seat, in_flight.seq, &in_flight.changes);
        for change in later.into_iter().rev() {
            self.waiting.push_front(change);
        }
    }

    /// Records that batch `seq` was folded; returns the time at which it was first sent.
    pub(crate) fn record_folded(&mut self, seq: u64) -> Option<MonoMs> {
        if self
            .in_flight
            .as_ref()
            .is_some_and(|in_flight| in_flight.seq == seq)
        {
            self.mark_appended();
        }
        let index = self
            .appended
            .iter()
            .position(|(appended, _)| *appended == seq)?;
        self.appended.remove(index).map(|(_, sent_ms)| sent_ms)
    }

    fn mark_appended(&mut self) {
        if let Some(in_flight) = self.in_flight.take() {
            self.appended
                .push_back((in_flight.seq, in_flight.first_sent_ms));
        }
    }

    fn is_due(&self, now_ms: MonoMs) -> bool {
        self.last_sent_ms
            .is_none_or(|sent_ms| now_ms >= sent_ms + self.limits.interval_ms)
    }

    /// Returns how many of the waiting changes go into the next batch, at least one.
    fn next_count(&self) -> usize {
        let mut bytes = 0;
        let fitting = self.waiting.iter().take_while(|change| {
            bytes += estimated_bytes(change);
            bytes <= self.limits.batch_max_bytes
        });
        let fitting_count = fitting.take(self.limits.batch_max_count).count();
        fitting_count.max(1)
    }

    fn send_next(&mut self, now_ms: MonoMs) -> Outgoing {
        let count = self.next_count();
        let seq = self.next_seq;
        let changes: Vec<SeatChange> = self.waiting.drain(..count).collect();
        let payload = payload_of(&self.seat, seq, &changes);
        self.next_seq += 1;
        self.last_sent_ms = Some(now_ms);
        self.in_flight = Some(InFlightBatch {
            seq,
            changes,
            payload: payload.clone(),
            first_sent_ms: now_ms,
            resend_at_ms: None,
            may_be_appended: false,
        });
        Outgoing { seq, payload }
    }
}

/// Size of a batch above which a refusal may be due to its size, in bytes.
const SPLIT_ABOVE_BYTES: usize = 64 * 1024;

fn payload_of(seat: &SeatId, seq: u64, changes: &[SeatChange]) -> String {
    let record = Record::Seat(SeatBatch {
        seat: seat.clone(),
        seq,
        changes: changes.to_vec(),
    });
    serde_json::to_string(&record).unwrap_or_default()
}

/// Estimated size of a change without the body or answer of a job that it carries, in bytes.
const CHANGE_BYTES: usize = 512;

fn estimated_bytes(change: &SeatChange) -> usize {
    let carried = match change {
        SeatChange::JobSubmit { job } => job.body_base64.len(),
        SeatChange::JobEnd {
            state: JobState::Ran { body_base64, .. },
            ..
        } => body_base64.len(),
        _ => 0,
    };
    CHANGE_BYTES + carried
}
