//! Decodes what operators and workers write into the store. The platform's protocol calls the
//! operators' lists a manifest, a queue a route, a pool a service and a team a tenant.

use std::net::SocketAddr;

use serde::Deserialize;
use smol_str::SmolStr;

use super::sizes::SizeWire;
use crate::jobs::{Catalog, Pool, Queue, Size, Team, WaveSpec, WorkerInfo};

/// Largest accepted body if the lists set no limit, in bytes.
const BODY_DEFAULT_BYTES: usize = 262_144;
/// Longest time for which a worker can be slow after its start, in milliseconds.
const COLD_MAX_MS: f64 = 86_400_000.0;
/// Latest start of a worker, in Unix milliseconds; a larger figure is no time.
const STARTED_MAX_UNIX_MS: u64 = 1 << 53;
/// Most bytes of all texts of a worker's entry.
const TEXTS_MAX_BYTES: usize = 4_096;
/// Most bytes of a name that is part of the key of a record. The length of a key is one byte.
pub(super) const NAME_MAX_BYTES: usize = 200;
/// Key of the record with the operators' lists.
const LISTS_KEY: &str = "config";
/// Prefix of the keys of records that evacuate a zone.
const EVACUATION_PREFIX: &str = "evacuate/";
/// Prefix of the keys of wave records.
const WAVE_PREFIX: &str = "wave/";

#[derive(Deserialize)]
struct ManifestWire {
    version: u64,
    #[serde(default)]
    routes: Vec<RouteWire>,
    #[serde(default)]
    services: Vec<ServiceWire>,
    #[serde(default)]
    limits: LimitsWire,
    #[serde(default)]
    tenants: Vec<TenantWire>,
}

#[derive(Deserialize)]
struct RouteWire {
    name: SmolStr,
    host: SmolStr,
    path_prefix: SmolStr,
    service: SmolStr,
    #[serde(default)]
    priority: u32,
    #[serde(default)]
    max_attempts: u32,
    #[serde(default)]
    slack_factor: f64,
    #[serde(default)]
    target_latency_ms: u64,
    #[serde(default)]
    public: bool,
    /// Settings of the ticket service, such as how slow it is; only their presence is used.
    #[serde(default)]
    recommendation: Option<serde_json::Value>,
}

#[derive(Deserialize)]
struct ServiceWire {
    name: SmolStr,
    #[serde(default)]
    standby: bool,
    #[serde(default)]
    cold_per_s: f64,
    #[serde(default)]
    enforces_capacity: bool,
}

#[derive(Default, Deserialize)]
struct LimitsWire {
    max_body_bytes: Option<usize>,
}

#[derive(Deserialize)]
struct TenantWire {
    name: SmolStr,
    #[serde(default)]
    api_keys: Vec<SmolStr>,
    #[serde(default)]
    weight: f64,
    #[serde(default)]
    maximum: SizeWire,
}

#[derive(Deserialize)]
struct WaveWire {
    wave: u64,
    #[serde(default)]
    machines: Vec<SmolStr>,
    #[serde(default)]
    duration_s: f64,
    #[serde(default)]
    maximum: usize,
}

#[derive(Deserialize)]
struct WorkerEntryWire {
    service: SmolStr,
    address: SocketAddr,
    #[serde(default)]
    zone: SmolStr,
    state: SmolStr,
    #[serde(default)]
    cold_remaining_ms: f64,
    #[serde(default)]
    capacity: SizeWire,
    #[serde(default)]
    labels: Vec<SmolStr>,
    #[serde(default)]
    born: u64,
    #[serde(default)]
    machine: Option<SmolStr>,
}

/// Content of a record that operators write.
pub enum OperatorRecord {
    /// The operators' lists.
    Lists(Box<Catalog>),
    /// A maintenance wave.
    Wave(WaveSpec),
    /// The evacuation of a zone.
    Evacuation(SmolStr),
    /// A record that the node does not use.
    Other,
}

/// Parses a record that operators write.
pub fn parse_operator_record(key: &str, value: &[u8]) -> Result<OperatorRecord, serde_json::Error> {
    if key == LISTS_KEY {
        let wire: ManifestWire = serde_json::from_slice(value)?;
        return Ok(OperatorRecord::Lists(Box::new(catalog_of(wire))));
    }
    if key.starts_with(WAVE_PREFIX) {
        let wire: WaveWire = serde_json::from_slice(value)?;
        return Ok(OperatorRecord::Wave(WaveSpec {
            number: wire.wave,
            instances: wire.machines,
            duration_ms: super::settings::to_ms(wire.duration_s),
            at_once_max: wire.maximum,
        }));
    }
    if let Some(zone) = evacuated_zone(key) {
        return Ok(OperatorRecord::Evacuation(zone));
    }
    Ok(OperatorRecord::Other)
}

/// Returns the zone that a record with this key evacuates until the record is removed.
pub fn evacuated_zone(key: &str) -> Option<SmolStr> {
    let zone = key.strip_prefix(EVACUATION_PREFIX)?;
    (!zone.is_empty()).then(|| zone.into())
}

fn catalog_of(wire: ManifestWire) -> Catalog {
    let queue_of = |route: RouteWire| {
        let queue = Queue {
            name: route.name.clone(),
            host: route.host,
            path_prefix: route.path_prefix,
            pool: route.service,
            priority: route.priority,
            attempts_max: route.max_attempts.max(1),
            target_chain_factor: route.slack_factor,
            target_latency_ms: route.target_latency_ms,
            is_open: route.public,
            needs_tickets: route
                .recommendation
                .is_some_and(|settings| !settings.is_null()),
        };
        (route.name, queue)
    };
    let pool_of = |service: ServiceWire| {
        let pool = Pool {
            is_standby: service.standby,
            cold_starts_per_s: service.cold_per_s,
            enforces_capacity: service.enforces_capacity,
        };
        (service.name, pool)
    };
    let mut catalog = Catalog {
        version: wire.version,
        queues: wire.routes.into_iter().map(queue_of).collect(),
        pools: wire.services.into_iter().map(pool_of).collect(),
        body_max_bytes: wire.limits.max_body_bytes.unwrap_or(BODY_DEFAULT_BYTES),
        ..Catalog::default()
    };
    for tenant in wire.tenants {
        for key in tenant.api_keys {
            catalog.keys.insert(key, tenant.name.clone());
        }
        let team = Team {
            name: tenant.name.clone(),
            weight: tenant.weight,
            limit: tenant.maximum.into(),
        };
        catalog.teams.insert(tenant.name, team);
    }
    catalog
}

/// Returns whether a worker with this id and address can be called and recorded: the id goes into a
/// header and into a key.
fn is_callable(id: &str, address: SocketAddr) -> bool {
    let is_header_value =
        (1..=NAME_MAX_BYTES).contains(&id.len()) && id.bytes().all(|byte| byte.is_ascii_graphic());
    is_header_value && address.port() != 0 && !address.ip().is_unspecified()
}

impl WorkerEntryWire {
    /// Returns the bytes of its texts, which are persisted with the worker and its crashes.
    fn texts_bytes(&self) -> usize {
        let texts = [&self.service, &self.zone].into_iter();
        let texts = texts.chain(&self.machine).chain(&self.labels);
        texts.map(|text| text.len()).sum()
    }

    /// Returns whether all figures can be those of a worker. Other writers may leave entries, too.
    fn is_plausible(&self) -> bool {
        Size::from(self.capacity).is_plausible()
            && self.born <= STARTED_MAX_UNIX_MS
            && self.cold_remaining_ms <= COLD_MAX_MS
            && self.texts_bytes() <= TEXTS_MAX_BYTES
    }
}

/// Parses the entry that a worker writes about itself; none if it does not describe a usable
/// worker.
pub fn parse_worker_info(id: &str, value: &[u8]) -> Option<WorkerInfo> {
    let wire: WorkerEntryWire = serde_json::from_slice(value).ok()?;
    if !is_callable(id, wire.address) || !wire.is_plausible() {
        return None;
    }
    let is_draining = match wire.state.as_str() {
        "ready" => false,
        "draining" => true,
        _ => return None,
    };
    Some(WorkerInfo {
        id: id.into(),
        started_unix_ms: wire.born,
        address: wire.address,
        pool: wire.service,
        zone: wire.zone,
        labels: wire.labels,
        capacity: wire.capacity.into(),
        is_draining,
        // Sub-millisecond parts do not matter.
        cold_ms: super::settings::to_ms(wire.cold_remaining_ms / 1_000.0),
        instance: wire.machine,
    })
}
