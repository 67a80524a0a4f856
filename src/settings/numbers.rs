//! The numeric settings: name, default, bounds and field of each.

use std::ops::RangeInclusive;

use crate::settings::Settings;

/// A numeric setting.
pub struct NumberField {
    /// Name, with the unit as its suffix.
    pub name: &'static str,
    /// Value if the file does not set the field.
    pub default: u64,
    /// Smallest and largest allowed value.
    pub range: RangeInclusive<u64>,
    /// Returns the field of the settings that holds the value.
    pub(crate) value_mut: fn(&mut Settings) -> &mut u64,
}

const fn number(
    name: &'static str,
    default: u64,
    range: RangeInclusive<u64>,
    value_mut: fn(&mut Settings) -> &mut u64,
) -> NumberField {
    NumberField {
        name,
        default,
        range,
        value_mut,
    }
}

/// Every numeric setting, in the order of the reference page.
pub static NUMBER_FIELDS: &[NumberField] = &[
    number("seat_lease_ms", 120_000, 1_000..=3_600_000, |s| {
        &mut s.seat_lease_ms
    }),
    number("seat_renew_ms", 2_000, 50..=600_000, |s| {
        &mut s.seat_renew_ms
    }),
    number("config_stale_max_ms", 3_000, 300..=9_000, |s| {
        &mut s.config_stale_max_ms
    }),
    number("clock_skew_max_ms", 500, 1..=60_000, |s| {
        &mut s.clock_skew_max_ms
    }),
    number("append_interval_min_ms", 30, 1..=1_000, |s| {
        &mut s.append_interval_min_ms
    }),
    number("append_batch_max_records", 500, 1..=10_000, |s| {
        &mut s.append_batch_max_records
    }),
    number("append_batch_max_bytes", 196_608, 4_096..=16_777_216, |s| {
        &mut s.append_batch_max_bytes
    }),
    number("log_timeout_ms", 2_000, 50..=60_000, |s| {
        &mut s.log_timeout_ms
    }),
    number("log_read_wait_ms", 1_000, 10..=30_000, |s| {
        &mut s.log_read_wait_ms
    }),
    number("snapshot_every_records", 2_000, 100..=1_000_000, |s| {
        &mut s.snapshot_every_records
    }),
    number("instance_list_poll_ms", 500, 20..=1_500, |s| {
        &mut s.instance_list_poll_ms
    }),
    number("instance_list_timeout_ms", 1_000, 50..=60_000, |s| {
        &mut s.instance_list_timeout_ms
    }),
    number("peer_gossip_ms", 200, 20..=5_000, |s| &mut s.peer_gossip_ms),
    number("peer_timeout_ms", 1_000, 50..=60_000, |s| {
        &mut s.peer_timeout_ms
    }),
    number("body_max_bytes", 67_108_864, 1_024..=1_073_741_824, |s| {
        &mut s.body_max_bytes
    }),
    number("answer_max_bytes", 67_108_864, 1_024..=1_073_741_824, |s| {
        &mut s.answer_max_bytes
    }),
    number("later_body_max_bytes", 65_536, 0..=1_048_576, |s| {
        &mut s.later_body_max_bytes
    }),
    number(
        "bodies_max_bytes",
        268_435_456,
        65_536..=68_719_476_736,
        |s| &mut s.bodies_max_bytes,
    ),
    number("callers_max_connections", 2_048, 1..=65_536, |s| {
        &mut s.callers_max_connections
    }),
    number("header_timeout_ms", 5_000, 100..=60_000, |s| {
        &mut s.header_timeout_ms
    }),
    number("body_idle_timeout_ms", 10_000, 100..=600_000, |s| {
        &mut s.body_idle_timeout_ms
    }),
    number("waiting_max_requests", 4_096, 1..=1_000_000, |s| {
        &mut s.waiting_max_requests
    }),
    number("run_max_ms", 60_000, 10..=60_000, |s| &mut s.run_max_ms),
    number("retry_after_min_ms", 200, 1..=60_000, |s| {
        &mut s.retry_after_min_ms
    }),
    number("retry_after_max_ms", 10_000, 1..=600_000, |s| {
        &mut s.retry_after_max_ms
    }),
    number("drain_timeout_ms", 90_000, 100..=86_400_000, |s| {
        &mut s.drain_timeout_ms
    }),
    number("worker_connections_max_count", 64, 1..=64, |s| {
        &mut s.worker_connections_max_count
    }),
    number("worker_connect_timeout_ms", 300, 10..=30_000, |s| {
        &mut s.worker_connect_timeout_ms
    }),
    number("dispatch_threads_count", 256, 1..=4_096, |s| {
        &mut s.dispatch_threads_count
    }),
    number("retries_max_count", 2, 0..=10, |s| &mut s.retries_max_count),
    number("retry_budget_permille", 100, 0..=1_000, |s| {
        &mut s.retry_budget_permille
    }),
    number("eject_ms", 5_000, 100..=3_600_000, |s| &mut s.eject_ms),
    number("eject_longest_ms", 60_000, 100..=86_400_000, |s| {
        &mut s.eject_longest_ms
    }),
    number("eject_max_permille", 300, 0..=1_000, |s| {
        &mut s.eject_max_permille
    }),
    number("share_window_ms", 1_000, 50..=60_000, |s| {
        &mut s.share_window_ms
    }),
    number("move_wait_ms", 600_000, 100..=86_400_000, |s| {
        &mut s.move_wait_ms
    }),
    number("move_rest_ms", 600_000, 100..=86_400_000, |s| {
        &mut s.move_rest_ms
    }),
    number("reboot_max_ms", 300_000, 100..=86_400_000, |s| {
        &mut s.reboot_max_ms
    }),
    number("wave_trial_ms", 60_000, 0..=86_400_000, |s| {
        &mut s.wave_trial_ms
    }),
    number("moves_max_per_hour_count", 60, 0..=10_000, |s| {
        &mut s.moves_max_per_hour_count
    }),
    number("wave_failures_max_permille", 200, 0..=1_000, |s| {
        &mut s.wave_failures_max_permille
    }),
];
