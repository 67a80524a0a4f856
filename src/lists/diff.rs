//! Difference between two versions of the lists, one change per line.

use std::fmt;

use indexmap::IndexMap;
use serde::Serialize;
use serde_json::Value;

use crate::lists::Lists;

/// What happened to a row or a field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ChangeKind {
    /// It was added.
    Added,
    /// It was removed.
    Removed,
    /// It has another value.
    Changed,
}

/// One change of one row or field.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Change {
    /// Kind of the change.
    pub kind: ChangeKind,
    /// Path made of the names of the rows, such as `teams[flood-office].share_weight`.
    pub path: String,
    /// Value before the change, as JSON; empty if it was added.
    pub before: String,
    /// Value after the change, as JSON; empty if it was removed.
    pub after: String,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            kind,
            path,
            before,
            after,
        } = self;
        match kind {
            ChangeKind::Added => write!(f, "+ {path}: {after}"),
            ChangeKind::Removed => write!(f, "- {path}: {before}"),
            ChangeKind::Changed => write!(f, "~ {path}: {before} -> {after}"),
        }
    }
}

/// Returns the changes from `before` to `after`, sorted by path. Rows are matched by name, so a
/// different order of rows is not a change; the order of a queue's pools is its order of preference
/// and does count. An added or removed row is one change; in a row that is in both, each field that
/// differs is one change.
pub fn diff(before: &Lists, after: &Lists) -> Vec<Change> {
    let before = rows(before);
    let mut after = rows(after);
    let mut changes = Vec::new();
    for (path, old) in &before {
        match after.shift_remove(path) {
            Some(new) => diff_values(path, Some(old), Some(&new), &mut changes),
            None => diff_values(path, Some(old), None, &mut changes),
        }
    }
    for (path, new) in &after {
        diff_values(path, None, Some(new), &mut changes);
    }
    changes.sort_by(|a, b| a.path.cmp(&b.path));
    changes
}

/// Returns the rows of both lists by path; a value that is not an array counts as one row.
fn rows(lists: &Lists) -> IndexMap<String, Value> {
    let parts = [
        serde_json::to_value(&lists.plans),
        serde_json::to_value(&lists.entitlements),
    ];
    let mut rows = IndexMap::new();
    let objects = parts.into_iter().flatten();
    let fields = objects.flat_map(|part| part.as_object().cloned().unwrap_or_default());
    for (list, value) in fields {
        match value {
            Value::Array(values) => rows.extend(values.into_iter().map(|row| {
                let key = row.get("name").or_else(|| row.get("plan"));
                let key = key.and_then(Value::as_str).unwrap_or_default();
                (format!("{list}[{key}]"), row)
            })),
            value => {
                rows.insert(list, value);
            }
        }
    }
    rows
}

/// Adds the changes between two values at `path`, field by field if both are objects.
fn diff_values(
    path: &str,
    before: Option<&Value>,
    after: Option<&Value>,
    changes: &mut Vec<Change>,
) {
    let kind = match (before, after) {
        (before, after) if before == after => return,
        (Some(Value::Object(old)), Some(Value::Object(new))) => {
            let added = new.keys().filter(|name| !old.contains_key(*name));
            for name in old.keys().chain(added) {
                let path = format!("{path}.{name}");
                diff_values(&path, old.get(name), new.get(name), changes);
            }
            return;
        }
        (None, _) => ChangeKind::Added,
        (_, None) => ChangeKind::Removed,
        _ => ChangeKind::Changed,
    };
    let text = |value: Option<&Value>| value.map(Value::to_string).unwrap_or_default();
    changes.push(Change {
        kind,
        path: path.to_owned(),
        before: text(before),
        after: text(after),
    });
}
