//! Stand-ins for the platform: emulators of the log service, the instance list and the workers, in
//! memory and over HTTP.

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
