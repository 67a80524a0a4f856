//! Rates of teams: which jobs are over the rate of their team, and what a new leader knows of it.

use hawthornladder::jobs::{JobId, JobSpec, Recurrence};

use super::simulation::{job, long_running, step, Simulation, UNIX_MS};

fn small_job() -> JobSpec {
    job(vec![step(1, 100, 50)])
}

/// Submits `count` jobs at once and returns how many of them are over the rate.
fn over_rate_of(simulation: &mut Simulation, team: &str, count: usize) -> usize {
    let ids: Vec<JobId> = (0..count)
        .map(|_| simulation.submit_for(team, "maps", small_job()))
        .collect();
    let is_over = |id: &&JobId| simulation.engine.is_over_rate(**id) == Some(true);
    ids.iter().filter(is_over).count()
}

/// Guards against a bucket that holds more than a second of tokens, and against a debt: a team that
/// was far over its rate has its whole rate a second later.
#[test]
fn a_team_has_one_second_of_jobs_and_no_debt() {
    let mut simulation = Simulation::open(&["maps"], 4);
    simulation.set_weights(&[("team", 4.0), ("slow", 0.25)]);
    simulation.advance(5_000);
    assert_eq!(over_rate_of(&mut simulation, "team", 28), 24);
    simulation.advance(240);
    assert_eq!(over_rate_of(&mut simulation, "team", 1), 1);
    simulation.advance(10);
    assert_eq!(over_rate_of(&mut simulation, "team", 2), 1);
    simulation.advance(1_000);
    assert_eq!(over_rate_of(&mut simulation, "team", 5), 1);
    assert_eq!(over_rate_of(&mut simulation, "slow", 2), 1);
    simulation.advance(4_000);
    assert_eq!(over_rate_of(&mut simulation, "slow", 2), 1);
}

/// Guards against a team that stays within its number of jobs and fills the fleet with large ones: it
/// has two seconds of its share of the work, and then as much as flows in.
#[test]
fn a_team_with_large_jobs_is_over_its_share_of_the_fleet() {
    let mut simulation = Simulation::open(&["maps"], 4);
    // Targets so far away that no job is refused.
    simulation.catalog.queues["maps"].target_latency_ms = 60_000;
    simulation.set_weights(&[("team", 500.0), ("other", 500.0)]);
    simulation.advance(3_000);
    // Half of 128 cores for 2 s are 16 of these jobs of 16 cores for 500 ms.
    let large = || job(vec![step(4, 4_000, 500)]);
    let ids: Vec<JobId> = (0..20)
        .map(|_| simulation.submit_for("team", "maps", large()))
        .collect();
    let over_count = |simulation: &Simulation| {
        let is_over = |id: &&JobId| simulation.engine.is_over_rate(**id) == Some(true);
        ids.iter().filter(is_over).count()
    };
    assert_eq!(over_count(&simulation), 4);
    simulation.advance(1_000);
    simulation.fail_over(2);
    assert_eq!(over_count(&simulation), 4, "a new leader knows it as well");
    let whole_fleet = simulation.submit_for("other", "maps", job(vec![step(32, 4_000, 9_000)]));
    assert_eq!(simulation.engine.is_over_rate(whole_fleet), Some(false));
}

/// Guards against holding back what has no rate: teams without a weight, calls without a team, and
/// long-running and recurring jobs, which take no token either.
#[test]
fn jobs_without_a_rate_are_never_over_it() {
    let mut simulation = Simulation::open(&["maps"], 4);
    simulation.set_weights(&[("team", 1.0), ("", 0.0)]);
    assert_eq!(over_rate_of(&mut simulation, "other", 20), 0);
    assert_eq!(over_rate_of(&mut simulation, "", 20), 0);
    let recurring = JobSpec {
        recurrence: Some(Recurrence {
            times: 2,
            first_unix_ms: UNIX_MS,
            interval_ms: 1_000,
        }),
        ..small_job()
    };
    for spec in [job(vec![long_running(1, 100)]), recurring] {
        for _ in 0..3 {
            let id = simulation.submit_for("team", "maps", spec.clone());
            assert_eq!(simulation.engine.is_over_rate(id), Some(false));
        }
    }
    assert_eq!(over_rate_of(&mut simulation, "team", 2), 1);
}

/// Guards against a fresh start by a change of leader or by the loss of all processes.
#[test]
fn a_new_leader_rebuilds_the_buckets_from_the_records() {
    let mut simulation = Simulation::open(&["maps"], 4);
    simulation.set_weights(&[("team", 4.0)]);
    assert_eq!(over_rate_of(&mut simulation, "team", 10), 6);
    simulation.advance(100);
    simulation.fail_over(2);
    let is_over = |id: &JobId| simulation.engine.is_over_rate(*id) == Some(true);
    assert_eq!((1..=10).map(JobId).filter(is_over).count(), 6);
    assert_eq!(over_rate_of(&mut simulation, "team", 1), 1);
    simulation.advance(150);
    assert_eq!(over_rate_of(&mut simulation, "team", 2), 1);
}

/// Returns a job with half an instance for each of its tasks.
fn wide_job(tasks_count: u32) -> JobSpec {
    job(vec![step(tasks_count, 16_000, 400)])
}

/// Guards against a team far over its rate that keeps others waiting: what it sent before goes after
/// the later job of a team within its rate, however much time that job has.
#[test]
fn a_job_within_its_rate_goes_before_earlier_jobs_over_theirs() {
    let mut simulation = Simulation::open(&["maps"], 1);
    // Targets so far away that no job is postponed.
    simulation.catalog.queues["maps"].target_latency_ms = 60_000;
    simulation.set_weights(&[("team", 1.0), ("other", 1.0)]);
    let busy: Vec<JobId> = (0..8)
        .map(|_| simulation.submit("maps", wide_job(1)))
        .collect();
    simulation.advance(100);
    let other = simulation.submit_for("other", "maps", job(vec![step(1, 16_000, 4_000)]));
    simulation.advance(6_000);
    let started = |id: JobId| {
        let mut starts = simulation.starts.iter();
        starts.position(|(_, _, name)| name.job == id)
    };
    let earlier_count = busy.iter().filter(|id| started(**id) < started(other));
    // The two that filled the pool before the job came.
    assert_eq!(earlier_count.count(), 2);
}

/// Returns the tasks in the order of their starts, in a load of three teams with these weights.
fn order_of_starts(weight: f64) -> Vec<hawthornladder::jobs::TaskName> {
    let mut simulation = Simulation::open(&["maps"], 2);
    // Targets so far away that no job over the rate is refused.
    simulation.catalog.queues["maps"].target_latency_ms = 60_000;
    simulation.set_weights(&[("a", weight), ("b", weight), ("c", weight)]);
    for team in ["a", "b", "c"] {
        // The only token of the slow rate.
        simulation.submit_for(team, "maps", small_job());
    }
    simulation.advance(200);
    for round in 0..30 {
        let team = ["a", "b", "c"][round % 3];
        let tasks_count = 1 + u32::try_from(round * 7 % 5).expect("small");
        simulation.submit_for(team, "maps", wide_job(tasks_count));
        simulation.advance(30);
    }
    simulation.advance(20_000);
    simulation.starts.iter().map(|start| start.2).collect()
}

/// Guards against another order than that of teams without rates where all waiting jobs are over
/// the rate of their team.
#[test]
fn with_all_jobs_over_the_rate_the_order_is_that_without_rates() {
    let without_rates = order_of_starts(0.0);
    assert!(without_rates.len() > 80);
    assert_eq!(order_of_starts(0.001), without_rates);
}

/// Guards against a plan in which the work of a team over its rate makes the large job of a team
/// within its rate impossible, so that it goes after smaller jobs.
#[test]
fn work_over_the_rate_postpones_no_job_within_it() {
    let mut simulation = Simulation::open(&["maps"], 1);
    // By weight, the busy team has less than its share of the work.
    simulation.set_weights(&[("team", 20.0), ("other", 2.0)]);
    assert_eq!(over_rate_of(&mut simulation, "team", 20), 0);
    simulation.advance(140);
    for _ in 0..12 {
        // Some are refused; those that are not fill the pool up to their targets.
        let id = simulation.next_id();
        let _ = simulation.try_submit(id, "team", "maps", wide_job(1));
    }
    simulation.advance(50);
    let large = simulation.submit_for("other", "maps", wide_job(4));
    simulation.advance(50);
    let small = simulation.submit_for("other", "maps", job(vec![step(1, 2_000, 400)]));
    simulation.advance(1_500);
    let mut starts = simulation.starts.iter().map(|start| start.2.job);
    let first = starts.find(|id| [large, small].contains(id));
    assert_eq!(first, Some(large));
}
