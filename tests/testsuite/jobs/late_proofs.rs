//! Proofs that a run is gone which are older than the run, of a leader with a valid lease, and answers
//! that arrive while it has none.

use hawthornladder::jobs::{InstanceInfo, JobSpec, PollReply, Recurrence, RunRow};
use smol_str::SmolStr;

use super::cut_off_leader::open_pool;
use super::simulation::{job, step, Simulation, UNIX_MS};

/// Time that an answer to a poll takes, in milliseconds.
const ANSWER_MS: u64 = 200;
/// Time after which a leader has acted on what it was shown, in milliseconds.
const ACTED_MS: u64 = 1_000;
/// Run time of tasks that do not end in a test, in milliseconds.
const RUN_MS: u64 = 20_000;

/// Returns what a worker answers to a poll now.
fn reply_of(simulation: &Simulation, id: &SmolStr) -> PollReply {
    let worker = &simulation.workers[id];
    let row = |(name, run_number): &(_, u64)| RunRow {
        name: *name,
        run_number: *run_number,
        checkpoint: SmolStr::default(),
        percent: 0,
        metric: 0,
    };
    PollReply {
        clock_ms: worker.clock_ms(simulation.now_ms),
        started_unix_ms: worker.info.started_unix_ms,
        running: worker.running.keys().map(row).collect(),
        ended: Vec::new(),
        has_more_ends: false,
        acknowledged_through: 0,
    }
}

/// Guards against tasks that run twice: the first answer of a restarted worker, built before they
/// started there, counted as proof that they were lost.
#[test]
fn the_first_answer_of_a_restarted_worker_loses_no_run_that_started_after_the_poll() {
    let mut simulation = Simulation::open(&["maps"], 2);
    simulation.advance(300);
    let started_unix_ms = UNIX_MS + simulation.now_ms;
    for worker in simulation.workers.values_mut() {
        worker.restart(started_unix_ms);
    }
    let first = simulation.submit("maps", job(vec![step(1, 500, RUN_MS)]));
    simulation.advance_until(ACTED_MS, |simulation| !simulation.polls.is_empty());
    let (order, _) = simulation.polls.remove(0);
    let reply = reply_of(&simulation, &order.target.id);
    let later = simulation.submit("maps", job(vec![step(12, 500, RUN_MS)]));
    simulation.advance(ANSWER_MS);
    assert_eq!(simulation.runs_of(later).len(), 12);
    let now_ms = simulation.now_ms;
    simulation.engine.poll_answered(&order, reply, now_ms);
    simulation.advance(ACTED_MS);
    assert_eq!(simulation.runs_of(later).len(), 12);
    assert_eq!(simulation.runs_of(first).len(), 1);
}

/// Plays the maintenance of the only instance, with the lease of the leader over at `lease_end_ms`
/// until it is done; returns the number of tasks that run afterwards.
fn runs_after_maintenance(lease_end_ms: u64) -> usize {
    let mut simulation = Simulation::open(&["maps"], 1);
    let instance: SmolStr = "maps-0".into();
    simulation.list_instances();
    simulation.advance(3_000);
    simulation.engine.set_exclusive_until_ms(lease_end_ms);
    simulation.request_wave(1, std::slice::from_ref(&instance), 1);
    simulation.advance_until(RUN_MS, |simulation| !simulation.orders.is_empty());
    unlist_ended(&mut simulation);
    simulation.advance(100);
    simulation.list_instances();
    simulation.engine.set_exclusive_until_ms(u64::MAX);
    // A repeated order is answered as carried out already.
    simulation.loses_first_answers = true;
    for _ in 0..20 {
        simulation.advance(500);
        simulation.list_all();
        unlist_ended(&mut simulation);
        simulation.list_instances();
    }
    let id = simulation.submit("maps", job(vec![step(1, 500, RUN_MS)]));
    simulation.advance(3_000);
    simulation.runs_of(id).len()
}

fn unlist_ended(simulation: &mut Simulation) {
    let now_ms = simulation.now_ms;
    let workers = simulation.workers.iter();
    let ended = workers.filter(|(_, worker)| worker.is_dead);
    let ids: Vec<SmolStr> = ended.map(|(id, _)| id.clone()).collect();
    for id in ids {
        simulation.engine.worker_unlisted(&id, now_ms);
    }
}

/// Guards against an instance that is never used again: its order was answered while the lease was
/// over, so that its next worker was taken for the one that the order had ended.
#[test]
fn an_instance_whose_order_is_answered_without_a_lease_is_used_again() {
    assert_eq!(runs_after_maintenance(u64::MAX), 1);
    assert_eq!(runs_after_maintenance(0), 1);
}

/// Guards against a task that runs twice after a failover: a recorded worker that is neither listed nor
/// reached counts as gone if the row of its instance is missing in a list of instances.
#[test]
fn a_recorded_worker_without_a_row_is_not_taken_for_gone() {
    let mut simulation = Simulation::open(&["maps"], 2);
    let id = simulation.submit("maps", job(vec![step(2, 1_000, RUN_MS)]));
    simulation.advance(500);
    let ids: Vec<SmolStr> = simulation.workers.keys().cloned().collect();
    let leased_until_ms = simulation.now_ms + 10_200;
    let worker = &mut simulation.workers[&ids[0]];
    worker.is_disconnected = true;
    worker.leased_until_ms = leased_until_ms;
    simulation.fail_over_without_lists(2);
    simulation.list_to_leader(&ids[1..]);
    simulation.advance(3_500);
    let rows = simulation.instances.values();
    let others = rows.filter(|info| info.worker.as_ref() != Some(&ids[0]));
    let infos: Vec<InstanceInfo> = others.cloned().collect();
    let now_ms = simulation.now_ms;
    simulation.engine.instances_listed(infos, now_ms, now_ms);
    simulation.advance(ACTED_MS);
    assert_eq!(simulation.runs_of(id).len(), 2);
}

/// Guards against a task that runs twice: a leader that is cut off starts it on an idle worker that has
/// restarted, and that has forgotten the fence of the next leader, which has started it elsewhere.
#[test]
fn a_leader_that_is_cut_off_starts_nothing_on_a_worker_that_forgot_the_fence() {
    let (mut simulation, _) = open_pool();
    let ids: Vec<SmolStr> = simulation.workers.keys().cloned().collect();
    let recurrence = Recurrence {
        times: 1,
        first_unix_ms: UNIX_MS + simulation.now_ms + 5_000,
        interval_ms: 1,
    };
    let spec = JobSpec {
        recurrence: Some(recurrence),
        ..job(vec![step(1, 500, RUN_MS)])
    };
    let id = simulation.submit("maps", spec);
    simulation.advance(500);
    simulation.cut_leader_off(&[], 2);
    simulation.advance(500);
    let started_unix_ms = UNIX_MS + simulation.now_ms;
    let now_ms = simulation.now_ms;
    simulation.workers[&ids[0]].restart(started_unix_ms);
    simulation.engine.worker_unlisted(&ids[0], now_ms);
    simulation.connect_with_cut_off(&ids[0]);
    simulation.as_cut_off_leader(|simulation| {
        for other in &ids[1..] {
            simulation.engine.worker_unlisted(other, now_ms);
        }
    });
    simulation.advance(4_000);
    assert_eq!(simulation.runs_of(id).len(), 1);
}
