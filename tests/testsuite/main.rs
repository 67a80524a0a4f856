//! The integration tests, one module per topic.

mod check_command;
mod cluster;
mod engines;
mod lists;
mod platform_instances;
mod platform_links;
mod platform_log;
mod platform_workers;
mod policy_health;
mod policy_retry;
mod policy_share;
mod processes;
mod promises_jobs;
mod promises_keys;
mod promises_limits;
mod promises_membership;
mod promises_random;
mod promises_recovery;
mod promises_single_run;
mod proxy;
mod settings;
mod upkeep_budget;
mod whole_path;
