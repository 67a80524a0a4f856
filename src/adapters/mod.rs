//! Adapters: the ports over HTTP and JSON-RPC.

pub mod callers_http;
