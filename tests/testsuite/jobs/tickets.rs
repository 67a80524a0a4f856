//! Steps that only some workers of a pool may run, in pools with more workers than a request for
//! tickets names.

use hawthornladder::jobs::{JobId, StepSpec};
use indexmap::IndexSet;
use smol_str::{format_smolstr, SmolStr};

use super::simulation::{job, long_running, step, Simulation, UNIX_MS};

/// Run time of tasks that do not end in a test, in milliseconds.
const RUN_MS: u64 = 20_000;
/// Time by which a task with an eligible worker that is free has to run, in milliseconds.
const START_MAX_MS: u64 = 3_000;
/// Time until the list of instances shows that workers are lost, in milliseconds.
const LOSS_SHOWN_MS: u64 = 3_000;
/// Time in which a worker that may run a step is asked about, in milliseconds.
const ASKED_MS: u64 = 500;
/// Most workers that a request may name.
const REQUEST_MAX_COUNT: usize = 100;

/// Opens a simulation of a pool whose queue needs tickets; `eligible` holds the indexes of the workers
/// that get one.
fn open_with_tickets(count: usize, eligible: &[usize]) -> Simulation {
    let mut simulation = Simulation::open(&["maps"], count);
    simulation.catalog.version = 2;
    simulation.catalog.queues["maps"].needs_tickets = true;
    // No instance is moved to where it costs nothing.
    simulation.catalog.pools.shift_remove("standby");
    simulation.engine.set_catalog(simulation.catalog.clone());
    let ids: Vec<SmolStr> = simulation.workers.keys().cloned().collect();
    simulation.eligible = eligible.iter().map(|at| ids[*at].clone()).collect();
    simulation
}

/// Advances until this number of tasks of a job run.
fn await_runs(simulation: &mut Simulation, id: JobId, count: usize) {
    simulation.advance_until(START_MAX_MS, |simulation| {
        simulation.runs_of(id).len() == count
    });
}

/// Guards against a task that never runs again: the workers that may run it were lost, and the others
/// of the same request were asked about for ever (review/8).
#[test]
fn a_task_whose_eligible_workers_are_lost_runs_on_others() {
    let mut simulation = open_with_tickets(40, &[4, 17, 32, 33, 36, 39]);
    let id = simulation.submit("maps", job(vec![step(1, 3_800, RUN_MS)]));
    await_runs(&mut simulation, id, 1);
    let ids: Vec<SmolStr> = simulation.workers.keys().cloned().collect();
    for at in [4, 17] {
        simulation.crash(&ids[at]);
    }
    simulation.unlist_dead_workers();
    simulation.list_instances();
    simulation.advance(LOSS_SHOWN_MS);
    await_runs(&mut simulation, id, 1);
}

/// Guards against tasks that wait for workers that are full or leave, while eligible ones that were not
/// asked about are free.
#[test]
fn tasks_run_on_further_eligible_workers_if_the_known_ones_are_full_or_leave() {
    let mut simulation = open_with_tickets(40, &[4, 33, 36]);
    let id = simulation.submit("maps", job(vec![long_running(2, 20_000)]));
    await_runs(&mut simulation, id, 2);
    let ids: Vec<SmolStr> = simulation.workers.keys().cloned().collect();
    for at in [4, 33] {
        simulation.workers[&ids[at]].info.is_draining = true;
    }
    simulation.list_to_leader(&ids);
    let later = simulation.submit("maps", job(vec![step(1, 3_800, RUN_MS)]));
    await_runs(&mut simulation, later, 1);
    assert!(simulation
        .runs_of(later)
        .iter()
        .all(|(worker, ..)| *worker == ids[36]));
}

/// Guards against a gang that waits for ever because the workers that were asked about first have no
/// place for all of its members.
#[test]
fn a_gang_runs_on_eligible_workers_of_several_requests() {
    let mut simulation = open_with_tickets(40, &[4, 33, 36]);
    let gang = StepSpec {
        is_gang: true,
        ..step(3, 32_000, RUN_MS)
    };
    let id = simulation.submit("maps", job(vec![gang]));
    await_runs(&mut simulation, id, 3);
}

/// Guards against a worker that is not asked about because it has joined later, or was not eligible in
/// an earlier incarnation.
#[test]
fn a_worker_that_joins_or_restarts_is_asked_about() {
    let mut simulation = open_with_tickets(40, &[]);
    let id = simulation.submit("maps", job(vec![step(1, 3_800, RUN_MS)]));
    simulation.advance(2_000);
    simulation.add_instance(&"maps-late".into(), "maps");
    let joined = simulation.workers.keys().last().expect("a worker").clone();
    simulation.eligible = vec![joined];
    simulation.list_all();
    await_runs(&mut simulation, id, 1);
    let other = simulation.submit("maps", job(vec![step(1, 32_000, RUN_MS)]));
    simulation.advance(START_MAX_MS);
    let first = simulation.workers.keys().next().expect("a worker").clone();
    simulation.eligible = vec![first.clone()];
    let started_unix_ms = UNIX_MS + simulation.now_ms;
    simulation.workers[&first].restart(started_unix_ms);
    simulation.list_all();
    await_runs(&mut simulation, other, 1);
}

/// Guards against a search for eligible workers that asks about some workers again before all others,
/// or about too many at once.
#[test]
fn each_worker_of_a_large_pool_is_asked_about_once() {
    let count = 1_000;
    let mut simulation = open_with_tickets(count, &[count - 1]);
    let id = simulation.submit("maps", job(vec![step(1, 3_800, RUN_MS)]));
    await_runs(&mut simulation, id, 1);
    let requests = &simulation.ticket_requests;
    assert!(requests
        .iter()
        .all(|request| request.workers.len() <= REQUEST_MAX_COUNT));
    let asked: Vec<&SmolStr> = requests
        .iter()
        .flat_map(|request| request.workers.iter().map(|worker| &worker.id))
        .collect();
    let different: IndexSet<_> = asked.iter().collect();
    assert_eq!(asked.len(), different.len());
}

/// Guards against a start with a ticket of a former life: a request is answered after its worker has
/// restarted, and the ticket counts as one of the new incarnation, which refuses it.
#[test]
fn an_answer_about_a_former_incarnation_gives_the_next_one_no_ticket() {
    let mut simulation = open_with_tickets(1, &[]);
    simulation.submit("maps", job(vec![step(1, 3_800, RUN_MS)]));
    simulation.advance(ASKED_MS);
    let former = simulation.ticket_requests[0].clone();
    let first = simulation.workers.keys().next().expect("a worker").clone();
    let started_unix_ms = UNIX_MS + simulation.now_ms;
    simulation.workers[&first].restart(started_unix_ms);
    simulation.list_all();
    simulation.advance(ASKED_MS);
    assert_eq!(simulation.ticket_requests.len(), 2);
    let tickets = vec![(first.clone(), format_smolstr!("ticket-{first}"))];
    let now_ms = simulation.now_ms;
    let answer = Some((tickets, RUN_MS));
    simulation.engine.tickets_answered(&former, answer, now_ms);
    simulation.advance(ASKED_MS);
    assert_eq!(simulation.starts.len(), 0, "started with a former ticket");
    simulation.eligible = vec![first];
    simulation.advance_until(START_MAX_MS, |simulation| !simulation.starts.is_empty());
}
