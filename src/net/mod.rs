//! HTTP/1.1 on one thread: a client that reuses connections and tells apart what was surely not sent,
//! and a server that finishes what it has read before it ends.

mod client;
mod server;

pub use client::{Call, CallFailure, Client, Reply};
pub use server::{serve, Answer, IncomingRequest, ServerHandle, ServerSettings};
