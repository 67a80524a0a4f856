//! Fault scripts: faults of the stand-ins and the entries, with their times. A script is read from
//! a file in JSON with comments, or generated from a seed.

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use crate::fleet::{InstanceName, InstanceRow, TeamName};
use crate::stand_in::instances::InstanceFaults;
use crate::stand_in::log::LogFaults;
use crate::stand_in::worker_state::{AnswerFault, WorkerFaults};

/// Mean time between two faults of a mixed script, in milliseconds.
const MIXED_GAP_MS: u64 = 4_000;
/// Time without faults at the start and the end of a mixed script, in milliseconds.
const MIXED_EDGE_MS: u64 = 3_000;

/// Signal to the process of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Signal {
    /// Ends the process at once.
    Kill,
    /// Pauses the process.
    Stop,
    /// Resumes the process.
    Cont,
    /// Requests a graceful stop.
    Term,
}

/// Change of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum InstanceOrder {
    /// The platform announces that it will remove the instance.
    Leave,
    /// The instance is removed.
    Remove,
    /// The instance restarts at once; its running requests are killed.
    Replace,
}

/// The start or the end of a fault.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Sets the faults of the log.
    Log(LogFaults),
    /// Sets the faults of the instance list.
    Instances(InstanceFaults),
    /// Sets the faults of a worker.
    Worker {
        /// Instance of the worker.
        name: InstanceName,
        /// New faults of the worker.
        faults: WorkerFaults,
    },
    /// Changes the instance list.
    Instance {
        /// Instance.
        name: InstanceName,
        /// Change of the instance.
        order: InstanceOrder,
    },
    /// Sends a signal to an entry.
    Entry {
        /// Index of the entry on the command line.
        index: usize,
        /// Signal to send.
        signal: Signal,
    },
    /// Withdraws a key, by a call to one of the entries.
    WithdrawKey {
        /// Team.
        team: TeamName,
        /// Index of the key among the team's keys.
        key: usize,
    },
}

/// A fault with its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Time of the fault, in milliseconds after the start of the load.
    pub at_ms: u64,
    /// The fault.
    pub fault: Fault,
}

/// Reads a script: an array of steps, in JSON with comments.
///
/// # Errors
///
/// A text that describes what is wrong with the script.
pub fn parse(text: &str) -> Result<Vec<Step>, String> {
    let value: Option<serde_json::Value> =
        jsonc_parser::parse_to_serde_value(text, &jsonc_parser::ParseOptions::default())
            .map_err(|error| error.to_string())?;
    let mut steps: Vec<Step> =
        serde_json::from_value(value.unwrap_or_default()).map_err(|error| error.to_string())?;
    steps.sort_by_key(|step| step.at_ms);
    Ok(steps)
}

/// Settings of a mixed script.
#[derive(Clone, Copy, Debug)]
pub struct MixedSettings<'a> {
    /// Seed of all random choices.
    pub seed: u64,
    /// Length of the load.
    pub duration_ms: u64,
    /// Instances that may have faults.
    pub rows: &'a [InstanceRow],
    /// Number of entries whose processes may get signals.
    pub entries_count: usize,
    /// Teams with a second key, which may be withdrawn.
    pub teams: &'a [TeamName],
}

/// Generates a script that mixes all kinds of faults; they may overlap and repeat.
pub fn mixed(settings: &MixedSettings<'_>) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
    let mut steps = Vec::new();
    let mut teams = settings.teams.iter();
    let mut at_ms = MIXED_EDGE_MS;
    while at_ms + 2 * MIXED_EDGE_MS < settings.duration_ms {
        // Leaving instances, withdrawn keys and entry faults are rarer than the rest.
        let faults = match rng.random_range(0..14u32) {
            0..=3 => log_fault(&mut rng),
            4 => temporary(
                Fault::Instances(InstanceFaults {
                    lag_ms: 1_000,
                    ..InstanceFaults::default()
                }),
                5_000,
                Fault::Instances(InstanceFaults::default()),
            ),
            5..=8 => worker_fault(&mut rng, settings),
            9..=10 => instance_fault(&mut rng, settings),
            11..=12 => entry_fault(&mut rng, settings),
            _ => withdrawal(teams.next()),
        };
        for (after_ms, fault) in faults {
            steps.push(Step {
                at_ms: at_ms + after_ms,
                fault,
            });
        }
        at_ms += rng.random_range(MIXED_GAP_MS / 2..MIXED_GAP_MS * 3 / 2);
    }
    steps.sort_by_key(|step| step.at_ms);
    steps
}

/// Returns a fault that ends after `length_ms`.
fn temporary(fault: Fault, length_ms: u64, end: Fault) -> Vec<(u64, Fault)> {
    vec![(0, fault), (length_ms, end)]
}

fn log_fault(rng: &mut impl Rng) -> Vec<(u64, Fault)> {
    let none = LogFaults::default();
    let (faults, length_ms) = match rng.random_range(0..5u32) {
        0 => (
            LogFaults {
                is_down: true,
                ..none
            },
            5_000,
        ),
        1 => (
            LogFaults {
                delay_ms: 300,
                ..none
            },
            5_000,
        ),
        2 => (
            LogFaults {
                answer_lost_count: 10,
                ..none
            },
            3_000,
        ),
        3 => (
            LogFaults {
                doubled_count: 10,
                ..none
            },
            3_000,
        ),
        _ => (
            LogFaults {
                late_count: 5,
                late_ms: 1_500,
                ..none
            },
            4_000,
        ),
    };
    temporary(Fault::Log(faults), length_ms, Fault::Log(none))
}

fn worker_fault(rng: &mut impl Rng, settings: &MixedSettings<'_>) -> Vec<(u64, Fault)> {
    let Some(name) = instance(rng, settings) else {
        return Vec::new();
    };
    let none = WorkerFaults::default();
    let answer_fault = |answer| WorkerFaults {
        answer,
        answer_permille: 500,
        ..none
    };
    let faults = match rng.random_range(0..8u32) {
        0 => WorkerFaults {
            is_failing_all: true,
            ..none
        },
        1 => WorkerFaults {
            is_frozen: true,
            ..none
        },
        2 => WorkerFaults {
            answer_delay_ms: 700,
            ..none
        },
        3 => WorkerFaults {
            run_time_permille: 10_000,
            ..none
        },
        4 => answer_fault(AnswerFault::Crossed),
        5 => answer_fault(AnswerFault::Truncated),
        6 => answer_fault(AnswerFault::Doubled),
        _ => answer_fault(AnswerFault::Silent),
    };
    let with = |faults| Fault::Worker {
        name: name.clone(),
        faults,
    };
    temporary(with(faults), 5_000, with(none))
}

fn instance_fault(rng: &mut impl Rng, settings: &MixedSettings<'_>) -> Vec<(u64, Fault)> {
    let Some(name) = instance(rng, settings) else {
        return Vec::new();
    };
    let with = |order| Fault::Instance {
        name: name.clone(),
        order,
    };
    match rng.random_bool(0.5) {
        true => temporary(
            with(InstanceOrder::Leave),
            8_000,
            with(InstanceOrder::Replace),
        ),
        false => vec![(0, with(InstanceOrder::Replace))],
    }
}

fn entry_fault(rng: &mut impl Rng, settings: &MixedSettings<'_>) -> Vec<(u64, Fault)> {
    if settings.entries_count == 0 {
        return Vec::new();
    }
    let index = rng.random_range(0..settings.entries_count);
    let with = |signal| Fault::Entry { index, signal };
    match rng.random_range(0..3u32) {
        0 => vec![(0, with(Signal::Kill))],
        1 => vec![(0, with(Signal::Term))],
        _ => temporary(with(Signal::Stop), 4_000, with(Signal::Cont)),
    }
}

fn withdrawal(team: Option<&TeamName>) -> Vec<(u64, Fault)> {
    let withdraw = |team: &TeamName| Fault::WithdrawKey {
        team: team.clone(),
        key: 1,
    };
    team.map(|team| (0, withdraw(team))).into_iter().collect()
}

fn instance(rng: &mut impl Rng, settings: &MixedSettings<'_>) -> Option<InstanceName> {
    let count = settings.rows.len();
    let row = settings.rows.get(rng.random_range(0..count.max(1)))?;
    Some(row.name.clone())
}
