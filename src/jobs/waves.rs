//! Waves of maintenance. Each instance of a wave is maintained once, with a limit on how many are
//! down at a time, and within the budgets of long-running steps.

use indexmap::IndexSet;
use smol_str::SmolStr;

use crate::jobs::engine::Engine;
use crate::jobs::instances::InstanceState;
use crate::jobs::orders::{Action, InstanceOrder};
use crate::jobs::record::{PartKey, Record, WaveRecord};
use crate::logging::Event;

/// Number of instances that are drained in advance, beyond those that may be down.
const DRAIN_AHEAD_COUNT: usize = 1;
/// Time that draining a busy instance takes, in milliseconds.
const DRAIN_MS: u64 = 2_500;
/// Time reserved for the rest of a wave, relative to the time that it needs, in thousandths.
const URGENT_PERMILLE: u64 = 1_400;
/// Least time reserved for the rest of a wave, in milliseconds: a long task may run on its last
/// instances, or the leader may change.
const RESERVED_MIN_MS: u64 = 12_000;
/// Time for which an instance has to be idle to be drained while the wave is not urgent, in
/// milliseconds.
const IDLE_MS: u64 = 400;
/// Number of maintained instances in one record of a wave.
const WAVE_PART_COUNT: usize = 500;
/// Interval between reports on a wave in progress, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 4_000;

/// A wave of maintenance, as operators request it.
#[derive(Clone, Debug, PartialEq)]
pub struct WaveSpec {
    /// Number of the wave.
    pub number: u64,
    /// Instances to maintain.
    pub instances: Vec<SmolStr>,
    /// Time in which it should be complete, in milliseconds.
    pub duration_ms: u64,
    /// Most instances that may be down for it at once.
    pub at_once_max: usize,
}

/// Progress of a wave.
#[derive(Clone, Debug)]
pub(crate) struct Wave {
    pub(crate) spec: WaveSpec,
    /// Instances that have been maintained, in the order in which they are persisted.
    pub(crate) done: IndexSet<SmolStr>,
    /// Instances that the platform says are not part of the wave. A later leader asks again.
    refused: IndexSet<SmolStr>,
    /// Time at which a leader first received the wave, in Unix milliseconds.
    requested_unix_ms: u64,
    /// Time of the last report on its state; 0 for never.
    reported_ms: u64,
    /// Whether its completion has been reported.
    is_complete: bool,
}

impl Engine {
    /// Applies a wave that operators request.
    pub fn wave_requested(&mut self, spec: WaveSpec) {
        let number = spec.number;
        let unix_ms = self.unix_ms;
        match self.instances.waves.get_mut(&number) {
            Some(wave) => wave.spec = spec,
            None => {
                Event::new("wave_requested")
                    .with("wave", number)
                    .with("instances_count", spec.instances.len())
                    .with("at_once_max", spec.at_once_max)
                    .with("duration_ms", spec.duration_ms)
                    .info();
                let wave = Wave {
                    spec,
                    done: IndexSet::new(),
                    refused: IndexSet::new(),
                    requested_unix_ms: unix_ms,
                    reported_ms: 0,
                    is_complete: false,
                };
                self.instances.waves.insert(number, wave);
                self.persist_wave(number);
            }
        }
    }

    /// Restores which instances of a wave were maintained under earlier leaders.
    pub(crate) fn restore_wave(&mut self, number: u64, record: WaveRecord) {
        let requested_unix_ms = match record.requested_unix_ms {
            0 => self.unix_ms,
            requested_unix_ms => requested_unix_ms,
        };
        let wave = self.instances.waves.entry(number).or_insert_with(|| Wave {
            spec: WaveSpec {
                number,
                instances: Vec::new(),
                duration_ms: 0,
                at_once_max: 0,
            },
            done: IndexSet::new(),
            refused: IndexSet::new(),
            requested_unix_ms,
            reported_ms: 0,
            is_complete: false,
        });
        wave.requested_unix_ms = wave.requested_unix_ms.min(requested_unix_ms);
        wave.done.extend(record.done);
    }

    /// Restores further instances of a wave that were maintained under earlier leaders.
    pub(crate) fn restore_wave_part(&mut self, number: u64, done: Vec<SmolStr>) {
        let record = WaveRecord {
            requested_unix_ms: 0,
            done,
        };
        self.restore_wave(number, record);
    }

    pub(crate) fn wave_member_done(&mut self, number: u64, instance: &SmolStr) {
        if let Some(wave) = self.instances.waves.get_mut(&number) {
            wave.done.insert(instance.clone());
            self.persist_wave(number);
        }
    }

    /// Persists the newest part of a wave's maintained instances. The parts before it are full and
    /// have been persisted.
    fn persist_wave(&mut self, number: u64) {
        let wave = &self.instances.waves[&number];
        let part_at = wave.done.len().saturating_sub(1) / WAVE_PART_COUNT;
        let done = wave.done.iter().skip(part_at * WAVE_PART_COUNT);
        let done = done.cloned().collect();
        let record = match u32::try_from(part_at).unwrap_or(u32::MAX) {
            0 => Record::Wave(
                number,
                WaveRecord {
                    requested_unix_ms: wave.requested_unix_ms,
                    done,
                },
            ),
            part => Record::WavePart(
                PartKey {
                    of: number,
                    number: part,
                },
                done,
            ),
        };
        self.persist(record);
    }

    pub(crate) fn wave_member_refused(&mut self, number: u64, instance: &SmolStr) {
        if let Some(wave) = self.instances.waves.get_mut(&number) {
            wave.refused.insert(instance.clone());
        }
    }

    /// Continues all waves.
    pub(crate) fn review_waves(&mut self) {
        let numbers: Vec<u64> = self.instances.waves.keys().copied().collect();
        for number in numbers {
            self.review_wave(number);
        }
    }

    fn review_wave(&mut self, number: u64) {
        let wave = &self.instances.waves[&number];
        if wave.is_complete || wave.spec.instances.is_empty() {
            return;
        }
        let rows = &self.instances.rows;
        let open: Vec<SmolStr> = wave
            .spec
            .instances
            .iter()
            .filter(|name| !wave.done.contains(*name) && !wave.refused.contains(*name))
            .filter(|name| rows.contains_key(*name))
            .cloned()
            .collect();
        self.report_wave(number, open.is_empty());
        let wave = &self.instances.waves[&number];
        let is_down = |name: &&SmolStr| {
            let row = self.instances.rows.get(*name);
            row.is_some_and(|row| {
                let is_ordered = matches!(&row.order, Some((InstanceOrder::Maintain { .. }, _)));
                is_ordered
                    || row.info.state == InstanceState::Maintained
                    || (wave.done.contains(*name) && row.unavailable_until_ms > self.now_ms)
            })
        };
        let down_count = wave.spec.instances.iter().filter(is_down).count();
        let at_once_max = wave.spec.at_once_max.max(1);
        let mut free_count = at_once_max.saturating_sub(down_count);
        let mut drains_left_count = at_once_max + DRAIN_AHEAD_COUNT;
        let is_urgent = self.is_urgent(number, open.len(), at_once_max);
        for name in self.in_order_of_load(open) {
            if drains_left_count == 0 {
                break;
            }
            if !self.is_orderable(&name) {
                continue;
            }
            if !is_urgent && !self.is_cheap_to_drain(&name) {
                continue;
            }
            drains_left_count -= 1;
            if self.drain_instance(&name) && free_count > 0 {
                free_count -= 1;
                self.order_instance(InstanceOrder::Maintain {
                    instance: name,
                    wave: number,
                });
            }
        }
    }

    /// Returns whether the wave has to drain busy instances to be complete in time.
    fn is_urgent(&self, number: u64, open_count: usize, at_once_max: usize) -> bool {
        let wave = &self.instances.waves[&number];
        let batches_count = u64::try_from(open_count.div_ceil(at_once_max)).unwrap_or(u64::MAX);
        let batch_ms = self.settings.maintain_ms + DRAIN_MS;
        let needed_ms = batches_count.saturating_mul(batch_ms);
        let ends_unix_ms = wave.requested_unix_ms + wave.spec.duration_ms;
        let reserved_ms = (needed_ms * URGENT_PERMILLE / 1_000).max(RESERVED_MIN_MS);
        self.unix_ms + reserved_ms >= ends_unix_ms
    }

    /// Returns whether draining an instance interrupts no short task: it has been idle for some
    /// time, or it runs only long-running tasks, which take long to move at any time.
    fn is_cheap_to_drain(&self, name: &SmolStr) -> bool {
        let Some(key) = self.worker_of(name) else {
            return true;
        };
        let worker = self.worker(key);
        let is_idle = worker.slots.is_empty()
            && (worker.is_cordoned || worker.idle_since_ms + IDLE_MS <= self.now_ms);
        let is_serving =
            !worker.slots.is_empty() && worker.long_running_count == worker.slots.len();
        is_idle || is_serving
    }

    /// Sorts instances by load, the least loaded first, after those that are being drained.
    fn in_order_of_load(&self, mut names: Vec<SmolStr>) -> Vec<SmolStr> {
        names.sort_by_cached_key(|name| match self.worker_of(name) {
            None => (false, 0, 0),
            Some(key) => {
                let worker = self.worker(key);
                (
                    !worker.is_cordoned,
                    worker.long_running_count,
                    worker.slots.len(),
                )
            }
        });
        names
    }

    /// Cordons an instance and stops its runs as far as allowed; returns whether it is drained.
    fn drain_instance(&mut self, name: &SmolStr) -> bool {
        let Some(key) = self.worker_of(name) else {
            return true;
        };
        if self.may_have_unknown_runs(key) {
            return false;
        }
        self.worker_mut(key).is_cordoned = true;
        self.drain_worker(key)
    }

    fn report_wave(&mut self, number: u64, is_complete: bool) {
        let now_ms = self.now_ms;
        let Some(wave) = self.instances.waves.get_mut(&number) else {
            return;
        };
        let is_due =
            is_complete || wave.reported_ms == 0 || now_ms > wave.reported_ms + REPORT_INTERVAL_MS;
        if !is_due {
            return;
        }
        wave.reported_ms = now_ms;
        wave.is_complete = is_complete;
        Event::new("wave_reported")
            .with("wave", number)
            .with("is_complete", is_complete)
            .with("done_count", wave.done.len() + wave.refused.len())
            .with("instances_count", wave.spec.instances.len())
            .info();
        self.actions.push(Action::ReportWave {
            wave: number,
            is_complete,
        });
    }
}
