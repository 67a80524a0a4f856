//! A bound on the log lines about one kind of event that clients cause, so that they can neither fill
//! the log nor keep other lines out of it.

use std::cell::Cell;

/// Length of the time to which the bound applies, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Most lines of a kind in each second, and how many were left out.
#[derive(Debug)]
pub struct LineQuota {
    lines_max_count: u64,
    window: Cell<u64>,
    used_count: Cell<u64>,
    left_out_count: Cell<u64>,
}

impl LineQuota {
    /// Allows `lines_max_count` lines a second.
    pub fn new(lines_max_count: u64) -> Self {
        Self {
            lines_max_count,
            window: Cell::new(0),
            used_count: Cell::new(0),
            left_out_count: Cell::new(0),
        }
    }

    /// Returns whether a line may be logged at `now_ms`, and counts it.
    pub fn take(&self, now_ms: u64) -> bool {
        let window = now_ms / WINDOW_MS;
        if self.window.replace(window) != window {
            self.used_count.set(0);
        }
        let is_allowed = self.used_count.get() < self.lines_max_count;
        match is_allowed {
            true => self.used_count.set(self.used_count.get() + 1),
            false => self.left_out_count.set(self.left_out_count.get() + 1),
        }
        is_allowed
    }

    /// Returns how many lines were left out since the last call, once the second in which that happened
    /// is over; else 0.
    pub fn take_left_out(&self, now_ms: u64) -> u64 {
        match self.window.get() == now_ms / WINDOW_MS {
            true => 0,
            false => self.left_out_count.take(),
        }
    }
}
