//! The leases of the runs at a worker. Their ends are times on the worker's clock, which begins anew
//! with each incarnation and may run slow.

use crate::jobs::worker::{Worker, LATE_CALL_MS};
use crate::logging::Event;

/// Allowance for a worker's clock that runs slow, in thousandths; includes a reserve.
const CLOCK_DRIFT_PERMILLE: u64 = 30;
/// Reserve added to the computed end of a lease, in milliseconds: a worker may notice late that a lease
/// has expired.
pub(crate) const LEASE_EXPIRY_RESERVE_MS: u64 = 500;

/// A reading of the worker's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClockReading {
    /// Time on the worker's clock, in milliseconds.
    pub(crate) worker_ms: u64,
    /// Time at which the answer arrived, on the local monotonic clock, in milliseconds.
    pub(crate) read_ms: u64,
}

impl Worker {
    /// Estimates the time on the worker's clock at `now_ms` from the last reading; the actual time
    /// may be later. Returns `None` before the first reading.
    pub(crate) fn worker_time_ms(&self, now_ms: u64) -> Option<u64> {
        let clock = self.clock?;
        Some(clock.worker_ms + now_ms.saturating_sub(clock.read_ms))
    }

    /// Returns the time on the local monotonic clock at which all leases of the worker have surely
    /// expired.
    pub(crate) fn leases_expired_at_ms(&self) -> u64 {
        match self.clock {
            // No lease was given yet, or its end is unknown until the next poll.
            None => u64::MAX,
            Some(clock) => {
                let left_ms = self.leased_until_worker_ms.saturating_sub(clock.worker_ms);
                let expired_ms = clock.read_ms + lease_time_ms(left_ms);
                expired_ms.max(self.unconfirmed_lease_end_ms)
            }
        }
    }

    /// Extends the leases that are counted for its runs to `lease_ms` from now. The last call that was meant
    /// for an earlier incarnation, whose clock was ahead, extends them by `lease_max_ms` from its arrival.
    pub(crate) fn count_lease(&mut self, lease_ms: u64, lease_max_ms: u64, now_ms: u64) {
        let own_end_ms = now_ms + lease_ms;
        let late_end_ms = self.late_calls_until_ms.map_or(0, |ms| ms + lease_max_ms);
        let left_ms = own_end_ms.max(late_end_ms) - now_ms;
        let end_worker_ms = self.worker_time_ms(now_ms).unwrap_or(0) + left_ms;
        self.leased_until_worker_ms = self.leased_until_worker_ms.max(end_worker_ms);
    }

    /// Counts the longest lease for a run whose order has had no answer.
    pub(crate) fn count_unconfirmed_lease(&mut self, lease_max_ms: u64, now_ms: u64) {
        let end_ms = now_ms + lease_time_ms(lease_max_ms);
        self.unconfirmed_lease_end_ms = self.unconfirmed_lease_end_ms.max(end_ms);
    }

    /// Counts no longer what [`count_unconfirmed_lease`](Self::count_unconfirmed_lease) has counted before
    /// a poll was sent at `sent_ms`, which the incarnation has answered.
    pub(crate) fn confirm_leases(&mut self, lease_max_ms: u64, sent_ms: u64) {
        if self.unconfirmed_lease_end_ms <= sent_ms + lease_time_ms(lease_max_ms) {
            self.unconfirmed_lease_end_ms = 0;
        }
    }

    /// Returns whether the answer to a call that was sent at `sent_ms` is of a later incarnation, as its
    /// clock is behind that of the known one.
    pub(crate) fn is_later_incarnation(&self, clock_ms: u64, sent_ms: u64) -> bool {
        let Some(clock) = self.clock.filter(|clock| clock.read_ms <= sent_ms) else {
            return false;
        };
        let elapsed_ms = sent_ms - clock.read_ms;
        let least_ms = elapsed_ms - elapsed_ms * CLOCK_DRIFT_PERMILLE / 1_000;
        clock_ms < clock.worker_ms + least_ms
    }

    /// Expects the calls of this leader that have had no answer at the incarnation that is followed.
    pub(crate) fn expect_lost_calls(&mut self) {
        let until_ms = self.lost_lease_ms.map(|lost_ms| lost_ms + LATE_CALL_MS);
        self.late_calls_until_ms = self.late_calls_until_ms.max(until_ms);
    }

    /// Counts leases on the clock of another incarnation from now on, and takes no further tasks until it
    /// has been polled.
    pub(crate) fn follow_clock(&mut self, clock_ms: u64, now_ms: u64) {
        self.is_fenced = false;
        self.followed_since_ms = now_ms;
        self.clock = Some(ClockReading {
            worker_ms: clock_ms,
            read_ms: now_ms,
        });
        self.leased_until_worker_ms = 0;
    }

    /// Adds the time until all leases of the worker have expired, if it has any, to a log event.
    pub(crate) fn with_lease_left(&self, event: Event, now_ms: u64) -> Event {
        match self.leases_expired_at_ms() {
            u64::MAX => event,
            expired_ms => event.with("lapse_in_ms", expired_ms.saturating_sub(now_ms)),
        }
    }

    /// Records a reading of the worker's clock in the answer to a call that was sent at `sent_ms`. Of a
    /// call that was sent before leases count on another clock, the former incarnation may have answered.
    pub(crate) fn read_clock(&mut self, worker_ms: u64, sent_ms: u64, now_ms: u64) {
        let is_newer = self.clock.is_none_or(|clock| worker_ms >= clock.worker_ms);
        if is_newer && sent_ms >= self.followed_since_ms {
            self.clock = Some(ClockReading {
                worker_ms,
                read_ms: now_ms,
            });
        }
    }
}

/// Returns the time after which a lease of this length has surely expired, in milliseconds.
fn lease_time_ms(lease_ms: u64) -> u64 {
    lease_ms + lease_ms * CLOCK_DRIFT_PERMILLE / 1_000 + LEASE_EXPIRY_RESERVE_MS
}
