//! Adapters that implement the ports over HTTP, the interfaces for callers, operators and peers,
//! and the system clocks.

pub mod answer_body;
pub mod callers_client;
pub mod callers_http;
pub mod clock;
pub mod http_client;
pub(crate) mod http_server;
pub mod instances_http;
pub mod log_http;
pub mod node_client;
pub mod operators_client;
pub mod operators_http;
pub mod peers_rpc;
pub mod platform_http;
pub mod worker_answer;
pub mod workers_http;
