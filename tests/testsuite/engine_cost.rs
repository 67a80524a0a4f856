//! The experiment on the cost of the job engine: what it plays. Its times are not checked, because
//! they depend on the machine.

use hawthornladder::load::engine_cost::{engine_table, measure_engine};

#[test]
fn the_experiment_plays_a_peak_that_fills_the_pool() {
    let rows = measure_engine(&[20]);
    let row = rows[0];
    // 20 workers of 32 cores, tasks of some 4.5 cores and 640 ms, four seconds.
    assert!((600..=1_400).contains(&row.starts_count), "{row:?}");
    assert!(
        row.jobs_count * 8 > row.starts_count,
        "more is asked than the pool can run"
    );
    assert!(
        row.polls_count > 100 && row.job_record_bytes > 100.0,
        "{row:?}"
    );
    assert_eq!(engine_table(&rows).lines().count(), 2);
}
