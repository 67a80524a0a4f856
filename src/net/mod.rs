//! Single-threaded HTTP/1.1: a client that reuses connections and reports whether a failed call was
//! sent, and a server that answers the requests it has read before it stops.

mod body;
mod client;
mod idle;
mod server;

pub use body::BodyError;
pub use client::{Call, CallFailure, Client, ClientSettings, Link, Reply};
pub use server::{serve, Answer, IncomingRequest, ServerHandle, ServerSettings};
