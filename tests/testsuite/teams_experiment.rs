//! The experiment on the rates of teams, over a short time.

use hawthornladder::load::teams::{run_teams_experiment, TeamRow, TeamsConfig};

/// Guards against an experiment that shows nothing: without rates a busy team makes the others
/// late, and with them it does not; and against figures that differ from run to run.
#[test]
fn rates_protect_the_other_teams_from_a_busy_one() {
    let config = TeamsConfig {
        busy_ms: (3_000, 11_000),
        duration_ms: 12_000,
        ..TeamsConfig::default()
    };
    let report = run_teams_experiment(&config);
    let others = |has_rates: bool| -> Vec<&TeamRow> {
        let of_run = report.rows.iter().filter(|row| row.has_rates == has_rates);
        of_run.filter(|row| !row.is_busy).collect()
    };
    assert!(others(false).iter().all(|row| row.late_permille > 300.0));
    assert!(others(true).iter().all(|row| row.late_permille <= 50.0));
    assert!(report
        .rows
        .iter()
        .all(|row| row.has_rates || row.refused_count == 0));
    assert_eq!(run_teams_experiment(&config), report);
}
