//! Which reports on the progress of waves are still worth writing. A report that the store has not
//! taken is retried; it must not replace a newer one on the same wave.

use std::collections::HashMap;

/// A report on the progress of a wave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaveReport {
    /// Number of the wave.
    pub wave: u64,
    /// Whether all its instances have been maintained.
    pub is_complete: bool,
}

/// The newest report on each wave.
#[derive(Clone, Debug, Default)]
pub struct WaveReports {
    newest: HashMap<u64, u64>,
    last_number: u64,
    /// Offset after the newest report that the store has taken; 0 before the first.
    pub(crate) end_offset: u64,
}

impl WaveReports {
    /// Adds a report on a wave and returns its number.
    pub fn add(&mut self, wave: u64) -> u64 {
        self.last_number += 1;
        self.newest.insert(wave, self.last_number);
        self.last_number
    }

    /// Returns whether no newer report on the wave was added.
    pub fn is_newest(&self, wave: u64, number: u64) -> bool {
        self.newest.get(&wave) == Some(&number)
    }
}
