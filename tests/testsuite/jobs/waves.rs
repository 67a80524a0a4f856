//! Waves of maintenance near their end, and across a change of leader.

use hawthornladder::jobs::{InstanceOrder, StepSpec};
use smol_str::SmolStr;

use super::simulation::{job, long_running, step, Simulation};

/// Length of a wave, as the simulation requests it, in milliseconds.
const WAVE_MS: u64 = 20_000;

fn maintained_count(simulation: &Simulation) -> usize {
    let is_maintained = |order: &&InstanceOrder| matches!(order, InstanceOrder::Maintain { .. });
    simulation.orders.iter().filter(is_maintained).count()
}

/// Submits a job that keeps every instance busy for a moment.
fn submit_load(simulation: &mut Simulation) {
    simulation.submit("a", job(vec![step(12, 16_000, 1_000)]));
    simulation.advance(500);
}

#[test]
fn a_wave_on_busy_instances_ends_in_time_although_the_leader_changes() {
    let mut simulation = Simulation::open(&["a"], 6);
    for _ in 0..4 {
        submit_load(&mut simulation);
    }
    let started_ms = simulation.now_ms;
    let all: Vec<SmolStr> = simulation.instances.keys().cloned().collect();
    simulation.request_wave(1, &all, 3);
    while simulation.now_ms < started_ms + WAVE_MS / 2 {
        submit_load(&mut simulation);
    }
    simulation.fail_over(2);
    simulation.request_wave(1, &all, 3);
    while simulation.now_ms < started_ms + WAVE_MS {
        submit_load(&mut simulation);
    }
    assert_eq!(maintained_count(&simulation), 6);
}

#[test]
fn a_drained_instance_hands_on_long_tasks_that_save_checkpoints() {
    let mut simulation = Simulation::open(&["a"], 3);
    let saving = StepSpec {
        has_checkpoints: true,
        ..step(3, 20_000, 30_000)
    };
    let id = simulation.submit("a", job(vec![saving]));
    simulation.advance(500);
    assert_eq!(simulation.runs_of(id).len(), 3);
    let started_ms = simulation.now_ms;
    let all: Vec<SmolStr> = simulation.instances.keys().cloned().collect();
    simulation.request_wave(1, &all, 1);
    simulation.advance_until(WAVE_MS, |simulation| maintained_count(simulation) == 3);
    assert!(simulation.now_ms < started_ms + WAVE_MS);
    simulation.advance(3_000);
    assert_eq!(simulation.runs_of(id).len(), 3, "the tasks run elsewhere");
}

/// An order that was lost is not repeated once the instance has work, although it had no worker when
/// the order was decided.
#[test]
fn a_repeated_order_does_not_end_work_that_has_started_since() {
    let mut simulation = Simulation::open(&["a"], 1);
    let late = SmolStr::from("late");
    simulation.add_instance(&late, "a");
    // The list of instances shows it before the list of workers does.
    simulation.list_instances();
    simulation.loses_orders = true;
    simulation.request_wave(1, std::slice::from_ref(&late), 1);
    simulation.advance(500);
    simulation.list_all();
    simulation.advance(200);
    let spread = StepSpec {
        per_worker_max: 1,
        unavailable_max: Some(0),
        ..long_running(2, 2_000)
    };
    let id = simulation.submit("a", job(vec![spread]));
    simulation.advance(300);
    assert_eq!(simulation.runs_of(id).len(), 2);
    simulation.loses_orders = false;
    for _ in 0..400 {
        simulation.advance(10);
        assert_eq!(simulation.runs_of(id).len(), 2, "an order ended a run");
    }
}

/// Guards against an order that ends the work of an instance's new worker, as the entry of the worker
/// that has crashed there is still listed and has no work (review/9).
#[test]
fn the_new_worker_of_an_instance_is_drained_while_the_crashed_one_is_listed() {
    let mut simulation = Simulation::open(&["a"], 1);
    simulation.advance(1_000);
    let crashed = simulation.workers.keys().next().expect("a worker").clone();
    simulation.crash(&crashed);
    simulation.advance_until(5_000, |simulation| simulation.workers.len() == 2);
    // It gets no task, but its entry stays.
    simulation.workers[&crashed].info.is_draining = true;
    simulation.list_to_leader(std::slice::from_ref(&crashed));
    let lasting = StepSpec {
        unavailable_max: Some(1),
        ..long_running(4, 2_000)
    };
    let id = simulation.submit("a", job(vec![lasting]));
    simulation.advance(500);
    assert_eq!(simulation.runs_of(id).len(), 4);
    let all: Vec<SmolStr> = simulation.instances.keys().cloned().collect();
    simulation.request_wave(1, &all, 1);
    for _ in 0..300 {
        simulation.advance(10);
        assert!(simulation.runs_of(id).len() >= 3, "an order ended runs");
    }
}
