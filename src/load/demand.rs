//! Simulated demand: requests arrive at a constant rate or in a demand cycle, unevenly distributed
//! over teams and entries. Declared sizes and run times are wrong by a factor of up to ten.

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fleet::{MonoMs, Resources};

/// A queue of the simulated deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueSpec {
    /// Pool that runs its requests.
    pub pool: usize,
    /// Whether it accepts requests without a team.
    pub is_open_to_all: bool,
    /// Whether its requests must start within the start target.
    pub is_urgent: bool,
    /// Time from the arrival of a request to its deadline.
    pub deadline_ms: u64,
    /// Median run time.
    pub run_ms: u64,
}

/// How the demand of a queue varies over time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pattern {
    /// Constant rate.
    Constant,
    /// The queues peak one after another, each for the same time.
    DemandCycle {
        /// Length of one peak.
        peak_ms: u64,
        /// Number of peaks in a cycle.
        peaks_count: u64,
        /// Position of this queue's peak in the cycle.
        peak: u64,
        /// Demand over the mean during the queue's peak.
        high_factor: f64,
        /// Demand over the mean at other times.
        low_factor: f64,
    },
}

impl Pattern {
    fn factor(&self, now_ms: MonoMs) -> f64 {
        match *self {
            Self::Constant => 1.0,
            Self::DemandCycle {
                peak_ms,
                peaks_count,
                peak,
                high_factor,
                low_factor,
            } => match now_ms / peak_ms % peaks_count == peak {
                true => high_factor,
                false => low_factor,
            },
        }
    }
}

/// Demand of one queue.
#[derive(Clone, Debug, PartialEq)]
pub struct Stream {
    /// Index of the queue.
    pub queue: usize,
    /// Mean arrivals per second.
    pub mean_per_s: f64,
    /// Variation over time.
    pub pattern: Pattern,
    /// Share of each team in the arrivals; only the ratios matter.
    pub team_parts: Vec<f64>,
}

/// One request of the simulated callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When it first arrives.
    pub at_ms: MonoMs,
    /// Entry to which the load balancer sends it.
    pub entry: usize,
    /// Team, or `None` for a queue that is open to all.
    pub team: Option<usize>,
    /// Queue.
    pub queue: usize,
    /// Actual size.
    pub size: Resources,
    /// Size that the caller declares.
    pub declared_size: Resources,
    /// Actual run time.
    pub run_ms: u64,
    /// Run time that the caller declares.
    pub declared_run_ms: u64,
}

/// Actual size of a request: an eighth of a worker with 32 cores and 128 GB.
pub const REQUEST_SIZE: Resources = Resources {
    cores_milli: 4_000,
    memory_mb: 16_000,
    accelerators_count: 0,
};

/// Largest factor between declared and actual sizes and run times, in either direction.
const DECLARED_FACTOR_MAX: f64 = 10.0;

/// Standard deviation of the logarithm of run times.
const RUN_SIGMA: f64 = 0.5;

/// Exponent of the Zipf distribution of a team's callers over the entries.
const ENTRY_SKEW: f64 = 1.0;

/// Generates all arrivals up to `duration_ms`, in order of time.
pub fn arrivals(
    seed: u64,
    duration_ms: MonoMs,
    entries_count: usize,
    queues: &[QueueSpec],
    streams: &[Stream],
) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut all: Vec<Arrival> = Vec::new();
    for stream in streams {
        let mut at_ms = 0.0;
        loop {
            let factor = stream.pattern.factor(at_ms as u64).max(1e-3);
            let rate_per_ms = stream.mean_per_s * factor / 1_000.0;
            // Steps of at most 10 ms, so that a change of the rate takes effect in time.
            let gap_ms = -(1.0 - rng.random_range(0.0..1.0f64)).ln() / rate_per_ms;
            at_ms += gap_ms.min(10.0);
            match gap_ms {
                _ if at_ms >= duration_ms as f64 => break,
                gap_ms if gap_ms > 10.0 => {}
                _ => {
                    let spec = &queues[stream.queue];
                    all.push(arrival(&mut rng, at_ms as u64, entries_count, spec, stream));
                }
            }
        }
    }
    all.sort_by_key(|arrival| arrival.at_ms);
    all
}

fn arrival(
    rng: &mut ChaCha8Rng,
    at_ms: MonoMs,
    entries_count: usize,
    queue: &QueueSpec,
    stream: &Stream,
) -> Arrival {
    let team = pick_weighted(rng, &stream.team_parts);
    let run_ms = (queue.run_ms as f64 * (normal(rng) * RUN_SIGMA).exp()).max(1.0);
    let declared_factor = DECLARED_FACTOR_MAX.powf(rng.random_range(-1.0..1.0));
    let declared = |amount: u64| (amount as f64 * declared_factor) as u64;
    Arrival {
        at_ms,
        entry: pick_entry(rng, entries_count, team + stream.queue),
        team: (!queue.is_open_to_all).then_some(team),
        queue: stream.queue,
        size: REQUEST_SIZE,
        declared_size: Resources {
            cores_milli: declared(REQUEST_SIZE.cores_milli),
            memory_mb: declared(REQUEST_SIZE.memory_mb),
            accelerators_count: 0,
        },
        run_ms: run_ms as u64,
        declared_run_ms: declared(run_ms as u64),
    }
}

/// Draws an entry. The callers of each team prefer different entries, by Zipf's law.
fn pick_entry(rng: &mut ChaCha8Rng, entries_count: usize, shift: usize) -> usize {
    let parts: Vec<f64> = (0..entries_count)
        .map(|rank| 1.0 / ((rank + 1) as f64).powf(ENTRY_SKEW))
        .collect();
    (pick_weighted(rng, &parts) + shift * 3) % entries_count
}

fn pick_weighted(rng: &mut ChaCha8Rng, parts: &[f64]) -> usize {
    let mut left = rng.random_range(0.0..parts.iter().sum::<f64>());
    for (index, part) in parts.iter().enumerate() {
        left -= part;
        if left < 0.0 {
            return index;
        }
    }
    parts.len() - 1
}

/// Draws from the standard normal distribution (Box-Muller transform).
fn normal<R: Rng>(rng: &mut R) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random_range(0.0..1.0f64)).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random_range(0.0..1.0f64)).cos()
}
