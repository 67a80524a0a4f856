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
