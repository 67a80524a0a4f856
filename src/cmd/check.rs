//! `check FILE...`: finds the errors in and between configuration files.

use std::fs;
use std::io::Write;
use std::path::PathBuf;

use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};
use error_stack::ResultExt;
use hawthornladder::config_files::{self, ConfigKind, ConfigSource};
use hawthornladder::findings::{Finding, Severity};
use serde::Serialize;

use crate::cmd::{CmdError, CmdResult, Exit};

/// Makes the command line of `check`.
pub(crate) fn make_command() -> Command {
    Command::new("check")
        .about("Find the errors in and between the lists, the settings and the fleet file")
        .long_about(
            "Find the errors in and between the lists, the settings and the fleet file.\n\n\
             The kind of a file is detected from its content: `plans`, `entitlements`, settings of \
             an entry, or a fleet for stand-ins and load runs. Files that are given together are \
             checked against each other, so give both lists, and the fleet file if you have one. \
             Each finding is one line: file, line, severity, field, what is wrong; what to write \
             instead [kind].",
        )
        .after_help(
            "Exit codes:\n  0  no errors\n  1  at least one error, or a warning with \
             --deny-warnings\n  4  a file cannot be read\n\n\
             Example:\n  hawthornladder check plans.jsonc entitlements.jsonc",
        )
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .help("Files to check, in any order")
                .required(true)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("output")
                .long("output")
                .value_name("FORMAT")
                .help("How to print the findings")
                .value_parser(["text", "json"])
                .default_value("text"),
        )
        .arg(
            Arg::new("deny-warnings")
                .long("deny-warnings")
                .help("Treat warnings as errors")
                .action(ArgAction::SetTrue),
        )
}

/// Result of `check`, as printed by `--output json`.
#[derive(Serialize)]
struct CheckReport {
    files: Vec<CheckedFile>,
    errors_count: usize,
    warnings_count: usize,
    findings: Vec<Finding>,
}

/// A file and its detected kind.
#[derive(Serialize)]
struct CheckedFile {
    file: String,
    kind: Option<ConfigKind>,
}

/// Executes `check`.
pub(crate) fn execute(matches: &ArgMatches) -> CmdResult {
    let paths = matches.get_many::<PathBuf>("file").unwrap_or_default();
    let mut texts = Vec::new();
    for path in paths {
        let text = fs::read_to_string(path)
            .change_context(CmdError::Unavailable)
            .attach_with(|| format!("cannot read {}", path.display()))?;
        texts.push((path.display().to_string(), text));
    }
    let report = check_texts(&texts);
    let print = match matches.get_one::<String>("output").map(String::as_str) {
        Some("json") => print_json,
        _ => print_text,
    };
    print(&report)
        .change_context(CmdError::Unavailable)
        .attach("cannot write to the standard output")?;
    let is_refused =
        report.errors_count > 0 || (report.warnings_count > 0 && matches.get_flag("deny-warnings"));
    Ok(if is_refused {
        Exit::Refused
    } else {
        Exit::Done
    })
}

fn check_texts(texts: &[(String, String)]) -> CheckReport {
    let sources: Vec<ConfigSource<'_>> = texts
        .iter()
        .map(|(file, text)| ConfigSource { file, text })
        .collect();
    let files = sources.iter().map(|source| CheckedFile {
        file: source.file.to_owned(),
        kind: config_files::kind_of(source),
    });
    let files = files.collect();
    let findings = match config_files::check(&sources) {
        Ok((_, findings)) | Err(findings) => findings,
    };
    let count = |severity| findings.iter().filter(|f| f.severity == severity).count();
    CheckReport {
        files,
        errors_count: count(Severity::Error),
        warnings_count: count(Severity::Warning),
        findings,
    }
}

fn print_text(report: &CheckReport) -> std::io::Result<()> {
    let mut out = std::io::stdout().lock();
    for finding in &report.findings {
        writeln!(out, "{finding}")?;
    }
    for CheckedFile { file, kind } in &report.files {
        let kind = kind.map_or("unknown".to_owned(), |kind| kind.to_string());
        writeln!(out, "file={file} kind={kind}")?;
    }
    writeln!(
        out,
        "files={} errors={} warnings={}",
        report.files.len(),
        report.errors_count,
        report.warnings_count
    )
}

fn print_json(report: &CheckReport) -> std::io::Result<()> {
    let mut out = std::io::stdout().lock();
    serde_json::to_writer_pretty(&mut out, report)?;
    writeln!(out)
}
