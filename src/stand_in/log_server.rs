//! The log service over HTTP; `docs/platform.md` describes the protocol.

use std::io;

use rouille::{Request, Response};

use crate::adapters::log_http::AppendAck;
use crate::ports::LogPort;
use crate::stand_in::http::{
    done, failed, no_such_call, query_number, read_json, response_or_refusal, RunningServer,
};
use crate::stand_in::log::MemoryLog;

/// Serves `log` at `address`.
pub fn serve_log(address: &str, log: MemoryLog) -> io::Result<RunningServer> {
    RunningServer::bind(address, move |request| {
        response_or_refusal(answer(&log, request))
    })
}

fn answer(log: &MemoryLog, request: &Request) -> Result<Response, Response> {
    let url = request.url();
    match (request.method(), url.as_str()) {
        ("POST", "/records") => append(log, request),
        ("GET", "/records") => read(log, request),
        ("POST", "/trim") => {
            log.trim_before(query_number(request, "before", 0)?);
            Ok(done())
        }
        ("GET", "/counts") => Ok(Response::json(&log.counts())),
        ("GET", "/faults") => Ok(Response::json(&log.faults())),
        ("POST", "/faults") => {
            log.set_faults(read_json(request)?);
            Ok(done())
        }
        _ => Err(no_such_call()),
    }
}

fn append(log: &MemoryLog, request: &Request) -> Result<Response, Response> {
    let payloads: Vec<String> = read_json(request)?;
    let first_offset = log.append(&payloads).map_err(|error| failed(&error))?;
    Ok(Response::json(&AppendAck { first_offset }))
}

fn read(log: &MemoryLog, request: &Request) -> Result<Response, Response> {
    let from_offset = query_number(request, "from", 0)?;
    let wait_ms = query_number(request, "wait_ms", 0)?;
    let page = log
        .read(from_offset, wait_ms)
        .map_err(|error| failed(&error))?;
    Ok(Response::json(&page))
}
