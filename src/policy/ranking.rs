//! Order in which the first requests of the lanes are offered a free slot.

use std::cmp::Ordering;

use crate::fleet::MonoMs;
use crate::policy::keys::RequestKey;
use crate::policy::lanes::LaneKey;

/// Rank of a lane for a free slot. The lowest rank is served first.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rank {
    /// Zero for urgent work within its limit, else one.
    pub(crate) class: u8,
    /// Normalised usage level of the team.
    pub(crate) level: f64,
    /// Deadline of the first request of the lane.
    pub(crate) deadline_ms: MonoMs,
}

impl Rank {
    fn compare(&self, other: &Self) -> Ordering {
        self.class
            .cmp(&other.class)
            .then(self.level.total_cmp(&other.level))
            .then(self.deadline_ms.cmp(&other.deadline_ms))
    }
}

/// The first request of a lane, if it may be started.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) rank: Rank,
    pub(crate) lane_key: LaneKey,
    pub(crate) key: RequestKey,
}

/// Returns the index of the candidate with the lowest rank, the earlier one of equals.
/// `candidates` must not be empty.
pub(crate) fn index_of_lowest(candidates: &[Candidate]) -> usize {
    (1..candidates.len()).fold(0, |best, index| {
        match candidates[index].rank.compare(&candidates[best].rank) {
            Ordering::Less => index,
            _ => best,
        }
    })
}
