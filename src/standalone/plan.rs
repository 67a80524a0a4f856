//! Random example requests to an example deployment, generated from a seed.

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

/// Longest run time of a task that is not cancelled, in milliseconds.
const RUN_MAX_MS: u64 = 30;

/// Run time of a task that is cancelled, in milliseconds; long enough that the cancellation arrives
/// first.
const CANCELLED_RUN_MS: u64 = 3_000;

/// Minimum length of the shortest answer, in bytes; each request asks for one byte more than the
/// one before, so that no two bodies are equal.
const ANSWER_MIN_BYTES: u64 = 300;

/// Size in thousandths of a core that exceeds the limit of every plan.
const TOO_LARGE_CORES_MILLI: u64 = 1 << 30;

/// The calls that a caller makes for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum CallPattern {
    /// Calls and waits for the answer.
    Call,
    /// Submits the work for later, and polls another entry for the answer.
    Later,
    /// Calls two entries concurrently with the same request id.
    Repeat,
    /// Calls, and cancels the request at another entry while the work runs.
    Cancel,
    /// Makes a faulty call that must be refused with this kind.
    Faulty(ErrorKind),
}

/// Frequency of each pattern, in thousandths.
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

/// Fraction of the requests that go to queues open to all, in thousandths.
const OPEN_PERMILLE: u32 = 100;

/// One example request.
#[derive(Clone, Debug)]
pub struct ExampleRequest {
    /// The request that is sent.
    pub request: CallerRequest,
    /// Calls that the caller makes.
    pub pattern: CallPattern,
    /// Team that the work may run for; empty for a queue open to all.
    pub team: TeamName,
    /// Index of the entry that is called first.
    pub entry_index: usize,
    /// Index of the entry that receives the other calls.
    pub other_entry_index: usize,
}

/// The deployment that the requests are generated for.
#[derive(Clone, Copy, Debug)]
pub struct PlanInput<'a> {
    /// Published lists.
    pub lists: &'a Lists,
    /// Fleet file, for its demand streams.
    pub fleet: &'a FleetFile,
    /// Key of each team.
    pub keys: &'a IndexMap<TeamName, SmolStr>,
    /// Number of entries.
    pub entries_count: usize,
    /// Time stamp in the request ids.
    pub now_unix_ms: UnixMs,
}

/// Generates `requests_count` requests; they depend only on the input and the seed.
pub fn draw_requests(
    input: &PlanInput<'_>,
    requests_count: usize,
    seed: u64,
) -> Vec<ExampleRequest> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    (0..requests_count)
        .filter_map(|index| draw_request(input, index, &mut rng))
        .collect()
}

fn draw_request(
    input: &PlanInput<'_>,
    index: usize,
    rng: &mut ChaCha8Rng,
) -> Option<ExampleRequest> {
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
    let spec = TaskSpec {
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
        // A repeated call tests deduplication only if a second run would be a fault.
        is_idempotent: pattern != CallPattern::Repeat
            && rng.random_ratio(stream.idempotent_permille.min(1_000), 1_000),
        size: stream.size,
        declared_run_ms: run_ms,
        is_for_later: pattern == CallPattern::Later,
        body: serde_json::to_vec(&spec).unwrap_or_default().into(),
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
