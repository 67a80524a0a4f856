//! The experiments at a short length: the targets that they measure hold, and a seed fixes them.

use hawthornladder::load::overload::{run_overload_experiment, OverloadConfig, Scenario};
use hawthornladder::load::share::{run_share_experiment, ShareConfig, ShareRow};
use hawthornladder::load::world::{SchedulingPolicy, URGENT_START_TARGET_MS};

/// Part of its peak that goodput keeps at any higher load, in thousandths.
const GOODPUT_KEPT_MIN_PERMILLE: f64 = 900.0;

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
        .expect("all ways run")
}

#[test]
fn urgent_work_starts_in_time_and_shares_are_nearer_than_the_baseline() {
    let report = run_share_experiment(&share_config());
    let (baseline, divided) = (
        row_of(&report.rows, SchedulingPolicy::Fifo),
        row_of(&report.rows, SchedulingPolicy::Divided),
    );
    assert!(divided.urgent_start_p99_ms <= URGENT_START_TARGET_MS);
    for (ours, theirs) in divided.distances.iter().zip(&baseline.distances) {
        assert!(ours.mean_misplaced_permille < theirs.mean_misplaced_permille);
    }
    assert!(divided.on_time_count >= baseline.on_time_count);
}

#[test]
fn one_seed_gives_the_same_figures() {
    let config = ShareConfig {
        duration_ms: 8_000,
        ..share_config()
    };
    assert_eq!(run_share_experiment(&config), run_share_experiment(&config));
}

#[test]
fn goodput_is_kept_past_its_peak_and_returning_callers_are_spread() {
    let config = OverloadConfig {
        loads: vec![0.5, 1.0, 2.0, 10.0],
        duration_ms: 16_000,
        ..OverloadConfig::default()
    };
    let report = run_overload_experiment(&config);
    assert!(
        report.retained_goodput_permille(SchedulingPolicy::Divided) >= GOODPUT_KEPT_MIN_PERMILLE
    );
    let burst = |policy| {
        let mut rows = report.rows.iter();
        rows.find(|row| row.scenario == Scenario::Burst && row.policy == policy)
            .expect("all scenarios run")
    };
    let (baseline, divided) = (
        burst(SchedulingPolicy::Fifo),
        burst(SchedulingPolicy::Divided),
    );
    assert!(divided.return_peak_factor < baseline.return_peak_factor);
    assert!(divided.returned_served_permille > baseline.returned_served_permille);
}
