//! The job engine against workers in memory, in virtual time.

mod basics;
mod capacity;
mod faults;
mod plant;
