//! Overload: the order of jobs when a pool lacks the capacity for all of them.

use hawthornladder::jobs::{jobs_to_postpone, Claim, JobId, JobKey, JobState};
use proptest::prelude::*;

use super::simulation::{job, step, Simulation};

/// Rate of the pool in the tests of `jobs_to_postpone` alone, in thousandths of a core.
const RATE: u64 = 1_000;

fn claim(job: u32, team: usize, work: u64, due_ms: u64) -> Claim {
    Claim {
        job: JobKey(job),
        team,
        work: work * RATE,
        due_ms,
    }
}

/// Returns whether all of `claims` meet their targets when they run one after the other.
fn is_feasible(claims: &[Claim]) -> bool {
    let mut sorted = claims.to_vec();
    sorted.sort_by_key(|claim| claim.due_ms);
    let mut work = 0;
    sorted.iter().all(|claim| {
        work += claim.work;
        work / RATE <= claim.due_ms
    })
}

/// Returns the size of the largest feasible set of `claims`, by exhaustive search.
fn most_feasible(claims: &[Claim]) -> usize {
    let sets = 0_u32..1 << claims.len();
    let chosen = |set: u32| -> Vec<Claim> {
        let is_in = |(at, _): &(usize, &Claim)| set >> at & 1 == 1;
        let chosen = claims.iter().enumerate().filter(is_in);
        chosen.map(|(_, claim)| claim.clone()).collect()
    };
    let feasible = sets.map(chosen).filter(|set| is_feasible(set));
    feasible.map(|set| set.len()).max().unwrap_or(0)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn with_one_team_the_most_possible_jobs_meet_their_targets(
        jobs in prop::collection::vec((1u64..400, 50u64..1_000), 1..9)
    ) {
        let claims: Vec<Claim> = (0u32..)
            .zip(&jobs)
            .map(|(job, (work, due_ms))| claim(job, 0, *work, *due_ms))
            .collect();
        let postponed = jobs_to_postpone(claims.clone(), &[1.0], RATE, 0);
        let remaining: Vec<Claim> = claims
            .iter()
            .filter(|claim| !postponed.contains(&claim.job))
            .cloned()
            .collect();
        prop_assert!(is_feasible(&remaining));
        prop_assert_eq!(remaining.len(), most_feasible(&claims));
    }
}

#[test]
fn a_team_within_its_share_is_not_postponed_for_one_above_it() {
    let mut claims: Vec<Claim> = (0..20).map(|job| claim(job, 0, 100, 900)).collect();
    // The jobs of the other team are larger, but few.
    claims.extend((20..22).map(|job| claim(job, 1, 200, 900)));
    let postponed = jobs_to_postpone(claims, &[1.0, 1.0], RATE, 0);
    assert!(postponed.iter().all(|job| job.0 < 20), "{postponed:?}");
    assert_eq!(postponed.len(), 15);
}

#[test]
fn a_team_with_more_weight_has_fewer_jobs_postponed() {
    let claims: Vec<Claim> = (0u32..40)
        .map(|job| claim(job, usize::from(job >= 20), 100, 1_000))
        .collect();
    let postponed = jobs_to_postpone(claims, &[1.0, 4.0], RATE, 0);
    let in_time_of_second = 20 - postponed.iter().filter(|job| job.0 >= 20).count();
    assert_eq!(postponed.len(), 30);
    assert_eq!(in_time_of_second, 8);
}

/// Time after its arrival by which each job of these tests should be complete, in milliseconds.
const TARGET_MS: u64 = 600 * 16 / 10 + 600;

/// A submitted job, and the time at which it was complete.
struct Watched {
    id: JobId,
    at_ms: u64,
    done_ms: Option<u64>,
}

impl Watched {
    fn new(simulation: &Simulation, id: JobId) -> Self {
        Self {
            id,
            at_ms: simulation.now_ms,
            done_ms: None,
        }
    }

    fn is_in_time(&self) -> bool {
        let in_time = |done_ms| done_ms <= self.at_ms + TARGET_MS;
        self.done_ms.is_some_and(in_time)
    }
}

/// Advances the time and records when each job becomes complete.
fn watch(simulation: &mut Simulation, for_ms: u64, jobs: &mut [Watched]) {
    let until_ms = simulation.now_ms + for_ms;
    while simulation.now_ms < until_ms {
        simulation.advance(10);
        for job in jobs.iter_mut().filter(|job| job.done_ms.is_none()) {
            let is_done = simulation.state(job.id) == Some(JobState::Complete);
            job.done_ms = is_done.then_some(simulation.now_ms);
        }
    }
}

/// Jobs arrive for 3 s at about three times the rate of the pool. The oldest of them always have
/// the least slack; if they went first, all jobs would be late, one after the other.
#[test]
fn a_long_overload_does_not_make_all_jobs_late() {
    let mut simulation = Simulation::open(&["maps"], 4);
    let mut jobs = Vec::new();
    for round in 0..60 {
        // A third of the jobs are six times as large as the others.
        let tasks_count = if round % 3 == 0 { 24 } else { 4 };
        let id = simulation.submit("maps", job(vec![step(tasks_count, 4_000, 600)]));
        jobs.push(Watched::new(&simulation, id));
        watch(&mut simulation, 50, &mut jobs);
    }
    watch(&mut simulation, 15_000, &mut jobs);
    let in_time = jobs.iter().filter(|job| job.is_in_time()).count();
    assert!(in_time >= 30, "only {in_time} of 60 jobs in time");
    let is_done = |job: &Watched| job.done_ms.is_some();
    assert!(jobs.iter().all(is_done), "an accepted job is not done");
}

/// One team asks for ten times the capacity of the pool, another for a tenth of it.
#[test]
fn the_overload_of_one_team_does_not_make_the_other_late() {
    let mut simulation = Simulation::open(&["maps"], 4);
    let mut others = Vec::new();
    for round in 0..60 {
        for _ in 0..4 {
            simulation.submit("maps", job(vec![step(16, 4_000, 600)]));
        }
        if round % 6 == 0 {
            let id = simulation.submit_for("other", "maps", job(vec![step(6, 4_000, 600)]));
            others.push(Watched::new(&simulation, id));
        }
        watch(&mut simulation, 50, &mut others);
    }
    watch(&mut simulation, TARGET_MS, &mut others);
    let in_time = others.iter().filter(|job| job.is_in_time()).count();
    assert!(
        in_time >= 9,
        "only {in_time} of {} jobs in time",
        others.len()
    );
}
