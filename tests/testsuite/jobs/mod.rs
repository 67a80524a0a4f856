//! Tests of the job engine with simulated workers, in virtual time.

mod admission;
mod basics;
mod builders;
mod capacity;
mod capacity_plan;
mod checks;
mod constraints;
mod crashes;
mod cut_off_leader;
mod evacuation;
mod explain;
mod fake_worker;
mod faults;
mod full_processor;
mod moved_queues;
mod odd_figures;
mod overload;
mod peaks;
mod places;
mod record_sizes;
mod run_times;
mod shrunk_capacity;
pub(crate) mod simulation;
mod soak;
mod team_rates;
mod unlisted_ends;
mod waves;
