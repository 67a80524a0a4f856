//! Acknowledgements of ended runs. The number up to which a worker may drop the ends that it lists counts
//! within one incarnation. What shows that a number has met another one, or that ends are missing, is
//! logged and counted.

use crate::jobs::engine::Engine;
use crate::jobs::keys::WorkerKey;
use crate::jobs::orders::{PollOrder, PollReply};
use crate::jobs::worker::Worker;
use crate::logging::Event;

/// What became of the number in a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum AcknowledgementOutcome {
    /// The incarnation that had listed the ends has answered.
    Given,
    /// The poll went without it, as the incarnation had not answered on the connection.
    Unconfirmed,
    /// No answer arrived: the worker may have dropped the ends, or may still do so.
    Lost,
    /// Another incarnation has answered, and may have dropped ends that nobody has read.
    OtherIncarnation,
}

/// Numbers of acknowledgements by their outcomes, and of answers in which ends are missing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AcknowledgementCounts {
    /// Polls that had a number to carry.
    pub outcomes_counts: indexmap::IndexMap<AcknowledgementOutcome, u64>,
    /// Answers that lack ends which this leader has not acknowledged.
    pub missing_ends_count: u64,
}

impl AcknowledgementCounts {
    fn count(&mut self, outcome: AcknowledgementOutcome) {
        *self.outcomes_counts.entry(outcome).or_default() += 1;
    }
}

impl Engine {
    /// Takes the numbers of acknowledgements since the last call.
    pub fn take_acknowledgement_counts(&mut self) -> AcknowledgementCounts {
        std::mem::take(&mut self.acknowledgement_counts)
    }

    /// Records what an answer tells about the acknowledgement in its poll.
    pub(crate) fn note_acknowledgement(&mut self, order: &PollOrder, reply: &PollReply) {
        if order.acknowledged_through == 0 {
            return;
        }
        let is_given = reply.acknowledged_through > 0;
        let outcome = match order.target.is_answered_by(reply) {
            true if is_given => AcknowledgementOutcome::Given,
            false if is_given => AcknowledgementOutcome::OtherIncarnation,
            _ => AcknowledgementOutcome::Unconfirmed,
        };
        self.acknowledgement_counts.count(outcome);
        if outcome == AcknowledgementOutcome::OtherIncarnation {
            self.log_misdirected(order, reply);
        }
    }

    /// Records that a poll with an acknowledgement has had no answer.
    pub(crate) fn note_lost_acknowledgement(&mut self, order: &PollOrder) {
        if order.acknowledged_through > 0 {
            let outcome = AcknowledgementOutcome::Lost;
            self.acknowledgement_counts.count(outcome);
        }
    }

    /// Logs that a number of one incarnation has reached another one.
    fn log_misdirected(&self, order: &PollOrder, reply: &PollReply) {
        let worker = self.worker(order.target.worker);
        Event::new("acknowledgement_misdirected")
            .with("worker", &order.target.id)
            .with("born_unix_ms", order.target.started_unix_ms)
            .with("answered_born_unix_ms", reply.started_unix_ms)
            .with("acknowledged_through", reply.acknowledged_through)
            .with("first_end_number", first_number(reply))
            .with("running_count", reply.running.len())
            .with("unanswered_starts_count", worker.unanswered_starts_count())
            .warn();
    }

    /// Logs that an answer lacks ends which this leader has not read: someone else has acknowledged them.
    /// Only a leader that has read ends of the incarnation before, or knows it from its start, can tell.
    pub(crate) fn note_missing_ends(&mut self, key: WorkerKey, reply: &PollReply) {
        let worker = self.worker(key);
        let is_known = worker.seen_through > 0 || worker.is_known_from_start;
        let is_missing = first_number(reply) > worker.seen_through + 1;
        if !is_known || !is_missing {
            return;
        }
        Event::new("ends_missing")
            .with("worker", &worker.info.id)
            .with("born_unix_ms", reply.started_unix_ms)
            .with("expected_number", worker.seen_through + 1)
            .with("first_end_number", first_number(reply))
            .with("runs_count", worker.slots.len())
            .with("unanswered_starts_count", worker.unanswered_starts_count())
            .warn();
        self.acknowledgement_counts.missing_ends_count += 1;
    }
}

/// Returns the number of the first end in an answer; 0 if it has none.
fn first_number(reply: &PollReply) -> u64 {
    reply.ended.first().map_or(0, |end| end.number)
}

impl Worker {
    /// Returns the number of runs whose starts have had no answer that tells whether they are there.
    fn unanswered_starts_count(&self) -> usize {
        let slots = self.slots.values();
        slots.filter(|slot| slot.state.is_unanswered()).count()
    }
}
