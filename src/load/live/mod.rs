//! Load tests in real time against running processes.
//!
//! An open-loop schedule is generated from a seed. Callers send it to the entries or, as the
//! baseline, directly to the workers, while a fault script is carried out. Afterwards the workers'
//! journals are compared with the answers that the callers received.

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
