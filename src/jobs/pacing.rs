//! Pace of best-effort tasks. They are slowed before the tail latency of the long-running tasks on
//! the same worker reaches its bound, and sped up again with hysteresis.

use crate::jobs::engine::Engine;
use crate::jobs::keys::{RunKey, WorkerKey};
use crate::jobs::orders::{Action, PaceOrder};
use crate::jobs::worker::{SlotState, Worker};
use crate::logging::Event;

/// Share of the bound from which best-effort tasks are slowed, in thousandths.
const SLOW_FROM_PERMILLE: u64 = 800;
/// Share of the bound up to which they are sped up again, in thousandths.
const RESUME_UP_TO_PERMILLE: u64 = 550;
/// Share of the bound from which they are paused, in thousandths.
const HALT_FROM_PERMILLE: u64 = 950;
/// Step by which they are sped up, in percent.
const RESUME_STEP_PERCENT: u64 = 20;

/// Returns the pace of the best-effort tasks of a worker, or `None` if it has no such task.
fn next_pace(worker: &Worker) -> Option<u64> {
    let serving = worker
        .slots
        .values()
        .filter(|slot| slot.tail_target_ms > 0 && slot.is_long_running && !slot.is_best_effort);
    let worst_permille = serving
        .map(|slot| slot.metric * 1_000 / slot.tail_target_ms)
        .max();
    let mut best_effort = worker.slots.values().filter(|slot| slot.is_best_effort);
    let pace = best_effort.next()?.pace_percent;
    let next = match worst_permille {
        None => 100,
        Some(worst) if worst >= HALT_FROM_PERMILLE => 0,
        Some(worst) if worst >= SLOW_FROM_PERMILLE => pace / 2,
        Some(worst) if worst <= RESUME_UP_TO_PERMILLE => (pace + RESUME_STEP_PERCENT).min(100),
        Some(_) => pace,
    };
    Some(next)
}

impl Engine {
    /// Orders the pace of all best-effort tasks where it changes.
    pub(crate) fn review_pace(&mut self) {
        for key in self.present_keys().collect::<Vec<_>>() {
            let Some(percent) = next_pace(self.worker(key)) else {
                continue;
            };
            let changed: Vec<RunKey> = self
                .worker(key)
                .slots
                .iter()
                .filter(|(_, slot)| slot.is_best_effort && slot.pace_percent != percent)
                .filter(|(_, slot)| matches!(slot.state, SlotState::Placed { .. }))
                .map(|(run, _)| *run)
                .collect();
            for run in changed {
                self.set_pace(key, run, percent);
            }
        }
    }

    fn set_pace(&mut self, key: WorkerKey, run: RunKey, percent: u64) {
        let order = PaceOrder {
            target: self.target(key),
            run,
            name: self.task_name(run.task),
            percent,
        };
        if let Some(slot) = self.worker_mut(key).slots.get_mut(&run) {
            Event::new("pace_set")
                .with("task", order.name)
                .with("worker", &order.target.id)
                .with("before_percent", slot.pace_percent)
                .with("percent", percent)
                .info();
            slot.pace_percent = percent;
        }
        self.actions.push(Action::Pace(order));
    }

    /// Handles a failure to set the pace of a run; the next review sets it again.
    pub fn pace_failed(&mut self, order: &PaceOrder, now_ms: u64) {
        self.now_ms = now_ms.max(self.now_ms);
        let worker = self.worker_mut(order.target.worker);
        if let Some(slot) = worker.slots.get_mut(&order.run) {
            slot.pace_percent = u64::MAX;
        }
    }
}
