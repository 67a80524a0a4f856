//! Reads the two lists from their files and checks field names, types and bounds. An invalid field
//! gets a fallback value that causes no further findings in the checks across rows.

use std::ops::RangeInclusive;

use crate::fleet::Resources;
use crate::jsonc::{Cursor, Document};
use crate::lists::{
    AvailabilityBudget, Entitlement, Entitlements, Maintenance, MeasureWeights, Plan, Plans, Pool,
    Queue, Team,
};

/// Bounds of a share weight.
const SHARE_WEIGHT: RangeInclusive<u32> = 1..=10_000;
/// Bounds of the upper limit of running requests.
const RUNNING_MAX_REQUESTS: RangeInclusive<u32> = 1..=1_000_000;
/// Bounds of the start target of urgent requests, in milliseconds.
const START_TARGET_MS: RangeInclusive<u64> = 1..=86_400_000;
/// Bounds of a fraction that must not be zero, in thousandths.
const FRACTION_PERMILLE: RangeInclusive<u32> = 1..=1_000;
/// Value used for an invalid fraction, in thousandths.
const FALLBACK_PERMILLE: u32 = 999;
/// Bounds of the weight of a measure.
const MEASURE_WEIGHT: RangeInclusive<u32> = 0..=1_000;
/// Bounds of the minimum number of instances in a pool.
const INSTANCES_MIN_COUNT: RangeInclusive<u32> = 0..=100_000;
/// Bounds of processor time, in thousandths of a core.
const CORES_MILLI: RangeInclusive<u64> = 1..=1_024_000;
/// Bounds of memory, in megabytes.
const MEMORY_MB: RangeInclusive<u64> = 1..=67_108_864;
/// Bounds of the number of accelerators.
const ACCELERATORS_COUNT: RangeInclusive<u64> = 0..=1_024;

/// Bounds of the hours between two maintenances of an instance; 0 means no periodic maintenance.
const EVERY_HOURS: RangeInclusive<u32> = 0..=8_760;
/// Bounds of `due_before_unix_ms`; the upper bound is the start of the year 2100.
const DUE_BEFORE_UNIX_MS: RangeInclusive<u64> = 0..=4_102_444_800_000;

/// Top-level fields of the `plans` file.
pub(crate) const PLANS_FIELDS: [&str; 3] = ["plans", "teams", "measure_weights"];
/// Top-level fields of the `entitlements` file.
pub(crate) const ENTITLEMENTS_FIELDS: [&str; 4] =
    ["pools", "queues", "entitlements", "maintenance"];

/// Reads the `plans` file.
pub(crate) fn plans(document: &Document<'_>) -> Option<Plans> {
    let fields = document.root()?.fields(&PLANS_FIELDS);
    Some(Plans {
        plans: fields.rows("plans", plan),
        teams: fields.rows("teams", team),
        measure_weights: fields
            .get("measure_weights")
            .map(measure_weights)
            .unwrap_or_default(),
    })
}

fn plan(cursor: Cursor<'_>) -> Plan {
    let fields = cursor.fields(&[
        "name",
        "share_weight",
        "running_max_requests",
        "start_target_ms",
        "on_time_target_permille",
        "availability",
    ]);
    let number = |name, range: RangeInclusive<u32>| {
        let fallback = *range.end();
        fields.u32(name, range).unwrap_or(fallback)
    };
    Plan {
        name: fields.name("name"),
        share_weight: number("share_weight", SHARE_WEIGHT),
        running_max_requests: number("running_max_requests", RUNNING_MAX_REQUESTS),
        start_target_ms: fields
            .u64("start_target_ms", START_TARGET_MS)
            .unwrap_or(*START_TARGET_MS.end()),
        on_time_target_permille: fields
            .u32("on_time_target_permille", FRACTION_PERMILLE)
            .unwrap_or(FALLBACK_PERMILLE),
        availability: fields
            .object("availability", availability)
            .unwrap_or(AvailabilityBudget {
                pool_unavailable_max_permille: FALLBACK_PERMILLE,
                zone_unavailable_max_permille: FALLBACK_PERMILLE,
            }),
    }
}

fn availability(cursor: Cursor<'_>) -> AvailabilityBudget {
    let fields = cursor.fields(&[
        "pool_unavailable_max_permille",
        "zone_unavailable_max_permille",
    ]);
    let fraction = |name| {
        let fraction = fields.u32(name, FRACTION_PERMILLE);
        fraction.unwrap_or(FALLBACK_PERMILLE)
    };
    AvailabilityBudget {
        pool_unavailable_max_permille: fraction("pool_unavailable_max_permille"),
        zone_unavailable_max_permille: fraction("zone_unavailable_max_permille"),
    }
}

fn team(cursor: Cursor<'_>) -> Team {
    let fields = cursor.fields(&["name", "plan", "running_max_requests", "share_weight"]);
    let number = |name, range| fields.get(name).and_then(|cursor| cursor.u32(range));
    Team {
        name: fields.name("name"),
        plan: fields.name("plan"),
        running_max_requests: number("running_max_requests", RUNNING_MAX_REQUESTS),
        share_weight: number("share_weight", SHARE_WEIGHT),
    }
}

fn measure_weights(cursor: Cursor<'_>) -> MeasureWeights {
    let fields = cursor.fields(&["buffer_cost", "roll_out_time", "moves", "share_nearness"]);
    let default = MeasureWeights::default();
    let weight = |name, default| {
        let cursor = fields.get(name);
        cursor
            .and_then(|cursor| cursor.u32(MEASURE_WEIGHT))
            .unwrap_or(default)
    };
    MeasureWeights {
        buffer_cost: weight("buffer_cost", default.buffer_cost),
        roll_out_time: weight("roll_out_time", default.roll_out_time),
        moves: weight("moves", default.moves),
        share_nearness: weight("share_nearness", default.share_nearness),
    }
}

/// Reads the `entitlements` file.
pub(crate) fn entitlements(document: &Document<'_>) -> Option<Entitlements> {
    let fields = document.root()?.fields(&ENTITLEMENTS_FIELDS);
    Some(Entitlements {
        pools: fields.rows("pools", pool),
        queues: fields.rows("queues", queue),
        entitlements: fields.rows("entitlements", entitlement),
        maintenance: fields
            .get("maintenance")
            .map(maintenance)
            .unwrap_or_default(),
    })
}

fn maintenance(cursor: Cursor<'_>) -> Maintenance {
    let fields = cursor.fields(&["every_hours", "due_before_unix_ms"]);
    let every_hours = fields.get("every_hours");
    let due_before = fields.get("due_before_unix_ms");
    Maintenance {
        every_hours: every_hours
            .and_then(|cursor| cursor.u32(EVERY_HOURS))
            .unwrap_or_default(),
        due_before_unix_ms: due_before
            .and_then(|cursor| cursor.u64(DUE_BEFORE_UNIX_MS))
            .unwrap_or_default(),
    }
}

fn pool(cursor: Cursor<'_>) -> Pool {
    let fields = cursor.fields(&["name", "is_spare", "instances_min_count"]);
    Pool {
        name: fields.name("name"),
        is_spare: fields.flag("is_spare"),
        instances_min_count: fields
            .u32("instances_min_count", INSTANCES_MIN_COUNT)
            .unwrap_or(*INSTANCES_MIN_COUNT.end()),
    }
}

fn queue(cursor: Cursor<'_>) -> Queue {
    let fields = cursor.fields(&["name", "pools", "is_open_to_all", "is_urgent"]);
    Queue {
        name: fields.name("name"),
        pools: fields.rows("pools", |cursor| cursor.name().unwrap_or_default()),
        is_open_to_all: fields.flag("is_open_to_all"),
        is_urgent: fields.flag("is_urgent"),
    }
}

fn entitlement(cursor: Cursor<'_>) -> Entitlement {
    let fields = cursor.fields(&["plan", "queues", "request_max"]);
    Entitlement {
        plan: fields.name("plan"),
        queues: fields.rows("queues", |cursor| cursor.name().unwrap_or_default()),
        request_max: fields.object("request_max", resources).unwrap_or_default(),
    }
}

/// Reads a set of resources; `accelerators_count` is optional.
pub(crate) fn resources(cursor: Cursor<'_>) -> Resources {
    let fields = cursor.fields(&["cores_milli", "memory_mb", "accelerators_count"]);
    let number = |name, range: RangeInclusive<u64>| {
        let fallback = *range.start();
        fields.u64(name, range).unwrap_or(fallback)
    };
    Resources {
        cores_milli: number("cores_milli", CORES_MILLI),
        memory_mb: number("memory_mb", MEMORY_MB),
        accelerators_count: fields
            .get("accelerators_count")
            .and_then(|cursor| cursor.u64(ACCELERATORS_COUNT))
            .unwrap_or_default(),
    }
}
