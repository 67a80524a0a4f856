//! Tests of the job engine with simulated workers, in virtual time.

mod admission;
mod basics;
mod builders;
mod capacity;
mod checks;
mod constraints;
mod evacuation;
mod fake_worker;
mod faults;
mod overload;
mod peaks;
mod simulation;
mod soak;
mod team_rates;
mod waves;
