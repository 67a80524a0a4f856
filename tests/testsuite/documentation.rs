//! The guides and the help are complete: a section for each refusal, retry reason and budget
//! breach, help for each command and argument, and no link to a missing page.

use std::fs;
use std::path::{Path, PathBuf};

use hawthornladder::error::{ErrorKind, RetryReason};
use hawthornladder::upkeep::BudgetBreachKind;
use strum::IntoEnumIterator;

use crate::processes::Process;

/// Shortest text that can explain a section's name and what to do.
const SECTION_MIN_BYTES: usize = 30;

fn repository() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

fn page(path: &str) -> String {
    fs::read_to_string(repository().join(path)).expect("the page can be read")
}

/// Returns the part of `text` under the heading `## title`.
fn chapter<'t>(text: &'t str, title: &str) -> &'t str {
    let heading = format!("\n## {title}\n");
    let start = text.find(&heading).expect("the page has the chapter") + heading.len();
    let rest = &text[start..];
    &rest[..rest.find("\n## ").unwrap_or(rest.len())]
}

fn assert_sections(chapter: &str, names: impl Iterator<Item = String>) {
    for name in names {
        let heading = format!("### `{name}`");
        let section = chapter
            .split("\n### ")
            .find(|section| format!("### {section}").starts_with(&heading));
        let section = section.unwrap_or_else(|| panic!("no section {heading}"));
        let body = section.split_once('\n').map_or("", |(_, body)| body.trim());
        assert!(
            body.len() >= SECTION_MIN_BYTES,
            "section {heading} is too short"
        );
    }
}

#[test]
fn every_refusal_retry_and_breach_has_a_section() {
    let guide = page("docs/operators.md");
    let kinds = ErrorKind::iter().map(|kind| kind.to_string());
    assert_sections(chapter(&guide, "Refusals and failures"), kinds);
    let reasons = RetryReason::iter().map(|reason| reason.to_string());
    assert_sections(chapter(&guide, "Retries"), reasons);
    let breaches = BudgetBreachKind::iter().map(|breach| breach.to_string());
    assert_sections(chapter(&guide, "Planned stops and moves"), breaches);
}

#[test]
fn every_link_between_pages_has_a_target() {
    let mut pages = vec![PathBuf::from("README.md"), PathBuf::from("CONTRIBUTING.md")];
    let guides = fs::read_dir(repository().join("docs")).expect("docs can be read");
    pages.extend(guides.map(|entry| Path::new("docs").join(entry.expect("readable").file_name())));
    pages.retain(|path| path.extension().is_some_and(|extension| extension == "md"));
    for path in pages {
        let text = page(path.to_str().expect("paths are text"));
        for part in text.split("](").skip(1) {
            let target = part.split([')', '#']).next().unwrap_or("");
            if target.is_empty() || target.contains("://") {
                continue;
            }
            let folder = repository().join(path.parent().expect("pages are in a folder"));
            assert!(
                folder.join(target).exists(),
                "{path:?} links to the missing {target}"
            );
        }
    }
}

fn help_of(command: &[&str]) -> Vec<String> {
    let mut process = Process::spawn("help", &[command, &["--help"]].concat());
    assert!(
        process.wait_for_exit().success(),
        "--help of {command:?} failed"
    );
    process.all_lines()
}

/// Returns the names in the list of commands of a help text.
fn subcommands(help: &[String]) -> Vec<String> {
    let list = help.iter().skip_while(|line| *line != "Commands:").skip(1);
    list.take_while(|line| !line.is_empty())
        .map(|line| {
            let mut words = line.split_whitespace();
            let name = words.next().expect("a command has a name").to_owned();
            assert!(words.next().is_some(), "{name} has no description");
            name
        })
        .filter(|name| name != "help")
        .collect()
}

fn assert_help(command: &[&str]) {
    let help = help_of(command);
    assert!(
        help.iter().any(|line| line.starts_with("Usage:")),
        "no usage line in the help of {command:?}"
    );
    // The long help puts the text of an argument on the next line.
    let arguments = help
        .iter()
        .enumerate()
        .skip_while(|(_, line)| *line != "Arguments:" && *line != "Options:")
        .take_while(|(_, line)| *line != "Exit codes:");
    for (at, line) in arguments {
        let argument = line.trim_start();
        let indent = line.len() - argument.len();
        let is_argument = argument.starts_with('-') || argument.starts_with('<');
        if is_argument && (2..=6).contains(&indent) {
            let has_text = argument.contains("  ")
                || help
                    .get(at + 1)
                    .is_some_and(|next| next.starts_with("          "));
            assert!(has_text, "{command:?}: {argument} has no help");
        }
    }
    for name in subcommands(&help) {
        assert_help(&[command, &[&name]].concat());
    }
}

#[test]
fn every_command_and_argument_has_help() {
    assert!(subcommands(&help_of(&[])).len() >= 8);
    assert_help(&[]);
}
