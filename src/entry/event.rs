//! Events and actions: the interface between the engine, which only decides, and the threads that
//! carry out its actions.

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

/// Number of an attempt to run a request; unique within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptKey(pub u64);

/// The time on both clocks of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Monotonic clock; it advances while the process is paused.
    pub mono_ms: MonoMs,
    /// Wall clock.
    pub unix_ms: UnixMs,
}

/// Where records of the log were read from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// The log service itself.
    Log,
    /// A peer that relays them.
    Peer,
}

/// An input of the engine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A read of the log, or of records relayed by a peer, was answered.
    LogPage {
        /// When the read was sent.
        sent_ms: MonoMs,
        /// Offset from which the read was requested.
        from_offset: Offset,
        /// The page of records.
        page: LogPage,
        /// Where the page was read from.
        source: Source,
    },
    /// A read of the log failed.
    LogFailed {
        /// Why it failed.
        error: PortError,
    },
    /// A peer sent its whole ledger.
    PeerLedger {
        /// Text of the snapshot.
        text: String,
    },
    /// The append of a batch ended.
    Appended {
        /// Number of the batch.
        seq: u64,
        /// Offset of its record, or why it failed.
        result: Result<Offset, PortError>,
    },
    /// The append of a snapshot ended.
    SnapshotAppended {
        /// Whether all its parts were appended.
        is_done: bool,
    },
    /// The instance list was read.
    Instances {
        /// When the read was sent.
        sent_ms: MonoMs,
        /// The list.
        page: InstancePage,
    },
    /// A peer answered an exchange of gossip.
    Gossip {
        /// When the exchange was started.
        sent_ms: MonoMs,
        /// The peer's gossip.
        gossip: Box<Gossip>,
    },
    /// A peer sent its gossip. It may have been delayed, so it proves no recent contact.
    Hint {
        /// The peer's gossip.
        gossip: Box<Gossip>,
    },
    /// A peer requests the whole ledger.
    GetLedger {
        /// Receives the offset up to which the ledger is folded, and its text.
        reply: flume::Sender<(Offset, String)>,
    },
    /// Requests a signal that all earlier events have been handled.
    Ping {
        /// Receives the signal.
        reply: flume::Sender<()>,
    },
    /// An operator asks why something would be refused or delayed.
    Explain {
        /// The question.
        question: Explain,
        /// Receives the answer.
        reply: flume::Sender<Explanation>,
    },
    /// A caller requests work.
    Call {
        /// Number of the call.
        call_id: CallId,
        /// The request.
        request: CallerRequest,
    },
    /// A caller cancels a request.
    Cancel {
        /// Number of the call.
        call_id: CallId,
        /// The request to cancel.
        cancel: Cancel,
    },
    /// A peer relays a caller's cancel.
    PeerCancel {
        /// Team of the request, empty for a queue open to all.
        team: TeamName,
        /// Id of the request.
        request_id: SmolStr,
    },
    /// A caller fetches the state of a job.
    Fetch {
        /// Number of the call.
        call_id: CallId,
        /// The job.
        fetch: Fetch,
    },
    /// A caller disconnected before its answer.
    CallerGone {
        /// Number of its call.
        call_id: CallId,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptKey,
        /// Its outcome.
        outcome: WorkerOutcome,
    },
    /// A probe of a worker ended.
    Probed {
        /// Name of the instance.
        name: InstanceName,
        /// Incarnation that was probed.
        incarnation: SmolStr,
        /// Whether that incarnation answered.
        is_reachable: bool,
    },
    /// An operator or a peer withdrew a key.
    Withdraw {
        /// The key.
        key_id: KeyId,
    },
    /// The process is to stop: drain the entry.
    Drain,
}

/// An output of the engine, to be carried out by the daemon.
#[derive(Clone, Debug)]
pub enum Action {
    /// Append one record.
    Append {
        /// Number of the batch.
        seq: u64,
        /// Text of the record.
        payload: String,
    },
    /// Append the parts of a snapshot, each with its own append.
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
        /// The request to the worker.
        request: Box<WorkerRequest>,
        /// Time to wait for the answer.
        timeout_ms: u64,
        /// Time since the request was queued.
        queued_ms: u64,
    },
    /// Cancel an attempt on a worker.
    CancelAttempt {
        /// Address of the worker.
        address: SmolStr,
        /// Id of the attempt.
        attempt_id: SmolStr,
    },
    /// Relay a caller's cancel to every peer.
    RelayCancel {
        /// Team of the request, empty for a queue open to all.
        team: TeamName,
        /// Id of the request.
        request_id: SmolStr,
    },
    /// Probe a worker.
    Probe {
        /// Name of the instance.
        name: InstanceName,
        /// Its incarnation.
        incarnation: SmolStr,
        /// Its address.
        address: SmolStr,
    },
    /// Order a worker to refuse new work, or to accept it again.
    DrainWorker {
        /// Address of the worker.
        address: SmolStr,
        /// Whether it refuses new work from now on.
        is_draining: bool,
    },
    /// Reboot an instance.
    Reboot {
        /// Name of the instance.
        name: InstanceName,
        /// Incarnation to reboot.
        incarnation: SmolStr,
    },
    /// Fetch records from a peer while the log is unavailable.
    PullTail {
        /// The peer's address.
        peers_address: SmolStr,
        /// Offset of the first record to fetch.
        from_offset: Offset,
    },
    /// Fetch the whole ledger from a peer.
    PullLedger {
        /// The peer's address.
        peers_address: SmolStr,
    },
    /// Report that the drain is complete: nothing is in flight and the process may stop.
    Drained,
}

/// Parses a caller's request id; only UUIDs can be claimed.
pub(crate) fn parse_request_id(text: &str) -> Option<Uuid> {
    Uuid::parse_str(text).ok()
}

/// Returns the attempt's id in the worker protocol: the seat and the number of the attempt.
pub(crate) fn attempt_id(seat: &SeatId, attempt: AttemptKey) -> SmolStr {
    smol_str::format_smolstr!("{seat}-{}", attempt.0)
}
