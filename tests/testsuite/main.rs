//! The integration tests, one module per topic.

mod callers;
mod check_command;
mod error_table;
mod lists;
mod model;
mod peers;
mod policy_health;
mod policy_retry;
mod policy_share;
mod settings;
mod support;
mod upkeep_budget;
