//! Run times by kind: expected and remaining times, copies, and slow workers.

use hawthornladder::jobs::{
    FinishedRun, JobId, JobKey, JobState, RunTimes, Slowness, StepSpec, TaskName,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;

use super::simulation::{job, step, Simulation};

/// Estimate of the steps in the tests of `RunTimes` alone, in milliseconds.
const ESTIMATE_MS: u64 = 1_000;

fn queue() -> SmolStr {
    "maps".into()
}

/// Returns a run of a job of its own.
fn run(job: u32, ran_ms: u64) -> FinishedRun {
    FinishedRun {
        job: JobKey(job),
        ran_ms,
        is_adopted: false,
    }
}

/// Returns a run time of `base_ms` to one and a half times that, or for one run in thirty, seven
/// times the mean of these.
fn heavy_tailed_ms(rng: &mut ChaCha8Rng, base_ms: u64) -> u64 {
    match rng.random_range(0..30) {
        0 => base_ms * 5 / 4 * 7,
        _ => base_ms + rng.random_range(0..=base_ms / 2),
    }
}

/// Returns run times that have seen `count` runs of the queue, drawn by `run_ms`.
fn after(count: u32, mut run_ms: impl FnMut(u32) -> u64) -> RunTimes {
    let mut run_times = RunTimes::default();
    let task = step(1, 1_000, ESTIMATE_MS);
    for job in 0..count {
        run_times.observe(&queue(), &task, &run(job, run_ms(job)));
    }
    run_times
}

/// Fails if the difference exceeds a share of `wanted`, in percent.
fn assert_near(found: u64, wanted: u64, percent: u64) {
    let difference = found.abs_diff(wanted);
    assert!(
        difference * 100 <= wanted * percent,
        "{found} is not within {percent} % of {wanted}"
    );
}

#[test]
fn one_straggler_in_thirty_neither_distorts_the_mean_nor_hides_in_the_remaining_time() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let run_times = after(1_500, |_| heavy_tailed_ms(&mut rng, 800));
    let task = step(1, 1_000, ESTIMATE_MS);
    // 29 runs of 1,000 ms on average, and one of 7,000 ms.
    assert_near(run_times.expected_ms(&queue(), &task), 1_200, 8);
    assert_near(run_times.remaining_ms(&queue(), &task, 1_500), 5_500, 2);
    let p90_ms = run_times.quantile_ms(&queue(), &task, 0.9);
    assert_near(p90_ms.expect("enough runs"), 1_170, 5);
}

#[test]
fn estimates_off_by_two_and_a_half_are_corrected() {
    for run_ms in [400, 2_500] {
        let run_times = after(40, |_| run_ms);
        let task = step(1, 1_000, ESTIMATE_MS);
        assert_near(run_times.expected_ms(&queue(), &task), run_ms, 1);
        assert_near(
            run_times.remaining_ms(&queue(), &task, run_ms / 2),
            run_ms / 2,
            2,
        );
        let other = step(1, 1_000, 300);
        assert_near(
            run_times.expected_ms(&queue(), &other),
            run_ms * 300 / 1_000,
            1,
        );
    }
}

#[test]
fn a_shift_of_the_run_times_is_followed_within_twenty_jobs() {
    for (before_ms, after_ms) in [(1_000, 2_500), (2_500, 1_000)] {
        for (jobs_count, percent) in [(20, 25), (40, 5)] {
            let mut rng = ChaCha8Rng::seed_from_u64(2);
            let run_times = after(600 + jobs_count, |job| {
                let run_ms = if job < 600 { before_ms } else { after_ms };
                run_ms * rng.random_range(85..=115) / 100
            });
            let expected_ms = run_times.expected_ms(&queue(), &step(1, 1_000, ESTIMATE_MS));
            assert_near(expected_ms, after_ms, percent);
        }
    }
}

#[test]
fn one_job_with_a_wrong_estimate_is_no_shift() {
    let mut run_times = after(400, |job| 900 + u64::from(job) % 200);
    let task = step(1, 1_000, ESTIMATE_MS);
    for _ in 0..60 {
        run_times.observe(&queue(), &task, &run(1_000, 2_500));
    }
    // 60 of 460 runs.
    assert_near(run_times.expected_ms(&queue(), &task), 1_196, 2);
}

#[test]
fn with_few_runs_the_smoothed_ratio_decides_as_before() {
    let run_times = after(31, |_| 2_000);
    let task = step(1, 1_000, ESTIMATE_MS);
    let smoothed_ms = run_times.smoothed_ms(&queue(), &task);
    assert_near(smoothed_ms, 1_924, 1);
    assert_eq!(run_times.expected_ms(&queue(), &task), smoothed_ms);
    assert_eq!(
        run_times.remaining_ms(&queue(), &task, 5_000),
        smoothed_ms / 5
    );
    assert_eq!(run_times.quantile_ms(&queue(), &task, 0.9), None);
    assert_eq!(run_times.verdict(&queue(), &task, 9_000), None);
}

#[test]
fn adopted_runs_do_not_shorten_the_distribution() {
    let mut run_times = after(100, |_| 1_000);
    let task = step(1, 1_000, ESTIMATE_MS);
    for job in 100..200 {
        let adopted = FinishedRun {
            is_adopted: true,
            ..run(job, 100)
        };
        run_times.observe(&queue(), &task, &adopted);
    }
    assert_near(run_times.expected_ms(&queue(), &task), 1_000, 1);
}

#[test]
fn the_number_of_kinds_is_bounded_and_kinds_in_use_are_retained() {
    let mut run_times = after(40, |_| 2_000);
    let task = step(1, 1_000, ESTIMATE_MS);
    let image_step = |number: u32| StepSpec {
        image: smol_str::format_smolstr!("image-{number}"),
        ..task.clone()
    };
    for number in 0..2_000 {
        run_times.observe(&queue(), &image_step(number), &run(number, 2_000));
        run_times.observe(&queue(), &task, &run(number, 2_000));
    }
    assert_eq!(run_times.expected_ms(&queue(), &image_step(0)), ESTIMATE_MS);
    assert_near(run_times.expected_ms(&queue(), &task), 2_000, 1);
}

/// Runs a job whose tasks take 400 ms as estimated, except for the last `long_count`, which take
/// seven times that, to the end.
fn learn(simulation: &mut Simulation, tasks: StepSpec, long_count: u32) {
    let count = tasks.tasks_count;
    let id = simulation.submit("maps", job(vec![tasks]));
    set_run_ms(simulation, id, count - long_count..count, 2_800);
    simulation.advance_until(20_000, |simulation| {
        simulation.state(id) == Some(JobState::Complete)
    });
}

fn set_run_ms(simulation: &mut Simulation, id: JobId, tasks: std::ops::Range<u32>, run_ms: u64) {
    for index in tasks {
        let name = TaskName {
            job: id,
            round: 0,
            step: 0,
            index,
        };
        simulation.run_ms.insert(name, run_ms);
    }
}

fn tail(tasks_count: u32, cpu_millis: u64) -> StepSpec {
    StepSpec {
        image: "tail".into(),
        ..step(tasks_count, cpu_millis, 400)
    }
}

/// Stragglers hold half of the pool for another second. If their work counted as nearly done, a
/// large job would seem to meet its target together with four small ones, and would delay them.
#[test]
fn a_large_job_is_postponed_for_small_ones_while_stragglers_hold_half_of_the_pool() {
    let mut simulation = Simulation::open(&["maps"], 1);
    learn(&mut simulation, tail(36, 800), 3);
    let stragglers = simulation.submit("maps", job(vec![tail(4, 4_000)]));
    set_run_ms(&mut simulation, stragglers, 0..4, 2_800);
    simulation.advance(1_800);
    simulation.submit("maps", job(vec![step(12, 4_000, 400)]));
    let small: Vec<JobId> = (0..4)
        .map(|_| simulation.submit("maps", job(vec![step(1, 4_000, 400)])))
        .collect();
    simulation.advance_until(1_000, |simulation| {
        let is_done = |id: &JobId| simulation.state(*id) == Some(JobState::Complete);
        small.iter().all(is_done)
    });
}

/// Returns how many copies a task gets that runs for `run_ms`, by tasks of an image that `learn`
/// has prepared.
fn copies_of(simulation: &mut Simulation, tasks: StepSpec, run_ms: u64) -> usize {
    let copied = StepSpec {
        allows_copies: true,
        ..tasks
    };
    let id = simulation.submit("maps", job(vec![copied]));
    set_run_ms(simulation, id, 0..1, run_ms);
    simulation.advance_until(9_000, |simulation| {
        simulation.state(id) == Some(JobState::Complete)
    });
    let starts = simulation.starts.iter();
    starts.filter(|(_, _, name)| name.job == id).count() - 1
}

/// A run past 1.5 times the mean of a kind with stragglers is one of them. Where run times are
/// merely spread out, it ends before a copy would.
#[test]
fn a_copy_is_started_only_where_a_new_run_ends_earlier() {
    let mut simulation = Simulation::open(&["maps"], 2);
    learn(&mut simulation, tail(60, 800), 2);
    assert_eq!(copies_of(&mut simulation, tail(1, 800), 2_800), 1);
    assert_eq!(copies_of(&mut simulation, tail(1, 800), 400), 0);

    let spread = |tasks_count| StepSpec {
        image: "spread".into(),
        ..step(tasks_count, 800, 1_000)
    };
    let id = simulation.submit("maps", job(vec![spread(60)]));
    for index in 0..60 {
        let run_ms = 400 + 35 * u64::from(index);
        set_run_ms(&mut simulation, id, index..index + 1, run_ms);
    }
    simulation.advance(6_000);
    assert_eq!(copies_of(&mut simulation, spread(1), 2_400), 0);
    // It takes longer than any known run.
    assert_eq!(copies_of(&mut simulation, spread(1), 4_000), 1);
}

/// The distribution is not persisted: a new leader copies by 1.5 times the estimate until it has
/// seen 32 runs, and the part of an adopted run that it sees is no run time.
#[test]
fn a_new_leader_knows_the_estimates_until_runs_end_under_it() {
    let mut simulation = Simulation::open(&["maps"], 2);
    learn(&mut simulation, tail(60, 800), 0);
    let spread_out = copies_of(&mut simulation, tail(1, 800), 590);
    assert_eq!(spread_out, 0, "1.5 times the mean has not passed");
    let adopted = simulation.submit("maps", job(vec![tail(40, 800)]));
    set_run_ms(&mut simulation, adopted, 0..40, 1_600);
    simulation.advance(1_400);
    simulation.fail_over(2);
    simulation.advance_until(12_000, |simulation| {
        simulation.state(adopted) == Some(JobState::Complete)
    });
    learn(&mut simulation, tail(36, 800), 0);
    // Had the 40 adopted runs counted as 200 ms long, a copy would be due after 450 ms.
    assert_eq!(copies_of(&mut simulation, tail(1, 800), 500), 0);
}

/// Plays runs of jobs of their own on ten workers in turn, the first of which takes three times as
/// long, and returns the number of its runs after which it was found, and how many others seemed
/// slow at any time.
fn play_workers(rounds_count: u32, mut run_ms: impl FnMut(u32) -> u64) -> (Option<u32>, usize) {
    let task = step(1, 1_000, ESTIMATE_MS);
    let mut run_times = after(64, &mut run_ms);
    let mut workers = [Slowness::default(); 10];
    let (mut found_after, mut seeming_slow) = (None, 0);
    for number in 64..64 + rounds_count * 10 {
        let at = usize::try_from(number % 10).expect("small");
        let ran_ms = run_ms(number) * if at == 0 { 3 } else { 1 };
        let expected_ms = run_times.expected_ms(&queue(), &task);
        let verdict = run_times.verdict(&queue(), &task, ran_ms);
        workers[at].observe(ran_ms, expected_ms, verdict);
        run_times.observe(&queue(), &task, &run(number, ran_ms));
        match (at, workers[at].is_slow()) {
            (0, true) => found_after = found_after.or(Some((number - 64) / 10 + 1)),
            (_, true) => seeming_slow += 1,
            _ => {}
        }
    }
    (found_after, seeming_slow)
}

#[test]
fn a_slow_worker_is_found_within_ten_runs_and_no_healthy_one_seems_slow() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (found_after, seeming_slow) = play_workers(60, |_| heavy_tailed_ms(&mut rng, 800));
        assert!(
            found_after.is_some_and(|count| count <= 10),
            "{found_after:?}, seed {seed}"
        );
        assert_eq!(seeming_slow, 0, "seed {seed}");
    }
}

/// A worker that happens to get all tasks of a job whose estimate is too low is not slow.
#[test]
fn one_job_with_a_wrong_estimate_makes_no_worker_slow() {
    let mut run_times = after(100, |job| 900 + u64::from(job) % 200);
    let task = step(1, 1_000, ESTIMATE_MS);
    let mut worker = Slowness::default();
    for _ in 0..8 {
        let verdict = run_times.verdict(&queue(), &task, 2_500);
        worker.observe(2_500, 1_000, verdict);
        run_times.observe(&queue(), &task, &run(1_000, 2_500));
    }
    assert!(!worker.is_slow());
}

/// Three stragglers on one worker do not make it slow, beside one that is.
#[test]
fn a_burst_avoids_the_slow_worker_and_uses_the_one_that_had_stragglers() {
    let mut simulation = Simulation::open(&["maps"], 8);
    let slow = simulation.workers.keys().next().expect("a worker").clone();
    simulation.slow_workers.insert(slow.clone(), 3);
    learn(&mut simulation, tail(64, 4_000), 0);
    let id = simulation.submit("maps", job(vec![tail(64, 4_000)]));
    simulation.advance(100);
    let unlucky = simulation.workers.keys().last().expect("a worker").clone();
    let stragglers = simulation.workers[&unlucky].running.values_mut().take(3);
    stragglers.for_each(|run| run.ends_ms += 1_000);
    simulation.advance_until(4_000, |simulation| {
        simulation.state(id) == Some(JobState::Complete)
    });
    let burst = simulation.submit("maps", job(vec![tail(56, 4_000)]));
    simulation.advance(100);
    let used: std::collections::HashSet<_> = simulation
        .runs_of(burst)
        .into_iter()
        .map(|run| run.0)
        .collect();
    assert_eq!(used.len(), 7);
    assert!(!used.contains(&slow));
}
