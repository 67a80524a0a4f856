//! Demand of a pool as it was observed over a window: how many instances the running and waiting
//! work would keep busy, sampled at even intervals. Declared sizes and run times play no part.

use std::collections::VecDeque;

use super::budget::PERMILLE_WHOLE;
use crate::fleet::UnixMs;

/// Part of its time to start, in thousandths, from which waiting work counts as late: what is left
/// is needed to place and start it.
const LATE_WAIT_PERMILLE: u32 = 500;

/// Part of its time to start, in thousandths, from which waiting work would be late if the pool had
/// an instance less. The distance to [`LATE_WAIT_PERMILLE`] keeps instances from going back and
/// forth.
const CLOSE_WAIT_PERMILLE: u32 = 250;

/// Work of a pool at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ObservedWork {
    /// Requests running.
    pub running_count: u32,
    /// Requests waiting that can still meet their deadline.
    pub waiting_count: u32,
    /// Mean part of an instance that a request was seen to use, in thousandths.
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
    /// Part of its time to start that the longest waiting work has used up, in thousandths.
    pub waited_permille: u32,
}

/// The latest samples of one pool's demand.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DemandWindow {
    samples: VecDeque<DemandSample>,
    samples_max_count: usize,
}

impl DemandWindow {
    /// Returns an empty window that holds `samples_max_count` samples.
    pub fn new(samples_max_count: usize) -> Self {
        Self {
            samples: VecDeque::with_capacity(samples_max_count),
            samples_max_count,
        }
    }

    /// Adds a sample and drops the oldest one once the window is full.
    pub fn push(&mut self, sample: DemandSample) {
        if self.samples.len() >= self.samples_max_count {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
    }

    /// Returns the number of samples.
    pub fn samples_count(&self) -> usize {
        self.samples.len()
    }

    /// Returns the part of the time, in thousandths, for which work was late and would have kept
    /// one more instance than `instances_count` busy: the worth of another instance.
    pub fn worth_permille(&self, instances_count: u32) -> u32 {
        self.part_permille(|sample| {
            sample.waited_permille >= LATE_WAIT_PERMILLE && is_above(sample, instances_count)
        })
    }

    /// Returns the part of the time, in thousandths, for which work could have become late with one
    /// instance less than `instances_count`: the loss of one of them.
    pub fn loss_permille(&self, instances_count: u32) -> u32 {
        let left_count = instances_count.saturating_sub(1);
        self.part_permille(|sample| {
            sample.waited_permille >= CLOSE_WAIT_PERMILLE && is_above(sample, left_count)
        })
    }

    fn part_permille(&self, is_counted: impl Fn(&DemandSample) -> bool) -> u32 {
        let counted = self.samples.iter().filter(|sample| is_counted(sample));
        let counted_count = counted.count() as u64;
        match self.samples.len() as u64 {
            0 => 0,
            all_count => u32::try_from(counted_count * PERMILLE_WHOLE / all_count).unwrap_or(1000),
        }
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

    /// Returns the demand in thousandths of an instance that `part_permille` of the samples do not
    /// exceed.
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

fn is_above(sample: &DemandSample, instances_count: u32) -> bool {
    u64::from(sample.busy_instances_milli) > u64::from(instances_count) * PERMILLE_WHOLE
}

/// Demand of one pool over a recent and a long window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DemandHistory {
    /// Every sample of the last minutes.
    pub recent: DemandWindow,
    /// Some of the samples of the last hours.
    pub long: DemandWindow,
    long_every_count: u32,
    skipped_count: u32,
}

impl DemandHistory {
    /// Returns an empty history that keeps one of `long_every_count` samples for the long window.
    pub fn new(
        recent_samples_count: usize,
        long_samples_count: usize,
        long_every_count: u32,
    ) -> Self {
        Self {
            recent: DemandWindow::new(recent_samples_count),
            long: DemandWindow::new(long_samples_count),
            long_every_count,
            skipped_count: 0,
        }
    }

    /// Adds a sample.
    pub fn push(&mut self, sample: DemandSample) {
        self.recent.push(sample);
        self.skipped_count += 1;
        if self.skipped_count >= self.long_every_count {
            self.skipped_count = 0;
            self.long.push(sample);
        }
    }

    /// Forgets the recent window: the pool has changed its size, and what it was late for before
    /// no longer tells whether it is late now.
    pub fn restart_recent(&mut self) {
        self.recent = DemandWindow::new(self.recent.samples_max_count);
    }
}

/// What is known of one pool.
#[derive(Clone, Debug)]
pub struct PoolState {
    /// Demand as it was observed.
    pub demand: DemandHistory,
    /// Whether the pool holds spare instances and runs no work.
    pub is_spare: bool,
    /// Time that an instance of the pool was seen to take to drain and to come back, in
    /// milliseconds.
    pub move_ms: u64,
    /// Last time that the pool gave or got an instance.
    pub moved_at_unix_ms: Option<UnixMs>,
    /// Whether a move from or to the pool is under way.
    pub is_moving: bool,
}
