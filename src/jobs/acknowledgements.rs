//! Acknowledgements of ended runs. The number up to which a worker may drop the ends that it lists counts
//! within one incarnation, so that it is withheld while that one may have ended. What shows that a number has
//! met another incarnation, or that ends are missing, is logged and counted.

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
    /// The poll went without it, as another incarnation may have runs that this leader does not know.
    Withheld,
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
    /// Times from the first poll that went without a number to the one that carried it, in milliseconds.
    pub deferrals_ms: Vec<u64>,
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

    /// Returns the number up to which the next poll of a worker acknowledges ends, or 0. A number is sent
    /// again until the worker has answered it.
    pub(crate) fn next_acknowledgement(&mut self, key: WorkerKey) -> u64 {
        let worker = self.worker(key);
        match worker.has_unacknowledged_ends() {
            false => 0,
            true if worker.withholds_acknowledgement() => {
                let outcome = AcknowledgementOutcome::Withheld;
                self.acknowledgement_counts.count(outcome);
                self.defer_acknowledgement(key, self.now_ms);
                0
            }
            true => worker.persisted_through,
        }
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
        match outcome {
            AcknowledgementOutcome::OtherIncarnation => self.log_misdirected(order, reply),
            AcknowledgementOutcome::Given => self.end_deferral(order),
            _ => self.defer_acknowledgement(order.target.worker, order.sent_ms),
        }
    }

    /// Records that a poll sent at `sent_ms` had to go without its number.
    fn defer_acknowledgement(&mut self, key: WorkerKey, sent_ms: u64) {
        let deferred_since_ms = &mut self.worker_mut(key).deferred_since_ms;
        deferred_since_ms.get_or_insert(sent_ms);
    }

    /// Records for how long an acknowledgement was deferred that has been given.
    fn end_deferral(&mut self, order: &PollOrder) {
        let deferred_since_ms = self
            .worker_mut(order.target.worker)
            .deferred_since_ms
            .take();
        if let Some(since_ms) = deferred_since_ms {
            let deferral_ms = order.sent_ms.saturating_sub(since_ms);
            self.acknowledgement_counts.deferrals_ms.push(deferral_ms);
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
            .with("unsettled_starts_count", worker.unsettled_starts_count())
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
            .with("unsettled_starts_count", worker.unsettled_starts_count())
            .warn();
        self.acknowledgement_counts.missing_ends_count += 1;
    }
}

/// Returns the number of the first end in an answer; 0 if it has none.
fn first_number(reply: &PollReply) -> u64 {
    reply.ended.first().map_or(0, |end| end.number)
}

impl Worker {
    /// Returns whether it lists ends that it may drop.
    fn has_unacknowledged_ends(&self) -> bool {
        self.persisted_through > self.dropped_through
    }

    /// Returns whether ends may not be acknowledged for now. If the incarnation that has listed them has
    /// ended, the next one may have run what was ordered here, and its ends have the same numbers. That is
    /// possible unless the incarnation has answered the last call, and all starts are settled.
    pub(crate) fn withholds_acknowledgement(&self) -> bool {
        let may_have_ended = !self.is_fenced || self.failed_polls_count > 0;
        let has_unsettled_start = || self.slots.values().any(|slot| slot.state.is_unsettled());
        // While ends are left out of the list, only their acknowledgement lets polls settle a start.
        let waits_for_start = || !self.has_more_ends && has_unsettled_start();
        self.has_unacknowledged_ends() && (may_have_ended || waits_for_start())
    }

    /// Returns the number of runs whose starts may have been carried out, now or later.
    fn unsettled_starts_count(&self) -> usize {
        let slots = self.slots.values();
        slots.filter(|slot| slot.state.is_unsettled()).count()
    }
}
