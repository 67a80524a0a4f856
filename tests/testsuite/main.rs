//! The integration tests, one module per topic.

mod check_command;
mod lists;
mod settings;
