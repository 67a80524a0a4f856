//! The expected remaining time of a run. The distributions of run times describe runs near their data;
//! a run elsewhere takes longer by the factor of the deployment.

use crate::jobs::engine::Engine;
use crate::jobs::keys::RunKey;
use crate::jobs::place_waits::{scaled, FACTOR_NONE_PERMILLE};
use crate::jobs::worker::Slot;

impl Engine {
    /// Returns the expected remaining time of a run, in milliseconds.
    pub(crate) fn remaining_run_ms(&self, run: &RunKey, slot: &Slot) -> u64 {
        let job = self.job(run.task.job);
        let step = &job.spec.steps[usize::from(run.task.step)];
        let ran_ms = self.now_ms.saturating_sub(slot.since_ms);
        let near_ms = self.near_run_ms(slot, ran_ms);
        let remaining_ms = self.run_times.remaining_ms(&job.queue, step, near_ms);
        match slot.is_remote {
            true => scaled(remaining_ms, self.remote_factor_permille()),
            false => remaining_ms,
        }
    }

    /// Returns the time that a run of `ran_ms` would have taken near its data.
    pub(crate) fn near_run_ms(&self, slot: &Slot, ran_ms: u64) -> u64 {
        match slot.is_remote {
            true => ran_ms * 1_000 / self.remote_factor_permille(),
            false => ran_ms,
        }
    }

    fn remote_factor_permille(&self) -> u64 {
        let factor_permille = self.settings.remote_factor_permille;
        factor_permille.max(FACTOR_NONE_PERMILLE)
    }
}
