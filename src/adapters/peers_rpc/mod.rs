//! Calls between entries, over JSON-RPC by `jsonrpsee`. Answers of peers are hints: no promise
//! depends on them, and an unresponsive peer only uses one of a limited number of calls until the
//! timeout.

mod client;
mod messages;
mod server;

pub use client::PeerClient;
pub use messages::{
    CancelAtPeer, PeerAnswer, PeerCall, SnapshotChunk, SnapshotRequest, TailRequest, WithdrawAtPeer,
};
pub use server::{PeerHandler, PeersServer};

/// Longest request from one entry to another, in bytes.
pub const REQUEST_MAX_BYTES: u32 = 1 << 20;
/// Longest answer from one entry to another, in bytes.
pub const ANSWER_MAX_BYTES: u32 = 4 << 20;
