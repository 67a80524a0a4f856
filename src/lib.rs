//! Hawthornladder manages the capacity and the maintenance of a shared fleet. Operators edit two
//! lists and grant keys; entry processes admit requests, place them on workers, keep every team's
//! share and limit, and take instances out for moves and maintenance within availability budgets.

pub mod adapters;
pub mod fleet;
pub mod lists;
pub mod load;
pub mod platform;
pub mod policy;
pub mod ports;
pub mod upkeep;
