//! Jobs: graphs of steps, each of many tasks that workers run under leases. [`Engine`] is the pure
//! state machine of the leader; the modules beside it hold one decision each.

mod answers;
mod capacity;
mod catalog;
mod dispatch;
mod engine;
mod feasibility;
mod instances;
mod intake;
mod job;
mod keys;
mod looks;
mod orders;
mod pacing;
mod placement;
mod ranking;
mod record;
mod recovery;
mod run_times;
mod spec;
mod tickets;
mod turns;
mod waves;
mod worker;

pub use catalog::{Catalog, Denial, Pool, Queue, Team};
pub use engine::{Engine, EngineSettings, Settled};
pub use feasibility::{jobs_to_postpone, Claim};
pub use instances::{InstanceFailure, InstanceSheet, InstanceState};
pub use intake::{Cancel, Intake, Submission};
pub use job::JobState;
pub use keys::{JobId, JobKey, RunKey, TaskKey, TaskName, WorkerKey};
pub use orders::{
    Action, EndKind, InstanceOrder, Look, LookOrder, OrderFailure, PaceOrder, RunEnd, RunRow,
    StartOrder, StopOrder, Target, TicketQuestion,
};
pub use record::{
    JobRecord, KeptRecord, ProgressRecord, Record, TaskRecord, WaveRecord, WorkerRecord,
};
pub use spec::{JobSpec, Recurrence, Size, SpecFault, StepSpec};
pub use waves::WaveSheet;
pub use worker::WorkerSheet;
