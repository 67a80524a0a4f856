//! Constants of the protocol between entries: every reader of the log must share them, so they are
//! no settings.

/// How long a request id may be repeated, counted from the time inside it, in milliseconds.
pub const CLAIM_WINDOW_MS: u64 = 600_000;

/// How far in the future the time inside a request id may lie, in milliseconds.
pub(crate) const CLAIM_AHEAD_MAX_MS: u64 = 60_000;

/// Longest task lease that an entry may start, with everything that may delay it, in milliseconds.
pub const RUN_MAX_MS: u64 = 60_000;

/// How long an ended or overdue job is kept after its deadline, in milliseconds.
pub const JOB_RETENTION_MS: u64 = 600_000;

/// Records between two sweeps of what is to be forgotten.
pub(crate) const FORGET_EVERY_RECORDS: u64 = 256;
