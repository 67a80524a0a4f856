//! Waits of tasks for the rack of their data. Racks have four workers of 32 cores; the simulated
//! workers run tasks longer outside their racks.

use hawthornladder::jobs::{
    choose_place, ExpectedRun, JobId, JobState, PlaceChoice, PlaceVerdict, RackForecast,
    RackWorker, StepSpec,
};
use smol_str::SmolStr;

use super::simulation::{job, size, step, Simulation};

const HOT: &str = "r1-0";
/// Processor time of a whole worker, in thousandths of a core.
const WHOLE: u64 = 32_000;

/// Returns tasks near a rack, each of which takes a whole worker.
fn near(rack: &str, tasks_count: u32, estimate_ms: u64) -> StepSpec {
    StepSpec {
        near_rack: Some(rack.into()),
        ..step(tasks_count, WHOLE, estimate_ms)
    }
}

/// Returns racks of four workers; the first `full` of them are full for `busy_ms`.
fn racks(count: usize, full: usize, busy_ms: u64, factor_permille: u64) -> Simulation {
    let mut simulation = Simulation::open_with_factor(&["a"], 4 * count, factor_permille);
    for rack in 0..full {
        simulation.submit("a", job(vec![near(&format!("r1-{rack}"), 4, busy_ms)]));
    }
    simulation.advance(100);
    simulation
}

/// Returns the racks in which the tasks of a job were started, with the times after `from_ms`.
fn starts_of(simulation: &Simulation, id: JobId, from_ms: u64) -> Vec<(SmolStr, u64)> {
    let starts = simulation.starts.iter().filter(|start| start.2.job == id);
    let rack = |worker: &SmolStr| simulation.workers[worker].info.labels[1].clone();
    starts
        .map(|(at_ms, worker, _)| (rack(worker), at_ms - from_ms))
        .collect()
}

fn assert_done(simulation: &mut Simulation, ids: &[JobId], within_ms: u64) {
    simulation.advance_until(within_ms, |simulation| {
        let state = |id: &JobId| simulation.state(*id) == Some(JobState::Complete);
        ids.iter().all(state)
    });
}

/// Guards against a wait beyond each of its bounds, and against one that gains nothing.
#[test]
fn a_decision_to_wait_stays_within_its_bounds() {
    let base = PlaceChoice {
        now_ms: 10_000,
        run_ms: 1_000,
        remote_factor_permille: 3_000,
        near_start_ms: Some(11_000),
        since_ms: 10_000,
        latest_start_ms: Some(20_000),
        has_running: true,
    };
    let wait = |until_ms| PlaceVerdict::Wait { until_ms };
    let cases = [
        (base, wait(12_000)),
        (
            PlaceChoice {
                has_running: false,
                ..base
            },
            wait(11_500),
        ),
        (
            PlaceChoice {
                latest_start_ms: Some(11_200),
                ..base
            },
            wait(11_200),
        ),
        (
            PlaceChoice {
                latest_start_ms: None,
                ..base
            },
            wait(12_000),
        ),
        (
            PlaceChoice {
                near_start_ms: Some(12_000),
                ..base
            },
            PlaceVerdict::NotFaster,
        ),
        (
            PlaceChoice {
                near_start_ms: None,
                ..base
            },
            PlaceVerdict::NoRoomNear,
        ),
        (
            PlaceChoice {
                latest_start_ms: Some(10_900),
                ..base
            },
            PlaceVerdict::BoundReached,
        ),
        (
            PlaceChoice {
                since_ms: 8_000,
                ..base
            },
            PlaceVerdict::BoundReached,
        ),
        (
            PlaceChoice {
                remote_factor_permille: 1_000,
                ..base
            },
            PlaceVerdict::NotFaster,
        ),
        (
            PlaceChoice {
                remote_factor_permille: 500,
                ..base
            },
            PlaceVerdict::NotFaster,
        ),
    ];
    for (choice, verdict) in cases {
        assert_eq!(choose_place(&choice), verdict, "{choice:?}");
    }
}

/// Guards against a forecast that gives one slot to several tasks, or forgets instances that arrive.
#[test]
fn a_forecast_counts_the_tasks_ahead_and_the_instances_that_arrive() {
    let run = |cpu_millis, ends_ms| ExpectedRun {
        reservation: size(cpu_millis, 0),
        ends_ms,
    };
    let busy = vec![run(20, 900), run(10, 500)];
    let present = RackWorker::new(None, size(32, 0), 100, busy);
    let arriving = RackWorker::new(None, size(32, 0), 2_000, Vec::new());
    let mut forecast = RackForecast::new(vec![present, arriving]);
    let mut starts_ms = Vec::new();
    for cpu_millis in [2, 10, 25, 25, 25] {
        let wanted = size(cpu_millis, 0);
        let start = forecast.earliest_start(&wanted, |_| true).expect("room");
        forecast.add_task(start, wanted, 1_000);
        starts_ms.push(start.at_ms);
    }
    assert_eq!(starts_ms, [100, 500, 1_500, 2_000, 2_500]);
    assert_eq!(forecast.earliest_start(&size(33, 0), |_| true), None);
}

/// Guards against the long run elsewhere while the rack has a slot soon, and against a wait that
/// holds back other work of the same size.
#[test]
fn tasks_wait_for_one_hot_rack_and_hold_back_nobody() {
    let mut simulation = racks(2, 1, 600, 3_000);
    let from_ms = simulation.now_ms;
    let id = simulation.submit("a", job(vec![near(HOT, 4, 1_000)]));
    let other = simulation.submit("a", job(vec![step(4, WHOLE, 1_500)]));
    simulation.advance(100);
    assert_eq!(simulation.engine.place_waits_count(), 4);
    assert_eq!(simulation.runs_of(other).len(), 4, "others were held back");
    assert_done(&mut simulation, &[id, other], 2_500);
    for (rack, after_ms) in starts_of(&simulation, id, from_ms) {
        assert!(
            rack == HOT && (400..700).contains(&after_ms),
            "{rack} {after_ms}"
        );
    }
    let counts = simulation.engine.take_place_wait_counts();
    assert_eq!(
        (counts.started_count, counts.won_count, counts.lost_count),
        (4, 4, 0)
    );
    assert_eq!(simulation.engine.place_waits_count(), 0);
}

/// Guards against a forecast that mixes up racks.
#[test]
fn tasks_of_two_hot_racks_wait_for_their_own() {
    let mut simulation = racks(3, 2, 600, 3_000);
    let from_ms = simulation.now_ms;
    let wanted = ["r1-0", "r1-1"].map(|rack| {
        let id = simulation.submit("a", job(vec![near(rack, 4, 1_000)]));
        (rack, id)
    });
    assert_done(&mut simulation, &wanted.map(|(_, id)| id), 3_000);
    for (wanted, id) in wanted {
        let starts = starts_of(&simulation, id, from_ms);
        assert!(starts.iter().all(|(rack, _)| rack == wanted), "{starts:?}");
    }
}

/// Guards against a wait for workers that will not take the task: all are unresponsive, or their
/// zone is evacuated. The runs there would have ended after 1,300 ms.
#[test]
fn waits_end_when_the_rack_falls_silent_or_its_zone_is_evacuated() {
    for is_silent in [true, false] {
        let mut simulation = racks(2, 1, 1_400, 3_000);
        let id = simulation.submit("a", job(vec![near(HOT, 4, 4_000)]));
        simulation.advance(100);
        assert_eq!(simulation.engine.place_waits_count(), 4);
        if is_silent {
            let workers = simulation.workers.values_mut().take(4);
            workers.for_each(|worker| worker.is_disconnected = true);
            simulation.advance(900);
        } else {
            simulation.evacuate(&["zone-a"]);
            simulation.advance(50);
        }
        assert_eq!(simulation.engine.place_waits_count(), 0);
        assert_eq!(simulation.runs_of(id).len(), 4, "silent: {is_silent}");
        assert_eq!(simulation.engine.take_place_wait_counts().lost_count, 4);
    }
}

/// Guards against short tasks that wait behind long ones for longer than they run elsewhere.
#[test]
fn short_tasks_do_not_wait_behind_long_ones() {
    let mut simulation = racks(3, 1, 700, 2_000);
    let long = simulation.submit("a", job(vec![near(HOT, 4, 1_000)]));
    // By then the long tasks have less slack than the short ones, so that they go first.
    simulation.advance(300);
    assert_eq!(simulation.engine.place_waits_count(), 4);
    let from_ms = simulation.now_ms;
    let short = simulation.submit("a", job(vec![near(HOT, 4, 600)]));
    simulation.advance(100);
    let starts = starts_of(&simulation, short, from_ms);
    let is_elsewhere = |(rack, after_ms): &(SmolStr, u64)| rack != HOT && *after_ms < 60;
    assert!(
        starts.len() == 4 && starts.iter().all(is_elsewhere),
        "{starts:?}"
    );
    assert_done(&mut simulation, &[long, short], 3_000);
    let starts = starts_of(&simulation, long, from_ms);
    assert!(starts.iter().all(|(rack, _)| rack == HOT), "{starts:?}");
}

/// Guards against a gang that spans racks although one is whole soon.
#[test]
fn a_gang_waits_for_a_whole_rack() {
    let mut simulation = Simulation::open_with_factor(&["a"], 8, 3_000);
    for (rack, busy_ms) in [("r1-0", 900), ("r1-1", 600)] {
        simulation.submit("a", job(vec![near(rack, 1, busy_ms)]));
    }
    simulation.advance(100);
    let from_ms = simulation.now_ms;
    let gang = StepSpec {
        is_gang: true,
        in_one_rack: true,
        ..step(4, WHOLE, 1_000)
    };
    let id = simulation.submit("a", job(vec![gang]));
    assert_done(&mut simulation, &[id], 2_000);
    let starts = starts_of(&simulation, id, from_ms);
    let is_whole = |(rack, after_ms): &(SmolStr, u64)| rack == "r1-1" && *after_ms < 700;
    assert!(
        starts.len() == 4 && starts.iter().all(is_whole),
        "{starts:?}"
    );
    assert_eq!(simulation.engine.take_place_wait_counts().won_count, 1);
}

/// Makes what runs in the hot rack never end, although it is expected to end soon.
fn block_hot_rack(simulation: &mut Simulation) {
    for worker in simulation.workers.values_mut().take(4) {
        let runs = worker.running.values_mut();
        runs.for_each(|run| run.ends_ms += 60_000);
    }
}

/// Guards against a wait that a wrong forecast prolongs beyond the target of the job, or beyond the
/// longest wait of a job of which nothing runs.
#[test]
fn a_wait_for_a_slot_that_never_comes_ends_by_its_bounds() {
    for (estimate_ms, until_ms) in [(1_000, 1_200), (5_000, 1_500)] {
        let mut simulation = racks(2, 1, 300, 4_000);
        block_hot_rack(&mut simulation);
        let from_ms = simulation.now_ms;
        let id = simulation.submit("a", job(vec![near(HOT, 1, estimate_ms)]));
        simulation.advance(until_ms + 100);
        let starts = starts_of(&simulation, id, from_ms);
        let is_bound = |after_ms| (until_ms - 20..until_ms + 50).contains(&after_ms);
        assert!(
            starts.len() == 1 && is_bound(starts[0].1),
            "{until_ms}: {starts:?}"
        );
    }
}

/// Guards against a wait that each new leader prolongs beyond the target.
#[test]
fn a_wait_over_changes_of_leader_ends_by_the_target() {
    let mut simulation = racks(2, 1, 300, 4_000);
    block_hot_rack(&mut simulation);
    let from_ms = simulation.now_ms;
    let id = simulation.submit("a", job(vec![near(HOT, 1, 1_000)]));
    for fence in 2..6 {
        simulation.advance(350);
        let is_waiting = simulation.engine.place_waits_count() == 1;
        assert!(
            is_waiting || fence > 4,
            "leader {} waits for nothing",
            fence - 1
        );
        simulation.fail_over(fence);
    }
    // The latest start that meets the target is 1,200 ms after the acceptance.
    let starts = starts_of(&simulation, id, from_ms);
    assert!(starts.len() == 1 && starts[0].1 <= 1_250, "{starts:?}");
}

/// Guards against waits in a deployment whose racks are all equal.
#[test]
fn nothing_waits_without_a_factor() {
    for factor_permille in [500, 1_000] {
        let mut simulation = racks(2, 1, 600, factor_permille);
        let id = simulation.submit("a", job(vec![near(HOT, 4, 1_000)]));
        simulation.advance(100);
        assert_eq!(simulation.runs_of(id).len(), 4);
        assert_eq!(
            simulation.engine.take_place_wait_counts(),
            Default::default()
        );
    }
}

/// Guards against a task that waits while others take every slot near its data.
#[test]
fn no_task_starves_near_an_overloaded_rack() {
    let mut simulation = racks(6, 0, 0, 4_000);
    let mut submitted = Vec::new();
    for number in 0..100u64 {
        // The rack could run four such tasks in 400 ms.
        let spec = near(HOT, 1, 300 + number * 37 % 200);
        submitted.push((simulation.submit("a", job(vec![spec])), simulation.now_ms));
        simulation.advance(60);
    }
    let ids: Vec<JobId> = submitted.iter().map(|(id, _)| *id).collect();
    assert_done(&mut simulation, &ids, 4_000);
    for (id, from_ms) in submitted {
        let starts = starts_of(&simulation, id, from_ms);
        assert!(starts[0].1 <= 1_600, "{id} started after {starts:?}");
    }
    let counts = simulation.engine.take_place_wait_counts();
    assert!(counts.won_count > 10, "{counts:?}");
}
