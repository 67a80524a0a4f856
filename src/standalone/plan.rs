//! Example requests: what callers of an example deployment send, drawn from a seed.

use indexmap::IndexMap;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::{format_smolstr, SmolStr};
use uuid::Uuid;

use crate::{
    callers::CallerRequest,
    error::ErrorKind,
    fleet::{Resources, TeamName, UnixMs},
    fleet_file::{DemandStream, FleetFile},
    lists::Lists,
    stand_in::task::TaskSpec,
};

/// Deadline of each request, in milliseconds.
const DEADLINE_MS: u64 = 30_000;

/// Longest run of a task that is not cancelled, in milliseconds.
const RUN_MAX_MS: u64 = 30;

/// Run of a task that is cancelled, in milliseconds; it would end long after the cancel.
const CANCELLED_RUN_MS: u64 = 3_000;

/// Least length of the shortest answer, in bytes; each request asks for one byte more than the one
/// before, so that no two bodies are alike.
const ANSWER_MIN_BYTES: u64 = 300;

/// More than any plan allows, in thousandths of a core.
const TOO_LARGE_CORES_MILLI: u64 = 1 << 30;

/// How a caller behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum CallPattern {
    /// It calls and waits.
    Call,
    /// It hands the work over for later, and polls another entry for the answer.
    Later,
    /// It calls two entries at once with one id.
    Repeat,
    /// It calls, and cancels at another entry while the work runs.
    Cancel,
    /// It calls with a fault for which it must be refused.
    Faulty(ErrorKind),
}

/// How often callers behave so, out of a thousand.
const PATTERNS_PERMILLE: [(CallPattern, u32); 8] = [
    (CallPattern::Call, 660),
    (CallPattern::Later, 100),
    (CallPattern::Repeat, 100),
    (CallPattern::Cancel, 40),
    (CallPattern::Faulty(ErrorKind::KeyUnknown), 30),
    (CallPattern::Faulty(ErrorKind::KeyMissing), 20),
    (CallPattern::Faulty(ErrorKind::TooLarge), 30),
    (CallPattern::Faulty(ErrorKind::UnknownQueue), 20),
];

/// Requests to queues open to all, out of a thousand.
const OPEN_PERMILLE: u32 = 100;

/// One example request.
#[derive(Clone, Debug)]
pub struct ExampleRequest {
    /// What is sent.
    pub request: CallerRequest,
    /// How the caller behaves.
    pub pattern: CallPattern,
    /// Team that the work may run for; empty for a queue open to all.
    pub team: TeamName,
    /// Entry that is called first.
    pub entry_index: usize,
    /// Entry that is called for all else.
    pub other_entry_index: usize,
}

/// What the requests are drawn from.
#[derive(Clone, Copy, Debug)]
pub struct PlanInput<'a> {
    /// Lists in force.
    pub lists: &'a Lists,
    /// Fleet, for its streams of demand.
    pub fleet: &'a FleetFile,
    /// A key of each team.
    pub keys: &'a IndexMap<TeamName, SmolStr>,
    /// Entries that may be called.
    pub entries_count: usize,
    /// Time at which the ids are issued.
    pub now_unix_ms: UnixMs,
}

/// Draws `requests_count` requests; the same seed and time give the same ones.
pub fn draw(input: &PlanInput<'_>, requests_count: usize, seed: u64) -> Vec<ExampleRequest> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    (0..requests_count)
        .filter_map(|index| draw_one(input, index, &mut rng))
        .collect()
}

fn draw_one(input: &PlanInput<'_>, index: usize, rng: &mut ChaCha8Rng) -> Option<ExampleRequest> {
    let streams = &input.fleet.demand;
    let stream = streams.get(rng.random_range(0..streams.len().max(1)))?;
    let open_queue = open_queue(input.lists).filter(|_| rng.random_ratio(OPEN_PERMILLE, 1_000));
    let pattern = match open_queue {
        Some(_) => CallPattern::Call,
        None => draw_pattern(rng),
    };
    let mut request = request_of(input, stream, index, pattern, rng);
    let mut team = stream.team.clone().unwrap_or_default();
    if let Some(queue) = open_queue {
        request.queue = queue;
        request.key = None;
        team = TeamName::default();
    }
    let entry_index = rng.random_range(0..input.entries_count.max(1));
    Some(ExampleRequest {
        request: with_fault(request, pattern),
        pattern,
        team,
        entry_index,
        other_entry_index: (entry_index + 1) % input.entries_count.max(1),
    })
}

fn request_of(
    input: &PlanInput<'_>,
    stream: &DemandStream,
    index: usize,
    pattern: CallPattern,
    rng: &mut ChaCha8Rng,
) -> CallerRequest {
    let run_ms = match pattern {
        CallPattern::Cancel => CANCELLED_RUN_MS,
        _ => rng.random_range(1..=RUN_MAX_MS),
    };
    let order = TaskSpec {
        run_ms,
        answer_bytes: ANSWER_MIN_BYTES + index as u64,
        is_failing: false,
    };
    let team = stream.team.clone().unwrap_or_default();
    CallerRequest {
        request_id: request_id(input.now_unix_ms, rng),
        key: input.keys.get(&team).cloned(),
        queue: stream.queue.clone(),
        deadline_ms: DEADLINE_MS,
        // A repetition shows something only if a second run would do harm.
        is_idempotent: pattern != CallPattern::Repeat
            && rng.random_ratio(stream.idempotent_permille.min(1_000), 1_000),
        size: stream.size,
        declared_run_ms: run_ms,
        is_for_later: pattern == CallPattern::Later,
        body: serde_json::to_vec(&order).unwrap_or_default().into(),
    }
}

fn with_fault(request: CallerRequest, pattern: CallPattern) -> CallerRequest {
    match pattern {
        CallPattern::Faulty(ErrorKind::KeyUnknown) => CallerRequest {
            key: request.key.map(|key| format_smolstr!("{key}0")),
            ..request
        },
        CallPattern::Faulty(ErrorKind::KeyMissing) => CallerRequest {
            key: None,
            ..request
        },
        CallPattern::Faulty(ErrorKind::TooLarge) => CallerRequest {
            size: Resources {
                cores_milli: TOO_LARGE_CORES_MILLI,
                ..request.size
            },
            ..request
        },
        CallPattern::Faulty(ErrorKind::UnknownQueue) => CallerRequest {
            queue: SmolStr::new_static("no-such-queue"),
            ..request
        },
        _ => request,
    }
}

fn draw_pattern(rng: &mut ChaCha8Rng) -> CallPattern {
    let mut point = rng.random_range(0..1_000);
    for (pattern, permille) in PATTERNS_PERMILLE {
        match point < permille {
            true => return pattern,
            false => point -= permille,
        }
    }
    CallPattern::Call
}

fn open_queue(lists: &Lists) -> Option<SmolStr> {
    let mut queues = lists.entitlements.queues.iter();
    queues
        .find(|queue| queue.is_open_to_all)
        .map(|queue| queue.name.clone())
}

fn request_id(now_unix_ms: UnixMs, rng: &mut ChaCha8Rng) -> SmolStr {
    let mut random = [0; 10];
    rng.fill_bytes(&mut random);
    let id: Uuid = uuid::Builder::from_unix_timestamp_millis(now_unix_ms, &random).into_uuid();
    format_smolstr!("{}", id.hyphenated())
}
