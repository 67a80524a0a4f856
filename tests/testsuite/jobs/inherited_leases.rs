//! What a leader assumes of a worker whose former incarnation was known to an earlier leader only. Calls that
//! were meant for that one may have reached the present one, or still reach it.

use hawthornladder::jobs::{JobId, PollOrder};
use smol_str::SmolStr;

use super::simulation::{job, step, Simulation};

/// Age of the first incarnations at the restart, in milliseconds: more than the longest lease.
const AGE_MS: u64 = 15_000;
/// Time after which a leader has acted on what it was shown, in milliseconds.
const ACTED_MS: u64 = 500;
/// Time in which all leases of a worker that is cut off end, in milliseconds: the time for which calls arrive
/// late, and the longest lease.
const CUT_MS: u64 = 23_000;
/// Time from a late call in a cut in which the leases end that a leader counts there, in milliseconds.
const LATE_LEASES_MS: u64 = CUT_MS - LATE_IN_CUT_MS;
/// Run time of tasks that do not end in a test, in milliseconds.
const RUN_MS: u64 = 60_000;
/// Time from a cut to the arrival of a late call, in milliseconds: less than a lease.
const LATE_IN_CUT_MS: u64 = 3_000;
/// Number of tasks: more than one worker takes.
const TASKS_COUNT: usize = 40;
/// Fence of the second leader.
const NEXT_FENCE: u64 = 2;

/// Which workers the next leader finds in its list.
#[derive(Clone, Copy, Debug)]
enum Lists {
    All,
    Others,
}

/// A worker that has restarted, with a poll that was meant for its former incarnation.
struct Restarted {
    simulation: Simulation,
    worker: SmolStr,
    late_poll: PollOrder,
}

impl Restarted {
    /// Restarts a worker whose runs were just polled; the leader knows of it, and nothing runs there.
    fn open() -> Self {
        let mut simulation = Simulation::open(&["maps"], 2);
        simulation.advance(AGE_MS);
        let former = simulation.submit("maps", job(vec![step(1, 1_000, RUN_MS)]));
        simulation.advance(ACTED_MS);
        let late_poll = simulation.polls[0].0.clone();
        assert!(late_poll.lease_end_worker_ms.is_some());
        let worker = late_poll.target.id.clone();
        simulation.restart(&worker);
        simulation.list_all();
        simulation.engine.cancel(former);
        simulation.advance(ACTED_MS);
        Self {
            simulation,
            worker,
            late_poll,
        }
    }

    /// Lets the late poll arrive, which extends the leases to the longest one.
    fn receive_late_poll(&mut self) {
        self.simulation.receive_poll(&self.late_poll);
    }

    /// Starts tasks on both workers.
    fn start_tasks(&mut self) -> JobId {
        let count = u32::try_from(TASKS_COUNT).expect("small");
        let spec = job(vec![step(count, 1_000, RUN_MS)]);
        let id = self.simulation.submit("maps", spec);
        self.simulation.advance(ACTED_MS);
        assert!(self.runs_count(id) > 0);
        id
    }

    /// Returns the number of runs of a job at the worker.
    fn runs_count(&self, id: JobId) -> usize {
        let runs = self.simulation.runs_of(id);
        runs.iter()
            .filter(|(worker, ..)| *worker == self.worker)
            .count()
    }

    /// Lets another leader lead, which reads the runs of the worker.
    fn fail_over(&mut self) {
        self.simulation.fail_over(NEXT_FENCE);
        self.simulation.advance(ACTED_MS);
    }

    /// Cuts the worker off, lets another leader lead that does not reach it, and lets the late poll arrive
    /// there meanwhile, while the leases that were given before still last.
    fn fail_over_in_cut(&mut self, lists: Lists) {
        let simulation = &mut self.simulation;
        simulation.workers[&self.worker].is_disconnected = true;
        match lists {
            Lists::All => simulation.fail_over(NEXT_FENCE),
            Lists::Others => {
                simulation.fail_over_without_lists(NEXT_FENCE);
                let ids = simulation.workers.keys();
                let others: Vec<_> = ids.filter(|id| **id != self.worker).cloned().collect();
                simulation.list_to_leader(&others);
            }
        }
        simulation.advance(LATE_IN_CUT_MS);
        self.receive_late_poll();
    }

    /// Cuts the worker off until its leases have ended. The simulation checks that no task runs twice
    /// meanwhile, and its tasks have to run elsewhere in the end.
    fn cut_off(mut self, id: JobId) {
        let simulation = &mut self.simulation;
        simulation.workers[&self.worker].is_disconnected = true;
        // Here is room for all of its tasks.
        simulation.add_instance(&"maps-spare".into(), "maps");
        simulation.list_all();
        simulation.advance(CUT_MS);
        assert_eq!(self.runs_count(id), 0, "the leases have not ended");
        assert_eq!(self.simulation.runs_of(id).len(), TASKS_COUNT);
    }
}

/// Guards against tasks that run twice: a poll that was meant for the former incarnation has extended leases
/// to the longest one, and the next leader, which has read the runs, counts a shorter one (issue 64).
#[test]
fn a_leader_counts_the_longest_lease_that_its_predecessor_may_have_given() {
    let mut restarted = Restarted::open();
    restarted.receive_late_poll();
    let id = restarted.start_tasks();
    restarted.fail_over();
    restarted.cut_off(id);
}

/// As above, for tasks that the next leader starts there itself: the lease of the late poll holds for all that
/// runs at the worker.
#[test]
fn a_leader_counts_the_longest_lease_for_its_own_starts_as_well() {
    let mut restarted = Restarted::open();
    restarted.receive_late_poll();
    restarted.fail_over();
    let id = restarted.start_tasks();
    restarted.cut_off(id);
}

/// As above, with a second change of leader: what the first successor assumed is not known to the second.
#[test]
fn a_leader_counts_the_longest_lease_after_two_changes_of_leader() {
    let mut restarted = Restarted::open();
    restarted.receive_late_poll();
    let id = restarted.start_tasks();
    restarted.fail_over();
    restarted.simulation.fail_over(NEXT_FENCE + 1);
    restarted.simulation.advance(ACTED_MS);
    restarted.cut_off(id);
}

/// Guards against tasks that run twice: a late call arrives just before it can no longer arrive, and tasks are
/// started after that, which its lease holds as well.
#[test]
fn the_lease_of_the_last_late_call_is_counted_for_later_starts() {
    /// Time from the restart to the arrival, in milliseconds: less than that for which calls arrive late.
    const LATE_MS: u64 = 11_000;
    /// Time from then to the start, in milliseconds.
    const LATER_MS: u64 = 2_000;
    let mut restarted = Restarted::open();
    restarted.simulation.advance(LATE_MS);
    restarted.receive_late_poll();
    restarted.simulation.advance(LATER_MS);
    let id = restarted.start_tasks();
    restarted.cut_off(id);
}

/// Guards against tasks that run twice: the next leader does not reach a worker that has restarted shortly
/// before, and waits for the leases of its runs only, while a late call extends them to the longest one.
#[test]
fn a_leader_waits_for_late_calls_at_a_young_worker_that_it_does_not_reach() {
    let mut restarted = Restarted::open();
    let id = restarted.start_tasks();
    restarted.fail_over_in_cut(Lists::All);
    restarted.cut_off(id);
}

/// As above, where the list does not show the worker, so that its age is not known.
#[test]
fn a_leader_waits_for_late_calls_at_a_worker_of_unknown_age_that_it_does_not_reach() {
    let mut restarted = Restarted::open();
    let id = restarted.start_tasks();
    restarted.fail_over_in_cut(Lists::Others);
    let spare_count = restarted.simulation.starts.len();
    restarted.simulation.advance(LATE_LEASES_MS);
    assert_eq!(restarted.runs_count(id), 0, "the leases have not ended");
    assert!(restarted.simulation.starts.len() > spare_count);
}

/// Guards against tasks that wait for late calls at a worker that no such call can reach any more: it has run
/// for longer than calls are late.
#[test]
fn a_leader_waits_only_for_leases_at_an_old_worker_that_it_does_not_reach() {
    /// Age at the change of leader, in milliseconds.
    const OLD_MS: u64 = 20_000;
    /// Time in which the leases of an unreachable worker end, in milliseconds.
    const LEASES_MS: u64 = 11_000;
    let mut simulation = Simulation::open(&["maps"], 2);
    simulation.advance(OLD_MS);
    let id = simulation.submit("maps", job(vec![step(1, 1_000, RUN_MS)]));
    simulation.advance(ACTED_MS);
    let worker = simulation.runs_of(id)[0].0.clone();
    simulation.workers[&worker].is_disconnected = true;
    simulation.fail_over(NEXT_FENCE);
    simulation.advance(LEASES_MS);
    assert_eq!(simulation.runs_of(id).len(), 1);
    assert_ne!(simulation.runs_of(id)[0].0, worker);
}

/// Lets another leader follow, and cuts off the worker that has the run of a job once that one has read it.
fn follow_and_cut_off(mut simulation: Simulation, id: JobId) {
    let worker = simulation.runs_of(id)[0].0.clone();
    simulation.fail_over(NEXT_FENCE);
    simulation.advance(ACTED_MS);
    simulation.workers[&worker].is_disconnected = true;
    simulation.advance(CUT_MS);
    assert_eq!(simulation.runs_of(id).len(), 1);
}

/// Guards against a task that runs twice: the clock of an idle worker is slow by a fiftieth, so that a start there
/// gives a longer lease than its leader means to, and the next leader, which reads the run, counts a shorter
/// one.
#[test]
fn a_leader_counts_the_lease_that_its_predecessor_gave_by_a_slow_clock() {
    /// Time without a poll of the worker, in milliseconds.
    const IDLE_MS: u64 = 300_000;
    let mut simulation = Simulation::open(&["maps"], 2);
    simulation.advance(IDLE_MS);
    for worker in simulation.workers.values_mut() {
        worker.clock_start_ms += IDLE_MS / 50;
    }
    let id = simulation.submit("maps", job(vec![step(1, 1_000, RUN_MS)]));
    simulation.advance(ACTED_MS);
    follow_and_cut_off(simulation, id);
}

/// Guards against a task that runs twice: nobody has noticed the restart of an idle worker for long, a start
/// that is meant for the former incarnation gives the longest lease, and the next leader counts a shorter one.
#[test]
fn a_leader_counts_the_lease_of_a_start_after_a_restart_that_nobody_has_noticed() {
    /// Time from the restart to the start, in milliseconds.
    const UNNOTICED_MS: u64 = 30_000;
    let mut simulation = Simulation::open(&["maps"], 2);
    simulation.advance(AGE_MS);
    let ids: Vec<SmolStr> = simulation.workers.keys().cloned().collect();
    ids.iter().for_each(|id| simulation.restart(id));
    simulation.advance(UNNOTICED_MS);
    let id = simulation.submit("maps", job(vec![step(1, 1_000, RUN_MS)]));
    simulation.advance_until(ACTED_MS, |simulation| !simulation.starts.is_empty());
    follow_and_cut_off(simulation, id);
}
