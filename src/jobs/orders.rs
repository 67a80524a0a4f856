//! What the engine asks of the outside, and what comes back.

use std::net::SocketAddr;
use std::sync::Arc;

use smol_str::SmolStr;

use crate::jobs::keys::{JobId, RunKey, TaskName, WorkerKey};
use crate::jobs::spec::JobSpec;

/// A worker to call.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Worker.
    pub worker: WorkerKey,
    /// Address of its interface.
    pub address: SocketAddr,
    /// Id that the call is meant for.
    pub id: SmolStr,
    /// Fence that the call carries.
    pub fence: u64,
}

/// Start of one task.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOrder {
    /// Where.
    pub target: Target,
    /// Run.
    pub run: RunKey,
    /// Name of the task.
    pub name: TaskName,
    /// The job, whose payload goes along.
    pub spec: Arc<JobSpec>,
    /// End of the lease on the worker's clock, in milliseconds.
    pub lease_end_worker_ms: u64,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: SmolStr,
    /// Proof that the worker may run the step, where one is needed.
    pub ticket: Option<SmolStr>,
}

/// Stop of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct StopOrder {
    /// Where.
    pub target: Target,
    /// Run, if it is one that the engine keeps.
    pub run: Option<RunKey>,
    /// Name of the task.
    pub name: TaskName,
    /// Number of the run.
    pub run_number: u64,
}

/// Pace of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct PaceOrder {
    /// Where.
    pub target: Target,
    /// Run.
    pub run: RunKey,
    /// Name of the task.
    pub name: TaskName,
    /// Share at which it may work, in percent.
    pub percent: u64,
}

/// Call that renews the lease of all runs of a worker, raises the fence there, acknowledges ends and
/// lists what runs and what has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct PollOrder {
    /// Where.
    pub target: Target,
    /// New end of the lease on the worker's clock, in milliseconds.
    pub lease_end_worker_ms: Option<u64>,
    /// Number up to which ends may be forgotten.
    pub acknowledged_through: u64,
    /// Longest wait for an end, in milliseconds.
    pub wait_ms: u64,
    /// Time of sending on the own clock.
    pub sent_ms: u64,
}

/// Question which workers may run a step.
#[derive(Clone, Debug, PartialEq)]
pub struct TicketRequest {
    /// Job.
    pub job: JobId,
    /// Occurrence.
    pub round: u32,
    /// Step.
    pub step: u16,
    /// Workers asked about, by id.
    pub workers: Vec<SmolStr>,
}

/// What may be done to an instance.
#[derive(Clone, Debug, PartialEq)]
pub enum InstanceOrder {
    /// It goes to another pool.
    Move {
        /// Instance.
        instance: SmolStr,
        /// Pool that it joins.
        pool: SmolStr,
    },
    /// It is maintained as part of a wave.
    Maintain {
        /// Instance.
        instance: SmolStr,
        /// Number of the wave.
        wave: u64,
    },
}

impl InstanceOrder {
    /// Returns the instance.
    pub fn instance(&self) -> &SmolStr {
        match self {
            Self::Move { instance, .. } | Self::Maintain { instance, .. } => instance,
        }
    }
}

/// One thing that the engine asks of the outside.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a task.
    Start(StartOrder),
    /// Stop a run.
    Stop(StopOrder),
    /// Set the pace of a run.
    Pace(PaceOrder),
    /// Poll a worker.
    Poll(PollOrder),
    /// Ask for tickets.
    RequestTickets(TicketRequest),
    /// Move or maintain an instance.
    Instance(InstanceOrder),
    /// Write how a wave stands.
    ReportWave {
        /// Number of the wave.
        wave: u64,
        /// Whether every instance of it was maintained.
        is_complete: bool,
    },
}

/// How a call to a worker went wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum OrderFailure {
    /// A higher fence was seen there: another leader is in charge.
    Fenced,
    /// The number of the run is not higher than one that was stopped or ended there.
    Outdated,
    /// The lease of the order was over when it arrived.
    Late,
    /// There is no room for it.
    #[strum(serialize = "no_room")]
    NoCapacity,
    /// The ticket is missing, wrong or over.
    NoTicket,
    /// The worker cannot make sense of it.
    Invalid,
    /// The worker is unhealthy and has done nothing.
    Unhealthy,
    /// Another worker answers at the address.
    #[strum(serialize = "other_life")]
    OtherIncarnation,
    /// Nothing was sent.
    NotSent,
    /// No answer came: it may have been carried out, or may still be.
    Lost,
}

impl OrderFailure {
    /// Returns whether the order was surely not carried out and never will be.
    pub fn is_not_run(self) -> bool {
        self != Self::Lost
    }
}

/// How a run ended.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum EndKind {
    /// The task is done.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was stopped.
    Stopped,
    /// The lease was over.
    #[strum(serialize = "lapsed")]
    LeaseExpired,
    /// Another member of its gang ended.
    #[strum(serialize = "broken")]
    GangMemberEnded,
    /// The rest of its gang did not come in time.
    #[strum(serialize = "alone")]
    GangTimeout,
}

/// One end that a worker lists.
#[derive(Clone, Debug, PartialEq)]
pub struct RunEnd {
    /// Number of the end, which rises within one life of the worker.
    pub number: u64,
    /// Task.
    pub name: TaskName,
    /// Number of the run.
    pub run_number: u64,
    /// How it ended.
    pub kind: EndKind,
    /// Newest checkpoint; empty for none.
    pub checkpoint: SmolStr,
}

/// One run that a worker lists.
#[derive(Clone, Debug, PartialEq)]
pub struct RunRow {
    /// Task.
    pub name: TaskName,
    /// Number of the run.
    pub run_number: u64,
    /// Newest checkpoint; empty for none.
    pub checkpoint: SmolStr,
    /// Progress in percent.
    pub percent: u64,
    /// Tail latency in milliseconds, or thousandths of a core in use.
    pub metric: u64,
}

/// Answer to a look.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PollReply {
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Unix time at which this life of the worker began, in milliseconds; 0 if it is not told.
    pub started_unix_ms: u64,
    /// All that runs.
    pub running: Vec<RunRow>,
    /// Ends not yet forgotten.
    pub ended: Vec<RunEnd>,
}
