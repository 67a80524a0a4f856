//! What the engine does when workers, the store or its leader fail.

use hawthornladder::jobs::{JobState, StepSpec};

use super::simulation::{job, long_running, step, Simulation};

/// Every lease that a worker may hold is over after this time, in milliseconds: the lease, the drift
/// of its clock, and the time in which silence is noticed.
const LAPSED_MS: u64 = 6_000;

#[test]
fn a_worker_that_falls_silent_loses_its_runs_once_their_lease_is_over() {
    let mut simulation = Simulation::open(&["maps"], 2);
    let id = simulation.submit("maps", job(vec![long_running(2, 1_000)]));
    simulation.advance(300);
    let first = simulation.runs_of(id)[0].0.clone();
    simulation.workers[&first].is_dead = true;
    simulation.workers[&first].running.clear();
    simulation.advance_until(LAPSED_MS, |simulation| simulation.runs_of(id).len() == 2);
}

#[test]
fn a_worker_that_is_cut_off_and_runs_on_never_runs_a_task_beside_another() {
    let mut simulation = Simulation::open(&["maps"], 2);
    let id = simulation.submit("maps", job(vec![long_running(2, 1_000)]));
    simulation.advance(300);
    let first = simulation.runs_of(id)[0].0.clone();
    simulation.workers[&first].is_disconnected = true;
    simulation.advance(LAPSED_MS * 2);
    simulation.workers[&first].is_disconnected = false;
    simulation.advance(3_000);
    assert_eq!(simulation.runs_of(id).len(), 2);
}

#[test]
fn a_successor_keeps_what_runs_while_ends_are_not_on_record_yet() {
    let mut simulation = Simulation::open(&["maps"], 1);
    let lasting = simulation.submit("maps", job(vec![long_running(1, 1_000)]));
    let short = simulation.submit("maps", job(vec![step(2, 1_000, 400)]));
    simulation.advance(300);
    simulation.is_store_unavailable = true;
    simulation.advance(300);
    let runs = simulation.runs_of(lasting);
    simulation.fail_over(2);
    simulation.advance(2_000);
    assert_eq!(simulation.runs_of(lasting), runs, "it runs on");
    simulation.is_store_unavailable = false;
    simulation.advance_until(500, |simulation| {
        simulation.state(short) == Some(JobState::Complete)
    });
    assert_eq!(simulation.starts.len(), 3);
}

#[test]
fn a_successor_waits_for_a_worker_out_of_reach_before_it_starts_anything_again() {
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
        "the other worker has room for one"
    );
}

#[test]
fn jobs_handed_in_after_a_take_over_do_not_wait_for_a_worker_out_of_reach() {
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
fn every_accepted_job_survives_its_leader() {
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
    assert_eq!(simulation.starts.len(), 25, "nothing ran twice");
}

#[test]
fn a_start_whose_answer_was_lost_is_found_or_barred() {
    let mut simulation = Simulation::open(&["maps"], 2);
    for worker in simulation.workers.values_mut() {
        worker.loses_answers = true;
    }
    let id = simulation.submit("maps", job(vec![step(2, 1_000, 500)]));
    simulation.advance(300);
    for worker in simulation.workers.values_mut() {
        worker.loses_answers = false;
    }
    simulation.advance_until(LAPSED_MS, |simulation| {
        simulation.state(id) == Some(JobState::Complete)
    });
}

#[test]
fn a_worker_reborn_under_its_id_has_lost_its_runs() {
    let mut simulation = Simulation::open(&["maps"], 1);
    let id = simulation.submit("maps", job(vec![step(2, 1_000, 2_000)]));
    simulation.advance(300);
    let started_unix_ms = super::simulation::UNIX_MS + simulation.now_ms;
    simulation.workers[0].restart(started_unix_ms);
    simulation.advance(1_000);
    assert_eq!(simulation.runs_of(id).len(), 2, "started again");
    simulation.advance_until(4_000, |simulation| {
        simulation.state(id) == Some(JobState::Complete)
    });
}

#[test]
fn ends_are_taken_in_while_the_store_is_away_and_told_when_it_is_back() {
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
        "not on record"
    );
    assert_eq!(simulation.starts.len(), 2, "the work went on");
    simulation.is_store_unavailable = false;
    simulation.advance_until(200, |simulation| {
        simulation.state(id) == Some(JobState::Complete)
    });
}

#[test]
fn a_leader_that_a_worker_has_fenced_off_gives_no_orders() {
    let mut simulation = Simulation::open(&["maps"], 1);
    simulation.workers[0].fence = 9;
    simulation.submit("maps", job(vec![step(1, 1_000, 300)]));
    simulation.advance(500);
    assert!(simulation.engine.has_lost_leadership());
    assert!(simulation.starts.is_empty());
}

#[test]
fn no_task_is_started_on_a_worker_that_drains() {
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
fn a_successor_remembers_workers_that_the_list_does_not_show_yet() {
    let mut simulation = Simulation::open(&["maps"], 2);
    simulation.advance(60_000);
    let id = simulation.submit("maps", job(vec![long_running(2, 20_000)]));
    simulation.advance(300);
    simulation.fail_over_without_lists(2);
    simulation.advance(500);
    simulation.fail_over_without_lists(3);
    simulation.advance(500);
    assert_eq!(simulation.runs_of(id).len(), 2);
    assert_eq!(simulation.starts.len(), 2, "it found what runs");
}

#[test]
fn a_successor_waits_for_stops_under_way_before_it_stops_more_of_a_step() {
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
    // The stop goes on while the successor sees the task at work.
    simulation.advance(150);
    assert_eq!(simulation.stops.len(), 1);
    simulation.advance_until(20_000, |simulation| simulation.orders.len() == 2);
    simulation.advance(3_000);
    assert_eq!(simulation.runs_of(id).len(), 3);
}

#[test]
fn a_start_refused_as_late_says_nothing_of_other_runs() {
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
    assert_eq!(simulation.starts.len(), 4, "nothing was started again");
}

#[test]
fn a_list_of_instances_that_lags_ends_no_new_worker() {
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
    assert_eq!(simulation.runs_of(id).len(), 2, "it runs on where it is");
}

#[test]
fn a_worker_that_no_instance_has_any_more_is_replaced_at_once() {
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
    assert_eq!(simulation.runs_of(id).len(), 2, "before the lease is over");
}

#[test]
fn a_successor_looks_at_a_worker_that_a_lagging_list_of_instances_does_not_show() {
    let mut simulation = Simulation::open(&["maps"], 2);
    let id = simulation.submit(
        "maps",
        job(vec![step(2, 1_000, 300), step(1, 1_000, 3_000)]),
    );
    simulation.advance(200);
    // The ends come in while the store is away, so that they are on record nowhere.
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
    assert_eq!(simulation.starts.len(), 3, "no task was started again");
}
