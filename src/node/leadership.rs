//! Leader election by a lease in the store. Each renewal and each claim is a record that is
//! appended only if the topic still ends at the offset that its writer last read, so that one of
//! several concurrent writers wins. A pure state machine without I/O: its inputs are the records
//! read and the outcomes of writes, its output is the next write.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::logging::Event;

/// Shortest and longest lease, in milliseconds. The holder counts it from the sending of the
/// renewal.
const LEASE_BOUNDS_MS: (u64, u64) = (1_000, 5_000);
/// A lease lasts this many times as long as the last write took, within `LEASE_BOUNDS_MS`.
const LEASE_WRITE_FACTOR: u64 = 4;
/// Time between two renewals, in milliseconds.
const RENEW_MS: u64 = 250;
/// Time without a new record, beyond the lease, after which another process may claim, in
/// milliseconds. Each process counts it from its own last read of a new record, and only while it
/// can reach the store.
const CLAIM_MARGIN_MS: u64 = 200;
/// Most by which the rates of two clocks may differ, in thousandths, with some margin.
const CLOCK_DRIFT_PERMILLE: u64 = 30;
/// Time after which a write of unknown outcome is sent again, in milliseconds. Both sendings are
/// conditional on the same offset, so that at most one of them takes effect.
const WRITE_RETRY_MS: u64 = 400;

/// A record of the leadership topic: who holds the lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Fencing token of the holder; it increases with each holder.
    pub fence: u64,
    /// Name of the holder.
    pub holder: SmolStr,
    /// Distinguishes processes that ran one after another under the same name.
    pub incarnation: SmolStr,
    /// Address at which the holder accepts calls from its peers.
    pub peers_address: SocketAddr,
    /// Whether the holder has released the lease.
    pub is_released: bool,
    /// Length of the lease, counted from the sending of the record, in milliseconds.
    #[serde(default = "min_lease_ms")]
    pub lease_ms: u64,
}

fn min_lease_ms() -> u64 {
    LEASE_BOUNDS_MS.0
}

/// A record to append, conditional on the end of the topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseWrite {
    /// The record.
    pub record: LeaseRecord,
    /// Offset at which the topic must end for the append to take effect.
    pub at_offset: u64,
    /// Time of sending by the local monotonic clock, in milliseconds.
    pub sent_ms: u64,
}

/// A record as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadRecord {
    /// Offset in the topic.
    pub offset: u64,
    /// The record.
    pub record: LeaseRecord,
}

/// Outcome of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The record is in the store.
    Persisted {
        /// Offset after the record.
        end_offset: u64,
    },
    /// This sending did not add the record, and can no longer add it.
    NotPersisted,
    /// The store may have added the record, or may still add it.
    Unknown,
}

/// Whether this process leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// This process leads.
    Leader {
        /// Its fencing token.
        fence: u64,
        /// Whether its lease is valid now, so that no other process leads.
        is_valid: bool,
    },
    /// Another process leads, or none does.
    Follower {
        /// Address at which the leader accepts calls from its peers, if there is a leader.
        leader: Option<SocketAddr>,
    },
}

/// The state machine of one process.
#[derive(Clone, Debug)]
pub struct Leadership {
    /// What this process writes when it claims, but for the fence.
    own_record: LeaseRecord,
    claim_delay_ms: u64,
    newest: Option<LeaseRecord>,
    end_offset: u64,
    is_store_reachable: bool,
    /// Time of the last new record, or of the first read after an outage if that was later.
    idle_since_ms: u64,
    lease_start_ms: u64,
    /// Length of the lease that started at `lease_start_ms`.
    lease_ms: u64,
    /// Time that the last write of this process took.
    last_write_took_ms: u64,
    /// Write that is in flight or of unknown outcome.
    pending: Option<LeaseWrite>,
    /// Time of the last sending of `pending`.
    pending_sent_ms: u64,
    is_release_requested: bool,
    /// Highest fence under which this process may no longer lead, although it holds the lease.
    superseded_fence: u64,
}

impl Leadership {
    /// Creates the state of a process that has read nothing yet. A process waits `claim_delay_ms`
    /// before it claims, so that of several that could claim the one with the shortest delay does.
    pub fn open(
        holder: SmolStr,
        incarnation: SmolStr,
        peers_address: SocketAddr,
        claim_delay_ms: u64,
    ) -> Self {
        Self {
            own_record: LeaseRecord {
                fence: 0,
                holder,
                incarnation,
                peers_address,
                is_released: false,
                lease_ms: LEASE_BOUNDS_MS.0,
            },
            claim_delay_ms,
            newest: None,
            end_offset: 0,
            is_store_reachable: false,
            idle_since_ms: 0,
            lease_start_ms: 0,
            lease_ms: 0,
            last_write_took_ms: 0,
            pending: None,
            pending_sent_ms: 0,
            is_release_requested: false,
            superseded_fence: 0,
        }
    }

    /// Returns the offset from which to read next.
    pub fn end_offset(&self) -> u64 {
        self.end_offset
    }

    /// Returns the newest record that was read.
    pub fn newest(&self) -> Option<&LeaseRecord> {
        self.newest.as_ref()
    }

    fn is_own(&self, record: &LeaseRecord) -> bool {
        record.holder == self.own_record.holder && record.incarnation == self.own_record.incarnation
    }

    /// Applies the records of a read that went up to `next_offset`. Several reads and writes are under
    /// way at once, so that a read may also return records that are known already.
    pub fn apply_read(&mut self, records: Vec<ReadRecord>, next_offset: u64, now_ms: u64) {
        if !self.is_store_reachable {
            self.is_store_reachable = true;
            self.idle_since_ms = now_ms;
        }
        let known_end_offset = self.end_offset;
        let is_new = next_offset > known_end_offset;
        self.end_offset = known_end_offset.max(next_offset);
        let is_unknown = |read: &ReadRecord| read.offset >= known_end_offset;
        for ReadRecord { offset, record } in records.into_iter().filter(is_unknown) {
            self.settle_pending(offset, &record, now_ms);
            self.apply_record(record, now_ms);
        }
        if is_new {
            self.idle_since_ms = now_ms;
        }
        // The topic is past the offset of the write, so that the write can't take effect any more.
        let end_offset = self.end_offset;
        self.pending = self
            .pending
            .take()
            .filter(|write| write.at_offset >= end_offset);
    }

    /// Records that the topic could not be read.
    pub fn mark_store_unreachable(&mut self) {
        self.is_store_reachable = false;
    }

    fn apply_record(&mut self, record: LeaseRecord, now_ms: u64) {
        let known_fence = self.newest.as_ref().map_or(0, |newest| newest.fence);
        if record.fence < known_fence {
            return;
        }
        if record.fence > known_fence {
            Event::new("leader_seen")
                .with("holder", &record.holder)
                .with("fence", record.fence)
                .with("is_own", self.is_own(&record))
                .with("silent_ms", now_ms.saturating_sub(self.idle_since_ms))
                .info();
        }
        self.newest = Some(record);
    }

    /// Applies the write in flight if it added the record that was read at `offset`: its answer is
    /// late or lost. Its lease counts from the sending. Renewals are equal to each other, so that only
    /// the offset tells them apart.
    fn settle_pending(&mut self, offset: u64, record: &LeaseRecord, now_ms: u64) {
        let is_pending = self
            .pending
            .as_ref()
            .is_some_and(|write| write.at_offset == offset && write.record == *record);
        if let (true, Some(write)) = (is_pending, self.pending.take()) {
            self.apply_persisted_write(&write, now_ms);
        }
    }

    fn apply_persisted_write(&mut self, write: &LeaseWrite, now_ms: u64) {
        self.last_write_took_ms = now_ms.saturating_sub(write.sent_ms);
        if write.sent_ms >= self.lease_start_ms {
            self.lease_start_ms = write.sent_ms;
            self.lease_ms = write.record.lease_ms;
        }
    }

    /// Returns whether a write is in flight or of unknown outcome.
    pub fn is_writing(&self) -> bool {
        self.pending.is_some()
    }

    /// Requests that the next write releases the lease.
    pub fn release(&mut self) {
        self.is_release_requested = true;
    }

    /// Records that this process can no longer lead under `fence`. It does not renew that lease, so that
    /// another process, or this one with a higher fence, claims once it is over.
    pub fn supersede(&mut self, fence: u64) {
        self.superseded_fence = self.superseded_fence.max(fence);
    }

    /// Returns whether this process holds the lease by this record, and may lead.
    fn is_held(&self, record: &LeaseRecord) -> bool {
        self.is_own(record) && !record.is_released && record.fence > self.superseded_fence
    }

    /// Returns whether this process does not hold the lease: it released the lease, never held it,
    /// or lost it to another process.
    pub fn is_released(&self) -> bool {
        !self
            .newest
            .as_ref()
            .is_some_and(|newest| self.is_held(newest))
    }

    /// Returns the role of this process at `now_ms`.
    pub fn role(&self, now_ms: u64) -> Role {
        match &self.newest {
            Some(newest) if self.is_held(newest) => Role::Leader {
                fence: newest.fence,
                is_valid: now_ms < self.exclusive_until_ms(),
            },
            Some(newest) if !self.is_own(newest) && !newest.is_released => Role::Follower {
                leader: Some(newest.peers_address),
            },
            _ => Role::Follower { leader: None },
        }
    }

    /// Returns the time at which the lease of this process ends, in milliseconds. Once its release is
    /// sent, the lease may be claimed at any time.
    pub fn valid_until_ms(&self) -> u64 {
        let lease_end_ms = self.lease_start_ms + self.lease_ms;
        match &self.pending {
            Some(write) if write.record.is_released => lease_end_ms.min(write.sent_ms),
            _ => lease_end_ms,
        }
    }

    /// Returns the time until which no other process can lead, in milliseconds; 0 if another one may
    /// lead already.
    pub fn exclusive_until_ms(&self) -> u64 {
        match &self.newest {
            Some(newest) if self.is_held(newest) => self.valid_until_ms(),
            _ => 0,
        }
    }

    /// Returns the write that is due, and records it as sent at `now_ms`.
    pub fn next_write(&mut self, now_ms: u64) -> Option<LeaseWrite> {
        if let Some(pending) = &self.pending {
            if now_ms < self.pending_sent_ms + WRITE_RETRY_MS {
                return None;
            }
            self.pending_sent_ms = now_ms;
            let sent_ms = now_ms;
            return Some(LeaseWrite {
                sent_ms,
                ..pending.clone()
            });
        }
        let record = self.due_record(now_ms)?;
        let write = LeaseWrite {
            record,
            at_offset: self.end_offset,
            sent_ms: now_ms,
        };
        self.pending = Some(write.clone());
        self.pending_sent_ms = now_ms;
        Some(write)
    }

    fn due_record(&self, now_ms: u64) -> Option<LeaseRecord> {
        let lease_ms = (self.last_write_took_ms * LEASE_WRITE_FACTOR)
            .clamp(LEASE_BOUNDS_MS.0, LEASE_BOUNDS_MS.1);
        let idle_ms = now_ms.saturating_sub(self.idle_since_ms);
        match &self.newest {
            Some(newest) if self.is_held(newest) => {
                let is_due = self.is_release_requested || now_ms >= self.lease_start_ms + RENEW_MS;
                // The others count the lease by the newest record. This process, if it does not learn
                // that the record is in the store, goes on counting by the one before.
                let left_ms = self.valid_until_ms().saturating_sub(now_ms);
                is_due.then(|| LeaseRecord {
                    is_released: self.is_release_requested,
                    lease_ms: lease_ms.max(left_ms),
                    ..newest.clone()
                })
            }
            // A renewal needs no recent read, as it is conditional on the end of the topic. A claim
            // also needs to know for how long no new record has come.
            _ if self.is_release_requested || !self.is_store_reachable => None,
            newest => {
                let wait_ms = newest
                    .as_ref()
                    .map_or(0, |newest| self.claim_idle_ms(newest));
                let fence = newest.as_ref().map_or(0, |newest| newest.fence) + 1;
                (idle_ms >= wait_ms + self.claim_delay_ms).then(|| LeaseRecord {
                    fence,
                    lease_ms,
                    ..self.own_record.clone()
                })
            }
        }
    }

    /// Returns the time without a new record after which this process may claim from the holder of
    /// `newest`, in milliseconds.
    fn claim_idle_ms(&self, newest: &LeaseRecord) -> u64 {
        match () {
            () if newest.is_released => 0,
            () if self.is_predecessor(newest) => 0,
            () => {
                let drift_ms = newest.lease_ms * CLOCK_DRIFT_PERMILLE / 1_000;
                newest.lease_ms + drift_ms + CLAIM_MARGIN_MS
            }
        }
    }

    /// Returns whether the holder of `record` ran before this process under its name. This process has
    /// bound the address of its predecessor, which must have ended. At another address it may still run.
    fn is_predecessor(&self, record: &LeaseRecord) -> bool {
        let own = &self.own_record;
        let is_same = record.holder == own.holder && record.peers_address == own.peers_address;
        is_same && !self.is_own(record)
    }

    /// Returns the earliest time at which [`next_write`](Self::next_write) may return a write.
    pub fn next_due_ms(&self, now_ms: u64) -> u64 {
        match &self.newest {
            Some(newest) if self.is_held(newest) => {
                (self.lease_start_ms + RENEW_MS).max(now_ms + 1)
            }
            Some(newest) => self.idle_since_ms + self.claim_idle_ms(newest) + self.claim_delay_ms,
            None => self.idle_since_ms + self.claim_delay_ms,
        }
    }

    /// Applies the outcome of a write.
    pub fn apply_write_outcome(&mut self, write: &LeaseWrite, outcome: WriteOutcome, now_ms: u64) {
        let pending = self.pending.as_ref();
        let is_pending = pending.is_some_and(|pending| pending.at_offset == write.at_offset);
        // If the write was sent more than once, an earlier sending may have taken effect.
        let is_only = pending.is_some_and(|pending| pending.sent_ms == write.sent_ms)
            && self.pending_sent_ms == write.sent_ms;
        match outcome {
            WriteOutcome::Persisted { end_offset } => {
                if is_pending {
                    self.pending = None;
                }
                self.apply_persisted_write(write, now_ms);
                if end_offset > self.end_offset {
                    self.end_offset = end_offset;
                    self.idle_since_ms = now_ms;
                    self.apply_record(write.record.clone(), now_ms);
                }
            }
            WriteOutcome::NotPersisted => {
                if is_only {
                    self.pending = None;
                }
            }
            WriteOutcome::Unknown => {}
        }
    }
}
