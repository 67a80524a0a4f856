//! The latest crashes of instances, and the workers that have stopped answering: what tells a crash
//! with a cause of its own from one among many.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use indexmap::IndexMap;
use smol_str::SmolStr;

use crate::jobs::crashes::{CrashRecord, Incarnation};
use crate::jobs::keys::WorkerKey;
use crate::jobs::worker::Worker;

/// Time for which crashes and silences are kept, in milliseconds.
const RECENT_MS: u64 = 30_000;

/// The last crash of an instance.
#[derive(Clone, Debug)]
struct InstanceCrash {
    incarnation: Incarnation,
    at_ms: u64,
    /// Whether the worker was reserved for a suspect, or a task had just been started there.
    has_likely_cause: bool,
}

/// The latest crashes and silences.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashHistory {
    crashes: IndexMap<SmolStr, InstanceCrash>,
    /// Workers that stopped answering lately, by the times of their first failed polls.
    silences: BTreeSet<(u64, WorkerKey)>,
}

/// Returns the name of a worker's instance, or else its id.
fn instance_name(worker: &Worker) -> &SmolStr {
    worker.info.instance.as_ref().unwrap_or(&worker.info.id)
}

impl CrashHistory {
    /// Records that a worker has stopped answering.
    pub(crate) fn note_silence(&mut self, worker: WorkerKey, now_ms: u64) {
        let oldest_ms = now_ms.saturating_sub(RECENT_MS);
        self.silences = self.silences.split_off(&(oldest_ms, WorkerKey(0)));
        self.silences.insert((now_ms, worker));
    }

    /// Returns the workers that stopped answering within these times, with the times.
    pub(crate) fn silences_in(
        &self,
        times_ms: RangeInclusive<u64>,
    ) -> impl Iterator<Item = (u64, WorkerKey)> + '_ {
        let first = (*times_ms.start(), WorkerKey(0));
        let last = (*times_ms.end(), WorkerKey(u32::MAX));
        self.silences.range(first..=last).copied()
    }

    /// Records the crash of a worker.
    pub(crate) fn note_crash(&mut self, worker: &Worker, has_likely_cause: bool, now_ms: u64) {
        let crash = InstanceCrash {
            incarnation: worker.incarnation(),
            at_ms: now_ms,
            has_likely_cause,
        };
        self.crashes
            .retain(|_, crash| now_ms < crash.at_ms + RECENT_MS);
        self.crashes.insert(instance_name(worker).clone(), crash);
    }

    /// Forgets crashes of which the cause is known.
    pub(crate) fn forget_crashes(&mut self, explained: &[CrashRecord]) {
        let is_explained = |crash: &InstanceCrash| {
            let mut explained = explained.iter();
            explained.any(|known| known.incarnation == crash.incarnation)
        };
        self.crashes.retain(|_, crash| !is_explained(crash));
    }

    /// Returns whether an earlier worker of the same instance has crashed lately for no reason that
    /// is known.
    pub(crate) fn is_unreliable(&self, worker: &Worker, now_ms: u64) -> bool {
        let crash = self.crashes.get(instance_name(worker));
        crash.is_some_and(|crash| {
            let is_recent = now_ms < crash.at_ms + RECENT_MS;
            is_recent && !crash.has_likely_cause && crash.incarnation != worker.incarnation()
        })
    }

    /// Returns the time of the last crash of a worker's instance, in milliseconds; 0 for none.
    pub(crate) fn last_crash_ms(&self, worker: &Worker) -> u64 {
        let crash = self.crashes.get(instance_name(worker));
        crash.map_or(0, |crash| crash.at_ms)
    }

    /// Returns whether a worker crashed with a likely cause.
    pub(crate) fn had_likely_cause(&self, worker: &Worker) -> bool {
        let crash = self.crashes.get(instance_name(worker));
        crash.is_some_and(|crash| {
            crash.has_likely_cause && crash.incarnation == worker.incarnation()
        })
    }
}
