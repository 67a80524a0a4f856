//! Constants of the protocol between entries. They are not settings, since every reader of the log
//! must use the same values.

/// Longest age at which a request id is accepted, counted from the timestamp inside it, in
/// milliseconds.
pub const CLAIM_WINDOW_MS: u64 = 600_000;

/// Maximum time by which the timestamp inside a request id may be ahead of the log's clock, in
/// milliseconds.
pub(crate) const CLAIM_AHEAD_MAX_MS: u64 = 60_000;

/// Longest task lease that an entry may start, including all possible delays, in milliseconds.
pub const RUN_MAX_MS: u64 = 60_000;

/// Time for which an ended or overdue job is retained after its deadline, in milliseconds.
pub const JOB_RETENTION_MS: u64 = 600_000;

/// Number of records between two sweeps that drop expired claims and jobs.
pub(crate) const FORGET_EVERY_RECORDS: u64 = 256;
