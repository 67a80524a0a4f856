//! Load runs and experiments.

pub mod upkeep_model;
