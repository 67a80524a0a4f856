//! Hawthornladder manages the capacity and the maintenance of a shared fleet. Operators edit two
//! lists and grant keys. Entry processes admit requests, place them on workers, enforce each team's
//! share and limit, and take instances out of service for moves and maintenance within availability
//! budgets.

pub mod adapters;
pub mod callers;
mod collections;
pub mod config_files;
pub mod entry;
pub mod error;
pub mod examples;
pub mod findings;
pub mod fleet;
pub mod fleet_file;
pub mod jobs;
mod jsonc;
pub mod keys;
pub mod ledger;
pub mod lists;
pub mod load;
pub mod logging;
pub mod metrics;
pub mod net;
pub mod node;
pub mod operator;
pub mod platform;
pub mod policy;
pub mod ports;
pub mod settings;
pub mod stand_in;
pub mod standalone;
pub mod upkeep;
