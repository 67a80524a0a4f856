//! Short runs of the load experiments: their targets are met, and results depend only on the seed.

use hawthornladder::load::forecasts::{measure_forecasts, DemandPattern, ForecastRow};
use hawthornladder::load::overload::{run_overload_experiment, OverloadConfig, Scenario};
use hawthornladder::load::places::{run_places_experiment, PlacePolicy, PlacesConfig};
use hawthornladder::load::run_times::{measure_run_times, RunTimesLoad};
use hawthornladder::load::share::{run_share_experiment, ShareConfig, ShareRow};
use hawthornladder::load::world::{SchedulingPolicy, URGENT_START_TARGET_MS};
use strum::IntoEnumIterator;

/// Minimum goodput at loads beyond its peak, in thousandths of the peak.
const RETAINED_GOODPUT_MIN_PERMILLE: f64 = 900.0;

fn share_config() -> ShareConfig {
    ShareConfig {
        duration_ms: 30_000,
        lost_entry_at_ms: Some(20_000),
        ..ShareConfig::default()
    }
}

fn row_of(rows: &[ShareRow], policy: SchedulingPolicy) -> &ShareRow {
    rows.iter()
        .find(|row| row.policy == policy)
        .expect("each policy has a row")
}

#[test]
fn urgent_work_starts_in_time_and_shares_are_closer_to_ideal_than_in_the_baseline() {
    let report = run_share_experiment(&share_config());
    let (baseline, divided) = (
        row_of(&report.rows, SchedulingPolicy::Fifo),
        row_of(&report.rows, SchedulingPolicy::Divided),
    );
    assert!(
        divided.urgent_start_p99_ms <= URGENT_START_TARGET_MS,
        "urgent work starts too late: {divided:?}"
    );
    for (divided, baseline) in divided.distances.iter().zip(&baseline.distances) {
        assert!(
            divided.mean_misplaced_permille < baseline.mean_misplaced_permille,
            "more capacity is misplaced than in the baseline: {divided:?}, {baseline:?}"
        );
    }
    assert!(
        divided.on_time_count >= baseline.on_time_count,
        "fewer requests on time than in the baseline"
    );
}

#[test]
fn the_same_seed_gives_the_same_figures() {
    let config = ShareConfig {
        duration_ms: 8_000,
        ..share_config()
    };
    assert_eq!(
        run_share_experiment(&config),
        run_share_experiment(&config),
        "two runs with one seed differ"
    );
}

#[test]
fn goodput_stays_near_its_peak_under_overload_and_retries_are_spread_out() {
    let config = OverloadConfig {
        loads: vec![0.5, 1.0, 2.0, 10.0],
        duration_ms: 16_000,
        ..OverloadConfig::default()
    };
    let report = run_overload_experiment(&config);
    assert!(
        report.retained_goodput_permille(SchedulingPolicy::Divided)
            >= RETAINED_GOODPUT_MIN_PERMILLE,
        "goodput drops too far under overload"
    );
    let burst = |policy| {
        let mut rows = report.rows.iter();
        rows.find(|row| row.scenario == Scenario::Burst && row.policy == policy)
            .expect("each scenario has a row")
    };
    let (baseline, divided) = (
        burst(SchedulingPolicy::Fifo),
        burst(SchedulingPolicy::Divided),
    );
    assert!(
        divided.return_peak_factor < baseline.return_peak_factor,
        "retries peak higher than in the baseline"
    );
    assert!(
        divided.returned_served_permille > baseline.returned_served_permille,
        "fewer retries are served in time than in the baseline"
    );
}

#[test]
fn distributions_forecast_work_better_than_smoothed_ratios_except_after_shifts() {
    let rows = measure_run_times(2);
    for pair in rows.chunks(2) {
        let [smoothed, distribution] = pair else {
            panic!("a load without a pair of rows");
        };
        if distribution.load == RunTimesLoad::Shift {
            continue;
        }
        assert!(
            distribution.expected_error_percent <= smoothed.expected_error_percent
                && distribution.backlog_error_percent <= smoothed.backlog_error_percent,
            "larger errors than with the smoothed ratio: {distribution:?}, {smoothed:?}"
        );
        assert!(
            distribution
                .found_after_count
                .is_some_and(|count| count <= 10),
            "a slow worker is not found: {distribution:?}"
        );
    }
}

/// Guards against an experiment whose policies do not differ in where tasks run, or that leaves work
/// undone at a load that the pool can carry.
#[test]
fn the_experiment_on_racks_plays_each_policy_on_the_same_jobs() {
    let config = PlacesConfig {
        loads_permille: vec![400],
        factors_permille: vec![3_000],
        duration_ms: 8_000,
        ..PlacesConfig::default()
    };
    let report = run_places_experiment(&config);
    let of = |policy| {
        let mut rows = report.rows.iter();
        let row = rows
            .find(|row| row.policy == policy)
            .expect("each has a row");
        assert_eq!(row.unfinished_count, 0, "{row:?}");
        *row
    };
    let [never, always, expected] = [
        PlacePolicy::Never,
        PlacePolicy::Always,
        PlacePolicy::Expected,
    ]
    .map(of);
    assert_eq!(never.jobs_count, expected.jobs_count);
    assert_eq!(always.remote_permille, 0);
    assert!(
        expected.remote_permille < never.remote_permille,
        "{report:?}"
    );
    // A full pool shows an order of events that the seed does not fix.
    let full = PlacesConfig {
        loads_permille: vec![900],
        ..config
    };
    let [first, second] = [(), ()].map(|()| run_places_experiment(&full));
    assert_eq!(first, second, "two runs with one seed differ");
}

/// Weight of missing demand relative to idle capacity in the comparison of forecasts.
const MISSING_WEIGHT: f64 = 3.0;

fn cost_of(row: &ForecastRow) -> f64 {
    row.missing_cores * MISSING_WEIGHT + row.idle_cores
}

/// Guards against forecasts that lag behind a ramp or behind pools that have their peaks by turns
/// (step, ramp, half sine, turns), and against a choice among methods that is much worse than the
/// present rate on any of these patterns.
#[test]
fn the_forecast_that_adapts_lacks_less_in_ramps_and_turns_and_costs_little_elsewhere() {
    for seed in 1..=3 {
        let rows = measure_forecasts(seed);
        for pattern in DemandPattern::iter() {
            let row = |method| {
                let mut rows = rows.iter();
                let found = rows.find(|row| row.pattern == pattern && row.method == method);
                found.expect("each method plays each pattern")
            };
            let (level, adaptive) = (row("level"), row("adaptive"));
            if matches!(pattern, DemandPattern::Ramp | DemandPattern::Turns) {
                assert!(
                    adaptive.missing_cores < level.missing_cores * 0.9,
                    "it lacks as much as the present rate: {adaptive:?}, {level:?}"
                );
            }
            assert!(
                cost_of(adaptive) <= cost_of(level) * 1.1,
                "it costs much more than the present rate: {adaptive:?}, {level:?}"
            );
        }
    }
}
