//! Reading of typed values out of JSON with comments. Every fault becomes a finding that knows its
//! line, and reading goes on after it, so that one pass reports all faults of a file.

mod document;
mod fields;

pub(crate) use document::Document;
pub(crate) use fields::Cursor;
