//! Demand of a pool observed over a window: how many instances the running and waiting work would
//! keep busy, sampled at regular intervals. Declared sizes and run times play no part.

use std::collections::VecDeque;

use super::budget::PERMILLE_WHOLE;
use crate::fleet::UnixMs;

/// Work of a pool at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ObservedWork {
    /// Running requests.
    pub running_count: u32,
    /// Waiting requests that can still meet their deadline.
    pub waiting_count: u32,
    /// Mean part of an instance that a request was observed to use, in thousandths.
    pub size_instance_permille: u32,
}

impl ObservedWork {
    /// Returns the instances that this work keeps busy, in thousandths of an instance.
    pub fn busy_instances_milli(&self) -> u32 {
        let requests_count = u64::from(self.running_count) + u64::from(self.waiting_count);
        let milli = requests_count * u64::from(self.size_instance_permille);
        u32::try_from(milli).unwrap_or(u32::MAX)
    }
}

/// One sample of a pool's demand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DemandSample {
    /// Instances that the running and waiting work keeps busy, in thousandths of an instance.
    pub busy_instances_milli: u32,
    /// Part of its time to start that the longest waiting work has used up, in thousandths. The
    /// time to start is the plan's start target for urgent work, and the time to the deadline
    /// otherwise.
    pub waited_permille: u32,
}

/// The latest samples of one pool's demand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DemandWindow {
    samples: VecDeque<DemandSample>,
    samples_max_count: usize,
}

impl DemandWindow {
    /// Returns an empty window for at most `samples_max_count` samples.
    pub fn new(samples_max_count: usize) -> Self {
        Self {
            samples: VecDeque::with_capacity(samples_max_count),
            samples_max_count,
        }
    }

    /// Adds a sample. Drops the oldest one if the window is full.
    pub fn push(&mut self, sample: DemandSample) {
        if self.samples.len() >= self.samples_max_count {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
    }

    /// Returns the latest sample, or one without demand if there is none.
    pub fn latest(&self) -> DemandSample {
        self.samples.back().copied().unwrap_or_default()
    }

    /// Returns the mean demand in thousandths of an instance.
    pub fn mean_milli(&self) -> u32 {
        let busy = self
            .samples
            .iter()
            .map(|sample| sample.busy_instances_milli);
        let sum: u64 = busy.map(u64::from).sum();
        match self.samples.len() as u64 {
            0 => 0,
            count => u32::try_from(sum / count).unwrap_or(u32::MAX),
        }
    }

    /// Returns the demand, in thousandths of an instance, that is not exceeded by `part_permille`
    /// thousandths of the samples.
    pub fn quantile_milli(&self, part_permille: u32) -> u32 {
        let busy = self
            .samples
            .iter()
            .map(|sample| sample.busy_instances_milli);
        let mut sorted: Vec<u32> = busy.collect();
        sorted.sort_unstable();
        let rank = sorted.len() as u64 * u64::from(part_permille) / PERMILLE_WHOLE;
        let last = sorted.len().saturating_sub(1);
        let index = usize::try_from(rank).map_or(last, |rank| rank.min(last));
        sorted.get(index).copied().unwrap_or_default()
    }
}

/// State of one pool.
#[derive(Clone, Debug)]
pub struct PoolState {
    /// Demand observed over the last minutes.
    pub demand: DemandWindow,
    /// Whether the pool holds spare instances and runs no work.
    pub is_spare: bool,
    /// Observed time that an instance of the pool takes to drain and to return, in milliseconds.
    pub move_ms: u64,
    /// Last time at which an instance left or joined the pool by a move.
    pub moved_at_unix_ms: Option<UnixMs>,
    /// Whether a move from or to the pool is in progress.
    pub is_moving: bool,
}
