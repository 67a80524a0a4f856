//! Plays a schedule: a thread sends each request at its time, whatever became of the earlier ones,
//! and the callers' runtime brings it to its end.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use smol_str::SmolStr;
use tokio::runtime::{Builder, Runtime};

use super::balancer::Balancer;
use super::caller::{Callers, Errand};
use super::direct::DirectCallers;
use super::outcome::{End, Outcome};
use super::schedule::Shot;
use super::targets::{CallerSettings, Targets};
use crate::error::RunState;
use crate::stand_in::worker::now_unix_us;

/// Pause before the first request, in which the balancer sees which entries are ready.
const WARM_UP: Duration = Duration::from_millis(500);
/// Longest time that the last requests are waited for beyond their deadlines.
const TAIL_MAX: Duration = Duration::from_secs(15);

/// When a played schedule began.
#[derive(Clone, Copy, Debug)]
pub struct Started {
    /// On the clock of this process.
    pub at: Instant,
    /// On the wall clock, in microseconds.
    pub unix_us: u64,
}

/// The callers of a run, whichever way they take.
enum Way {
    Entries(Callers),
    Workers(DirectCallers),
}

impl Way {
    async fn serve(&self, errand: Errand) -> Outcome {
        match self {
            Self::Entries(callers) => callers.serve(errand).await,
            Self::Workers(callers) => callers.serve(errand).await,
        }
    }
}

/// Plays `shots` and returns what became of each, in the order of the schedule. `on_start` is told
/// when the schedule begins.
///
/// # Errors
///
/// An error of the system if the threads cannot be started.
pub fn play(
    shots: &[Shot],
    targets: &Targets,
    settings: CallerSettings,
    on_start: impl FnOnce(Started),
) -> io::Result<(Started, Vec<Outcome>)> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(settings.threads_count.max(1))
        .thread_name("caller")
        .enable_all()
        .build()?;
    let way = Arc::new(open_way(&runtime, targets, settings));
    thread::sleep(WARM_UP);
    let started = Started {
        at: Instant::now(),
        unix_us: now_unix_us(),
    };
    on_start(started);
    let (sender, outcomes) = flume::bounded(shots.len().max(1));
    for (index, shot) in shots.iter().enumerate() {
        let errand = Errand::new(shot, index, started.at, started.unix_us);
        thread::sleep(errand.due.saturating_duration_since(Instant::now()));
        if Arc::strong_count(&way) > settings.in_flight_max_count {
            let reason = SmolStr::new_static("not_sent");
            let outcome = errand.outcome(End::Lost { reason }, RunState::NotRun, true);
            // The ring has room for all.
            let _ = sender.try_send(outcome);
            continue;
        }
        let (way, sender) = (Arc::clone(&way), sender.clone());
        runtime.spawn(async move {
            let outcome = way.serve(errand).await;
            let _ = sender.try_send(outcome);
        });
    }
    drop(sender);
    let mut outcomes = gather(&outcomes, shots);
    outcomes.sort_by_key(|outcome| outcome.shot);
    runtime.shutdown_background();
    Ok((started, outcomes))
}

fn open_way(runtime: &Runtime, targets: &Targets, settings: CallerSettings) -> Way {
    match targets {
        Targets::Entries { addresses, keys } => {
            let _context = runtime.enter();
            Way::Entries(Callers {
                balancer: Balancer::spawn(addresses),
                keys: keys.clone(),
                settings,
            })
        }
        Targets::Workers { rows } => Way::Workers(DirectCallers::open(rows, settings)),
    }
}

fn gather(outcomes: &flume::Receiver<Outcome>, shots: &[Shot]) -> Vec<Outcome> {
    let longest_ms = shots.iter().map(|shot| shot.deadline_ms).max();
    let end = Instant::now() + TAIL_MAX + Duration::from_millis(longest_ms.unwrap_or(0));
    let mut gathered = Vec::with_capacity(shots.len());
    while let Ok(outcome) = outcomes.recv_deadline(end) {
        gathered.push(outcome);
    }
    gathered
}
