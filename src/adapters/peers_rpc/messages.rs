//! Calls between entries and their answers.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::SmolStr;

use crate::entry::Gossip;
use crate::error::ErrorKind;
use crate::fleet::{Offset, TeamName};
use crate::ports::LogPage;

/// A call from one entry to another. The variant gives the name of the method.
#[derive(
    Clone,
    Debug,
    PartialEq,
    Serialize,
    Deserialize,
    strum::EnumDiscriminants,
    strum::Display,
    strum::IntoStaticStr,
)]
#[serde(tag = "method", content = "params", rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
#[strum_discriminants(
    name(PeerMethod),
    doc = "The methods that entries serve each other.",
    derive(strum::EnumIter, strum::IntoStaticStr, strum::Display),
    strum(serialize_all = "snake_case")
)]
pub enum PeerCall {
    /// Send usage and pressure, and receive the peer's.
    Gossip(Box<Gossip>),
    /// Read records of the log that the peer has read.
    Tail(TailRequest),
    /// Read one chunk of the peer's newest snapshot.
    Snapshot(SnapshotRequest),
    /// Refuse a key from now on, without waiting for the log.
    WithdrawKey(WithdrawAtPeer),
    /// Cancel a request that the peer may have.
    Cancel(CancelAtPeer),
    /// Report what is in force.
    Status,
}

/// Request for records of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TailRequest {
    /// Offset of the first record.
    pub from_offset: Offset,
    /// Most records in the answer.
    pub records_max_count: u32,
    /// Longest time for which the peer waits for a record if there is none yet.
    pub wait_ms: u64,
}

/// Request for one chunk of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRequest {
    /// Offset at which the snapshot was taken; `None` for the peer's newest snapshot.
    pub at_offset: Option<Offset>,
    /// Index of the chunk, from 0.
    pub chunk_index: u32,
}

/// One chunk of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Offset at which the snapshot was taken; it includes all records before this offset.
    pub at_offset: Offset,
    /// Index of this chunk, from 0.
    pub chunk_index: u32,
    /// Number of chunks of the snapshot.
    pub chunks_count: u32,
    /// Part of the snapshot in this chunk.
    pub text: String,
}

/// Order to refuse a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawAtPeer {
    /// Public id of the key.
    pub key_id: SmolStr,
}

/// Order to cancel a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelAtPeer {
    /// Id of the request.
    pub request_id: SmolStr,
    /// Team of the key that authorized the order; empty for work from a queue that is open to all.
    pub team: TeamName,
}

/// Answer of a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerAnswer {
    /// The peer's own usage and pressure.
    Gossip(Box<Gossip>),
    /// Records of the log.
    Tail(LogPage),
    /// One chunk of a snapshot.
    Snapshot(SnapshotChunk),
    /// The peer carried out the order.
    Ordered {
        /// Whether the peer knew the key or the request.
        was_known: bool,
    },
    /// What is in force at the peer.
    Status(Value),
    /// The peer refused.
    Failed {
        /// Reason.
        kind: ErrorKind,
    },
}
