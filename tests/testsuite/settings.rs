//! The settings: defaults, findings, and the reference page.

use hawthornladder::examples::{EXAMPLES, LAHORE};
use hawthornladder::findings::FindingKind;
use hawthornladder::settings::{check_text, Settings, NUMBER_FIELDS};

const REFERENCE: &str = include_str!("../../docs/settings.md");

/// Checks the Lahore settings with the fields `more` added; returns kind and field of each finding.
fn kinds_and_fields(more: &str) -> Vec<(FindingKind, String)> {
    let text = LAHORE
        .entry
        .replace("\"log_level\"", &format!("{more}, \"log_level\""));
    let findings = match check_text("entry", &text) {
        Ok((_, findings)) | Err(findings) => findings,
    };
    let kind_and_field = |f: hawthornladder::findings::Finding| (f.kind, f.field);
    findings.into_iter().map(kind_and_field).collect()
}

#[test]
fn examples_are_valid_and_each_default_is_within_its_bounds() {
    for example in EXAMPLES {
        let (settings, findings) = check_text("entry", example.entry).expect("no errors");
        assert_eq!(findings, []);
        assert_eq!(settings.seat_lease_ms, Settings::default().seat_lease_ms);
        assert_eq!(settings.callers_address.port(), 7100);
    }
    for field in NUMBER_FIELDS {
        assert!(
            field.range.contains(&field.default),
            "default of {}",
            field.name
        );
    }
}

#[test]
fn each_error_names_its_kind_and_field() {
    use FindingKind::{CannotHold, Duplicate, OutOfRange, UnknownField, WrongType};
    let cases = [
        ("\"seat_lease_ms\": 5000", CannotHold, "seat_renew_ms"),
        ("\"seat_renew_ms\": 40000", CannotHold, "seat_renew_ms"),
        ("\"run_max_ms\": 100000", OutOfRange, "run_max_ms"),
        (
            "\"drain_timeout_ms\": 50000",
            CannotHold,
            "drain_timeout_ms",
        ),
        (
            "\"peer_gossip_ms\": 2000",
            CannotHold,
            "config_stale_max_ms",
        ),
        (
            "\"append_batch_max_records\": 3000",
            CannotHold,
            "snapshot_every_records",
        ),
        (
            "\"bodies_max_bytes\": 65536",
            CannotHold,
            "bodies_max_bytes",
        ),
        ("\"seat_lease\": 5000", UnknownField, "seat_lease"),
        ("\"seat_lease_ms\": \"2 min\"", WrongType, "seat_lease_ms"),
        ("\"seat_lease_ms\": 1.5", WrongType, "seat_lease_ms"),
        (
            "\"worker_connections_max_count\": 65",
            OutOfRange,
            "worker_connections_max_count",
        ),
        (
            "\"retry_budget_permille\": -1",
            OutOfRange,
            "retry_budget_permille",
        ),
        (
            "\"peer_addresses\": [\"entry-2:7101\"]",
            OutOfRange,
            "peer_addresses[0]",
        ),
        (
            "\"peer_addresses\": [\"10.0.0.1:0\"]",
            OutOfRange,
            "peer_addresses[0]",
        ),
        ("\"zone\": \"b\"", Duplicate, "zone"),
    ];
    for (more, kind, field) in cases {
        let found = kinds_and_fields(more);
        assert!(
            found.contains(&(kind, field.to_owned())),
            "no {kind} at {field} with {more}: {found:?}"
        );
    }
    let same_port = LAHORE.entry.replace("7101", "7100");
    let findings = check_text("entry", &same_port).expect_err("two addresses are the same");
    assert_eq!(findings[0].kind, Duplicate);
    let unspecified = LAHORE.entry.replace("127.0.0.1:7101", "0.0.0.0:7101");
    assert!(check_text("entry", &unspecified).is_err());
    assert!(check_text("entry", LAHORE.plans).is_err());
}

#[test]
fn the_reference_page_has_each_default_and_its_bounds() {
    for field in NUMBER_FIELDS {
        let row = format!(
            "| `{}` | {} | {} | {} |",
            field.name,
            field.default,
            field.range.start(),
            field.range.end()
        );
        assert!(REFERENCE.contains(&row), "the page has no row {row}");
    }
    let (fields, _rules) = REFERENCE
        .split_once("## Fields that must fit together")
        .expect("the page has a section for the rules");
    let rows = fields.lines().filter(|line| line.starts_with("| `"));
    let texts_count = 11;
    assert_eq!(rows.count(), NUMBER_FIELDS.len() + texts_count);
}
