//! The integration tests, one module per topic.

mod callers;
mod check_command;
mod cluster;
mod error_table;
mod ledger_fold;
mod lists;
mod model;
mod peers;
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
mod support;
mod upkeep_budget;
mod whole_path;
