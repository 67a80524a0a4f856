//! Callers that send example requests over HTTP, each according to its call pattern.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use crate::adapters::callers_client::{CallersClient, ReceivedAnswer, STATUS_ACCEPTED};
use crate::error::ErrorKind;
use crate::standalone::plan::{CallPattern, ExampleRequest};

/// Number of callers that send requests concurrently.
const CALLERS_COUNT: usize = 16;

/// Delay between a call and its cancellation.
const CANCEL_AFTER: Duration = Duration::from_millis(150);

/// Interval between two polls for work that was submitted for later.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long a caller continues to poll after the deadline.
const POLL_GRACE: Duration = Duration::from_secs(10);

/// The answer to a call, or why none was received.
pub type Received = Result<ReceivedAnswer, SmolStr>;

/// One example request with the answers that its caller received.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The request.
    pub example: ExampleRequest,
    /// The last answer to each call that submitted the work.
    pub answers: Vec<Received>,
}

/// Sends all requests to the entries at `addresses` and returns the outcome of each request.
pub fn send_all(addresses: &[SocketAddr], requests: Vec<ExampleRequest>) -> Vec<Outcome> {
    let (requests_sender, requests_receiver) = flume::bounded(CALLERS_COUNT);
    let (outcomes_sender, outcomes_receiver) = flume::bounded(CALLERS_COUNT);
    thread::scope(|scope| {
        for _ in 0..CALLERS_COUNT {
            let requests = requests_receiver.clone();
            let outcomes = outcomes_sender.clone();
            scope.spawn(move || {
                for example in requests {
                    let answers = send(addresses, &example);
                    // The receiver outlives the callers.
                    let _ = outcomes.send(Outcome { example, answers });
                }
            });
        }
        drop((requests_receiver, outcomes_sender));
        scope.spawn(move || {
            for request in requests {
                let _ = requests_sender.send(request);
            }
        });
        outcomes_receiver.iter().collect()
    })
}

fn send(addresses: &[SocketAddr], example: &ExampleRequest) -> Vec<Received> {
    let request = &example.request;
    let entry = CallersClient::open(addresses[example.entry_index]);
    let other = CallersClient::open(addresses[example.other_entry_index]);
    match example.pattern {
        CallPattern::Call | CallPattern::Faulty(_) => vec![entry.call(request)],
        CallPattern::Later => vec![submit_and_fetch(entry, other, example)],
        CallPattern::Repeat => thread::scope(|scope| {
            let repeated = scope.spawn(|| other.call(request));
            let first = entry.call(request);
            vec![first, joined(repeated)]
        }),
        CallPattern::Cancel => thread::scope(|scope| {
            let called = scope.spawn(|| entry.call(request));
            thread::sleep(CANCEL_AFTER);
            // Only the end of the call matters; the cancellation may arrive too late.
            let _ = other.cancel(request);
            vec![joined(called)]
        }),
    }
}

fn joined(thread: thread::ScopedJoinHandle<'_, Received>) -> Received {
    thread
        .join()
        .unwrap_or_else(|_| Err(SmolStr::new_static("the caller's thread panicked")))
}

fn submit_and_fetch(
    entry: CallersClient,
    other: CallersClient,
    example: &ExampleRequest,
) -> Received {
    let submitted = entry.call(&example.request)?;
    if submitted.status != STATUS_ACCEPTED {
        return Ok(submitted);
    }
    let end = Instant::now() + Duration::from_millis(example.request.deadline_ms) + POLL_GRACE;
    loop {
        let answer = other.fetch(&example.request);
        match &answer {
            // The other entry may learn of the job a little later.
            Ok(answer) if is_unfinished(answer) && Instant::now() < end => {}
            Ok(answer) if answer.status == STATUS_ACCEPTED => {
                return Err(SmolStr::new_static("accepted work did not end in time"))
            }
            _ => return answer,
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn is_unfinished(answer: &ReceivedAnswer) -> bool {
    answer.status == STATUS_ACCEPTED || answer.kind == Some(ErrorKind::UnknownJob)
}
