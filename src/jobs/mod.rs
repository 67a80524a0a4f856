//! The job scheduler. A job is a graph of steps, and each step has many tasks, which workers run
//! under leases. [`Engine`] is the leader's state machine, without input or output of its own; each
//! other module holds one part of its logic.

mod acknowledgements;
mod admission;
mod answers;
mod arrivals;
mod batches;
mod capacity;
mod capacity_plan;
mod catalog;
mod changed_workers;
mod copies;
mod crash_history;
mod crashes;
mod demand;
mod demand_forecast;
mod dispatch;
mod ended_jobs;
mod ends;
mod engine;
mod evacuation;
mod expiry;
mod explain;
mod feasibility;
mod free_capacity;
mod incarnations;
mod instances;
mod job;
mod keys;
mod known_capacity;
mod leases;
mod listed_workers;
mod lost_runs;
mod order_numbers;
mod orders;
mod pacing;
mod peak_shape;
mod place_pass;
mod place_waits;
mod placement;
mod poll_pace;
mod polls;
mod pool_needs;
mod progress;
mod progress_packing;
mod quarantine;
mod rack_forecast;
mod ranking;
mod reclaim;
mod record;
mod recovery;
mod remaining;
mod requests;
mod run_distribution;
mod run_shift;
mod run_times;
mod settings;
mod slots;
mod slowness;
mod spec;
mod start_orders;
mod start_rate;
pub(crate) mod step_list;
mod team_rates;
mod terms;
mod tickets;
mod waiting;
mod watched_runs;
mod waves;
mod worker;

pub use acknowledgements::{AcknowledgementCounts, AcknowledgementOutcome};
pub use capacity_plan::{allot, Allotment, Need, Needs};
pub use catalog::{Catalog, Denial, Pool, Queue, Team};
pub(crate) use copies::{copy_after_ms, copy_recheck_ms, is_copy_faster};
pub use crashes::{CrashRecord, Incarnation, WatchedRun};
pub(crate) use demand::DemandCycle;
pub use demand_forecast::ForecastMethod;
pub use engine::{Engine, Settled};
pub use explain::{JobExplanation, JobQuestion, JobRefusal, JobStart, StartReason};
pub use feasibility::{jobs_to_postpone, Claim};
pub use instances::{InstanceFailure, InstanceInfo, InstanceState};
pub use job::JobState;
pub use keys::{JobId, JobKey, RunKey, TaskKey, TaskName, WorkerKey};
pub use lost_runs::{LossCounts, LossReason};
pub use orders::{
    Action, EndKind, InstanceOrder, OrderFailure, PaceOrder, PollOrder, PollReply, RunEnd, RunRow,
    StartOrder, StopOrder, Target, TicketCandidate, TicketRequest,
};
pub use place_waits::{choose_place, PlaceChoice, PlaceVerdict, PlaceWaitCounts};
pub use progress::{DoneTasks, ProgressPart, ProgressRecord, TaskRecord};
pub use rack_forecast::{ExpectedRun, ExpectedStart, RackForecast, RackWorker, NEVER_MS};
pub use record::{
    JobRecord, OrdersRecord, PartKey, Record, StoredRecord, WaveRecord, WorkerRecord,
};
pub use requests::{CancelOutcome, Submission, SubmitOutcome};
pub use run_distribution::RunVerdict;
pub(crate) use run_times::remaining_of;
pub use run_times::{FinishedRun, RunTimes};
pub use settings::EngineSettings;
pub use slowness::Slowness;
pub use spec::{JobSpec, Recurrence, Size, SpecError, StepSpec};
pub use terms::JobTerms;
pub use waves::WaveSpec;
pub use worker::{WorkerInfo, WorkerState};
