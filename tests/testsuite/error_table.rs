//! The table of refusals is complete, and has `not_run` only for kinds that prove that nothing ran.

use std::collections::HashSet;
use std::str::FromStr;

use hawthornladder::error::{ErrorKind, RetryReason, RunState};
use hawthornladder::logging::Event;
use hawthornladder::metrics::{DroppedAnswer, Metrics};
use strum::{EnumCount, IntoEnumIterator};

/// Kinds that are answered after work may have been sent, or that report on earlier calls.
const MAY_HAVE_RUN: [ErrorKind; 11] = [
    ErrorKind::AnswerTooLarge,
    ErrorKind::DeadlinePassedWhileRunning,
    ErrorKind::StaleRequestId,
    ErrorKind::DuplicateInFlight,
    ErrorKind::DuplicateOutcomeUnknown,
    ErrorKind::DuplicateFinished,
    ErrorKind::WorkerLost,
    ErrorKind::TaskFailed,
    ErrorKind::CancelledWhileRunning,
    ErrorKind::UnknownJob,
    ErrorKind::Internal,
];

#[test]
fn every_kind_has_a_consistent_row() {
    let mut texts = HashSet::new();
    for kind in ErrorKind::iter() {
        let row = kind.answer();
        assert!(
            (400..600).contains(&row.status),
            "{kind}: status {}",
            row.status
        );
        assert!(
            row.text.ends_with('.') && !row.text.contains('\n'),
            "{kind}: the text is not one line that ends with a full stop: {}",
            row.text
        );
        assert!(texts.insert(row.text), "{kind}: duplicate text");
        assert_eq!(ErrorKind::from_str(kind.name()), Ok(kind));
        let json = serde_json::to_string(&kind).expect("a kind serializes");
        assert_eq!(json, format!("\"{kind}\""));
        // A caller may retry only if the answer proves that the work has not run.
        let may_repeat = row.ran == RunState::NotRun || kind == ErrorKind::DuplicateInFlight;
        assert!(
            !row.has_retry_after || may_repeat,
            "{kind}: has retry-after although the work may have run"
        );
    }
}

#[test]
fn not_run_is_answered_only_where_nothing_was_sent() {
    for kind in ErrorKind::iter() {
        let is_not_run = kind.answer().ran == RunState::NotRun;
        assert_eq!(is_not_run, !MAY_HAVE_RUN.contains(&kind), "{kind}");
    }
}

#[test]
fn every_kind_and_reason_has_a_counter_from_the_start() {
    let metrics = Metrics::open();
    metrics.count_refusal(ErrorKind::QueueFull);
    metrics.count_retry(RetryReason::WorkerBusy);
    metrics.count_dropped_answer(DroppedAnswer::Late);
    metrics.added_latency_ms.observe(0.3);
    let text = metrics.encode();
    let refusals = text.matches("hawthornladder_refusals_total{kind=").count();
    let retries = text.matches("hawthornladder_retries_total{reason=").count();
    let dropped = text
        .matches("hawthornladder_dropped_answers_total{")
        .count();
    assert_eq!(refusals, ErrorKind::COUNT);
    assert_eq!(retries, RetryReason::COUNT);
    assert_eq!(dropped, DroppedAnswer::COUNT);
    assert!(text.contains("hawthornladder_refusals_total{kind=\"queue_full\"} 1"));
    assert!(text.contains("hawthornladder_refusals_total{kind=\"draining\"} 0"));
    assert_eq!(metrics.refusals_count(ErrorKind::QueueFull), 1);
}

#[test]
fn events_are_one_line_for_any_values() {
    let event = Event::new("refused")
        .with("kind", ErrorKind::QueueFull)
        .with("text", "two\nlines \"quoted\"")
        .with("empty", "");
    let expected = r#"event=refused kind=queue_full text="two\nlines \"quoted\"" empty="""#;
    assert_eq!(event.line(), expected);
}

#[test]
fn the_callers_page_shows_the_table() {
    let page = include_str!("../../docs/callers.md");
    for kind in ErrorKind::iter() {
        let row = kind.answer();
        let retry = if row.has_retry_after { "yes" } else { "no" };
        let line = format!("| `{kind}` | {} | `{}` | {retry} |", row.status, row.ran);
        assert!(page.contains(&line), "docs/callers.md lacks: {line}");
    }
}
