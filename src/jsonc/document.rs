//! A parsed file with the line number of every field and the findings collected so far.

use std::cell::RefCell;

use indexmap::{IndexMap, IndexSet};
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::{parse_to_ast, CollectOptions, ParseOptions};

use crate::findings::{Finding, FindingKind, Severity};
use crate::jsonc::Cursor;

/// JSON with comments and trailing commas; no other extension is allowed.
const DIALECT: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_trailing_commas: true,
    allow_loose_object_property_names: false,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// A parsed file.
pub(crate) struct Document<'a> {
    file: &'a str,
    root: Option<Value<'a>>,
    line_starts: Vec<usize>,
    line_of_path: IndexMap<String, usize>,
    wrong_type_paths: RefCell<IndexSet<String>>,
    findings: RefCell<Vec<Finding>>,
}

impl<'a> Document<'a> {
    /// Parses `text`; a syntax error is the document's first finding.
    pub(crate) fn parse(file: &'a str, text: &'a str) -> Self {
        let line_starts = std::iter::once(0)
            .chain(text.match_indices('\n').map(|(at, _)| at + 1))
            .collect();
        let mut document = Self {
            file,
            root: None,
            line_starts,
            line_of_path: IndexMap::new(),
            wrong_type_paths: RefCell::default(),
            findings: RefCell::default(),
        };
        match parse_to_ast(text, &CollectOptions::default(), &DIALECT) {
            Ok(parsed) => document.set_root(parsed.value),
            Err(error) => document.report_at(
                document.line_at(error.range().start),
                FindingKind::Syntax,
                "",
                &error.kind().to_string().to_lowercase(),
                "write JSON; comments and trailing commas are the only extensions allowed",
            ),
        }
        document
    }

    /// Stores the value of the file and records the line of every field in it.
    fn set_root(&mut self, root: Option<Value<'a>>) {
        if let Some(root) = &root {
            let mut lines = IndexMap::new();
            record_lines(root, String::new(), &mut |path, start| {
                lines.entry(path).or_insert_with(|| self.line_at(start));
            });
            self.line_of_path = lines;
        }
        match root {
            Some(root) => self.root = Some(root),
            None => self.report_at(
                1,
                FindingKind::Syntax,
                "",
                "the file has no value",
                "write an object, { ... }",
            ),
        }
    }

    /// Returns the name of the file.
    pub(crate) fn file(&self) -> &'a str {
        self.file
    }

    /// Returns the value of the file, if it could be parsed.
    pub(crate) fn root(&'a self) -> Option<Cursor<'a>> {
        let value = self.root.as_ref()?;
        Some(Cursor::new(self, value, String::new()))
    }

    /// Returns the field names of the file's top-level object.
    pub(crate) fn root_names(&self) -> Vec<&str> {
        let object = self.root.as_ref().and_then(Value::as_object);
        let properties = object.into_iter().flat_map(|object| &object.properties);
        properties.map(|property| property.name.as_str()).collect()
    }

    /// Returns whether the text could be parsed.
    pub(crate) fn is_parsed(&self) -> bool {
        self.root.is_some()
    }

    /// Returns whether the file has a value at `path`.
    pub(crate) fn has(&self, path: &str) -> bool {
        self.line_of_path.contains_key(path)
    }

    /// Returns the line of the field at `path`, or that of the innermost object or array around it.
    pub(crate) fn line_of(&self, path: &str) -> usize {
        let mut path = path;
        loop {
            match (self.line_of_path.get(path), path.rfind(['.', '['])) {
                (Some(line), _) => return *line,
                (None, Some(end)) => path = &path[..end],
                (None, None) => return self.line_of_path.get("").copied().unwrap_or(1),
            }
        }
    }

    /// Adds an error at `path`.
    pub(crate) fn error(&self, kind: FindingKind, path: &str, problem: &str, instead: &str) {
        self.report_at(self.line_of(path), kind, path, problem, instead);
    }

    /// Adds a warning at `path`.
    pub(crate) fn warn(&self, path: &str, problem: &str, instead: &str) {
        self.push(
            self.line_of(path),
            Severity::Warning,
            FindingKind::Unusual,
            path,
            problem,
            instead,
        );
    }

    /// Adds an error at the byte position `start` of the text.
    pub(crate) fn error_at(
        &self,
        start: usize,
        kind: FindingKind,
        path: &str,
        problem: &str,
        instead: &str,
    ) {
        self.report_at(self.line_at(start), kind, path, problem, instead);
    }

    /// Returns all findings.
    pub(crate) fn into_findings(self) -> Vec<Finding> {
        self.findings.into_inner()
    }

    fn report_at(&self, line: usize, kind: FindingKind, path: &str, problem: &str, instead: &str) {
        self.push(line, Severity::Error, kind, path, problem, instead);
    }

    fn push(
        &self,
        line: usize,
        severity: Severity,
        kind: FindingKind,
        path: &str,
        problem: &str,
        instead: &str,
    ) {
        match kind {
            FindingKind::WrongType => {
                self.wrong_type_paths.borrow_mut().insert(path.to_owned());
            }
            // The fallback value of a field of the wrong type must not cause further findings.
            _ if self.wrong_type_paths.borrow().contains(path) => return,
            _ => {}
        }
        self.findings.borrow_mut().push(Finding {
            file: self.file.into(),
            line,
            severity,
            kind,
            field: path.to_owned(),
            problem: problem.to_owned(),
            instead: instead.to_owned(),
        });
    }

    fn line_at(&self, start: usize) -> usize {
        self.line_starts.partition_point(|line| *line <= start)
    }
}

/// Calls `record` with the path and the byte position of `value` and of every value in it.
fn record_lines(value: &Value<'_>, path: String, record: &mut impl FnMut(String, usize)) {
    match value {
        Value::Object(object) => {
            for property in &object.properties {
                let path = join(&path, property.name.as_str());
                record(path.clone(), property.start());
                record_lines(&property.value, path, record);
            }
        }
        Value::Array(array) => {
            for (index, element) in array.elements.iter().enumerate() {
                record_lines(element, format!("{path}[{index}]"), record);
            }
        }
        _ => {}
    }
    record(path, value.start());
}

/// Returns the path of the field `name` of the object at `path`.
pub(crate) fn join(path: &str, name: &str) -> String {
    match path {
        "" => name.to_owned(),
        path => format!("{path}.{name}"),
    }
}
