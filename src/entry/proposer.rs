//! The proposer batches this seat's changes into numbered records, one append in flight at a time.
//! An append whose answer was lost is sent again under the same number: the fold takes the first
//! that lands and voids the others. A large batch that was only ever refused is sent in parts.

use std::collections::VecDeque;

use crate::{
    fleet::MonoMs,
    ledger::{JobState, Record, SeatBatch, SeatChange, SeatId},
    ports::PortError,
};

/// Time after which an append whose answer was lost is sent again.
const RESEND_AFTER_MS: u64 = 250;

/// A batch on its way into the ledger.
#[derive(Clone, Debug)]
struct InFlightBatch {
    seq: u64,
    changes: Vec<SeatChange>,
    payload: String,
    first_sent_ms: MonoMs,
    resend_at_ms: Option<MonoMs>,
    /// Whether the answer to one of the sendings was lost, so that its content is fixed for good.
    may_be_appended: bool,
}

/// Bounds of the proposals.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProposerLimits {
    /// Changes that may wait.
    pub(crate) waiting_max_count: usize,
    /// Changes in one batch.
    pub(crate) batch_max_count: usize,
    /// Bytes of one batch.
    pub(crate) batch_max_bytes: usize,
    /// Time between two batches.
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
    /// Sent and not known to have landed.
    in_flight: Option<InFlightBatch>,
    /// Landed and not folded yet: number and time of the first sending.
    appended: VecDeque<(u64, MonoMs)>,
}

/// A record to append.
pub(crate) struct Outgoing {
    pub(crate) seq: u64,
    pub(crate) payload: String,
}

impl Proposer {
    /// Starts the proposals of a new seat.
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

    /// Queues a change; returns whether there was room.
    pub(crate) fn propose(&mut self, change: SeatChange) -> bool {
        let has_capacity = self.waiting.len() < self.limits.waiting_max_count;
        if has_capacity {
            self.waiting.push_back(change);
        }
        has_capacity
    }

    /// Returns how many changes wait or are on their way.
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

    /// Takes in how the append of batch `seq` ended.
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

    /// Takes the later half of a large batch back, as the log may refuse it for its size.
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

    /// Takes in that batch `seq` was folded; returns when it was first sent.
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

    /// Returns how many of the waiting changes fit in one batch; one always does.
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

/// Bytes of a batch above which a refusal may be for its size.
const SPLIT_ABOVE_BYTES: usize = 64 * 1024;

fn payload_of(seat: &SeatId, seq: u64, changes: &[SeatChange]) -> String {
    let record = Record::Seat(SeatBatch {
        seat: seat.clone(),
        seq,
        changes: changes.to_vec(),
    });
    serde_json::to_string(&record).unwrap_or_default()
}

/// Bytes that any change takes beside what it carries of a job.
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
