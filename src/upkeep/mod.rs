//! Upkeep of the instances: availability budgets, moves between pools, buffers and roll-outs, all as
//! pure functions of a view of the fleet.

pub mod budget;
pub mod counts;
pub mod keys;
