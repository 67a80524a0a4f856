//! A leader that is cut off from the store and from most workers while another one leads. It goes on
//! with accepted work at the workers that it still reaches, until its time is over.

use std::mem;

use hawthornladder::jobs::{Engine, JobState, OrderFailure, PollOrder, Record};
use smol_str::SmolStr;

use super::links::{Link, Reach, LEADER_LEASE_MS};
use super::simulation::{job, long_running, step, Simulation};

/// Time without a renewal after which another node leads, in milliseconds.
const CLAIM_MS: u64 = 1_300;
/// Time for which the zone of the leader is cut off, in milliseconds.
const CUT_MS: u64 = 10_000;
/// Time after a cut by which all work is done, in milliseconds.
const SETTLE_MS: u64 = 20_000;

/// A leader that is cut off, and what it has in flight.
pub(crate) struct CutOffLeader {
    pub(crate) engine: Engine,
    pub(crate) link: Link,
    polls: Vec<(PollOrder, u64)>,
    failing_polls: Vec<(PollOrder, u64, OrderFailure)>,
    persisting: Option<(Vec<Record>, u64)>,
}

impl Simulation {
    /// Cuts the leader off, together with these workers, and lets another one lead some time later.
    pub(crate) fn cut_leader_off(&mut self, workers: &[SmolStr], next_fence: u64) {
        let mut next_link = Link::open();
        self.link.leased_until_ms = Some(self.now_ms + LEADER_LEASE_MS);
        self.link.is_cut_from_store = true;
        for (id, worker) in &mut self.workers {
            worker.is_disconnected = false;
            let cut = match workers.contains(id) {
                true => &mut next_link,
                false => &mut self.link,
            };
            cut.set_reach(id.clone(), Reach::Dropped);
        }
        self.advance(CLAIM_MS);
        self.is_store_unavailable = false;
        self.succeed(next_fence, next_link);
        self.list_all();
    }

    /// Lets another leader lead beside the present one, which goes on cut off.
    pub(crate) fn succeed(&mut self, next_fence: u64, next_link: Link) {
        let next = self.open_engine(next_fence);
        let cut_off = CutOffLeader {
            engine: mem::replace(&mut self.engine, next),
            link: mem::replace(&mut self.link, next_link),
            polls: mem::take(&mut self.polls),
            failing_polls: mem::take(&mut self.failing_polls),
            persisting: self.persisting.take(),
        };
        self.cut_off.push(cut_off);
        self.restore_engine();
    }

    /// Ends the cut: the leaders that were cut off learn that another one leads.
    pub(crate) fn end_cut(&mut self) {
        self.cut_off.clear();
        self.link.mend();
    }

    /// Lets the leaders that are cut off take their steps.
    pub(crate) fn step_cut_off_leaders(&mut self) {
        self.for_each_cut_off(|simulation| {
            simulation.renew_lease();
            if simulation.link.may_act(simulation.now_ms) {
                simulation.answer_polls();
                simulation.run_engine();
            }
        });
    }

    /// Connects a worker with the leaders that are cut off, and with them alone.
    pub(crate) fn connect_with_cut_off(&mut self, id: &SmolStr) {
        self.link.set_reach(id.clone(), Reach::Dropped);
        for leader in &mut self.cut_off {
            leader.link.set_reach(id.clone(), Reach::Full);
        }
    }

    /// Calls `act` with the leader that was cut off last in the place of the present one.
    pub(crate) fn as_cut_off_leader(&mut self, act: impl FnOnce(&mut Self)) {
        let mut leader = self.cut_off.pop().expect("a leader that is cut off");
        self.change_places(&mut leader);
        act(self);
        self.change_places(&mut leader);
        self.cut_off.push(leader);
    }

    /// Calls `act` with each leader that is cut off in the place of the present one.
    pub(crate) fn for_each_cut_off(&mut self, mut act: impl FnMut(&mut Self)) {
        let mut leaders = mem::take(&mut self.cut_off);
        for leader in &mut leaders {
            self.change_places(leader);
            act(self);
            self.change_places(leader);
        }
        self.cut_off = leaders;
    }

    fn change_places(&mut self, cut_off: &mut CutOffLeader) {
        mem::swap(&mut self.engine, &mut cut_off.engine);
        mem::swap(&mut self.link, &mut cut_off.link);
        mem::swap(&mut self.polls, &mut cut_off.polls);
        mem::swap(&mut self.failing_polls, &mut cut_off.failing_polls);
        mem::swap(&mut self.persisting, &mut cut_off.persisting);
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
