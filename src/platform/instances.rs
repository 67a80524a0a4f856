//! Client of the service that lists, moves and maintains instances. The platform's protocol calls
//! an instance a machine.

use std::net::SocketAddr;

use hyper::body::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::Method;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::lists::NAME_MAX_BYTES;
use super::sizes::SizeWire;
use crate::jobs::{InstanceFailure, InstanceInfo, InstanceOrder, InstanceState, Size};
use crate::net::{Call, CallFailure, Client};

/// Most bytes of an answer, such as a page of the list.
const ANSWER_MAX_BYTES: usize = 1 << 20;
/// Timeout of a call, in milliseconds.
const TIMEOUT_MS: u64 = 1_000;
/// Most pages of the list.
const PAGES_MAX: usize = 200;
/// Header with the name of the node that gives an order.
static HOLDER_HEADER: HeaderName = HeaderName::from_static("x-hawthornladder-lease-holder");
/// Header with the fence.
static FENCE_HEADER: HeaderName = HeaderName::from_static("x-hawthornladder-fencing-token");

#[derive(Deserialize)]
struct PageWire<M> {
    machines: Vec<M>,
    #[serde(default)]
    next_token: Option<String>,
}

#[derive(Deserialize)]
struct MachineWire {
    machine: SmolStr,
    pool: SmolStr,
    state: String,
    #[serde(default)]
    zone: SmolStr,
    #[serde(default)]
    labels: Vec<SmolStr>,
    #[serde(default)]
    capacity: SizeWire,
    #[serde(default)]
    id: Option<SmolStr>,
}

#[derive(Serialize)]
#[serde(untagged)]
enum OrderWire<'o> {
    Move { machine: &'o str, pool: &'o str },
    Upkeep { machine: &'o str, wave: u64 },
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct RefusalWire {
    reason: String,
}

/// Converts a row; returns `None` if it does not describe an instance.
fn instance_info(wire: MachineWire) -> Option<InstanceInfo> {
    let is_name = (1..=NAME_MAX_BYTES).contains(&wire.machine.len());
    if !is_name || !Size::from(wire.capacity).is_plausible() {
        return None;
    }
    let state = match wire.state.as_str() {
        "up" => InstanceState::Up,
        "moving" => InstanceState::Moving,
        "upkeep" => InstanceState::Maintained,
        _ => InstanceState::Down,
    };
    Some(InstanceInfo {
        name: wire.machine,
        pool: wire.pool,
        state,
        zone: wire.zone,
        labels: wire.labels,
        capacity: wire.capacity.into(),
        worker: wire.id.filter(|id| !id.is_empty()),
    })
}

/// Parses a page of the list. A row that cannot be read does not make the others unusable.
fn parse_page(body: &[u8]) -> Option<PageWire<MachineWire>> {
    let usual: Option<PageWire<MachineWire>> = serde_json::from_slice(body).ok();
    usual.or_else(|| {
        let page: PageWire<serde_json::Value> = serde_json::from_slice(body).ok()?;
        let machines = page.machines.into_iter();
        let machines = machines.filter_map(|row| serde_json::from_value(row).ok());
        Some(PageWire {
            machines: machines.collect(),
            next_token: page.next_token,
        })
    })
}

/// Lists all instances.
pub async fn list(
    client: &Client,
    address: SocketAddr,
) -> Result<Vec<InstanceInfo>, InstanceFailure> {
    let mut instances = Vec::new();
    let mut token: Option<String> = None;
    for _ in 0..PAGES_MAX {
        let path = match &token {
            None => "/hawthornladder/machines".to_owned(),
            Some(token) => format!("/hawthornladder/machines?page_token={token}"),
        };
        let call = Call {
            address,
            method: Method::GET,
            path,
            headers: Vec::new(),
            body: Bytes::new(),
            timeout_ms: TIMEOUT_MS,
            answer_max_bytes: ANSWER_MAX_BYTES,
        };
        let reply = client.call(call).await.map_err(|_| InstanceFailure::Lost)?;
        if reply.status != 200 {
            return Err(InstanceFailure::Refused);
        }
        let page = parse_page(&reply.body).ok_or(InstanceFailure::Lost)?;
        instances.extend(page.machines.into_iter().filter_map(instance_info));
        token = page.next_token.filter(|token| !token.is_empty());
        if token.is_none() {
            return Ok(instances);
        }
    }
    Err(InstanceFailure::Lost)
}

/// Gives an order to an instance, as the node `holder` that leads under `fence`. Nothing is sent
/// unless `may_send` holds right before.
pub async fn order(
    client: &Client,
    address: SocketAddr,
    order: &InstanceOrder,
    (holder, fence): (&str, u64),
    may_send: impl Fn() -> bool,
) -> Result<(), InstanceFailure> {
    let (path, body) = match order {
        InstanceOrder::Move { instance, pool } => (
            "/hawthornladder/machine-move",
            OrderWire::Move {
                machine: instance,
                pool,
            },
        ),
        InstanceOrder::Maintain { instance, wave } => (
            "/hawthornladder/machine-upkeep",
            OrderWire::Upkeep {
                machine: instance,
                wave: *wave,
            },
        ),
    };
    let holder = HeaderValue::from_str(holder).map_err(|_| InstanceFailure::Refused)?;
    let body = serde_json::to_vec(&body).map_err(|_| InstanceFailure::Refused)?;
    let call = Call {
        address,
        method: Method::POST,
        path: path.to_owned(),
        headers: vec![
            (HOLDER_HEADER.clone(), holder),
            (FENCE_HEADER.clone(), HeaderValue::from(fence)),
        ],
        body: Bytes::from(body),
        timeout_ms: TIMEOUT_MS,
        answer_max_bytes: ANSWER_MAX_BYTES,
    };
    let reply = client
        .call_if(call, may_send)
        .await
        .map_err(|failure| match failure {
            CallFailure::NotSent => InstanceFailure::Refused,
            CallFailure::Lost => InstanceFailure::Lost,
        })?;
    if reply.status == 200 {
        return Ok(());
    }
    let refusal: RefusalWire = serde_json::from_slice(&reply.body).unwrap_or_default();
    Err(match (reply.status, refusal.reason.as_str()) {
        (409, "fence") => InstanceFailure::Fenced,
        (409, "busy") => InstanceFailure::Busy,
        (409, "wave") => InstanceFailure::NotOfWave,
        (400, _) => InstanceFailure::Unknown,
        _ => InstanceFailure::Refused,
    })
}
