//! Runs that are lost: with their worker, or because it no longer lists them. No end is reported for
//! them. What is known of a loss, such as how long the run was there and how many others were there
//! with it, is logged and counted.

use crate::jobs::engine::Engine;
use crate::jobs::keys::{RunKey, WorkerKey};
use crate::jobs::worker::Slot;
use crate::logging::Event;

/// Why runs are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum LossReason {
    /// The worker has restarted under its id.
    #[strum(serialize = "reborn")]
    WorkerRestarted,
    /// The worker does not answer, and no instance has it any more.
    #[strum(serialize = "no_instance_has_it")]
    WorkerRemoved,
    /// Its instance was moved or maintained by an order of this leader.
    InstanceOrdered,
    /// The worker has not answered for as long as its leases last.
    #[strum(serialize = "lease_over")]
    LeaseExpired,
    /// The worker answers and does not list the run.
    NotListed,
}

impl LossReason {
    /// Returns whether the worker has, or may have, crashed.
    pub(crate) fn is_crash(self) -> bool {
        matches!(
            self,
            Self::WorkerRestarted | Self::WorkerRemoved | Self::LeaseExpired
        )
    }
}

/// A run that is lost.
pub(crate) struct LostRun {
    pub(crate) run: RunKey,
    pub(crate) slot: Slot,
}

impl Engine {
    /// Loses all runs of a worker.
    pub(crate) fn lose_all_runs(&mut self, key: WorkerKey, reason: LossReason) -> Vec<LostRun> {
        let runs = self.worker(key).slots.keys().copied().collect();
        self.lose_runs(key, runs, reason)
    }

    /// Loses these runs of a worker.
    pub(crate) fn lose_runs(
        &mut self,
        key: WorkerKey,
        runs: Vec<RunKey>,
        reason: LossReason,
    ) -> Vec<LostRun> {
        let worker = self.worker(key);
        let is_crash = reason.is_crash() && !worker.info.is_draining && !runs.is_empty();
        if is_crash {
            Event::new("worker_crashed")
                .with("worker", &worker.info.id)
                .with("instance", worker.info.instance.as_deref().unwrap_or(""))
                .with("reason", reason)
                .with("runs_count", runs.len())
                .with("silent_ms", self.now_ms - worker.last_heard_ms(self.now_ms))
                .warn();
        }
        self.loss_counts.count(reason, is_crash, runs.len());
        let lost: Vec<LostRun> = runs
            .into_iter()
            .filter_map(|run| Some((run, self.drop_slot(key, run)?)))
            .map(|(run, slot)| LostRun { run, slot })
            .collect();
        for LostRun { run, slot } in &lost {
            self.record_lost_run(key, *run, slot, lost.len() - 1, reason);
        }
        if is_crash {
            self.blame_runs(key, reason, &lost);
            self.end_reservation(key);
        }
        lost
    }

    fn record_lost_run(
        &mut self,
        key: WorkerKey,
        run: RunKey,
        slot: &Slot,
        beside_count: usize,
        reason: LossReason,
    ) {
        let worker = self.worker(key);
        let heard_ms = worker.last_heard_ms(self.now_ms);
        let crashes_count = self.task(run.task).map_or(0, |task| task.crashes.len());
        let event = Event::new("run_lost")
            .with("task", self.task_name(run.task))
            .with("run", run.run)
            .with("worker", &worker.info.id)
            .with("born_unix_ms", worker.info.started_unix_ms)
            .with("reason", reason)
            .with("ran_ms", heard_ms.saturating_sub(slot.since_ms))
            .with("beside_count", beside_count)
            .with("crashes_before_count", crashes_count)
            .with("fence", self.settings.fence)
            .with(
                "answered_ago_ms",
                self.now_ms - worker.answered_ms.min(self.now_ms),
            )
            .with("leased_until_worker_ms", worker.leased_until_worker_ms);
        self.with_lease_state(event).info();
        self.change_task(run.task, |task| {
            task.runs.retain(|known| *known != (key, run.run));
        });
        self.needs_dispatch = true;
    }
}

/// Numbers of crashed workers and lost runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LossCounts {
    /// Workers that crashed, or that may have, while they had runs.
    pub crashed_workers_count: u64,
    /// Jobs that were given up because of a task that crashed its workers.
    pub given_up_jobs_count: u64,
    /// Lost runs by reason.
    pub lost_runs_counts: indexmap::IndexMap<LossReason, u64>,
}

impl LossCounts {
    fn count(&mut self, reason: LossReason, is_crash: bool, runs_count: usize) {
        self.crashed_workers_count += u64::from(is_crash);
        *self.lost_runs_counts.entry(reason).or_default() +=
            u64::try_from(runs_count).unwrap_or(u64::MAX);
    }
}

impl Engine {
    /// Takes the numbers of losses since the last call.
    pub fn take_loss_counts(&mut self) -> LossCounts {
        std::mem::take(&mut self.loss_counts)
    }
}
