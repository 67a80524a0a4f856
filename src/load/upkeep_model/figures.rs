//! The figures of a run.

use indexmap::IndexMap;
use serde::Serialize;

use super::run::Run;
use super::scenario::Scenario;
use super::world::World;
use crate::upkeep::budget::allowed_count;
use crate::upkeep::keys::{PoolKey, ZoneKey};

/// Time without a stop after which a roll-out counts as halted, in milliseconds.
const STOPPED_PAUSE_MS: u64 = 300_000;

const HOUR_MS: f64 = 3_600_000.0;

/// Results of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Whether the roll-out finished within the run.
    pub is_finished: bool,
    /// Time from the start of the roll-out to the return of the last instance.
    pub rollout_ms: u64,
    /// Lower bound on the time that the drains and reboots of this run need within the budgets.
    pub bound_ms: u64,
    /// Planned stops for maintenance.
    pub stops_count: u64,
    /// Claims and releases that were refused when they took effect.
    pub refused_count: u32,
    /// Accepted stops after which a recount found a breached budget.
    pub breaches_count: u32,
    /// Time that pools exceeded their budgets, by failures in addition to stops, summed over pools.
    pub over_budget_ms: u64,
    /// Requests that reboots interrupted.
    pub cut_count: u32,
    /// Instances that failed because of the bad image.
    #[serde(rename = "spoilt_count")]
    pub broken_count: u32,
    /// Time from the first instance that the bad image broke to the last stop before the roll-out
    /// halted.
    pub stop_bad_ms: u64,
    /// Time from the repair of the last broken instance to the next stop.
    pub resume_ms: u64,
    /// Time from the loss of the driver to the next stop.
    pub driver_gap_ms: u64,
    /// Moves that ended.
    pub moves_count: u64,
    /// Moves per hour.
    pub moves_per_hour: f64,
    /// Available time of the spare instances, in instance-hours.
    pub spare_instance_hours: f64,
    /// Spare instances that the buffer plan required at the end of the run.
    pub spare_planned_count: u32,
    /// Part of the work that started after the target or was abandoned.
    pub missed_permille: f64,
    /// Mean distance from the fair shares over windows of 10 s.
    pub distance_mean_permille: f64,
    /// Largest distance from the fair shares in a window of 10 s.
    pub distance_max_permille: u64,
}

pub(super) fn figures(run: &Run<'_>) -> Figures {
    let world = &run.world;
    let tally = &world.tally;
    let hours = run.at_ms() as f64 / HOUR_MS;
    let demand = &run.demand.tally;
    let ratio = |part: u64, whole: u64| part as f64 * 1000.0 / whole.max(1) as f64;
    let (stop_bad_ms, resume_ms) = bad_wave(world, run.scenario);
    Figures {
        is_finished: run.is_finished,
        rollout_ms: rollout_ms(world),
        bound_ms: bound_ms(world),
        stops_count: tally.stops_at_ms.len() as u64,
        refused_count: tally.refused_count,
        breaches_count: tally.breaches_count,
        over_budget_ms: tally.over_budget_ms,
        cut_count: tally.cut_count,
        broken_count: world.workers.broken_count,
        stop_bad_ms,
        resume_ms,
        driver_gap_ms: run
            .driver_lost_at_ms
            .map_or(0, |at| next_stop_ms(world, at)),
        moves_count: tally.moves_at_ms.len() as u64,
        moves_per_hour: tally.moves_at_ms.len() as f64 / hours,
        spare_instance_hours: run.spare_instance_ms as f64 / HOUR_MS,
        spare_planned_count: run.buffers.spare_count,
        missed_permille: ratio(demand.missed_milli, demand.arrived_milli),
        distance_mean_permille: demand.distance_sum_permille as f64
            / demand.windows_count.max(1) as f64,
        distance_max_permille: demand.distance_max_permille,
    }
}

fn rollout_ms(world: &World) -> u64 {
    let Some(rollout) = world.rollout else {
        return 0;
    };
    let returns = world
        .upkeep
        .iter()
        .filter_map(|row| row.maintained_at_unix_ms);
    let last_ms = returns.max().unwrap_or_default();
    last_ms.saturating_sub(rollout.started_at_unix_ms)
}

/// Returns a lower bound on the time of the roll-out. For each pool and each zone of a pool, this is
/// the sum of the drain and reboot times, divided by the number of stops that may be in progress at
/// once. The largest of these bounds and of the single drain and reboot times counts.
fn bound_ms(world: &World) -> u64 {
    let mut pools: IndexMap<PoolKey, (u64, u32)> = IndexMap::new();
    let mut zones: IndexMap<(PoolKey, ZoneKey), (u64, u32)> = IndexMap::new();
    for (member, cycle_ms) in &world.tally.cycles {
        let pool = pools.entry(member.pool).or_default();
        *pool = (pool.0 + cycle_ms, pool.1 + 1);
        let zone = zones.entry((member.pool, member.zone)).or_default();
        *zone = (zone.0 + cycle_ms, zone.1 + 1);
    }
    let least = |sum_ms: u64, members_count: u32, permille: u32| {
        sum_ms / u64::from(allowed_count(members_count, permille).max(1))
    };
    let availability = |pool: PoolKey| world.budgets[pool.index()].availability;
    let of_pools = pools.iter().map(|(pool, (sum_ms, count))| {
        least(
            *sum_ms,
            *count,
            availability(*pool).pool_unavailable_max_permille,
        )
    });
    let of_zones = zones.iter().map(|((pool, _), (sum_ms, count))| {
        least(
            *sum_ms,
            *count,
            availability(*pool).zone_unavailable_max_permille,
        )
    });
    let longest = world.tally.cycles.iter().map(|(_, cycle_ms)| *cycle_ms);
    of_pools
        .chain(of_zones)
        .chain(longest)
        .max()
        .unwrap_or_default()
}

fn next_stop_ms(world: &World, at_ms: u64) -> u64 {
    let mut stops = world.tally.stops_at_ms.iter();
    stops
        .find(|stop| **stop > at_ms)
        .map_or(0, |stop| stop - at_ms)
}

/// Returns the figures `stop_bad_ms` and `resume_ms`.
fn bad_wave(world: &World, scenario: &Scenario) -> (u64, u64) {
    let workers = &world.workers;
    let (Some(_), Some(first_ms)) = (scenario.bad_image, workers.first_broken_at_ms) else {
        return (0, 0);
    };
    let mut last_ms = first_ms;
    for stop in world
        .tally
        .stops_at_ms
        .iter()
        .filter(|stop| **stop > first_ms)
    {
        if stop - last_ms > STOPPED_PAUSE_MS {
            break;
        }
        last_ms = *stop;
    }
    let resume_ms = workers
        .last_repair_at_ms
        .map_or(0, |at| next_stop_ms(world, at));
    (last_ms - first_ms, resume_ms)
}
