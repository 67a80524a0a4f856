//! Checks of the two lists and the fleet file: every kind of error is reported with its line, and
//! all errors are reported together.

use hawthornladder::config_files::{self, ConfigSource};
use hawthornladder::examples::{Example, DENMARK, EXAMPLES, LAHORE};
use hawthornladder::findings::{Finding, FindingKind, Severity};
use hawthornladder::lists::{check_texts, diff};
use proptest::prelude::*;
use strum::IntoEnumIterator;

/// Checks the files of an example after `edits`: pairs of a text to find and its replacement.
fn findings_after(example: &Example, edits: &[(&str, &str)]) -> Vec<Finding> {
    let mut texts = example
        .sources()
        .map(|(file, text)| (file, text.to_owned()));
    for (from, to) in edits {
        assert!(
            texts.iter().any(|(_, text)| text.contains(from)),
            "no file contains the text to edit: {from}"
        );
        for (_, text) in &mut texts {
            *text = text.replace(from, to);
        }
    }
    let sources = texts
        .iter()
        .map(|(file, text)| ConfigSource { file, text })
        .collect::<Vec<_>>();
    match config_files::check(&sources) {
        Ok((_, findings)) | Err(findings) => findings,
    }
}

fn line_of(text: &str, part: &str) -> usize {
    let at = text.lines().position(|line| line.contains(part));
    at.expect("the text contains the part") + 1
}

fn assert_finding(findings: &[Finding], kind: FindingKind, field: &str, instead: &str) {
    let is_found = findings
        .iter()
        .any(|f| f.kind == kind && f.field == field && f.instead.contains(instead));
    assert!(
        is_found,
        "no finding {kind} at {field} with {instead:?} among {findings:#?}"
    );
}

#[test]
fn examples_have_neither_errors_nor_warnings() {
    for example in EXAMPLES {
        let ((lists, fleet), findings) = example.load().expect("no errors");
        assert_eq!(findings, []);
        let rows = fleet.instance_rows(|at, _| format!("127.0.0.1:{}", 9_000 + at).into());
        assert_eq!(rows.len(), 50);
        assert_eq!(lists.plans.teams.len(), 6);
        assert_eq!(lists.entitlements.pools.len(), 5);
        for pool in &fleet.pools {
            assert!(
                (8..=12).contains(&pool.instances_count),
                "instances of {}",
                pool.name
            );
        }
        for rack in rows.iter().map(|row| &row.rack) {
            assert!(rows.iter().filter(|row| row.rack == *rack).count() <= 4);
        }
    }
    assert_eq!(LAHORE.load().expect("no errors").0 .1.zones.len(), 4);
    assert_eq!(DENMARK.load().expect("no errors").0 .1.zones.len(), 3);
}

#[test]
fn each_demand_peak_exceeds_the_slots_of_the_preferred_pool() {
    for example in EXAMPLES {
        let (lists, fleet) = example.load().expect("no errors").0;
        let queues = fleet.queues_in_peak_order().len();
        for peak in 0..u64::try_from(queues).expect("the count fits in u64") {
            let at_ms = peak * fleet.peaks.peak_ms;
            let queue = fleet.peak_queue(at_ms).expect("a queue has demand");
            let demand_slots: u64 = fleet
                .demand
                .iter()
                .filter(|stream| stream.queue == queue)
                .map(|stream| fleet.rate_milli_per_s(stream, at_ms) * stream.run_ms / 1_000_000)
                .sum();
            let mut rows = lists.entitlements.queues.iter();
            let row = rows
                .find(|row| row.name == queue)
                .expect("the queue is listed");
            let mut pools = fleet.pools.iter();
            let pool = pools
                .find(|pool| pool.name == row.pools[0])
                .expect("the pool is in the fleet");
            let slots = u64::from(pool.instances_count * pool.slots_count);
            assert!(
                demand_slots > slots,
                "the peak of {queue} needs {demand_slots} slots of {slots}"
            );
        }
    }
}

#[test]
fn all_errors_are_reported_together_with_their_lines() {
    let edits = [
        ("\"share_weight\": 4", "\"share_wait\": 4"),
        (
            "\"running_max_requests\": 40",
            "\"running_max_requests\": 0",
        ),
        ("\"plan\": \"research\" }", "\"plan\": \"reserch\" }"),
        ("\"farm-guidance\", \"plan\"", "\"survey-crews\", \"plan\""),
        ("[\"transit\"]", "[\"spare\", \"transit\", \"tranzit\"]"),
        (
            "\"pools\": [\"gauges\"], \"is_urgent\"",
            "\"pools\": [], \"is_urgent\"",
        ),
        ("\"is_open_to_all\": true", "\"is_open_to_all\": \"yes\""),
    ];
    let findings = findings_after(&LAHORE, &edits);
    let found = |kind, field, instead| assert_finding(&findings, kind, field, instead);
    found(
        FindingKind::UnknownField,
        "plans[1].share_wait",
        "`share_weight`",
    );
    found(FindingKind::MissingField, "plans[1].share_weight", "add");
    found(
        FindingKind::OutOfRange,
        "plans[2].running_max_requests",
        "from 1 to",
    );
    found(
        FindingKind::DanglingReference,
        "teams[5].plan",
        "`research`",
    );
    found(FindingKind::Duplicate, "teams[4].name", "another name");
    found(FindingKind::CannotHold, "queues[1].pools[0]", "not spare");
    found(
        FindingKind::DanglingReference,
        "queues[1].pools[2]",
        "`transit`",
    );
    found(FindingKind::CannotHold, "queues[3].pools", "at least one");
    found(
        FindingKind::WrongType,
        "queues[5].is_open_to_all",
        "`true` or `false`",
    );
    let limit = line_of(LAHORE.plans, "\"running_max_requests\": 40");
    assert!(findings.iter().any(|f| f.line == limit));
}

#[test]
fn contradictory_values_are_refused() {
    let cases = [
        (
            "\"running_max_requests\": 120,\n      \"start_target_ms\": 1600",
            "\"running_max_requests\": 120,\n      \"start_target_ms\": 100",
            "plans[1].start_target_ms",
        ),
        (
            "{ \"pool_unavailable_max_permille\": 250",
            "{ \"pool_unavailable_max_permille\": 100",
            "plans[0].availability.pool_unavailable_max_permille",
        ),
        (
            "\"zone_unavailable_max_permille\": 500",
            "\"zone_unavailable_max_permille\": 400",
            "plans[0].availability.zone_unavailable_max_permille",
        ),
        (
            "\"is_open_to_all\": true",
            "\"is_open_to_all\": true, \"is_urgent\": true",
            "queues[5].is_urgent",
        ),
        (
            "\"buffer_cost\": 1, \"roll_out_time\": 5, \"moves\": 4, \"share_nearness\": 2",
            "\"buffer_cost\": 0, \"roll_out_time\": 0, \"moves\": 0, \"share_nearness\": 0",
            "measure_weights",
        ),
        (
            "\"gauges\", \"instances_min_count\": 6",
            "\"gauges\", \"instances_min_count\": 9",
            "pools[3].instances_count",
        ),
        (
            "\"gauges\", \"instances_min_count\": 6",
            "\"gauges\", \"instances_min_count\": 0",
            "pools[3].instances_min_count",
        ),
        (
            "\"cores_milli\": 8000, \"memory_mb\": 32000 },\n      \"body",
            "\"cores_milli\": 33000, \"memory_mb\": 32000 },\n      \"body",
            "demand[6].size",
        ),
        (
            "\"queue\": \"archive\", \"team\": \"university\"",
            "\"queue\": \"delay-maps\", \"team\": \"university\"",
            "demand[6].queue",
        ),
        (
            "\"plan\": \"research\",\n      \"queues\"",
            "\"plan\": \"nothing\",\n      \"queues\"",
            "plans[2]",
        ),
    ];
    for (from, to, field) in cases {
        let findings = findings_after(&LAHORE, &[(from, to)]);
        assert_finding(&findings, FindingKind::CannotHold, field, "");
    }
}

#[test]
fn unusual_values_cause_only_warnings() {
    let cases = [
        (
            "\"on_time_target_permille\": 995",
            "\"on_time_target_permille\": 1000",
        ),
        (
            "\"pool_unavailable_max_permille\": 400",
            "\"pool_unavailable_max_permille\": 1000",
        ),
        (
            "[\"delay-maps\", \"field-corrections\", \"archive\"]",
            "[\"delay-maps\", \"archive\"]",
        ),
        (
            "\"queues\": [\"archive\"]",
            "\"queues\": [\"archive\", \"public-status\"]",
        ),
        (
            "\"running_max_requests\": 120",
            "\"running_max_requests\": 10",
        ),
    ];
    for (from, to) in cases {
        let mut edits = vec![(from, to)];
        if to.starts_with("[\"delay") {
            edits.push((
                "\"queue\": \"field-corrections\"",
                "\"queue\": \"delay-maps\"",
            ));
        }
        let findings = findings_after(&LAHORE, &edits);
        assert!(!findings.is_empty(), "no warning after the edit to {to}");
        for finding in findings {
            assert_eq!(finding.severity, Severity::Warning, "{finding}");
        }
    }
}

#[test]
fn each_list_must_be_given_exactly_once() {
    let plans = ConfigSource {
        file: "plans",
        text: LAHORE.plans,
    };
    for sources in [&[plans][..], &[plans, plans], &[]] {
        let findings = check_texts(sources).expect_err("a list is missing or given twice");
        assert_finding(&findings, FindingKind::File, "", "file");
    }
    let entitlements = ConfigSource {
        file: "entitlements",
        text: LAHORE.entitlements,
    };
    assert!(check_texts(&[entitlements, plans]).is_ok());
}

#[test]
fn diff_matches_rows_by_name_and_prints_one_line_per_change() {
    let before = LAHORE.load().expect("no errors").0 .0;
    let mut after = before.clone();
    after.plans.teams.reverse();
    assert_eq!(diff(&before, &after), []);
    after.plans.teams[0].share_weight = Some(2);
    after.plans.plans[0].running_max_requests = 150;
    after.entitlements.queues.remove(5);
    let lines: Vec<String> = diff(&before, &after)
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(
        lines,
        [
            "~ plans[critical].running_max_requests: 160 -> 150",
            "- queues[public-status]: {\"is_open_to_all\":true,\"is_urgent\":false,\
             \"name\":\"public-status\",\"pools\":[\"gauges\"]}",
            "+ teams[university].share_weight: 2",
        ]
    );
}

#[test]
fn serialized_lists_pass_the_checks_unchanged() {
    let lists = DENMARK.load().expect("no errors").0 .0;
    let plans = serde_json::to_string_pretty(&lists.plans).expect("JSON");
    let entitlements = serde_json::to_string_pretty(&lists.entitlements).expect("JSON");
    let sources = [plans, entitlements];
    let sources = sources
        .each_ref()
        .map(|text| ConfigSource { file: "f", text });
    assert_eq!(check_texts(&sources), Ok((lists, Vec::new())));
}

#[test]
fn demand_is_checked_against_the_settings_of_an_entry() {
    let edits = [
        (
            "\"log_level\"",
            "\"run_max_ms\": 500, \"body_max_bytes\": 65535, \"log_level\"",
        ),
        ("\"zone\": \"lahore-a\"", "\"zone\": \"lahore-e\""),
    ];
    let findings = findings_after(&LAHORE, &edits);
    assert_finding(
        &findings,
        FindingKind::CannotHold,
        "demand[6].run_ms",
        "500 or less",
    );
    assert_finding(
        &findings,
        FindingKind::CannotHold,
        "demand[7].body_bytes",
        "65535 or less",
    );
    assert_finding(
        &findings,
        FindingKind::DanglingReference,
        "zone",
        "`lahore-a`",
    );
}

#[test]
fn the_reference_page_names_each_field_and_each_kind_of_finding() {
    let reference = include_str!("../../docs/lists.md");
    for text in [LAHORE.plans, LAHORE.entitlements, LAHORE.fleet] {
        let names = text.split('"').skip(1).step_by(2);
        let fields = names.zip(text.split('"').skip(2).step_by(2));
        for (name, _) in fields.filter(|(_, after)| after.starts_with(':')) {
            assert!(
                reference.contains(name),
                "the page does not name field {name}"
            );
        }
    }
    for kind in FindingKind::iter() {
        assert!(
            reference.contains(&format!("| `{kind}` |")),
            "the page has no row for {kind}"
        );
    }
}

/// Generates almost valid texts: an example with one piece removed and another inserted.
fn damaged_text() -> impl Strategy<Value = String> {
    let texts: Vec<&'static str> = EXAMPLES
        .iter()
        .flat_map(|example| example.sources().map(|(_, text)| text))
        .collect();
    let inserted = prop_oneof![
        Just(String::new()),
        "[0-9]{1,25}",
        "[\\[\\]{}:,\"/*.-]{1,4}",
        "\\PC{0,6}",
    ];
    (
        proptest::sample::select(texts),
        0..10_000_usize,
        0..40_usize,
        inserted,
    )
        .prop_map(|(text, at, cut, inserted)| {
            let chars: Vec<char> = text.chars().collect();
            let at = at % chars.len();
            let end = (at + cut).min(chars.len());
            let mut out: String = chars[..at].iter().collect();
            out.push_str(&inserted);
            out.extend(&chars[end..]);
            out
        })
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        cases: 400,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_text_is_checked_without_panic_and_each_finding_names_a_line(
        texts in prop::collection::vec(prop_oneof![damaged_text(), "\\PC{0,60}"], 1..4)
    ) {
        let sources: Vec<ConfigSource<'_>> = texts
            .iter()
            .map(|text| ConfigSource { file: "f", text })
            .collect();
        let (is_ok, findings) = match config_files::check(&sources) {
            Ok((_, findings)) => (true, findings),
            Err(findings) => (false, findings),
        };
        prop_assert_eq!(is_ok, findings.iter().all(|f| f.severity == Severity::Warning));
        let last = texts.iter().map(|text| text.split('\n').count()).max();
        for finding in findings {
            prop_assert!(finding.line >= 1 && Some(finding.line) <= last, "{}", finding);
            prop_assert!(!finding.problem.is_empty() && !finding.instead.is_empty());
        }
    }
}
