//! Processor time of the steps of the policies over the size of the fleet.
//!
//! The times are measured in this process with the real clock. They depend on the machine; what
//! matters is how they grow with the fleet.

use std::sync::Arc;
use std::time::Instant;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::load::demand::REQUEST_SIZE;
use crate::load::world::worker_facts;
use crate::policy::health::{Attempt, Health, HealthSettings, Outcome, WorkKey};
use crate::policy::keys::{PeerKey, PoolKey, QueueKey, RequestKey, TeamKey, WorkerKey, ZoneKey};
use crate::policy::lane::WaitingRequest;
use crate::policy::placement::{Placement, PlacementSettings};
use crate::policy::queue::{WaitQueue, EXPIRE_PERIOD_MS};
use crate::policy::settings::QueueSettings;
use crate::policy::share::{ShareSettings, UsageView};
use crate::policy::usage::{Load, UsageRow};

/// Size of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct FleetSize {
    /// Number of workers.
    pub workers_count: u32,
    /// Number of pools.
    pub pools_count: u16,
    /// Number of teams.
    pub teams_count: u32,
}

/// Fleet sizes up to the one expected in two years.
pub const FLEET_SIZES: [FleetSize; 5] = [
    fleet_size(50, 5, 12),
    fleet_size(1_750, 8, 55),
    fleet_size(3_500, 12, 110),
    fleet_size(7_000, 20, 220),
    fleet_size(14_000, 33, 440),
];

const fn fleet_size(workers_count: u32, pools_count: u16, teams_count: u32) -> FleetSize {
    FleetSize {
        workers_count,
        pools_count,
        teams_count,
    }
}

/// Time of each step at one fleet size, in nanoseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct CostRow {
    /// Size of the fleet.
    pub size: FleetSize,
    /// Choosing a worker and counting the start and the end of a request there.
    pub choose_ns: u64,
    /// Enqueueing a request while all teams have requests waiting for the pool.
    pub push_ns: u64,
    /// Dequeueing a request while all teams have requests waiting for the pool.
    pub next_ns: u64,
    /// Cancelling a waiting request.
    pub cancel_ns: u64,
    /// Expiring requests in a full queue, per waiting request.
    pub expire_ns: u64,
    /// Dividing one pool among all teams.
    pub divide_ns: u64,
    /// Merging one usage report of a peer, with all teams in three pools each.
    pub merge_ns: u64,
    /// Recording one outcome for the health of a worker.
    pub health_ns: u64,
}

/// Number of slots of a worker.
const SLOTS_COUNT: u32 = 8;

/// Repetitions of a measured step.
const REPEATS_COUNT: u32 = 20_000;

/// Repetitions of a step that visits all teams.
const LONG_REPEATS_COUNT: u32 = 200;

/// Number of pools in which each team has requests running.
const POOLS_OF_TEAM: u32 = 3;

/// Measures all steps at each of `sizes`.
pub fn measure_cost(sizes: &[FleetSize]) -> Vec<CostRow> {
    sizes.iter().map(|size| measure_one(*size)).collect()
}

/// Returns the figures as a table of text.
pub fn cost_table(rows: &[CostRow]) -> String {
    let mut text = format!(
        "{:>8} {:>6} {:>6} {:>10} {:>8} {:>8} {:>10} {:>10} {:>10} {:>10} {:>10}\n",
        "workers",
        "pools",
        "teams",
        "choose_ns",
        "push_ns",
        "next_ns",
        "cancel_ns",
        "expire_ns",
        "divide_ns",
        "merge_ns",
        "health_ns",
    );
    for row in rows {
        text.push_str(&format!(
            "{:>8} {:>6} {:>6} {:>10} {:>8} {:>8} {:>10} {:>10} {:>10} {:>10} {:>10}\n",
            row.size.workers_count,
            row.size.pools_count,
            row.size.teams_count,
            row.choose_ns,
            row.push_ns,
            row.next_ns,
            row.cancel_ns,
            row.expire_ns,
            row.divide_ns,
            row.merge_ns,
            row.health_ns,
        ));
    }
    text
}

fn measure_one(size: FleetSize) -> CostRow {
    let (mut view, rows) = filled_view(size);
    let mut queue = WaitQueue::new(QueueSettings::default(), 1);
    let size_max = REQUEST_SIZE.plus(&REQUEST_SIZE);
    let waiting_count = QueueSettings::default().waiting_max_count as u32 / 2;
    for index in 0..waiting_count / 2 {
        let _ = queue.push(0, waiting(index, size), &size_max, &view);
    }
    // From here on the rate of the pool is known, so `push` also estimates each request's wait.
    let mut now_ms = 1_000;
    queue.observe_run(Some(TeamKey(0)), QueueKey(0), 1);
    view.started(now_ms, Some(TeamKey(0)), PoolKey(0), &REQUEST_SIZE);
    let push_ns = time_ns(waiting_count / 2, |index| {
        let request = waiting(waiting_count + index, size);
        let _ = queue.push(now_ms, request, &size_max, &view);
    });
    let held_count = queue.len().max(1) as u64;
    let expire_ns = time_ns(LONG_REPEATS_COUNT, |_| {
        now_ms += EXPIRE_PERIOD_MS;
        queue.expire(now_ms, &view);
    }) / held_count;
    let next_ns = time_ns(LONG_REPEATS_COUNT, |_| {
        queue.next(now_ms, PoolKey(0), &view, &mut |_| true);
    });
    // Every step needs a new division; its time is the difference to a step without one.
    let divided_ns = time_ns(LONG_REPEATS_COUNT, |_| {
        now_ms += 100;
        queue.next(now_ms, PoolKey(0), &view, &mut |_| true);
    });
    let cancel_ns = time_ns(waiting_count, |index| {
        queue.cancel(now_ms, RequestKey(u64::from(index)));
    });
    let merge_ns = time_ns(LONG_REPEATS_COUNT, |index| {
        let at_ms = now_ms + u64::from(index);
        view.apply_peer_report(at_ms, PeerKey(1), rows.clone());
    });
    CostRow {
        size,
        choose_ns: choose_ns(size),
        push_ns,
        next_ns,
        cancel_ns,
        expire_ns,
        divide_ns: divided_ns.saturating_sub(next_ns),
        merge_ns,
        health_ns: health_ns(size),
    }
}

/// Returns a view with eight peers; at each of them, all teams have running and waiting requests in
/// some pools.
fn filled_view(size: FleetSize) -> (UsageView, Vec<UsageRow>) {
    let mut view = UsageView::new(ShareSettings {
        peer_report_max_age_ms: u64::MAX,
        ..ShareSettings::default()
    });
    let workers_per_pool = u64::from(size.workers_count) / u64::from(size.pools_count);
    for pool in 0..size.pools_count {
        let worker = worker_facts(usize::from(pool), 0, SLOTS_COUNT).capacity;
        let capacity = (0..workers_per_pool).fold(Load::default(), |sum, _| {
            sum.plus(&Load {
                size: worker,
                slots_count: u64::from(SLOTS_COUNT),
            })
        });
        view.set_pool_capacity(PoolKey(pool), capacity);
    }
    let rows: Vec<UsageRow> = (0..size.teams_count)
        .flat_map(|team| (0..POOLS_OF_TEAM).map(move |step| (team, step * (team + 1))))
        .map(|(team, pool)| UsageRow {
            running: REQUEST_SIZE,
            running_count: 1,
            waiting_count: 2,
            ..UsageRow::idle(
                Some(TeamKey(team)),
                PoolKey((pool % u32::from(size.pools_count)) as u16),
            )
        })
        .collect();
    for peer in 0..8 {
        view.apply_peer_report(0, PeerKey(peer), rows.clone());
    }
    (view, rows)
}

fn waiting(index: u32, size: FleetSize) -> WaitingRequest {
    WaitingRequest {
        key: RequestKey(u64::from(index)),
        team: Some(TeamKey(index % size.teams_count)),
        queue: QueueKey(0),
        pools: Arc::from([PoolKey(0)]),
        size: REQUEST_SIZE,
        enqueued_ms: 0,
        deadline_ms: 3_600_000,
        is_urgent: false,
        declared_run_ms: 0,
        failed_on: None,
    }
}

fn choose_ns(size: FleetSize) -> u64 {
    let mut placement = Placement::new(PlacementSettings::in_zone(ZoneKey(0)));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for worker in 0..size.workers_count {
        let pool = worker as usize % usize::from(size.pools_count);
        placement.set_worker(
            WorkerKey(worker),
            worker_facts(pool, worker / u32::from(size.pools_count), SLOTS_COUNT),
        );
    }
    let mut running = Vec::new();
    let mut step = |index: u32| {
        let pool = PoolKey((index % u32::from(size.pools_count)) as u16);
        if let Some(worker) = placement.choose(0, pool, &REQUEST_SIZE, None, &mut rng) {
            placement.started(worker, &REQUEST_SIZE);
            running.push(worker);
        }
        // Half of this entry's ninth of all slots stays in use.
        if running.len() as u32 > size.workers_count * SLOTS_COUNT / 18 {
            let worker = running.swap_remove(index as usize % running.len());
            placement.ended(worker, &REQUEST_SIZE);
        }
    };
    for index in 0..size.workers_count * SLOTS_COUNT / 9 {
        step(index);
    }
    time_ns(REPEATS_COUNT, step)
}

fn health_ns(size: FleetSize) -> u64 {
    let mut health = Health::new(HealthSettings::default());
    for worker in 0..size.workers_count {
        health.set_worker(WorkerKey(worker), PoolKey(0));
    }
    time_ns(REPEATS_COUNT, |index| {
        let attempt = Attempt {
            worker: WorkerKey(index.wrapping_mul(7_919) % size.workers_count),
            work: WorkKey(u64::from(index % size.teams_count)),
            started_ms: u64::from(index),
            outcome: Outcome::Succeeded,
        };
        health.observe(u64::from(index) + 1, &attempt);
    })
}

/// Returns the mean time of `step` in nanoseconds.
fn time_ns(repeats_count: u32, mut step: impl FnMut(u32)) -> u64 {
    let start = Instant::now();
    for index in 0..repeats_count {
        step(index);
    }
    start.elapsed().as_nanos() as u64 / u64::from(repeats_count.max(1))
}
