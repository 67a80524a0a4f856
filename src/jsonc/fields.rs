//! Cursors over the values of a document, and readers of typed fields.

use std::ops::RangeInclusive;

use indexmap::IndexSet;
use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use smol_str::SmolStr;

use crate::findings::{closest_name, FindingKind};
use crate::jsonc::document::join;
use crate::jsonc::Document;

/// Maximum length of a name of a team, pool and so on, in bytes.
const NAME_MAX_BYTES: usize = 64;

/// One value of a document with its path.
pub(crate) struct Cursor<'d> {
    document: &'d Document<'d>,
    value: &'d Value<'d>,
    path: String,
}

impl<'d> Cursor<'d> {
    pub(crate) fn new(document: &'d Document<'d>, value: &'d Value<'d>, path: String) -> Self {
        Self {
            document,
            value,
            path,
        }
    }

    /// Returns the fields of the value, which must be an object. Reports every field that is not
    /// among `known` or occurs twice.
    pub(crate) fn fields(&self, known: &[&str]) -> Fields<'d> {
        let object = self.value.as_object();
        match object {
            Some(object) => self.report_unknown_and_duplicate(object, known),
            None => self.wrong_type("an object, { ... }"),
        }
        Fields {
            document: self.document,
            object,
            path: self.path.clone(),
        }
    }

    fn report_unknown_and_duplicate(&self, object: &Object<'_>, known: &[&str]) {
        let mut seen = IndexSet::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let path = join(&self.path, name);
            let report = |kind, problem: &str, instead: &str| {
                self.document
                    .error_at(property.start(), kind, &path, problem, instead);
            };
            if !known.contains(&name) {
                let instead = match closest_name(name, known.iter().copied()) {
                    Some(closest) => format!("write `{closest}`, or remove it"),
                    None => format!("remove it; the fields here are {}", known.join(", ")),
                };
                report(
                    FindingKind::UnknownField,
                    "there is no such field",
                    &instead,
                );
            } else if !seen.insert(name) {
                let problem = "the field occurs twice";
                report(FindingKind::Duplicate, problem, "keep one of the two");
            }
        }
    }

    /// Returns the elements of the value, which must be an array.
    pub(crate) fn elements(&self) -> Vec<Cursor<'d>> {
        let Some(array) = self.value.as_array() else {
            self.wrong_type("an array, [ ... ]");
            return Vec::new();
        };
        let elements = array.elements.iter().enumerate();
        elements
            .map(|(index, value)| {
                Cursor::new(self.document, value, format!("{}[{index}]", self.path))
            })
            .collect()
    }

    /// Reads a string.
    pub(crate) fn text(&self) -> Option<SmolStr> {
        let text = self.value.as_string_lit();
        if text.is_none() {
            self.wrong_type("a string in double quotes");
        }
        text.map(|text| SmolStr::new(&text.value))
    }

    /// Reads a name: lower-case letters, digits, `-`, `_` and `.`.
    pub(crate) fn name(&self) -> Option<SmolStr> {
        let name = self.text()?;
        let is_allowed = |c: char| matches!(c, 'a'..='z' | '0'..='9' | '-' | '_' | '.');
        match name.as_str() {
            "" => self.out_of_range("the name is empty", "write a name of 1 to 64 characters"),
            name if name.len() > NAME_MAX_BYTES => {
                self.out_of_range("the name is too long", "write a name of 1 to 64 characters")
            }
            name if !name.chars().all(is_allowed) => self.out_of_range(
                "the name contains characters that are not allowed",
                "write lower-case letters a-z, digits, `-`, `_` and `.` only",
            ),
            _ => return Some(name),
        }
        None
    }

    /// Reads a boolean.
    pub(crate) fn flag(&self) -> Option<bool> {
        let flag = self.value.as_boolean_lit();
        if flag.is_none() {
            self.wrong_type("`true` or `false`");
        }
        flag.map(|flag| flag.value)
    }

    /// Reads a whole number within `range`.
    pub(crate) fn u64(&self, range: RangeInclusive<u64>) -> Option<u64> {
        let bounds = bounds(&range);
        let Some(number) = self.value.as_number_lit() else {
            self.wrong_type(&bounds);
            return None;
        };
        match number.value.parse::<u64>() {
            Ok(number) if range.contains(&number) => return Some(number),
            Err(_) if number.value.contains(['.', 'e', 'E']) => self.wrong_type(&bounds),
            _ => self.out_of_range(
                &format!("{} is out of range", number.value),
                &format!("write {bounds}"),
            ),
        }
        None
    }

    /// Reads a whole number within `range`.
    pub(crate) fn u32(&self, range: RangeInclusive<u32>) -> Option<u32> {
        let wide = u64::from(*range.start())..=u64::from(*range.end());
        self.u64(wide).and_then(|number| u32::try_from(number).ok())
    }

    /// Reports that the value is out of range.
    pub(crate) fn out_of_range(&self, problem: &str, instead: &str) {
        self.document
            .error(FindingKind::OutOfRange, &self.path, problem, instead);
    }

    fn wrong_type(&self, expected: &str) {
        let found = match self.value {
            Value::StringLit(_) => "a string",
            Value::NumberLit(number) if number.value.contains(['.', 'e', 'E']) => "a fraction",
            Value::NumberLit(_) => "a number",
            Value::BooleanLit(_) => "a boolean",
            Value::Object(_) => "an object",
            Value::Array(_) => "an array",
            Value::NullKeyword(_) => "null",
        };
        let problem = format!("{found} is not allowed here");
        let instead = format!("write {expected}");
        self.document
            .error(FindingKind::WrongType, &self.path, &problem, &instead);
    }
}

/// The fields of one object. Reading continues after an error: a missing or invalid value is read
/// as `None`.
pub(crate) struct Fields<'d> {
    document: &'d Document<'d>,
    object: Option<&'d Object<'d>>,
    path: String,
}

impl<'d> Fields<'d> {
    /// Returns a field, if the object has it.
    pub(crate) fn get(&self, name: &str) -> Option<Cursor<'d>> {
        let properties = self.object?.properties.iter();
        let property = properties
            .into_iter()
            .find(|property| property.name.as_str() == name)?;
        let path = join(&self.path, name);
        Some(Cursor::new(self.document, &property.value, path))
    }

    /// Returns a field, and reports an error if it is missing; `expected` says what to write.
    pub(crate) fn required(&self, name: &str, expected: &str) -> Option<Cursor<'d>> {
        let cursor = self.get(name);
        if let (None, Some(object)) = (&cursor, self.object) {
            self.document.error_at(
                object.start(),
                FindingKind::MissingField,
                &join(&self.path, name),
                "the field is missing",
                &format!("add `\"{name}\"` with {expected}"),
            );
        }
        cursor
    }

    /// Reads a required array, element by element.
    pub(crate) fn rows<T>(&self, name: &str, read: impl FnMut(Cursor<'d>) -> T) -> Vec<T> {
        let elements = self.required(name, "an array, [ ... ]");
        elements
            .map(|cursor| cursor.elements())
            .unwrap_or_default()
            .into_iter()
            .map(read)
            .collect()
    }

    /// Reads a required object.
    pub(crate) fn object<T>(&self, name: &str, read: impl FnOnce(Cursor<'d>) -> T) -> Option<T> {
        self.required(name, "an object, { ... }").map(read)
    }

    /// Reads a required name. An invalid name is read as the empty name, which later checks skip.
    pub(crate) fn name(&self, name: &str) -> SmolStr {
        self.required(name, "a name in double quotes")
            .and_then(|cursor| cursor.name())
            .unwrap_or_default()
    }

    /// Reads a required whole number within `range`.
    pub(crate) fn u64(&self, name: &str, range: RangeInclusive<u64>) -> Option<u64> {
        let cursor = self.required(name, &bounds(&range));
        cursor.and_then(|cursor| cursor.u64(range))
    }

    /// Reads a required whole number within `range`.
    pub(crate) fn u32(&self, name: &str, range: RangeInclusive<u32>) -> Option<u32> {
        let cursor = self.required(name, &bounds(&range));
        cursor.and_then(|cursor| cursor.u32(range))
    }

    /// Reads an optional boolean; a missing or invalid one is read as false.
    pub(crate) fn flag(&self, name: &str) -> bool {
        self.get(name)
            .and_then(|cursor| cursor.flag())
            .unwrap_or_default()
    }
}

/// Describes `range` in words.
fn bounds<N: std::fmt::Display>(range: &RangeInclusive<N>) -> String {
    format!("a whole number from {} to {}", range.start(), range.end())
}
