//! Ends of runs and the leaders that read them: what one leader has acknowledged, the next one knows. And
//! answers of the former incarnation of a worker that arrive after its next one has taken a start.

use std::sync::Arc;

use hawthornladder::jobs::{
    Action, JobId, JobKey, JobSpec, JobState, OrderFailure, PollOrder, PollReply, Recurrence,
    RunKey, RunRow, StartOrder, StepSpec, StopOrder, TaskKey, TaskName,
};
use smol_str::SmolStr;

use super::links::{Link, Reach};
use super::simulation::{job, step, Simulation, STEP_MS, UNIX_MS};

/// Age of the first incarnations at the restart, in milliseconds: more than the longest lease.
const AGE_MS: u64 = 15_000;
/// Time after which the leader has acted on what it was shown, in milliseconds.
const ACTED_MS: u64 = 500;
/// Time in which all leases of a worker that is cut off end, in milliseconds.
const CUT_MS: u64 = 15_000;
/// Run time of tasks that do not end in a test, in milliseconds.
const RUN_MS: u64 = 60_000;
/// Run time of short tasks, in milliseconds.
const SHORT_RUN_MS: u64 = 200;
/// Time by which all tasks are done, in milliseconds.
const DONE_MS: u64 = 40_000;
/// Time in which the job of [`mixed_job`] ends without faults, in milliseconds.
const UNDISTURBED_MS: u64 = 1_200;
/// Time for which the calls of a leader are held back before it ends, in milliseconds.
const HELD_BACK_MS: u64 = 30;

/// Time after which a stop without effect has been sent again, in milliseconds; shorter than a poll waits.
const STOP_RETRIED_MS: u64 = 700;

/// Times for which the store takes no records before a leader ends, in milliseconds.
const OUTAGES_MS: [u64; 2] = [0, 400];

/// What the store has done with the batch that was in flight as its leader ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InFlight {
    Refused,
    Taken,
}

/// Returns a job with a gang, tasks that wait for it, and a second occurrence.
fn mixed_job(simulation: &Simulation) -> JobSpec {
    let gang = StepSpec {
        is_gang: true,
        ..step(2, 1_000, SHORT_RUN_MS)
    };
    let later = StepSpec {
        after: vec![0],
        ..step(4, 1_000, SHORT_RUN_MS)
    };
    let recurrence = Recurrence {
        times: 2,
        first_unix_ms: UNIX_MS + simulation.now_ms,
        interval_ms: SHORT_RUN_MS,
    };
    JobSpec {
        recurrence: Some(recurrence),
        ..job(vec![gang, later])
    }
}

/// Lets another leader follow after `after_ms` and an outage of the store, while the calls of the first one
/// arrive late, until all is done.
fn lose_leader_after(after_ms: u64, outage_ms: u64, in_flight: InFlight) {
    let mut simulation = Simulation::open(&["maps"], 2);
    let spec = mixed_job(&simulation);
    let id = simulation.submit("maps", spec);
    simulation.advance_until(ACTED_MS, |simulation| simulation.accepted == [id]);
    simulation.advance(after_ms);
    simulation.is_store_unavailable = outage_ms > 0;
    simulation.advance(outage_ms);
    simulation.link.other_reach = Reach::HeldBack;
    simulation.advance(HELD_BACK_MS);
    simulation.release_calls(|| STEP_MS);
    simulation.link.other_reach = Reach::Full;
    simulation.is_store_unavailable = false;
    if let (InFlight::Taken, Some((records, _))) = (in_flight, simulation.persisting.take()) {
        simulation.store(&records);
    }
    simulation.fail_over(2);
    let deadline_ms = simulation.now_ms + DONE_MS;
    while simulation.state(id) != Some(JobState::Complete) {
        assert!(
            simulation.now_ms < deadline_ms,
            "not done: leader lost after {after_ms} ms, outage {outage_ms} ms, batch {in_flight:?}"
        );
        simulation.advance(STEP_MS);
    }
}

/// Guards against ends that one leader acknowledges and the next one does not know: the leader is lost at
/// each moment of a job, with and without an outage of the store before, its last batch is taken or refused,
/// and its last calls arrive late.
#[test]
fn no_end_is_acknowledged_that_the_next_leader_does_not_know() {
    for after_ms in (0..UNDISTURBED_MS).step_by(10) {
        for outage_ms in OUTAGES_MS {
            lose_leader_after(after_ms, outage_ms, InFlight::Refused);
            lose_leader_after(after_ms, outage_ms, InFlight::Taken);
        }
    }
}

/// Guards against an end that is never acknowledged: its job has been cancelled, the record of that is in
/// flight, and no other record follows.
#[test]
fn the_end_of_a_job_whose_cancel_is_in_flight_is_acknowledged() {
    let mut simulation = Simulation::open(&["maps"], 1);
    let id = simulation.submit("maps", job(vec![step(1, 1_000, SHORT_RUN_MS)]));
    simulation.advance_until(ACTED_MS, |simulation| !simulation.starts.is_empty());
    let first = simulation.workers.keys().next().expect("a worker").clone();
    simulation.workers[&first].loses_answers = true;
    simulation.engine.cancel(id);
    simulation.advance_until(ACTED_MS, |simulation| simulation.persisting.is_some());
    // The store takes the record only after the end has been read.
    simulation.is_store_unavailable = true;
    simulation.workers[&first].loses_answers = false;
    simulation.advance(2 * ACTED_MS);
    assert_eq!(simulation.workers[&first].ended.len(), 1);
    simulation.is_store_unavailable = false;
    simulation.advance(4 * ACTED_MS);
    assert!(simulation.workers[&first].ended.is_empty());
}

/// A worker of which the leader knows the former incarnation, while the next one has accepted a start.
struct Reborn {
    simulation: Simulation,
    id: SmolStr,
    /// Poll of the former incarnation that is still in flight.
    poll: PollOrder,
    /// Its answer, which is on its way.
    late_answer: PollReply,
    /// Start time of the former incarnation, in Unix milliseconds.
    former_unix_ms: u64,
    /// Clock of the former incarnation at its end, in milliseconds.
    former_clock_ms: u64,
    /// Job that the next incarnation runs.
    job: JobId,
}

fn submit_long_task(simulation: &mut Simulation) -> JobId {
    simulation.submit("maps", job(vec![step(1, 1_000, RUN_MS)]))
}

fn first_task(id: JobId) -> TaskName {
    TaskName::parse(&format!("{id}.0.0.0")).expect("a name")
}

fn open_reborn() -> Reborn {
    let mut simulation = Simulation::open(&["maps"], 2);
    simulation.advance(AGE_MS);
    let id = simulation.workers.keys().next().expect("a worker").clone();
    let former = submit_long_task(&mut simulation);
    simulation.advance(ACTED_MS);
    assert_eq!(simulation.runs_of(former)[0].0, id);
    let at = simulation
        .polls
        .iter()
        .position(|(poll, _)| poll.target.id == id);
    let (poll, _) = simulation.polls.remove(at.expect("a poll in flight"));
    let worker = &simulation.workers[&id];
    let former_unix_ms = worker.info.started_unix_ms;
    let former_clock_ms = worker.clock_ms(simulation.now_ms);
    let row = RunRow {
        name: first_task(former),
        run_number: 1,
        checkpoint: SmolStr::default(),
        percent: 0,
        metric: 0,
    };
    let late_answer = PollReply {
        clock_ms: former_clock_ms,
        started_unix_ms: former_unix_ms,
        running: vec![row],
        ..PollReply::default()
    };
    simulation.restart(&id);
    let job = submit_long_task(&mut simulation);
    simulation.advance_until(ACTED_MS, |simulation| simulation.starts.len() == 2);
    assert_eq!(simulation.runs_of(job)[0].0, id);
    Reborn {
        simulation,
        id,
        poll,
        late_answer,
        former_unix_ms,
        former_clock_ms,
        job,
    }
}

impl Reborn {
    /// Cuts the worker off for as long as its leases last; the run of the next incarnation goes on until
    /// then, and its task must not run elsewhere.
    fn cut_off(mut self) {
        self.simulation.workers[&self.id].is_disconnected = true;
        self.simulation.advance(CUT_MS);
        assert_eq!(self.simulation.runs_of(self.job).len(), 1);
    }
}

/// Guards against a task that runs twice: the next incarnation of its worker has accepted it, and the
/// answer of the former one to an earlier poll, which arrives later, shows a clock that is ahead, on which
/// all leases are over.
#[test]
fn a_late_answer_to_a_poll_ends_no_lease_of_the_next_incarnation() {
    let mut reborn = open_reborn();
    let now_ms = reborn.simulation.now_ms;
    let (poll, reply) = (reborn.poll.clone(), reborn.late_answer.clone());
    reborn.simulation.engine.poll_answered(&poll, reply, now_ms);
    reborn.cut_off();
}

/// Guards against a task that runs twice, as above, where the late answer is one to a start.
#[test]
fn a_late_answer_to_a_start_ends_no_lease_of_the_next_incarnation() {
    let mut reborn = open_reborn();
    let now_ms = reborn.simulation.now_ms;
    let task = TaskKey {
        job: JobKey(0),
        round: 0,
        step: 0,
        index: 0,
    };
    let mut target = reborn.poll.target.clone();
    target.started_unix_ms = reborn.former_unix_ms;
    let order = StartOrder {
        target,
        run: RunKey { task, run: 1 },
        name: first_task(JobId(1)),
        spec: Arc::new(job(vec![step(1, 1_000, RUN_MS)])),
        lease_end_worker_ms: AGE_MS,
        checkpoint: SmolStr::default(),
        ticket: None,
    };
    let clock_ms = Some(reborn.former_clock_ms);
    reborn
        .simulation
        .engine
        .start_accepted(&order, clock_ms, now_ms);
    reborn.cut_off();
}

/// Guards against ends that are dropped though nobody knows them who could record them: the poll of a leader
/// that has been followed still waits at a worker, and lists the end of a task of a job that only its
/// successor knows. The worker is asked by a third leader before anybody has recorded the end.
#[test]
fn a_leader_that_has_been_followed_acknowledges_no_end_that_it_does_not_know() {
    let mut simulation = Simulation::open(&["maps"], 1);
    let first = simulation.workers.keys().next().expect("a worker").clone();
    submit_long_task(&mut simulation);
    simulation.advance(2 * ACTED_MS);
    simulation.link = Link::leased(simulation.now_ms);
    simulation.link.is_cut_from_store = true;
    let mut next_link = Link::open();
    next_link.set_reach(first.clone(), Reach::AnswersLost);
    simulation.advance_until(2 * ACTED_MS, |simulation| {
        let sent_ms = simulation.polls.first().map_or(0, |(poll, _)| poll.sent_ms);
        sent_ms + STEP_MS == simulation.now_ms
    });
    simulation.succeed(2, next_link);
    simulation.link.set_reach(first.clone(), Reach::Full);
    simulation.list_all();
    let id = simulation.submit("maps", job(vec![step(1, 1_000, SHORT_RUN_MS)]));
    simulation.advance_until(ACTED_MS, |simulation| !simulation.runs_of(id).is_empty());
    simulation.link.set_reach(first.clone(), Reach::AnswersLost);
    simulation.advance_until(ACTED_MS, |simulation| simulation.runs_of(id).is_empty());
    simulation.advance(4 * ACTED_MS);
    let mut has_lost = false;
    simulation.as_cut_off_leader(|simulation| has_lost = simulation.engine.has_lost_leadership());
    assert!(has_lost, "the next poll of the former leader is refused");
    assert_eq!(simulation.workers[&first].ended.len(), 1);
    simulation.fail_over(3);
    simulation.link.set_reach(first, Reach::Full);
    simulation.advance_until(DONE_MS, |simulation| {
        simulation.state(id) == Some(JobState::Complete)
    });
    let starts = simulation.starts.iter();
    assert_eq!(starts.filter(|(_, _, name)| name.job == id).count(), 1);
}

/// Guards against a task that runs twice: its start has had no answer, the worker has confirmed that the run
/// is not there and will not be, and restarts; then the start arrives, in the next incarnation.
#[test]
fn a_start_that_one_incarnation_has_blocked_does_not_run_in_the_next() {
    let mut simulation = Simulation::open(&["maps"], 2);
    simulation.advance(AGE_MS);
    let first = simulation.workers.keys().next().expect("a worker").clone();
    simulation.link.set_reach(first.clone(), Reach::HeldBack);
    let id = submit_long_task(&mut simulation);
    simulation.advance_until(ACTED_MS, |simulation| simulation.engine.runs_count() == 1);
    simulation.link.set_reach(first.clone(), Reach::Full);
    // The task is not sent there again.
    simulation.workers[&first].info.is_draining = true;
    simulation.list_all();
    simulation.advance_until(CUT_MS, |simulation| simulation.starts.len() == 1);
    assert_ne!(simulation.runs_of(id)[0].0, first);
    simulation.release_calls(|| 2 * ACTED_MS);
    simulation.late_calls.retain(|(_, call)| call.is_start());
    simulation.advance(ACTED_MS);
    simulation.restart(&first);
    simulation.advance(CUT_MS);
    assert_eq!(simulation.runs_of(id).len(), 1);
}

/// Guards against an end that is dropped unread: the leader is without its lease when the next incarnation of
/// a worker answers, puts the restart off, and has the lease again before the next poll, which must not carry
/// the number of the former incarnation.
#[test]
fn a_restart_that_is_put_off_drops_no_end_that_nobody_has_read() {
    let mut simulation = Simulation::open(&["maps"], 2);
    simulation.advance(AGE_MS);
    simulation.link = Link::leased(simulation.now_ms);
    let first = simulation.workers.keys().next().expect("a worker").clone();
    let recurrence = Recurrence {
        times: 1,
        first_unix_ms: UNIX_MS + simulation.now_ms + ACTED_MS,
        interval_ms: 1,
    };
    let later = JobSpec {
        recurrence: Some(recurrence),
        ..job(vec![step(1, 1_000, SHORT_RUN_MS)])
    };
    let id = simulation.submit("maps", later);
    simulation.submit("maps", job(vec![step(1, 1_000, SHORT_RUN_MS)]));
    simulation.advance_until(ACTED_MS, |simulation| !simulation.starts.is_empty());
    // The end of the first task is read, and not recorded; the lease is not renewed.
    simulation.is_store_unavailable = true;
    simulation.advance_until(ACTED_MS, |simulation| simulation.engine.runs_count() == 0);
    assert_eq!(simulation.workers[&first].ended.len(), 1);
    simulation.link.set_reach(first.clone(), Reach::HeldBack);
    simulation.advance_until(ACTED_MS, |simulation| simulation.engine.runs_count() == 1);
    simulation.restart(&first);
    simulation.link.set_reach(first.clone(), Reach::Dropped);
    simulation.release_calls(|| 0);
    simulation.late_calls.retain(|(_, call)| call.is_start());
    simulation.advance(2 * STEP_MS);
    assert_eq!(simulation.runs_of(id)[0].0, first);
    simulation.advance(2 * ACTED_MS);
    assert!(!simulation.link.is_leased(simulation.now_ms));
    simulation.link.set_reach(first.clone(), Reach::Full);
    simulation.advance(2 * ACTED_MS);
    assert_eq!(simulation.workers[&first].ended.len(), 1, "put off");
    simulation.is_store_unavailable = false;
    simulation.advance_until(DONE_MS, |simulation| {
        simulation.state(id) == Some(JobState::Complete)
    });
    assert_eq!(simulation.starts.len(), 2, "a task was started again");
}

/// Loses all orders that the engine gives now, and returns the stops among them.
fn lose_stops(simulation: &mut Simulation) -> Vec<StopOrder> {
    let now_ms = simulation.now_ms;
    let actions = simulation.engine.take_actions().into_iter();
    let stops: Vec<StopOrder> = actions
        .filter_map(|action| match action {
            Action::Stop(order) => Some(order),
            _ => None,
        })
        .collect();
    for order in &stops {
        let failure = OrderFailure::Lost;
        simulation.engine.stop_failed(order, failure, now_ms);
    }
    stops
}

/// Guards against a task that runs twice: a start is on its way at the restart of its worker, the stop that has
/// to block it in the next incarnation is lost, and the answer of the former one to an earlier stop arrives in
/// its place.
#[test]
fn a_stop_that_the_former_incarnation_has_answered_blocks_no_start_in_the_next() {
    let mut simulation = Simulation::open(&["maps"], 2);
    simulation.advance(AGE_MS);
    let first = simulation.workers.keys().next().expect("a worker").clone();
    simulation.link.set_reach(first.clone(), Reach::HeldBack);
    let id = submit_long_task(&mut simulation);
    simulation.advance_until(ACTED_MS, |simulation| simulation.engine.runs_count() == 1);
    simulation.link.set_reach(first.clone(), Reach::Full);
    simulation.advance_until(ACTED_MS, |simulation| !simulation.polls.is_empty());
    let (poll, _) = simulation.polls.remove(0);
    assert_eq!(poll.target.id, first);
    simulation.restart(&first);
    // The task is not sent there again.
    simulation.workers[&first].info.is_draining = true;
    simulation.list_all();
    let reply = PollReply {
        started_unix_ms: simulation.workers[&first].info.started_unix_ms,
        ..PollReply::default()
    };
    let now_ms = simulation.now_ms;
    simulation.engine.poll_answered(&poll, reply, now_ms);
    let stops = lose_stops(&mut simulation);
    assert_eq!(stops.len(), 1);
    let answered = StopOrder {
        target: poll.target.clone(),
        ..stops[0].clone()
    };
    simulation.engine.stop_accepted(&answered, now_ms);
    simulation.advance(2 * STEP_MS);
    // The stop that is sent again is lost, too, while a poll waits at the worker.
    simulation.link.set_reach(first.clone(), Reach::Dropped);
    simulation.advance(STOP_RETRIED_MS);
    simulation.link.set_reach(first.clone(), Reach::Full);
    simulation.advance_until(CUT_MS, |simulation| simulation.starts.len() == 1);
    simulation.release_calls(|| STEP_MS);
    simulation.late_calls.retain(|(_, call)| call.is_start());
    simulation.advance(CUT_MS);
    assert_eq!(simulation.runs_of(id).len(), 1);
}
