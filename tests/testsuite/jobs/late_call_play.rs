//! Plays one order in which a late call meets other events, with a worker and a task.

use std::mem;

use hawthornladder::jobs::{InstanceState, JobId, JobState, LossReason, OrderFailure, TaskName};
use smol_str::SmolStr;

use super::late_call_orders::{Event, LateCall, Order};
use super::links::{Reach, WorkerCall};
use super::simulation::{job, step, Simulation, STEP_MS};

/// Age of the first incarnations at the first order, in milliseconds: more than the longest lease.
const AGE_MS: u64 = 15_000;
/// Time after which the leader has acted on what it was shown, in milliseconds.
const ACTED_MS: u64 = 2_000;
/// Run time of the task whose end is read before the call, in milliseconds.
const FORMER_RUN_MS: u64 = 400;
/// Run time of the task unless an event ends it, in milliseconds: more than the longest lease.
const RUN_MS: u64 = 13_000;
/// Time after the last event by which the task is done, in milliseconds.
const DONE_MS: u64 = 40_000;
/// Time after the last event for which a cut lasts whose end is no event, in milliseconds: that for which
/// calls arrive late, and the longest lease.
const CUT_MS: u64 = 23_000;
/// Number of tasks that start at once: one a worker.
const LATER_TASKS_COUNT: u32 = 2;
/// Processor time that each of these takes, in thousandths of a core: more than half of a worker.
const LATER_CPU_MILLIS: u64 = 20_000;
/// Fence of the first leader.
const FIRST_FENCE: u64 = 1;

/// What a late call meets at its arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Arrival {
    /// The incarnation that it is meant for, or nothing that it could harm.
    Harmless,
    /// Another incarnation, as a start.
    Start,
    /// Another incarnation, as a start that its leader takes for lapsed with the leases of the former one.
    LapsedStart,
    /// Another incarnation, as the start of a task that its leader has ordered again since.
    RepeatedStart,
    /// Another incarnation, as a start at a worker that its leader takes for gone at some time.
    RemovedStart,
    /// As before, while the worker is cut off.
    CutOffRemovedStart,
    /// Another incarnation than the next one, as a start, while the worker is cut off.
    LaterIncarnationStart,
    /// Another incarnation, as the start of a former leader.
    FormerLeadersStart,
    /// Another incarnation, which the present leader has not reached, as the lease of a former one.
    FormerLeadersLease,
    /// Another incarnation, as an acknowledgement, with ends there.
    Acknowledgement,
}

/// A worker and a task, with a call that is on its way.
pub(crate) struct Play {
    simulation: Simulation,
    worker: SmolStr,
    id: JobId,
    /// Jobs that were submitted later.
    later: Vec<JobId>,
    late: Option<WorkerCall>,
    /// Fence of the present leader.
    fence: u64,
    /// Whether a leader has taken a run there for lapsed.
    has_lapsed: bool,
    /// Whether a leader has taken the worker for gone.
    has_removed: bool,
    /// Whether the worker was cut off as the call arrived.
    is_cut_off: bool,
    /// Number of restarts before that.
    passed_restarts_count: usize,
    restarts_count: usize,
    arrival: Arrival,
}

impl Play {
    pub(crate) fn open(has_former_end: bool) -> Self {
        let mut simulation = Simulation::open(&["maps"], 2);
        simulation.now_ms += AGE_MS;
        simulation.advance(STEP_MS);
        let mut play = Self {
            worker: simulation.workers.keys().next().expect("a worker").clone(),
            simulation,
            id: JobId(0),
            later: Vec::new(),
            late: None,
            fence: FIRST_FENCE,
            has_lapsed: false,
            has_removed: false,
            is_cut_off: false,
            passed_restarts_count: 0,
            restarts_count: 0,
            arrival: Arrival::Harmless,
        };
        if has_former_end {
            play.end_former_run();
        }
        play
    }

    /// Runs a task to an end that the leader reads and does not acknowledge yet, as the store is slow.
    fn end_former_run(&mut self) {
        self.submit(FORMER_RUN_MS);
        let simulation = &mut self.simulation;
        simulation.advance_until(ACTED_MS, |simulation| !simulation.starts.is_empty());
        simulation.is_store_unavailable = true;
        simulation.advance(2 * FORMER_RUN_MS);
        assert_eq!(simulation.workers[&self.worker].ended.len(), 1);
        simulation.is_store_unavailable = false;
    }

    fn submit(&mut self, run_ms: u64) {
        let spec = job(vec![step(1, 1_000, run_ms)]);
        self.id = self.simulation.submit("maps", spec);
    }

    /// Submits the jobs again whose acceptance the former leader has not confirmed.
    fn submit_again(&mut self) {
        let simulation = &mut self.simulation;
        for id in &self.later {
            if !simulation.accepted.contains(id) {
                let spec = simulation.submitted[id].spec.clone();
                simulation.try_submit(*id, "team", "maps", spec);
            }
        }
    }

    /// Returns what the call meets if it arrives now.
    fn arrival(&self, late: &WorkerCall) -> Arrival {
        let (target, worker) = (late.target(), &self.simulation.workers[&self.worker]);
        let has_ends_through = |number| worker.ended.iter().any(|end| end.number <= number);
        match late {
            _ if target.started_unix_ms == worker.info.started_unix_ms => Arrival::Harmless,
            WorkerCall::Start(_) if self.fence > target.fence => Arrival::FormerLeadersStart,
            WorkerCall::Start(order) if self.has_started(&order.name) => Arrival::RepeatedStart,
            WorkerCall::Start(_) => Arrival::Start,
            WorkerCall::Poll(poll) if has_ends_through(poll.acknowledged_through) => {
                Arrival::Acknowledgement
            }
            WorkerCall::Poll(poll)
                if poll.lease_end_worker_ms.is_some()
                    && self.fence > target.fence
                    && worker.fence <= target.fence =>
            {
                Arrival::FormerLeadersLease
            }
            WorkerCall::Poll(_) | WorkerCall::Stop(_) => Arrival::Harmless,
        }
    }

    fn has_started(&self, task: &TaskName) -> bool {
        let mut starts = self.simulation.starts.iter();
        starts.any(|(.., name)| name == task)
    }

    /// Returns what the call met, and what a leader has inferred.
    pub(crate) fn outcome(&mut self) -> Arrival {
        self.note_inference();
        match self.arrival {
            Arrival::Start | Arrival::RepeatedStart if self.has_removed && self.is_cut_off => {
                Arrival::CutOffRemovedStart
            }
            Arrival::Start | Arrival::RepeatedStart if self.has_removed => Arrival::RemovedStart,
            Arrival::Start if self.has_lapsed => Arrival::LapsedStart,
            Arrival::Start if self.is_cut_off && self.passed_restarts_count > 1 => {
                Arrival::LaterIncarnationStart
            }
            arrival => arrival,
        }
    }

    /// Records whether the leader has taken a run for lapsed, or the worker for gone.
    fn note_inference(&mut self) {
        let counts = self.simulation.engine.take_loss_counts();
        let losses = counts.lost_runs_counts;
        self.has_lapsed |= losses.contains_key(&LossReason::LeaseExpired);
        self.has_removed |= losses.contains_key(&LossReason::WorkerRemoved);
    }

    /// Plays the order; fails if a check does, or if a task is not done in the end.
    pub(crate) fn play(&mut self, order: &Order) {
        self.send(order.call);
        let (mut gap_ms, next_ms) = order.gaps_ms;
        for event in &order.events {
            self.simulation.advance(gap_ms);
            self.apply(*event, order.is_listed);
            gap_ms = next_ms;
        }
        if !order.events.contains(&Event::CutEnds) {
            self.end_long_cut();
        }
        let jobs = [&self.later[..], &[self.id]].concat();
        self.simulation.advance_until(DONE_MS, |simulation| {
            let is_complete = |id: &JobId| simulation.state(*id) == Some(JobState::Complete);
            jobs.iter().all(is_complete)
        });
    }

    /// Ends a cut that outlasts all leases, after which the lists are read.
    fn end_long_cut(&mut self) {
        self.simulation.advance(CUT_MS);
        self.simulation
            .link
            .set_reach(self.worker.clone(), Reach::Full);
        self.simulation.list_all();
    }

    /// Has the task started, and the call sent, which is lost on its way.
    fn send(&mut self, call: LateCall) {
        if call == LateCall::EarlyAcknowledgement {
            self.hold(call);
            self.submit(RUN_MS);
            let id = self.id;
            return self
                .simulation
                .advance_until(ACTED_MS, |simulation| simulation.accepted.contains(&id));
        }
        self.submit(RUN_MS);
        if call == LateCall::Stop {
            self.hold(LateCall::Start);
        }
        self.hold(call);
    }

    /// Holds back the next call of this kind.
    fn hold(&mut self, kind: LateCall) {
        self.simulation.link.holds_next = Some(kind.test());
        self.simulation
            .advance_until(ACTED_MS, |simulation| simulation.link.holds_next.is_none());
        let held = self.simulation.link.take_held_back().pop();
        self.late = held.map(|(_, call)| call);
        let id = self.late.as_ref().map(WorkerCall::worker);
        assert_eq!(id, Some(&self.worker));
    }

    fn deliver(&mut self) {
        let call = self.late.take().expect("set by `hold`");
        self.arrival = self.arrival(&call);
        self.is_cut_off = !self.simulation.link.hears(&self.worker);
        self.passed_restarts_count = self.restarts_count;
        let now_ms = self.simulation.now_ms;
        self.simulation.late_calls.push((now_ms, call));
    }

    fn apply(&mut self, event: Event, is_listed: bool) {
        let id = self.worker.clone();
        let is_restart = [Event::WorkerRestarts, Event::WorkerReturns].contains(&event);
        self.restarts_count += usize::from(is_restart);
        let simulation = &mut self.simulation;
        match event {
            Event::CallArrives => self.deliver(),
            Event::WorkerRestarts => restart(simulation, &id, is_listed),
            Event::CutBegins => {
                simulation.link.set_reach(id, Reach::Dropped);
                if !self.later.is_empty() {
                    add_spare(simulation);
                }
            }
            Event::CutEnds => simulation.link.set_reach(id, Reach::Full),
            Event::TaskEnds => {
                let runs = simulation.workers[&id].running.iter_mut();
                for (_, run) in runs.filter(|((name, _), _)| name.job == self.id) {
                    run.ends_ms = simulation.now_ms;
                }
            }
            Event::TaskStarts => {
                let spec = job(vec![step(LATER_TASKS_COUNT, LATER_CPU_MILLIS, RUN_MS)]);
                self.later.push(simulation.submit("maps", spec));
            }
            Event::WorkerGoesDown => {
                simulation.workers[&id].crash();
                set_row(simulation, &id, InstanceState::Down);
            }
            Event::InstancesListed => simulation.list_instances(),
            Event::WorkerReturns => {
                set_row(simulation, &id, InstanceState::Up);
                restart(simulation, &id, is_listed);
            }
            Event::LeaderChanges => {
                self.note_inference();
                self.fence += 1;
                self.simulation.fail_over(self.fence);
                self.submit_again();
            }
        }
    }
}

/// Restarts a worker, which ends the connections to it.
fn restart(simulation: &mut Simulation, id: &SmolStr, is_listed: bool) {
    let now_ms = simulation.now_ms;
    simulation.restart(id);
    for (poll, due_ms) in mem::take(&mut simulation.polls) {
        let is_ended = poll.target.id == *id && simulation.link.hears(id);
        match is_ended {
            true => simulation
                .failing_polls
                .push((poll, now_ms, OrderFailure::Lost)),
            false => simulation.polls.push((poll, due_ms)),
        }
    }
    if is_listed {
        simulation.list_all();
    }
}

/// Adds a worker with room for the tasks of the one that is cut off; the leader knows it at once.
fn add_spare(simulation: &mut Simulation) {
    let name = SmolStr::from("maps-spare");
    simulation.add_instance(&name, "maps");
    let spare = simulation.instances[&name].worker.clone();
    simulation.list_to_leader(&[spare.expect("set by `add_instance`")]);
}

/// Shows the instance of a worker as up with this worker, or as down.
fn set_row(simulation: &mut Simulation, id: &SmolStr, state: InstanceState) {
    let instance = simulation.workers[id].info.instance.clone();
    let row = &mut simulation.instances[&instance.expect("set by `add_worker`")];
    row.state = state;
    row.worker = (state == InstanceState::Up).then(|| id.clone());
}
