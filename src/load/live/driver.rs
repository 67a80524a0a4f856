//! Plays a schedule: one thread starts each request at its time, independent of the results of
//! earlier requests, and an async runtime of callers carries it out.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use smol_str::SmolStr;
use tokio::runtime::{Builder, Runtime};

use super::balancer::Balancer;
use super::caller::{Callers, InFlightRequest};
use super::direct::DirectCallers;
use super::outcome::{End, Outcome};
use super::schedule::ScheduledRequest;
use super::targets::{CallerSettings, Targets};
use crate::error::RunState;
use crate::stand_in::worker::now_unix_us;

/// Pause before the first request, so that the balancer can find out which entries are ready.
const WARM_UP: Duration = Duration::from_millis(500);
/// Longest wait for the last requests after their deadlines.
const LAST_ANSWERS_TIMEOUT: Duration = Duration::from_secs(15);

/// Start of a schedule.
#[derive(Clone, Copy, Debug)]
pub struct Started {
    /// Time of the start on the local monotonic clock.
    pub at: Instant,
    /// Time of the start on the wall clock, in microseconds.
    pub unix_us: u64,
}

/// The callers of a run: of the entries, or directly of the workers.
enum RunCallers {
    Entries(Callers),
    Workers(DirectCallers),
}

impl RunCallers {
    async fn serve(&self, in_flight: InFlightRequest) -> Outcome {
        match self {
            Self::Entries(callers) => callers.serve(in_flight).await,
            Self::Workers(callers) => callers.serve(in_flight).await,
        }
    }
}

/// Plays `requests` and returns their outcomes in the order of the schedule. Calls `on_start` when
/// the schedule starts.
///
/// # Errors
///
/// An I/O error if the threads cannot be started.
pub fn play(
    requests: &[ScheduledRequest],
    targets: &Targets,
    settings: CallerSettings,
    on_start: impl FnOnce(Started),
) -> io::Result<(Started, Vec<Outcome>)> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(settings.threads_count.max(1))
        .thread_name("caller")
        .enable_all()
        .build()?;
    let callers = Arc::new(open_callers(&runtime, targets, settings));
    thread::sleep(WARM_UP);
    let started = Started {
        at: Instant::now(),
        unix_us: now_unix_us(),
    };
    on_start(started);
    let (sender, outcomes) = flume::bounded(requests.len().max(1));
    for (index, scheduled) in requests.iter().enumerate() {
        let in_flight = InFlightRequest::new(scheduled, index, started.at, started.unix_us);
        thread::sleep(in_flight.due.saturating_duration_since(Instant::now()));
        if Arc::strong_count(&callers) > settings.in_flight_max_count {
            let reason = SmolStr::new_static("not_sent");
            let outcome = in_flight.outcome(End::Lost { reason }, RunState::NotRun, true);
            // The channel has capacity for all outcomes.
            let _ = sender.try_send(outcome);
            continue;
        }
        let (callers, sender) = (Arc::clone(&callers), sender.clone());
        runtime.spawn(async move {
            let outcome = callers.serve(in_flight).await;
            let _ = sender.try_send(outcome);
        });
    }
    drop(sender);
    let mut outcomes = collect_outcomes(&outcomes, requests);
    outcomes.sort_by_key(|outcome| outcome.schedule_index);
    runtime.shutdown_background();
    Ok((started, outcomes))
}

fn open_callers(runtime: &Runtime, targets: &Targets, settings: CallerSettings) -> RunCallers {
    match targets {
        Targets::Entries { addresses, keys } => {
            let _context = runtime.enter();
            RunCallers::Entries(Callers {
                balancer: Balancer::spawn(addresses),
                keys: keys.clone(),
                settings,
            })
        }
        Targets::Workers { rows } => RunCallers::Workers(DirectCallers::open(rows, settings)),
    }
}

fn collect_outcomes(
    outcomes: &flume::Receiver<Outcome>,
    requests: &[ScheduledRequest],
) -> Vec<Outcome> {
    let deadline_max_ms = requests.iter().map(|scheduled| scheduled.deadline_ms).max();
    let end =
        Instant::now() + LAST_ANSWERS_TIMEOUT + Duration::from_millis(deadline_max_ms.unwrap_or(0));
    let mut collected = Vec::with_capacity(requests.len());
    while let Ok(outcome) = outcomes.recv_deadline(end) {
        collected.push(outcome);
    }
    collected
}
