//! Orders that the engine gives to workers, instances and services, and the replies to them.

use std::net::SocketAddr;
use std::sync::Arc;

use smol_str::SmolStr;

use crate::jobs::keys::{JobId, RunKey, TaskName, WorkerKey};
use crate::jobs::spec::JobSpec;

/// The worker to call.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Key of the worker.
    pub worker: WorkerKey,
    /// Address of its interface.
    pub address: SocketAddr,
    /// Id of the worker for which the call is meant.
    pub id: SmolStr,
    /// Unix time at which the incarnation started for which the call is meant, in milliseconds; 0 if
    /// it is not known. Another incarnation with the same id knows neither the fence, nor the runs, nor
    /// the clock of this one.
    pub started_unix_ms: u64,
    /// Fencing token that the call carries.
    pub fence: u64,
}

impl Target {
    /// Returns whether an answer is of the incarnation that the call is meant for, or does not tell.
    pub(crate) fn is_answered_by(&self, reply: &PollReply) -> bool {
        [0, self.started_unix_ms].contains(&reply.started_unix_ms)
    }
}

/// Order to start one task.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOrder {
    /// Worker.
    pub target: Target,
    /// Run to start.
    pub run: RunKey,
    /// Name of the task.
    pub name: TaskName,
    /// The job, whose payload is sent along.
    pub spec: Arc<JobSpec>,
    /// End of the lease on the worker's clock, in milliseconds.
    pub lease_end_worker_ms: u64,
    /// Checkpoint from which to resume; empty for none.
    pub checkpoint: SmolStr,
    /// Ticket that allows the worker to run the step, where one is needed.
    pub ticket: Option<SmolStr>,
}

/// Order to stop one run.
#[derive(Clone, Debug, PartialEq)]
pub struct StopOrder {
    /// Worker.
    pub target: Target,
    /// Key of the run; none if the engine does not track it.
    pub run: Option<RunKey>,
    /// Name of the task.
    pub name: TaskName,
    /// Number of the run.
    pub run_number: u64,
}

/// Order to set the pace of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct PaceOrder {
    /// Worker.
    pub target: Target,
    /// Run.
    pub run: RunKey,
    /// Name of the task.
    pub name: TaskName,
    /// Share of its normal speed at which it may work, in percent.
    pub percent: u64,
}

/// Call that renews the leases of all runs of a worker, raises the fence there, acknowledges ended
/// runs, and lists the running and the ended ones.
#[derive(Clone, Debug, PartialEq)]
pub struct PollOrder {
    /// Worker.
    pub target: Target,
    /// New end of the leases on the worker's clock, in milliseconds; none to renew no lease.
    pub lease_end_worker_ms: Option<u64>,
    /// Number up to which the worker may drop the ends that it lists.
    pub acknowledged_through: u64,
    /// Whether the acknowledgement has been deferred before. The incarnation is then asked on the connection
    /// first, unless it has answered there, as connections may not last from one poll to the next.
    pub confirms_first: bool,
    /// Longest time that the worker waits for a run to end, in milliseconds.
    pub wait_ms: u64,
    /// Time of sending on the local monotonic clock, in milliseconds.
    pub sent_ms: u64,
}

/// Request for the workers that may run a step.
#[derive(Clone, Debug, PartialEq)]
pub struct TicketRequest {
    /// Job.
    pub job: JobId,
    /// Occurrence, from 0.
    pub round: u32,
    /// Step, from 0.
    pub step: u16,
    /// Workers in question.
    pub workers: Vec<TicketCandidate>,
}

/// A worker that a request for tickets names.
#[derive(Clone, Debug, PartialEq)]
pub struct TicketCandidate {
    /// Id of the worker.
    pub id: SmolStr,
    /// Unix time at which the incarnation started that the answer will be about, in milliseconds.
    pub started_unix_ms: u64,
}

/// Order to an instance.
#[derive(Clone, Debug, PartialEq)]
pub enum InstanceOrder {
    /// Move it to another pool.
    Move {
        /// Instance.
        instance: SmolStr,
        /// Pool that it joins.
        pool: SmolStr,
    },
    /// Maintain it as part of a wave.
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

/// An action for the process that runs the engine to carry out.
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
    /// Request tickets.
    RequestTickets(TicketRequest),
    /// Move or maintain an instance.
    Instance(InstanceOrder),
    /// Report the state of a wave.
    ReportWave {
        /// Number of the wave.
        wave: u64,
        /// Whether all its instances have been maintained.
        is_complete: bool,
    },
}

/// Why a call to a worker failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum OrderFailure {
    /// The worker has seen a higher fence: another leader has taken over.
    Fenced,
    /// The run number is not higher than one that has been stopped or has ended there.
    Outdated,
    /// The lease had already expired when the order arrived.
    Late,
    /// The worker lacks free capacity.
    #[strum(serialize = "no_room")]
    NoCapacity,
    /// The ticket is missing, invalid or expired.
    NoTicket,
    /// The worker cannot interpret the order.
    Invalid,
    /// The worker is unhealthy and did not carry out the order.
    Unhealthy,
    /// Another worker, or another incarnation, answers at the address.
    #[strum(serialize = "other_life")]
    OtherIncarnation,
    /// The worker has restarted under its id: the order was not sent to the new incarnation.
    #[strum(serialize = "reborn")]
    Restarted,
    /// Nothing was sent.
    NotSent,
    /// No answer arrived: the order may have been carried out, or may still be.
    Lost,
}

impl OrderFailure {
    /// Returns whether the order was certainly not carried out and will not be later.
    pub fn is_not_carried_out(self) -> bool {
        self != Self::Lost
    }
}

/// How a run ended.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum EndKind {
    /// The task completed.
    Done,
    /// The run failed, because of the task or of the worker.
    Failed,
    /// The run was stopped.
    Stopped,
    /// The lease expired.
    #[strum(serialize = "lapsed")]
    LeaseExpired,
    /// Another member of its gang ended.
    #[strum(serialize = "broken")]
    GangMemberEnded,
    /// The other members of its gang did not start in time.
    #[strum(serialize = "alone")]
    GangTimeout,
}

/// An ended run that a worker lists.
#[derive(Clone, Debug, PartialEq)]
pub struct RunEnd {
    /// Number of the end, which increases within one incarnation of the worker.
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

/// A current run that a worker lists.
#[derive(Clone, Debug, PartialEq)]
pub struct RunRow {
    /// Task.
    pub name: TaskName,
    /// Number of the run.
    pub run_number: u64,
    /// Newest checkpoint; empty for none.
    pub checkpoint: SmolStr,
    /// Progress, or for a long-running task the share of time for which it is available, in
    /// percent.
    pub percent: u64,
    /// Tail latency in milliseconds, or thousandths of a core in use.
    pub metric: u64,
}

/// Reply to a poll.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PollReply {
    /// Time on the worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Unix time at which this incarnation of the worker started, in milliseconds; 0 if it is not
    /// reported.
    pub started_unix_ms: u64,
    /// All current runs.
    pub running: Vec<RunRow>,
    /// Ended runs that are not acknowledged yet, the earliest first.
    pub ended: Vec<RunEnd>,
    /// Whether runs may have ended that are not listed: a worker lists a limited number at a time.
    pub has_more_ends: bool,
    /// Number up to which the poll has allowed the worker to drop the ends that it lists; 0 if it has
    /// acknowledged nothing.
    pub acknowledged_through: u64,
}
