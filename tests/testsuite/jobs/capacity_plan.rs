//! The division of the fleet among pools, and pools that give up instances while others starve.

use hawthornladder::jobs::{allot, InstanceOrder, Need, Needs};
use indexmap::IndexMap;
use smol_str::SmolStr;

use super::simulation::{job, step, Simulation};

fn needs(pools: &[(&str, Needs)]) -> IndexMap<SmolStr, Needs> {
    let named = pools.iter().map(|(pool, needs)| ((*pool).into(), *needs));
    named.collect()
}

/// Guards against preparation that keeps instances while another pool starves.
#[test]
fn possible_peaks_give_way_to_work_that_can_be_in_time() {
    let pools = needs(&[("busy", [2, 90, 90, 95, 95]), ("quiet", [2, 4, 4, 4, 30])]);
    let plan = allot(&pools, 100);
    assert_eq!(plan["busy"].count, 95);
    assert_eq!(plan["quiet"].count, 5);
    assert_eq!(plan["quiet"].unmet, Some(Need::PossiblePeak));
    assert_eq!(plan["busy"].unmet, None);
}

/// Guards against one pool that takes everything when the fleet is too small for two.
#[test]
fn a_need_that_cannot_be_met_is_met_in_proportion() {
    let pools = needs(&[
        ("a", [2, 300, 300, 400, 400]),
        ("b", [2, 100, 100, 100, 100]),
    ]);
    let plan = allot(&pools, 104);
    assert_eq!((plan["a"].count, plan["b"].count), (77, 26));
    assert_eq!(plan["a"].unmet, Some(Need::InTime));
    assert!(allot(&pools, 0).values().all(|part| part.count == 0));
}

fn moved_to(simulation: &Simulation, pool: &str) -> usize {
    let moves = simulation.orders.iter();
    let is_move = |order: &&InstanceOrder| matches!(order, InstanceOrder::Move { pool: to, .. } if to == pool);
    moves.filter(is_move).count()
}

/// Guards against a pool whose backlog of late work refills its workers for good, so that none of
/// them ever becomes idle for a pool whose peak begins.
#[test]
fn a_pool_with_late_work_gives_up_instances_to_a_starving_pool() {
    let mut simulation = Simulation::open(&["a", "b"], 6);
    simulation.submit("b", job(vec![step(1, 1_000, 100)]));
    for _ in 0..40 {
        simulation.submit("a", job(vec![step(16, 8_000, 700)]));
    }
    simulation.advance(6_000);
    assert_eq!(
        simulation
            .workers
            .values()
            .filter(|worker| worker.info.pool == "b" && !worker.is_dead)
            .count(),
        2
    );
    let before_count = moved_to(&simulation, "b");
    for _ in 0..30 {
        simulation.submit("b", job(vec![step(10, 8_000, 700)]));
        simulation.advance(100);
    }
    let moved_count = moved_to(&simulation, "b") - before_count;
    assert!(moved_count >= 3, "only {moved_count} instances moved");
    assert!(simulation.stops.is_empty(), "no run is stopped for it");
}

/// Guards against workers that stay closed once the shortage for which they were reclaimed is over.
#[test]
fn reclaimed_workers_open_again_when_no_pool_lacks_them() {
    let mut simulation = Simulation::open(&["a", "b"], 6);
    for _ in 0..30 {
        simulation.submit("a", job(vec![step(16, 8_000, 700)]));
    }
    simulation.advance(3_000);
    let short = simulation.submit("b", job(vec![step(40, 16_000, 600)]));
    simulation.advance(300);
    simulation.engine.cancel(short);
    let all = simulation.submit("a", job(vec![step(48, 8_000, 500)]));
    simulation.advance(40_000);
    assert_eq!(
        simulation.state(all),
        Some(hawthornladder::jobs::JobState::Complete)
    );
}

/// Guards against a reclaimed worker that is missing from the list for a moment and then takes no
/// tasks for good.
#[test]
fn reclaimed_workers_that_are_listed_again_take_tasks_again() {
    let mut simulation = Simulation::open(&["a", "b"], 6);
    for _ in 0..30 {
        simulation.submit("a", job(vec![step(16, 8_000, 700)]));
    }
    simulation.advance(3_000);
    let short = simulation.submit("b", job(vec![step(40, 16_000, 600)]));
    simulation.advance(250);
    let ids: Vec<SmolStr> = simulation.workers.keys().cloned().collect();
    for id in &ids {
        simulation.engine.worker_unlisted(id, simulation.now_ms);
    }
    simulation.advance(250);
    simulation.list_all();
    simulation.engine.cancel(short);
    let from_ms = simulation.now_ms + 4_000;
    for _ in 0..30 {
        simulation.submit("a", job(vec![step(32, 16_000, 700)]));
        simulation.advance(300);
    }
    let started = |id: &SmolStr| {
        let mut starts = simulation.starts.iter();
        starts.any(|(at_ms, worker, _)| *at_ms >= from_ms && worker == id)
    };
    let of_pool = simulation.workers.iter();
    let mut alive = of_pool.filter(|(_, worker)| !worker.is_dead && worker.info.pool == "a");
    assert!(alive.all(|(id, _)| started(id)), "a worker takes no tasks");
}
