//! What the engine does when workers, the store or its leader fail.

use hawthornladder::jobs::{JobState, StepSpec};

use super::plant::{endless, job, step, Plant};

/// Every lease that a worker may hold is over after this time, in milliseconds: the lease, the drift
/// of its clock, and the time in which silence is noticed.
const LAPSED_MS: u64 = 6_000;

#[test]
fn a_worker_that_falls_silent_loses_its_runs_once_their_lease_is_over() {
    let mut plant = Plant::open(&["maps"], 2);
    let id = plant.submit("maps", job(vec![endless(2, 1_000)]));
    plant.advance(300);
    let first = plant.runs_of(id)[0].0.clone();
    plant.workers[&first].is_dead = true;
    plant.workers[&first].running.clear();
    plant.advance_until(LAPSED_MS, |plant| plant.runs_of(id).len() == 2);
}

#[test]
fn a_worker_that_is_cut_off_and_runs_on_never_runs_a_task_beside_another() {
    let mut plant = Plant::open(&["maps"], 2);
    let id = plant.submit("maps", job(vec![endless(2, 1_000)]));
    plant.advance(300);
    let first = plant.runs_of(id)[0].0.clone();
    plant.workers[&first].is_cut = true;
    plant.advance(LAPSED_MS * 2);
    plant.workers[&first].is_cut = false;
    plant.advance(3_000);
    assert_eq!(plant.runs_of(id).len(), 2);
}

#[test]
fn a_successor_keeps_what_runs_while_ends_are_not_on_record_yet() {
    let mut plant = Plant::open(&["maps"], 1);
    let lasting = plant.submit("maps", job(vec![endless(1, 1_000)]));
    let short = plant.submit("maps", job(vec![step(2, 1_000, 400)]));
    plant.advance(300);
    plant.is_store_away = true;
    plant.advance(300);
    let runs = plant.runs_of(lasting);
    plant.take_over(2);
    plant.advance(2_000);
    assert_eq!(plant.runs_of(lasting), runs, "it runs on");
    plant.is_store_away = false;
    plant.advance_until(500, |plant| plant.state(short) == Some(JobState::Complete));
    assert_eq!(plant.starts.len(), 3);
}

#[test]
fn a_successor_waits_for_a_worker_out_of_reach_before_it_starts_anything_again() {
    let mut plant = Plant::open(&["maps"], 2);
    let id = plant.submit("maps", job(vec![endless(2, 20_000)]));
    plant.advance(300);
    let first = plant.runs_of(id)[0].0.clone();
    plant.workers[&first].is_cut = true;
    plant.take_over(2);
    plant.advance(20_000);
    assert_eq!(
        plant.runs_of(id).len(),
        1,
        "the other worker has room for one"
    );
}

#[test]
fn jobs_handed_in_after_a_take_over_do_not_wait_for_a_worker_out_of_reach() {
    let mut plant = Plant::open(&["maps"], 3);
    plant.advance(200);
    let first = plant.workers[0].sheet.id.clone();
    plant.workers[&first].is_cut = true;
    plant.take_over(2);
    plant.advance(100);
    let id = plant.submit("maps", job(vec![step(4, 1_000, 200)]));
    plant.advance_until(1_000, |plant| plant.state(id) == Some(JobState::Complete));
}

#[test]
fn every_accepted_job_survives_its_leader() {
    let mut plant = Plant::open(&["maps"], 2);
    let mut ids = Vec::new();
    for _ in 0..5 {
        let second = StepSpec {
            after: vec![0],
            ..step(2, 1_000, 300)
        };
        ids.push(plant.submit("maps", job(vec![step(3, 1_000, 300), second])));
        plant.advance(50);
    }
    for fence in 2..6 {
        plant.take_over(fence);
        plant.advance(150);
    }
    plant.advance_until(5_000, |plant| {
        ids.iter()
            .all(|id| plant.state(*id) == Some(JobState::Complete))
    });
    assert_eq!(plant.starts.len(), 25, "nothing ran twice");
}

#[test]
fn a_start_whose_answer_was_lost_is_found_or_barred() {
    let mut plant = Plant::open(&["maps"], 2);
    for worker in plant.workers.values_mut() {
        worker.is_mute = true;
    }
    let id = plant.submit("maps", job(vec![step(2, 1_000, 500)]));
    plant.advance(300);
    for worker in plant.workers.values_mut() {
        worker.is_mute = false;
    }
    plant.advance_until(LAPSED_MS, |plant| {
        plant.state(id) == Some(JobState::Complete)
    });
}

#[test]
fn a_worker_reborn_under_its_id_has_lost_its_runs() {
    let mut plant = Plant::open(&["maps"], 1);
    let id = plant.submit("maps", job(vec![step(2, 1_000, 2_000)]));
    plant.advance(300);
    let started_unix_ms = super::plant::UNIX_MS + plant.now_ms;
    plant.workers[0].reborn(started_unix_ms);
    plant.advance(1_000);
    assert_eq!(plant.runs_of(id).len(), 2, "started again");
    plant.advance_until(4_000, |plant| plant.state(id) == Some(JobState::Complete));
}

#[test]
fn ends_are_taken_in_while_the_store_is_away_and_told_when_it_is_back() {
    let mut plant = Plant::open(&["maps"], 1);
    let second = StepSpec {
        after: vec![0],
        ..step(1, 1_000, 200)
    };
    let id = plant.submit("maps", job(vec![step(1, 1_000, 300), second]));
    plant.advance(100);
    plant.is_store_away = true;
    plant.advance(3_000);
    assert_eq!(plant.state(id), Some(JobState::Active), "not on record");
    assert_eq!(plant.starts.len(), 2, "the work went on");
    plant.is_store_away = false;
    plant.advance_until(200, |plant| plant.state(id) == Some(JobState::Complete));
}

#[test]
fn a_leader_that_a_worker_has_fenced_off_gives_no_orders() {
    let mut plant = Plant::open(&["maps"], 1);
    plant.workers[0].fence = 9;
    plant.submit("maps", job(vec![step(1, 1_000, 300)]));
    plant.advance(500);
    assert!(plant.engine.has_lost_leadership());
    assert!(plant.starts.is_empty());
}

#[test]
fn no_task_is_started_on_a_worker_that_drains() {
    let mut plant = Plant::open(&["maps"], 2);
    let id = plant.workers[0].sheet.id.clone();
    plant.workers[0].sheet.is_draining = true;
    plant.list_all();
    plant.submit("maps", job(vec![step(6, 1_000, 300)]));
    plant.advance(300);
    assert!(plant.starts.iter().all(|(_, worker, _)| *worker != id));
    assert_eq!(plant.starts.len(), 6);
}

#[test]
fn a_successor_remembers_workers_that_the_list_does_not_show_yet() {
    let mut plant = Plant::open(&["maps"], 2);
    plant.advance(60_000);
    let id = plant.submit("maps", job(vec![endless(2, 20_000)]));
    plant.advance(300);
    plant.take_over_blind(2);
    plant.advance(500);
    plant.take_over_blind(3);
    plant.advance(500);
    assert_eq!(plant.runs_of(id).len(), 2);
    assert_eq!(plant.starts.len(), 2, "it found what runs");
}

#[test]
fn a_successor_waits_for_stops_under_way_before_it_stops_more_of_a_step() {
    let mut plant = Plant::open(&["maps"], 3);
    let step = StepSpec {
        unavailable_max: Some(1),
        per_worker_max: 1,
        ..endless(3, 1_000)
    };
    let id = plant.submit("maps", job(vec![step]));
    plant.advance(300);
    let instances: Vec<_> = plant.instances.keys().cloned().collect();
    plant.ask_wave(1, &instances[..2], 2);
    plant.advance_until(1_000, |plant| plant.stops.len() == 1);
    plant.take_over(2);
    plant.ask_wave(1, &instances[..2], 2);
    // The stop goes on while the successor sees the task at work.
    plant.advance(150);
    assert_eq!(plant.stops.len(), 1);
    plant.advance_until(20_000, |plant| plant.orders.len() == 2);
    plant.advance(3_000);
    assert_eq!(plant.runs_of(id).len(), 3);
}

#[test]
fn a_start_refused_as_late_says_nothing_of_other_runs() {
    let mut plant = Plant::open(&["maps"], 2);
    let id = plant.submit("maps", job(vec![endless(2, 1_000)]));
    plant.advance(300);
    for worker in plant.workers.values_mut() {
        worker.refuses_as_late = true;
    }
    plant.submit("maps", job(vec![step(2, 1_000, 300)]));
    plant.advance(1_000);
    for worker in plant.workers.values_mut() {
        worker.refuses_as_late = false;
    }
    plant.advance(1_000);
    assert_eq!(plant.runs_of(id).len(), 2);
    assert_eq!(plant.starts.len(), 4, "nothing was started again");
}

#[test]
fn a_list_of_instances_that_lags_ends_no_new_worker() {
    let mut plant = Plant::open(&["maps"], 2);
    let id = plant.submit("maps", job(vec![endless(2, 1_000)]));
    plant.advance(300);
    let first = plant.runs_of(id)[0].0.clone();
    plant.workers[&first].is_mute = true;
    plant.advance(1_400);
    let mut sheets: Vec<_> = plant.instances.values().cloned().collect();
    for sheet in &mut sheets {
        if sheet.worker.as_ref() == Some(&first) {
            sheet.worker = None;
        }
    }
    plant
        .engine
        .instances_listed(sheets, plant.now_ms, plant.now_ms);
    plant.advance(300);
    assert_eq!(plant.runs_of(id).len(), 2, "it runs on where it is");
}

#[test]
fn a_worker_that_no_instance_has_any_more_is_replaced_at_once() {
    let mut plant = Plant::open(&["maps"], 2);
    let id = plant.submit("maps", job(vec![endless(2, 1_000)]));
    plant.advance(4_000);
    let first = plant.runs_of(id)[0].0.clone();
    plant.workers[&first].is_dead = true;
    plant.workers[&first].running.clear();
    plant.advance(1_700);
    let mut sheets: Vec<_> = plant.instances.values().cloned().collect();
    for sheet in &mut sheets {
        if sheet.worker.as_ref() == Some(&first) {
            sheet.worker = None;
            sheet.state = hawthornladder::jobs::InstanceState::Down;
        }
    }
    plant
        .engine
        .instances_listed(sheets, plant.now_ms, plant.now_ms);
    plant.advance(200);
    assert_eq!(plant.runs_of(id).len(), 2, "before the lease is over");
}

#[test]
fn a_successor_looks_at_a_worker_that_a_lagging_list_of_instances_does_not_show() {
    let mut plant = Plant::open(&["maps"], 2);
    let id = plant.submit(
        "maps",
        job(vec![step(2, 1_000, 300), step(1, 1_000, 3_000)]),
    );
    plant.advance(200);
    // The ends come in while the store is away, so that they are on record nowhere.
    plant.is_store_away = true;
    plant.advance(400);
    plant.is_store_away = false;
    plant.take_over_blind(2);
    let mut sheets: Vec<_> = plant.instances.values().cloned().collect();
    for sheet in &mut sheets {
        sheet.worker = Some("of-before".into());
    }
    plant
        .engine
        .instances_listed(sheets, plant.now_ms, plant.now_ms);
    plant.list_all();
    plant.advance_until(6_000, |plant| plant.state(id) == Some(JobState::Complete));
    assert_eq!(plant.starts.len(), 3, "no task was started again");
}
