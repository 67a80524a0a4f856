//! Adapter of the users' platform: translates between its protocols and the types of this program.
//! Code outside this folder does not use the platform's names.

pub mod advice;
pub mod callers;
pub mod instances;
pub mod lists;
pub mod settings;
pub mod status;
pub mod store;
pub mod workers;

mod sizes;
