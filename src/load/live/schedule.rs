//! The schedule of a load test: all requests with their times, streams and entries, generated from
//! a seed before the test starts. The arrivals do not depend on the answers (open loop).

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::{format_smolstr, SmolStr};
use uuid::Builder;

use crate::fleet::{QueueName, Resources, TeamName, UnixMs};
use crate::fleet_file::{DemandStream, FleetFile};

/// Largest step after which a varying rate is evaluated again, in milliseconds.
const RATE_STEP_MS: f64 = 10.0;
/// Random bytes of a request id.
const ID_BYTES: usize = 10;
/// Exponent of the Zipf distribution of a stream's callers over the entries.
const ENTRY_SKEW: f64 = 1.0;
/// Distance between the preferred entries of consecutive streams.
const ENTRY_SHIFT: usize = 3;
const PERMILLE: u32 = 1_000;
const US_PER_MS: f64 = 1_000.0;

/// Arrival rates of the requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrivals {
    /// The demand cycle of the fleet file, scaled by a factor in thousandths.
    DemandCycle {
        /// Factor of all rates, in thousandths.
        scale_permille: u32,
    },
    /// A constant rate, divided among the streams in proportion to their means.
    Flat {
        /// Requests per second.
        rate_per_s: u32,
    },
}

/// Overrides of the streams' properties, and additional behaviour of the callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mix {
    /// Run time of all requests, in place of the streams'.
    pub run_ms: Option<u64>,
    /// Length of all bodies, in place of the streams'.
    pub body_bytes: Option<u64>,
    /// Part of the requests that are idempotent, in thousandths, in place of the streams'.
    pub idempotent_permille: Option<u32>,
    /// Part of the requests that are submitted for later, in thousandths.
    pub later_permille: u32,
    /// Part of the requests that their callers cancel, in thousandths.
    pub cancel_permille: u32,
    /// Part of the requests that are sent to two entries at the same time, in thousandths.
    pub twin_permille: u32,
}

/// Settings of a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScheduleSettings {
    /// Seed of all random choices.
    pub seed: u64,
    /// Length of the schedule.
    pub duration_ms: u64,
    /// Arrival rates.
    pub arrivals: Arrivals,
    /// Overrides of the streams' properties.
    pub mix: Mix,
    /// Number of entries that receive the requests.
    pub entries_count: usize,
    /// Whether the callers of each stream prefer some entries.
    pub is_skewed: bool,
}

/// One request of the schedule.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledRequest {
    /// Time at which the request is due, in microseconds after the start.
    pub at_us: u64,
    /// Random part of the request id.
    pub id_bytes: [u8; ID_BYTES],
    /// Entry that the balancer prefers for it.
    pub entry: usize,
    /// Queue.
    pub queue: QueueName,
    /// Team, or `None` for a queue that is open to all.
    pub team: Option<TeamName>,
    /// Declared size.
    pub size: Resources,
    /// Run time.
    pub run_ms: u64,
    /// Time from when the request is due to its deadline.
    pub deadline_ms: u64,
    /// Length of the body.
    pub body_bytes: u64,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
    /// Whether it is submitted for later and its result is polled.
    pub is_for_later: bool,
    /// Time after which the caller cancels it, in milliseconds after it is due.
    pub cancel_after_ms: Option<u64>,
    /// Second entry to which it is sent at the same time.
    pub twin_entry: Option<usize>,
}

impl ScheduledRequest {
    /// Returns the request id: a UUIDv7 of the time at which the request is due.
    pub fn request_id(&self, started_unix_ms: UnixMs) -> SmolStr {
        let sent_unix_ms = started_unix_ms + self.at_us / 1_000;
        let id = Builder::from_unix_timestamp_millis(sent_unix_ms, &self.id_bytes).into_uuid();
        format_smolstr!("{}", id.hyphenated())
    }
}

/// Generates the schedule, in order of time. The same settings and fleet give the same schedule.
pub fn make(settings: &ScheduleSettings, fleet: &FleetFile) -> Vec<ScheduledRequest> {
    let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
    let total_per_s: u32 = fleet.demand.iter().map(|stream| stream.mean_per_s).sum();
    let mut requests = Vec::new();
    for (index, stream) in fleet.demand.iter().enumerate() {
        let rate_per_ms = |at_ms: f64| match settings.arrivals {
            Arrivals::DemandCycle { scale_permille } => {
                let rate_milli = fleet.rate_milli_per_s(stream, at_ms as u64);
                rate_milli as f64 * f64::from(scale_permille) / 1e9
            }
            Arrivals::Flat { rate_per_s } => {
                let part = f64::from(stream.mean_per_s) / f64::from(total_per_s.max(1));
                f64::from(rate_per_s) * part / 1e3
            }
        };
        let duration_ms = settings.duration_ms as f64;
        for at_ms in poisson_times(&mut rng, duration_ms, rate_per_ms) {
            requests.push(draw_request(&mut rng, settings, stream, index, at_ms));
        }
    }
    requests.sort_by_key(|request| request.at_us);
    requests
}

/// Draws the times of a Poisson process with a slowly varying rate.
fn poisson_times(
    rng: &mut impl Rng,
    duration_ms: f64,
    rate_per_ms: impl Fn(f64) -> f64,
) -> Vec<f64> {
    let mut times = Vec::new();
    let mut at_ms = 0.0;
    while at_ms < duration_ms {
        let gap_ms = -(1.0 - rng.random_range(0.0..1.0f64)).ln() / rate_per_ms(at_ms).max(1e-9);
        at_ms += gap_ms.min(RATE_STEP_MS);
        if gap_ms <= RATE_STEP_MS && at_ms < duration_ms {
            times.push(at_ms);
        }
    }
    times
}

fn draw_request(
    rng: &mut impl Rng,
    settings: &ScheduleSettings,
    stream: &DemandStream,
    index: usize,
    at_ms: f64,
) -> ScheduledRequest {
    let mix = &settings.mix;
    let run_ms = mix.run_ms.unwrap_or(stream.run_ms);
    let idempotent_permille = mix
        .idempotent_permille
        .unwrap_or(stream.idempotent_permille);
    let entry = draw_entry(rng, settings, index);
    let is_cancelled = draw(rng, mix.cancel_permille);
    let cancel_after_ms = is_cancelled.then(|| rng.random_range(0..=run_ms + run_ms / 2));
    let is_twin = draw(rng, mix.twin_permille) && settings.entries_count > 1;
    let twin_shift = rng.random_range(1..settings.entries_count.max(2));
    ScheduledRequest {
        at_us: (at_ms * US_PER_MS) as u64,
        id_bytes: rng.random(),
        entry,
        queue: stream.queue.clone(),
        team: stream.team.clone(),
        size: stream.size,
        run_ms,
        deadline_ms: stream.deadline_ms,
        body_bytes: mix.body_bytes.unwrap_or(stream.body_bytes),
        is_idempotent: draw(rng, idempotent_permille),
        is_for_later: draw(rng, mix.later_permille),
        cancel_after_ms,
        twin_entry: is_twin.then_some((entry + twin_shift) % settings.entries_count.max(1)),
    }
}

fn draw(rng: &mut impl Rng, permille: u32) -> bool {
    rng.random_range(0..PERMILLE) < permille
}

fn draw_entry(rng: &mut impl Rng, settings: &ScheduleSettings, shift: usize) -> usize {
    let count = settings.entries_count.max(1);
    if !settings.is_skewed {
        return rng.random_range(0..count);
    }
    let part = |rank: usize| 1.0 / ((rank + 1) as f64).powf(ENTRY_SKEW);
    let mut remaining = rng.random_range(0.0..(0..count).map(part).sum::<f64>());
    let rank = (0..count).find(|rank| {
        remaining -= part(*rank);
        remaining < 0.0
    });
    (rank.unwrap_or(0) + shift * ENTRY_SHIFT) % count
}
