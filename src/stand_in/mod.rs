//! Small stand-ins of the platform: log service, instance list and workers, in memory and over HTTP.

pub mod http;
pub mod instances;
pub mod instances_server;
pub mod journal;
pub mod local;
pub mod log;
pub mod log_server;
pub mod task;
pub mod worker;
pub mod worker_server;
pub mod worker_state;
pub mod workers;
