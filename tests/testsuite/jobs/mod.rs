//! The job engine against workers in memory, in virtual time.

mod basics;
mod builders;
mod capacity;
mod checks;
mod constraints;
mod fake_worker;
mod faults;
mod overload;
mod simulation;
mod soak;
