//! The platform over HTTP: the log service at one of several addresses, the instance list and the
//! workers.

use std::sync::atomic::{AtomicUsize, Ordering};

use crate::{
    adapters::{
        clock::SystemClock, instances_http::HttpInstances, log_http::HttpLog,
        log_http::ServiceTimeouts, workers_http::HttpWorkers,
    },
    fleet::Offset,
    ports::{LogPage, LogPort, Platform, PortError},
    settings::Settings,
};

/// The log service at several addresses; the next one is tried after a failure.
#[derive(Debug)]
pub struct FailoverHttpLog {
    logs: Vec<HttpLog>,
    current: AtomicUsize,
}

impl FailoverHttpLog {
    /// Returns an adapter to the log service at `addresses`.
    pub fn open(addresses: &[String], timeouts: ServiceTimeouts) -> Self {
        let logs = addresses
            .iter()
            .map(|address| HttpLog::open(address, timeouts))
            .collect();
        Self {
            logs,
            current: AtomicUsize::new(0),
        }
    }

    fn with_current<T>(
        &self,
        call: impl FnOnce(&HttpLog) -> Result<T, PortError>,
    ) -> Result<T, PortError> {
        let index = self.current.load(Ordering::Relaxed);
        let Some(log) = self.logs.get(index) else {
            return Err(PortError::NotSent("no address of the log is set".into()));
        };
        let result = call(log);
        if matches!(
            result,
            Err(PortError::NotSent(_) | PortError::AnswerLost(_))
        ) {
            let next = (index + 1) % self.logs.len();
            self.current.store(next, Ordering::Relaxed);
        }
        result
    }
}

impl LogPort for FailoverHttpLog {
    fn append(&self, payloads: &[String]) -> Result<Offset, PortError> {
        self.with_current(|log| log.append(payloads))
    }

    fn read(&self, from_offset: Offset, wait_ms: u64) -> Result<LogPage, PortError> {
        self.with_current(|log| log.read(from_offset, wait_ms))
    }
}

/// The whole platform over HTTP.
#[derive(Debug)]
pub struct HttpPlatform {
    log: FailoverHttpLog,
    instances: HttpInstances,
    workers: HttpWorkers,
    clock: SystemClock,
}

impl HttpPlatform {
    /// Returns the adapters that `settings` name; nothing is connected yet.
    pub fn open(settings: &Settings) -> Self {
        let log_timeouts = ServiceTimeouts {
            connect_ms: settings.log_timeout_ms,
            call_ms: settings.log_timeout_ms,
        };
        let list_timeouts = ServiceTimeouts {
            connect_ms: settings.instance_list_timeout_ms,
            call_ms: settings.instance_list_timeout_ms,
        };
        let worker_timeouts = ServiceTimeouts {
            connect_ms: settings.worker_connect_timeout_ms,
            call_ms: settings.instance_list_timeout_ms,
        };
        let addresses: Vec<String> = settings
            .log_addresses
            .iter()
            .map(ToString::to_string)
            .collect();
        let list_address = settings.instance_list_address.to_string();
        Self {
            log: FailoverHttpLog::open(&addresses, log_timeouts),
            instances: HttpInstances::open(&list_address, list_timeouts),
            workers: HttpWorkers::open(worker_timeouts),
            clock: SystemClock,
        }
    }
}

impl Platform for HttpPlatform {
    type Log = FailoverHttpLog;
    type Instances = HttpInstances;
    type Workers = HttpWorkers;
    type Clock = SystemClock;

    fn log(&self) -> &FailoverHttpLog {
        &self.log
    }

    fn instances(&self) -> &HttpInstances {
        &self.instances
    }

    fn workers(&self) -> &HttpWorkers {
        &self.workers
    }

    fn clock(&self) -> &SystemClock {
        &self.clock
    }
}
