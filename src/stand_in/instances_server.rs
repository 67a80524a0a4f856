//! The instance list over HTTP; `docs/platform.md` describes the protocol.

use std::io;
use std::sync::Arc;

use attohttpc::Method;
use rouille::{Request, Response};

use crate::adapters::http_client::HttpCall;
use crate::adapters::log_http::{service_call, ServiceTimeouts};
use crate::fleet::InstanceRow;
use crate::ports::InstancePort;
use crate::stand_in::http::{
    done, failed, no_such_call, query_number, read_json, refused, response_or_refusal,
    RunningServer,
};
use crate::stand_in::instances::{InstanceEvent, MemoryInstances, OnInstanceEvent};

/// Timeouts for notifying a worker of a change.
const WORKER_TIMEOUTS: ServiceTimeouts = ServiceTimeouts {
    connect_ms: 500,
    call_ms: 1_000,
};

/// Serves `instances` at `address`.
pub fn serve_instances(address: &str, instances: MemoryInstances) -> io::Result<RunningServer> {
    RunningServer::bind(address, move |request| {
        response_or_refusal(answer(&instances, request))
    })
}

/// Returns a callback that notifies worker daemons of the start and the end of their boots.
pub fn notify_workers() -> OnInstanceEvent {
    Arc::new(|event: &InstanceEvent| {
        let is_notified = match event {
            InstanceEvent::Ended(row) => notify_worker(row, "/boot/end"),
            InstanceEvent::Began(row) => notify_worker(row, "/boot"),
            InstanceEvent::Leaving(_) => return,
        };
        if !is_notified {
            log::warn!("event=worker_not_told change={event:?}");
        }
    })
}

fn notify_worker(row: &InstanceRow, path: &str) -> bool {
    let call = service_call(&row.address, WORKER_TIMEOUTS, Method::POST, path.into());
    let body = serde_json::to_vec(row).unwrap_or_default();
    HttpCall {
        body: Arc::from(body),
        ..call
    }
    .send()
    .is_ok_and(|answer| answer.status == 200)
}

fn answer(instances: &MemoryInstances, request: &Request) -> Result<Response, Response> {
    let url = request.url();
    let mut segments = url.trim_start_matches('/').split('/');
    let path = (segments.next(), segments.next(), segments.next());
    match (request.method(), path) {
        ("GET", (Some("instances"), None, None)) => list(instances, request),
        ("POST", (Some("instances"), None, None)) => {
            instances.put(read_json(request)?);
            Ok(done())
        }
        ("POST", (Some("instances"), Some(name), Some(order))) => {
            handle_order(instances, request, name, order)
        }
        ("GET", (Some("faults"), None, None)) => Ok(Response::json(&instances.faults())),
        ("POST", (Some("faults"), None, None)) => {
            instances.set_faults(read_json(request)?);
            Ok(done())
        }
        _ => Err(no_such_call()),
    }
}

fn list(instances: &MemoryInstances, request: &Request) -> Result<Response, Response> {
    let known_version = query_number(request, "known", 0)?;
    let wait_ms = query_number(request, "wait_ms", 0)?;
    let page = instances
        .list(known_version, wait_ms)
        .map_err(|error| failed(&error))?;
    Ok(Response::json(&page))
}

fn handle_order(
    instances: &MemoryInstances,
    request: &Request,
    name: &str,
    order: &str,
) -> Result<Response, Response> {
    let was_listed = match order {
        "leave" => instances.leave(name),
        "remove" => instances.remove(name),
        "replace" => instances.replace(name, request.get_param("address").as_deref()),
        "reboot" => return reboot(instances, request, name),
        _ => return Err(no_such_call()),
    };
    match was_listed {
        true => Ok(done()),
        false => Err(refused(404, "no_such_instance")),
    }
}

fn reboot(
    instances: &MemoryInstances,
    request: &Request,
    name: &str,
) -> Result<Response, Response> {
    let incarnation = request
        .get_param("incarnation")
        .ok_or_else(|| refused(400, "bad_query"))?;
    instances
        .reboot(name, &incarnation)
        .map_err(|error| failed(&error))?;
    Ok(done())
}
