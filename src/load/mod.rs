//! Experiments that measure the policies in virtual time: the same cores that the daemons drive,
//! with modelled entries, workers and callers, at fixed seeds, baseline and candidates in one run.

pub mod cost;
pub mod demand;
pub(crate) mod entry;
pub mod live;
pub mod measure;
pub mod overload;
pub mod plot;
pub mod share;
pub mod state_cost;
pub mod upkeep_model;
pub mod world;
