//! Delay of the event loop: how much later than planned a task of this process continues. It grows
//! as soon as there is more work than the processor can do.

/// Part of the difference to a new delay by which the mean changes, as a divisor.
const MEAN_DIVISOR: u64 = 8;
/// Microseconds of a millisecond. The mean is kept in microseconds, so that small delays count.
const US_PER_MS: u64 = 1_000;

/// Recent delays of the event loop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoopDelay {
    mean_us: u64,
    max_ms: u64,
}

impl LoopDelay {
    /// Adds the delay of a task that planned to sleep for `planned_ms` and slept for `slept_ms`.
    pub fn observe(&mut self, planned_ms: u64, slept_ms: u64) {
        let delay_ms = slept_ms.saturating_sub(planned_ms);
        let delay_us = delay_ms.saturating_mul(US_PER_MS);
        self.max_ms = self.max_ms.max(delay_ms);
        self.mean_us = match delay_us >= self.mean_us {
            true => self.mean_us + (delay_us - self.mean_us) / MEAN_DIVISOR,
            false => self.mean_us - (self.mean_us - delay_us) / MEAN_DIVISOR,
        };
    }

    /// Returns the smoothed delay, in milliseconds.
    pub fn mean_ms(&self) -> u64 {
        self.mean_us / US_PER_MS
    }

    /// Returns the longest delay since the last call, in milliseconds.
    pub fn take_max_ms(&mut self) -> u64 {
        std::mem::take(&mut self.max_ms)
    }
}
