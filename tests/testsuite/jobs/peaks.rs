//! Loads of the first seconds of a demand peak: what must not keep a pool from working, and what a
//! new leader knows and does at once.

use hawthornladder::jobs::{JobId, JobSpec, JobState, StepSpec, WorkerInfo};
use smol_str::SmolStr;

use super::simulation::{job, long_running, step, Simulation};

fn count_in(simulation: &Simulation, pool: &str) -> usize {
    let rows = simulation.instances.values();
    rows.filter(|row| row.pool == pool).count()
}

/// A step that waits for more workers, and not for capacity, keeps no larger task from starting.
#[test]
fn a_spread_step_that_waits_for_workers_blocks_no_larger_task() {
    let mut simulation = Simulation::open(&["a"], 2);
    let spread = StepSpec {
        per_worker_max: 1,
        ..long_running(3, 1_000)
    };
    let waiting = simulation.submit("a", job(vec![spread]));
    simulation.advance(100);
    assert_eq!(simulation.runs_of(waiting).len(), 2);
    let larger = simulation.submit("a", job(vec![step(4, 8_000, 400)]));
    simulation.advance(100);
    assert_eq!(simulation.runs_of(larger).len(), 4);
}

/// Length of a demand peak, in milliseconds.
const PEAK_MS: u64 = 6_000;

/// Submits jobs to a pool for some time: about 190 cores, where an instance has 32.
fn submit_peak(simulation: &mut Simulation, pool: &str, for_ms: u64) {
    for _ in 0..for_ms / 50 {
        simulation.submit(pool, job(vec![step(6, 2_000, 800)]));
        simulation.advance(50);
    }
}

/// A new leader knows from the records which pool has the next peak, and how large it will be,
/// although some jobs came to all pools long before the first peak.
#[test]
fn the_forecast_survives_a_change_of_leader() {
    let pools = ["a", "b", "c"];
    let mut simulation = Simulation::open(&pools, 2);
    for number in 0..14 {
        simulation.add_instance(&SmolStr::from(format!("spare-{number}")), "standby");
    }
    simulation.list_all();
    for pool in ["a", "a", "b", "b", "c", "c"] {
        simulation.submit(pool, job(vec![step(30, 2_000, 800)]));
    }
    simulation.advance(14_000);
    submit_peak(&mut simulation, "a", PEAK_MS);
    submit_peak(&mut simulation, "b", PEAK_MS);
    simulation.fail_over(2);
    submit_peak(&mut simulation, "c", PEAK_MS);
    let count = count_in(&simulation, "a");
    assert!(
        count >= 6,
        "only {count} instances are in the pool with the next peak"
    );
}

/// A leader that takes over at the start of a peak uses the instances in standby at once, if the
/// earlier leader had given them no order for some time.
#[test]
fn a_new_leader_brings_instances_from_standby_without_delay() {
    let mut simulation = Simulation::open(&["a"], 1);
    for number in 0..8 {
        simulation.add_instance(&SmolStr::from(format!("spare-{number}")), "standby");
    }
    simulation.list_all();
    simulation.advance(6_000);
    simulation.fail_over(2);
    simulation.submit("a", job(vec![step(16, 16_000, 3_000)]));
    simulation.advance(600);
    let count = count_in(&simulation, "a");
    assert!(
        count >= 8,
        "only {count} instances are in the pool with the peak"
    );
}

/// Whatever has a recent order, or may have one that was not persisted, gets none from a new leader.
#[test]
fn a_new_leader_gives_no_order_after_a_recent_one_of_another() {
    let mut simulation = Simulation::open(&["a"], 1);
    for number in 0..4 {
        simulation.add_instance(&SmolStr::from(format!("spare-{number}")), "standby");
    }
    simulation.list_all();
    simulation.advance(6_000);
    for fence in 2..5 {
        simulation.submit("a", job(vec![step(16, 16_000, 400)]));
        simulation.advance(700);
        let earlier_count = simulation.orders.len();
        simulation.fail_over(fence);
        simulation.advance(2_600);
        for (at, order) in simulation.orders.iter().enumerate().skip(earlier_count) {
            let earlier = simulation.orders[..earlier_count]
                .iter()
                .rposition(|known| known.instance() == order.instance());
            let gap_ms = earlier
                .map(|earlier| simulation.order_times_ms[at] - simulation.order_times_ms[earlier]);
            assert!(
                gap_ms.is_none_or(|gap_ms| gap_ms >= 3_000),
                "{order:?}: {gap_ms:?}"
            );
        }
    }
}

/// Returns a job with a second step, which a leader has to start after the end of the first one.
fn job_of_two_steps() -> JobSpec {
    let second = StepSpec {
        after: vec![0],
        ..step(2, 2_000, 400)
    };
    job(vec![step(2, 2_000, 400), second])
}

/// Returns the workers of a pool that are gone; the platform lists them for some time yet.
fn gone_workers(simulation: &Simulation, pool: &str) -> Vec<WorkerInfo> {
    let gone = simulation.workers.values();
    gone.filter(|worker| worker.is_dead && worker.info.pool == pool)
        .map(|worker| worker.info.clone())
        .collect()
}

/// Replaces the leader while the list still has workers that are gone, and checks that it finishes
/// a job without waiting for them.
fn assert_goes_on_without(simulation: &mut Simulation, gone: &[WorkerInfo], waiting: JobId) {
    simulation.fail_over(2);
    for info in gone {
        simulation
            .engine
            .worker_listed(info.clone(), simulation.now_ms);
    }
    simulation.advance(1_500);
    assert_eq!(simulation.state(waiting), Some(JobState::Complete));
}

/// Instances move all the time in a peak, and the workers that they had stay listed for some
/// seconds. A new leader does not wait for those: no record says that tasks were started there.
#[test]
fn a_new_leader_waits_for_no_worker_of_an_instance_that_has_moved() {
    let mut simulation = Simulation::open(&["a", "b"], 4);
    simulation.submit("b", job(vec![step(16, 16_000, 4_000)]));
    simulation.advance(4_000);
    let gone = gone_workers(&simulation, "a");
    assert!(!gone.is_empty(), "no instance has moved");
    let waiting = simulation.submit("a", job_of_two_steps());
    simulation.advance(50);
    assert_goes_on_without(&mut simulation, &gone, waiting);
}

/// A leader that ends right after it has ordered moves leaves no worker for which the next one
/// waits: what is known before an order is sent is persisted with its number.
#[test]
fn a_new_leader_waits_for_no_worker_of_an_instance_with_an_order_in_flight() {
    let mut simulation = Simulation::open(&["a", "b"], 4);
    simulation.submit("b", job(vec![step(16, 16_000, 4_000)]));
    let waiting = simulation.submit("a", job_of_two_steps());
    simulation.advance_until(3_000, |simulation| {
        !gone_workers(simulation, "a").is_empty()
    });
    let gone = gone_workers(&simulation, "a");
    assert_goes_on_without(&mut simulation, &gone, waiting);
}

/// A worker that was listed and never answered has no tasks, and a new leader does not wait for it.
#[test]
fn a_new_leader_waits_for_no_worker_that_never_answered() {
    let mut simulation = Simulation::open(&["a"], 4);
    let mut silent = simulation.workers[0].info.clone();
    silent.id = "silent".into();
    silent.instance = None;
    let mut worker = simulation.workers[0].clone();
    worker.info = silent.clone();
    worker.is_dead = true;
    simulation.workers.insert(silent.id.clone(), worker);
    simulation
        .engine
        .worker_listed(silent.clone(), simulation.now_ms);
    simulation.advance(500);
    let waiting = simulation.submit("a", job_of_two_steps());
    simulation.advance(50);
    assert_goes_on_without(&mut simulation, &[silent], waiting);
}

/// The list repeats the entry of a worker after its instance was moved. It is not taken for a
/// worker that is back, neither by this leader nor, through a record, by the next one.
#[test]
fn an_entry_of_a_worker_that_was_moved_away_is_ignored() {
    let mut simulation = Simulation::open(&["a", "b"], 4);
    simulation.submit("b", job(vec![step(16, 16_000, 4_000)]));
    simulation.advance(3_000);
    let gone = gone_workers(&simulation, "a");
    assert!(!gone.is_empty(), "no instance has moved");
    for info in &gone {
        simulation
            .engine
            .worker_listed(info.clone(), simulation.now_ms);
    }
    simulation.advance(100);
    let waiting = simulation.submit("a", job_of_two_steps());
    simulation.advance(50);
    assert_goes_on_without(&mut simulation, &gone, waiting);
}

/// A worker whose instance was refused an order gets tasks again, and only once it is recorded again:
/// the next leader waits for it while it does not answer.
#[test]
fn a_worker_whose_instance_was_refused_an_order_is_recorded_before_it_gets_tasks() {
    let mut simulation = Simulation::open(&["a"], 5);
    simulation.refuses_orders = true;
    simulation.advance(4_000);
    let id = simulation.submit("a", job(vec![step(10, 16_000, 6_000)]));
    simulation.advance_until(3_000, |simulation| simulation.runs_of(id).len() == 10);
    for worker in simulation.workers.values_mut() {
        worker.is_disconnected = true;
    }
    simulation.fail_over(2);
    simulation.add_instance(&SmolStr::from("a-new"), "a");
    simulation.list_all();
    // The simulation fails if a task runs twice.
    simulation.advance(2_000);
    assert_eq!(simulation.runs_of(id).len(), 10);
}
