//! `hawthornladder check` run as a process: its output and exit codes.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};

fn check(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hawthornladder"))
        .arg("check")
        .args(arguments)
        .output()
        .expect("the program runs")
}

/// Writes the Lahore plans with one edit to a file that only this test uses.
fn edited_plans(name: &str, from: &str, to: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let text = hawthornladder::examples::LAHORE.plans.replace(from, to);
    fs::write(&path, text).expect("the file can be written");
    path
}

const ENTITLEMENTS: &str = "examples/lahore/entitlements.jsonc";

#[test]
fn valid_files_of_all_kinds_exit_with_0() {
    let files = ["plans", "entitlements", "fleet", "entry"];
    let files = files.map(|file| format!("examples/denmark/{file}.jsonc"));
    let output = check(&files.each_ref().map(String::as_str));
    assert_eq!(output.status.code(), Some(0));
    let text = String::from_utf8(output.stdout).expect("UTF-8");
    assert!(text.contains("kind=settings"));
    assert!(text.ends_with("files=4 errors=0 warnings=0\n"), "{text}");
}

#[test]
fn an_error_exits_with_1_and_names_file_line_and_field() {
    let from = "\"plan\": \"critical\" }";
    let plans = edited_plans("error.jsonc", from, "\"plan\": \"critcal\" }");
    let plans = plans.to_str().expect("UTF-8");
    let output = check(&[plans, ENTITLEMENTS]);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stdout).expect("UTF-8");
    let line = format!(
        "{plans}:37: error: teams[0].plan: there is no plan `critcal`; write `critical`, or add \
         the plan [dangling_reference]"
    );
    assert!(text.contains(&line), "{text}");
}

#[test]
fn json_output_has_the_findings_and_warnings_can_be_denied() {
    let from = "\"on_time_target_permille\": 995";
    let plans = edited_plans("warning.jsonc", from, "\"on_time_target_permille\": 1000");
    let plans = plans.to_str().expect("UTF-8");
    let output = check(&[plans, ENTITLEMENTS, "--output", "json"]);
    assert_eq!(output.status.code(), Some(0));
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(report["warnings_count"], 1);
    assert_eq!(report["findings"][0]["severity"], "warning");
    assert_eq!(report["files"][1]["kind"], "entitlements");
    let output = check(&[plans, ENTITLEMENTS, "--deny-warnings"]);
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn files_that_cannot_be_read_exit_with_4_and_wrong_usage_with_2() {
    assert_eq!(check(&["no-such-file.jsonc"]).status.code(), Some(4));
    assert_eq!(check(&[]).status.code(), Some(2));
}
