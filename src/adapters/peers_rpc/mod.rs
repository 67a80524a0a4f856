//! Calls between entries, over JSON-RPC by `jsonrpsee`. What a peer says is a hint: no promise rests
//! on it, and a silent peer costs one bounded slot for the time of one call.

mod client;
mod messages;
mod server;

pub use client::PeerClient;
pub use messages::{
    CancelAtPeer, PeerAnswer, PeerCall, SnapshotChunk, SnapshotRequest, TailRequest, WithdrawAtPeer,
};
pub use server::{PeerHandler, PeersServer};

/// Longest request of one entry to another.
pub const REQUEST_MAX_BYTES: u32 = 1 << 20;
/// Longest answer of one entry to another.
pub const ANSWER_MAX_BYTES: u32 = 4 << 20;
