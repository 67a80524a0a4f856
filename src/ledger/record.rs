//! What a record of the log may hold. The payload is the JSON text of one [`Record`].

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use uuid::Uuid;

use crate::{
    fleet::{InstanceName, InstanceRow, Offset, PoolName, Standing, TeamName},
    ledger::{
        claims::ClaimState,
        instances::PlannedStopReason,
        jobs::{JobRow, JobState},
        keys::{KeyId, KeyRow},
        patch::ListsPatch,
        seats::SeatId,
    },
};

/// One record of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "record")]
pub enum Record {
    /// What an entry proposes.
    Seat(SeatBatch),
    /// What an operator proposes.
    Operator(OperatorProposal),
    /// One part of a snapshot.
    Snapshot(SnapshotChunk),
}

/// Changes that one seat proposes together.
///
/// A seat numbers its batches from 1. The fold takes a batch only if its number is above the last
/// one that it took from this seat, so a batch that lands twice counts once, and one that lands
/// after its successor never counts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SeatBatch {
    /// Seat that proposes.
    pub seat: SeatId,
    /// Number of the batch.
    pub seq: u64,
    /// The changes, judged one by one in this order.
    pub changes: Vec<SeatChange>,
}

/// One change that a seat proposes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "change")]
pub enum SeatChange {
    /// Opens the seat; the first change of its first batch.
    Open {
        /// Address of the entry's peer port as `ip:port`.
        peers_address: SmolStr,
        /// Availability zone of the entry.
        zone: SmolStr,
        /// Lease that each renewal starts, in milliseconds.
        lease_ms: u64,
    },
    /// Renews the lease.
    Renew {
        /// Every dispatch of this seat that is still in flight was decided with all records below
        /// this offset folded.
        clean_offset: Offset,
    },
    /// Gives the seat up; nothing of it is running any more.
    Close,
    /// Declares another seat's lease lapsed.
    ExpireSeat {
        /// The seat.
        target: SeatId,
        /// Offset of the renewal that lapsed; a newer renewal voids the change.
        renewed_offset: Offset,
    },
    /// Frees what an expired seat held, after every task lease that it could have started.
    ReclaimSeat {
        /// The seat.
        target: SeatId,
    },
    /// Takes part of a team's upper limit out of what no seat holds.
    EscrowTake {
        /// The team.
        team: TeamName,
        /// Requests, at most; the fold grants what is free.
        wanted_requests: u32,
    },
    /// Gives part of a team's upper limit away.
    EscrowGive {
        /// The team.
        team: TeamName,
        /// Seat that receives it, or none to leave it free.
        to: Option<SeatId>,
        /// Requests.
        requests: u32,
    },
    /// Claims the id of a non-idempotent request.
    Claim {
        /// Team of the request, empty for a queue open to all.
        team: TeamName,
        /// Id of the request (UUID version 7).
        request_id: Uuid,
    },
    /// Ends a claim.
    ClaimEnd {
        /// Team of the request.
        team: TeamName,
        /// Id of the request.
        request_id: Uuid,
        /// How it ended.
        state: ClaimState,
    },
    /// Takes a request in for later.
    JobSubmit {
        /// The request.
        job: JobRow,
    },
    /// Takes over a job whose owner's seat has ended.
    JobAdopt {
        /// Team of the job.
        team: TeamName,
        /// Id of the request.
        request_id: Uuid,
        /// Seat that owned it.
        from: SeatId,
    },
    /// Announces the first attempt to run a job.
    JobStart {
        /// Team of the job.
        team: TeamName,
        /// Id of the request.
        request_id: Uuid,
    },
    /// Ends a job, or takes its announcement back (`waiting`) if it was not started after all.
    JobEnd {
        /// Team of the job.
        team: TeamName,
        /// Id of the request.
        request_id: Uuid,
        /// How it ended, with the answer, or `waiting`.
        state: JobState,
    },
    /// An instance, or a new incarnation of one, is in the instance list.
    InstanceSeen {
        /// Its row.
        row: InstanceRow,
    },
    /// An incarnation has left the instance list.
    InstanceGone {
        /// Name of the instance.
        name: InstanceName,
        /// Incarnation that is gone.
        incarnation: SmolStr,
    },
    /// What an incarnation can be counted on for has changed without a planned stop.
    Standing {
        /// Name of the instance.
        name: InstanceName,
        /// Incarnation that is meant.
        incarnation: SmolStr,
        /// `serving` or `doubtful`.
        standing: Standing,
    },
    /// Claims a planned stop; judged at its offset against every availability budget.
    StopClaim {
        /// Name of the instance.
        name: InstanceName,
        /// Version of the instance that the claim was decided on.
        version: u64,
        /// Why it is stopped.
        why: PlannedStopReason,
    },
    /// Proceeds with a claimed stop: no seat can still dispatch to the instance.
    StopProceed {
        /// Name of the instance.
        name: InstanceName,
        /// Version of the instance.
        version: u64,
    },
    /// Withdraws a stop or a release that has not proceeded.
    StopCancel {
        /// Name of the instance.
        name: InstanceName,
        /// Version of the instance.
        version: u64,
    },
    /// Releases an instance from its pool; judged like a stop.
    PoolRelease {
        /// Name of the instance.
        name: InstanceName,
        /// Version of the instance.
        version: u64,
        /// Pool that it goes to.
        to_pool: PoolName,
    },
    /// Assigns a released instance to the pool that its release named.
    PoolAssign {
        /// Name of the instance.
        name: InstanceName,
        /// Version of the instance.
        version: u64,
    },
    /// Records that a member of a wave failed to return, or went bad soon after it had.
    MarkBad {
        /// Name of the instance.
        name: InstanceName,
        /// Version of the instance.
        version: u64,
    },
    /// Records that a roll-out halted, since members of its waves went bad.
    HaltRollout,
    /// Puts a withdrawal of a key on record that reached an entry directly.
    WithdrawKey {
        /// The key.
        key_id: KeyId,
    },
}

/// A change that an operator proposes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OperatorProposal {
    /// Id by which the operator finds the proposal again in the log.
    pub proposal_id: Uuid,
    /// Who proposes, for the record only.
    pub operator: SmolStr,
    /// The change.
    pub change: OperatorChange,
}

/// One change that an operator proposes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "change")]
pub enum OperatorChange {
    /// Publishes changed lists.
    Publish {
        /// Version that the lists were edited from; another version in force voids the change.
        base_version: u64,
        /// The rows that differ.
        patch: Box<ListsPatch>,
    },
    /// Grants a key.
    GrantKey {
        /// Public id of the key.
        key_id: KeyId,
        /// Team and digest.
        row: KeyRow,
    },
    /// Withdraws a key for good.
    WithdrawKey {
        /// Public id of the key.
        key_id: KeyId,
    },
}

/// One part of a snapshot of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Same for all parts of one snapshot.
    pub snapshot_id: Uuid,
    /// The state has all records below this offset folded.
    pub next_offset: Offset,
    /// Number of this part, from 0.
    pub index: u32,
    /// How many parts there are.
    pub chunks_count: u32,
    /// Digest of the whole text, in hexadecimal.
    pub digest: SmolStr,
    /// Part of the JSON text of the state.
    pub text: String,
}
