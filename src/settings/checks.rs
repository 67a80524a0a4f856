//! Checks of the settings against each other.

use crate::findings::FindingKind;
use crate::jsonc::Document;
use crate::settings::Settings;

/// A rule about two settings.
struct Rule {
    /// Field that the finding is about.
    field: &'static str,
    /// Whether the settings meet the rule.
    is_met: bool,
    /// What is wrong if they do not meet it.
    problem: &'static str,
    /// What to write instead.
    instead: String,
}

/// Reports every rule that the settings break.
pub(crate) fn check(document: &Document<'_>, settings: &Settings) {
    let rules = lease_rules(settings)
        .into_iter()
        .chain(append_rules(settings))
        .chain(request_rules(settings))
        .chain(worker_rules(settings));
    for rule in rules.filter(|rule| !rule.is_met) {
        document.error(
            FindingKind::CannotHold,
            rule.field,
            rule.problem,
            &rule.instead,
        );
    }
    check_addresses(document, settings);
}

fn lease_rules(s: &Settings) -> Vec<Rule> {
    vec![
        Rule {
            field: "seat_renew_ms",
            is_met: s.seat_renew_ms < s.seat_lease_ms / 3,
            problem: "the seat's lease would expire after fewer than three lost renewals",
            instead: format!("write less than {}", s.seat_lease_ms / 3),
        },
        Rule {
            field: "clock_skew_max_ms",
            is_met: s.clock_skew_max_ms < s.seat_lease_ms / 4,
            problem: "the clocks may differ by a quarter of the seat's lease or more",
            instead: format!("write less than {}", s.seat_lease_ms / 4),
        },
        Rule {
            field: "config_stale_max_ms",
            is_met: s.config_stale_max_ms >= 3 * s.peer_gossip_ms,
            problem: "an entry would refuse work after fewer than three lost peer messages",
            instead: format!(
                "write at least {}, three times `peer_gossip_ms`",
                3 * s.peer_gossip_ms
            ),
        },
        Rule {
            field: "log_read_wait_ms",
            is_met: s.log_read_wait_ms < s.log_timeout_ms,
            problem: "a read would time out while the log still waits for a record",
            instead: format!("write less than {}, the `log_timeout_ms`", s.log_timeout_ms),
        },
        Rule {
            field: "log_read_wait_ms",
            is_met: s.log_read_wait_ms < s.config_stale_max_ms,
            problem: "a read of an idle log would be answered only after `config_stale_max_ms`",
            instead: format!("write less than {}", s.config_stale_max_ms),
        },
    ]
}

fn append_rules(s: &Settings) -> Vec<Rule> {
    vec![
        Rule {
            field: "snapshot_every_records",
            is_met: s.snapshot_every_records >= s.append_batch_max_records,
            problem: "a single append could make a snapshot due",
            instead: format!(
                "write at least {}, the `append_batch_max_records`",
                s.append_batch_max_records
            ),
        },
        Rule {
            field: "later_body_max_bytes",
            is_met: s.later_body_max_bytes <= s.append_batch_max_bytes / 2,
            problem: "a body accepted for later would not fit in one append after encoding",
            instead: format!("write {} or less", s.append_batch_max_bytes / 2),
        },
        Rule {
            field: "later_body_max_bytes",
            is_met: s.later_body_max_bytes <= s.body_max_bytes,
            problem: "the limit for bodies accepted for later is above the limit for all bodies",
            instead: format!("write {} or less", s.body_max_bytes),
        },
    ]
}

fn request_rules(s: &Settings) -> Vec<Rule> {
    let largest_bytes = s.body_max_bytes.max(s.answer_max_bytes);
    vec![
        Rule {
            field: "bodies_max_bytes",
            is_met: s.bodies_max_bytes >= largest_bytes,
            problem: "one body or answer of the largest size would not fit",
            instead: format!("write at least {largest_bytes}"),
        },
        Rule {
            field: "drain_timeout_ms",
            is_met: s.drain_timeout_ms >= s.run_max_ms,
            problem: "a stopping entry would cut off tasks that may still be running",
            instead: format!("write at least {}, the `run_max_ms`", s.run_max_ms),
        },
        Rule {
            field: "retry_after_max_ms",
            is_met: s.retry_after_max_ms >= s.retry_after_min_ms,
            problem: "the longest wait is shorter than the shortest",
            instead: format!("write at least {}", s.retry_after_min_ms),
        },
    ]
}

fn worker_rules(s: &Settings) -> Vec<Rule> {
    vec![
        Rule {
            field: "worker_connect_timeout_ms",
            is_met: s.worker_connect_timeout_ms < s.run_max_ms,
            problem: "a connection may take as long as the longest task",
            instead: format!("write less than {}, the `run_max_ms`", s.run_max_ms),
        },
        Rule {
            field: "eject_longest_ms",
            is_met: s.eject_longest_ms >= s.eject_ms,
            problem: "the longest ejection is shorter than the first",
            instead: format!("write at least {}, the `eject_ms`", s.eject_ms),
        },
        Rule {
            field: "move_rest_ms",
            is_met: s.move_rest_ms >= s.move_wait_ms,
            problem:
                "an instance could be moved back before a shortage is distinguished from a burst",
            instead: format!("write at least {}, the `move_wait_ms`", s.move_wait_ms),
        },
    ]
}

/// Reports an error if two addresses of the entry are the same, if its peers could not reach it, or
/// if there is no address of the log service.
fn check_addresses(document: &Document<'_>, settings: &Settings) {
    let own = [
        ("callers_address", settings.callers_address),
        ("peers_address", settings.peers_address),
        ("operators_address", settings.operators_address),
    ];
    for (at, (field, address)) in own.iter().enumerate() {
        let same = own[..at]
            .iter()
            .find(|(_, other)| other == address && other.port() != 0);
        if let Some((other, _)) = same {
            document.error(
                FindingKind::Duplicate,
                field,
                &format!("`{address}` is already the `{other}`"),
                "write another port",
            );
        }
    }
    if settings.peers_address.ip().is_unspecified() {
        document.error(
            FindingKind::CannotHold,
            "peers_address",
            "this address is advertised to the other entries, which could not reach it",
            "write the IP address of this instance",
        );
    }
    if document.has("log_addresses") && !document.has("log_addresses[0]") {
        document.error(
            FindingKind::CannotHold,
            "log_addresses",
            "there is no address of the log service",
            "write at least one",
        );
    }
}
