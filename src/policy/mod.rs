//! Admission and sharing: pure state machines that decide which request runs next and where.

pub mod estimate;
pub mod health;
pub mod keys;
pub mod lane;
pub mod placement;
pub mod queue;
pub mod refusal;
pub mod retry;
pub mod share;
