//! Graceful stops of entries: requests in flight are answered, refusals carry a retry time, and the
//! other entries soon hold the parts of limits and the jobs of the stopped one.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use hawthornladder::entry::{EntryStatus, Event};
use serde_json::json;

use crate::calling::{fetch_job, Call, Reply, Unanswered};
use crate::cluster::Cluster;
use crate::engines::{succeeded, Engines};
use crate::small_cluster::{callers, set_pool_faults, spawn};

const NO_MOVES: &str = r#""moves_max_per_hour_count": 0"#;

/// Time within which a stopped entry's parts of limits must be free or with the other entries.
const RELEASE_MAX: Duration = Duration::from_secs(5);

/// Run time of the last call to a stopping entry.
const LAST_RUN_MS: u64 = 2_000;

/// Pause of a caller after a refusal.
const REFUSED_RETRY_PAUSE: Duration = Duration::from_millis(50);

type Outcome = Result<Reply, Unanswered>;

/// Threads that call one entry until they are stopped, and the outcome of each request id.
struct Callers {
    is_stopped: Arc<AtomicBool>,
    outcomes: Arc<Mutex<Vec<(String, Outcome)>>>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Callers {
    fn spawn(address: &str, key: &str, run_ms: u64, threads_count: usize) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let outcomes = Arc::new(Mutex::new(Vec::new()));
        let threads = (0..threads_count).map(|_| {
            let (is_stopped, outcomes) = (Arc::clone(&is_stopped), Arc::clone(&outcomes));
            let (address, key) = (address.to_owned(), key.to_owned());
            thread::spawn(move || {
                while !is_stopped.load(Ordering::Relaxed) {
                    let call = Call::new("maps", &key, run_ms).at_most_once();
                    let outcome = call.try_send(&address);
                    let outcome = outcome.map(|answer| Reply::of(Some(answer)));
                    let is_refused = outcome.as_ref().map_or(true, |reply| !reply.is_done());
                    outcomes.lock().unwrap().push((call.request_id, outcome));
                    if is_refused {
                        thread::sleep(REFUSED_RETRY_PAUSE);
                    }
                }
            })
        });
        Self {
            threads: threads.collect(),
            is_stopped,
            outcomes,
        }
    }

    /// Returns whether any call so far had an outcome for which `is_met` returns true.
    fn had(&self, is_met: impl Fn(&Outcome) -> bool) -> bool {
        let outcomes = self.outcomes.lock().unwrap();
        outcomes.iter().any(|(_, outcome)| is_met(outcome))
    }

    fn stop(self) -> Vec<(String, Outcome)> {
        self.is_stopped.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("callers do not panic");
        }
        std::mem::take(&mut *self.outcomes.lock().unwrap())
    }
}

/// Asserts that every call succeeded after a single run, was refused without a run and with a retry
/// time, or did not connect.
fn assert_none_interrupted(cluster: &Cluster, outcomes: &[(String, Outcome)]) {
    let runs = cluster.stand_ins.runs();
    for (request_id, outcome) in outcomes {
        let runs = runs.iter().filter(|run| run.request_id == *request_id);
        let runs_count = runs.count();
        let is_graceful = match outcome {
            Ok(reply) if reply.is_done() => runs_count == 1,
            Ok(reply) => {
                runs_count == 0 && reply.ran == "not_run" && reply.retry_after_ms.is_some()
            }
            Err(Unanswered::NotConnected) => runs_count == 0,
            Err(Unanswered::Lost) => false,
        };
        assert!(is_graceful, "{runs_count} runs: {outcome:?}");
    }
}

/// A stopping entry answers the requests in flight, refuses new ones with a retry time, and stops
/// listening when it exits. A call that runs for [`LAST_RUN_MS`] keeps it draining meanwhile.
#[test]
fn a_stopping_entry_cuts_nothing_and_refuses_with_a_time_to_come_back() {
    let mut cluster = spawn(3, NO_MOVES);
    let (_, key) = cluster.grant("desk");
    let load = Callers::spawn(&cluster.entries[0].callers_address, &key, 250, 12);
    thread::sleep(Duration::from_millis(600));
    let last = Call::new("maps", &key, LAST_RUN_MS).at_most_once();
    let last_id = last.request_id.clone();
    let address = cluster.entries[0].callers_address.clone();
    let last = thread::spawn(move || last.send(&address));
    cluster.wait_until("the last call runs", |cluster| {
        cluster.runs_of(&last_id) == 1
    });
    cluster.entries[0].process.signal(libc::SIGTERM);
    cluster.wait_until("a call is refused as draining", |_| {
        load.had(|outcome| outcome.as_ref().is_ok_and(|reply| reply.kind == "draining"))
    });
    // A second signal changes nothing.
    assert!(cluster.entries[0].process.terminate().success());
    assert!(last.join().expect("the caller does not panic").is_done());
    cluster.wait_until("a call finds the port closed", |_| {
        load.had(|outcome| *outcome == Err(Unanswered::NotConnected))
    });
    assert_none_interrupted(&cluster, &load.stop());
}

#[test]
fn a_stopped_entrys_part_of_a_limit_is_with_the_others_at_once() {
    let mut cluster = spawn(3, NO_MOVES);
    let (_, key) = cluster.grant("desk");
    let load = Callers::spawn(&cluster.entries[0].callers_address, &key, 100, 24);
    cluster.wait_until("the entry holds a part of the team's limit", |cluster| {
        let status = cluster.entries[0].status();
        status.teams["desk"].allowance_requests >= 8
    });
    let seat = cluster.entries[0].status().seat;
    assert!(cluster.entries[0].process.terminate().success());
    let end = Instant::now() + RELEASE_MAX;
    loop {
        let status = [1, 2].map(|index| cluster.entries[index].status());
        if is_released("desk", &seat, &status) {
            break;
        }
        assert!(Instant::now() < end, "{status:?}");
        thread::sleep(Duration::from_millis(20));
    }
    assert_none_interrupted(&cluster, &load.stop());
}

/// Returns whether the ended `seat` holds nothing of the limit of `team`, according to all others.
fn is_released(team: &str, seat: &str, others: &[EntryStatus]) -> bool {
    let held = others.iter().map(|row| row.teams[team].allowance_requests);
    let row = others[0].teams[team];
    let is_whole = held.sum::<u32>() + row.free_requests == row.limit_requests;
    is_whole && !others[0].live_seats.iter().any(|live| live == seat)
}

/// The part of the engines in the time that the test above bounds, whatever the load of the machine.
#[test]
fn a_stopped_entrys_part_of_a_limit_is_released_in_time() {
    const TEAM: &str = "ionosphere-desk";
    let mut engines = Engines::open(3);
    let key = engines.grant(TEAM);
    let calls: Vec<_> = (0..24).map(|_| engines.request(&key, true)).collect();
    for request in &calls {
        engines.call(0, request);
    }
    engines.advance_until(10_000, |engines| {
        let status = engines.nodes[0].engine.status();
        status.teams[TEAM].allowance_requests >= 8
    });
    let seat = engines.nodes[0].engine.status().seat;
    engines.step(0, Event::Drain);
    while !engines.nodes[0].attempts.is_empty() {
        engines.end_attempt(0, succeeded());
    }
    engines.advance_until(RELEASE_MAX.as_millis() as u64, |engines| {
        let status = [1, 2].map(|index| engines.nodes[index].engine.status());
        engines.nodes[0].is_drained && is_released(TEAM, &seat, &status)
    });
}

#[test]
fn a_stopped_entrys_jobs_run_once_at_the_others() {
    let mut cluster = spawn(3, NO_MOVES);
    let (_, key) = cluster.grant("desk");
    // More jobs than the pool runs at once, so that some run and some wait.
    let jobs: Vec<Call> = (0..100)
        .map(|index| {
            let job = Call::new("maps", &key, 400).for_later().deadline_ms(60_000);
            match index % 2 {
                0 => job.at_most_once(),
                _ => job,
            }
        })
        .collect();
    let address = cluster.entries[0].callers_address.clone();
    let accepted: Vec<_> = jobs
        .iter()
        .map(|job| {
            let (job, address) = (job.clone(), address.clone());
            thread::spawn(move || job.send(&address).status)
        })
        .collect();
    for thread in accepted {
        assert_eq!(thread.join().expect("callers do not panic"), 202);
    }
    assert!(cluster.entries[0].process.terminate().success());
    let address = &cluster.entries[1].callers_address;
    for job in &jobs {
        cluster.wait_until("the job is done", |_| {
            let reply = fetch_job(address, &key, &job.request_id);
            assert!(reply.is_done() || reply.status == 202, "{reply:?}");
            reply.is_done()
        });
    }
    let runs = cluster.stand_ins.runs();
    for job in &jobs {
        let count = runs.iter().filter(|run| run.request_id == job.request_id);
        assert_eq!(count.count(), 1);
    }
}

#[test]
fn an_entry_that_stops_while_the_log_is_down_answers_what_is_in_flight() {
    let mut cluster = spawn(3, NO_MOVES);
    let (_, key) = cluster.grant("desk");
    set_pool_faults(&cluster, "maps", &json!({ "answer_delay_ms": 700 }));
    let load = Callers::spawn(&cluster.entries[0].callers_address, &key, 10, 8);
    thread::sleep(Duration::from_millis(400));
    cluster.set_log_faults(&json!({ "is_down": true }));
    cluster.entries[0].process.signal(libc::SIGTERM);
    thread::sleep(Duration::from_millis(2_000));
    let outcomes = load.stop();
    assert_none_interrupted(&cluster, &outcomes);
    let mut done = outcomes
        .iter()
        .filter(|(_, outcome)| outcome.as_ref().is_ok_and(Reply::is_done));
    assert!(done.next().is_some(), "no call succeeded");
    // The entry releases its seat and exits as soon as the log accepts records again.
    cluster.set_log_faults(&json!({}));
    assert!(cluster.entries[0].process.wait_for_exit().success());
}

#[test]
fn restarts_of_all_entries_under_load_lose_and_double_nothing() {
    let mut cluster = spawn(3, NO_MOVES);
    let (_, key) = cluster.grant("desk");
    let addresses = Arc::new(Mutex::new(callers(&cluster)));
    let is_stopped = Arc::new(AtomicBool::new(false));
    let done_count = Arc::new(AtomicUsize::new(0));
    let threads: Vec<_> = (0..8)
        .map(|first| {
            let (addresses, key) = (Arc::clone(&addresses), key.clone());
            let (is_stopped, done_count) = (Arc::clone(&is_stopped), Arc::clone(&done_count));
            thread::spawn(move || {
                let mut done = Vec::new();
                while !is_stopped.load(Ordering::Relaxed) {
                    let call = Call::new("maps", &key, 40).at_most_once();
                    call_until_done(&call, &addresses, first);
                    done.push(call.request_id);
                    done_count.fetch_add(1, Ordering::Relaxed);
                }
                done
            })
        })
        .collect();
    for index in 0..3 {
        thread::sleep(Duration::from_millis(400));
        assert!(cluster.entries[index].process.terminate().success());
        cluster.replace_entry(index);
        cluster.wait_serving();
        *addresses.lock().unwrap() = callers(&cluster);
    }
    thread::sleep(Duration::from_millis(300));
    cluster.wait_until("more than 100 calls are done", |_| {
        done_count.load(Ordering::Relaxed) > 100
    });
    is_stopped.store(true, Ordering::Relaxed);
    let done = threads.into_iter().map(|thread| thread.join());
    let done: Vec<String> = done
        .flat_map(|ids| ids.expect("the caller does not panic"))
        .collect();
    let runs = cluster.stand_ins.runs();
    for request_id in &done {
        let count = runs.iter().filter(|run| run.request_id == *request_id);
        assert_eq!(count.count(), 1, "{request_id}");
    }
    assert_eq!(
        runs.len(),
        done.len(),
        "a request ran that was not answered"
    );
}

/// Makes a call at one entry after the other until it succeeds.
///
/// # Panics
///
/// If a call fails otherwise than by a refused connection, by a refusal that reports `not_run`, or,
/// after such a refusal only, by one as a duplicate with a retry time: the claim of the refused call
/// may still be open at the other entries.
fn call_until_done(call: &Call, addresses: &Mutex<Vec<String>>, first: usize) {
    let mut refusals = Vec::new();
    for attempt in first.. {
        let address = {
            let addresses = addresses.lock().unwrap();
            addresses[attempt % addresses.len()].clone()
        };
        let outcome = call.try_send(&address);
        let mut pause_ms = 5;
        match outcome.map(|answer| Reply::of(Some(answer))) {
            Ok(reply) if reply.is_done() => return,
            Ok(reply) if reply.kind == "duplicate_in_flight" && !refusals.is_empty() => {
                pause_ms = reply.retry_after_ms.expect("the refusal has a retry time");
            }
            Ok(reply) => {
                refusals.push((address, reply.kind));
                assert_eq!(reply.ran, "not_run", "{refusals:?}");
            }
            Err(unanswered) => assert_eq!(unanswered, Unanswered::NotConnected, "{refusals:?}"),
        }
        thread::sleep(Duration::from_millis(pause_ms));
    }
}
