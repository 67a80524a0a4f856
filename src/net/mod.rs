//! Single-threaded HTTP/1.1: a client that reuses connections and reports whether a failed call was
//! sent, and a server that answers the requests it has read before it stops, and whose clients share one
//! bound on what they make the process hold.

mod block_buffer;
mod body;
mod client;
mod connection;
mod idle;
mod ingress;
mod server;
mod stream;
mod timed_stream;

pub(crate) use block_buffer::BlockBuffer;
pub(crate) use body::collect;
pub use body::{BodyError, RequestBody};
pub use client::{Call, CallFailure, Client, ClientSettings, Link, Reply};
pub use ingress::{Ingress, IngressLimits};
pub use server::{
    serve, serve_heads, Answer, IncomingRequest, RequestHead, ServerHandle, ServerSettings,
};
pub(crate) use timed_stream::TimedStream;
