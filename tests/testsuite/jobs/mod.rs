//! Tests of the job engine with simulated workers, in virtual time.

mod basics;
mod builders;
mod capacity;
mod checks;
mod constraints;
mod evacuation;
mod explain;
mod fake_worker;
mod faults;
mod overload;
mod peaks;
mod places;
mod simulation;
mod soak;
mod waves;
