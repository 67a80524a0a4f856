//! What shows a leader that runs are gone, but proves nothing while a later leader may lead: that one
//! may have adopted the runs, and may have taken note of their ends.

use hawthornladder::jobs::{
    InstanceInfo, InstanceOrder, InstanceState, JobId, JobState, PollReply,
};
use smol_str::SmolStr;

use super::cut_off_leader::open_pool;
use super::simulation::{job, long_running, step, Simulation, STEP_MS, UNIX_MS};

/// Time after a change of leader by which the tasks of [`submit_short_tasks`] are done, in
/// milliseconds.
const DONE_MS: u64 = 3_500;
/// Time after which a leader has acted on what it was shown, in milliseconds.
const ACTED_MS: u64 = 1_000;
/// Time by which all work is done, in milliseconds.
const SETTLE_MS: u64 = 20_000;
/// Longest time for which a run leased by an earlier leader can last, in milliseconds.
const INHERITED_RUNS_MAX_MS: u64 = 10_200;

/// Submits tasks of three seconds, some of which start at the first worker.
fn submit_short_tasks(simulation: &mut Simulation) -> JobId {
    let id = simulation.submit("maps", job(vec![step(8, 4_000, 3_000)]));
    simulation.advance(300);
    id
}

/// Returns the id of the first worker, which the leader that is cut off does not reach.
fn first_worker(simulation: &Simulation) -> SmolStr {
    simulation.workers.keys().next().expect("a worker").clone()
}

/// Cuts the leader off, and waits until its successor has taken note that tasks on the first worker
/// are done.
fn cut_off_until_done(simulation: &mut Simulation, cut_off: &[SmolStr], next_fence: u64) {
    simulation.cut_leader_off(cut_off, next_fence);
    simulation.advance(DONE_MS);
    assert!(!simulation.settled_done.is_empty(), "no task is done");
}

/// Connects the first worker, which starts anew, with the leader that is cut off, and with it alone.
fn restart_at_cut_off_leader(simulation: &mut Simulation, first: &SmolStr) {
    let started_unix_ms = UNIX_MS + simulation.now_ms;
    simulation.workers[first].restart(started_unix_ms);
    simulation.connect_with_cut_off(first);
    simulation.advance(ACTED_MS);
}

/// Ends the cut, and waits until a job is complete.
fn end_cut_and_complete(simulation: &mut Simulation, id: JobId) {
    simulation.end_cut();
    simulation.advance_until(SETTLE_MS, |simulation| {
        simulation.state(id) == Some(JobState::Complete)
    });
}

/// Guards against a leader that is cut off and starts tasks again that are done, because a list of
/// instances shows that their worker has gone since.
#[test]
fn a_list_of_instances_proves_nothing_to_a_leader_that_is_cut_off() {
    let (mut simulation, cut_off) = open_pool();
    let id = submit_short_tasks(&mut simulation);
    let first = first_worker(&simulation);
    cut_off_until_done(&mut simulation, &cut_off, 2);
    simulation.crash(&first);
    simulation.as_cut_off_leader(Simulation::list_instances);
    simulation.advance(ACTED_MS);
    end_cut_and_complete(&mut simulation, id);
}

/// Guards against a leader that is cut off and starts tasks of an earlier leader that are done, because
/// an order to the instance of their worker is answered late.
#[test]
fn the_answer_to_an_order_proves_nothing_to_a_leader_that_is_cut_off() {
    let (mut simulation, cut_off) = open_pool();
    let id = submit_short_tasks(&mut simulation);
    let first = first_worker(&simulation);
    let instance: SmolStr = "maps-0".into();
    simulation.workers[&first].is_disconnected = true;
    simulation.instances[&instance].worker = None;
    simulation.fail_over_without_lists(2);
    simulation.list_to_leader(&cut_off);
    simulation.list_instances();
    // The order is decided before the worker is listed, and is on its way for long.
    simulation.loses_orders = true;
    simulation.is_store_unavailable = true;
    simulation.request_wave(1, std::slice::from_ref(&instance), 1);
    simulation.advance(100);
    simulation.list_to_leader(std::slice::from_ref(&first));
    simulation.is_store_unavailable = false;
    simulation.advance(100);
    cut_off_until_done(&mut simulation, &cut_off, 3);
    simulation.workers[&first].is_dead = true;
    let order = InstanceOrder::Maintain { instance, wave: 1 };
    simulation.as_cut_off_leader(|simulation| {
        let now_ms = simulation.now_ms;
        simulation.engine.instance_answered(&order, Ok(()), now_ms);
    });
    simulation.advance(ACTED_MS);
    end_cut_and_complete(&mut simulation, id);
}

/// Guards against a leader that is cut off and starts tasks again that are done, because their worker
/// has restarted since and knows no fence.
#[test]
fn the_restart_of_a_worker_proves_nothing_to_a_leader_that_is_cut_off() {
    let (mut simulation, cut_off) = open_pool();
    let id = submit_short_tasks(&mut simulation);
    let first = first_worker(&simulation);
    cut_off_until_done(&mut simulation, &cut_off, 2);
    restart_at_cut_off_leader(&mut simulation, &first);
    end_cut_and_complete(&mut simulation, id);
}

/// Guards against a leader that is cut off and starts tasks of an earlier leader that are done, because
/// a worker that it has never reached answers after a restart.
#[test]
fn the_first_answer_of_a_worker_proves_nothing_to_a_leader_that_is_cut_off() {
    let (mut simulation, cut_off) = open_pool();
    let id = submit_short_tasks(&mut simulation);
    let first = first_worker(&simulation);
    simulation.workers[&first].is_disconnected = true;
    simulation.fail_over_without_lists(2);
    simulation.list_to_leader(&cut_off);
    simulation.advance(300);
    cut_off_until_done(&mut simulation, &cut_off, 3);
    restart_at_cut_off_leader(&mut simulation, &first);
    end_cut_and_complete(&mut simulation, id);
}

/// Guards against a leader that is cut off and starts tasks again that are done, because a worker answers
/// a poll late that it received before the first one of the next leader, which has acknowledged the
/// ends meanwhile.
#[test]
fn a_late_answer_without_a_run_proves_nothing_to_a_leader_that_is_cut_off() {
    let (mut simulation, cut_off) = open_pool();
    let id = submit_short_tasks(&mut simulation);
    let first = first_worker(&simulation);
    cut_off_until_done(&mut simulation, &cut_off, 2);
    let mut late = None;
    while late.is_none() {
        simulation.advance(STEP_MS);
        simulation.as_cut_off_leader(|simulation| {
            let polls = &mut simulation.failing_polls;
            let at = polls
                .iter()
                .position(|(order, ..)| order.target.id == first);
            late = at.map(|at| polls.remove(at).0);
        });
    }
    let order = late.expect("a poll in flight");
    let reply = PollReply {
        clock_ms: simulation.workers[&first].clock_ms(simulation.now_ms),
        started_unix_ms: simulation.workers[&first].info.started_unix_ms,
        ..PollReply::default()
    };
    // It takes no new tasks, so that they start at others.
    simulation.workers[&first].info.is_draining = true;
    simulation.as_cut_off_leader(|simulation| {
        let now_ms = simulation.now_ms;
        simulation.list_to_leader(std::slice::from_ref(&first));
        simulation.engine.poll_answered(&order, reply, now_ms);
    });
    simulation.advance(ACTED_MS);
    end_cut_and_complete(&mut simulation, id);
}

/// Guards against a leader that is cut off and starts tasks of an earlier leader, because the longest
/// lease of these runs is over, while its successor has extended it.
#[test]
fn the_end_of_inherited_leases_proves_nothing_to_a_leader_that_is_cut_off() {
    let (mut simulation, cut_off) = open_pool();
    let id = simulation.submit("maps", job(vec![long_running(8, 4_000)]));
    simulation.advance(300);
    let first = first_worker(&simulation);
    let worker = &mut simulation.workers[&first];
    worker.is_disconnected = true;
    // The last lease that the earlier leader may have given.
    worker.leased_until_ms = simulation.now_ms + INHERITED_RUNS_MAX_MS;
    simulation.fail_over(2);
    simulation.advance(5_000);
    simulation.cut_leader_off(&cut_off, 3);
    simulation.advance(10_000);
    simulation.end_cut();
    simulation.advance(SETTLE_MS);
    assert_eq!(simulation.runs_of(id).len(), 8);
}

/// Guards against a leader that is cut off and starts tasks again of which a silent worker has not
/// listed the ends, while its successor has read them.
#[test]
fn ends_of_a_silent_worker_matter_to_a_leader_that_is_cut_off() {
    let mut simulation = Simulation::open(&["maps"], 2);
    let first = first_worker(&simulation);
    let second = simulation.workers.keys().nth(1).expect("a worker").clone();
    // It lists all of its ends.
    simulation.slow_workers.insert(second.clone(), 10);
    // Runs for which the leases are renewed.
    simulation.submit("maps", job(vec![long_running(2, 1_000)]));
    simulation.advance(100);
    let spec = || job(vec![step(40, 200, 300)]);
    let ids: Vec<JobId> = (0..40).map(|_| simulation.submit("maps", spec())).collect();
    simulation.advance(50);
    simulation.is_store_unavailable = true;
    simulation.advance(3_000);
    simulation.fail_over(2);
    simulation.advance(1_000);
    assert!(simulation.workers[&first].ended.len() > 500);
    assert!(simulation.workers[&second].ended.len() < 500);
    simulation.workers[&first].is_disconnected = true;
    simulation.advance(1_750);
    simulation.cut_leader_off(&[second], 3);
    simulation.advance(9_000);
    simulation.end_cut();
    simulation.advance_until(SETTLE_MS, |simulation| {
        let mut states = ids.iter().map(|id| simulation.state(*id));
        states.all(|state| state == Some(JobState::Complete))
    });
}

/// Guards against runs that are started again beside the first ones because the list of instances has
/// the instance of an unresponsive worker without the id of the worker.
#[test]
fn an_instance_that_is_up_without_a_worker_is_no_sign_that_its_worker_is_gone() {
    let mut simulation = Simulation::open(&["maps"], 2);
    let id = simulation.submit("maps", job(vec![step(2, 1_000, 20_000)]));
    simulation.advance(4_000);
    let first = simulation.runs_of(id)[0].0.clone();
    simulation.workers[&first].is_disconnected = true;
    simulation.advance(1_900);
    let mut infos: Vec<InstanceInfo> = simulation.instances.values().cloned().collect();
    for info in &mut infos {
        if info.worker.as_ref() == Some(&first) {
            assert_eq!(info.state, InstanceState::Up);
            info.worker = None;
        }
    }
    simulation
        .engine
        .instances_listed(infos, simulation.now_ms, simulation.now_ms);
    simulation.advance(1_000);
    assert_eq!(simulation.runs_of(id).len(), 2);
    simulation.workers[&first].is_disconnected = false;
    simulation.advance_until(30_000, |simulation| {
        simulation.state(id) == Some(JobState::Complete)
    });
}
