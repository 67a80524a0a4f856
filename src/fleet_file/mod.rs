//! The fleet file: availability zones, racks, pools and demand of one deployment, as simulated by
//! the platform's stand-ins and by load runs. A real platform needs no such file.

mod checks;
mod demand;
mod layout;
mod read;

use serde::Serialize;
use smol_str::SmolStr;

use crate::config_files::{self, ConfigSource};
use crate::findings::{finish_check, Checked, Finding};
use crate::fleet::{PoolName, QueueName, Resources, TeamName, ZoneName};

pub(crate) use checks::check_with_lists;
pub(crate) use read::{read, FIELDS};

/// A fleet and the demand on it.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct FleetFile {
    /// Availability zones.
    pub zones: Vec<FleetZone>,
    /// Instances per rack; racks are filled zone by zone.
    pub rack_instances_count: u32,
    /// Pools, including spare ones.
    pub pools: Vec<FleetPool>,
    /// How demand changes over time.
    #[serde(rename = "turns")]
    pub peaks: DemandPeaks,
    /// Streams of requests.
    pub demand: Vec<DemandStream>,
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FleetZone {
    /// Unique name.
    pub name: ZoneName,
    /// Region that the zone belongs to.
    pub region: SmolStr,
}

/// A pool and the instances that the platform delivers for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FleetPool {
    /// Unique name.
    pub name: PoolName,
    /// Availability zones over which the instances are spread evenly.
    pub zones: Vec<ZoneName>,
    /// Instances in the pool.
    pub instances_count: u32,
    /// Resources of each worker.
    pub capacity: Resources,
    /// Maximum number of requests that each worker runs at once.
    pub slots_count: u32,
}

/// Demand peaks: the demand of one queue after another rises far above its mean, while that of the
/// other queues falls far below theirs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DemandPeaks {
    /// Duration of one queue's peak, in milliseconds.
    #[serde(rename = "turn_ms")]
    pub peak_ms: u64,
    /// Demand of the queue at its peak, in thousandths of its mean.
    pub burst_permille: u32,
    /// Demand of the other queues, in thousandths of their mean.
    pub idle_permille: u32,
}

/// A stream of similar requests from one team to one queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DemandStream {
    /// Queue that the requests are sent to.
    pub queue: QueueName,
    /// Team whose key they carry; none if the queue is open to all.
    pub team: Option<TeamName>,
    /// Mean number of requests per second.
    pub mean_per_s: u32,
    /// Mean run time of a request, in milliseconds.
    pub run_ms: u64,
    /// Time from the request to its deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Declared size of each request.
    pub size: Resources,
    /// Length of the body, in bytes.
    pub body_bytes: u64,
    /// Fraction of the requests that are idempotent and may run more than once, in thousandths.
    pub idempotent_permille: u32,
}

/// Checks the text of a fleet file and returns the fleet with the warnings, or every finding if one
/// is an error.
///
/// # Errors
///
/// All findings, if one of them is an error or the file is not a fleet file.
pub fn check_text(file: &str, text: &str) -> Checked<FleetFile> {
    let (files, mut findings) = config_files::check(&[ConfigSource { file, text }])?;
    if files.fleet.is_none() {
        findings.push(Finding::of_file(
            file,
            "the file is not a fleet file",
            "pass a fleet file such as `examples/lahore/fleet.jsonc`",
        ));
    }
    finish_check(files.fleet, findings)
}
