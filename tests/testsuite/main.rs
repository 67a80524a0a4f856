//! The integration tests, one module per topic.

mod check_command;
mod cluster;
mod lists;
mod platform_instances;
mod platform_links;
mod platform_log;
mod platform_workers;
mod policy_health;
mod policy_retry;
mod policy_share;
mod processes;
mod promises_answers;
mod promises_bad_workers;
mod promises_drain;
mod promises_engine;
mod promises_instances;
mod promises_ledger;
mod promises_small;
mod proxy;
mod settings;
mod upkeep_budget;
mod whole_path;
