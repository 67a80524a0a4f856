//! The job engine against workers in memory, in virtual time.

mod basics;
mod builders;
mod capacity;
mod faults;
mod plant;
