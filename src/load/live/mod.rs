//! Load in real time against running processes: an open-loop schedule from a seed, callers that send
//! it to entries (or straight to the workers as the baseline), scripts of faults, and the accounts at
//! the workers' journals.

mod balancer;
mod caller;
mod client;
mod direct;
pub mod driver;
pub mod faults;
pub mod guarantees;
pub mod injector;
pub mod outcome;
pub mod plot;
pub mod process;
pub mod report;
pub mod schedule;
pub mod site;
mod table;
pub mod targets;
