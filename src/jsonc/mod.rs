//! Reads typed values from JSON with comments. Every error becomes a finding with its line, and
//! reading continues after it, so that one pass reports all errors of a file.

mod document;
mod fields;

pub(crate) use document::Document;
pub(crate) use fields::Cursor;
