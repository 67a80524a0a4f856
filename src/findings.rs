//! Findings: errors and warnings about configuration files, each with its file, line, field and
//! what to write instead.

use std::fmt;

use serde::Serialize;
use smol_str::SmolStr;

/// Severity of a finding.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, strum::Display, strum::EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Severity {
    /// The file can be used, but probably does not say what its author meant.
    Warning,
    /// The file is refused.
    Error,
}

/// Everything that can be wrong with a configuration file.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    strum::Display,
    strum::EnumIter,
    strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum FindingKind {
    /// The text is not JSON with comments.
    Syntax,
    /// The file is of no known kind or of the same kind as another, or a required file is missing.
    File,
    /// A field that is not known in its object.
    UnknownField,
    /// A required field is missing.
    MissingField,
    /// A value of the wrong type.
    WrongType,
    /// A value outside the field's bounds.
    OutOfRange,
    /// A name, row or field that occurs twice.
    Duplicate,
    /// A reference to a name that does not exist.
    DanglingReference,
    /// Values that are each valid, but contradict each other or cannot be satisfied.
    CannotHold,
    /// Valid, but probably not what was meant.
    Unusual,
}

/// One error or warning about a configuration file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Name of the file, as given to the check.
    pub file: SmolStr,
    /// Line, counted from 1.
    pub line: usize,
    /// Whether the file is refused because of it.
    pub severity: Severity,
    /// Kind of the problem.
    pub kind: FindingKind,
    /// Path of the field, such as `plans[2].share_weight`; empty if the finding is about the whole
    /// file.
    pub field: String,
    /// What is wrong.
    pub problem: String,
    /// What to write instead.
    pub instead: String,
}

impl Finding {
    /// Returns an error about the whole file.
    pub(crate) fn of_file(file: &str, problem: &str, instead: &str) -> Self {
        Self {
            file: file.into(),
            line: 1,
            severity: Severity::Error,
            kind: FindingKind::File,
            field: String::new(),
            problem: problem.to_owned(),
            instead: instead.to_owned(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file,
            line,
            severity,
            kind,
            field,
            problem,
            instead,
        } = self;
        write!(f, "{file}:{line}: {severity}: ")?;
        if !field.is_empty() {
            write!(f, "{field}: ")?;
        }
        write!(f, "{problem}; {instead} [{kind}]")
    }
}

/// Result of a check: the value with its warnings, or all findings if one of them is an error.
pub type Checked<T> = Result<(T, Vec<Finding>), Vec<Finding>>;

/// Sorts `findings` by file, line and field, and returns `value` with them unless one is an error.
pub(crate) fn finish_check<T>(value: Option<T>, mut findings: Vec<Finding>) -> Checked<T> {
    findings.sort_by(|a, b| (&a.file, a.line, &a.field).cmp(&(&b.file, b.line, &b.field)));
    let is_refused = findings.iter().any(|f| f.severity == Severity::Error);
    match value {
        Some(value) if !is_refused => Ok((value, findings)),
        _ => Err(findings),
    }
}

/// Returns the candidate with the smallest edit distance to `word`, if it is close enough to
/// suggest.
pub(crate) fn closest_name<'c>(
    word: &str,
    candidates: impl IntoIterator<Item = &'c str>,
) -> Option<&'c str> {
    let distance_limit = word.chars().count().max(3) / 2 + 1;
    candidates
        .into_iter()
        .map(|candidate| (edit_distance(word, candidate), candidate))
        .min_by_key(|(distance, _)| *distance)
        .filter(|(distance, _)| *distance < distance_limit)
        .map(|(_, candidate)| candidate)
}

/// Counts the insertions, deletions and replacements between two words (Levenshtein distance).
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, from) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, to) in b.iter().enumerate() {
            let replaced = diagonal + usize::from(from != *to);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(row[j] + 1).min(row[j + 1] + 1);
        }
    }
    row[b.len()]
}
