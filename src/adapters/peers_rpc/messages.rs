//! What entries ask each other, and what they answer.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::SmolStr;

use crate::entry::Gossip;
use crate::error::ErrorKind;
use crate::fleet::{Offset, TeamName};
use crate::ports::LogPage;

/// A call from one entry to another. The name of the variant is the name of the method.
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
    /// Tell usage and pressure, and hear the peer's.
    Gossip(Box<Gossip>),
    /// Read records of the log that the peer has seen.
    Tail(TailRequest),
    /// Read one chunk of the peer's newest snapshot.
    Snapshot(SnapshotRequest),
    /// Refuse a key from now on, before the log says so.
    WithdrawKey(WithdrawAtPeer),
    /// Cancel a request that the peer may hold.
    Cancel(CancelAtPeer),
    /// Report what is in force.
    Status,
}

/// Question for records of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TailRequest {
    /// First offset that is wanted.
    pub from_offset: Offset,
    /// Records wanted at most.
    pub records_max_count: u32,
    /// Time that the peer may wait for a record if there is none.
    pub wait_ms: u64,
}

/// Question for one chunk of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRequest {
    /// Offset that the snapshot was taken at; nothing asks for the peer's newest.
    pub at_offset: Option<Offset>,
    /// Chunk that is wanted, from 0.
    pub chunk_index: u32,
}

/// One chunk of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Offset that the snapshot was taken at: all records before it are in it.
    pub at_offset: Offset,
    /// Number of this chunk, from 0.
    pub chunk_index: u32,
    /// Chunks of the whole snapshot.
    pub chunks_count: u32,
    /// The chunk's part of the snapshot.
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
    /// Team whose key the order came with; empty for work from a queue open to all.
    pub team: TeamName,
}

/// What a peer answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerAnswer {
    /// The peer's own usage and pressure.
    Gossip(Box<Gossip>),
    /// Records of the log.
    Tail(LogPage),
    /// One chunk of a snapshot.
    Snapshot(SnapshotChunk),
    /// Whether the peer knew what the order named.
    Ordered {
        /// Whether it did.
        was_known: bool,
    },
    /// What is in force at the peer.
    Status(Value),
    /// The peer refused.
    Failed {
        /// Why.
        kind: ErrorKind,
    },
}
