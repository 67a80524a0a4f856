//! Demand over time: whose turn it is and how much each stream asks for.

use indexmap::IndexSet;

use crate::fleet_file::{DemandStream, FleetFile};

impl FleetFile {
    /// Returns the queues that demand names, in the order in which they take turns.
    pub fn queues_in_turn(&self) -> IndexSet<&str> {
        self.demand
            .iter()
            .map(|stream| stream.queue.as_str())
            .collect()
    }

    /// Returns the queue whose turn it is `at_ms` after the start.
    pub fn queue_in_turn(&self, at_ms: u64) -> Option<&str> {
        let queues = self.queues_in_turn();
        let turns_done = at_ms.checked_div(self.turns.turn_ms)?;
        let count = u64::try_from(queues.len()).ok()?;
        let at = usize::try_from(turns_done.checked_rem(count)?).ok()?;
        queues.get_index(at).copied()
    }

    /// Returns the requests a second that `stream` asks for `at_ms` after the start, in thousandths.
    pub fn rate_milli_per_s(&self, stream: &DemandStream, at_ms: u64) -> u64 {
        let part_permille = match self.queue_in_turn(at_ms) {
            Some(queue) if queue == stream.queue => self.turns.burst_permille,
            _ => self.turns.idle_permille,
        };
        u64::from(stream.mean_per_s) * u64::from(part_permille)
    }
}
