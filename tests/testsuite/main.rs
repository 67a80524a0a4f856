//! The integration tests, one module per topic.

mod cancellation;
mod check_command;
mod cluster;
mod lists;
mod operator_commands;
mod platform_instances;
mod platform_links;
mod platform_log;
mod platform_worker_state;
mod platform_workers;
mod policy_health;
mod policy_retry;
mod policy_share;
mod processes;
mod proxy;
mod settings;
mod standalone;
mod standalone_account;
mod upkeep_budget;
mod whole_path;
