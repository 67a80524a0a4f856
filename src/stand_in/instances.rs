//! The instance list in memory. Each change increments the version; readers can be given an older
//! state, and a reboot gives an instance a new incarnation.

use std::collections::VecDeque;
use std::fmt;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use smol_str::{format_smolstr, SmolStr};

use crate::adapters::clock::SystemClock;
use crate::fleet::{InstanceName, InstanceRow, MonoMs};
use crate::ports::{Clock, InstancePage, InstancePort, PortError};

/// Longest time that a read waits for a change.
pub const LIST_WAIT_MAX_MS: u64 = 30_000;
/// How often a waiting read checks a lagging list, whose visible state changes without a wake-up.
const LAG_POLL_INTERVAL_MS: u64 = 10;
/// Number of past states retained for lagging reads.
const HISTORY_MAX_COUNT: usize = 256;

/// Faults of the instance list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct InstanceFaults {
    /// Every call fails without effect.
    pub is_down: bool,
    /// Delay added to every call.
    pub delay_ms: u64,
    /// Readers see the list as it was this long ago.
    pub lag_ms: u64,
    /// Number of further orders that take effect but whose answer is lost.
    pub answer_lost_count: u32,
    /// How long a rebooting instance is absent from the list.
    pub reboot_ms: u64,
}

/// A change of the list that concerns an instance's worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InstanceEvent {
    /// The boot described by this row ended immediately, and its running tasks with it.
    Ended(InstanceRow),
    /// The boot described by this row began.
    Began(InstanceRow),
    /// The platform announced that this instance will be removed.
    Leaving(InstanceRow),
}

/// Callback that is called after each change, without holding a lock of the list.
pub type OnInstanceEvent = Arc<dyn Fn(&InstanceEvent) + Send + Sync>;

struct State {
    faults: InstanceFaults,
    rows: IndexMap<InstanceName, InstanceRow>,
    version: u64,
    history: VecDeque<(MonoMs, Arc<InstancePage>)>,
    last_boot_number: u64,
    reboots_count: u64,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    on_event: OnInstanceEvent,
}

/// The instance list in memory; clones share one list.
#[derive(Clone)]
pub struct MemoryInstances {
    shared: Arc<Shared>,
}

impl fmt::Debug for MemoryInstances {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MemoryInstances")
            .field("version", &self.lock().version)
            .finish_non_exhaustive()
    }
}

impl MemoryInstances {
    /// Creates a list of `rows` that reports later changes to `on_event`.
    pub fn open(rows: Vec<InstanceRow>, on_event: OnInstanceEvent) -> Self {
        let state = State {
            faults: InstanceFaults::default(),
            last_boot_number: 0,
            rows: rows
                .into_iter()
                .map(|row| (row.name.clone(), row))
                .collect(),
            version: 0,
            history: VecDeque::new(),
            reboots_count: 0,
        };
        let list = Self {
            shared: Arc::new(Shared {
                state: Mutex::new(state),
                changed: Condvar::new(),
                on_event,
            }),
        };
        list.lock().publish();
        list
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: InstanceFaults) {
        self.lock().faults = faults;
        self.shared.changed.notify_all();
    }

    /// Returns the current faults.
    pub fn faults(&self) -> InstanceFaults {
        self.lock().faults
    }

    /// Returns the current rows, without lag.
    pub fn rows(&self) -> Vec<InstanceRow> {
        self.lock().rows.values().cloned().collect()
    }

    /// Returns how many boots were ended by reboot orders.
    pub fn reboots_count(&self) -> u64 {
        self.lock().reboots_count
    }

    /// Adds or replaces `rows` unchanged, all under one new version.
    pub fn put(&self, rows: Vec<InstanceRow>) {
        self.change(|state| {
            let mut events = Vec::new();
            for row in rows {
                let old = state.rows.insert(row.name.clone(), row.clone());
                if old.is_none_or(|old| old.incarnation != row.incarnation) {
                    events.push(InstanceEvent::Began(row));
                }
            }
            Some(events)
        });
    }

    /// Announces that the platform will remove `name`; returns whether it was listed.
    pub fn leave(&self, name: &str) -> bool {
        self.change(|state| {
            let row = state.rows.get_mut(name)?;
            row.leaving = true;
            Some(vec![InstanceEvent::Leaving(row.clone())])
        })
    }

    /// Removes `name` from the list and ends its boot; returns whether it was listed.
    pub fn remove(&self, name: &str) -> bool {
        self.change(|state| {
            let row = state.rows.shift_remove(name)?;
            Some(vec![InstanceEvent::Ended(row)])
        })
    }

    /// Ends the boot of `name` and lists a new one, at `address` if given and else at the same
    /// address; returns whether it was listed.
    pub fn replace(&self, name: &str, address: Option<&str>) -> bool {
        let Some(old) = self.lock().rows.get(name).cloned() else {
            return false;
        };
        self.remove(name);
        self.begin_boot(old, address);
        true
    }

    fn begin_boot(&self, mut row: InstanceRow, address: Option<&str>) {
        row.incarnation = self.lock().next_incarnation(&row.name);
        row.leaving = false;
        row.address = address.map_or(row.address, SmolStr::new);
        self.put(vec![row]);
    }

    /// Applies `edit` and publishes a new version, unless `edit` returns `None`; returns whether it
    /// published.
    fn change(&self, edit: impl FnOnce(&mut State) -> Option<Vec<InstanceEvent>>) -> bool {
        let mut state = self.lock();
        let Some(events) = edit(&mut state) else {
            return false;
        };
        state.publish();
        drop(state);
        self.shared.changed.notify_all();
        events
            .iter()
            .for_each(|event| (self.shared.on_event)(event));
        true
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn delay_or_fail(&self) -> Result<(), PortError> {
        let faults = self.faults();
        if faults.delay_ms > 0 {
            thread::sleep(Duration::from_millis(faults.delay_ms));
        }
        match faults.is_down {
            true => Err(PortError::NotSent("down".into())),
            false => Ok(()),
        }
    }

    /// Ends the boot of `name` if it still is `incarnation`, and returns its row.
    fn end_boot(&self, name: &str, incarnation: &str) -> Option<InstanceRow> {
        let mut ended = None;
        self.change(|state| {
            state
                .rows
                .get(name)
                .filter(|row| row.incarnation == incarnation)?;
            let row = state.rows.shift_remove(name)?;
            state.reboots_count += 1;
            ended = Some(row.clone());
            Some(vec![InstanceEvent::Ended(row)])
        });
        ended
    }

    fn begin_boot_after(&self, row: InstanceRow, reboot_ms: u64) {
        let list = self.clone();
        let begin = move || {
            thread::sleep(Duration::from_millis(reboot_ms));
            list.begin_boot(row, None);
        };
        match reboot_ms {
            0 => begin(),
            _ => {
                thread::spawn(begin);
            }
        }
    }
}

impl InstancePort for MemoryInstances {
    fn list(&self, known_version: u64, wait_ms: u64) -> Result<InstancePage, PortError> {
        self.delay_or_fail()?;
        let deadline_ms = SystemClock.mono_ms() + wait_ms.min(LIST_WAIT_MAX_MS);
        let mut state = self.lock();
        loop {
            let now_ms = SystemClock.mono_ms();
            let page = state.visible(now_ms);
            let remaining_ms = deadline_ms.saturating_sub(now_ms);
            match () {
                () if state.faults.is_down => return Err(PortError::NotSent("down".into())),
                () if page.version != known_version => return Ok(InstancePage::clone(&page)),
                () if remaining_ms == 0 => return Ok(InstancePage::unchanged(known_version)),
                () => {}
            }
            let step_ms = match state.faults.lag_ms {
                0 => remaining_ms,
                _ => remaining_ms.min(LAG_POLL_INTERVAL_MS),
            };
            state = self
                .shared
                .changed
                .wait_timeout(state, Duration::from_millis(step_ms))
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }

    fn reboot(&self, name: &str, incarnation: &str) -> Result<(), PortError> {
        self.delay_or_fail()?;
        // The order is idempotent: it has no effect if this boot has already ended.
        if let Some(row) = self.end_boot(name, incarnation) {
            self.begin_boot_after(row, self.faults().reboot_ms);
        }
        let faults = &mut self.lock().faults;
        match faults.answer_lost_count {
            0 => Ok(()),
            count => {
                faults.answer_lost_count = count - 1;
                Err(PortError::AnswerLost("answer_lost".into()))
            }
        }
    }
}

impl State {
    /// Publishes the current rows as the next version.
    fn publish(&mut self) {
        self.version += 1;
        let page = InstancePage {
            version: self.version,
            rows: self.rows.values().cloned().collect(),
        };
        self.history
            .push_back((SystemClock.mono_ms(), Arc::new(page)));
        while self.history.len() > HISTORY_MAX_COUNT {
            self.history.pop_front();
        }
    }

    /// Returns the newest state that is at least `lag_ms` old, or else the oldest retained state.
    fn visible(&self, now_ms: MonoMs) -> Arc<InstancePage> {
        let seen_until_ms = now_ms.saturating_sub(self.faults.lag_ms);
        let newest_seen = self
            .history
            .iter()
            .rev()
            .find(|(at_ms, _)| *at_ms <= seen_until_ms)
            .or(self.history.front());
        newest_seen.map_or_else(Arc::default, |(_, page)| Arc::clone(page))
    }

    fn next_incarnation(&mut self, name: &str) -> SmolStr {
        // Boot numbers derive from the wall clock, so that they differ from the incarnations that
        // workers register themselves.
        self.last_boot_number = SystemClock.unix_ms().max(self.last_boot_number + 1);
        format_smolstr!("{name}.{}", self.last_boot_number)
    }
}
