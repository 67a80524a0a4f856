//! Load runs and experiments.

pub mod live;
pub mod upkeep_model;
