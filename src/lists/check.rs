//! The check of both lists as one publication holds them.

use crate::config_files::{self, ConfigSource};
use crate::findings::{finish_check, Checked, Finding};
use crate::lists::Lists;

/// Checks the files of both lists and returns the lists with the warnings, or every finding if one is
/// an error. The files may come in any order; their content tells which list each one holds.
///
/// # Errors
///
/// All findings of all files, if a list is faulty, missing or there twice.
pub fn check_texts(sources: &[ConfigSource<'_>]) -> Checked<Lists> {
    let (files, mut findings) = config_files::check(sources)?;
    let file = sources.first().map_or("", |source| source.file);
    let mut need = |name: &str, is_there: bool| {
        if !is_there {
            findings.push(Finding::of_file(
                file,
                &format!("the `{name}` list is missing"),
                "name its file, too",
            ));
        }
    };
    need("plans", files.plans.is_some());
    need("entitlements", files.entitlements.is_some());
    finish_check(files.lists(), findings)
}
