//! Adapters: the ports over HTTP and JSON-RPC.

pub mod callers_http;
pub(crate) mod http_server;
pub mod operators_http;
pub mod peers_rpc;
