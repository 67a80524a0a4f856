//! The job engine against workers in memory, in virtual time.

mod basics;
mod faults;
mod plant;
