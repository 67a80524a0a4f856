//! Measures of the share experiment: the ideal allocation, computed by progressive filling, and the
//! distance of the actual allocation from it over windows of time.

use serde::Serialize;

/// Returns the number of requests that each team should have running.
///
/// Slots are assigned one by one, each to the team with the fewest slots for its weight among the
/// teams that have more requests for a pool with free capacity. `servable[team][pool]` counts the
/// requests that can still be served in time.
pub fn ideal_running(servable: &[Vec<u32>], weights: &[u32], slots_of_pools: &[u32]) -> Vec<f64> {
    let mut servable: Vec<Vec<u32>> = servable.to_vec();
    let mut free: Vec<u32> = slots_of_pools.to_vec();
    let mut assigned = vec![0.0; weights.len()];
    loop {
        let servable_in = |pool: usize| servable.iter().map(|of| of[pool]).sum::<u32>();
        let slack: Vec<i64> = (0..free.len())
            .map(|pool| i64::from(free[pool]) - i64::from(servable_in(pool)))
            .collect();
        let best_pool = |team: usize| {
            (0..free.len())
                .filter(|pool| free[*pool] > 0 && servable[team][*pool] > 0)
                .max_by_key(|pool| slack[*pool])
        };
        let next = (0..weights.len())
            .filter_map(|team| Some((team, best_pool(team)?)))
            .min_by(|left, right| {
                let level = |team: usize| (assigned[team] + 1.0) / f64::from(weights[team]);
                level(left.0).total_cmp(&level(right.0))
            });
        let Some((team, pool)) = next else {
            return assigned;
        };
        assigned[team] += 1.0;
        free[pool] -= 1;
        servable[team][pool] -= 1;
    }
}

/// Distance of the actual from the ideal shares over windows of one length, in thousandths of the
/// capacity of the pools that were full.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ShareDistance {
    /// Length of a window.
    pub window_ms: u64,
    /// Windows in which some pool was full for at least half of the time.
    pub windows_count: u64,
    /// Largest distance of any team in any window.
    pub largest_permille: f64,
    /// Mean over the windows of the capacity that ran requests of the wrong team.
    pub mean_misplaced_permille: f64,
}

/// Accumulates samples into windows.
#[derive(Clone, Debug)]
pub struct ShareMeter {
    distance: ShareDistance,
    samples_per_window: u64,
    samples_count: u64,
    full_samples_count: u64,
    full_slots: f64,
    difference: Vec<f64>,
    misplaced: Vec<f64>,
}

impl ShareMeter {
    /// Returns a meter for `teams_count` teams that is sampled every `sample_ms`.
    pub fn new(window_ms: u64, sample_ms: u64, teams_count: usize) -> Self {
        Self {
            distance: ShareDistance {
                window_ms,
                ..ShareDistance::default()
            },
            samples_per_window: window_ms / sample_ms,
            samples_count: 0,
            full_samples_count: 0,
            full_slots: 0.0,
            difference: vec![0.0; teams_count],
            misplaced: Vec::new(),
        }
    }

    /// Adds one sample; `full_slots` is the number of slots of the pools that are full.
    pub fn sample(&mut self, actual: &[f64], ideal: &[f64], full_slots: f64) {
        if full_slots > 0.0 {
            self.full_samples_count += 1;
            for (sum, (actual, ideal)) in self.difference.iter_mut().zip(actual.iter().zip(ideal)) {
                *sum += actual - ideal;
            }
        }
        self.full_slots += full_slots;
        self.samples_count += 1;
        if self.samples_count == self.samples_per_window {
            self.close_window();
        }
    }

    /// Returns the figures of all complete windows.
    pub fn distance(&self) -> ShareDistance {
        ShareDistance {
            mean_misplaced_permille: self.misplaced.iter().sum::<f64>()
                / self.distance.windows_count.max(1) as f64,
            ..self.distance
        }
    }

    /// Returns the misplaced capacity of each complete window, in thousandths.
    pub fn misplaced_by_window(&self) -> &[f64] {
        &self.misplaced
    }

    fn close_window(&mut self) {
        if self.full_samples_count * 2 >= self.samples_count {
            let permille = |difference: f64| difference.abs() / self.full_slots * 1_000.0;
            let distances: Vec<f64> = self.difference.iter().copied().map(permille).collect();
            let largest = distances.iter().copied().fold(0.0, f64::max);
            self.distance.largest_permille = self.distance.largest_permille.max(largest);
            self.misplaced.push(distances.iter().sum::<f64>() / 2.0);
            self.distance.windows_count += 1;
        } else {
            self.misplaced.push(0.0);
        }
        self.samples_count = 0;
        self.full_samples_count = 0;
        self.full_slots = 0.0;
        self.difference.fill(0.0);
    }
}
