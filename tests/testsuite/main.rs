//! The integration tests, one module per topic.

mod check_command;
mod lists;
mod policy_health;
mod policy_retry;
mod policy_share;
mod settings;
mod upkeep_budget;
