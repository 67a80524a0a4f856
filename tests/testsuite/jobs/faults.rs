//! The engine when workers, the store or the leader fail.

use hawthornladder::jobs::{InstanceInfo, InstanceState, JobState, StepSpec};
use smol_str::SmolStr;

use super::simulation::{job, long_running, size, step, Simulation};

/// Time within which every lease of a worker has expired, in milliseconds: the lease itself, the
/// drift of the worker's clock, and the time until the engine notices.
const LEASES_EXPIRED_MS: u64 = 6_000;
/// Delay with which a busy worker ends runs whose lease has expired, in milliseconds.
const EXPIRY_DELAY_MS: u64 = 400;
/// Longest time for which a run leased by an earlier leader can last, in milliseconds.
const INHERITED_RUNS_MAX_MS: u64 = 10_200;

#[test]
fn an_unresponsive_worker_loses_its_runs_when_the_lease_expires() {
    let mut simulation = Simulation::open(&["maps"], 2);
    let id = simulation.submit("maps", job(vec![long_running(2, 1_000)]));
    simulation.advance(300);
    let first = simulation.runs_of(id)[0].0.clone();
    simulation.workers[&first].is_dead = true;
    simulation.workers[&first].running.clear();
    simulation.advance_until(LEASES_EXPIRED_MS, |simulation| {
        simulation.runs_of(id).len() == 2
    });
}

#[test]
fn a_disconnected_worker_never_runs_a_task_at_the_same_time_as_another() {
    let mut simulation = Simulation::open(&["maps"], 2);
    let id = simulation.submit("maps", job(vec![long_running(2, 1_000)]));
    simulation.advance(300);
    let first = simulation.runs_of(id)[0].0.clone();
    simulation.workers[&first].is_disconnected = true;
    simulation.advance(LEASES_EXPIRED_MS * 2);
    simulation.workers[&first].is_disconnected = false;
    simulation.advance(3_000);
    assert_eq!(simulation.runs_of(id).len(), 2);
}

#[test]
fn a_new_leader_adopts_runs_while_ends_are_not_persisted() {
    let mut simulation = Simulation::open(&["maps"], 1);
    let service = simulation.submit("maps", job(vec![long_running(1, 1_000)]));
    let short = simulation.submit("maps", job(vec![step(2, 1_000, 400)]));
    simulation.advance(300);
    simulation.is_store_unavailable = true;
    simulation.advance(300);
    let runs = simulation.runs_of(service);
    simulation.fail_over(2);
    simulation.advance(2_000);
    assert_eq!(
        simulation.runs_of(service),
        runs,
        "the run did not continue"
    );
    simulation.is_store_unavailable = false;
    simulation.advance_until(500, |simulation| {
        simulation.state(short) == Some(JobState::Complete)
    });
    assert_eq!(simulation.starts.len(), 3);
}

#[test]
fn a_new_leader_waits_for_an_unreachable_worker_before_it_restarts_tasks() {
    let mut simulation = Simulation::open(&["maps"], 2);
    let id = simulation.submit("maps", job(vec![long_running(2, 20_000)]));
    simulation.advance(300);
    let first = simulation.runs_of(id)[0].0.clone();
    simulation.workers[&first].is_disconnected = true;
    simulation.fail_over(2);
    simulation.advance(20_000);
    assert_eq!(
        simulation.runs_of(id).len(),
        1,
        "only one task fits on the reachable worker"
    );
}

#[test]
fn jobs_submitted_after_a_failover_do_not_wait_for_an_unreachable_worker() {
    let mut simulation = Simulation::open(&["maps"], 3);
    simulation.advance(200);
    let first = simulation.workers[0].info.id.clone();
    simulation.workers[&first].is_disconnected = true;
    simulation.fail_over(2);
    simulation.advance(100);
    let id = simulation.submit("maps", job(vec![step(4, 1_000, 200)]));
    simulation.advance_until(1_000, |simulation| {
        simulation.state(id) == Some(JobState::Complete)
    });
}

#[test]
fn accepted_jobs_survive_failovers() {
    let mut simulation = Simulation::open(&["maps"], 2);
    let mut ids = Vec::new();
    for _ in 0..5 {
        let second = StepSpec {
            after: vec![0],
            ..step(2, 1_000, 300)
        };
        ids.push(simulation.submit("maps", job(vec![step(3, 1_000, 300), second])));
        simulation.advance(50);
    }
    for fence in 2..6 {
        simulation.fail_over(fence);
        simulation.advance(150);
    }
    simulation.advance_until(5_000, |simulation| {
        ids.iter()
            .all(|id| simulation.state(*id) == Some(JobState::Complete))
    });
    assert_eq!(simulation.starts.len(), 25, "a task was started twice");
}

#[test]
fn a_start_whose_answer_was_lost_is_adopted_or_blocked() {
    let mut simulation = Simulation::open(&["maps"], 2);
    for worker in simulation.workers.values_mut() {
        worker.loses_answers = true;
    }
    let id = simulation.submit("maps", job(vec![step(2, 1_000, 500)]));
    simulation.advance(300);
    for worker in simulation.workers.values_mut() {
        worker.loses_answers = false;
    }
    simulation.advance_until(LEASES_EXPIRED_MS, |simulation| {
        simulation.state(id) == Some(JobState::Complete)
    });
}

#[test]
fn a_worker_restarted_under_its_id_has_lost_its_runs() {
    let mut simulation = Simulation::open(&["maps"], 1);
    let id = simulation.submit("maps", job(vec![step(2, 1_000, 2_000)]));
    simulation.advance(300);
    let started_unix_ms = super::simulation::UNIX_MS + simulation.now_ms;
    simulation.workers[0].restart(started_unix_ms);
    simulation.advance(1_000);
    assert_eq!(
        simulation.runs_of(id).len(),
        2,
        "the lost runs were not started again"
    );
    simulation.advance_until(4_000, |simulation| {
        simulation.state(id) == Some(JobState::Complete)
    });
}

#[test]
fn ends_are_processed_while_the_store_is_unavailable_and_reported_afterwards() {
    let mut simulation = Simulation::open(&["maps"], 1);
    let second = StepSpec {
        after: vec![0],
        ..step(1, 1_000, 200)
    };
    let id = simulation.submit("maps", job(vec![step(1, 1_000, 300), second]));
    simulation.advance(100);
    simulation.is_store_unavailable = true;
    simulation.advance(3_000);
    assert_eq!(
        simulation.state(id),
        Some(JobState::Active),
        "the end is shown before it is persisted"
    );
    assert_eq!(simulation.starts.len(), 2, "the second step did not start");
    simulation.is_store_unavailable = false;
    simulation.advance_until(200, |simulation| {
        simulation.state(id) == Some(JobState::Complete)
    });
}

#[test]
fn a_fenced_out_leader_starts_no_task() {
    let mut simulation = Simulation::open(&["maps"], 1);
    simulation.workers[0].fence = 9;
    simulation.submit("maps", job(vec![step(1, 1_000, 300)]));
    simulation.advance(500);
    assert!(simulation.engine.has_lost_leadership());
    assert!(simulation.starts.is_empty());
}

#[test]
fn no_task_is_started_on_a_draining_worker() {
    let mut simulation = Simulation::open(&["maps"], 2);
    let id = simulation.workers[0].info.id.clone();
    simulation.workers[0].info.is_draining = true;
    simulation.list_all();
    simulation.submit("maps", job(vec![step(6, 1_000, 300)]));
    simulation.advance(300);
    assert!(simulation.starts.iter().all(|(_, worker, _)| *worker != id));
    assert_eq!(simulation.starts.len(), 6);
}

#[test]
fn a_new_leader_restores_workers_that_are_not_listed_yet() {
    let mut simulation = Simulation::open(&["maps"], 2);
    simulation.advance(60_000);
    let id = simulation.submit("maps", job(vec![long_running(2, 20_000)]));
    simulation.advance(300);
    simulation.fail_over_without_lists(2);
    simulation.advance(500);
    simulation.fail_over_without_lists(3);
    simulation.advance(500);
    assert_eq!(simulation.runs_of(id).len(), 2);
    assert_eq!(
        simulation.starts.len(),
        2,
        "a running task was started again"
    );
}

#[test]
fn a_new_leader_waits_for_stops_in_flight_before_it_stops_more_of_a_step() {
    let mut simulation = Simulation::open(&["maps"], 3);
    let step = StepSpec {
        unavailable_max: Some(1),
        per_worker_max: 1,
        ..long_running(3, 1_000)
    };
    let id = simulation.submit("maps", job(vec![step]));
    simulation.advance(300);
    let instances: Vec<_> = simulation.instances.keys().cloned().collect();
    simulation.request_wave(1, &instances[..2], 2);
    simulation.advance_until(1_000, |simulation| simulation.stops.len() == 1);
    simulation.fail_over(2);
    simulation.request_wave(1, &instances[..2], 2);
    // The stop is still in progress, and the new leader sees the task as available.
    simulation.advance(150);
    assert_eq!(simulation.stops.len(), 1);
    simulation.advance_until(20_000, |simulation| simulation.orders.len() == 2);
    simulation.advance(3_000);
    assert_eq!(simulation.runs_of(id).len(), 3);
}

#[test]
fn a_start_refused_as_late_does_not_affect_other_runs() {
    let mut simulation = Simulation::open(&["maps"], 2);
    let id = simulation.submit("maps", job(vec![long_running(2, 1_000)]));
    simulation.advance(300);
    for worker in simulation.workers.values_mut() {
        worker.refuses_as_late = true;
    }
    simulation.submit("maps", job(vec![step(2, 1_000, 300)]));
    simulation.advance(1_000);
    for worker in simulation.workers.values_mut() {
        worker.refuses_as_late = false;
    }
    simulation.advance(1_000);
    assert_eq!(simulation.runs_of(id).len(), 2);
    assert_eq!(
        simulation.starts.len(),
        4,
        "a running task was started again"
    );
}

#[test]
fn a_delayed_instance_list_does_not_remove_a_new_worker() {
    let mut simulation = Simulation::open(&["maps"], 2);
    let id = simulation.submit("maps", job(vec![long_running(2, 1_000)]));
    simulation.advance(300);
    let first = simulation.runs_of(id)[0].0.clone();
    simulation.workers[&first].loses_answers = true;
    simulation.advance(1_400);
    let mut infos: Vec<_> = simulation.instances.values().cloned().collect();
    for info in &mut infos {
        if info.worker.as_ref() == Some(&first) {
            info.worker = None;
        }
    }
    simulation
        .engine
        .instances_listed(infos, simulation.now_ms, simulation.now_ms);
    simulation.advance(300);
    assert_eq!(
        simulation.runs_of(id).len(),
        2,
        "a run of the new worker was lost or doubled"
    );
}

#[test]
fn a_worker_that_no_instance_has_any_more_is_replaced_without_delay() {
    let mut simulation = Simulation::open(&["maps"], 2);
    let id = simulation.submit("maps", job(vec![long_running(2, 1_000)]));
    simulation.advance(4_000);
    let first = simulation.runs_of(id)[0].0.clone();
    simulation.workers[&first].is_dead = true;
    simulation.workers[&first].running.clear();
    simulation.advance(1_700);
    let mut infos: Vec<_> = simulation.instances.values().cloned().collect();
    for info in &mut infos {
        if info.worker.as_ref() == Some(&first) {
            info.worker = None;
            info.state = hawthornladder::jobs::InstanceState::Down;
        }
    }
    simulation
        .engine
        .instances_listed(infos, simulation.now_ms, simulation.now_ms);
    simulation.advance(200);
    assert_eq!(
        simulation.runs_of(id).len(),
        2,
        "the run was not replaced before its lease expired"
    );
}

#[test]
fn a_new_leader_polls_a_worker_missing_from_a_delayed_instance_list() {
    let mut simulation = Simulation::open(&["maps"], 2);
    let id = simulation.submit(
        "maps",
        job(vec![step(2, 1_000, 300), step(1, 1_000, 3_000)]),
    );
    simulation.advance(200);
    // The runs end while the store is unavailable, so no record shows their ends.
    simulation.is_store_unavailable = true;
    simulation.advance(400);
    simulation.is_store_unavailable = false;
    simulation.fail_over_without_lists(2);
    let mut infos: Vec<_> = simulation.instances.values().cloned().collect();
    for info in &mut infos {
        info.worker = Some("of-before".into());
    }
    simulation
        .engine
        .instances_listed(infos, simulation.now_ms, simulation.now_ms);
    simulation.list_all();
    simulation.advance_until(6_000, |simulation| {
        simulation.state(id) == Some(JobState::Complete)
    });
    assert_eq!(simulation.starts.len(), 3, "a task was started again");
}

#[test]
fn a_slow_worker_gets_no_task_while_others_have_capacity() {
    let mut simulation = Simulation::open(&["maps"], 2);
    let slow = simulation.workers.keys().next().expect("a worker").clone();
    simulation.slow_workers.insert(slow.clone(), 4);
    for _ in 0..12 {
        simulation.submit("maps", job(vec![step(1, 4_000, 200)]));
        simulation.advance(1_000);
    }
    let starts_before_count = simulation.starts.len();
    for _ in 0..10 {
        simulation.submit("maps", job(vec![step(1, 4_000, 200)]));
        simulation.advance(300);
    }
    let later = &simulation.starts[starts_before_count..];
    assert_eq!(later.len(), 10);
    assert!(later.iter().all(|(_, worker, _)| *worker != slow));
    // All of its capacity is used once the others are full.
    let id = simulation.submit("maps", job(vec![step(8, 8_000, 200)]));
    simulation.advance(50);
    assert_eq!(simulation.runs_of(id).len(), 8);
}

#[test]
fn a_new_leader_restores_jobs_to_the_pools_of_the_newest_lists() {
    let mut simulation = Simulation::open(&["maps", "grids"], 1);
    simulation
        .workers
        .values_mut()
        .for_each(|worker| worker.refuses_as_late = true);
    let id = simulation.submit("maps", job(vec![step(1, 4_000, 200)]));
    simulation.advance(500);
    simulation
        .workers
        .values_mut()
        .for_each(|worker| worker.refuses_as_late = false);
    // The lists changed while nobody led.
    simulation.catalog.version = 2;
    simulation.catalog.queues[0].pool = "grids".into();
    simulation.fail_over(2);
    simulation.advance_until(12_000, |simulation| {
        simulation.state(id) == Some(JobState::Complete)
    });
    let last = simulation.starts.last().expect("a start");
    assert!(last.1.starts_with("w-grids"), "{last:?}");
}

/// A leader without the store cancels a job, and a task ends as done before its stop. The next
/// leader knows nothing of the cancel, and must not run the task again.
#[test]
fn an_end_after_a_cancel_that_is_not_persisted_is_not_forgotten() {
    let mut simulation = Simulation::open(&["maps"], 1);
    let id = simulation.submit("maps", job(vec![step(2, 4_000, 600)]));
    let longer = simulation.submit("maps", job(vec![step(1, 4_000, 6_000)]));
    simulation.advance(580);
    assert_eq!(simulation.runs_of(id).len(), 2);
    simulation.is_store_unavailable = true;
    // The stops are lost, so that the tasks end by themselves.
    simulation.workers[0].is_disconnected = true;
    simulation.engine.cancel(id);
    simulation.advance(100);
    simulation.workers[0].is_disconnected = false;
    simulation.advance(1_500);
    let starts_count = |simulation: &Simulation| {
        let starts = simulation.starts.iter();
        starts.filter(|(_, _, task)| task.job == id).count()
    };
    assert_eq!(starts_count(&simulation), 2);
    assert!(simulation.done.iter().any(|task| task.job == id));
    simulation.fail_over(2);
    simulation.is_store_unavailable = false;
    simulation.advance_until(9_000, |simulation| {
        simulation.state(longer) == Some(JobState::Complete)
    });
    assert_eq!(
        starts_count(&simulation),
        2,
        "a task that was done ran again"
    );
}

/// Guards against a worker that is never polled again, and so gets no task, because it was silent
/// before its first run had ended.
#[test]
fn a_worker_that_was_silent_gets_tasks_again() {
    let mut simulation = Simulation::open(&["maps"], 1);
    let id = simulation.submit("maps", job(vec![step(1, 1_000, 1_000)]));
    simulation.advance(100);
    simulation.workers[0].is_disconnected = true;
    simulation.advance(8_000);
    simulation.workers[0].is_disconnected = false;
    simulation.advance_until(3_000, |simulation| {
        simulation.state(id) == Some(JobState::Complete)
    });
}

/// Guards against runs that are started again beside the first ones because the list of instances, a
/// page or a row of which cannot be read, lacks the instance of an unresponsive worker.
#[test]
fn an_instance_missing_from_the_list_is_no_sign_that_its_worker_is_gone() {
    let mut simulation = Simulation::open(&["maps"], 2);
    let id = simulation.submit("maps", job(vec![step(2, 1_000, 20_000)]));
    simulation.advance(4_000);
    let first = simulation.runs_of(id)[0].0.clone();
    simulation.workers[&first].is_disconnected = true;
    simulation.advance(1_900);
    let has_first = |info: &&InstanceInfo| info.worker != Some(first.clone());
    let infos = simulation.instances.values().filter(has_first);
    let infos = infos.cloned().collect();
    simulation
        .engine
        .instances_listed(infos, simulation.now_ms, simulation.now_ms);
    simulation.advance(1_000);
    assert_eq!(simulation.runs_of(id).len(), 2);
    simulation.workers[&first].is_disconnected = false;
    simulation.advance_until(30_000, |simulation| {
        simulation.state(id) == Some(JobState::Complete)
    });
}

/// Guards against a worker without a record on which tasks are started, so that the next leader does
/// not wait for it: its record was deleted, for an order to its instance that was refused later,
/// while a newer record was on its way to the store.
#[test]
fn a_worker_forgotten_while_its_record_is_in_flight_is_recorded_before_it_gets_tasks() {
    let mut simulation = Simulation::open(&["maps"], 2);
    let ids: Vec<_> = simulation.workers.keys().cloned().collect();
    simulation.refuses_orders = true;
    simulation.advance(100);
    // Newer records, as the workers have more capacity.
    for id in &ids {
        simulation.resize(id, size(64_000, 256_000));
    }
    simulation.list_all();
    simulation.advance(10);
    simulation.is_store_unavailable = true;
    simulation.request_wave(7, &["maps-0".into(), "maps-1".into()], 2);
    simulation.advance(1_000);
    simulation.is_store_unavailable = false;
    simulation.advance(100);
    let id = simulation.submit("maps", job(vec![step(2, 10_000, 20_000)]));
    simulation.advance(400);
    let runs = simulation.runs_of(id);
    assert!(!runs.is_empty(), "no task was started");
    for (worker, _, _) in runs {
        let key = smol_str::format_smolstr!("w{worker}");
        assert!(
            simulation.stored.contains_key(&key),
            "{worker} has no record"
        );
    }
}

/// Guards against a task that is started while its first run goes on at a worker that is cut off: a
/// worker of which the processor is busy ends runs later than their lease.
#[test]
fn a_worker_that_ends_expired_runs_late_does_not_run_them_beside_others() {
    let mut simulation = Simulation::open(&["maps"], 3);
    for worker in simulation.workers.values_mut() {
        worker.expiry_delay_ms = EXPIRY_DELAY_MS;
    }
    let id = simulation.submit("maps", job(vec![step(6, 1_000, 20_000)]));
    simulation.advance(1_000);
    let first = simulation.runs_of(id)[0].0.clone();
    simulation.workers[&first].is_disconnected = true;
    simulation.advance(LEASES_EXPIRED_MS);
    assert!(simulation.starts.len() > 6, "no task was started again");
    simulation.workers[&first].is_disconnected = false;
    simulation.advance_until(60_000, |simulation| {
        simulation.state(id) == Some(JobState::Complete)
    });
}

/// Guards against a new leader that starts a task beside its run at a worker that is cut off and ends
/// expired runs late.
#[test]
fn a_new_leader_allows_for_a_worker_that_ends_expired_runs_late() {
    let mut simulation = Simulation::open(&["maps"], 2);
    let id = simulation.submit("maps", job(vec![step(2, 1_000, 60_000)]));
    simulation.advance(500);
    let first = simulation.runs_of(id)[0].0.clone();
    let worker = &mut simulation.workers[&first];
    worker.is_disconnected = true;
    // The last lease that the earlier leader may have given.
    worker.leased_until_ms = simulation.now_ms + INHERITED_RUNS_MAX_MS;
    worker.expiry_delay_ms = EXPIRY_DELAY_MS;
    simulation.fail_over(2);
    simulation.advance(INHERITED_RUNS_MAX_MS + 2_000);
    assert_eq!(
        simulation.runs_of(id).len(),
        2,
        "a task was not started again"
    );
}

/// Guards against a new leader that starts tasks beside their runs because the list of instances does
/// not have the id of a worker that it knows from its record only, as one that is cut off.
#[test]
fn a_recorded_worker_without_a_row_in_the_list_of_instances_is_not_gone() {
    let mut simulation = Simulation::open(&["maps"], 2);
    let id = simulation.submit("maps", job(vec![step(2, 1_000, 20_000)]));
    simulation.advance(500);
    let ids: Vec<_> = simulation.workers.keys().cloned().collect();
    let worker = &mut simulation.workers[&ids[0]];
    worker.is_disconnected = true;
    // The last lease that the earlier leader may have given.
    worker.leased_until_ms = simulation.now_ms + INHERITED_RUNS_MAX_MS;
    simulation.fail_over_without_lists(2);
    simulation.list_to_leader(&ids[1..]);
    simulation.advance(3_500);
    simulation.instances[0].worker = None;
    simulation.list_instances();
    simulation.advance(1_000);
    assert_eq!(simulation.runs_of(id).len(), 2);
    simulation.workers[&ids[0]].is_disconnected = false;
    simulation.advance_until(30_000, |simulation| {
        simulation.state(id) == Some(JobState::Complete)
    });
}

/// Guards against runs of a restarted worker that are started again beside the first ones, because a
/// delayed list of instances shows its instance as it was before the restart.
#[test]
fn a_delayed_instance_list_does_not_remove_a_restarted_worker() {
    let mut simulation = Simulation::open(&["maps"], 2);
    simulation.advance(4_000);
    let mut before: Vec<InstanceInfo> = simulation.instances.values().cloned().collect();
    let started_unix_ms = super::simulation::UNIX_MS + simulation.now_ms;
    for worker in simulation.workers.values_mut() {
        worker.restart(started_unix_ms);
    }
    simulation.list_all();
    simulation.advance(200);
    let id = simulation.submit("maps", job(vec![long_running(2, 10_000)]));
    simulation.advance(300);
    let silent = simulation.runs_of(id)[0].0.clone();
    simulation.workers[&silent].loses_answers = true;
    simulation.advance(2_200);
    let is_its_own = |info: &&mut InstanceInfo| {
        Some(&info.name) == simulation.workers[&silent].info.instance.as_ref()
    };
    let row = before.iter_mut().find(is_its_own).expect("its instance");
    row.state = InstanceState::Down;
    simulation
        .engine
        .instances_listed(before, simulation.now_ms, simulation.now_ms);
    simulation.advance(300);
    assert_eq!(simulation.runs_of(id).len(), 2);
}

/// Guards against a gang that is started again though the end of a member as done was acknowledged: the
/// record of the end was not persisted, and the only other worker that listed an end crashed.
#[test]
fn the_ends_of_a_gang_are_acknowledged_once_one_of_them_is_persisted() {
    let mut simulation = Simulation::open(&["maps"], 2);
    let gang = StepSpec {
        is_gang: true,
        per_worker_max: 1,
        ..step(2, 1_000, 500)
    };
    let second = StepSpec {
        after: vec![0],
        ..step(1, 1_000, 300)
    };
    let id = simulation.submit("maps", job(vec![gang, second]));
    simulation.advance(300);
    simulation.is_store_unavailable = true;
    simulation.advance(3_000);
    let has_gang_end = |id: &&SmolStr| {
        let mut ends = simulation.workers[*id].ended.iter();
        ends.any(|end| end.name.step == 0)
    };
    let listing = simulation.workers.keys().find(has_gang_end).cloned();
    simulation.crash(&listing.expect("a worker that lists an end"));
    simulation.fail_over(2);
    simulation.is_store_unavailable = false;
    simulation.advance_until(20_000, |simulation| {
        simulation.state(id) == Some(JobState::Complete)
    });
}

/// Guards against tasks that are started again though they are done: a worker restarted under its id,
/// and the leader acknowledged the ends of its new runs by the numbers of its earlier ones.
#[test]
fn ends_of_a_restarted_worker_are_not_acknowledged_by_the_numbers_of_before() {
    let mut simulation = Simulation::open(&["maps"], 1);
    simulation.submit("maps", job(vec![step(4, 1_000, 300)]));
    simulation.advance(2_000);
    let started_unix_ms = super::simulation::UNIX_MS + simulation.now_ms;
    simulation.workers[0].restart(started_unix_ms);
    let id = simulation.submit("maps", job(vec![step(4, 1_000, 300)]));
    simulation.advance_until(10_000, |simulation| {
        simulation.state(id) == Some(JobState::Complete)
    });
    assert_eq!(simulation.starts.len(), 8, "a task was started twice");
}
