//! Types that the node shares with the adapter of the platform and with its peers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::jobs::{JobId, JobSpec, JobState};

/// Bounds of the deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeBounds {
    /// Time after which a withdrawn key may not be taken any more, in milliseconds.
    pub key_withdrawal_ms: u64,
    /// Whether that bound holds for every machine at all times.
    pub is_withdrawal_strict: bool,
    /// Time from the request to stop to the kill, in milliseconds.
    pub stop_grace_ms: u64,
    /// Longest lease that workers give to runs, in milliseconds.
    pub run_lease_max_ms: u64,
    /// Time that the stop of a run may take, in milliseconds.
    pub run_stop_ms: u64,
    /// Time for which an ended job can be asked for, in milliseconds.
    pub keep_ended_ms: u64,
    /// Time that the move of an instance takes, in milliseconds.
    pub move_ms: u64,
    /// Time that the maintenance of an instance takes, in milliseconds.
    pub maintain_ms: u64,
    /// Time in which two leaders may not both give orders to one instance, in milliseconds.
    pub instance_lease_ms: u64,
}

/// Limits of calls to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreLimits {
    /// Most bytes of the records of one call.
    pub call_bytes: usize,
    /// Most bytes of one record.
    pub record_bytes: usize,
}

/// Settings of one node, as the platform's adapter reads them.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Name of the machine.
    pub name: SmolStr,
    /// Availability zone.
    pub zone: SmolStr,
    /// Address that callers reach.
    pub callers_address: SocketAddr,
    /// Address of the readiness probe.
    pub ready_address: SocketAddr,
    /// Address that the other nodes reach.
    pub peers_address: SocketAddr,
    /// Address of the metrics.
    pub metrics_address: SocketAddr,
    /// Address of the store.
    pub store_address: SocketAddr,
    /// Address of the service that lists and moves instances, if there is one.
    pub instances_address: Option<SocketAddr>,
    /// Address of the service that says which workers may run a step, if there is one.
    pub tickets_address: Option<SocketAddr>,
    /// Share of a core that the machine has.
    pub cpu_share: f64,
    /// Descriptors that the process may have.
    pub descriptors_count: usize,
    /// Limits of calls to the store.
    pub store: StoreLimits,
    /// Bounds.
    pub bounds: NodeBounds,
}

/// The writer of a topic, its fence, and the number of its append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fence {
    /// Name that all leaders share.
    pub writer: &'static str,
    /// Fence; lower ones are refused.
    pub fence: u64,
    /// Number of the append, which rises by one.
    pub sequence: u64,
}

/// One record of a topic with keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key; empty if the record cannot be read.
    pub key: SmolStr,
    /// Value; none if the key goes, or the value cannot be read.
    pub value: Option<Vec<u8>>,
    /// Offset.
    pub offset: u64,
}

/// Consecutive records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogPage {
    /// Records.
    pub records: Vec<KeyedRecord>,
    /// Offset after the last of them.
    pub next_offset: u64,
    /// Offset after the last record of the topic.
    pub end_offset: u64,
}

/// Newest records of some keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyedPage {
    /// Records.
    pub records: Vec<KeyedRecord>,
    /// Whether there are more.
    pub has_more: bool,
    /// Offset after the last record of the topic.
    pub end_offset: u64,
}

/// Why a call to the store did not succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum StoreFailure {
    /// A higher fence was used.
    Fenced,
    /// The append has another number than is expected.
    #[strum(serialize = "number")]
    OutOfSequence {
        /// The number expected, if it is told.
        expected: Option<u64>,
    },
    /// The topic does not end at the offset asked for.
    Moved {
        /// Where it ends.
        end_offset: u64,
    },
    /// The records asked for are not kept any more.
    Trimmed {
        /// First offset that is kept.
        first_offset: u64,
    },
    /// The store is full.
    Full,
    /// The store refused, and nothing was done.
    Refused {
        /// Status of the answer.
        status: u16,
    },
    /// Nothing was sent.
    NotSent,
    /// No answer came; it may have been done, or may still be.
    Lost,
    /// The answer cannot be read.
    Unreadable,
}

/// What a call to a queue asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Hand a job in.
    Submit(JobId),
    /// Ask for the state of a job.
    State(JobId),
    /// Cancel a job.
    Cancel(JobId),
    /// Ask how many jobs of the queue have not begun.
    Count,
}

/// A call as one node passes it to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerCall {
    /// Hand a job in.
    Submit {
        /// Id of the job.
        id: u64,
        /// Queue.
        queue: SmolStr,
        /// Team; empty for an open queue.
        team: SmolStr,
        /// What is handed in.
        spec: JobSpec,
    },
    /// Ask for the state of a job.
    State {
        /// Id of the job.
        id: u64,
    },
    /// Cancel a job.
    Cancel {
        /// Id of the job.
        id: u64,
    },
    /// Ask how many jobs of a queue have not begun.
    Count {
        /// Queue.
        queue: SmolStr,
    },
}

/// Why a call is refused. Nothing of a refused job was or will be run.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::IntoStaticStr,
    strum::EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// No queue has this host and path.
    NoQueue,
    /// The key is missing or nobody's.
    BadKey,
    /// The call cannot be understood.
    BadCall,
    /// The body is longer than is taken.
    TooLarge,
    /// The job could not end in any useful time.
    Overloaded {
        /// When to come back, in seconds.
        retry_after_s: u64,
    },
    /// No lists were read yet, or too long ago to tell whether the key still holds.
    NoLists,
    /// No leader is known, or it cannot be reached.
    NoLeader,
    /// The store does not take the job's record.
    #[serde(rename = "store_away")]
    #[strum(serialize = "store_away")]
    StoreUnavailable,
    /// The process stops.
    Stopping,
}

impl Refusal {
    /// Returns when to come back, in seconds, where that helps.
    pub fn retry_after_s(self) -> Option<u64> {
        match self {
            Self::NoQueue | Self::BadKey | Self::BadCall | Self::TooLarge => None,
            Self::Overloaded { retry_after_s } => Some(retry_after_s),
            Self::NoLists | Self::NoLeader | Self::StoreUnavailable | Self::Stopping => Some(1),
        }
    }
}

/// What a call is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallAnswer {
    /// The job is accepted and on record.
    Accepted,
    /// The job's cancel is on record, or the job was over.
    Cancelled,
    /// State of the job.
    State(JobState),
    /// Jobs of the queue that have not begun.
    Count(u64),
    /// No such job is on record.
    #[serde(rename = "unknown")]
    UnknownJob,
    /// Whether the job is accepted is not known.
    OutcomeUnknown,
    /// The call is refused.
    Refused(Refusal),
}

impl CallAnswer {
    /// Returns a word for logs and metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Cancelled => "cancelled",
            Self::State(_) => "state",
            Self::Count(_) => "count",
            Self::UnknownJob => "unknown",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::Refused(refusal) => (*refusal).into(),
        }
    }
}
