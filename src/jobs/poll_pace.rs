//! The pace of polls. A worker answers a poll as soon as a run ends, so that a leader that polls again
//! at once pays a call for nearly each end. One that is behind with its work pauses before it polls
//! a worker again: the next answer then lists the ends of the whole pause.

/// Delay of the event loop above which the leader is behind, in milliseconds.
const BEHIND_DELAY_MS: u64 = 8;
/// Part by which the pause grows with each step that is behind, in milliseconds.
const GROWTH_MS: u64 = 8;
/// Part by which it shrinks with each other step, as a divisor.
const SHRINK_DIVISOR: u64 = 8;
/// Longest pause, in milliseconds. The slots of ended runs stand idle for up to this time.
const PAUSE_MAX_MS: u64 = 200;

/// Pause between the answer to a poll and the next poll of the worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PollPace {
    pause_ms: u64,
}

impl PollPace {
    /// Adapts the pause to a step. `is_full` if it had more starts to order than a step may.
    pub(crate) fn observe_step(&mut self, is_full: bool, loop_delay_ms: u64) {
        self.pause_ms = match is_full || loop_delay_ms > BEHIND_DELAY_MS {
            true => (self.pause_ms + GROWTH_MS).min(PAUSE_MAX_MS),
            false => self.pause_ms - self.pause_ms.div_ceil(SHRINK_DIVISOR),
        };
    }

    /// Returns the pause, in milliseconds.
    pub(crate) fn pause_ms(&self) -> u64 {
        self.pause_ms
    }
}
