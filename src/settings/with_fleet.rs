//! Checks of an entry's settings against the fleet that it serves.

use crate::findings::FindingKind;
use crate::fleet_file::FleetFile;
use crate::jsonc::Document;
use crate::lists::checks::refuse_dangling;
use crate::settings::Settings;

/// Checks the entry's zone and region against the fleet's zones, and the demand against the limits
/// of the settings.
pub(crate) fn check_with_fleet(
    settings_document: &Document<'_>,
    fleet_document: &Document<'_>,
    settings: &Settings,
    fleet: &FleetFile,
) {
    let zone_names = fleet.zones.iter().map(|zone| zone.name.as_str());
    refuse_dangling(
        settings_document,
        "zone",
        "zone",
        &settings.zone,
        zone_names,
    );
    let mut zones = fleet.zones.iter();
    match zones.find(|zone| zone.name == settings.zone) {
        Some(zone) if zone.region != settings.region && !settings.region.is_empty() => {
            settings_document.error(
                FindingKind::CannotHold,
                "region",
                &format!("zone `{}` is in region `{}`", zone.name, zone.region),
                &format!("write `{}`", zone.region),
            );
        }
        _ => {}
    }
    for (index, stream) in fleet.demand.iter().enumerate() {
        let refuse = |field: &str, limit: &str, max: u64| {
            fleet_document.error(
                FindingKind::CannotHold,
                &format!("demand[{index}].{field}"),
                &format!(
                    "the value is above the `{limit}` of `{}`",
                    settings_document.file()
                ),
                &format!("write {max} or less, or raise `{limit}`"),
            );
        };
        if stream.run_ms > settings.run_max_ms {
            refuse("run_ms", "run_max_ms", settings.run_max_ms);
        }
        if stream.body_bytes > settings.body_max_bytes {
            refuse("body_bytes", "body_max_bytes", settings.body_max_bytes);
        }
    }
}
