//! The log service in memory, with dense offsets, a time stamp for each record, bounded retention,
//! a limit on the append rate, and faults that can be set at run time.

use std::collections::VecDeque;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::adapters::clock::SystemClock;
use crate::fleet::{Offset, UnixMs};
use crate::ports::{Clock, LogPage, LogPort, LogRecord, PortError};

/// Maximum number of records in one append.
pub const APPEND_MAX_RECORDS: usize = 1_024;
/// Maximum total size of the records in one append, in bytes.
pub const APPEND_MAX_BYTES: usize = 256 * 1_024;
/// Maximum number of records in one page.
pub const PAGE_MAX_RECORDS: usize = 4_096;
/// Total size of the records after which a page ends.
pub const PAGE_MAX_BYTES: usize = 512 * 1_024;
/// Longest time that a read waits.
pub const READ_WAIT_MAX_MS: u64 = 30_000;
/// Longest time that an append waits under the rate limit; beyond it the append is refused.
const APPEND_WAIT_MAX: Duration = Duration::from_secs(1);
/// Maximum number of delayed appends that are pending at the same time.
const LATE_PENDING_MAX_COUNT: u32 = 64;

/// Limits of the log service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogLimits {
    /// Appends accepted per second.
    pub appends_per_s: u32,
    /// Maximum number of records retained.
    pub records_max_count: usize,
    /// Age after which a record is trimmed.
    pub record_age_max_ms: u64,
}

impl Default for LogLimits {
    fn default() -> Self {
        Self {
            appends_per_s: 400,
            records_max_count: 200_000,
            record_age_max_ms: 24 * 60 * 60 * 1_000,
        }
    }
}

/// Faults of the log service. A count decreases by one with each append that the fault affects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Every call fails without effect.
    pub is_down: bool,
    /// Appends are refused without effect; reads are answered.
    pub is_refusing: bool,
    /// Delay added to every call.
    pub delay_ms: u64,
    /// Reads show the log as it was this long ago.
    pub stale_ms: u64,
    /// Number of further appends that take effect but whose answer is lost.
    pub answer_lost_count: u32,
    /// Number of further appends whose records are appended twice.
    pub doubled_count: u32,
    /// Number of further appends whose answer is lost at once and that take effect after `late_ms`.
    pub late_count: u32,
    /// Delay after which a late append takes effect.
    pub late_ms: u64,
}

/// Counters of the log service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogCounts {
    /// Appends that took effect.
    pub appends_count: u64,
    /// Bytes appended.
    pub appended_bytes: u64,
    /// Appends refused.
    pub refused_count: u64,
    /// Reads answered.
    pub reads_count: u64,
    /// Appends that were affected by a fault.
    pub faults_count: u64,
}

#[derive(Debug, Default)]
struct State {
    limits: LogLimits,
    faults: LogFaults,
    counts: LogCounts,
    records: VecDeque<LogRecord>,
    head_offset: Offset,
    next_append_at: Option<Instant>,
    late_pending_count: u32,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    appended: Condvar,
}

/// The log service in memory; clones share one log.
#[derive(Clone, Debug, Default)]
pub struct MemoryLog {
    shared: Arc<Shared>,
}

/// The effect of an append and of its answer, as the faults determine it.
enum AppendOutcome {
    Appended,
    AnswerLost,
    AppendedTwice,
    AppendedLate(u64),
}

impl MemoryLog {
    /// Creates an empty log.
    pub fn open(limits: LogLimits) -> Self {
        let log = Self::default();
        log.lock().limits = limits;
        log
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: LogFaults) {
        self.lock().faults = faults;
        self.shared.appended.notify_all();
    }

    /// Returns the current faults.
    pub fn faults(&self) -> LogFaults {
        self.lock().faults
    }

    /// Returns the counters.
    pub fn counts(&self) -> LogCounts {
        self.lock().counts
    }

    /// Trims all records before `oldest_offset`, as retention does.
    pub fn trim_before(&self, oldest_offset: Offset) {
        let mut state = self.lock();
        while state
            .records
            .front()
            .is_some_and(|record| record.offset < oldest_offset)
        {
            state.records.pop_front();
        }
    }

    /// Returns the offset of the next record to be appended.
    pub fn head_offset(&self) -> Offset {
        self.lock().head_offset
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn delay(&self) {
        let delay_ms = self.lock().faults.delay_ms;
        if delay_ms > 0 {
            thread::sleep(Duration::from_millis(delay_ms));
        }
    }

    /// Waits until the rate limit allows the append.
    ///
    /// # Errors
    ///
    /// Refuses the append if it would wait longer than [`APPEND_WAIT_MAX`].
    fn wait_for_rate_limit(&self) -> Result<(), PortError> {
        let now = Instant::now();
        let mut state = self.lock();
        let append_at = state
            .next_append_at
            .map_or(now, |append_at| append_at.max(now));
        let wait = append_at - now;
        if wait > APPEND_WAIT_MAX {
            state.counts.refused_count += 1;
            return Err(PortError::Refused("over_rate".into()));
        }
        let interval = Duration::from_secs(1) / state.limits.appends_per_s.max(1);
        state.next_append_at = Some(append_at + interval);
        drop(state);
        thread::sleep(wait);
        Ok(())
    }

    fn append_records(&self, payloads: &[String]) -> Offset {
        let now_unix_ms = SystemClock.unix_ms();
        let offset = self.lock().append_records(payloads, now_unix_ms);
        self.shared.appended.notify_all();
        offset
    }

    fn append_records_late(&self, payloads: &[String], late_ms: u64) {
        let log = self.clone();
        let payloads = payloads.to_vec();
        self.lock().late_pending_count += 1;
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(late_ms));
            log.append_records(&payloads);
            log.lock().late_pending_count -= 1;
        });
    }
}

impl LogPort for MemoryLog {
    fn append(&self, payloads: &[String]) -> Result<Offset, PortError> {
        self.delay();
        self.lock().check_append(payloads)?;
        self.wait_for_rate_limit()?;
        let outcome = self.lock().next_outcome()?;
        match outcome {
            AppendOutcome::Appended => Ok(self.append_records(payloads)),
            AppendOutcome::AnswerLost => {
                self.append_records(payloads);
                Err(PortError::AnswerLost("answer_lost".into()))
            }
            AppendOutcome::AppendedTwice => {
                let offset = self.append_records(payloads);
                self.append_records(payloads);
                Ok(offset)
            }
            AppendOutcome::AppendedLate(late_ms) => {
                self.append_records_late(payloads, late_ms);
                Err(PortError::AnswerLost("late".into()))
            }
        }
    }

    fn read(&self, from_offset: Offset, wait_ms: u64) -> Result<LogPage, PortError> {
        self.delay();
        let deadline_ms = SystemClock.mono_ms() + wait_ms.min(READ_WAIT_MAX_MS);
        let mut state = self.lock();
        loop {
            let page = state.page(from_offset, SystemClock.unix_ms())?;
            let remaining_ms = deadline_ms.saturating_sub(SystemClock.mono_ms());
            if !page.records.is_empty() || remaining_ms == 0 {
                state.counts.reads_count += 1;
                return Ok(page);
            }
            // A stale view changes as time passes, without a wake-up.
            let step_ms = match state.faults.stale_ms {
                0 => remaining_ms,
                _ => remaining_ms.min(10),
            };
            state = self
                .shared
                .appended
                .wait_timeout(state, Duration::from_millis(step_ms))
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }
}

impl State {
    fn check_append(&mut self, payloads: &[String]) -> Result<(), PortError> {
        let refusal = match () {
            () if self.faults.is_down => return Err(PortError::NotSent("down".into())),
            () if self.faults.is_refusing => "refusing",
            () if payloads.is_empty() => "empty",
            () if payloads.len() > APPEND_MAX_RECORDS => "too_many_records",
            () if payloads.iter().map(String::len).sum::<usize>() > APPEND_MAX_BYTES => "too_large",
            () => return Ok(()),
        };
        self.counts.refused_count += 1;
        Err(PortError::Refused(SmolStr::new_static(refusal)))
    }

    /// Decides the outcome of an append, and decrements the count of the fault that affects it.
    fn next_outcome(&mut self) -> Result<AppendOutcome, PortError> {
        let faults = &mut self.faults;
        let outcome = match () {
            // The outage may have begun while the append waited for the rate limit.
            () if faults.is_down => return Err(PortError::NotSent("down".into())),
            () if faults.late_count > 0 && self.late_pending_count < LATE_PENDING_MAX_COUNT => {
                faults.late_count -= 1;
                AppendOutcome::AppendedLate(faults.late_ms)
            }
            () if faults.answer_lost_count > 0 => {
                faults.answer_lost_count -= 1;
                AppendOutcome::AnswerLost
            }
            () if faults.doubled_count > 0 => {
                faults.doubled_count -= 1;
                AppendOutcome::AppendedTwice
            }
            () => return Ok(AppendOutcome::Appended),
        };
        self.counts.faults_count += 1;
        Ok(outcome)
    }

    fn append_records(&mut self, payloads: &[String], at_unix_ms: UnixMs) -> Offset {
        let first_offset = self.head_offset;
        for payload in payloads {
            self.counts.appended_bytes += payload.len() as u64;
            self.records.push_back(LogRecord {
                offset: self.head_offset,
                at_unix_ms,
                payload: Arc::from(payload.as_str()),
            });
            self.head_offset += 1;
        }
        self.counts.appends_count += 1;
        self.trim(at_unix_ms);
        first_offset
    }

    fn trim(&mut self, now_unix_ms: UnixMs) {
        let oldest_retained_unix_ms = now_unix_ms.saturating_sub(self.limits.record_age_max_ms);
        while self.records.front().is_some_and(|record| {
            self.records.len() > self.limits.records_max_count
                || record.at_unix_ms < oldest_retained_unix_ms
        }) {
            self.records.pop_front();
        }
    }

    fn oldest_offset(&self) -> Offset {
        self.records
            .front()
            .map_or(self.head_offset, |record| record.offset)
    }

    /// Returns the head that readers see; a stale view shows an older one.
    fn visible_head_offset(&self, now_unix_ms: UnixMs) -> Offset {
        let seen_until_unix_ms = now_unix_ms.saturating_sub(self.faults.stale_ms);
        match self.faults.stale_ms {
            0 => self.head_offset,
            _ => self
                .records
                .iter()
                .rev()
                .find(|record| record.at_unix_ms <= seen_until_unix_ms)
                .map_or(self.oldest_offset(), |record| record.offset + 1),
        }
    }

    fn page(&mut self, from_offset: Offset, now_unix_ms: UnixMs) -> Result<LogPage, PortError> {
        if self.faults.is_down {
            return Err(PortError::NotSent("down".into()));
        }
        self.trim(now_unix_ms);
        let oldest_offset = self.oldest_offset();
        if from_offset < oldest_offset {
            return Err(PortError::Trimmed { oldest_offset });
        }
        let head_offset = self.visible_head_offset(now_unix_ms);
        Ok(LogPage {
            records: self.records_between(from_offset, head_offset),
            head_offset,
            oldest_offset,
        })
    }

    fn records_between(&self, from_offset: Offset, head_offset: Offset) -> Vec<LogRecord> {
        let skip_count = usize::try_from(from_offset - self.oldest_offset()).unwrap_or(usize::MAX);
        let mut bytes = 0;
        self.records
            .iter()
            .skip(skip_count)
            .take(PAGE_MAX_RECORDS)
            .take_while(|record| record.offset < head_offset)
            .take_while(|record| {
                // The first record is always included, so that a reader makes progress.
                let has_capacity = bytes < PAGE_MAX_BYTES;
                bytes += record.payload.len();
                has_capacity
            })
            .cloned()
            .collect()
    }
}
