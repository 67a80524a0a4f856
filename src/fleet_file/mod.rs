//! The fleet file: availability zones, racks, pools and turns of demand of one deployment, as the
//! stand-ins of the platform and load runs play them. A real platform needs no such file.

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
    /// Instances in one rack; racks are filled zone by zone.
    pub rack_instances_count: u32,
    /// Pools, spare ones too.
    pub pools: Vec<FleetPool>,
    /// How demand rises and falls.
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

/// A pool as the platform delivers it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct FleetPool {
    /// Unique name.
    pub name: PoolName,
    /// Availability zones over which the instances are spread evenly.
    pub zones: Vec<ZoneName>,
    /// Instances in the pool.
    pub instances_count: u32,
    /// What each worker offers.
    pub capacity: Resources,
    /// Requests that each worker runs at once at most.
    pub slots_count: u32,
}

/// Turns of demand: one queue after the other asks for much more than its mean, while the rest ask for
/// much less.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct DemandPeaks {
    /// Length of one queue's turn, in milliseconds.
    #[serde(rename = "turn_ms")]
    pub peak_ms: u64,
    /// Demand of the queue whose turn it is, in thousandths of its mean.
    pub burst_permille: u32,
    /// Demand of the other queues, in thousandths of their mean.
    pub idle_permille: u32,
}

/// A stream of like requests of one team to one queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DemandStream {
    /// Queue that the requests name.
    pub queue: QueueName,
    /// Team whose key they carry; none on a queue open to all.
    pub team: Option<TeamName>,
    /// Mean number of requests a second.
    pub mean_per_s: u32,
    /// Mean time that a request runs, in milliseconds.
    pub run_ms: u64,
    /// Time from the request to its deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Declared size.
    pub size: Resources,
    /// Length of the body, in bytes.
    pub body_bytes: u64,
    /// Part of the requests that may run more than once, in thousandths.
    pub idempotent_permille: u32,
}

/// Checks the text of a fleet file and returns the fleet with the warnings, or every finding if one is
/// an error.
///
/// # Errors
///
/// All findings, if one of them is an error or the file holds something else than a fleet.
pub fn check_text(file: &str, text: &str) -> Checked<FleetFile> {
    let (files, mut findings) = config_files::check(&[ConfigSource { file, text }])?;
    if files.fleet.is_none() {
        findings.push(Finding::of_file(
            file,
            "the file holds no fleet",
            "name a fleet file, as `examples/lahore/fleet.jsonc`",
        ));
    }
    finish_check(files.fleet, findings)
}
