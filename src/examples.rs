//! The example deployments, built into the program: defaults of the standalone mode and test input.

use crate::config_files::{self, ConfigSource};
use crate::findings::Checked;
use crate::fleet_file::FleetFile;
use crate::lists::Lists;

/// The files of one example deployment.
#[derive(Clone, Copy, Debug)]
pub struct Example {
    /// Name of its folder under `examples/`.
    pub name: &'static str,
    /// Text of `plans.jsonc`.
    pub plans: &'static str,
    /// Text of `entitlements.jsonc`.
    pub entitlements: &'static str,
    /// Text of `fleet.jsonc`.
    pub fleet: &'static str,
    /// Text of `entry.jsonc`.
    pub entry: &'static str,
}

/// Four availability zones and 50 workers; the highest weights are on roll-out time and moves.
pub const LAHORE: Example = Example {
    name: "lahore",
    plans: include_str!("../examples/lahore/plans.jsonc"),
    entitlements: include_str!("../examples/lahore/entitlements.jsonc"),
    fleet: include_str!("../examples/lahore/fleet.jsonc"),
    entry: include_str!("../examples/lahore/entry.jsonc"),
};

/// Three availability zones and 50 workers; the highest weight is on nearness to share.
pub const DENMARK: Example = Example {
    name: "denmark",
    plans: include_str!("../examples/denmark/plans.jsonc"),
    entitlements: include_str!("../examples/denmark/entitlements.jsonc"),
    fleet: include_str!("../examples/denmark/fleet.jsonc"),
    entry: include_str!("../examples/denmark/entry.jsonc"),
};

/// All examples.
pub const EXAMPLES: [Example; 2] = [LAHORE, DENMARK];

impl Example {
    /// Returns the path in the repository and the text of each file.
    pub fn sources(&self) -> [(String, &'static str); 4] {
        [
            ("plans", self.plans),
            ("entitlements", self.entitlements),
            ("fleet", self.fleet),
            ("entry", self.entry),
        ]
        .map(|(file, text)| (format!("examples/{}/{file}.jsonc", self.name), text))
    }

    /// Checks all files and returns the lists and the fleet.
    ///
    /// # Errors
    ///
    /// All findings, if a file of the example has an error.
    pub fn load(&self) -> Checked<(Lists, FleetFile)> {
        let sources = self.sources();
        let sources: Vec<ConfigSource<'_>> = sources
            .iter()
            .map(|(file, text)| ConfigSource { file, text })
            .collect();
        let (files, findings) = config_files::check(&sources)?;
        let loaded = files.lists().zip(files.fleet);
        loaded
            .map(|loaded| (loaded, findings.clone()))
            .ok_or(findings)
    }
}
