//! Suspicion of unresponsive workers, shared with all entries through the ledger. An entry that
//! reaches no worker at all may itself be cut off, so it reports a worker as unresponsive only
//! after another worker has answered.

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::{
    entry::engine::Engine,
    fleet::{InstanceName, MonoMs, Standing},
    ledger::SeatChange,
};

/// Time within which another worker must answer after a failed probe, in milliseconds.
const SUSPECT_MAX_MS: u64 = 3_000;

/// Workers that did not answer their latest probe.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reach {
    suspects: IndexMap<InstanceName, Suspect>,
    other_probed_ms: MonoMs,
}

#[derive(Clone, Debug)]
struct Suspect {
    incarnation: SmolStr,
    probed_ms: MonoMs,
}

impl Engine {
    /// Handles the result of a probe.
    pub(crate) fn handle_probe(&mut self, name: &str, incarnation: &str, is_reachable: bool) {
        if is_reachable {
            self.propose_standing(name, incarnation, Standing::Serving);
            self.record_worker_answer(name);
            return;
        }
        let suspect = Suspect {
            incarnation: incarnation.into(),
            probed_ms: self.now.mono_ms,
        };
        self.reach.suspects.insert(name.into(), suspect);
        self.probe_other_worker();
    }

    /// Records that a worker answered. This proves that the entry is not cut off from all workers,
    /// so recent suspects are proposed as doubtful.
    pub(crate) fn record_worker_answer(&mut self, name: &str) {
        if self.reach.suspects.is_empty() {
            return;
        }
        let mut suspects = std::mem::take(&mut self.reach.suspects);
        suspects.shift_remove(name);
        let now_ms = self.now.mono_ms;
        for (name, suspect) in suspects {
            if now_ms <= suspect.probed_ms + SUSPECT_MAX_MS {
                self.propose_standing(&name, &suspect.incarnation, Standing::Doubtful);
            }
        }
    }

    /// Probes a worker that is not suspected: there may be no attempt in flight whose answer would
    /// show that this entry is not cut off.
    fn probe_other_worker(&mut self) {
        let now_ms = self.now.mono_ms;
        if now_ms < self.reach.other_probed_ms + self.settings.probe_every_ms {
            return;
        }
        self.reach.other_probed_ms = now_ms;
        let workers = self.workers.iter().map(|(name, _)| name);
        let others = workers.filter(|name| !self.reach.suspects.contains_key(*name));
        let other = rand::seq::IteratorRandom::choose(others, &mut self.rng).cloned();
        if let Some(other) = other {
            self.probe(&other);
        }
    }

    fn propose_standing(&mut self, name: &str, incarnation: &str, standing: Standing) {
        let entry = self.ledger.instances.get(name);
        let is_change = entry.is_some_and(|entry| {
            entry.row.incarnation == incarnation
                && entry.standing != standing
                && matches!(entry.standing, Standing::Serving | Standing::Doubtful)
        });
        if is_change {
            self.propose(SeatChange::Standing {
                name: name.into(),
                incarnation: incarnation.into(),
                standing,
            });
        }
    }
}
