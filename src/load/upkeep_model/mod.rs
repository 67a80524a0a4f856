//! Experiments on upkeep in virtual time: the budget, roll-out, buffer and move decisions of
//! [`crate::upkeep`] drive a modelled fleet with drains, reboots, failures and demand by turns, next
//! to the baselines that they must beat. Every run is a function of its seed.

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
