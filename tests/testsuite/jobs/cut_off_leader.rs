//! A leader that is cut off from the store and from most workers while another one leads. It goes on
//! with accepted work at the workers that it still reaches, until its time is over.

use std::mem;

use hawthornladder::jobs::{Engine, JobState, PollOrder, Record};
use smol_str::SmolStr;

use super::simulation::{job, long_running, step, Simulation};

/// Lease of a leader, in milliseconds.
const LEADER_LEASE_MS: u64 = 1_000;
/// Time after the end of its lease for which a leader goes on with accepted work, in milliseconds.
const ACTS_AFTER_LEASE_MS: u64 = 6_000;
/// Time without a renewal after which another node leads, in milliseconds.
const CLAIM_MS: u64 = 1_300;
/// Time for which the zone of the leader is cut off, in milliseconds.
const CUT_MS: u64 = 10_000;
/// Time after a cut by which all work is done, in milliseconds.
const SETTLE_MS: u64 = 20_000;

/// The leader that is cut off, and what it has in flight.
pub(crate) struct CutOffLeader {
    engine: Engine,
    polls: Vec<(PollOrder, u64)>,
    connecting_polls: Vec<(PollOrder, u64)>,
    persisting: Option<(Vec<Record>, u64)>,
    /// Time until which it gives orders, in milliseconds.
    acts_until_ms: u64,
}

impl Simulation {
    /// Cuts the leader off, together with these workers, and lets another one lead some time later.
    pub(crate) fn cut_leader_off(&mut self, workers: &[SmolStr], next_fence: u64) {
        let leased_until_ms = self.now_ms + LEADER_LEASE_MS;
        self.engine.set_exclusive_until_ms(leased_until_ms);
        for (id, worker) in &mut self.workers {
            worker.is_disconnected = !workers.contains(id);
        }
        self.is_store_unavailable = true;
        self.advance(CLAIM_MS);
        let next = self.open_engine(next_fence);
        let engine = mem::replace(&mut self.engine, next);
        self.cut_off = Some(CutOffLeader {
            engine,
            polls: mem::take(&mut self.polls),
            connecting_polls: mem::take(&mut self.connecting_polls),
            persisting: self.persisting.take(),
            acts_until_ms: leased_until_ms + ACTS_AFTER_LEASE_MS,
        });
        self.switch_sides();
        self.is_store_unavailable = false;
        self.restore_engine();
        self.list_all();
    }

    /// Ends the cut: the leader that was cut off learns that another one leads.
    pub(crate) fn end_cut(&mut self) {
        self.cut_off = None;
        for worker in self.workers.values_mut() {
            worker.is_disconnected = false;
        }
    }

    /// Lets the leader that is cut off take its step.
    pub(crate) fn step_cut_off_leader(&mut self) {
        let is_acting = |cut_off: &CutOffLeader| self.now_ms < cut_off.acts_until_ms;
        if self.cut_off.as_ref().is_some_and(is_acting) {
            self.as_cut_off_leader(|simulation| {
                simulation.answer_polls();
                simulation.run_engine();
            });
        }
    }

    /// Calls `act` with the leader that is cut off in the place of its successor.
    pub(crate) fn as_cut_off_leader(&mut self, act: impl FnOnce(&mut Self)) {
        let mut cut_off = self.cut_off.take().expect("a leader that is cut off");
        self.change_places(&mut cut_off);
        act(self);
        self.change_places(&mut cut_off);
        self.cut_off = Some(cut_off);
    }

    fn change_places(&mut self, cut_off: &mut CutOffLeader) {
        mem::swap(&mut self.engine, &mut cut_off.engine);
        mem::swap(&mut self.polls, &mut cut_off.polls);
        mem::swap(&mut self.connecting_polls, &mut cut_off.connecting_polls);
        mem::swap(&mut self.persisting, &mut cut_off.persisting);
        self.switch_sides();
    }

    /// Connects the workers that were not reached, and disconnects the others.
    fn switch_sides(&mut self) {
        for worker in self.workers.values_mut() {
            worker.is_disconnected = !worker.is_disconnected;
        }
    }
}

/// Opens a simulation of a pool in which the first worker gets the first runs; returns it with the
/// others, which are cut off with the leader.
pub(crate) fn open_pool() -> (Simulation, Vec<SmolStr>) {
    let simulation = Simulation::open(&["maps"], 3);
    let ids: Vec<SmolStr> = simulation.workers.keys().cloned().collect();
    (simulation, ids[1..].to_vec())
}

/// Guards against a leader that is cut off and restarts tasks whose runs its successor keeps alive.
#[test]
fn a_leader_that_is_cut_off_restarts_no_run_that_its_successor_has_adopted() {
    let (mut simulation, cut_off) = open_pool();
    let id = simulation.submit("maps", job(vec![long_running(8, 4_000)]));
    simulation.advance(300);
    let runs = simulation.runs_of(id);
    assert!(runs.iter().any(|(worker, ..)| !cut_off.contains(worker)));
    simulation.cut_leader_off(&cut_off, 2);
    simulation.advance(CUT_MS);
    simulation.end_cut();
    simulation.advance(SETTLE_MS);
    assert_eq!(simulation.runs_of(id).len(), 8);
}

/// Guards against a leader that is cut off and starts tasks again that its successor knows as done.
#[test]
fn a_leader_that_is_cut_off_restarts_no_task_that_is_done_under_its_successor() {
    let (mut simulation, cut_off) = open_pool();
    let id = simulation.submit("maps", job(vec![step(8, 4_000, 3_000)]));
    simulation.advance(300);
    let runs = simulation.runs_of(id);
    assert!(runs.iter().any(|(worker, ..)| !cut_off.contains(worker)));
    simulation.cut_leader_off(&cut_off, 2);
    simulation.advance(CUT_MS);
    simulation.end_cut();
    simulation.advance(SETTLE_MS);
    assert_eq!(simulation.state(id), Some(JobState::Complete));
}
