//! The integration tests, one module per topic.

mod policy_health;
mod policy_retry;
mod policy_share;
mod check_command;
mod lists;
mod settings;
mod upkeep_budget;
