//! What the engine is told and what it asks for: the whole boundary between the pure decisions and
//! the threads that carry them out.

use smol_str::SmolStr;
use uuid::Uuid;

use crate::{
    adapters::operators_http::Explain,
    callers::{CallId, CallerAnswer, CallerRequest, Cancel, Fetch},
    entry::{explain::Explanation, gossip::Gossip},
    fleet::{InstanceName, MonoMs, Offset, TeamName, UnixMs},
    ledger::{KeyId, SeatId},
    ports::{InstancePage, LogPage, PortError, WorkerOutcome, WorkerRequest},
};

/// Number of one attempt to run a request; unique for the life of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptKey(pub u64);

/// A reading of both clocks of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Monotonic time; goes on while the process is paused.
    pub mono_ms: MonoMs,
    /// Wall clock.
    pub unix_ms: UnixMs,
}

/// Where records of the log came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The log service itself.
    Log,
    /// A peer that relayed them.
    Peer,
}

/// One thing that happened outside.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A read of the log was answered.
    LogPage {
        /// When the read was sent.
        sent_ms: MonoMs,
        /// Offset that the read asked for.
        from_offset: Offset,
        /// The answer.
        page: LogPage,
        /// Who answered.
        source: Source,
    },
    /// A read of the log failed.
    LogFailed {
        /// Why.
        error: PortError,
    },
    /// A peer sent its whole ledger.
    PeerLedger {
        /// Text of the snapshot.
        text: String,
    },
    /// An append ended.
    Appended {
        /// Number of the batch.
        seq: u64,
        /// Offset of its record, or why there is none.
        result: Result<Offset, PortError>,
    },
    /// An append of snapshot parts ended.
    SnapshotAppended {
        /// Whether it took effect.
        is_done: bool,
    },
    /// The instance list was read.
    Instances {
        /// When the read was sent.
        sent_ms: MonoMs,
        /// The list.
        page: InstancePage,
    },
    /// A peer told what it knows.
    Gossip {
        /// When the exchange began.
        sent_ms: MonoMs,
        /// What it knows.
        gossip: Box<Gossip>,
    },
    /// A peer called and told what it knows, which proves nothing about now.
    Hint {
        /// What it knows.
        gossip: Box<Gossip>,
    },
    /// A peer asks for the whole ledger.
    GetLedger {
        /// Where it goes, with the offset up to which it is folded.
        reply: flume::Sender<(Offset, String)>,
    },
    /// Asks for a sign that all earlier events have been taken in.
    Ping {
        /// Where the sign goes.
        reply: flume::Sender<()>,
    },
    /// An operator asks why something would be refused or delayed.
    Explain {
        /// What is asked.
        question: Explain,
        /// Where the answer goes.
        reply: flume::Sender<Explanation>,
    },
    /// A caller asks for work.
    Call {
        /// Number of the call.
        call_id: CallId,
        /// What it asks.
        request: CallerRequest,
    },
    /// A caller wants a request stopped.
    Cancel {
        /// Number of the call.
        call_id: CallId,
        /// What to stop.
        cancel: Cancel,
    },
    /// A peer passes on a caller's wish that a request be stopped.
    PeerCancel {
        /// Team of the request, empty for a queue open to all.
        team: TeamName,
        /// Id of the request.
        request_id: SmolStr,
    },
    /// A caller asks for a job.
    Fetch {
        /// Number of the call.
        call_id: CallId,
        /// Which.
        fetch: Fetch,
    },
    /// A caller went away before its answer.
    CallerGone {
        /// Number of its call.
        call_id: CallId,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Which.
        attempt: AttemptKey,
        /// How.
        outcome: WorkerOutcome,
    },
    /// A worker was asked how it is.
    Probed {
        /// Name of the instance.
        name: InstanceName,
        /// Incarnation that was asked for.
        incarnation: SmolStr,
        /// Whether that incarnation answered.
        is_reachable: bool,
    },
    /// An operator or a peer withdrew a key.
    Withdraw {
        /// The key.
        key_id: KeyId,
    },
    /// The process was told to stop.
    Drain,
}

/// One thing to be carried out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Append one record.
    Append {
        /// Number of the batch.
        seq: u64,
        /// Text of the record.
        payload: String,
    },
    /// Append parts of a snapshot, one append each.
    AppendSnapshot {
        /// Texts of the records.
        payloads: Vec<String>,
    },
    /// Answer a caller.
    Answer {
        /// Number of the call.
        call_id: CallId,
        /// The answer.
        answer: CallerAnswer,
    },
    /// Run an attempt on a worker.
    Run {
        /// Number of the attempt.
        attempt: AttemptKey,
        /// Address of the worker.
        address: SmolStr,
        /// What to send.
        request: Box<WorkerRequest>,
        /// How long to wait for the answer.
        timeout_ms: u64,
        /// How long the request has waited for the attempt.
        queued_ms: u64,
    },
    /// Stop an attempt on a worker.
    CancelAttempt {
        /// Address of the worker.
        address: SmolStr,
        /// Id of the attempt.
        attempt_id: SmolStr,
    },
    /// Pass a caller's wish that a request be stopped on to every peer.
    RelayCancel {
        /// Team of the request, empty for a queue open to all.
        team: TeamName,
        /// Id of the request.
        request_id: SmolStr,
    },
    /// Ask a worker how it is.
    Probe {
        /// Name of the instance.
        name: InstanceName,
        /// Its incarnation.
        incarnation: SmolStr,
        /// Its address.
        address: SmolStr,
    },
    /// Tell a worker to refuse new work, or to take it again.
    DrainWorker {
        /// Address of the worker.
        address: SmolStr,
        /// Whether it refuses from now on.
        is_draining: bool,
    },
    /// Reboot an instance.
    Reboot {
        /// Name of the instance.
        name: InstanceName,
        /// Incarnation to end.
        incarnation: SmolStr,
    },
    /// Fetch records from a peer, since the log is out of reach.
    PullTail {
        /// The peer's address.
        peers_address: SmolStr,
        /// First offset wanted.
        from_offset: Offset,
    },
    /// Fetch the whole ledger from a peer.
    PullLedger {
        /// The peer's address.
        peers_address: SmolStr,
    },
    /// Everything in flight has ended; the process may stop.
    Drained,
}

/// Id of a request as the core keeps it.
pub(crate) fn parse_request_id(text: &str) -> Option<Uuid> {
    Uuid::parse_str(text).ok()
}

/// A seat with the number of the attempt, as text for the worker's protocol.
pub(crate) fn attempt_id(seat: &SeatId, attempt: AttemptKey) -> SmolStr {
    smol_str::format_smolstr!("{seat}-{}", attempt.0)
}
