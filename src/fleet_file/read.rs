//! Reading of a fleet file.

use crate::fleet_file::{checks, DemandStream, DemandTurns, FleetFile, FleetPool, FleetZone};
use crate::jsonc::{Document, Place};
use crate::lists::decode::resources;

/// Fields of the fleet file.
pub(crate) const FIELDS: [&str; 5] = ["zones", "rack_instances_count", "pools", "turns", "demand"];

/// Reads a fleet file and checks its rows against each other.
pub(crate) fn read(document: &Document<'_>) -> Option<FleetFile> {
    let fields = document.root()?.fields(&FIELDS);
    let fleet = FleetFile {
        zones: fields.rows("zones", zone),
        rack_instances_count: fields.u32("rack_instances_count", 1..=1_000).unwrap_or(1),
        pools: fields.rows("pools", pool),
        turns: fields.object("turns", turns).unwrap_or_default(),
        demand: fields.rows("demand", stream),
    };
    checks::check(document, &fleet);
    Some(fleet)
}

fn zone(place: Place<'_>) -> FleetZone {
    let fields = place.fields(&["name", "region"]);
    FleetZone {
        name: fields.name("name"),
        region: fields.name("region"),
    }
}

fn pool(place: Place<'_>) -> FleetPool {
    let fields = place.fields(&[
        "name",
        "zones",
        "instances_count",
        "capacity",
        "slots_count",
    ]);
    let number = |name, most| fields.u32(name, 1..=most).unwrap_or(most);
    FleetPool {
        name: fields.name("name"),
        zones: fields.rows("zones", |place| place.name().unwrap_or_default()),
        instances_count: number("instances_count", 20_000),
        capacity: fields.object("capacity", resources).unwrap_or_default(),
        slots_count: number("slots_count", 1_024),
    }
}

fn turns(place: Place<'_>) -> DemandTurns {
    let fields = place.fields(&["turn_ms", "burst_permille", "idle_permille"]);
    let part = |name| fields.u32(name, 0..=100_000).unwrap_or(1_000);
    DemandTurns {
        turn_ms: fields.u64("turn_ms", 10..=86_400_000).unwrap_or(1_000),
        burst_permille: part("burst_permille"),
        idle_permille: part("idle_permille"),
    }
}

fn stream(place: Place<'_>) -> DemandStream {
    let fields = place.fields(&[
        "queue",
        "team",
        "mean_per_s",
        "run_ms",
        "deadline_ms",
        "size",
        "body_bytes",
        "idempotent_permille",
    ]);
    let number = |name, least, most| fields.u64(name, least..=most).unwrap_or(most);
    let small = |name, most| fields.u32(name, 0..=most).unwrap_or(most);
    DemandStream {
        queue: fields.name("queue"),
        team: fields.get("team").and_then(|place| place.name()),
        mean_per_s: small("mean_per_s", 100_000),
        run_ms: number("run_ms", 0, 86_400_000),
        deadline_ms: number("deadline_ms", 1, 86_400_000),
        size: fields.object("size", resources).unwrap_or_default(),
        body_bytes: number("body_bytes", 0, 67_108_864),
        idempotent_permille: small("idempotent_permille", 1_000),
    }
}
