//! Load runs and experiments.

pub mod live;
