//! Demand over time: which queue is at its peak and how much each stream asks for.

use indexmap::IndexSet;

use crate::fleet_file::{DemandStream, FleetFile};

impl FleetFile {
    /// Returns the queues that have demand, in the order in which their demand peaks.
    pub fn queues_in_peak_order(&self) -> IndexSet<&str> {
        self.demand
            .iter()
            .map(|stream| stream.queue.as_str())
            .collect()
    }

    /// Returns the queue whose demand peaks `at_ms` after the start.
    pub fn peak_queue(&self, at_ms: u64) -> Option<&str> {
        let queues = self.queues_in_peak_order();
        let peaks_done = at_ms.checked_div(self.peaks.peak_ms)?;
        let count = u64::try_from(queues.len()).ok()?;
        let at = usize::try_from(peaks_done.checked_rem(count)?).ok()?;
        queues.get_index(at).copied()
    }

    /// Returns the rate of `stream` at `at_ms` after the start, in thousandths of a request per
    /// second.
    pub fn rate_milli_per_s(&self, stream: &DemandStream, at_ms: u64) -> u64 {
        let factor_permille = match self.peak_queue(at_ms) {
            Some(queue) if queue == stream.queue => self.peaks.burst_permille,
            _ => self.peaks.idle_permille,
        };
        u64::from(stream.mean_per_s) * u64::from(factor_permille)
    }
}
