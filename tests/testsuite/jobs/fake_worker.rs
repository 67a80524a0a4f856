//! A simulated worker.

use std::collections::HashSet;
use std::mem;

use hawthornladder::jobs::{EndKind, RunEnd, Size, Target, TaskName, WorkerInfo};
use indexmap::IndexMap;
use smol_str::SmolStr;

use super::simulation::UNIX_MS;

/// Longest lease that a worker grants, in milliseconds.
const LEASE_MAX_MS: u64 = 10_000;

/// A run at a simulated worker.
#[derive(Clone, Debug)]
pub(crate) struct Running {
    pub(crate) reservation: Size,
    pub(crate) team: SmolStr,
    pub(crate) started_ms: u64,
    pub(crate) ends_ms: u64,
    pub(crate) end: EndKind,
}

/// A simulated worker.
#[derive(Clone, Debug)]
pub(crate) struct FakeWorker {
    pub(crate) info: WorkerInfo,
    pub(crate) running: IndexMap<(TaskName, u64), Running>,
    pub(crate) ended: Vec<RunEnd>,
    /// Ends as done that are not acknowledged: number, task and time in milliseconds. They no longer
    /// count once the lease has expired.
    pub(crate) unsettled_done: Vec<(u64, TaskName, u64)>,
    pub(crate) blocked: HashSet<(TaskName, u64)>,
    pub(crate) fence: u64,
    pub(crate) next_number: u64,
    /// Time at which its clock began, at 0, in milliseconds.
    pub(crate) clock_start_ms: u64,
    /// End of the leases of its runs, in milliseconds.
    pub(crate) leased_until_ms: u64,
    /// It receives no calls and sends no answers.
    pub(crate) is_disconnected: bool,
    /// It receives calls, but its answers are lost.
    pub(crate) loses_answers: bool,
    /// Its process has ended; [`restart`](Self::restart) starts it again.
    pub(crate) is_dead: bool,
    /// Capacity before it shrank, which the runs that it then had may still use; none if it has not
    /// shrunk.
    pub(crate) capacity_before: Option<Size>,
    /// Calls to it fail at once, as its process has crashed.
    pub(crate) resets_connections: bool,
    /// Delay with which it carries out starts that it does not answer, in milliseconds; 0 to answer
    /// them at once.
    pub(crate) start_delay_ms: u64,
    /// Delay with which it ends runs whose lease has expired, in milliseconds.
    pub(crate) expiry_delay_ms: u64,
    /// It refuses starts as too late.
    pub(crate) refuses_as_late: bool,
}

impl FakeWorker {
    pub(crate) fn end(&mut self, key: (TaskName, u64), kind: EndKind) {
        self.running.swap_remove(&key);
        self.next_number += 1;
        self.blocked.insert(key);
        self.ended.push(RunEnd {
            number: self.next_number,
            name: key.0,
            run_number: key.1,
            kind,
            checkpoint: SmolStr::default(),
        });
    }

    /// Returns whether this incarnation is the one that a call is meant for. A leader without a valid lease
    /// sends nothing to another one.
    pub(crate) fn is_incarnation_of(&self, target: &Target) -> bool {
        [0, self.info.started_unix_ms].contains(&target.started_unix_ms)
    }

    /// Returns whether the leader hears nothing of it.
    pub(crate) fn is_silent(&self) -> bool {
        self.is_disconnected || self.is_dead || self.loses_answers
    }

    /// Returns whether it refuses a run: a run of the task that is no lower was stopped or has ended
    /// there.
    pub(crate) fn has_blocked(&self, (name, run): &(TaskName, u64)) -> bool {
        let mut blocked = self.blocked.iter();
        blocked.any(|(known, number)| known == name && number >= run)
    }

    /// Returns whether one more run fits beside the present ones.
    pub(crate) fn has_room(&self, reservation: &Size) -> bool {
        let mut used = Size::default();
        for run in self.running.values() {
            used.add(&run.reservation);
        }
        used.fits_with(reservation, &self.info.capacity)
    }

    /// Takes the ends as done that are acknowledged up to `through`.
    pub(crate) fn take_settled_done(&mut self, through: u64) -> Vec<(TaskName, u64)> {
        let (settled, later) = mem::take(&mut self.unsettled_done)
            .into_iter()
            .partition(|(number, ..)| *number <= through);
        self.unsettled_done = later;
        let settled: Vec<(u64, TaskName, u64)> = settled;
        settled
            .into_iter()
            .map(|(_, name, ended_ms)| (name, ended_ms))
            .collect()
    }

    /// Returns the time on its clock at `now_ms`, in milliseconds.
    pub(crate) fn clock_ms(&self, now_ms: u64) -> u64 {
        now_ms - self.clock_start_ms
    }

    /// Extends the leases of its runs to a time on its clock, or to the longest lease.
    pub(crate) fn extend_leases(&mut self, until_worker_ms: u64, now_ms: u64) {
        let longest_ms = self.clock_ms(now_ms) + LEASE_MAX_MS;
        let until_ms = self.clock_start_ms + until_worker_ms.min(longest_ms);
        self.leased_until_ms = self.leased_until_ms.max(until_ms);
    }

    /// Starts a new incarnation under the same id, with a clock of its own.
    pub(crate) fn restart(&mut self, started_unix_ms: u64) {
        self.clock_start_ms = started_unix_ms - UNIX_MS;
        self.running.clear();
        self.ended.clear();
        self.unsettled_done.clear();
        self.blocked.clear();
        self.fence = 0;
        self.next_number = 0;
        self.leased_until_ms = 0;
        self.info.started_unix_ms = started_unix_ms;
        self.is_disconnected = false;
        self.is_dead = false;
        self.resets_connections = false;
    }

    /// Ends its process: all that ran there is gone, and so are the ends that it listed.
    pub(crate) fn crash(&mut self) {
        self.running.clear();
        self.ended.clear();
        self.unsettled_done.clear();
        self.is_dead = true;
        self.resets_connections = true;
    }
}
