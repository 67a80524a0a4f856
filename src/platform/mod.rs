//! The users' platform: everything whose only job is to translate between its wire and the product.
//! Nothing outside this folder knows the platform's names.

pub mod advice;
pub mod callers;
pub mod instances;
pub mod lists;
pub mod settings;
pub mod status;
pub mod store;
pub mod workers;

mod sizes;
