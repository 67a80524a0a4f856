//! The ledger: all state that the entries agree on and persist, as the deterministic fold of the
//! platform's log. Every reader that folds the same records holds the same state; a change takes
//! effect only if the version, sequence number or seat that it names is still current at its
//! offset.

mod claims;
mod escrow;
mod fold;
mod instances;
mod jobs;
mod keys;
mod patch;
mod protocol;
mod record;
mod seats;
mod snapshot;

pub use claims::{issued_at_unix_ms, ClaimRow, ClaimState, Claims};
pub use escrow::{Escrow, TeamEscrow};
pub use fold::{Effect, Ledger, Publication, Verdict};
pub use instances::{InstanceEntry, Instances, PlannedStopReason};
pub use jobs::{JobEntry, JobRow, JobState, Jobs};
pub use keys::{KeyId, KeyRow, Keys};
pub use patch::{ListsPatch, SectionPatch};
pub use protocol::{CLAIM_WINDOW_MS, JOB_RETENTION_MS, RUN_MAX_MS};
pub use record::{OperatorChange, OperatorProposal, Record, SeatBatch, SeatChange, SnapshotChunk};
pub use seats::{SeatId, SeatRow, SeatState, Seats};
pub(crate) use snapshot::split_at_chars;
pub use snapshot::{SnapshotAssembler, SnapshotError, SNAPSHOT_CHUNK_BYTES};
