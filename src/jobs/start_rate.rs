//! The rate at which this leader can start tasks. A step orders a bounded number of starts; while
//! steps reach that bound, the time that they take shows how many starts a second the leader's
//! process can carry out.

/// Time over which starts are counted for one measurement, in milliseconds.
const WINDOW_MS: u64 = 60;
/// Time after the last step that reached its bound for which the rate limits what is planned, in
/// milliseconds.
const LIMITED_FOR_MS: u64 = 300;

/// Measured rate of starts.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StartRate {
    starts_per_s: u64,
    /// Starts of the last step, if it reached its bound, and the time of that step.
    last_full_step: Option<(u64, u64)>,
    /// Starts and time of the present window.
    window_count: u64,
    window_ms: u64,
    limited_until_ms: u64,
}

impl StartRate {
    /// Adds a step that ordered `starts_count` starts; `is_full` if it left some for the next step.
    pub(crate) fn observe_step(&mut self, starts_count: u64, is_full: bool, now_ms: u64) {
        if let Some((count, at_ms)) = self.last_full_step.take() {
            self.window_count += count;
            self.window_ms += now_ms.saturating_sub(at_ms);
        }
        if self.window_ms >= WINDOW_MS {
            self.end_window();
        }
        if is_full {
            self.last_full_step = Some((starts_count, now_ms));
            self.limited_until_ms = now_ms + LIMITED_FOR_MS;
        }
    }

    fn end_window(&mut self) {
        let measured = self.window_count * 1_000 / self.window_ms;
        self.starts_per_s = match self.starts_per_s {
            0 => measured,
            known => known.midpoint(measured),
        };
        (self.window_count, self.window_ms) = (0, 0);
    }

    /// Returns the starts a second that this leader can carry out, if there are more to order than
    /// that; `None` if it keeps up.
    pub(crate) fn limit_per_s(&self, now_ms: u64) -> Option<u64> {
        let is_limited = now_ms < self.limited_until_ms && self.starts_per_s > 0;
        is_limited.then_some(self.starts_per_s)
    }
}
