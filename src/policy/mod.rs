//! Admission control, fair sharing and worker choice, as state machines without I/O. They decide
//! which request runs next and on which worker.

pub mod allot;
pub(crate) mod backlog;
pub mod estimate;
pub(crate) mod forecast;
pub(crate) mod hash;
pub mod health;
pub mod keys;
pub mod lane;
pub(crate) mod lanes;
pub mod pacing;
pub mod placement;
pub mod queue;
pub(crate) mod ranking;
pub mod refusal;
pub mod retry;
pub mod settings;
pub mod share;
pub mod usage;
pub mod worker;
