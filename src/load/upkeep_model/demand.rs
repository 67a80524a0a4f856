//! Cyclic demand, served by the pools as a fluid. The queues peak one after another: the demand of
//! a queue is five times its mean during its peak, and a twentieth of its mean at other times.

use std::collections::VecDeque;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::deployment::Deployment;
use super::scenario::DemandShift;

/// Demand of a queue during its peak, in thousandths of its mean.
const PEAK_PERMILLE: u64 = 5000;

/// Demand of a queue outside its peak, in thousandths of its mean.
const OFF_PEAK_PERMILLE: u64 = 50;

/// Part of the time that is a queue's peak, in thousandths, so that the mean demand is correct.
const PEAK_TIME_PERMILLE: u64 = 192;

/// Longest wait until the start of work that meets its target, in milliseconds.
const START_TARGET_MS: u64 = 5_000;

/// Longest wait before work is abandoned, in milliseconds.
const GIVE_UP_MS: u64 = 15_000;

/// Length of the windows for the distance from the fair shares, in milliseconds.
const SHARE_WINDOW_MS: u64 = 10_000;

/// Work, in thousandths of what one instance does in a second.
type WorkMilli = u64;

struct QueueModel {
    pool: usize,
    second_pool: Option<usize>,
    mean_milli: u64,
    backlog: VecDeque<(u64, WorkMilli)>,
    demand_milli: u64,
    window_demand: WorkMilli,
    window_served: WorkMilli,
}

/// Totals of the demand so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandTally {
    /// Work that arrived.
    pub arrived_milli: WorkMilli,
    /// Work that started late or was abandoned.
    pub missed_milli: WorkMilli,
    /// Sum over the windows of the distance from the fair shares, in thousandths.
    pub distance_sum_permille: u64,
    /// Largest distance from the fair shares in a window, in thousandths.
    pub distance_max_permille: u64,
    /// Number of windows.
    pub windows_count: u64,
}

/// The queues of a run.
pub struct DemandModel {
    queues: Vec<QueueModel>,
    peak_ms: u64,
    shifts: Vec<DemandShift>,
    rng: ChaCha8Rng,
    window_capacity: WorkMilli,
    /// Totals so far.
    pub tally: DemandTally,
}

impl DemandModel {
    /// Returns a model with one queue for each pool that is not spare.
    pub fn new(deployment: &Deployment, shifts: &[DemandShift], seed: u64) -> Self {
        let working = deployment.pools.iter().enumerate();
        let queues = working.filter(|(_, spec)| !spec.is_spare);
        let queues = queues.map(|(pool, spec)| QueueModel {
            pool,
            second_pool: spec.second_pool.map(usize::from),
            mean_milli: u64::from(spec.instances_count) * u64::from(spec.mean_demand_permille),
            backlog: VecDeque::new(),
            demand_milli: 0,
            window_demand: 0,
            window_served: 0,
        });
        Self {
            queues: queues.collect(),
            peak_ms: deployment.peak_ms,
            shifts: shifts.to_vec(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            window_capacity: 0,
            tally: DemandTally::default(),
        }
    }

    /// Adds the arrivals of one step and serves them with the available instances of each pool.
    pub fn step(&mut self, at_ms: u64, step_ms: u64, available_counts: &[u32]) {
        let second = |milli: u64| milli * step_ms / 1000;
        let mut free: Vec<WorkMilli> = available_counts
            .iter()
            .map(|count| second(u64::from(*count) * 1000))
            .collect();
        self.window_capacity += free.iter().sum::<u64>();
        for index in 0..self.queues.len() {
            let arrived = second(self.arriving_milli(index, at_ms));
            self.arrive(index, at_ms, arrived);
        }
        for queue in &mut self.queues {
            let pool = queue.pool;
            free[pool] -= queue.serve(at_ms, free[pool], &mut self.tally);
        }
        for queue in &mut self.queues {
            if let Some(pool) = queue.second_pool {
                free[pool] -= queue.serve(at_ms, free[pool], &mut self.tally);
            }
        }
        if at_ms % SHARE_WINDOW_MS < step_ms {
            self.close_window();
        }
    }

    /// Returns the demand for `pool` in the last step, in thousandths of an instance.
    pub fn demand_milli(&self, pool: usize) -> u32 {
        let queue = self.queues.iter().find(|queue| queue.pool == pool);
        let milli = queue.map_or(0, |queue| queue.demand_milli);
        u32::try_from(milli).unwrap_or(u32::MAX)
    }

    /// Returns whether work is waiting for `pool`.
    pub fn is_waiting(&self, pool: usize) -> bool {
        let mut queues = self.queues.iter();
        queues.any(|queue| queue.pool == pool && !queue.backlog.is_empty())
    }

    /// Returns how long the oldest work of `pool` has waited, in thousandths of the start target.
    pub fn waited_permille(&self, pool: usize, at_ms: u64) -> u32 {
        let queue = self.queues.iter().find(|queue| queue.pool == pool);
        let oldest = queue.and_then(|queue| queue.backlog.front());
        let waited_ms = oldest.map_or(0, |(arrived_ms, _)| at_ms - arrived_ms);
        u32::try_from(waited_ms * 1000 / START_TARGET_MS).unwrap_or(u32::MAX)
    }

    fn arriving_milli(&mut self, index: usize, at_ms: u64) -> u64 {
        let queues_count = self.queues.len() as u64;
        let queue = &self.queues[index];
        let cycle_ms = self.peak_ms * 1000 / PEAK_TIME_PERMILLE;
        let phase_ms = (at_ms + cycle_ms * index as u64 / queues_count) % cycle_ms;
        let level_permille = match phase_ms < self.peak_ms {
            true => PEAK_PERMILLE,
            false => OFF_PEAK_PERMILLE,
        };
        let shifts = self.shifts.iter().filter(|shift| {
            usize::from(shift.pool) == queue.pool
                && (shift.from_ms..shift.until_ms).contains(&at_ms)
        });
        let shift_permille: u64 = shifts.map(|shift| u64::from(shift.factor_permille)).sum();
        let shift_permille = match shift_permille {
            0 => 1000,
            other => other,
        };
        let noise_permille = self.rng.random_range(850..1150);
        queue.mean_milli * level_permille * shift_permille / 1_000_000 * noise_permille / 1000
    }

    fn arrive(&mut self, index: usize, at_ms: u64, arrived: WorkMilli) {
        let queue = &mut self.queues[index];
        self.tally.missed_milli += queue.give_up(at_ms);
        self.tally.arrived_milli += arrived;
        queue.window_demand += arrived;
        if arrived > 0 {
            queue.backlog.push_back((at_ms, arrived));
        }
        queue.demand_milli = queue.waiting();
    }

    fn close_window(&mut self) {
        let demands: Vec<u64> = self
            .queues
            .iter()
            .map(|queue| queue.window_demand)
            .collect();
        let fair_share = max_min(self.window_capacity, &demands);
        let shortfall: u64 = self
            .queues
            .iter()
            .zip(&fair_share)
            .map(|(queue, fair_share)| fair_share.saturating_sub(queue.window_served))
            .sum();
        let distance = shortfall * 1000 / fair_share.iter().sum::<u64>().max(1);
        self.tally.distance_sum_permille += distance;
        self.tally.distance_max_permille = self.tally.distance_max_permille.max(distance);
        self.tally.windows_count += 1;
        self.window_capacity = 0;
        for queue in &mut self.queues {
            queue.window_served = 0;
            queue.window_demand = queue.waiting();
        }
    }
}

impl QueueModel {
    fn waiting(&self) -> WorkMilli {
        self.backlog.iter().map(|(_, work)| work).sum()
    }

    fn give_up(&mut self, at_ms: u64) -> WorkMilli {
        let mut given_up = 0;
        while let Some((arrived_ms, work)) = self.backlog.front().copied() {
            if at_ms - arrived_ms <= GIVE_UP_MS {
                break;
            }
            given_up += work;
            self.backlog.pop_front();
        }
        given_up
    }

    fn serve(&mut self, at_ms: u64, free: WorkMilli, tally: &mut DemandTally) -> WorkMilli {
        let mut served = 0;
        while let Some((arrived_ms, work)) = self.backlog.front_mut() {
            let part = (*work).min(free - served);
            if part == 0 {
                break;
            }
            served += part;
            *work -= part;
            let is_late = at_ms - *arrived_ms > START_TARGET_MS;
            tally.missed_milli += u64::from(is_late) * part;
            if *work == 0 {
                self.backlog.pop_front();
            }
        }
        self.window_served += served;
        served
    }
}

/// Divides `capacity` by max-min fairness: equally, but to no queue more than its demand.
fn max_min(capacity: WorkMilli, demands: &[WorkMilli]) -> Vec<WorkMilli> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|index| demands[*index]);
    let mut left = capacity;
    let mut fair_share = vec![0; demands.len()];
    for (position, index) in order.iter().enumerate() {
        let equal_share = left / (demands.len() - position) as u64;
        fair_share[*index] = demands[*index].min(equal_share);
        left -= fair_share[*index];
    }
    fair_share
}
