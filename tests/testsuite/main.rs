//! The integration tests, one module per topic.

mod load_experiments;
mod policy_health;
mod policy_retry;
mod policy_share;
