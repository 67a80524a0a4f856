//! Reads the settings file that the platform provides to each process.

use std::env;
use std::fs;
use std::net::SocketAddr;

use error_stack::{Report, ResultExt};
use serde::Deserialize;
use smol_str::SmolStr;

use crate::jobs::ForecastMethod;
use crate::node::{NodeBounds, NodeSettings, StoreLimits};

/// Environment variable with the path of the settings file.
const PATH_ENV: &str = "HAWTHORNLADDER_CONFIG";
/// Path of the settings file if the variable is not set.
const PATH_DEFAULT: &str = "/etc/hawthornladder/local.toml";
/// Largest factor by which tasks may run longer far from their data; larger values are mistakes.
const REMOTE_FACTOR_MAX: f64 = 100.0;

/// Why the settings cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
pub enum SettingsError {
    /// The file is missing or cannot be read.
    #[strum(serialize = "cannot read the settings file")]
    Unreadable,
    /// The text is not TOML, or a required field is missing or invalid.
    #[strum(serialize = "the settings file is faulty")]
    Invalid,
}

impl std::error::Error for SettingsError {}

#[derive(Debug, Deserialize)]
struct SettingsWire {
    node_name: SmolStr,
    #[serde(default)]
    zone: SmolStr,
    #[serde(default)]
    internal_ports: Vec<u16>,
    ip: std::net::IpAddr,
    listen: ListenWire,
    limits: LimitsWire,
    #[serde(default)]
    bounds: BoundsWire,
    platform: PlatformWire,
    #[serde(default)]
    cloud: Option<CloudWire>,
    #[serde(default)]
    recommendation: Option<String>,
}

#[derive(Debug, Deserialize)]
struct ListenWire {
    frontend_address: SocketAddr,
    ready: SocketAddr,
}

#[derive(Debug, Deserialize)]
#[serde(default)]
struct LimitsWire {
    cpu_share: f64,
    file_descriptors: usize,
    memory_mb: usize,
}

impl Default for LimitsWire {
    fn default() -> Self {
        Self {
            cpu_share: 0.25,
            file_descriptors: 1_024,
            memory_mb: 256,
        }
    }
}

/// Longest time from the decision to start a task until its worker has received the order, in
/// milliseconds.
const START_RESERVE_MS: u64 = 1_000;

/// Time limits of the deployment; fields that the node does not use are not listed.
#[derive(Debug, Deserialize)]
#[serde(default)]
struct BoundsWire {
    revoke_ms: u64,
    strict_revoke: bool,
    grace_s: f64,
    hold_max_ms: u64,
    stop_ms: u64,
    status_s: f64,
    migration_s: f64,
    maintenance_s: f64,
    lease_ms: u64,
    remote_factor: f64,
    contact_ms: u64,
}

impl Default for BoundsWire {
    fn default() -> Self {
        Self {
            revoke_ms: 5_000,
            strict_revoke: true,
            grace_s: 6.0,
            hold_max_ms: 6_000,
            stop_ms: 1_000,
            status_s: 120.0,
            migration_s: 1.5,
            maintenance_s: 2.0,
            lease_ms: 3_000,
            remote_factor: 1.0,
            contact_ms: 3_000,
        }
    }
}

#[derive(Debug, Deserialize)]
struct PlatformWire {
    address: SocketAddr,
    #[serde(default = "call_default_bytes")]
    call_bytes: usize,
    #[serde(default = "record_default_bytes")]
    record_bytes: usize,
}

fn call_default_bytes() -> usize {
    1 << 20
}

fn record_default_bytes() -> usize {
    1 << 18
}

/// The service that lists, moves and maintains instances; the settings file calls it `cloud`.
#[derive(Debug, Deserialize)]
struct CloudWire {
    address: SocketAddr,
}

/// Reads the settings of this process from its settings file.
pub fn read() -> Result<NodeSettings, Report<SettingsError>> {
    let path = env::var(PATH_ENV).unwrap_or_else(|_| PATH_DEFAULT.to_owned());
    let text = fs::read_to_string(&path)
        .change_context(SettingsError::Unreadable)
        .attach_with(|| path.clone())?;
    parse(&text).attach_with(|| path)
}

/// Parses settings; unknown fields are ignored.
pub fn parse(text: &str) -> Result<NodeSettings, Report<SettingsError>> {
    let wire: SettingsWire = toml::from_str(text).change_context(SettingsError::Invalid)?;
    let first_port = wire.internal_ports.first().copied().unwrap_or(0);
    let last_port = wire.internal_ports.get(1).copied().unwrap_or(first_port);
    if first_port == 0 || last_port <= first_port {
        return Err(Report::new(SettingsError::Invalid)
            .attach("internal_ports needs two ports, the first below the second"));
    }
    let tickets_address = match wire.recommendation.as_deref() {
        None | Some("") => None,
        Some(text) => Some(
            text.parse()
                .change_context(SettingsError::Invalid)
                .attach("recommendation is not a socket address")?,
        ),
    };
    let bounds = wire.bounds;
    if !(0.0..=REMOTE_FACTOR_MAX).contains(&bounds.remote_factor) {
        return Err(Report::new(SettingsError::Invalid).attach(format!(
            "remote_factor must be from 0 to {REMOTE_FACTOR_MAX}"
        )));
    }
    Ok(NodeSettings {
        name: wire.node_name,
        zone: wire.zone,
        callers_address: wire.listen.frontend_address,
        ready_address: wire.listen.ready,
        peers_address: SocketAddr::new(wire.ip, first_port),
        metrics_address: SocketAddr::new(wire.ip, first_port + 1),
        store_address: wire.platform.address,
        instances_address: wire.cloud.map(|cloud| cloud.address),
        tickets_address,
        cpu_share: wire.limits.cpu_share,
        descriptors_count: wire.limits.file_descriptors,
        memory_mb: wire.limits.memory_mb,
        store: StoreLimits {
            call_bytes: wire.platform.call_bytes,
            record_bytes: wire.platform.record_bytes,
        },
        bounds: NodeBounds {
            key_withdrawal_ms: bounds.revoke_ms,
            is_withdrawal_strict: bounds.strict_revoke,
            stop_grace_ms: to_ms(bounds.grace_s),
            run_lease_max_ms: bounds.hold_max_ms,
            run_stop_ms: bounds.stop_ms,
            ended_retention_ms: to_ms(bounds.status_s),
            move_ms: to_ms(bounds.migration_s),
            maintain_ms: to_ms(bounds.maintenance_s),
            instance_lease_ms: bounds.lease_ms,
            remote_factor_permille: to_permille(bounds.remote_factor),
            capacity_age_max_ms: bounds.contact_ms.saturating_sub(START_RESERVE_MS).max(1),
        },
        forecast: ForecastMethod::default(),
    })
}

// The value is at most `REMOTE_FACTOR_MAX`.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::as_conversions
)]
fn to_permille(factor: f64) -> u64 {
    (factor * 1_000.0).round() as u64
}

/// Longest time that is read, in milliseconds, so that sums of times do not overflow.
const TIME_MAX_MS: f64 = 1e12;

// The value is bounded; `NaN` becomes 0.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::as_conversions
)]
pub(super) fn to_ms(time_s: f64) -> u64 {
    (time_s * 1_000.0).clamp(0.0, TIME_MAX_MS) as u64
}
