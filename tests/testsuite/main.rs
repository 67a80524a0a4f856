//! The integration tests, one module per topic.

mod callers;
mod error_table;
mod peers;
mod support;
