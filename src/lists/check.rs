//! Check of the two lists that are published together.

use crate::config_files::{self, ConfigSource};
use crate::findings::{finish_check, Checked, Finding};
use crate::lists::Lists;

/// Checks the files of both lists and returns the lists with the warnings, or every finding if one
/// is an error. The files may be given in any order: which list a file holds is detected from its
/// content.
///
/// # Errors
///
/// All findings of all files, if a list has an error, is missing or is given twice.
pub fn check_texts(sources: &[ConfigSource<'_>]) -> Checked<Lists> {
    let (files, mut findings) = config_files::check(sources)?;
    let file = sources.first().map_or("", |source| source.file);
    let mut require = |name: &str, is_given: bool| {
        if !is_given {
            findings.push(Finding::of_file(
                file,
                &format!("the `{name}` list is missing"),
                "pass its file as well",
            ));
        }
    };
    require("plans", files.plans.is_some());
    require("entitlements", files.entitlements.is_some());
    finish_check(files.lists(), findings)
}
