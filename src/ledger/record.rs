//! The format of the log's records. The payload of each is the JSON text of one [`Record`].

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
    /// Changes proposed by an entry.
    Seat(SeatBatch),
    /// A change proposed by an operator.
    Operator(OperatorProposal),
    /// One chunk of a snapshot.
    Snapshot(SnapshotChunk),
}

/// Changes that one seat proposes together.
///
/// A seat numbers its batches from 1. The fold accepts a batch only if its number is above that of
/// the last batch accepted from this seat. So a batch that is appended twice is applied once, and
/// one that is appended after its successor is never applied.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SeatBatch {
    /// Seat that proposes the batch.
    pub seat: SeatId,
    /// Sequence number of the batch.
    pub seq: u64,
    /// The changes, validated and applied one by one in this order.
    pub changes: Vec<SeatChange>,
}

/// One change that a seat proposes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "change")]
pub enum SeatChange {
    /// Opens the seat; must be the first change of the seat's first batch.
    Open {
        /// Address of the entry's peer port as `ip:port`.
        peers_address: SmolStr,
        /// Availability zone of the entry.
        zone: SmolStr,
        /// Duration of the lease that each renewal starts, in milliseconds.
        lease_ms: u64,
    },
    /// Renews the lease.
    Renew {
        /// Every dispatch that this seat still has in flight was decided after all records below
        /// this offset were folded.
        clean_offset: Offset,
    },
    /// Closes the seat; none of its tasks is running any more.
    Close,
    /// Declares another seat's lease expired.
    ExpireSeat {
        /// Seat whose lease has expired.
        target: SeatId,
        /// Offset of the renewal whose lease expired; the change is rejected if the seat has been
        /// renewed since.
        renewed_offset: Offset,
    },
    /// Frees the resources of an expired seat, once every task lease that it could have started has
    /// ended.
    ReclaimSeat {
        /// The expired seat.
        target: SeatId,
    },
    /// Takes part of a team's upper limit from the share that no seat holds.
    EscrowTake {
        /// The team.
        team: TeamName,
        /// Maximum number of requests to take; fewer are granted if fewer are free.
        wanted_requests: u32,
    },
    /// Gives up part of a team's upper limit.
    EscrowGive {
        /// The team.
        team: TeamName,
        /// Seat that receives the part; none leaves it free.
        to: Option<SeatId>,
        /// Number of requests to give up.
        requests: u32,
    },
    /// Claims the id of a non-idempotent request.
    Claim {
        /// Team of the request; empty for a queue open to all.
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
        /// Outcome of the request.
        state: ClaimState,
    },
    /// Accepts a request to run later.
    JobSubmit {
        /// The request.
        job: JobRow,
    },
    /// Takes over a job of a seat that has ended.
    JobAdopt {
        /// Team of the job.
        team: TeamName,
        /// Id of the request.
        request_id: Uuid,
        /// Seat that owned the job.
        from: SeatId,
    },
    /// Records that a job may be dispatched, before its first attempt.
    JobStart {
        /// Team of the job.
        team: TeamName,
        /// Id of the request.
        request_id: Uuid,
    },
    /// Ends a job, or reverts its `JobStart` (`waiting`) if it was not dispatched after all.
    JobEnd {
        /// Team of the job.
        team: TeamName,
        /// Id of the request.
        request_id: Uuid,
        /// Outcome of the job with its answer, or `waiting`.
        state: JobState,
    },
    /// Records an instance, or a new incarnation of one, found in the instance list.
    InstanceSeen {
        /// Row of the instance in the list.
        row: InstanceRow,
    },
    /// Records that an incarnation has left the instance list.
    InstanceGone {
        /// Name of the instance.
        name: InstanceName,
        /// Incarnation that has left.
        incarnation: SmolStr,
    },
    /// Records that the availability of an incarnation changed without a planned stop.
    Standing {
        /// Name of the instance.
        name: InstanceName,
        /// Incarnation whose availability changed.
        incarnation: SmolStr,
        /// `serving`, or `doubtful` if the incarnation is suspect.
        standing: Standing,
    },
    /// Claims a planned stop; checked at its offset against every availability budget.
    StopClaim {
        /// Name of the instance.
        name: InstanceName,
        /// Version of the instance on which the decision was based.
        version: u64,
        /// Reason for the stop.
        why: PlannedStopReason,
    },
    /// Proceeds with a claimed stop, once no seat can still dispatch to the instance.
    StopProceed {
        /// Name of the instance.
        name: InstanceName,
        /// Version of the instance.
        version: u64,
    },
    /// Cancels a stop or a release that has not proceeded.
    StopCancel {
        /// Name of the instance.
        name: InstanceName,
        /// Version of the instance.
        version: u64,
    },
    /// Releases an instance from its pool; checked against the budgets like a stop.
    PoolRelease {
        /// Name of the instance.
        name: InstanceName,
        /// Version of the instance.
        version: u64,
        /// Pool to which the instance moves.
        to_pool: PoolName,
    },
    /// Assigns a released instance to the pool named in the release.
    PoolAssign {
        /// Name of the instance.
        name: InstanceName,
        /// Version of the instance.
        version: u64,
    },
    /// Records that an instance of a roll-out wave failed to return, or failed soon after it
    /// returned.
    MarkBad {
        /// Name of the instance.
        name: InstanceName,
        /// Version of the instance.
        version: u64,
    },
    /// Records that a roll-out halted because instances of its waves failed.
    HaltRollout,
    /// Persists the withdrawal of a key that an operator sent directly to an entry.
    WithdrawKey {
        /// The key.
        key_id: KeyId,
    },
}

/// A change that an operator proposes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OperatorProposal {
    /// Id by which the operator finds the proposal in the log.
    pub proposal_id: Uuid,
    /// Name of the operator; informative only.
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
        /// Version on which the edit is based; the change is rejected if another version is in
        /// force.
        base_version: u64,
        /// The changed rows.
        patch: Box<ListsPatch>,
    },
    /// Grants a key.
    GrantKey {
        /// Public id of the key.
        key_id: KeyId,
        /// Team and digest of the key.
        row: KeyRow,
    },
    /// Withdraws a key permanently.
    WithdrawKey {
        /// Public id of the key.
        key_id: KeyId,
    },
}

/// One chunk of a snapshot of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Id shared by all chunks of one snapshot.
    pub snapshot_id: Uuid,
    /// Offset of the first record that is not folded into the state.
    pub next_offset: Offset,
    /// Index of this chunk, from 0.
    pub index: u32,
    /// Number of chunks in the snapshot.
    pub chunks_count: u32,
    /// BLAKE3 digest of the complete text, in hexadecimal.
    pub digest: SmolStr,
    /// This chunk's part of the JSON text of the state.
    pub text: String,
}
