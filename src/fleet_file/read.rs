//! Reads a fleet file.

use crate::fleet_file::{checks, DemandPeaks, DemandStream, FleetFile, FleetPool, FleetZone};
use crate::jsonc::{Cursor, Document};
use crate::lists::decode::resources;

/// Top-level fields of the fleet file.
pub(crate) const FIELDS: [&str; 5] = ["zones", "rack_instances_count", "pools", "turns", "demand"];

/// Reads a fleet file and checks its rows against each other.
pub(crate) fn read(document: &Document<'_>) -> Option<FleetFile> {
    let fields = document.root()?.fields(&FIELDS);
    let fleet = FleetFile {
        zones: fields.rows("zones", zone),
        rack_instances_count: fields.u32("rack_instances_count", 1..=1_000).unwrap_or(1),
        pools: fields.rows("pools", pool),
        peaks: fields.object("turns", peaks).unwrap_or_default(),
        demand: fields.rows("demand", stream),
    };
    checks::check(document, &fleet);
    Some(fleet)
}

fn zone(cursor: Cursor<'_>) -> FleetZone {
    let fields = cursor.fields(&["name", "region"]);
    FleetZone {
        name: fields.name("name"),
        region: fields.name("region"),
    }
}

fn pool(cursor: Cursor<'_>) -> FleetPool {
    let fields = cursor.fields(&[
        "name",
        "zones",
        "instances_count",
        "capacity",
        "slots_count",
    ]);
    let number = |name, max| fields.u32(name, 1..=max).unwrap_or(max);
    FleetPool {
        name: fields.name("name"),
        zones: fields.rows("zones", |cursor| cursor.name().unwrap_or_default()),
        instances_count: number("instances_count", 20_000),
        capacity: fields.object("capacity", resources).unwrap_or_default(),
        slots_count: number("slots_count", 1_024),
    }
}

fn peaks(cursor: Cursor<'_>) -> DemandPeaks {
    let fields = cursor.fields(&["turn_ms", "burst_permille", "idle_permille"]);
    let factor = |name| fields.u32(name, 0..=100_000).unwrap_or(1_000);
    DemandPeaks {
        peak_ms: fields.u64("turn_ms", 10..=86_400_000).unwrap_or(1_000),
        burst_permille: factor("burst_permille"),
        idle_permille: factor("idle_permille"),
    }
}

fn stream(cursor: Cursor<'_>) -> DemandStream {
    let fields = cursor.fields(&[
        "queue",
        "team",
        "mean_per_s",
        "run_ms",
        "deadline_ms",
        "size",
        "body_bytes",
        "idempotent_permille",
    ]);
    let number = |name, min, max| fields.u64(name, min..=max).unwrap_or(max);
    let u32_number = |name, max| fields.u32(name, 0..=max).unwrap_or(max);
    DemandStream {
        queue: fields.name("queue"),
        team: fields.get("team").and_then(|cursor| cursor.name()),
        mean_per_s: u32_number("mean_per_s", 100_000),
        run_ms: number("run_ms", 0, 86_400_000),
        deadline_ms: number("deadline_ms", 1, 86_400_000),
        size: fields.object("size", resources).unwrap_or_default(),
        body_bytes: number("body_bytes", 0, 67_108_864),
        idempotent_permille: u32_number("idempotent_permille", 1_000),
    }
}
