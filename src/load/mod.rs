//! Load generation and measurement of the policies.
//!
//! The experiments run in virtual time. They drive the same policy code as the daemons, with
//! simulated entries, workers and callers, and compare baselines and candidates at a fixed seed.
//! [`live`] sends a load to running processes in real time.

pub mod cost;
pub mod demand;
pub mod engine_cost;
pub(crate) mod entry;
pub mod forecasts;
pub mod live;
pub mod measure;
pub mod overload;
pub mod places;
pub(crate) mod played_pool;
pub(crate) mod played_worker;
pub mod plot;
pub mod run_times;
pub mod share;
pub mod state_cost;
pub mod teams;
pub mod upkeep_model;
pub mod world;

/// Most bytes of a record of the store that the experiments assume.
pub(crate) const RECORD_MAX_BYTES: usize = 1 << 18;
