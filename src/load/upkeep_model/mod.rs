//! Maintenance experiments in virtual time. The budget, roll-out, buffer and move decisions of
//! [`crate::upkeep`] drive a simulated fleet with drains, reboots, failures and cyclic demand, and
//! are compared with baselines. A run depends only on its settings and its seed.

mod baseline;
pub mod cost;
pub mod demand;
pub mod deployment;
pub mod experiments;
pub mod figures;
pub mod run;
pub mod scenario;
mod workers;
pub mod world;
